"""Nodes and upstreams in one process on loopback, for the tests of the call path."""

import math
import os
import random
import socket as plain_socket
import time

import eventlet
from absl import logging
from attrs import evolve
from eventlet.green import socket

from comfreytray.calls.call import Call
from comfreytray.calls.dialect import NATIVE
from comfreytray.calls.proxy import CallPath
from comfreytray.common.clock import SystemClock
from comfreytray.common.metrics import Metrics
from comfreytray.common.records import (
    Endpoint,
    EndpointState,
    LocalUpstream,
    MembershipView,
    NodeRecord,
)
from comfreytray.configuration.callerlimits import DEFAULT_CALLER_LIMITS
from comfreytray.configuration.content import Head
from comfreytray.configuration.snapshots import Route, Snapshot
from comfreytray.testing import MemoryStore
from standins.scripted import CRASH, RESET, Upstream, answer

logging.set_verbosity(logging.ERROR)

WAIT_S = 20.0
__all__ = [
    "CRASH",
    "RESET",
    "Answer",
    "Fleet",
    "Upstream",
    "answer",
    "field_of",
    "read_answer",
    "soak_seeds",
    "until",
]

ALL_METHODS = frozenset({"GET", "HEAD", "POST", "PUT", "DELETE"})


class Fleet:
    """Runs nodes of one service, each beside an upstream of its own.

    Nodes in `hidden` are left out of the member list.
    """

    def __init__(
        self,
        *,
        slots=4,
        connections=8,
        store=None,
        clock=None,
        dialect=NATIVE,
        caller="",
        link_bytes_per_s=math.inf,
    ):
        self.link_bytes_per_s = link_bytes_per_s
        self.slots, self.connections = slots, connections
        self.dialect, self.caller = dialect, caller
        self.clock = clock or SystemClock()
        self.store = store or MemoryStore()
        self.record_by_id = {}
        self.local_by_id = {}
        """The instance beside each node, as the node knows it."""
        self.hidden = set()
        self.path_by_id, self.upstream_by_id, self.http_by_id = {}, {}, {}
        self.greenlets = []
        self.accounts = None
        self.limits = DEFAULT_CALLER_LIMITS
        self.routes = (
            Route(
                customer="canhdieu",
                name="plain",
                path="/",
                methods=ALL_METHODS,
                service="lichbay",
                timeout_s=3 * WAIT_S,
            ),
        )

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for greenlet in self.greenlets:
            greenlet.kill()
        for path in self.path_by_id.values():
            path.__exit__(None, None, None)
        for upstream in self.upstream_by_id.values():
            upstream.close()

    def add(
        self,
        node_id,
        *,
        script=None,
        service="lichbay",
        place="mien-bac-1",
        upstream_port=None,
    ):
        """Add a node; without the port of a running upstream it gets one of its own."""
        upstream = Upstream(script)
        streams = eventlet.listen(("127.0.0.1", 0))
        http = eventlet.listen(("127.0.0.1", 0))
        endpoint = Endpoint(
            service=service,
            instance_id=node_id,
            slots=self.slots,
            connections=self.connections,
        )
        self.record_by_id[node_id] = NodeRecord(
            node_id=node_id,
            incarnation=1,
            region=place.rpartition("-")[0],
            data_centre=place,
            host="127.0.0.1",
            control_port=0,
            call_port=streams.getsockname()[1],
            endpoint=endpoint,
        )
        port = upstream_port or upstream.port
        self.local_by_id[node_id] = LocalUpstream(
            host="127.0.0.1", port=port, endpoint=endpoint
        )
        path = CallPath(
            node=lambda: self.record_by_id[node_id],
            members=self.members,
            snapshot=self.snapshot,
            local_upstream=lambda: self.local_by_id[node_id],
            clock=self.clock,
            random=random.Random(7),
            store=self.store,
            metrics=Metrics(),
            tracer=None,
            dialect=self.dialect,
            caller=lambda: self.caller,
            link_bytes_per_s=self.link_bytes_per_s,
            on_leaving=lambda _: self.set_state(node_id, EndpointState.DRAINING),
        )
        path.__enter__()
        self.greenlets.append(eventlet.spawn(path.serve_streams, streams))
        self.greenlets.append(eventlet.spawn(path.serve_http, http))
        self.path_by_id[node_id] = path
        self.upstream_by_id[node_id] = upstream
        self.http_by_id[node_id] = http.getsockname()
        return path

    def set_state(self, node_id, state):
        """Set what a node knows of the state of its instance."""
        local = self.local_by_id[node_id]
        endpoint = evolve(local.endpoint, state=state)
        self.local_by_id[node_id] = evolve(local, endpoint=endpoint)

    def members(self):
        records = [r for i, r in self.record_by_id.items() if i not in self.hidden]
        services = {r.endpoint.service for r in records}
        return MembershipView(
            by_id={r.node_id: r for r in records},
            endpoints_by_service={
                s: tuple(r for r in records if r.endpoint.service == s)
                for s in services
            },
        )

    def snapshot(self):
        return Snapshot(
            head=Head(version=1, digest=b"1" * 16),
            routes_by_customer={"canhdieu": self.routes},
            customer_by_host={"canhdieu.test": "canhdieu"},
            accounts=self.accounts,
            limits=self.limits,
        )

    def raw(self, node_id, data):
        """Open a caller's connection and send bytes on it."""
        sock = socket.create_connection(self.http_by_id[node_id])
        sock.setsockopt(plain_socket.IPPROTO_TCP, plain_socket.TCP_NODELAY, 1)
        sock.settimeout(WAIT_S)
        sock.sendall(data)
        return sock

    def call(self, node_id, method="GET", target="/x", body=b"", headers=()):
        """Make one call and return its answer, complete or not."""
        lines = [f"{method} {target} HTTP/1.1", "Host: canhdieu.test"]
        lines += list(headers)
        if body:
            lines.append(f"Content-Length: {len(body)}")
        lines += ["Connection: close", "", ""]
        sock = self.raw(node_id, "\r\n".join(lines).encode() + body)
        try:
            return read_answer(sock)
        finally:
            sock.close()


class Answer:
    """An answer as a caller received it; `whole` tells whether it was complete."""

    def __init__(self, status, headers, body, whole):
        self.status, self.headers = status, headers
        self.body, self.whole = body, whole

    @property
    def kind(self):
        return self.headers.get("comfreytray-error", "")

    @property
    def ran(self):
        return self.headers.get("comfreytray-ran", "")


def read_answer(sock):
    """Read one answer to its end and note whether it was complete."""
    received = b""
    while b"\r\n\r\n" not in received:
        part = sock.recv(65536)
        if not part:
            return Answer(0, {}, received, False)
        received += part
    head, _, received = received.partition(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    status = int(lines[0].split(" ")[1])
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(": ")
        headers[name.lower()] = value
    if headers.get("transfer-encoding") == "chunked":
        body, whole = _read_chunks(sock, received)
        return Answer(status, headers, body, whole)
    length = int(headers.get("content-length", 0))
    body = bytearray(received)
    while len(body) < length:
        part = sock.recv(65536)
        if not part:
            return Answer(status, headers, bytes(body), False)
        body += part
    return Answer(status, headers, bytes(body[:length]), True)


def _read_chunks(sock, received):
    body = b""
    while True:
        while b"\r\n" not in received:
            part = sock.recv(65536)
            if not part:
                return body, False
            received += part
        line, _, received = received.partition(b"\r\n")
        size = int(line, 16)
        while len(received) < size + 2:
            part = sock.recv(65536)
            if not part:
                return body, False
            received += part
        if size == 0:
            return body, True
        body, received = body + received[:size], received[size + 2 :]


def field_of(head, name):
    """Return the value of a field of a request's head; None if it lacks it."""
    for line in head.decode().split("\r\n")[1:]:
        found, _, value = line.partition(": ")
        if found.lower() == name.lower():
            return value
    return None


def make_call(*, target, host="", deadline_s=10.0):
    """Return a call that could have come from a caller."""
    return Call(
        service="lichbay",
        customer="canhdieu",
        share=1.0,
        method="GET",
        target=target,
        headers=(("Host", host),) if host else (),
        body=b"",
        deadline=time.monotonic() + deadline_s,
        idempotent=True,
    )


def until(condition, wait_s=WAIT_S):
    """Wait for a condition; whether it became true in time."""
    for _ in range(int(wait_s / 0.005)):
        if condition():
            return True
        eventlet.sleep(0.005)
    return False


def soak_seeds(count):
    """Yield `count` fixed seeds, or further ones for the duration of a soak."""
    seconds = float(os.environ.get("COMFREYTRAY_SOAK_SECONDS", "0"))
    first = int(os.environ.get("COMFREYTRAY_SOAK_SEED", "1"))
    if not seconds:
        yield from range(first, first + count)
        return
    end = time.monotonic() + seconds
    seed = first * 1_000_000
    while time.monotonic() < end:
        yield seed
        seed += 1


def add_fleet(context, node_ids, script=None, **options):
    """Start nodes of one service, which end with the scenario."""
    context.fleet = Fleet(**options)
    context.add_cleanup(context.fleet.__exit__)
    for node_id in node_ids:
        context.fleet.add(node_id, script=script)
    return context.fleet


def count_runs(fleet, target):
    """Count how often a target ran at any upstream."""
    return sum(u.ran.count(target) for u in fleet.upstream_by_id.values())


def are_slots_free(fleet):
    """Whether no call holds a slot or waits for one."""
    return all(
        path.owner.admission.held == 0 and path.owner.admission.queued == 0
        for path in fleet.path_by_id.values()
    )
