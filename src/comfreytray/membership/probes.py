"""Probes: whom to ask next, and which answers are still awaited."""

import random

from attrs import define, field

from comfreytray.common.interfaces import Address
from comfreytray.common.records import NodeRecord

PROBE_INTERVAL_S = 1.0
DIRECT_TIMEOUT_S = 0.4
PROBE_TIMEOUT_S = 0.9
HELPER_TIMEOUT_S = 0.35
HELPERS = 3
FINAL_PROBES = 2
"""Probes in a row that must fail before a suspect is taken for dead."""
CROSS_REGION_PROBES_PER_S = 10.0
"""Probes to other regions by all members of a region together."""
DEAD_PROBES_PER_S = 2.0
"""Probes of members taken for dead by all members together."""


@define(kw_only=True)
class Probe:
    """Follow one probe until it is answered or fails."""

    target_id: str
    incarnation: int
    started_at: float
    indirect_at: float
    fails_at: float
    final_probes_left: int = 0
    """Last probes, this one included, before the target is taken for dead."""
    is_indirect: bool = False
    helpers: int = 0
    nacks: int = 0


@define(kw_only=True)
class Relay:
    """Follow a ping sent on behalf of another member."""

    requester: Address
    sequence: int
    expires_at: float


@define(kw_only=True)
class Ring:
    """Go through members in random order, each once a round."""

    random: random.Random
    _order: list[str] = field(factory=list)

    def next(self, candidates: list[str]) -> str | None:
        """Choose the next member among the candidates of now."""
        if not candidates:
            return None
        allowed = set(candidates)
        for _ in range(2):
            while self._order:
                chosen = self._order.pop()
                if chosen in allowed:
                    return chosen
            self._order = list(candidates)
            self.random.shuffle(self._order)
        return None


@define(kw_only=True)
class Probes:
    """Hold the probes under way."""

    by_sequence: dict[int, Probe] = field(factory=dict)
    relay_by_sequence: dict[int, Relay] = field(factory=dict)
    _sequence: int = 0

    def start(
        self,
        target: NodeRecord,
        now: float,
        timeout_factor: float,
        final_probes_left: int = 0,
    ) -> int:
        """Begin a probe and return its sequence number."""
        self._sequence += 1
        self.by_sequence[self._sequence] = Probe(
            target_id=target.node_id,
            incarnation=target.incarnation,
            started_at=now,
            indirect_at=now + DIRECT_TIMEOUT_S * timeout_factor,
            fails_at=now + PROBE_TIMEOUT_S * timeout_factor,
            final_probes_left=final_probes_left,
        )
        return self._sequence

    def relay(self, requester: Address, sequence: int, now: float) -> int:
        """Begin a ping for another member and return its sequence number."""
        self._sequence += 1
        self.relay_by_sequence[self._sequence] = Relay(
            requester=requester,
            sequence=sequence,
            expires_at=now + HELPER_TIMEOUT_S,
        )
        return self._sequence

    def take_due_indirect(self, now: float) -> list[tuple[int, Probe]]:
        """Return, once each, the probes whose direct answer is late."""
        late = [
            (sequence, probe)
            for sequence, probe in self.by_sequence.items()
            if not probe.is_indirect and probe.indirect_at <= now < probe.fails_at
        ]
        for _, probe in late:
            probe.is_indirect = True
        return late

    def take_failed(self, now: float) -> list[Probe]:
        """Remove and return the probes that had no answer at all."""
        failed = [s for s, probe in self.by_sequence.items() if probe.fails_at <= now]
        return [self.by_sequence.pop(sequence) for sequence in failed]

    def take_expired_relays(self, now: float) -> list[Relay]:
        """Remove and return the pings for others that had no answer."""
        expired = [s for s, r in self.relay_by_sequence.items() if r.expires_at <= now]
        return [self.relay_by_sequence.pop(sequence) for sequence in expired]

    def abandon(self) -> None:
        """Forget all probes, as their answers may have come while paused."""
        self.by_sequence.clear()
        self.relay_by_sequence.clear()
