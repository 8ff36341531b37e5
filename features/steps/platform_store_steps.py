import contextlib
import random

import eventlet
from behave import given, then, when
from calls_rig import WAIT_S
from eventlet import tpool
from samples import endpoint, node_record

from comfreytray.common.budgets import Backoff
from comfreytray.common.errors import Failure, Kind
from comfreytray.common.interfaces import StoredObject, WatchBatch
from comfreytray.common.records import Endpoint, EndpointState, NodeState
from comfreytray.membership import directory
from comfreytray.membership.directory import Directory
from comfreytray.membership.ownrecord import OwnRecord
from comfreytray.node.storefeeds import (
    CONFIGURATION_BATCH_DELAY_S,
    CONFIGURATION_WAIT_S,
    MEMBERS_WAIT_S,
    RETRY_MAX_S,
    RETRY_MIN_S,
)
from comfreytray.platform.objectstore import (
    CALL_TIMEOUT_S,
    WATCH_MARGIN_S,
    PlatformStore,
)
from comfreytray.store.subscriptions import Subscription
from comfreytray.testing import FakeClock, MemoryStore

CONFIG_DEADLINE_S = 2.5
STABLE_WINDOW_S = 4.0


class OutageStore:
    """Answer watches on a fake clock, with changes and one outage at given times."""

    def __init__(self, clock, changes, outage=(0.0, 0.0), silent=True):
        self.clock = clock
        self.changes = changes
        self.outage = outage
        self.silent = silent
        self.calls = 0

    def watch(self, prefix, *, after_revision, timeout_s):
        self.calls += 1
        start, end = self.outage
        now = self.clock.now
        waited = timeout_s + WATCH_MARGIN_S
        if start <= now < end:
            # A call to a silent store is not answered, not even after the outage.
            self.clock.now += min(waited, CALL_TIMEOUT_S) if not timeout_s else waited
            if not self.silent:
                self.clock.now = now + 0.001
            return Failure(kind=Kind.STORE_UNAVAILABLE, detail="silent")
        due = [at for at in self.changes if at > now]
        seen = sum(at <= now for at in self.changes)
        if seen <= after_revision - 1:
            wake = min([*due, now + timeout_s])
            if now < start < wake:
                self.clock.now = now + waited if self.silent else start
                return Failure(kind=Kind.STORE_UNAVAILABLE, detail="cut off")
            self.clock.now = min(wake, now + timeout_s)
            seen = sum(at <= self.clock.now for at in self.changes)
        self.clock.now += 0.004
        changed = seen > after_revision - 1
        stored = StoredObject(key="config/main", value=b"", version=seen + 1)
        return WatchBatch(revision=seen + 1, objects=(stored,) if changed else ())


def _follow(clock, store, until_s):
    received = []
    subscription = Subscription(
        store=store,
        prefix="config/main",
        clock=clock,
        backoff=Backoff(random=random.Random(3), min_s=RETRY_MIN_S, max_s=RETRY_MAX_S),
        wait_s=CONFIGURATION_WAIT_S,
        gap_s=lambda: CONFIGURATION_BATCH_DELAY_S,
        on_batch=lambda batch: received.extend(
            (clock.now, stored.version) for stored in batch.objects
        ),
    )
    while clock.now < until_s:
        wait_s = subscription.step()
        clock.now += wait_s
    return received


@given("a subscription to a store that is {kind} for {seconds:g} s")
def make_outage(context, kind, seconds):
    context.silent, context.seconds = kind == "silent", seconds


@when("the outage starts at different moments of a watch")
def try_outage_starts(context):
    context.late = []
    for tenth in range(0, 120):
        clock = FakeClock(now=0.0)
        start = 1.0 + tenth / 10
        end = start + context.seconds
        changed_at = end + 0.01
        store = OutageStore(clock, [changed_at], (start, end), context.silent)
        received = _follow(clock, store, end + 20)
        at = next(at for at, version in received if version == 2)
        allowed = max(changed_at + CONFIG_DEADLINE_S, end + STABLE_WINDOW_S)
        if at > allowed:
            context.late.append((start, at - changed_at))


@then(
    "a change made at the end of the outage is received within 2.5 s of it "
    "or 4 s of the end of the outage"
)
def check_outage(context):
    assert not context.late, context.late[:5]


@given("a subscription to a store with a change every 0.2 s for 5 s")
def make_frequent_changes(context):
    context.clock = FakeClock(now=0.0)
    context.store = OutageStore(context.clock, [1.0 + n * 0.2 for n in range(25)])


@when("the subscription follows the changes")
def follow_frequent_changes(context):
    context.received = _follow(context.clock, context.store, 7.5)


@then("it receives the last change within 2.5 s and makes at most 12 calls")
def check_last_change(context):
    at, version = context.received[-1]
    assert version == 26 and at <= 1.0 + 24 * 0.2 + CONFIG_DEADLINE_S, context.received
    assert context.store.calls <= 12, context.store.calls


class DeferringStore(MemoryStore):
    """Apply the first write only on request, if its expected version still holds."""

    deferred_write = None

    def put(self, key, value, *, expected_version):
        if DeferringStore.deferred_write is None:
            DeferringStore.deferred_write = (key, value, expected_version)
            return Failure(kind=Kind.STORE_OUTCOME_UNKNOWN, detail=key)
        return super().put(key, value, expected_version=expected_version)

    def apply_deferred_write(self):
        key, value, expected = DeferringStore.deferred_write
        return super().put(key, value, expected_version=expected)


def _record(node_id="a", **values):
    return node_record(node_id, **{"endpoint": endpoint(), **values})


@given("a store that applies the first write of a member's record late")
def make_deferring_store(context):
    DeferringStore.deferred_write = None
    context.store = DeferringStore()
    backoff = Backoff(random=random.Random(1), min_s=0.1, max_s=1.0)
    context.own = OwnRecord(store=context.store, backoff=backoff)


@when("the record changes before the late write is applied")
def change_record(context):
    first, later = _record(), _record(state=NodeState.LEAVING)
    context.own.write(first)
    context.own.write(first)
    for _ in range(4):
        if not context.own.is_current(later):
            context.own.write(later)
    context.late = context.store.apply_deferred_write()
    context.later = later


@then("the store holds the later record")
def check_deferred_write(context):
    assert context.own.is_current(context.later)
    assert context.late.kind is Kind.CONFLICT, context.late
    deferred_write = context.store.get(directory.key_of("a"))
    assert directory.decode(deferred_write.value) == context.later


@given("records that are out of order, malformed or under another member's key")
def make_directory(context):
    leaving = _record(state=NodeState.LEAVING)
    rows = [
        ("members/a", directory.encode(leaving), 9),
        ("members/a", directory.encode(_record()), 7),
        ("members/b", directory.encode(_record("b")), 8),
        ("members/c", directory.encode(_record("b")), 10),
        ("members/d", b"\xff{", 11),
        ("members/e", b'{"node_id":"e","state":"odd"}', 12),
        ("members/f", directory.encode(_record("f")).replace(b"1", b'"1"'), 13),
    ]
    context.objects = [
        StoredObject(key=key, value=value, version=version)
        for key, value, version in rows
    ]


@when("a directory receives them all")
def receive_all(context):
    context.directory = Directory(clock=FakeClock())
    for stored in context.objects:
        context.directory.apply([stored])


@then("it holds the newest record of each member and none of the invalid ones")
def check_directory(context):
    view = context.directory.view
    assert set(view.by_id) == {"a", "b"}, set(view.by_id)
    assert view.by_id["a"].state is NodeState.LEAVING
    listed = [record.node_id for record in view.endpoints_by_service["s"]]
    assert listed == ["b"], listed


@given("{members:d} members, one of which changes every 0.1 s")
def make_members(context, members):
    context.clock = FakeClock()
    context.clock.now = 0.0
    context.changes = [0.1 * (n + 1) for n in range(200)]
    context.store = OutageStore(context.clock, context.changes)
    context.directory = Directory(clock=FakeClock())
    objects = [
        StoredObject(
            key=directory.key_of(f"n{n}"),
            value=directory.encode(node_record(f"n{n}")),
            version=1,
        )
        for n in range(members)
    ]
    context.directory.apply(objects)


@when("a node follows the members for 20 s")
def follow_members(context):
    clock, received = context.clock, []
    subscription = Subscription(
        store=context.store,
        prefix=directory.PREFIX,
        clock=clock,
        backoff=Backoff(random=random.Random(3), min_s=RETRY_MIN_S, max_s=RETRY_MAX_S),
        wait_s=MEMBERS_WAIT_S,
        gap_s=lambda: context.directory.batch_delay_s,
        on_batch=lambda batch: received.extend(
            (clock.now, stored.version - 1) for stored in batch.objects
        ),
    )
    while clock.now < 20.0:
        wait_s = subscription.step()
        clock.now += wait_s
    context.received = received


@then("it makes at most {calls:d} calls and knows each change within {late:f} s")
def check_calls(context, calls, late):
    assert context.store.calls <= calls, context.store.calls
    for number, at in enumerate(context.changes[:-30], 1):
        first = min(when for when, count in context.received if count >= number)
        assert first - at <= late, (number, first - at)


@given("a directory that holds this node's record")
def make_own(context):
    context.directory = Directory(clock=FakeClock())
    context.own = node_record("own", incarnation=2)
    context.directory.put(context.own)


@when("the store delivers the record that an earlier process of the node wrote")
def receive_earlier(context):
    earlier = directory.encode(node_record("own", incarnation=1))
    stored = StoredObject(key=directory.key_of("own"), value=earlier, version=9)
    context.directory.apply([stored])


@then("the directory still holds the current record")
def check_own(context):
    assert context.directory.view.by_id["own"] == context.own


class SlowLinkStore:
    """Send a whole configuration with each event over a slow link, on a fake clock."""

    OBJECT_S = 0.16
    """Transfer time of one configuration: 70 KB at 3.5 Mbit/s."""

    def __init__(self, clock, changes, outage):
        self.clock, self.changes, self.outage = clock, changes, outage
        self.deliveries = []
        """Time of each answer and the number of configurations in it."""

    def _fail_in_outage(self, timeout_s):
        start, end = self.outage
        if not start <= self.clock.now < end:
            return None
        self.clock.now += timeout_s
        return Failure(kind=Kind.STORE_UNAVAILABLE, detail="silent")

    def _change_count(self):
        return sum(at <= self.clock.now for at in self.changes)

    def _deliver(self, versions, timeout_s):
        took_s = self.OBJECT_S * len(versions)
        self.clock.now += min(took_s, timeout_s) + 0.004
        if took_s > timeout_s:
            return Failure(kind=Kind.STORE_UNAVAILABLE, detail="too slow")
        self.deliveries.append((self.clock.now, len(versions)))
        return tuple(
            StoredObject(key="config/main", value=b"", version=version)
            for version in versions
        )

    def get(self, key):
        failure = self._fail_in_outage(CALL_TIMEOUT_S)
        if failure is not None:
            return failure
        objects = self._deliver([self._change_count()], CALL_TIMEOUT_S)
        return objects if isinstance(objects, Failure) else objects[0]

    def watch(self, prefix, *, after_revision, timeout_s):
        failure = self._fail_in_outage(timeout_s + WATCH_MARGIN_S)
        if failure is not None:
            return failure
        if self._change_count() <= after_revision:
            due = [at for at in self.changes if at > self.clock.now]
            wake = min([*due, self.clock.now + timeout_s])
            if self.clock.now < self.outage[0] < wake:
                self.clock.now += timeout_s + WATCH_MARGIN_S
                return Failure(kind=Kind.STORE_UNAVAILABLE, detail="cut off")
            self.clock.now = wake
        seen = self._change_count()
        versions = list(range(after_revision + 1, seen + 1))
        if after_revision == 0:
            versions = versions[-1:]
        objects = self._deliver(versions, CALL_TIMEOUT_S)
        if isinstance(objects, Failure):
            return objects
        return WatchBatch(revision=seen, objects=objects)


@given(
    "a store whose configuration changes 10 times in an outage and 25 times in a burst"
)
def make_slow_link_store(context):
    context.clock = FakeClock(now=0.0)
    context.outage = (2.5, 11.5)
    in_outage = [4.0 + 0.7 * n for n in range(10)]
    context.burst = [20.0 + 0.2 * n for n in range(25)]
    changes = [0.0, *in_outage, *context.burst]
    context.store = SlowLinkStore(context.clock, changes, context.outage)


@when("a node on a slow link follows it")
def follow_on_slow_link(context):
    clock, context.received = context.clock, []
    subscription = Subscription(
        store=context.store,
        prefix="config/main",
        clock=clock,
        backoff=Backoff(random=random.Random(3), min_s=RETRY_MIN_S, max_s=RETRY_MAX_S),
        wait_s=CONFIGURATION_WAIT_S,
        gap_s=lambda: CONFIGURATION_BATCH_DELAY_S,
        newest_only=True,
        on_batch=lambda batch: context.received.extend(
            (clock.now, stored.version) for stored in batch.objects
        ),
    )
    while clock.now < 30.0:
        wait_s = subscription.step()
        clock.now += wait_s


@then(
    "it reads the configuration once after the outage "
    "and at most twice a second in the burst"
)
def check_deliveries(context):
    after = [n for at, n in context.store.deliveries if 11.5 <= at < 20.0 and n]
    assert after == [1], after
    in_burst = [n for at, n in context.store.deliveries if 20.0 <= at < 26.0]
    assert sum(in_burst) <= 2 * 6, in_burst


@then(
    "it has the newest version within 2.5 s of the end of the outage and of the burst"
)
def check_newest_received(context):
    for version, until in ((11, context.outage[1] + 2.5), (36, 24.8 + 2.5)):
        first = min(at for at, received in context.received if received >= version)
        assert first <= until, (version, first)


def _record_with(state, instance_id="i"):
    endpoint = Endpoint(
        service="s", instance_id=instance_id, slots=1, connections=1, state=state
    )
    return _record(endpoint=endpoint)


@given("a node whose instance has just started")
def make_cold_record(context):
    context.store = MemoryStore()
    backoff = Backoff(random=random.Random(1), min_s=0.1, max_s=1.0)
    context.own = OwnRecord(store=context.store, backoff=backoff)
    context.cold = _record_with(EndpointState.COLD)
    _write_until_current(context, context.cold)
    assert context.own.is_current(context.cold)


def _write_until_current(context, record):
    writes = 0
    while not context.own.is_current(record):
        context.own.write(record)
        writes += 1
    return writes


@when("the instance becomes warm, drains and is replaced by another")
def change_instance(context):
    context.clock = FakeClock()
    context.directory = Directory(clock=context.clock)
    context.directory.apply(context.store.list("members/"))
    context.writes = [
        _write_until_current(context, record)
        for record in (
            _record_with(EndpointState.READY),
            _record_with(EndpointState.DRAINING),
            _record_with(EndpointState.READY, "j"),
        )
    ]


@then("the node writes its record once for each but the first")
def check_writes(context):
    assert context.writes == [0, 1, 1], context.writes


@then("another node counts the instance as cold for 3 s only")
def check_cold(context):
    record = context.directory.view.by_id["a"]
    context.clock.now += 2.9
    assert context.directory.is_cold(record)
    context.clock.now += 0.2
    assert not context.directory.is_cold(record)


@given("a store whose answers never end, {speed}")
def make_endless_store(context, speed):
    context.is_endless = True

    def serve(sock, _):
        sock.recv(65536)
        if not context.is_endless:
            text = b'{"metadata":{"name":"main","revision":5},"spec":{}}'
            head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(text)
            sock.sendall(head + text)
            return
        sock.sendall(b"HTTP/1.1 200 OK\r\n\r\n[")
        with contextlib.suppress(OSError):
            while True:
                sock.sendall(b" " if speed == "slow" else b" " * 65536)
                eventlet.sleep(0.1 if speed == "slow" else 0.0)

    listener = eventlet.listen(("127.0.0.1", 0))
    greenlet = eventlet.spawn(eventlet.serve, listener, serve)
    context.add_cleanup(listener.close)
    context.add_cleanup(greenlet.kill)
    context.platform_store = PlatformStore(address=listener.getsockname())
    context.add_cleanup(context.platform_store.__exit__, None, None, None)


@when("a node reads an object and watches it")
def read_endless(context):
    store = tpool.Proxy(context.platform_store)
    with eventlet.Timeout(WAIT_S):
        context.failures = [
            store.get("config/main"),
            store.watch("config/", after_revision=1, timeout_s=0.1),
        ]
        context.is_endless = False
        context.found = store.get("config/main")


@then("both calls fail within bounds and the node reads again when the store answers")
def check_endless(context):
    kinds = [failure.kind for failure in context.failures]
    assert kinds == [Kind.STORE_UNAVAILABLE] * 2, context.failures
    assert not isinstance(context.found, Failure), context.found
    assert context.found.version == 5
