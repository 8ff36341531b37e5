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
from comfreytray.membership.dissemination import BURST_BYTES, BYTES_PER_S
from comfreytray.membership.members import Members
from comfreytray.membership.suspicions import SILENT_ZONE_TIMEOUT_S
from comfreytray.membership.updates import (
    Accusation,
    UpdateQueue,
    pack_claim,
    unpack_claim,
)

CALM_S = 45.0


def _kill(mesh, chance):
    if len(mesh.running) > 8:
        mesh.kill(chance.choice(mesh.running).me.node_id)


def _herd(mesh, chance):
    count = len(mesh.running) * 3 // 10
    for member in chance.sample(mesh.running, count):
        if len(mesh.running) > 8:
            mesh.kill(member.me.node_id)


def _cut(mesh, chance):
    mesh.cut(f"r{chance.randrange(mesh.regions)}")


def _isolate(mesh, chance):
    mesh.isolate(chance.choice(mesh.running).me.node_id)


def _pause(mesh, chance):
    for member in chance.sample(mesh.running, min(3, len(mesh.running))):
        mesh.pause(member.me.node_id)


def _resume(mesh, chance):
    for node_id in sorted(mesh.paused_ids):
        mesh.resume(node_id)


def _loss(mesh, chance):
    mesh.network.faults.loss = 0.1
    mesh.network.faults.duplicate = 0.1


def _delay(mesh, chance):
    mesh.network.faults.max_delay_s = 0.15


def _leave(mesh, chance):
    member = chance.choice(mesh.awake) if mesh.awake else None
    if member is None or len(mesh.running) <= 8:
        return
    node_id = member.me.node_id
    if node_id not in mesh.harmed_ids:
        mesh.left_at_by_id.setdefault(node_id, mesh.clock.now)
    member.leave()


def _drain(mesh, chance):
    member = chance.choice(mesh.awake) if mesh.awake else None
    if member is None:
        return
    draining = attrs.evolve(member.me.endpoint, state=EndpointState.DRAINING)
    if member.me.node_id not in mesh.harmed_ids:
        mesh.left_at_by_id.setdefault(member.me.node_id, mesh.clock.now)
    member.set_endpoint(draining)


def _restart(mesh, chance):
    if not mesh.gone:
        return
    old = mesh.gone.pop(chance.randrange(len(mesh.gone)))
    incarnation = old.incarnation + chance.choice((-3, 0, 100))
    fresh = attrs.evolve(old, incarnation=incarnation, state=NodeState.ALIVE)
    if chance.random() < 0.5:
        fresh = attrs.evolve(fresh, node_id=f"{old.node_id}-{mesh.clock.now:.0f}")
    mesh.left_at_by_id.pop(fresh.node_id, None)
    mesh.harmed_ids.add(fresh.node_id)
    mesh.add(fresh)


def _wait(mesh, chance):
    mesh.run(20.0, check=True)


ACTIONS = (
    _kill,
    _herd,
    _cut,
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


def live_through(count, regions, plan, seed):
    mesh = Mesh(count=count, seed=seed, regions=regions)
    for action, chance_seed in plan:
        action(mesh, random.Random(chance_seed))
        mesh.run(3.5, check=True)
    mesh.heal()
    mesh.run(CALM_S, check=True)
    end = mesh.clock.now + SILENT_ZONE_TIMEOUT_S
    while mesh.disagreements() and mesh.clock.now < end:
        mesh.run(5.0)
    mesh.assert_agreement()
    return mesh


@when("meshes of members live through mixed faults")
def live(context):
    @settings(max_examples=12, phases=[Phase.generate])
    @for_all(PLANS, strategies.integers(8, 30), strategies.integers(1, 3))
    def run(plan, count, regions):
        live_through(count, regions, plan, seed=count)

    seconds = float(os.environ.get("COMFREYTRAY_SOAK_SECONDS", "0"))
    if not seconds:
        run()
        return
    seed = int(os.environ.get("COMFREYTRAY_SOAK_SEED", "1"))
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        chance = random.Random(seed)
        plan = [
            (chance.choice(ACTIONS), chance.randrange(2**32))
            for _ in range(chance.randrange(4, 16))
        ]
        names = [action.__name__ for action, _ in plan]
        try:
            live_through(chance.randrange(8, 60), chance.randrange(1, 4), plan, seed)
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


@when("the regions are cut from each other for {seconds:d} s")
def cut_regions(context, seconds):
    context.mesh.cut("r1")
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


@when("the cut ends and {seconds:d} s pass")
def end_cut(context, seconds):
    context.mesh.heal()
    context.mesh.run(seconds, check=True)


@when("{seconds:d} s pass")
def pass_time(context, seconds):
    context.mesh.run(seconds, check=True)


@then("all views show all running members as alive")
def all_agree(context):
    context.mesh.assert_agreement()


@when("30% of the members crash at once")
def crash_herd(context):
    _herd(context.mesh, random.Random(1))


@when("a crashed member restarts under a new id at its old address")
def restart_with_new_id(context):
    old = context.mesh.gone.pop()
    context.mesh.add(attrs.evolve(old, node_id="fresh", incarnation=2000))


@when("another crashed member restarts under its old id")
def restart_with_old_id(context):
    old = context.mesh.gone.pop()
    context.mesh.harmed_ids.add(old.node_id)
    context.mesh.add(attrs.evolve(old, incarnation=old.incarnation - 1))


class SilentQueue(UpdateQueue):
    """Spreads nothing."""

    def put(self, key, payload, *, sends, priority):
        pass


@when("a healthy member is accused to all while no update and no table passes")
def accuse_to_all(context):
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
            gossip_to = gossip.Gossip(sender_id="n1", updates=updates)
            member.receive(mesh.running[1].me.control_address, gossip_to, True)


@then("all views hold the accused member")
def accused_is_held(context):
    for member in context.mesh.running:
        assert context.accused.node_id in member.view.by_id, member.me.node_id


@when("a member crashes and a new one starts at its address at once")
def replace_at_once(context):
    mesh = context.mesh
    old = mesh.running[5].me
    context.replaced_id = old.node_id
    mesh.kill(old.node_id)
    mesh.add(attrs.evolve(old, node_id="fresh", incarnation=2000))


@then("no view holds the crashed one")
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


@when("a twin of a member starts at another address")
def start_twin(context):
    mesh = context.mesh
    context.original = mesh.running[2]
    node_id = context.original.me.node_id
    context.twin = mesh.add(
        attrs.evolve(mesh.record(40), node_id=node_id, incarnation=1500)
    )
    mesh.member_by_id["original"] = context.original
    mesh.harmed_ids |= set(mesh.member_by_id)


@then("exactly one of the twins reports a fault")
def one_fault(context):
    faults = [twin.fault for twin in (context.original, context.twin)]
    assert sum(fault is not None for fault in faults) == 1, faults


def _bytes_for_each(mesh, seconds):
    before = sum(mesh.network.bytes_by_pair.values())
    mesh.run(seconds)
    sent = sum(mesh.network.bytes_by_pair.values()) - before
    return sent / seconds / len(mesh.running)


@when("calm meshes of 20 and 80 members are measured for 20 s")
def measure_calm(context):
    context.rates = []
    for count in (20, 80):
        mesh = Mesh(count=count, seed=1)
        mesh.run(20)
        context.rates.append(_bytes_for_each(mesh, 20))
    context.mesh = mesh


@then("a member sends at most 1.1 times as many bytes in the larger mesh")
def calm_load_is_constant(context):
    small, large = context.rates
    assert 50 < large <= 1.1 * small, context.rates


@then("a mesh whose members all change at once stays within the byte budget")
def storm_is_bounded(context):
    rates = []
    for _ in range(10):
        for member in context.mesh.running:
            endpoint = member.me.endpoint
            member.set_endpoint(attrs.evolve(endpoint, slots=endpoint.slots + 1))
        rates.append(_bytes_for_each(context.mesh, 1))
    rate = sum(rates) / len(rates)
    probes = 3000
    assert rate <= BYTES_PER_S + BURST_BYTES / len(rates) + probes, rates


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
    def run(some):
        results = set()
        hashes = set()
        for order in itertools.permutations(some):
            members = Members()
            for claim in (*order, order[0]):
                members.merge(claim, 0.0)
            results.add(members.record_by_id["n0"])
            hashes.add(members.hashes())
        context.results.append((len(results), len(hashes), some))

    run()


@then("the order made no difference")
def order_made_no_difference(context):
    assert len(context.results) > 100
    differing = [some for r, h, some in context.results if (r, h) != (1, 1)]
    assert not differing, differing[0]


@when("members receive malformed, truncated and foreign claims")
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


@then("their tables are as before and the claims are counted")
def tables_unchanged(context):
    member = context.mesh.running[0]
    context.mesh.run(0.3)
    assert dict(member.view.by_id) == context.before
    counted = member._metrics.count_by_name["membership.bad_claims"]
    assert counted >= context.bad > 100, (counted, context.bad)
