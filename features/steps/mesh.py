"""A mesh of members in one process, on a fake network and a fake clock."""

import itertools
import random

from attrs import define, field

from comfreytray.common.metrics import Metrics
from comfreytray.common.records import Endpoint, NodeRecord, NodeState
from comfreytray.membership.membership import Membership
from comfreytray.testing import FakeClock, FakeNetwork

TICK_S = 0.1
HEAL_GRACE_S = 12.0
"""Time after the faults end at which the 3 s limit for leaving members starts."""


@define(kw_only=True, slots=False)
class Mesh:
    """Run members under injected faults and check what their views hold."""

    count: int
    seed: int
    regions: int = 2
    clock: FakeClock = field(factory=FakeClock)
    member_by_id: dict[str, Membership] = field(factory=dict)
    paused_ids: set[str] = field(factory=set)
    faulted_ids: set[str] = field(factory=set)
    """Members that were restarted, paused or isolated; they may be taken for dead."""
    left_at_by_id: dict[str, float] = field(factory=dict)
    """When members began to leave or drain."""
    seen_incarnations: dict[tuple, int] = field(factory=dict)
    """Highest incarnation seen, by the observer's address and the member's id."""
    killed_records: list[NodeRecord] = field(factory=list)
    """Records of the members that were killed."""

    def __attrs_post_init__(self):
        self.random = random.Random(self.seed)
        self.network = FakeNetwork(clock=self.clock, seed=self.seed)
        for number in range(self.count):
            self.add(self.record(number))
        if self.count:
            self.run(6.0)

    def record(self, number, incarnation=1000, node_id=None):
        region = number % self.regions
        centre = number // self.regions % 2
        return NodeRecord(
            node_id=node_id or f"n{number}",
            incarnation=incarnation,
            region=f"r{region}",
            data_centre=f"r{region}-{centre}",
            host=f"10.{region}.{centre}.{number + 1}",
            control_port=8082,
            call_port=8083,
            endpoint=Endpoint(
                service=f"s{number % 3}",
                instance_id=f"i{number}",
                slots=9,
                connections=9,
            ),
        )

    def add(self, record, join=True):
        self.seen_incarnations = {
            k: v
            for k, v in self.seen_incarnations.items()
            if k[0] != record.control_address
        }
        holder = []
        port = self.network.attach(
            record.control_address, lambda *received: holder[0].receive(*received)
        )
        member = Membership(
            me=record,
            clock=self.clock,
            random=random.Random(self.random.random()),
            network=port,
            metrics=Metrics(),
        )
        holder.append(member)
        seeds = [m.me.control_address for m in self.running[:3]]
        self.member_by_id[record.node_id] = member
        if join:
            member.start(seeds)
        return member

    @property
    def running(self):
        return list(self.member_by_id.values())

    @property
    def awake(self):
        return [m for m in self.running if m.me.node_id not in self.paused_ids]

    def kill(self, node_id):
        member = self.member_by_id.pop(node_id)
        self.network.detach(member.me.control_address)
        self.paused_ids.discard(node_id)
        self.killed_records.append(member.me)

    def pause(self, node_id):
        self.paused_ids.add(node_id)
        self.faulted_ids.add(node_id)
        address = self.member_by_id[node_id].me.control_address
        self.network.frozen_addresses.add(address)

    def resume(self, node_id):
        self.paused_ids.discard(node_id)
        address = self.member_by_id[node_id].me.control_address
        self.network.frozen_addresses.discard(address)

    def partition(self, region):
        """Partition a region from the others, killed members that restart included."""
        hosts = {m.me.host for m in self.running} | {
            r.host for r in self.killed_records
        }
        for one, two in itertools.permutations(sorted(hosts), 2):
            if (one.split(".")[1] == region[1:]) != (two.split(".")[1] == region[1:]):
                self.network.faults.cut_pairs.add((one, two))

    def isolate(self, node_id):
        self.faulted_ids.add(node_id)
        host = self.member_by_id[node_id].me.host
        for member in self.running:
            self.network.faults.cut_pairs |= {
                (host, member.me.host),
                (member.me.host, host),
            }

    def heal(self):
        """End all faults of the network and resume the paused members."""
        for node_id, left_at in self.left_at_by_id.items():
            self.left_at_by_id[node_id] = max(left_at, self.clock.now + HEAL_GRACE_S)
        self.network.faults.cut_pairs.clear()
        self.network.faults.loss = 0.0
        self.network.faults.duplicate = 0.0
        self.network.faults.max_delay_s = 0.03
        for node_id in tuple(self.paused_ids):
            self.resume(node_id)

    def run(self, seconds, check=False):
        for step in range(round(seconds / TICK_S)):
            self.network.run_until(self.clock.now + TICK_S)
            for member in self.awake:
                member.tick()
            if check and step % 5 == 0:
                self.check()

    def check(self):
        """Assert that incarnations never decrease and healthy members stay in views."""
        for member in self.awake:
            view = member.view
            for node_id, record in view.by_id.items():
                key = (member.me.control_address, node_id)
                assert record.incarnation >= self.seen_incarnations.get(key, 0), key
                self.seen_incarnations[key] = record.incarnation
            if member.me.node_id in self.faulted_ids:
                continue
            for other in self.running:
                known = (
                    member.me.control_address,
                    other.me.node_id,
                ) in self.seen_incarnations
                if other.me.node_id in self.faulted_ids or not known:
                    continue
                assert other.me.node_id in view.by_id, (
                    f"{member.me.node_id} declared {other.me.node_id} dead"
                )
            self.check_leaving(member, view)

    def check_leaving(self, member, view):
        """Assert that no endpoint is offered 3 s after its member began to leave."""
        cut_pairs = self.network.faults.cut_pairs
        for records in view.endpoints_by_service.values():
            for record in records:
                left_at = self.left_at_by_id.get(record.node_id)
                if left_at is None or (member.me.host, record.host) in cut_pairs:
                    continue
                late = self.clock.now - left_at > 3.0
                assert not late, (
                    f"{record.node_id} is offered more than 3 s after it began to leave"
                )

    def disagreements(self):
        """Return, by member, how its view differs from the running members."""
        expected = {
            m.me.node_id: (m.me.incarnation, m.me.state, m.me.endpoint_revision)
            for m in self.running
        }
        return {
            member.me.node_id: sorted(
                {
                    (r.node_id, r.incarnation, r.state.value, r.endpoint_revision)
                    for r in member.view.by_id.values()
                }
                ^ {(i, n, s.value, v) for i, (n, s, v) in expected.items()}
            )
            for member in self.running
            if {
                i: (r.incarnation, r.state, r.endpoint_revision)
                for i, r in member.view.by_id.items()
            }
            != expected
        }

    def assert_agreement(self):
        differing = self.disagreements()
        assert not differing, dict(list(differing.items())[:3])
        for member in self.running:
            for record in member.view.by_id.values():
                assert record.state in (NodeState.ALIVE, NodeState.LEAVING), record
