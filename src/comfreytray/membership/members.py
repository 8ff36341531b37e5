"""The table of members, and the rules for merging claims about them."""

from collections.abc import Callable, Iterable, Iterator

import attrs
from attrs import define, field
from xxhash import xxh64_intdigest

from comfreytray.common.charts import load_chart
from comfreytray.common.exceptions import invariant
from comfreytray.common.interfaces import Address
from comfreytray.common.records import NodeRecord, NodeState

BUCKET_COUNT = 64
HASH_BYTES = 8
GONE_RETENTION_S = 4 * 3600.0
"""Time for which the record of a dead or departed member is kept."""
MAX_GONE_MEMBERS = 2000
"""Records of dead and departed members kept at most."""

CHART = load_chart("member")
EVENT_BY_CLAIM = {
    NodeState.ALIVE: "confirmed",
    NodeState.SUSPECT: "accused",
    NodeState.LEAVING: "leaving",
    NodeState.DEAD: "died",
    NodeState.LEFT: "left",
}
_GONE = (NodeState.DEAD, NodeState.LEFT)
_RANK_BY_STATE = {state: rank for rank, state in enumerate(EVENT_BY_CLAIM)}


ChangeListener = Callable[[NodeRecord | None, NodeRecord | None], None]


def is_gone(record: NodeRecord) -> bool:
    """Whether the member of a record is dead or has left."""
    return record.state in _GONE


def rank_of(state: NodeState) -> int:
    """Return the rank of a state; in one incarnation, the higher rank wins."""
    return _RANK_BY_STATE[state]


def merge_records(held: NodeRecord, claim: NodeRecord) -> NodeRecord:
    """Merge two records of a member; the order of merging does not matter."""
    if claim.incarnation < held.incarnation:
        return held
    state = held.state.value
    merged = held
    if claim.incarnation > held.incarnation:
        state = CHART.step(state, "renewed")
        merged = claim
    elif claim.endpoint_revision > held.endpoint_revision:
        merged = claim
    state = CHART.step(state, EVENT_BY_CLAIM[claim.state])
    if merged.state.value == state:
        return merged
    return attrs.evolve(merged, state=NodeState(state))


def bucket_of(node_id: str) -> int:
    """Return the number of the hash bucket that holds a member."""
    return xxh64_intdigest(node_id.encode()) % BUCKET_COUNT


def _hash_of(record: NodeRecord) -> int:
    text = (
        f"{record.node_id}|{record.incarnation}|{record.state.value}"
        f"|{record.endpoint_revision}"
    )
    return xxh64_intdigest(text.encode())


@define(kw_only=True)
class Members:
    """Hold the newest record of each member, and hashes for comparing tables."""

    record_by_id: dict[str, NodeRecord] = field(factory=dict)
    """Records of all members, gone ones included until they are evicted."""
    id_by_address: dict[Address, str] = field(factory=dict)
    """Ids of the members that are not gone."""
    gone_at_by_id: dict[str, float] = field(factory=dict)
    """When each gone member died or left, oldest first."""
    listeners: list[ChangeListener] = field(factory=list)
    """Called with the old and the new record, None for a gone or unknown member."""
    _hashes: list[int] = field(factory=lambda: [0] * BUCKET_COUNT)

    def get(self, node_id: str) -> NodeRecord | None:
        """Return the record of a member."""
        return self.record_by_id.get(node_id)

    def present(self) -> Iterator[NodeRecord]:
        """Iterate over the members that are not gone."""
        gone = self.gone_at_by_id
        return (r for node_id, r in self.record_by_id.items() if node_id not in gone)

    @property
    def present_count(self) -> int:
        """Count the members that are not gone."""
        return len(self.record_by_id) - len(self.gone_at_by_id)

    def merge(self, claim: NodeRecord, now: float) -> NodeRecord | None:
        """Merge a claim; return the new record if it changed anything."""
        held = self.record_by_id.get(claim.node_id)
        if held is None:
            self._put(claim, now)
            self._notify(None, claim)
            return claim
        merged = merge_records(held, claim)
        if merged == held:
            return None
        invariant(merged.incarnation >= held.incarnation, "incarnations never decrease")
        self._remove(held)
        self._put(merged, now)
        self._notify(held, merged)
        return merged

    def evict_gone(self, now: float) -> None:
        """Evict the member gone longest, if its retention or the limit is exceeded."""
        oldest = next(iter(self.gone_at_by_id), None)
        if oldest is None:
            return
        age = now - self.gone_at_by_id[oldest]
        if age > GONE_RETENTION_S or len(self.gone_at_by_id) > MAX_GONE_MEMBERS:
            del self.gone_at_by_id[oldest]
            del self.record_by_id[oldest]

    def hashes(self) -> bytes:
        """Return the concatenated bucket hashes of the members that are not gone."""
        return b"".join(value.to_bytes(HASH_BYTES, "big") for value in self._hashes)

    def differing_buckets(self, hashes: bytes) -> list[int]:
        """Return the buckets whose hash differs from the given one."""
        return [
            number
            for number, value in enumerate(self._hashes)
            if hashes[number * HASH_BYTES : (number + 1) * HASH_BYTES]
            != value.to_bytes(HASH_BYTES, "big")
        ]

    def in_buckets(self, buckets: Iterable[int]) -> list[NodeRecord]:
        """Return the records in some buckets, gone members included."""
        wanted = set(buckets)
        return [
            record
            for node_id, record in self.record_by_id.items()
            if bucket_of(node_id) in wanted
        ]

    def _notify(self, held: NodeRecord | None, record: NodeRecord) -> None:
        before = held if held is not None and not is_gone(held) else None
        after = record if not is_gone(record) else None
        for listener in self.listeners:
            listener(before, after)

    def _put(self, record: NodeRecord, now: float) -> None:
        self.record_by_id[record.node_id] = record
        if is_gone(record):
            self.gone_at_by_id[record.node_id] = now
            return
        self._index_address(record)
        self._hashes[bucket_of(record.node_id)] ^= _hash_of(record)

    def _index_address(self, record: NodeRecord) -> None:
        holder_id = self.id_by_address.get(record.control_address)
        holder = self.record_by_id.get(holder_id or "")
        if holder is not None and (holder.incarnation, holder.node_id) > (
            record.incarnation,
            record.node_id,
        ):
            return
        self.id_by_address[record.control_address] = record.node_id

    def _remove(self, record: NodeRecord) -> None:
        if is_gone(record):
            self.gone_at_by_id.pop(record.node_id, None)
            return
        if self.id_by_address.get(record.control_address) == record.node_id:
            del self.id_by_address[record.control_address]
        self._hashes[bucket_of(record.node_id)] ^= _hash_of(record)


def is_newer(record: NodeRecord, other: NodeRecord) -> bool:
    """Whether a member started later than another at its address; ties go by id."""
    return (record.incarnation, record.node_id) > (other.incarnation, other.node_id)
