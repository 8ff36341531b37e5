"""Estimate what the recent calls of each priority need."""

import math

from attrs import define

WINDOW_S = 1.0
"""Seconds after which the weight of a counted call has decayed to 1/e."""
MIN_SPARE_SHARE = 0.1
"""Share of the slots assumed to be free of more urgent calls, however many come."""


@define(kw_only=True)
class _Need:
    """Exponentially decaying averages of what the calls of a priority need."""

    slots: float = 0.0
    calls_per_s: float = 0.0
    counted_at: float = 0.0

    def decay(self, now: float) -> None:
        """Decay the averages to a point in time."""
        weight = math.exp((self.counted_at - now) / WINDOW_S)
        self.slots *= weight
        self.calls_per_s *= weight
        self.counted_at = now


class Demand:
    """Counts calls as they arrive, whether or not they are admitted."""

    def __init__(self) -> None:
        self._need_by_priority: dict[int, _Need] = {}

    def count(self, priority: int, run_s: float, now: float) -> None:
        """Count a call that is expected to hold a slot for `run_s` seconds."""
        need = self._need_by_priority.setdefault(priority, _Need())
        need.decay(now)
        need.slots += run_s / WINDOW_S
        need.calls_per_s += 1.0 / WINDOW_S

    def spare_slots(self, slots: int, priority: int, now: float) -> float:
        """Return the slots left by more urgent calls, which keep arriving."""
        slots = max(1, slots)
        more_urgent = sum(need.slots for need in self._above(priority, now))
        return max(slots * MIN_SPARE_SHARE, slots - more_urgent)

    def calls_per_s_above(self, priority: int, now: float) -> float:
        """Return the calls a second that are more urgent than a priority."""
        return sum(need.calls_per_s for need in self._above(priority, now))

    def _above(self, priority: int, now: float) -> list[_Need]:
        needs = [n for other, n in self._need_by_priority.items() if other < priority]
        for need in needs:
            need.decay(now)
        return needs
