"""The calls of one customer at this node."""

import math

from attrs import define, field

from comfreytray.customers.quotashares import FallbackBucket
from comfreytray.customers.quotaterms import QuotaTerms

MEAN_S = 4.0
"""Time constant of the mean rate of the calls that a node admits."""

URGENT_CALLS = 3.0
URGENT_FACTOR = 1.0
"""Calls of a customer that are reported at once: this many, and this multiple of those
usual in a period. With 2 calls in place of 3, 60 nodes with 71 customers sent three
times as many reports."""
URGENT_SHARE = 0.1
"""Part of the burst that is reported at once, at least `URGENT_CALLS`. A node at which
most calls of a customer enter would else report a second's worth of calls in two steps,
each of which looks like a surge."""
MIN_HALF_TOKENS = 8
"""Tokens of a lease from which its half use is reported at once, since a large part of
the customer's calls enter at this node."""


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
    fallback: FallbackBucket = field(factory=FallbackBucket)

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

    def is_urgent(self, terms: QuotaTerms, tokens: int, period_s: float) -> bool:
        """Whether the calls since the last answered report are to be reported now.

        `tokens` are those of the node's lease, 0 without one.
        """
        used = self.admitted - self.base
        usual = URGENT_FACTOR * self.mean_per_s * period_s
        return (
            used >= URGENT_CALLS + usual
            or used >= max(URGENT_CALLS, URGENT_SHARE * terms.burst)
            or (tokens >= MIN_HALF_TOKENS and 2 * used >= tokens)
        )
