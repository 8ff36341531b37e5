import json
import os
import random
import time

import attrs
import traces
from behave import given, then, when
from fleet import FAULTS, REGIONS, Chaos, Fleet
from hypothesis import example, settings
from hypothesis import given as for_any
from hypothesis import strategies as st

from comfreytray.configuration.content import Content, Head, digest_of, encode_record
from comfreytray.distribution import relays
from comfreytray.distribution.deltas import Delta, encode_blob
from comfreytray.distribution.distribution import SEND_BURST_BYTES
from comfreytray.distribution.exchange import Blobs, Digest, Pull, Push, Unserved
from comfreytray.distribution.status import Lag, Report, StatusQuestion
from comfreytray.transport import wire

CONVERGENCE_LIMIT_S = 60
CONTROL_BYTES_PER_S = 23_000


def run_with_faults(count, seed, faults):
    fleet = Fleet(count=count, seed=seed)
    fleet.accept()
    chaos = Chaos(fleet, seed)
    for fault in faults:
        chaos.step(fault)
    chaos.end()
    fleet.run_until_converged(CONVERGENCE_LIMIT_S)
    fleet.run(5)
    return fleet


@given("simulated fleets under random sequences of faults")
def fleets_under_faults(context):
    context.fleets = 0

    @settings(max_examples=40)
    @for_any(st.integers(0, 999), st.lists(st.sampled_from(FAULTS), max_size=25))
    def check(seed, faults):
        run_with_faults(8, seed, faults)
        context.fleets += 1

    check()


@given("a simulated fleet under a long random run of faults")
def long_run(context):
    context.fleets = 0
    end = time.monotonic() + float(os.environ.get("COMFREYTRAY_SOAK_SECONDS", "0"))
    seed = int(os.environ.get("COMFREYTRAY_SOAK_SEED", "1"))
    while True:
        rng = random.Random(seed)
        run_with_faults(rng.choice([12, 24, 40]), seed, rng.choices(FAULTS, k=60))
        context.fleets += 1
        seed += 1
        if time.monotonic() >= end:
            break
    print(f"distribution soak: {context.fleets} runs, last seed {seed - 1}")


@then("the versions of each node only rise, and all nodes end at the newest")
def rising_and_equal(context):
    # The fleets assert rising, complete versions and the end state while they run.
    assert context.fleets > 0


def start_converged_fleet(context, count, **choices):
    context.fleet = Fleet(**{"count": count, "seed": count, **choices})
    context.fleet.accept()
    context.fleet.run_until_converged(60)
    context.fleet.run(30)
    context.calls_before = dict(context.fleet.store.calls_by_kind)


@given("a converged fleet of {count:d} nodes")
def given_fleet(context, count):
    start_converged_fleet(context, count)


@given("a converged fleet of {count:d} nodes with a set of {size:d} kilobytes")
def given_large_fleet(context, count, size):
    start_converged_fleet(context, count, items=100, item_bytes=size * 10)


@when("{count:d} small changes are accepted, on the nodes in turn")
def accept_changes(context, count):
    fleet = context.fleet
    before = fleet.cross_region_bytes()
    context.convergence = []
    for number in range(count):
        fleet.accept(at=fleet.node_by_id[f"node-{number % fleet.count}"])
        context.convergence.append(fleet.run_until_converged(8))
        fleet.run(5)
    context.bytes_for_change = (fleet.cross_region_bytes() - before) / count


@then("the bytes between regions are at least {times:d} times fewer than for full sets")
def compare_bytes(context, times):
    fleet = context.fleet
    blobs = [
        len(stored.value)
        for key, stored in fleet.store.object_by_key.items()
        if key.startswith("configuration/blobs/")
    ]
    # With full sets, every node of the region without the store fetches the set.
    baseline = sum(blobs[:70]) * fleet.count // 2
    ratio = baseline / context.bytes_for_change
    print(
        f"cross-region bytes: {context.bytes_for_change:.0f}, {ratio:.0f} times fewer"
    )
    assert ratio >= times, ratio


@then("at most {limit:d} bytes are sent between regions for each change")
def check_bytes_per_change(context, limit):
    # A push of one small change is about 260 bytes; the rest are digests.
    assert context.bytes_for_change <= limit, context.bytes_for_change


@then("no change took more than {limit:d} seconds")
def check_convergence(context, limit):
    print(f"convergence: {[round(taken, 1) for taken in context.convergence]}")
    assert max(context.convergence) <= limit, context.convergence


@when("a change is accepted and the nodes that would relay it die at once")
def kill_relays(context):
    def relays_of(head, view, region):
        root = relays.ranked_in_region(head.digest, view, region)[0]
        watchers = relays.ranked_in_region(relays.WATCH_SALT, view, region)[:2]
        return [root, *relays.root_children(head.digest, view, root), *watchers]

    accept_and_kill(context, relays_of)


@given("{fleets:d} converged fleets of {count:d} nodes")
def given_fleets(context, fleets, count):
    context.fleets = []
    for seed in range(fleets):
        start_converged_fleet(context, count, seed=seed)
        context.fleets.append(context.fleet)


@when("a change is accepted in each and the children of the region roots die")
def kill_children(context):
    def children(head, view, region):
        root = relays.ranked_in_region(head.digest, view, region)[0]
        return relays.root_children(head.digest, view, root)

    for fleet in context.fleets:
        context.fleet = fleet
        accept_and_kill(context, children)


@then("all nodes have the newest version within {limit:d} seconds on average")
def mean_convergence(context, limit):
    taken = [fleet.run_until_converged(8) for fleet in context.fleets]
    print(f"converged after {[round(one, 1) for one in taken]} s")
    assert sum(taken) / len(taken) <= limit, taken


def accept_and_kill(context, choose):
    fleet = context.fleet
    view = fleet.view_by_region[REGIONS[0]]
    head, blobs = fleet.author.accept()
    dying = {node.node_id for region in REGIONS for node in choose(head, view, region)}
    for node_id in dying - {"node-0"}:
        fleet.kill(fleet.node_by_id[node_id])
    fleet.node_by_id["node-0"].distributor.offer(head, blobs)


@when("a change is accepted in a partition that ends after the store goes down")
def separate_and_join(context):
    fleet = context.fleet
    fleet.cut_regions(True)
    fleet.run(5)
    head, blobs = fleet.author.accept()
    fleet.store.down = True
    fleet.node_by_id["node-0"].distributor.offer(head, blobs)
    fleet.run(10)
    lagging = [node for node in fleet.node_by_id.values() if node.version == 1]
    assert len(lagging) == fleet.count // 2, len(lagging)
    fleet.cut_regions(False)
    context.cross_region_bytes_before = fleet.cross_region_bytes()


@then("at most {limit:d} bytes were sent between the regions")
def check_bytes_between_regions(context, limit):
    crossed = context.fleet.cross_region_bytes() - context.cross_region_bytes_before
    print(f"crossed: {crossed} bytes")
    assert crossed <= limit, crossed


@when("the store goes down and {count:d} nodes are replaced")
def replace_nodes(context, count):
    fleet = context.fleet
    fleet.store.down = True
    for number in range(count):
        fleet.kill(fleet.node_by_id[f"node-{number}"])
        fleet.start(number)
    context.outage_began_at = fleet.clock.now


@when("all nodes restart at once")
def restart_all(context):
    restart(context, 0)


@when("all nodes but {count:d} restart at once")
def restart(context, count):
    fleet = context.fleet
    fleet.watched_ids.clear()
    for number in range(count, fleet.count):
        fleet.kill(fleet.node_by_id[f"node-{number}"])
        fleet.start(number)
    context.restarted_at = fleet.clock.now
    context.sent_before = {
        name: fleet.bytes_sent(node) for name, node in fleet.node_by_id.items()
    }


@then("all nodes have the newest version within {limit:d} seconds")
def all_have_it(context, limit):
    taken = context.fleet.run_until_converged(limit)
    print(f"converged after {taken:.1f} s")


@then("the store got at most {rate:d} calls a second for each watcher")
def check_store_rate(context, rate):
    fleet = context.fleet
    fleet.run(60)
    taken = fleet.clock.now - context.outage_began_at
    calls = sum(fleet.store.calls_by_kind.values()) - sum(context.calls_before.values())
    watchers = relays.WATCHERS_PER_REGION * len(REGIONS)
    # Until their views agree, nodes that have just started may watch in turn.
    assert calls <= rate * watchers * (taken + 8), (calls, taken)


@then("the blobs read from the store are at most those of {count:d} full sets")
def check_readers(context, count):
    fleet = context.fleet
    gets = fleet.store.calls_by_kind["get"] - context.calls_before["get"]
    # A set is a record, 64 pages and 40 items.
    assert gets <= count * 105, gets


@then("at most {count:d} nodes watched the store")
def check_watchers(context, count):
    context.fleet.run(10)
    assert len(context.fleet.watched_ids) <= count, context.fleet.watched_ids


@then("no node sent more than its burst and 23 kilobytes a second")
def check_budget(context):
    fleet = context.fleet
    taken = fleet.clock.now - context.restarted_at
    for name, node in fleet.node_by_id.items():
        sent = fleet.bytes_sent(node) - context.sent_before[name]
        limit = SEND_BURST_BYTES * 1.6 + CONTROL_BYTES_PER_S * taken
        assert sent <= limit, (name, sent, limit)


def heads(fleet):
    """Return a strategy for accepted and forged heads."""
    real = st.sampled_from([*fleet.author.heads, fleet.author.heads[-1]])
    forged = st.builds(
        Head, version=st.integers(-1, 2**60), digest=st.binary(max_size=20)
    )
    return st.one_of(real, forged)


def forged_push(fleet, digest):
    """Build a push of a next version whose record does not have its digest."""
    newest = fleet.author.heads[-1]
    record = fleet.author.content.record(newest)
    blob = encode_record(attrs.evolve(record, version=newest.version + 1))
    scratch = Content()
    delta = encode_blob(scratch, scratch.add(blob), b"")
    head = Head(version=newest.version + 1, digest=digest)
    forged = (attrs.evolve(delta, digest=digest),)
    return Push(head=head, root=False, deltas=forged)


def messages(fleet):
    """Return a strategy for well-formed messages with valid and invalid contents."""
    content = fleet.author.content
    digests = st.sampled_from(sorted(content.blob_by_digest)) | st.binary(max_size=16)
    valid_deltas = digests.map(lambda d: encode_blob(content, d, b"")).filter(bool)
    random_deltas = st.builds(Delta, digest=digests, base=digests, data=st.binary())
    delta_lists = st.lists(valid_deltas | random_deltas, max_size=4).map(tuple)
    digest_lists = st.lists(digests, max_size=4).map(tuple)
    head, flag = heads(fleet), st.booleans()
    numbers = st.integers(-(2**40), 2**40)
    return st.one_of(
        st.builds(
            Digest, head=st.none() | head, answer=st.booleans(), root=st.booleans()
        ),
        st.builds(Push, head=head, root=flag, deltas=delta_lists),
        st.builds(Blobs, head=head, deltas=delta_lists),
        st.builds(Pull, head=head, have=st.none() | head, digests=digest_lists),
        st.builds(
            Unserved,
            head=head,
            held=flag,
            retry_after_ms=numbers,
            others=st.just((("10.9.9.9", 1), ("10.0.0.0", 7000))),
        ),
        st.builds(StatusQuestion, query=numbers, version=numbers),
        st.builds(
            Report,
            node_id=st.sampled_from(["node-1", "node-2", "nobody"]),
            incarnation=numbers,
            sequence=numbers,
            held=st.none() | head,
            in_force=numbers,
            refusal=st.text(max_size=5),
            refusal_detail=st.text(max_size=5),
            wanted=numbers,
            missing=numbers,
        ),
    )


def damaged(frame, data):
    """Change a random byte, cut off the end, both or neither."""
    if data.draw(st.booleans()):
        place = data.draw(st.integers(0, len(frame) - 1))
        frame[place] ^= data.draw(st.integers(1, 255))
    if data.draw(st.booleans()):
        frame = frame[: data.draw(st.integers(0, len(frame)))]
    return frame


@when("random valid, forged and damaged messages are sent to a node")
def send_messages(context):
    fleet = context.fleet
    target = fleet.node_by_id["node-1"]
    newest = fleet.author.heads[-1]
    peers = [node.record.control_address for node in fleet.node_by_id.values()]

    @settings(max_examples=150)
    @for_any(st.lists(messages(fleet), max_size=6), st.sampled_from(peers), st.data())
    @example([forged_push(fleet, b"x" * 16)], peers[0], None)
    def check(some, sender, data):
        for message in some:
            frame = bytearray(wire.encode(message))
            if data is not None:
                frame = damaged(frame, data)
            decoded = wire.decode(bytes(frame))
            target.receive(sender, decoded, True)
            fleet.run(0.1)
            assert target.distributor.held == newest
            assert target.distributor.snapshot.head == newest
        assert len(target.content.blob_by_digest) <= 150

    check()


@then("it still holds the same version, and the next version reaches it")
def next_version_reaches(context):
    context.fleet.accept()
    context.fleet.run_until_converged(40)
    context.fleet.run(60)
    distributor = context.fleet.node_by_id["node-1"].distributor
    assert distributor.wanted is None and len(distributor.state_by_head) == 1


@when("a version that does not compile is accepted")
def accept_bad(context):
    context.head = context.fleet.accept(at=context.fleet.node_by_id["node-2"], bad=True)
    context.fleet.run(5)


@then("the version before it stays in force on all nodes")
def keep_old(context):
    for node in context.fleet.node_by_id.values():
        assert node.version == context.head.version - 1
        assert node.distributor.held == context.head


def status_of(context, version):
    found = []
    context.fleet.node_by_id["node-5"].status.query(version, found.append)
    context.fleet.run(4)
    (status,) = found
    return status


@then("the status names every node as refused with the reason")
def status_refused(context):
    status = status_of(context, context.head.version)
    assert status.accepted and status.total == 12 and status.in_force == 0
    assert {laggard.lag for laggard in status.laggards} == {Lag.REFUSED}
    assert all("bad item" in laggard.detail for laggard in status.laggards)


@when("one node freezes, another ignores all versions, and a change is accepted")
def make_two_lag(context):
    fleet = context.fleet
    fleet.freeze(fleet.node_by_id["node-6"], True)
    ignoring = fleet.node_by_id["node-9"].distributor
    ignoring.receive = lambda sender, message: None
    ignoring.observe_store_head = lambda head: None
    fleet.run(3)
    history = [message for _, message in fleet.history]
    context.old_reports = [item for item in history if isinstance(item, Report)]
    context.writes_before = fleet.store.calls_by_kind["put"]
    context.head = fleet.accept(at=fleet.node_by_id["node-2"])
    context.own_writes = fleet.store.calls_by_kind["put"] - context.writes_before
    fleet.run(5)


@then("the status of the change counts 10 of 12 and names both nodes with the reason")
def status_counts(context):
    status = status_of(context, context.head.version)
    assert status.accepted
    assert (status.in_force, status.total) == (10, 12), status
    lag_by_id = {laggard.node_id: laggard.lag for laggard in status.laggards}
    assert lag_by_id == {"node-6": Lag.SUSPECT, "node-9": Lag.NOT_HEARD}, lag_by_id


@then("older reports that arrive late do not change it")
def late_reports(context):
    before = status_of(context, context.head.version)
    for node in context.fleet.node_by_id.values():
        for message in context.old_reports:
            node.status.receive(("10.0.0.1", 7000), message)
    assert context.old_reports
    assert status_of(context, context.head.version) == before


@then("nothing was written to the store for the status")
def no_writes(context):
    writes = context.fleet.store.calls_by_kind["put"] - context.writes_before
    assert writes == context.own_writes


@when("3 changes are accepted one after another")
def accept_in_turn(context):
    for _ in range(3):
        context.fleet.accept(at=context.fleet.node_by_id["node-0"])
        context.fleet.run(2)


@then("only the newest version has a state, which is in force")
def check_states(context):
    newest = context.fleet.author.heads[-1]
    for node in context.fleet.node_by_id.values():
        states = node.distributor.state_by_head
        assert states == {newest: "in-force"}, states


@then("some minutes later each node holds the blobs of the newest version only")
def check_blobs(context):
    fleet = context.fleet
    fleet.run(150)
    wanted = fleet.author.content.references(fleet.author.heads[-1])
    for node in fleet.node_by_id.values():
        assert set(node.content.blob_by_digest) == wanted


@given("the recorded trace of a node through a partition, a freeze and a kill")
def read_trace(context):
    context.trace = json.loads(traces.TRACE.read_text())


def replay(trace, order):
    """Send the messages of a trace to a lone node; return the versions it applied.

    `order` gives the index of the message to send at each recorded time; messages
    beyond the last time are sent at the end.
    """
    fleet = Fleet(count=1, seed=1)
    node = fleet.node_by_id["node-0"]
    fleet.author.heads = [
        Head(version=version, digest=bytes.fromhex(digest))
        for version, digest in trace["heads"]
    ]
    version, digest = trace["head"]
    blobs = [bytes.fromhex(blob) for blob in trace["blobs"]]
    held = Head(version=version, digest=bytes.fromhex(digest))
    node.distributor.offer(held, {digest_of(blob): blob for blob in blobs})
    times = [at for at, _, _ in trace["received"]]
    for at, number in zip(times, order, strict=False):
        fleet.run(max(0.0, at - fleet.clock.now))
        _, sender, frame = trace["received"][number]
        node.receive(tuple(sender), wire.decode(bytes.fromhex(frame)), True)
    for number in order[len(times) :]:
        _, sender, frame = trace["received"][number]
        node.receive(tuple(sender), wire.decode(bytes.fromhex(frame)), True)
    fleet.run(60)
    return [version for version, _ in node.applied]


@when("it is replayed as recorded, with each message doubled, and in random orders")
def replay_all(context):
    count = len(context.trace["received"])
    doubled = [number for number in range(count) for _ in range(2)]
    context.as_recorded = replay(context.trace, list(range(count)))
    context.doubled = replay(context.trace, doubled)
    context.shuffled = []
    for seed in range(30):
        order = doubled.copy()
        random.Random(seed).shuffle(order)
        context.shuffled.append(replay(context.trace, order))


@then("the first two apply 1, 3, 4, 5, 6 and 7, and the others only rise")
def check_replays(context):
    assert context.trace["applied"] == [1, 3, 4, 5, 6, 7]
    assert context.as_recorded == context.doubled == [1, 3, 4, 5, 6, 7]
    for applied in context.shuffled:
        assert applied == sorted(set(applied)), applied
    assert any(len(applied) > 1 for applied in context.shuffled)
