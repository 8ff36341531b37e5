"""What the loss of a rack, a data centre or a region's links costs."""

from collections.abc import Callable

from attrs import frozen

from benchmarks._scale_logic import LIMIT_S, start_mesh
from benchmarks._simulation import Mesh, SimulatedNode
from comfreytray.common.records import NodeState

RACK_NODES = 8
OUTAGE_S = 60.0
PARTED_S = 120.0
CHANGE_INTERVAL_S = 20.0
AFTER_S = 10.0
NOTICE_LIMIT_S = 40.0


@frozen(kw_only=True)
class Loss:
    """Hold what a loss cost and how long until all was back."""

    name: str
    nodes: int
    lost: int
    noticed_s: float
    """Until every other node held the lost ones for suspect, dead or gone."""
    dropped_s: float
    """Until every other node had dropped them; infinite if held for cut off."""
    members_back_s: float
    """From the return until every node saw all alive and nobody else."""
    version_back_s: float
    """From the return until the newest version was in force everywhere."""
    bytes_per_node: float
    """Sent and received by a node from the return until all was back."""
    cross_region_bytes: float
    store_calls: int


def lose_nodes(mesh: Mesh, name: str, victims: list[SimulatedNode]) -> Loss:
    """Kill nodes at once, change the configuration, and start as many again."""
    begin = mesh.clock.now
    count = len(mesh.by_id)
    for node in victims:
        mesh.kill(node)
    ids = {node.record.node_id for node in victims}
    noticed = _until_noticed(mesh, mesh.living(), ids)
    mesh.accept(mesh.random.choice(mesh.living()))
    mesh.run(max(0.0, OUTAGE_S - (mesh.clock.now - begin)))

    def restart() -> None:
        for node in victims:
            place = (node.record.region, node.record.data_centre)
            endpoint = node.membership.me.endpoint
            mesh.start(place, endpoint.service if endpoint else "service-01")

    return _come_back(mesh, name, count, len(victims), noticed, restart)


def part_region(mesh: Mesh) -> Loss:
    """Cut the links of a region for minutes while changes are accepted."""
    regions = list(mesh.deployment.data_centres_by_region)
    cut = next(one for one in regions if one != mesh.deployment.store_region)
    inside = [node for node in mesh.living() if node.record.region == cut]
    outside = [node for node in mesh.living() if node.record.region != cut]
    mesh.network.cut_regions = {
        frozenset((cut, other)) for other in regions if other != cut
    }
    begin = mesh.clock.now
    ids = {node.record.node_id for node in inside}

    noticed = _until_noticed(mesh, outside, ids)
    while mesh.clock.now - begin < PARTED_S:
        mesh.accept(mesh.random.choice(outside))
        mesh.run(CHANGE_INTERVAL_S)

    def heal() -> None:
        mesh.network.cut_regions = set()

    return _come_back(
        mesh, "region-parted", len(mesh.by_id), len(inside), noticed, heal
    )


def _until_noticed(
    mesh: Mesh, watchers: list[SimulatedNode], ids: set[str]
) -> tuple[float, float]:
    """Return when all watchers doubted the lost nodes, and when all dropped them."""
    begin = mesh.clock.now

    def doubted() -> bool:
        return all(
            watcher.membership.view.by_id[node_id].state is NodeState.SUSPECT
            for watcher in watchers
            for node_id in ids & watcher.membership.view.by_id.keys()
        )

    def dropped() -> bool:
        return all(
            not ids & watcher.membership.view.by_id.keys() for watcher in watchers
        )

    noticed_s = mesh.run_until(doubted, NOTICE_LIMIT_S)
    mesh.run_until(dropped, NOTICE_LIMIT_S - (mesh.clock.now - begin))
    return noticed_s, mesh.clock.now - begin if dropped() else float("inf")


def _come_back(
    mesh: Mesh,
    name: str,
    nodes: int,
    lost: int,
    noticed: tuple[float, float],
    back: Callable[[], None],
) -> Loss:
    head = mesh.versions.head
    assert head is not None
    mesh.network.reset_counts()
    calls = sum(mesh.store.calls_by_kind.values())
    begin = mesh.clock.now
    back()
    at = {"members": float("inf"), "version": float("inf")}

    def all_back() -> bool:
        now = mesh.clock.now - begin
        if at["members"] == float("inf") and _all_alive(mesh):
            at["members"] = now
        if at["version"] == float("inf") and mesh.in_force(head):
            at["version"] = now
        return max(at.values()) < float("inf")

    mesh.run_until(all_back, LIMIT_S)
    sizes = mesh.network.bytes_by_host
    loss = Loss(
        name=name,
        nodes=nodes,
        lost=lost,
        noticed_s=noticed[0],
        dropped_s=noticed[1],
        members_back_s=at["members"],
        version_back_s=at["version"],
        bytes_per_node=sum(sizes.values()) / max(1, len(mesh.by_id)),
        cross_region_bytes=mesh.network.cross_region_bytes(),
        store_calls=sum(mesh.store.calls_by_kind.values()) - calls,
    )
    mesh.run(AFTER_S)
    return loss


def _all_alive(mesh: Mesh) -> bool:
    ids = mesh.by_id.keys()
    for node in mesh.living():
        by_id = node.membership.view.by_id
        if by_id.keys() != ids:
            return False
        if any(one.state is not NodeState.ALIVE for one in by_id.values()):
            return False
    return True


def measure(nodes: int, seed: int) -> list[Loss]:
    """Measure all losses, one after the other, at one fleet size."""
    mesh = start_mesh(nodes, seed)
    centre = mesh.living()[0].record.data_centre
    inside = [node for node in mesh.living() if node.record.data_centre == centre]
    losses = [lose_nodes(mesh, "rack", inside[:RACK_NODES])]
    inside = [node for node in mesh.living() if node.record.data_centre == centre]
    losses.append(lose_nodes(mesh, "data-centre", inside))
    losses.append(part_region(mesh))
    return losses
