"""The calls of one customer that were admitted in the window, by their time."""

from bisect import bisect_left
from collections import deque
from collections.abc import Iterator

from attrs import define, field

MIN_USE_S = 0.05
"""Time within which admitted calls are kept as one entry."""


@define(kw_only=True)
class Use:
    """Calls admitted at about the same time."""

    at_s: float
    """Accrued time, in seconds."""
    calls: float


@define(kw_only=True)
class Uses:
    """Keeps the calls of the window, oldest first."""

    _uses: deque[Use] = field(factory=deque)

    def __iter__(self) -> Iterator[Use]:
        return iter(self._uses)

    def add(self, calls: float, *, now_s: float) -> None:
        """Count calls that are admitted now; below 0 if some were given back."""
        last = self._uses[-1] if self._uses else None
        if last is not None and now_s - last.at_s < MIN_USE_S:
            last.calls += calls
        else:
            self._uses.append(Use(at_s=now_s, calls=calls))

    def insert(self, calls: float, *, at_s: float) -> None:
        """Count calls that were admitted at an earlier time, or slightly later."""
        place = bisect_left(self._uses, at_s, key=lambda use: use.at_s)
        if place < len(self._uses) and self._uses[place].at_s - at_s < MIN_USE_S:
            self._uses[place].calls += calls
        else:
            self._uses.insert(place, Use(at_s=at_s, calls=calls))

    def expire(self, oldest_s: float) -> float:
        """Drop the calls up to a time; return how many."""
        calls = 0.0
        while self._uses and self._uses[0].at_s <= oldest_s:
            calls += self._uses.popleft().calls
        return calls

    def since(self, at_s: float) -> float:
        """Return how many calls were admitted later than a time."""
        calls = 0.0
        for use in reversed(self._uses):
            if use.at_s <= at_s:
                break
            calls += use.calls
        return calls
