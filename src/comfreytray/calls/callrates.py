"""The rate of calls that an upstream in need takes, kept by its owner.

Load pattern: some instances of a service are in need and name the calls a second that
they take from all nodes together, while more calls come than that. They still answer,
so neither slots nor run times show the need. All calls for an instance pass its owner,
so the owner alone counts them; a share for each node would be exceeded, or lie unused,
whenever nodes start, stop or get other calls than before.

An owner that has just started doesn't know what the instance needs. It sends few calls
until an answer has told.
"""

import math

from comfreytray.common import logs
from comfreytray.common.interfaces import Clock

BURST_S = 0.25
"""Time for which unused calls of the rate are kept; they may then come at once."""
MIN_RATE_PER_S = 0.5
"""Rate at which calls are sent at the least, since only answers tell a new limit."""
LIFT_AFTER_S = 0.5
"""Time without a limit in the answers after which it no longer holds; answers of a
broken instance may lack it."""
LOGGED_CHANGE = 0.1
"""Share by which a limit changes at the least before it is logged again."""
MIN_LEFT_SHARE = 0.1
"""Share of the rate assumed to be free of more urgent calls, however many come."""
FIRST_CALLS = 2
"""Calls that may run before the first answer of an instance."""


class CallRate:
    """A token bucket by the limit that an instance names in its answers."""

    def __init__(self, *, clock: Clock, is_told: bool = False) -> None:
        """Create it; `is_told` if answers can name a limit."""
        self._clock = clock
        self._is_told = is_told
        self._instance_id = ""
        self._answered = False
        self._rate_per_s = self._logged_per_s = math.inf
        self._tokens = 0.0
        self._filled_at = 0.0
        self._named_at = 0.0

    @property
    def limit_per_s(self) -> float:
        """Return the calls a second that the instance takes; infinite if any."""
        return self._rate_per_s

    @property
    def is_limited(self) -> bool:
        """Whether the instance has named a limit that still holds."""
        return self._rate_per_s < math.inf

    def follow(self, instance_id: str) -> None:
        """Begin anew if another instance takes the calls from now on."""
        if instance_id == self._instance_id:
            return
        self._instance_id = instance_id
        self._answered = False
        self._set(math.inf)

    def slots(self, slots: int) -> int:
        """Return the slots that may be used, of those that the instance has."""
        if self._answered or not self._is_told:
            return slots
        return min(slots, FIRST_CALLS)

    def learn(self, instance_id: str, limit_per_s: float | None) -> None:
        """Take what an answer says: the limit, or None if it names none."""
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

        `taken_per_s` is what calls that come later, but go first, take of the rate.
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
