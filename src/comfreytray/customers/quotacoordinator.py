"""The coordinator of the quotas: one account for each customer that calls."""

import math
from collections.abc import Callable, Collection

from comfreytray.common.budgets import TokenBucket
from comfreytray.common.interfaces import Clock
from comfreytray.common.logs import Event, log
from comfreytray.customers.quotaaccount import QuotaAccount
from comfreytray.customers.quotacontacts import Contacts
from comfreytray.customers.quotahistory import KnownUsage, Total, UsageReplica
from comfreytray.customers.quotamessages import Answer, Lease, Report, Usage
from comfreytray.customers.quotapushes import PushSchedule
from comfreytray.customers.quotaterms import QuotaTerms, report_period_s

ACTIVE_S = 3.0
"""Time after a call for which a customer counts as calling."""
GATHERING_S = 0.6
"""Time in which the reports of most nodes arrive at a new coordinator."""
GATHERED_SHARE = 0.95
ASKED_PERIODS = 2.0
"""Periods of the reports in which a coordinator is asked at least once."""
SELF_ANSWER_S = 0.1
"""Shortest time between the answers by which a coordinator lets its own node admit
further calls."""
LOG_LINES_PER_S = 2.0
LOG_BURST_LINES = 50.0


class QuotaCoordinator:
    """Keeps the accounts of all customers and grants leases; does no I/O itself."""

    def __init__(
        self,
        *,
        clock: Clock,
        name: str,
        terms: Callable[[str], QuotaTerms | None],
        member_ids: Callable[[], frozenset[str]],
        window_s: float,
        successor: Callable[[], str] = lambda: "",
        is_first_start: bool = False,
        process_began_at: float = math.inf,
    ) -> None:
        """Create it; the quotas hold in any window of `window_s`.

        `process_began_at` is the monotonic time at which this process began.
        `successor` returns the node that would follow this one as coordinator.
        `is_first_start` tells that no call was admitted before this process began.
        """
        self._is_first_start = is_first_start
        self._successor = successor
        self._replica = UsageReplica()
        self.name = name
        self._clock = clock
        self._terms = terms
        self._member_ids = member_ids
        self._window_s = window_s
        now = clock.monotonic()
        self._contacts = Contacts(
            now=now, began_at=process_began_at, member_ids=member_ids
        )
        self._known = KnownUsage()
        self._account_by_customer: dict[str, QuotaAccount] = {}
        self._limited: set[str] = set()
        self._pushes = PushSchedule()
        self._number = 0
        self._gathering_since = -math.inf
        self._taken_over_at = -math.inf
        self._process_began_at = now
        self._follows = False
        """Whether this node has a replica of the accounts that were kept before."""
        self._is_known = False
        """Whether all calls of the window before the accounts began are known."""
        self._limited_before: set[str] = set()
        self._limited_at = -math.inf
        self._active_until = -math.inf
        self._asked_at = -math.inf
        """When a node has reported of itself last."""
        self._accrued_before_s = 0.0
        self._evaluated_share = 0.0
        self._lines = TokenBucket(
            rate_per_s=LOG_LINES_PER_S, capacity=LOG_BURST_LINES, refilled_at_s=now
        )

    @property
    def contact_share(self) -> float:
        """Part of the members that is in contact."""
        return self._contacts.share

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
        self._asked_at = now
        self.take(report, sent_at=now)
        return self.answer(report.node_id)

    def take(self, report: Report, *, sent_at: float) -> None:
        """Take a report; `sent_at` is the time from which its node is in contact."""
        now = self._clock.monotonic()
        self._advance(now)
        if not self._contacts.by_id:
            self._gathering_since = now
        was_elsewhere = report.prior not in ("", self.name)
        if was_elsewhere:
            self._take_over(report, now)
        node = self._contacts.note(report, sent_at, returns=not was_elsewhere)
        if not self._contacts.is_old(report, node):
            if node is not None and node.session != report.session:
                self._end_process(report.node_id)
            self._take_history(report, now)
            for usage in report.usage:
                self._take_usage(report.node_id, usage, now)
        if self.contact_share != self._evaluated_share:
            self._evaluated_share = self.contact_share
            for customer in self._account_by_customer:
                self._evaluate(customer, now)

    def answer(self, node_id: str) -> Answer:
        """Return what a node that has reported may admit."""
        now = self._clock.monotonic()
        self._advance(now)
        leases: list[Lease] = []
        is_gathering = self._is_gathering(now)
        for customer in sorted(self._limited):
            account = self._evaluate(customer, now)
            if account is None or not account.is_limited:
                continue
            if is_gathering:
                if account.is_exhausted:
                    leases.append(Lease(customer=customer, tokens=0, rate_per_s=0.0))
                continue
            lease = account.lease(
                node_id,
                customer=customer,
                contacts=len(self._contacts.by_id),
                contact_share=self.contact_share,
                now=now,
            )
            leases.append(lease)
        self._number += 1
        node = self._contacts.by_id.get(node_id)
        if not is_gathering:
            self._pushes.note_bound(node_id, now)
        return Answer(
            coordinator=self.name,
            number=self._number,
            report=0 if node is None else node.number,
            is_gathering=is_gathering,
            leases=tuple(leases),
            totals=self._totals(now) if node_id == self._successor() else (),
        )

    def replicate(self, answer: Answer) -> None:
        """Keep what another coordinator has counted, to follow it if it ends."""
        if answer.coordinator != self.name and answer.totals:
            self._replica.update(
                answer.coordinator,
                answer.totals,
                self._clock.monotonic(),
                window_s=self._window_s,
            )

    def _totals(self, now: float) -> tuple[Total, ...]:
        # Those that changed lately, so that a lost answer leaves nothing out.
        return tuple(
            Total(customer=customer, calls=account.total, recent=account.recent_calls)
            for customer, account in sorted(self._account_by_customer.items())
            if now - account.used_at < ACTIVE_S
        )

    def due_pushes(self) -> list[str]:
        """Return the nodes to which an answer is to be sent unasked.

        Nodes without calls don't report; a new limit can't wait for the next reports.
        Whom nobody asks any more leaves them to the coordinator that is asked instead.
        """
        now = self._clock.monotonic()
        self._advance(now)
        if not self.is_active or not self._contacts.by_id:
            return []
        members = self._member_ids()
        if now - self._asked_at > ASKED_PERIODS * report_period_s(len(members)):
            return []
        self._forget_departed(members)
        bound_after = self._limited_at
        if not self._is_gathering(now):
            bound_after = max(bound_after, self._gathering_since)
        return self._pushes.due(members, self._contacts, now, bound_after=bound_after)

    def _forget_departed(self, members: Collection[str]) -> None:
        """Drop what is kept of nodes that are no members any more."""
        for node_id in self._contacts.forget_departed(members):
            self._pushes.forget(node_id)
            self._end_process(node_id)

    def _end_process(self, node_id: str) -> None:
        """Count what an ended process still had of its leases as used."""
        self._known.forget(node_id)
        for account in self._account_by_customer.values():
            account.end_node(node_id)

    def _is_gathering(self, now: float) -> bool:
        gathers = now - self._gathering_since < GATHERING_S
        return gathers and self.contact_share < GATHERED_SHARE

    def _advance(self, now: float) -> None:
        self._known.follow(self._member_ids(), now)
        self._contacts.advance(now)

    def _take_over(self, report: Report, now: float) -> None:
        """Start accounts anew where another coordinator has kept them until now."""
        if not self._contacts.by_id:
            self._account_by_customer.clear()
            self._limited.clear()
            self._limited_before.clear()
            self._taken_over_at = self._gathering_since = now
            self._accrued_before_s = self._contacts.accrued_s
            self._contacts.begin_anew(now)
            self._known.clear()
            self._is_known = False
            self._follows = self._replica.is_of(report.prior, now)
            log(
                Event.QUOTA_COORDINATOR,
                coordinator=self.name,
                before=report.prior,
                replicated=self._follows,
            )
        self._known.expect(report.prior.rpartition("/")[0], now)
        self._limited_before.update(report.prior_limited)

    def _unknown_calls(self, customer: str, terms: QuotaTerms) -> float:
        """Return the most calls that may have been admitted before this account."""
        if self._is_known:
            return 0.0
        has_taken_over = self._taken_over_at > -math.inf
        was_free = has_taken_over and customer not in self._limited_before
        return terms.most_unknown(was_free=was_free)

    def _account(self, customer: str) -> QuotaAccount | None:
        terms = self._terms(customer)
        account = self._account_by_customer.get(customer)
        if terms is None:
            if account is not None:
                del self._account_by_customer[customer]
                self._limited.discard(customer)
            return None
        if account is None:
            account = QuotaAccount(
                terms=terms,
                unknown_calls=self._unknown_calls(customer, terms),
                unknown_at_s=self._accrued_before_s,
                spreads_unknown=self._is_first_start
                and math.isinf(self._taken_over_at),
                window_end_s=self._contacts.accrued_s,
            )
            self._account_by_customer[customer] = account
            self._take_replica(customer, account)
        elif account.terms != terms:
            account.change_terms(terms)
        account.advance_window(self._contacts.accrued_s)
        return account

    def _take_replica(self, customer: str, account: QuotaAccount) -> None:
        """Count what the coordinator before had counted, if that is known here."""
        if not self._follows:
            return
        now = self._clock.monotonic()
        history = self._replica.history_by_customer.get(customer)
        told = () if history is None else history.tell(customer, now, admitted=0).slots
        account.take_replica(told, updated_at=self._replica.updated_at)

    def _take_usage(self, node_id: str, usage: Usage, now: float) -> None:
        account = self._account(usage.customer)
        if account is None:
            return
        admitted, rejected = account.take_totals(node_id, usage, now=now)
        if admitted > 0 or rejected > 0:
            account.used_at = now
            self._active_until = now + ACTIVE_S
        self._evaluate(usage.customer, now)

    def _take_history(self, report: Report, now: float) -> None:
        """Take what a node tells of the window before it reported here."""
        if report.history_s is None:
            return
        unknown_after_s = now - max(self._taken_over_at, self._process_began_at)
        for row in report.history:
            account = self._account(row.customer)
            if account is not None:
                account.take_history(report.node_id, row, unknown_after_s, now=now)
                self._evaluate(row.customer, now)
        if report.history_s < self._window_s:
            # The process before it may have admitted calls, too.
            return
        self._known.add(report.node_id)
        self._settle(now)

    def _settle(self, now: float) -> None:
        """Lower what is unknown to what nodes may have admitted that have not told."""
        if self._is_known:
            return
        missing = self._known.count_missing(now, window_s=self._window_s)
        self._is_known = not missing
        if missing and (not self._follows or self._is_gathering(now)):
            return
        since_s = self._taken_over_at - self._replica.updated_at
        answers = missing + since_s / SELF_ANSWER_S
        for customer, account in self._account_by_customer.items():
            if self._is_known:
                account.forget_unknown()
            elif customer not in self._limited_before:
                account.limit_unknown(answers * account.terms.free_calls)
            self._evaluate(customer, now)

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
