"""One persistent HTTP connection to the upstream beside a node."""

import contextlib
import errno
import math
import socket as plain_socket
from collections.abc import Iterator
from typing import Any

from eventlet.green import socket
from eventlet.hubs import trampoline

from comfreytray.calls.call import Call, ceil_ms
from comfreytray.calls.dialect import Dialect
from comfreytray.calls.heads import StrictResponse
from comfreytray.common.interfaces import Address, Clock
from comfreytray.common.keepalive import enable_keepalive
from comfreytray.common.turns import Turns

CONNECT_TIMEOUT_S = 1.0
READ_BYTES = 65_536
MIN_TIMEOUT_S = 0.001
_PEEK_FLAGS = plain_socket.MSG_PEEK | plain_socket.MSG_DONTWAIT
_LAST_CHUNK = b"0\r\n\r\n"
_CHUNKED = "Transfer-Encoding: chunked"
_METHODS_WITH_BODY = frozenset({"POST", "PUT", "PATCH"})


class ResponseReader:
    """Buffered reader of a connection, shared by all answers on it."""

    def __init__(self, sock: Any, *, clock: Clock) -> None:
        self.deadline = math.inf
        """Monotonic time at which reading ends, however many bytes still arrive."""
        self._sock = sock
        self._clock = clock
        self._buffer = bytearray()
        self._turns = Turns()

    def makefile(self, mode: str) -> "ResponseReader":
        """Return itself: the standard library's response takes this for a socket."""
        del mode
        return self

    @property
    def buffered_bytes(self) -> int:
        """Number of bytes received but not yet consumed."""
        return len(self._buffer)

    def readline(self, limit: int = -1, /) -> bytes:
        """Return a line, at most `limit` bytes of it."""
        limit_bytes = limit if limit >= 0 else READ_BYTES
        while True:
            end = self._buffer.find(b"\n", 0, limit_bytes)
            if end >= 0:
                return self._consume(end + 1)
            if len(self._buffer) >= limit_bytes or not self._fill_buffer():
                return self._consume(limit_bytes)

    def read(self, size: int = -1, /) -> bytes:
        """Return `size` bytes, or all bytes up to the end of the connection."""
        while (size < 0 or len(self._buffer) < size) and self._fill_buffer():
            pass
        return self._consume(len(self._buffer) if size < 0 else size)

    def read1(self, size: int = -1, /) -> bytes:
        """Return buffered bytes; if there are none, receive once."""
        if not self._buffer:
            self._fill_buffer()
        return self._consume(READ_BYTES if size < 0 else size)

    def readinto(self, target: Any, /) -> int:
        """Fill a buffer, or less of it if the connection ends."""
        part = self.read(len(target))
        target[: len(part)] = part
        return len(part)

    def flush(self) -> None:
        """Do nothing: the reader has no output."""

    def close(self) -> None:
        """Do nothing: the connection stays open for further answers."""

    def _fill_buffer(self) -> bool:
        part = self._receive()
        self._buffer += part
        return bool(part)

    def _receive(self) -> bytes:
        """Receive bytes, waiting if there are none; raises OSError, also at a reset.

        Eventlet's own `recv` returns no bytes at a reset, as at an orderly end.
        """
        while True:
            left_s = self.deadline - self._clock.monotonic()
            if left_s <= 0:
                raise TimeoutError("deadline of the exchange")
            try:
                part: bytes = self._sock.fd.recv(READ_BYTES)
            except BlockingIOError:
                self._wait_readable(left_s)
                continue
            self._turns.take()
            return part

    def _wait_readable(self, left_s: float) -> None:
        trampoline(
            self._sock.fd,
            read=True,
            timeout=None if math.isinf(left_s) else max(MIN_TIMEOUT_S, left_s),
            timeout_exc=TimeoutError,
        )

    def _consume(self, size: int) -> bytes:
        part = bytes(self._buffer[:size])
        del self._buffer[:size]
        return part


class UpstreamConnection:
    """A persistent HTTP connection to an upstream, for one call at a time.

    It sends each request as one block and counts the bytes sent: a call of which no
    byte was sent did not run.
    """

    def __init__(self, *, address: Address, clock: Clock, dialect: Dialect) -> None:
        self.address = address
        self.clock = clock
        self.dialect = dialect
        self.opened_at = 0.0
        self.idle_since = 0.0
        self.idle_s = 0.0
        """Seconds it was idle before its current call; 0 for the first."""
        self.sent_at = 0.0
        self.sent_bytes = 0
        self.attempt = 0
        """Number of the last send, of all connections to the upstream."""
        self.has_unsent_body = False
        """Whether the rest of a streamed body is still to be sent."""
        self._is_chunked = False
        self._deadline = math.inf
        self.is_kept = False
        """Whether it served another call before the current one."""
        self._sock: Any = None
        self._reader: ResponseReader | None = None
        self._method = ""

    def connect(self) -> None:
        """Open the connection; raises OSError."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            sock.settimeout(CONNECT_TIMEOUT_S)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            enable_keepalive(sock)
            sock.connect(self.address)
        except BaseException:
            sock.close()
            raise
        self._sock = sock
        self._reader = ResponseReader(sock, clock=self.clock)
        self.opened_at = self.clock.monotonic()

    def close(self) -> None:
        """Close the connection, if it was opened."""
        if self._sock is not None:
            with contextlib.suppress(OSError):
                self._sock.close()

    @property
    def has_unclaimed_bytes(self) -> bool:
        """Whether bytes were received that belong to no answer."""
        return self._reader is None or self._reader.buffered_bytes > 0

    @property
    def is_between_calls(self) -> bool:
        """Whether the last call was sent whole, and nothing came after its answer."""
        return not (self.has_unclaimed_bytes or self.has_unsent_body)

    def is_reusable(self) -> bool:
        """Whether an idle connection is still open and has received nothing."""
        if self.has_unclaimed_bytes:
            return False
        return self._peek() is None

    @property
    def is_closed(self) -> bool:
        """Whether the upstream, or this node, has closed the connection."""
        return self._peek() == b""

    def _peek(self) -> bytes | None:
        """Return a byte if one is waiting, None if not, b"" if it is closed."""
        try:
            return self._sock.fd.recv(1, _PEEK_FLAGS)  # type: ignore[no-any-return]
        except OSError as error:
            is_open = error.errno in (errno.EAGAIN, errno.EWOULDBLOCK)
            return None if is_open else b""

    def write_call(self, call: Call, instance_id: str, *, attempt: int) -> None:
        """Send a call with its remaining time; raises OSError, ValueError.

        A streamed body is not sent; its parts follow by `write_part`.
        """
        self.is_kept = self.attempt > 0
        self.attempt = attempt
        left_s = call.deadline - self.clock.monotonic()
        self.sent_bytes = 0
        self.sent_at = self.clock.monotonic()
        self._method = call.method
        block = (
            _encode_head(call, self._node_fields(call, left_s, instance_id)) + call.body
        )
        if self._reader is not None:
            self._reader.deadline = call.deadline
        self._deadline = call.deadline
        self.has_unsent_body = call.upload is not None
        self._is_chunked = call.upload is not None and call.upload.length is None
        self._send(block)

    def wait_until_ready(self) -> None:
        """Do nothing: writing a part of a body waits itself."""

    def write_part(self, part: bytes, *, last: bool) -> None:
        """Send a part of a streamed body; raises OSError."""
        if self._is_chunked:
            part = b"%x\r\n%b\r\n" % (len(part), part) if part else b""
            part += _LAST_CHUNK if last else b""
        self._send(part)
        if last:
            self.has_unsent_body = False

    def abort_upload(self) -> None:
        """Shut the connection down, so that the upstream sees that the body is cut."""
        with contextlib.suppress(OSError):
            self._sock.shutdown(plain_socket.SHUT_RDWR)

    def _send(self, block: bytes) -> None:
        view = memoryview(block)
        while view:
            left_s = self._deadline - self.clock.monotonic()
            self._sock.settimeout(max(MIN_TIMEOUT_S, left_s))
            sent = self._sock.send(view)
            self.sent_bytes += sent
            view = view[sent:]

    def read_head(self) -> StrictResponse:
        """Read the head of the next answer; raises OSError, HTTPException."""
        response = StrictResponse(
            self._reader,
            method=self._method,
            accepts_close_delimited=self.dialect.accepts_close_delimited,
        )
        response.begin()
        return response

    def _node_fields(
        self, call: Call, left_s: float, instance_id: str
    ) -> Iterator[tuple[str, str]]:
        """Yield the header fields that the node adds to a call for the upstream."""
        dialect = self.dialect
        value_by_name = {
            dialect.deadline: str(ceil_ms(left_s)),
            dialect.depth: str(call.depth + 1),
            dialect.trace: call.trace,
            dialect.retried: "1" if call.retried else "",
            dialect.attempt: str(self.attempt),
            dialect.instance: instance_id,
            dialect.caller: call.caller,
            dialect.customer: call.customer,
        }
        for name, value in value_by_name.items():
            if name and value:
                yield name, value


def _encode_head(call: Call, node_fields: Iterator[tuple[str, str]]) -> bytes:
    lines = [f"{call.method} {call.target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in call.headers]
    lines += [f"{name}: {value}" for name, value in node_fields]
    if call.upload is not None:
        length = call.upload.length
        framing = f"Content-Length: {length}" if length is not None else _CHUNKED
        lines.append(framing)
    elif call.body or call.method in _METHODS_WITH_BODY:
        lines.append(f"Content-Length: {len(call.body)}")
    text = "\r\n".join(lines)
    if text.count("\n") != len(lines) - 1 or text.count("\r") != len(lines) - 1:
        raise ValueError("line break in a header field")
    return text.encode("latin-1") + b"\r\n\r\n"
