"""Orders of roll-outs and their status, as the store holds them."""

import json
from enum import Enum
from typing import Any

from attrs import frozen

from comfreytray.common import logs, outerjson, revisions
from comfreytray.common.interfaces import StoredObject
from comfreytray.common.outerjson import checked_int, checked_text
from comfreytray.common.records import version_text

PREFIX = "rollouts/"
MAX_DURATION_S = 86_400.0
MAX_EXCLUDED = 8
"""Rolled-back versions that a status names; the oldest is left out."""


class State(Enum):
    """The state of an order, as its status names it."""

    ACTIVE = "active"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"


@frozen(kw_only=True)
class Status:
    """The status of an order; `order` and `generation` fence its writers."""

    state: State
    target_version: str
    order: int = 0
    """Revision of the object on which the order was first claimed."""
    generation: int = 0
    """Increases each time that a node becomes the decider of the order."""
    decider: str = ""
    """Id of the node that wrote it."""
    excluded: tuple[str, ...] = ()
    """Versions that were rolled back earlier, oldest first."""


@frozen(kw_only=True)
class Order:
    """One order to move a service's calls to a version."""

    key: str
    service: str
    target_version: str
    duration_s: float
    revision: int
    """Revision of the stored object, status included."""
    status: Status | None = None
    """The status, if it belongs to this order."""
    excluded: tuple[str, ...] = ()
    """Other versions that were rolled back."""

    @property
    def order_id(self) -> int:
        """Return what tells this order from others of the service; later is higher."""
        return (self.status.order if self.status else 0) or self.revision

    @property
    def generation(self) -> int:
        """Return the highest known generation of a decider, 0 if there was none."""
        return self.status.generation if self.status else 0

    @property
    def state(self) -> State:
        """Return the stored state; an order without a status is active."""
        return self.status.state if self.status else State.ACTIVE


def decode(stored: StoredObject) -> Order | None:
    """Decode an order with its status; None, and a log line, if it is malformed."""
    try:
        return _decode(stored)
    except (ValueError, TypeError, KeyError, AttributeError) as error:
        logs.warn(
            logs.Event.ROLLOUT_REFUSED,
            key=stored.key,
            revision=revisions.text_of(stored.version),
            reason=f"{type(error).__name__}: {error}"[:200],
        )
        return None


def encode_status(status: Status) -> bytes:
    """Encode a status as the JSON that the store takes."""
    plain = {
        "state": status.state.value,
        "target_version": status.target_version,
        "order": status.order,
        "generation": status.generation,
        "decider": status.decider,
        "excluded": list(status.excluded[-MAX_EXCLUDED:]),
    }
    return json.dumps(plain, separators=(",", ":")).encode()


def _decode(stored: StoredObject) -> Order:
    plain = outerjson.loads(stored.value)
    spec = plain["spec"]
    target = version_text(spec["target_version"])
    service = checked_text(spec["service"])
    if not target or not service:
        raise ValueError("expected a service and a target_version")
    duration_s = spec["duration_s"]
    if type(duration_s) not in (int, float) or not 0 < duration_s <= MAX_DURATION_S:
        raise ValueError(f"expected a duration_s of up to {MAX_DURATION_S:g}")
    status = _decode_status(plain.get("status"))
    excluded = status.excluded if status else ()
    if status is not None and status.target_version != target:
        # The status of the order before, which this one has replaced.
        if status.state is State.ROLLED_BACK:
            excluded = (*excluded, status.target_version)
        status = None
    return Order(
        key=stored.key,
        service=service,
        target_version=target,
        duration_s=float(duration_s),
        revision=stored.version,
        status=status,
        excluded=tuple(v for v in excluded if v != target)[-MAX_EXCLUDED:],
    )


def _decode_status(plain: Any) -> Status | None:
    """Decode a status; None if there is none or it is not one of this system."""
    try:
        excluded = plain.get("excluded", ())
        return Status(
            state=State(plain["state"]),
            target_version=version_text(plain["target_version"]),
            order=checked_int(plain.get("order", 0), high=2**63 - 1),
            generation=checked_int(plain.get("generation", 0), high=2**53),
            decider=checked_text(plain.get("decider", "")),
            excluded=tuple(version_text(v) for v in excluded)[-MAX_EXCLUDED:],
        )
    except (ValueError, TypeError, KeyError, AttributeError):
        return None
