"""Costs of nodes that run as one process each on this machine."""

import json
import random
import threading
import time
from collections import Counter
from types import TracebackType

import urllib3
from attrs import define, field

from benchmarks._deployments import (
    DAY_S,
    DESIGN_CHANGES_PER_DAY,
    DESIGN_NODES,
    DESIGN_REPLACEMENTS_PER_DAY,
    design_deployment,
)
from benchmarks._fleet import (
    HOST,
    Fleet,
    FleetNode,
    Usage,
    customer_text,
    simple_items,
)
from standins.processes import wait_until

CUSTOMERS = 200
MAX_NODES = 150
SETTLE_S = 8.0
CALM_S = 20.0
CHURN_S = 30.0
CHURN_SCALE = 60.0
"""Factor by which churn runs faster than the design's daily rates."""
STORM_SHARE = 0.3
"""Share of the nodes that are killed at once."""
CHANGES = 5
TIMEOUT_S = 180.0
ANNOUNCER_THREADS = 4
ANNOUNCE_INTERVAL_S = 1.0
SERVICE = "service-01"


@define(kw_only=True)
class Point:
    """The costs of one phase at one fleet size."""

    nodes: int
    phase: str
    elapsed_s: float = 0.0
    cpu_share_mean: float = 0.0
    cpu_share_max: float = 0.0
    rss_mb_mean: float = 0.0
    rss_mb_max: float = 0.0
    bytes_per_node_s: float = 0.0
    bytes_by_purpose: dict[str, float] = field(factory=dict)
    store_calls_by_kind: dict[str, float] = field(factory=dict)
    """Per second."""
    store_cpu_share: float = 0.0
    times_s: list[float] = field(factory=list)
    """Convergence time of each change.

    In a storm, the time until the nodes are ready, and until all has recovered.
    """
    events: int = 0


class Announcer:
    """Announce an upstream to each node, without an upstream process for each."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._stopped = threading.Event()
        self._threads = [
            threading.Thread(target=self._loop, args=(number,), daemon=True)
            for number in range(ANNOUNCER_THREADS)
        ]

    def __enter__(self) -> "Announcer":
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(
        self,
        _: type[BaseException] | None,
        __: BaseException | None,
        ___: TracebackType | None,
    ) -> None:
        self._stopped.set()
        for thread in self._threads:
            thread.join()

    def _loop(self, number: int) -> None:
        pool = urllib3.PoolManager(num_pools=MAX_NODES, maxsize=1, retries=False)
        while not self._stopped.is_set():
            due = time.monotonic() + ANNOUNCE_INTERVAL_S
            for node in self._fleet.nodes[number::ANNOUNCER_THREADS]:
                if node.process.running and not self._stopped.is_set():
                    self._announce(pool, node)
            self._stopped.wait(max(0.0, due - time.monotonic()))

    def _announce(self, pool: urllib3.PoolManager, node: FleetNode) -> None:
        announcement = {
            "service": node.service,
            "instance_id": f"{node.service}-{node.control_port}",
            "port": node.control_port,
            "slots": 12,
            "connections": 110,
            "state": "ready",
            "load": 0.1,
        }
        try:
            pool.request(
                "POST",
                f"http://{HOST}:{node.admin_port}/v1/announcement",
                body=json.dumps(announcement).encode(),
                headers={"Content-Type": "application/json"},
                timeout=2.0,
            )
        except urllib3.exceptions.HTTPError:
            return  # the node is starting or was killed


class Meter:
    """Measure the resources that a fleet uses after this object is created."""

    def __init__(self, fleet: Fleet, phase: str) -> None:
        self._fleet = fleet
        self._phase = phase
        self._nodes = fleet.running_nodes()
        self._usage = Usage(processes=[node.process for node in self._nodes])
        assert fleet.store is not None
        self._store_usage = Usage(processes=[fleet.store])
        self._bytes_before = transferred_bytes(self._nodes)
        self._store_calls_before = fleet.store_calls()
        self._begin = time.monotonic()

    def point(self) -> Point:
        """Return the costs so far, without those of nodes that have ended."""
        nodes = [node for node in self._nodes if node.process.running]
        running = {node.process.pid for node in nodes}
        pairs = zip(self._usage.processes, self._usage.cpu_before, strict=True)
        elapsed = time.monotonic() - self._begin
        shares = [
            (process.cpu_s() - before) / elapsed
            for process, before in pairs
            if process.pid in running
        ]
        rss = [node.process.rss_mb() for node in nodes]
        sent = transferred_bytes(nodes)
        by_purpose = {
            purpose: max(0, size - self._bytes_before.get(purpose, 0))
            / elapsed
            / len(nodes)
            for purpose, size in sent.items()
        }
        calls = self._fleet.store_calls()
        return Point(
            nodes=len(self._nodes),
            phase=self._phase,
            elapsed_s=elapsed,
            cpu_share_mean=sum(shares) / len(shares),
            cpu_share_max=max(shares),
            rss_mb_mean=sum(rss) / len(rss),
            rss_mb_max=max(rss),
            bytes_per_node_s=sum(by_purpose.values()),
            bytes_by_purpose=by_purpose,
            store_calls_by_kind={
                kind: (count - self._store_calls_before.get(kind, 0)) / elapsed
                for kind, count in calls.items()
            },
            store_cpu_share=self._store_usage.cpu_shares()[0],
        )


def transferred_bytes(nodes: list[FleetNode]) -> Counter[str]:
    """Return the bytes that nodes sent and received, by purpose."""
    total: Counter[str] = Counter()
    for node in nodes:
        metrics = node.try_ask("metrics")
        for flow in metrics["bytes"] if metrics else ():
            total[flow["purpose"]] += flow["bytes"]
    return total


def start_fleet(fleet: Fleet, nodes: int) -> None:
    """Start a deployment's nodes and wait for members and configuration."""
    deployment = design_deployment(nodes)
    services = deployment.services()
    fleet.start_deployment(deployment, upstreams=False)
    for node, service in zip(fleet.nodes, services, strict=True):
        node.service = service
    fleet.wait_joined(TIMEOUT_S)
    items = simple_items(SERVICE, customers=CUSTOMERS)
    fleet.wait_version(fleet.load_items(items), TIMEOUT_S)


def measure_calm(fleet: Fleet, seconds: float) -> Point:
    """Measure a period without changes or failures."""
    meter = Meter(fleet, "calm")
    time.sleep(seconds)
    return meter.point()


def make_change(fleet: Fleet, rng: random.Random) -> float:
    """Accept a change through a random node and return its convergence time."""
    node = rng.choice(fleet.running_nodes())
    name = f"{SERVICE}-customer-{rng.randrange(CUSTOMERS):04}"
    place = f"field-{rng.getrandbits(32):x}"
    text = customer_text(name, f"use-{SERVICE}", place)
    version = fleet.edit(node, f"customer/{name}", text)
    accepted_s = time.time()
    fleet.wait_version(version, TIMEOUT_S)
    applied = [
        float(metrics["gauges"].get("version_applied_at_s", 0.0))
        for other in fleet.running_nodes()
        if (metrics := other.try_ask("metrics"))
    ]
    return max(0.0, max(applied) - accepted_s)


def measure_changes(fleet: Fleet, changes: int) -> Point:
    """Accept changes while nothing fails."""
    rng = random.Random(1)
    meter = Meter(fleet, "changes")
    times = [make_change(fleet, rng) for _ in range(changes)]
    point = meter.point()
    point.times_s, point.events = times, changes
    return point


def measure_churn(fleet: Fleet, seconds: float) -> Point:
    """Measure node restarts and changes at scaled daily rates."""
    rng = random.Random(2)
    rate = CHURN_SCALE / DAY_S
    nodes = len(fleet.running_nodes())
    changes = DESIGN_CHANGES_PER_DAY * rate
    replacements = DESIGN_REPLACEMENTS_PER_DAY * rate * nodes / DESIGN_NODES
    changes_due, replacements_due = 0.0, 1.0
    times: list[float] = []
    events = 0
    meter = Meter(fleet, "churn")
    last = begin = time.monotonic()
    while last - begin < seconds:
        now = time.monotonic()
        changes_due += changes * (now - last)
        replacements_due += replacements * (now - last)
        last = now
        if replacements_due >= 1:
            replacements_due -= 1
            events += 1
            victim = rng.choice(fleet.running_nodes())
            victim.process.terminate()
            fleet.restart_node(victim)
        if changes_due >= 1:
            changes_due -= 1
            events += 1
            times.append(make_change(fleet, rng))
        time.sleep(0.05)
    point = meter.point()
    point.times_s, point.events = times, events
    return point


def measure_storm(fleet: Fleet) -> Point:
    """Measure recovery after many nodes are killed at once and restarted."""
    rng = random.Random(3)
    running_nodes = fleet.running_nodes()
    victims = rng.sample(running_nodes, round(len(running_nodes) * STORM_SHARE))
    version = max(node.version() for node in running_nodes)
    for node in victims:
        node.process.kill()
    time.sleep(2.0)
    meter = Meter(fleet, "storm")
    begin = time.monotonic()
    for node in victims:
        fleet.begin_restart(node)
    fleet.wait_ready()
    started = time.monotonic() - begin
    fleet.wait_joined(TIMEOUT_S)
    fleet.wait_version(version, TIMEOUT_S)
    point = meter.point()
    point.nodes = len(running_nodes)
    point.times_s = [started, time.monotonic() - begin]
    point.events = len(victims)
    return point


def measure(nodes: int, *, short: bool = False) -> list[Point]:
    """Measure all phases at one fleet size."""
    if nodes > MAX_NODES:
        raise ValueError(f"at most {MAX_NODES} nodes run as processes, got {nodes}")
    with Fleet(store_region="region-1") as fleet, Announcer(fleet):
        start_fleet(fleet, nodes)
        wait_until(lambda: _announced(fleet, nodes), TIMEOUT_S, "all endpoints")
        time.sleep(1.0 if short else SETTLE_S)
        return [
            measure_calm(fleet, 3.0 if short else CALM_S),
            measure_changes(fleet, 1 if short else CHANGES),
            measure_churn(fleet, 3.0 if short else CHURN_S),
            measure_storm(fleet),
        ]


def _announced(fleet: Fleet, count: int) -> bool:
    by_service = fleet.running_nodes()[0].try_ask("endpoints") or {}
    return sum(len(endpoints) for endpoints in by_service.values()) == count
