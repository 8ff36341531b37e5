"""What the event loop says of itself: that it does not wait, or who holds it."""

import contextlib
import signal
import time
from collections import Counter
from types import FrameType, TracebackType
from typing import Self

from comfreytray.common import logs
from comfreytray.common.loop import PacedHub, place_of
from comfreytray.common.metrics import Metrics

REPORT_S = 1.0
"""Time without a wait after which a line is written; further ones at twice the time."""
CHECK_PERIOD_S = 1.0
"""Period of the checks for a function that holds the loop."""
HELD_CHECKS = 2
"""Checks without a turn that show it; a process that was paused is checked once."""
MAX_REPORTED = 5


class LoopWatch:
    """Log a loop that turns without waiting, and a function that does not return.

    The one shows as many turns, the other as none. More work than the processor can do
    shows as turns of a millisecond and more, and many greenlets in the sample.
    """

    def __init__(self, *, loop: PacedHub, metrics: Metrics) -> None:
        self._loop = loop
        self._metrics = metrics
        self._ran: Counter[str] = Counter()
        self._turns = 0
        self._pauses = 0
        self._report_at_s = REPORT_S
        self._longest_s = 0.0
        self._used_s = 0.0
        """Processor time up to the first pause."""
        self._checked_turns = -1
        self._held_checks = 0
        self._longest_held_s = 0.0

    def __enter__(self) -> Self:
        self._loop.observer = self
        signal.signal(signal.SIGALRM, self.check)
        signal.setitimer(signal.ITIMER_REAL, CHECK_PERIOD_S, CHECK_PERIOD_S)
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        signal.setitimer(signal.ITIMER_REAL, 0.0)
        signal.signal(signal.SIGALRM, signal.SIG_DFL)
        self._loop.observer = None

    def record_pause(
        self, *, turns: int, not_waited_s: float, ran: Counter[str]
    ) -> None:
        """Record that the loop pauses after turns without a wait."""
        if not self._pauses:
            self._used_s = time.process_time()
        self._pauses += 1
        self._turns += turns
        self._ran.update(ran)
        self._metrics.count("loop_pauses")
        self._longest_s = max(self._longest_s, not_waited_s)
        self._metrics.gauge("loop_not_waiting_longest_s", self._longest_s)
        if not_waited_s >= self._report_at_s:
            self._report_at_s = 2.0 * not_waited_s
            self._metrics.count("loop_not_waiting")
            logs.warn(logs.Event.LOOP_NOT_WAITING, **self._fields(not_waited_s))

    def record_wait(self) -> None:
        """Record that the loop waits of itself again."""
        if self._report_at_s > REPORT_S:
            logs.log(logs.Event.LOOP_WAITS_AGAIN, pauses=self._pauses)
        self._ran.clear()
        self._turns = self._pauses = 0
        self._report_at_s = REPORT_S

    def check(self, _: int, frame: FrameType | None) -> None:
        """Handle the periodic signal: log who holds the loop if it does not turn."""
        if self._loop.is_waiting or self._loop.turns != self._checked_turns:
            self._checked_turns, self._held_checks = self._loop.turns, 0
            return
        self._held_checks += 1
        checks = self._held_checks
        if checks < HELD_CHECKS or checks & (checks - 1):
            return
        # An exception would be raised in whatever was interrupted.
        with contextlib.suppress(Exception):
            self._report_held(checks * CHECK_PERIOD_S, place_of(frame))

    def _report_held(self, held_s: float, place: str) -> None:
        self._longest_held_s = max(self._longest_held_s, held_s)
        if self._held_checks == HELD_CHECKS:
            self._metrics.count("loop_held")
        self._metrics.gauge("loop_held_longest_s", self._longest_held_s)
        logs.warn(logs.Event.LOOP_HELD, held_s=held_s, by=place)

    def _fields(self, not_waited_s: float) -> dict[str, object]:
        most = self._ran.most_common(MAX_REPORTED)
        return {
            "for_s": not_waited_s,
            "turns": self._turns,
            "pauses": self._pauses,
            "processor_s": time.process_time() - self._used_s,
            "places": len(self._ran),
            "ran": ",".join(f"{name}:{count}" for name, count in most),
        }
