import random
import zlib
from functools import partial

import attrs
import eventlet
from behave import given, then, when
from calls_rig import until
from replication_steps import CONFIG_KEY, _record

from comfreytray.calls.measures import Measures, SharedMeasures
from comfreytray.common.clock import SystemClock
from comfreytray.common.errors import Failure, Kind
from comfreytray.common.logs import Event
from comfreytray.common.metrics import Metrics
from comfreytray.membership import directory
from comfreytray.membership.directory import Directory
from comfreytray.node.storefeeds import StoreFeeds
from comfreytray.replication import replicator
from comfreytray.replication.freshness import FreshnessLimits
from comfreytray.replication.measures import MeasureExchange
from comfreytray.replication.replicator import Replicator
from comfreytray.replication.sources import WATCHERS
from comfreytray.testing import FakeClock, MemoryStore

POLL_S = 0.01
LIMITS = FreshnessLimits(propagation_s=2.5, recovery_s=4.0)


class _NodeStore:
    """What one node sees of a store that all nodes share."""

    def __init__(self, shared):
        self.shared = shared
        self.calls = 0
        self.refuses = False
        self.is_silent = False
        self.lost_before = 0
        """Number of calls up to which those that still wait are lost."""

    def watch(self, prefix, *, after_revision, timeout_s):
        self.calls += 1
        number = self.calls
        waited_s = 0.0
        while True:
            if number <= self.lost_before and prefix == CONFIG_KEY:
                return Failure(kind=Kind.STORE_UNAVAILABLE, detail="timed out")
            if self.refuses:
                return Failure(kind=Kind.STORE_UNAVAILABLE, detail="refused")
            batch = self.shared.watch(
                prefix, after_revision=after_revision, timeout_s=0
            )
            expired = waited_s >= timeout_s or after_revision == 0
            is_lost = self.is_silent or number <= self.lost_before
            if not is_lost and (batch.objects or expired):
                return batch
            eventlet.sleep(POLL_S)
            waited_s += POLL_S

    def get(self, key):
        self.calls += 1
        if self.refuses:
            return Failure(kind=Kind.STORE_UNAVAILABLE, detail="refused")
        return self.shared.get(key)


class _Node:
    """A node's replication, without its call path."""

    def __init__(self, shared, number, members=()):
        self.store = _NodeStore(shared)
        self.listener = eventlet.listen(("127.0.0.1", 0))
        self.record = _record(number, port=self.listener.getsockname()[1])
        self.directory = Directory(clock=FakeClock())
        self.directory.put(self.record)
        for record in members:
            self.directory.put(record)
        self.version = self.faulty_version = 0
        clock = SystemClock()
        self.measured = None
        self.shared = SharedMeasures(clock=clock)
        feeds = StoreFeeds(store=self.store, clock=clock, random=random.Random(number))
        self.configuration = feeds.configuration(
            CONFIG_KEY, on_objects=self._apply_configuration
        )
        self.replicator = Replicator(
            node=lambda: self.record,
            view=lambda: self.directory.view,
            capacity_by_id={},
            feeds=(
                feeds.members(self.directory, plan=lambda: self.replicator.plan),
                self.configuration,
            ),
            clock=clock,
            metrics=Metrics(),
            freshness=LIMITS,
            dated=self.configuration,
            measures=MeasureExchange(
                clock=clock, own=lambda: self.measured, learn=self.shared.learn
            ),
        )
        self.greenlet = eventlet.spawn(self.replicator.serve, self.listener)
        self.replicator.__enter__()

    def _apply_configuration(self, objects):
        for stored in objects:
            version = int(stored.value)
            if version == self.faulty_version:
                raise LookupError(version)
            assert version > self.version, (version, self.version)
            self.version = version

    def kill(self):
        self.greenlet.kill()
        self.listener.close()
        self.replicator.__exit__(None, None, None)


def _change_configuration(context):
    context.version += 1
    context.shared.put(CONFIG_KEY, str(context.version).encode(), expected_version=None)


def _kill(context, node):
    context.nodes.remove(node)
    node.kill()


def _watchers(context):
    return [node for node in context.nodes if node.replicator.plan.watches]


def _is_settled(context):
    return all(node.version == context.version for node in context.nodes)


@given("a store and 12 running nodes of one data centre")
def start_nodes(context):
    context.shared = MemoryStore()
    context.version = 0
    _change_configuration(context)
    context.nodes = [_Node(context.shared, number) for number in range(12)]
    context.add_cleanup(lambda: [node.kill() for node in context.nodes])
    for node in context.nodes:
        context.shared.put(
            directory.key_of(node.record.node_id),
            directory.encode(node.record),
            expected_version=None,
        )
    assert until(lambda: len(_watchers(context)) == WATCHERS and _is_settled(context))


@when("the configuration changes {count:d} times")
def change_configuration(context, count):
    before = {node.record.node_id: node.store.calls for node in context.nodes}
    for _ in range(count):
        _change_configuration(context)
        eventlet.sleep(0.2)
    assert until(lambda: _is_settled(context))
    context.callers = [
        node for node in context.nodes if node.store.calls > before[node.record.node_id]
    ]


@then("every node has the last configuration")
@then("every other node has the last configuration")
def check_settled(context):
    assert until(lambda: _is_settled(context)), [n.version for n in context.nodes]


@then("only 2 nodes have called the store since the first change")
def check_callers(context):
    assert len(context.callers) == WATCHERS, len(context.callers)


def _freeze(node):
    """Leave the connections of a node open but silent."""
    node.greenlet.kill()
    node.replicator._tasks.close()


_FAULTS = {
    "is killed": lambda node: node.kill(),
    "hangs": _freeze,
    "gets no answer of the store": lambda node: setattr(node.store, "is_silent", True),
    "is refused by the store": lambda node: setattr(node.store, "refuses", True),
}


@when("a node that reads the store {fault} and the configuration changes")
def disturb_watcher(context, fault):
    node = _watchers(context)[0]
    if fault in ("is killed", "hangs"):
        context.nodes.remove(node)
    _FAULTS[fault](node)
    _change_configuration(context)


@when("the store falls silent to both nodes that read it and the configuration changes")
def silence_watchers(context):
    context.silenced = _watchers(context)
    assert len(context.silenced) == WATCHERS
    for node in context.silenced:
        node.store.is_silent = True
    _change_configuration(context)


@then("every node to which the store isn't silent has the last configuration")
def check_served(context):
    served = [node for node in context.nodes if node not in context.silenced]
    expected = context.version
    assert until(lambda: all(node.version == expected for node in served))


@when(
    "the calls under way at the nodes that read the store are lost and a node is added"
)
def lose_calls(context):
    context.watchers = _watchers(context)
    feeds = [feed for node in context.watchers for feed in node.replicator._feeds]
    assert until(lambda: all(feed.subscription.is_waiting for feed in feeds))
    for node in context.watchers:
        node.store.lost_before = node.store.calls
    context.added = _record(50)
    context.shared.put(
        directory.key_of(context.added.node_id),
        directory.encode(context.added),
        expected_version=None,
    )


@then("the nodes that read the store know the added node")
def check_added(context):
    added_id = context.added.node_id
    assert until(
        lambda: all(added_id in node.directory.view.by_id for node in context.watchers)
    )


@when(
    "{count:d} nodes that read the store are killed in turn"
    " and the configuration changes after each"
)
def kill_in_turn(context, count):
    for _ in range(count):
        _kill(context, _watchers(context)[0])
        _change_configuration(context)
        assert until(lambda: _is_settled(context))


@then("at most {count:d} nodes read the store")
def check_few_watchers(context, count):
    assert until(lambda: len(_watchers(context)) <= count), len(_watchers(context))


@when("a node starts that knows the members and that the store refuses")
def start_refused(context):
    members = [node.record for node in context.nodes]
    node = _Node(context.shared, 99, members)
    node.store.refuses = True
    context.nodes.append(node)


@when(
    "a process that answers with random bytes takes the place of a node"
    " that reads the store"
)
def replace_with_garbage(context):
    node = _watchers(context)[0]
    port = node.listener.getsockname()[1]
    _kill(context, node)
    rng = random.Random(11)

    def answer(sock, _):
        sock.sendall(zlib.compress(rng.randbytes(100)) + rng.randbytes(4000))

    listener = eventlet.listen(("127.0.0.1", port), reuse_port=True)
    context.add_cleanup(listener.close)
    greenlet = eventlet.spawn(eventlet.serve, listener, answer)
    context.add_cleanup(greenlet.kill)


@when("the owners measure that every third endpoint is slow and every fourth fails")
def measure(context):
    for number, node in enumerate(context.nodes):
        node.measured = Measures(
            failure_share=0.5 if number % 4 == 0 else 0.0,
            service_time_s_by_kind={"k": 0.9 if number % 3 == 0 else 0.3},
        )


def _knows_all(context, node):
    now = SystemClock().monotonic()
    for number, other in enumerate(context.nodes):
        node_id = other.record.node_id
        slowdown = node.shared.slowdown(node_id, now)
        if slowdown is None or (slowdown > 1.0) != (number % 3 == 0):
            return False
        if (node.shared.failure_share(node_id, now) > 0.0) != (number % 4 == 0):
            return False
    return True


@then("every node knows the slow and the failing endpoints")
def check_known(context):
    assert until(lambda: all(_knows_all(context, node) for node in context.nodes))


@when("applying the next change raises an error on every node, and others follow")
def raise_errors(context):
    faulty_version = context.version + 1
    for node in context.nodes:
        node.faulty_version = faulty_version
    _change_configuration(context)
    eventlet.sleep(1.0)
    for _ in range(2):
        _change_configuration(context)
        eventlet.sleep(0.2)


@when("a node that reads the store stops doing so for a moment during a watch")
def resume_during_watch(context):
    node = _watchers(context)[0]
    context.feed = node.configuration
    assert until(lambda: context.feed.subscription._is_calling)
    context.calls = node.store.calls
    context.feed.subscription.resume()
    context.node = node


@then("it counts as current without another call")
def check_still_current(context):
    assert context.feed.subscription.is_current
    assert context.node.store.calls == context.calls


@when("the records of all nodes change {count:d} times")
def change_records(context, count):
    context.logged = []
    log = replicator.logs.log
    replicator.logs.log = lambda event, **fields: context.logged.append(event)
    try:
        for revision in range(1, count + 1):
            for node in context.nodes:
                record = attrs.evolve(node.record, endpoint_revision=revision)
                context.shared.put(
                    directory.key_of(record.node_id),
                    directory.encode(record),
                    expected_version=None,
                )
            assert until(partial(_has_revision, context, revision))
            eventlet.sleep(0.3)
    finally:
        replicator.logs.log = log


def _has_revision(context, revision):
    return all(
        record.endpoint_revision == revision
        for node in context.nodes
        for node_id, record in node.directory.view.by_id.items()
        if node_id != node.record.node_id
    )


@then("no node has logged another choice of its sources")
def check_not_logged(context):
    assert Event.SOURCES_CHOSEN not in context.logged, context.logged
