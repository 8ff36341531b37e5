"""Bound what a node spends on control and how often it tries again."""

import random

from attrs import define, field


@define(kw_only=True)
class TokenBucket:
    """Allow bursts up to a capacity and a steady rate after.

    A spend may overdraw the bucket once; nothing is allowed until it is paid back.
    """

    rate_per_s: float
    capacity: float
    tokens: float = field()
    refilled_at_s: float

    @tokens.default
    def _full(self) -> float:
        return self.capacity

    def can_spend(self, now_s: float) -> bool:
        """Tell whether anything may be spent now."""
        self._refill(now_s)
        return self.tokens > 0

    def spend(self, amount: float, now_s: float) -> None:
        """Take tokens."""
        self._refill(now_s)
        self.tokens -= amount

    def wait_s(self, now_s: float) -> float:
        """Give the seconds until something may be spent."""
        self._refill(now_s)
        return max(0.0, -self.tokens / self.rate_per_s)

    def _refill(self, now_s: float) -> None:
        passed = max(0.0, now_s - self.refilled_at_s)
        self.tokens = min(self.capacity, self.tokens + passed * self.rate_per_s)
        self.refilled_at_s = max(self.refilled_at_s, now_s)


@define(kw_only=True)
class Backoff:
    """Give jittered waits that double with each failure in a row, up to a cap."""

    random: random.Random
    min_s: float
    max_s: float
    failures: int = 0

    def next_s(self) -> float:
        """Note a failure and return the seconds to wait."""
        self.failures += 1
        # The exponent is capped so that a long outage can't overflow the float.
        longest = min(self.max_s, self.min_s * 2.0 ** min(self.failures, 32))
        return self.random.uniform(self.min_s, longest)

    def reset(self) -> None:
        """Note a success."""
        self.failures = 0
