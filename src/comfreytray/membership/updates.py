"""Updates: claims about members, packed once and sent a bounded number of times."""

import ipaddress
from collections import OrderedDict
from enum import IntEnum
from typing import Any

import msgpack
from attrs import define, field, frozen

from comfreytray.common.records import (
    Endpoint,
    EndpointState,
    NodeRecord,
    NodeState,
    version_text,
)

BIN_HEADER_BYTES = 3
"""Bytes of msgpack's header before each packed claim."""
MAX_NAME_LENGTH = 64
MAX_INCARNATION = 2**62
_STATES = tuple(NodeState)
_ENDPOINT_STATES = tuple(EndpointState)
_CODE_BY_STATE = {state: code for code, state in enumerate(_STATES)}
_CODE_BY_ENDPOINT_STATE = {state: code for code, state in enumerate(_ENDPOINT_STATES)}


@frozen(kw_only=True)
class Accusation:
    """Claim a state of one incarnation of a member, without its whole record."""

    node_id: str
    incarnation: int
    state: NodeState
    accuser: str
    """Member that makes the claim."""


Claim = NodeRecord | Accusation


def pack_claim(claim: Claim) -> bytes:
    """Pack a claim as a msgpack array; an accusation is shorter than a record."""
    if isinstance(claim, Accusation):
        plain: list[object] = [
            claim.node_id,
            claim.incarnation,
            _CODE_BY_STATE[claim.state],
        ]
        if claim.accuser != claim.node_id:
            plain.append(claim.accuser)
    else:
        plain = _plain_record(claim)
    return msgpack.packb(plain)  # type: ignore[no-any-return]


def _plain_record(record: NodeRecord) -> list[object]:
    endpoint = record.endpoint
    return [
        record.node_id,
        record.incarnation,
        _CODE_BY_STATE[record.state],
        record.region,
        record.data_centre,
        ipaddress.ip_address(record.host).packed,
        record.control_port,
        record.call_port,
        record.endpoint_revision,
        endpoint and _plain_endpoint(endpoint),
    ]


def _plain_endpoint(endpoint: Endpoint) -> list[object]:
    plain: list[object] = [
        endpoint.service,
        endpoint.instance_id,
        endpoint.slots,
        endpoint.connections,
        _CODE_BY_ENDPOINT_STATE[endpoint.state],
        round(endpoint.reported_load * 100),
    ]
    # Nodes from before versions existed take only the six fields.
    return [*plain, endpoint.version] if endpoint.version else plain


def unpack_claim(data: bytes) -> Claim | None:
    """Unpack and validate a claim; None if it is malformed."""
    try:
        plain = msgpack.unpackb(data)
        if len(plain) in (3, 4):
            return _accusation(plain)
        return _record(plain)
    except Exception:
        return None


def _name(value: object) -> str:
    if not isinstance(value, str) or not 0 < len(value) <= MAX_NAME_LENGTH:
        raise ValueError("malformed name")
    return value


def _number(value: object, most: int) -> int:
    if type(value) is not int or not 0 <= value <= most:
        raise ValueError("malformed number")
    return value


def _accusation(plain: list[Any]) -> Accusation:
    node_id, incarnation, state, *accuser = plain
    return Accusation(
        node_id=_name(node_id),
        incarnation=_number(incarnation, MAX_INCARNATION),
        state=_STATES[_number(state, len(_STATES) - 1)],
        accuser=_name(accuser[0] if accuser else node_id),
    )


def _record(plain: list[Any]) -> NodeRecord:
    node_id, incarnation, state, region, data_centre, host, *rest = plain
    control_port, call_port, revision, endpoint = rest
    return NodeRecord(
        node_id=_name(node_id),
        incarnation=_number(incarnation, MAX_INCARNATION),
        state=_STATES[_number(state, len(_STATES) - 1)],
        region=_name(region),
        data_centre=_name(data_centre),
        host=str(ipaddress.ip_address(host)),
        control_port=_number(control_port, 65_535),
        call_port=_number(call_port, 65_535),
        endpoint_revision=_number(revision, MAX_INCARNATION),
        endpoint=None if endpoint is None else _endpoint(endpoint),
    )


def _endpoint(plain: list[Any]) -> Endpoint:
    service, instance_id, slots, connections, state, load_percent, *version = plain
    return Endpoint(
        service=_name(service),
        instance_id=_name(instance_id),
        slots=_number(slots, MAX_INCARNATION),
        connections=_number(connections, MAX_INCARNATION),
        state=_ENDPOINT_STATES[_number(state, len(_ENDPOINT_STATES) - 1)],
        reported_load=_number(load_percent, 100_000) / 100,
        version=version_text(version[0]) if version else "",
    )


class Priority(IntEnum):
    """Order of updates by how soon every member must receive them."""

    LEAVING = 0
    CHANGED = 1
    BACKGROUND = 2


@define(kw_only=True)
class _Update:
    payload: bytes
    sends_left: int


@define(kw_only=True)
class UpdateQueue:
    """Hold the updates that this node still has to send."""

    _by_priority: tuple[OrderedDict[str, _Update], ...] = field(
        factory=lambda: tuple(OrderedDict() for _ in Priority)
    )

    def __len__(self) -> int:
        """Return the number of queued updates."""
        return sum(len(queue) for queue in self._by_priority)

    @property
    def most_urgent(self) -> Priority | None:
        """Return the highest priority of the queued updates."""
        for priority in Priority:
            if self._by_priority[priority]:
                return priority
        return None

    def put(self, key: str, payload: bytes, *, sends: int, priority: Priority) -> None:
        """Queue an update, replacing an older one with the same key."""
        self.drop(key)
        self._by_priority[priority][key] = _Update(payload=payload, sends_left=sends)

    def drop(self, key: str) -> None:
        """Remove an update."""
        for queue in self._by_priority:
            queue.pop(key, None)

    def take(self, budget: int, *, copies: int = 1) -> tuple[bytes, ...]:
        """Take updates of at most `budget` bytes, to be sent to `copies` receivers."""
        taken: list[bytes] = []
        for queue in self._by_priority:
            budget = _take_from(queue, budget, copies, taken)
        return tuple(taken)


def _take_from(
    queue: OrderedDict[str, _Update], budget: int, copies: int, taken: list[bytes]
) -> int:
    for _ in range(len(queue)):
        key = next(iter(queue))
        update = queue[key]
        size = len(update.payload) + BIN_HEADER_BYTES
        if size > budget:
            break
        budget -= size
        taken.append(update.payload)
        update.sends_left -= copies
        if update.sends_left <= 0:
            del queue[key]
        else:
            queue.move_to_end(key)
    return budget
