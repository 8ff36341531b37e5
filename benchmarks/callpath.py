"""Compare the cost that nodes of two checkouts add to a plain call.

The calls use no accounts, no pace and a small body. The two checkouts are measured in
alternating pairs, each measurement with new processes of nodes, upstream and caller.
"""

import sys
import warnings
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")

import fire
from attrs import frozen

from benchmarks._fleet import Fleet, FleetNode, simple_items
from benchmarks._report import Report, percentile
from benchmarks.calls import CUSTOMERS, SERVICE, call, caller_options
from standins.processes import ROOT

BODY_BYTES = 256
WARM_UP_S = 1.0
MEASURE_S = 4.0
MAX_RATIO = 1.05
"""Limit of the cost after a change, as a ratio to the cost before it."""
SIDES = ("before", "after")


@frozen(kw_only=True)
class Cost:
    """What one call costs, by the number of nodes on its path."""

    cpu_us_by_path: dict[str, float]
    """CPU time of all nodes on the path, in microseconds."""
    latency_us_by_path: dict[str, float]
    """Median latency seen by the caller, in microseconds."""


def measure(source: Path, seconds: float) -> Cost:
    """Measure calls through one node and through two nodes of a checkout."""
    environment = {"PYTHONPATH": f"{source}:{ROOT}"}
    with Fleet(node_environment=environment) as fleet:
        entry = fleet.start_node()
        owner = fleet.start_node()
        fleet.wait_joined()
        fleet.start_upstream(owner, SERVICE, work_ms=0, slots=1000, connections=1000)
        fleet.wait_endpoints(SERVICE, 1)
        fleet.wait_version(fleet.load_items(simple_items(SERVICE, customers=CUSTOMERS)))
        cpu_us_by_path, latency_us_by_path = {}, {}
        for path, nodes in {"one-node": [owner], "two-nodes": [entry, owner]}.items():
            cpu_us, latency_us = _measure_path(nodes, seconds)
            cpu_us_by_path[path] = cpu_us
            latency_us_by_path[path] = latency_us
    return Cost(cpu_us_by_path=cpu_us_by_path, latency_us_by_path=latency_us_by_path)


def _measure_path(nodes: list[FleetNode], seconds: float) -> tuple[float, float]:
    """Call the first node back to back; return CPU and median latency of a call."""

    def run(duration_s: float) -> dict[str, float]:
        return call(
            [nodes[0].address],
            calls_per_s=0,
            workers=1,
            duration_s=duration_s,
            method="POST",
            body_bytes=BODY_BYTES,
            **caller_options("/field/book"),
        )

    run(WARM_UP_S)
    before_s = sum(node.process.cpu_s() for node in nodes)
    result = run(seconds)
    cpu_s = sum(node.process.cpu_s() for node in nodes) - before_s
    if result["good"] != result["sent"] or not result["sent"]:
        raise RuntimeError(f"calls failed: {result}")
    return cpu_s / result["sent"] * 1e6, result["p50_ms"] * 1e3


def main(before: str, after: str, pairs: int = 7, seconds: float = MEASURE_S) -> None:
    """Compare two `src` folders; each pair takes about 25 s."""
    source_by_side = {"before": Path(before).resolve(), "after": Path(after).resolve()}
    for source in source_by_side.values():
        if not (source / "comfreytray").is_dir():
            raise SystemExit(f"no package comfreytray in {source}")
    costs_by_side: dict[str, list[Cost]] = {side: [] for side in SIDES}
    report = Report()
    for number in range(pairs):
        # The order changes from pair to pair, so that a trend affects both sides alike.
        for side in SIDES if number % 2 == 0 else reversed(SIDES):
            cost = measure(source_by_side[side], seconds)
            costs_by_side[side].append(cost)
            report.note(f"pair {number + 1} {side} {cost.cpu_us_by_path} us of CPU")
    for path in ("one-node", "two-nodes"):
        cpu_us_by_side = {
            side: [cost.cpu_us_by_path[path] for cost in costs]
            for side, costs in costs_by_side.items()
        }
        latency_us_by_side = {
            side: [cost.latency_us_by_path[path] for cost in costs]
            for side, costs in costs_by_side.items()
        }
        _report_figure(report, f"{path}.cpu", cpu_us_by_side)
        _report_figure(report, f"{path}.p50", latency_us_by_side)
    report.finish()


def _report_figure(
    report: Report, name: str, values_by_side: dict[str, list[float]]
) -> None:
    """Report the medians, their ratio, and the median of the ratios of the pairs.

    The two of a pair ran after each other, so their ratio holds less of a drift.
    """
    median_by_side = {side: percentile(values_by_side[side], 50) for side in SIDES}
    for side in SIDES:
        report.value(f"{name}.{side}", median_by_side[side], "us/call")
    ratio = median_by_side["after"] / median_by_side["before"]
    report.at_most(f"{name}.ratio", ratio, "x-before", MAX_RATIO)
    pairs = zip(values_by_side["after"], values_by_side["before"], strict=True)
    ratios = [after / before for after, before in pairs]
    report.value(f"{name}.pair-ratio", percentile(ratios, 50), "x-before")


if __name__ == "__main__":
    fire.Fire(main)
