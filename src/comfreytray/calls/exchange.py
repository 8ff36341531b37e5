"""One call on one connection to the upstream: reading the answer to its end."""

import http.client
from collections.abc import Callable, Iterator
from typing import Protocol

from attrs import define, field

from comfreytray.calls.call import CallCutError
from comfreytray.calls.heads import HeadError, StrictResponse
from comfreytray.calls.transitmemory import ANSWERS_SHED, TransitMemory
from comfreytray.calls.upstreamconnection import UpstreamConnection
from comfreytray.common.errors import Failure, Kind
from comfreytray.common.interfaces import Clock

CHUNK_BYTES = 65_536
MAX_BUFFERED_BYTES = 262_144
"""Size up to which an answer is buffered before any of it is passed on."""
MAX_SKIPPED_BYTES = 1_048_576
"""Size up to which the body of an answer to an earlier call is skipped."""


class Release(Protocol):
    """Takes back a connection."""

    def __call__(self, connection: UpstreamConnection, *, reusable: bool) -> None:
        """Keep the connection for later calls, or close it."""
        ...


@define(kw_only=True, eq=False)
class Exchange:
    """The use of one connection by one call."""

    connection: UpstreamConnection
    deadline: float
    """Monotonic time of this process, in seconds."""
    clock: Clock
    release: Release
    response: StrictResponse | None = None
    done: bool = False
    on_end: Callable[[], None] | None = None
    memory: TransitMemory = field(factory=lambda: TransitMemory(purpose="answers"))
    held_bytes: int = 0
    _is_shed: bool = False

    def end(self, *, reusable: bool) -> None:
        """Return the connection to the pool, or close it; later calls do nothing."""
        if self.done:
            return
        self.done = True
        self.memory.release(self, self.held_bytes)
        self.release(self.connection, reusable=reusable)
        if self.on_end is not None:
            self.on_end()

    def abort(self) -> None:
        """Close the connection of a call that was cancelled or has failed."""
        self.end(reusable=False)

    def read_buffered(self) -> bytes:
        """Read the answer to its end, or up to `MAX_BUFFERED_BYTES`.

        Less is read while answers take much memory.
        """
        # A list of parts would take far more memory when chunks are of one byte.
        buffered = bytearray()
        try:
            while not buffered or self._may_buffer(len(buffered)):
                part = self._read(CHUNK_BYTES)
                buffered += part
                self._hold(part)
                if self.done:
                    break
            return bytes(buffered)
        finally:
            self.memory.release(self, self.held_bytes)

    def stream(self) -> Iterator[bytes]:
        """Yield the further parts of the answer."""
        try:
            while not self.done:
                part = self._read(CHUNK_BYTES)
                self._hold(part)
                yield part
                self.memory.release(self, len(part))
        finally:
            self.abort()

    def shed(self) -> None:
        """Give the answer up; its reader gets the failure with its next part."""
        self._is_shed = True

    def _hold(self, part: bytes) -> None:
        if not self.done:
            self.memory.hold(self, len(part))

    def _may_buffer(self, size: int) -> bool:
        return size < MAX_BUFFERED_BYTES and not self.memory.is_short

    def _read(self, size: int) -> bytes:
        """Read a part of the answer; raises CallCutError if the answer is truncated."""
        response = self.response
        assert response is not None
        if self._is_shed:
            raise CallCutError(ANSWERS_SHED)
        left_s = self.deadline - self.clock.monotonic()
        if left_s <= 0:
            raise CallCutError(_answer_cut("deadline"))
        expected = response.length
        if expected == 0:
            return self._finish(response, b"")
        try:
            if expected is None:
                chunk = response.read1(size)
            else:
                chunk = response.read(min(size, expected))
        except (OSError, EOFError, ValueError, http.client.HTTPException) as error:
            raise CallCutError(_answer_cut(type(error).__name__)) from error
        if expected is not None and len(chunk) < min(size, expected):
            raise CallCutError(_answer_cut("short body"))
        if response.isclosed() or response.length == 0:
            return self._finish(response, chunk)
        return chunk

    def _finish(self, response: StrictResponse, chunk: bytes) -> bytes:
        response.close()
        self.end(reusable=not response.will_close)
        return chunk


def _answer_cut(detail: str) -> Failure:
    return Failure(kind=Kind.ANSWER_CUT, detail=detail)


def skip_body(response: StrictResponse) -> None:
    """Read the answer to another call to its end; raises HeadError if it is long."""
    size = 0
    while part := response.read(CHUNK_BYTES):
        size += len(part)
        if size > MAX_SKIPPED_BYTES:
            raise HeadError(f"answer to another call exceeds {MAX_SKIPPED_BYTES} bytes")
