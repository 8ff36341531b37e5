"""Name the headers by which callers, nodes and upstreams understand each other."""

from collections.abc import Callable
from enum import Enum
from typing import Protocol

from attrs import field, frozen

from comfreytray.calls.call import (
    CALLER_HEADER,
    DEADLINE_HEADER,
    DEPTH_HEADER,
    KEY_HEADER,
    RAN_HEADER,
    RETRIED_HEADER,
    TRACE_HEADER,
    Outcome,
)


class FieldLookup(Protocol):
    """Look up the fields of a head by name."""

    def get(self, name: str, default: str | None = None) -> str | None:
        """Return the first value of a name."""
        ...


class Refusal(Enum):
    """Say how an upstream refused a call that it did not run."""

    BUSY = "busy"
    ANOTHER_INSTANCE = "another-instance"


NotRun = Callable[[int, FieldLookup], Refusal | None]
"""Tell from the head of an answer whether the upstream says it did not run a call."""
StatusOf = Callable[[Outcome], int]
"""Give the status by which a caller is told of a failure."""

_OWN_WORD_STATUSES = frozenset({429, 503, 504})


def _own_word(status: int, fields: FieldLookup) -> Refusal | None:
    if status not in _OWN_WORD_STATUSES:
        return None
    said = (fields.get(RAN_HEADER) or "").strip().lower()
    return Refusal.BUSY if said == "no" else None


def _status_by_kind(outcome: Outcome) -> int:
    return outcome.failure.answer.status


@frozen(kw_only=True)
class Dialect:
    """Hold header names and the meaning of answers; an empty name isn't spoken."""

    deadline: str
    """Milliseconds that the sender still waits."""
    caller: str
    """Service of the instance beside which a call began."""
    depth: str = ""
    retried: str = ""
    key: str = ""
    trace: str = ""
    call_id: str = ""
    """Id of one attempt of a caller, which an upstream repeats in its answer."""
    instance: str = ""
    """Id of the instance that a call is meant for; any other refuses it."""
    proof: str = ""
    """Field without which a success is not the upstream's own."""
    not_run: NotRun = _own_word
    status_of: StatusOf = _status_by_kind
    accepts_close_delimited: bool = False
    """Whether an answer may have no length and end with its connection."""
    has_refusal_body: bool = True
    """Whether a refusal tells callers its kind and text, beside the status."""
    integer_retry_after: bool = True
    """Whether Retry-After is in whole seconds."""
    set_by_node: frozenset[str] = field(init=False)
    """Fields in lower case that a node sets itself, whatever a caller sent."""

    @set_by_node.default
    def _set_by_node(self) -> frozenset[str]:
        names = (
            self.deadline,
            self.caller,
            self.depth,
            self.retried,
            self.trace,
            self.instance,
        )
        return frozenset(name.lower() for name in names if name)


NATIVE = Dialect(
    deadline=DEADLINE_HEADER,
    caller=CALLER_HEADER,
    depth=DEPTH_HEADER,
    retried=RETRIED_HEADER,
    key=KEY_HEADER,
    trace=TRACE_HEADER,
)
