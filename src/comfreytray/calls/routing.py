"""Pick the endpoint with the lowest expected cost, by what this node has measured.

Endpoints of one service differ in speed and distance, and may become slow or fail while
their health checks pass. A fixed order of data centres would overload a slow endpoint
in the nearest one; an even spread would pay the network distance on many calls.
"""

import math
import random
from collections.abc import Callable, Sequence

import xxhash

from comfreytray.calls.call import IDLE, Load
from comfreytray.calls.ejection import COUNTED_FAILURES, Ejection
from comfreytray.calls.endpoints import (
    NO_REPORTED_LOAD,
    EndpointView,
    ReportedLoad,
    assume_unknown_are_fast,
    count_slots,
    estimate_used_share,
)
from comfreytray.calls.leavinginstances import LeavingInstances
from comfreytray.calls.measures import SharedMeasures
from comfreytray.calls.placement import CrossZoneCosts, Placement, guess_round_trip_s
from comfreytray.calls.sampling import Sampler
from comfreytray.calls.versions import Endpoints, Select
from comfreytray.common import logs
from comfreytray.common.errors import Failure, Kind
from comfreytray.common.interfaces import Clock
from comfreytray.common.records import (
    EndpointState,
    MembershipView,
    NodeRecord,
    NodeState,
)

SLOWDOWN_WEIGHT = 0.15
"""Weight of the newest call in the moving average of an endpoint's slowdown."""
SERVICE_TIME_WEIGHT = 0.05
"""Weight of the newest call in the mean time of its kind at all endpoints."""
FAILURE_WEIGHT = 0.1
FAILURE_PENALTY = 10.0
SUSPECT_PENALTY = 10.0
OWN_PENALTY_WEIGHT = 0.5
"""Weight of a node's own, rarer measurements beside those of the owner."""
COLD_SLOWDOWN = 3.0
"""Factor by which a cold (just started) endpoint is expected to be slower."""
FULL_ENDPOINT_SLOWDOWN = 0.3
"""Share by which a call is expected to take longer when all slots are in use."""
FIRST_SERVICE_TIME_S = 0.005
MIN_SERVICE_TIME_S = 0.0005
MIN_SLOWDOWN = 0.1
JITTER = 0.1
"""Random share added to expected times, to spread nodes that see the same loads."""
LEAVING_EXCLUSION_S = 3.0
ENDED_EXCLUSION_S = 0.5
"""Time between two looks at whether an instance that has ended is back."""
SHED_AVOIDANCE_S = 0.1
FORGET_AFTER_S = 60.0
PENALTY_HALF_LIFE_S = 10.0
"""Time without calls that halves an endpoint's penalty, so that it is tried again."""


def has_cold_endpoint(record: NodeRecord) -> bool:
    """Whether the record of a member says that its instance is cold."""
    return record.endpoint is not None and record.endpoint.state is EndpointState.COLD


class Router:
    """Picks endpoints and keeps the measurements of calls to them."""

    def __init__(
        self,
        *,
        node: Callable[[], NodeRecord],
        members: Callable[[], MembershipView],
        clock: Clock,
        random: random.Random,
        distance_s: Callable[[NodeRecord], float | None] = lambda _: None,
        placement: Placement | None = None,
        is_cold: Callable[[NodeRecord], bool] = has_cold_endpoint,
    ) -> None:
        self.node = node
        self.members = members
        self.clock = clock
        self.random = random
        self.distance_s = distance_s
        self.placement = placement or Placement(costs=CrossZoneCosts())
        self.is_cold = is_cold
        self.shared = SharedMeasures(clock=clock)
        """What the owners of endpoints told this node."""
        self.leaving = False
        self.view_by_id: dict[str, EndpointView] = {}
        self.service_time_s_by_kind: dict[str, float] = {}
        """Mean time of a kind of call at all endpoints."""
        self._ejection = Ejection(random=random)
        self._sampler = Sampler(random=random)
        self._leaving = LeavingInstances()

    @property
    def panics(self) -> int:
        """Return the picks that ignored ejections, since too many were ejected."""
        return self._ejection.panics

    def pick(
        self,
        service: str,
        *,
        exclude: Sequence[str] = (),
        kind: str = "",
        priority: int = 0,
        target_s: float = 0.0,
        select: Select | None = None,
    ) -> NodeRecord | Failure:
        """Return the endpoint of a service with the lowest expected cost."""
        records = self._listed(service, select)
        now = self.clock.monotonic()
        own = self.node()
        sample = self._sampler.sample(service, records, own.region)
        usable = self._usable(sample, exclude, now)
        if not usable:
            return Failure(kind=Kind.NO_ENDPOINT, fields={"service": service})
        views = [self.view(record, now) for record in usable]
        healthy = self._ejection.filter(usable, views, now)
        ready = [r for r in healthy if self.view(r, now).shed_until <= now]
        eligible = ready or healthy
        self._assume_unknown_are_fast(eligible, own, now)
        return min(
            eligible, key=lambda r: self._cost(r, own, kind, priority, target_s, now)
        )

    def pick_isolated(
        self,
        service: str,
        request: bytes,
        *,
        exclude: Sequence[str] = (),
        select: Select | None = None,
    ) -> NodeRecord | Failure:
        """Return the endpoint for a request in isolation, the same at each node."""
        records = self._listed(service, select)
        now = self.clock.monotonic()
        usable = self._usable(records, exclude, now)
        if not usable:
            return Failure(kind=Kind.NO_ENDPOINT, fields={"service": service})
        kept = [r for r in usable if self.view(r, now).ejected_until <= now]
        return max(
            kept or usable,
            key=lambda r: xxhash.xxh64_intdigest(request + r.node_id.encode()),
        )

    def _listed(self, service: str, select: Select | None) -> Endpoints:
        """Return the listed endpoints of a service that a rule leaves."""
        records = self.members().endpoints_by_service.get(service, ())
        return records if select is None else select(records)

    def _usable(
        self, records: Sequence[NodeRecord], exclude: Sequence[str], now: float
    ) -> list[NodeRecord]:
        """Return the endpoints that are not excluded or leaving."""
        own_id = self.node().node_id
        return [
            record
            for record in records
            if record.node_id not in exclude
            and not (self.leaving and record.node_id == own_id)
            and self.view(record, now).excluded_until <= now
            and not self._leaving.excludes(record, now)
        ]

    def _assume_unknown_are_fast(
        self, records: list[NodeRecord], own: NodeRecord, now: float
    ) -> None:
        """Have near endpoints of which nothing is known tried, if no owner tells."""
        near = [record for record in records if record.region == own.region]
        told = [self.shared.slowdown(record.node_id, now) for record in near]
        if all(slowdown is None for slowdown in told):
            assume_unknown_are_fast([self.view(record, now) for record in near], now)

    def view(self, record: NodeRecord, now: float) -> EndpointView:
        """Return the view of an endpoint; a new instance starts with a new one."""
        found = self.view_by_id.get(record.node_id)
        instance_id = record.endpoint.instance_id if record.endpoint else ""
        if found is not None and found.is_of(record.incarnation, instance_id):
            return found
        made = EndpointView(
            node_id=record.node_id,
            incarnation=record.incarnation,
            instance_id=instance_id,
            last_used=now,
        )
        self.view_by_id[record.node_id] = made
        return made

    def exclude_leaving(self, record: NodeRecord) -> None:
        """Send no more calls to an instance that says in its answers that it leaves."""
        self._leaving.add(record, self.clock.monotonic())

    def begin(self, record: NodeRecord) -> EndpointView:
        """Count a call to an endpoint as in flight."""
        now = self.clock.monotonic()
        view = self.view(record, now)
        view.in_flight += 1
        view.last_used = now
        return view

    def finish(
        self,
        view: EndpointView,
        *,
        took_s: float,
        load: Load,
        kind: str = "",
        priority: int = 0,
        failed: bool = False,
    ) -> None:
        """Record a call that was answered; `failed` if with a failure status."""
        view.in_flight -= 1
        self._store_load(view, load, priority)
        if failed:
            view.failure_share += FAILURE_WEIGHT * (1.0 - view.failure_share)
            return
        self._learn(view, kind, load.held_s or took_s)
        view.failure_share -= FAILURE_WEIGHT * view.failure_share
        view.failures_in_row = 0
        if view.ejected_until and view.ejected_until <= self.clock.monotonic():
            view.ejected_until = 0.0
            logs.log(logs.Event.ENDPOINT_RESTORED, node=view.node_id)

    def _store_load(self, view: EndpointView, load: Load, priority: int) -> None:
        if load is IDLE:
            return
        now = self.clock.monotonic()
        view.load_report_by_priority[priority] = ReportedLoad(
            load=load, at=now, in_flight=view.in_flight
        )
        view.pace.learn(load.pace, now)

    def _learn(self, view: EndpointView, kind: str, took_s: float) -> None:
        """Update the endpoint's slowdown and the mean time of the kind of call."""
        took_s = max(took_s, MIN_SERVICE_TIME_S)
        base_s = self.service_time_s_by_kind.setdefault(kind, took_s)
        view.is_known = True
        view.pace.count_measured()
        view.slowdown += SLOWDOWN_WEIGHT * (took_s / base_s - view.slowdown)
        base_s += SERVICE_TIME_WEIGHT * (took_s - base_s)
        self.service_time_s_by_kind[kind] = base_s

    def fail(
        self,
        view: EndpointView,
        failure: Failure,
        *,
        took_s: float,
        load: Load,
        priority: int = 0,
    ) -> None:
        """Record a call that failed at the endpoint or on the way to it."""
        view.in_flight -= 1
        self._store_load(view, load, priority)
        now = self.clock.monotonic()
        if failure.kind in (Kind.LEAVING, Kind.WRONG_NODE):
            view.excluded_until = now + LEAVING_EXCLUSION_S
            return
        if failure.kind is Kind.INSTANCE_ENDED:
            view.excluded_until = now + ENDED_EXCLUSION_S
            return
        if failure.kind is Kind.OVERLOADED and load is IDLE:
            view.shed_until = now + SHED_AVOIDANCE_S * self.random.uniform(0.5, 1.5)
        if failure.kind not in COUNTED_FAILURES:
            return
        view.failure_share += FAILURE_WEIGHT * (1.0 - view.failure_share)
        self._ejection.record_failure(view, failure, now)

    def abandon(self, view: EndpointView) -> None:
        """Record a call that its caller abandoned."""
        view.in_flight -= 1

    def forget_unused(self) -> None:
        """Forget endpoints that have left and were not used for FORGET_AFTER_S."""
        now = self.clock.monotonic()
        members = self.members().by_id
        for node_id, view in list(self.view_by_id.items()):
            if node_id in members or view.in_flight:
                continue
            if now - view.last_used > FORGET_AFTER_S:
                del self.view_by_id[node_id]

    def report(self) -> list[dict[str, object]]:
        """Return what is known of each endpoint, in JSON-compatible types."""
        now = self.clock.monotonic()
        return [view.report(now) for view in self.view_by_id.values()]

    def _cost(
        self,
        record: NodeRecord,
        own: NodeRecord,
        kind: str,
        priority: int,
        target_s: float,
        now: float,
    ) -> float:
        return self.placement.cost(
            expected_s=self.expected_s(record, own, kind, priority, now),
            target_s=target_s,
            same_data_centre=record.data_centre == own.data_centre,
            same_region=record.region == own.region,
        )

    def expected_s(
        self, record: NodeRecord, own: NodeRecord, kind: str, priority: int, now: float
    ) -> float:
        """Estimate the seconds until an endpoint would answer a call."""
        view = self.view(record, now)
        service_s = self.service_time_s_by_kind.get(kind, FIRST_SERVICE_TIME_S)
        load_report = view.load_report_by_priority.get(priority, NO_REPORTED_LOAD)
        slots = count_slots(record, load_report)
        used = estimate_used_share(view, load_report, slots, now)
        penalty = view.slowdown - 1.0 + FAILURE_PENALTY * view.failure_share
        penalty *= math.exp2((view.last_used - now) / PENALTY_HALF_LIFE_S)
        penalty = self._add_shared(penalty, record.node_id, now)
        run_s = service_s * max(MIN_SLOWDOWN, 1.0 + penalty) * view.pace.factor(now)
        run_s *= 1.0 + FULL_ENDPOINT_SLOWDOWN * min(1.0, used) ** 2
        if self.is_cold(record):
            run_s *= COLD_SLOWDOWN
        waits = max(0.0, used + 1.0 / slots - 1.0)
        expected_s = run_s + waits * (load_report.load.service_time_s or service_s)
        measured_s = self.distance_s(record)
        expected_s += (
            guess_round_trip_s(record, own) if measured_s is None else measured_s
        )
        if record.state is NodeState.SUSPECT:
            expected_s *= 1.0 + SUSPECT_PENALTY
        return expected_s * self.random.uniform(1.0, 1.0 + JITTER)

    def _add_shared(self, penalty: float, node_id: str, now: float) -> float:
        """Combine a node's own penalty for an endpoint with what its owner told.

        The owner sees all calls; this node alone sees failures on the way.
        """
        slowdown = self.shared.slowdown(node_id, now)
        if slowdown is None:
            return penalty
        failing = FAILURE_PENALTY * self.shared.failure_share(node_id, now)
        return max(slowdown - 1.0 + failing, OWN_PENALTY_WEIGHT * penalty)
