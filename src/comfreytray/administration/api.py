"""The administration API of a node, for operators and the upstream beside it.

Every answer is JSON. Each request carries the token of the settings; if they have none,
only requests from loopback are served. A request that changes the configuration names
its operator in the `Comfreytray-Operator` header.
"""

import hmac
import ipaddress
import json
import re
from collections.abc import Callable, Iterable, Mapping
from enum import Enum
from typing import Any, Protocol, cast
from urllib.parse import parse_qs, unquote

import attrs
from attrs import field, frozen

from comfreytray.common import outerjson
from comfreytray.common.errors import Failure, Kind, Ran
from comfreytray.common.logs import Event, warn
from comfreytray.common.messages import accepted_language

MAX_BODY_BYTES = 4 * 1024 * 1024
OPERATOR_HEADER = "HTTP_COMFREYTRAY_OPERATOR"
CHANGE_HEADER = "HTTP_COMFREYTRAY_CHANGE"
MAX_CHANGE_ID_LENGTH = 64

StartResponse = Callable[[str, list[tuple[str, str]]], object]
MessageFor = Callable[[Failure, str], str]


@frozen(kw_only=True)
class Request:
    """One request to the administration API."""

    method: str
    path: str
    query: Mapping[str, str] = field(factory=dict)
    body: bytes = b""
    operator: str = ""
    language: str = "en"
    base: str | None = None
    """Digest of the text that the edit is based on, from `If-Match`."""
    change_id: str | None = None
    """Identifies a change, so that a retry of it is not accepted twice."""
    remote_host: str = ""

    def number(self, name: str) -> int | Failure | None:
        """Return a non-negative integer of the query, or None if it is absent."""
        value = self.query.get(name)
        if value is None:
            return None
        if not value.isdecimal():
            return Failure(kind=Kind.BAD_REQUEST, detail=f"{name} is not a number")
        return int(value)


class Handler(Protocol):
    """Serve a request; named segments of the path are keyword arguments."""

    def __call__(self, request: Request, /, **parts: str) -> object:
        """Return the result, of types that `to_jsonable` converts, or a Failure."""
        ...


@frozen(kw_only=True)
class _Route:
    method: str
    pattern: re.Pattern[str]
    handler: Handler
    edits: bool
    """Whether it changes the configuration, for which an operator must be named."""


def to_jsonable(value: object) -> Any:
    """Convert a result to JSON types: bytes to hex, enums to values, attrs to maps."""
    if isinstance(value, Enum):
        return value.value
    if isinstance(value, bytes):
        return value.hex()
    if attrs.has(type(value)):
        return {
            attribute.name.lstrip("_"): to_jsonable(getattr(value, attribute.name))
            for attribute in attrs.fields(cast(Any, type(value)))
        }
    if isinstance(value, Mapping):
        return {str(to_jsonable(key)): to_jsonable(item) for key, item in value.items()}
    if isinstance(value, (list, tuple, set, frozenset)):
        return [to_jsonable(item) for item in value]
    return value


class AdminApi:
    """Check requests and dispatch them to their handlers."""

    def __init__(self, *, token: str, message_for: MessageFor) -> None:
        self._token = token
        self._message_for = message_for
        self._routes: list[_Route] = []

    def add(
        self, method: str, path: str, handler: Handler, *, edits: bool = False
    ) -> None:
        """Register the handler of a path such as /v1/versions/<version>.

        `edits` requires that requests name an operator.
        """
        named = re.sub(r"<(\w+)>", r"(?P<\1>[^/]+)", path)
        pattern = re.compile(f"^{named}$")
        route = _Route(method=method, pattern=pattern, handler=handler, edits=edits)
        self._routes.append(route)

    def wsgi_app(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Serve one request, as a WSGI application."""
        request = _read_request(environ)
        if isinstance(request, Failure):
            return self._reply_failure(request, "en", start_response)
        refused = self._check_token(environ, request)
        if refused is not None:
            return self._reply_failure(refused, request.language, start_response)
        result = self._handle(request)
        if isinstance(result, Failure):
            return self._reply_failure(result, request.language, start_response)
        return _reply(200, {"result": to_jsonable(result)}, [], start_response)

    def _check_token(
        self, environ: Mapping[str, Any], request: Request
    ) -> Failure | None:
        """Refuse a missing or wrong token.

        The upstream announces itself from loopback without one.
        """
        if _is_loopback(request.remote_host) and not self._token:
            return None
        given = environ.get("HTTP_AUTHORIZATION", "").removeprefix("Bearer ")
        if self._token and hmac.compare_digest(given.encode(), self._token.encode()):
            return None
        if _is_loopback(request.remote_host) and request.path == "/v1/announcement":
            return None
        return Failure(kind=Kind.UNAUTHORIZED, detail="token missing or wrong")

    def _handle(self, request: Request) -> object:
        known_path = False
        for route in self._routes:
            match = route.pattern.match(request.path)
            if match is None:
                continue
            known_path = True
            if route.method != request.method:
                continue
            if route.edits and not request.operator:
                return Failure(kind=Kind.OPERATOR_MISSING)
            parts = {name: unquote(part) for name, part in match.groupdict().items()}
            return _call_handler(route.handler, request, parts)
        kind = Kind.METHOD_NOT_SUPPORTED if known_path else Kind.NOT_FOUND
        return Failure(
            kind=kind,
            detail=request.path,
            fields={"method": request.method, "path": request.path},
        )

    def _reply_failure(
        self, failure: Failure, language: str, start_response: StartResponse
    ) -> Iterable[bytes]:
        answer = failure.answer
        retry_after_s = failure.retry_after_s or answer.retry_after_s
        body = {
            "error": {
                "kind": failure.kind.value,
                "ran": answer.ran.value,
                "retry": answer.retry.value,
                "retry_after_s": retry_after_s,
                "exit_code": answer.exit_code,
                "message": self._message_for(failure, language),
                "detail": failure.detail,
                "fields": failure.fields,
            }
        }
        headers = []
        if retry_after_s is not None and answer.ran is not Ran.YES:
            headers.append(("Retry-After", str(retry_after_s)))
        return _reply(answer.status, body, headers, start_response)


def _call_handler(
    handler: Handler, request: Request, parts: Mapping[str, str]
) -> object:
    """Call a handler; an unexpected error fails only this request, as INTERNAL."""
    try:
        return handler(request, **parts)
    except Exception as error:
        warn(Event.INTERNAL_ERROR, path=request.path, error=repr(error))
        return Failure(kind=Kind.INTERNAL, detail=repr(error))


def _is_loopback(host: str) -> bool:
    try:
        return ipaddress.ip_address(host).is_loopback
    except ValueError:
        return False


def _read_request(environ: Mapping[str, Any]) -> Request | Failure:
    length = environ.get("CONTENT_LENGTH") or "0"
    if not length.isdecimal():
        return Failure(
            kind=Kind.BAD_REQUEST, detail=f"Content-Length is not a number: {length}"
        )
    if int(length) > MAX_BODY_BYTES:
        return Failure(kind=Kind.BODY_TOO_LARGE, detail=length)
    query = parse_qs(environ.get("QUERY_STRING", ""), keep_blank_values=True)
    operator = environ.get(OPERATOR_HEADER, "").encode("latin-1", "replace")
    return Request(
        method=environ["REQUEST_METHOD"],
        path=environ.get("RAW_PATH_INFO", environ["PATH_INFO"]).partition("?")[0],
        query={name: values[-1] for name, values in query.items()},
        body=environ["wsgi.input"].read(int(length)) if int(length) else b"",
        operator=unquote(operator.decode("utf-8", "replace")),
        language=accepted_language(environ.get("HTTP_ACCEPT_LANGUAGE", "")),
        base=environ.get("HTTP_IF_MATCH", "").strip('"') or None,
        change_id=environ.get(CHANGE_HEADER, "")[:MAX_CHANGE_ID_LENGTH] or None,
        remote_host=environ.get("REMOTE_ADDR", ""),
    )


def _reply(
    status: int,
    body: object,
    headers: list[tuple[str, str]],
    start_response: StartResponse,
) -> Iterable[bytes]:
    data = json.dumps(body, ensure_ascii=False).encode()
    fixed = [
        ("Content-Type", "application/json; charset=utf-8"),
        ("Content-Length", str(len(data))),
    ]
    start_response(f"{status} {_reason_phrase(status)}", [*fixed, *headers])
    return [data]


def _reason_phrase(status: int) -> str:
    from http import HTTPStatus

    try:
        return HTTPStatus(status).phrase
    except ValueError:
        return "Unknown"


def parse_json(body: bytes) -> Any:
    """Parse a JSON body; return a Failure if it is not valid."""
    try:
        return outerjson.loads(body)
    except ValueError as error:
        return Failure(kind=Kind.BAD_REQUEST, detail=f"body is not valid JSON: {error}")
