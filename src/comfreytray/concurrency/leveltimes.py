"""Run times by concurrency level and kind of call, and their comparison.

Times are kept as logarithms: one very long call then weighs little, and the difference
of two means is the ratio of the times. Levels are compared within each kind, so a
change in the mix of kinds is not taken for load.
"""

import math
from collections.abc import Mapping

from attrs import define, evolve, frozen

from comfreytray.common.interfaces import Clock

HALF_LIFE_S = 15.0
"""Time in which the weight of a sample halves."""
MAX_KINDS = 32
"""Kinds of a level that are told apart; the others are ignored."""
FIRST_VARIANCE = 0.36
"""Variance of the logarithm that is assumed beside the first samples."""
FIRST_VARIANCE_WEIGHT = 10.0


@define(kw_only=True)
class _Samples:
    """Weighted mean and squared deviations of the logarithm of run times."""

    weight: float = 0.0
    mean: float = 0.0
    squares: float = 0.0
    updated_at: float = 0.0

    def decay(self, now: float) -> None:
        """Reduce the weight of the samples by their age."""
        factor = math.exp2((self.updated_at - now) / HALF_LIFE_S)
        self.weight *= factor
        self.squares *= factor
        self.updated_at = now

    def add(self, value: float) -> None:
        """Add a sample of weight 1."""
        self.weight += 1.0
        before = value - self.mean
        self.mean += before / self.weight
        self.squares += before * (value - self.mean)


@frozen(kw_only=True)
class Comparison:
    """How much longer calls take in one set of samples than in another."""

    log_ratio: float
    """Natural logarithm of the ratio of the times."""
    error: float
    """Standard error of `log_ratio`."""


class LevelTimes:
    """Holds run times by concurrency level and kind of call."""

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._samples_by_kind_by_level: dict[int, dict[str, _Samples]] = {}
        self._reference_level = 0
        self._reference_by_kind: dict[str, _Samples] = {}

    def record(self, level: int, kind: str, took_s: float) -> None:
        """Record a call that ran while `level` calls ran, itself included."""
        by_kind = self._samples_by_kind_by_level.setdefault(level, {})
        samples = by_kind.get(kind)
        if samples is None:
            if len(by_kind) >= MAX_KINDS:
                return
            samples = by_kind[kind] = _Samples(updated_at=self._clock.monotonic())
        samples.decay(self._clock.monotonic())
        samples.add(math.log(took_s))

    def weight(self, level: int) -> float:
        """Return the number of samples at a level, each reduced by its age."""
        return sum(samples.weight for samples in self._fresh(level).values())

    def forget(self, level: int) -> None:
        """Forget the samples of a level."""
        self._samples_by_kind_by_level.pop(level, None)

    def compare(self, level: int) -> Comparison | None:
        """Compare a level with the one below it; None without common kinds."""
        return _compare(self._fresh(level), self._fresh(level - 1))

    def set_reference(self, level: int) -> None:
        """Keep the present times at a level, to compare later ones with them."""
        self._reference_level = level
        by_kind = self._fresh(level)
        self._reference_by_kind = {kind: evolve(by_kind[kind]) for kind in by_kind}

    def compare_with_reference(self, level: int) -> Comparison | None:
        """Compare a level's times with the reference; None if it is of another one."""
        if level != self._reference_level:
            return None
        return _compare(self._fresh(level), self._reference_by_kind)

    def _fresh(self, level: int) -> dict[str, _Samples]:
        """Return the samples of a level, their weights reduced by their age."""
        now = self._clock.monotonic()
        by_kind = self._samples_by_kind_by_level.get(level, {})
        for samples in by_kind.values():
            samples.decay(now)
        return by_kind


def _compare(
    upper: Mapping[str, _Samples], lower: Mapping[str, _Samples]
) -> Comparison | None:
    """Compare two sets of samples by kind; None without common kinds."""
    squares = FIRST_VARIANCE * FIRST_VARIANCE_WEIGHT
    freedom = FIRST_VARIANCE_WEIGHT
    precision = difference = 0.0
    for kind in upper.keys() & lower.keys():
        above, below = upper[kind], lower[kind]
        total = above.weight + below.weight
        if min(above.weight, below.weight) <= 0.0:
            continue
        kind_precision = above.weight * below.weight / total
        precision += kind_precision
        difference += kind_precision * (above.mean - below.mean)
        squares += above.squares + below.squares
        freedom += max(0.0, total - 2.0)
    if precision <= 0.0:
        return None
    return Comparison(
        log_ratio=difference / precision,
        error=math.sqrt(squares / freedom / precision),
    )
