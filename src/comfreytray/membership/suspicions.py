"""Timers of suspect members; they run only once the member's zone is heard from.

A zone is a data centre, or a region for a data centre with too few members.
"""

import math
from collections.abc import Callable

from attrs import define, field

SUSPICION_MIN_S = 2.0
SUSPICION_MAX_S = 8.0
CONFIRMATIONS = 3
"""Independent accusers, besides the first, from which on the time-out is shortest."""
ZONE_SILENCE_S = 2.0
"""Silence of a zone after which its members get the long time-out."""
LONG_TIMEOUT_S = 30.0
"""Time to refute for members of another region, or of a zone that was silent."""
FINAL_PROBE_INTERVAL_S = 15.0
"""Shortest time between two rounds of final probes of one suspect."""
SILENT_ZONE_TIMEOUT_S = 600.0
"""Time for which members of a zone that stays silent are kept as suspect."""


@define(kw_only=True)
class Suspicion:
    """Hold the timer of one suspect member."""

    started_at: float
    timeout_factor: float
    is_far: bool
    """Whether the suspect is in another region, so that members there decide first."""
    heard_at: float | None = None
    """When the member's zone was first heard from after the accusation."""
    final_probe_at: float = -math.inf
    accusers: set[str] = field(factory=set)

    @property
    def deadline(self) -> float:
        """Return the time from which on the member may be declared dead."""
        if self.heard_at is None:
            return self.started_at + SILENT_ZONE_TIMEOUT_S
        if self.is_far or self.heard_at - self.started_at > ZONE_SILENCE_S:
            return self.heard_at + LONG_TIMEOUT_S
        return self.heard_at + _timeout(len(self.accusers)) * self.timeout_factor


@define(kw_only=True)
class Suspicions:
    """Hold the timers of all suspect members."""

    by_id: dict[str, Suspicion] = field(factory=dict)

    def accuse(
        self,
        node_id: str,
        accuser: str,
        *,
        now: float,
        timeout_factor: float,
        is_far: bool,
    ) -> bool:
        """Start or shorten a timer; return whether to spread this accuser's claim."""
        suspicion = self.by_id.get(node_id)
        if suspicion is None:
            suspicion = Suspicion(
                started_at=now, timeout_factor=timeout_factor, is_far=is_far
            )
            self.by_id[node_id] = suspicion
        if accuser in suspicion.accusers or len(suspicion.accusers) > CONFIRMATIONS:
            return False
        suspicion.accusers.add(accuser)
        return True

    def clear(self, node_id: str) -> None:
        """Stop the timer of a member."""
        self.by_id.pop(node_id, None)

    def due(
        self, now: float, is_heard_since: Callable[[str, float], bool]
    ) -> list[str]:
        """Return the members whose time-out expired and that are not being probed."""
        due: list[str] = []
        for node_id, suspicion in self.by_id.items():
            if suspicion.heard_at is None and is_heard_since(
                node_id, suspicion.started_at
            ):
                suspicion.heard_at = now
            if (
                max(
                    suspicion.deadline,
                    suspicion.final_probe_at + FINAL_PROBE_INTERVAL_S,
                )
                <= now
            ):
                due.append(node_id)
        return due

    def restart(self, now: float) -> None:
        """Restart every time-out from now on, after a pause of this node."""
        for suspicion in self.by_id.values():
            suspicion.started_at = now
            suspicion.heard_at = None
            suspicion.accusers.clear()


def _timeout(accusers: int) -> float:
    confirmations = max(0, accusers - 1)
    share = math.log(confirmations + 1) / math.log(CONFIRMATIONS + 1)
    return max(
        SUSPICION_MIN_S, SUSPICION_MAX_S - share * (SUSPICION_MAX_S - SUSPICION_MIN_S)
    )
