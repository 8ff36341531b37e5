"""Time, CPU, memory and store calls of operator commands."""

import os
import sys
import tempfile
import time
from pathlib import Path

from attrs import frozen

from benchmarks._fleet import Fleet, FleetNode, customer_text, simple_items
from standins.processes import ROOT, python_environment

SERVICE = "service-01"
CUSTOMERS = 200


@frozen(kw_only=True)
class CommandCost:
    """The resources that one command used."""

    name: str
    elapsed_s: float
    cpu_s: float
    rss_mb: float
    store_calls: int
    """Calls of all processes to the store while the command ran."""


def run_command(
    fleet: Fleet, node: FleetNode, name: str, command_arguments: list[str]
) -> CommandCost:
    """Run a command to its end and return its usage, as the kernel reports it."""
    before = sum(fleet.store_calls().values())
    begin = time.monotonic()
    environment = python_environment(
        {"COMFREYTRAY_ADMIN_URL": node.admin_url, "COMFREYTRAY_OPERATOR": "bench"}
    )
    arguments = [sys.executable, "-m", "comfreytray", *command_arguments]
    with open(os.devnull, "w") as null:
        actions = [(os.POSIX_SPAWN_DUP2, null.fileno(), 1)]
        pid = os.posix_spawn(
            sys.executable, arguments, environment, file_actions=actions
        )
        _, status, usage = os.wait4(pid, 0)
    if status != 0:
        raise RuntimeError(f"command {name} ended with wait status {status}")
    return CommandCost(
        name=name,
        elapsed_s=time.monotonic() - begin,
        cpu_s=usage.ru_utime + usage.ru_stime,
        rss_mb=usage.ru_maxrss * 1024 / 1e6,
        store_calls=sum(fleet.store_calls().values()) - before,
    )


def measure() -> list[CommandCost]:
    """Measure the commands `customer list`, `customer edit` and `status`."""
    os.chdir(ROOT)
    with Fleet() as fleet, tempfile.TemporaryDirectory() as folder:
        node = fleet.start_node()
        fleet.wait_version(fleet.load_items(simple_items(SERVICE, customers=CUSTOMERS)))
        customer = f"{SERVICE}-customer-0000"
        file = Path(folder, "customer.yaml")
        file.write_text(customer_text(customer, f"use-{SERVICE}", "other"), "utf-8")
        return [
            run_command(fleet, node, "list", ["customer", "list"]),
            run_command(fleet, node, "edit", ["customer", "edit", customer, str(file)]),
            run_command(fleet, node, "status", ["status"]),
        ]
