"""Waiting for the calls in flight at a planned stop."""

from collections.abc import Callable

import eventlet
from attrs import frozen

from comfreytray.calls.callers import CallerConnections
from comfreytray.calls.keyed import KeyedCalls
from comfreytray.calls.owner import Owner
from comfreytray.calls.streamserver import StreamServer
from comfreytray.common.interfaces import Clock

POLL_S = 0.02


@frozen(kw_only=True)
class Drain:
    """What must end before a node may."""

    clock: Clock
    callers: CallerConnections
    in_flight: Callable[[], int]
    """Returns the number of calls of callers."""
    owner: Owner
    server: StreamServer
    keyed: KeyedCalls | None

    def wait(self, timeout_s: float) -> bool:
        """Wait for the calls in flight; false if some did not end in time."""
        end = self.clock.monotonic() + timeout_s
        while self._has_calls():
            if self.clock.monotonic() >= end:
                return False
            eventlet.sleep(POLL_S)
        self.server.wait_until_taken(end - self.clock.monotonic())
        return True

    def _has_calls(self) -> bool:
        from_callers = self.in_flight() if self.callers.stopping else 0
        settled = self.keyed is None or self.keyed.settled
        at_owner = self.owner.in_flight or self.server.has_open_streams
        return bool(from_callers or at_owner or not settled)
