"""Upstream instances, one for each node, that run calls, fail and send heartbeats."""

import http.client
import json
import random
import re
import time
from typing import Any

import eventlet
from attrs import define, field

from soak.endings import EndingChecker
from soak.keypromises import KeyChecker
from soak.promises import PromiseChecker
from standins.scripted import CRASH, RESET, Upstream, answer

HEARTBEAT_S = 0.5
SLOTS = 4
WORK_RANGE_S = (0.01, 0.05)
SLOW_FACTOR = 10.0
"""Factor on the work time while `upstream-slow` is on."""
FAULT_SHARE = 0.4
"""Share of calls that `upstream-fails` and `upstream-loses-answers` affect."""
SERVE_AFTER_LEAVING_S = 5.0
"""Time for which an instance still serves after it has asked its node to leave."""
LIMIT_PER_S = 5.0
"""Calls a second that an instance names while `upstream-limited` is on."""
LATE_RANGE_S = (0.2, 4.0)
"""Delay of late heartbeats."""
DEADLY_PATH = b"/safe/deadly-"
"""Start of the paths of requests that end each instance that runs them."""
DEADLY_RUN_S = 0.02
DOWN_RANGE_S = (0.3, 2.0)
"""Time for which an instance is down after a crash."""
WELL_AFTER_S = 4.0
"""Time after the last fault of a node from which it counts as well."""
_WORK = re.compile(rb"/[a-z]+/work-([0-9]+)-([0-9]+)$")
"""Paths that say how many milliseconds a call works and how long its answer is."""
MAX_IDLE_S = 0.1
"""Idle time after which `upstream-resets-idle` resets a connection."""


@define(kw_only=True, eq=False)
class Instance:
    """An upstream at one address, whose instances replace each other."""

    node: int
    host: str
    port: int
    control: tuple[str, int]
    service: str
    promises: PromiseChecker
    endings: EndingChecker
    slots: int = SLOTS
    keys: KeyChecker | None = None
    """None if the configuration has no accounts."""
    random: random.Random
    faults: set[str] = field(factory=set)
    generation: int = 1
    sequence: int = 0
    started_ms: int = field(factory=lambda: int(time.time() * 1000))
    leaving: bool = False
    node_disturbed_at: float = 0.0
    """When a fault of the node beside it last began or ended."""
    upstream: Upstream = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.upstream = Upstream(self._run, host=self.host, port=self.port)
        self.upstream.on_back = self._restart

    @property
    def instance_id(self) -> str:
        """Id of the instance that runs now."""
        return f"i-{self.node}-{self.generation}"

    def set_fault(self, name: str, is_on: bool) -> None:
        """Start or end a fault."""
        (self.faults.add if is_on else self.faults.discard)(name)
        resets_idle = "upstream-resets-idle" in self.faults
        self.upstream.forget_after_s = MAX_IDLE_S if resets_idle else float("inf")

    def send_heartbeats(self) -> None:
        """Send heartbeats until the process ends."""
        while True:
            if not self.leaving and self.upstream.is_listening():
                self.sequence += 1
                late = "upstream-late-heartbeats" in self.faults
                self._send(self.random.uniform(*LATE_RANGE_S) if late else 0.0)
            eventlet.sleep(HEARTBEAT_S)

    def crash(self) -> None:
        """End, and start again after a while."""
        self.upstream.down_s = self.random.uniform(*DOWN_RANGE_S)
        with self.endings.disturbing(self.node):
            self.upstream.crash()

    def _restart(self) -> None:
        self.generation += 1
        self.sequence = 0
        self.started_ms = int(time.time() * 1000)

    def replace(self) -> None:
        """Leave, keep serving for SERVE_AFTER_LEAVING_S, then start a new instance.

        Some instances first say that they drain, and a heartbeat from before is late.
        """
        if self.leaving:
            return
        self._send(self.random.uniform(*LATE_RANGE_S))
        self.leaving = True
        self.sequence += 2
        draining = json.dumps({**self._description(), "state": "draining"})
        drains = self.random.random() < 0.5
        path = f"/-/instances/{self.instance_id}"
        method, body = ("PUT", draining) if drains else ("DELETE", "")
        if self._call_node(method, path, body) == 200:
            self.promises.record_departure(self.instance_id, time.monotonic())
        eventlet.sleep(SERVE_AFTER_LEAVING_S)
        self._call_node("DELETE", path, "")
        self.generation += 1
        self.sequence = 0
        self.started_ms = int(time.time() * 1000)
        self.leaving = False

    def _description(self) -> dict[str, Any]:
        return {
            "service": self.service,
            "address": f"{self.host}:{self.port}",
            "zone": "z",
            "version": "v1",
            "slots": self.slots,
            "state": "ready",
            "cold_remaining_s": 0,
            "sequence": self.sequence,
            "born": self.started_ms,
        }

    def _send(self, delay_s: float) -> None:
        """Send the heartbeat that describes the instance now, after a delay."""
        path = f"/-/instances/{self.instance_id}"
        body = json.dumps(self._description())
        if delay_s:
            eventlet.spawn_after(delay_s, self._call_node, "PUT", path, body)
        else:
            self._call_node("PUT", path, body)

    def _call_node(self, method: str, path: str, body: str) -> int:
        connection = http.client.HTTPConnection(*self.control, timeout=1.0)
        try:
            connection.request(method, path, body=body)
            return connection.getresponse().status
        except (OSError, http.client.HTTPException):
            return 0
        finally:
            connection.close()

    def _run(self, head: bytes, body: bytes) -> Any:
        headers = _parse_headers(head)
        call_id = headers.get("x-attempt-id", "")
        if headers.get("x-expect-instance") != self.instance_id:
            return answer(421, b"", f"X-Attempt-Id: {call_id}", "X-Not-Executed: 1")
        self.promises.record_run(
            call_id,
            idempotent=head.startswith(b"GET "),
            instance=self.instance_id,
            at_s=time.monotonic(),
        )
        if self.keys is not None:
            customer = headers.get("x-tenant", "")
            self.keys.record_run(call_id, head=head, customer=customer, node=self.node)
        with self.endings.running(call_id, self.node) as run:
            answered = self._work(head, call_id)
            run.broke_off = not isinstance(answered, bytes)
            return answered

    def _work(self, head: bytes, call_id: str) -> Any:
        path = head.split(b" ")[1]
        if path.startswith(DEADLY_PATH):
            now = time.monotonic()
            is_well = now - self.node_disturbed_at > WELL_AFTER_S
            name = path.decode()
            self.promises.record_deadly_run(name, now, node_is_well=is_well)
            with self.endings.disturbing(self.node):
                eventlet.sleep(DEADLY_RUN_S)
            self.upstream.down_s = self.random.uniform(*DOWN_RANGE_S)
            return [CRASH]
        fields = [f"X-Attempt-Id: {call_id}", "X-Response-Seal: s"]
        if self.leaving:
            fields.append("Server-Leaving: 1")
        if work := _WORK.match(path):
            eventlet.sleep(int(work[1]) / 1000)
            body = call_id.encode().ljust(int(work[2]), b".")
            return answer(200, body, *fields)
        slow = SLOW_FACTOR if "upstream-slow" in self.faults else 1.0
        eventlet.sleep(self.random.uniform(*WORK_RANGE_S) * slow)
        faulty = self.random.random() < FAULT_SHARE
        if faulty and "upstream-loses-answers" in self.faults:
            return [RESET]
        status = 500 if faulty and "upstream-fails" in self.faults else 200
        if "upstream-limited" in self.faults:
            fields.append(f"Server-Limit: {LIMIT_PER_S}")
            self.promises.record_limit(self.instance_id, LIMIT_PER_S, time.monotonic())
        else:
            self.promises.record_limit(self.instance_id, None, time.monotonic())
        return answer(status, call_id.encode(), *fields)


def _parse_headers(head: bytes) -> dict[str, str]:
    lines = head.decode("latin-1").split("\r\n")[1:]
    pairs = (line.partition(": ") for line in lines)
    return {name.lower(): value for name, _, value in pairs}
