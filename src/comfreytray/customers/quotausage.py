"""The calls of one customer at this node."""

import math

from attrs import define, field

from comfreytray.customers.quotahistory import AdmissionHistory, CustomerHistory
from comfreytray.customers.quotamessages import Usage
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
    lease_base: int = 0
    """Total from which the answer that is followed counts."""
    exhausted_until: float = -math.inf
    """Time until which a new coordinator has said that the quota is used up."""
    mean_per_s: float = 0.0
    """Mean rate of admitted calls while reports were answered."""
    fallback: FallbackBucket = field(factory=FallbackBucket)
    history: AdmissionHistory = field(factory=AdmissionHistory)

    def note_sent(self) -> None:
        """Note that the totals are in the newest report."""
        self.sent_admitted, self.sent_rejected = self.admitted, self.rejected

    def acknowledge(self, passed_s: float, *, is_followed: bool) -> bool:
        """Note the answer to the newest report, `passed_s` after the last such answer.

        An answer that is not followed leaves the tokens of the one before as they are.
        Returns whether nothing was counted since that report.
        """
        weight = 1.0 - math.exp(-passed_s / MEAN_S)
        recent_per_s = (self.sent_admitted - self.base) / passed_s
        self.mean_per_s += weight * (recent_per_s - self.mean_per_s)
        self.base = self.sent_admitted
        if is_followed:
            self.lease_base = self.base
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


class CustomerUsages:
    """The calls of all customers at this node, and which are to be reported."""

    def __init__(self) -> None:
        self.by_customer: dict[str, CustomerUsage] = {}
        self._changed: set[str] = set()
        """Customers whose totals differ from the newest answered report."""

    def of(self, customer: str) -> CustomerUsage:
        """Return the calls of a customer."""
        if customer not in self.by_customer:
            self.by_customer[customer] = CustomerUsage()
        return self.by_customer[customer]

    def mark(self, customer: str) -> CustomerUsage:
        """Return the calls of a customer, whose totals change."""
        self._changed.add(customer)
        return self.of(customer)

    def rows(self) -> tuple[Usage, ...]:
        """Return what is to be reported now."""
        rows: list[Usage] = []
        for customer in sorted(self._changed):
            state = self.by_customer[customer]
            state.note_sent()
            rows.append(
                Usage(
                    customer=customer,
                    admitted=state.admitted,
                    rejected=state.rejected,
                    acknowledged=state.base,
                )
            )
        return tuple(rows)

    def histories(self, now: float) -> tuple[CustomerHistory, ...]:
        """Return when the calls of the last window were admitted."""
        return tuple(
            state.history.tell(customer, now, admitted=state.admitted)
            for customer, state in sorted(self.by_customer.items())
            if state.history.recent_calls(now)
        )

    def acknowledge(self, passed_s: float, *, is_followed: bool) -> None:
        """Note the answer to the newest report, as `CustomerUsage.acknowledge`."""
        for customer in list(self._changed):
            state = self.by_customer[customer]
            if state.acknowledge(passed_s, is_followed=is_followed) and is_followed:
                self._changed.discard(customer)
