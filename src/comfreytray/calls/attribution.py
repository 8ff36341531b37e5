"""Decides which call an answer on a connection to the upstream belongs to.

A faulty upstream may send an answer twice. The copy arrives where the answer to a later
call on the connection is due, and one that says "not run" would have that call repeated
although it runs.
"""

from collections import OrderedDict
from enum import Enum

from comfreytray.calls.call import Call
from comfreytray.calls.dialect import Dialect, FieldLookup

MAX_REFUSED_CALLS = 4096
"""Refused calls that are remembered; the oldest is dropped."""


class AnswerTo(Enum):
    """The call that an answer belongs to."""

    THIS_CALL = "this-call"
    ANOTHER_CALL = "another-call"
    DOUBTFUL = "doubtful"
    """It names no call, and an earlier call of the connection may be meant."""


def attribute(
    status: int,
    fields: FieldLookup,
    *,
    call: Call,
    attempt: int,
    is_kept: bool,
    dialect: Dialect,
) -> AnswerTo:
    """Return the call that an answer belongs to.

    `attempt` is the number of the send that waits for an answer, and `is_kept` whether
    its connection has served other calls before.
    """
    expected = str(attempt) if dialect.attempt else call.call_id
    name = dialect.attempt or dialect.call_id
    if not name or not expected:
        return AnswerTo.THIS_CALL
    answered = fields.get(name)
    if answered is not None:
        is_own = answered.strip() == expected
        return AnswerTo.THIS_CALL if is_own else AnswerTo.ANOTHER_CALL
    if not is_kept:
        return AnswerTo.THIS_CALL
    if dialect.call_id:
        return AnswerTo.DOUBTFUL
    # Upstreams of other dialects need not name calls. A call that may run again is
    # not harmed by a refusal that belongs to another one.
    is_refusal = dialect.not_run(status, fields) is not None
    if is_refusal and not call.idempotent:
        return AnswerTo.DOUBTFUL
    return AnswerTo.THIS_CALL


class RefusedCalls:
    """Remembers the calls that the upstream refused, where only the id names them.

    The copy of a refusal would name such a call when it is sent again. New connections
    carry no answer from before.
    """

    def __init__(self, *, dialect: Dialect) -> None:
        self._is_needed = bool(dialect.call_id) and not dialect.attempt
        self._ids: OrderedDict[str, None] = OrderedDict()

    def record(self, call: Call) -> None:
        """Remember a refused call, if it must not run twice."""
        if call.idempotent or not self._is_needed or not call.call_id:
            return
        self._ids[call.call_id] = None
        if len(self._ids) > MAX_REFUSED_CALLS:
            self._ids.popitem(last=False)

    def includes(self, call: Call) -> bool:
        """Whether a call was refused before."""
        return call.call_id in self._ids
