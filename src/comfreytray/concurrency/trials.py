"""Decides by trials which slots of an upstream add throughput.

A slot is judged only by calls that ran while all slots in use were taken, with the
number of slots set by a trial. In ordinary operation many calls run at once because
they take long (a service that they call is slow), so the times seen at each number of
calls would show load where there is none. They serve only to spare a slot its trial:
where even they show a gain, there is one.
"""

import math
from enum import Enum

from attrs import define

from comfreytray.common.interfaces import Clock
from comfreytray.concurrency.leveltimes import Comparison, LevelTimes

MIN_GAIN = 1.08
"""Ratio of the throughput with a slot to that without it, from which it is used. At 4
calls, a sound upstream whose calls take 1.6 times as long as alone has 1.17, and one
with nothing left to share has 1.0."""
MIN_SAMPLES = 40
"""Calls with all slots in use before one of them is put on trial."""
MIN_TRIAL_SAMPLES = 10
"""Calls in a trial before the slot is judged."""
MAX_SAMPLES = 400
"""Calls in a trial after which a slot that is still in doubt is used as before."""
MAX_TRIAL_S = 5.0
"""Time after which a slot that is still in doubt is used as before."""
REJECT_ERRORS = 3.0
"""Standard errors by which a slot must miss MIN_GAIN to be left unused."""
ACCEPT_ERRORS = 0.8
"""Standard errors by which a slot must exceed MIN_GAIN to end a trial early. A trial
without a useful slot costs throughput, so it is short."""
FIRST_INTERVAL_S = 5.0
MAX_INTERVAL_S = 60.0
"""Longest time between trials of a useful slot; each costs its throughput."""
MAX_UNUSED_INTERVAL_S = 15.0
"""Longest time between trials of an unused slot: it may have become useful without any
effect on the calls that run."""
MAX_LEVEL_DIFFERENCE = 0.25
"""Difference up to which a mean number of concurrent calls counts as a whole number."""
MIN_TICK_S = 0.1
"""Time between two looks at the samples."""
SUSPECT_RATIO = 1.15
"""Ratio of the times to those at the last trial from which a slot is put on trial at
once."""


class Verdict(Enum):
    """Whether a slot adds throughput."""

    USEFUL = "useful"
    USELESS = "useless"
    DOUBTFUL = "doubtful"
    """It seems useless, though not by enough: it is tried again soon."""


@define(kw_only=True)
class _Schedule:
    """Time of the next trial; the interval doubles while trials change nothing."""

    due_at: float
    max_interval_s: float
    interval_s: float = FIRST_INTERVAL_S

    def set(self, now: float) -> None:
        """Make a trial due at once, with the first interval after it."""
        self.due_at = now
        self.interval_s = FIRST_INTERVAL_S

    def postpone(self, now: float) -> None:
        """Make the next trial due after the interval, and double the interval."""
        self.due_at = now + self.interval_s
        self.interval_s = min(self.max_interval_s, 2.0 * self.interval_s)


@define(kw_only=True)
class _Trial:
    """A trial of the slot `slot` (counted from 1), with `limit` slots in use."""

    slot: int
    limit: int
    began_at: float
    samples: int = 0


class SlotTrials:
    """Finds how many slots of an upstream add throughput."""

    def __init__(self, *, clock: Clock, slots: int) -> None:
        self._clock = clock
        self._slots = slots
        self._useful = slots
        self._times = LevelTimes(clock=clock)
        """Times of calls that ran while all slots in use were taken."""
        self._all_times = LevelTimes(clock=clock)
        self._trial: _Trial | None = None
        now = clock.monotonic()
        self._looked_at = now
        self._without = _Schedule(due_at=now, max_interval_s=MAX_INTERVAL_S)
        self._with = _Schedule(due_at=now, max_interval_s=MAX_UNUSED_INTERVAL_S)

    @property
    def limit(self) -> int:
        """Return the number of slots to use now."""
        return self._trial.limit if self._trial is not None else self._useful

    def record(self, kind: str, took_s: float, *, running: float) -> None:
        """Record a call that ran beside others, `running` with itself on average."""
        level = round(running)
        if abs(running - level) <= MAX_LEVEL_DIFFERENCE and 0 < level <= self._slots:
            self._all_times.record(level, kind, took_s)
        if running < self.limit - MAX_LEVEL_DIFFERENCE:
            return
        self._times.record(self.limit, kind, took_s)
        if self._trial is not None:
            self._trial.samples += 1

    def tick(self) -> None:
        """End a trial that is decided, and start one that is due."""
        now = self._clock.monotonic()
        if now - self._looked_at < MIN_TICK_S:
            return
        self._looked_at = now
        if self._trial is not None:
            verdict = self._judge(self._trial)
            if verdict is not None:
                self._end(self._trial, verdict)
        if self._trial is None:
            self._check_times()
            self._start()

    def _check_times(self) -> None:
        """Make a trial due if calls have become slower since the last one."""
        if self._clock.monotonic() >= self._without.due_at:
            return
        comparison = self._times.compare_with_reference(self._useful)
        if comparison is None:
            return
        excess = comparison.log_ratio - math.log(SUSPECT_RATIO)
        if excess > REJECT_ERRORS * comparison.error:
            # The earlier times would hide the change from the trial.
            self._times.forget(self._useful)
            self._all_times = LevelTimes(clock=self._clock)
            self._without.set(self._clock.monotonic())

    def _start(self) -> None:
        now = self._clock.monotonic()
        useful = self._useful
        if useful < self._slots and now >= self._with.due_at:
            self._times.forget(useful + 1)
            self._trial = _Trial(slot=useful + 1, limit=useful + 1, began_at=now)
        elif (
            useful > 1
            and now >= self._without.due_at
            and self._times.weight(useful) >= MIN_SAMPLES
        ):
            if self._is_spared(useful):
                self._times.set_reference(useful)
                self._without.postpone(now)
            else:
                self._trial = _Trial(slot=useful, limit=useful - 1, began_at=now)

    def _is_spared(self, slot: int) -> bool:
        """Whether the times of all calls show that a slot adds throughput."""
        if self._all_times.weight(slot - 1) < MIN_SAMPLES:
            return False
        comparison = self._all_times.compare(slot)
        if comparison is None:
            return False
        return -_missed(slot, comparison) > ACCEPT_ERRORS * comparison.error

    def _judge(self, trial: _Trial) -> Verdict | None:
        """Return the verdict on a slot, None while it is in doubt."""
        missed = 0.0
        if trial.samples >= MIN_TRIAL_SAMPLES:
            comparison = self._times.compare(trial.slot)
            if comparison is not None:
                missed = _missed(trial.slot, comparison)
                if missed > REJECT_ERRORS * comparison.error:
                    return Verdict.USELESS
                if -missed > ACCEPT_ERRORS * comparison.error:
                    return Verdict.USEFUL
        lasted_s = self._clock.monotonic() - trial.began_at
        if trial.samples < MAX_SAMPLES and lasted_s < MAX_TRIAL_S:
            return None
        if trial.samples < MIN_TRIAL_SAMPLES or missed <= 0.0:
            # Without calls that wait for a slot it can't be judged, and does no harm.
            return Verdict.USEFUL
        return Verdict.DOUBTFUL

    def _end(self, trial: _Trial, verdict: Verdict) -> None:
        self._trial = None
        self._times.set_reference(trial.slot)
        now = self._clock.monotonic()
        before = self._useful
        if verdict is Verdict.USEFUL:
            self._useful = trial.slot
        elif verdict is Verdict.USELESS:
            self._useful = trial.slot - 1
        if self._useful < before:
            self._without.set(now)
            self._with.set(now)
            self._with.postpone(now)
            return
        if self._useful > before:
            self._with.set(now)
            self._without.set(now)
            self._without.postpone(now)
            return
        schedule = self._without if trial.slot == before else self._with
        if verdict is Verdict.DOUBTFUL:
            schedule.set(now)
        schedule.postpone(now)


def _missed(slot: int, comparison: Comparison) -> float:
    """Return by how much, as a logarithm, the gain of a slot is below MIN_GAIN."""
    return comparison.log_ratio - math.log(slot / (slot - 1) / MIN_GAIN)
