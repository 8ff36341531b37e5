"""Times in which the event loop ran nothing else: one function held the thread."""

import time
from collections.abc import Callable

from comfreytray.common import logs
from comfreytray.common.interfaces import Clock
from comfreytray.common.metrics import Metrics

STALL_S = 0.25
"""Delay of a periodic check from which it counts as a stall."""


class StallMonitor:
    """Report checks that came late, and whether the process was at work meanwhile.

    Processor time close to the delay means that a function of the node held the loop;
    little of it, that the process was paused or got no processor.
    """

    def __init__(
        self,
        *,
        period_s: float,
        clock: Clock,
        metrics: Metrics,
        processor_s: Callable[[], float] = time.process_time,
    ) -> None:
        """Create it; `processor_s` gives the processor time used so far."""
        self._period_s = period_s
        self._clock = clock
        self._metrics = metrics
        self._processor_s = processor_s
        self._checked_at: float | None = None
        self._used_s = 0.0
        self._longest_s = 0.0

    def check(self) -> None:
        """Compare the time since the last check with the period."""
        now, used_s = self._clock.monotonic(), self._processor_s()
        if self._checked_at is not None:
            late_s = now - self._checked_at - self._period_s
            if late_s >= STALL_S:
                self._report(late_s, used_s - self._used_s)
        self._checked_at, self._used_s = now, used_s

    def _report(self, late_s: float, worked_s: float) -> None:
        self._longest_s = max(self._longest_s, late_s)
        self._metrics.count("loop_stalls")
        self._metrics.gauge("loop_stall_longest_s", self._longest_s)
        logs.warn(logs.Event.LOOP_STALLED, late_s=late_s, processor_s=worked_s)
