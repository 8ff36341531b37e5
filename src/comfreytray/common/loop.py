"""The event loop of a node: eventlet's, which waits now and then whatever runs in it.

A greenlet whose every wait returns at once makes the loop turn without waiting: it uses
the whole processor, is never late and holds nobody up, so nothing else shows it. Common
ways: a descriptor that stays ready while reading it would block, an error that lasts, a
pause of 0 seconds. Whatever the cause, this loop pauses after a number of such turns,
and says which greenlets ran.
"""

from collections import Counter
from collections.abc import Callable
from types import FrameType
from typing import Any, Protocol

import eventlet
import greenlet
from eventlet import patcher
from eventlet.hubs import epolls, hub

MIN_WAIT_S = 0.0002
"""Shortest time in the kernel that counts as a wait."""
MAX_TURNS = 512
"""Turns without a wait after which the loop pauses."""
MIN_PAUSE_S = 0.001
MAX_PAUSE_S = 0.016
CHEAP_TURN_S = 0.0001
"""Mean time of a turn below which nothing useful is done in it."""
STRETCH_END_S = 0.25
"""Time without a pause after which a wait ends a stretch without waits; a poll that is
preempted in the kernel looks like a short wait."""
SAMPLED_SWITCHES = 64
"""Switches that are traced before each pause."""
MAX_NAMES = 64
PACKAGE = "comfreytray"
_OWN_MODULES = frozenset(
    f"{PACKAGE}.common.{name}" for name in ("loop", "signals", "turns", "repeating")
)
_sleep = patcher.original("time").sleep


class LoopObserver(Protocol):
    """Is told what the loop does."""

    def record_pause(
        self, *, turns: int, not_waited_s: float, ran: Counter[str]
    ) -> None:
        """Record a pause: the turns before it, and a sample of the greenlets.

        `not_waited_s` is the time for which the loop has hardly waited of itself.
        """
        ...

    def record_wait(self) -> None:
        """Record that the loop has waited after it had paused."""
        ...


class PacedHub(epolls.Hub):
    """The hub of eventlet, with a bound on the turns that it makes without waiting."""

    def __init__(self, clock: Callable[[], float] | None = None) -> None:
        super().__init__(clock)
        self.observer: LoopObserver | None = None
        self.turns = 0
        """Turns since the start."""
        self.is_waiting = False
        """Whether the loop is in the kernel, or about to be."""
        self._turns_in_row = 0
        self._row_began_s = 0.0
        self._stretch_began_s: float | None = None
        """When the stretch without waits began, once the loop has paused in it."""
        self._paused_at_s = 0.0
        self._sampler = Sampler(hub=self)

    def do_poll(self, seconds: float) -> Any:
        """Wait for descriptors; pause before, if there were many turns without."""
        self.turns += 1
        if self._turns_in_row >= MAX_TURNS:
            self._pause()
        self.is_waiting = True
        began_s = self.clock()
        try:
            ready = super().do_poll(seconds)
        finally:
            self.is_waiting = False
        ended_s = self.clock()
        if seconds > 0 and ended_s - began_s >= MIN_WAIT_S:
            self._note_wait(ended_s)
        else:
            self._note_turn(ended_s)
        return ready

    def wait(self, seconds: float | None = None) -> None:
        """Wait for descriptors, or for the next timer while there are none."""
        if self.listeners[hub.READ] or self.listeners[hub.WRITE]:
            super().wait(seconds)
            return
        # Descriptors are polled all the same: the kernel then keeps the time.
        self.do_poll(seconds or 0.0)

    def prepare_timers(self) -> None:
        """Queue the new timers."""
        if self._sampler.is_active:
            for _, timer in self.next_timers:
                self._sampler.add_timer(timer)
        super().prepare_timers()

    def _note_wait(self, now_s: float) -> None:
        self._turns_in_row = 0
        if self._stretch_began_s is None or now_s - self._paused_at_s < STRETCH_END_S:
            return
        self._stretch_began_s = None
        self._sampler.stop()
        if self.observer is not None:
            self.observer.record_wait()

    def _note_turn(self, now_s: float) -> None:
        if not self._turns_in_row:
            self._row_began_s = now_s
        self._turns_in_row += 1
        if self._turns_in_row == MAX_TURNS - SAMPLED_SWITCHES:
            self._sampler.start()

    def _pause(self) -> None:
        """Wait, and as long as the turns took if they were too short for any work."""
        now_s = self.clock()
        took_s = now_s - self._row_began_s
        pause_s = MIN_PAUSE_S
        if took_s < MAX_TURNS * CHEAP_TURN_S:
            pause_s = min(MAX_PAUSE_S, max(MIN_PAUSE_S, took_s))
        ran = self._sampler.stop()
        turns, self._turns_in_row, self._paused_at_s = self._turns_in_row, 0, now_s
        if self._stretch_began_s is None:
            self._stretch_began_s = self._row_began_s
        if self.observer is not None:
            not_waited_s = now_s - self._stretch_began_s
            self.observer.record_pause(turns=turns, not_waited_s=not_waited_s, ran=ran)
        _sleep(pause_s)


class Sampler:
    """Counts which greenlets run, by the place at which they give way."""

    def __init__(self, *, hub: PacedHub) -> None:
        self.is_active = False
        self._hub = hub
        self._count_by_name: Counter[str] = Counter()
        self._left = 0
        self._before: Any = None

    def start(self) -> None:
        """Trace the next `SAMPLED_SWITCHES` switches."""
        if self.is_active:
            return
        self.is_active = True
        self._left = SAMPLED_SWITCHES
        self._before = greenlet.settrace(self._trace)

    def stop(self) -> Counter[str]:
        """Return how often each place was seen, and forget it."""
        self._end_tracing()
        counts, self._count_by_name = self._count_by_name, Counter()
        return counts

    def add_timer(self, timer: Any) -> None:
        """Count a function that a timer calls, or starts in a greenlet of its own."""
        if timer.called:
            # It was cancelled in the turn in which it was made.
            return
        callback, arguments, _ = timer.tpl
        if arguments and callable(arguments[0]):
            callback = arguments[0]
        elif isinstance(getattr(callback, "__self__", None), greenlet.greenlet):
            # It goes on where it gave way, which the trace shows.
            return
        module = getattr(callback, "__module__", "") or ""
        name = getattr(callback, "__qualname__", type(callback).__name__)
        self._count(f"{module.removeprefix(PACKAGE + '.')}.{name}")

    def _trace(self, event: str, switched: tuple[Any, Any]) -> None:
        origin, target = switched
        if target is not self._hub.greenlet or event not in ("switch", "throw"):
            return
        if origin.gr_frame is not None:
            self._count(place_of(origin.gr_frame))
        self._left -= 1
        if self._left <= 0:
            self._end_tracing()

    def _end_tracing(self) -> None:
        if self.is_active:
            self.is_active = False
            greenlet.settrace(self._before)

    def _count(self, name: str) -> None:
        if name in self._count_by_name or len(self._count_by_name) < MAX_NAMES:
            self._count_by_name[name] += 1


def place_of(frame: FrameType | None) -> str:
    """Return the innermost function on a stack, but for those that wait for it."""
    library = ""
    while frame is not None:
        module = frame.f_globals.get("__name__", "")
        name = f"{module.removeprefix(PACKAGE + '.')}.{frame.f_code.co_qualname}"
        if not module.startswith("eventlet.") and module not in _OWN_MODULES:
            return name
        library = library or name
        frame = frame.f_back
    return library


def install() -> PacedHub:
    """Make the paced loop that of this thread; call it before any greenlet runs."""
    eventlet.hubs.use_hub(PacedHub)
    loop = eventlet.hubs.get_hub()
    assert isinstance(loop, PacedHub)
    return loop
