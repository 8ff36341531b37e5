"""The limits that a node keeps by itself on the calls to versions under roll-out."""

import random
from collections.abc import Callable, Iterable

from comfreytray.calls.call import Call, Outcome, Reply
from comfreytray.calls.versions import Select
from comfreytray.common.errors import Kind
from comfreytray.common.interfaces import Clock
from comfreytray.common.metrics import Metrics
from comfreytray.common.records import MembershipView, NodeRecord
from comfreytray.rollouts.bounds import RolloutBounds
from comfreytray.rollouts.messages import Grant, Report
from comfreytray.rollouts.orders import Order
from comfreytray.rollouts.servicestate import ServiceState

FIRST_FAILED_STATUS = 500
_BAD_KINDS = frozenset({Kind.ANSWER_CUT, Kind.DEADLINE_WHILE_RUNNING})
"""Failures that tell of the version. The end of an instance or of a link does not:
machines are killed under good versions, too."""


class VersionGate:
    """Applies orders and grants to the calls of this node; implements VersionRules."""

    def __init__(
        self,
        *,
        node: Callable[[], NodeRecord],
        members: Callable[[], MembershipView],
        clock: Clock,
        random: random.Random,
        metrics: Metrics,
        bounds: RolloutBounds,
        is_cold: Callable[[NodeRecord], bool] = lambda _: False,
    ) -> None:
        self.state_by_service: dict[str, ServiceState] = {}
        self._node = node
        self._members = members
        self._clock = clock
        self._random = random
        self._metrics = metrics
        self._bounds = bounds
        self._is_cold = is_cold

    def apply(self, orders: Iterable[Order]) -> None:
        """Follow orders as the store holds them."""
        for order in orders:
            state = self.state_by_service.get(order.service)
            if state is None:
                state = self.state_by_service[order.service] = ServiceState(
                    service=order.service,
                    members=self._members,
                    clock=self._clock,
                    random=self._random,
                    bounds=self._bounds,
                )
            state.follow(order)
        self._count_open()

    def withdraw(self, service: str) -> None:
        """Follow an order no longer, since the store does not hold it."""
        self.state_by_service[service].withdraw()
        self._count_open()

    @property
    def open_orders(self) -> list[Order]:
        """Return the orders that are not decided, as far as this node knows."""
        states = self.state_by_service.values()
        return [s.order for s in states if s.is_open and s.order is not None]

    @property
    def lost_orders(self) -> list[Order]:
        """Return the orders whose known end the store lacks since it came back."""
        states = self.state_by_service.values()
        return [s.order for s in states if s.is_lost and s.order is not None]

    def choose(self, service: str, kind: str, *, is_repeat: bool) -> Select | None:
        """Return the rule for an attempt at a call; None if any endpoint will do."""
        state = self.state_by_service.get(service)
        if state is None:
            return None
        select, is_new = state.choose(kind, is_repeat=is_repeat)
        if is_new:
            self._metrics.count("rollout_calls_new")
        return select

    def ended(
        self, call: Call, record: NodeRecord, result: Reply | Outcome, took_s: float
    ) -> None:
        """Learn how an attempt ended at an endpoint."""
        state = self.state_by_service.get(call.service)
        if state is None or not state.is_open:
            return
        failed = is_bad(result)
        if failed is None:
            return
        is_new = state.is_new(record)
        if is_new and failed:
            self._metrics.count("rollout_calls_failed")
        # The start of an instance is slow at every version.
        if failed or not (is_new and self._is_cold(record)):
            state.count(
                call.kind, result.load.held_s or took_s, is_new=is_new, failed=failed
            )

    def tick(self) -> None:
        """Judge this node's own evidence; call it about every 0.5 s."""
        for state in self.state_by_service.values():
            state.tick()

    def report(self, service: str) -> Report | None:
        """Return what the decider is told; None if no order is open."""
        state = self.state_by_service.get(service)
        own = self._node()
        if state is None:
            return None
        return state.report(own.node_id, own.incarnation)

    def take(self, service: str, grant: Grant, *, asked_at: float) -> bool:
        """Take the answer to a report that was sent at `asked_at`, monotonic time.

        Returns whether it came from a decider that is not outdated.
        """
        state = self.state_by_service.get(service)
        taken = state is not None and state.take(grant, asked_at=asked_at)
        self._count_open()
        return taken

    def _count_open(self) -> None:
        self._metrics.gauge("rollouts_open", len(self.open_orders))


def is_bad(result: Reply | Outcome) -> bool | None:
    """Whether a result tells against the version; None if it tells nothing of it."""
    if isinstance(result, Reply):
        return result.status >= FIRST_FAILED_STATUS
    return True if result.failure.kind in _BAD_KINDS else None
