"""Which node a node asks about quotas."""

from collections.abc import Callable, Mapping

from comfreytray.common.interfaces import Clock
from comfreytray.common.records import MembershipView, NodeState
from comfreytray.customers.quotaterms import rank_coordinators

AVOID_S = 3.0
"""Time for which a node that did not answer is not asked again."""
FAILURES = 2
"""Reports in succession without an answer after which a node is avoided: one may be
lost, and nodes that ask different coordinators get smaller shares."""


class CoordinatorChoice:
    """Chooses the coordinator, the same at all nodes that know the same members."""

    def __init__(
        self,
        *,
        clock: Clock,
        members: Callable[[], MembershipView],
        capacity_by_id: Mapping[str, int],
    ) -> None:
        self._clock = clock
        self._members = members
        self._capacity_by_id = capacity_by_id
        self._view: MembershipView | None = None
        self._ranked: list[str] = []
        self._ids: frozenset[str] = frozenset()
        self._avoided_until_by_id: dict[str, float] = {}
        self._failures = 0

    @property
    def member_ids(self) -> frozenset[str]:
        """Return the nodes that share the quotas; the same object while unchanged."""
        self._follow()
        return self._ids

    def pick(self) -> str:
        """Return the node to ask; empty if there is none."""
        self._follow()
        now = self._clock.monotonic()
        for node_id in self._ranked:
            if self._avoided_until_by_id.get(node_id, 0.0) <= now:
                return node_id
        return self._ranked[0] if self._ranked else ""

    def successor(self) -> str:
        """Return the node that is asked if the first one ends; empty if none."""
        self._follow()
        return self._ranked[1] if len(self._ranked) > 1 else ""

    def note_answered(self) -> None:
        """Note that the node that was picked last has answered."""
        self._failures = 0

    def note_failed(self, node_id: str) -> None:
        """Note that a node did not answer."""
        self._failures += 1
        if self._failures < FAILURES:
            return
        self._failures = 0
        self._avoided_until_by_id[node_id] = self._clock.monotonic() + AVOID_S

    def _follow(self) -> None:
        view = self._members()
        if view is self._view:
            return
        self._view = view
        ids = frozenset(
            node_id
            for node_id, record in view.by_id.items()
            if record.state in (NodeState.ALIVE, NodeState.SUSPECT)
        )
        if ids == self._ids:
            return
        self._ids = ids
        self._ranked = rank_coordinators(
            {node_id: self._capacity_by_id.get(node_id, 0) for node_id in ids}
        )
        self._avoided_until_by_id = {
            node_id: until
            for node_id, until in self._avoided_until_by_id.items()
            if node_id in ids
        }
