"""The end of the calls that outlast a planned stop: their callers are told."""

from typing import Protocol

import eventlet

from comfreytray.calls.call import Call, CallCancelledError
from comfreytray.calls.callers import CallerConnections
from comfreytray.calls.reaper import Reaper, TrackedCall
from comfreytray.common import logs
from comfreytray.common.errors import Kind
from comfreytray.common.interfaces import Clock

END_MARGIN_S = 0.4
"""Part of the grace period that is reserved for the last answers and the exit."""
LAST_ANSWERS_S = 0.15
POLL_S = 0.01
MS_PER_S = 1000


class CallOutlastedError(CallCancelledError):
    """Raised in the greenlet of a call that still runs when its node ends."""

    def __init__(self, *, was_read: bool) -> None:
        super().__init__()
        # What was not read whole has not run.
        self.kind = Kind.DEADLINE_WHILE_RUNNING if was_read else Kind.LEAVING


class EnteredCalls(Protocol):
    """The calls of callers that a node has not ended."""

    clock: Clock
    callers: CallerConnections
    reaper: Reaper


def cut_calls(calls: EnteredCalls) -> None:
    """Name the calls that still run, answer their callers and let the answers out.

    An answer that has begun can't be replaced, and ends with its connection.
    """
    now = calls.clock.monotonic()
    entered = list(calls.reaper.entered_calls)
    logs.warn(logs.Event.CALLS_CUT, in_flight=len(entered))
    for tracked in entered:
        is_waiting = tracked in calls.reaper.tracked_calls
        _log(tracked, now, has_answer=not is_waiting)
        if is_waiting:
            error = CallOutlastedError(was_read=tracked.call is not None)
            eventlet.kill(tracked.greenlet, error)
    end = now + LAST_ANSWERS_S
    while calls.callers.busy_sockets and calls.clock.monotonic() < end:
        eventlet.sleep(POLL_S)


def _log(tracked: TrackedCall, now: float, *, has_answer: bool) -> None:
    call: Call | None = tracked.call
    fields: dict[str, object] = {"age_ms": int((now - tracked.started_at) * MS_PER_S)}
    if call is not None:
        fields["route"] = call.kind
        fields["left_ms"] = int((call.deadline - now) * MS_PER_S)
        fields["attempts"] = ",".join(call.attempts) or "none"
    call_id = call.call_id if call is not None else ""
    logs.warn(logs.Event.CALL_CUT, id=call_id, answer_begun=has_answer, **fields)
