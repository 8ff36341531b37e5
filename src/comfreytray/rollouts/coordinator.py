"""A node's part in roll-outs: it reports and obeys, and decides where it is chosen."""

import random
from collections.abc import Callable, Iterable
from types import TracebackType
from typing import Any

import eventlet
from attrs import define, field

from comfreytray.common import logs
from comfreytray.common.budgets import Backoff
from comfreytray.common.errors import Failure
from comfreytray.common.interfaces import Clock, StoredObject
from comfreytray.common.metrics import Metrics
from comfreytray.common.records import MembershipView, NodeRecord
from comfreytray.common.repeating import repeat_when
from comfreytray.common.signals import Signal
from comfreytray.rollouts import messages, orders, upstreams
from comfreytray.rollouts.bounds import RolloutBounds
from comfreytray.rollouts.decider import Decider
from comfreytray.rollouts.gate import VersionGate
from comfreytray.rollouts.messages import NO_GRANT
from comfreytray.rollouts.orders import Order, State
from comfreytray.rollouts.reporter import REPORT_PERIOD_S, TOPIC, Peers, Reporter
from comfreytray.rollouts.statuswriter import StatusStore, StatusWriter, Written

TICK_S = 0.1
IDLE_TICK_S = 5.0
"""Period while no order is open; a new one wakes the loop."""
NOTICE_S = 1.0
"""Time from the approval to the status `completed`, in which nodes are told of it: the
old upstreams stop at once."""
RESTORE_STEP_S = 2.0
"""Time that each candidate gives the one before it to write a lost end."""
FENCED_PAUSE_S = 1.0
"""Time in which a node learns of the decider that has replaced it."""
WRITE_RETRY_MIN_S = 0.1
WRITE_RETRY_MAX_S = 0.7


@define(kw_only=True, eq=False)
class _Deciding:
    """A decision of this node, and how its status gets into the store."""

    decider: Decider
    writer: StatusWriter
    write_at: float = 0.0
    is_writing: bool = field(default=False)


class Rollouts:
    """Runs a node's part in roll-outs; a context manager that owns its greenlet."""

    def __init__(
        self,
        *,
        node: Callable[[], NodeRecord],
        members: Callable[[], MembershipView],
        peers: Peers,
        store: StatusStore,
        clock: Clock,
        random: random.Random,
        metrics: Metrics,
        bounds: RolloutBounds,
        is_cold: Callable[[NodeRecord], bool] = lambda _: False,
        spawn: Callable[[Callable[[], None]], object] = eventlet.spawn_n,
    ) -> None:
        self.gate = VersionGate(
            node=node,
            members=members,
            clock=clock,
            random=random,
            metrics=metrics,
            bounds=bounds,
            is_cold=is_cold,
        )
        self.deciding_by_service: dict[str, _Deciding] = {}
        self._node = node
        self._members = members
        self._store = store
        self._clock = clock
        self._random = random
        self._metrics = metrics
        self._bounds = bounds
        self._spawn = spawn
        self._wake = Signal()
        self._greenlet: Any = None
        self._judged_at = 0.0
        self._reporter = Reporter(
            gate=self.gate,
            node=node,
            members=members,
            peers=peers,
            clock=clock,
            metrics=metrics,
            spawn=spawn,
            own_decider=self._own_decider,
        )
        peers.register(TOPIC, self.receive)

    def __enter__(self) -> "Rollouts":
        self._greenlet = eventlet.spawn(self.run)
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._greenlet.kill()

    def apply(self, objects: Iterable[StoredObject]) -> None:
        """Take the orders that the feed brings."""
        decoded = (orders.decode(stored) for stored in objects)
        self.gate.apply(order for order in decoded if order is not None)
        self._wake.fire()

    def run(self) -> None:
        """Make the steps that are due, until killed."""
        repeat_when("rollouts", self._wake, self.step, period_s=self._period_s)

    def _period_s(self) -> float:
        has_orders = self.gate.open_orders or self.gate.lost_orders
        return TICK_S if has_orders or self._has_writes else IDLE_TICK_S

    def step(self) -> None:
        """Report, decide and write what is due; does not wait."""
        now = self._clock.monotonic()
        if now - self._judged_at >= REPORT_PERIOD_S:
            self._judged_at = now
            self.gate.tick()
        for order in self.gate.open_orders:
            self._reporter.step(order, now)
        for order in self.gate.lost_orders:
            self._restore(order, now)
        for service, deciding in list(self.deciding_by_service.items()):
            self._decide(service, deciding, now)

    def receive(self, message: bytes) -> bytes | Failure:
        """Answer the report of another node."""
        report = messages.unpack_report(message)
        if isinstance(report, Failure):
            return report
        deciding = self.deciding_by_service.get(report.service)
        grant = NO_GRANT if deciding is None else deciding.decider.receive(report)
        return messages.pack_grant(grant)

    @property
    def _has_writes(self) -> bool:
        return any(d.decider.wanted for d in self.deciding_by_service.values())

    def _restore(self, order: Order, now: float) -> None:
        """Have a lost end written again, by the first of the candidates that lives."""
        reporting = self._reporter.of(order.service)
        own_id = self._node().node_id
        position = reporting.choice.position(self._members(), own_id)
        if reporting.lost_revision != order.revision:
            reporting.lost_revision, reporting.lost_at = order.revision, now
        if position is None or now < reporting.lost_at + RESTORE_STEP_S * position:
            return
        if now >= reporting.due_at:
            state = self.gate.state_by_service[order.service]
            self._own_decider(order).outcome = state.outcome

    def _own_decider(self, order: Order) -> Decider:
        """Return this node's decider of an order, with the next generation if new."""
        held = self.deciding_by_service.get(order.service)
        if held is not None and self._is_valid(held.decider, order):
            return held.decider
        service, target = order.service, order.target_version
        generation = self.gate.state_by_service[service].generation + 1
        decider = Decider(
            order=order,
            generation=generation,
            clock=self._clock,
            bounds=self._bounds,
            upstreams=lambda: upstreams.count(self._members(), service, target),
            members=lambda: len(self._members().by_id),
        )
        writer = StatusWriter(
            store=self._store,
            order=order,
            generation=generation,
            node_id=self._node().node_id,
            backoff=Backoff(
                random=self._random, min_s=WRITE_RETRY_MIN_S, max_s=WRITE_RETRY_MAX_S
            ),
        )
        self.deciding_by_service[service] = _Deciding(decider=decider, writer=writer)
        return decider

    def _is_valid(self, decider: Decider, order: Order) -> bool:
        """Whether a decider of this node may still act on an order."""
        state = self.gate.state_by_service[order.service]
        return (
            decider.order.order_id == order.order_id
            and decider.phase != "replaced"
            and decider.generation >= state.generation
        )

    def _decide(self, service: str, deciding: _Deciding, now: float) -> None:
        decider = deciding.decider
        order = self.gate.state_by_service[service].order
        if order is not None and not self._is_valid(decider, order):
            self._fence(service, decider)
            return
        decider.tick()
        self._metrics.gauge("rollout_share", decider.shares.total)
        write_at = max(deciding.write_at, decider.approved_at + NOTICE_S)
        if decider.wanted is not State.COMPLETED:
            write_at = deciding.write_at
        if decider.wanted and not deciding.is_writing and now >= write_at:
            deciding.is_writing = True
            self._spawn(lambda: self._write(service, deciding))

    def _write(self, service: str, deciding: _Deciding) -> None:
        """Make one store call for the state that the decider wants."""
        decider = deciding.decider
        wanted = decider.wanted
        try:
            if wanted is None:
                return
            self._metrics.count("rollout_store_calls")
            written = deciding.writer.write(wanted)
            deciding.write_at = self._clock.monotonic() + deciding.writer.pause_s
            if written is Written.FENCED:
                self._learn_fenced(service, deciding)
            elif written is Written.STORED and decider.wanted is wanted:
                self._note_stored(decider)
        finally:
            deciding.is_writing = False
            self._wake.fire()

    def _learn_fenced(self, service: str, deciding: _Deciding) -> None:
        """Follow what the store holds in place of the own decision."""
        self._fence(service, deciding.decider)
        self._reporter.of(service).due_at = self._clock.monotonic() + FENCED_PAUSE_S
        if deciding.writer.seen is not None:
            self.gate.apply((deciding.writer.seen,))
        else:
            self.gate.withdraw(service)

    def _note_stored(self, decider: Decider) -> None:
        is_claim = decider.phase == "claiming"
        decider.note_stored()
        logs.log(
            logs.Event.ROLLOUT_CLAIMED if is_claim else logs.Event.ROLLOUT_ENDED,
            service=decider.order.service,
            target=decider.order.target_version,
            generation=decider.generation,
            state=decider.phase,
        )

    def _fence(self, service: str, decider: Decider) -> None:
        """Give up a decision to a later decider or order."""
        if decider.phase != "replaced":
            decider.step("fenced")
            logs.log(
                logs.Event.ROLLOUT_FENCED,
                service=service,
                generation=decider.generation,
            )
        held = self.deciding_by_service.get(service)
        if held is not None and held.decider is decider:
            del self.deciding_by_service[service]
