"""Decides which requests a node still takes while it stops.

Load pattern: a node is stopped under load. Callers keep using their connections, and a
request whose body comes slowly is complete only seconds after the stop began. The
process is gone at the end of the grace period; a call that still runs then ends without
an answer, and its caller does not know whether it ran.
"""

from attrs import define, frozen

from comfreytray.calls.call import Call
from comfreytray.calls.owner import Owner
from comfreytray.calls.routing import Router
from comfreytray.common.errors import Failure, Kind
from comfreytray.common.interfaces import Clock
from comfreytray.configuration.snapshots import Route

LATE_SHARE = 0.5
"""Share of the grace period after which only calls that end within it are taken."""
MARGIN = 1.25
"""Factor on the expected time of a call that must be left before that."""
MIN_RETRY_AFTER_S = 1.0


@frozen(kw_only=True)
class StopSchedule:
    """When a stop began, and when calls must have ended; monotonic times in seconds."""

    began_at: float
    ends_at: float

    def refusal(
        self, *, now: float, deadline: float, expected_s: float | None = None
    ) -> Failure | None:
        """Return why a request that is complete now is not taken; None if it is.

        `expected_s` is what calls of its kind take, with their wait; None if unknown.
        A mean says too little of a single call to be relied on late in a stop.
        """
        late_at = self.began_at + LATE_SHARE * (self.ends_at - self.began_at)
        early_end = now + MARGIN * (expected_s or 0.0)
        if deadline <= self.ends_at or (now < late_at and early_end <= self.ends_at):
            return None
        left_s = self.ends_at - now
        takes = "" if expected_s is None else f", expected to take {expected_s:.1f} s"
        return Failure(
            kind=Kind.LEAVING,
            detail=f"node ends in {left_s:.1f} s, "
            f"deadline in {deadline - now:.1f} s{takes}",
            retry_after_s=max(MIN_RETRY_AFTER_S, left_s),
        )


@define(kw_only=True, eq=False)
class StopGate:
    """Applies the schedule of a stop, once it has begun, to what the node measured."""

    clock: Clock
    router: Router
    owner: Owner
    schedule: StopSchedule | None = None

    def refuse_at_entry(self, route: Route, deadline: float) -> Failure | None:
        """Return why a caller's request is not taken; None if it is."""
        if self.schedule is None:
            return None
        return self.schedule.refusal(
            now=self.clock.monotonic(),
            deadline=deadline,
            expected_s=self._expected_at_entry(route),
        )

    def refuse_at_owner(self, call: Call) -> Failure | None:
        """Return why another node's call is not taken; None if it is.

        Calls of unknown kinds are taken until the owner leaves.
        """
        if self.schedule is None:
            return None
        expected_s = self.owner.expected_s(call)
        if expected_s is None:
            return None
        return self.schedule.refusal(
            now=self.clock.monotonic(), deadline=call.deadline, expected_s=expected_s
        )

    def _expected_at_entry(self, route: Route) -> float | None:
        router = self.router
        if route.name not in router.service_time_s_by_kind:
            return None
        record = router.pick(route.service, kind=route.name, priority=route.priority)
        if isinstance(record, Failure):
            return None
        now = self.clock.monotonic()
        own = router.node()
        return router.expected_s(record, own, route.name, route.priority, now)
