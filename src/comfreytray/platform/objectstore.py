"""A client of the platform's object store."""

import json
import socket
import time
from types import TracebackType
from typing import Any, Self
from urllib.parse import quote

import urllib3
from attrs import frozen
from urllib3 import exceptions as http_errors

from comfreytray.common import logs
from comfreytray.common.errors import Failure, Kind
from comfreytray.common.interfaces import Address, StoredObject, WatchBatch
from comfreytray.common.keepalive import OPTIONS as KEEPALIVE_OPTIONS

OBJECTS_PATH = "/-/objects"
CALL_TIMEOUT_S = 1.0
WATCH_MARGIN_S = 1.0
"""Time beyond the wait of a watch until the client gives up on its answer."""
MAX_IDLE_CONNECTIONS = 4
"""Connections kept open between calls; more are opened when all are in use."""
READ_BYTES = 65_536
MAX_BODY_BYTES = 67_108_864
"""Bytes of an answer; a watch returns each change of its span with the whole object."""
BODY_TIMEOUT_S = 4.0
"""Time for the body of an answer, beyond the time-out of its call."""
MS_PER_S = 1000
ERA_HEADER = "Store-Era"
"""Number of times that the store came back from an older copy."""
_NOT_SENT_ERRORS = (http_errors.NewConnectionError, http_errors.ConnectTimeoutError)
"""Errors before a request was sent: a write was not applied."""
_MALFORMED_ERRORS = (KeyError, TypeError, ValueError)
"""Raised when an answer lacks a field or has one of another type."""
_STATUS_HISTORY_GONE = 410
_KIND_BY_STATUS = {
    404: Kind.NOT_FOUND,
    409: Kind.CONFLICT,
    413: Kind.VALUE_TOO_LARGE,
    429: Kind.STORE_UNAVAILABLE,
    503: Kind.STORE_UNAVAILABLE,
}
"""Statuses of a write that was not applied; after others its outcome is unknown."""


@frozen(kw_only=True)
class _Response:
    """A complete answer of the store."""

    status: int
    data: bytes


class PlatformStore:
    """Client of the platform's object store; implements `ObjectStore`.

    A key is `kind/name`, a prefix `kind/` or a whole key; the value is the JSON text
    of the object's spec.
    """

    def __init__(self, *, address: Address) -> None:
        self._era = 0
        self._pool = urllib3.HTTPConnectionPool(
            address[0],
            address[1],
            maxsize=MAX_IDLE_CONNECTIONS,
            block=False,
            retries=False,
            socket_options=[
                (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
                *KEEPALIVE_OPTIONS,
            ],
        )

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._pool.close()

    def get(self, key: str) -> StoredObject | Failure:
        """Read one object."""
        decoded = self._read(_object_path(key), CALL_TIMEOUT_S)
        if isinstance(decoded, Failure):
            return decoded
        return _decode_object_or_failure(key.partition("/")[0], decoded)

    def list(self, prefix: str) -> tuple[StoredObject, ...] | Failure:
        """Read all objects under a prefix, in key order."""
        batch = self._list(prefix)
        return batch if isinstance(batch, Failure) else batch.objects

    def put(
        self, key: str, value: bytes, *, expected_version: int | None
    ) -> StoredObject | Failure:
        """Write an object if its version is as expected; 0 means absent, None any."""
        kind, _, name = key.partition("/")
        metadata: dict[str, Any] = {"name": name, "finalizers": []}
        if expected_version:
            metadata["revision"] = expected_version
        body = {"metadata": metadata, "spec": json.loads(value)}
        creating = expected_version == 0
        path = f"{OBJECTS_PATH}/{quote(kind)}" if creating else _object_path(key)
        decoded = self._write("POST" if creating else "PUT", path, body)
        if isinstance(decoded, Failure):
            return decoded
        try:
            return _decode_object(kind, decoded)
        except _MALFORMED_ERRORS as error:
            return _outcome_unknown(f"malformed answer: {type(error).__name__}")

    def delete(self, key: str, *, expected_version: int | None) -> Failure | None:
        """Delete an object if its version is as expected; None means any."""
        condition = "" if expected_version is None else f"?revision={expected_version}"
        decoded = self._write("DELETE", _object_path(key) + condition, None)
        return decoded if isinstance(decoded, Failure) else None

    def watch(
        self, prefix: str, *, after_revision: int, timeout_s: float
    ) -> WatchBatch | Failure:
        """Wait for changes under a prefix; read all of it if their history is gone."""
        if after_revision <= 0:
            return self._list(prefix)
        kind = prefix.partition("/")[0]
        wait_ms = int(timeout_s * MS_PER_S)
        path = f"{OBJECTS_PATH}/{quote(kind)}?watch={after_revision}&wait_ms={wait_ms}"
        decoded = self._read(path, timeout_s + WATCH_MARGIN_S)
        if isinstance(decoded, Failure):
            is_history_gone = decoded.kind is Kind.NOT_FOUND
            return self._list(prefix) if is_history_gone else decoded
        try:
            objects = [
                _decode_object(kind, event["object"])
                for event in decoded["events"]
                if not event["removed"]
            ]
            return _build_batch(prefix, decoded["store_revision"], objects)
        except _MALFORMED_ERRORS as error:
            return _malformed_answer(error)

    def _list(self, prefix: str) -> WatchBatch | Failure:
        """Read a kind page by page; a watch goes on from the first page's revision."""
        kind = prefix.partition("/")[0]
        objects: list[StoredObject] = []
        revision: int | None = None
        after = ""
        while True:
            query = f"?after={quote(after)}" if after else ""
            decoded = self._read(f"{OBJECTS_PATH}/{quote(kind)}{query}", CALL_TIMEOUT_S)
            if isinstance(decoded, Failure):
                return decoded
            try:
                page = [_decode_object(kind, item) for item in decoded["items"]]
                if revision is None:
                    revision = decoded["store_revision"]
                more = decoded["more"]
            except _MALFORMED_ERRORS as error:
                return _malformed_answer(error)
            objects.extend(page)
            if not more or not page:
                return _build_batch(prefix, revision, objects)
            after = page[-1].key.partition("/")[2]

    def _read(self, path: str, timeout_s: float) -> Any:
        try:
            response = self._request("GET", path, None, timeout_s)
        except (http_errors.HTTPError, OSError) as error:
            return Failure(kind=Kind.STORE_UNAVAILABLE, detail=type(error).__name__)
        if response.status == _STATUS_HISTORY_GONE:
            return Failure(kind=Kind.NOT_FOUND, detail="history of changes is gone")
        if response.status != 200:
            kind = _KIND_BY_STATUS.get(response.status, Kind.STORE_UNAVAILABLE)
            return Failure(kind=kind, detail=f"status {response.status}")
        try:
            return json.loads(response.data)
        except ValueError as error:
            return _malformed_answer(error)

    def _write(self, method: str, path: str, body: object) -> Any:
        try:
            response = self._request(method, path, body, CALL_TIMEOUT_S)
        except _NOT_SENT_ERRORS as error:
            return Failure(kind=Kind.STORE_UNAVAILABLE, detail=type(error).__name__)
        except (http_errors.HTTPError, OSError) as error:
            return _outcome_unknown(type(error).__name__)
        if response.status in (200, 201, 204):
            try:
                return json.loads(response.data) if response.data else {}
            except ValueError as error:
                return _outcome_unknown(f"malformed answer: {type(error).__name__}")
        kind = _KIND_BY_STATUS.get(response.status)
        if kind is None:
            return _outcome_unknown(f"status {response.status}")
        return Failure(kind=kind, detail=f"{path}: status {response.status}")

    def _request(
        self, method: str, path: str, body: object, timeout_s: float
    ) -> _Response:
        deadline = time.monotonic() + timeout_s + BODY_TIMEOUT_S
        response = self._pool.urlopen(
            method,
            path,
            body=None if body is None else json.dumps(body).encode(),
            headers={"Content-Type": "application/json"},
            redirect=False,
            timeout=urllib3.Timeout(connect=CALL_TIMEOUT_S, read=timeout_s),
            preload_content=False,
        )
        try:
            data = _read_body(response, deadline)
        except BaseException:
            response.close()
            raise
        response.release_conn()
        self._note_era(_decode_era(response))
        return _Response(status=response.status, data=data)

    def _note_era(self, era: int) -> None:
        if era > self._era > 0:
            logs.warn(logs.Event.STORE_RESTORED, era=era, before=self._era)
        self._era = max(era, self._era)


def _decode_era(response: urllib3.BaseHTTPResponse) -> int:
    """Return the era of an answer; 0 if it names none."""
    text = response.headers.get(ERA_HEADER, "")
    return int(text) if text.isdecimal() else 0


def _read_body(response: urllib3.BaseHTTPResponse, deadline: float) -> bytes:
    """Read a body within bounds of size and time; raises HTTPError beyond them."""
    body = bytearray()
    while part := response.read1(READ_BYTES):
        body += part
        if len(body) > MAX_BODY_BYTES:
            raise http_errors.ProtocolError(
                f"answer of the store: expected at most {MAX_BODY_BYTES} bytes"
            )
        if time.monotonic() > deadline:
            raise http_errors.ProtocolError("answer of the store did not end in time")
    return bytes(body)


def _object_path(key: str) -> str:
    kind, _, name = key.partition("/")
    return f"{OBJECTS_PATH}/{quote(kind)}/{quote(name, safe='')}"


def _decode_object(kind: str, decoded: Any) -> StoredObject:
    metadata = decoded["metadata"]
    return StoredObject(
        key=f"{kind}/{metadata['name']}",
        value=json.dumps(decoded["spec"]).encode(),
        version=int(metadata["revision"]),
    )


def _decode_object_or_failure(kind: str, decoded: Any) -> StoredObject | Failure:
    try:
        return _decode_object(kind, decoded)
    except _MALFORMED_ERRORS as error:
        return _malformed_answer(error)


def _build_batch(prefix: str, revision: Any, objects: list[StoredObject]) -> WatchBatch:
    wanted = tuple(stored for stored in objects if stored.key.startswith(prefix))
    return WatchBatch(revision=int(revision), objects=wanted)


def _malformed_answer(error: Exception) -> Failure:
    detail = f"malformed answer: {type(error).__name__}"
    return Failure(kind=Kind.STORE_UNAVAILABLE, detail=detail)


def _outcome_unknown(detail: str) -> Failure:
    return Failure(kind=Kind.STORE_OUTCOME_UNKNOWN, detail=detail)
