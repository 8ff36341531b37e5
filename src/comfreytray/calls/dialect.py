"""Dialects: the headers and statuses that callers, nodes and upstreams exchange."""

from collections.abc import Callable
from enum import Enum
from typing import Protocol

from attrs import field, frozen

from comfreytray.calls.call import (
    ATTEMPT_HEADER,
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
    """Read access to the fields of a message head by name."""

    def get(self, name: str, default: str | None = None) -> str | None:
        """Return the first value of a field, or the default."""
        ...


class Refusal(Enum):
    """How an upstream refused a call that it did not run."""

    BUSY = "busy"
    ANOTHER_INSTANCE = "another-instance"


NotRun = Callable[[int, FieldLookup], Refusal | None]
"""Returns from an answer's status and fields how the upstream refused the call, or
None if the answer doesn't say that the call was not run."""
StatusOf = Callable[[Outcome], int]
"""Returns the status that reports a failure to a caller."""

_NATIVE_NOT_RUN_STATUSES = frozenset({429, 503, 504})


def _native_not_run(status: int, fields: FieldLookup) -> Refusal | None:
    if status not in _NATIVE_NOT_RUN_STATUSES:
        return None
    ran = (fields.get(RAN_HEADER) or "").strip().lower()
    return Refusal.BUSY if ran == "no" else None


def _status_by_kind(outcome: Outcome) -> int:
    return outcome.failure.answer.status


@frozen(kw_only=True)
class Dialect:
    """The header names of a dialect and its rules for answers.

    An empty name means that the dialect lacks the header.
    """

    deadline: str
    """Header with the milliseconds that the sender still waits."""
    caller: str
    """Header with the service of the instance that began a call."""
    depth: str = ""
    retried: str = ""
    key: str = ""
    trace: str = ""
    call_id: str = ""
    """Header with the id of a caller's attempt, which the upstream echoes."""
    nested_separator: str = ""
    """Separator between the id of a call and the suffix of a nested call's id; empty if
    ids don't show nesting."""
    attempt: str = ""
    """Header with the number of a send to an upstream, which an upstream may echo."""
    instance: str = ""
    """Header with the id of the instance that a call is meant for; others refuse it."""
    proof: str = ""
    """Header that an upstream adds to a success; one without it counts as a failure."""
    limit: str = ""
    """Header in which an upstream advertises the calls a second that it accepts."""
    load: str = ""
    """Header in which an upstream reports the calls running and queued, its slots and
    perhaps its pace."""
    leaving: str = ""
    """Header by which an upstream says that it leaves; its value is then 1."""
    credentials: str = ""
    """Header with a caller's API key; upstreams don't get it."""
    key_scheme: str = ""
    """Authentication scheme that precedes an API key."""
    customer: str = ""
    """Header that names a call's customer, found by its API key, to the upstream."""
    not_run: NotRun = _native_not_run
    status_of: StatusOf = _status_by_kind
    accepts_close_delimited: bool = False
    """Whether an answer without a length, ended by closing the connection, is valid."""
    has_refusal_body: bool = True
    """Whether a refusal has headers and a body with its kind and text."""
    integer_retry_after: bool = True
    """Whether Retry-After is rounded up to whole seconds in a refusal with a body."""
    set_by_node: frozenset[str] = field(init=False)
    """Lower-case names of headers that a node sets, replacing those of the caller."""

    @set_by_node.default
    def _set_by_node(self) -> frozenset[str]:
        names = (
            self.deadline,
            self.caller,
            self.depth,
            self.retried,
            self.trace,
            self.attempt,
            self.instance,
        )
        return frozenset(name.lower() for name in names if name)

    @property
    def set_with_accounts(self) -> frozenset[str]:
        """Return the headers that a node sets where the configuration has accounts."""
        names = (self.credentials, self.customer)
        return self.set_by_node | {name.lower() for name in names if name}

    def says_leaving(self, fields: FieldLookup) -> bool:
        """Whether an answer says that its upstream leaves."""
        return bool(self.leaving) and (fields.get(self.leaving) or "").strip() == "1"


NATIVE = Dialect(
    deadline=DEADLINE_HEADER,
    caller=CALLER_HEADER,
    depth=DEPTH_HEADER,
    retried=RETRIED_HEADER,
    key=KEY_HEADER,
    trace=TRACE_HEADER,
    attempt=ATTEMPT_HEADER,
)
