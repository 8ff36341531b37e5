"""Machines in touch serve an old version while their two readers are turned away."""

import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins import CannotRunError, Endpoint, Reply, Site, main, send

OLD, NEW = "lichbay", "antoan"
NODES = 10
CONFIG_DEADLINE_S = 2.5
AWAY_S = 9.0
"""Time for which the store is silent to the two machines."""
SETTLE_S = 10.0
CHANGE_AFTER_S = 0.5
"""Time from the beginning of the silence to the change of the configuration."""
ADDED_S = 2.5
"""Time from the new endpoint's start to the first change of the configuration."""
CHANGED_S = 1.0
"""Time from there to the silence."""
GAP_S = 0.02


def route_to(service: str) -> list[dict[str, str]]:
    """Return the routes, with the one that moves at a service."""
    return [
        {"path_prefix": "/fields/", "type": "safe", "service": service},
        {"path_prefix": "/notices/", "type": "safe", "service": NEW},
        {"path_prefix": "/clubs/", "type": "safe", "service": OLD},
    ]


def find_readers(site: Site) -> list[int]:
    """Return the two machines that read the store for all."""
    end = time.monotonic() + 30.0
    while time.monotonic() < end:
        now = time.monotonic()
        readers = [
            number
            for number, node in enumerate(site.nodes)
            if now - node.door.watched_at.get("config", 0.0) < 5.5
        ]
        if len(readers) == 2:
            return readers
        time.sleep(0.5)
    raise CannotRunError("the nodes did not settle on two readers")


def describe_watches(site: Site, readers: list[int]) -> str:
    """Return how long ago the readers began their watches."""
    now = time.monotonic()
    ages = [
        f"{site.nodes[number].name} {kind} {now - at:.1f} s"
        for number in readers
        for kind, at in sorted(site.nodes[number].door.watched_at.items())
    ]
    return ", ".join(ages)


def play(site: Site, has_trouble: bool) -> bool:
    """Move a route; return whether machines in touch follow in time."""
    site.configure(route_to(OLD))
    endpoints: list[Endpoint] = []

    def start_endpoint(number: int) -> None:
        node = site.nodes[number]
        endpoint = Endpoint(
            record=site.record,
            machine=node.machine,
            instance_id=f"i-{number + 1}",
            service=node.service,
        )
        endpoints.append(endpoint)

    for number in range(NODES - 1):
        start_endpoint(number)
    for node in site.nodes:
        node.start()
    site.wait_until_ready(30.0)
    time.sleep(SETTLE_S)
    readers = find_readers(site)
    site.record.write(f"read the store: {[site.nodes[n].name for n in readers]}")
    # An endpoint is added, then the configuration changes: after either, both readers
    # begin a new watch, so that the silence meets fresh ones.
    start_endpoint(NODES - 1)
    time.sleep(ADDED_S)
    site.configure(route_to(OLD))
    time.sleep(CHANGED_S)
    site.record.write(f"watches began: {describe_watches(site, readers)}")
    if has_trouble:
        for number in readers:
            site.nodes[number].door.is_silent = True
        site.record.write("the store is silent to the two readers")
    silent_at = time.monotonic()
    time.sleep(CHANGE_AFTER_S)
    site.configure(route_to(NEW))
    confirmed_at = site.record.now()
    replies: list[Reply] = []
    threads: list[threading.Thread] = []

    def ask(machine: str, number: int) -> None:
        replies.append(send(site.record, machine, "GET", f"/fields/{number}"))

    others = [node for n, node in enumerate(site.nodes) if n not in readers]
    number = 0
    while time.monotonic() - silent_at < AWAY_S:
        machine = others[number % len(others)].machine
        thread = threading.Thread(target=ask, args=(machine, number))
        thread.start()
        threads.append(thread)
        number += 1
        time.sleep(GAP_S)
    for node in site.nodes:
        node.door.is_silent = False
    for thread in threads:
        thread.join()
    sent_at = {reply.attempt: reply.began for reply in replies}
    old_runs = [
        run
        for endpoint in endpoints
        if endpoint.service == OLD
        for run in endpoint.runs
        if sent_at.get(run.attempt, 0.0) > confirmed_at + CONFIG_DEADLINE_S
    ]
    last_s = max((sent_at[run.attempt] - confirmed_at for run in old_runs), default=0.0)
    site.record.write(
        f"{len(replies)} requests at the {len(others)} other machines; {len(old_runs)} "
        f"sent later than {CONFIG_DEADLINE_S} s after the confirmation were run by the "
        f"old service, the last sent {last_s:.2f} s after it"
    )
    return not old_runs


if __name__ == "__main__":
    sys.exit(main(__file__, NODES, play, services=(OLD, NEW), is_one_zone=True))
