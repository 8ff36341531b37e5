"""Bodies of callers' requests: reading them, and the memory that they may take."""

from typing import Any

import eventlet

from comfreytray.calls.call import MAX_BODY_BYTES
from comfreytray.common.errors import Failure, Kind

BODY_TIMEOUT_S = 10.0
READ_BYTES = 65_536
MAX_RESERVED_BYTES = 12 * MAX_BODY_BYTES
"""Bytes of request bodies that a node holds at one time."""

Environ = dict[str, Any]


class BodyBudget:
    """Limits the bytes of request bodies that a node holds at one time."""

    def __init__(self, *, limit: int = MAX_RESERVED_BYTES) -> None:
        self.limit = limit
        self.reserved = 0

    def reserve(self, size: int) -> bool:
        """Reserve bytes for a body; whether the limit allows it."""
        if self.reserved + size > self.limit:
            return False
        self.reserved += size
        return True

    def release(self, size: int) -> None:
        """Release the reserved bytes of a body."""
        self.reserved -= size


class _BodyTimeoutError(Exception):
    """Raised when a body was not read within its time-out."""


def read_body(environ: Environ, budget: BodyBudget, *, limit: int) -> bytes | Failure:
    """Read a complete body, within the limits on size and time."""
    chunked = "HTTP_TRANSFER_ENCODING" in environ
    length = int(environ.get("CONTENT_LENGTH") or 0)
    if not chunked and length == 0:
        return b""
    if length > limit:
        return Failure(kind=Kind.BODY_TOO_LARGE)
    size = limit if chunked else length
    if not budget.reserve(size):
        return Failure(kind=Kind.OVERLOADED, detail="too many request bodies in memory")
    environ["comfreytray.reserved"] = size
    try:
        with eventlet.Timeout(BODY_TIMEOUT_S, _BodyTimeoutError()):
            body = _read_parts(environ["wsgi.input"], limit)
    except (_BodyTimeoutError, TimeoutError):
        close_after(environ)
        return Failure(kind=Kind.BODY_TOO_SLOW)
    except (OSError, ValueError, EOFError):
        close_after(environ)
        return Failure(kind=Kind.BAD_REQUEST, detail="malformed body")
    if len(body) > limit:
        return Failure(kind=Kind.BODY_TOO_LARGE)
    if not chunked and len(body) < length:
        close_after(environ)
        return Failure(
            kind=Kind.BAD_REQUEST,
            detail=f"body truncated: got {len(body)} of {length} bytes",
        )
    environ["comfreytray.body_read"] = True
    return body


def _read_parts(source: Any, limit: int) -> bytes:
    parts: list[bytes] = []
    size = 0
    while size <= limit:
        part = source.read(READ_BYTES)
        if not part:
            break
        parts.append(part)
        size += len(part)
    return b"".join(parts)


def release_body(environ: Environ, budget: BodyBudget) -> None:
    """Release the bytes reserved for the body of a request."""
    budget.release(environ.pop("comfreytray.reserved", 0))


def has_unread_body(environ: Environ) -> bool:
    """Whether a request has a body that was not read to its end."""
    if environ.get("comfreytray.body_read"):
        return False
    length = environ.get("CONTENT_LENGTH") or "0"
    return "HTTP_TRANSFER_ENCODING" in environ or length != "0"


def close_after(environ: Environ) -> None:
    """Have the server close the connection after the answer."""
    protocol = environ.get("comfreytray.protocol")
    if protocol is not None:
        protocol.close_connection = True
        protocol.lingers = has_unread_body(environ)
