"""Pass versions on: to the root of each region once, then along trees."""

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
    """Send the version that is held to the nodes that this one relays to."""

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
        self._rooted: Head | None = None
        """The version for which this node was the root of its region."""

    def keep(self, push: Push) -> None:
        """Keep a push that made the version whole, to pass it on as it is."""
        self._push = push

    def spread_everywhere(self) -> None:
        """Pass a new version on to the root of each region."""
        regions = relays.regions(self._members()) | {self._node().region}
        for region in sorted(regions):
            self.spread_to_root(region)

    def spread_to_root(self, region: str) -> None:
        """Pass a version on to the root of a region, which may be this node."""
        head = self._local.held
        if head is None:
            return
        node = self._node()
        order = relays.ranked_in_region(head.digest, self._members(), region)
        is_root = not order or order[0].node_id == node.node_id
        if is_root and region == node.region:
            self.spread_to_children(root=True)
        elif order:
            self._pass_on(head, [(order[0], True)])

    def spread_to_children(self, *, root: bool) -> None:
        """Pass a version on to this node's children, as root of the region or not."""
        head = self._local.held
        if head is None:
            return
        if root:
            self._rooted = head
        self._pass_on(head, [(child, False) for child in self._children(head)])

    def tick(self) -> None:
        """Push to others in place of the nodes that did not answer in time."""
        head = self._local.held
        if head is None or self.pushes.head != head:
            return
        now = self._clock.monotonic()
        stand_ins = self.pushes.stand_ins(self._members(), now)
        if stand_ins is None:
            return
        # Members that are gone by now have left the tree: others are below this node.
        children = [(child, False) for child in self._children(head)]
        self._pass_on(head, stand_ins + children)

    def _children(self, head: Head) -> list[NodeRecord]:
        is_root = self._rooted == head
        choose = relays.root_children if is_root else relays.tree_children
        return choose(head.digest, self._members(), self._node())

    def _pass_on(self, head: Head, targets: list[tuple[NodeRecord, bool]]) -> None:
        """Send a version to nodes, by digest where it is large or the budget spent."""
        now = self._clock.monotonic()
        self.pushes.start(head)
        for node, root in targets:
            if node.node_id == self._node().node_id:
                continue
            if not self.pushes.add(node, root=root, now_s=now):
                continue
            push = self._push_of(head)
            message: Push | Digest = Digest(head=head, answer=True, root=root)
            if push is not None and self._budget.can_spend(now):
                self._budget.spend(_size_of(push), now)
                message = Push(head=head, root=root, deltas=push.deltas)
            self._network.send_stream(node.control_address, message)

    def _push_of(self, head: Head) -> Push | None:
        """Return the held version as a push, None if it is too large for one."""
        if self._push is None or self._push.head != head:
            pairs = self._local.difference(self._local.parent(), head).items()
            found = deltas.bundle(self._local.content, pairs, MAX_PUSH_BYTES)
            whole = found if len(found) == len(pairs) else ()
            self._push = Push(head=head, root=False, deltas=whole)
        return self._push if 0 < _size_of(self._push) <= MAX_PUSH_BYTES else None


def _size_of(push: Push) -> int:
    return sum(len(delta.data) for delta in push.deltas)
