"""The memory of a node for bytes that it received and whose taker has not come."""

from typing import Protocol

from comfreytray.common import logs
from comfreytray.common.errors import Failure, Kind
from comfreytray.common.metrics import Metrics

DEFAULT_LIMIT_BYTES = 67_108_864
MIN_LIMIT_BYTES = 4_194_304
MEMORY_SHARE = 0.125
"""Part of the memory of a process that one purpose may take."""
ANSWERS_SHED = Failure(
    kind=Kind.ANSWER_CUT, detail="answers that callers don't take fill the memory"
)


class Holder(Protocol):
    """Holds bytes that are on their way through the node."""

    held_bytes: int

    def shed(self) -> None:
        """Give the bytes up, and whatever they are a part of."""
        ...


class TransitMemory:
    """Bounds the bytes that a process holds for takers that are slow or stuck.

    Flow control bounds one answer or connection; many of them would still exceed any
    memory. Over the limit the holder of most bytes gives them up.
    """

    def __init__(
        self,
        *,
        purpose: str,
        limit_bytes: int = DEFAULT_LIMIT_BYTES,
        metrics: Metrics | None = None,
    ) -> None:
        self.purpose = purpose
        self.limit_bytes = limit_bytes
        self.held_bytes = 0
        self._metrics = metrics or Metrics()
        self._holders: set[Holder] = set()

    @property
    def is_short(self) -> bool:
        """Whether more than half is in use, so that nothing is kept in advance."""
        return 2 * self.held_bytes > self.limit_bytes

    def hold(self, holder: Holder, size: int) -> None:
        """Count bytes that a holder has got; may shed any holder, also this one."""
        if not size:
            return
        holder.held_bytes += size
        self.held_bytes += size
        self._holders.add(holder)
        while self.held_bytes > self.limit_bytes and self._holders:
            self._shed_largest()

    def release(self, holder: Holder, size: int) -> None:
        """Count bytes that a holder no longer has, unless they were shed."""
        size = min(size, holder.held_bytes)
        holder.held_bytes -= size
        self.held_bytes -= size
        if not holder.held_bytes:
            self._holders.discard(holder)

    def _shed_largest(self) -> None:
        largest = max(self._holders, key=lambda holder: holder.held_bytes)
        self._metrics.count(f"{self.purpose}_shed")
        logs.warn(
            logs.Event.BYTES_SHED,
            purpose=self.purpose,
            bytes=largest.held_bytes,
            held=self.held_bytes,
            limit=self.limit_bytes,
        )
        largest.shed()
        # A greenlet that waits elsewhere may keep them a little longer.
        self.release(largest, largest.held_bytes)


def limit_for(memory_bytes: float) -> int:
    """Return the limit of one purpose for a process of limited memory."""
    share = min(DEFAULT_LIMIT_BYTES, memory_bytes * MEMORY_SHARE)
    return max(MIN_LIMIT_BYTES, int(share))


def build_memories(
    memory_bytes: float, metrics: Metrics
) -> tuple[TransitMemory, TransitMemory]:
    """Return the memory for answers and that for the outboxes of a process."""
    limit_bytes = limit_for(memory_bytes)
    return (
        TransitMemory(purpose="answers", limit_bytes=limit_bytes, metrics=metrics),
        TransitMemory(purpose="outboxes", limit_bytes=limit_bytes, metrics=metrics),
    )
