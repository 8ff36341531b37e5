"""The choice of the node that decides on a service's roll-outs.

Nodes need not agree: the generation in the status lets only one of them act, and a node
that hears from none sends nothing to the new version.
"""

from comfreytray.common.records import MembershipView, NodeRecord
from comfreytray.distribution.relays import alive, rank

SALT = b"rollout:"
MAX_CANDIDATES = 6
"""Nodes that are tried in turn; a third of all may be cut off."""
AVOID_S = 2.0
"""Time for which a node that did not answer is passed over."""


class DeciderChoice:
    """Chooses the decider of one service, as seen from one node."""

    def __init__(self, *, service: str) -> None:
        self._salt = SALT + service.encode()
        self._avoid_until_by_id: dict[str, float] = {}
        self._view: MembershipView | None = None
        self._ranked: list[NodeRecord] = []

    def pick(
        self, view: MembershipView, *, own_id: str, present: str, now: float
    ) -> NodeRecord | None:
        """Return the present decider if it answers, else the first that may."""
        self._rank(view)
        known = view.by_id.get(present)
        candidates = self._ranked if known is None else [known, *self._ranked]
        for record in candidates:
            avoid_until = self._avoid_until_by_id.get(record.node_id, 0.0)
            if record.node_id == own_id or avoid_until <= now:
                return record
        return None

    def position(self, view: MembershipView, own_id: str) -> int | None:
        """Return this node's place among the candidates; None if it is none."""
        self._rank(view)
        ids = [record.node_id for record in self._ranked]
        return ids.index(own_id) if own_id in ids else None

    def _rank(self, view: MembershipView) -> None:
        if view is not self._view:
            self._view = view
            self._ranked = rank(self._salt, alive(view))[:MAX_CANDIDATES]

    def avoid(self, node_id: str, now: float) -> None:
        """Pass over a node that did not answer."""
        self._avoid_until_by_id[node_id] = now + AVOID_S
        for known_id, until in list(self._avoid_until_by_id.items()):
            if until <= now:
                del self._avoid_until_by_id[known_id]
