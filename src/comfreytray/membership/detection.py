"""Failure detection: probes, suspicions, and the health of the local node."""

import random
from collections.abc import Callable

from attrs import define, field

from comfreytray.common import logs
from comfreytray.common.interfaces import Address, Clock, Network
from comfreytray.common.metrics import Metrics
from comfreytray.common.records import NodeRecord, NodeState
from comfreytray.membership.dissemination import Disseminator
from comfreytray.membership.gossip import Ack, Nack, Ping, PingRequest
from comfreytray.membership.localhealth import LocalHealth
from comfreytray.membership.members import Members
from comfreytray.membership.peers import Peers
from comfreytray.membership.probes import (
    CROSS_REGION_PROBES_PER_S,
    DEAD_PROBES_PER_S,
    FINAL_PROBES,
    HELPERS,
    PROBE_INTERVAL_S,
    Probe,
    Probes,
    Ring,
)
from comfreytray.membership.suspicions import Suspicions
from comfreytray.membership.updates import Accusation, pack_claim

MIN_ZONE_MEMBERS = 2
"""Members below which the silence of a data centre is judged by its region instead."""

Accuse = Callable[[str, NodeState], None]


@define(kw_only=True)
class Detector:
    """Probe members and report those that do not answer through `accuse`."""

    members: Members
    peers: Peers
    data_centre: str
    clock: Clock
    random: random.Random
    network: Network
    metrics: Metrics
    disseminator: Disseminator
    accuse: Accuse
    probes: Probes = field(factory=Probes)
    suspicions: Suspicions = field(factory=Suspicions)
    local_health: LocalHealth = field(factory=LocalHealth)
    heard_at_by_zone: dict[str, float] = field(factory=dict)
    """When any member of a data centre or region last sent a message."""
    _heard_at: float = 0.0
    """When any member last sent a message."""
    _near_ring: Ring = field(init=False)
    _far_ring: Ring = field(init=False)
    _near_due_at: float = 0.0
    _far_due_at: float = 0.0
    _dead_due_at: float = 0.0

    def __attrs_post_init__(self) -> None:
        """Create the probe rings from the random generator."""
        self._near_ring = Ring(random=self.random)
        self._far_ring = Ring(random=self.random)

    def heard(self, sender_id: str) -> None:
        """Record that a member sent a message."""
        now = self.clock.monotonic()
        self._heard_at = now
        record = self.members.get(sender_id)
        if record is None:
            return
        self.heard_at_by_zone[record.data_centre] = now
        self.heard_at_by_zone[record.region] = now

    def tick(self) -> float:
        """Send and expire probes; return the seconds of a pause just ended, or 0."""
        now = self.clock.monotonic()
        pause = self.local_health.tick(now)
        if pause:
            logs.warn(
                logs.Event.SELF_DOUBT, paused_s=pause, score=self.local_health.score
            )
            self.metrics.count("membership.pauses")
            self.probes.abandon()
            self.suspicions.restart(now)
        self._send_indirect_probes(now)
        self._fail_probes(now)
        self._start_probes(now)
        self._probe_expired_suspect(now)
        return pause

    def receive_ack(self, sequence: int, sender_id: str) -> str | None:
        """Match an ack to its probe or relay.

        Returns the id of the probed member if another member answered at its address.
        """
        relay = self.probes.relay_by_sequence.pop(sequence, None)
        if relay is not None:
            answer = Ack(sequence=relay.sequence, sender_id=sender_id, updates=())
            self.network.send_datagram(relay.requester, answer)
            return None
        probe = self.probes.by_sequence.pop(sequence, None)
        if probe is None:
            return None
        self.local_health.improve()
        if probe.target_id != sender_id:
            return probe.target_id
        record = self.members.get(sender_id)
        if record is not None and record.state is NodeState.LEAVING:
            self.suspicions.clear(sender_id)
        return None

    def receive_nack(self, sequence: int) -> None:
        """Record that a helper had no answer from the probed member."""
        probe = self.probes.by_sequence.get(sequence)
        if probe is not None:
            probe.nacks += 1

    def relay_ping(self, sender: Address, request: PingRequest) -> None:
        """Ping a member on behalf of the member that sent the request."""
        sequence = self.probes.relay(sender, request.sequence, self.clock.monotonic())
        address = (request.host, request.port)
        self._ping(request.target_id, address, sequence)

    def suspect(self, node_id: str, accuser: str) -> bool:
        """Start or shorten a suspicion; return whether to spread the accusation."""
        return self.suspicions.accuse(
            node_id,
            accuser,
            now=self.clock.monotonic(),
            timeout_factor=self.local_health.timeout_factor,
            is_far=self._is_far(node_id),
        )

    def _is_far(self, node_id: str) -> bool:
        record = self.members.get(node_id)
        return record is not None and record.region != self.peers.region

    def _ping(
        self,
        target_id: str,
        address: Address,
        sequence: int,
        updates: tuple[bytes, ...] = (),
    ) -> None:
        record = self.members.get(target_id)
        target_claim = b""
        if record is not None and record.state is not NodeState.ALIVE:
            accusation = Accusation(
                node_id=target_id,
                incarnation=record.incarnation,
                state=record.state,
                accuser=self.peers.node_id,
            )
            target_claim = pack_claim(accusation)
        ping = Ping(
            sequence=sequence,
            sender_id=self.peers.node_id,
            target_id=target_id,
            target_claim=target_claim,
            updates=updates,
        )
        self.network.send_datagram(address, ping)

    def _probe(
        self, target_id: str | None, now: float, final_probes_left: int = 0
    ) -> None:
        record = self.members.get(target_id) if target_id is not None else None
        if record is None:
            return
        self.metrics.count("membership.probes")
        sequence = self.probes.start(
            record, now, self.local_health.timeout_factor, final_probes_left
        )
        updates = () if final_probes_left else self.disseminator.piggyback()
        self._ping(record.node_id, record.control_address, sequence, updates)

    def _start_probes(self, now: float) -> None:
        jitter = self.random.uniform(0.9, 1.1)
        if now >= self._near_due_at:
            self._near_due_at = now + PROBE_INTERVAL_S * jitter
            self._probe(self._near_ring.next(self.peers.near.ids), now)
        if now >= self._far_due_at:
            interval_s = (len(self.peers.near) + 1) / CROSS_REGION_PROBES_PER_S
            self._far_due_at = now + max(PROBE_INTERVAL_S, interval_s) * jitter
            self._probe(self._far_ring.next(self.peers.far.ids), now)
        if now >= self._dead_due_at:
            interval_s = self.members.present_count / DEAD_PROBES_PER_S
            self._dead_due_at = now + max(PROBE_INTERVAL_S, interval_s) * jitter
            self._probe(self._pick_dead_member(), now)

    def _pick_dead_member(self) -> str | None:
        dead = [
            node_id
            for node_id in self.members.gone_at_by_id
            if self.members.record_by_id[node_id].state is NodeState.DEAD
        ]
        return self.random.choice(dead) if dead else None

    def _send_indirect_probes(self, now: float) -> None:
        for sequence, probe in self.probes.take_due_indirect(now):
            record = self.members.get(probe.target_id)
            if record is None or record.state is NodeState.DEAD:
                continue
            self._ping(record.node_id, record.control_address, sequence)
            near = [
                r for r in self.peers.near_alive.records if r.node_id != probe.target_id
            ]
            helpers = self.random.sample(near, min(HELPERS, len(near)))
            probe.helpers = len(helpers)
            request = PingRequest(
                sequence=sequence,
                sender_id=self.peers.node_id,
                target_id=record.node_id,
                host=record.host,
                port=record.control_port,
            )
            for helper in helpers:
                self.network.send_datagram(helper.control_address, request)
        for relay in self.probes.take_expired_relays(now):
            nack = Nack(sequence=relay.sequence, sender_id=self.peers.node_id)
            self.network.send_datagram(relay.requester, nack)

    def _fail_probes(self, now: float) -> None:
        for probe in self.probes.take_failed(now):
            record = self.members.get(probe.target_id)
            if record is None or record.state is NodeState.DEAD:
                continue
            self.metrics.count("membership.probes_failed")
            if probe.helpers and probe.nacks == 0:
                self.local_health.worsen()
            if self._may_accuse(probe, now):
                self._handle_failure(probe, record, now)

    def _handle_failure(self, probe: Probe, record: NodeRecord, now: float) -> None:
        if probe.final_probes_left == 0:
            self.accuse(probe.target_id, NodeState.SUSPECT)
            return
        if record.incarnation != probe.incarnation:
            return
        if probe.final_probes_left == 1:
            self.accuse(probe.target_id, NodeState.DEAD)
            return
        self._probe(probe.target_id, now, probe.final_probes_left - 1)

    def _may_accuse(self, probe: Probe, now: float) -> bool:
        if self.local_health.in_grace(now):
            return False
        alone = len(self.peers.near) + len(self.peers.far) <= 1
        return alone or self._heard_at > probe.started_at

    def _probe_expired_suspect(self, now: float) -> None:
        """Probe one expired suspect; a random choice shares the work among members."""
        if self.local_health.in_grace(now):
            return
        due = self.suspicions.due(now, self._is_zone_heard_since)
        if not due:
            return
        chosen = self.random.choice(due)
        self.suspicions.by_id[chosen].final_probe_at = now
        self._probe(chosen, now, FINAL_PROBES)

    def _is_zone_heard_since(self, node_id: str, since: float) -> bool:
        """Whether the member's data centre or region was heard from since a given time.

        If not, the member's silence may be that of its whole zone.
        """
        record = self.members.get(node_id)
        if record is None:
            return True
        if record.data_centre == self.data_centre:
            return self._heard_at > since
        zone = record.data_centre
        if self.peers.count_by_zone[zone] < MIN_ZONE_MEMBERS:
            zone = record.region
        return self.heard_at_by_zone.get(zone, 0.0) > since
