"""One kept connection to the upstream beside a node."""

import contextlib
import errno
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

CONNECT_TIMEOUT_S = 1.0
READ_BYTES = 65_536
MIN_TIMEOUT_S = 0.001
_PEEK_FLAGS = plain_socket.MSG_PEEK | plain_socket.MSG_DONTWAIT
_METHODS_WITH_BODY = frozenset({"POST", "PUT", "PATCH"})


class ResponseReader:
    """Read the bytes of a connection; what is read ahead stays for the next answer."""

    def __init__(self, sock: Any) -> None:
        self._sock = sock
        self._buffer = bytearray()

    def makefile(self, mode: str) -> "ResponseReader":
        """Return itself, as the standard library asks a socket for its file."""
        del mode
        return self

    @property
    def buffered_bytes(self) -> int:
        """Count the bytes that were read and that nobody has taken yet."""
        return len(self._buffer)

    def readline(self, limit: int = -1, /) -> bytes:
        """Return a line, or as much of it as the limit allows."""
        limit_bytes = limit if limit >= 0 else READ_BYTES
        while True:
            end = self._buffer.find(b"\n", 0, limit_bytes)
            if end >= 0:
                return self._consume(end + 1)
            if len(self._buffer) >= limit_bytes or not self._fill_buffer():
                return self._consume(limit_bytes)

    def read(self, size: int = -1, /) -> bytes:
        """Return so many bytes, or all up to the end of the connection."""
        while (size < 0 or len(self._buffer) < size) and self._fill_buffer():
            pass
        return self._consume(len(self._buffer) if size < 0 else size)

    def read1(self, size: int = -1, /) -> bytes:
        """Return what is there, or wait once."""
        if not self._buffer:
            self._fill_buffer()
        return self._consume(READ_BYTES if size < 0 else size)

    def readinto(self, target: Any, /) -> int:
        """Fill a buffer as far as the connection gives bytes."""
        part = self.read(len(target))
        target[: len(part)] = part
        return len(part)

    def flush(self) -> None:
        """Do nothing: a source is only read."""

    def close(self) -> None:
        """Do nothing: the connection outlives its answers."""

    def _fill_buffer(self) -> bool:
        part = self._receive()
        self._buffer += part
        return bool(part)

    def _receive(self) -> bytes:
        """Read what has come; raises OSError, a reset too.

        Eventlet's own `recv` returns nothing at a reset, as at an orderly end.
        """
        while True:
            try:
                return self._sock.fd.recv(READ_BYTES)  # type: ignore[no-any-return]
            except BlockingIOError:
                trampoline(
                    self._sock.fd,
                    read=True,
                    timeout=self._sock.gettimeout(),
                    timeout_exc=TimeoutError,
                )

    def _consume(self, size: int) -> bytes:
        part = bytes(self._buffer[:size])
        del self._buffer[:size]
        return part


class UpstreamConnection:
    """Send each request in one block and count the bytes that left."""

    def __init__(self, *, address: Address, clock: Clock, dialect: Dialect) -> None:
        self.address = address
        self.clock = clock
        self.dialect = dialect
        self.idle_since = 0.0
        self.idle_s = 0.0
        """How long it was idle before its present call; 0 for the first."""
        self.sent_at = 0.0
        self.sent_bytes = 0
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
        self._reader = ResponseReader(sock)

    def close(self) -> None:
        """Close the connection."""
        if self._sock is not None:
            with contextlib.suppress(OSError):
                self._sock.close()

    @property
    def has_unclaimed_bytes(self) -> bool:
        """Say whether bytes were read that belong to no answer."""
        return self._reader is None or self._reader.buffered_bytes > 0

    def is_reusable(self) -> bool:
        """Say whether an idle connection is still open and silent."""
        if self.has_unclaimed_bytes:
            return False
        try:
            self._sock.fd.recv(1, _PEEK_FLAGS)
        except OSError as error:
            return error.errno in (errno.EAGAIN, errno.EWOULDBLOCK)
        return False

    def set_timeout(self, seconds: float) -> None:
        """Bound how long each further read may wait."""
        self._sock.settimeout(max(MIN_TIMEOUT_S, seconds))

    def write_call(self, call: Call, instance_id: str) -> None:
        """Write a call with the time that it has left; raises OSError, ValueError."""
        left_s = call.deadline - self.clock.monotonic()
        self.sent_bytes = 0
        self.sent_at = self.clock.monotonic()
        self._method = call.method
        block = (
            _encode_head(call, self._node_fields(call, left_s, instance_id)) + call.body
        )
        self.set_timeout(left_s)
        view = memoryview(block)
        while self.sent_bytes < len(block):
            self.sent_bytes += self._sock.send(view[self.sent_bytes :])

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
        """Give the fields that the node sets on a call for the upstream."""
        dialect = self.dialect
        value_by_name = {
            dialect.deadline: str(ceil_ms(left_s)),
            dialect.depth: str(call.depth + 1),
            dialect.trace: call.trace,
            dialect.retried: "1" if call.retried else "",
            dialect.instance: instance_id,
            dialect.caller: call.caller,
        }
        for name, value in value_by_name.items():
            if name and value:
                yield name, value


def _encode_head(call: Call, node_fields: Iterator[tuple[str, str]]) -> bytes:
    lines = [f"{call.method} {call.target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in call.headers]
    lines += [f"{name}: {value}" for name, value in node_fields]
    if call.body or call.method in _METHODS_WITH_BODY:
        lines.append(f"Content-Length: {len(call.body)}")
    text = "\r\n".join(lines)
    if text.count("\n") != len(lines) - 1 or text.count("\r") != len(lines) - 1:
        raise ValueError("line end in a field")
    return text.encode("latin-1") + b"\r\n\r\n"
