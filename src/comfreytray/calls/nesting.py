"""Recognize calls that the upstream makes while it runs another call.

Load pattern: a service has less room than its callers ask for, and part of them are
upstreams in the middle of a call. A nested call that is refused, or comes after fresh
ones, wastes the slot that its parent holds at another service, so the parents fail
while their upstreams are as busy as before.
"""

from comfreytray.calls.call import Call

NESTED_PRIORITY = -1
"""Priority of nested calls, before that of every route."""


class RunningCalls:
    """Knows the calls that run at the upstream beside this node, by their ids."""

    def __init__(self, *, separator: str) -> None:
        self._separator = separator
        self._calls_by_id: dict[str, int] = {}

    def begin(self, call: Call) -> None:
        """Note that a call is sent to the upstream."""
        if self._separator and call.call_id:
            self._calls_by_id[call.call_id] = self._calls_by_id.get(call.call_id, 0) + 1

    def end(self, call: Call) -> None:
        """Note that a call has ended."""
        left = self._calls_by_id.get(call.call_id, 0) - 1
        if left > 0:
            self._calls_by_id[call.call_id] = left
        else:
            self._calls_by_id.pop(call.call_id, None)

    def is_nested(self, call_id: str) -> bool:
        """Whether the upstream makes a call of this id while it runs another one.

        Callers can't pass for an upstream unless they know the id of a call that runs.
        """
        if not self._separator or not self._calls_by_id:
            return False
        parent, separator, _ = call_id.rpartition(self._separator)
        return bool(separator) and parent in self._calls_by_id
