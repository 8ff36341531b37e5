"""Track pushes that wait for acknowledgement, and choose replacements."""

from attrs import define, field

from comfreytray.common.interfaces import Address
from comfreytray.common.records import MembershipView, NodeRecord
from comfreytray.configuration.content import Head
from comfreytray.distribution import relays

ACK_TIMEOUT_S = 0.7
MAX_ROOT_TRIES = 4
"""How many members of a region are tried as its root."""


@define(kw_only=True)
class _Pending:
    """A push whose acknowledgement is due; `root` if sent to the root of a region."""

    node: NodeRecord
    root: bool
    due_s: float


@define(kw_only=True)
class Pushes:
    """Hold the pushes of the newest version that this node forwarded."""

    head: Head | None = None
    pending_by_address: dict[Address, _Pending] = field(factory=dict)
    tried_ids: set[str] = field(factory=set)
    """Nodes that the version was pushed to."""

    def start(self, head: Head) -> None:
        """Start to track pushes of a version; drop those of an older one."""
        if self.head == head:
            return
        self.head = head
        self.pending_by_address.clear()
        self.tried_ids.clear()

    def add(self, node: NodeRecord, *, root: bool, now_s: float) -> bool:
        """Record a push; false if the node was pushed to before."""
        if node.node_id in self.tried_ids:
            return False
        self.tried_ids.add(node.node_id)
        self.pending_by_address[node.control_address] = _Pending(
            node=node, root=root, due_s=now_s + ACK_TIMEOUT_S
        )
        return True

    def acknowledge(self, sender: Address, head: Head) -> None:
        """Record that a node holds or fetches a version."""
        if self.head is not None and head.version >= self.head.version:
            self.pending_by_address.pop(sender, None)

    def replacements(
        self, view: MembershipView, now_s: float
    ) -> list[tuple[NodeRecord, bool]] | None:
        """List the targets to push to in place of nodes that did not acknowledge.

        Another member replaces the root of a region; the children of any other node
        replace it. None if no push is overdue.
        """
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
