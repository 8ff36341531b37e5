"""Bodies of callers' requests: reading them, and the memory that they may take."""

from typing import Any

import eventlet
from eventlet.hubs import get_hub

from comfreytray.calls.bodypool import NO_ROOM, BodyPool
from comfreytray.calls.call import MAX_BODY_BYTES
from comfreytray.calls.uploads import PART_BYTES, UPLOAD_RESERVED_BYTES, UploadError
from comfreytray.common.errors import Failure, Kind
from comfreytray.common.interfaces import Clock
from comfreytray.common.turns import Turns

BODY_TIMEOUT_S = 10.0
READ_BYTES = 16_384
"""Bytes of a body that are read at once, and for which there is room before."""

Environ = dict[str, Any]


class _BodyTimeoutError(Exception):
    """Raised when a body was not read within its time-out."""


class _BodyShedError(Exception):
    """Raised where a body is read that has lost its memory."""


class _Source:
    """Reads a body from its connection, and can be interrupted for others."""

    def __init__(self, *, environ: Environ, pool: BodyPool, length: int | None) -> None:
        self.share = pool.open(length=length, on_shed=self._interrupt)
        self._input = environ["wsgi.input"]
        self._greenlet: Any = None
        """The greenlet that waits for bytes."""
        self._turns = Turns()
        environ["comfreytray.body_share"] = self.share

    def reserve(self, size: int) -> None:
        """Hold at least so many bytes; raises _BodyShedError."""
        if size > self.share.held_bytes and not self.share.resize(size):
            raise _BodyShedError

    def receive(self, size: int) -> bytes:
        """Wait for bytes, empty at the end; raises _BodyShedError."""
        part: bytes = b""
        self._turns.take()
        self._greenlet = eventlet.getcurrent()
        self.share.begin_wait()
        try:
            part = self._input.read1(size)
        finally:
            self._greenlet = None
            self.share.end_wait(len(part))
        if self.share.failure is not None:
            raise _BodyShedError
        return part

    def receive_all(self, size: int) -> bytes:
        """Receive so many bytes, or fewer at the end; raises _BodyShedError."""
        body = bytearray()
        while len(body) < size:
            part = self.receive(min(READ_BYTES, size - len(body)))
            if not part:
                break
            body += part
        return bytes(body)

    def _interrupt(self) -> None:
        get_hub().schedule_call_global(0, self._throw)

    def _throw(self) -> None:
        if self._greenlet is not None:
            self._greenlet.throw(_BodyShedError())


class CallerUpload:
    """A body that is read from the connection of its caller as it is sent on."""

    def __init__(
        self,
        *,
        environ: Environ,
        source: _Source,
        prefix: bytes,
        limit: int,
        deadline: float,
        clock: Clock,
    ) -> None:
        """Create it; `prefix` is what was read of a chunked body before."""
        self.length = _declared_length(environ)
        self.started = False
        self.complete = False
        self._environ = environ
        self._source = source
        self._prefix = memoryview(prefix)
        self._limit = limit
        self._deadline = deadline
        self._clock = clock
        self._taken_bytes = 0

    def receive_first(self) -> Failure | None:
        """Receive the first part in advance; return why it did not come."""
        try:
            self._prefix = memoryview(self._receive())
        except UploadError as error:
            return error.failure
        return None

    def read(self) -> bytes:
        """Wait for the next part, empty at the end; raises UploadError."""
        self.started = self._source.share.is_passed_on = True
        part = bytes(self._prefix[:PART_BYTES])
        self._prefix = self._prefix[PART_BYTES:]
        if not part:
            part = self._receive()
        self._taken_bytes += len(part)
        if self._taken_bytes > self._limit:
            raise UploadError(Failure(kind=Kind.BODY_TOO_LARGE))
        if self.length is None:
            self.complete = not part
        else:
            self.complete = self._taken_bytes == self.length
        if self.complete:
            self._environ["comfreytray.body_read"] = True
        return part

    def _receive(self) -> bytes:
        left_s = self._deadline - self._clock.monotonic()
        timeout = _BodyTimeoutError()
        try:
            with eventlet.Timeout(max(0.0, min(BODY_TIMEOUT_S, left_s)), timeout):
                part = self._source.receive_all(PART_BYTES)
        except _BodyShedError as error:
            raise UploadError(self._source.share.failure or NO_ROOM) from error
        except (_BodyTimeoutError, TimeoutError) as error:
            is_due = self._clock.monotonic() >= self._deadline
            kind = Kind.DEADLINE_BEFORE_RUN if is_due else Kind.BODY_TOO_SLOW
            raise UploadError(Failure(kind=kind, detail="within the body")) from error
        except (OSError, ValueError, EOFError) as error:
            raise _truncated("malformed body") from error
        if self.length is not None:
            taken = self._taken_bytes + len(part)
            if taken < self.length and len(part) < PART_BYTES:
                raise _truncated(f"body truncated: got {taken} of {self.length} bytes")
        return part


def read_body(
    environ: Environ,
    pool: BodyPool,
    *,
    limit: int,
    deadline: float,
    clock: Clock,
) -> bytes | CallerUpload | Failure:
    """Read a complete body, or the beginning of one that is too large to be buffered.

    Memory stays reserved until `release_body`.
    """
    length = _declared_length(environ)
    if length == 0:
        return b""
    if length is not None and length > limit:
        return Failure(kind=Kind.BODY_TOO_LARGE)
    source = _Source(environ=environ, pool=pool, length=length)
    prefix = b""
    try:
        if length is None or length <= MAX_BODY_BYTES:
            body = _read_buffered(environ, source, length, min(limit, MAX_BODY_BYTES))
            if isinstance(body, Failure) or environ.get("comfreytray.body_read"):
                return body
            if limit <= MAX_BODY_BYTES or len(body) > limit:
                return Failure(kind=Kind.BODY_TOO_LARGE)
            prefix = body
        source.reserve(len(prefix) + UPLOAD_RESERVED_BYTES)
    except _BodyShedError:
        close_after(environ)
        return source.share.failure or NO_ROOM
    upload = CallerUpload(
        environ=environ,
        source=source,
        prefix=prefix,
        limit=limit,
        deadline=deadline,
        clock=clock,
    )
    environ["comfreytray.body_read"] = False
    # A caller that sends nothing must not hold a slot of an upstream meanwhile.
    failure = None if prefix else upload.receive_first()
    return failure or upload


def _declared_length(environ: Environ) -> int | None:
    """Return the length of a body, None for a chunked one."""
    if "HTTP_TRANSFER_ENCODING" in environ:
        return None
    return int(environ.get("CONTENT_LENGTH") or 0)


def _read_buffered(
    environ: Environ, source: _Source, length: int | None, limit: int
) -> bytes | Failure:
    """Read a body to its end, or more than `limit` bytes of a chunked one."""
    try:
        with eventlet.Timeout(BODY_TIMEOUT_S, _BodyTimeoutError()):
            body = _read_growing(source, limit + 1 if length is None else length)
    except (_BodyTimeoutError, TimeoutError):
        close_after(environ)
        return Failure(kind=Kind.BODY_TOO_SLOW)
    except (OSError, ValueError, EOFError):
        close_after(environ)
        return Failure(kind=Kind.BAD_REQUEST, detail="malformed body")
    if len(body) > limit:
        return body
    if length is not None and len(body) < length:
        close_after(environ)
        return _truncated(f"body truncated: got {len(body)} of {length} bytes").failure
    environ["comfreytray.body_read"] = True
    if length is None:
        source.share.resize(len(body))
    return body


def _read_growing(source: _Source, limit: int) -> bytes:
    """Read to the end, or `limit` bytes, and hold room for one read in advance."""
    most = limit if source.share.is_small else READ_BYTES
    # Chunks may be of a byte each, so they are not kept one by one.
    body = bytearray()
    while len(body) < limit:
        ahead = min(most, limit - len(body))
        source.reserve(len(body) + ahead)
        part = source.receive(ahead)
        if not part:
            break
        if len(part) == limit:
            return part
        body += part
    return bytes(body)


def _truncated(detail: str) -> UploadError:
    return UploadError(Failure(kind=Kind.BAD_REQUEST, detail=detail))


def release_body(environ: Environ) -> None:
    """Release the bytes reserved for the body of a request."""
    share = environ.pop("comfreytray.body_share", None)
    if share is not None:
        share.release()


def has_unread_body(environ: Environ) -> bool:
    """Whether a request has a body that was not read to its end."""
    if environ.get("comfreytray.body_read"):
        return False
    length = environ.get("CONTENT_LENGTH") or "0"
    return "HTTP_TRANSFER_ENCODING" in environ or length != "0"


def has_unread_upload(environ: Environ) -> bool:
    """Whether a request has a streamed body that was not read to its end."""
    return environ.get("comfreytray.body_read") is False


def close_after(environ: Environ) -> None:
    """Have the server close the connection after the answer."""
    protocol = environ.get("comfreytray.protocol")
    if protocol is not None:
        protocol.close_connection = True
        protocol.lingers = has_unread_body(environ)


def close_behind_last(environ: Environ) -> None:
    """Have the server close the connection unless requests were read behind this."""
    protocol = environ.get("comfreytray.protocol")
    if protocol is not None and protocol.ends_connection():
        protocol.close_connection = True


def close_after_cut(environ: Environ) -> None:
    """Have the server close the connection of a call that was cut, when it may."""
    if has_unread_body(environ):
        close_after(environ)
    else:
        close_behind_last(environ)
