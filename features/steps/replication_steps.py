import random

import attrs
from behave import given, then, when
from hypothesis import given as given_data
from hypothesis import settings
from hypothesis import strategies as st

from comfreytray.calls.measures import Measures
from comfreytray.common.errors import Failure
from comfreytray.common.interfaces import StoredObject, WatchBatch
from comfreytray.common.records import MembershipView, NodeRecord
from comfreytray.replication import frames
from comfreytray.replication.replica import Progress, Replica
from comfreytray.replication.sources import (
    AVOID_MIN_S,
    MAX_CANDIDATES,
    MAX_HOLD_S,
    PENDING_S,
    WATCHERS,
    Sources,
    find_group,
    preferred,
)

CONFIG_KEY = "config/main"
LARGE, SMALL = 215, 43


def _record(number, data_centre="d0", region="r0", port=0):
    return NodeRecord(
        node_id=f"node-{number}",
        incarnation=1,
        region=region,
        data_centre=data_centre,
        host="127.0.0.1",
        control_port=port,
        call_port=0,
    )


# --- Choosing sources, on a fake clock.


@given("{nodes:d} nodes in {centres:d} data centres of 3 regions")
def make_members(context, nodes, centres):
    records = [
        _record(n, f"d{n % centres}", f"r{n % centres % 3}") for n in range(nodes)
    ]
    context.view = MembershipView(by_id={r.node_id: r for r in records})
    context.capacity_by_id = {
        record.node_id: LARGE if n < 3 * centres else SMALL
        for n, record in enumerate(records)
    }
    context.now = 100.0
    context.sources = Sources()


def _plan(context, own, sources=None, is_blind=False):
    return (sources or Sources()).plan(
        own=own,
        view=context.view,
        capacity_by_id=context.capacity_by_id,
        now=context.now,
        is_blind=is_blind,
        has_followers=False,
    )


@when("each node chooses its sources")
def choose_sources(context):
    context.plan_by_id = {
        node_id: _plan(context, own) for node_id, own in context.view.by_id.items()
    }


@then("{count:d} nodes read the store and each other node follows 2 of them")
def check_watchers(context, count):
    context.watching = {i for i, plan in context.plan_by_id.items() if plan.watches}
    assert len(context.watching) == count, len(context.watching)
    for node_id, plan in context.plan_by_id.items():
        if node_id in context.watching:
            continue
        followed = {record.node_id for record in plan.follows}
        assert len(followed) == 2 and followed <= context.watching


@then("the nodes that read the store are on the largest machines of their group")
def check_largest(context):
    for node_id in context.watching:
        own = context.view.by_id[node_id]
        group = find_group(own, context.view)
        largest = max((context.capacity_by_id[r.node_id] for r in group), default=0)
        assert not group or context.capacity_by_id[node_id] == largest


def _ranked(context):
    """Return the last node of a group as a source, and the group in that order."""
    first = next(iter(context.view.by_id.values()))
    order = preferred(find_group(first, context.view), context.capacity_by_id)
    return order[-1], order


def _connect(context, record, is_current=True):
    context.sources.connecting(record, context.now)
    context.sources.reported(record.node_id, is_current=is_current)


@when("a node loses its first source")
def lose_first(context):
    context.own, context.order = _ranked(context)
    for record in context.order[:2]:
        _connect(context, record)
    context.sources.lost(context.order[0].node_id, context.now)


@then("it follows the two next best at once")
def check_next_best(context):
    plan = _plan(context, context.own, context.sources)
    assert list(plan.follows) == context.order[1:3] and not plan.watches


@then("it follows the first source again when that has restarted, or after a while")
def check_first_again(context):
    first = context.order[0]
    context.now += AVOID_MIN_S + 0.1
    plan = _plan(context, context.own, context.sources)
    assert first in plan.follows
    context.now -= AVOID_MIN_S + 0.1
    restarted = attrs.evolve(first, incarnation=2)
    context.view = MembershipView(
        by_id={**context.view.by_id, first.node_id: restarted}
    )
    assert restarted in _plan(context, context.own, context.sources).follows


@when("the first source of a node reports that it has no contact to the store")
def blind_first(context):
    context.own, context.order = _ranked(context)
    _connect(context, context.order[0], is_current=False)
    context.now += PENDING_S + 0.01
    context.sources.connecting(context.order[1], context.now)
    context.sources.reported(context.order[1].node_id, is_current=True)


@then("the node follows two others and stays connected to the first")
def check_passed_over(context):
    plan = _plan(context, context.own, context.sources)
    assert set(plan.follows) == set(context.order[:3]) and not plan.watches


@when("the store refuses a node that should read it")
def refuse_watcher(context):
    _, context.order = _ranked(context)
    context.own = context.order[0]
    assert _plan(context, context.own).watches
    _connect(context, context.order[1])


@then("the node follows two others and doesn't read the store")
def check_refused(context):
    plan = _plan(context, context.own, context.sources, is_blind=True)
    assert list(plan.follows) == context.order[1:3] and not plan.watches


@when("all sources of a node report that they have no contact to the store")
def blind_all(context):
    context.own, context.order = _ranked(context)
    for record in context.order[:MAX_CANDIDATES]:
        _connect(context, record, is_current=False)
    context.now += PENDING_S + 0.01


@then("the node reads the store as a reserve")
def check_reserve(context):
    plan = _plan(context, context.own, context.sources, is_blind=True)
    assert plan.watches and plan.is_reserve, plan


@when("a node starts and its sources don't answer")
def start_alone(context):
    context.own, context.order = _ranked(context)
    context.sources = Sources()
    assert not _plan(context, context.own, context.sources).watches
    for record in context.order[:WATCHERS]:
        context.sources.connecting(record, context.now)


@then("it reads the store itself after 0.3 s")
def check_alone(context):
    context.now += MAX_HOLD_S - 0.01
    assert not _plan(context, context.own, context.sources).watches
    context.now += 0.02
    assert _plan(context, context.own, context.sources).watches


# --- Replicas.


def _stored(key, version, value=None):
    return StoredObject(
        key=key, version=version, value=value or f"{key} at {version}".encode()
    )


@when("200 histories of objects reach replicas late, twice, out of order and in part")
def replay_histories(context):
    context.regressions, context.gaps = [], []
    for seed in range(200):
        _replay_history(context, random.Random(seed))


def _replay_history(context, rng):
    history = [_stored(f"m/{rng.randrange(5)}", v) for v in range(1, 30)]
    complete = []
    for _ in range(12):
        # A batch holds the newest revision of each object that changed in its span.
        start, end = sorted((rng.randrange(30), rng.randrange(30)))
        newest = {o.key: o for o in history if start < o.version <= end}
        complete.append((start, WatchBatch(revision=end, objects=(*newest.values(),))))
    replica = Replica()
    held = {}
    for start, batch in [*complete, *rng.sample(complete, 6)]:
        if start > replica.progress.complete_to:
            continue
        for stored in replica.apply(batch):
            if stored.version <= held.get(stored.key, 0):
                context.regressions.append(stored)
            held[stored.key] = stored.version
        upto = replica.progress.complete_to
        for key in {o.key for o in history if o.version <= upto}:
            want = max(o.version for o in history if o.key == key and o.version <= upto)
            if held.get(key, 0) < want:
                context.gaps.append((key, want))


@then("no replica ever returns an older revision than it held")
def check_no_regressions(context):
    assert not context.regressions


@then("a replica that claims to be complete holds every change up to its revision")
def check_no_gaps(context):
    assert not context.gaps


@given("an object of 450 KB of which a replica holds the revision before")
def make_large_object(context):
    rng = random.Random(5)
    context.before = rng.randbytes(450_000)
    context.after = context.before[:1000] + b"changed" + context.before[1010:]
    context.source, context.follower = Replica(), Replica()
    before = WatchBatch(revision=7, objects=(_stored(CONFIG_KEY, 7, context.before),))
    after = WatchBatch(revision=9, objects=(_stored(CONFIG_KEY, 9, context.after),))
    context.source.apply(before)
    context.source.apply(after)
    context.follower.apply(before)


def _transfer(source, follower):
    """Send a follower what it lacks; return the size of the frame."""
    changes = source.changes_after(follower.progress)
    packed = frames.pack_objects(
        frames.Objects(feed=0, complete_to=source.progress.complete_to, changes=changes)
    )
    (decoded,) = frames.Decoder().feed(packed)
    objects = follower.resolve(decoded.changes)
    assert not isinstance(objects, Failure), objects
    batch = WatchBatch(revision=decoded.complete_to, objects=tuple(objects))
    return len(packed), follower.apply(batch)


@when("the replica asks for what it lacks")
def ask(context):
    context.size, context.got = _transfer(context.source, context.follower)


@then("it receives less than 2 KB and holds the new revision")
def check_difference(context):
    assert context.size < 2000, context.size
    assert [stored.value for stored in context.got] == [context.after]


@then("a replica that holds another revision receives the object whole")
def check_whole(context):
    other = Replica()
    older = _stored(CONFIG_KEY, 6, context.before[::-1])
    other.apply(WatchBatch(revision=8, objects=(older,)))
    size, got = _transfer(context.source, other)
    assert size > 400_000
    assert [stored.value for stored in got] == [context.after]


# --- Frames.


_VALID = [
    frames.pack_hello("node-1"),
    frames.pack_announce(
        frames.Announce(
            is_current=True,
            progress_by_feed=(Progress(complete_to=9, newest=7), Progress()),
            age_ms_by_feed=(250, frames.MAX_AGE_MS),
        )
    ),
    frames.pack_pull(frames.Pull(feed=1, held=Progress(complete_to=9, newest=7))),
]


@when("500 frames are malformed, cut or changed at random")
def send_malformed(context):
    changes = Replica()
    changes.apply(WatchBatch(revision=3, objects=(_stored("m/a", 3),)))
    objects = frames.pack_objects(
        frames.Objects(feed=0, complete_to=3, changes=changes.changes_after(Progress()))
    )
    told = Measures(failure_share=0.5, service_time_s_by_kind={"k": 0.25})
    table = frames.pack_measures({"node-1": told})
    context.results = []

    @settings(max_examples=500)
    @given_data(
        st.sampled_from([*_VALID, objects, table]),
        st.lists(st.tuples(st.integers(0, 200), st.integers(0, 255)), max_size=4),
        st.binary(max_size=20),
    )
    def feed(valid, edits, tail):
        mutated = bytearray(valid)
        for place, byte in edits:
            mutated[place % len(mutated)] = byte
        context.results.append(frames.Decoder().feed(bytes(mutated) + tail))

    feed()


@then("each is refused with a reason or decoded into valid values")
def check_malformed(context):
    assert len(context.results) >= 400, len(context.results)
    refused = [r for r in context.results if isinstance(r, Failure)]
    assert len(refused) > 100
    assert all(failure.detail for failure in refused)
    for decoded in context.results:
        if isinstance(decoded, Failure):
            continue
        assert all(isinstance(frame, frames.Frame) for frame in decoded)
