"""A node's doubt of itself: it was paused, or it is slow."""

from attrs import define

MAX_SCORE = 8
SLOW_TICK_S = 0.5
PAUSE_THRESHOLD_S = 1.5
"""Gap between ticks after which a node takes itself for paused."""
GRACE_S = 3.0
"""Time after a pause in which a node accuses nobody."""


@define(kw_only=True)
class LocalHealth:
    """Stretch time-outs and withhold accusations while the node itself is suspect."""

    score: int = 0
    _last_tick_at: float | None = None
    _grace_until: float = 0.0

    @property
    def timeout_factor(self) -> float:
        """Give the factor by which time-outs grow."""
        return 1.0 + self.score

    def in_grace(self, now: float) -> bool:
        """Say whether the node must not accuse others yet."""
        return now < self._grace_until

    def worsen(self) -> None:
        """Note a sign that this node is at fault."""
        self.score = min(MAX_SCORE, self.score + 1)

    def improve(self) -> None:
        """Note a sign that this node is well."""
        self.score = max(0, self.score - 1)

    def tick(self, now: float) -> float:
        """Return the length of a pause that has just ended, or 0."""
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
