"""The platform's header names and what its statuses promise."""

from comfreytray.calls.call import Outcome
from comfreytray.calls.dialect import Dialect, FieldLookup, Refusal
from comfreytray.common.errors import Kind, Ran

# An upstream that has this field in an answer did not run the request.
_NOT_RUN_HEADER = "X-Not-Executed"
_STATUS_ANOTHER_INSTANCE = 421
_NOT_RUN_STATUSES = frozenset({400, 404, 405, 408, 413, 429, 431, 503})
"""Statuses of refusals that keep their meaning here: the request has not run."""
_STATUS_DEFAULT_NOT_RUN = 503
_STATUS_TIMEOUT = 504
_STATUS_OUTCOME_UNKNOWN = 502
_TIMEOUT_KINDS = frozenset({Kind.DEADLINE_WHILE_RUNNING, Kind.DEADLINE_BEFORE_RUN})


def read_refusal(status: int, fields: FieldLookup) -> Refusal | None:
    """Tell whether an upstream says that it did not run a request."""
    if status == _STATUS_ANOTHER_INSTANCE:
        return Refusal.ANOTHER_INSTANCE
    return None if fields.get(_NOT_RUN_HEADER) is None else Refusal.BUSY


def status_of(outcome: Outcome) -> int:
    """Give the status of a failure: 503 and its like promise that nothing ran."""
    kind = outcome.failure.kind
    if outcome.ran is Ran.NO:
        status = outcome.failure.answer.status
        return status if status in _NOT_RUN_STATUSES else _STATUS_DEFAULT_NOT_RUN
    return _STATUS_TIMEOUT if kind in _TIMEOUT_KINDS else _STATUS_OUTCOME_UNKNOWN


DIALECT = Dialect(
    deadline="X-Deadline-Ms",
    caller="X-Caller-Service",
    call_id="X-Attempt-Id",
    instance="X-Expect-Instance",
    # Set by the upstream on each whole success.
    proof="X-Response-Seal",
    not_run=read_refusal,
    status_of=status_of,
    accepts_close_delimited=True,
    has_refusal_body=False,
    integer_retry_after=False,
)
