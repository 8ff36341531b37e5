"""Anti-entropy: pairs of members compare their tables and exchange the differences."""

import random
from collections.abc import Iterable
from typing import Protocol

from comfreytray.common.interfaces import Address, Clock, Network
from comfreytray.common.records import NodeRecord
from comfreytray.membership.gossip import Delta, Digest, Gossip, Summary
from comfreytray.membership.members import (
    BUCKET_COUNT,
    HASH_BYTES,
    Members,
    is_gone,
    rank_of,
)
from comfreytray.membership.peers import Peers
from comfreytray.membership.updates import pack_claim, unpack_claim

MAX_BUCKETS = 16
"""Buckets compared in one exchange, to bound its size."""
DELTA_RECORDS = 500
"""Records sent in one message at most."""
FULL_TABLE_FACTOR = 2
"""Factor between the sizes of two tables from which on the larger is sent whole."""
JOIN_INTERVAL_S = 0.5
SEED_FANOUT = 3
"""Unknown seeds that a member contacts at once; a lone node contacts one."""
MAX_SEEDS = 64
SYNC_INTERVAL_S = 5.0
SYNC_BUSY_S = 1.0
"""Time between comparisons while many updates are queued."""
SYNC_AGAIN_S = 1.0
"""Wait before the next comparison after one that changed something."""
CROSS_REGION_SHARE = 0.1
"""Share of comparisons made with a member of another region."""
MAX_WANTED = 32
"""Records requested at a time."""
MIN_JITTER = 0.5
MAX_JITTER = 1.5

Key = tuple[int, int, int]


class Apply(Protocol):
    """Callback that applies a record."""

    def __call__(self, claim: NodeRecord, *, spread: bool) -> bool:
        """Apply a record; return whether it changed anything."""
        ...


def key_of(record: NodeRecord) -> Key:
    """Return the key by which records of one member are ordered."""
    return (record.incarnation, rank_of(record.state), record.endpoint_revision)


class Reconciler:
    """Join through seeds, and compare tables with a random member periodically."""

    def __init__(
        self,
        *,
        members: Members,
        peers: Peers,
        clock: Clock,
        random: random.Random,
        network: Network,
        apply: Apply,
    ) -> None:
        self._members = members
        self._peers = peers
        self._clock = clock
        self._random = random
        self._network = network
        self._apply = apply
        self._seeds: list[Address] = []
        self._wanted: dict[str, None] = {}
        """Ids of the members whose records to request, as an ordered set."""
        self._due_at = clock.monotonic()

    def join(self, me: NodeRecord, seeds: Iterable[Address]) -> None:
        """Contact seeds that are not members yet, to exchange tables with them."""
        members = self._members.id_by_address
        unknown = [seed for seed in seeds if seed not in members]
        self._seeds = list(dict.fromkeys((*unknown, *self._seeds)))[:MAX_SEEDS]
        asked = unknown[:SEED_FANOUT] if len(members) > 1 else unknown[:1]
        for seed in asked:
            self._network.send_datagram(seed, self._digest(me))

    def sync_now(self) -> None:
        """Compare tables at the next tick."""
        self._due_at = self._clock.monotonic()

    def request_record(self, node_id: str) -> None:
        """Queue a request for the record of a member, absent or outdated here.

        It is needed when others report the member as suspected or failed in an
        incarnation that this node does not know. At most `MAX_WANTED` wait; more are
        dropped.
        """
        if len(self._wanted) < MAX_WANTED:
            self._wanted[node_id] = None

    def tick(self, me: NodeRecord, *, is_busy: bool) -> None:
        """Compare tables if that is due, more often while many updates are queued."""
        now = self._clock.monotonic()
        interval = SYNC_BUSY_S if is_busy else SYNC_INTERVAL_S
        self._due_at = min(self._due_at, now + interval * MAX_JITTER)
        partner = self._pick_partner()
        if partner is not None and self._wanted:
            request = Delta(
                sender_id=me.node_id, records=(), wanted=tuple(self._wanted)
            )
            self._wanted.clear()
            self._network.send_datagram(partner.control_address, request)
        if now < self._due_at:
            return
        if partner is None:
            wait = JOIN_INTERVAL_S * self._random.uniform(MIN_JITTER, MAX_JITTER)
            self._due_at = now + wait
            self._ask_seeds(me)
            return
        self._due_at = now + interval * self._random.uniform(MIN_JITTER, MAX_JITTER)
        self._network.send_datagram(partner.control_address, self._digest(me))

    def resolve_sender(self, me: NodeRecord, node_id: str, sender: Address) -> None:
        """Ask an unknown sender for its record; notify a sender recorded as gone."""
        held = self._members.get(node_id)
        if held is None:
            request = Delta(sender_id=me.node_id, records=(), wanted=(node_id,))
            self._network.send_datagram(sender, request)
            return
        if is_gone(held) and node_id != me.node_id:
            notice = Gossip(sender_id=me.node_id, updates=(pack_claim(held),))
            self._network.send_datagram(sender, notice)

    def receive(
        self, me: NodeRecord, sender: Address, message: Digest | Summary | Delta
    ) -> None:
        """Process one message of a comparison."""
        if isinstance(message, Digest):
            self._receive_digest(me, sender, message)
        elif isinstance(message, Summary):
            self._receive_summary(me, sender, message)
        else:
            self._receive_delta(me, sender, message)

    def _receive_digest(self, me: NodeRecord, sender: Address, digest: Digest) -> None:
        self._apply_payload(digest.record, spread=digest.count <= 1)
        self.resolve_sender(me, digest.sender_id, sender)
        count = self._members.present_count
        if digest.count * FULL_TABLE_FACTOR <= count:
            self._send(me, sender, list(self._members.present()), ())
            return
        if count * FULL_TABLE_FACTOR <= digest.count:
            self._network.send_datagram(sender, self._digest(me))
            return
        summary = self._summarize(me, digest.hashes)
        if summary is not None:
            self._network.send_stream(sender, summary)

    def _receive_summary(
        self, me: NodeRecord, sender: Address, summary: Summary
    ) -> None:
        newer, wanted = compare(self._members, summary)
        self._send(me, sender, newer, wanted)

    def _receive_delta(self, me: NodeRecord, sender: Address, delta: Delta) -> None:
        changed = False
        for payload in delta.records:
            changed |= self._apply_payload(payload, spread=False)
        if changed:
            next_due_at = self._clock.monotonic() + SYNC_AGAIN_S
            self._due_at = min(self._due_at, next_due_at)
        if not delta.wanted:
            return
        found = [self._members.get(node_id) for node_id in delta.wanted]
        self._send(me, sender, [record for record in found if record], ())

    def _apply_payload(self, payload: bytes, *, spread: bool) -> bool:
        claim = unpack_claim(payload)
        if not isinstance(claim, NodeRecord):
            return False
        return self._apply(claim, spread=spread)

    def _send(
        self,
        me: NodeRecord,
        to: Address,
        records: Iterable[NodeRecord],
        wanted: Iterable[str],
    ) -> None:
        payloads = [pack_claim(record) for record in records]
        wanted_ids = tuple(wanted)
        for start in range(0, max(1, len(payloads)), DELTA_RECORDS):
            chunk = tuple(payloads[start : start + DELTA_RECORDS])
            if chunk or wanted_ids:
                delta = Delta(sender_id=me.node_id, records=chunk, wanted=wanted_ids)
                self._network.send_stream(to, delta)
            wanted_ids = ()

    def _ask_seeds(self, me: NodeRecord) -> None:
        if self._seeds:
            seed = self._random.choice(self._seeds)
            self._network.send_datagram(seed, self._digest(me))

    def _digest(self, me: NodeRecord) -> Digest:
        return Digest(
            sender_id=me.node_id,
            record=pack_claim(me),
            count=self._members.present_count,
            hashes=self._members.hashes(),
        )

    def _pick_partner(self) -> NodeRecord | None:
        near, far = self._peers.near_alive.records, self._peers.far_alive.records
        crossing = far and self._random.random() < CROSS_REGION_SHARE
        candidates = far if crossing or not near else near
        return self._random.choice(candidates) if candidates else None

    def _summarize(self, me: NodeRecord, hashes: bytes) -> Summary | None:
        if len(hashes) != BUCKET_COUNT * HASH_BYTES:
            return None
        buckets = self._members.differing_buckets(hashes)
        if not buckets:
            return None
        chosen = self._random.sample(buckets, min(len(buckets), MAX_BUCKETS))
        entries = tuple(
            (record.node_id, *key_of(record))
            for record in self._members.in_buckets(chosen)
        )
        return Summary(sender_id=me.node_id, buckets=tuple(chosen), entries=entries)


def compare(members: Members, summary: Summary) -> tuple[list[NodeRecord], list[str]]:
    """Return records that the sender lacks, and ids of which its record is newer."""
    theirs_by_id: dict[str, Key] = {
        node_id: (incarnation, rank, revision)
        for node_id, incarnation, rank, revision in summary.entries
    }
    newer: list[NodeRecord] = []
    wanted: list[str] = []
    for record in members.in_buckets(summary.buckets):
        theirs = theirs_by_id.pop(record.node_id, None)
        if theirs is None:
            newer.append(record)
            continue
        ours = key_of(record)
        if ours > theirs or ours[2] > theirs[2]:
            newer.append(record)
        if theirs > ours or theirs[2] > ours[2]:
            wanted.append(record.node_id)
    wanted.extend(theirs_by_id)
    return newer, wanted
