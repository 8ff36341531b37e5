"""The limit on concurrent calls at the upstream beside this node.

It is at most the announced slots and at least 1, and in force only while the upstream
reports a pace; without one the announced slots are used.
"""

from collections import deque

from attrs import define

from comfreytray.common import logs
from comfreytray.common.interfaces import Clock
from comfreytray.concurrency.integrals import StepIntegral
from comfreytray.concurrency.reports import LoadReport
from comfreytray.concurrency.trials import SlotTrials

LIFT_AFTER_S = 0.5
"""Time after the last pace from which an answer without one ends the limit; single
answers, such as errors, may lack the header."""
MAX_PACE_CHANGE = 1.5
"""Change of pace, as a factor, during a call from which its time is not used: it can't
be told which part of the call ran at which pace."""
MIN_TOOK_S = 0.0001
OTHERS_REPORTS = 3
"""Newest answers of which the one with the fewest unknown calls counts. The numbers in
an answer may be older than the ends of calls that this node has seen."""
OTHERS_VALID_S = 1.0
MAX_OTHERS_S = 15.0
"""Time after which calls that are still unknown are no longer believed: an upstream may
count work of its own."""
LOG_INTERVAL_S = 1.0


@define(kw_only=True, eq=False)
class Run:
    """A call that runs at the upstream."""

    kind: str
    period: int
    began_at: float
    running_sum: float
    pace_sum: float
    first_pace: float
    took_s: float = 0.0
    """Seconds that it took; 0 until it has ended."""
    running: float = 0.0
    """Mean number of calls that ran at the same time, itself included."""
    pace: float = 0.0
    """Mean pace while it ran."""
    has_ended: bool = False


class ConcurrencyLimiter:
    """Determines how many concurrent calls the local upstream handles well."""

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._instance_id = ""
        self._slots = 0
        self._is_cold = False
        self._running = StepIntegral(clock=clock)
        self._pace = StepIntegral(clock=clock)
        self._paced_at = 0.0
        self._reported_slots = 0
        self._others_since = 0.0
        self._others: deque[tuple[float, int]] = deque(maxlen=OTHERS_REPORTS)
        self._trials: SlotTrials | None = None
        self._period = 0
        self._limit = 0
        self._logged_at = -LOG_INTERVAL_S
        self._logged = 0

    @property
    def pace(self) -> float:
        """Return the pace last reported, in percent of the usual time; 0 if none."""
        return self._pace.value

    def limit(self, instance_id: str, slots: int, *, is_cold: bool) -> int:
        """Return the number of slots to use, of those that the instance has."""
        if instance_id != self._instance_id:
            self._reset(instance_id)
        if slots != self._slots:
            self._slots = slots
            self._reported_slots = 0
            self._trials = None
        self._is_cold = is_cold
        limit = self._find_limit()
        if limit != self._limit:
            self._limit = limit
            self._period += 1
        self._log()
        return limit

    def learn(self, instance_id: str, report: LoadReport | None) -> None:
        """Process the load report of an answer; None if the answer has none."""
        if instance_id != self._instance_id:
            return
        now = self._clock.monotonic()
        if report is None or report.pace is None:
            if self.pace and now - self._paced_at >= LIFT_AFTER_S:
                self._reset(instance_id)
            return
        self._paced_at = now
        self._pace.set(report.pace)
        self._reported_slots = report.slots
        unknown = report.running + report.queued - int(self._running.value)
        is_first = not self._others or now - self._others[-1][0] > OTHERS_VALID_S
        if unknown <= 0 or is_first:
            self._others_since = now
        self._others.append((now, max(0, unknown)))

    def begin(self, kind: str) -> Run:
        """Count a call that is sent to the upstream."""
        run = Run(
            kind=kind,
            period=self._period,
            began_at=self._clock.monotonic(),
            running_sum=self._running.sum,
            pace_sum=self._pace.sum,
            first_pace=self.pace,
        )
        self._running.set(self._running.value + 1)
        return run

    def end(self, run: Run) -> None:
        """Count a call as ended; a second time has no effect."""
        if run.has_ended:
            return
        run.has_ended = True
        run.took_s = self._clock.monotonic() - run.began_at
        if run.took_s > 0.0:
            run.running = (self._running.sum - run.running_sum) / run.took_s
            run.pace = (self._pace.sum - run.pace_sum) / run.took_s
        self._running.set(self._running.value - 1)

    def record(self, run: Run) -> None:
        """Use the time of a call that has ended with a success."""
        if self._trials is None or not self._is_measurable(run):
            return
        took_s = run.took_s * 100.0 / run.pace
        self._trials.record(run.kind, took_s, running=run.running)

    def _is_measurable(self, run: Run) -> bool:
        if self._is_cold or run.period != self._period or not run.has_ended:
            return False
        if run.took_s < MIN_TOOK_S or not run.first_pace or not self.pace:
            return False
        change = self.pace / run.first_pace
        return 1.0 / MAX_PACE_CHANGE <= change <= MAX_PACE_CHANGE

    def _reset(self, instance_id: str) -> None:
        self._instance_id = instance_id
        self._period += 1
        self._pace.set(0.0)
        self._reported_slots = 0
        self._others.clear()
        self._others_since = self._clock.monotonic()
        self._trials = None

    def _find_limit(self) -> int:
        if not self.pace:
            return self._slots
        if self._trials is None:
            self._trials = SlotTrials(clock=self._clock, slots=max(1, self._slots))
        self._trials.tick()
        limit = min(self._slots, self._trials.limit)
        if self._reported_slots:
            limit = min(limit, self._reported_slots)
        return max(min(1, self._slots), limit - self._count_others())

    def _count_others(self) -> int:
        """Return the calls at the upstream that this process has not sent.

        They are calls of an earlier process, or calls that this one has given up while
        the upstream still works on them.
        """
        now = self._clock.monotonic()
        if now - self._others_since > MAX_OTHERS_S:
            return 0
        since = now - OTHERS_VALID_S
        return min((count for at, count in self._others if at >= since), default=0)

    def _log(self) -> None:
        now = self._clock.monotonic()
        if self._limit == self._logged or now - self._logged_at < LOG_INTERVAL_S:
            return
        if self._logged and self.pace:
            logs.log(
                logs.Event.ENDPOINT_CONCURRENCY,
                instance=self._instance_id,
                before=self._logged,
                limit=self._limit,
                slots=self._slots,
                pace=self.pace,
            )
        self._logged = self._limit
        self._logged_at = now
