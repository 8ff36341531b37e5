"""What a node knows of each endpoint: its own measurements and reported load."""

import math
from collections.abc import Sequence

from attrs import define, field

from comfreytray.calls.call import IDLE, Load
from comfreytray.common.records import NodeRecord
from comfreytray.concurrency.reportedpace import ReportedPace

LOAD_DECAY_S = 1.0
"""Seconds after which the weight of a reported load has decayed to 1/e."""


@define(kw_only=True, eq=False)
class ReportedLoad:
    """The load that an endpoint's node sent with its last answer at a priority."""

    load: Load
    at: float
    in_flight: int
    """Calls from this node that were in flight then."""


NO_REPORTED_LOAD = ReportedLoad(load=IDLE, at=0.0, in_flight=0)


@define(kw_only=True, eq=False)
class EndpointView:
    """What this node knows of one endpoint."""

    node_id: str
    incarnation: int
    last_used: float
    instance_id: str = ""
    """Instance that is beside the node; empty if it is not known."""
    in_flight: int = 0
    is_known: bool = False
    """Whether the endpoint has answered a call of this node."""
    slowdown: float = 1.0
    """Average time of calls, relative to calls of the same kind at all endpoints."""
    failure_share: float = 0.0
    """Moving average of the share of calls that failed."""
    failures_in_row: int = 0
    ejections: int = 0
    ejected_until: float = 0.0
    excluded_until: float = 0.0
    """Until when it is excluded after a refusal for leaving or a wrong node, which is
    known before the member list shows it."""
    shed_until: float = 0.0
    """Until when other endpoints are preferred, since this one shed a call."""
    pace: ReportedPace = field(factory=ReportedPace)
    load_report_by_priority: dict[int, ReportedLoad] = field(factory=dict)

    def is_of(self, incarnation: int, instance_id: str) -> bool:
        """Whether it is the view of an incarnation and, if known, of an instance."""
        if incarnation != self.incarnation:
            return False
        return not instance_id or instance_id == self.instance_id

    def report(self, now: float) -> dict[str, object]:
        """Return what is known of the endpoint, in JSON-compatible types."""
        return {
            "node": self.node_id,
            "in_flight": self.in_flight,
            "slowdown": round(self.slowdown, 3),
            "failure_share": round(self.failure_share, 4),
            "load": {
                str(priority): round(load_report.load.used, 3)
                for priority, load_report in self.load_report_by_priority.items()
            },
            "ejected_for_s": round(max(0.0, self.ejected_until - now), 3),
        }


def count_slots(record: NodeRecord, report: ReportedLoad) -> int:
    """Return the slots of an endpoint that its owner uses, at least 1."""
    announced = record.endpoint.slots if record.endpoint else 1
    return max(1, min(announced, report.load.slots or announced))


def estimate_used_share(
    view: EndpointView, report: ReportedLoad, slots: int, now: float
) -> float:
    """Estimate the share of slots in use from the reported load and the calls since."""
    weight = math.exp((report.at - now) / LOAD_DECAY_S)
    sent_since = view.in_flight - report.in_flight * weight
    return max(view.in_flight / slots, report.load.used * weight + sent_since / slots)


def assume_unknown_are_fast(views: Sequence[EndpointView], now: float) -> None:
    """Assume that endpoints without answers are as fast as the fastest known one.

    Meant for near endpoints: trying every far one would cost its network distance.
    """
    known = [view.slowdown for view in views if view.is_known]
    if not known or len(known) == len(views):
        return
    for view in views:
        if not view.is_known and not view.failure_share:
            view.slowdown = min(1.0, *known)
            view.last_used = now
