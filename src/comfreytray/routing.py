"""Pick an endpoint by what this node itself sees of it."""

import math
import random
from collections.abc import Callable, Sequence

from attrs import define

from comfreytray import logs
from comfreytray.errors import Failure, Kind
from comfreytray.interfaces import Clock
from comfreytray.records import EndpointState, MembershipView, NodeRecord, NodeState

LATENCY_WEIGHT = 0.2
FAILURE_WEIGHT = 0.1
FAILURE_PENALTY = 10.0
REPORTED_WEIGHT = 0.2
FIRST_LATENCY_S = 0.005
MIN_LATENCY_S = 0.0005
SLOW_START_S = 10.0
SLOW_START_FLOOR = 0.1
EJECT_AFTER_FAILURES = 5
EJECT_BASE_S = 2.0
EJECT_MAX_S = 30.0
EJECT_MAX_SHARE = 0.5
MOVED_S = 3.0
SHED_S = 0.1
FORGET_AFTER_S = 60.0
IDLE_HALVES_COST_S = 10.0
"""Time without calls that halves an endpoint's cost, so that it is tried again."""


@define(kw_only=True, eq=False)
class EndpointView:
    """Hold what this node has seen of one endpoint."""

    node_id: str
    incarnation: int
    first_seen: float
    last_used: float
    in_flight: int = 0
    latency_s: float = FIRST_LATENCY_S
    failure_share: float = 0.0
    failures_in_row: int = 0
    ejections: int = 0
    ejected_until: float = 0.0
    moved_until: float = 0.0
    """Until when a refusal for leaving keeps it out, ahead of the member list."""
    shed_until: float = 0.0
    """Until when others go first, since it shed a call."""
    load: float = 0.0
    """Load that the owner sent with its last answer."""


class Router:
    """Choose endpoints and keep what calls show of them."""

    def __init__(
        self,
        *,
        node: Callable[[], NodeRecord],
        members: Callable[[], MembershipView],
        clock: Clock,
        random: random.Random,
    ) -> None:
        self.node = node
        self.members = members
        self.clock = clock
        self.random = random
        self.leaving = False
        self.view_by_id: dict[str, EndpointView] = {}
        self.panics = 0

    def pick(
        self, service: str, *, exclude: Sequence[str] = ()
    ) -> NodeRecord | Failure:
        """Choose an endpoint of a service: nearest place first, then least loaded."""
        records = self.members().endpoints_by_service.get(service, ())
        now = self.clock.monotonic()
        own_id = self.node().node_id
        usable = [
            record
            for record in records
            if record.node_id not in exclude
            and not (self.leaving and record.node_id == own_id)
            and self.view(record, now).moved_until <= now
        ]
        if not usable:
            return Failure(kind=Kind.NO_ENDPOINT, fields={"service": service})
        healthy = self._without_ejected(usable, now)
        ready = [r for r in healthy if self.view(r, now).shed_until <= now]
        return self._choose(self._nearest(ready or healthy), now)

    def view(self, record: NodeRecord, now: float) -> EndpointView:
        """Look up what is known of an endpoint; a new incarnation starts afresh."""
        found = self.view_by_id.get(record.node_id)
        if found is not None and found.incarnation == record.incarnation:
            return found
        made = EndpointView(
            node_id=record.node_id,
            incarnation=record.incarnation,
            first_seen=now,
            last_used=now,
        )
        self.view_by_id[record.node_id] = made
        return made

    def begin(self, record: NodeRecord) -> EndpointView:
        """Count a call that starts."""
        now = self.clock.monotonic()
        view = self.view(record, now)
        view.in_flight += 1
        view.last_used = now
        return view

    def finish(self, view: EndpointView, *, took_s: float, load: float) -> None:
        """Count a call that was answered."""
        view.in_flight -= 1
        view.load = load
        view.latency_s += LATENCY_WEIGHT * (took_s - view.latency_s)
        view.failure_share -= FAILURE_WEIGHT * view.failure_share
        view.failures_in_row = 0
        if view.ejected_until and view.ejected_until <= self.clock.monotonic():
            view.ejected_until = 0.0
            logs.log(logs.Event.ENDPOINT_RESTORED, node=view.node_id)

    def fail(
        self, view: EndpointView, failure: Failure, *, took_s: float, load: float
    ) -> None:
        """Count a call that the endpoint or the way to it failed."""
        view.in_flight -= 1
        view.load = load or view.load
        now = self.clock.monotonic()
        if failure.kind in (Kind.LEAVING, Kind.WRONG_NODE):
            view.moved_until = now + MOVED_S
            return
        if failure.kind is Kind.OVERLOADED:
            view.shed_until = now + SHED_S * self.random.uniform(0.5, 1.5)
        if failure.kind not in _BLAMED:
            return
        view.latency_s += LATENCY_WEIGHT * max(0.0, took_s - view.latency_s)
        view.failure_share += FAILURE_WEIGHT * (1.0 - view.failure_share)
        view.failures_in_row += 1
        if view.failures_in_row >= EJECT_AFTER_FAILURES:
            self._eject(view, failure, now)

    def abandon(self, view: EndpointView) -> None:
        """Count a call that its caller gave up."""
        view.in_flight -= 1

    def forget_unused(self) -> None:
        """Drop what is known of endpoints that are long gone."""
        now = self.clock.monotonic()
        members = self.members().by_id
        for node_id, view in list(self.view_by_id.items()):
            if node_id in members or view.in_flight:
                continue
            if now - view.last_used > FORGET_AFTER_S:
                del self.view_by_id[node_id]

    def report(self) -> list[dict[str, object]]:
        """List what is known of each endpoint, in plain types."""
        now = self.clock.monotonic()
        return [
            {
                "node": view.node_id,
                "in_flight": view.in_flight,
                "latency_ms": round(view.latency_s * 1000, 3),
                "failure_share": round(view.failure_share, 4),
                "load": round(view.load, 3),
                "ejected_for_s": round(max(0.0, view.ejected_until - now), 3),
            }
            for view in self.view_by_id.values()
        ]

    def _eject(self, view: EndpointView, failure: Failure, now: float) -> None:
        span = min(EJECT_MAX_S, EJECT_BASE_S * 2**view.ejections)
        view.ejections = min(view.ejections + 1, 10)
        view.failures_in_row = 0
        view.ejected_until = now + span * self.random.uniform(0.8, 1.2)
        logs.warn(
            logs.Event.ENDPOINT_EJECTED,
            node=view.node_id,
            reason=failure.kind.value,
            seconds=span,
        )

    def _without_ejected(
        self, records: list[NodeRecord], now: float
    ) -> list[NodeRecord]:
        kept = [r for r in records if self.view(r, now).ejected_until <= now]
        allowed = math.floor(len(records) * EJECT_MAX_SHARE)
        if len(records) - len(kept) <= allowed and kept:
            return kept
        if len(records) > 1:
            self.panics += 1
        return records

    def _nearest(self, records: list[NodeRecord]) -> list[NodeRecord]:
        own = self.node()
        here = [r for r in records if r.data_centre == own.data_centre]
        if here:
            return here
        return [r for r in records if r.region == own.region] or records

    def _choose(self, records: list[NodeRecord], now: float) -> NodeRecord:
        if len(records) == 1:
            return records[0]
        first, second = self.random.sample(records, 2)
        if self._cost(second, now) < self._cost(first, now):
            return second
        return first

    def _cost(self, record: NodeRecord, now: float) -> float:
        view = self.view(record, now)
        cost = (view.in_flight + 1) * max(view.latency_s, MIN_LATENCY_S)
        cost *= 1.0 + FAILURE_PENALTY * view.failure_share
        reported = record.endpoint.reported_load if record.endpoint else 0.0
        cost *= 1.0 + REPORTED_WEIGHT * min(1.0, max(0.0, reported)) + view.load
        if record.state is NodeState.SUSPECT:
            cost *= 1.0 + FAILURE_PENALTY
        cost *= math.exp2((view.last_used - now) / IDLE_HALVES_COST_S)
        return cost / self._warmth(record, view, now)

    def _warmth(self, record: NodeRecord, view: EndpointView, now: float) -> float:
        cold = record.endpoint is not None and (
            record.endpoint.state is EndpointState.COLD
        )
        if cold:
            view.first_seen = now
            return SLOW_START_FLOOR
        age_s = now - view.first_seen
        if age_s >= SLOW_START_S:
            return 1.0
        return max(SLOW_START_FLOOR, age_s / SLOW_START_S)


_BLAMED = frozenset(
    {
        Kind.CONNECT_FAILED,
        Kind.NODE_UNREACHABLE,
        Kind.LOST_AFTER_SEND,
        Kind.ANSWER_CUT,
        Kind.DEADLINE_WHILE_RUNNING,
        Kind.INTERNAL,
    }
)
