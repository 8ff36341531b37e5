"""Decode the heartbeats and departures of the instance beside the node."""

from typing import Any

from comfreytray.common import outerjson
from comfreytray.common.interfaces import Address
from comfreytray.common.outerjson import checked_int, checked_text
from comfreytray.common.records import (
    MAX_SLOTS,
    Endpoint,
    EndpointState,
    LocalUpstream,
    version_text,
)
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
    try:
        slots = checked_int(document.get("slots"), low=1, high=MAX_SLOTS)
        sequence = checked_int(document.get("sequence"))
        # `born` is when the instance started, in milliseconds since the epoch.
        started_ms = checked_int(document.get("born"))
        checked_text(instance_id)
    except (TypeError, ValueError):
        return None
    cold_s = document.get("cold_remaining_s", 0)
    if not _is_non_negative_number(cold_s):
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
        version=version_text(document.get("version")),
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
    try:
        return checked_int(started_ms)
    except (TypeError, ValueError):
        return None


def _json_object(body: bytes) -> dict[str, Any] | None:
    try:
        document = outerjson.loads(body)
    except ValueError:
        return None
    return document if isinstance(document, dict) else None


def _is_non_negative_number(value: object) -> bool:
    return type(value) in (int, float) and 0 <= value < float("inf")  # type: ignore[operator]
