"""Carries reports and answers about quotas between this node and the others."""

from collections.abc import Callable

import eventlet

from comfreytray.common.errors import Failure, Kind
from comfreytray.common.interfaces import Clock
from comfreytray.common.repeating import repeat_when
from comfreytray.common.signals import Signal
from comfreytray.customers import quotamessages
from comfreytray.customers.quotachoice import CoordinatorChoice
from comfreytray.customers.quotacoordinator import QuotaCoordinator
from comfreytray.customers.quotagate import QuotaGate
from comfreytray.customers.quotamessages import Answer, Report

REPORT_TOPIC = "/quota/report"
PUSH_TOPIC = "/quota/push"
TICK_S = 0.05
IDLE_TICK_S = 5.0
ASK_TIMEOUT_S = 0.5
"""Eight round trips between regions; an answer is valid for two seconds, so that after
a time-out the next coordinator is asked before the last answer lapses."""
MAX_WAIT_S = 0.5
"""Longest time for which a call waits for the first answer of a coordinator."""
WAIT_POLL_S = 0.02
MAX_WAITING = 256
"""Calls that wait at one time; further ones are decided at once."""
MAX_PUSHES = 64
"""Pushes on their way at one time."""

Ask = Callable[[str, str, bytes, float], bytes | Failure]
"""Sends a message to a node, by id, on a topic, and waits for its answer."""


class QuotaExchange:
    """Admits calls and runs the reports of a node and, at the coordinator, pushes."""

    def __init__(
        self,
        *,
        own_id: str,
        gate: QuotaGate,
        coordinator: QuotaCoordinator,
        choice: CoordinatorChoice,
        ask: Ask,
        clock: Clock,
    ) -> None:
        self.gate = gate
        self.coordinator = coordinator
        self._own_id = own_id
        self._choice = choice
        self._ask = ask
        self._clock = clock
        self._wake = Signal()
        self._is_reporting = False
        self._waiting = 0
        self._pushes = 0

    def admit(self, customer: str) -> Failure | None:
        """Take a token for a call; returns why it is refused.

        A node without an answer asks for one, and the call waits at most MAX_WAIT_S.
        """
        if self.gate.must_wait(customer):
            self._wait(customer)
        failure = self.gate.admit(customer)
        if self.gate.is_report_due():
            self._wake.fire()
        return failure

    def refund(self, customer: str) -> None:
        """Give back the token of a call that is proved not to have run."""
        self.gate.refund(customer)

    def _wait(self, customer: str) -> None:
        if self._waiting >= MAX_WAITING:
            return
        end = self._clock.monotonic() + MAX_WAIT_S
        self._waiting += 1
        self.gate.note_waiting(customer)
        try:
            while self.gate.must_wait(customer) and self._clock.monotonic() < end:
                if self.gate.is_report_due():
                    self._wake.fire()
                eventlet.sleep(WAIT_POLL_S)
        finally:
            self._waiting -= 1
            self.gate.note_waited(customer)

    def run(self) -> None:
        """Send what is due, until killed."""
        repeat_when("quotas", self._wake, self.step, period_s=self._period_s)

    def _period_s(self) -> float:
        is_active = self.gate.is_active or self.coordinator.is_active
        return TICK_S if is_active else IDLE_TICK_S

    def step(self) -> None:
        """Start the sends that are due."""
        if self.gate.is_report_due() and not self._is_reporting:
            self._is_reporting = True
            eventlet.spawn_n(self._report)
        for node_id in self.coordinator.due_pushes():
            if node_id == self._own_id:
                self._push_to_self()
            elif self._pushes < MAX_PUSHES:
                self._pushes += 1
                eventlet.spawn_n(self._push, node_id)
        if self.gate.is_active:
            self.gate.metrics.gauge("quota_lease_age_s", self.gate.lease_age_s)

    def receive_report(self, message: bytes) -> bytes | Failure:
        """Answer the report of another node."""
        report = quotamessages.decode_report(message)
        if isinstance(report, str):
            return Failure(kind=Kind.BAD_REQUEST, detail=f"quota report: {report}")
        answer = self.coordinator.receive(report)
        self._wake.fire()
        return quotamessages.encode_answer(answer)

    def receive_push(self, message: bytes) -> bytes | Failure:
        """Take an answer that was not asked for; the reply is a report, or empty."""
        answer = quotamessages.decode_answer(message)
        if isinstance(answer, str):
            return Failure(kind=Kind.BAD_REQUEST, detail=f"quota push: {answer}")
        self.coordinator.replicate(answer)
        report = self.gate.take_push(answer)
        return b"" if report is None else quotamessages.encode_report(report)

    def _report(self) -> None:
        try:
            self._exchange_report()
        finally:
            self._is_reporting = False

    def _exchange_report(self) -> None:
        node_id = self._choice.pick()
        sent_at = self._clock.monotonic()
        report = self.gate.build_report(node_id)
        if node_id == self._own_id:
            answer = self.coordinator.receive(report)
            self.gate.take_answer(answer, sent_at=sent_at)
            self._wake.fire()
            return
        answer_or_text = self._ask_coordinator(node_id, report)
        if isinstance(answer_or_text, str):
            self._choice.note_failed(node_id)
            self.gate.note_failed()
            return
        self._choice.note_answered()
        self.coordinator.replicate(answer_or_text)
        self.gate.take_answer(answer_or_text, sent_at=sent_at)

    def _ask_coordinator(self, node_id: str, report: Report) -> Answer | str:
        message = quotamessages.encode_report(report)
        reply = self._ask(node_id, REPORT_TOPIC, message, ASK_TIMEOUT_S)
        if isinstance(reply, Failure):
            return reply.detail
        return quotamessages.decode_answer(reply)

    def _push(self, node_id: str) -> None:
        try:
            sent_at = self._clock.monotonic()
            message = quotamessages.encode_answer(self.coordinator.answer(node_id))
            reply = self._ask(node_id, PUSH_TOPIC, message, ASK_TIMEOUT_S)
            if isinstance(reply, Failure) or not reply:
                return
            report = quotamessages.decode_report(reply)
            if not isinstance(report, str):
                self.coordinator.take(report, sent_at=sent_at)
        finally:
            self._pushes -= 1

    def _push_to_self(self) -> None:
        sent_at = self._clock.monotonic()
        report = self.gate.take_push(self.coordinator.answer(self._own_id))
        if report is not None:
            self.coordinator.take(report, sent_at=sent_at)
