"""Shares the link of a node between the bodies that other nodes send to it.

Load pattern: dozens of nodes send bodies of 60 to 360 KB to a few upstreams behind
links of 5 Mbit/s. Sent at once, they queue at the link for seconds, with every small
call and answer behind them. The owner therefore tells each sender when to begin.
"""

import math
from collections import deque

from comfreytray.calls.uploads import PART_BYTES
from comfreytray.common.errors import Failure, Kind
from comfreytray.common.interfaces import Clock
from comfreytray.common.signals import Signal

QUEUE_S = 0.15
"""Time that the bytes under way may take at the link. It exceeds the round trip between
regions, so that the link is used while a sender is told to begin."""
MAX_WAIT_SHARE = 0.5
"""Part of a call's time for which its body may wait before it is refused."""
MIN_RETRY_AFTER_S = 0.1


class InboundLink:
    """Lets bodies in by turns, as fast as the link takes them."""

    def __init__(self, *, clock: Clock, bytes_per_s: float = math.inf) -> None:
        self._clock = clock
        self._bytes_per_s = bytes_per_s
        self._window_bytes = max(float(PART_BYTES), QUEUE_S * bytes_per_s)
        self._under_way_bytes = 0
        self._announced_bytes = 0
        self._waiting: deque[tuple[Signal, int]] = deque()

    @property
    def wait_s(self) -> float:
        """Return the time that the bodies announced so far take."""
        return self._announced_bytes / self._bytes_per_s

    def announce(self, size: int, *, until: float) -> Failure | None:
        """Count a body that is wanted by a time, or refuse it as it would be late."""
        left_s = until - self._clock.monotonic()
        if self._announced_bytes and self.wait_s > left_s * MAX_WAIT_SHARE:
            return Failure(
                kind=Kind.OVERLOADED,
                detail="link",
                retry_after_s=max(MIN_RETRY_AFTER_S, self.wait_s),
            )
        self._announced_bytes += size
        return None

    def withdraw(self, size: int) -> None:
        """Count a body as received, or as one that will not come."""
        self._announced_bytes -= size

    def acquire(self, size: int, *, deadline: float) -> bool:
        """Wait for the turn of a part; false if the deadline passes before."""
        if not self._waiting and self._has_room(size):
            self._under_way_bytes += size
            return True
        waiter = (Signal(), size)
        self._waiting.append(waiter)
        is_granted = False
        try:
            is_granted = waiter[0].wait(deadline - self._clock.monotonic())
        finally:
            if waiter in self._waiting:
                self._waiting.remove(waiter)
            elif not is_granted:
                # Its turn came at the moment at which it stopped waiting.
                self.release(size)
        return is_granted

    def release(self, size: int) -> None:
        """Count a part as received, or as one that will not come."""
        self._under_way_bytes -= size
        self._wake()

    def _has_room(self, size: int) -> bool:
        under_way = self._under_way_bytes
        return not under_way or under_way + size <= self._window_bytes

    def _wake(self) -> None:
        while self._waiting and self._has_room(self._waiting[0][1]):
            signal, size = self._waiting.popleft()
            self._under_way_bytes += size
            signal.fire()
