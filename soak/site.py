"""A mesh on loopback: store, node processes and upstreams, and faults on each."""

import http.client
import json
import random
import re
import signal
import time
from pathlib import Path
from types import TracebackType

import eventlet
from attrs import evolve

from soak.configuration import HOST, SERVICE, TIMEOUT_S, build_resources
from soak.endings import GRACE_S, EndingChecker
from soak.faults import (
    CRASHED,
    KEY_ADDED,
    LEFT_AND_KILLED,
    RESTORED,
    SILENT,
    STOP_TWICE,
    Fault,
    disturbed_nodes,
    is_unplanned_at_its_node,
)
from soak.instances import DEADLY_PATH, HEARTBEAT_S, SLOTS, Instance
from soak.keypromises import KeyChecker
from soak.keys import FIRST_SEED_WITH_ACCOUNTS, Disturbances, Keyring
from soak.nodeprocess import NodeProcess
from soak.planned import is_planned
from soak.promises import LIMIT_WINDOW_S, PromiseChecker
from soak.relay import Relay
from standins.platform_store import StoreStandIn

OUTBOUND, INBOUND, READY, CONTROL, APPLICATION, REPLICATION = range(21_001, 21_007)
METRICS_PORT = 9464
DEADLY_REQUESTS = 2
"""Different deadly requests in a run; each comes again."""
DEADLY_GAP_RANGE_S = (0.05, 0.3)
PLANNED_SLOTS = 48
PLANNED_TIMEOUT_S = 5.0
"""Slots of instances and time limit of routes in runs that hold only planned work."""
MAX_COPY_AGE_S = 9.0
"""Age of the oldest copy from which the store comes back."""
BOUNDS = ("grace_s=6", "retry_budget_ratio=0.2", "retry_slack=56", "budget_window_s=10")
KILL_AFTER_LEAVING_RANGE_S = (0.0, 0.5)
"""Time from an instance's leaving to the kill of its node."""
_LINK_MODES = {"link-silent": "silent", "link-one-way": "one-way", "link-slow": "slow"}


class Site:
    """Own all parts of a run and end the node processes on exit.

    The store, relays and upstreams listen in this process and are not closed: each
    run has a process of its own.
    """

    def __init__(
        self, *, nodes: int, seed: int, folder: Path, start_s: float = 0.0
    ) -> None:
        self.seed = seed
        self.random = random.Random(seed)
        self.promises = PromiseChecker()
        self.endings = EndingChecker(violations=self.promises.violations)
        self.disturbances = Disturbances()
        has_accounts = seed >= FIRST_SEED_WITH_ACCOUNTS and not is_planned(seed)
        self.ring = Keyring(seed=seed) if has_accounts else None
        """None if the configuration has no accounts."""
        self.keys = self._key_checker()
        self.store = StoreStandIn()
        self.version = 0
        # Parallel runs use the same ports, so each takes a random loopback network.
        draw = random.SystemRandom()
        network = f"127.{draw.randrange(1, 250)}.{draw.randrange(1, 250)}"
        self.hosts = [f"{network}.{number + 1}" for number in range(nodes)]
        self.links = [Relay(self.store.address) for _ in range(nodes)]
        self.instances = [self._instance(number) for number in range(nodes)]
        self.nodes = [self._node(number, folder) for number in range(nodes)]
        for node in self.nodes:
            node.start_s = start_s

    def __enter__(self) -> "Site":
        self.configure()
        for node in self.nodes:
            node.start()
        for instance in self.instances:
            eventlet.spawn(instance.send_heartbeats)
        eventlet.spawn(self._poll_versions)
        eventlet.spawn(self.endings.watch_lag)
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        for node in self.nodes:
            node.wait(0.0)

    def configure(self) -> None:
        """Write the next version of the configuration, as an operator does."""
        self.version += self.random.randrange(1, 4)
        timeout_s = PLANNED_TIMEOUT_S if is_planned(self.seed) else TIMEOUT_S
        resources = build_resources(self.ring, timeout_s=timeout_s)
        self.endings.configured_at.append(time.monotonic())
        self.store.put(
            "config", "main", {"version": self.version, "resources": resources}
        )

    def apply(self, fault: Fault) -> None:
        """Start a fault, wait for its duration and end it; blocks its greenlet."""
        with self.disturbances.during(disturbed_nodes(fault, nodes=len(self.nodes))):
            if is_unplanned_at_its_node(fault):
                with self.endings.disturbing(fault.node):
                    self._apply(fault)
            else:
                self._apply(fault)

    def _apply(self, fault: Fault) -> None:
        match fault.kind.partition("-")[0]:
            case "node":
                self._apply_node_fault(fault)
            case "store":
                self._apply_store_fault(fault)
            case "link":
                self._apply_link_fault(fault)
            case "upstream":
                self._apply_instance_fault(fault)
            case "deadly":
                self._send_deadly(fault)
            case "configuration":
                self.configure()
            case "key":
                self._change_keys(fault)

    def clear_faults(self) -> None:
        """End all faults that are still on."""
        self.store.clear_faults()
        for link in self.links:
            link.mode = "open"
        for instance in self.instances:
            for name in list(instance.faults):
                instance.set_fault(name, False)
        for node in self.nodes:
            node.send(signal.SIGCONT)

    def versions(self) -> list[int]:
        """Return each node's version in force; 0 if the node does not answer."""
        return [self._version_at(number) for number in range(len(self.nodes))]

    def _change_keys(self, fault: Fault) -> None:
        """Write a configuration with one key more, or one less."""
        assert self.ring is not None
        if fault.kind == KEY_ADDED:
            self.ring.add()
        else:
            self.ring.withdraw()
        self.configure()

    def _apply_node_fault(self, fault: Fault) -> None:
        node = self.nodes[fault.node]
        if fault.kind == "node-reload":
            if node.handles_sighup:
                self.endings.record_reload(fault.node)
                node.send(signal.SIGHUP)
            return
        if node.busy:
            return
        node.busy = True
        instance = self.instances[fault.node]
        instance.node_disturbed_at = float("inf")
        try:
            if fault.kind == "node-pause":
                node.send(signal.SIGSTOP)
                eventlet.sleep(fault.duration_s)
                node.send(signal.SIGCONT)
                return
            if fault.kind in ("node-stop", STOP_TWICE):
                self._stop_and_start(node)
                if fault.kind == STOP_TWICE:
                    eventlet.sleep(fault.duration_s)
                    self._stop_and_start(node)
                return
            node.send(signal.SIGKILL)
            node.wait(GRACE_S)
            eventlet.sleep(fault.duration_s / 2)
            node.start()
        finally:
            node.busy = False
            instance.node_disturbed_at = time.monotonic()

    def _stop_and_start(self, node: NodeProcess) -> None:
        stop = self.endings.record_stop(node.number)
        node.send(signal.SIGTERM)
        stop.was_killed = not node.wait(GRACE_S)
        stop.gone_at = time.monotonic()
        node.start()
        stop.back_at = time.monotonic()

    def _apply_store_fault(self, fault: Fault) -> None:
        if fault.kind == RESTORED:
            self._restore_store(fault.duration_s)
            return
        begin = {
            "store-unavailable": self.store.refuse_calls,
            "store-drops-history": self.store.drop_history,
            "store-cuts-watches": self.store.cut_watches,
            "store-loses-answers": self.store.lose_answers,
            SILENT: self.store.fall_silent,
        }
        begin[fault.kind]()
        eventlet.sleep(fault.duration_s)
        self.store.clear_faults()

    def _restore_store(self, away_s: float) -> None:
        """Take the store away and bring it back from an older copy."""
        age_s = self.random.uniform(0.0, MAX_COPY_AGE_S)
        self.store.refuse_calls()
        revision = self.store.revision_before(age_s)
        eventlet.sleep(away_s)
        self.store.restore(min(revision, self.store.revision))
        self.store.clear_faults()

    def _apply_link_fault(self, fault: Fault) -> None:
        link = self.links[fault.node]
        if fault.kind == "link-reset":
            link.mode = "reset"
            link.cut()
        else:
            link.mode = _LINK_MODES[fault.kind]
        eventlet.sleep(fault.duration_s)
        if link.mode in ("silent", "one-way"):
            # Connections that lost data must not carry on as if they were whole.
            link.cut()
        link.mode = "open"

    def _apply_instance_fault(self, fault: Fault) -> None:
        instance = self.instances[fault.node]
        if fault.kind == CRASHED:
            instance.crash()
            return
        if fault.kind == "upstream-replaced":
            instance.replace()
            return
        if fault.kind == LEFT_AND_KILLED:
            leaving = eventlet.spawn(instance.replace)
            eventlet.sleep(self.random.uniform(*KILL_AFTER_LEAVING_RANGE_S))
            self._apply_node_fault(evolve(fault, kind="node-kill"))
            leaving.wait()
            return
        instance.set_fault(fault.kind, True)
        eventlet.sleep(fault.duration_s)
        if fault.kind == "upstream-limited":
            eventlet.sleep(LIMIT_WINDOW_S)
        instance.set_fault(fault.kind, False)

    def _send_deadly(self, fault: Fault) -> None:
        """Send one of a few deadly requests to nodes at random, again and again."""
        path = f"{DEADLY_PATH.decode()}{self.random.randrange(DEADLY_REQUESTS)}"
        end = time.monotonic() + fault.duration_s
        while time.monotonic() < end:
            host = self.random.choice(self.hosts)
            credentials = self.ring.lasting_credentials() if self.ring else None
            fields = credentials.headers() if credentials else {}
            eventlet.spawn_n(_send, host, path, fields)
            eventlet.sleep(self.random.uniform(*DEADLY_GAP_RANGE_S))

    def _poll_versions(self) -> None:
        while True:
            for node in self.nodes:
                process = node.popen
                version = self._version_at(node.number)
                if version and process is node.popen:
                    self.promises.record_version(
                        node.number, version=version, before=node.version_in_force
                    )
                    node.version_in_force = version
            eventlet.sleep(0.2)

    def _version_at(self, number: int) -> int:
        connection = http.client.HTTPConnection(
            self.hosts[number], METRICS_PORT, timeout=0.5
        )
        try:
            connection.request("GET", "/metrics")
            text = connection.getresponse().read().decode()
        except (OSError, http.client.HTTPException):
            return 0
        finally:
            connection.close()
        found = re.search(r"^comfreytray_version_in_force (\d+)", text, re.MULTILINE)
        return int(found[1]) if found else 0

    def _key_checker(self) -> KeyChecker | None:
        if self.ring is None:
            return None
        return KeyChecker(
            violations=self.promises.violations, disturbances=self.disturbances
        )

    def _instance(self, number: int) -> Instance:
        host = self.hosts[number]
        return Instance(
            node=number,
            host=host,
            port=APPLICATION,
            control=(host, CONTROL),
            service=SERVICE,
            promises=self.promises,
            endings=self.endings,
            slots=PLANNED_SLOTS if is_planned(self.seed) else SLOTS,
            keys=self.keys,
            random=self.random,
        )

    def _node(self, number: int, folder: Path) -> NodeProcess:
        host = self.hosts[number]
        link = self.links[number].address
        plain = {
            "node_name": f"node-{number}",
            "service": SERVICE,
            "region": f"r{number % 2}",
            "zone": f"z{number % 3}",
            "ip": host,
            "listen": {
                "outbound": f"{host}:{OUTBOUND}",
                "inbound": f"{host}:{INBOUND}",
                "ready": f"{host}:{READY}",
                "control": f"{host}:{CONTROL}",
            },
            "port_range": [REPLICATION, REPLICATION],
            "limits": {"cpu_share": 1.0, "cores": 1},
            "heartbeat_s": HEARTBEAT_S,
            "bounds": list(BOUNDS),
            "app_address": f"{host}:{APPLICATION}",
            "platform": {"address": f"{link[0]}:{link[1]}"},
        }
        settings = folder / f"node-{number}.json"
        settings.write_text(json.dumps(plain))
        return NodeProcess(
            number=number, settings=settings, log=folder / f"node-{number}.log"
        )


def _send(host: str, path: str, fields: dict[str, str]) -> None:
    connection = http.client.HTTPConnection(host, OUTBOUND, timeout=2.0)
    try:
        connection.request("GET", path, headers={"Host": HOST, **fields})
        connection.getresponse().read()
    except (OSError, http.client.HTTPException):
        return
    finally:
        connection.close()
