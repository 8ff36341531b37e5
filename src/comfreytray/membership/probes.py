"""Probes: the choice of the next target, and the answers still outstanding."""

import random

from attrs import define, field

from comfreytray.common.interfaces import Address
from comfreytray.common.records import NodeRecord

PROBE_INTERVAL_S = 1.0
DIRECT_TIMEOUT_S = 0.4
"""Wait for a direct answer before helpers are asked to ping the target."""
PROBE_TIMEOUT_S = 0.9
"""Time after which a probe has failed, answers through helpers included."""
HELPER_TIMEOUT_S = 0.35
"""Wait of a helper before it reports that the target did not answer."""
HELPERS = 3
"""Members asked to ping a target that did not answer directly."""
FINAL_PROBES = 2
"""Consecutive probes that must fail before a suspect is declared dead."""
CROSS_REGION_PROBES_PER_S = 10.0
"""Probes of other regions sent by all members of a region together."""
DEAD_PROBES_PER_S = 2.0
"""Probes of dead members sent by all members together."""


@define(kw_only=True)
class Probe:
    """Hold the state of a probe until it is answered or fails."""

    target_id: str
    incarnation: int
    started_at: float
    indirect_at: float
    """When helpers are asked, unless the target has answered."""
    fails_at: float
    final_probes_left: int = 0
    """Probes left, this one included, to declare the target dead; 0 if not final."""
    indirect_sent: bool = False
    """Whether helpers have been asked."""
    helpers: int = 0
    """Helpers that were asked."""
    nacks: int = 0
    """Helpers that reported no answer; if none does, this node may be at fault."""


@define(kw_only=True)
class Relay:
    """Hold the state of a ping sent on behalf of another member."""

    requester: Address
    sequence: int
    expires_at: float


@define(kw_only=True)
class Ring:
    """Iterate over members in random order, each once a round."""

    random: random.Random
    _order: list[str] = field(factory=list)

    def next(self, candidates: list[str]) -> str | None:
        """Return the next member among the current candidates."""
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
    """Hold the probes and relayed pings in progress."""

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
        """Start a probe and return its sequence number."""
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
        """Start a ping for another member and return its sequence number."""
        self._sequence += 1
        self.relay_by_sequence[self._sequence] = Relay(
            requester=requester,
            sequence=sequence,
            expires_at=now + HELPER_TIMEOUT_S,
        )
        return self._sequence

    def take_due_indirect(self, now: float) -> list[tuple[int, Probe]]:
        """Return the probes that now need helpers, each of them once."""
        late = [
            (sequence, probe)
            for sequence, probe in self.by_sequence.items()
            if not probe.indirect_sent and probe.indirect_at <= now < probe.fails_at
        ]
        for _, probe in late:
            probe.indirect_sent = True
        return late

    def take_failed(self, now: float) -> list[Probe]:
        """Remove and return the probes that timed out."""
        failed = [s for s, probe in self.by_sequence.items() if probe.fails_at <= now]
        return [self.by_sequence.pop(sequence) for sequence in failed]

    def take_expired_relays(self, now: float) -> list[Relay]:
        """Remove and return the relayed pings that timed out."""
        expired = [s for s, r in self.relay_by_sequence.items() if r.expires_at <= now]
        return [self.relay_by_sequence.pop(sequence) for sequence in expired]

    def abandon(self) -> None:
        """Discard all probes, as their answers may have arrived during a pause."""
        self.by_sequence.clear()
        self.relay_by_sequence.clear()
