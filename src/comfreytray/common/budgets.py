"""Token buckets and back-off, which limit control traffic and retries."""

import random

from attrs import define, field


@define(kw_only=True)
class TokenBucket:
    """Limit spending to a steady rate with bursts up to a capacity.

    One spend may take the balance below zero; nothing more may be spent until
    refilling has brought it above zero again.
    """

    rate_per_s: float
    capacity: float
    tokens: float = field()
    refilled_at_s: float

    @tokens.default
    def _full(self) -> float:
        return self.capacity

    def can_spend(self, now_s: float) -> bool:
        """Return whether the balance is above zero."""
        self._refill(now_s)
        return self.tokens > 0

    def spend(self, amount: float, now_s: float) -> None:
        """Take tokens without checking the balance."""
        self._refill(now_s)
        self.tokens -= amount

    def wait_s(self, now_s: float) -> float:
        """Return the seconds until the balance is back at zero."""
        self._refill(now_s)
        return max(0.0, -self.tokens / self.rate_per_s)

    def _refill(self, now_s: float) -> None:
        elapsed_s = max(0.0, now_s - self.refilled_at_s)
        self.tokens = min(self.capacity, self.tokens + elapsed_s * self.rate_per_s)
        self.refilled_at_s = max(self.refilled_at_s, now_s)


@define(kw_only=True)
class Backoff:
    """Draw random waits whose upper bound doubles with each failure, up to a cap."""

    random: random.Random
    min_s: float
    max_s: float
    failures: int = 0

    def next_s(self) -> float:
        """Count a failure and return the seconds to wait."""
        self.failures += 1
        # The exponent is limited so that a long outage can't overflow the float.
        longest_s = min(self.max_s, self.min_s * 2.0 ** min(self.failures, 32))
        return self.random.uniform(self.min_s, longest_s)

    def reset(self) -> None:
        """Start again from the shortest waits, after a success."""
        self.failures = 0
