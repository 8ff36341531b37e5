"""What requests that were sent ahead may take of the process, over all connections."""

from collections import deque

from eventlet.hubs import get_hub

from comfreytray.common.signals import Signal

TURNS_PER_ROUND = 8
"""Requests sent ahead that begin in one round of the loop."""
MAX_PENDING = 4096
"""Requests pending beyond the first of their connection."""
MIN_PENDING = 256
PENDING_BYTES = 16_384
"""Memory of a pending request: its greenlet, its head and its call."""
MEMORY_SHARE = 0.0625
"""Part of the memory of a process that they may take."""
WAIT_S = 1.0


class AheadShare:
    """Bounds the requests that run beyond the first of their connection.

    All connections get `TURNS_PER_ROUND` together, in the order in which they ask for
    one, so that a crowd that sends ahead takes a fixed part of each round.
    """

    def __init__(self, *, max_pending: int = MAX_PENDING) -> None:
        self.max_pending = max_pending
        self.pending = 0
        self._waiting: deque[Signal] = deque()
        self._turns_left = TURNS_PER_ROUND
        self._is_counting = False
        """Whether a round has begun in which turns were given."""

    @property
    def is_used_up(self) -> bool:
        """Whether a connection may have only one request pending for now."""
        return self.pending >= self.max_pending

    def wait_for_turn(self) -> None:
        """Wait until another request of a connection may begin."""
        if not self._is_counting:
            self._is_counting = True
            get_hub().schedule_call_global(0, self._begin_round)
        if self._turns_left and not self._waiting:
            self._turns_left -= 1
            return
        signal = Signal()
        self._waiting.append(signal)
        try:
            # A turn may be given in the moment in which the wait ends without it.
            while signal in self._waiting and not signal.wait(WAIT_S):
                pass
        finally:
            # Its greenlet may have been killed.
            if signal in self._waiting:
                self._waiting.remove(signal)

    def _begin_round(self) -> None:
        given = min(TURNS_PER_ROUND, len(self._waiting))
        for _ in range(given):
            self._waiting.popleft().fire()
        self._turns_left = TURNS_PER_ROUND - given
        self._is_counting = given > 0
        if given:
            get_hub().schedule_call_global(0, self._begin_round)


def pending_for(memory_bytes: float) -> int:
    """Return how many requests sent ahead a process of limited memory may hold."""
    share = min(float(MAX_PENDING), memory_bytes * MEMORY_SHARE / PENDING_BYTES)
    return max(MIN_PENDING, int(share))
