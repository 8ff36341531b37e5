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

from comfreytray.common import logs, outerjson, revisions
from comfreytray.common.errors import Failure, Kind
from comfreytray.common.interfaces import Address, StoredObject, WatchBatch
from comfreytray.common.keepalive import OPTIONS as KEEPALIVE_OPTIONS
from comfreytray.platform.storeanswers import decode_era
from comfreytray.platform.storedobjects import (
    MALFORMED_ERRORS,
    decode_all,
    decode_object,
    is_change,
    last_name,
)
from comfreytray.store.storebodies import (
    BODY_TIMEOUT_S,
    MAX_BODY_BYTES,
    AnswerTooLargeError,
    read_body,
)

OBJECTS_PATH = "/-/objects"
CALL_TIMEOUT_S = 1.0
WATCH_MARGIN_S = 1.0
"""Time beyond the wait of a watch until the client gives up on its answer."""
MAX_IDLE_CONNECTIONS = 4
"""Connections kept open between calls; more are opened when all are in use."""
MS_PER_S = 1000
_TOO_LARGE = Failure(kind=Kind.STORE_UNAVAILABLE, detail=AnswerTooLargeError.__name__)
_NOT_SENT_ERRORS = (http_errors.NewConnectionError, http_errors.ConnectTimeoutError)
"""Errors before a request was sent: a write was not applied."""
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
    era: int


@frozen(kw_only=True)
class _Answer:
    """The decoded body of a successful answer, and the era in which it was given."""

    era: int
    body: Any


class PlatformStore:
    """Client of the platform's object store; implements `ObjectStore`.

    A key is `kind/name`, a prefix `kind/` or a whole key; the value is the JSON text
    of the object's spec. Versions and revisions are those of `common.revisions`.
    """

    def __init__(
        self, *, address: Address, max_answer_bytes: int = MAX_BODY_BYTES
    ) -> None:
        self._max_answer_bytes = max_answer_bytes
        self._era = 0
        """The latest era that is known; answers of earlier ones are out of date."""
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
        answer = self._read(_object_path(key), CALL_TIMEOUT_S)
        if isinstance(answer, Failure):
            return answer
        try:
            return decode_object(key.partition("/")[0], answer.body, answer.era)
        except MALFORMED_ERRORS as error:
            return _malformed_answer(error)

    def list(self, prefix: str) -> tuple[StoredObject, ...] | Failure:
        """Read all objects under a prefix, in key order."""
        batch = self._list(prefix)
        return batch if isinstance(batch, Failure) else batch.objects

    def put(
        self, key: str, value: bytes, *, expected_version: int | None
    ) -> StoredObject | Failure:
        """Write an object if its version is as expected; 0 means absent, None any."""
        if self._is_outdated(expected_version):
            return self._conflict(key)
        kind, _, name = key.partition("/")
        metadata: dict[str, Any] = {"name": name, "finalizers": []}
        if expected_version:
            metadata["revision"] = revisions.number_of(expected_version)
        body = {"metadata": metadata, "spec": json.loads(value)}
        creating = expected_version == 0
        path = f"{OBJECTS_PATH}/{quote(kind)}" if creating else _object_path(key)
        answer = self._write("POST" if creating else "PUT", path, body)
        return self._written(key, answer, expected_version)

    def put_status(
        self, key: str, status: bytes, *, expected_version: int
    ) -> StoredObject | Failure:
        """Replace an object's status if its version is as expected."""
        if self._is_outdated(expected_version):
            return self._conflict(key)
        revision = revisions.number_of(expected_version)
        name = key.partition("/")[2]
        body = {
            "metadata": {"name": name, "revision": revision},
            "status": json.loads(status),
        }
        answer = self._write("PUT", f"{_object_path(key)}/status", body)
        return self._written(key, answer, expected_version)

    def _written(
        self, key: str, answer: _Answer | Failure, expected_version: int | None
    ) -> StoredObject | Failure:
        """Return the object that a write left, or its failure."""
        if isinstance(answer, Failure):
            return answer
        if self._is_outdated(expected_version):
            return self._unmet_condition(key)
        try:
            return decode_object(key.partition("/")[0], answer.body, answer.era)
        except MALFORMED_ERRORS as error:
            return _outcome_unknown(f"malformed answer: {type(error).__name__}")

    def delete(self, key: str, *, expected_version: int | None) -> Failure | None:
        """Delete an object if its version is as expected; None means any."""
        if self._is_outdated(expected_version):
            return self._conflict(key)
        condition = ""
        if expected_version is not None:
            condition = f"?revision={revisions.number_of(expected_version)}"
        answer = self._write("DELETE", _object_path(key) + condition, None)
        if isinstance(answer, Failure):
            return answer
        if self._is_outdated(expected_version):
            return self._unmet_condition(key)
        return None

    def watch(
        self, prefix: str, *, after_revision: int, timeout_s: float
    ) -> WatchBatch | Failure:
        """Wait for changes under a prefix; read all of it if their history is gone.

        The history of a revision from before the store's return is gone, even if the
        store has given out its number again.
        """
        era = revisions.era_of(after_revision)
        self._note_era(era)
        if after_revision <= 0 or era < self._era:
            return self._list(prefix)
        kind = prefix.partition("/")[0]
        after, wait_ms = revisions.number_of(after_revision), int(timeout_s * MS_PER_S)
        path = f"{OBJECTS_PATH}/{quote(kind)}?watch={after}&wait_ms={wait_ms}"
        answer = self._read(path, timeout_s + WATCH_MARGIN_S)
        if isinstance(answer, Failure):
            # A list has pages, and each object once.
            must_list = answer.kind is Kind.NOT_FOUND or answer is _TOO_LARGE
            return self._list(prefix) if must_list else answer
        if answer.era != era:
            return self._list(prefix)
        try:
            events = [event for event in answer.body["events"] if is_change(event)]
            objects = decode_all(kind, [e.get("object") for e in events], era)
            number = answer.body["store_revision"]
            return _build_batch(prefix, revisions.in_era(era, number), objects)
        except MALFORMED_ERRORS as error:
            return _malformed_answer(error)

    def _list(self, prefix: str) -> WatchBatch | Failure:
        """Read a kind page by page; a watch goes on from the first page's revision."""
        kind = prefix.partition("/")[0]
        objects: list[StoredObject] = []
        revision: int | None = None
        after = ""
        while True:
            query = f"?after={quote(after)}" if after else ""
            answer = self._read(f"{OBJECTS_PATH}/{quote(kind)}{query}", CALL_TIMEOUT_S)
            if isinstance(answer, Failure):
                return answer
            try:
                items, more = answer.body["items"], answer.body["more"]
                page = decode_all(kind, items, answer.era)
                if revision is None:
                    number = answer.body["store_revision"]
                    revision = revisions.in_era(answer.era, number)
            except MALFORMED_ERRORS as error:
                return _malformed_answer(error)
            if answer.era != revisions.era_of(revision):
                detail = f"pages of eras {revisions.era_of(revision)} and {answer.era}"
                return Failure(kind=Kind.STORE_UNAVAILABLE, detail=detail)
            objects.extend(page)
            if not more or not items:
                return _build_batch(prefix, revision, objects)
            last = last_name(items)
            if last <= after:
                detail = f"page after {after!r:.60}: no later name"
                return Failure(kind=Kind.STORE_UNAVAILABLE, detail=detail)
            after = last

    def _is_outdated(self, expected_version: int | None) -> bool:
        """Whether the condition of a write is a version from before a return."""
        if not expected_version:
            return False
        return revisions.era_of(expected_version) < self._era

    def _conflict(self, key: str) -> Failure:
        """Refuse a write unsent: the store may have given out its number again."""
        detail = f"{key}: the expected version is from before era {self._era}"
        return Failure(kind=Kind.CONFLICT, detail=detail)

    def _unmet_condition(self, key: str) -> Failure:
        """Report a write that the store applied on a number of another era."""
        return _outcome_unknown(
            f"{key}: the expected version is from before era {self._era}"
        )

    def _read(self, path: str, timeout_s: float) -> _Answer | Failure:
        try:
            response = self._request("GET", path, None, timeout_s)
        except AnswerTooLargeError:
            return _TOO_LARGE
        except (http_errors.HTTPError, OSError) as error:
            return Failure(kind=Kind.STORE_UNAVAILABLE, detail=type(error).__name__)
        if response.era < self._era:
            detail = f"answer of era {response.era}, expected {self._era}"
            return Failure(kind=Kind.STORE_UNAVAILABLE, detail=detail)
        if response.status == _STATUS_HISTORY_GONE:
            return Failure(kind=Kind.NOT_FOUND, detail="history of changes is gone")
        if response.status != 200:
            kind = _KIND_BY_STATUS.get(response.status, Kind.STORE_UNAVAILABLE)
            return Failure(kind=kind, detail=f"status {response.status}")
        try:
            return _Answer(era=response.era, body=outerjson.loads(response.data))
        except ValueError as error:
            return _malformed_answer(error)

    def _write(self, method: str, path: str, body: object) -> _Answer | Failure:
        try:
            response = self._request(method, path, body, CALL_TIMEOUT_S)
        except _NOT_SENT_ERRORS as error:
            return Failure(kind=Kind.STORE_UNAVAILABLE, detail=type(error).__name__)
        except (http_errors.HTTPError, OSError) as error:
            return _outcome_unknown(type(error).__name__)
        if response.era < self._era:
            return _outcome_unknown(
                f"answer of era {response.era}, expected {self._era}"
            )
        if response.status in (200, 201, 204):
            try:
                decoded = outerjson.loads(response.data) if response.data else {}
            except ValueError as error:
                return _outcome_unknown(f"malformed answer: {type(error).__name__}")
            return _Answer(era=response.era, body=decoded)
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
        data = read_body(response, deadline=deadline, max_bytes=self._max_answer_bytes)
        era = decode_era(response)
        if era is None:
            era = self._era
        self._note_era(era)
        return _Response(status=response.status, data=data, era=era)

    def _note_era(self, era: int) -> None:
        if era > self._era > 0:
            logs.warn(logs.Event.STORE_RESTORED, era=era, before=self._era)
        self._era = max(era, self._era)


def _object_path(key: str) -> str:
    kind, _, name = key.partition("/")
    return f"{OBJECTS_PATH}/{quote(kind)}/{quote(name, safe='')}"


def _build_batch(prefix: str, revision: int, objects: list[StoredObject]) -> WatchBatch:
    wanted = tuple(stored for stored in objects if stored.key.startswith(prefix))
    return WatchBatch(revision=revision, objects=wanted)


def _malformed_answer(error: Exception) -> Failure:
    detail = f"malformed answer: {type(error).__name__}"
    return Failure(kind=Kind.STORE_UNAVAILABLE, detail=detail)


def _outcome_unknown(detail: str) -> Failure:
    return Failure(kind=Kind.STORE_OUTCOME_UNKNOWN, detail=detail)
