"""HTTP client of the platform's object store."""

import base64
import time
from types import TracebackType
from typing import Any, Self
from urllib.parse import quote, urlencode

import urllib3
from attrs import frozen
from urllib3 import exceptions as http_errors

from comfreytray.common import outerjson
from comfreytray.common.errors import Failure, Kind
from comfreytray.common.interfaces import StoredObject, WatchBatch
from comfreytray.store.storebodies import BODY_TIMEOUT_S, read_body

OBJECTS_PATH = "/v1/objects"
WATCH_MARGIN_S = 2.0
"""How much longer than the watch itself the client waits for its response."""
MAX_CONNECTIONS = 8
"""Connections that are kept open for reuse; more may be opened at a time."""
_NOT_SENT = (http_errors.NewConnectionError, http_errors.ConnectTimeoutError)
"""Errors after which the store cannot have received the request."""
_KIND_BY_STATUS = {
    404: Kind.NOT_FOUND,
    412: Kind.CONFLICT,
    413: Kind.VALUE_TOO_LARGE,
    429: Kind.STORE_UNAVAILABLE,
    503: Kind.STORE_UNAVAILABLE,
}


@frozen(kw_only=True)
class _Response:
    """A complete answer of the store."""

    status: int
    data: bytes
    etag: str


class StoreClient:
    """Client of the platform's store at a URL; implements `ObjectStore`."""

    def __init__(self, *, url: str, timeout_s: float) -> None:
        self._timeout_s = timeout_s
        self._pool = urllib3.connection_from_url(
            url.rstrip("/"), maxsize=MAX_CONNECTIONS, block=False, retries=False
        )

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self.close()

    def close(self) -> None:
        """Close all connections."""
        self._pool.close()

    def get(self, key: str) -> StoredObject | Failure:
        """Read one object."""
        response = self._read(_object_path(key), self._timeout_s)
        if isinstance(response, Failure):
            return response
        version = _version_from_etag(response)
        if version is None:
            return Failure(kind=Kind.STORE_UNAVAILABLE, detail="response without ETag")
        return StoredObject(key=key, value=response.data, version=version)

    def list(self, prefix: str) -> tuple[StoredObject, ...] | Failure:
        """Read all objects whose keys start with the prefix, in key order."""
        batch = self._read_batch({"prefix": prefix}, self._timeout_s)
        return batch if isinstance(batch, Failure) else batch.objects

    def put(
        self, key: str, value: bytes, *, expected_version: int | None
    ) -> StoredObject | Failure:
        """Write if the stored version is the expected one.

        0 expects that there is no object; None writes unconditionally.
        """
        headers = _precondition(expected_version)
        headers["Content-Type"] = "application/octet-stream"
        response = self._write("PUT", key, headers, value)
        if isinstance(response, Failure):
            return response
        version = _version_from_etag(response)
        if version is None:
            return _outcome_unknown("response without ETag")
        return StoredObject(key=key, value=value, version=version)

    def delete(self, key: str, *, expected_version: int | None) -> Failure | None:
        """Delete if the stored version is the expected one; None deletes any."""
        response = self._write("DELETE", key, _precondition(expected_version), None)
        return response if isinstance(response, Failure) else None

    def watch(
        self, prefix: str, *, after_revision: int, timeout_s: float
    ) -> WatchBatch | Failure:
        """Wait for an object under the prefix that is newer than a revision."""
        query = {
            "prefix": prefix,
            "watch": "1",
            "after": str(after_revision),
            "timeout": f"{timeout_s:g}",
        }
        return self._read_batch(query, timeout_s + WATCH_MARGIN_S)

    def _read_batch(
        self, query: dict[str, str], timeout_s: float
    ) -> WatchBatch | Failure:
        response = self._read(f"{OBJECTS_PATH}?{urlencode(query)}", timeout_s)
        if isinstance(response, Failure):
            return response
        try:
            return _parse_batch(response.data)
        except (ValueError, KeyError, TypeError, OverflowError) as error:
            detail = f"malformed response: {type(error).__name__}"
            return Failure(kind=Kind.STORE_UNAVAILABLE, detail=detail)

    def _read(self, path: str, timeout_s: float) -> _Response | Failure:
        try:
            response = self._request("GET", path, {}, None, timeout_s)
        except http_errors.HTTPError as error:
            return Failure(kind=Kind.STORE_UNAVAILABLE, detail=type(error).__name__)
        if response.status == 200:
            return response
        kind = _KIND_BY_STATUS.get(response.status, Kind.STORE_UNAVAILABLE)
        return Failure(kind=kind, detail=f"status {response.status}")

    def _write(
        self, method: str, key: str, headers: dict[str, str], value: bytes | None
    ) -> _Response | Failure:
        try:
            response = self._request(
                method, _object_path(key), headers, value, self._timeout_s
            )
        except _NOT_SENT as error:
            return Failure(kind=Kind.STORE_UNAVAILABLE, detail=type(error).__name__)
        except http_errors.HTTPError as error:
            return _outcome_unknown(type(error).__name__)
        if response.status in (200, 201, 204):
            return response
        kind = _KIND_BY_STATUS.get(response.status)
        if kind is None:
            return _outcome_unknown(f"status {response.status}")
        return Failure(kind=kind, detail=f"{key}: status {response.status}")

    def _request(
        self,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes | None,
        timeout_s: float,
    ) -> _Response:
        deadline = time.monotonic() + timeout_s + BODY_TIMEOUT_S
        response = self._pool.urlopen(
            method,
            path,
            body=body,
            headers=headers,
            redirect=False,
            timeout=urllib3.Timeout(connect=self._timeout_s, read=timeout_s),
            preload_content=False,
        )
        data = read_body(response, deadline=deadline)
        return _Response(
            status=response.status, data=data, etag=response.headers.get("ETag", "")
        )


def _object_path(key: str) -> str:
    return f"{OBJECTS_PATH}/{quote(key, safe='/')}"


def _precondition(expected_version: int | None) -> dict[str, str]:
    if expected_version is None:
        return {}
    if expected_version == 0:
        return {"If-None-Match": "*"}
    return {"If-Match": f'"{expected_version}"'}


def _version_from_etag(response: _Response) -> int | None:
    tag = response.etag.strip('"')
    return int(tag) if tag.isdecimal() else None


def _outcome_unknown(detail: str) -> Failure:
    return Failure(kind=Kind.STORE_OUTCOME_UNKNOWN, detail=detail)


def _parse_batch(data: bytes) -> WatchBatch:
    parsed: dict[str, Any] = outerjson.loads(data)
    objects = tuple(
        StoredObject(
            key=str(row["key"]),
            value=base64.b64decode(row["value"], validate=True),
            version=int(row["version"]),
        )
        for row in parsed["objects"]
    )
    return WatchBatch(revision=int(parsed["revision"]), objects=objects)
