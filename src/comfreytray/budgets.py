"""Token buckets that bound what a node spends on control."""

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

    def is_open(self, now_s: float) -> bool:
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
        self.refilled_at_s = now_s
