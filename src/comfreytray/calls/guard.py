"""Keeps deadly requests from the instance beside a node, and isolates suspects."""

from collections.abc import Callable

from attrs import define, field

from comfreytray.calls.call import Call
from comfreytray.calls.fingerprints import fingerprint_of, label_of, name_of
from comfreytray.calls.instanceends import EndedInstance
from comfreytray.calls.notices import (
    MAX_REQUESTS_PER_END,
    Answered,
    Held,
    InstanceEnd,
    Notice,
    Released,
)
from comfreytray.calls.quarantine import Quarantine, Verdict
from comfreytray.common import logs
from comfreytray.common.errors import Failure, Kind
from comfreytray.common.interfaces import Clock
from comfreytray.common.metrics import Metrics
from comfreytray.common.signals import Signal

MAX_WAIT_S = 0.5
"""Time that a call waits for another one in isolation."""
MAX_WAITING = 64
RETRY_AFTER_ISOLATION_S = 0.2
RETRY_AFTER_PAUSE_S = 1.0


@define(kw_only=True, eq=False)
class Permit:
    """The permission for one run; an empty request is one that nothing implicates."""

    guard: "Guard"
    request: bytes = b""
    is_isolated: bool = False
    _is_open: bool = field(default=True, init=False)

    def end(self) -> None:
        """Give way to the next isolated run; later calls do nothing."""
        if self._is_open and self.is_isolated:
            self.guard.end_isolation()
        self._is_open = False


class Guard:
    """Applies the verdicts of the quarantine, and reports to it what is seen here.

    `publish` gets the notices for the other nodes; `on_held` and `on_released` get each
    hold that this node has decided on or lifted.
    """

    def __init__(
        self,
        *,
        node_id: Callable[[], str],
        clock: Clock,
        metrics: Metrics,
        publish: Callable[[tuple[Notice, ...]], None],
    ) -> None:
        self.quarantine = Quarantine(clock=clock)
        self.on_held: Callable[[Held], None] = lambda _: None
        self.on_released: Callable[[Answered | Released], None] = lambda _: None
        self._node_id = node_id
        self._clock = clock
        self._metrics = metrics
        self._publish = publish
        self._started_at = clock.wall()
        self._ends = 0
        self._is_isolating = False
        self._waiting: list[Signal] = []

    def verdict(self, call: Call) -> Verdict:
        """Return how a call may run; free at no cost if nothing is suspected."""
        if self.quarantine.is_empty:
            return Verdict.FREE
        return self.quarantine.verdict(fingerprint_of(call))

    def admit(self, call: Call) -> Permit | Failure:
        """Let a call run, wait for its turn in isolation, or refuse it."""
        call.is_isolated = False
        if self.quarantine.is_empty:
            return Permit(guard=self)
        request = fingerprint_of(call)
        deadline = min(call.deadline, self._clock.monotonic() + MAX_WAIT_S)
        while True:
            verdict = self.quarantine.verdict(request)
            if verdict is Verdict.FREE:
                return Permit(guard=self, request=request)
            refused = refuse(verdict)
            if refused is not None:
                return refused
            if not self._is_isolating:
                self._is_isolating = call.is_isolated = True
                return Permit(guard=self, request=request, is_isolated=True)
            if not self._wait(deadline):
                return _refuse_isolated(RETRY_AFTER_ISOLATION_S)

    def end_isolation(self) -> None:
        """Let the next suspected call run."""
        self._is_isolating = False
        self._wake()

    def record_answer(self, permit: Permit, call: Call) -> None:
        """Record that the instance has answered a call."""
        if self.quarantine.is_empty:
            return
        request = permit.request or fingerprint_of(call)
        self._tell(self.quarantine.record_answer(request))

    def record_end(self, ended: EndedInstance) -> None:
        """Record the end of the instance with the calls that were under way."""
        if not ended.calls:
            return
        call_by_request = {fingerprint_of(call): call for call in ended.calls}
        isolated = next((r for r, c in call_by_request.items() if c.is_isolated), b"")
        kept = sorted(call_by_request, key=lambda r: r != isolated)
        self._ends += 1
        end = InstanceEnd(
            end_id=f"{self._node_id()}/{self._started_at:.3f}/{self._ends}",
            label_by_request={
                request: label_of(call_by_request[request])
                for request in kept[:MAX_REQUESTS_PER_END]
            },
            isolated=isolated,
        )
        self._tell(self.quarantine.record_end(end))

    def release(self, request: bytes) -> bool:
        """Let a request run again, on the word of an operator; false if it may."""
        told = self.quarantine.release(request)
        self._tell(told)
        return bool(told)

    def report(self) -> list[dict[str, object]]:
        """Return the requests that are held back, in JSON-compatible types."""
        now = self._clock.monotonic()
        return [
            {
                "request": name_of(hold.held.request),
                "label": hold.held.label,
                "ends": hold.held.ends,
                "left_s": round(max(0.0, hold.until - now), 1),
            }
            for hold in self.quarantine.holds
        ]

    def learn(self, notices: tuple[Notice, ...]) -> None:
        """Take notices of other nodes."""
        for notice in notices:
            held_before = self._is_held(notice)
            self.quarantine.learn(notice)
            if held_before != self._is_held(notice):
                self._log(notice)
        self._wake()

    def _tell(self, notices: tuple[Notice, ...]) -> None:
        if not notices:
            return
        for notice in notices:
            self._log(notice)
            if isinstance(notice, Held):
                self.on_held(notice)
            elif isinstance(notice, Answered | Released) and notice.generation:
                self.on_released(notice)
        self._publish(notices)
        self._wake()

    def _is_held(self, notice: Notice) -> bool:
        if isinstance(notice, InstanceEnd):
            return False
        return self.quarantine.verdict(notice.request) is Verdict.HELD

    def _log(self, notice: Notice) -> None:
        match notice:
            case Held():
                self._metrics.count("requests_held")
                logs.warn(
                    logs.Event.REQUEST_HELD,
                    request=name_of(notice.request),
                    label=notice.label,
                    ends=notice.ends,
                    seconds=notice.left_s,
                    generation=notice.generation,
                )
            case Answered() | Released():
                reason = "answered" if isinstance(notice, Answered) else "operator"
                logs.log(
                    logs.Event.REQUEST_RELEASED,
                    request=name_of(notice.request),
                    reason=reason,
                    generation=notice.generation,
                )

    def _wait(self, deadline: float) -> bool:
        """Wait for a change; return whether there is time to look again."""
        left_s = deadline - self._clock.monotonic()
        if left_s <= 0 or len(self._waiting) >= MAX_WAITING:
            return False
        signal = Signal()
        self._waiting.append(signal)
        try:
            return signal.wait(left_s)
        finally:
            if signal in self._waiting:
                self._waiting.remove(signal)

    def _wake(self) -> None:
        waiting, self._waiting = self._waiting, []
        for signal in waiting:
            signal.fire()


def refuse(verdict: Verdict) -> Failure | None:
    """Return the failure of a call that may not run now, None if it may."""
    if verdict is Verdict.HELD:
        return Failure(
            kind=Kind.REQUEST_HELD, detail="instances ended each time it ran"
        )
    if verdict is Verdict.PAUSED:
        return _refuse_isolated(RETRY_AFTER_PAUSE_S)
    return None


def _refuse_isolated(retry_after_s: float) -> Failure:
    return Failure(
        kind=Kind.REQUEST_ISOLATED,
        detail="an instance ended while it ran",
        retry_after_s=retry_after_s,
    )
