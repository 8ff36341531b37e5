"""Choose the nodes that relay versions and status, by rendezvous hashing.

Nodes do not agree on the choice: nodes whose membership views differ choose
differently for a while, which costs only additional traffic.
"""

from collections.abc import Iterable

import xxhash

from comfreytray.common.records import MembershipView, NodeRecord, NodeState

WATCHERS_PER_REGION = 2
"""How many members of a region watch the store, however large the fleet is."""
COLLECTORS_PER_REGION = 2
"""How many members of a region collect its status reports."""
TREE_FANOUT = 4
"""How many nodes each node of a tree sends to."""

WATCH_SALT = b"watch"
STATUS_SALT = b"status"


def rank(salt: bytes, members: Iterable[NodeRecord]) -> list[NodeRecord]:
    """Order members by their rendezvous score, highest first."""
    return sorted(
        members,
        key=lambda node: xxhash.xxh3_64_intdigest(node.node_id.encode() + salt),
        reverse=True,
    )


def alive(view: MembershipView) -> list[NodeRecord]:
    """List the members that may relay."""
    return [node for node in view.by_id.values() if node.state is NodeState.ALIVE]


def regions(view: MembershipView) -> set[str]:
    """Return the regions that have members."""
    return {node.region for node in view.by_id.values()}


def ranked_in_region(
    salt: bytes, view: MembershipView, region: str
) -> list[NodeRecord]:
    """Order the live members of a region by score, highest first."""
    return rank(salt, (node for node in alive(view) if node.region == region))


def watch_rank(view: MembershipView, node: NodeRecord) -> int | None:
    """Return a node's rank among its region's watchers, None if it is not a watcher."""
    watchers = ranked_in_region(WATCH_SALT, view, node.region)[:WATCHERS_PER_REGION]
    return _position_of(node, watchers)


def collectors(view: MembershipView, region: str) -> list[NodeRecord]:
    """Choose the members that collect a region's status reports."""
    return ranked_in_region(STATUS_SALT, view, region)[:COLLECTORS_PER_REGION]


def root_children(
    salt: bytes, view: MembershipView, node: NodeRecord
) -> list[NodeRecord]:
    """List the nodes to which the root of a region sends.

    These are the first node of each data centre, then the root's children in its own.
    """
    first_by_data_centre: dict[str, NodeRecord] = {}
    for member in ranked_in_region(salt, view, node.region):
        first_by_data_centre.setdefault(member.data_centre, member)
    firsts = [
        member
        for member in first_by_data_centre.values()
        if member.node_id != node.node_id
    ]
    first_ids = {member.node_id for member in firsts}
    own = tree_children(salt, view, node)
    return firsts + [member for member in own if member.node_id not in first_ids]


def tree_children(
    salt: bytes, view: MembershipView, node: NodeRecord
) -> list[NodeRecord]:
    """List a node's children in the tree of its data centre."""
    order = rank(
        salt,
        (
            member
            for member in alive(view)
            if member.region == node.region and member.data_centre == node.data_centre
        ),
    )
    position = _position_of(node, order)
    if position is None:
        return []
    start = TREE_FANOUT * position + 1
    return order[start : start + TREE_FANOUT]


def _position_of(node: NodeRecord, order: list[NodeRecord]) -> int | None:
    for position, member in enumerate(order):
        if member.node_id == node.node_id:
            return position
    return None
