"""A fleet of processes on this machine: nodes, upstreams and an object store."""

import time
from collections import Counter
from contextlib import ExitStack
from types import TracebackType
from typing import Any
from urllib.parse import quote

import urllib3
from attrs import define, field

from benchmarks._deployments import Deployment
from standins.processes import (
    Ports,
    Process,
    fetch_json,
    try_fetch_json,
    wait_until,
)

HOST = "127.0.0.1"
READY_TIMEOUT_S = 60.0
OPERATOR_HEADERS = {"Comfreytray-Operator": "bench", "Accept-Language": "en"}
START_BATCH_NODES = 20
"""Nodes started before waiting until they are ready, to limit the machine's load."""

TEMPLATE = """template: {name}
parameters:
  place: {{type: text}}
routes:
  - name: read
    path: /$(place)/read
    methods: [GET]
    service: {service}
    timeout: {timeout}
  - name: book
    path: /$(place)/book
    methods: [POST]
    service: {service}
    idempotent: {idempotent}
    timeout: {timeout}
"""
CUSTOMER = """customer: {name}
template: {template}
hosts: [{host}]
parameters:
  place: {place}
"""


@define(kw_only=True, eq=False)
class FleetNode:
    """A node's process and ports, and the upstream beside it."""

    node_id: str
    region: str
    data_centre: str
    http_port: int
    admin_port: int
    control_port: int
    call_port: int
    arguments: list[str]
    process: Process
    upstream: Process | None = None
    upstream_port: int = 0
    service: str = ""

    @property
    def admin_url(self) -> str:
        """URL of the administration API."""
        return f"http://{HOST}:{self.admin_port}"

    @property
    def address(self) -> tuple[str, int]:
        """Address that accepts calls."""
        return (HOST, self.http_port)

    def ask(self, path: str, **options: Any) -> Any:
        """Send a request to the administration API and return its result."""
        return fetch_json(f"{self.admin_url}/v1/{path}", **options)["result"]

    def try_ask(self, path: str) -> Any | None:
        """Read from the administration API; return None if it does not answer."""
        response = try_fetch_json(f"{self.admin_url}/v1/{path}")
        return None if response is None else response["result"]

    def version(self) -> int:
        """Return the version in force, or 0 if there is none or no answer."""
        health = self.try_ask("health")
        return 0 if health is None else int(health["version_in_force"])

    def upstream_url(self, path: str) -> str:
        """Return the URL of one of the upstream stand-in's control paths."""
        return f"http://{HOST}:{self.upstream_port}/standin/{path}"

    def upstream_log(self) -> list[dict[str, Any]]:
        """Return the log of requests that the upstream ran."""
        return fetch_json(self.upstream_url("log"))  # type: ignore[no-any-return]

    def set_faults(self, **faults: object) -> None:
        """Set the faults that the upstream stand-in simulates."""
        fetch_json(self.upstream_url("faults"), method="POST", body=faults)


class Fleet:
    """The processes of a fleet, all ended when the context is left."""

    def __init__(
        self,
        *,
        store_region: str = "local",
        node_environment: dict[str, str] | None = None,
    ) -> None:
        self.ports = Ports()
        self.node_environment = node_environment
        self.nodes: list[FleetNode] = []
        self.store_region = store_region
        self.store_port = self.ports.take()
        self.store: Process | None = None
        self._stack = ExitStack()
        self._processes: list[Process] = []

    def __enter__(self) -> "Fleet":
        self.start_store()
        return self

    def __exit__(
        self,
        _: type[BaseException] | None,
        __: BaseException | None,
        ___: TracebackType | None,
    ) -> None:
        self._stack.close()

    def own(self, process: Process) -> Process:
        """Add a process that ends with the fleet, and return it."""
        self._processes.append(process)
        return self._stack.enter_context(process)

    def processes(self) -> list[Process]:
        """Return all processes started so far, including those that have ended."""
        return list(self._processes)

    def start_store(self) -> Process:
        """Start the stand-in of the object store."""
        arguments = ["standins/object_store.py", f"--port={self.store_port}"]
        self.store = self.own(Process(arguments=arguments, name="store"))
        self.store.wait_for_output("store ready")
        return self.store

    def start_node(
        self,
        *,
        region: str = "local",
        data_centre: str = "local-1",
        peers: str = "",
        settings: dict[str, object] | None = None,
        wait: bool = True,
    ) -> FleetNode:
        """Start a node, and wait until it is ready unless `wait` is false."""
        ports = {
            name: self.ports.take()
            for name in ("http_port", "admin_port", "control_port", "call_port")
        }
        node_id = f"node-{len(self.nodes):03}"
        values: dict[str, object] = {
            "node_id": node_id,
            "region": region,
            "data_centre": data_centre,
            "host": HOST,
            **ports,
            "store_url": f"http://{HOST}:{self.store_port}",
            "store_region": self.store_region,
            "log_level": "warning",
            **(settings or {}),
        }
        if peers:
            values["peers"] = peers
        arguments = ["-m", "comfreytray", "node"]
        arguments += [f"--{name}={value}" for name, value in values.items()]
        process = self._start_node_process(arguments, node_id)
        node = FleetNode(
            node_id=node_id,
            region=region,
            data_centre=data_centre,
            arguments=arguments,
            process=process,
            http_port=ports["http_port"],
            admin_port=ports["admin_port"],
            control_port=ports["control_port"],
            call_port=ports["call_port"],
        )
        self.nodes.append(node)
        if wait:
            node.process.wait_for_output("ready node=", READY_TIMEOUT_S)
        return node

    def restart_node(self, node: FleetNode) -> None:
        """Kill a node, start it again with its settings and wait until it is ready."""
        self.begin_restart(node)
        node.process.wait_for_output("ready node=", READY_TIMEOUT_S)

    def begin_restart(self, node: FleetNode) -> None:
        """Kill a node and start it again with its settings, without waiting."""
        node.process.kill()
        node.process = self._start_node_process(node.arguments, node.node_id)

    def _start_node_process(self, arguments: list[str], name: str) -> Process:
        environment = self.node_environment
        return self.own(
            Process(arguments=arguments, environment=environment, name=name)
        )

    def start_upstream(
        self,
        node: FleetNode,
        service: str,
        *,
        slots: int = 12,
        connections: int = 110,
        **options: object,
    ) -> Process:
        """Start an upstream instance beside a node."""
        port = self.ports.take()
        values = {
            "service": service,
            "port": port,
            "announce_url": f"{node.admin_url}/v1/announcement",
            "slots": slots,
            "connections": connections,
            **options,
        }
        arguments = ["standins/upstream.py"]
        arguments += [f"--{name}={value}" for name, value in values.items()]
        process = self.own(Process(arguments=arguments, name=f"{service}:{port}"))
        process.wait_for_output("ready service=")
        node.upstream, node.upstream_port, node.service = process, port, service
        return process

    def start_deployment(
        self, deployment: Deployment, *, upstreams: bool = True, **options: object
    ) -> None:
        """Start all nodes of a deployment, and their upstreams unless told not to."""
        zones, services = deployment.zones(), deployment.services()
        for number, (region, data_centre) in enumerate(zones):
            self.start_node(region=region, data_centre=data_centre, wait=False)
            if number % START_BATCH_NODES == START_BATCH_NODES - 1:
                self.wait_ready()
        self.wait_ready()
        if not upstreams:
            return
        for node, service in zip(self.nodes, services, strict=True):
            self.start_upstream(
                node,
                service,
                slots=deployment.slots,
                connections=deployment.connections,
                **options,
            )

    def wait_ready(self) -> None:
        """Wait until all running nodes have printed that they are ready."""
        for node in self.nodes:
            if node.process.running:
                node.process.wait_for_output("ready node=", READY_TIMEOUT_S)

    def running_nodes(self) -> list[FleetNode]:
        """Return the nodes whose process is running."""
        return [node for node in self.nodes if node.process.running]

    def wait_joined(self, timeout_s: float = READY_TIMEOUT_S) -> float:
        """Wait until every running node counts all running nodes as members.

        Return the seconds waited.
        """
        count = len(self.running_nodes())

        def joined() -> bool:
            for node in self.running_nodes():
                health = node.try_ask("health")
                if health is None or health["members"] != count:
                    return False
            return True

        try:
            return wait_until(joined, timeout_s, f"{count} members everywhere")
        except TimeoutError as error:
            seen = [
                (node.try_ask("health") or {}).get("members") for node in self.nodes
            ]
            raise TimeoutError(f"{error}; seen {seen} of {len(self.nodes)}") from error

    def wait_endpoints(self, service: str, count: int, timeout_s: float = 30.0) -> None:
        """Wait until every running node knows `count` endpoints of a service."""

        def seen() -> bool:
            for node in self.running_nodes():
                by_service = node.try_ask("endpoints") or {}
                if len(by_service.get(service, ())) != count:
                    return False
            return True

        wait_until(seen, timeout_s, f"{count} endpoints of {service}")

    def load_items(self, text_by_path: dict[str, str]) -> int:
        """Upload many items as one version and return its number."""
        items = []
        for path, text in text_by_path.items():
            kind, _, name = path.partition("/")
            items.append({"kind": kind, "name": name, "text": text})
        result = self.running_nodes()[0].ask(
            "load", method="POST", body=items, headers=OPERATOR_HEADERS, timeout_s=60.0
        )
        return int(result["head"]["version"])

    def edit(self, node: FleetNode, path: str, text: str) -> int:
        """Upload one item through a node and return the number of its version."""
        kind, _, name = path.partition("/")
        url = f"{node.admin_url}/v1/items/{kind}/{quote(name)}"
        response = _edit_client.request(
            "PUT", url, body=text.encode(), headers=OPERATOR_HEADERS, timeout=30.0
        )
        if response.status >= 400:
            raise RuntimeError(
                f"edit of {path} refused: {response.status} {response.data!r}"
            )
        return int(response.json()["result"]["head"]["version"])

    def wait_version(self, version: int, timeout_s: float = READY_TIMEOUT_S) -> float:
        """Wait until a version or a later one is in force on every running node.

        Return the seconds waited.
        """
        pending = self.running_nodes()

        def in_force() -> bool:
            pending[:] = [node for node in pending if node.version() < version]
            return not pending

        return wait_until(in_force, timeout_s, f"version {version}", poll_s=0.01)

    def store_calls(self) -> Counter[str]:
        """Return the number of calls to the store, by kind."""
        return Counter(fetch_json(f"http://{HOST}:{self.store_port}/calls"))

    def set_store_faults(self, **faults: object) -> None:
        """Set the faults that the store's stand-in simulates."""
        url = f"http://{HOST}:{self.store_port}/faults"
        fetch_json(url, method="PUT", body=faults)

    def counters(self) -> Counter[str]:
        """Return the sum of the counters of all running nodes."""
        total: Counter[str] = Counter()
        for node in self.running_nodes():
            total.update(node.ask("metrics")["counters"])
        return total


_edit_client = urllib3.PoolManager(maxsize=2, retries=False)


@define(kw_only=True)
class Usage:
    """Processor time that processes use after this object is created."""

    processes: list[Process]
    started_s: float = field(factory=time.monotonic)
    cpu_before: list[float] = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.cpu_before = [process.cpu_s() for process in self.processes]

    def cpu_shares(self) -> list[float]:
        """Return the share of one core that each process has used."""
        elapsed = time.monotonic() - self.started_s
        return [
            (process.cpu_s() - before) / elapsed
            for process, before in zip(self.processes, self.cpu_before, strict=True)
        ]

    def cpu_s(self) -> float:
        """Return the processor time in seconds, summed over the processes."""
        return sum(process.cpu_s() for process in self.processes) - sum(self.cpu_before)


def simple_items(
    service: str,
    *,
    customers: int = 1,
    timeout: str = "5 s",
    idempotent: str = "no",
) -> dict[str, str]:
    """Return the texts of a template for a service and of customers, by path."""
    template = f"use-{service}"
    items = {
        f"template/{template}": TEMPLATE.format(
            name=template, service=service, timeout=timeout, idempotent=idempotent
        )
    }
    for number in range(customers):
        name = f"{service}-customer-{number:04}"
        items[f"customer/{name}"] = customer_text(name, template)
    return items


def customer_text(name: str, template: str, place: str = "field") -> str:
    """Return the text of a customer item."""
    return CUSTOMER.format(
        name=name, template=template, host=host_of(name), place=place
    )


def host_of(customer: str) -> str:
    """Return the host name whose calls belong to a customer."""
    return f"{customer}.example"
