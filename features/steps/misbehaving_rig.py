"""Real node processes on loopback, with little memory, and crowds of odd clients."""

import contextlib
import hashlib
import json
import os
import random
import re
import socket as plain_socket
import time
from pathlib import Path

import eventlet
from calls_rig import read_answer
from eventlet.green import socket

from soak.nodeprocess import NodeProcess
from standins.body_upstream import BodyUpstream
from standins.platform_store import StoreStandIn

MEMORY_MB = 64
"""Memory of the machine in the settings; the bound on the process."""
MAX_FDS = 500
"""Descriptors of the machine in the settings."""
RESERVED_FDS = 200
"""Part of them that is for files; sockets share the rest."""
OUTBOUND, INBOUND, READY, CONTROL, REPLICATION = range(21_001, 21_006)
PORT_BY_NAME = {
    "callers": OUTBOUND,
    "nodes": INBOUND,
    "readiness": READY,
    "heartbeats": CONTROL,
    "replication": REPLICATION,
    "metrics": 9464,
}
HOST = "fields.example"
SERVICE = "s"
DEADLINE_MS = 20_000
PATIENCE_S = 20.0
AFTERWARDS_S = 60.0
"""Time in which an ordinary call is tried again and again after a crowd has gone."""
START_S = 30.0
LARGE_ANSWER_BYTES = 4_000_000
CALLER_BUFFER_BYTES = 4096
HEARTBEAT_S = 0.5
WATCH_S = 0.2
"""Time between two looks at the descriptors of a process."""
LIMITS = {
    "max_header_bytes": 16_384,
    "max_body_bytes": 67_108_864,
    "header_timeout_s": 10,
    "idle_timeout_s": 15,
}
BOUNDS = ("grace_s=6", "retry_budget_ratio=0.2", "retry_slack=56", "budget_window_s=10")


class Machine:
    """One node process with its settings; nodes beside an endpoint name its port."""

    def __init__(self, *, number, host, folder, store, service, upstream_port):
        self.host = host
        plain = {
            "node_name": f"node-{number}",
            "service": service,
            "region": "r",
            "zone": "z",
            "ip": host,
            "listen": {
                "outbound": f"{host}:{OUTBOUND}",
                "inbound": f"{host}:{INBOUND}",
                "ready": f"{host}:{READY}",
                "control": f"{host}:{CONTROL}",
            },
            "port_range": [REPLICATION, REPLICATION],
            "limits": {
                "cpu_share": 1.0,
                "cores": 1,
                "memory_mb": MEMORY_MB,
                "max_fds": MAX_FDS,
            },
            "heartbeat_s": HEARTBEAT_S,
            "bounds": list(BOUNDS),
            "app_address": f"127.0.0.1:{upstream_port}",
            "platform": {"address": f"{store.address[0]}:{store.address[1]}"},
        }
        settings = folder / f"node-{number}.json"
        settings.write_text(json.dumps(plain))
        self.process = NodeProcess(
            number=number, settings=settings, log=folder / f"node-{number}.log"
        )
        self.process.start()
        self.pid = self.process.popen.pid
        self.most_sockets = 0
        self._greenlet = eventlet.spawn(self._watch)

    def close(self):
        """End the process."""
        self._greenlet.kill()
        self.process.wait(0.0)

    def _watch(self):
        while self.is_alive:
            with contextlib.suppress(OSError):
                self.most_sockets = max(self.most_sockets, self.socket_count())
            eventlet.sleep(WATCH_S)

    @property
    def is_alive(self):
        """Whether the process that was started still runs."""
        return self.process.popen.poll() is None

    def memory_mb(self):
        """Return the resident memory now and at its peak, in megabytes."""
        status = Path(f"/proc/{self.pid}/status").read_text()
        return tuple(
            int(re.search(rf"^{name}:\s+(\d+) kB", status, re.MULTILINE)[1])
            * 1024
            / 1e6
            for name in ("VmRSS", "VmHWM")
        )

    def socket_count(self):
        """Return how many sockets the process has open."""
        count = 0
        for entry in Path(f"/proc/{self.pid}/fd").iterdir():
            with contextlib.suppress(OSError):
                count += os.readlink(entry).startswith("socket:")
        return count

    def unread_mb(self):
        """Return what the kernel holds for the process that it has not read yet."""
        inodes = set()
        for entry in Path(f"/proc/{self.pid}/fd").iterdir():
            with contextlib.suppress(OSError):
                inodes.add(os.readlink(entry).removeprefix("socket:[").rstrip("]"))
        rows = Path(f"/proc/{self.pid}/net/tcp").read_text().splitlines()[1:]
        fields = [row.split() for row in rows]
        # Field 4 is `tx_queue:rx_queue`, field 9 the inode, field 3 the state.
        return (
            sum(
                int(row[4].partition(":")[2], 16)
                for row in fields
                if row[9] in inodes and row[3] != "0A"
            )
            / 1e6
        )

    def log_tail(self):
        """Return the end of what the process has printed."""
        return self.process.log.read_text(errors="replace")[-600:]


class Mesh:
    """A store, an endpoint and the machines; the first is beside the endpoint."""

    def __init__(self, *, machines, folder):
        draw = random.SystemRandom()
        network = f"127.{draw.randrange(1, 250)}.{draw.randrange(1, 250)}"
        self.store = StoreStandIn()
        self.upstream = BodyUpstream(self._answer)
        self.store.put("config", "main", {"version": 1, "resources": _resources()})
        self.machines = [
            Machine(
                number=number,
                host=f"{network}.{number + 1}",
                folder=folder,
                store=self.store,
                service=SERVICE if number == 0 else "elsewhere",
                upstream_port=self.upstream.port,
            )
            for number in range(machines)
        ]
        self._sequence = 0
        self._started_ms = int(time.time() * 1000)
        self._greenlet = eventlet.spawn(self._send_heartbeats)

    def close(self):
        """End the processes."""
        self._greenlet.kill()
        for machine in self.machines:
            machine.close()
        self.upstream.close()
        self.store.close()

    def _answer(self, head):
        body = next(b for b in reversed(self.upstream.bodies) if b.head is head)
        self.upstream.bodies.remove(body)
        target = head.split(b" ")[1]
        data = f"{target.decode()} {body.size} {body.digest.hexdigest()}".encode()
        if target.endswith(b"large"):
            data = bytes(LARGE_ANSWER_BYTES)
        call_id = head.partition(b"X-Attempt-Id: ")[2].partition(b"\r\n")[0]
        return (
            b"HTTP/1.1 200 Fine\r\nX-Attempt-Id: %b\r\nX-Response-Seal: s\r\n"
            b"Content-Length: %d\r\n\r\n%b" % (call_id, len(data), data)
        )

    def _send_heartbeats(self):
        while True:
            self._sequence += 1
            eventlet.spawn_n(self._send_heartbeat, self._sequence)
            eventlet.sleep(HEARTBEAT_S)

    def _send_heartbeat(self, sequence):
        body = json.dumps(
            {
                "service": SERVICE,
                "address": f"127.0.0.1:{self.upstream.port}",
                "zone": "z",
                "version": "v1",
                "slots": 64,
                "state": "ready",
                "cold_remaining_s": 0,
                "sequence": sequence,
                "born": self._started_ms,
            }
        ).encode()
        head = (
            f"PUT /-/instances/i-1 HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        with contextlib.suppress(OSError, eventlet.Timeout), eventlet.Timeout(5.0):
            sock = socket.create_connection((self.machines[0].host, CONTROL))
            with contextlib.closing(sock):
                sock.sendall(head.encode() + body)
                read_answer(sock)


def _resources():
    route = {
        "hostname": HOST,
        "path_prefix": "/a/",
        "type": "safe",
        "timeout_s": 30.0,
        "target_latency_s": 10.0,
        "priority": 1,
        "service": SERVICE,
        "max_attempts": 2,
    }
    service = {"health_path": "/health", "max_connections": 64}
    return [
        {"resource_kind": "routes", "metadata": {"name": "r"}, "spec": route},
        {"resource_kind": "services", "metadata": {"name": SERVICE}, "spec": service},
        {"resource_kind": "limits", "metadata": {"name": "l"}, "spec": LIMITS},
    ]


def head_of(target, *, method="GET", fields=(), attempt="q"):
    """Encode the head of a request inside the limits."""
    lines = [
        f"{method} {target} HTTP/1.1",
        f"Host: {HOST}",
        f"X-Attempt-Id: {attempt}",
        f"X-Deadline-Ms: {DEADLINE_MS}",
        *fields,
    ]
    return "".join(f"{line}\r\n" for line in [*lines, ""]).encode()


def padded_head_of(target, size):
    """Encode a head of `size` bytes."""
    bare = head_of(target, fields=["X-Pad: "])
    return head_of(target, fields=["X-Pad: " + "p" * (size - len(bare))])


def post(target, body):
    """Encode a request with a body of known length."""
    length = f"Content-Length: {len(body)}"
    return head_of(target, method="POST", fields=[length]) + body


def call(host, data, *, port=OUTBOUND, patience_s=PATIENCE_S):
    """Send one request on a new connection; return its status, or why there is none."""
    try:
        with eventlet.Timeout(patience_s):
            sock = socket.create_connection((host, port))
            with contextlib.closing(sock):
                sock.sendall(data)
                got = read_answer(sock)
                return got.status, got.body if got.whole else b"cut"
    except (OSError, eventlet.Timeout) as error:
        return type(error).__name__, b""


def digest_answer(target, body):
    """Return what the endpoint answers to a body."""
    digest = hashlib.blake2b(body).hexdigest()
    return f"{target} {len(body)} {digest}".encode()


class Crowd:
    """Clients that each run a script with a connection and then keep it open.

    A connection that the node closes is left as it is, and not opened again.
    """

    def __init__(self, host):
        self.host = host
        self.socks = []
        self.greenlets = []
        self.settled = 0

    def add(self, count, script, *, port=OUTBOUND):
        """Start `count` clients; a script is done once it sends no more."""
        for number in range(count):
            self.greenlets.append(eventlet.spawn(self._run, script, port, number))

    def settle(self, wait_s):
        """Wait until all scripts are done, but no longer than `wait_s`."""
        with eventlet.Timeout(wait_s, False):
            while self.settled < len(self.greenlets):
                eventlet.sleep(0.05)

    def leave(self):
        """Hang up."""
        for greenlet in self.greenlets:
            greenlet.kill()
        for sock in self.socks:
            sock.close()

    def _run(self, script, port, number):
        sock = socket.socket()
        self.socks.append(sock)
        sock.setsockopt(
            plain_socket.SOL_SOCKET, plain_socket.SO_RCVBUF, CALLER_BUFFER_BYTES
        )
        try:
            sock.connect((self.host, port))
            script(sock, number)
        except OSError:
            pass
        finally:
            self.settled += 1


def send_until_stuck(sock, data, *, stuck_s=1.0):
    """Send as much as the node takes; stop once it takes nothing for a while."""
    view = memoryview(data)
    while view:
        with eventlet.Timeout(stuck_s, False):
            view = view[sock.send(view[:65_536]) :]
            eventlet.sleep(0)
            continue
        return
