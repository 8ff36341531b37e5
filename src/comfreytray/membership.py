"""Membership: who is there, told apart from who left, crashed or is cut off."""

import random
from collections.abc import Callable, Iterable

import attrs

from comfreytray import logs
from comfreytray.detection import Detector
from comfreytray.dissemination import Disseminator
from comfreytray.errors import Failure, Kind
from comfreytray.exceptions import invariant
from comfreytray.gossip import (
    Ack,
    Delta,
    Digest,
    Gossip,
    Nack,
    Ping,
    PingRequest,
    Summary,
)
from comfreytray.interfaces import Address, Clock, Network
from comfreytray.members import Members, is_gone
from comfreytray.metrics import Metrics
from comfreytray.peers import Peers
from comfreytray.reconciliation import Reconciler
from comfreytray.records import (
    Endpoint,
    EndpointState,
    MembershipView,
    NodeRecord,
    NodeState,
)
from comfreytray.rumors import Accusation, Claim, Priority, pack_claim, unpack_claim
from comfreytray.views import build_view

FORGET_S = 4 * 3600.0
MAX_GONE = 2000
MAX_DISPLACEMENTS = 3
"""Times another address may claim this node's id before it is taken for a twin."""
MAX_REMEMBERED_CLAIMS = 4096

Listener = Callable[[MembershipView], None]
_EVENT_BY_STATE = {
    NodeState.SUSPECT: logs.Event.MEMBER_SUSPECTED,
    NodeState.DEAD: logs.Event.MEMBER_DEAD,
    NodeState.LEFT: logs.Event.MEMBER_LEFT,
}


class Membership:
    """Follow the members of the mesh and tell them about this node."""

    def __init__(
        self,
        *,
        me: NodeRecord,
        clock: Clock,
        random: random.Random,
        network: Network,
        metrics: Metrics,
    ) -> None:
        self._me = me
        self._clock = clock
        self._network = network
        self._metrics = metrics
        self._members = Members()
        self._members.merge(me, clock.monotonic())
        self._peers = Peers(members=self._members, node_id=me.node_id, region=me.region)
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
        self._remembered: dict[bytes, None] = {}
        self._displacements = 0
        self._fault: Failure | None = None
        self._yielded = False
        self._dirty = False
        self._urgent = False
        self._view = build_view(self._members.present())

    @property
    def view(self) -> MembershipView:
        """Return the present picture of the members."""
        return self._view

    @property
    def me(self) -> NodeRecord:
        """Return this node's own record."""
        return self._me

    @property
    def fault(self) -> Failure | None:
        """Return why this node may not be a member, if so."""
        return self._fault

    def add_listener(self, listener: Listener) -> None:
        """Call back with each new view."""
        self._listeners.append(listener)

    def start(self, seeds: Iterable[Address]) -> None:
        """Join through some first peers; may be called again with others."""
        self._reconciler.join(self._me, seeds)

    def tick(self) -> None:
        """Do what is due; to be called each 0.1 s."""
        pause = self._detector.tick()
        if pause and not is_gone(self._me):
            self._reconciler.hurry()
            self._renew(self._me.incarnation + 1)
        self._reconciler.tick(self._me)
        self._disseminator.tick()
        self._forget()
        self._publish()

    def receive(self, sender: Address, message: object, datagram: bool) -> None:
        """Take in a message from another node."""
        if self._me.state is NodeState.LEFT:
            return
        if isinstance(message, Ping):
            self._receive_ping(sender, message)
        elif isinstance(message, Ack):
            self._receive_ack(message)
        elif isinstance(message, Gossip):
            self._detector.heard(message.sender_id)
            self._take(message.rumors)
        elif isinstance(message, PingRequest):
            self._detector.heard(message.sender_id)
            self._detector.help_probe(sender, message)
        elif isinstance(message, Nack):
            self._detector.heard(message.sender_id)
            self._detector.not_answered(message.sequence)
        elif isinstance(message, Digest | Summary | Delta):
            self._detector.heard(message.sender_id)
            self._reconciler.receive(self._me, sender, message)
        if self._urgent:
            self._publish()

    def set_endpoint(self, endpoint: Endpoint | None) -> None:
        """Tell the others about the upstream beside this node, or that it is gone."""
        before = self._me.endpoint
        if before == endpoint:
            return
        self._replace_me(
            attrs.evolve(
                self._me,
                endpoint=endpoint,
                endpoint_revision=self._me.endpoint_revision + 1,
            ),
            _priority_of_endpoint(before, endpoint),
        )

    def leave(self) -> None:
        """Tell everyone that this node takes no new work from now on."""
        if self._me.state is not NodeState.ALIVE:
            return
        leaving = attrs.evolve(self._me, state=NodeState.LEAVING)
        self._replace_me(leaving, Priority.LEAVING)
        self._disseminator.round()

    def left(self) -> None:
        """Tell everyone that this node stops now."""
        if is_gone(self._me):
            return
        self._replace_me(attrs.evolve(self._me, state=NodeState.LEFT), Priority.LEAVING)
        for _ in range(3):
            self._disseminator.round()

    def _receive_ping(self, sender: Address, ping: Ping) -> None:
        self._detector.heard(ping.sender_id)
        self._take(ping.rumors)
        if ping.target_id == self._me.node_id and ping.about:
            self._take((ping.about,))
        rumors = list(self._disseminator.piggyback())
        if ping.about or ping.target_id != self._me.node_id:
            rumors.append(pack_claim(self._me))
        answer = Ack(
            sequence=ping.sequence, sender_id=self._me.node_id, rumors=tuple(rumors)
        )
        self._network.send_datagram(sender, answer)
        self._reconciler.greet(self._me, ping.sender_id, sender)

    def _receive_ack(self, ack: Ack) -> None:
        self._detector.heard(ack.sender_id)
        self._take(ack.rumors)
        replaced = self._detector.answered(ack.sequence, ack.sender_id)
        if replaced is not None:
            self._accuse(replaced, NodeState.DEAD)

    def _take(self, payloads: Iterable[bytes]) -> None:
        for payload in payloads:
            if payload in self._remembered:
                continue
            claim = unpack_claim(payload)
            if claim is None:
                self._metrics.count("membership.bad_claims")
                logs.warn(logs.Event.FRAME_REFUSED, reason="bad-claim")
                continue
            self._remember(payload)
            self._apply(claim, payload)

    def _remember(self, payload: bytes) -> None:
        self._remembered[payload] = None
        if len(self._remembered) > MAX_REMEMBERED_CLAIMS:
            del self._remembered[next(iter(self._remembered))]

    def _apply(self, claim: Claim, payload: bytes) -> None:
        if claim.node_id == self._me.node_id:
            self._defend(claim)
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
            accuser=self._me.node_id,
        )
        self._apply_accusation(accusation, pack_claim(accusation))

    def _apply_accusation(self, accusation: Accusation, payload: bytes) -> None:
        held = self._members.get(accusation.node_id)
        if held is None or accusation.incarnation != held.incarnation:
            if held is None or accusation.incarnation > held.incarnation:
                self._reconciler.want(accusation.node_id)
            return
        if is_gone(held) and accusation.state is not NodeState.LEFT:
            return
        repeat = False
        if accusation.state is NodeState.SUSPECT:
            repeat = self._detector.suspect(accusation.node_id, accusation.accuser)
        changed = self._merge(attrs.evolve(held, state=accusation.state))
        if changed or repeat:
            priority = _priority_of_state(accusation.state)
            key = f"{accusation.node_id} {accusation.accuser}"
            self._disseminator.spread(key, payload, priority)

    def _apply_record(self, claim: NodeRecord, *, spread: bool) -> bool:
        if claim.node_id == self._me.node_id:
            self._defend(claim)
            return False
        held = self._members.get(claim.node_id)
        if not self._merge(claim):
            return False
        merged = self._members.record_by_id[claim.node_id]
        if not spread and merged.state in (NodeState.SUSPECT, NodeState.DEAD):
            self._warn(merged)
        if spread:
            before = held.endpoint if held is not None else None
            priority = min(
                _priority_of_state(merged.state),
                _priority_of_endpoint(before, merged.endpoint),
            )
            self._disseminator.spread(merged.node_id, pack_claim(merged), priority)
        return True

    def _warn(self, record: NodeRecord) -> None:
        """Tell a member what is said against it, so that it can refute."""
        warning = Gossip(sender_id=self._me.node_id, rumors=(pack_claim(record),))
        self._network.send_datagram(record.control_address, warning)

    def _merge(self, claim: NodeRecord) -> bool:
        held = self._members.get(claim.node_id)
        occupant_id = self._members.id_by_address.get(claim.control_address)
        merged = self._members.merge(claim, self._clock.monotonic())
        if merged is None:
            return False
        self._dirty = True
        self._follow(held, merged)
        self._contest(occupant_id, merged)
        return True

    def _follow(self, held: NodeRecord | None, merged: NodeRecord) -> None:
        renewed = held is None or merged.incarnation > held.incarnation
        if renewed or merged.state is not NodeState.SUSPECT:
            self._detector.suspicions.clear(merged.node_id)
        if merged.state is NodeState.SUSPECT:
            self._detector.suspect(merged.node_id, merged.node_id)
        if held is not None and held.state is merged.state:
            return
        self._log_change(held, merged)

    def _log_change(self, held: NodeRecord | None, merged: NodeRecord) -> None:
        event = _EVENT_BY_STATE.get(merged.state)
        if merged.state is NodeState.ALIVE:
            joined = held is None or is_gone(held)
            event = logs.Event.MEMBER_REFUTED
            if joined:
                event = logs.Event.MEMBER_JOINED
        if merged.state is NodeState.LEAVING:
            self._urgent = True
        if event is None:
            return
        self._metrics.count(f"membership.{event.value}")
        logs.log(event, node=merged.node_id, incarnation=merged.incarnation)

    def _contest(self, occupant_id: str | None, claim: NodeRecord) -> None:
        """Take the older of two members at one address for dead."""
        if occupant_id is None or occupant_id == claim.node_id or is_gone(claim):
            return
        occupant = self._members.record_by_id[occupant_id]
        claim_is_newer = (claim.incarnation, claim.node_id) > (
            occupant.incarnation,
            occupant_id,
        )
        if claim_is_newer and occupant_id != self._me.node_id:
            self._accuse(occupant_id, NodeState.DEAD)
            return
        self._accuse(claim.node_id, NodeState.DEAD)

    def _defend(self, claim: Claim) -> None:
        """Answer a claim about this node by a record that outranks it."""
        if is_gone(self._me) or claim.incarnation < self._me.incarnation:
            return
        if isinstance(claim, NodeRecord):
            self._note_displacement(claim)
        if self._agrees(claim):
            return
        if claim.state in (NodeState.SUSPECT, NodeState.DEAD):
            self._detector.doubt.worsen()
        self._metrics.count("membership.refutations")
        self._renew(claim.incarnation + 1)

    def _agrees(self, claim: Claim) -> bool:
        if claim.incarnation != self._me.incarnation:
            return False
        if claim.state not in (NodeState.ALIVE, self._me.state):
            return False
        if isinstance(claim, Accusation):
            return True
        return claim.endpoint_revision <= self._me.endpoint_revision

    def _note_displacement(self, claim: NodeRecord) -> None:
        """Give up this node's id if a twin with a lower address keeps claiming it."""
        if is_gone(claim) or claim.control_address == self._me.control_address:
            return
        self._displacements += 1
        if self._me.state is NodeState.LEAVING:
            self._yielded = True
        if self._displacements < MAX_DISPLACEMENTS or self._fault is not None:
            return
        if claim.control_address < self._me.control_address:
            self._yielded = True
            self._fault = Failure(
                kind=Kind.CONFLICT,
                detail=f"node id {claim.node_id} is in use at {claim.host}",
            )
            logs.warn(logs.Event.FRAME_REFUSED, reason="twin", node=claim.node_id)

    def _renew(self, incarnation: int) -> None:
        renewed = attrs.evolve(self._me, incarnation=incarnation)
        leaving = renewed.state is NodeState.LEAVING
        self._replace_me(renewed, Priority.LEAVING if leaving else Priority.CHANGED)

    def _replace_me(self, record: NodeRecord, priority: Priority) -> None:
        if self._yielded:
            self._me = record
            return
        invariant(
            record.incarnation >= self._me.incarnation,
            "a node's own incarnation never goes back",
        )
        self._me = record
        merged = self._members.merge(record, self._clock.monotonic())
        invariant(merged == record, "a node's own claim outranks all others")
        self._dirty = True
        self._disseminator.spread(record.node_id, pack_claim(record), priority)
        self._publish()

    def _forget(self) -> None:
        gone_at_by_id = self._members.gone_at_by_id
        if not gone_at_by_id:
            return
        oldest = next(iter(gone_at_by_id))
        age = self._clock.monotonic() - gone_at_by_id[oldest]
        if oldest != self._me.node_id and (
            age > FORGET_S or len(gone_at_by_id) > MAX_GONE
        ):
            self._members.forget(oldest)

    def _publish(self) -> None:
        self._urgent = False
        if not self._dirty:
            return
        self._dirty = False
        self._view = build_view(self._members.present())
        for listener in self._listeners:
            listener(self._view)


def _priority_of_state(state: NodeState) -> Priority:
    if state in (NodeState.LEAVING, NodeState.LEFT):
        return Priority.LEAVING
    if state is NodeState.ALIVE:
        return Priority.CHANGED
    return Priority.DOUBTED


def _priority_of_endpoint(before: Endpoint | None, after: Endpoint | None) -> Priority:
    if after == before:
        return Priority.DOUBTED
    if after is None or after.state is EndpointState.DRAINING:
        return Priority.LEAVING
    if before is None:
        return Priority.CHANGED
    if attrs.evolve(after, reported_load=before.reported_load) == before:
        return Priority.DOUBTED
    return Priority.CHANGED
