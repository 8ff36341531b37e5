"""Decides which requests a node still takes while it stops.

Load pattern: a node is stopped under load. Callers keep using their connections, and a
request whose body comes slowly is complete only seconds after the stop began. The
process is gone at the end of the grace period; a call that still runs then ends without
an answer, and its caller does not know whether it ran.
"""

from attrs import frozen

from comfreytray.common.errors import Failure, Kind

LATE_SHARE = 0.5
"""Share of the grace period after which only calls that end within it are taken."""
MIN_RETRY_AFTER_S = 1.0


@frozen(kw_only=True)
class StopSchedule:
    """When a stop began, and when calls must have ended; monotonic times in seconds."""

    began_at: float
    ends_at: float

    def refusal(self, *, now: float, deadline: float) -> Failure | None:
        """Return why a request that is complete now is not taken; None if it is."""
        late_at = self.began_at + LATE_SHARE * (self.ends_at - self.began_at)
        if now < late_at or deadline <= self.ends_at:
            return None
        left_s = self.ends_at - now
        return Failure(
            kind=Kind.LEAVING,
            detail=f"node ends in {left_s:.1f} s, deadline in {deadline - now:.1f} s",
            retry_after_s=max(MIN_RETRY_AFTER_S, left_s),
        )
