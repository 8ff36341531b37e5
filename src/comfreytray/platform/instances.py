"""Read the heartbeats and departures of the instance beside the node."""

import json
from typing import Any

from comfreytray.common.interfaces import Address
from comfreytray.common.records import Endpoint, EndpointState, LocalUpstream
from comfreytray.membership.heartbeats import Heartbeat
from comfreytray.platform.settings import parse_address

MAX_BYTES = 4096
UNKNOWN_CONNECTIONS = 64
"""Connections to use until the configuration says how many the service takes."""
_STATES = ("ready", "draining")


def decode_heartbeat(
    instance_id: str, body: bytes, *, service: str, upstream: Address
) -> Heartbeat | None:
    """Read a heartbeat of the instance at an address; None if it is not one."""
    plain = _object(body)
    if plain is None or not instance_id:
        return None
    if plain.get("service") != service or plain.get("state") not in _STATES:
        return None
    if parse_address(plain.get("address")) != upstream:
        return None
    # `born` is when the instance started.
    numbers = [plain.get(name) for name in ("slots", "sequence", "born")]
    if not all(_is_whole(number) for number in numbers):
        return None
    slots, sequence, started_ms = (int(number or 0) for number in numbers)
    cold_s = plain.get("cold_remaining_s", 0)
    if slots == 0 or not _is_amount(cold_s):
        return None
    state = EndpointState.COLD if cold_s > 0 else EndpointState.READY
    if plain["state"] == "draining":
        state = EndpointState.DRAINING
    endpoint = Endpoint(
        service=service,
        instance_id=instance_id,
        slots=slots,
        connections=UNKNOWN_CONNECTIONS,
        state=state,
    )
    return Heartbeat(
        upstream=LocalUpstream(host=upstream[0], port=upstream[1], endpoint=endpoint),
        started_ms=started_ms,
        sequence=sequence,
    )


def decode_start(body: bytes) -> int | None:
    """Read from a departure when the instance had started; None if it doesn't tell."""
    plain = _object(body)
    started_ms = plain.get("born") if plain else None
    return started_ms if _is_whole(started_ms) else None


def _object(body: bytes) -> dict[str, Any] | None:
    try:
        plain = json.loads(body)
    except (ValueError, RecursionError):
        return None
    return plain if isinstance(plain, dict) else None


def _is_whole(value: object) -> bool:
    return type(value) is int and value >= 0


def _is_amount(value: object) -> bool:
    return type(value) in (int, float) and 0 <= value < float("inf")  # type: ignore[operator]
