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
        self._calls_by_known_id: dict[str, int] = {}
        """Those of customers, and those that are nested themselves."""

    def begin(self, call: Call) -> None:
        """Note that a call is sent to the upstream."""
        for counts in self._counts_of(call):
            counts[call.call_id] = counts.get(call.call_id, 0) + 1

    def end(self, call: Call) -> None:
        """Note that a call has ended."""
        for counts in self._counts_of(call):
            left = counts.get(call.call_id, 0) - 1
            if left > 0:
                counts[call.call_id] = left
            else:
                counts.pop(call.call_id, None)

    def is_nested(self, call_id: str, *, of_customers: bool) -> bool:
        """Whether the upstream makes a call of this id while it runs another one.

        With `of_customers` the calls of callers without an account don't count: these
        choose ids themselves, and could pass each other's calls off as nested.
        """
        counts = self._calls_by_known_id if of_customers else self._calls_by_id
        if not self._separator or not counts:
            return False
        parent, separator, _ = call_id.rpartition(self._separator)
        return bool(separator) and parent in counts

    def _counts_of(self, call: Call) -> list[dict[str, int]]:
        if not self._separator or not call.call_id:
            return []
        is_known = bool(call.customer) or call.priority == NESTED_PRIORITY
        return [self._calls_by_id] + [self._calls_by_known_id] * is_known
