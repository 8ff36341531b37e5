"""Adaptive limit on the idle time of reused connections to an upstream."""

import math

from comfreytray.common.interfaces import Clock

MAX_IDLE_S = 20.0
MAX_IDLE_NOT_IDEMPOTENT_S = 1.0
"""Limit for calls that must not run twice: the upstream may be closing a connection
that was idle for longer, just as the call is written to it."""
MIN_IDLE_S = 0.02
STALE_RESET_WITHIN_S = 0.05
"""A reset later than this after a request has another cause than a stale connection."""
REDUCTION_FACTOR = 0.7
"""Factor from an idle time that proved too long to the new limit."""
DOUBLING_TIME_S = 3.0
"""Time without a stale connection in which the limit doubles."""


class IdleLimit:
    """Learns after what idle time an upstream drops connections.

    Some upstreams drop idle connections without notice, sooner than they announce, and
    reset whatever is sent next. Each such reset loses a call that is not idempotent, so
    the first one lowers the limit below the idle time at which it occurred.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._limit_s = MAX_IDLE_S
        self._lowered_at = 0.0

    def max_idle_s(self, *, idempotent: bool) -> float:
        """Return the longest idle time, in seconds, of a connection for a call."""
        since_lowered_s = self._clock.monotonic() - self._lowered_at
        growth = math.exp2(min(32.0, since_lowered_s / DOUBLING_TIME_S))
        limit_s = min(MAX_IDLE_S, self._limit_s * growth)
        return limit_s if idempotent else min(limit_s, MAX_IDLE_NOT_IDEMPOTENT_S)

    def record_reset(self, *, idle_s: float, after_s: float) -> bool:
        """Record a reset; whether it is explained by a stale connection.

        `after_s` is the time from the request to the reset.
        """
        if idle_s <= 0.0 or after_s > STALE_RESET_WITHIN_S:
            return False
        self._limit_s = max(
            MIN_IDLE_S, min(self.max_idle_s(idempotent=True), idle_s * REDUCTION_FACTOR)
        )
        self._lowered_at = self._clock.monotonic()
        return True
