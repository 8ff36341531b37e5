"""The local node's health: whether it was paused or is running slowly."""

from attrs import define

MAX_SCORE = 8
"""Worst score; time-outs grow by a factor of 1 plus the score."""
SLOW_TICK_S = 0.5
"""Gap between ticks from which on a node counts as slow."""
PAUSE_THRESHOLD_S = 1.5
"""Gap between ticks from which on a node counts as having been paused."""
GRACE_S = 3.0
"""Time after a pause in which a node accuses no other member."""


@define(kw_only=True)
class LocalHealth:
    """Lengthen time-outs and withhold accusations while the node may be at fault."""

    score: int = 0
    """0 for a healthy node, up to MAX_SCORE."""
    _last_tick_at: float | None = None
    _grace_until: float = 0.0

    @property
    def timeout_factor(self) -> float:
        """Return the factor by which time-outs are lengthened."""
        return 1.0 + self.score

    def in_grace(self, now: float) -> bool:
        """Whether the node must not accuse other members yet."""
        return now < self._grace_until

    def worsen(self) -> None:
        """Record a sign that this node is at fault."""
        self.score = min(MAX_SCORE, self.score + 1)

    def improve(self) -> None:
        """Record a sign that this node is healthy."""
        self.score = max(0, self.score - 1)

    def tick(self, now: float) -> float:
        """Return the seconds of a pause that has just ended, or 0."""
        last, self._last_tick_at = self._last_tick_at, now
        if last is None:
            return 0.0
        gap = now - last
        if gap < SLOW_TICK_S:
            return 0.0
        self.worsen()
        if gap < PAUSE_THRESHOLD_S:
            return 0.0
        self._grace_until = now + GRACE_S
        return gap
