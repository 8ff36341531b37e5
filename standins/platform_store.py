"""A stand-in for the platform's object store, with faults on request."""

import json
from collections import defaultdict
from collections.abc import Callable, Iterable
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

import eventlet
import eventlet.wsgi

PREFIX = "/-/objects/"
POLL_S = 0.01
MS_PER_S = 1000

Stored = dict[str, Any]
Answer = tuple[int | None, Any]
"""A status and a body; status None cuts the connection instead."""


class StoreStandIn:
    """Serve objects by kind and name, with revisions, conditions and watches."""

    def __init__(self) -> None:
        self.object_by_name: dict[str, dict[str, Stored]] = defaultdict(dict)
        self.events: list[tuple[int, str, Stored]] = []
        self.revision = 10
        self.oldest_revision = 0
        self.refuses_calls = False
        self.loses_answers = False
        self.cut_count = 0
        listener = eventlet.listen(("127.0.0.1", 0))
        self.address: tuple[str, int] = listener.getsockname()
        self._listener = listener
        self._greenlet = eventlet.spawn(
            eventlet.wsgi.server, listener, self._app, log_output=False, debug=False
        )

    def close(self) -> None:
        """Stop serving."""
        self._greenlet.kill()
        self._listener.close()

    def refuse_calls(self) -> None:
        """Refuse all calls until `clear_faults`."""
        self.refuses_calls = True

    def drop_history(self) -> None:
        """Drop the change history and cut the waiting watches."""
        self.oldest_revision = self.revision + 1
        self.cut_count += 1

    def cut_watches(self) -> None:
        """Cut the waiting watches."""
        self.cut_count += 1

    def lose_answers(self) -> None:
        """Carry out writes but don't answer them until `clear_faults`."""
        self.loses_answers = True

    def clear_faults(self) -> None:
        """Answer calls again."""
        self.refuses_calls = self.loses_answers = False

    def put(self, kind: str, name: str, spec: Any, status: Any = None) -> Stored:
        """Write an object unconditionally and return it."""
        self.revision += 1
        stored = {
            "metadata": {"name": name, "revision": self.revision},
            "spec": spec,
            "status": status,
        }
        self.object_by_name[kind][name] = stored
        self.events.append((self.revision, kind, stored))
        return stored

    def _app(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        status, body = self._answer(environ)
        if status is None:
            environ["eventlet.input"].get_socket().shutdown(2)
            status = 503
        data = json.dumps(body).encode()
        start_response(f"{status} Status", [("Content-Type", "application/json")])
        return [data]

    def _answer(self, environ: dict[str, Any]) -> Answer:
        if self.refuses_calls:
            return 503, {}
        url = urlsplit(environ["PATH_INFO"])
        kind, _, name = unquote(url.path.removeprefix(PREFIX)).partition("/")
        query = parse_qs(environ.get("QUERY_STRING", ""))
        method = environ["REQUEST_METHOD"]
        if method == "GET":
            return self._read(kind, name, query)
        return self._write(method, kind, name, environ)

    def _read(self, kind: str, name: str, query: dict[str, list[str]]) -> Answer:
        if name:
            stored = self.object_by_name[kind].get(name)
            return (404, {}) if stored is None else (200, stored)
        if "watch" in query:
            return self._watch(kind, int(query["watch"][0]), int(query["wait_ms"][0]))
        items = [
            self.object_by_name[kind][n] for n in sorted(self.object_by_name[kind])
        ]
        return 200, {"items": items, "more": False, "store_revision": self.revision}

    def _watch(self, kind: str, after: int, wait_ms: int) -> Answer:
        cut_count, left_s = self.cut_count, wait_ms / MS_PER_S
        while True:
            if after < self.oldest_revision - 1:
                return 410, {}
            events = [
                {"removed": False, "object": stored}
                for revision, event_kind, stored in self.events
                if event_kind == kind and revision > after
            ]
            if events or left_s <= 0:
                return 200, {"events": events, "store_revision": self.revision}
            if self.cut_count != cut_count:
                return None, {}
            eventlet.sleep(POLL_S)
            left_s -= POLL_S

    def _write(
        self, method: str, kind: str, name: str, environ: dict[str, Any]
    ) -> Answer:
        body = json.loads(environ["wsgi.input"].read())
        name = name or body["metadata"]["name"]
        current = self.object_by_name[kind].get(name)
        expected_revision = body["metadata"].get("revision")
        if method == "POST" and current is not None:
            return 409, current
        if method == "PUT" and current is None:
            return 404, {}
        if (
            expected_revision is not None
            and (current or {})["metadata"]["revision"] != expected_revision
        ):
            return 409, current
        stored = self.put(kind, name, body["spec"])
        return (None, {}) if self.loses_answers else (200, stored)
