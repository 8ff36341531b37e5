"""Run a fleet of processes under random faults and check its guarantees from outside.

Run it with `make experiment SECONDS=60 SEED=1`. The seed determines the faults and
their order; the timing of processes and threads varies between runs, so this is not
run in CI.
"""

import contextlib
import json
import random
import signal
import sys
import threading
import time
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import fire
import urllib3
from attrs import define, field, frozen

from benchmarks._fleet import (
    OPERATOR_HEADERS,
    Fleet,
    FleetNode,
    customer_text,
    simple_items,
)
from standins.processes import fetch_json, wait_until

REGIONS = {"north": ("n1", "n2"), "middle": ("m1", "m2"), "south": ("s1", "s2")}
NODES_PER_DATA_CENTRE = 2
SERVICE = "bookings"
HOST = "bookings-customer-0000.example"
CALLERS = 6
CALL_PAUSE_S = 0.02
CALL_TIMEOUT_S = 12.0
EDIT_PAUSE_S = 0.7
MONITOR_INTERVAL_S = 0.1
MAX_ATTEMPTS = 6
RETRY_PAUSE_S = 0.3
FAULT_PAUSE_S = (0.3, 2.0)
FAULT_LENGTH_S = (0.5, 6.0)
MASS_KILL_SHARE = 0.3
CONVERGE_TIMEOUT_S = 60.0


@frozen(kw_only=True)
class Attempt:
    """The outcome of one attempt at a booking."""

    status: int
    """HTTP status, or 0 if no complete response arrived."""
    ran: str
    """Whether the request ran: `yes`, `no` or `unknown`."""
    kind: str
    """Kind of the error, empty if there was none."""


@define(kw_only=True)
class Booking:
    """A caller's booking with its attempts."""

    name: str
    keyed: bool
    """Whether it carries an idempotency key and may be attempted again."""
    attempts: list[Attempt] = field(factory=list)

    @property
    def answered(self) -> bool:
        """Whether a complete response of the upstream arrived."""
        return any(attempt.status == 200 for attempt in self.attempts)

    @property
    def surely_not_run(self) -> bool:
        """Whether every attempt is known not to have run."""
        return all(attempt.ran == "no" for attempt in self.attempts)


@define(kw_only=True)
class Findings:
    """Collect violations of the guarantees."""

    violations: list[str] = field(factory=list)

    def expect(self, holds: bool, guarantee: str) -> None:
        """Record and print a violation unless `holds` is true."""
        if not holds:
            self.violations.append(guarantee)
            print(f"BROKEN: {guarantee}", flush=True)


class Callers:
    """Threads that send bookings through random nodes."""

    def __init__(self, *, fleet: Fleet, seed: int) -> None:
        self.fleet = fleet
        self.seed = seed
        self.bookings: list[Booking] = []
        self.misdelivered: list[str] = []
        self.stopped = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, args=(number,), daemon=True)
            for number in range(CALLERS)
        ]

    def start(self) -> None:
        """Start all callers."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Stop after each caller has finished its current booking."""
        self.stopped.set()
        for thread in self._threads:
            thread.join(MAX_ATTEMPTS * CALL_TIMEOUT_S)

    def _run(self, number: int) -> None:
        choice = random.Random(f"{self.seed}/{number}")
        http = urllib3.PoolManager(retries=False, maxsize=4)
        count = 0
        while not self.stopped.is_set():
            count += 1
            keyed = choice.random() < 0.3
            booking = Booking(name=f"b-{number}-{count}", keyed=keyed)
            self.bookings.append(booking)
            for _ in range(MAX_ATTEMPTS if keyed else 1):
                node = choice.choice(self.fleet.nodes)
                booking.attempts.append(self._attempt(http, node, booking))
                if booking.answered:
                    break
                time.sleep(RETRY_PAUSE_S)
            time.sleep(CALL_PAUSE_S)

    def _attempt(
        self, http: urllib3.PoolManager, node: FleetNode, booking: Booking
    ) -> Attempt:
        headers = {"Host": HOST, "X-Request-Id": booking.name}
        if booking.keyed:
            headers["Idempotency-Key"] = booking.name
        url = f"http://{node.address[0]}:{node.address[1]}/field/book"
        try:
            response = http.request(
                "POST",
                url,
                body=json.dumps({"name": booking.name}).encode(),
                headers=headers,
                timeout=urllib3.Timeout(connect=1.0, read=CALL_TIMEOUT_S),
            )
        except urllib3.exceptions.NewConnectionError:
            return Attempt(status=0, ran="no", kind="refused-connection")
        except urllib3.exceptions.HTTPError as error:
            return Attempt(status=0, ran="unknown", kind=type(error).__name__)
        if response.status == 200 and booking.name.encode() not in response.data:
            self.misdelivered.append(booking.name)
        return Attempt(
            status=response.status,
            ran=response.headers.get("Comfreytray-Ran", "yes"),
            kind=response.headers.get("Comfreytray-Error", ""),
        )


class Operator:
    """A thread that edits customers through random nodes.

    It records the accepted versions and counts the failed edits.
    """

    def __init__(self, *, fleet: Fleet, seed: int) -> None:
        self.fleet = fleet
        self.accepted: list[int] = []
        self.refused: Counter[str] = Counter()
        self.stopped = threading.Event()
        self._random = random.Random(f"{seed}/operator")
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Start editing."""
        self._thread.start()

    def stop(self) -> None:
        """Stop after the current edit."""
        self.stopped.set()
        self._thread.join(60)

    def _run(self) -> None:
        number = 0
        while not self.stopped.is_set():
            number += 1
            name = f"bookings-customer-{1 + number % 3:04}"
            text = customer_text(name, f"use-{SERVICE}", place=f"field-{number}")
            node = self._random.choice(self.fleet.nodes)
            try:
                self.accepted.append(self.fleet.edit(node, f"customer/{name}", text))
            except (RuntimeError, urllib3.exceptions.HTTPError) as error:
                self.refused[type(error).__name__] += 1
            time.sleep(EDIT_PAUSE_S)


class VersionMonitor:
    """A thread that polls the nodes' versions and reports any that decreases."""

    def __init__(self, *, fleet: Fleet, findings: Findings) -> None:
        self.fleet = fleet
        self.findings = findings
        self.stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Start polling."""
        self._thread.start()

    def stop(self) -> None:
        """Stop polling."""
        self.stopped.set()
        self._thread.join(30)

    def _run(self) -> None:
        seen: dict[int, int] = {}
        while not self.stopped.is_set():
            for node in self.fleet.running_nodes():
                pid = node.process.pid
                version = node.version()
                if version == 0 or node.process.pid != pid:
                    continue
                before = seen.get(pid, 0)
                self.findings.expect(
                    version >= before,
                    f"{node.node_id} went from version {before} to {version}",
                )
                seen[pid] = max(before, version)
            time.sleep(MONITOR_INTERVAL_S)


class Faults:
    """Inject random faults, which may overlap, and repair each after a while."""

    def __init__(self, *, fleet: Fleet, seed: int) -> None:
        self.fleet = fleet
        self.random = random.Random(f"{seed}/faults")
        self.count_by_name: Counter[str] = Counter()
        self._pending_repairs: list[tuple[float, Callable[[], None]]] = []
        self._faulty_ids: set[str] = set()

    def run(self, seconds: float) -> None:
        """Inject faults for a number of seconds, then repair all of them."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            self._run_due_repairs(time.monotonic())
            fault = self.random.choice(
                (
                    self._kill,
                    self._suspend,
                    self._stop_gracefully,
                    self._kill_many,
                    self._store_outage,
                    self._store_slow,
                    self._store_loses_answers,
                    self._replace_upstream,
                    self._reset_after_run,
                )
            )
            fault()
            time.sleep(self.random.uniform(*FAULT_PAUSE_S))
        self._run_due_repairs(float("inf"))

    def _run_due_repairs(self, now: float) -> None:
        due = [entry for entry in self._pending_repairs if entry[0] <= now]
        self._pending_repairs = [
            entry for entry in self._pending_repairs if entry[0] > now
        ]
        for _, repair in due:
            repair()

    def _schedule_repair(self, repair: Callable[[], None]) -> None:
        length = self.random.uniform(*FAULT_LENGTH_S)
        self._pending_repairs.append((time.monotonic() + length, repair))

    def _claim_healthy_node(self) -> FleetNode | None:
        """Mark a random node faulty and return it; None if half of them are."""
        healthy = [
            node for node in self.fleet.nodes if node.node_id not in self._faulty_ids
        ]
        if len(healthy) <= len(self.fleet.nodes) // 2:
            return None
        node = self.random.choice(healthy)
        self._faulty_ids.add(node.node_id)
        return node

    def _restart(self, node: FleetNode) -> None:
        self.fleet.restart_node(node)
        self._faulty_ids.discard(node.node_id)

    def _count(self, name: str) -> None:
        self.count_by_name[name] += 1

    def _kill(self) -> None:
        node = self._claim_healthy_node()
        if node is None:
            return
        self._count("kill")
        node.process.kill()
        self._schedule_repair(lambda: self._restart(node))

    def _kill_many(self) -> None:
        for _ in range(int(len(self.fleet.nodes) * MASS_KILL_SHARE)):
            self._kill()

    def _suspend(self) -> None:
        node = self._claim_healthy_node()
        if node is None:
            return
        self._count("freeze")
        node.process.send(signal.SIGSTOP)

        def resume() -> None:
            node.process.send(signal.SIGCONT)
            self._faulty_ids.discard(node.node_id)

        self._schedule_repair(resume)

    def _stop_gracefully(self) -> None:
        node = self._claim_healthy_node()
        if node is None:
            return
        self._count("planned stop")
        node.process.send(signal.SIGTERM)
        self._schedule_repair(lambda: self._restart(node))

    def _store_outage(self) -> None:
        self._count("store outage")
        self.fleet.set_store_faults(outage=True)
        self._schedule_repair(lambda: self.fleet.set_store_faults(outage=False))

    def _store_slow(self) -> None:
        self._count("store slow")
        self.fleet.set_store_faults(delay_s=1.0)
        self._schedule_repair(lambda: self.fleet.set_store_faults(delay_s=0.0))

    def _store_loses_answers(self) -> None:
        self._count("store loses answers")
        self.fleet.set_store_faults(lose_answers=3)

    def _replace_upstream(self) -> None:
        node = self._claim_healthy_node()
        if node is None or node.upstream is None:
            return
        self._count("upstream leaves")
        old_upstream = node.upstream
        old_upstream.send(signal.SIGTERM)

        def replace() -> None:
            wait_until(lambda: not old_upstream.running, 60.0, "the upstream to drain")
            self.fleet.start_upstream(node, SERVICE, work_ms=4)
            self._faulty_ids.discard(node.node_id)

        self._schedule_repair(replace)

    def _reset_after_run(self) -> None:
        serving = [node for node in self.fleet.nodes if node.upstream is not None]
        node = self.random.choice(serving)
        self._count("upstream resets")
        with contextlib.suppress(urllib3.exceptions.HTTPError, RuntimeError):
            node.set_faults(reset_after_run=1)


def _runs_by_name(fleet: Fleet, all_processes: list[Any]) -> Counter[str]:
    """Return how often each booking ran, by the logs of all upstreams."""
    runs: Counter[str] = Counter()
    for node in fleet.nodes:
        if node.upstream is not None and node.upstream.running:
            runs.update(entry["id"] for entry in node.upstream_log())
    for process in all_processes:
        for line in process.output().splitlines():
            if line.startswith("log="):
                runs.update(entry["id"] for entry in json.loads(line[4:]))
    return runs


def _check_bookings(
    bookings: list[Booking], runs: Counter[str], findings: Findings
) -> None:
    """Check that no booking ran twice and that each ran or not as its caller was told.

    `runs` counts by booking name how often the upstreams ran it.
    """
    for booking in bookings:
        ran = runs[booking.name]
        findings.expect(ran <= 1, f"{booking.name} ran {ran} times {booking.attempts}")
        findings.expect(
            not (booking.surely_not_run and ran),
            f"{booking.name} ran though told not: {booking.attempts}",
        )
        findings.expect(
            not (booking.answered and not ran),
            f"{booking.name} was answered and never ran",
        )


def _check_versions(fleet: Fleet, operator: Operator, findings: Findings) -> None:
    newest = fleet.nodes[0].ask("versions", headers=OPERATOR_HEADERS)[0]["version"]
    seconds = fleet.wait_version(newest, CONVERGE_TIMEOUT_S)
    print(f"version {newest} everywhere {seconds:.1f} s after the last fault")
    findings.expect(
        len(set(operator.accepted)) == len(operator.accepted),
        "two edits were accepted as the same version",
    )
    findings.expect(
        all(version <= newest for version in operator.accepted),
        "an accepted version is missing from the history",
    )


def main(seconds: float = 30.0, seed: int = 1) -> None:
    """Run the experiment; exit with status 1 if a guarantee was violated."""
    findings = Findings()
    with Fleet(store_region="north") as fleet:
        for region, data_centres in REGIONS.items():
            for data_centre in data_centres * NODES_PER_DATA_CENTRE:
                fleet.start_node(region=region, data_centre=data_centre, wait=False)
        fleet.wait_ready()
        upstreams = [
            fleet.start_upstream(node, SERVICE, work_ms=4) for node in fleet.nodes[::2]
        ]
        fleet.wait_joined()
        fleet.wait_endpoints(SERVICE, len(upstreams))
        items = simple_items(SERVICE, customers=4)
        fleet.wait_version(fleet.load_items(items))
        callers = Callers(fleet=fleet, seed=seed)
        operator = Operator(fleet=fleet, seed=seed)
        monitor = VersionMonitor(fleet=fleet, findings=findings)
        faults = Faults(fleet=fleet, seed=seed)
        for component in (callers, operator, monitor):
            component.start()
        faults.run(seconds)
        for component in (operator, callers, monitor):
            component.stop()
        fetch_json(f"http://127.0.0.1:{fleet.store_port}/faults")
        _check_versions(fleet, operator, findings)
        fleet.wait_joined()
        fleet.wait_endpoints(SERVICE, len(upstreams))
        runs = _runs_by_name(fleet, fleet.processes())
        _check_bookings(callers.bookings, runs, findings)
        findings.expect(
            not callers.misdelivered, f"foreign answers {callers.misdelivered}"
        )
        _report(callers, operator, faults, runs)
    print(f"{len(findings.violations)} promises broken, seed {seed}")
    sys.exit(1 if findings.violations else 0)


def _report(
    callers: Callers, operator: Operator, faults: Faults, runs: Counter[str]
) -> None:
    bookings = callers.bookings
    kinds = Counter(
        attempt.kind or str(attempt.status)
        for booking in bookings
        for attempt in booking.attempts
    )
    answered = sum(booking.answered for booking in bookings)
    keyed = sum(booking.keyed for booking in bookings)
    print(f"faults {dict(faults.count_by_name)}")
    print(f"bookings {len(bookings)}, {keyed} keyed, {answered} answered")
    print(f"runs {sum(runs.values())}, attempts by outcome {dict(kinds)}")
    print(f"edits accepted {len(operator.accepted)}, refused {dict(operator.refused)}")


if __name__ == "__main__":
    fire.Fire(main)
