"""Timers of members under suspicion, and the test for places that are cut off."""

import math

from attrs import define, field

SUSPICION_MIN_S = 2.0
SUSPICION_MAX_S = 8.0
CONFIRMATIONS = 3
"""Independent accusers after which the shortest time-out holds."""
HOLD_S = 1800.0
"""How long members of a place that is cut off stay suspect."""
RECHECK_S = 1.0


@define(kw_only=True)
class Suspicion:
    """Follow one member under suspicion."""

    started_at: float
    deadline: float
    accusers: set[str] = field(factory=set)


@define(kw_only=True)
class Suspicions:
    """Hold the timers of all members under suspicion."""

    by_id: dict[str, Suspicion] = field(factory=dict)

    def accuse(self, node_id: str, accuser: str, *, now: float, stretch: float) -> bool:
        """Start or shorten a timer; say whether this accuser is worth repeating."""
        suspicion = self.by_id.get(node_id)
        if suspicion is None:
            deadline = now + SUSPICION_MAX_S * stretch
            suspicion = Suspicion(started_at=now, deadline=deadline)
            self.by_id[node_id] = suspicion
        if accuser in suspicion.accusers or len(suspicion.accusers) > CONFIRMATIONS:
            return False
        suspicion.accusers.add(accuser)
        timeout = _timeout(len(suspicion.accusers) - 1) * stretch
        suspicion.deadline = min(suspicion.deadline, suspicion.started_at + timeout)
        return True

    def clear(self, node_id: str) -> None:
        """Stop the timer of a member."""
        self.by_id.pop(node_id, None)

    def expired(self, now: float) -> list[tuple[str, Suspicion]]:
        """List the members whose time is over."""
        return [
            (node_id, suspicion)
            for node_id, suspicion in self.by_id.items()
            if suspicion.deadline <= now
        ]

    def postpone(self, now: float) -> None:
        """Give every member a whole time-out from now on, after a pause."""
        for suspicion in self.by_id.values():
            suspicion.started_at = now
            suspicion.deadline = now + SUSPICION_MAX_S


def _timeout(confirmations: int) -> float:
    share = math.log(confirmations + 1) / math.log(CONFIRMATIONS + 1)
    return max(
        SUSPICION_MIN_S, SUSPICION_MAX_S - share * (SUSPICION_MAX_S - SUSPICION_MIN_S)
    )
