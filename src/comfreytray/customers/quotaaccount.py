"""The coordinator's account of one customer: its balance and what nodes hold of it."""

import math
from collections import deque

from attrs import define, field

from comfreytray.customers.quotamessages import Lease
from comfreytray.customers.quotaterms import QuotaTerms

DEMAND_S = 1.0
"""Time constant of the mean by which the load offered at a node is estimated."""
EQUAL_SHARE = 0.25
"""Part of the tokens that all nodes get alike, for load that moves to other nodes."""
RESUME_S = 0.25
RESUME_CALLS = 5.0
"""Seconds of the rate, and calls, by which the balance must recover before leases
end."""
CALM_FACTOR = 1.2
"""Offered load, as a multiple of the rate, above which leases go on until the balance
is full. Without this rule leases ended and began about every second in a long surge,
and all nodes are told each time."""
FULL_SHARE = 0.98
UNKNOWN_STEPS = 50
"""Steps in which an account that begins below its quota gets the rest of it."""
MIN_USE_S = 0.05
"""Time within which admitted calls are kept as one entry."""
LAPSED_S = 2.5
"""Age at which a lease is no longer valid at any node; later than at the node."""
LEASE_S = 0.8
SPARE_CALLS = 2.0
"""Time for which a lease should last at the load of its node, and calls beyond; what is
left is given to the nodes that ask for more."""
MORE_SHARE = 0.2
"""Part of the tokens that must be left for a node to ask again at once. In a surge less
is left, and calls are refused without waiting."""
MIN_INTERVAL_S = 0.02
MAX_INTERVAL_S = 0.5
"""Bounds of the time over which newly offered calls are taken to have come: a node with
calls reports this often, and one that begins to get calls had none before."""


def resume_balance(terms: QuotaTerms, limit: float) -> float:
    """Return the balance from which leases end that began below a limit."""
    step = terms.rate_per_s * RESUME_S + RESUME_CALLS
    return limit + min(step, max(0.0, terms.window_calls - limit) / 2)


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


@define(kw_only=True)
class _Use:
    """Calls admitted at about the same time."""

    at_s: float
    """Accrued time, in seconds."""
    calls: float


@define(kw_only=True)
class QuotaAccount:
    """What a customer may still use of its quota in the current window.

    The balance is what the quota allows in a window less what was admitted in the last
    one. It may be negative until over-admission is out of the window.
    """

    terms: QuotaTerms
    balance: float
    window_end_s: float
    """Accrued time, in seconds, up to which the balance was refilled."""
    is_limited: bool = False
    demand_per_s: float = 0.0
    """Load offered at all nodes when the last lease was granted."""
    used_at: float = -math.inf
    usage_by_node_id: dict[str, NodeUsage] = field(factory=dict)

    _uses: deque[_Use] = field(init=False)
    """Calls that were admitted in the window, oldest first."""

    @_uses.default
    def _spread_unknown_uses(self) -> deque[_Use]:
        """Spread what is missing at the start evenly over the window before."""
        missing = self.terms.window_calls - self.balance
        if missing <= 0:
            return deque()
        step_s = self.terms.bounds.window_s / UNKNOWN_STEPS
        return deque(
            _Use(at_s=self.window_end_s - step_s * n, calls=missing / UNKNOWN_STEPS)
            for n in reversed(range(UNKNOWN_STEPS))
        )

    def advance_window(self, accrued_s: float) -> None:
        """Give back the calls that were admitted before the window."""
        oldest_s = accrued_s - self.terms.bounds.window_s
        while self._uses and self._uses[0].at_s <= oldest_s:
            self.balance += self._uses.popleft().calls
        self.window_end_s = accrued_s

    def use(self, calls: int) -> None:
        """Count calls that were admitted; below 0 if some were given back."""
        if not calls:
            return
        self.balance -= calls
        last = self._uses[-1] if self._uses else None
        if last is not None and self.window_end_s - last.at_s < MIN_USE_S:
            last.calls += calls
        else:
            self._uses.append(_Use(at_s=self.window_end_s, calls=calls))

    def change_terms(self, terms: QuotaTerms) -> None:
        """Apply another quota; the balance changes with it."""
        self.balance += terms.window_calls - self.terms.window_calls
        self.terms = terms

    def update_limited(self, contact_share: float) -> bool:
        """Decide whether nodes need leases; return whether they just became needed.

        Nodes out of contact may use their fallback shares, which are reserved.
        """
        reserved = (1.0 - contact_share) * (self.terms.burst + self.terms.excess)
        limit = self.terms.free_balance + reserved
        if not self.is_limited:
            self.is_limited = self.balance < limit
            return self.is_limited
        is_calm = self.demand_per_s <= self.terms.rate_per_s * CALM_FACTOR
        has_recovered = self.balance >= resume_balance(self.terms, limit)
        is_full = self.balance >= max(limit, self.terms.window_calls * FULL_SHARE)
        self.is_limited = not (is_full or (is_calm and has_recovered))
        return False

    def spendable(self, contact_share: float) -> float:
        """Return the tokens that leases may hold at one time."""
        spare = self.terms.leased_excess
        reserved = (1.0 - contact_share) * (self.terms.burst + spare)
        return max(0.0, self.balance + spare - reserved)

    def lease(
        self,
        node_id: str,
        *,
        customer: str,
        contacts: int,
        contact_share: float,
        now: float,
    ) -> Lease:
        """Grant tokens to a node, in proportion to the load that it is offered."""
        held = 0.0
        demand = 0.0
        for other_id, node_usage in self.usage_by_node_id.items():
            if now - node_usage.leased_at > LAPSED_S:
                node_usage.tokens = 0.0
            demand += node_usage.demand_at(now)
            if other_id != node_id:
                held += node_usage.tokens
        self.demand_per_s = demand
        spendable = self.spendable(contact_share)
        left = spendable - held
        own = self.usage_by_node_id.get(node_id)
        share = 1.0 / max(1, contacts)
        own_demand = 0.0 if own is None else own.demand_at(now)
        if own_demand > 0:
            share *= EQUAL_SHARE
            share += (1.0 - EQUAL_SHARE) * own_demand / demand
        target = min(spendable * share, SPARE_CALLS + LEASE_S * own_demand)
        tokens = max(0, min(round(target), math.floor(left)))
        keeps_one = own is not None and (own.lacks_tokens or own.tokens >= 1)
        if not tokens and left >= 1 and keeps_one:
            tokens = 1
        if own is None and tokens:
            own = self.usage_by_node_id[node_id] = NodeUsage(admitted=-1, rejected=-1)
        if own is not None:
            own.tokens = float(tokens)
            own.leased_at = now
        return Lease(
            customer=customer,
            tokens=tokens,
            rate_per_s=self.terms.rate_per_s * contact_share * share,
            has_more=left - tokens >= max(1.0, MORE_SHARE * spendable),
        )
