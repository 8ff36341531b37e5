"""The calls of one customer at this node."""

import math

from attrs import define, field

from comfreytray.customers.quotashares import BlindBucket

MEAN_S = 2.0
"""Time constant of the mean rate of the calls that a node admits."""


@define(kw_only=True)
class CustomerUsage:
    """Counts the calls of a customer since the start of the process."""

    admitted: int = 0
    rejected: int = 0
    sent_admitted: int = 0
    """Total in the newest report."""
    sent_rejected: int = 0
    base: int = 0
    """Total in the newest report that was answered."""
    mean_per_s: float = 0.0
    """Mean rate of admitted calls while reports were answered."""
    blind: BlindBucket = field(factory=BlindBucket)

    def note_sent(self) -> None:
        """Note that the totals are in the newest report."""
        self.sent_admitted, self.sent_rejected = self.admitted, self.rejected

    def acknowledge(self, passed_s: float) -> bool:
        """Note the answer to the newest report, `passed_s` after the last such answer.

        Returns whether nothing was counted since that report.
        """
        weight = 1.0 - math.exp(-passed_s / MEAN_S)
        recent_per_s = (self.sent_admitted - self.base) / passed_s
        self.mean_per_s += weight * (recent_per_s - self.mean_per_s)
        self.base = self.sent_admitted
        totals = (self.admitted, self.rejected)
        return totals == (self.sent_admitted, self.sent_rejected)
