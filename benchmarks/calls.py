"""Compare calls through nodes with baselines measured in the same run.

The baselines are direct calls to the upstream, a TCP relay (the least cost of one
more process on the path), a plain proxy of eventlet.wsgi and urllib3 pools, and
round robin over the endpoints without limits.
"""

import json
import sys
import time
import warnings
from contextlib import ExitStack
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")

import fire
from attrs import define, field, frozen

from benchmarks._fleet import Fleet, FleetNode, host_of, simple_items
from benchmarks._report import Report, percentile
from standins.processes import Process

CALLS_PER_S = 70.0
MAX_ADDED_P99_MS = 0.52
"""Limit of the p99 latency that nodes add, and of their CPU time per call."""
MAX_NODE_MB = 64.0
ROUNDS = 4
ROUND_S = 8.0
WARM_UP_S = 1.0
SATURATION_S = 5.0
SATURATION_WORKERS = 16
ENDPOINTS = 6
SLOTS = 12
WORK_MS = 150.0
"""Long enough that the slots limit capacity, not the machine's processors."""
GOODPUT_S = 8.0
DEADLINE_MS = 1000
SERVICE = "lichbay"
CUSTOMERS = 8
REMOTE_DELAY_MS = 60.0
SLOW_FACTOR = 10.0
LOAD_PROCESSES = 2
"""Caller processes that share an offered load."""


@frozen(kw_only=True)
class Variant:
    """A way to reach the upstream, with the processes on the path."""

    name: str
    address: tuple[str, int]
    processes: tuple[Process, ...]


@define(kw_only=True)
class Samples:
    """Latencies and counts of one variant's calls, over all rounds."""

    p50_ms: list[float] = field(factory=list)
    p99_ms: list[float] = field(factory=list)
    sent: int = 0
    good: int = 0

    def add(self, result: dict[str, Any]) -> None:
        """Add the result of one round."""
        self.p50_ms.append(result["p50_ms"])
        self.p99_ms.append(result["p99_ms"])
        self.sent += result["sent"]
        self.good += result["good"]


def start_caller(
    targets: list[tuple[str, int]], **options: object
) -> tuple[Process, Any]:
    """Start a caller process; return it and a function that waits for its result."""
    joined = ",".join(f"{host}:{port}" for host, port in targets)
    arguments = ["standins/caller.py", f"--targets={joined}"]
    arguments += [f"--{name}={value}" for name, value in options.items()]
    process = Process(arguments=arguments, name="caller")

    def result(timeout_s: float = 120.0) -> dict[str, Any]:
        end = time.monotonic() + timeout_s
        while process.running and time.monotonic() < end:
            time.sleep(0.05)
        text = process.output().strip().splitlines()
        process.kill()
        return json.loads(text[-1])  # type: ignore[no-any-return]

    return process, result


def call(targets: list[tuple[str, int]], **options: object) -> dict[str, Any]:
    """Run one caller process to its end and return its result."""
    process, result = start_caller(targets, **options)
    with process:
        return result()  # type: ignore[no-any-return]


def sum_results(results: list[dict[str, Any]]) -> dict[str, Any]:
    """Combine the results of callers that ran concurrently.

    The combined p50 is the median of theirs, the combined p99 the largest.
    """
    outcomes: dict[str, int] = {}
    for result in results:
        for name, count in result["outcomes"].items():
            outcomes[name] = outcomes.get(name, 0) + count
    return {
        "sent": sum(result["sent"] for result in results),
        "good": sum(result["good"] for result in results),
        "wrong": sum(result["wrong"] for result in results),
        "goodput": sum(result["goodput"] for result in results),
        "p50_ms": percentile([result["p50_ms"] for result in results], 50),
        "p99_ms": max(result["p99_ms"] for result in results),
        "outcomes": outcomes,
    }


def call_side_by_side(
    targets: list[tuple[str, int]], calls_per_s: float, **options: object
) -> dict[str, Any]:
    """Offer a load from several concurrent callers and combine their results."""
    with ExitStack() as stack:
        waits = []
        for number in range(LOAD_PROCESSES):
            process, result = start_caller(
                targets,
                calls_per_s=calls_per_s / LOAD_PROCESSES,
                seed=number + 1,
                **options,
            )
            stack.enter_context(process)
            waits.append(result)
        return sum_results([wait() for wait in waits])


# Latency


def start_baseline(fleet: Fleet, kind: str, ports: list[int]) -> tuple[Process, int]:
    """Start a relay or proxy in front of local ports; return it and its port."""
    port = fleet.ports.take()
    backends = ",".join(f"127.0.0.1:{one}" for one in ports)
    arguments = [
        "benchmarks/_baselines.py",
        kind,
        f"--port={port}",
        f"--backends={backends}",
    ]
    process = fleet.own(Process(arguments=arguments, name=kind))
    process.wait_for_output(f"ready {kind}")
    return process, port


def start_variants(fleet: Fleet) -> list[Variant]:
    """Start one upstream with its node, a second node and the baselines.

    Calls of the variant `two-nodes` enter at the second node.
    """
    entry = fleet.start_node()
    owner = fleet.start_node()
    fleet.wait_joined()
    upstream = fleet.start_upstream(
        owner, SERVICE, work_ms=0, slots=1000, connections=1000
    )
    fleet.wait_endpoints(SERVICE, 1)
    fleet.wait_version(fleet.load_items(simple_items(SERVICE, customers=CUSTOMERS)))
    relay, relay_port = start_baseline(fleet, "relay", [owner.upstream_port])
    proxy, proxy_port = start_baseline(fleet, "proxy", [owner.upstream_port])
    return [
        Variant(
            name="direct",
            address=("127.0.0.1", owner.upstream_port),
            processes=(upstream,),
        ),
        Variant(name="relay", address=("127.0.0.1", relay_port), processes=(relay,)),
        Variant(name="proxy", address=("127.0.0.1", proxy_port), processes=(proxy,)),
        Variant(name="one-node", address=owner.address, processes=(owner.process,)),
        Variant(
            name="two-nodes",
            address=entry.address,
            processes=(entry.process, owner.process),
        ),
    ]


def caller_options(path: str = "/field/read") -> dict[str, object]:
    """Return the caller's options for calls of the benchmark's customers."""
    hosts = [host_of(f"{SERVICE}-customer-{n:04}") for n in range(CUSTOMERS)]
    return {"path": path, "host": ",".join(hosts)}


def measure_latency(
    report: Report, variants: list[Variant], rounds: int, round_s: float, rate: float
) -> None:
    """Measure the variants in turn in each round, so that noise affects all alike.

    With a rate of 0, each call follows the one before without a pause, so that no
    process becomes idle.
    """
    samples_by_name = {variant.name: Samples() for variant in variants}
    for number in range(rounds):
        for variant in variants:
            result = call(
                [variant.address],
                calls_per_s=rate,
                workers=1,
                duration_s=round_s,
                warmup_s=WARM_UP_S if round_s > WARM_UP_S else 0.0,
                seed=number + 1,
                **caller_options(),
            )
            samples_by_name[variant.name].add(result)
    label = f"{rate:g}/s" if rate else "back-to-back"
    direct = samples_by_name["direct"]
    for variant in variants:
        report_latency(
            report,
            f"latency-{label}.{variant.name}",
            samples_by_name[variant.name],
            direct,
        )


def report_latency(
    report: Report, name: str, samples: Samples, direct: Samples
) -> None:
    """Report medians over the rounds, and the latency added to direct calls."""
    report.value(f"{name}.p50", percentile(samples.p50_ms, 50), "ms")
    report.value(f"{name}.p99", percentile(samples.p99_ms, 50), "ms")
    report.value(f"{name}.lost", samples.sent - samples.good, "calls")
    if samples is direct:
        return
    added_p50 = _median_difference(samples.p50_ms, direct.p50_ms)
    added_p99 = _median_difference(samples.p99_ms, direct.p99_ms)
    report.value(f"{name}.added.p50", added_p50, "ms")
    if not name.endswith(("node", "nodes")):
        report.value(f"{name}.added.p99", added_p99, "ms")
        return
    noise_ms = percentile(direct.p99_ms, 50) - percentile(direct.p50_ms, 50)
    if added_p50 > MAX_ADDED_P99_MS or noise_ms <= MAX_ADDED_P99_MS:
        # p99 is never below the median, so the added median is a lower bound.
        lower_bound_ms = max(added_p50, added_p99)
        report.at_most(f"{name}.added.p99", lower_bound_ms, "ms", MAX_ADDED_P99_MS)
        return
    report.unresolved(f"{name}.added.p99", added_p99, "ms", MAX_ADDED_P99_MS)


def _median_difference(values: list[float], base_values: list[float]) -> float:
    return percentile([a - b for a, b in zip(values, base_values, strict=True)], 50)


def saturate(variant: Variant, seconds: float) -> tuple[dict[str, Any], float]:
    """Call without pauses; return the result and the variant's processor time."""
    before = [process.cpu_s() for process in variant.processes]
    result = call(
        [variant.address],
        calls_per_s=0,
        workers=SATURATION_WORKERS,
        duration_s=seconds,
        **caller_options(),
    )
    cpu_seconds = sum(
        process.cpu_s() - start
        for process, start in zip(variant.processes, before, strict=True)
    )
    return result, cpu_seconds


def measure_tracing(report: Report, *, smoke: bool) -> None:
    """Compare a node that writes spans with one that does not."""
    with ExitStack() as stack:
        folder = stack.enter_context(TemporaryDirectory())
        variants = []
        for name, trace_file in (("off", ""), ("on", f"{folder}/spans")):
            fleet = stack.enter_context(Fleet())
            node = fleet.start_node(settings={"trace_file": trace_file})
            fleet.start_upstream(node, SERVICE, work_ms=0, slots=1000, connections=1000)
            fleet.wait_endpoints(SERVICE, 1)
            fleet.wait_version(
                fleet.load_items(simple_items(SERVICE, customers=CUSTOMERS))
            )
            variants.append(
                Variant(name=name, address=node.address, processes=(node.process,))
            )
        costs_by_name: dict[str, list[float]] = {
            variant.name: [] for variant in variants
        }
        for _ in range(1 if smoke else ROUNDS):
            for variant in variants:
                result, cpu_seconds = saturate(variant, 1 if smoke else SATURATION_S)
                costs_by_name[variant.name].append(
                    cpu_seconds / max(result["sent"], 1) * 1e3
                )
        cost_by_name = {
            name: percentile(costs, 50) for name, costs in costs_by_name.items()
        }
        for name, cost in cost_by_name.items():
            report.value(f"tracing.{name}.cpu", cost, "ms/call")
        ratio = cost_by_name["on"] / cost_by_name["off"]
        report.value("tracing.on.ratio", ratio, "x-off")
        for variant in variants:
            memory = variant.processes[0].rss_mb()
            report.at_most(f"tracing.{variant.name}.memory", memory, "MB", MAX_NODE_MB)


def measure_saturation(report: Report, variants: list[Variant], seconds: float) -> None:
    """Measure calls per second and per core when callers never pause."""
    for variant in variants:
        result, cpu_seconds = saturate(variant, seconds)
        name = f"saturation.{variant.name}"
        report.value(f"{name}.calls", result["goodput"], "calls/s")
        report.value(f"{name}.p50", result["p50_ms"], "ms")
        report.value(f"{name}.p99", result["p99_ms"], "ms")
        if cpu_seconds > 0 and result["sent"]:
            cost_ms = cpu_seconds / result["sent"] * 1e3
            if variant.name.endswith(("node", "nodes")):
                report.at_most(f"{name}.cpu", cost_ms, "ms/call", MAX_ADDED_P99_MS)
            else:
                report.value(f"{name}.cpu", cost_ms, "ms/call")
            report.value(
                f"{name}.per-core", result["sent"] / cpu_seconds, "calls/s/core"
            )


def measure_memory(report: Report, fleet: Fleet, when: str) -> None:
    """Report the memory of the node that uses most."""
    largest = max(node.process.rss_mb() for node in fleet.running_nodes())
    report.at_most(f"memory.node.{when}", largest, "MB", MAX_NODE_MB)


def measure_variants(report: Report, *, smoke: bool) -> None:
    """Measure latency, saturation and memory on one upstream."""
    with Fleet() as fleet:
        variants = start_variants(fleet)
        measure_memory(report, fleet, "idle")
        rounds, seconds = (1, 1.0) if smoke else (ROUNDS, ROUND_S)
        measure_latency(report, variants, rounds, seconds, CALLS_PER_S)
        measure_latency(report, variants, rounds, seconds / 2, 0.0)
        measure_saturation(report, variants, 1 if smoke else SATURATION_S)
        measure_memory(report, fleet, "after-load")


# Goodput


def start_endpoints(fleet: Fleet, work_ms: float = WORK_MS) -> list[FleetNode]:
    """Start six endpoints of a service with their nodes."""
    for number in range(ENDPOINTS):
        data_centre = f"near-{number % 2 + 1}"
        fleet.start_node(region="near", data_centre=data_centre, wait=False)
    fleet.wait_ready()
    fleet.wait_joined()
    for node in fleet.nodes:
        fleet.start_upstream(node, SERVICE, slots=SLOTS, work_ms=work_ms)
    fleet.wait_endpoints(SERVICE, ENDPOINTS)
    fleet.wait_version(fleet.load_items(simple_items(SERVICE, customers=CUSTOMERS)))
    return list(fleet.nodes)


def report_goodput(
    report: Report, name: str, result: dict[str, Any], offered: float, capacity: float
) -> None:
    """Report the goodput, latency and outcomes of an offered load."""
    ideal = min(offered, capacity)
    report.value(f"{name}.goodput", result["goodput"], "calls/s")
    report.value(f"{name}.goodput.share", result["goodput"] / ideal, "of-ideal")
    report.value(f"{name}.p50", result["p50_ms"], "ms")
    report.value(f"{name}.p99", result["p99_ms"], "ms")
    report.value(f"{name}.wrong", result["wrong"], "answers")
    unknown = sum(
        count
        for outcome, count in result["outcomes"].items()
        if outcome.startswith(("error", "late")) or outcome.endswith(":unknown")
    )
    report.value(f"{name}.late-lost-or-unknown", unknown, "calls")
    shown = sorted(result["outcomes"].items(), key=lambda pair: -pair[1])[:4]
    report.note(f"{name} outcomes {dict(shown)}")


def count_retries(fleet: Fleet) -> int:
    """Return the number of retries that the nodes have counted."""
    return sum(
        count for name, count in fleet.counters().items() if "retr" in name.lower()
    )


def measure_overload(
    report: Report,
    fleet: Fleet,
    nodes: list[FleetNode],
    seconds: float,
    capacity: float,
) -> None:
    """Offer 1, 2 and 4 times the capacity through nodes and through round robin."""
    proxy, port = start_baseline(fleet, "proxy", [node.upstream_port for node in nodes])
    variants = {
        "nodes": [node.address for node in nodes],
        "round-robin": [("127.0.0.1", port)],
    }
    for times in (1, 2, 4):
        for variant, targets in variants.items():
            before = count_retries(fleet)
            result = call_side_by_side(
                targets,
                calls_per_s=times * capacity,
                duration_s=seconds,
                warmup_s=WARM_UP_S,
                deadline_ms=DEADLINE_MS,
                **caller_options(),
            )
            name = f"overload-x{times}.{variant}"
            report_goodput(report, name, result, times * capacity, capacity)
            if variant == "nodes":
                retries_per_call = (count_retries(fleet) - before) / max(
                    result["sent"], 1
                )
                report.value(f"{name}.retries", retries_per_call, "per-call")
    proxy.kill()


def measure_faults(
    report: Report,
    fleet: Fleet,
    nodes: list[FleetNode],
    seconds: float,
    capacity: float,
) -> None:
    """Offer half of the capacity while one endpoint of six is faulty."""
    proxy, port = start_baseline(fleet, "proxy", [node.upstream_port for node in nodes])
    variants = {
        "nodes": [node.address for node in nodes],
        "round-robin": [("127.0.0.1", port)],
    }
    faults_by_name: dict[str, dict[str, object]] = {
        "calm": {},
        "one-slow": {"slow_factor": SLOW_FACTOR},
        "one-lying": {"refuse": True, "lying_load": 0.0, "lying_state": "ready"},
        "one-failing": {"fail_share": 1.0, "lying_load": 0.0, "lying_state": "ready"},
        "one-cold": {"slow_factor": 4.0, "cold_s": 3600.0},
    }
    healthy = {
        "slow_factor": 1.0,
        "refuse": False,
        "fail_share": 0.0,
        "lying_load": None,
        "lying_state": None,
        "cold_s": 0.0,
    }
    faulty_node = nodes[-1]
    for fault, faults in faults_by_name.items():
        for variant, targets in variants.items():
            faulty_node.set_faults(**healthy)
            time.sleep(2.0)
            faulty_node.set_faults(**faults)
            time.sleep(1.5)
            before, ran_before = count_retries(fleet), len(faulty_node.upstream_log())
            result = call_side_by_side(
                targets,
                calls_per_s=capacity / 2,
                duration_s=seconds,
                warmup_s=WARM_UP_S,
                deadline_ms=DEADLINE_MS,
                **caller_options(),
            )
            name = f"{fault}.{variant}"
            report_goodput(report, name, result, capacity / 2, capacity)
            ran = len(faulty_node.upstream_log()) - ran_before
            report.value(f"{name}.to-the-one", ran / max(result["sent"], 1), "of-calls")
            if variant == "nodes":
                retries_per_call = (count_retries(fleet) - before) / max(
                    result["sent"], 1
                )
                report.value(f"{name}.retries", retries_per_call, "per-call")
    faulty_node.set_faults(**healthy)
    proxy.kill()


def measure_far_region(report: Report, seconds: float) -> None:
    """Measure goodput with one endpoint of six in a remote region.

    Its upstream delays its answers to emulate the distance.
    """
    with Fleet() as fleet:
        for number in range(ENDPOINTS):
            region = "far" if number == ENDPOINTS - 1 else "near"
            fleet.start_node(region=region, data_centre=f"{region}-1", wait=False)
        fleet.wait_ready()
        fleet.wait_joined()
        for node in fleet.nodes:
            delay_ms = REMOTE_DELAY_MS if node.region == "far" else 0.0
            fleet.start_upstream(
                node, SERVICE, slots=SLOTS, work_ms=WORK_MS, delay_ms=delay_ms
            )
        fleet.wait_endpoints(SERVICE, ENDPOINTS)
        fleet.wait_version(fleet.load_items(simple_items(SERVICE, customers=CUSTOMERS)))
        near = [node for node in fleet.nodes if node.region == "near"]
        far = fleet.nodes[-1]
        proxy, port = start_baseline(
            fleet, "proxy", [node.upstream_port for node in fleet.nodes]
        )
        capacity = ENDPOINTS * SLOTS / (WORK_MS / 1000)
        variants = {
            "nodes": [node.address for node in near],
            "round-robin": [("127.0.0.1", port)],
        }
        for variant, targets in variants.items():
            ran_before = len(far.upstream_log())
            result = call_side_by_side(
                targets,
                calls_per_s=capacity / 2,
                duration_s=seconds,
                warmup_s=WARM_UP_S,
                deadline_ms=DEADLINE_MS,
                **caller_options(),
            )
            name = f"one-far.{variant}"
            report_goodput(report, name, result, capacity / 2, capacity)
            ran = len(far.upstream_log()) - ran_before
            report.value(f"{name}.to-the-one", ran / max(result["sent"], 1), "of-calls")
        proxy.kill()


def measure_goodput(report: Report, *, smoke: bool, part: str) -> None:
    """Measure goodput under overload and with one faulty or remote endpoint."""
    seconds = 3.0 if smoke else GOODPUT_S
    capacity = ENDPOINTS * SLOTS / (WORK_MS / 1000)
    with Fleet() as fleet:
        nodes = start_endpoints(fleet)
        if smoke:
            return
        if part != "faults":
            measure_overload(report, fleet, nodes, seconds, capacity)
            measure_memory(report, fleet, "after-overload")
        if part != "overload":
            measure_faults(report, fleet, nodes, seconds, capacity)
    if part != "overload":
        measure_far_region(report, seconds)


def main(*, smoke: bool = False, part: str = "all") -> None:
    """Run the benchmark; `--smoke` runs a short part of it.

    `--part` is all, ways, tracing or goodput, or one part of goodput: overload or
    faults.
    """
    report = Report()
    if part in ("all", "ways"):
        measure_variants(report, smoke=smoke)
    if part in ("all", "tracing"):
        measure_tracing(report, smoke=smoke)
    if part not in ("ways", "tracing"):
        measure_goodput(report, smoke=smoke, part=part)
    report.finish()


if __name__ == "__main__":
    fire.Fire(main)
