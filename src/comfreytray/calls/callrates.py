"""The rate limit that an upstream advertises in its answers, enforced by its owner.

Load pattern: some instances of a service advertise the calls a second that they accept
from all nodes together, while more calls arrive. They still answer as quickly, so
neither slots nor run times show the limit. All calls for an instance pass its owner, so
the owner alone counts them; a share of the limit for each node would be exceeded, or
lie unused, whenever nodes start, stop or get other calls than before.

An owner that has just started doesn't know the limit, so it sends few calls until the
first answer.
"""

import math

from comfreytray.common import logs
from comfreytray.common.interfaces import Clock

BURST_S = 0.25
"""Time for which unused calls of the rate are kept; they may then come at once."""
MIN_RATE_PER_S = 0.5
"""Lowest rate at which calls are sent, since only answers can lift a limit of 0."""
LIFT_AFTER_S = 0.5
"""Time after the last answer with a limit from which an answer without one lifts it;
single answers, such as errors, may lack the header."""
LOGGED_CHANGE = 0.1
"""Smallest relative change of a limit that is logged."""
MIN_LEFT_SHARE = 0.1
"""Share of the rate assumed to be free of more urgent calls, however many come."""
FIRST_CALLS = 2
"""Calls that may run at once before the first answer of an instance."""


class CallRate:
    """A token bucket whose rate is the limit that an instance advertises."""

    def __init__(self, *, clock: Clock, advertised: bool = False) -> None:
        """Create it; `advertised` if upstreams can advertise limits at all."""
        self._clock = clock
        self._advertised = advertised
        self._instance_id = ""
        self._answered = False
        self._rate_per_s = self._logged_per_s = math.inf
        self._tokens = 0.0
        self._filled_at = 0.0
        self._named_at = 0.0

    @property
    def limit_per_s(self) -> float:
        """Return the limit in calls a second; infinite if there is none."""
        return self._rate_per_s

    @property
    def is_limited(self) -> bool:
        """Whether a limit is in force."""
        return self._rate_per_s < math.inf

    def follow(self, instance_id: str) -> None:
        """Start without a limit if the calls go to another instance from now on."""
        if instance_id == self._instance_id:
            return
        self._instance_id = instance_id
        self._answered = False
        self._set(math.inf)

    def slots(self, slots: int) -> int:
        """Return the slots that may be used, of those that the instance has."""
        if self._answered or not self._advertised:
            return slots
        return min(slots, FIRST_CALLS)

    def learn(self, instance_id: str, limit_per_s: float | None) -> None:
        """Update the limit from an answer; None if the answer has no limit."""
        if instance_id != self._instance_id:
            return
        now = self._clock.monotonic()
        self._answered = True
        if limit_per_s is not None:
            self._named_at = now
            self._set(max(MIN_RATE_PER_S, limit_per_s))
        elif now - self._named_at >= LIFT_AFTER_S:
            self._set(math.inf)

    def take(self) -> None:
        """Count a call that is sent."""
        if self.is_limited:
            self._fill()
            self._tokens -= 1.0

    def wait_s(self, ahead: int = 0, *, taken_per_s: float = 0.0) -> float:
        """Return the seconds until a call may be sent after `ahead` others.

        `taken_per_s` is the part of the rate that more urgent calls will take.
        """
        if not self.is_limited:
            return 0.0
        self._fill()
        left_per_s = max(
            MIN_LEFT_SHARE * self._rate_per_s, self._rate_per_s - taken_per_s
        )
        return max(0.0, ahead + 1 - self._tokens) / left_per_s

    def _set(self, rate_per_s: float) -> None:
        if rate_per_s == self._rate_per_s:
            return
        if self.is_limited:
            self._fill()
        else:
            self._tokens = 0.0
            self._filled_at = self._clock.monotonic()
        self._rate_per_s = rate_per_s
        self._log(rate_per_s)

    def _log(self, rate_per_s: float) -> None:
        change = abs(rate_per_s - self._logged_per_s)
        if change <= LOGGED_CHANGE * self._logged_per_s < math.inf:
            return
        logs.log(
            logs.Event.ENDPOINT_LIMITED,
            instance=self._instance_id,
            before_per_s=self._logged_per_s,
            limit_per_s=rate_per_s,
        )
        self._logged_per_s = rate_per_s

    def _fill(self) -> None:
        """Add the tokens of the time that has passed."""
        now = self._clock.monotonic()
        most = 1.0 + BURST_S * self._rate_per_s
        self._tokens += (now - self._filled_at) * self._rate_per_s
        self._tokens = min(most, self._tokens)
        self._filled_at = now
