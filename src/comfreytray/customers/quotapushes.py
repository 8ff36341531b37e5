"""When a coordinator sends a node an answer that it has not asked for."""

import math
from collections.abc import Collection

from comfreytray.customers.quotacontacts import Contacts

PUSH_LEAD_S = 0.3
"""Time before the end of its contact at which a node that has no calls is asked."""
PUSH_RETRY_S = 1.0
PUSH_GAP_S = 0.1
"""Shortest time between two pushes to a node, except to one that does not answer."""


class PushSchedule:
    """Tells which nodes are due.

    Nodes without calls don't report; a new limit can't wait for the next reports.
    """

    def __init__(self) -> None:
        self._pushed_at_by_id: dict[str, float] = {}
        self._bound_at_by_id: dict[str, float] = {}
        """When each node was last sent an answer that it adopts."""

    def note_bound(self, node_id: str, now: float) -> None:
        """Note an answer that a node adopts."""
        self._bound_at_by_id[node_id] = now

    def due(
        self,
        member_ids: Collection[str],
        contacts: Contacts,
        now: float,
        *,
        bound_after: float,
    ) -> list[str]:
        """Return the nodes that are due, and count them as sent to.

        Nodes that have adopted no answer since `bound_after` are due at once.
        """
        push_after_s = contacts.contact_s - PUSH_LEAD_S
        due: list[str] = []
        for node_id in sorted(member_ids):
            node = contacts.by_id.get(node_id)
            pushed_at = self._pushed_at_by_id.get(node_id, -math.inf)
            if node is None:
                is_due = now - pushed_at >= PUSH_RETRY_S
            else:
                bound_at = self._bound_at_by_id.get(node_id, -math.inf)
                is_silent = now - max(node.contact_at, pushed_at) >= push_after_s
                is_unbound = bound_at < bound_after and now - pushed_at >= PUSH_GAP_S
                is_due = is_silent or is_unbound
            if is_due:
                self._pushed_at_by_id[node_id] = now
                due.append(node_id)
        return due

    def forget(self, node_id: str) -> None:
        """Drop what is kept of a node."""
        self._pushed_at_by_id.pop(node_id, None)
        self._bound_at_by_id.pop(node_id, None)
