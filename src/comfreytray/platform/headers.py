"""The platform's header names and the meaning of its status codes."""

from comfreytray.calls.call import Outcome
from comfreytray.calls.dialect import Dialect, FieldLookup, Refusal
from comfreytray.common.errors import Kind, Ran

_NOT_RUN_HEADER = "X-Not-Executed"
"""An upstream sets it in the answer to a request that it did not run."""
_STATUS_ANOTHER_INSTANCE = 421
_NOT_RUN_STATUSES = frozenset({400, 401, 404, 405, 408, 413, 429, 431, 503})
"""Statuses by which the platform understands that the request has not run."""
_STATUS_DEFAULT_NOT_RUN = 503
_STATUS_TIMEOUT = 504
_STATUS_OUTCOME_UNKNOWN = 502
_TIMEOUT_KINDS = frozenset({Kind.DEADLINE_WHILE_RUNNING, Kind.DEADLINE_BEFORE_RUN})


def read_refusal(status: int, fields: FieldLookup) -> Refusal | None:
    """Return how an upstream refused a request; None if it may have run it."""
    if status == _STATUS_ANOTHER_INSTANCE:
        return Refusal.ANOTHER_INSTANCE
    return None if fields.get(_NOT_RUN_HEADER) is None else Refusal.BUSY


def status_of(outcome: Outcome) -> int:
    """Return the status of a failure; 503 and the like say that nothing ran."""
    kind = outcome.failure.kind
    if kind is Kind.REQUEST_HELD:
        # It has run before; a status that says "not run" would bring it back.
        return _STATUS_OUTCOME_UNKNOWN
    if outcome.ran is Ran.NO:
        status = outcome.failure.answer.status
        return status if status in _NOT_RUN_STATUSES else _STATUS_DEFAULT_NOT_RUN
    return _STATUS_TIMEOUT if kind in _TIMEOUT_KINDS else _STATUS_OUTCOME_UNKNOWN


DIALECT = Dialect(
    deadline="X-Deadline-Ms",
    caller="X-Caller-Service",
    call_id="X-Attempt-Id",
    nested_separator=".",
    instance="X-Expect-Instance",
    # The upstream sets it on each complete success.
    proof="X-Response-Seal",
    limit="Server-Limit",
    load="X-Server-Load",
    leaving="Server-Leaving",
    credentials="Authorization",
    key_scheme="Token",
    # The platform's name for a customer is tenant.
    customer="X-Tenant",
    not_run=read_refusal,
    status_of=status_of,
    accepts_close_delimited=True,
    has_refusal_body=False,
    integer_retry_after=False,
)
