"""Measure convergence and control traffic of accepted changes against a baseline.

The baseline is computed, not run: each node watches the store and, for each change,
fetches the full set of bodies.
"""

import sys
import warnings
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")

import fire
from absl import logging
from attrs import define, field

from benchmarks._deployments import CLUBS, LE_BIHAN, Deployment, design_deployment
from benchmarks._report import Report, fit, percentile
from benchmarks._simulation import Mesh

CHANGES = 10
SETTLE_S = 2.0
WARM_UP_S = 15.0
TIMEOUT_S = 120.0
PARTITION_S = 20.0
KILLED_SHARE = 0.1
FLEET_SIZES = (25, 50, 100, 200, 400)
DESIGN_NODES = 760
MAX_CURRENT_CONVERGENCE_S = 2.0
"""Limit for the present deployments while nothing fails."""
MAX_DESIGN_CONVERGENCE_S = 8.0
"""Limit up to the design size, and under failures."""
MIN_BYTES_RATIO = 20.0
MIN_NODES_FOR_RATIO = 100
"""Fleet size from which MIN_BYTES_RATIO is a target."""
STORE_READS_PER_S = 2000
"""Reads that the store serves per second in the baseline."""
HTTP_HEADER_BYTES = 300
"""Size of the HTTP and TCP/IP headers of one request to the store or response."""
BODY_PURPOSES = ("exchange.", "fetching.", "status.")
"""Prefixes of the purposes of messages that carry versions and digests."""


@define(kw_only=True)
class Outcome:
    """Convergence times, traffic and store calls of some changes."""

    node_times_s: list[float] = field(factory=list)
    """Convergence time of each change on each node that applied it."""
    fleet_times_s: list[float] = field(factory=list)
    """Time of each change until it was in force on all nodes."""
    cross_bytes: list[float] = field(factory=list)
    node_bytes: list[float] = field(factory=list)
    calls_by_kind: dict[str, int] = field(factory=dict)
    """Calls to the store, except the writes that accept the changes."""
    elapsed_s: float = 0.0

    @property
    def store_reads_per_s(self) -> float:
        """Rate of the calls other than writes."""
        return sum(self.calls_by_kind.values()) / self.elapsed_s


def start_mesh(deployment: Deployment, seed: int) -> Mesh:
    """Start a mesh and wait until its first version is in force."""
    mesh = Mesh(deployment=deployment, seed=seed)
    mesh.start_all()
    head = mesh.versions.head
    assert head is not None
    mesh.run_until(mesh.all_joined, TIMEOUT_S)
    mesh.run_until(lambda: mesh.in_force(head), 10 * TIMEOUT_S)
    mesh.run(WARM_UP_S)
    return mesh


def baseline_cross_bytes(mesh: Mesh) -> float:
    """Return the cross-region bytes of a change if each node fetches the full set."""
    remote_nodes = sum(
        node.record.region != mesh.deployment.store_region for node in mesh.live_nodes()
    )
    return remote_nodes * (mesh.versions.total_bytes + 2 * HTTP_HEADER_BYTES)


def baseline_node_bytes(mesh: Mesh) -> float:
    """Return the bytes of a change for a node that fetches the full set."""
    return mesh.versions.total_bytes + 2 * HTTP_HEADER_BYTES


def baseline_convergence_s(mesh: Mesh) -> float:
    """Return the time until the last node of the baseline has the full set.

    The watch's response, the read request and its response each cross the link once;
    the store serves reads one after the other.
    """
    return 3 * mesh.deployment.region_delay_s + len(mesh.by_id) / STORE_READS_PER_S


def make_changes(mesh: Mesh, changes: int, *, outage: bool = False) -> Outcome:
    """Accept changes through random nodes and measure their convergence.

    With `outage`, the store is down from each acceptance until the change settles.
    """
    outcome = Outcome()
    before = dict(mesh.store.calls_by_kind)
    begin = mesh.clock.now
    for _ in range(changes):
        mesh.network.reset_counts()
        since = mesh.clock.now
        head = mesh.accept(mesh.random.choice(mesh.live_nodes()))
        mesh.store.down = outage
        duration_s = mesh.run_until(lambda head=head: mesh.in_force(head), TIMEOUT_S)  # type: ignore[misc]
        mesh.run(SETTLE_S)
        mesh.store.down = False
        outcome.fleet_times_s.append(duration_s)
        outcome.node_times_s.extend(mesh.convergence_s(head, since))
        outcome.cross_bytes.append(mesh.network.cross_region_bytes(BODY_PURPOSES))
        total = sum(
            size
            for (purpose, _, _), size in mesh.network.bytes_by_flow.items()
            if purpose.startswith(BODY_PURPOSES)
        )
        outcome.node_bytes.append(2 * total / len(mesh.by_id))
    outcome.calls_by_kind = {
        kind: count - before.get(kind, 0)
        for kind, count in mesh.store.calls_by_kind.items()
        if kind != "put"
    }
    outcome.elapsed_s = mesh.clock.now - begin
    return outcome


def report_times(report: Report, name: str, outcome: Outcome, limit_s: float) -> None:
    """Report the convergence times of some changes."""
    report.value(f"{name}.convergence.p50", percentile(outcome.node_times_s, 50), "s")
    report.value(f"{name}.convergence.p99", percentile(outcome.node_times_s, 99), "s")
    report.at_most(
        f"{name}.convergence.max", max(outcome.fleet_times_s, default=0.0), "s", limit_s
    )


def report_bytes(report: Report, name: str, mesh: Mesh, outcome: Outcome) -> None:
    """Report the bytes of some changes and those of the baseline."""
    cross = sum(outcome.cross_bytes) / len(outcome.cross_bytes)
    node = sum(outcome.node_bytes) / len(outcome.node_bytes)
    ratio = baseline_cross_bytes(mesh) / max(cross, 1.0)
    report.value(f"{name}.cross-region", cross, "B/change")
    report.value(f"{name}.node", node, "B/change")
    report.value(
        f"{name}.baseline.cross-region", baseline_cross_bytes(mesh), "B/change"
    )
    report.value(f"{name}.baseline.node", baseline_node_bytes(mesh), "B/change")
    report.value(f"{name}.baseline.convergence.max", baseline_convergence_s(mesh), "s")
    if len(mesh.by_id) >= MIN_NODES_FOR_RATIO:
        report.at_least(f"{name}.cross-region.ratio", ratio, "x-fewer", MIN_BYTES_RATIO)
    else:
        report.value(f"{name}.cross-region.ratio", ratio, "x-fewer")


def kill_share(mesh: Mesh, share: float) -> None:
    """Kill a share of the nodes at once."""
    live_nodes = mesh.live_nodes()
    for node in mesh.random.sample(live_nodes, max(1, round(len(live_nodes) * share))):
        mesh.kill(node)


def run_calm(report: Report, mesh: Mesh, changes: int, limit_s: float) -> Outcome:
    """Measure changes while nothing fails."""
    name = f"{mesh.deployment.name}.calm"
    outcome = make_changes(mesh, changes)
    report_times(report, name, outcome, limit_s)
    report_bytes(report, name, mesh, outcome)
    report.value(f"{name}.store-reads", outcome.store_reads_per_s, "calls/s")
    for kind, count in sorted(outcome.calls_by_kind.items()):
        report.value(f"{name}.store-reads.{kind}", count / outcome.elapsed_s, "calls/s")
    return outcome


def run_outage(report: Report, mesh: Mesh, changes: int, limit_s: float) -> None:
    """Measure changes whose store goes down right after they are accepted."""
    outcome = make_changes(mesh, changes, outage=True)
    report_times(report, f"{mesh.deployment.name}.store-down", outcome, limit_s)


def run_kills(report: Report, mesh: Mesh, limit_s: float) -> None:
    """Measure a change that is accepted right after KILLED_SHARE of the nodes die."""
    kill_share(mesh, KILLED_SHARE)
    outcome = make_changes(mesh, 1)
    report_times(report, f"{mesh.deployment.name}.killed-10%", outcome, limit_s)
    mesh.run(WARM_UP_S)


def run_cut(report: Report, mesh: Mesh, limit_s: float) -> None:
    """Measure a change while one region is cut off, and after it reconnects."""
    name = f"{mesh.deployment.name}.region-cut"
    regions = list(mesh.deployment.data_centres_by_region)
    cut = regions[-1]
    mesh.network.cut_regions = {
        frozenset((cut, other)) for other in regions if other != cut
    }
    other_nodes = [node for node in mesh.live_nodes() if node.record.region != cut]
    since = mesh.clock.now
    head = mesh.accept(mesh.random.choice(other_nodes))
    duration_s = mesh.run_until(
        lambda: all(
            node.distributor.held is not None
            and node.distributor.held.version >= head.version
            for node in other_nodes
        ),
        TIMEOUT_S,
    )
    report.at_most(f"{name}.others.max", duration_s, "s", limit_s)
    mesh.run(max(0.0, PARTITION_S - (mesh.clock.now - since)))
    mesh.network.cut_regions = set()
    duration_s = mesh.run_until(lambda: mesh.in_force(head), TIMEOUT_S)
    report.at_most(f"{name}.after-heal.max", duration_s, "s", limit_s)
    report.value(
        f"{name}.after-heal.members", mesh.run_until(mesh.all_joined, TIMEOUT_S), "s"
    )


def run_deployment(
    report: Report, deployment: Deployment, changes: int, seed: int, limit_s: float
) -> Outcome:
    """Measure one deployment without failures and under each failure."""
    mesh = start_mesh(deployment, seed)
    calm = run_calm(report, mesh, changes, limit_s)
    run_outage(report, mesh, max(1, changes // 2), MAX_DESIGN_CONVERGENCE_S)
    run_cut(report, mesh, MAX_DESIGN_CONVERGENCE_S)
    run_kills(report, mesh, MAX_DESIGN_CONVERGENCE_S)
    return calm


def report_slopes(report: Report, calm_by_size: dict[int, Outcome]) -> None:
    """Fit lines to the fleet sizes and report their values at the design size."""
    if len(calm_by_size) < 2:
        return
    slowest = fit([(n, max(o.fleet_times_s)) for n, o in calm_by_size.items()])
    report.at_most(
        f"slope.convergence.max.at-{DESIGN_NODES}",
        max(
            slowest.value_at(DESIGN_NODES),
            max(max(o.fleet_times_s) for o in calm_by_size.values()),
        ),
        "s",
        MAX_DESIGN_CONVERGENCE_S,
    )
    report.value("slope.convergence.max.residual", slowest.residual, "s")
    reads = fit([(n, o.store_reads_per_s) for n, o in calm_by_size.items()])
    report.value("slope.store-reads.per-node", reads.slope, "calls/s/node")
    max_rate = max(o.store_reads_per_s for o in calm_by_size.values())
    max_rate = max(max_rate, reads.value_at(DESIGN_NODES))
    report.at_most(f"slope.store-reads.at-{DESIGN_NODES}", max_rate, "calls/s", 10.0)
    report.value("slope.store-reads.residual", reads.residual, "calls/s")


def main(*, smoke: bool = False, seed: int = 1, sizes: str = "") -> None:
    """Run the benchmark; `--smoke` runs a short part of it."""
    logging.set_verbosity(logging.ERROR)
    report = Report()
    report.note("pure decisions on a fake clock and network; bytes include headers")
    changes = 3 if smoke else CHANGES
    fleet_sizes: tuple[int, ...] = (10, 20) if smoke else FLEET_SIZES
    if sizes:
        fleet_sizes = tuple(int(size) for size in str(sizes).strip("()").split(","))
    for deployment in (CLUBS, LE_BIHAN):
        run_deployment(report, deployment, changes, seed, MAX_CURRENT_CONVERGENCE_S)
    calm_by_size = {
        size: run_deployment(
            report, design_deployment(size), changes, seed, MAX_DESIGN_CONVERGENCE_S
        )
        for size in fleet_sizes
    }
    report_slopes(report, calm_by_size)
    report.finish()


if __name__ == "__main__":
    fire.Fire(main)
