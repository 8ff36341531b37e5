"""A node's reports to the deciders of open orders, and what it makes of the answers."""

from collections.abc import Callable
from typing import Protocol

from attrs import define

from comfreytray.common.errors import Failure
from comfreytray.common.interfaces import Clock
from comfreytray.common.metrics import Metrics
from comfreytray.common.records import MembershipView, NodeRecord
from comfreytray.rollouts import messages
from comfreytray.rollouts.choice import DeciderChoice
from comfreytray.rollouts.decider import Decider
from comfreytray.rollouts.gate import VersionGate
from comfreytray.rollouts.orders import Order

TOPIC = "/rollouts"
REPORT_PERIOD_S = 0.5
IDLE_REPORT_PERIOD_S = 1.0
"""Period of a node without calls to the service, which has nothing to tell."""
MAX_REPORT_PERIOD_S = 1.0
NODES_AT_FULL_RATE = 120
"""Members from which reports are made less often, to spare the decider."""
ASK_TIMEOUT_S = 0.4


class Peers(Protocol):
    """Carries messages to other nodes."""

    def ask(
        self, record: NodeRecord, topic: str, message: bytes, *, timeout_s: float
    ) -> bytes | Failure:
        """Send a message to a node and wait for its answer."""
        ...

    def register(self, topic: str, handler: Callable[[bytes], bytes | Failure]) -> None:
        """Handle the messages of a topic from now on."""
        ...


@define(kw_only=True, eq=False)
class Reporting:
    """The state of this node's reports on one service."""

    choice: DeciderChoice
    due_at: float = 0.0
    is_asking: bool = False
    offered: int = 0
    """Calls that the last report named."""
    lost_revision: int = 0
    """Revision of the object whose known end is missing."""
    lost_at: float = 0.0


class Reporter:
    """Reports to the decider of each open order, which may be this node."""

    def __init__(
        self,
        *,
        gate: VersionGate,
        node: Callable[[], NodeRecord],
        members: Callable[[], MembershipView],
        peers: Peers,
        clock: Clock,
        metrics: Metrics,
        spawn: Callable[[Callable[[], None]], object],
        own_decider: Callable[[Order], Decider],
    ) -> None:
        """Create it; `own_decider` makes this node the decider of an order."""
        self.gate = gate
        self._node = node
        self._members = members
        self._peers = peers
        self._clock = clock
        self._metrics = metrics
        self._spawn = spawn
        self._own_decider = own_decider
        self._reporting_by_service: dict[str, Reporting] = {}

    def of(self, service: str) -> Reporting:
        """Return the state of the reports on a service."""
        reporting = self._reporting_by_service.get(service)
        if reporting is None:
            reporting = Reporting(choice=DeciderChoice(service=service))
            self._reporting_by_service[service] = reporting
        return reporting

    def step(self, order: Order, now: float) -> None:
        """Report to the decider if it is time."""
        service = order.service
        reporting = self.of(service)
        if reporting.is_asking or now < reporting.due_at:
            return
        own_id = self._node().node_id
        state = self.gate.state_by_service[service]
        chosen = reporting.choice.pick(
            self._members(), own_id=own_id, present=state.decider, now=now
        )
        report = self.gate.report(service)
        if report is None or chosen is None:
            return
        is_idle = report.offered == reporting.offered
        reporting.offered = report.offered
        reporting.due_at = now + self._period_s(is_idle=is_idle)
        if chosen.node_id == own_id:
            decider = self._own_decider(order)
            self.gate.take(service, decider.receive(report), asked_at=now)
            return
        reporting.is_asking = True
        self._spawn(lambda: self._ask(chosen, report, reporting, now))

    def _period_s(self, *, is_idle: bool) -> float:
        factor = max(1.0, len(self._members().by_id) / NODES_AT_FULL_RATE)
        if is_idle:
            return IDLE_REPORT_PERIOD_S * factor
        return min(MAX_REPORT_PERIOD_S, REPORT_PERIOD_S * factor)

    def _ask(
        self,
        chosen: NodeRecord,
        report: messages.Report,
        reporting: Reporting,
        asked_at: float,
    ) -> None:
        """Send a report and act on the answer."""
        try:
            answer = self._peers.ask(
                chosen, TOPIC, messages.pack_report(report), timeout_s=ASK_TIMEOUT_S
            )
            grant = (
                answer if isinstance(answer, Failure) else messages.unpack_grant(answer)
            )
            self._metrics.count("rollout_reports")
            if isinstance(grant, Failure):
                self._metrics.count("rollout_reports_failed")
                now = self._clock.monotonic()
                reporting.choice.avoid(chosen.node_id, now)
                reporting.due_at = now
                return
            if self.gate.take(report.service, grant, asked_at=asked_at):
                self.gate.state_by_service[report.service].decider = chosen.node_id
        finally:
            reporting.is_asking = False
