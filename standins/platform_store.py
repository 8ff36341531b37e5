"""A stand-in for the platform's object store, with switches for its faults."""

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
"""A status and a body; no status where the connection is cut instead."""


class StoreStandIn:
    """Serve objects by kind and name, with revisions, conditions and watches."""

    def __init__(self) -> None:
        self.object_by_name: dict[str, dict[str, Stored]] = defaultdict(dict)
        self.events: list[tuple[int, str, Stored]] = []
        self.revision = 10
        self.oldest = 0
        self.is_away = False
        self.loses_answers = False
        self.cuts = 0
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
        """Refuse all calls."""
        self.is_away = True

    def drop_history(self) -> None:
        """Drop the history, and cut the watches."""
        self.oldest = self.revision + 1
        self.cuts += 1

    def cut_watches(self) -> None:
        """Cut the watches."""
        self.cuts += 1

    def lose_answers(self) -> None:
        """Do writes and don't answer them."""
        self.loses_answers = True

    def clear_faults(self) -> None:
        """End the faults."""
        self.is_away = self.loses_answers = False

    def put(self, kind: str, name: str, spec: Any, status: Any = None) -> Stored:
        """Write an object as its owner would."""
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
        if self.is_away:
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
        cuts, left_s = self.cuts, wait_ms / MS_PER_S
        while True:
            if after < self.oldest - 1:
                return 410, {}
            events = [
                {"removed": False, "object": stored}
                for revision, of, stored in self.events
                if of == kind and revision > after
            ]
            if events or left_s <= 0:
                return 200, {"events": events, "store_revision": self.revision}
            if self.cuts != cuts:
                return None, {}
            eventlet.sleep(POLL_S)
            left_s -= POLL_S

    def _write(
        self, method: str, kind: str, name: str, environ: dict[str, Any]
    ) -> Answer:
        body = json.loads(environ["wsgi.input"].read())
        name = name or body["metadata"]["name"]
        held = self.object_by_name[kind].get(name)
        wanted = body["metadata"].get("revision")
        if method == "POST" and held is not None:
            return 409, held
        if method == "PUT" and held is None:
            return 404, {}
        if wanted is not None and (held or {})["metadata"]["revision"] != wanted:
            return 409, held
        stored = self.put(kind, name, body["spec"])
        return (None, {}) if self.loses_answers else (200, stored)
