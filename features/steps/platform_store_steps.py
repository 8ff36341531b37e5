import random

from attrs import evolve
from behave import given, then, when

from comfreytray.common.budgets import Backoff
from comfreytray.common.errors import Failure, Kind
from comfreytray.common.interfaces import StoredObject, WatchBatch
from comfreytray.common.records import Endpoint, NodeRecord, NodeState
from comfreytray.membership import directory
from comfreytray.membership.directory import Directory
from comfreytray.membership.ownrecord import OwnRecord
from comfreytray.node.proxynode import (
    CONFIGURATION_GAP_S,
    CONFIGURATION_WAIT_S,
    RETRY_MAX_S,
    RETRY_MIN_S,
)
from comfreytray.platform.objectstore import CALL_TIMEOUT_S, WATCH_MARGIN_S
from comfreytray.store.subscriptions import Subscription
from comfreytray.testing import FakeClock, MemoryStore

CONFIG_DEADLINE_S = 2.5
STABLE_WINDOW_S = 4.0


class OutageStore:
    """Watches on a fake clock; changes and one outage at set times."""

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
            # A call into a silent store gets no answer, also not after its return.
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
    heard = []
    subscription = Subscription(
        store=store,
        prefix="config/main",
        clock=clock,
        backoff=Backoff(random=random.Random(3), min_s=RETRY_MIN_S, max_s=RETRY_MAX_S),
        wait_s=CONFIGURATION_WAIT_S,
        gap_s=CONFIGURATION_GAP_S,
        on_objects=lambda objects: heard.extend(
            (clock.now, stored.version) for stored in objects
        ),
    )
    while clock.now < until_s:
        wait_s = subscription.step()
        clock.now += wait_s
    return heard


@given("a subscription to a store that is {kind} for {seconds:g} s")
def make_outage(context, kind, seconds):
    context.silent, context.seconds = kind == "silent", seconds


@when("the outage starts at each moment of the waiting call")
def sweep_outage(context):
    context.late = []
    for tenth in range(0, 120):
        clock = FakeClock(now=0.0)
        start = 1.0 + tenth / 10
        end = start + context.seconds
        changed_at = end + 0.01
        store = OutageStore(clock, [changed_at], (start, end), context.silent)
        heard = _follow(clock, store, end + 20)
        at = next(at for at, version in heard if version == 2)
        allowed = max(changed_at + CONFIG_DEADLINE_S, end + STABLE_WINDOW_S)
        if at > allowed:
            context.late.append((start, at - changed_at))


@then(
    "a change made at the store's return is heard within 2.5 s of it "
    "or 4 s of the outage's end"
)
def check_outage(context):
    assert not context.late, context.late[:5]


@given("a subscription to a store with a change each 0.2 s for 5 s")
def make_storm(context):
    context.clock = FakeClock(now=0.0)
    context.store = OutageStore(context.clock, [1.0 + n * 0.2 for n in range(25)])


@when("it follows them")
def follow_storm(context):
    context.heard = _follow(context.clock, context.store, 7.5)


@then("it hears the last one in time and makes at most 12 calls")
def check_storm(context):
    at, version = context.heard[-1]
    assert version == 26 and at <= 1.0 + 24 * 0.2 + CONFIG_DEADLINE_S, context.heard
    assert context.store.calls <= 12, context.store.calls


class LateStore(MemoryStore):
    """Do the first write late, if its condition still holds."""

    held = None

    def put(self, key, value, *, expected_version):
        if LateStore.held is None:
            LateStore.held = (key, value, expected_version)
            return Failure(kind=Kind.STORE_OUTCOME_UNKNOWN, detail=key)
        return super().put(key, value, expected_version=expected_version)

    def do_late_write(self):
        key, value, expected = LateStore.held
        return super().put(key, value, expected_version=expected)


def _record(node_id="a", **changes):
    record = NodeRecord(
        node_id=node_id,
        incarnation=1,
        region="r",
        data_centre="d",
        host="127.0.0.1",
        control_port=0,
        call_port=1,
        endpoint=Endpoint(service="s", instance_id="i", slots=1, connections=1),
    )
    return evolve(record, **changes)


@given("a member's record whose first write is done late")
def make_late(context):
    LateStore.held = None
    context.store = LateStore()
    backoff = Backoff(random=random.Random(1), min_s=0.1, max_s=1.0)
    context.own = OwnRecord(store=context.store, backoff=backoff)


@when("the record changes meanwhile")
def change_record(context):
    first, later = _record(), _record(state=NodeState.LEAVING)
    context.own.write(first)
    context.own.write(first)
    for _ in range(4):
        if not context.own.is_current(later):
            context.own.write(later)
    context.late = context.store.do_late_write()
    context.later = later


@then("the store holds the later one")
def check_late(context):
    assert context.own.is_current(context.later)
    assert context.late.kind is Kind.CONFLICT, context.late
    held = context.store.get(directory.key_of("a"))
    assert directory.decode(held.value) == context.later


@given("a directory that hears records out of order and from another writer")
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


@when("it has heard them all")
def hear_all(context):
    context.directory = Directory()
    for stored in context.objects:
        context.directory.apply([stored])


@then("it holds the newest of each and nothing of the other writer")
def check_directory(context):
    view = context.directory.view
    assert set(view.by_id) == {"a", "b"}, set(view.by_id)
    assert view.by_id["a"].state is NodeState.LEAVING
    listed = [record.node_id for record in view.endpoints_by_service["s"]]
    assert listed == ["b"], listed
