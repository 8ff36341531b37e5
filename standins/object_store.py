"""An in-memory stand-in for the platform's object API, with faults on request."""

import base64
import json
import socket
import sys
import warnings
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, unquote

warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")
sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

import eventlet
import eventlet.wsgi
import fire
from attrs import asdict, define, evolve, field, fields

from comfreytray.common.errors import Failure, Kind
from comfreytray.common.interfaces import StoredObject, WatchBatch
from comfreytray.testing import MemoryStore

OBJECTS_PATH = "/v1/objects"
WATCH_POLL_S = 0.01
MAX_REQUESTS = 4096
STATUS_BY_KIND = {
    Kind.NOT_FOUND: "404 Not Found",
    Kind.CONFLICT: "412 Precondition Failed",
    Kind.VALUE_TOO_LARGE: "413 Content Too Large",
    Kind.STORE_UNAVAILABLE: "503 Service Unavailable",
}
Environ = dict[str, Any]
StartResponse = Callable[..., object]


@define(kw_only=True)
class Faults:
    """Faults to inject; read and set over HTTP at /faults."""

    outage: bool = False
    """Answer every call with 503, including watches that are waiting."""
    hang: bool = False
    """Hold every call until this is false again."""
    delay_s: float = 0.0
    """Delay of each call before it is carried out."""
    lose_answers: int = 0
    """How many of the next writes take effect but get no answer."""
    lose_prefix: str = ""
    """Prefix of the keys for which `lose_answers` applies."""
    stale_reads: int = 0
    """How many of the next reads return the value before the last write."""
    watch_delay_s: float = 0.0
    """Delay between a change and the answer to a watch."""
    reorder_watches: int = 0
    """How many of the next watch answers hold the previous values of the objects."""


@define(kw_only=True)
class ObjectStoreApp:
    """WSGI application that serves the object API from memory."""

    store: MemoryStore = field(factory=MemoryStore)
    faults: Faults = field(factory=Faults)

    def __call__(self, environ: Environ, start: StartResponse) -> Iterable[bytes]:
        """Answer one request."""
        path = unquote(environ["PATH_INFO"].encode("latin-1").decode("utf-8"))
        if path == "/faults":
            return self._answer_faults(environ, start)
        if path == "/calls":
            return _answer_json(start, self.store.calls_by_kind)
        if not path.startswith(OBJECTS_PATH):
            return _answer(start, "404 Not Found")
        self._apply_call_faults()
        if self.faults.outage:
            return _answer(start, "503 Service Unavailable")
        key = path.removeprefix(OBJECTS_PATH).removeprefix("/")
        if not key:
            return self._answer_batch(environ, start)
        method = environ["REQUEST_METHOD"]
        if method == "GET":
            return self._answer_get(key, start)
        if method == "PUT":
            return self._answer_put(key, environ, start)
        if method == "DELETE":
            return self._answer_delete(key, environ, start)
        return _answer(start, "405 Method Not Allowed")

    def _apply_call_faults(self) -> None:
        while self.faults.hang:
            eventlet.sleep(WATCH_POLL_S)
        if self.faults.delay_s > 0:
            eventlet.sleep(self.faults.delay_s)

    def _answer_faults(self, environ: Environ, start: StartResponse) -> Iterable[bytes]:
        if environ["REQUEST_METHOD"] == "PUT":
            try:
                changes = json.loads(environ["wsgi.input"].read())
                self.faults = evolve(self.faults, **changes)
            except (TypeError, ValueError):
                known = ", ".join(one.name for one in fields(Faults))
                return _answer(start, "400 Bad Request", f"known: {known}".encode())
        return _answer_json(start, asdict(self.faults))

    def _answer_get(self, key: str, start: StartResponse) -> Iterable[bytes]:
        if self.faults.stale_reads > 0 and key in self.store.previous_by_key:
            self.faults.stale_reads -= 1
            self.store.stale_reads = 1
        found = self.store.get(key)
        if isinstance(found, Failure):
            return _answer(start, STATUS_BY_KIND[found.kind])
        return _answer(start, "200 OK", found.value, found.version)

    def _answer_put(
        self, key: str, environ: Environ, start: StartResponse
    ) -> Iterable[bytes]:
        value = environ["wsgi.input"].read()
        stored = self.store.put(key, value, expected_version=_expected_version(environ))
        if isinstance(stored, Failure):
            return _answer(start, STATUS_BY_KIND[stored.kind])
        if self._lose_answer(key, environ):
            return []
        return _answer(start, "200 OK", b"", stored.version)

    def _answer_delete(
        self, key: str, environ: Environ, start: StartResponse
    ) -> Iterable[bytes]:
        failed = self.store.delete(key, expected_version=_expected_version(environ))
        if failed is not None:
            return _answer(start, STATUS_BY_KIND[failed.kind])
        if self._lose_answer(key, environ):
            return []
        return _answer(start, "204 No Content")

    def _lose_answer(self, key: str, environ: Environ) -> bool:
        """Cut the connection if this answer is to be lost; return whether it was."""
        if self.faults.lose_answers <= 0 or not key.startswith(self.faults.lose_prefix):
            return False
        self.faults.lose_answers -= 1
        environ["wsgi.input"].get_socket().shutdown(socket.SHUT_RDWR)
        return True

    def _answer_batch(self, environ: Environ, start: StartResponse) -> Iterable[bytes]:
        query = parse_qs(environ["QUERY_STRING"])
        prefix = query.get("prefix", [""])[0]
        if "watch" not in query:
            objects = self.store.list(prefix)
            assert not isinstance(objects, Failure)
            return _answer_json(start, _encode_batch(self.store.revision, objects))
        after = int(query["after"][0])
        batch = self._wait_for_changes(prefix, after, float(query["timeout"][0]))
        if self.faults.outage:
            return _answer(start, "503 Service Unavailable")
        return _answer_json(start, _encode_batch(batch.revision, batch.objects))

    def _wait_for_changes(
        self, prefix: str, after: int, timeout_s: float
    ) -> WatchBatch:
        # Counts the call in `calls_by_kind`; the wait is below, to react to faults.
        counted = self.store.watch(prefix, after_revision=after, timeout_s=timeout_s)
        assert not isinstance(counted, Failure)
        waited = 0.0
        while waited < timeout_s and not self._changed(prefix, after):
            if self.faults.outage:
                break
            eventlet.sleep(WATCH_POLL_S)
            waited += WATCH_POLL_S
        changed = self._changed(prefix, after)
        if changed and self.faults.watch_delay_s > 0:
            eventlet.sleep(self.faults.watch_delay_s)
        if changed and self.faults.reorder_watches > 0:
            self.faults.reorder_watches -= 1
            previous = (self.store.previous_by_key.get(one.key) for one in changed)
            changed = tuple(one for one in previous if one is not None)
        return WatchBatch(revision=self.store.revision, objects=changed)

    def _changed(self, prefix: str, after: int) -> tuple[StoredObject, ...]:
        return tuple(
            stored
            for key, stored in sorted(self.store.object_by_key.items())
            if key.startswith(prefix) and stored.version > after
        )


def _expected_version(environ: Environ) -> int | None:
    """Return the version that the request requires: 0 for none, None for any."""
    if environ.get("HTTP_IF_NONE_MATCH") == "*":
        return 0
    tag = environ.get("HTTP_IF_MATCH")
    return int(tag.strip('"')) if tag else None


def _encode_batch(revision: int, objects: Iterable[StoredObject]) -> dict[str, object]:
    rows = [
        {
            "key": one.key,
            "value": base64.b64encode(one.value).decode(),
            "version": one.version,
        }
        for one in objects
    ]
    return {"revision": revision, "objects": rows}


def _answer(
    start: StartResponse, status: str, body: bytes = b"", version: int | None = None
) -> Iterable[bytes]:
    headers = [("Content-Length", str(len(body)))]
    if version is not None:
        headers.append(("ETag", f'"{version}"'))
    start(status, headers)
    return [body]


def _answer_json(start: StartResponse, plain: object) -> Iterable[bytes]:
    return _answer(start, "200 OK", json.dumps(plain).encode())


def serve(*, port: int = 0, host: str = "127.0.0.1") -> None:
    """Serve the object API until stopped; print its URL when ready."""
    listener = eventlet.listen((host, port))
    print(f"object store ready at http://{host}:{listener.getsockname()[1]}")
    sys.stdout.flush()
    eventlet.wsgi.server(
        listener,
        ObjectStoreApp(),
        log_output=False,
        max_size=MAX_REQUESTS,
        debug=False,
    )


if __name__ == "__main__":
    fire.Fire(serve)
