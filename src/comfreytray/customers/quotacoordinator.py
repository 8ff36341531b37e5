"""The coordinator of the quotas: one account for each customer that calls."""

import math
from collections.abc import Callable, Collection

from attrs import define

from comfreytray.common.budgets import TokenBucket
from comfreytray.common.interfaces import Clock
from comfreytray.common.logs import Event, log
from comfreytray.customers.quotaaccount import RESUME_CALLS, NodeUsage, QuotaAccount
from comfreytray.customers.quotamessages import Answer, Lease, Report, Usage
from comfreytray.customers.quotaterms import QuotaTerms, report_period_s

CONTACT_MARGIN_S = 0.4
"""Time beyond the period of reports for which a node counts as bound by leases. The
sum is shorter than their validity at the node, so that a fallback share is reserved
before it is used."""
PUSH_LEAD_S = 0.3
"""Time before the end of its contact at which a node that has no calls is asked."""
PUSH_RETRY_S = 1.0
PUSH_GAP_S = 0.1
"""Shortest time between two pushes to a node, except to one that does not answer."""
ACTIVE_S = 3.0
"""Time after a call for which a customer counts as calling."""
START_S = 0.5
"""Time from the start of a process to its first call, spent on imports (0.5 to 1.2 s):
after a restart of all nodes, no call ran in it."""
GATHERING_S = 0.6
"""Time in which the reports of most nodes arrive at a new coordinator."""
GATHERED_SHARE = 0.95
TAKEOVER_SHARE = 0.5
"""Part of the nodes below which a coordinator can't know what was admitted before."""
LOG_LINES_PER_S = 2.0
LOG_BURST_LINES = 50.0


@define(kw_only=True)
class _Node:
    """A node that has reported."""

    session: int
    number: int
    contact_at: float


class QuotaCoordinator:
    """Keeps the accounts of all customers and grants leases; does no I/O itself."""

    def __init__(
        self,
        *,
        clock: Clock,
        name: str,
        terms: Callable[[str], QuotaTerms | None],
        member_ids: Callable[[], Collection[str]],
    ) -> None:
        self.name = name
        self._clock = clock
        self._terms = terms
        self._member_ids = member_ids
        self._node_by_id: dict[str, _Node] = {}
        """Nodes in contact, the longest silent first."""
        self._silent_by_id: dict[str, tuple[float, _Node]] = {}
        """Nodes out of contact, with the time from which they are."""
        self._account_by_customer: dict[str, QuotaAccount] = {}
        self._limited: set[str] = set()
        self._pushed_at_by_id: dict[str, float] = {}
        self._bound_at_by_id: dict[str, float] = {}
        """When each node was last sent an answer that it adopts."""
        self._number = 0
        now = clock.monotonic()
        self._began_at = now - START_S
        self._gathering_since = -math.inf
        self._taken_over_at = -math.inf
        self._limited_before: set[str] = set()
        self._limited_at = -math.inf
        self._active_until = -math.inf
        self._accrued_s = 0.0
        self._accrued_before_s = 0.0
        self._accrued_at = now
        self._evaluated_share = 0.0
        self._lines = TokenBucket(
            rate_per_s=LOG_LINES_PER_S, capacity=LOG_BURST_LINES, refilled_at_s=now
        )

    @property
    def contact_share(self) -> float:
        """Part of the members that is in contact."""
        return len(self._node_by_id) / max(len(self._member_ids()), self._contacts, 1)

    @property
    def _contact_s(self) -> float:
        return report_period_s(len(self._member_ids())) + CONTACT_MARGIN_S

    @property
    def _contacts(self) -> int:
        return len(self._node_by_id)

    @property
    def is_active(self) -> bool:
        """Whether a customer with a quota was calling in the last seconds."""
        return self._clock.monotonic() < self._active_until

    def balance_of(self, customer: str) -> float | None:
        """Return the balance of a customer; None if it has no account here."""
        account = self._account_by_customer.get(customer)
        return None if account is None else account.balance

    def receive(self, report: Report) -> Answer:
        """Take a report and return the answer to it."""
        now = self._clock.monotonic()
        self._active_until = now + ACTIVE_S
        self.take(report, sent_at=now)
        return self.answer(report.node_id)

    def take(self, report: Report, *, sent_at: float) -> None:
        """Take a report; `sent_at` is the time from which its node is in contact."""
        now = self._clock.monotonic()
        self._advance(now)
        if not self._node_by_id:
            self._gathering_since = now
        was_elsewhere = report.prior not in ("", self.name)
        if was_elsewhere:
            self._take_over(report, now)
        is_new = self._note_contact(report, sent_at, returns=not was_elsewhere)
        if is_new:
            for usage in report.usage:
                self._take_usage(report.node_id, usage, now, was_elsewhere)
        if self.contact_share != self._evaluated_share:
            self._evaluated_share = self.contact_share
            for customer in self._account_by_customer:
                self._evaluate(customer, now)

    def answer(self, node_id: str) -> Answer:
        """Return what a node that has reported may admit."""
        now = self._clock.monotonic()
        self._advance(now)
        leases: list[Lease] = []
        for customer in sorted(self._limited):
            account = self._evaluate(customer, now)
            if account is None or not account.is_limited:
                continue
            lease = account.lease(
                node_id,
                customer=customer,
                contacts=self._contacts,
                contact_share=self.contact_share,
                now=now,
            )
            leases.append(lease)
        self._number += 1
        node = self._node_by_id.get(node_id)
        is_gathering = self._is_gathering(now)
        if not is_gathering:
            self._bound_at_by_id[node_id] = now
        return Answer(
            coordinator=self.name,
            number=self._number,
            report=0 if node is None else node.number,
            is_gathering=is_gathering,
            leases=tuple(leases),
        )

    def due_pushes(self) -> list[str]:
        """Return the nodes to which an answer is to be sent unasked.

        Nodes without calls don't report; a new limit can't wait for the next reports.
        """
        now = self._clock.monotonic()
        self._advance(now)
        if not self.is_active or not self._node_by_id:
            return []
        bound_after = self._limited_at
        if not self._is_gathering(now):
            bound_after = max(bound_after, self._gathering_since)
        push_after_s = self._contact_s - PUSH_LEAD_S
        due: list[str] = []
        members = self._member_ids()
        self._forget_departed(members)
        for node_id in sorted(members):
            node = self._node_by_id.get(node_id)
            pushed_at = self._pushed_at_by_id.get(node_id, -math.inf)
            if node is None:
                is_due = now - pushed_at >= PUSH_RETRY_S
            else:
                bound_at = self._bound_at_by_id.get(node_id, -math.inf)
                is_silent = now - max(node.contact_at, pushed_at) >= push_after_s
                is_unbound = bound_at < bound_after and now - pushed_at >= PUSH_GAP_S
                is_due = is_silent or is_unbound
            if is_due:
                self._pushed_at_by_id[node_id] = now
                due.append(node_id)
        return due

    def _forget_departed(self, members: Collection[str]) -> None:
        """Drop what is kept of nodes that are no members any more."""
        if len(self._silent_by_id) <= len(members):
            return
        for node_id in [known for known in self._silent_by_id if known not in members]:
            del self._silent_by_id[node_id]
            self._pushed_at_by_id.pop(node_id, None)
            self._bound_at_by_id.pop(node_id, None)
            for account in self._account_by_customer.values():
                account.usage_by_node_id.pop(node_id, None)

    def _is_gathering(self, now: float) -> bool:
        gathers = now - self._gathering_since < GATHERING_S
        return gathers and self.contact_share < GATHERED_SHARE

    def _advance(self, now: float) -> None:
        """Accrue time for the nodes in contact, and let silent ones go.

        Each node stands for an equal part of each rate; the parts of nodes out of
        contact are what those admit on their own.
        """
        while self._node_by_id:
            node_id, node = next(iter(self._node_by_id.items()))
            lapses_at = node.contact_at + self._contact_s
            if lapses_at > now:
                break
            self._accrue(lapses_at)
            del self._node_by_id[node_id]
            self._silent_by_id[node_id] = (max(lapses_at, self._accrued_at), node)
        self._accrue(now)

    def _accrue(self, until: float) -> None:
        if until > self._accrued_at:
            self._accrued_s += (until - self._accrued_at) * self.contact_share
            self._accrued_at = until

    def _note_contact(self, report: Report, sent_at: float, *, returns: bool) -> bool:
        """Note a message of a node; return whether it is a report not seen before."""
        node_id = report.node_id
        silent_since, node = self._silent_by_id.get(node_id, (self._began_at, None))
        node = self._node_by_id.get(node_id, node)
        if node is not None and (report.session, report.number) <= (
            node.session,
            node.number,
        ):
            return False
        is_same = node is None or node.session == report.session
        if node_id not in self._node_by_id and returns and is_same:
            # What accrued for the node while it was silent; its usage is subtracted.
            members = max(len(self._member_ids()), 1)
            self._accrued_s += max(0.0, sent_at - silent_since) / members
        if not is_same:
            for account in self._account_by_customer.values():
                account.usage_by_node_id.pop(node_id, None)
        self._silent_by_id.pop(node_id, None)
        self._node_by_id.pop(node_id, None)
        self._node_by_id[node_id] = _Node(
            session=report.session, number=report.number, contact_at=sent_at
        )
        return True

    def _take_over(self, report: Report, now: float) -> None:
        """Start accounts anew where another coordinator has kept them until now."""
        if self.contact_share >= TAKEOVER_SHARE:
            return
        if now - self._taken_over_at > GATHERING_S:
            self._account_by_customer.clear()
            self._limited.clear()
            self._limited_before.clear()
            self._taken_over_at = self._gathering_since = self._began_at = now
            self._accrued_before_s = self._accrued_s
            for node_id, (_, node) in self._silent_by_id.items():
                self._silent_by_id[node_id] = (now, node)
            log(Event.QUOTA_COORDINATOR, coordinator=self.name, before=report.prior)
        self._limited_before.update(report.prior_limited)

    def _first_balance(self, customer: str, terms: QuotaTerms) -> float:
        """Return the balance of an account whose earlier usage is not known.

        The coordinator before has left at least the excess that leases may use, and
        more where it did not limit the customer.
        """
        lowest = -terms.leased_excess
        if self._taken_over_at > -math.inf and customer not in self._limited_before:
            free_balance = terms.free_balance + RESUME_CALLS
            lowest = max(lowest, min(terms.window_calls, free_balance))
        accrued_s = self._accrued_s - self._accrued_before_s
        per_s = terms.window_calls / terms.bounds.window_s
        return min(terms.window_calls, lowest + per_s * accrued_s)

    def _account(self, customer: str) -> QuotaAccount | None:
        terms = self._terms(customer)
        account = self._account_by_customer.get(customer)
        if terms is None:
            if account is not None:
                del self._account_by_customer[customer]
                self._limited.discard(customer)
            return None
        if account is None:
            account = self._account_by_customer[customer] = QuotaAccount(
                terms=terms,
                balance=self._first_balance(customer, terms),
                window_end_s=self._accrued_s,
            )
        elif account.terms != terms:
            account.change_terms(terms)
        account.advance_window(self._accrued_s)
        return account

    def _take_usage(
        self, node_id: str, usage: Usage, now: float, was_elsewhere: bool
    ) -> None:
        account = self._account(usage.customer)
        if account is None:
            return
        node_usage = account.usage_by_node_id.get(node_id)
        admitted = usage.admitted - usage.acknowledged
        rejected = 0
        if node_usage is not None and node_usage.admitted >= 0 and not was_elsewhere:
            admitted = usage.admitted - node_usage.admitted
            rejected = usage.rejected - node_usage.rejected
        if node_usage is None:
            node_usage = NodeUsage(admitted=0, rejected=0)
            account.usage_by_node_id[node_id] = node_usage
        node_usage.admitted, node_usage.rejected = usage.admitted, usage.rejected
        node_usage.tokens = max(0.0, node_usage.tokens - admitted)
        node_usage.lacks_tokens = rejected > 0
        node_usage.observe(admitted + rejected, now)
        account.use(admitted)
        if admitted > 0 or rejected > 0:
            account.used_at = now
            self._active_until = now + ACTIVE_S
        self._evaluate(usage.customer, now)

    def _evaluate(self, customer: str, now: float) -> QuotaAccount | None:
        """Update whether a customer is limited; return its account."""
        account = self._account(customer)
        if account is None:
            return None
        was_limited = account.is_limited
        if account.update_limited(self.contact_share):
            self._limited_at = now
            self._limited.add(customer)
        elif not account.is_limited:
            self._limited.discard(customer)
        if account.is_limited != was_limited and self._lines.can_spend(now):
            self._lines.spend(1.0, now)
            log(
                Event.QUOTA_LIMITED if account.is_limited else Event.QUOTA_FREE,
                customer=customer,
                balance=account.balance,
                rate_per_s=account.terms.rate_per_s,
                contact_share=self.contact_share,
            )
        return account
