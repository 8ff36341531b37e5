"""A node forgets the departure that it confirmed while the store was away."""

import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins import SERVICE, Endpoint, Reply, Site, main, send

DRAIN_S = 2.5
STABLE_S = 4.0
AWAY_S = 6.0
"""The store's outage; the pages have up to 8 s."""
LEAVE_AT_S = 0.5
PING_LATE_S = 3.5
KILL_AT_S = 1.5
RESTART_AT_S = 2.0
JUDGED_FROM_S = AWAY_S + STABLE_S + 0.5
SERVES_UNTIL_S = 14.0
"""The endpoint serves on for some seconds after its departure was confirmed."""


def play(site: Site, has_trouble: bool) -> bool:
    """Have an endpoint leave; return whether it got no request later."""
    site.configure([{"path_prefix": "/fields/", "type": "safe", "service": SERVICE}])
    endpoints = [
        Endpoint(record=site.record, machine=node.machine, instance_id=f"i-{n + 1}")
        for n, node in enumerate(site.nodes)
    ]
    for node in site.nodes:
        node.start()
    site.wait_until_ready()
    time.sleep(5.0)
    leaving, node = endpoints[1], site.nodes[1]
    replies: list[Reply] = []
    began = time.monotonic()

    def wait_until(at_s: float) -> None:
        time.sleep(max(0.0, began + at_s - time.monotonic()))

    def trouble_store() -> None:
        site.store.is_silent = True
        site.record.write("the store is silent")
        wait_until(AWAY_S)
        site.store.is_silent = False
        site.record.write("the store answers again")

    def trouble_node() -> None:
        wait_until(KILL_AT_S)
        node.kill()
        wait_until(RESTART_AT_S)
        node.start()

    def ask(machine: str, number: int) -> None:
        replies.append(send(site.record, machine, "GET", f"/fields/{number}"))

    threads: list[threading.Thread] = []
    if has_trouble:
        threads += [
            threading.Thread(target=trouble_store),
            threading.Thread(target=trouble_node),
        ]
        for thread in threads:
            thread.start()
    wait_until(LEAVE_AT_S)
    late_ping = leaving.heartbeat()
    is_acknowledged = leaving.leave()
    left_at = site.record.now()

    def deliver_late_ping() -> None:
        wait_until(LEAVE_AT_S + PING_LATE_S)
        is_taken = leaving.tell("PUT", late_ping)
        site.record.write(f"the late ping of i-2 arrives, acknowledged={is_taken}")

    threads.append(threading.Thread(target=deliver_late_ping))
    threads[-1].start()
    number = 0
    while time.monotonic() - began < SERVES_UNTIL_S:
        for client_node in site.nodes:
            thread = threading.Thread(target=ask, args=(client_node.machine, number))
            thread.start()
            threads.append(thread)
        number += 1
        time.sleep(0.1)
    for thread in threads:
        thread.join()
    judged_from = left_at - LEAVE_AT_S + JUDGED_FROM_S
    sent_at = {reply.attempt: reply.began for reply in replies}
    broken = [
        run
        for run in leaving.runs
        if sent_at[run.attempt] > max(left_at + DRAIN_S, judged_from)
    ]
    early = [run for run in leaving.runs if run.at > left_at + DRAIN_S]
    site.record.write(
        f"departure acknowledged={is_acknowledged}; i-2 ran {len(early)} requests "
        f"later than {DRAIN_S} s after it, {len(broken)} of them sent while all "
        f"machines were in touch"
    )
    return not (is_acknowledged and broken)


if __name__ == "__main__":
    sys.exit(main(__file__, 3, play))
