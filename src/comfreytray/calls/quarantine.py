"""Decides which requests are held back because instances end under them.

An instance that ends takes all its running calls with it, so one end implicates the
request that caused it and those that ran beside it alike. What tells them apart is that
a deadly request is never answered. A request that was under way at an end is therefore
run in isolation: one at a time, at one node. An answer clears it. If that instance ends
too, it pauses until the first instances are back. After three ends it is held back, and
the ends that it caused implicate nobody else.

Ends alone never hold a request back. When many instances are killed at once, a common
request was under way at each of them; its next run is answered.
"""

from collections import OrderedDict
from enum import Enum
from typing import Any

from attrs import evolve, frozen

from comfreytray.calls.notices import Answered, Held, InstanceEnd, Notice, Released
from comfreytray.common.interfaces import Clock

HOLD_AFTER_ENDS = 3
MIN_ISOLATED_ENDS = 1
"""Of these ends, those in isolation."""
MIN_ISOLATED_ENDS_IF_ANSWERED = 2
"""The same for a request that was answered before: a run of a common request may
happen to be in isolation as its instance is killed."""
PAUSE_S = 5.0
"""Pause after an end in isolation: instances that end are mostly back by then."""
HOLD_S = 3600.0
"""Duration of a first hold; each further one of the same request is twice as long."""
MAX_HOLD_S = 86_400.0
EVIDENCE_S = 3600.0
"""Time after which the end of an instance implicates nobody any more."""
MAX_ENDS = 128
"""Ends that are remembered; the oldest is dropped."""
MAX_HOLDS = 256
"""Requests that are held back; the oldest is dropped."""
MAX_RELEASES = 256
MAX_ANSWERED = 1024
"""Answered requests that are remembered while any request is suspected."""
MAX_SEEN_ENDS = 1024
"""Ids of ends that are kept, so that a late copy of a notice changes nothing."""


class Verdict(Enum):
    """How a request may run."""

    FREE = "free"
    ISOLATED = "isolated"
    """One run at a time, at one node."""
    PAUSED = "paused"
    """No run for some seconds."""
    HELD = "held"


@frozen(kw_only=True)
class Hold:
    """A request that is held back."""

    held: Held
    since: float
    """Monotonic time of this process."""
    until: float

    @property
    def duration_s(self) -> float:
        """Return the planned duration."""
        return self.until - self.since


@frozen(kw_only=True)
class _RecordedEnd:
    end: InstanceEnd
    at: float
    suspects: frozenset[bytes]
    """The requests that were under way and have not been cleared since."""


class Quarantine:
    """Weighs what nodes saw of requests and instances, and gives a verdict on each.

    Nodes exchange notices in any order and repeatedly. `learn` takes those of others;
    methods named `record_...` take what this node saw and return what to tell others.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._recorded_by_id: OrderedDict[str, _RecordedEnd] = OrderedDict()
        self._seen_end_ids: OrderedDict[str, None] = OrderedDict()
        self._answered: OrderedDict[bytes, None] = OrderedDict()
        self._hold_by_request: OrderedDict[bytes, Hold] = OrderedDict()
        self._released_by_request: OrderedDict[bytes, int] = OrderedDict()
        """Highest generation of a hold of each request that was lifted."""

    @property
    def is_empty(self) -> bool:
        """Whether no request is suspected or held back, so that all are free."""
        return not self._recorded_by_id and not self._hold_by_request

    @property
    def holds(self) -> tuple[Hold, ...]:
        """Return the requests that are held back, in the order of their holds."""
        return tuple(self._hold_by_request.values())

    def verdict(self, request: bytes) -> Verdict:
        """Return how a request may run now."""
        now = self._clock.monotonic()
        hold = self._hold_by_request.get(request)
        if hold is not None:
            return Verdict.HELD if now < hold.until else Verdict.ISOLATED
        self._forget_old(now)
        ends = self._ends_of(request)
        if not ends:
            return Verdict.FREE
        isolated_at = [end.at for end in ends if end.end.isolated == request]
        is_paused = isolated_at and now < max(isolated_at) + PAUSE_S
        return Verdict.PAUSED if is_paused else Verdict.ISOLATED

    def record_end(self, end: InstanceEnd) -> tuple[Notice, ...]:
        """Record the end of the instance beside this node."""
        self._add_end(end)
        request = end.isolated
        if not request or not self._is_confirmed(request, end):
            return (end,)
        return (end, self._hold(request, end))

    def record_answer(self, request: bytes) -> tuple[Notice, ...]:
        """Record that the instance beside this node has answered a request."""
        self._answered[request] = None
        self._answered.move_to_end(request)
        _trim(self._answered, MAX_ANSWERED)
        if request not in self._hold_by_request and not self._count_ends(request):
            return ()
        self._clear(request)
        generation = self._released_by_request.get(request, 0)
        return (Answered(request=request, generation=generation),)

    def release(self, request: bytes) -> tuple[Notice, ...]:
        """Let a request run again, on the word of an operator."""
        if request not in self._hold_by_request:
            return ()
        self._clear(request)
        generation = self._released_by_request[request]
        return (Released(request=request, generation=generation),)

    def learn(self, notice: Notice) -> None:
        """Take what another node saw or decided."""
        match notice:
            case InstanceEnd():
                self._add_end(notice)
            case Held():
                self._learn_hold(notice)
            case Answered() | Released():
                self._clear(notice.request, generation=notice.generation)

    def notices(self) -> tuple[Notice, ...]:
        """Return all that a node which has just started needs to know."""
        now = self._clock.monotonic()
        self._forget_old(now)
        held = [
            evolve(hold.held, left_s=max(0.0, hold.until - now)) for hold in self.holds
        ]
        released = [
            Released(request=request, generation=generation)
            for request, generation in self._released_by_request.items()
        ]
        ends = [
            evolve(
                recorded.end,
                label_by_request={
                    request: label
                    for request, label in recorded.end.label_by_request.items()
                    if request in recorded.suspects
                },
            )
            for recorded in self._recorded_by_id.values()
        ]
        return (*released, *held, *ends)

    def _is_confirmed(self, request: bytes, end: InstanceEnd) -> bool:
        """Whether the end in isolation shows that a request causes the ends."""
        hold = self._hold_by_request.get(request)
        if hold is not None:
            return self._clock.monotonic() >= hold.until
        ends = self._count_ends(request)
        if ends < HOLD_AFTER_ENDS or not self._has_isolated_ends(request):
            return False
        others = (self._count_ends(r) for r in end.label_by_request if r != request)
        return all(other < ends for other in others)

    def _has_isolated_ends(self, request: bytes) -> bool:
        """Whether enough of the ends came while the request ran in isolation."""
        was_answered = request in self._answered
        needed = MIN_ISOLATED_ENDS_IF_ANSWERED if was_answered else MIN_ISOLATED_ENDS
        ends = self._ends_of(request)
        return sum(end.end.isolated == request for end in ends) >= needed

    def _hold(self, request: bytes, end: InstanceEnd) -> Held:
        before = self._hold_by_request.get(request)
        hold_s = HOLD_S if before is None else 2.0 * before.duration_s
        held = Held(
            request=request,
            label=end.label_by_request.get(request, ""),
            ends=self._count_ends(request) if before is None else before.held.ends + 1,
            left_s=min(MAX_HOLD_S, hold_s),
            generation=self._released_by_request.get(request, 0) + 1,
        )
        self._learn_hold(held)
        return held

    def _learn_hold(self, held: Held) -> None:
        if held.generation <= self._released_by_request.get(held.request, 0):
            return
        now = self._clock.monotonic()
        until = now + min(MAX_HOLD_S, held.left_s)
        known = self._hold_by_request.get(held.request)
        if known is not None and not _is_later(held, until, known):
            return
        hold = Hold(held=held, since=now, until=until)
        self._hold_by_request[held.request] = hold
        _trim(self._hold_by_request, MAX_HOLDS)
        self._drop_ends_under(held.request)

    def _add_end(self, end: InstanceEnd) -> None:
        if end.end_id in self._seen_end_ids:
            return
        self._seen_end_ids[end.end_id] = None
        _trim(self._seen_end_ids, MAX_SEEN_ENDS)
        requests = frozenset(end.label_by_request)
        if any(request in self._hold_by_request for request in requests):
            # A run from before the hold, or a trial after it, explains this end.
            return
        self._recorded_by_id[end.end_id] = _RecordedEnd(
            end=end, at=self._clock.monotonic(), suspects=requests
        )
        _trim(self._recorded_by_id, MAX_ENDS)

    def _drop_ends_under(self, request: bytes) -> None:
        """Drop the ends that a held request explains; they implicate nobody else."""
        for end_id, recorded in list(self._recorded_by_id.items()):
            if request in recorded.end.label_by_request:
                del self._recorded_by_id[end_id]

    def _clear(self, request: bytes, *, generation: int | None = None) -> None:
        """Take a request out of all ends; lift a hold up to the generation, or any."""
        for end_id, recorded in list(self._recorded_by_id.items()):
            suspects = recorded.suspects - {request}
            if suspects:
                self._recorded_by_id[end_id] = evolve(recorded, suspects=suspects)
            else:
                del self._recorded_by_id[end_id]
        hold = self._hold_by_request.get(request)
        if generation is None:
            generation = 0 if hold is None else hold.held.generation
        if hold is not None and hold.held.generation <= generation:
            del self._hold_by_request[request]
        if generation > self._released_by_request.get(request, 0):
            self._released_by_request[request] = generation
            _trim(self._released_by_request, MAX_RELEASES)

    def _count_ends(self, request: bytes) -> int:
        return len(self._ends_of(request))

    def _ends_of(self, request: bytes) -> list[_RecordedEnd]:
        """Return the ends that implicate a request."""
        recorded = self._recorded_by_id.values()
        return [end for end in recorded if request in end.suspects]

    def _forget_old(self, now: float) -> None:
        while self._recorded_by_id:
            end_id, oldest = next(iter(self._recorded_by_id.items()))
            if now - oldest.at < EVIDENCE_S:
                return
            del self._recorded_by_id[end_id]


def _is_later(held: Held, until: float, known: Hold) -> bool:
    """Whether a hold replaces the one that is known."""
    if held.generation != known.held.generation:
        return held.generation > known.held.generation
    return until > known.until


def _trim(items: OrderedDict[Any, Any], limit: int) -> None:
    """Drop the oldest items beyond a limit."""
    while len(items) > limit:
        items.popitem(last=False)
