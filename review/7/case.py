"""An endpoint's answer without end, to a request that was sent ahead of its turn."""

import os
import socket
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import standins2 as rig

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
MEMORY_MB = 150
"""Memory of a machine of the site; the platform kills a process that exceeds it."""
PLATFORM_POLL_S = 0.01
RESTART_S = 0.5
SURVEY_CLIENTS = 6
QUOTE_CLIENTS = 10
SURVEY_S, LONG_SURVEY_S, QUOTE_S = 0.1, 1.0, 0.4
"""Work of the requests, within what the site's kinds take."""
TIME_LIMIT_MS, QUOTE_LIMIT_MS = 2500, 5000
CALM_S, TROUBLED_S = 3.0, 5.5
PART = b"10000\r\n" + b"z" * 65_536 + b"\r\n"
MAX_LOST = 3
"""Times that LOST allows."""


class Endpoints:
    """How the endpoints of the two services run requests."""

    def __init__(self) -> None:
        self.is_troubled = False
        self.answers = 0
        """Answers of the endpoint of surveys while it is in trouble."""
        self.endless = 0
        self.lock = threading.Lock()

    def handle(
        self, endpoint: rig.Endpoint, request: rig.Request, sock: socket.socket
    ) -> bytes:
        """Run a request."""
        endpoint.ran(request)
        if request.target.startswith("/quotes/"):
            time.sleep(QUOTE_S)
            return rig.answer(request, 200, b"quote")
        is_long = request.target == "/surveys/long"
        with self.lock:
            self.answers += self.is_troubled
            takes_ahead = request.target == "/surveys/ahead"
            is_endless = self.is_troubled and takes_ahead and not self.endless
            self.endless += is_endless
        if is_endless:
            self._answer_without_end(endpoint, request, sock)
        time.sleep(LONG_SURVEY_S if is_long else SURVEY_S)
        return rig.answer(request, 200, b"survey")

    def _answer_without_end(
        self, endpoint: rig.Endpoint, request: rig.Request, sock: socket.socket
    ) -> None:
        """Send a body until the caller closes."""
        endpoint.record.line(f"endless answer to {request.attempt_id}")
        head = (
            f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {request.attempt_id}\r\n"
            "X-Response-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\n"
            "Transfer-Encoding: chunked\r\n\r\n"
        )
        sent = 0
        try:
            sock.sendall(head.encode())
            while True:
                sock.sendall(PART)
                sent += len(PART)
        finally:
            endpoint.record.line(f"the caller closed after {sent} bytes")


class Platform:
    """Kills a process that exceeds its memory, and starts it again."""

    def __init__(self, node: rig.Node, record: rig.Record) -> None:
        self.node, self.record = node, record
        self.peak_mb = 0.0
        self.kills = 0
        self.ends = False
        threading.Thread(target=self._watch, daemon=True).start()

    def _watch(self) -> None:
        while not self.ends:
            used_mb = self._used_mb()
            self.peak_mb = max(self.peak_mb, used_mb)
            if used_mb > MEMORY_MB:
                self.kills += 1
                self.record.line(
                    f"platform kills {self.node.ip}: {used_mb:.0f} MB of {MEMORY_MB}"
                )
                self.node.kill()
                time.sleep(RESTART_S)
                if not self.ends:
                    self.node.start()
            time.sleep(PLATFORM_POLL_S)

    def _used_mb(self) -> float:
        assert self.node.process is not None
        try:
            status = Path(f"/proc/{self.node.process.pid}/status").read_text()
        except OSError:
            return 0.0
        for line in status.splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1024
        return 0.0


class Client:
    """Sends safe requests on a kept connection, one after the other or ahead."""

    def __init__(
        self, node: rig.Node, targets: tuple[str, ...], record: rig.Record
    ) -> None:
        self.node, self.targets, self.record = node, targets, record
        self.answered = 0
        self.cut: list[str] = []
        """Ids of the requests on a kept connection that ended without an answer."""

    def run(self, until: float) -> None:
        """Send again and again until a time."""
        while time.monotonic() < until:
            try:
                with socket.create_connection(self.node.outbound, timeout=1.0) as sock:
                    sock.settimeout(6.0)
                    self._use(sock, until)
            except OSError:
                time.sleep(0.1)

    def _use(self, sock: socket.socket, until: float) -> None:
        buffer = bytearray()
        is_kept = False
        while time.monotonic() < until:
            ids = [rig.new_id() for _ in self.targets]
            limit = QUOTE_LIMIT_MS if "/quotes/" in self.targets[0] else TIME_LIMIT_MS
            for target, attempt_id in zip(self.targets, ids, strict=True):
                self.record.line(f"sent {attempt_id} {target} to {self.node.ip}")
                sock.sendall(
                    rig.request_bytes("GET", target, attempt_id, deadline_ms=limit)
                )
            for attempt_id in ids:
                message = rig.read_message(sock, buffer)
                if message is None:
                    self.record.line(f"no answer to {attempt_id}, kept: {is_kept}")
                    if is_kept:
                        self.cut.append(attempt_id)
                    return
                answer = rig.Answer(*message)
                self.record.line(f"answered {attempt_id}: {answer.status}")
                self.answered += 1
                if answer.headers.get("connection") == "close":
                    return
            is_kept = True


def main() -> int:
    """Play the case; return the exit code."""
    machines = [
        ("armor-a", "armor", "devis"),
        ("armor-b", "armor", "devis"),
        ("armor-b", "armor", "chantier"),
    ]
    trouble = Endpoints()
    with rig.deployment(
        str(Path(__file__).resolve().parent), machines=machines, handle=trouble.handle
    ) as (record, store, nodes, endpoints, _):
        for node in nodes:
            node.settings["limits"]["memory_mb"] = MEMORY_MB
            node.write_settings()
        routes = [
            {
                "name": "r-surveys",
                "path_prefix": "/surveys/",
                "type": "safe",
                "timeout_s": TIME_LIMIT_MS / 1000,
                "service": "chantier",
            },
            {
                "name": "r-quotes",
                "path_prefix": "/quotes/",
                "type": "safe",
                "timeout_s": QUOTE_LIMIT_MS / 1000,
                "service": "devis",
            },
        ]
        services = {"chantier": 130, "devis": 130}
        store.write("config", "main", rig.configuration(7, routes, services))
        rig.start_all(nodes)
        time.sleep(2.0)
        platform = Platform(nodes[0], record)
        clients = [Client(nodes[0], ("/surveys/long", "/surveys/ahead"), record)]
        for _ in range(SURVEY_CLIENTS):
            clients.append(Client(nodes[0], ("/surveys/one",), record))
        quoting = [
            Client(nodes[0], ("/quotes/one",), record) for _ in range(QUOTE_CLIENTS)
        ]
        clients += quoting
        until = time.monotonic() + CALM_S + TROUBLED_S + CALM_S
        threads = [threading.Thread(target=c.run, args=(until,)) for c in clients]
        for thread in threads:
            thread.start()
        time.sleep(CALM_S)
        trouble.is_troubled = TROUBLE
        time.sleep(TROUBLED_S)
        trouble.is_troubled = False
        for thread in threads:
            thread.join()
        platform.ends = True
        sound = {id_ for e in endpoints[:2] for _, id_ in e.runs}
        lost = [id_ for client in quoting for id_ in client.cut if id_ in sound]
        for attempt_id in lost:
            record.line(f"BROKEN: {attempt_id} ran at a sound endpoint, no answer")
        answered = sum(client.answered for client in clients)
        summary = (
            f"{answered} answers; {trouble.endless} of {trouble.answers} without end;"
            f" memory {platform.peak_mb:.0f} MB at most, {MEMORY_MB} allowed;"
            f" {platform.kills} kills; {len(lost)} requests lost at sound endpoints"
        )
        record.line(summary)
        print(summary)
        if answered < 100 or (TROUBLE and not trouble.endless):
            return rig.EXIT_NOT_RUN
        is_broken = platform.kills > 0 and len(lost) > MAX_LOST
        return rig.EXIT_BROKEN if is_broken else rig.EXIT_HELD


if __name__ == "__main__":
    sys.exit(main())
