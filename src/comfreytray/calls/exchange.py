"""One call on one connection to the upstream: reading the answer to its end."""

import http.client
from collections.abc import Callable, Iterator
from typing import Protocol

from attrs import define

from comfreytray.calls.call import CallCutError
from comfreytray.calls.heads import HeadError, StrictResponse
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

    def end(self, *, reusable: bool) -> None:
        """Return the connection to the pool, or close it; later calls do nothing."""
        if self.done:
            return
        self.done = True
        self.release(self.connection, reusable=reusable)
        if self.on_end is not None:
            self.on_end()

    def abort(self) -> None:
        """Close the connection of a call that was cancelled or has failed."""
        self.end(reusable=False)

    def read_buffered(self) -> bytes:
        """Read the answer to its end, or up to `MAX_BUFFERED_BYTES`."""
        # A list of parts would take far more memory when chunks are of one byte.
        buffered = bytearray(self._read(CHUNK_BYTES))
        while not self.done and len(buffered) < MAX_BUFFERED_BYTES:
            buffered += self._read(CHUNK_BYTES)
        return bytes(buffered)

    def stream(self) -> Iterator[bytes]:
        """Yield the further parts of the answer."""
        try:
            while not self.done:
                yield self._read(CHUNK_BYTES)
        finally:
            self.abort()

    def _read(self, size: int) -> bytes:
        """Read a part of the answer; raises CallCutError if the answer is truncated."""
        response = self.response
        assert response is not None
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
