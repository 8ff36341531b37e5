"""Periodic cleanup: callers that hung up, slow request heads, idle connections."""

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

import eventlet
from attrs import define

from comfreytray.calls.call import Call, CallCancelledError
from comfreytray.calls.callers import (
    CallerConnections,
    HeadTimeoutError,
    PendingHead,
)
from comfreytray.calls.connections import StreamClient
from comfreytray.calls.hangups import has_hung_up
from comfreytray.calls.owner import Owner
from comfreytray.calls.routing import Router
from comfreytray.common.connectionlimits import Rank
from comfreytray.common.interfaces import Clock
from comfreytray.common.repeating import repeat
from comfreytray.configuration.callerlimits import CallerLimits

if TYPE_CHECKING:
    from comfreytray.calls.keyed import KeyedCalls

SWEEP_PERIOD_S = 0.05
IDLE_SWEEP_PERIOD_S = 0.25
"""Period while no call and no request head is in progress."""
CALLER_CHECK_DELAY_S = 0.05
"""Age from which a call is checked for a caller that hung up."""
CLOSE_IDLE_PERIOD_S = 2.0


@define(kw_only=True, eq=False)
class TrackedCall:
    """A call of a caller that waits for its answer."""

    greenlet: Any
    source: Any
    """The input of its request, None for one that has no connection."""
    sock: Any
    started_at: float
    call: Call | None = None
    """None until the request is read."""


class Reaper:
    """Sweeps the calls and connections of a node once per period."""

    def __init__(
        self,
        *,
        clock: Clock,
        callers: CallerConnections,
        owner: Owner,
        client: StreamClient,
        router: Router,
        keyed: "KeyedCalls | None",
        limits: Callable[[], CallerLimits],
    ) -> None:
        self.clock = clock
        self.callers = callers
        self.owner = owner
        self.client = client
        self.router = router
        self.keyed = keyed
        self.limits = limits
        self._close_idle_at = 0.0
        self.tracked_calls: set[TrackedCall] = set()
        self.entered_calls: set[TrackedCall] = set()
        """Calls of which the answer has not ended, also those that send it."""
        self.pending_head_by_socket: dict[Any, PendingHead] = {}

    def track(self, environ: dict[str, Any]) -> TrackedCall:
        """Track the caller of a call, which runs in the current greenlet."""
        source = environ.get("eventlet.input")
        tracked = TrackedCall(
            greenlet=eventlet.getcurrent(),
            source=source,
            sock=source.get_socket() if source is not None else None,
            started_at=self.clock.monotonic(),
        )
        self.tracked_calls.add(tracked)
        self.entered_calls.add(tracked)
        return tracked

    def untrack(self, tracked: TrackedCall) -> None:
        """Stop watching the caller of a call."""
        self.tracked_calls.discard(tracked)

    def end(self, tracked: TrackedCall) -> None:
        """Record the end of a call and of its answer."""
        self.entered_calls.discard(tracked)

    def rank_of(self, sock: Any) -> Rank:
        """Return whether a connection of a caller has sent a request."""
        is_busy = sock in self.callers.busy_sockets
        is_served = is_busy and sock not in self.pending_head_by_socket
        return Rank.SERVED if is_served else Rank.IDLE

    def run(self) -> None:
        """Sweep once per period, until killed."""
        repeat("reaper", self._sweep_when_due)

    def _sweep_when_due(self) -> float:
        self.sweep()
        now = self.clock.monotonic()
        if now >= self._close_idle_at:
            self._close_idle_at = now + CLOSE_IDLE_PERIOD_S
            self._close_idle()
        return SWEEP_PERIOD_S if self._has_work() else IDLE_SWEEP_PERIOD_S

    def _has_work(self) -> bool:
        waiting = self.owner.admission.queued
        return bool(self.tracked_calls or self.pending_head_by_socket or waiting)

    def sweep(self) -> None:
        """Cancel calls whose callers hung up and refuse heads that are too slow."""
        now = self.clock.monotonic()
        for tracked in list(self.tracked_calls):
            if now - tracked.started_at < CALLER_CHECK_DELAY_S:
                continue
            if tracked.sock in self.callers.shut_sockets:
                continue
            if has_hung_up(tracked.source):
                self.tracked_calls.discard(tracked)
                eventlet.kill(tracked.greenlet, CallCancelledError())
        self._refuse_slow_heads(now)
        self.owner.admission.expire()
        self.client.check()

    def _refuse_slow_heads(self, now: float) -> None:
        if not self.pending_head_by_socket:
            return
        started_before = now - self.limits().header_timeout_s
        for sock, head in list(self.pending_head_by_socket.items()):
            if head.started_at <= started_before:
                self.pending_head_by_socket.pop(sock, None)
                eventlet.kill(head.greenlet, HeadTimeoutError())

    def _close_idle(self) -> None:
        self.owner.pool.close_idle()
        self.client.close_idle()
        self.router.forget_unused()
        if self.keyed is not None:
            self.keyed.tidy()
