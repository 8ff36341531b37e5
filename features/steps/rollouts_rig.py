"""Nodes under a roll-out without a network, on fake clocks."""

import heapq
import itertools
import json
import math
import random

from attrs import evolve, frozen

from comfreytray.calls.call import Call, Load, Reply
from comfreytray.common import revisions
from comfreytray.common.errors import Failure, Kind
from comfreytray.common.interfaces import StoredObject
from comfreytray.common.metrics import Metrics
from comfreytray.common.records import Endpoint, MembershipView, NodeRecord, NodeState
from comfreytray.rollouts.bounds import RolloutBounds
from comfreytray.rollouts.coordinator import Rollouts
from comfreytray.testing import FakeClock

STEP_S = 0.05
SERVICE, OLD, NEW = "s", "v1", "v2"
KEY = f"rollouts/{SERVICE}"
DURATION_S = 12.0
TIME_S_BY_ROUTE = {"short": 0.02, "usual": 0.06, "long": 0.2}
SHARE_BY_ROUTE = {"short": 0.5, "usual": 0.45, "long": 0.05}
FAILED = "failed"
SLOW = "slow"
OK = "ok"


@frozen(kw_only=True)
class Sent:
    """One call that an upstream got."""

    at: float
    entry: str
    version: str
    result: str


class RolloutStore:
    """Orders with their status, as the platform's store keeps them."""

    def __init__(self):
        self.revision = revisions.in_era(1, 100)
        self.spec, self.status = None, None
        self.is_down = False
        self.fault = None
        """What befalls the next write: `lost`, or `unanswered` once applied."""
        self.writes = []
        self.calls = 0
        self.stored = None

    def order(self, version, *, keeps_status=True):
        """Write an order as the operator does."""
        self.spec = {
            "service": SERVICE,
            "target_version": version,
            "duration_s": DURATION_S,
        }
        self.status = self.status if keeps_status else None
        self._store()

    def restore(self):
        """Come back from a copy without the status, with the operator's order."""
        era = revisions.era_of(self.revision) + 1
        self.revision, self.status = revisions.in_era(era, 50), None
        self._store()

    def _store(self):
        self.revision += 1
        value = json.dumps({"spec": self.spec, "status": self.status}).encode()
        self.stored = StoredObject(key=KEY, value=value, version=self.revision)

    def get(self, key):
        assert key == KEY
        self.calls += 1
        if self.is_down:
            return Failure(kind=Kind.STORE_UNAVAILABLE, detail="down")
        return self.stored

    def put_status(self, key, status, *, expected_version):
        assert key == KEY
        self.calls += 1
        if self.is_down:
            return Failure(kind=Kind.STORE_UNAVAILABLE, detail="down")
        if expected_version != self.revision:
            return Failure(kind=Kind.CONFLICT, detail=f"at {self.revision}")
        fault, self.fault = self.fault, None
        if fault != "lost":
            self.status = json.loads(status)
            self.writes.append(self.status)
            self._store()
        if fault:
            return Failure(kind=Kind.STORE_OUTCOME_UNKNOWN, detail=fault)
        return self.stored

    @property
    def state(self):
        """Return the state of the present order; empty if it has none yet."""
        if (
            not self.status
            or self.status["target_version"] != self.spec["target_version"]
        ):
            return ""
        return self.status["state"]


class NodeClock(FakeClock):
    """A clock whose wall time goes on while the monotonic one stands still."""

    suspended_s = 0.0

    def wall(self):
        return self.now + self.suspended_s


class Node:
    """One node with its own clock, links and part in roll-outs."""

    def __init__(self, fleet, number):
        self.fleet = fleet
        self.node_id = f"n{number}"
        self.clock = NodeClock(now=1000.0 + number)
        self.is_running = True
        self.reads_store = True
        self.is_linked = True
        self.handler_by_topic = {}
        self.feed_at, self.fed = 0.0, 0
        self.start(incarnation=1)

    def start(self, incarnation):
        """Start a process that knows nothing."""
        self.incarnation = incarnation
        self.fed = 0
        self.rollouts = Rollouts(
            node=lambda: self.fleet.view.by_id[self.node_id],
            members=lambda: self.fleet.view,
            peers=self,
            store=self,
            clock=self.clock,
            random=self.fleet.random,
            metrics=Metrics(),
            bounds=RolloutBounds(),
            spawn=lambda function: function(),
        )

    def register(self, topic, handler):
        self.handler_by_topic[topic] = handler

    def ask(self, record, topic, message, *, timeout_s):
        other = self.fleet.node_by_id[record.node_id]
        reached = other.is_running and other.is_linked == self.is_linked
        if not reached:
            return Failure(kind=Kind.NODE_UNREACHABLE, detail="cut off")
        self.fleet.message_bytes += len(message)
        return other.handler_by_topic[topic](message)

    def get(self, key):
        return self.fleet.store.get(key) if self.reads_store else _UNREACHED

    def put_status(self, key, status, *, expected_version):
        if not self.reads_store:
            return _UNREACHED
        return self.fleet.store.put_status(
            key, status, expected_version=expected_version
        )

    def step(self, now):
        """Take what the store holds after a delay, then do what is due."""
        self.clock.now += STEP_S
        store = self.fleet.store
        is_new = store.stored is not None and store.revision > self.fed
        if self.reads_store and not store.is_down and is_new:
            if not self.feed_at:
                self.feed_at = now + self.fleet.random.uniform(0.05, 0.5)
            elif now >= self.feed_at:
                self.feed_at, self.fed = 0.0, store.revision
                self.rollouts.apply((store.stored,))
        self.rollouts.step()

    @property
    def decider(self):
        """Return this node's decider, if it decides."""
        deciding = self.rollouts.deciding_by_service.get(SERVICE)
        return deciding and deciding.decider


_UNREACHED = Failure(kind=Kind.STORE_UNAVAILABLE, detail="cut off")


class RolloutFleet:
    """Runs calls of one service through many nodes while a version is rolled out.

    `result_of(at, route, running)` tells how the new version answers a call that begins
    some seconds after the order, with as many calls running at its instance.
    """

    def __init__(
        self, *, nodes=60, rate_per_s=150, upstreams=8, result_of=None, seed=1
    ):
        self.random = random.Random(seed)
        self.result_of = result_of or (lambda at, route, running: OK)
        self.rate_per_s = rate_per_s
        self.now = 0.0
        self.ordered_at = math.inf
        self.store = RolloutStore()
        self.upstreams = upstreams
        self.message_bytes = 0
        self.sent, self.ended = [], []
        self.unserved = 0
        self.unserved_at = []
        self.has_pauses = False
        self.running_by_id = {}
        self._running = []
        self._numbers = itertools.count()
        self.view = MembershipView()
        self.removed = set()
        self.node_by_id = {}
        self.node_by_id = {f"n{n}": Node(self, n) for n in range(nodes)}
        self.refresh()

    def refresh(self):
        """Show the members anew, without the upstreams of removed versions."""
        records = []
        for number, node in enumerate(self.node_by_id.values()):
            version = ""
            if number < self.upstreams:
                version = OLD
            elif number < 2 * self.upstreams:
                version = NEW
            endpoint = Endpoint(
                service=SERVICE,
                instance_id=node.node_id,
                slots=4,
                connections=8,
                version=version,
            )
            is_shown = version and version not in self.removed
            records.append(
                NodeRecord(
                    node_id=node.node_id,
                    incarnation=node.incarnation,
                    region="r",
                    data_centre="d",
                    host="127.0.0.1",
                    control_port=0,
                    call_port=0,
                    state=NodeState.ALIVE,
                    endpoint=endpoint if is_shown else None,
                )
            )
        self.view = MembershipView(
            by_id={r.node_id: r for r in records},
            endpoints_by_service={SERVICE: tuple(r for r in records if r.endpoint)},
        )

    def order(self, version=NEW, **options):
        """Order a roll-out."""
        self.ordered_at = self.now
        self.store.order(version, **options)

    def run(self, seconds, until=lambda: False):
        """Let calls come, and nodes act, for a time or until something holds."""
        end = self.now + seconds
        while self.now < end and not until():
            self.now += STEP_S
            for node in self.node_by_id.values():
                if node.is_running:
                    node.step(self.now)
            if self.store.state == "completed" and OLD not in self.removed:
                self.removed.add(OLD)
                self.refresh()
            for _ in range(self._arrivals()):
                self._call()
            while self._running and self._running[0][0] <= self.now:
                self._end(*heapq.heappop(self._running)[2:])

    def decider_node(self):
        """Return the node that decides, None if none does."""
        active = (
            node
            for node in self.node_by_id.values()
            if node.is_running and node.decider and node.decider.phase == "active"
        )
        return max(active, key=lambda node: node.decider.generation, default=None)

    def _arrivals(self):
        expected = self.rate_per_s * STEP_S
        whole = int(expected)
        return whole + (self.random.random() < expected - whole)

    def _call(self):
        running = [n for n in self.node_by_id.values() if n.is_running]
        entry = self.random.choice(running)
        routes = list(SHARE_BY_ROUTE)
        route = self.random.choices(routes, SHARE_BY_ROUTE.values())[0]
        gate = entry.rollouts.gate
        records = self.view.endpoints_by_service[SERVICE]
        select = gate.choose(SERVICE, route, is_repeat=False)
        usable = records if select is None else select(records)
        if not usable:
            usable = gate.choose(SERVICE, route, is_repeat=True)(records)
        if not usable:
            self.unserved += 1
            self.unserved_at.append(self.now)
            return
        record = self.random.choice(usable)
        version = record.endpoint.version
        at_instance = self.running_by_id.get(record.node_id, 0)
        self.running_by_id[record.node_id] = at_instance + 1
        result = OK
        if version == NEW:
            at = self.now - self.ordered_at
            result = self.result_of(at, route, at_instance + 1) if at >= 0 else OK
        # Instances differ in speed, and one call from the next.
        speed = 0.7 + 0.6 * (int(record.node_id[1:]) % 5) / 4
        took_s = TIME_S_BY_ROUTE[route] * speed * self.random.lognormvariate(0.0, 0.25)
        took_s *= 4.0 if result == SLOW else 1.0
        # Machines pause at either version.
        is_paused = (self.now + 0.37 * int(record.node_id[1:])) % 3.0 < 0.6
        took_s *= 2.5 if self.has_pauses and is_paused else 1.0
        sent = Sent(at=self.now, entry=entry.node_id, version=version, result=result)
        self.sent.append(sent)
        item = (self.now + took_s, next(self._numbers))
        heapq.heappush(
            self._running, (*item, entry, entry.rollouts, record, route, took_s, sent)
        )

    def _end(self, entry, rollouts, record, route, took_s, sent):
        self.running_by_id[record.node_id] -= 1
        self.ended.append((self.now, sent))
        status = 500 if sent.result == FAILED else 200
        reply = Reply(status=status, reason="", headers=(), load=Load(held_s=took_s))
        if entry.is_running and entry.rollouts is rollouts:
            rollouts.gate.ended(_call_of(route), record, reply, took_s)

    def calls_of(self, version, *, since=0.0):
        """Return the calls that a version got."""
        return [c for c in self.sent if c.version == version and c.at >= since]

    def exposure(self):
        """Return the calls of the new version and the bound on them."""
        limit = self.ordered_at + DURATION_S
        window = [c for c in self.sent if self.ordered_at <= c.at <= limit]
        new = sum(call.version == NEW for call in window)
        refused = sum(self.ordered_at <= at <= limit for at in self.unserved_at)
        return new, 0.1 * (len(window) + refused) + 50

    def late_calls(self):
        """Return the calls of the new version over 5 s after its 50th bad answer."""
        bad = [
            at for at, call in self.ended if call.version == NEW and call.result != OK
        ]
        if len(bad) < 50:
            return []
        return self.calls_of(NEW, since=bad[49] + 5.0)


def _call_of(route):
    return Call(
        service=SERVICE,
        customer="",
        share=1.0,
        method="GET",
        target="/",
        headers=(),
        body=b"",
        deadline=0.0,
        idempotent=True,
        kind=route,
    )


def restarted(node):
    """Let a node's process start anew."""
    node.is_running = True
    node.start(node.incarnation + 1)
    node.fleet.refresh()


__all__ = [
    "DURATION_S",
    "FAILED",
    "NEW",
    "OK",
    "OLD",
    "SERVICE",
    "SLOW",
    "RolloutFleet",
    "evolve",
    "restarted",
]
