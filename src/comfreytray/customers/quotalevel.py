"""The level of a token bucket of a customer's rate and burst."""

from collections import deque

from attrs import define, field


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


@define(kw_only=True)
class WindowLevel:
    """The level of a token bucket by the calls of a sliding window alone.

    It is the lowest of the levels of the buckets that were full at some moment of the
    window, kept as a sliding minimum. So it recovers from an overload as soon as that
    is out of the window; a bucket that remembers all calls would first refill what it
    is below 0. Times are accrued seconds.
    """

    rate_per_s: float
    burst: float
    window_s: float
    now_s: float

    _calls: float = field(default=0.0, init=False)
    _lowest: deque[tuple[float, float]] = field(factory=deque, init=False)
    """Moments of the window at which the bucket that is the lowest may have been full,
    each with the calls before it less the refill until then; both ascend."""

    @property
    def level(self) -> float:
        """Return the calls that are left; below 0 after over-admission."""
        if not self._lowest:
            return self.burst
        used = self._calls - self._lowest[0][1]
        return self.burst + min(0.0, self.now_s * self.rate_per_s - used)

    def advance(self, now_s: float) -> None:
        """Move the window to end at a time."""
        self.now_s = max(self.now_s, now_s)
        oldest_s = self.now_s - self.window_s
        while self._lowest and self._lowest[0][0] <= oldest_s:
            self._lowest.popleft()

    def use(self, calls: float) -> None:
        """Take calls at the end of the window; below 0 if some were given back."""
        before = self._calls - self.now_s * self.rate_per_s
        while self._lowest and self._lowest[-1][1] >= before:
            self._lowest.pop()
        self._lowest.append((self.now_s, before))
        self._calls += calls
