"""The terms of a customer's quota, and how its allowance is divided."""

import math
from collections.abc import Callable, Mapping

import xxhash
from attrs import frozen

from comfreytray.configuration.accounts import Account, Accounts

SURGE_FACTOR = 5.0
"""Offered load, as a multiple of the rate, that free admission must withstand."""
REACTION_S = 0.3
"""Time from a surge at all nodes until all know of the limit: the time to an early
report and the way to the coordinator and back."""
MIN_MARGIN = 12.0
MAX_MARGIN = 24.0
MARGIN_S = 0.28
"""Calls added to the margin, as seconds of the rate within two bounds: customers with
fewer calls cause fewer early reports."""
FREE_CALLS = 3.0
FREE_PERIOD_S = 0.25
"""Calls, and seconds of the rate, that a node may admit between two answers. All nodes
may do so where a coordinator is lost."""
LEASED_SHARE = 0.5
"""Part of the permitted excess that leases may use; the rest covers lost answers."""
RESUME_S = 0.25
RESUME_CALLS = 5.0
"""Seconds of the rate, and calls, by which the balance must recover before leases
end."""
SPARE_SHARE = 0.25
"""Part of the permitted excess that is added to the burst of an idle customer."""
REPORT_PERIOD_S = 0.5
MAX_REPORT_PERIOD_S = 1.2
"""Longest period, so that one lost report does not end the validity of an answer."""
REPORTS_PER_S = 130.0
"""Reports that one coordinator should get in a second; with more nodes the period is
longer."""
HASH_RANGE = 2.0**64


@frozen(kw_only=True)
class QuotaBounds:
    """How far the calls of a customer may exceed its quota."""

    window_s: float = 5.0
    overage: float = 0.0
    """Calls allowed beyond the quota in any window, as a share of it."""
    slack: float = 0.0
    """Calls allowed beyond the quota and the overage in any window."""


@frozen(kw_only=True)
class QuotaTerms:
    """The quota of a customer together with the bounds on its excess."""

    rate_per_s: float
    burst: float
    bounds: QuotaBounds

    @classmethod
    def of(cls, account: Account, bounds: QuotaBounds) -> "QuotaTerms":
        """Return the terms of an account that has a quota."""
        return cls(rate_per_s=account.rate_per_s, burst=account.burst, bounds=bounds)

    @property
    def window_calls(self) -> float:
        """Calls that the quota allows in any window."""
        return self.rate_per_s * self.bounds.window_s + self.burst

    @property
    def excess(self) -> float:
        """Calls that may run beyond rate and burst in any window."""
        return self.window_calls * self.bounds.overage + self.bounds.slack

    @property
    def most_at_once(self) -> float:
        """Calls that may be admitted at once after a pause."""
        return self.burst + self.excess * SPARE_SHARE

    @property
    def leased_excess(self) -> float:
        """Part of the excess that leases may use."""
        return self.excess * LEASED_SHARE

    @property
    def most_calls(self) -> float:
        """Calls that are admitted at most in any window, but for lost messages."""
        return self.window_calls + self.leased_excess

    @property
    def free_balance(self) -> float:
        """Balance from which nodes may admit calls without a lease."""
        surge_per_s = (SURGE_FACTOR - 1.0) * self.rate_per_s
        margin = min(MAX_MARGIN, max(MIN_MARGIN, self.rate_per_s * MARGIN_S))
        return surge_per_s * REACTION_S + margin - self.excess

    def resume_balance(self, limit: float) -> float:
        """Return the balance from which leases end that began below a limit."""
        step = self.rate_per_s * RESUME_S + RESUME_CALLS
        return limit + min(step, max(0.0, self.most_at_once - limit) / 2)

    def most_unknown(self, *, was_free: bool) -> float:
        """Return the most calls of a window that an earlier coordinator admitted.

        It has left at least the excess that leases may use, and more where it let
        nodes admit calls without leases.
        """
        lowest = -self.leased_excess
        if was_free:
            free_balance = self.free_balance + RESUME_CALLS
            lowest = max(lowest, min(self.window_calls, free_balance))
        return self.window_calls - lowest

    @property
    def free_calls(self) -> float:
        """Calls that one node may admit without a lease between two answers."""
        return FREE_CALLS + self.rate_per_s * FREE_PERIOD_S


class TermsSource:
    """Finds the terms of customers in the accounts in force."""

    def __init__(
        self, *, accounts: Callable[[], Accounts | None], bounds: QuotaBounds
    ) -> None:
        self._accounts = accounts
        self._bounds = bounds
        self._known: Accounts | None = None
        self._terms_by_customer: dict[str, QuotaTerms] = {}

    def __call__(self, customer: str) -> QuotaTerms | None:
        """Return the terms of a customer; None if it has no quota."""
        accounts = self._accounts()
        if accounts is not self._known:
            self._known = accounts
            granted = accounts.account_by_customer if accounts else {}
            self._terms_by_customer = {
                name: QuotaTerms.of(account, self._bounds)
                for name, account in granted.items()
                if account.is_limited
            }
        return self._terms_by_customer.get(customer)


def report_period_s(nodes: int) -> float:
    """Return the seconds between the reports of a node that has calls."""
    return min(MAX_REPORT_PERIOD_S, max(REPORT_PERIOD_S, nodes / REPORTS_PER_S))


def rank_coordinators(capacity_by_id: Mapping[str, int]) -> list[str]:
    """Return nodes in the order in which they are asked, by rendezvous hashing.

    Weights are the squares of the processor shares, which favours large machines.
    """

    def score(node_id: str) -> float:
        weight = max(1, capacity_by_id[node_id]) ** 2
        return -math.log(hash01("quota", node_id)) / weight

    return sorted(capacity_by_id, key=lambda node_id: (score(node_id), node_id))


def hash01(salt: str, node_id: str) -> float:
    """Return a number between 0 and 1 that is the same at all nodes."""
    digest = xxhash.xxh64_intdigest(f"{salt}\x00{node_id}".encode())
    return (digest + 1.0) / (HASH_RANGE + 2.0)
