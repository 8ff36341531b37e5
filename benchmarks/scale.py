"""Measure how costs grow with the fleet and extrapolate to the design size."""

import sys
import warnings
from collections.abc import Callable
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")

import fire
from absl import logging

from benchmarks import _operator, _scale_logic, _scale_places, _scale_processes
from benchmarks._deployments import DESIGN_NODES
from benchmarks._report import Report, fit

PROCESS_SIZES = (10, 25, 50, 100)
LOGIC_SIZES = (50, 100, 200, 400)
LARGEST_LOGIC_NODES = 1000
PLACES_NODES = 100
SEED = 1
MAX_CPU_SHARE = 0.013
MAX_RSS_MB = 64.0
MAX_BYTES_PER_S = 23_000.0
MAX_CONVERGENCE_S = 8.0
MAX_STORE_READS_PER_S = 2000.0
MAX_STORE_WRITES_PER_S = 300.0
GROWTH_EXPONENT = 0.1
"""Exponent above which a value is reported as growing with the fleet.

If the cost per node grows, the total grows faster than the fleet.
"""

LogicPoint = _scale_logic.Point
ProcessPoint = _scale_processes.Point
WRITE_KINDS = ("put", "delete")


def _parse_sizes(text: object, default: tuple[int, ...]) -> tuple[int, ...]:
    if text == "":
        return default
    if isinstance(text, int):
        return (text,)
    if isinstance(text, tuple | list):
        return tuple(int(size) for size in text)
    return tuple(int(size) for size in str(text).split(","))


def report_slope(
    report: Report,
    name: str,
    points: list[tuple[float, float]],
    unit: str,
    limit: float | None = None,
) -> None:
    """Report a fitted line, its residual and its value at the design size."""
    if len(points) < 2:
        return
    fitted = fit(points)
    report.value(f"{name}.slope", fitted.slope, f"{unit}/node")
    report.value(f"{name}.residual", fitted.residual, unit)
    report.value(f"{name}.exponent", fitted.exponent, "log-log")
    # A falling line cannot be extrapolated: use at least the largest measured value.
    projected = max(fitted.value_at(DESIGN_NODES), max(value for _, value in points))
    if limit is None:
        report.value(f"{name}.at-{DESIGN_NODES}", projected, unit)
    else:
        report.at_most(f"{name}.at-{DESIGN_NODES}", projected, unit, limit)
    if fitted.exponent > GROWTH_EXPONENT:
        report.note(f"{name} grows with the fleet")


def store_rate(calls: dict[str, float], *, writes: bool) -> float:
    """Return the rate of the store's write calls, or of all others."""
    return sum(rate for kind, rate in calls.items() if (kind in WRITE_KINDS) == writes)


def report_point(report: Report, prefix: str, point: LogicPoint | ProcessPoint) -> None:
    """Report the values that both kinds of points have."""
    report.value(f"{prefix}.bytes", point.bytes_per_node_s, "B/s/node")
    largest = sorted(point.bytes_by_purpose.items(), key=lambda pair: -pair[1])
    for purpose, size in largest[:6]:
        report.value(f"{prefix}.bytes.{purpose}", size, "B/s/node")
    for kind, rate in sorted(point.store_calls_by_kind.items()):
        report.value(f"{prefix}.store.{kind}", rate, "calls/s")
    if point.times_s and point.phase == "storm":
        report.value(f"{prefix}.time.until-whole", max(point.times_s), "s")
        report.value(f"{prefix}.time.first-part", min(point.times_s), "s")
    elif point.times_s:
        slowest = max(point.times_s)
        report.at_most(f"{prefix}.time.max", slowest, "s", MAX_CONVERGENCE_S)
    if point.events:
        report.value(f"{prefix}.events", point.events, "events")


def report_logic_point(report: Report, point: LogicPoint) -> None:
    """Report a point of the simulated nodes."""
    prefix = f"logic.{point.phase}.{point.nodes}"
    report_point(report, prefix, point)
    report.value(f"{prefix}.messages", point.messages_per_node_s, "msg/s/node")
    for purpose, rate in sorted(point.messages_by_purpose.items()):
        report.value(f"{prefix}.messages.{purpose}", rate, "msg/s/node")
    report.value(f"{prefix}.cross-region", point.cross_region_bytes_per_s, "B/s")
    report.value(f"{prefix}.busiest-node", point.busiest_node_bytes_per_s, "B/s")
    report.value(f"{prefix}.decisions-cpu", point.logic_cpu_share, "cores/node")


def report_process_point(report: Report, point: ProcessPoint) -> None:
    """Report a point of nodes that run as processes."""
    prefix = f"process.{point.phase}.{point.nodes}"
    report_point(report, prefix, point)
    report.value(f"{prefix}.cpu.mean", point.cpu_share_mean, "cores/node")
    report.value(f"{prefix}.cpu.max", point.cpu_share_max, "cores/node")
    report.value(f"{prefix}.rss.mean", point.rss_mb_mean, "MB")
    report.value(f"{prefix}.rss.max", point.rss_mb_max, "MB")
    report.value(f"{prefix}.store-cpu", point.store_cpu_share, "cores")


def _points_of(
    points: list[ProcessPoint] | list[LogicPoint],
    phase: str,
    read: Callable[..., float],
) -> list[tuple[float, float]]:
    return [(point.nodes, read(point)) for point in points if point.phase == phase]


def report_common_slopes(
    report: Report, kind: str, points: list[ProcessPoint] | list[LogicPoint]
) -> None:
    """Report the slopes that both kinds of points have."""
    for phase in ("calm", "loads", "changes", "churn", "storm"):
        limit = MAX_BYTES_PER_S
        series = _points_of(points, phase, lambda p: p.bytes_per_node_s)
        report_slope(report, f"{kind}.{phase}.bytes", series, "B/s", limit)
        series = _points_of(
            points, phase, lambda p: store_rate(p.store_calls_by_kind, writes=False)
        )
        limit = MAX_STORE_READS_PER_S
        report_slope(report, f"{kind}.{phase}.store-reads", series, "calls/s", limit)
        series = _points_of(
            points, phase, lambda p: store_rate(p.store_calls_by_kind, writes=True)
        )
        limit = MAX_STORE_WRITES_PER_S
        report_slope(report, f"{kind}.{phase}.store-writes", series, "calls/s", limit)
        if phase in ("calm", "loads"):
            continue
        series = _points_of(points, phase, lambda p: max(p.times_s, default=0.0))
        limit_s = MAX_CONVERGENCE_S if phase != "storm" else None
        report_slope(report, f"{kind}.{phase}.time", series, "s", limit_s)


def run_processes(report: Report, sizes: tuple[int, ...], *, short: bool) -> None:
    """Measure nodes that run as processes at some fleet sizes."""
    points: list[ProcessPoint] = []
    for size in sizes:
        for point in _scale_processes.measure(size, short=short):
            report_process_point(report, point)
            points.append(point)
    report_common_slopes(report, "process", points)
    for phase in ("calm", "churn"):
        series = _points_of(points, phase, lambda p: p.cpu_share_mean)
        report_slope(report, f"process.{phase}.cpu", series, "cores", MAX_CPU_SHARE)
        series = _points_of(points, phase, lambda p: p.rss_mb_max)
        report_slope(report, f"process.{phase}.rss", series, "MB", MAX_RSS_MB)


def run_logic(report: Report, sizes: tuple[int, ...], *, short: bool) -> None:
    """Measure simulated nodes at some fleet sizes."""
    points: list[LogicPoint] = []
    for size in sizes:
        for point in _scale_logic.measure(size, SEED, short=short):
            report_logic_point(report, point)
            points.append(point)
    report_common_slopes(report, "logic", points)
    for phase in ("calm", "loads", "changes", "churn", "storm"):
        series = _points_of(points, phase, lambda p: p.messages_per_node_s)
        report_slope(report, f"logic.{phase}.messages", series, "msg/s")
        series = _points_of(points, phase, lambda p: p.busiest_node_bytes_per_s)
        limit = MAX_BYTES_PER_S
        report_slope(report, f"logic.{phase}.busiest-node", series, "B/s", limit)
        series = _points_of(points, phase, lambda p: p.logic_cpu_share)
        report_slope(report, f"logic.{phase}.decisions-cpu", series, "cores")


def run_places(report: Report, nodes: int) -> None:
    """Measure the loss of a rack, of a data centre and of a region's links."""
    for loss in _scale_places.measure(nodes, SEED):
        name = f"places.{loss.name}.{loss.nodes}"
        report.value(f"{name}.lost", loss.lost, "nodes")
        report.value(f"{name}.noticed", loss.detected_s, "s")
        report.value(f"{name}.dropped", loss.removed_s, "s")
        report.value(f"{name}.members-back", loss.members_back_s, "s")
        report.value(f"{name}.version-back", loss.version_back_s, "s")
        report.value(f"{name}.bytes", loss.bytes_per_node, "B/node")
        report.value(f"{name}.cross-region", loss.cross_region_bytes, "B")
        report.value(f"{name}.store", loss.store_calls, "calls")


def run_operator(report: Report) -> None:
    """Measure operator commands."""
    for cost in _operator.measure():
        report.value(f"operator.{cost.name}.time", cost.elapsed_s, "s")
        report.value(f"operator.{cost.name}.cpu", cost.cpu_s, "s")
        report.value(f"operator.{cost.name}.rss", cost.rss_mb, "MB")
        report.value(f"operator.{cost.name}.store", cost.store_calls, "calls")


def run_largest(report: Report) -> None:
    """Measure the largest simulated fleet, calm and with changes."""
    mesh = _scale_logic.start_mesh(LARGEST_LOGIC_NODES, SEED)
    report_logic_point(report, _scale_logic.measure_calm(mesh, 10.0))
    report_logic_point(report, _scale_logic.measure_changes(mesh, 3))


def main(
    *,
    smoke: bool = False,
    part: str = "all",
    process_sizes: object = "",
    logic_sizes: object = "",
    largest: bool = False,
) -> None:
    """Run the benchmark; `--smoke` runs a short part of it.

    `--largest` adds 1,000 members, which takes several minutes.
    """
    logging.set_verbosity(logging.ERROR)
    report = Report()
    if part in ("all", "logic"):
        sizes = _parse_sizes(logic_sizes, (10, 20) if smoke else LOGIC_SIZES)
        run_logic(report, sizes, short=smoke)
    if part in ("all", "processes"):
        sizes = _parse_sizes(process_sizes, (3,) if smoke else PROCESS_SIZES)
        run_processes(report, sizes, short=smoke)
    if part in ("all", "places"):
        run_places(report, 20 if smoke else PLACES_NODES)
    if part in ("all", "operator"):
        run_operator(report)
    if largest:
        run_largest(report)
    report.finish()


if __name__ == "__main__":
    fire.Fire(main)
