"""Bodies that another node sends in parts to the node beside the upstream."""

from collections import deque
from collections.abc import Callable

from comfreytray.calls.bodypool import NO_ROOM, Share
from comfreytray.calls.inboundlink import InboundLink
from comfreytray.calls.uploads import PART_BYTES, UPLOAD_WINDOW_BYTES, UploadError
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
        self.deadline = deadline
        self.share: Share | None = None
        """The memory that it may take, once it may be received."""
        self._clock = clock
        self.grant = grant
        self._parts: deque[bytes] = deque()
        self._received_bytes = 0
        self.has_last = False
        self._closed = False
        self._signal = Signal()

    def receive(self, part: bytes, *, last: bool) -> str:
        """Take a part; return what is wrong with it, empty if nothing is."""
        if self.has_last:
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
        self.has_last = last
        self._signal.fire()
        return ""

    def read(self) -> bytes:
        """Wait for the next part, empty at the end; raises UploadError."""
        if not self.started:
            self.started = True
            self.grant(UPLOAD_WINDOW_BYTES)
            if self.share is not None:
                self.share.is_passed_on = True
        part = self.take()
        self.complete = self.has_last and not self._parts
        if part and not self.has_last:
            self.grant(len(part))
        return part

    @property
    def has_parts(self) -> bool:
        """Whether a part was received that was not taken yet."""
        return bool(self._parts)

    def take(self) -> bytes:
        """Wait for the next part without granting credit; raises UploadError."""
        while not self._parts and not self.has_last:
            left_s = self.deadline - self._clock.monotonic()
            if left_s <= 0:
                raise UploadError(_late("waiting for a body"))
            self._wait(left_s)
        part = self._parts.popleft() if self._parts else b""
        self.buffered_bytes -= len(part)
        return part

    def wake(self) -> None:
        """Wake whoever waits for a part, as the body has lost its memory."""
        self._signal.fire()

    def _wait(self, left_s: float) -> None:
        share, before = self.share, self._received_bytes
        if share is None:
            self._signal.wait(left_s)
            return
        share.begin_wait()
        try:
            self._signal.wait(left_s)
        finally:
            share.end_wait(self._received_bytes - before)
        if share.failure is not None:
            raise UploadError(share.failure)

    def close(self) -> None:
        """Drop what is buffered and what still arrives."""
        self._closed = True
        self._parts.clear()
        self.buffered_bytes = 0


def read_whole(
    upload: ReceivedUpload, share: Share, link: InboundLink
) -> bytes | Failure:
    """Receive a body of known length, part by part as the link and memory allow."""
    parts: list[bytes] = []
    left = length = upload.length or 0
    upload.started = True
    while left > 0:
        size = min(PART_BYTES, left)
        if not share.resize(length - left + size):
            return share.failure or NO_ROOM
        if not link.acquire(size, deadline=upload.deadline):
            return _late("waiting for the link")
        try:
            upload.grant(PART_BYTES)
            received = 0
            while received < size and not (upload.has_last and not upload.has_parts):
                parts.append(upload.take())
                received += len(parts[-1])
        except UploadError as error:
            return error.failure
        finally:
            link.release(size)
        left -= size
    return b"".join(parts)


def _late(detail: str) -> Failure:
    return Failure(kind=Kind.DEADLINE_BEFORE_RUN, detail=detail)
