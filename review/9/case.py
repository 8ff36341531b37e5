"""A tenant's allotment is granted anew when the node that accounts for it is killed."""

import os
import socket
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import standins2 as rig

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
MACHINES = 6
RATE_PER_S, BURST = 10, 10
WINDOW_S, OVERAGE, SLACK = 5.0, 0.1, 20
ALLOWED = (RATE_PER_S * WINDOW_S + BURST) * (1.0 + OVERAGE) + SLACK
KILL_AFTER_S = 1.5
"""Time from the beginning of a surge to the kill of one node."""
DOWN_S, REST_OF_SURGE_S, CALM_S = 0.5, 3.5, 6.5
CLIENTS_PER_NODE = 2
GAP_S = 0.03
WORK_S = 0.02
KEY = "k-7f3a91c2"


def handle(endpoint: rig.Endpoint, request: rig.Request, sock: socket.socket) -> bytes:
    """Run a request."""
    endpoint.ran(request)
    time.sleep(WORK_S)
    return rig.answer(request, 200, b"done")


class Client:
    """Sends safe requests of one tenant to a node during surges."""

    def __init__(self, node: rig.Node, record: rig.Record) -> None:
        self.node, self.record = node, record
        self.sent_at_by_id: dict[str, float] = {}
        self.is_on = False
        self.ends = False
        self.thread = threading.Thread(target=self._run)
        self.thread.start()

    def _run(self) -> None:
        while not self.ends:
            if self.is_on:
                self._send()
            time.sleep(GAP_S)

    def _send(self) -> None:
        attempt_id = rig.new_id()
        self.sent_at_by_id[attempt_id] = time.monotonic()
        self.record.line(f"sent {attempt_id} to {self.node.ip}")
        data = rig.request_bytes(
            "GET", "/rolls/x", attempt_id, lines=(f"Authorization: Token {KEY}",)
        )
        answer = rig.ask(self.node.outbound, data)
        status = 0 if answer is None else answer.status
        self.record.line(f"answered {attempt_id}: {status}")


def worst_window(spans: list[tuple[float, float]]) -> int:
    """Return the most requests that are both sent and run within some window."""
    spans.sort()
    return max(
        (
            sum(sent >= begin and ran <= begin + WINDOW_S for sent, ran in spans[n:])
            for n, (begin, _) in enumerate(spans)
        ),
        default=0,
    )


def main() -> int:
    """Play the case; return the exit code."""
    machines = [(f"erie-{'ab'[n % 2]}", "erie", "safelist") for n in range(MACHINES)]
    with rig.deployment(
        str(Path(__file__).resolve().parent), machines=machines, handle=handle
    ) as (record, store, nodes, endpoints, _):
        for node in nodes:
            node.settings["contracts"] += ["tenants", "quota"]
            node.settings["bounds"] += [
                f"quota_window_s={WINDOW_S:g}",
                f"quota_overage={OVERAGE}",
                f"quota_slack={SLACK}",
            ]
            node.write_settings()
        route = {
            "name": "r-rolls",
            "path_prefix": "/rolls/",
            "type": "safe",
            "timeout_s": 2.5,
            "service": "safelist",
        }
        configuration = rig.configuration(7, [route], {"safelist": 410})
        spec = {"api_keys": [KEY], "rate_per_s": RATE_PER_S, "burst": BURST}
        configuration["resources"].append(
            {
                "resource_kind": "tenants",
                "metadata": {"name": "tenant-1"},
                "spec": {**spec, "priority": 1},
            }
        )
        store.write("config", "main", configuration)
        rig.start_all(nodes)
        time.sleep(4.0)
        clients = [
            Client(node, record) for node in nodes for _ in range(CLIENTS_PER_NODE)
        ]
        for node in nodes:
            record.line("the tenant's surge begins")
            for client in clients:
                client.is_on = True
            time.sleep(KILL_AFTER_S)
            if TROUBLE:
                record.line(f"{node.ip} is killed")
                node.kill()
            time.sleep(DOWN_S)
            if TROUBLE:
                node.start()
            time.sleep(REST_OF_SURGE_S)
            for client in clients:
                client.is_on = False
            record.line("the surge is over")
            time.sleep(CALM_S)
        sent_at_by_id: dict[str, float] = {}
        for client in clients:
            client.ends = True
            client.thread.join()
            sent_at_by_id |= client.sent_at_by_id
        runs = [run for endpoint in endpoints for run in endpoint.runs]
        worst = worst_window([(sent_at_by_id[id_], at) for at, id_ in runs])
        summary = (
            f"{len(sent_at_by_id)} sent, {len(runs)} run; {worst} within some"
            f" {WINDOW_S:g} s, {ALLOWED:g} allowed"
        )
        record.line(summary)
        print(summary)
        if len(runs) < ALLOWED:
            return rig.EXIT_NOT_RUN
        return rig.EXIT_BROKEN if worst > ALLOWED else rig.EXIT_HELD


if __name__ == "__main__":
    sys.exit(main())
