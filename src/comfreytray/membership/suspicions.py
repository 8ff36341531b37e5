"""Timers of members under suspicion; they run only while a member's place is heard."""

import math
from collections.abc import Callable

from attrs import define, field

SUSPICION_MIN_S = 2.0
SUSPICION_MAX_S = 8.0
CONFIRMATIONS = 3
"""Independent accusers after which the shortest time-out holds."""
ZONE_SILENCE_S = 2.0
"""Silence of a place after which its members get the long time-out."""
LONG_TIMEOUT_S = 30.0
"""Time to refute for members of another region, and of a place that was silent."""
FINAL_PROBE_INTERVAL_S = 15.0
SILENT_ZONE_TIMEOUT_S = 600.0
"""How long members of a place that stays silent are kept as suspect."""


@define(kw_only=True)
class Suspicion:
    """Follow one member under suspicion."""

    started_at: float
    timeout_factor: float
    is_far: bool
    """Whether members nearer to the suspect judge it first."""
    heard_at: float | None = None
    """When the member's place was first heard after the accusation."""
    final_probe_at: float = -math.inf
    accusers: set[str] = field(factory=set)

    @property
    def deadline(self) -> float:
        """Give the time at which the member is taken for dead."""
        if self.heard_at is None:
            return self.started_at + SILENT_ZONE_TIMEOUT_S
        if self.is_far or self.heard_at - self.started_at > ZONE_SILENCE_S:
            return self.heard_at + LONG_TIMEOUT_S
        return self.heard_at + _timeout(len(self.accusers)) * self.timeout_factor


@define(kw_only=True)
class Suspicions:
    """Hold the timers of all members under suspicion."""

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
        """Start or shorten a timer; say whether this accuser is worth repeating."""
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
        """List the members whose time is over and that are not being judged."""
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
        """Give every member a whole time-out from now on, after a pause."""
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
