"""Mean times for which calls hold a slot of an upstream."""

WEIGHT = 0.1
"""Weight of the newest call in the moving averages."""
FIRST_S = 0.005
"""Time assumed before the first call ends."""
MAX_KINDS = 512
"""Kinds of calls whose means are kept."""


class RunTimes:
    """Moving averages of how long calls run, over all of them and by kind."""

    def __init__(self) -> None:
        self.mean_s = FIRST_S
        """Moving average over the calls of all kinds."""
        self._mean_s_by_kind: dict[str, float] = {}

    def record(self, kind: str, took_s: float) -> None:
        """Record a call that ended."""
        self.mean_s += WEIGHT * (took_s - self.mean_s)
        by_kind = self._mean_s_by_kind
        if kind not in by_kind and len(by_kind) >= MAX_KINDS:
            by_kind.clear()
        mean_s = by_kind.get(kind, took_s)
        by_kind[kind] = mean_s + WEIGHT * (took_s - mean_s)

    def mean_of(self, kind: str) -> float:
        """Return the mean time of a kind; of all calls if none of it has ended."""
        return self._mean_s_by_kind.get(kind, self.mean_s)

    def known_mean_of(self, kind: str) -> float | None:
        """Return the mean time of a kind; None if none of it has ended."""
        return self._mean_s_by_kind.get(kind)
