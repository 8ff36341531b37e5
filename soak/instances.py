"""The instances beside the nodes: they run calls, fail as told, and send heartbeats."""

import http.client
import json
import random
import time
from typing import Any

import eventlet
from attrs import define, field

from soak.promises import Promises
from standins.scripted import RESET, Upstream, answer

HEARTBEAT_S = 0.5
SLOTS = 4
WORK_S = (0.01, 0.05)
SLOW_FACTOR = 10.0
FAULT_SHARE = 0.4
SERVES_ON_S = 5.0
"""Time for which an instance serves after its leaving was confirmed."""
FORGET_AFTER_S = 0.1


@define(kw_only=True, eq=False)
class Instance:
    """Run one instance after the other at one address."""

    node: int
    host: str
    port: int
    control: tuple[str, int]
    service: str
    promises: Promises
    random: random.Random
    faults: set[str] = field(factory=set)
    generation: int = 1
    sequence: int = 0
    started_ms: int = field(factory=lambda: int(time.time() * 1000))
    leaving: bool = False
    upstream: Upstream = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.upstream = Upstream(self._run, host=self.host, port=self.port)

    @property
    def instance_id(self) -> str:
        """Name the instance that runs now."""
        return f"i-{self.node}-{self.generation}"

    def set_fault(self, name: str, is_on: bool) -> None:
        """Begin or end a fault."""
        (self.faults.add if is_on else self.faults.discard)(name)
        forgets = "upstream-forgets" in self.faults
        self.upstream.forget_after_s = FORGET_AFTER_S if forgets else float("inf")

    def beat(self) -> None:
        """Send heartbeats until the process ends."""
        while True:
            if not self.leaving:
                self.sequence += 1
                self._tell("PUT", self._description())
            eventlet.sleep(HEARTBEAT_S)

    def replace(self) -> None:
        """Leave, serve on for a while once that is confirmed, and start anew."""
        if self.leaving:
            return
        self.leaving = True
        status = self._tell("DELETE", {"born": self.started_ms})
        if status == 200:
            self.promises.departed(self.instance_id, time.monotonic())
        eventlet.sleep(SERVES_ON_S)
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
            "slots": SLOTS,
            "state": "ready",
            "cold_remaining_s": 0,
            "sequence": self.sequence,
            "born": self.started_ms,
        }

    def _tell(self, method: str, body: dict[str, Any]) -> int:
        connection = http.client.HTTPConnection(*self.control, timeout=1.0)
        try:
            path = f"/-/instances/{self.instance_id}"
            connection.request(method, path, body=json.dumps(body))
            return connection.getresponse().status
        except (OSError, http.client.HTTPException):
            return 0
        finally:
            connection.close()

    def _run(self, head: bytes, body: bytes) -> Any:
        fields = _fields(head)
        call_id = fields.get("x-attempt-id", "")
        if fields.get("x-expect-instance") != self.instance_id:
            return answer(421, b"", f"X-Attempt-Id: {call_id}", "X-Not-Executed: 1")
        self.promises.ran(
            call_id,
            idempotent=head.startswith(b"GET "),
            instance=self.instance_id,
            at_s=time.monotonic(),
        )
        slow = SLOW_FACTOR if "upstream-slow" in self.faults else 1.0
        eventlet.sleep(self.random.uniform(*WORK_S) * slow)
        faulty = self.random.random() < FAULT_SHARE
        if faulty and "upstream-loses" in self.faults:
            return [RESET]
        status = 500 if faulty and "upstream-fails" in self.faults else 200
        return answer(
            status, call_id.encode(), f"X-Attempt-Id: {call_id}", "X-Response-Seal: s"
        )


def _fields(head: bytes) -> dict[str, str]:
    lines = head.decode("latin-1").split("\r\n")[1:]
    pairs = (line.partition(": ") for line in lines)
    return {name.lower(): value for name, _, value in pairs}
