"""Run two example deployments on loopback and show that calls succeed under faults.

Each step prints what is expected and what was observed; the first step that fails
ends the demo with exit code 1.
"""

import contextlib
import json
import os
import signal
import subprocess
import sys
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import urllib3
from attrs import define, field, frozen
from ruamel.yaml import YAML

from standins.processes import (
    Ports,
    Process,
    fetch_json,
    python_environment,
    try_fetch_json,
    wait_until,
)

FOLDER = Path(__file__).resolve().parent
MAX_WAIT_S = 30.0
CALLS_PER_STEP = 20


@frozen(kw_only=True)
class Booking:
    """A call that must run at most once."""

    host: str
    path: str
    service: str
    entry_region: str


@frozen(kw_only=True)
class Plan:
    """What the demo does with one deployment."""

    name: str
    operator: str
    language: str
    template: str
    booking: Booking


PLANS = (
    Plan(
        name="clubs",
        operator="Lan",
        language="vi",
        template="dat-san",
        booking=Booking(
            host="hanoi.canhdieu.example",
            path="/san/me-tri/dat-cho",
            service="lichbay",
            entry_region="mien-nam",
        ),
    ),
    Plan(
        name="le-bihan",
        operator="Yann",
        language="fr",
        template="equipe",
        booking=Booking(
            host="quimper.lebihan.example",
            path="/secteurs/cornouaille/acomptes",
            service="devis",
            entry_region="morbihan",
        ),
    ),
)


@define(kw_only=True)
class Instance:
    """An upstream instance and its node."""

    name: str
    region: str
    service: str
    http_port: int
    admin_port: int
    upstream_port: int
    node: Process
    upstream: Process

    @property
    def admin_url(self) -> str:
        """URL of the node's administration API."""
        return f"http://127.0.0.1:{self.admin_port}"


@define(kw_only=True)
class Deployment:
    """The processes of one deployment."""

    plan: Plan
    store_port: int
    store: Process
    instances: list[Instance] = field(factory=list)
    http: urllib3.PoolManager = field(
        factory=lambda: urllib3.PoolManager(retries=False, timeout=10.0, maxsize=4)
    )
    booked: int = 0

    def running_instances(self) -> list[Instance]:
        """Return the instances whose node runs."""
        return [one for one in self.instances if one.node.running]

    def command(self, *words: str, language: str | None = None) -> str:
        """Run an operator's command at a node; raise unless it succeeds."""
        environment = python_environment(
            {
                "COMFREYTRAY_ADMIN_URL": self.running_instances()[0].admin_url,
                "COMFREYTRAY_OPERATOR": self.plan.operator,
                "COMFREYTRAY_LANGUAGE": language or self.plan.language,
            }
        )
        done = subprocess.run(
            [sys.executable, "-m", "comfreytray", *words],
            env=environment,
            capture_output=True,
            text=True,
            check=False,
            timeout=120,
        )
        if done.returncode != 0:
            raise UnexpectedOutcome(
                f"{words}: {done.returncode} {done.stderr}{done.stdout}"
            )
        return done.stdout.strip()

    def book(self, instance: Instance, number: int) -> Any:
        """Send a booking to a node; return the answer, raise unless it succeeded."""
        booking = self.plan.booking
        request_id = f"{self.plan.name}-{number}"
        answer = self.http.request(
            "POST",
            f"http://127.0.0.1:{instance.http_port}{booking.path}",
            body=json.dumps({"slot": number}).encode(),
            headers={
                "Host": booking.host,
                "X-Request-Id": request_id,
                "Content-Type": "application/json",
            },
        )
        if answer.status >= 300:
            raise UnexpectedOutcome(f"{answer.status} {answer.data.decode()}")
        body = json.loads(answer.data)
        if request_id not in answer.data.decode():
            raise UnexpectedOutcome(f"expected the answer to {request_id}, got {body}")
        self.booked += 1
        return body

    def book_in_turn(self, entries: list[Instance]) -> str:
        """Send CALLS_PER_STEP bookings to nodes in turn."""
        for number in range(CALLS_PER_STEP):
            self.book(entries[number % len(entries)], self.booked + 1)
        return f"{CALLS_PER_STEP} of {CALLS_PER_STEP} bookings answered"

    def runs_by_id(self) -> dict[str, int]:
        """Count in the upstreams' logs how often each booking ran."""
        runs: dict[str, int] = {}
        for instance in self.instances:
            log = try_fetch_json(
                f"http://127.0.0.1:{instance.upstream_port}/standin/log"
            )
            for entry in log or ():
                runs[entry["id"]] = runs.get(entry["id"], 0) + 1
        return runs


class UnexpectedOutcome(Exception):  # noqa: N818
    """A step had another outcome than expected."""


def step(expectation: str, act: Callable[[], str]) -> None:
    """Run a step and print its outcome; exit with 1 if it failed."""
    print(f"  {expectation}", flush=True)
    begin = time.monotonic()
    try:
        outcome = act()
    except (UnexpectedOutcome, TimeoutError, RuntimeError, OSError) as error:
        print(f"    FAILED: {error}", flush=True)
        raise SystemExit(1) from None
    for line in outcome.splitlines():
        print(f"    {line}", flush=True)
    print(f"    ok after {time.monotonic() - begin:.1f} s", flush=True)


@contextlib.contextmanager
def deployed(plan: Plan, ports: Ports) -> Iterator[Deployment]:
    """Start the store, then a node and an upstream for each endpoint."""
    places = YAML(typ="safe").load((FOLDER / plan.name / "places.yaml").read_text())
    with contextlib.ExitStack() as stack:
        store_port = ports.take()
        store = stack.enter_context(
            Process(
                arguments=["standins/object_store.py", f"--port={store_port}"],
                name="store",
            )
        )
        store.wait_for_output("ready")
        deployment = Deployment(plan=plan, store_port=store_port, store=store)
        region_by_centre = {
            centre: region
            for region, centres in places["regions"].items()
            for centre in centres
        }
        for service, options in places["services"].items():
            for centre, count in options["endpoints"].items():
                for number in range(count):
                    instance = _start(
                        stack,
                        ports,
                        name=f"{service}-{centre}-{number}",
                        store_port=store_port,
                        store_region=places["store_region"],
                        region=region_by_centre[centre],
                        centre=centre,
                        service=service,
                        options=options,
                    )
                    deployment.instances.append(instance)
        yield deployment


def _start(
    stack: contextlib.ExitStack,
    ports: Ports,
    *,
    name: str,
    store_port: int,
    store_region: str,
    region: str,
    centre: str,
    service: str,
    options: dict[str, Any],
) -> Instance:
    http, admin, control, call, upstream = (ports.take() for _ in range(5))
    node = Process(
        arguments=[
            "-m",
            "comfreytray",
            "node",
            f"--node_id={name}",
            f"--region={region}",
            f"--data_centre={centre}",
            f"--http_port={http}",
            f"--admin_port={admin}",
            f"--control_port={control}",
            f"--call_port={call}",
            f"--store_url=http://127.0.0.1:{store_port}",
            f"--store_region={store_region}",
        ],
        name=name,
    )
    upstream_process = Process(
        arguments=[
            "standins/upstream.py",
            f"--service={service}",
            f"--port={upstream}",
            f"--announce_url=http://127.0.0.1:{admin}/v1/announcement",
            f"--slots={options['slots']}",
            f"--connections={options['connections']}",
        ],
        name=f"upstream of {name}",
    )
    stack.enter_context(node)
    stack.enter_context(upstream_process)
    return Instance(
        name=name,
        region=region,
        service=service,
        http_port=http,
        admin_port=admin,
        upstream_port=upstream,
        node=node,
        upstream=upstream_process,
    )


def wait_for_members(deployment: Deployment) -> str:
    """Wait until each running node lists all endpoints."""
    total = len(deployment.instances)

    def all_known() -> bool:
        for instance in deployment.running_instances():
            known = try_fetch_json(f"{instance.admin_url}/v1/endpoints")
            services = (known or {}).get("result", {})
            if sum(len(records) for records in services.values()) != total:
                return False
        return True

    wait_until(all_known, MAX_WAIT_S, f"{total} endpoints at every node", 0.2)
    return f"{total} nodes know {total} endpoints"


def wait_for_removal(deployment: Deployment, instance: Instance) -> str:
    """Wait until no running node lists an instance's endpoint."""

    def gone() -> bool:
        for one in deployment.running_instances():
            known = try_fetch_json(f"{one.admin_url}/v1/endpoints")
            if known is None:
                return False
            records = known["result"].get(instance.service, [])
            if any(record["node_id"] == instance.name for record in records):
                return False
        return True

    seconds = wait_until(
        gone, MAX_WAIT_S, f"{instance.name} to leave the list of every node", 0.05
    )
    return f"no node lists {instance.name} after {seconds:.1f} s"


def show(plan: Plan) -> None:
    """Run the steps of one deployment."""
    ports = Ports()
    print(f"{plan.name}: operator {plan.operator} works in {plan.language}")
    with deployed(plan, ports) as deployment:
        booking = plan.booking
        template = FOLDER / plan.name / "templates" / f"{plan.template}.yaml"
        customers = sorted((FOLDER / plan.name / "customers").glob("*.yaml"))
        step("every node lists every endpoint", lambda: wait_for_members(deployment))
        step(
            f"the operator creates the template {plan.template}",
            lambda: deployment.command(
                "template", "edit", plan.template, str(template)
            ),
        )
        for customer in customers:
            step(
                f"the operator sets the parameters of {customer.stem}",
                lambda customer=customer: deployment.command(  # type: ignore[misc]
                    "customer", "edit", customer.stem, str(customer)
                ),
            )
        step(
            "the change is in force on every node",
            lambda: deployment.command("status", "--wait"),
        )
        for language in ("vi", "fr", "en"):
            step(
                f"the status is shown in {language}",
                lambda language=language: deployment.command(  # type: ignore[misc]
                    "status", language=language
                ),
            )
        entries = [
            one
            for one in deployment.instances
            if one.region == booking.entry_region and one.service != booking.service
        ]
        step(
            f"a caller books through {entries[0].name} and gets its answer",
            lambda: json.dumps(deployment.book(entries[0], 1), ensure_ascii=False),
        )
        step(
            "bookings still succeed",
            lambda: deployment.book_in_turn(deployment.running_instances()),
        )
        serving = [
            one for one in deployment.instances if one.service == booking.service
        ]

        def leave() -> str:
            serving[0].upstream.send(signal.SIGTERM)
            return wait_for_removal(deployment, serving[0])

        step(f"the upstream of {serving[0].name} drains and stops", leave)
        step(
            "bookings still succeed",
            lambda: deployment.book_in_turn(deployment.running_instances()),
        )

        def kill() -> str:
            serving[1].node.kill()
            return wait_for_removal(deployment, serving[1])

        step(f"the node {serving[1].name} is killed", kill)
        step(
            "bookings still succeed",
            lambda: deployment.book_in_turn(deployment.running_instances()),
        )

        def fail_store() -> str:
            fetch_json(
                f"http://127.0.0.1:{deployment.store_port}/faults",
                method="PUT",
                body={"outage": True},
            )
            return "the store refuses every call"

        step("the store fails", fail_store)
        step(
            "bookings still succeed",
            lambda: deployment.book_in_turn(deployment.running_instances()),
        )

        def check_runs() -> str:
            runs = deployment.runs_by_id()
            repeated = [name for name, count in runs.items() if count > 1]
            if repeated:
                raise UnexpectedOutcome(f"ran twice: {repeated}")
            return f"{deployment.booked} bookings answered, 0 ran twice"

        step("no booking ran twice", check_runs)


def main() -> None:
    """Run the demo of both deployments."""
    begin = time.monotonic()
    os.environ.setdefault("EVENTLET_NO_GREENDNS", "yes")
    for plan in PLANS:
        show(plan)
    print(f"all steps passed in {time.monotonic() - begin:.0f} s")


if __name__ == "__main__":
    main()
