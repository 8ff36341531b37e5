"""Decode the objects in an answer of the store, each by itself."""

import json
from typing import Any

from comfreytray.common import logs, outerjson, revisions
from comfreytray.common.interfaces import StoredObject

MAX_REASON_CHARACTERS = 200
MALFORMED_ERRORS = (
    KeyError,
    TypeError,
    ValueError,
    AttributeError,
    OverflowError,
    RecursionError,
)
"""Raised when an answer lacks a field or has one of another type."""
_KINDS_WITH_STATUS = frozenset({"rollouts"})
"""Kinds whose value is an object of spec and status, in place of the spec alone."""


def is_change(event: Any) -> bool:
    """Whether an event of a watch brings an object."""
    return isinstance(event, dict) and event.get("removed") is False


def last_name(items: list[Any]) -> str:
    """Return the last readable name of a page; empty if there is none."""
    for item in reversed(items):
        try:
            return outerjson.checked_text(item["metadata"]["name"])
        except MALFORMED_ERRORS:
            continue
    return ""


def decode_all(kind: str, items: Any, era: int) -> list[StoredObject]:
    """Decode objects, leaving out those that are malformed."""
    objects: list[StoredObject] = []
    for item in items:
        try:
            objects.append(decode_object(kind, item, era))
        except MALFORMED_ERRORS as error:
            logs.warn(
                logs.Event.OBJECT_REFUSED,
                kind=kind,
                reason=f"{type(error).__name__}: {error}"[:MAX_REASON_CHARACTERS],
            )
    return objects


def decode_object(kind: str, decoded: Any, era: int) -> StoredObject:
    """Decode one object; raises one of `MALFORMED_ERRORS`."""
    metadata = decoded["metadata"]
    revision = outerjson.checked_int(metadata["revision"], high=revisions.MAX_NUMBER)
    value = decoded["spec"]
    if kind in _KINDS_WITH_STATUS:
        value = {"spec": value, "status": decoded.get("status")}
    return StoredObject(
        key=f"{kind}/{outerjson.checked_text(metadata['name'])}",
        value=json.dumps(value).encode(),
        version=revisions.in_era(era, revision),
    )
