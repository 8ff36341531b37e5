"""Ranks the endpoints of a service as a router would, without side effects."""

import random
from collections.abc import Sequence
from copy import copy
from enum import Enum

from attrs import frozen

from comfreytray.calls.ejection import Ejection
from comfreytray.calls.endpoints import (
    NO_REPORTED_LOAD,
    EndpointView,
    count_slots,
)
from comfreytray.calls.routing import Router
from comfreytray.calls.sampling import MAX_FAR, MAX_NEAR
from comfreytray.common.records import NodeRecord


class Exclusion(Enum):
    """Why an endpoint gets no call now."""

    NOT_OFFERED = "not-offered"
    """The view of the members doesn't offer it for new work."""
    OWN_NODE_LEAVING = "own-node-leaving"
    INSTANCE_LEAVING = "instance-leaving"
    REFUSED = "refused"
    """It refused a call a moment ago, or its instance has just ended."""
    UNUSABLE = "unusable"
    EJECTED = "ejected"
    """Too many calls to it failed in a row."""
    SHED = "shed"
    """It shed a call a moment ago, and others did not."""


@frozen(kw_only=True)
class Candidate:
    """An endpoint that a call may be sent to."""

    node_id: str
    data_centre: str
    state: str
    expected_s: float
    """Expected time until its answer, without the jitter of a real choice."""
    cost: float
    """Expected cost; the endpoint with the lowest one is chosen."""
    slots: int
    in_flight: int
    """Calls from this node that are under way at it."""
    slowdown: float
    failure_share: float


@frozen(kw_only=True)
class Excluded:
    """An endpoint that a call is not sent to."""

    node_id: str
    data_centre: str
    reason: Exclusion
    left_s: float = 0.0
    """Time until it is considered again; 0 if it is not known."""


@frozen(kw_only=True)
class Ranking:
    """The endpoints of a service for one call."""

    candidates: tuple[Candidate, ...]
    """Lowest cost first."""
    excluded: tuple[Excluded, ...]
    ignores_ejections: bool = False
    """Whether too many are ejected, so that two of all are compared."""
    is_sampled: bool = False
    """Whether a call compares a random sample, since there are many endpoints."""


class _NoJitter(random.Random):
    """Random numbers that add no jitter."""

    def uniform(self, a: float, b: float) -> float:
        """Return the lower bound."""
        del b
        return a


class Estimator(Router):
    """A copy of a router that learns nothing, changes nothing and adds no jitter."""

    def __init__(self, router: Router) -> None:
        vars(self).update(vars(router))
        self.random = _NoJitter(0)
        self.view_by_id = {node: copy(v) for node, v in router.view_by_id.items()}
        self._ejection = Ejection(random=self.random)

    def rank(
        self, service: str, *, kind: str, priority: int, target_s: float
    ) -> Ranking:
        """Return the endpoints of a service in the order of their costs."""
        now = self.clock.monotonic()
        own = self.node()
        members = self.members()
        offered = members.endpoints_by_service.get(service, ())
        offered_ids = {record.node_id for record in offered}
        excluded = [
            _exclude(record, Exclusion.NOT_OFFERED)
            for record in members.by_id.values()
            if record.endpoint is not None
            and record.endpoint.service == service
            and record.node_id not in offered_ids
        ]
        usable = self._usable(offered, (), now)
        excluded += [
            self._exclude_unusable(record, own, now)
            for record in offered
            if record not in usable
        ]
        kept = self._without_ejected(usable, now)
        ignores_ejections = kept is None
        healthy = usable if kept is None else kept
        excluded += [
            _exclude(r, Exclusion.EJECTED, self.view(r, now).ejected_until - now)
            for r in usable
            if r not in healthy
        ]
        ready = [r for r in healthy if self.view(r, now).shed_until <= now] or healthy
        excluded += [
            _exclude(r, Exclusion.SHED, self.view(r, now).shed_until - now)
            for r in healthy
            if r not in ready
        ]
        self._assume_unknown_are_fast(ready, own, now)
        candidates = [
            self._candidate(record, own, kind, priority, target_s, now)
            for record in ready
        ]
        return Ranking(
            candidates=tuple(sorted(candidates, key=lambda c: c.cost)),
            excluded=tuple(excluded),
            ignores_ejections=ignores_ejections,
            is_sampled=len(offered) > MAX_NEAR + MAX_FAR,
        )

    def _without_ejected(
        self, usable: Sequence[NodeRecord], now: float
    ) -> list[NodeRecord] | None:
        """Return the endpoints that are not ejected; None if too many are."""
        if not usable:
            return []
        views = [self.view(record, now) for record in usable]
        kept = self._ejection.filter(usable, views, now)
        is_any_ejected = any(self.view(r, now).ejected_until > now for r in kept)
        return None if is_any_ejected else kept

    def _exclude_unusable(
        self, record: NodeRecord, own: NodeRecord, now: float
    ) -> Excluded:
        """Return why an endpoint that the members offer is not usable."""
        if self.leaving and record.node_id == own.node_id:
            return _exclude(record, Exclusion.OWN_NODE_LEAVING)
        if self._leaving.excludes(record, now):
            return _exclude(record, Exclusion.INSTANCE_LEAVING)
        left_s = self.view(record, now).excluded_until - now
        reason = Exclusion.REFUSED if left_s > 0 else Exclusion.UNUSABLE
        return _exclude(record, reason, left_s)

    def _candidate(
        self,
        record: NodeRecord,
        own: NodeRecord,
        kind: str,
        priority: int,
        target_s: float,
        now: float,
    ) -> Candidate:
        view: EndpointView = self.view(record, now)
        return Candidate(
            node_id=record.node_id,
            data_centre=record.data_centre,
            state=record.state.value,
            expected_s=self.expected_s(record, own, kind, priority, now),
            cost=self._cost(record, own, kind, priority, target_s, now),
            slots=count_slots(
                record, view.load_report_by_priority.get(priority, NO_REPORTED_LOAD)
            ),
            in_flight=view.in_flight,
            slowdown=view.slowdown,
            failure_share=view.failure_share,
        )


def _exclude(record: NodeRecord, reason: Exclusion, left_s: float = 0.0) -> Excluded:
    return Excluded(
        node_id=record.node_id,
        data_centre=record.data_centre,
        reason=reason,
        left_s=max(0.0, left_s),
    )
