"""Recovery from the loss of a rack, a data centre or a region's links."""

from collections.abc import Callable

from attrs import frozen

from benchmarks._scale_logic import TIMEOUT_S, start_mesh
from benchmarks._simulation import Mesh, SimulatedNode
from comfreytray.common.records import NodeState

RACK_NODES = 8
OUTAGE_S = 60.0
PARTITION_S = 120.0
CHANGE_INTERVAL_S = 20.0
SETTLE_S = 10.0
DETECTION_TIMEOUT_S = 40.0


@frozen(kw_only=True)
class Loss:
    """The costs of a loss, and the times of detection and recovery."""

    name: str
    nodes: int
    lost: int
    detected_s: float
    """Time until every other node suspected or had removed all lost nodes."""
    removed_s: float
    """Time until every other node had removed them; infinite if they are kept.

    Nodes that are taken to be cut off are kept.
    """
    members_back_s: float
    """Time from the return until every node saw exactly all nodes, alive."""
    version_back_s: float
    """Time from the return until the newest version was in force everywhere."""
    bytes_per_node: float
    """Mean bytes sent and received by a node from the return until full recovery."""
    cross_region_bytes: float
    store_calls: int


def lose_nodes(mesh: Mesh, name: str, victims: list[SimulatedNode]) -> Loss:
    """Kill nodes at once, change the configuration, and start replacements."""
    begin = mesh.clock.now
    count = len(mesh.by_id)
    for node in victims:
        mesh.kill(node)
    ids = {node.record.node_id for node in victims}
    detection_s = _wait_for_detection(mesh, mesh.live_nodes(), ids)
    mesh.accept(mesh.random.choice(mesh.live_nodes()))
    mesh.run(max(0.0, OUTAGE_S - (mesh.clock.now - begin)))

    def restart() -> None:
        for node in victims:
            zone = (node.record.region, node.record.data_centre)
            endpoint = node.membership.me.endpoint
            mesh.start(zone, endpoint.service if endpoint else "service-01")

    return _measure_recovery(mesh, name, count, len(victims), detection_s, restart)


def partition_region(mesh: Mesh) -> Loss:
    """Cut the links of a region for PARTITION_S while changes are accepted."""
    regions = list(mesh.deployment.data_centres_by_region)
    cut = next(region for region in regions if region != mesh.deployment.store_region)
    inside = [node for node in mesh.live_nodes() if node.record.region == cut]
    outside = [node for node in mesh.live_nodes() if node.record.region != cut]
    mesh.network.cut_regions = {
        frozenset((cut, other)) for other in regions if other != cut
    }
    begin = mesh.clock.now
    ids = {node.record.node_id for node in inside}

    detection_s = _wait_for_detection(mesh, outside, ids)
    while mesh.clock.now - begin < PARTITION_S:
        mesh.accept(mesh.random.choice(outside))
        mesh.run(CHANGE_INTERVAL_S)

    def heal() -> None:
        mesh.network.cut_regions = set()

    return _measure_recovery(
        mesh, "region-parted", len(mesh.by_id), len(inside), detection_s, heal
    )


def _wait_for_detection(
    mesh: Mesh, observers: list[SimulatedNode], ids: set[str]
) -> tuple[float, float]:
    """Return the times until all observers suspected and removed the lost nodes."""
    begin = mesh.clock.now

    def all_suspected() -> bool:
        return all(
            observer.membership.view.by_id[node_id].state is NodeState.SUSPECT
            for observer in observers
            for node_id in ids & observer.membership.view.by_id.keys()
        )

    def all_removed() -> bool:
        return all(
            not ids & observer.membership.view.by_id.keys() for observer in observers
        )

    detected_s = mesh.run_until(all_suspected, DETECTION_TIMEOUT_S)
    mesh.run_until(all_removed, DETECTION_TIMEOUT_S - (mesh.clock.now - begin))
    return detected_s, mesh.clock.now - begin if all_removed() else float("inf")


def _measure_recovery(
    mesh: Mesh,
    name: str,
    nodes: int,
    lost: int,
    detection_s: tuple[float, float],
    recover: Callable[[], None],
) -> Loss:
    """Call `recover` and measure until all members and the version are back."""
    head = mesh.versions.head
    assert head is not None
    mesh.network.reset_counts()
    calls = sum(mesh.store.calls_by_kind.values())
    begin = mesh.clock.now
    recover()
    recovered_s_by_kind = {"members": float("inf"), "version": float("inf")}

    def is_recovered() -> bool:
        now = mesh.clock.now - begin
        if recovered_s_by_kind["members"] == float("inf") and _all_alive(mesh):
            recovered_s_by_kind["members"] = now
        if recovered_s_by_kind["version"] == float("inf") and mesh.in_force(head):
            recovered_s_by_kind["version"] = now
        return max(recovered_s_by_kind.values()) < float("inf")

    mesh.run_until(is_recovered, TIMEOUT_S)
    sizes = mesh.network.bytes_by_host
    loss = Loss(
        name=name,
        nodes=nodes,
        lost=lost,
        detected_s=detection_s[0],
        removed_s=detection_s[1],
        members_back_s=recovered_s_by_kind["members"],
        version_back_s=recovered_s_by_kind["version"],
        bytes_per_node=sum(sizes.values()) / max(1, len(mesh.by_id)),
        cross_region_bytes=mesh.network.cross_region_bytes(),
        store_calls=sum(mesh.store.calls_by_kind.values()) - calls,
    )
    mesh.run(SETTLE_S)
    return loss


def _all_alive(mesh: Mesh) -> bool:
    ids = mesh.by_id.keys()
    for node in mesh.live_nodes():
        by_id = node.membership.view.by_id
        if by_id.keys() != ids:
            return False
        if any(member.state is not NodeState.ALIVE for member in by_id.values()):
            return False
    return True


def measure(nodes: int, seed: int) -> list[Loss]:
    """Measure each kind of loss in turn at one fleet size."""
    mesh = start_mesh(nodes, seed)
    data_centre = mesh.live_nodes()[0].record.data_centre
    inside = [
        node for node in mesh.live_nodes() if node.record.data_centre == data_centre
    ]
    losses = [lose_nodes(mesh, "rack", inside[:RACK_NODES])]
    inside = [
        node for node in mesh.live_nodes() if node.record.data_centre == data_centre
    ]
    losses.append(lose_nodes(mesh, "data-centre", inside))
    losses.append(partition_region(mesh))
    return losses
