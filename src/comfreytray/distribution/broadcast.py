"""Forward versions: once to the root of each region, then down a tree within it."""

from collections.abc import Callable

from comfreytray.common.budgets import TokenBucket
from comfreytray.common.interfaces import Clock, Network
from comfreytray.common.records import MembershipView, NodeRecord
from comfreytray.configuration.content import Head
from comfreytray.distribution import deltas, relays
from comfreytray.distribution.exchange import Digest, Push
from comfreytray.distribution.localversions import LocalVersions
from comfreytray.distribution.pushes import Pushes

MAX_PUSH_BYTES = 48 * 1024


class Broadcaster:
    """Send the held version to the nodes that this node relays to.

    A root is the node that first gets a version in its region and forwards it there.
    """

    def __init__(
        self,
        *,
        node: Callable[[], NodeRecord],
        members: Callable[[], MembershipView],
        clock: Clock,
        network: Network,
        local: LocalVersions,
        budget: TokenBucket,
    ) -> None:
        self.pushes = Pushes()
        self._node = node
        self._members = members
        self._clock = clock
        self._network = network
        self._local = local
        self._budget = budget
        self._push: Push | None = None
        self._root_head: Head | None = None
        """The last version for which this node was the root of its region."""

    def keep_push(self, push: Push) -> None:
        """Keep a push that completed the version, to forward its deltas unchanged."""
        self._push = push

    def forward_to_all_regions(self) -> None:
        """Forward the held version to the root of each region."""
        regions = relays.regions(self._members()) | {self._node().region}
        for region in sorted(regions):
            self.forward_to_root(region)

    def forward_to_root(self, region: str) -> None:
        """Forward the held version to the root of a region, which may be this node."""
        head = self._local.held
        if head is None:
            return
        node = self._node()
        order = relays.ranked_in_region(head.digest, self._members(), region)
        is_root = not order or order[0].node_id == node.node_id
        if is_root and region == node.region:
            self.forward_to_children(root=True)
        elif order:
            self._forward(head, [(order[0], True)])

    def forward_to_children(self, *, root: bool) -> None:
        """Forward the held version to this node's children in the tree.

        The root of a region also sends to one node of each data centre.
        """
        head = self._local.held
        if head is None:
            return
        if root:
            self._root_head = head
        self._forward(head, [(child, False) for child in self._children(head)])

    def tick(self) -> None:
        """Push the held version again if nodes did not acknowledge it in time.

        It goes to the nodes that replace them and to this node's current children in
        the region's tree.
        """
        head = self._local.held
        if head is None or self.pushes.head != head:
            return
        now = self._clock.monotonic()
        replacements = self.pushes.replacements(self._members(), now)
        if replacements is None:
            return
        # Members may have left since, which gives this node other children.
        children = [(child, False) for child in self._children(head)]
        self._forward(head, replacements + children)

    def _children(self, head: Head) -> list[NodeRecord]:
        is_root = self._root_head == head
        children_of = relays.root_children if is_root else relays.tree_children
        return children_of(head.digest, self._members(), self._node())

    def _forward(self, head: Head, targets: list[tuple[NodeRecord, bool]]) -> None:
        """Push a version to nodes, or its digest if it is large or the budget is spent.

        Each target comes with whether it is to act as the root of its region.
        """
        now = self._clock.monotonic()
        self.pushes.start(head)
        for node, root in targets:
            if node.node_id == self._node().node_id:
                continue
            if not self.pushes.add(node, root=root, now_s=now):
                continue
            push = self._push_for(head)
            message: Push | Digest = Digest(head=head, answer=True, root=root)
            if push is not None and self._budget.can_spend(now):
                self._budget.spend(_size_of(push), now)
                message = Push(head=head, root=root, deltas=push.deltas)
            self._network.send_stream(node.control_address, message)

    def _push_for(self, head: Head) -> Push | None:
        """Return the held version as a push, None if it does not fit into one."""
        if self._push is None or self._push.head != head:
            pairs = self._local.difference(self._local.parent(), head).items()
            found = deltas.bundle(self._local.content, pairs, MAX_PUSH_BYTES)
            complete_deltas = found if len(found) == len(pairs) else ()
            self._push = Push(head=head, root=False, deltas=complete_deltas)
        return self._push if 0 < _size_of(self._push) <= MAX_PUSH_BYTES else None


def _size_of(push: Push) -> int:
    return sum(len(delta.data) for delta in push.deltas)
