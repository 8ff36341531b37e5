"""Gossip of updates within a byte budget, with few sends across regions."""

import math
import random

from attrs import define, field

from comfreytray.common.interfaces import Clock, Network
from comfreytray.common.records import NodeRecord
from comfreytray.membership.gossip import Gossip
from comfreytray.membership.peers import Peers
from comfreytray.membership.updates import Priority, UpdateQueue
from comfreytray.transport.wire import MAX_DATAGRAM_BYTES

FANOUT = 3
"""Members that receive each round of updates."""
SENDS_PER_DECADE = 4
"""Sends of an update for each factor of ten in the number of members."""
WEIGHT_BY_PRIORITY = {
    Priority.LEAVING: 2.0,
    Priority.CHANGED: 1.0,
    Priority.BACKGROUND: 0.5,
}
"""Factors on the number of sends."""
CROSS_REGION_SENDS_BY_PRIORITY = {
    Priority.LEAVING: 20.0,
    Priority.CHANGED: 20.0,
    Priority.BACKGROUND: 5.0,
}
"""Copies of an update that all members of a region together send to other regions."""
MAX_CROSS_REGION_SHARE = 0.5
BYTES_PER_S = 7000.0
"""Rate at which the token bucket for gossip refills."""
BURST_BYTES = 10_000.0
BUSY_UPDATES = 40
"""Queued updates from which on comparing tables works better than gossip."""
DATAGRAM_OVERHEAD_BYTES = 28
"""IPv4 and UDP headers."""
GOSSIP_HEADER_BYTES = 80
"""Allowance for the fields of a gossip message other than its updates."""
PIGGYBACK_BYTES = 500
"""Most bytes of updates that a probe or its answer carries."""
BACKGROUND_ROUND_TICKS = 5
"""Ticks between two rounds while only background updates are queued."""


@define(kw_only=True)
class Disseminator:
    """Send queued updates to random members within a token bucket of bytes."""

    peers: Peers
    clock: Clock
    random: random.Random
    network: Network
    queue: UpdateQueue = field(factory=UpdateQueue)
    _tokens: float = BURST_BYTES
    _refilled_at: float | None = None
    _ticks: int = 0

    @property
    def is_busy(self) -> bool:
        """Whether more updates are queued than gossip is suited to."""
        return len(self.queue) >= BUSY_UPDATES

    def spread(self, key: str, payload: bytes, priority: Priority) -> None:
        """Queue an update, to be sent as often as its priority requires."""
        members = len(self.peers.near) + len(self.peers.far) + 1
        sends = SENDS_PER_DECADE * math.log10(members + 1) + 1
        sends = math.ceil(sends * WEIGHT_BY_PRIORITY[priority])
        self.queue.put(key, payload, sends=sends, priority=priority)

    def piggyback(self) -> tuple[bytes, ...]:
        """Return updates to be carried by another message."""
        return self.queue.take(PIGGYBACK_BYTES)

    def tick(self) -> None:
        """Refill the byte budget and send a round of updates if one is due."""
        self._refill()
        self._ticks += 1
        urgent = self.queue.most_urgent
        if urgent is None:
            return
        if urgent is Priority.BACKGROUND and self._ticks % BACKGROUND_ROUND_TICKS:
            return
        self.send_round()

    def send_round(self) -> None:
        """Send queued updates to a few random members."""
        targets = self._pick_targets()
        room = int(self._tokens) // max(1, len(targets))
        budget = min(MAX_DATAGRAM_BYTES, room - DATAGRAM_OVERHEAD_BYTES)
        if not targets or budget < GOSSIP_HEADER_BYTES * 2:
            return
        updates = self.queue.take(budget - GOSSIP_HEADER_BYTES, copies=len(targets))
        if not updates:
            return
        size = sum(len(update) for update in updates) + GOSSIP_HEADER_BYTES
        message = Gossip(sender_id=self.peers.node_id, updates=updates)
        for record in targets:
            self._tokens -= size + DATAGRAM_OVERHEAD_BYTES
            self.network.send_datagram(record.control_address, message)

    def _refill(self) -> None:
        now = self.clock.monotonic()
        if self._refilled_at is not None:
            gained = (now - self._refilled_at) * BYTES_PER_S
            self._tokens = min(BURST_BYTES, self._tokens + gained)
        self._refilled_at = now

    def _pick_targets(self) -> list[NodeRecord]:
        near, far = self.peers.near_alive.records, self.peers.far_alive.records
        share = self._cross_region_share(len(near), len(far))
        far_count = sum(self.random.random() < share for _ in range(FANOUT))
        far_count = min(far_count, len(far))
        chosen = self.random.sample(far, far_count)
        near_count = min(FANOUT - far_count, len(near))
        return chosen + self.random.sample(near, near_count)

    def _cross_region_share(self, near: int, far: int) -> float:
        if far == 0:
            return 0.0
        if near == 0:
            return 1.0
        sends = SENDS_PER_DECADE * math.log10(near + far + 2)
        urgent = self.queue.most_urgent
        if urgent is None:
            urgent = Priority.BACKGROUND
        crossings = CROSS_REGION_SENDS_BY_PRIORITY[urgent]
        return min(MAX_CROSS_REGION_SHARE, crossings / ((near + 1) * sends))
