"""Costs of the nodes' decision logic, many simulated nodes in one process."""

import time

import attrs
from attrs import define, field

from benchmarks._deployments import (
    DAY_S,
    DESIGN_CHANGES_PER_DAY,
    DESIGN_NODES,
    DESIGN_REPLACEMENTS_PER_DAY,
    design_deployment,
)
from benchmarks._simulation import Mesh, SimulatedNode
from comfreytray.membership.announcements import load_interval_s

TIMEOUT_S = 300.0
SETTLE_S = 15.0
CALM_S = 20.0
CHURN_S = 30.0
CHURN_SCALE = 60.0
"""Factor by which churn runs faster than the design's daily rates."""
STORM_SHARE = 0.3
"""Share of the nodes that are killed at once."""
STORM_DOWN_S = 2.0
"""Time between the kills and the start of the replacements."""
STORM_S = 30.0
CHANGES = 5


@define(kw_only=True)
class Point:
    """The costs of one phase at one fleet size."""

    nodes: int
    phase: str
    elapsed_s: float = 0.0
    bytes_per_node_s: float = 0.0
    cross_region_bytes_per_s: float = 0.0
    messages_per_node_s: float = 0.0
    busiest_node_bytes_per_s: float = 0.0
    bytes_by_purpose: dict[str, float] = field(factory=dict)
    """Sent, per node and second."""
    messages_by_purpose: dict[str, float] = field(factory=dict)
    """Sent, per node and second."""
    store_calls_by_kind: dict[str, float] = field(factory=dict)
    """Per second."""
    logic_cpu_share: float = 0.0
    """Processor time of the simulation for each node, as a share of one core."""
    times_s: list[float] = field(factory=list)
    """Convergence time of each change.

    In a storm, the time until all members are back, and until the version is too.
    """
    events: int = 0


class Meter:
    """Count the traffic and store calls of a mesh after its creation."""

    def __init__(self, mesh: Mesh, phase: str) -> None:
        self._mesh = mesh
        self._phase = phase
        mesh.network.reset_counts()
        self._store_before = dict(mesh.store.calls_by_kind)
        self._begin = mesh.clock.now
        self._cpu_before = time.process_time()

    def point(self, nodes: int) -> Point:
        """Return the costs since this meter was created."""
        mesh = self._mesh
        cpu_s = time.process_time() - self._cpu_before
        elapsed = mesh.clock.now - self._begin
        per_node = nodes * elapsed
        flows = mesh.network.bytes_by_flow
        by_purpose: dict[str, float] = {}
        for (purpose, _, _), size in flows.items():
            by_purpose[purpose] = by_purpose.get(purpose, 0.0) + size / per_node
        calls = {
            kind: (count - self._store_before.get(kind, 0)) / elapsed
            for kind, count in mesh.store.calls_by_kind.items()
        }
        messages = mesh.network.messages_by_purpose
        return Point(
            nodes=nodes,
            phase=self._phase,
            elapsed_s=elapsed,
            bytes_per_node_s=2 * sum(by_purpose.values()),
            cross_region_bytes_per_s=mesh.network.cross_region_bytes() / elapsed,
            messages_per_node_s=sum(messages.values()) / per_node,
            busiest_node_bytes_per_s=max(mesh.network.bytes_by_host.values()) / elapsed,
            bytes_by_purpose=by_purpose,
            messages_by_purpose={k: v / per_node for k, v in messages.items()},
            store_calls_by_kind=calls,
            logic_cpu_share=cpu_s / per_node,
        )


def start_mesh(nodes: int, seed: int) -> Mesh:
    """Start a simulated fleet with the design's services and let it settle."""
    mesh = Mesh(deployment=design_deployment(nodes), seed=seed, preloaded=True)
    mesh.start_all()
    mesh.run_until(mesh.all_joined, TIMEOUT_S)
    mesh.run(SETTLE_S)
    return mesh


def measure_calm(mesh: Mesh, seconds: float) -> Point:
    """Measure a period without changes or failures."""
    meter = Meter(mesh, "calm")
    mesh.run(seconds)
    return meter.point(len(mesh.by_id))


def measure_changes(mesh: Mesh, changes: int) -> Point:
    """Accept changes while nothing fails."""
    meter = Meter(mesh, "changes")
    times = []
    for _ in range(changes):
        head = mesh.accept(mesh.random.choice(mesh.live_nodes()))
        times.append(mesh.run_until(lambda head=head: mesh.in_force(head), TIMEOUT_S))  # type: ignore[misc]
        mesh.run(1.0)
    point = meter.point(len(mesh.by_id))
    point.times_s, point.events = times, changes
    return point


def measure_loads(mesh: Mesh, seconds: float) -> Point:
    """Measure the worst case of load updates.

    The load of each upstream changes as often as its node passes updates on.
    """
    nodes = len(mesh.by_id)
    rate = nodes / load_interval_s(nodes)
    meter = Meter(mesh, "loads")
    end = mesh.clock.now + seconds
    due, events = 0.0, 0
    while mesh.clock.now < end:
        due += rate * 0.1
        while due >= 1:
            due -= 1
            events += 1
            _change_load(mesh, mesh.random.choice(mesh.live_nodes()))
        mesh.run(0.1)
    point = meter.point(nodes)
    point.events = events
    return point


def _change_load(mesh: Mesh, node: SimulatedNode) -> None:
    endpoint = node.membership.me.endpoint
    if endpoint is not None:
        load = mesh.random.uniform(0.0, 1.0)
        node.membership.set_endpoint(attrs.evolve(endpoint, reported_load=load))


def measure_churn(mesh: Mesh, seconds: float) -> Point:
    """Measure node replacements and changes at scaled daily rates."""
    nodes = len(mesh.by_id)
    rate = CHURN_SCALE / DAY_S
    replacements = DESIGN_REPLACEMENTS_PER_DAY * rate * nodes / DESIGN_NODES
    changes = DESIGN_CHANGES_PER_DAY * rate
    replacements_due = changes_due = 0.0
    pending: list[tuple[float, int]] = []
    times: list[float] = []
    meter = Meter(mesh, "churn")
    end = mesh.clock.now + seconds
    events = 0
    while mesh.clock.now < end:
        replacements_due += replacements * 0.1
        changes_due += changes * 0.1
        while replacements_due >= 1:
            replacements_due -= 1
            events += 1
            _replace(mesh)
        while changes_due >= 1:
            changes_due -= 1
            events += 1
            head = mesh.accept(mesh.random.choice(mesh.live_nodes()))
            pending.append((mesh.clock.now, head.version))
        mesh.run(0.1)
        pending = _record_applied(mesh, pending, times)
    mesh.run_until(lambda: not _record_applied(mesh, pending, times), TIMEOUT_S)
    point = meter.point(nodes)
    point.times_s, point.events = times, events
    return point


def _replace(mesh: Mesh) -> None:
    """Let a random node leave and start a new one in its zone."""
    node = mesh.random.choice(mesh.live_nodes())
    zone = (node.record.region, node.record.data_centre)
    endpoint = node.membership.me.endpoint
    node.membership.leave()
    node.membership.finish_leaving()
    mesh.kill(node)
    mesh.start(zone, endpoint.service if endpoint is not None else "service-01")


def _record_applied(
    mesh: Mesh, pending: list[tuple[float, int]], times: list[float]
) -> list[tuple[float, int]]:
    """Move versions that all live nodes have applied from `pending` to `times`."""
    pending_after = []
    lowest = min(
        (held.head.version if (held := node.distributor.snapshot) else 0)
        for node in mesh.live_nodes()
    )
    for since, version in pending:
        if lowest >= version:
            times.append(mesh.clock.now - since)
        else:
            pending_after.append((since, version))
    pending[:] = pending_after
    return pending_after


def measure_storm(mesh: Mesh, seconds: float) -> Point:
    """Measure recovery after many nodes are killed at once and replaced."""
    nodes = len(mesh.by_id)
    victims = mesh.random.sample(mesh.live_nodes(), round(nodes * STORM_SHARE))
    meter = Meter(mesh, "storm")
    for node in victims:
        mesh.kill(node)
    mesh.run(STORM_DOWN_S)
    for node in victims:
        endpoint = node.membership.me.endpoint
        mesh.start(
            (node.record.region, node.record.data_centre),
            endpoint.service if endpoint is not None else "service-01",
        )
    restarted = mesh.clock.now
    head = mesh.versions.head
    assert head is not None
    joined_s = mesh.run_until(mesh.all_joined, TIMEOUT_S)
    mesh.run_until(lambda: mesh.in_force(head), TIMEOUT_S)
    recovered_s = mesh.clock.now - restarted
    mesh.run(max(0.0, seconds - recovered_s))
    point = meter.point(nodes)
    point.times_s, point.events = [joined_s, recovered_s], len(victims)
    return point


def measure(nodes: int, seed: int, *, short: bool = False) -> list[Point]:
    """Measure all phases at one fleet size."""
    mesh = start_mesh(nodes, seed)
    return [
        measure_calm(mesh, 5.0 if short else CALM_S),
        measure_loads(mesh, 5.0 if short else CALM_S),
        measure_changes(mesh, 2 if short else CHANGES),
        measure_churn(mesh, 5.0 if short else CHURN_S),
        measure_storm(mesh, 5.0 if short else STORM_S),
    ]
