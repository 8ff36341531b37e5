"""Choose the nodes that pass things on, by rendezvous hashing and no agreement.

Two nodes whose views differ choose differently for a while; that costs bytes only.
"""

from collections.abc import Iterable

import xxhash

from comfreytray.common.records import MembershipView, NodeRecord, NodeState

WATCHERS_PER_REGION = 2
"""How many members of a region ask the store; it does not grow with the fleet."""
COLLECTORS_PER_REGION = 2
TREE_FANOUT = 4

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
    """List the members that may pass things on."""
    return [node for node in view.by_id.values() if node.state is NodeState.ALIVE]


def regions(view: MembershipView) -> set[str]:
    """Name the regions that have members."""
    return {node.region for node in view.by_id.values()}


def ranked_in_region(
    salt: bytes, view: MembershipView, region: str
) -> list[NodeRecord]:
    """Order the live members of a region by score."""
    return rank(salt, (node for node in alive(view) if node.region == region))


def watch_rank(view: MembershipView, node: NodeRecord) -> int | None:
    """Give a node's place among its region's watchers, None if it is none."""
    watchers = ranked_in_region(WATCH_SALT, view, node.region)[:WATCHERS_PER_REGION]
    return _place_of(node, watchers)


def collectors(view: MembershipView, region: str) -> list[NodeRecord]:
    """Choose the members that gather a region's status."""
    return ranked_in_region(STATUS_SALT, view, region)[:COLLECTORS_PER_REGION]


def root_children(
    salt: bytes, view: MembershipView, node: NodeRecord
) -> list[NodeRecord]:
    """List whom the root of a region sends to: data centres' first, then its own."""
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
    place = _place_of(node, order)
    if place is None:
        return []
    start = TREE_FANOUT * place + 1
    return order[start : start + TREE_FANOUT]


def _place_of(node: NodeRecord, order: list[NodeRecord]) -> int | None:
    for place, member in enumerate(order):
        if member.node_id == node.node_id:
            return place
    return None
