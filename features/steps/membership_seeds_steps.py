import random
import sys
from pathlib import Path

import attrs
from behave import given, then, when

sys.path.insert(0, str(Path(__file__).parent))

from mesh import Mesh

from comfreytray.membership.seeds import (
    KEY_PREFIX,
    Seeds,
    decode_seeds,
    parse_addresses,
)
from comfreytray.testing import MemoryStore


class Fleet:
    """Nodes that find each other through a store and their settings."""

    def __init__(self, count, *, peers="", store=None, mesh=None, first=0):
        self.store = store or MemoryStore()
        self.mesh = mesh or Mesh(count=0, seed=count)
        self.seeds_by_id = {}
        self.peers = parse_addresses(peers)
        for number in range(first, first + count):
            self.add(self.mesh.record(number))

    def add(self, record):
        member = self.mesh.add(record, join=False)
        self.seeds_by_id[record.node_id] = Seeds(
            store=self.store,
            clock=self.mesh.clock,
            random=random.Random(record.host),
            me=member.me,
            peers=self.peers,
        )

    def run(self, seconds):
        for _ in range(round(seconds / 0.2)):
            self.mesh.run(0.2)
            for node_id, member in self.mesh.member_by_id.items():
                seeds = self.seeds_by_id[node_id]
                if seeds.tick(member.view):
                    member.start(seeds.addresses)

    @property
    def calls(self):
        return sum(self.store.calls_by_kind.values())


@given("{count:d} nodes that start together with an empty store")
def start_fleet(context, count):
    context.fleet = Fleet(count)


@given("{count:d} nodes with seeds in their settings while the store is down")
def start_with_peers(context, count):
    context.fleet = Fleet(count, peers="10.0.0.1:8082,10.1.0.2:8082")
    context.fleet.store.down = True


@given("2 regions of {count:d} nodes that formed separate meshes and share a store")
def start_groups(context, count):
    fleet = context.fleet = Fleet(count * 2)
    members = list(fleet.mesh.member_by_id.values())
    near = [member for member in members if member.me.region == "r0"]
    far = [member for member in members if member.me.region == "r1"]
    for group in (near, far):
        for member in group:
            member.start([group[0].me.control_address])
    fleet.mesh.run(5.0)
    sizes = {len(member.view.by_id) for member in members}
    assert sizes == {count}, sizes


@when("they run for {seconds:d} s")
def run_fleet(context, seconds):
    context.calls_before = context.fleet.calls
    context.fleet.run(seconds)


@when("all are replaced together by nodes at new addresses")
def replace_all(context):
    fleet = context.fleet
    for node_id in list(fleet.mesh.member_by_id):
        old = fleet.mesh.member_by_id[node_id].me
        fleet.mesh.kill(node_id)
        host = old.host.replace("10.", "11.", 1)
        fleet.add(attrs.evolve(old, node_id=f"{node_id}-new", host=host))


@when("a node writes the list after another has changed it")
def write_late(context):
    fleet = context.fleet
    node_id = next(iter(fleet.seeds_by_id))
    seeds = fleet.seeds_by_id[node_id]
    view = fleet.mesh.member_by_id[node_id].view
    assert seeds._read_lists()
    stored = fleet.store.object_by_key[seeds.key]
    fleet.store.put(seeds.key, b'{"seeds": []}', expected_version=stored.version)
    fleet.mesh.clock.now += 300.0
    seeds._write(view, alone=False)
    context.key = seeds.key


@when("store answers are lost and a list is overwritten with malformed data")
def lose_answers(context):
    context.fleet.store.lose_answers = 5
    context.fleet.run(60.0)
    for value in (b"\xff{", b'{"seeds": [1, {"address": "x"}]}'):
        context.fleet.store.put(f"{KEY_PREFIX}r0-0", value, expected_version=None)
        context.fleet.run(10.0)


@then("they form one mesh")
def one_mesh(context):
    context.fleet.mesh.assert_agreement()


@then("the store took at most {count:d} writes")
def few_writes(context, count):
    writes = context.fleet.store.calls_by_kind["put"]
    assert 1 <= writes <= count, context.fleet.store.calls_by_kind


@then("the store took at most {count:d} calls in the last {seconds:d} s")
def few_calls(context, count, seconds):
    calls = context.fleet.calls - context.calls_before
    assert calls <= count, (calls, context.fleet.store.calls_by_kind)


@then("the list is as the other node wrote it")
def list_unchanged(context):
    value = context.fleet.store.object_by_key[context.key].value
    assert value == b'{"seeds": []}', value


@then("the lists name only running nodes")
def lists_are_true(context):
    running = set(context.fleet.mesh.member_by_id)
    objects = context.fleet.store.object_by_key
    listed = [s for o in objects.values() for s in decode_seeds(o.value)]
    assert listed and {seed.node_id for seed in listed} <= running, listed
