import math
import random

from attrs import define
from behave import given, then, when

from comfreytray.common.budgets import Backoff
from comfreytray.common.errors import Failure, Kind
from comfreytray.common.interfaces import StoredObject, WatchBatch
from comfreytray.node.storefeeds import (
    CONFIGURATION_WAIT_S,
    RETRY_MAX_S,
    RETRY_MIN_S,
)
from comfreytray.platform.objectstore import CALL_TIMEOUT_S, WATCH_MARGIN_S
from comfreytray.replication.feed import Feed
from comfreytray.replication.freshness import (
    FreshnessLimits,
    Standing,
    age_limit_s,
    max_wait_s,
)
from comfreytray.replication.replicator import ANNOUNCE_PERIOD_S, TICK_S
from comfreytray.replication.sources import WATCHERS
from comfreytray.store.subscriptions import Subscription
from comfreytray.testing import FakeClock

STEP_S = 0.05
LATENCY_S = 0.1
"""An answer of the store, and the way of a frame, in the replay."""
TRANSFER_S = 0.3
"""Time from an answer of the store to the configuration in force."""
FAULT_S = 9.0


class _ReplayNode:
    """A node of the replay: its calls to the store and what it was told."""

    def __init__(self, rank, limits):
        self.limits = limits
        self.standing = Standing(
            is_shared=True, watches=rank < WATCHERS, is_chosen=rank < WATCHERS
        )
        self.verified_at = self.told_at = 0.0
        self.call = None
        self.calls = 0
        self.next_at = self.next_check_at = self.told_next_at = 0.0

    def known_at(self):
        return max(self.verified_at, self.told_at)

    def advance(self, now, serve):
        self._finish(now)
        if now >= self.next_check_at:
            self.next_check_at = now + TICK_S
            overdue = now - self.known_at() > age_limit_s(self.limits, self.standing)
            is_waiting = self.call is not None and self.call.wait_s > 0
            if overdue and (self.call is None or is_waiting):
                self._ask(now, 0.0, serve)
        if self.standing.watches and self.call is None and now >= self.next_at:
            wait_s = max_wait_s(
                self.limits,
                self.standing,
                age_s=now - self.known_at(),
                told_age_s=now - self.told_at,
            )
            self._ask(now, wait_s, serve)

    def _ask(self, now, wait_s, serve):
        self.calls += 1
        self.call = serve(now, wait_s)

    def _finish(self, now):
        call = self.call
        if call is None or now < call.ends_at:
            return
        self.call = None
        if call.shows_at is None:
            self.next_at = now + RETRY_MAX_S
        else:
            self.verified_at = max(self.verified_at, call.shows_at)


@define
class _Call:
    wait_s: float
    ends_at: float
    shows_at: float | None


def _answer(now, wait_s, latency_s=LATENCY_S):
    return _Call(wait_s, now + wait_s + latency_s, now + wait_s)


def _serve(fault, starts_at):
    """Return how the store answers a watcher that the fault hits."""

    def serve(now, wait_s):
        is_hit = now + wait_s + LATENCY_S > starts_at and now < starts_at + FAULT_S
        if not is_hit:
            return _answer(now, wait_s)
        if fault == "falls silent to":
            return _Call(wait_s, now + wait_s + WATCH_MARGIN_S, None)
        if fault == "refuses":
            return _Call(wait_s, max(now, starts_at) + LATENCY_S, None)
        if fault == "is slow to":
            return _answer(now, wait_s, 0.5)
        return _answer(now, wait_s)

    return serve


@given("a group whose store {fault} one or both watchers, from any moment of a watch")
def make_group(context, fault):
    context.fault = fault


@when("the decisions of all its nodes are replayed with a bound of {bound:f} s")
def replay_group(context, bound):
    context.limits = FreshnessLimits(propagation_s=bound, recovery_s=4.0)
    context.worst_s, context.asked = 0.0, 0
    for hit_ranks in ((0,), (1,), (0, 1)):
        for starts in range(60):
            _replay(context, hit_ranks, 5.0 + starts * STEP_S)


def _replay(context, hit_ranks, starts_at):
    nodes = [_ReplayNode(rank, context.limits) for rank in range(5)]
    serve_by_rank = {rank: _serve(context.fault, starts_at) for rank in hit_ranks}
    for step in range(int((starts_at + FAULT_S) / STEP_S)):
        now = step * STEP_S
        for rank, node in enumerate(nodes):
            node.advance(now, serve_by_rank.get(rank, _answer))
        for node in nodes:
            # Each source tells its followers as it renews what it knows, and now
            # and then; here always after the longest time between two frames.
            if now >= node.told_next_at:
                node.told_next_at = now + ANNOUNCE_PERIOD_S / 2
                sources = nodes[: min(WATCHERS, nodes.index(node))]
                told = [source.verified_at for source in sources]
                node.told_at = max([node.told_at, *told])
        followers = nodes[WATCHERS:]
        if now > 2.0:
            ages = [now - node.known_at() for node in followers]
            context.worst_s = max(context.worst_s, *ages)
    context.asked += sum(node.calls for node in nodes[WATCHERS:])


@then("no follower's knowledge is ever too old for the bound")
def check_ages(context):
    bound_s = context.limits.propagation_s - TRANSFER_S
    assert context.worst_s <= bound_s, (context.worst_s, bound_s)


@then("without the fault the followers never ask the store")
def check_calm(context):
    context.fault, context.asked = None, 0
    _replay(context, (), 30.0)
    assert context.asked == 0, context.asked


class _LossyStore:
    """A store on a fake clock that loses the calls of a time."""

    def __init__(self, clock, starts_at, changed_at):
        self.clock = clock
        self.starts_at = starts_at
        self.ends_at = starts_at + 0.3
        self.changed_at = changed_at

    def _lose(self, timeout_s):
        self.clock.now += timeout_s
        return Failure(kind=Kind.STORE_UNAVAILABLE, detail="timed out")

    def watch(self, prefix, *, after_revision, timeout_s):
        asked_at = self.clock.now
        changes_at = max(asked_at, self.changed_at)
        answered_at = min(asked_at + timeout_s, changes_at) + LATENCY_S
        if asked_at < self.ends_at and answered_at > self.starts_at:
            return self._lose(timeout_s + WATCH_MARGIN_S)
        self.clock.now = answered_at
        return self._batch(after_revision)

    def get(self, key):
        if self.starts_at <= self.clock.now < self.ends_at:
            return self._lose(CALL_TIMEOUT_S)
        self.clock.now += LATENCY_S
        batch = self._batch(0)
        return batch.objects[0]

    def _batch(self, after_revision):
        version = 2 if self.clock.now > self.changed_at else 1
        objects = (StoredObject(key="config/main", version=version, value=b"v"),)
        fresh = tuple(o for o in objects if o.version > after_revision)
        return WatchBatch(revision=version, objects=fresh)


@given("a store that loses all calls for 0.3 s, from any moment of a watch")
def make_lossy(context):
    context.starts = [10.0 + number * STEP_S for number in range(100)]


@when("a node that reads for itself follows the configuration")
def follow_alone(context):
    context.limits = FreshnessLimits(propagation_s=2.5, recovery_s=4.0)
    standing = Standing(is_shared=False, watches=True, is_chosen=True)
    context.late = []
    for starts_at in context.starts:
        clock = FakeClock()
        clock.now = 0.0
        store = _LossyStore(clock, starts_at, starts_at + 0.4)
        seen = []
        subscription = Subscription(
            store=store,
            prefix="config/main",
            clock=clock,
            backoff=Backoff(
                random=random.Random(3), min_s=RETRY_MIN_S, max_s=RETRY_MAX_S
            ),
            wait_s=CONFIGURATION_WAIT_S,
            gap_s=lambda: 0.8,
            on_batch=lambda batch, seen=seen: seen.extend(batch.objects),
            newest_only=True,
            max_wait_s=lambda: max_wait_s(
                context.limits, standing, age_s=0.0, told_age_s=math.inf
            ),
        )
        while True:
            pause_s = subscription.step()
            if any(stored.version == 2 for stored in seen):
                break
            clock.now += pause_s
        context.late.append(clock.now - store.ends_at)


@then("it knows a change made after the silence in time")
def check_recovery(context):
    worst_s = max(context.late)
    assert worst_s <= context.limits.recovery_s, worst_s


@given("a feed that lacks what its source holds")
def make_feed(context):
    context.clock = FakeClock()
    context.feed = Feed(
        subscribe=lambda on_batch: Subscription(
            store=None,
            prefix="p/",
            clock=context.clock,
            backoff=None,
            wait_s=1.0,
            gap_s=lambda: 0.0,
            on_batch=on_batch,
        ),
        on_objects=lambda objects: None,
    )


@when("the source confirms it and then sends it")
def confirm(context):
    context.feed.confirm(7, 50.0)
    context.before = context.feed.verified_at
    assert context.feed.receive((), 7) is None


@then("the feed is as fresh as its source, and was not before")
def check_confirmed(context):
    assert context.before == -math.inf
    assert context.feed.verified_at == 50.0
    context.feed.confirm(6, 40.0)
    assert context.feed.verified_at == 50.0


class _ScriptedStore:
    def __init__(self, clock):
        self.clock = clock
        self.script = []

    def watch(self, prefix, *, after_revision, timeout_s):
        took_s, objects = self.script.pop(0)
        self.clock.now += took_s
        return WatchBatch(revision=after_revision + 1, objects=objects)


@given("a subscription with a wait of 2 s")
def make_subscription(context):
    context.clock = FakeClock()
    context.store = _ScriptedStore(context.clock)
    context.subscription = Subscription(
        store=context.store,
        prefix="p/",
        clock=context.clock,
        backoff=Backoff(random=random.Random(1), min_s=0.1, max_s=0.2),
        wait_s=2.0,
        gap_s=lambda: 0.0,
        on_batch=lambda batch: None,
    )
    context.store.script.append((0.0, ()))
    context.subscription.step()


@when("an answer has changes, is empty after the wait, or is empty before it")
def answer(context):
    changed = StoredObject(key="p/a", version=3, value=b"v")
    context.dated = []
    for took_s, objects in ((0.5, (changed,)), (2.1, ()), (0.5, ())):
        context.store.script.append((took_s, objects))
        asked_at = context.clock.now
        context.subscription.step()
        context.dated.append(round(context.subscription.verified_at - asked_at, 6))
        context.clock.now += 5.0


@then("what is known dates from the request, the end of the wait, or the request")
def check_dates(context):
    assert context.dated == [0.0, 2.0, 0.0], context.dated
