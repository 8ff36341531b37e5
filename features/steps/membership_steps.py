import itertools
import math
import os
import random
import sys
import time
from pathlib import Path

import attrs
import msgpack
from behave import given, then, when
from hypothesis import Phase, settings, strategies
from hypothesis import given as for_all

sys.path.insert(0, str(Path(__file__).parent))

from mesh import Mesh

from comfreytray.common.records import EndpointState, NodeState
from comfreytray.membership import gossip
from comfreytray.membership.dissemination import (
    BURST_BYTES,
    BYTES_PER_S,
    Disseminator,
)
from comfreytray.membership.members import Members
from comfreytray.membership.peers import Peers
from comfreytray.membership.suspicions import SILENT_ZONE_TIMEOUT_S
from comfreytray.membership.updates import (
    Accusation,
    Priority,
    UpdateQueue,
    pack_claim,
    unpack_claim,
)
from comfreytray.testing import FakeClock

SETTLE_S = 45.0


def _kill(mesh, rng):
    if len(mesh.running) > 8:
        mesh.kill(rng.choice(mesh.running).me.node_id)


def _crash_many(mesh, rng):
    count = len(mesh.running) * 3 // 10
    for member in rng.sample(mesh.running, count):
        if len(mesh.running) > 8:
            mesh.kill(member.me.node_id)


def _partition(mesh, rng):
    mesh.partition(f"r{rng.randrange(mesh.regions)}")


def _isolate(mesh, rng):
    mesh.isolate(rng.choice(mesh.running).me.node_id)


def _pause(mesh, rng):
    for member in rng.sample(mesh.running, min(3, len(mesh.running))):
        mesh.pause(member.me.node_id)


def _resume(mesh, rng):
    for node_id in sorted(mesh.paused_ids):
        mesh.resume(node_id)


def _loss(mesh, rng):
    mesh.network.faults.loss = 0.1
    mesh.network.faults.duplicate = 0.1


def _delay(mesh, rng):
    mesh.network.faults.max_delay_s = 0.15


def _leave(mesh, rng):
    member = rng.choice(mesh.awake) if mesh.awake else None
    if member is None or len(mesh.running) <= 8:
        return
    node_id = member.me.node_id
    if node_id not in mesh.faulted_ids:
        mesh.left_at_by_id.setdefault(node_id, mesh.clock.now)
    member.leave()


def _drain(mesh, rng):
    member = rng.choice(mesh.awake) if mesh.awake else None
    if member is None:
        return
    draining = attrs.evolve(member.me.endpoint, state=EndpointState.DRAINING)
    if member.me.node_id not in mesh.faulted_ids:
        mesh.left_at_by_id.setdefault(member.me.node_id, mesh.clock.now)
    member.set_endpoint(draining)


def _restart(mesh, rng):
    if not mesh.killed_records:
        return
    old = mesh.killed_records.pop(rng.randrange(len(mesh.killed_records)))
    incarnation = old.incarnation + rng.choice((-3, 0, 100))
    fresh = attrs.evolve(old, incarnation=incarnation, state=NodeState.ALIVE)
    if rng.random() < 0.5:
        fresh = attrs.evolve(fresh, node_id=f"{old.node_id}-{mesh.clock.now:.0f}")
    mesh.left_at_by_id.pop(fresh.node_id, None)
    mesh.faulted_ids.add(fresh.node_id)
    mesh.add(fresh)


def _wait(mesh, rng):
    mesh.run(20.0, check=True)


ACTIONS = (
    _kill,
    _crash_many,
    _partition,
    _isolate,
    _pause,
    _resume,
    _loss,
    _delay,
    _leave,
    _drain,
    _restart,
    _wait,
)
PLANS = strategies.lists(
    strategies.tuples(strategies.sampled_from(ACTIONS), strategies.integers(0, 2**32)),
    min_size=4,
    max_size=10,
)


def run_plan(count, regions, plan, seed):
    mesh = Mesh(count=count, seed=seed, regions=regions)
    for action, action_seed in plan:
        action(mesh, random.Random(action_seed))
        mesh.run(3.5, check=True)
    mesh.heal()
    mesh.run(SETTLE_S, check=True)
    end = mesh.clock.now + SILENT_ZONE_TIMEOUT_S
    while mesh.disagreements() and mesh.clock.now < end:
        mesh.run(5.0)
    mesh.assert_agreement()
    return mesh


@when("meshes of members go through random sequences of faults")
def run_faults(context):
    @settings(max_examples=12, phases=[Phase.generate])
    @for_all(PLANS, strategies.integers(8, 30), strategies.integers(1, 3))
    def run(plan, count, regions):
        run_plan(count, regions, plan, seed=count)

    seconds = float(os.environ.get("COMFREYTRAY_SOAK_SECONDS", "0"))
    if not seconds:
        run()
        return
    seed = int(os.environ.get("COMFREYTRAY_SOAK_SEED", "1"))
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        rng = random.Random(seed)
        plan = [
            (rng.choice(ACTIONS), rng.randrange(2**32))
            for _ in range(rng.randrange(4, 16))
        ]
        names = [action.__name__ for action, _ in plan]
        try:
            run_plan(rng.randrange(8, 60), rng.randrange(1, 4), plan, seed)
        except AssertionError as error:
            raise AssertionError(f"seed {seed}, {names}: {error}") from error
        seed += 1


@then("no invariant of membership was broken")
def invariants_held(context):
    pass


@given("a mesh of {count:d} members in {regions:d} regions")
def make_mesh(context, count, regions):
    context.mesh = Mesh(count=count, seed=count, regions=regions)


@given(
    "a mesh of {count:d} members in {regions:d} regions that loses 10% of its datagrams"
)
def make_lossy_mesh(context, count, regions):
    make_mesh(context, count, regions)
    context.mesh.network.faults.loss = 0.1


@when("a member starts to leave")
def start_leaving(context):
    mesh = context.mesh
    member = mesh.running[len(mesh.running) // 2]
    member.set_endpoint(attrs.evolve(member.me.endpoint, service="only-here"))
    mesh.run(3.0)
    assert any(
        record.node_id == member.me.node_id
        for records in mesh.running[0].view.endpoints_by_service.values()
        for record in records
    )
    mesh.left_at_by_id[member.me.node_id] = mesh.clock.now
    member.leave()


@then("after 3 s no view offers its endpoint")
def nobody_offers(context):
    context.mesh.run(3.2)
    context.mesh.check()


@when("the regions are partitioned from each other for {seconds:d} s")
def partition_regions(context, seconds):
    context.mesh.partition("r1")
    context.mesh.run(seconds, check=True)


@then("each view holds the other region's members as suspect only")
def others_suspect(context):
    for member in context.mesh.running:
        records = member.view.by_id.values()
        far = [r for r in records if r.region != member.me.region]
        assert len(far) == len(context.mesh.running) // 2, len(far)
        assert {record.state for record in far} == {NodeState.SUSPECT}


@then("no view offers an endpoint of the other region")
def others_not_offered(context):
    for member in context.mesh.running:
        for records in member.view.endpoints_by_service.values():
            assert {record.region for record in records} == {member.me.region}


@when("the partition heals and {seconds:d} s pass")
def heal_partition(context, seconds):
    context.mesh.heal()
    context.mesh.run(seconds, check=True)


@when("{seconds:d} s pass")
def pass_time(context, seconds):
    context.mesh.run(seconds, check=True)


@then("all views show all running members as alive")
def all_agree(context):
    context.mesh.assert_agreement()


@when("30% of the members crash at once")
def crash_many(context):
    _crash_many(context.mesh, random.Random(1))


@when("a crashed member restarts under a new id at its old address")
def restart_with_new_id(context):
    old = context.mesh.killed_records.pop()
    context.mesh.add(attrs.evolve(old, node_id="fresh", incarnation=2000))


@when("another crashed member restarts under its old id")
def restart_with_old_id(context):
    old = context.mesh.killed_records.pop()
    context.mesh.faulted_ids.add(old.node_id)
    context.mesh.add(attrs.evolve(old, incarnation=old.incarnation - 1))


class SilentQueue(UpdateQueue):
    """Queue that discards every update."""

    def put(self, key, payload, *, sends, priority):
        pass


@when("all members suspect a healthy one while neither updates nor tables are sent")
def suspect_everywhere(context):
    mesh = context.mesh
    context.accused = mesh.running[5].me
    accusation = Accusation(
        node_id=context.accused.node_id,
        incarnation=context.accused.incarnation,
        state=NodeState.SUSPECT,
        accuser="n1",
    )
    updates = (pack_claim(accusation),)
    for member in mesh.running:
        member._disseminator.queue = SilentQueue()
        member._reconciler._due_at = math.inf
        if member.me.node_id != context.accused.node_id:
            update = gossip.Gossip(sender_id="n1", updates=updates)
            member.receive(mesh.running[1].me.control_address, update, True)


@then("all views still hold the accused member")
def accused_is_held(context):
    for member in context.mesh.running:
        assert context.accused.node_id in member.view.by_id, member.me.node_id


@when("a member crashes and a new one starts at its address immediately")
def replace_at_once(context):
    mesh = context.mesh
    old = mesh.running[5].me
    context.replaced_id = old.node_id
    mesh.kill(old.node_id)
    mesh.add(attrs.evolve(old, node_id="fresh", incarnation=2000))


@then("all views hold the new member and none holds the crashed one")
def replaced_everywhere(context):
    for member in context.mesh.running:
        assert context.replaced_id not in member.view.by_id, member.me.node_id
        assert "fresh" in member.view.by_id, member.me.node_id


@when("a member is paused for {seconds:d} s")
def pause_member(context, seconds):
    mesh = context.mesh
    context.paused = mesh.running[3]
    mesh.pause(context.paused.me.node_id)
    mesh.run(seconds, check=True)
    context.seen = dict(context.paused.view.by_id)
    mesh.resume(context.paused.me.node_id)


@then("the paused member accused nobody")
def accused_nobody(context):
    counters = context.paused._metrics.count_by_name
    assert counters.get("membership.pauses") == 1, counters
    suspected = counters.get("membership.member-suspected", 0)
    assert suspected == 0, counters


@when("a member with the id of another starts at another address")
def start_duplicate(context):
    mesh = context.mesh
    context.original = mesh.running[2]
    node_id = context.original.me.node_id
    context.duplicate = mesh.add(
        attrs.evolve(mesh.record(40), node_id=node_id, incarnation=1500)
    )
    mesh.member_by_id["original"] = context.original
    mesh.faulted_ids |= set(mesh.member_by_id)


@then("exactly one of the two reports a fault")
def one_fault(context):
    faults = [member.fault for member in (context.original, context.duplicate)]
    assert sum(fault is not None for fault in faults) == 1, faults


def _bytes_per_member_s(mesh, seconds):
    before = sum(mesh.network.bytes_by_pair.values())
    mesh.run(seconds)
    sent = sum(mesh.network.bytes_by_pair.values()) - before
    return sent / seconds / len(mesh.running)


@when("the traffic of idle meshes of 20 and 80 members is measured for 20 s")
def measure_idle(context):
    context.rates = []
    for count in (20, 80):
        mesh = Mesh(count=count, seed=1)
        mesh.run(20)
        context.rates.append(_bytes_per_member_s(mesh, 20))
    context.mesh = mesh


@then("a member sends at most 1.1 times as many bytes in the larger mesh")
def traffic_is_constant(context):
    small, large = context.rates
    assert 50 < large <= 1.1 * small, context.rates


@then("a mesh whose members all change repeatedly stays within the byte budget")
def traffic_is_bounded(context):
    rates = []
    for _ in range(10):
        for member in context.mesh.running:
            endpoint = member.me.endpoint
            member.set_endpoint(attrs.evolve(endpoint, slots=endpoint.slots + 1))
        rates.append(_bytes_per_member_s(context.mesh, 1))
    rate = sum(rates) / len(rates)
    probe_bytes_per_s = 3000
    assert rate <= BYTES_PER_S + BURST_BYTES / len(rates) + probe_bytes_per_s, rates


@when("claims about a member are merged in every order")
def merge_in_orders(context):
    base = Mesh(count=1, seed=1).record(0)
    claims = strategies.builds(
        lambda state, incarnation, revision: attrs.evolve(
            base,
            state=state,
            incarnation=incarnation,
            endpoint_revision=revision,
            endpoint=attrs.evolve(
                base.endpoint, instance_id=f"i{incarnation}-{revision}"
            ),
        ),
        strategies.sampled_from(list(NodeState)),
        strategies.integers(1, 3),
        strategies.integers(0, 2),
    )
    context.results = []

    @settings(max_examples=300)
    @for_all(strategies.lists(claims, min_size=2, max_size=4))
    def run(drawn):
        results = set()
        hashes = set()
        for order in itertools.permutations(drawn):
            members = Members()
            for claim in (*order, order[0]):
                members.merge(claim, 0.0)
            results.add(members.record_by_id["n0"])
            hashes.add(members.hashes())
        context.results.append((len(results), len(hashes), drawn))

    run()


@then("every order gave the same record and the same hashes")
def order_made_no_difference(context):
    assert len(context.results) > 100
    differing = [drawn for r, h, drawn in context.results if (r, h) != (1, 1)]
    assert not differing, differing[0]


@when("a member receives random, truncated and wrongly typed claims")
def receive_malformed(context):
    mesh = Mesh(count=4, seed=2)
    member, other = mesh.running[:2]
    good = pack_claim(attrs.evolve(other.me, incarnation=5000))
    context.bad = 0
    context.mesh = mesh
    context.before = dict(member.view.by_id)

    @settings(max_examples=300)
    @for_all(
        strategies.one_of(
            strategies.binary(max_size=200),
            strategies.integers(0, len(good) - 1).map(lambda cut: good[:cut]),
            strategies.lists(
                strategies.one_of(
                    strategies.integers(), strategies.text(), strategies.none()
                ),
                max_size=12,
            ).map(
                lambda plain: msgpack.packb(
                    [x if not isinstance(x, int) else x % 2**63 for x in plain]
                )
            ),
        )
    )
    def run(payload):
        if unpack_claim(payload) is not None:
            return
        context.bad += 1
        updates = (payload,)
        sender = other.me.control_address
        for message in (
            gossip.Gossip(sender_id="x", updates=updates),
            gossip.Ack(sequence=1, sender_id="x", updates=updates),
            gossip.Delta(sender_id="x", records=updates, wanted=("nobody",)),
            gossip.Digest(sender_id="x", record=payload, count=4, hashes=payload),
            gossip.Summary(sender_id="x", buckets=(99,), entries=(("x", 1, 9, 1),)),
        ):
            member.receive(sender, message, True)

    run()


@then("its view is unchanged and the claims are counted as malformed")
def tables_unchanged(context):
    member = context.mesh.running[0]
    context.mesh.run(0.3)
    assert dict(member.view.by_id) == context.before
    counted = member._metrics.count_by_name["membership.bad_claims"]
    assert counted >= context.bad > 100, (counted, context.bad)


@given("a disseminator with members near by and in another region")
def make_disseminator_members(context):
    context.mesh = Mesh(count=0, seed=3)
    context.records = [context.mesh.record(number) for number in range(41)]


@when("news of each priority is queued and rounds of it are sent")
def send_news(context):
    context.far_by_priority = {}
    for priority in Priority:
        me, *others = context.records
        peers = Peers(node_id=me.node_id, region=me.region)
        for record in others:
            near = record.region == me.region
            for group in (
                (peers.near, peers.near_alive) if near else (peers.far, peers.far_alive)
            ):
                group.put(record)
        disseminator = Disseminator(
            peers=peers, clock=FakeClock(), random=random.Random(5), network=None
        )
        disseminator.queue.put("k", b"update", sends=9, priority=priority)
        targets = [r for _ in range(400) for r in disseminator._pick_targets()]
        far = sum(record.region != me.region for record in targets)
        context.far_by_priority[priority] = far / len(targets)


@then("leaving and changed members cross regions alike, background news far less")
def check_crossings(context):
    share = context.far_by_priority
    assert share[Priority.LEAVING] >= 0.9 * share[Priority.CHANGED], share
    assert share[Priority.BACKGROUND] <= 0.5 * share[Priority.CHANGED], share
