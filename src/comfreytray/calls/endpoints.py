"""What a node has seen of each endpoint, and what the endpoint's owner told of it."""

import math
from collections.abc import Sequence

from attrs import define, field

from comfreytray.calls.call import IDLE, Load

LOAD_DECAY_S = 1.0
"""Time in which what an owner told of its load loses most of its worth."""


@define(kw_only=True, eq=False)
class ReportedLoad:
    """Hold the load that an owner sent with its last answer to calls of a priority."""

    load: Load
    at: float
    in_flight: int
    """Calls from here that were under way then."""


NO_REPORTED_LOAD = ReportedLoad(load=IDLE, at=0.0, in_flight=0)


@define(kw_only=True, eq=False)
class EndpointView:
    """Hold what this node has seen of one endpoint."""

    node_id: str
    incarnation: int
    last_used: float
    in_flight: int = 0
    is_known: bool = False
    """Whether a call was answered here."""
    slowdown: float = 1.0
    """Time that calls take here, against the same calls at all endpoints."""
    failure_share: float = 0.0
    failures_in_row: int = 0
    ejections: int = 0
    ejected_until: float = 0.0
    excluded_until: float = 0.0
    """Until when a refusal for leaving keeps it out, ahead of the member list."""
    shed_until: float = 0.0
    """Until when others go first, since it shed a call."""
    load_report_by_priority: dict[int, ReportedLoad] = field(factory=dict)


def estimate_used_share(
    view: EndpointView, report: ReportedLoad, slots: int, now: float
) -> float:
    """Estimate the share of slots in use: as told, and what went there since."""
    weight = math.exp((report.at - now) / LOAD_DECAY_S)
    sent_since = view.in_flight - report.in_flight * weight
    return max(view.in_flight / slots, report.load.used * weight + sent_since / slots)


def assume_unknown_are_fast(views: Sequence[EndpointView], now: float) -> None:
    """Take endpoints of which nothing is known to be as fast as the fastest known.

    Meant for near ones: to try each far one, too, would cost the way to all of them.
    """
    known = [view.slowdown for view in views if view.is_known]
    if not known or len(known) == len(views):
        return
    for view in views:
        if not view.is_known and not view.failure_share:
            view.slowdown = min(1.0, *known)
            view.last_used = now
