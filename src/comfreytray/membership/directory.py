"""The directory of members, read from the records that nodes write to the store."""

import json
import socket
from collections.abc import Callable, Iterable, Mapping
from typing import Any

import attrs

from comfreytray.common import logs, outerjson, revisions
from comfreytray.common.interfaces import Clock, StoredObject
from comfreytray.common.outerjson import checked_int, checked_text
from comfreytray.common.records import (
    MAX_SLOTS,
    Departure,
    Endpoint,
    EndpointState,
    ListedRecord,
    MembershipView,
    NodeRecord,
    NodeState,
    version_text,
)

PREFIX = "members/"
MAX_EARLIER_DEPARTURES = 16
MAX_RECORD_BYTES = 4096
MAX_PORT = 65_535
MAX_CAPACITY = 1_000_000
"""In percent of a core."""
COLD_S = 3.0
"""Time for which an instance counts as cold after its record says so."""
_CAPACITY_FIELD = "capacity"
MIN_BATCH_DELAY_S = 0.4
MAX_BATCH_DELAY_S = 1.8
"""Kept below the two seconds or so within which a change must reach other nodes."""
BATCH_DELAY_S_PER_MEMBER = 0.02


def key_of(node_id: str) -> str:
    """Return the key of a member's stored object."""
    return PREFIX + node_id


def encode(record: NodeRecord, *, capacity: int = 0) -> bytes:
    """Encode a member's record as JSON, with the capacity of its machine."""
    plain = attrs.asdict(record, value_serializer=_plain)
    plain[_CAPACITY_FIELD] = capacity
    return json.dumps(plain, separators=(",", ":"), sort_keys=True).encode()


def decode(value: bytes) -> NodeRecord | None:
    """Decode a member's record; None if it is malformed."""
    decoded = _decode(value)
    return None if decoded is None else decoded[0]


def order_of(value: bytes) -> tuple[int, ...] | None:
    """Return the place of a record among those of its member; None if malformed."""
    record = decode(value)
    return None if record is None else (record.incarnation, record.revision)


def _decode(value: bytes) -> tuple[NodeRecord, int] | None:
    """Decode a record and the capacity of its machine, 0 if it is not stated."""
    if len(value) > MAX_RECORD_BYTES:
        return None
    try:
        plain = outerjson.loads(value)
        capacity = checked_int(plain.get(_CAPACITY_FIELD, 0), high=MAX_CAPACITY)
        return _record(plain), capacity
    except (ValueError, TypeError, KeyError, AttributeError, OSError):
        return None


def _plain(_: type, __: Any, value: object) -> object:
    return value.value if isinstance(value, NodeState | EndpointState) else value


def _record(plain: Mapping[str, Any]) -> NodeRecord:
    endpoint = plain["endpoint"]
    return NodeRecord(
        node_id=checked_text(plain["node_id"]),
        incarnation=checked_int(plain["incarnation"]),
        region=checked_text(plain["region"]),
        data_centre=checked_text(plain["data_centre"]),
        host=_ip_address(plain["host"]),
        control_port=checked_int(plain["control_port"], high=MAX_PORT),
        call_port=checked_int(plain["call_port"], high=MAX_PORT),
        state=NodeState(plain["state"]),
        endpoint=None if endpoint is None else _endpoint(endpoint),
        endpoint_revision=checked_int(plain["endpoint_revision"]),
        departure=_departure(plain.get("departure")),
        earlier_departures=_earlier_departures(plain.get("earlier_departures")),
        revision=checked_int(plain.get("revision", 0)),
    )


def _endpoint(plain: Mapping[str, Any]) -> Endpoint:
    return Endpoint(
        service=checked_text(plain["service"]),
        instance_id=checked_text(plain["instance_id"]),
        slots=checked_int(plain["slots"], high=MAX_SLOTS),
        connections=checked_int(plain["connections"], high=MAX_SLOTS),
        state=EndpointState(plain["state"]),
        version=version_text(plain.get("version")),
    )


def _departure(plain: Mapping[str, Any] | None) -> Departure | None:
    """Decode the departure of a record; nodes of earlier versions write none."""
    if plain is None:
        return None
    return Departure(
        instance_id=checked_text(plain["instance_id"]),
        before_ms=checked_int(plain["before_ms"]),
    )


def _earlier_departures(plain: object) -> tuple[Departure, ...]:
    """Decode the departures before the last one; earlier versions write none."""
    if plain is None:
        return ()
    if not isinstance(plain, list):
        raise TypeError(f"expected a list, got {type(plain).__name__}")
    decoded = (_departure(item) for item in plain[-MAX_EARLIER_DEPARTURES:])
    return tuple(departure for departure in decoded if departure is not None)


def _ip_address(value: object) -> str:
    """Return an address; raises OSError, TypeError, ValueError.

    A name would be looked up by each node, and the lookup blocks the process.
    """
    address = checked_text(value)
    socket.inet_pton(socket.AF_INET, address)
    return address


class Directory:
    """Hold the newest stored revision of each member's record."""

    def __init__(
        self,
        *,
        clock: Clock,
        on_earlier_self: Callable[[NodeRecord], None] = lambda _: None,
        on_replaced: Callable[[NodeRecord, NodeRecord], None] = lambda _, __: None,
    ) -> None:
        """Create it; `on_earlier_self` gets the record of an earlier incarnation.

        `on_replaced` gets the record of another member, and the one in its place.
        """
        self._clock = clock
        self._on_earlier_self = on_earlier_self
        self._on_replaced = on_replaced
        self._revision_by_id: dict[str, int] = {}
        self._cold_until_by_id: dict[str, float] = {}
        self._record_by_id: dict[str, NodeRecord] = {}
        self._own_id = ""
        self._own_stored: NodeRecord | None = None
        self.capacity_by_id: dict[str, int] = {}
        """Processor share of each member's machine, in percent of a core."""
        self.view = MembershipView()

    @property
    def batch_delay_s(self) -> float:
        """Return the seconds to wait so that several changes are read in one call.

        A release or a scale-out changes members one after the other. Reading each
        change separately costs a call on every node, so calls to the store would grow
        with the square of the number of members.
        """
        batch_delay_s = BATCH_DELAY_S_PER_MEMBER * len(self._record_by_id)
        return min(MAX_BATCH_DELAY_S, max(MIN_BATCH_DELAY_S, batch_delay_s))

    def is_cold(self, record: NodeRecord) -> bool:
        """Whether the instance of a member started a few seconds ago."""
        endpoint = record.endpoint
        if endpoint is None or endpoint.state is not EndpointState.COLD:
            return False
        return self._clock.monotonic() < self._cold_until_by_id.get(record.node_id, 0.0)

    def own_listed(self, complete_to: int) -> ListedRecord:
        """Return this node's stored record, by lists complete up to a revision."""
        era = revisions.era_of(complete_to)
        version = self._revision_by_id.get(self._own_id, 0)
        if revisions.era_of(version) != era:
            return ListedRecord(era=era)
        return ListedRecord(era=era, version=version, record=self._own_stored)

    def apply(self, objects: Iterable[StoredObject]) -> None:
        """Apply stored records, skipping those that are not newer than known ones."""
        changed = False
        for stored in objects:
            changed = self._apply_one(stored) or changed
        if changed:
            self.view = _view(self._record_by_id)

    def put(self, record: NodeRecord) -> None:
        """Set this node's own record, which then takes precedence over the store's."""
        self._own_id = record.node_id
        self._record_by_id[record.node_id] = record
        self.view = _view(self._record_by_id)

    def _apply_one(self, stored: StoredObject) -> bool:
        node_id = stored.key.removeprefix(PREFIX)
        seen = self._revision_by_id.get(node_id, 0)
        if stored.version <= seen:
            return False
        self._revision_by_id[node_id] = stored.version
        decoded = _decode(stored.value)
        if node_id == self._own_id:
            self._own_stored = None if decoded is None else decoded[0]
        if decoded is None or decoded[0].node_id != node_id:
            logs.warn(
                logs.Event.MEMBER_REFUSED,
                key=stored.key,
                version=revisions.text_of(stored.version),
            )
            return False
        record, capacity = decoded
        if node_id == self._own_id:
            if record.incarnation != self._record_by_id[node_id].incarnation:
                self._on_earlier_self(record)
            return False
        held = self._record_by_id.get(node_id)
        in_same_era = revisions.era_of(stored.version) == revisions.era_of(seen)
        if held is not None and _is_outdated(record, held, in_same_era=in_same_era):
            _log_outdated(stored, record, held)
            return False
        if held is not None:
            self._on_replaced(held, record)
        self._record_by_id[node_id] = record
        self.capacity_by_id[node_id] = capacity
        if held is None or held.endpoint != record.endpoint:
            self._cold_until_by_id[node_id] = self._clock.monotonic() + COLD_S
        _log_change(held, record, stored.version)
        return record != held


def _is_outdated(record: NodeRecord, held: NodeRecord, *, in_same_era: bool) -> bool:
    """Whether a stored record is one that its node has replaced since.

    Incarnations are taken from a clock that may be set back between two starts of a
    node, so within an era the store's order is the better one.
    """
    if in_same_era and record.incarnation != held.incarnation:
        return False
    return record.precedes(held)


def _view(record_by_id: Mapping[str, NodeRecord]) -> MembershipView:
    by_id = {
        node_id: record
        for node_id, record in record_by_id.items()
        if record.state is not NodeState.LEFT
    }
    records_by_service: dict[str, list[NodeRecord]] = {}
    for record in by_id.values():
        if record.endpoint is None or record.state is not NodeState.ALIVE:
            continue
        if record.endpoint.state is EndpointState.DRAINING:
            continue
        records_by_service.setdefault(record.endpoint.service, []).append(record)
    return MembershipView(
        by_id=by_id,
        endpoints_by_service={
            service: tuple(records) for service, records in records_by_service.items()
        },
    )


def _log_outdated(stored: StoredObject, record: NodeRecord, held: NodeRecord) -> None:
    logs.log(
        logs.Event.OBJECT_IGNORED,
        key=stored.key,
        revision=revisions.text_of(stored.version),
        incarnation=record.incarnation,
        record_revision=record.revision,
        held_incarnation=held.incarnation,
        held_record_revision=held.revision,
    )


def _log_change(held: NodeRecord | None, record: NodeRecord, version: int) -> None:
    event = logs.Event.MEMBER_JOINED
    if record.state in (NodeState.LEAVING, NodeState.LEFT):
        event = logs.Event.MEMBER_LEFT
    elif held is not None and held.incarnation == record.incarnation:
        event = logs.Event.MEMBER_CHANGED
    endpoint = record.endpoint
    logs.log(
        event,
        member=record.node_id,
        state=record.state.value,
        instance=endpoint.instance_id if endpoint else "",
        instance_state=endpoint.state.value if endpoint else "",
        version=revisions.text_of(version),
    )
