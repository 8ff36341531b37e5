"""The client of the administration API that the operator's commands use."""

from types import TracebackType
from typing import Any
from urllib.parse import quote, urlencode

import urllib3

from comfreytray.common import outerjson
from comfreytray.common.errors import Failure, Kind

TIMEOUT_S = 30.0


class AdminClient:
    """Send requests to the administration API of one node."""

    def __init__(
        self, *, url: str, token: str = "", operator: str = "", language: str = "en"
    ) -> None:
        self._url = url.rstrip("/")
        self._pool = urllib3.PoolManager(retries=False, timeout=TIMEOUT_S)
        self._headers = {"Accept-Language": language}
        if token:
            self._headers["Authorization"] = f"Bearer {token}"
        if operator:
            self._headers["Comfreytray-Operator"] = quote(operator)

    def __enter__(self) -> "AdminClient":
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self.close()

    def close(self) -> None:
        """Close the connections."""
        self._pool.clear()

    def ask(
        self,
        method: str,
        *parts: str,
        query: dict[str, object] | None = None,
        body: bytes | None = None,
        base: str | None = None,
        change_id: str | None = None,
    ) -> Any:
        """Send a request; return its result as JSON types, or a Failure.

        `parts` are the segments of the path below /v1; `base` is sent as If-Match.
        """
        path = "/".join(quote(part, safe="") for part in ("v1", *parts))
        given = {k: v for k, v in (query or {}).items() if v is not None}
        url = f"{self._url}/{path}" + (f"?{urlencode(given)}" if given else "")
        headers = dict(self._headers)
        if base:
            headers["If-Match"] = f'"{base}"'
        if change_id:
            headers["Comfreytray-Change"] = change_id
        try:
            answer = self._pool.request(method, url, body=body, headers=headers)
        except urllib3.exceptions.HTTPError as error:
            return Failure(
                kind=Kind.NODE_UNREACHABLE,
                detail=type(error).__name__,
                fields={"node": self._url},
            )
        return _parse(answer.data)


def _parse(data: bytes) -> Any:
    try:
        document = outerjson.loads(data)
        if "result" in document:
            return document["result"]
        error = document["error"]
        return Failure(
            kind=Kind(error["kind"]),
            detail=error["message"],
            fields={str(k): str(v) for k, v in error["fields"].items()},
            retry_after_s=error["retry_after_s"],
        )
    except (ValueError, TypeError, LookupError, AttributeError):
        return Failure(kind=Kind.INTERNAL, detail="the answer is not one of a node")
