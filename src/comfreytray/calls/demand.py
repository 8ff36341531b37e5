"""Estimate how many slots the recent calls of each priority need."""

import math

from attrs import define

WINDOW_S = 1.0
"""Seconds after which the weight of a counted call has decayed to 1/e."""


@define(kw_only=True)
class _DecayingSlots:
    """An exponentially decaying average of the slots that are needed."""

    slots: float = 0.0
    counted_at: float = 0.0

    def decayed_to(self, now: float) -> float:
        """Return the average as decayed by a point in time."""
        return self.slots * math.exp((self.counted_at - now) / WINDOW_S)


class Demand:
    """Counts calls as they arrive, whether or not they are admitted."""

    def __init__(self) -> None:
        self._need_by_priority: dict[int, _DecayingSlots] = {}

    def count(self, priority: int, run_s: float, now: float) -> None:
        """Count a call that is expected to hold a slot for `run_s` seconds."""
        needed = self._need_by_priority.setdefault(priority, _DecayingSlots())
        needed.slots = needed.decayed_to(now) + run_s / WINDOW_S
        needed.counted_at = now

    def slots_needed_above(self, priority: int, now: float) -> float:
        """Return the slots needed by calls that are more urgent than a priority."""
        return sum(
            needed.decayed_to(now)
            for other, needed in self._need_by_priority.items()
            if other < priority
        )
