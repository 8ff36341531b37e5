"""Bodies that another node sends in parts to the node beside the upstream."""

from collections import deque
from collections.abc import Callable

from comfreytray.calls.uploads import UPLOAD_WINDOW_BYTES, UploadError
from comfreytray.common.errors import Failure, Kind
from comfreytray.common.interfaces import Clock
from comfreytray.common.signals import Signal


class ReceivedUpload:
    """A body whose parts arrive on a call stream.

    No credit is granted before the first read, so that a call which waits for a slot
    holds none of its body.
    """

    def __init__(
        self,
        *,
        length: int | None,
        deadline: float,
        clock: Clock,
        grant: Callable[[int], None],
    ) -> None:
        self.length = length
        self.started = False
        self.complete = False
        self.buffered_bytes = 0
        self._deadline = deadline
        self._clock = clock
        self._grant = grant
        self._parts: deque[bytes] = deque()
        self._received_bytes = 0
        self._has_last = False
        self._closed = False
        self._signal = Signal()

    def receive(self, part: bytes, *, last: bool) -> str:
        """Take a part; return what is wrong with it, empty if nothing is."""
        if self._has_last:
            return "part after the last one"
        if self._closed:
            return ""
        self._received_bytes += len(part)
        self.buffered_bytes += len(part)
        if self.buffered_bytes > (UPLOAD_WINDOW_BYTES if self.started else 0):
            return "flow-control window of a body exceeded"
        if self.length is not None and (
            self._received_bytes > self.length
            or (last and self._received_bytes < self.length)
        ):
            return f"body of {self._received_bytes} bytes, declared {self.length}"
        if part:
            self._parts.append(part)
        self._has_last = last
        self._signal.fire()
        return ""

    def read(self) -> bytes:
        """Wait for the next part, empty at the end; raises UploadError."""
        if not self.started:
            self.started = True
            self._grant(UPLOAD_WINDOW_BYTES)
        while not self._parts and not self._has_last:
            left_s = self._deadline - self._clock.monotonic()
            if left_s <= 0:
                raise UploadError(
                    Failure(kind=Kind.DEADLINE_BEFORE_RUN, detail="waiting for a body")
                )
            self._signal.wait(left_s)
        part = self._parts.popleft() if self._parts else b""
        self.buffered_bytes -= len(part)
        self.complete = self._has_last and not self._parts
        if part and not self._has_last:
            self._grant(len(part))
        return part

    def close(self) -> None:
        """Drop what is buffered and what still arrives."""
        self._closed = True
        self._parts.clear()
        self.buffered_bytes = 0
