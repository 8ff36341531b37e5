"""When a silent owner is pinged, and when the connection to it counts as lost.

Load pattern: several nodes send large bodies to one owner over its thin link, where
they take seconds to arrive. A ping behind them is answered late though the owner is
well, and closing the connection would lose all calls on it.
"""

from collections import deque
from enum import Enum

from comfreytray.calls.outbox import Outbox
from comfreytray.common.interfaces import Clock

PING_AFTER_S = 1.0
"""Time without bytes from an owner, with calls in flight, after which it is pinged."""
PING_TIMEOUT_S = 2.0
"""Time after an unanswered ping at which the connection is lost."""
LARGE_SEND_BYTES = 65_536
LARGE_SEND_TIMEOUT_S = 5.0
"""The same behind that many bytes, which may wait at the link of the owner."""
MIN_CHECKS_SINCE_PING = 4
"""Checks after a ping before a connection is lost, so that a node that was itself
paused first reads what has arrived."""


class Check(Enum):
    """What a check of a connection asks for."""

    NOTHING = "nothing"
    PING = "ping"
    CLOSE = "close"


class Liveness:
    """Follows what is sent to an owner and what comes from it."""

    def __init__(self, *, clock: Clock, outbox: Outbox) -> None:
        self.last_received_at = clock.monotonic()
        self._clock = clock
        self._outbox = outbox
        self._pinged_at = 0.0
        self._checks_since_ping = 0
        self._sent_at_check = 0
        self._sends = deque([(self.last_received_at, 0)])
        """Times of checks, and the bytes queued until then."""
        self._timeout_s = PING_TIMEOUT_S

    def receive(self) -> None:
        """Note that bytes came from the owner."""
        self.last_received_at = self._clock.monotonic()

    def check(self, *, has_calls: bool) -> Check:
        """Return what to do now; called once per period."""
        now = self._clock.monotonic()
        self._note_sends(now)
        is_taking = self._outbox.sent > self._sent_at_check and self._outbox.size > 0
        self._sent_at_check = self._outbox.sent
        if self._pinged_at > self.last_received_at:
            if is_taking:
                # The ping still waits behind a body, which the owner takes.
                self._begin_ping(now)
                return Check.NOTHING
            self._checks_since_ping += 1
            is_late = now - self._pinged_at >= self._timeout_s
            if is_late and self._checks_since_ping >= MIN_CHECKS_SINCE_PING:
                return Check.CLOSE
            return Check.NOTHING
        if has_calls and now - self.last_received_at >= PING_AFTER_S:
            self._begin_ping(now)
            return Check.PING
        return Check.NOTHING

    def _begin_ping(self, now: float) -> None:
        self._pinged_at = now
        self._checks_since_ping = 0
        recent_bytes = self._outbox.enqueued - self._sends[0][1]
        is_large = recent_bytes >= LARGE_SEND_BYTES
        self._timeout_s = LARGE_SEND_TIMEOUT_S if is_large else PING_TIMEOUT_S

    def _note_sends(self, now: float) -> None:
        """Keep what was queued until each check of the last `LARGE_SEND_TIMEOUT_S`.

        An answer to another call doesn't show that a body has arrived: the kernel may
        still hold it.
        """
        self._sends.append((now, self._outbox.enqueued))
        oldest = now - LARGE_SEND_TIMEOUT_S
        while len(self._sends) > 1 and self._sends[1][0] <= oldest:
            self._sends.popleft()
