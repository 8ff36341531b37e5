"""How long a kept connection to an upstream may have been idle and be used again."""

import math

from comfreytray.common.interfaces import Clock

MAX_IDLE_S = 20.0
MAX_IDLE_NOT_IDEMPOTENT_S = 1.0
"""A connection idle for longer may be closing as a call is written to it."""
MIN_IDLE_S = 0.02
STALE_RESET_WITHIN_S = 0.05
"""A reset that comes later than this after a request was more than a closed door."""
REDUCTION_FACTOR = 0.7
"""Of an idle time that was too long, what is taken to be short enough."""
DOUBLING_TIME_S = 3.0
"""Time without a forgotten connection in which the limit grows to the double."""


class IdleLimit:
    """Learn after what idle time an upstream forgets its connections.

    Pattern: an upstream drops idle connections without notice, sooner than it says, and
    resets whatever is sent next. A call that is not idempotent is lost each time; after
    the first such reset only connections that were used since are used again.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._limit_s = MAX_IDLE_S
        self._lowered_at = 0.0

    def max_idle_s(self, *, idempotent: bool) -> float:
        """Give the longest idle time, in seconds, for a call."""
        since_lowered_s = self._clock.monotonic() - self._lowered_at
        growth = math.exp2(min(32.0, since_lowered_s / DOUBLING_TIME_S))
        limit_s = min(MAX_IDLE_S, self._limit_s * growth)
        return limit_s if idempotent else min(limit_s, MAX_IDLE_NOT_IDEMPOTENT_S)

    def record_reset(self, *, idle_s: float, after_s: float) -> bool:
        """Take in a reset some time after a request; say if idleness explains it."""
        if idle_s <= 0.0 or after_s > STALE_RESET_WITHIN_S:
            return False
        self._limit_s = max(
            MIN_IDLE_S, min(self.max_idle_s(idempotent=True), idle_s * REDUCTION_FACTOR)
        )
        self._lowered_at = self._clock.monotonic()
        return True
