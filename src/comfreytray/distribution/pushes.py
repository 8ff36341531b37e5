"""Track pushes that wait for their acknowledgement, and who stands in."""

from attrs import define, field

from comfreytray.common.interfaces import Address
from comfreytray.common.records import MembershipView, NodeRecord
from comfreytray.configuration.content import Head
from comfreytray.distribution import relays

ACK_TIMEOUT_S = 0.7
MAX_ROOT_TRIES = 4


@define(kw_only=True)
class _Pending:
    node: NodeRecord
    root: bool
    due_s: float


@define(kw_only=True)
class Pushes:
    """Hold the pushes of the newest version that this node passed on."""

    head: Head | None = None
    pending_by_address: dict[Address, _Pending] = field(factory=dict)
    tried_ids: set[str] = field(factory=set)

    def start(self, head: Head) -> None:
        """Begin to pass on a version; older pushes no longer matter."""
        if self.head == head:
            return
        self.head = head
        self.pending_by_address.clear()
        self.tried_ids.clear()

    def add(self, node: NodeRecord, *, root: bool, now_s: float) -> bool:
        """Note a push; false when the node was pushed to before."""
        if node.node_id in self.tried_ids:
            return False
        self.tried_ids.add(node.node_id)
        self.pending_by_address[node.control_address] = _Pending(
            node=node, root=root, due_s=now_s + ACK_TIMEOUT_S
        )
        return True

    def acknowledge(self, sender: Address, head: Head) -> None:
        """Note that a node holds or fetches a version."""
        if self.head is not None and head.version >= self.head.version:
            self.pending_by_address.pop(sender, None)

    def stand_ins(
        self, view: MembershipView, now_s: float
    ) -> list[tuple[NodeRecord, bool]] | None:
        """List who to push to in place of nodes that did not answer; None for none."""
        pending = self.pending_by_address.values()
        if self.head is None or all(now_s < item.due_s for item in pending):
            return None
        salt = self.head.digest
        found: list[tuple[NodeRecord, bool]] = []
        for address, late in list(self.pending_by_address.items()):
            if now_s < late.due_s:
                continue
            del self.pending_by_address[address]
            if late.root:
                found.extend(self._next_root(salt, view, late.node.region))
            else:
                children = relays.tree_children(salt, view, late.node)
                found.extend((child, False) for child in children)
        return found

    def _next_root(
        self, salt: bytes, view: MembershipView, region: str
    ) -> list[tuple[NodeRecord, bool]]:
        order = relays.ranked_in_region(salt, view, region)[:MAX_ROOT_TRIES]
        for node in order:
            if node.node_id not in self.tried_ids:
                return [(node, True)]
        return []
