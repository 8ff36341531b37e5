"""The level of a token bucket of a customer's rate and burst."""

from attrs import define


@define(kw_only=True)
class BucketLevel:
    """What is left of a burst that refills at a rate; may be negative.

    Times are accrued seconds.
    """

    rate_per_s: float
    burst: float
    at_s: float
    level: float

    def advance(self, now_s: float) -> None:
        """Refill it up to a time."""
        if now_s > self.at_s:
            refilled = self.level + (now_s - self.at_s) * self.rate_per_s
            self.level = min(self.burst, refilled)
            self.at_s = now_s

    def use(self, calls: float) -> None:
        """Take calls; below 0 if some were given back."""
        self.level = min(self.burst, self.level - calls)

    def change(self, *, rate_per_s: float, burst: float) -> None:
        """Apply another rate and burst; the level changes with the burst."""
        self.level += burst - self.burst
        self.rate_per_s, self.burst = rate_per_s, burst
