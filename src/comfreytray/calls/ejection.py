"""Ejects endpoints at which call after call fails, but never most of a service."""

import math
import random
from collections.abc import Sequence

from comfreytray.calls.endpoints import EndpointView
from comfreytray.common import logs
from comfreytray.common.errors import Failure, Kind
from comfreytray.common.records import NodeRecord

EJECT_AFTER_FAILURES = 5
EJECT_BASE_S = 2.0
EJECT_MAX_S = 30.0
EJECT_MAX_SHARE = 0.5
"""Share of the endpoints of a service that may be ejected at once."""
MAX_DOUBLINGS = 10
COUNTED_FAILURES = frozenset(
    {
        Kind.CONNECT_FAILED,
        Kind.NODE_UNREACHABLE,
        Kind.LOST_AFTER_SEND,
        Kind.ANSWER_CUT,
        Kind.DEADLINE_WHILE_RUNNING,
        Kind.INTERNAL,
    }
)
"""Failures that count against an endpoint."""


class Ejection:
    """Decides which endpoints get no calls for a while."""

    def __init__(self, *, random: random.Random) -> None:
        self._random = random
        self.panics = 0
        """Picks that ignored ejections, since too many endpoints were ejected."""

    def record_failure(self, view: EndpointView, failure: Failure, now: float) -> None:
        """Count a failure; eject the endpoint if too many came in a row."""
        view.failures_in_row += 1
        if view.failures_in_row < EJECT_AFTER_FAILURES:
            return
        ejection_s = min(EJECT_MAX_S, EJECT_BASE_S * 2**view.ejections)
        view.ejections = min(view.ejections + 1, MAX_DOUBLINGS)
        view.failures_in_row = 0
        view.ejected_until = now + ejection_s * self._random.uniform(0.8, 1.2)
        logs.warn(
            logs.Event.ENDPOINT_EJECTED,
            node=view.node_id,
            reason=failure.kind.value,
            seconds=ejection_s,
        )

    def filter(
        self,
        records: Sequence[NodeRecord],
        views: Sequence[EndpointView],
        now: float,
    ) -> list[NodeRecord]:
        """Return the endpoints that are not ejected, or two if most of them are."""
        pairs = zip(records, views, strict=True)
        kept = [record for record, view in pairs if view.ejected_until <= now]
        allowed = math.floor(len(records) * EJECT_MAX_SHARE)
        if len(records) - len(kept) <= allowed and kept:
            return kept
        if len(records) > 1:
            self.panics += 1
        # If most endpoints fail, the measurements themselves are unreliable.
        return self._random.sample(records, min(2, len(records)))
