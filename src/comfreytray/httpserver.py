"""Serve HTTP to callers: eventlet's WSGI server with strict heads."""

import re
from collections.abc import Callable
from typing import Any, Protocol

import eventlet
from eventlet import wsgi

from comfreytray.errors import Failure, Kind
from comfreytray.interfaces import Clock

MAX_LINE_BYTES = 8192
MAX_HEADERS = 100
HEAD_TIMEOUT_S = 10.0
KEEPALIVE_S = 75.0
SOCKET_TIMEOUT_S = 30.0
MAX_CONNECTIONS = 2048

_TOKEN = re.compile(r"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
_BAD_VALUE = re.compile(r"[\x00-\x08\x0a-\x1f\x7f]")
_BAD_TARGET = re.compile(r"[\x00-\x20\x7f-\xff]")
_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "POST", "PUT", "PATCH", "DELETE"})
_KIND_BY_STATUS = {
    405: Kind.METHOD_NOT_SUPPORTED,
    414: Kind.HEAD_TOO_LARGE,
    431: Kind.HEAD_TOO_LARGE,
}


class Heads(Protocol):
    """Answer and follow what happens before a call reaches the application."""

    clock: Clock
    head_started_by_socket: dict[Any, float]

    def refusal(self, failure: Failure, accept_language: str) -> bytes:
        """Return a whole HTTP answer for a head that is refused."""
        ...


def protocol_for(heads: Heads) -> type[wsgi.HttpProtocol]:
    """Make the protocol class of a server."""

    class StrictProtocol(wsgi.HttpProtocol):
        """Refuse heads that two readers could take in two ways."""

        def _read_request_line(self) -> bytes:
            line: bytes = super()._read_request_line()
            if not line:
                return line
            if len(line) >= MAX_LINE_BYTES:
                self._refuse(Failure(kind=Kind.HEAD_TOO_LARGE, detail="request line"))
                return b""
            heads.head_started_by_socket[self.connection] = heads.clock.monotonic()
            return line

        def parse_request(self) -> bool:
            try:
                if not super().parse_request():
                    return False
                fault = _fault_of(self)
            except (wsgi.HeaderLineTooLong, wsgi.HeadersTooLarge):
                fault = Failure(kind=Kind.HEAD_TOO_LARGE)
            finally:
                heads.head_started_by_socket.pop(self.connection, None)
            if fault is not None:
                self._refuse(fault)
                return False
            return True

        def send_error(
            self, code: int, message: str | None = None, explain: str | None = None
        ) -> None:
            kind = _KIND_BY_STATUS.get(code, Kind.BAD_REQUEST)
            self._refuse(Failure(kind=kind, detail=message or ""))

        def get_environ(self) -> dict[str, Any]:
            environ: dict[str, Any] = super().get_environ()
            environ["comfreytray.protocol"] = self
            return environ

        def _refuse(self, failure: Failure) -> None:
            headers = getattr(self, "headers", None)
            language = headers.get("accept-language", "") if headers else ""
            self.wfile.write(heads.refusal(failure, language))
            self.wfile.flush()
            self.close_connection = True

    return StrictProtocol


def serve(listener: Any, application: Callable[..., Any], heads: Heads) -> None:
    """Serve until the listener is closed."""
    wsgi.server(
        listener,
        application,
        custom_pool=eventlet.GreenPool(MAX_CONNECTIONS),
        protocol=protocol_for(heads),
        keepalive=KEEPALIVE_S,
        socket_timeout=SOCKET_TIMEOUT_S,
        log_output=False,
        url_length_limit=MAX_LINE_BYTES,
        debug=False,
    )


def _fault_of(request: Any) -> Failure | None:
    pairs: list[tuple[str, str]] = request.headers._headers
    if request.request_version not in ("HTTP/1.0", "HTTP/1.1"):
        return Failure(kind=Kind.BAD_REQUEST, detail="version")
    if request.command not in _METHODS:
        return Failure(kind=Kind.METHOD_NOT_SUPPORTED, detail="method")
    if not request.path.startswith("/") or _BAD_TARGET.search(request.path):
        return Failure(kind=Kind.BAD_REQUEST, detail="target")
    if len(pairs) > MAX_HEADERS:
        return Failure(kind=Kind.HEAD_TOO_LARGE, detail="number of headers")
    if request.headers.defects or request.headers.get_payload():
        return Failure(kind=Kind.BAD_REQUEST, detail="header line")
    for name, value in pairs:
        if _TOKEN.fullmatch(name) is None or _BAD_VALUE.search(value):
            return Failure(kind=Kind.BAD_REQUEST, detail="header")
    return _framing_fault(request, [(name.lower(), value) for name, value in pairs])


def _framing_fault(request: Any, pairs: list[tuple[str, str]]) -> Failure | None:
    lengths = [value for name, value in pairs if name == "content-length"]
    codings = [value for name, value in pairs if name == "transfer-encoding"]
    hosts = [value for name, value in pairs if name == "host"]
    if len(lengths) > 1 or len(codings) > 1 or (lengths and codings):
        return Failure(kind=Kind.BAD_REQUEST, detail="ambiguous framing")
    if lengths and not (lengths[0].isascii() and lengths[0].isdigit()):
        return Failure(kind=Kind.BAD_REQUEST, detail="content length")
    if codings and codings[0].strip().lower() != "chunked":
        return Failure(kind=Kind.BAD_REQUEST, detail="transfer coding")
    if codings and request.request_version == "HTTP/1.0":
        return Failure(kind=Kind.BAD_REQUEST, detail="transfer coding in HTTP/1.0")
    if len(hosts) > 1 or (not hosts and request.request_version == "HTTP/1.1"):
        return Failure(kind=Kind.BAD_REQUEST, detail="host")
    return None
