"""Who may hold memory for request bodies, and who gives it up when there is none.

Many bodies that stop short of their end would hold all of it. A body counts by what it
has received; when the pool is full, one whose sender is stuck gives way.
"""

from collections.abc import Callable

from attrs import define, field

from comfreytray.common import logs
from comfreytray.common.errors import Failure, Kind
from comfreytray.common.interfaces import Clock
from comfreytray.common.metrics import Metrics

MAX_LIMIT_BYTES = 12_582_912
MIN_LIMIT_BYTES = 4_194_304
"""More than the largest request takes at the entry and beside its upstream."""
MEMORY_SHARE = 0.0625
"""Part of the memory of a process that bodies may take."""
RESERVE_SHARE = 0.25
"""Bytes that only small bodies may take, as a part of the limit beside them."""
SMALL_BODY_BYTES = 65_536
"""Largest declared length of a small body."""
STALL_S = 3.0
"""Time without a byte after which the sender of a body is stuck."""
MIN_BYTES_PER_S = 240.0
RATE_GRACE_S = 5.0
"""Time for which a sender was awaited before its rate is judged."""
NO_ROOM = Failure(kind=Kind.OVERLOADED, detail="too many request bodies in memory")
TOO_SLOW = Failure(
    kind=Kind.BODY_TOO_SLOW, detail="stuck while request bodies fill the memory"
)


@define(kw_only=True, eq=False)
class Share:
    """What one body holds of the pool."""

    pool: "BodyPool"
    number: int
    """Rank by the time of its arrival."""
    is_small: bool
    on_shed: Callable[[], None]
    """Wakes whoever waits for the body's bytes; must not switch."""
    is_passed_on: bool = False
    """Whether any of the body was passed on, so that its call may run."""
    held_bytes: int = 0
    in_reserve: bool = False
    awaited_since: float = 0.0
    awaited_s: float = 0.0
    received_bytes: int = 0
    failure: Failure | None = field(default=None)
    """Why it holds nothing any more."""

    def resize(self, size: int) -> bool:
        """Hold so many bytes; whether there is room for them."""
        return self.pool.resize(self, size)

    def begin_wait(self) -> None:
        """Count the time from now on as that of the sender."""
        self.pool.begin_wait(self)

    def end_wait(self, received_bytes: int) -> None:
        """End the sender's time, in which bytes were received or not."""
        self.pool.end_wait(self, received_bytes)

    def release(self) -> None:
        """Give back what is held."""
        self.pool.release(self)


class BodyPool:
    """Limits the bytes of request bodies that a node holds at one time.

    A body is admitted at once where there is room. Otherwise the one whose sender is
    stuck for longest is shed, and if none is, the one that arrived last: the oldest
    always gets on, so that half-received bodies don't wait for each other.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        limit: int = MAX_LIMIT_BYTES,
        metrics: Metrics | None = None,
    ) -> None:
        self.limit = limit
        self.reserve_limit = int(limit * RESERVE_SHARE)
        """Bytes for small bodies, beside the limit."""
        self.held_bytes = 0
        """Bytes held out of the limit."""
        self.reserve_bytes = 0
        self._clock = clock
        self._metrics = metrics or Metrics()
        self._waiting: dict[Share, None] = {}
        """Bodies whose senders are awaited, the one that has waited longest first."""
        self._opened = 0

    @property
    def reserved(self) -> int:
        """Return the bytes that all bodies hold."""
        return self.held_bytes + self.reserve_bytes

    def open(self, *, length: int | None, on_shed: Callable[[], None]) -> Share:
        """Return the share, still empty, of a body of a declared length or none."""
        self._opened += 1
        return Share(
            pool=self,
            number=self._opened,
            is_small=length is not None and length <= SMALL_BODY_BYTES,
            on_shed=on_shed,
        )

    def resize(self, share: Share, size: int) -> bool:
        """Let a body hold so many bytes, or refuse it; may shed other bodies."""
        if share.failure is not None:
            return False
        extra = size - share.held_bytes
        while extra > 0 and not self._has_room(share, extra):
            if not self._shed_one(share):
                self._end(share, NO_ROOM)
                return False
        self._add(share, extra)
        return True

    def begin_wait(self, share: Share) -> None:
        """Count the time from now on as that of the sender."""
        share.awaited_since = self._clock.monotonic()
        self._waiting[share] = None

    def end_wait(self, share: Share, received_bytes: int) -> None:
        """End the sender's time, in which bytes were received or not."""
        self._waiting.pop(share, None)
        share.awaited_s += self._clock.monotonic() - share.awaited_since
        share.received_bytes += received_bytes

    def release(self, share: Share) -> None:
        """Give back what a body holds."""
        self._waiting.pop(share, None)
        self._add(share, -share.held_bytes)

    def _has_room(self, share: Share, extra: int) -> bool:
        if share.held_bytes == 0:
            share.in_reserve = (
                share.is_small and self.reserve_bytes + extra <= self.reserve_limit
            )
        if share.in_reserve:
            return self.reserve_bytes + extra <= self.reserve_limit
        return self.held_bytes + extra <= self.limit

    def _add(self, share: Share, size: int) -> None:
        share.held_bytes += size
        if share.in_reserve:
            self.reserve_bytes += size
        else:
            self.held_bytes += size

    def _shed_one(self, share: Share) -> bool:
        """Shed a body to make room for another; false if that one has to go."""
        helpful = [
            other
            for other in self._waiting
            if other is not share
            and other.held_bytes
            and (share.is_small or not other.in_reserve)
        ]
        now = self._clock.monotonic()
        for other in helpful:
            if _is_stuck(other, now):
                self._shed(other, TOO_SLOW)
                return True
        unsent = [other for other in helpful if not other.is_passed_on]
        last = max(unsent, key=lambda other: other.number, default=share)
        if last.number <= share.number:
            return False
        self._shed(last, NO_ROOM)
        return True

    def _shed(self, share: Share, failure: Failure) -> None:
        self._metrics.count("bodies_shed")
        logs.warn(
            logs.Event.BYTES_SHED,
            purpose="bodies",
            bytes=share.held_bytes,
            held=self.reserved,
            limit=self.limit,
            kind=failure.kind.value,
        )
        self._end(share, failure)
        share.on_shed()

    def _end(self, share: Share, failure: Failure) -> None:
        share.failure = failure
        self.release(share)


def _is_stuck(share: Share, now: float) -> bool:
    """Whether a sender has sent nothing for long, or less than the least rate."""
    waits_s = now - share.awaited_since
    if waits_s >= STALL_S:
        return True
    awaited_s = share.awaited_s + waits_s
    return (
        awaited_s >= RATE_GRACE_S and share.received_bytes < awaited_s * MIN_BYTES_PER_S
    )


def limit_for(memory_bytes: float) -> int:
    """Return the limit for a process of limited memory."""
    share = min(MAX_LIMIT_BYTES, memory_bytes * MEMORY_SHARE)
    return max(MIN_LIMIT_BYTES, int(share))


def build_pool(memory_bytes: float, clock: Clock, metrics: Metrics) -> BodyPool:
    """Return the pool of a process of limited memory."""
    return BodyPool(clock=clock, limit=limit_for(memory_bytes), metrics=metrics)
