"""A node's own decision on whether a call is within its customer's quota."""

import math
import random
from collections.abc import Callable, Collection

from attrs import evolve

from comfreytray.common.errors import Failure, Kind
from comfreytray.common.interfaces import Clock
from comfreytray.common.metrics import Metrics
from comfreytray.customers.quotaadopted import AdoptedAnswer
from comfreytray.customers.quotahistory import HistorySender
from comfreytray.customers.quotamessages import Answer, Report
from comfreytray.customers.quotashares import FallbackShares
from comfreytray.customers.quotaterms import (
    REPORT_PERIOD_S,
    QuotaTerms,
    report_period_s,
)
from comfreytray.customers.quotausage import CustomerUsage, CustomerUsages

VALID_S = 2.0
"""Time after a report was sent for which its answer holds."""
ACTIVE_S = 3.0
"""Time after a call of a customer with a quota for which reports go on."""
URGENT_PERIOD_S = 0.1
"""Shortest time between two reports."""
NO_WAIT_S = 2.0
"""Time after a report without an answer in which no call waits for one."""
UNANSWERED_S = 0.2
"""Time after a report, three round trips between regions, from which free admission
ends. With 0.25 s a network that fell into parts just before a surge exceeded the
bound."""
EXHAUSTED_S = 0.3
"""Time for which a new coordinator's word holds that a quota is used up."""
MIN_RETRY_S = 0.1
MAX_RETRY_S = 10.0
RETRY_JITTER = 0.25
"""Part by which a Retry-After is lengthened at most, so that callers don't return all
at once."""


class QuotaGate:
    """Admits calls by the coordinator's answers, or by a share that needs none."""

    def __init__(
        self,
        *,
        clock: Clock,
        node_id: str,
        session: int,
        terms: Callable[[str], QuotaTerms | None],
        member_ids: Callable[[], Collection[str]],
        metrics: Metrics,
        random: random.Random,
        process_began_at: float = math.inf,
    ) -> None:
        """Create it; no call was admitted from `process_began_at`, monotonic, on."""
        self.metrics = metrics
        self._clock = clock
        self._node_id = node_id
        self._session = session
        self._terms = terms
        self._member_ids = member_ids
        self._random = random
        self._usages = CustomerUsages()
        self._contact = AdoptedAnswer()
        self._started_at = clock.monotonic()
        self._process_began_at = min(self._started_at, process_began_at)
        self._number = 0
        self._answered_number = 0
        self._reported_at = -math.inf
        self._active_until = -math.inf
        self._is_urgent = False
        self._failed_at = -math.inf
        self._unanswered_since = math.inf
        self._acknowledged_at = self._started_at
        self._window_s = 0.0
        """Window of the quotas, once a call was counted."""
        self._history = HistorySender()
        self._fallback_shares = FallbackShares(node_id=node_id, member_ids=member_ids)

    @property
    def is_active(self) -> bool:
        """Whether customers with a quota called in the last seconds."""
        return self._clock.monotonic() < self._active_until

    @property
    def coordinator(self) -> str:
        """Name of the coordinator whose answer is valid; empty if none is."""
        return self._contact.coordinator if self._has_contact() else ""

    @property
    def lease_age_s(self) -> float:
        """Seconds since the start of the validity of the newest answer."""
        return self._clock.monotonic() - self._contact.valid_until + VALID_S

    def admit(self, customer: str) -> Failure | None:
        """Take a token for a call; returns why it is refused."""
        terms = self._terms(customer)
        if terms is None:
            return None
        state = self._usages.mark(customer)
        self._active_until = self._clock.monotonic() + ACTIVE_S
        wait_s = self._wait_s(customer, state, terms)
        if wait_s is None:
            state.admitted += 1
            self._window_s = terms.bounds.window_s
            state.history.add(self._clock.monotonic(), window_s=terms.bounds.window_s)
            if self._uses_fallback(customer):
                state.fallback.tokens -= 1.0
                self._is_urgent = True
            else:
                lease = self._contact.lease_by_customer.get(customer)
                tokens = 0 if lease is None else lease.tokens
                self._is_urgent |= state.is_urgent(terms, tokens, REPORT_PERIOD_S)
            self.metrics.count("quota_admitted")
            return None
        state.rejected += 1
        self.metrics.count("quota_rejected")
        retry_after_s = min(MAX_RETRY_S, max(MIN_RETRY_S, wait_s))
        retry_after_s *= 1.0 + self._random.uniform(0.0, RETRY_JITTER)
        reason = "leased" if self._has_contact() else "no coordinator"
        return Failure(
            kind=Kind.QUOTA_EXCEEDED,
            detail=f"quota of {terms.rate_per_s:g} calls a second, {reason}",
            retry_after_s=retry_after_s,
        )

    def must_wait(self, customer: str) -> bool:
        """Whether an answer that is about to come could admit a call.

        This holds for a node that has just started or has had no calls, and for one
        whose lease is used up while the coordinator has tokens left. It reports at
        once; the call is not refused for want of an answer that takes one round trip.
        """
        terms = self._terms(customer)
        if terms is None:
            return False
        now = self._clock.monotonic()
        if now - self._failed_at < NO_WAIT_S:
            return False
        state = self._usages.of(customer)
        if self._has_contact():
            lease = self._contact.lease_by_customer.get(customer)
            if lease is None and self._uses_fallback(customer):
                return False
            if lease is not None and not lease.has_more:
                return False
        if self._is_used_up(state, terms):
            return False
        return self._wait_s(customer, state, terms) is not None

    def note_waiting(self, customer: str) -> None:
        """Note that a call waits for an answer, which makes a report due."""
        self._usages.mark(customer).rejected += 1
        self._active_until = self._clock.monotonic() + ACTIVE_S
        self._is_urgent = True

    def note_waited(self, customer: str) -> None:
        """Note that a call no longer waits; it is counted again when it is decided."""
        self._usages.of(customer).rejected -= 1

    def refund(self, customer: str) -> None:
        """Give back the token of a call that is proved not to have run."""
        state = self._usages.by_customer.get(customer)
        if state is not None and state.admitted > 0:
            state.admitted -= 1
            state.history.give_back()
            self._usages.mark(customer)
            self.metrics.count("quota_refunded")

    def note_failed(self) -> None:
        """Note that a report was not answered, so that no call waits for an answer."""
        self._failed_at = self._clock.monotonic()
        self._is_urgent = True

    def is_report_due(self) -> bool:
        """Whether it is time to report; never while no customer with a quota calls."""
        if not self.is_active:
            return False
        period_s = report_period_s(len(self._member_ids()))
        if self._is_urgent:
            period_s = URGENT_PERIOD_S
        return self._clock.monotonic() - self._reported_at >= period_s

    def build_report(self, target_id: str = "") -> Report:
        """Return what is to be reported now to a node.

        A coordinator that has not kept the accounts until now gets the history, too.
        """
        self._number += 1
        self._reported_at = self._clock.monotonic()
        self._is_urgent = False
        self._unanswered_since = min(self._unanswered_since, self._reported_at)
        now = self._reported_at
        # An account holds the calls of a window, beyond the validity of an answer.
        has_prior = now < self._contact.valid_until + self._window_s
        limited = self._contact.lease_by_customer if has_prior else {}
        report = Report(
            node_id=self._node_id,
            session=self._session,
            number=self._number,
            prior=self._contact.coordinator if has_prior else "",
            prior_limited=tuple(sorted(limited)),
            usage=self._usages.rows(),
        )
        if self._history.is_known_to(target_id):
            return report
        self._history.note_told(self._number)
        told = self._usages.histories(now)
        return evolve(report, history=told, history_s=now - self._process_began_at)

    def take_answer(self, answer: Answer, *, sent_at: float) -> None:
        """Apply the answer to the newest report, which was sent at `sent_at`."""
        if self._history.note_answer(answer.coordinator, answer.report):
            self._is_urgent = True
        is_followed = self._adopt(answer, valid_until=sent_at + VALID_S)
        if answer.report == self._number:
            self._acknowledge(is_followed=is_followed)

    def take_push(self, answer: Answer) -> Report | None:
        """Apply an answer that was not asked for and return a report.

        Returns None, which refuses it, while the answer of another coordinator holds.
        """
        if self.coordinator not in ("", answer.coordinator):
            return None
        valid_until = self._clock.monotonic() + VALID_S
        is_newest = answer.report == self._number
        if not is_newest and answer.report != self._answered_number:
            # The tokens count from a report that this node can't tell the total of.
            leases = tuple(evolve(lease, tokens=0) for lease in answer.leases)
            answer = evolve(answer, leases=leases)
        if self._history.note_answer(answer.coordinator, answer.report):
            self._is_urgent = True
        is_followed = self._adopt(answer, valid_until=valid_until)
        if is_newest:
            self._acknowledge(is_followed=is_followed)
        unanswered_since = self._unanswered_since
        report = self.build_report(answer.coordinator.rpartition("/")[0])
        self._unanswered_since = unanswered_since
        return report

    def _acknowledge(self, *, is_followed: bool) -> None:
        """Count what the newest report held as known to the coordinator."""
        self._answered_number = self._number
        now = self._clock.monotonic()
        passed_s = max(URGENT_PERIOD_S, now - self._acknowledged_at)
        self._acknowledged_at = now
        self._usages.acknowledge(passed_s, is_followed=is_followed)

    def _adopt(self, answer: Answer, *, valid_until: float) -> bool:
        """Follow an answer, unless there is a newer one or it binds nobody yet."""
        contact = self._contact
        is_same = contact.coordinator == answer.coordinator
        if is_same and answer.number <= contact.number:
            return False
        if answer.is_gathering:
            self._note_exhausted(answer)
            # A new coordinator does not yet know what the leases before have left.
            self._is_urgent = not self._has_contact()
            return False
        self._unanswered_since = math.inf
        self._contact = AdoptedAnswer(
            coordinator=answer.coordinator,
            number=answer.number,
            valid_until=max(valid_until, contact.valid_until if is_same else 0.0),
            clock_lead_s=self._clock.wall() - self._clock.monotonic(),
            lease_by_customer={lease.customer: lease for lease in answer.leases},
        )
        return True

    def _note_exhausted(self, answer: Answer) -> None:
        """Stop customers that have used up their quota, whatever is yet unknown."""
        until = self._clock.monotonic() + EXHAUSTED_S
        for lease in answer.leases:
            self._usages.of(lease.customer).exhausted_until = until

    def _has_contact(self) -> bool:
        return self._contact.is_valid(self._clock)

    def _wait_s(
        self, customer: str, state: CustomerUsage, terms: QuotaTerms
    ) -> float | None:
        """Return the seconds until a token is expected; None if there is one."""
        now = self._clock.monotonic()
        if self._is_used_up(state, terms):
            return max(MIN_RETRY_S, state.exhausted_until - now)
        if not self._has_contact():
            # `valid_until` may lie ahead if the machine was suspended.
            lapsed_at = min(now, self._contact.valid_until)
            since = max(self._started_at, lapsed_at)
            return self._fallback_wait_s(
                customer, state, terms, since=since, filled=False
            )
        if self._uses_fallback(customer):
            since = self._unanswered_since
            return self._fallback_wait_s(
                customer, state, terms, since=since, filled=True
            )
        lease = self._contact.lease_by_customer.get(customer)
        used = state.admitted - state.lease_base
        if lease is None:
            if used < terms.free_calls:
                return None
            self._is_urgent = True
            return MIN_RETRY_S
        if used < lease.tokens:
            return None
        return 1.0 / lease.rate_per_s if lease.rate_per_s > 0 else MAX_RETRY_S

    def _is_used_up(self, state: CustomerUsage, terms: QuotaTerms) -> bool:
        """Whether this node, or by a new coordinator all, have used the quota up."""
        now = self._clock.monotonic()
        if now < state.exhausted_until:
            return True
        return state.history.recent_calls(now) >= terms.most_calls

    def _uses_fallback(self, customer: str) -> bool:
        """Whether the answer does not say what the node may admit now."""
        if not self._has_contact():
            return True
        unanswered_s = self._clock.monotonic() - self._unanswered_since
        is_leased = customer in self._contact.lease_by_customer
        return unanswered_s > UNANSWERED_S and not is_leased

    def _fallback_wait_s(
        self,
        customer: str,
        state: CustomerUsage,
        terms: QuotaTerms,
        *,
        since: float,
        filled: bool,
    ) -> float | None:
        """Refill the node's own share from a time on; return as `_wait_s` does.

        While an answer is still valid, the share is `filled` at first, and its rate is
        at least that of the calls that the node has admitted until then.
        """
        now = self._clock.monotonic()
        share = self._fallback_shares.of(customer, terms)
        rate_per_s = share.rate_per_s
        if filled and share.capacity:
            rate_per_s = max(rate_per_s, state.mean_per_s)
        return state.fallback.wait_s(
            share, rate_per_s=rate_per_s, since=since, filled=filled, now=now
        )
