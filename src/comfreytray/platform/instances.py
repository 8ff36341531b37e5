"""Decode the heartbeats and departures of the instance beside the node."""

import json
from typing import Any

from comfreytray.common.interfaces import Address
from comfreytray.common.records import Endpoint, EndpointState, LocalUpstream
from comfreytray.membership.heartbeats import Heartbeat
from comfreytray.platform.settings import parse_address

MAX_BODY_BYTES = 4096
DEFAULT_CONNECTIONS = 64
"""Connections to an instance until the configuration sets a limit for its service."""
_STATES = ("ready", "draining")


def decode_heartbeat(
    instance_id: str, body: bytes, *, service: str, upstream: Address
) -> Heartbeat | None:
    """Decode a heartbeat of the instance at `upstream`; None if it is not valid."""
    document = _json_object(body)
    if document is None or not instance_id:
        return None
    if document.get("service") != service or document.get("state") not in _STATES:
        return None
    if parse_address(document.get("address")) != upstream:
        return None
    # `born` is when the instance started, in milliseconds since the epoch.
    numbers = [document.get(name) for name in ("slots", "sequence", "born")]
    if not all(_is_non_negative_int(number) for number in numbers):
        return None
    slots, sequence, started_ms = (int(number or 0) for number in numbers)
    cold_s = document.get("cold_remaining_s", 0)
    if slots == 0 or not _is_non_negative_number(cold_s):
        return None
    state = EndpointState.COLD if cold_s > 0 else EndpointState.READY
    if document["state"] == "draining":
        state = EndpointState.DRAINING
    endpoint = Endpoint(
        service=service,
        instance_id=instance_id,
        slots=slots,
        connections=DEFAULT_CONNECTIONS,
        state=state,
    )
    return Heartbeat(
        upstream=LocalUpstream(host=upstream[0], port=upstream[1], endpoint=endpoint),
        started_ms=started_ms,
        sequence=sequence,
    )


def decode_departure(body: bytes) -> int | None:
    """Return the start time in ms that a departure carries; None if it has none."""
    document = _json_object(body)
    started_ms = document.get("born") if document else None
    return started_ms if _is_non_negative_int(started_ms) else None


def _json_object(body: bytes) -> dict[str, Any] | None:
    try:
        document = json.loads(body)
    except (ValueError, RecursionError):
        return None
    return document if isinstance(document, dict) else None


def _is_non_negative_int(value: object) -> bool:
    return type(value) is int and value >= 0


def _is_non_negative_number(value: object) -> bool:
    return type(value) in (int, float) and 0 <= value < float("inf")  # type: ignore[operator]
