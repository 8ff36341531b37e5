"""Gossip membership, which distinguishes members that left, crashed or are cut off."""

import random
from collections.abc import Callable, Iterable

import attrs

from comfreytray.common.errors import Failure
from comfreytray.common.exceptions import invariant
from comfreytray.common.interfaces import Address, Clock, Network
from comfreytray.common.metrics import Metrics
from comfreytray.common.records import Endpoint, MembershipView, NodeRecord, NodeState
from comfreytray.membership.detection import Detector
from comfreytray.membership.dissemination import Disseminator
from comfreytray.membership.gossip import (
    Ack,
    Delta,
    Digest,
    Gossip,
    Nack,
    Ping,
    PingRequest,
    Summary,
)
from comfreytray.membership.identity import Identity
from comfreytray.membership.inbox import ClaimInbox
from comfreytray.membership.memberlog import log_change
from comfreytray.membership.members import Members, is_gone, is_newer
from comfreytray.membership.peers import Peers
from comfreytray.membership.priorities import priority_of_endpoint, priority_of_state
from comfreytray.membership.reconciliation import Reconciler
from comfreytray.membership.updates import Accusation, Claim, Priority, pack_claim
from comfreytray.membership.views import ViewBuilder

LEFT_ROUNDS = 3
"""Rounds of updates sent at once by a node that stops."""
WARNINGS_PER_SUSPECT = 10
"""Expected notices that a suspect gets from all members of its region together."""

Listener = Callable[[MembershipView], None]


class Membership:
    """Track the members of the mesh and inform them about this node."""

    def __init__(
        self,
        *,
        me: NodeRecord,
        clock: Clock,
        random: random.Random,
        network: Network,
        metrics: Metrics,
    ) -> None:
        self._identity = Identity(record=me)
        self._clock = clock
        self._network = network
        self._random = random
        self._metrics = metrics
        self._members = Members()
        self._peers = Peers(node_id=me.node_id, region=me.region)
        self._views = ViewBuilder()
        self._members.listeners += [self._peers.replace, self._views.replace]
        self._members.merge(me, clock.monotonic())
        self._disseminator = Disseminator(
            peers=self._peers, clock=clock, random=random, network=network
        )
        self._detector = Detector(
            members=self._members,
            peers=self._peers,
            data_centre=me.data_centre,
            clock=clock,
            random=random,
            network=network,
            metrics=metrics,
            disseminator=self._disseminator,
            accuse=self._accuse,
        )
        self._reconciler = Reconciler(
            members=self._members,
            peers=self._peers,
            clock=clock,
            random=random,
            network=network,
            apply=self._apply_record,
        )
        self._listeners: list[Listener] = []
        self._inbox = ClaimInbox(metrics=metrics)
        self._dirty = False
        self._urgent = False
        self._view = self._views.view()

    @property
    def view(self) -> MembershipView:
        """Return the current view of the members."""
        return self._view

    @property
    def me(self) -> NodeRecord:
        """Return this node's own record."""
        return self._identity.record

    @property
    def fault(self) -> Failure | None:
        """Return why this node may not be a member, None if it may."""
        return self._identity.fault

    def add_listener(self, listener: Listener) -> None:
        """Add a callback that receives each new view."""
        self._listeners.append(listener)

    def start(self, seeds: Iterable[Address]) -> None:
        """Join the mesh through seed addresses; may be called again with others."""
        self._reconciler.join(self.me, seeds)

    def tick(self) -> None:
        """Run whatever is due; to be called every 0.1 s."""
        if self._identity.is_gone:
            self._disseminator.tick()
            return
        pause = self._detector.tick()
        if pause:
            self._reconciler.sync_now()
            self._raise_incarnation(self.me.incarnation + 1)
        self._reconciler.tick(self.me, is_busy=self._disseminator.is_busy)
        self._disseminator.tick()
        self._members.evict_gone(self._clock.monotonic())
        self._publish()

    def receive(self, sender: Address, message: object, datagram: bool) -> None:
        """Process a message from another node."""
        if self.me.state is NodeState.LEFT:
            return
        if isinstance(message, Ping):
            self._receive_ping(sender, message)
        elif isinstance(message, Ack):
            self._receive_ack(message)
        elif isinstance(message, Gossip):
            self._detector.heard(message.sender_id)
            self._apply_payloads(message.updates)
        elif isinstance(message, PingRequest):
            self._detector.heard(message.sender_id)
            self._detector.relay_ping(sender, message)
        elif isinstance(message, Nack):
            self._detector.heard(message.sender_id)
            self._detector.receive_nack(message.sequence)
        elif isinstance(message, Digest | Summary | Delta):
            self._detector.heard(message.sender_id)
            self._reconciler.receive(self.me, sender, message)
        if self._urgent:
            self._publish()

    def set_endpoint(self, new: Endpoint | None) -> None:
        """Publish the endpoint of the local upstream, None when it is gone."""
        before = self.me.endpoint
        if before == new:
            return
        self._replace_own_record(
            attrs.evolve(
                self.me, endpoint=new, endpoint_revision=self.me.endpoint_revision + 1
            ),
            priority_of_endpoint(before, new),
        )

    def leave(self) -> None:
        """Announce that this node accepts no new calls from now on."""
        if self.me.state is not NodeState.ALIVE:
            return
        self._announce_state(NodeState.LEAVING)
        self._disseminator.send_round()

    def finish_leaving(self) -> None:
        """Announce that this node has left and is about to stop."""
        if self._identity.is_gone:
            return
        self._announce_state(NodeState.LEFT)
        for _ in range(LEFT_ROUNDS):
            self._disseminator.send_round()

    def _announce_state(self, state: NodeState) -> None:
        """Set the own state, and spread only the state instead of the whole record."""
        self._replace_own_record(attrs.evolve(self.me, state=state), Priority.LEAVING)
        if self._identity.has_lost_id:
            return
        claim = Accusation(
            node_id=self.me.node_id,
            incarnation=self.me.incarnation,
            state=state,
            accuser=self.me.node_id,
        )
        self._disseminator.spread(self.me.node_id, pack_claim(claim), Priority.LEAVING)

    def _receive_ping(self, sender: Address, ping: Ping) -> None:
        self._detector.heard(ping.sender_id)
        self._apply_payloads(ping.updates)
        if ping.target_id == self.me.node_id and ping.target_claim:
            self._apply_payloads((ping.target_claim,))
        updates = list(self._disseminator.piggyback())
        if ping.target_claim or ping.target_id != self.me.node_id:
            updates.append(pack_claim(self.me))
        answer = Ack(
            sequence=ping.sequence, sender_id=self.me.node_id, updates=tuple(updates)
        )
        self._network.send_datagram(sender, answer)
        self._reconciler.resolve_sender(self.me, ping.sender_id, sender)

    def _receive_ack(self, ack: Ack) -> None:
        self._detector.heard(ack.sender_id)
        self._apply_payloads(ack.updates)
        replaced = self._detector.receive_ack(ack.sequence, ack.sender_id)
        if replaced is not None:
            self._accuse(replaced, NodeState.DEAD)

    def _apply_payloads(self, payloads: Iterable[bytes]) -> None:
        for claim, payload in self._inbox.unseen(payloads):
            self._apply(claim, payload)

    def _apply(self, claim: Claim, payload: bytes) -> None:
        if claim.node_id == self.me.node_id:
            self._refute(claim)
        elif isinstance(claim, Accusation):
            self._apply_accusation(claim, payload)
        else:
            self._apply_record(claim, spread=True)

    def _accuse(self, node_id: str, state: NodeState) -> None:
        held = self._members.get(node_id)
        if held is None:
            return
        accusation = Accusation(
            node_id=node_id,
            incarnation=held.incarnation,
            state=state,
            accuser=self.me.node_id,
        )
        self._apply_accusation(accusation, pack_claim(accusation))

    def _apply_accusation(self, accusation: Accusation, payload: bytes) -> None:
        held = self._members.get(accusation.node_id)
        if held is None or accusation.incarnation != held.incarnation:
            if held is None or accusation.incarnation > held.incarnation:
                self._reconciler.request_record(accusation.node_id)
            return
        if is_gone(held) and accusation.state is not NodeState.LEFT:
            return
        repeat = False
        if accusation.state is NodeState.SUSPECT:
            repeat = self._detector.suspect(accusation.node_id, accusation.accuser)
        changed = self._merge(attrs.evolve(held, state=accusation.state))
        if changed or repeat:
            priority = priority_of_state(accusation.state)
            key = f"{accusation.node_id} {accusation.accuser}"
            self._disseminator.spread(key, payload, priority)

    def _apply_record(self, claim: NodeRecord, *, spread: bool) -> bool:
        if claim.node_id == self.me.node_id:
            self._refute(claim)
            return False
        held = self._members.get(claim.node_id)
        if not self._merge(claim):
            return False
        merged = self._members.record_by_id[claim.node_id]
        if not spread and merged.state in (NodeState.SUSPECT, NodeState.DEAD):
            self._notify_accused(merged)
        if spread:
            before = held.endpoint if held is not None else None
            priority = min(
                priority_of_state(merged.state),
                priority_of_endpoint(before, merged.endpoint),
            )
            self._disseminator.spread(merged.node_id, pack_claim(merged), priority)
        return True

    def _notify_accused(self, record: NodeRecord) -> None:
        """Send a member of this region a claim against it, so that it can refute it; at
        random, so that only a few members send it the same claim."""
        near_count = len(self._peers.near)
        is_near = record.region == self.me.region
        if not is_near or self._random.random() * near_count >= WARNINGS_PER_SUSPECT:
            return
        warning = Gossip(sender_id=self.me.node_id, updates=(pack_claim(record),))
        self._network.send_datagram(record.control_address, warning)

    def _merge(self, claim: NodeRecord) -> bool:
        held = self._members.get(claim.node_id)
        holder_id = self._members.id_by_address.get(claim.control_address)
        merged = self._members.merge(claim, self._clock.monotonic())
        if merged is None:
            return False
        self._dirty = True
        self._handle_change(held, merged)
        self._resolve_address_clash(holder_id, merged)
        return True

    def _handle_change(self, held: NodeRecord | None, merged: NodeRecord) -> None:
        renewed = held is None or merged.incarnation > held.incarnation
        if renewed or merged.state is not NodeState.SUSPECT:
            self._detector.suspicions.clear(merged.node_id)
        if merged.state is NodeState.SUSPECT:
            self._detector.suspect(merged.node_id, merged.node_id)
        if held is not None and held.state is merged.state:
            return
        if merged.state is NodeState.LEAVING:
            self._urgent = True
        log_change(held, merged, self._metrics)

    def _resolve_address_clash(self, holder_id: str | None, claim: NodeRecord) -> None:
        """Declare the older of two members at one address dead."""
        if holder_id is None or holder_id == claim.node_id or is_gone(claim):
            return
        holder = self._members.record_by_id[holder_id]
        newer = holder_id != self.me.node_id and is_newer(claim, holder)
        self._accuse(holder_id if newer else claim.node_id, NodeState.DEAD)

    def _refute(self, claim: Claim) -> None:
        """Refute a claim about this node, if needed, with a higher incarnation."""
        if not self._identity.must_refute(claim):
            return
        if claim.state in (NodeState.SUSPECT, NodeState.DEAD):
            self._detector.local_health.worsen()
        self._metrics.count("membership.refutations")
        self._raise_incarnation(claim.incarnation + 1)

    def _raise_incarnation(self, incarnation: int) -> None:
        own = self._identity.with_incarnation(incarnation)
        leaving = own.state is NodeState.LEAVING
        self._replace_own_record(own, Priority.LEAVING if leaving else Priority.CHANGED)

    def _replace_own_record(self, record: NodeRecord, priority: Priority) -> None:
        self._identity.replace(record)
        if self._identity.has_lost_id:
            return
        merged = self._members.merge(record, self._clock.monotonic())
        invariant(merged == record, "a node's own claim outranks all others")
        self._dirty = True
        self._disseminator.spread(record.node_id, pack_claim(record), priority)
        self._publish()

    def _publish(self) -> None:
        self._urgent = False
        if not self._dirty:
            return
        self._dirty = False
        self._view = self._views.view()
        for listener in self._listeners:
            listener(self._view)
