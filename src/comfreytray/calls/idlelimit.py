"""How long a kept connection to an upstream may have been idle and be used again."""

import math

from comfreytray.common.interfaces import Clock

LONGEST_S = 20.0
LONGEST_NOT_IDEMPOTENT_S = 1.0
"""A connection idle for longer may be closing as a call is written to it."""
SHORTEST_S = 0.02
FORGOTTEN_WITHIN_S = 0.05
"""A reset that comes later than this after a request was more than a closed door."""
SAFE_SHARE = 0.7
"""Of an idle time that was too long, what is taken to be short enough."""
DOUBLES_AFTER_S = 3.0
"""Time without a forgotten connection in which the limit grows to the double."""


class IdleLimit:
    """Learn after what idle time an upstream forgets its connections.

    Pattern: an upstream drops idle connections without notice, sooner than it says, and
    resets whatever is sent next. A call that is not idempotent is lost each time; after
    the first such reset only connections that were used since are used again.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._limit_s = LONGEST_S
        self._lowered_at = 0.0

    def for_call(self, *, idempotent: bool) -> float:
        """Give the longest idle time, in seconds, for a call."""
        quiet_s = self._clock.monotonic() - self._lowered_at
        grown = math.exp2(min(32.0, quiet_s / DOUBLES_AFTER_S))
        limit_s = min(LONGEST_S, self._limit_s * grown)
        return limit_s if idempotent else min(limit_s, LONGEST_NOT_IDEMPOTENT_S)

    def lost(self, *, idle_s: float, after_s: float) -> bool:
        """Take in a reset some time after a request; say if idleness explains it."""
        if idle_s <= 0.0 or after_s > FORGOTTEN_WITHIN_S:
            return False
        self._limit_s = max(
            SHORTEST_S, min(self.for_call(idempotent=True), idle_s * SAFE_SHARE)
        )
        self._lowered_at = self._clock.monotonic()
        return True
