import itertools
import random
from functools import partial
from types import SimpleNamespace

import eventlet
from behave import given, then, when
from calls_rig import until
from platform_instances_steps import (
    DRAINING,
    HEARTBEAT,
    READY,
    _ask,
    _heartbeat,
    _heartbeats_app,
    _record_source,
    _register,
)

from comfreytray.common.budgets import Backoff
from comfreytray.common.clock import SystemClock
from comfreytray.membership import directory
from comfreytray.membership.ownrecord import OwnRecord
from comfreytray.node.recordsync import RecordSync
from comfreytray.testing import MemoryStore

KEY = directory.key_of("n")
BORN_MS = HEARTBEAT["born"]
LEAVE_BY_NAME = {
    "draining": ("PUT", {**HEARTBEAT, "state": "draining", "sequence": 9}),
    "departure": ("DELETE", {"born": BORN_MS}),
    "departure without a start": ("DELETE", None),
}


class _Node:
    """The part of a node that tracks the instance and writes the own record."""

    def __init__(self, store, incarnation=1, is_listed=True, lists_after_s=None):
        """Create it; a list that is there from the start is one without its record."""
        self.store = store
        self.register = _register(
            clock=SystemClock(), hidden=True, on_change=lambda endpoint: self.check()
        )
        source = _record_source(self.register, incarnation)
        self.members = SimpleNamespace(is_known=is_listed, on_restored=None)
        self.sync = RecordSync(
            record=source.current,
            own_record=OwnRecord(
                store=store,
                backoff=Backoff(random=random.Random(1), min_s=0.01, max_s=0.02),
                on_earlier_self=self._learn,
            ),
            members=self.members,
            register=self.register,
            clock=SystemClock(),
        )
        self.app = _heartbeats_app(self.register, self.sync.store)
        self.greenlet = eventlet.spawn(self.sync.run)
        if lists_after_s is not None:
            eventlet.spawn_after(lists_after_s, self.know_members)

    def check(self):
        self.sync.check()

    def know_members(self):
        """Let the list of members arrive, which shows the own record as stored."""
        stored = self.store.object_by_key.get(KEY)
        if stored is not None:
            self._learn(directory.decode(stored.value))
        self.members.is_known = True

    def _learn(self, stored):
        for departure in reversed(stored.departures):
            self.register.restore(departure)

    def say(self, name):
        method, body = LEAVE_BY_NAME[name]
        return _ask(self.app, method, "/-/instances/i", body)

    def kill(self):
        self.greenlet.kill()

    def stored_departures(self):
        stored = self.store.object_by_key.get(KEY)
        return () if stored is None else directory.decode(stored.value).departures


def _start_with_instance(store):
    node = _Node(store)
    assert _ask(node.app, "PUT", "/-/instances/i", HEARTBEAT) == 200
    assert until(lambda: KEY in store.object_by_key)
    return node


def _break(store, fault):
    store.down = True
    if fault == "lost the node's record":
        del store.object_by_key[KEY]


@given("a node beside an instance, and a store that {fault}")
def make_node(context, fault):
    context.node_by_name = {}
    for name in LEAVE_BY_NAME:
        node = _start_with_instance(MemoryStore())
        context.add_cleanup(node.kill)
        _break(node.store, fault)
        context.node_by_name[name] = node


@when("the instance says in several ways that it leaves")
def leave(context):
    context.statuses = [node.say(name) for name, node in context.node_by_name.items()]


@then("it gets no calls from then on and no acknowledgement")
def check_refused(context):
    assert context.statuses == [503] * len(LEAVE_BY_NAME), context.statuses
    for node in context.node_by_name.values():
        upstream = node.register.upstream
        assert upstream is None or upstream.endpoint.state is DRAINING
        assert node.stored_departures() == ()


@then("it gets the acknowledgement once the store holds the departure")
def check_acknowledged(context):
    for name, node in context.node_by_name.items():
        node.store.down = False
        assert until(partial(_is_acknowledged, node, name)), name
        assert [d.instance_id for d in node.stored_departures()] == ["i"], name


def _is_acknowledged(node, name):
    return node.say(name) == 200


@given("the stores of nodes that were killed as they acknowledged a departure")
def make_stores(context):
    context.store_by_name = {}
    for name in LEAVE_BY_NAME:
        node = _start_with_instance(MemoryStore())
        assert node.say(name) == 200
        node.kill()
        context.store_by_name[name] = node.store
    node = _Node(MemoryStore())
    assert until(lambda: KEY in node.store.object_by_key)
    assert node.say("departure without a start") == 200
    node.kill()
    context.store_by_name["unknown instance"] = node.store


@when("the nodes start again, read their records early or late, and a heartbeat comes")
def start_again(context):
    context.late, context.restarted, context.stores = [], [], []
    cases = itertools.product(context.store_by_name.values(), (True, False))
    for incarnation, (store, is_listed) in enumerate(cases, start=2):
        lists_after_s = None if is_listed else 0.3
        node = _Node(store, incarnation, is_listed, lists_after_s)
        context.add_cleanup(node.kill)
        assert _ask(node.app, "PUT", "/-/instances/i", HEARTBEAT) == 200
        assert until(partial(_has_written, store, incarnation))
        _ask(node.app, "PUT", "/-/instances/i", {**HEARTBEAT, "sequence": 5})
        context.late.append(node.register.upstream)
        node.register.receive(_heartbeat(4_000_000_000_000, 1, READY))
        context.restarted.append(node.register.upstream)
        context.stores.append(node)
    context.expected_ids = [None] * len(context.late)


def _has_written(store, incarnation):
    return directory.decode(store.object_by_key[KEY].value).incarnation == incarnation


@when("the nodes start again while the store is silent, and a heartbeat comes")
def start_silent(context):
    context.stores, context.offered = [], []
    for store in context.store_by_name.values():
        store.down = True
        node = _Node(store, incarnation=2, is_listed=False)
        context.add_cleanup(node.kill)
        assert _ask(node.app, "PUT", "/-/instances/i", HEARTBEAT) == 200
        context.stores.append(node)
    for _ in range(20):
        eventlet.sleep(0.1)
        upstreams = [node.register.upstream for node in context.stores]
        context.offered += [upstream for upstream in upstreams if upstream is not None]


@then("the instance is not offered for as long as the store is silent")
def check_not_offered(context):
    assert not context.offered, context.offered[0]
    for node in context.stores:
        node.store.down = False
        node.know_members()
    assert until(lambda: all(_has_written(n.store, 2) for n in context.stores))
    assert not [n for n in context.stores if n.register.upstream is not None]


@then("the stored records still name the departures")
def check_still_named(context):
    for node in context.stores:
        assert [d.instance_id for d in node.stored_departures()] == ["i"]


@given("a node beside which three instances have left, each after the one before")
def make_departed(context):
    context.store = MemoryStore()
    node = _Node(context.store)
    for number in range(3):
        path = f"/-/instances/i{number}"
        born = BORN_MS + number
        assert _ask(node.app, "PUT", path, {**HEARTBEAT, "born": born}) == 200
        assert _ask(node.app, "DELETE", path, {"born": born}) == 200
    node.kill()


@when("the node is killed and starts again")
def restart(context):
    context.node = _Node(context.store, 2, is_listed=False, lists_after_s=0.3)
    context.add_cleanup(context.node.kill)
    assert until(partial(_has_written, context.store, 2))


@then("no late heartbeat of any of them brings it back")
def check_none_back(context):
    for number in range(3):
        beat = {**HEARTBEAT, "born": BORN_MS + number, "sequence": 50}
        _ask(context.node.app, "PUT", f"/-/instances/i{number}", beat)
        assert context.node.register.upstream is None, number
