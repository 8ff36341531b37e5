"""Follow how many slots the calls of each priority have needed of late."""

import math

from attrs import define

WINDOW_S = 1.0
"""Time in which what was counted loses most of its weight."""


@define(kw_only=True)
class _DecayingSlots:
    slots: float = 0.0
    counted_at: float = 0.0

    def decayed_to(self, now: float) -> float:
        """Give the slots in use on average, faded to a moment."""
        return self.slots * math.exp((self.counted_at - now) / WINDOW_S)


class Demand:
    """Count calls as they come, admitted or not."""

    def __init__(self) -> None:
        self._need_by_priority: dict[int, _DecayingSlots] = {}

    def count(self, priority: int, run_s: float, now: float) -> None:
        """Count a call that would hold a slot for so long."""
        needed = self._need_by_priority.setdefault(priority, _DecayingSlots())
        needed.slots = needed.decayed_to(now) + run_s / WINDOW_S
        needed.counted_at = now

    def slots_needed_above(self, priority: int, now: float) -> float:
        """Give the slots that calls more urgent than a priority need."""
        return sum(
            needed.decayed_to(now)
            for other, needed in self._need_by_priority.items()
            if other < priority
        )
