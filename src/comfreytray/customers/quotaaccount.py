"""The coordinator's account of one customer: its balance and what nodes hold of it."""

import math
from collections.abc import Iterable

from attrs import define, field

from comfreytray.customers.quotahistory import CustomerHistory, Slot
from comfreytray.customers.quotalevel import BucketLevel, WindowLevel
from comfreytray.customers.quotamessages import Lease, Usage
from comfreytray.customers.quotanodeusage import DEMAND_S, NodeUsage
from comfreytray.customers.quotaterms import QuotaTerms
from comfreytray.customers.quotauses import Uses

EQUAL_SHARE = 0.25
"""Part of the tokens that all nodes get alike, for load that moves to other nodes."""
CALM_FACTOR = 1.2
"""Offered load, as a multiple of the rate, above which leases go on until the balance
is full. Without this rule leases ended and began about every second in a long surge,
and all nodes are told each time."""
FULL_SHARE = 0.98
SURGE_S = 0.5
"""Time over which the calls of a surge are counted."""
TAKEOVER_S = 0.8
"""Time from the end of a coordinator until nodes no longer admit freely: the period of
their reports, and the time for which one is unanswered."""
LAPSED_S = 2.5
"""Age at which a lease is no longer valid at any node; later than at the node."""
LEASE_S = 0.8
SPARE_CALLS = 2.0
"""Time for which a lease should last at the load of its node, and calls beyond; what is
left is given to the nodes that ask for more."""
MORE_SHARE = 0.2
"""Part of the tokens that must be left for a node to ask again at once. In a surge less
is left, and calls are refused without waiting."""


@define(kw_only=True)
class QuotaAccount:
    """What a customer may still use of its quota at this moment.

    The balance is the level of a bucket of burst and rate: any time t within a window
    has at most burst + rate x t calls, which is also what the quota allows in a window.
    So whoever knows nothing of the calls before a moment knows that the bucket may have
    been empty then, and how much has come into it since. It may be negative after
    over-admission.
    """

    terms: QuotaTerms
    window_end_s: float
    """Accrued time, in seconds, up to which the balance was refilled."""
    unknown_calls: float = 0.0
    """Most calls that may have been admitted before the account, beyond those known."""
    unknown_at_s: float = -math.inf
    """Accrued time, in seconds, at which they may have been admitted at the latest."""
    spreads_unknown: bool = False
    """Whether they count as spread evenly over the window before that time."""
    is_limited: bool = False
    demand_per_s: float = 0.0
    """Load offered at all nodes when the last lease was granted."""
    used_at: float = -math.inf
    total: int = 0
    """Calls that were counted since the account began."""
    usage_by_node_id: dict[str, NodeUsage] = field(factory=dict)

    _window_balance: float = field(init=False)
    """What a window allows, less what was, or may have been, admitted in it."""
    _known: WindowLevel = field(init=False)
    """The level by the known calls of the window alone."""
    _lowest: BucketLevel | None = field(init=False)
    """The level if it was the lowest when the unknown calls may have been admitted."""
    _unknown_at_first: float = field(init=False)
    _replica_at: float = field(default=-math.inf, init=False)
    _uses: Uses = field(factory=Uses, init=False)

    @_unknown_at_first.default
    def _keep_unknown(self) -> float:
        return self.unknown_calls

    @_window_balance.default
    def _first_balance(self) -> float:
        return self.terms.window_calls - self.unknown_calls

    @_known.default
    def _first_level(self) -> WindowLevel:
        return self._full_level(self.window_end_s)

    @_lowest.default
    def _first_lowest(self) -> BucketLevel | None:
        if self.unknown_calls <= 0 or math.isinf(self.unknown_at_s):
            return None
        level = BucketLevel(
            rate_per_s=self.terms.rate_per_s,
            burst=self.terms.most_at_once,
            at_s=self.unknown_at_s,
            level=self.terms.window_calls - self.unknown_calls,
        )
        level.advance(self.window_end_s)
        return level

    def _full_level(self, now_s: float) -> WindowLevel:
        return WindowLevel(
            rate_per_s=self.terms.rate_per_s,
            burst=self.terms.most_at_once,
            window_s=self.terms.bounds.window_s,
            now_s=now_s,
        )

    @property
    def balance(self) -> float:
        """Calls that may be admitted; the greater of what either bound leaves."""
        balance = min(self._window_balance, self._known.level)
        if self.unknown_calls <= 0 or self._lowest is None:
            return balance
        return max(balance, min(self._lowest.level, self._known.level))

    @property
    def recent_calls(self) -> int:
        """Calls that were, or may have been, admitted in the window."""
        return max(0, math.ceil(self.terms.window_calls - self._window_balance))

    @property
    def is_exhausted(self) -> bool:
        """Whether the known calls alone leave no token to lease."""
        known = self._window_balance + self.unknown_calls
        return min(known, self._known.level) <= -self.terms.leased_excess

    def advance_window(self, accrued_s: float) -> None:
        """Give back the calls that were admitted before the window."""
        oldest_s = accrued_s - self.terms.bounds.window_s
        self._window_balance += self._uses.expire(oldest_s)
        if self.unknown_at_s <= oldest_s:
            self.forget_unknown()
        elif self.spreads_unknown:
            part = (self.unknown_at_s - oldest_s) / self.terms.bounds.window_s
            self.limit_unknown(part * self._unknown_at_first)
        self.window_end_s = accrued_s
        self._known.advance(accrued_s)
        if self._lowest is not None:
            self._lowest.advance(accrued_s)

    def use(self, calls: int) -> None:
        """Count calls that were admitted; below 0 if some were given back."""
        if not calls:
            return
        self.total += max(0, calls)
        self._window_balance -= calls
        self._known.use(calls)
        if self._lowest is not None:
            self._lowest.use(calls)
        self._uses.add(calls, now_s=self.window_end_s)

    def forget_unknown(self) -> None:
        """Give back the calls that may have been admitted, as it is known that none was
        or as they would be out of the window."""
        self.limit_unknown(0.0)

    def take_totals(self, node_id: str, usage: Usage, *, now: float) -> tuple[int, int]:
        """Count what a report adds; return the calls admitted and rejected since."""
        node_usage = self.usage_by_node_id.get(node_id)
        admitted, rejected = usage.admitted - usage.acknowledged, 0
        if node_usage is not None and node_usage.admitted >= 0:
            admitted = usage.admitted - node_usage.admitted
            rejected = usage.rejected - node_usage.rejected
        if node_usage is None:
            node_usage = NodeUsage(admitted=0, rejected=0)
            self.usage_by_node_id[node_id] = node_usage
        node_usage.admitted, node_usage.rejected = usage.admitted, usage.rejected
        node_usage.tokens = max(0.0, node_usage.tokens - admitted)
        node_usage.lacks_tokens = rejected > 0
        node_usage.observe(admitted + rejected, now)
        self.use(admitted - node_usage.assumed)
        node_usage.assumed = 0
        return admitted, rejected

    def take_history(
        self, node_id: str, told: CustomerHistory, unknown_after_s: float, *, now: float
    ) -> None:
        """Count the calls that a node admitted before it reported here.

        Those older than `unknown_after_s` are part of the unknown ones.
        """
        node_usage = self.usage_by_node_id.get(node_id)
        left = sum(slot.calls for slot in told.slots)
        if node_usage is None:
            recent = sum(slot.calls for slot in told.slots if slot.age_s < DEMAND_S)
            node_usage = NodeUsage(
                admitted=0, rejected=0, demand_per_s=recent / DEMAND_S, seen_at=now
            )
            self.usage_by_node_id[node_id] = node_usage
        elif node_usage.admitted >= 0:
            left = min(left, told.admitted - node_usage.admitted)
        node_usage.admitted = told.admitted
        for slot in reversed(told.slots):
            calls = min(slot.calls, left)
            if calls <= 0:
                break
            left -= calls
            if slot.age_s > self.replica_age_s(now):
                continue
            self._use_at(self.window_end_s - slot.age_s, calls)
            if slot.age_s >= unknown_after_s:
                self._reduce_unknown(calls)

    def take_replica(self, slots: Iterable[Slot], *, updated_at: float) -> None:
        """Count what the coordinator before had counted, of all nodes."""
        self._replica_at = updated_at
        for slot in slots:
            self._use_at(self.window_end_s - slot.age_s, slot.calls)
            self._reduce_unknown(slot.calls)

    def replica_age_s(self, now: float) -> float:
        """Return the age of calls that the coordinator before had counted already."""
        return now - self._replica_at

    def limit_unknown(self, calls: float) -> None:
        """Lower what may have been admitted without being known."""
        self._reduce_unknown(max(0.0, self.unknown_calls - calls))

    def _reduce_unknown(self, calls: float) -> None:
        known = min(self.unknown_calls, calls)
        self.unknown_calls -= known
        self._window_balance += known

    def end_node(self, node_id: str) -> None:
        """Count the tokens of a node's process that has ended as used."""
        node_usage = self.usage_by_node_id.pop(node_id, None)
        if node_usage is not None:
            self.use(round(node_usage.tokens))

    def _use_at(self, at_s: float, calls: int) -> None:
        """Count calls that were admitted at an earlier time, or slightly later."""
        if at_s <= self.window_end_s - self.terms.bounds.window_s:
            return
        self.total += calls
        self._window_balance -= calls
        if self._lowest is not None and at_s > self.unknown_at_s:
            self._lowest.use(calls)
        self._uses.insert(calls, at_s=at_s)
        self._replay()

    def _replay(self) -> None:
        """Find the known level from the calls of the window, in order of their time."""
        self._known = self._full_level(self.window_end_s - self.terms.bounds.window_s)
        for use in self._uses:
            self._known.advance(use.at_s)
            self._known.use(use.calls)
        self._known.advance(self.window_end_s)

    def change_terms(self, terms: QuotaTerms) -> None:
        """Apply another quota; the balance changes with it."""
        self._window_balance += terms.window_calls - self.terms.window_calls
        self.terms = terms
        if self._lowest is not None:
            self._lowest.change(rate_per_s=terms.rate_per_s, burst=terms.most_at_once)
        self._replay()

    def update_limited(self, contact_share: float) -> bool:
        """Decide whether nodes need leases; return whether they just became needed.

        Nodes out of contact may use their fallback shares, which are reserved.
        """
        reserved = (1.0 - contact_share) * (self.terms.burst + self.terms.excess)
        limit = self.terms.free_balance + reserved + self._surge_calls()
        if not self.is_limited:
            self.is_limited = self.balance < limit
            return self.is_limited
        is_calm = self.demand_per_s <= self.terms.rate_per_s * CALM_FACTOR
        has_recovered = self.balance >= self.terms.resume_balance(limit)
        is_full = self.balance >= max(limit, self.terms.most_at_once * FULL_SHARE)
        self.is_limited = not (is_full or (is_calm and has_recovered))
        return False

    def assume_used(self, node_usage: NodeUsage) -> None:
        """Count the tokens of a lapsed lease until its node tells what it used."""
        tokens = round(node_usage.tokens)
        node_usage.tokens = 0.0
        node_usage.assumed += tokens
        self.use(tokens)

    def _surge_calls(self) -> float:
        """Return what a surge would take until another coordinator could end it."""
        calls = self._uses.since(self.window_end_s - SURGE_S)
        usual_per_s = self.terms.rate_per_s * CALM_FACTOR
        return max(0.0, calls / SURGE_S - usual_per_s) * TAKEOVER_S

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
            if node_usage.tokens and now - node_usage.leased_at > LAPSED_S:
                # The node may have used them, and then ended or lost contact.
                self.assume_used(node_usage)
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
        tokens = max(0, math.floor(min(target, left)))
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
