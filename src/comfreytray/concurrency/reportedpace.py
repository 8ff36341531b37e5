"""The pace of an endpoint as its owner reports it, for the choice among endpoints."""

from attrs import define

PACE_VALID_S = 1.0
"""Age at which the weight of a pace has decreased to 0: some paces jump by a factor of
2.5 for 600 ms. An exponential decay would leave a rest of a few per cent, enough to
decide between endpoints of equal cost at all nodes."""
AVERAGE_WEIGHT = 0.15
"""Weight of the newest call in the mean pace, as in the moving average of slowdowns, so
that both describe the same calls."""
MAX_FACTOR = 3.0
MIN_FACTOR = 0.97
"""Lowest factor; a third of the router's jitter, so that a pace that many nodes hear at
the same time can't draw all their calls to one endpoint."""


@define(kw_only=True, eq=False)
class ReportedPace:
    """The newest pace of an endpoint, and the mean pace of the measured calls.

    The measured slowdown of an endpoint contains its pace at those calls already, so
    only the change since then counts.
    """

    _newest: float = 0.0
    _told_at: float = 0.0
    _mean: float = 0.0

    def learn(self, pace: float, now: float) -> None:
        """Update the newest pace, in percent; 0 if the endpoint reports none."""
        self._newest = pace
        self._told_at = now
        if not pace:
            self._mean = 0.0

    def count_measured(self) -> None:
        """Count a call whose time entered the measured slowdown."""
        if self._newest:
            self._mean = self._mean or self._newest
            self._mean += AVERAGE_WEIGHT * (self._newest - self._mean)

    def factor(self, now: float) -> float:
        """Return how much longer calls take now than those measured; 1 if unknown."""
        if not self._newest or not self._mean:
            return 1.0
        ratio = min(MAX_FACTOR, max(MIN_FACTOR, self._newest / self._mean))
        weight = max(0.0, 1.0 - max(0.0, now - self._told_at) / PACE_VALID_S)
        return 1.0 + weight * (ratio - 1.0)
