"""What the coordinator of the quotas knows of one customer at one node."""

import math

from attrs import define

DEMAND_S = 1.0
"""Time constant of the mean by which the load offered at a node is estimated."""
MIN_INTERVAL_S = 0.02
MAX_INTERVAL_S = 0.5
"""Bounds of the time over which newly offered calls are taken to have come: a node with
calls reports this often, and one that begins to get calls had none before."""


@define(kw_only=True)
class NodeUsage:
    """What the coordinator knows of one customer at one node."""

    admitted: int
    rejected: int
    tokens: float = 0.0
    """Tokens of the last lease that are not yet reported as used."""
    leased_at: float = 0.0
    demand_per_s: float = 0.0
    seen_at: float = 0.0
    lacks_tokens: bool = False
    """Whether the newest report has rejected calls."""
    assumed: int = 0
    """Calls that were counted without a report, when a lease lapsed."""

    def observe(self, offered: int, now: float) -> None:
        """Update the load offered at the node."""
        recent_s = min(MAX_INTERVAL_S, max(MIN_INTERVAL_S, now - self.seen_at))
        weight = 1.0 - math.exp(-recent_s / DEMAND_S)
        recent_per_s = max(0, offered) / recent_s
        self.demand_per_s = self.demand_at(now) + weight * recent_per_s
        self.seen_at = now

    def demand_at(self, now: float) -> float:
        """Return the estimated load; it decays while nothing is reported."""
        return self.demand_per_s * math.exp(-max(0.0, now - self.seen_at) / DEMAND_S)
