"""A stand-in for the platform's object store, with faults on request."""

import json
import time
from collections import defaultdict
from collections.abc import Callable, Iterable
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

import eventlet
import eventlet.wsgi
from attrs import frozen

PREFIX = "/-/objects/"
ERA_HEADER = "Store-Era"
POLL_S = 0.01
MS_PER_S = 1000
SWALLOW_S = 30.0
"""Time after which the connection of a call that is never answered is cut."""
FIRST_REVISION = 10

Stored = dict[str, Any]
Answer = tuple[int | None, Any]
"""A status and a body; status None cuts the connection instead."""


@frozen(kw_only=True)
class Change:
    """One write of an object."""

    revision: int
    kind: str
    stored: Stored
    by_operator: bool
    """Whether it came from outside the system, which keeps a copy of its own."""
    at: float
    """Monotonic time of the write."""


class StoreStandIn:
    """Serve objects by kind and name, with revisions, conditions and watches.

    `restore` makes it come back from an older copy of itself.
    """

    def __init__(self) -> None:
        self.object_by_name: dict[str, dict[str, Stored]] = defaultdict(dict)
        self.changes: list[Change] = []
        self.revision = FIRST_REVISION
        self.era = 1
        self.oldest_revision = 0
        self.refuses_calls = False
        self.loses_answers = False
        self.cut_count = 0
        self.is_silent = False
        self.silence_count = 0
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

    def fall_silent(self) -> None:
        """Swallow the calls that wait, and all others until `clear_faults`."""
        self.is_silent = True
        self.silence_count += 1

    def clear_faults(self) -> None:
        """Answer calls again."""
        self.refuses_calls = self.loses_answers = self.is_silent = False

    def revision_before(self, age_s: float) -> int:
        """Return the revision that the store had some seconds ago."""
        at = time.monotonic() - age_s
        older = [change.revision for change in self.changes if change.at <= at]
        return older[-1] if older else FIRST_REVISION

    def restore(self, revision: int) -> None:
        """Come back from the copy of a revision, with what operators wrote since.

        Revisions go back too and are given out again; waiting watches are cut.
        """
        kept = [change for change in self.changes if change.revision <= revision]
        lost = self.changes[len(kept) :]
        self.changes = kept
        self.object_by_name.clear()
        for change in kept:
            name = change.stored["metadata"]["name"]
            self.object_by_name[change.kind][name] = change.stored
        self.revision = revision
        self.era += 1
        self.cut_count += 1
        again = {
            (change.kind, change.stored["metadata"]["name"]): change.stored
            for change in lost
            if change.by_operator
        }
        for (kind, name), stored in again.items():
            self.put(kind, name, stored["spec"], stored["status"])

    def put(
        self,
        kind: str,
        name: str,
        spec: Any,
        status: Any = None,
        *,
        by_operator: bool = True,
    ) -> Stored:
        """Write an object unconditionally and return it."""
        self.revision += 1
        stored = {
            "metadata": {"name": name, "revision": self.revision},
            "spec": spec,
            "status": status,
        }
        self.object_by_name[kind][name] = stored
        self.changes.append(
            Change(
                revision=self.revision,
                kind=kind,
                stored=stored,
                by_operator=by_operator,
                at=time.monotonic(),
            )
        )
        return stored

    def _app(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        status, body = self._answer(environ)
        if status is None:
            environ["eventlet.input"].get_socket().shutdown(2)
            status = 503
        data = json.dumps(body).encode()
        headers = [("Content-Type", "application/json")]
        if self.era is not None:
            headers.append((ERA_HEADER, str(self.era)))
        start_response(f"{status} Status", headers)
        return [data]

    def _answer(self, environ: dict[str, Any]) -> Answer:
        if self.is_silent:
            return _swallow()
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
        silence_count = self.silence_count
        while True:
            if self.silence_count != silence_count:
                return _swallow()
            if self.cut_count != cut_count:
                return None, {}
            if not self.oldest_revision - 1 <= after <= self.revision:
                return 410, {}
            events = [
                {"removed": False, "object": change.stored}
                for change in self.changes
                if change.kind == kind and change.revision > after
            ]
            if events or left_s <= 0:
                return 200, {"events": events, "store_revision": self.revision}
            eventlet.sleep(POLL_S)
            left_s -= POLL_S

    def _write(
        self, method: str, kind: str, name: str, environ: dict[str, Any]
    ) -> Answer:
        body = json.loads(environ["wsgi.input"].read())
        name, _, part = name.partition("/")
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
        if part == "status" and current is not None:
            spec, status = current["spec"], body["status"]
        else:
            spec, status = body["spec"], None
        stored = self.put(kind, name, spec, status, by_operator=False)
        return (None, {}) if self.loses_answers else (200, stored)


def _swallow() -> Answer:
    """Leave a call without an answer for longer than its sender waits."""
    eventlet.sleep(SWALLOW_S)
    return None, {}
