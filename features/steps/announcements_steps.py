import json
import os
import random
import time

from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import settings, strategies

from comfreytray.common.errors import Failure, Kind
from comfreytray.common.records import EndpointState, LocalUpstream
from comfreytray.membership.announcements import (
    LEASE_S,
    Announcement,
    UpstreamLease,
    parse_announcement,
)
from comfreytray.testing import FakeClock

GOOD = {
    "service": "lichbay",
    "instance_id": "a-1",
    "port": 9000,
    "slots": 12,
    "connections": 110,
    "state": "ready",
    "load": 0.5,
}


def _announce(**changes):
    data = json.dumps({**GOOD, **changes}).encode()
    announcement = parse_announcement(data, "127.0.0.1")
    assert isinstance(announcement, Announcement), announcement
    return announcement


class LeaseRun:
    """Send announcements to a lease and check its invariants after each action."""

    def __init__(self, members=1):
        self.clock = FakeClock()
        self.published = []
        self.lease = UpstreamLease(
            clock=self.clock,
            on_change=self.published.append,
            count_members=lambda: members,
        )
        self.drained = set()
        self.last_by_id = {}

    def act(self, action, number):
        if action == "wait":
            self.clock.now += number / 10
        elif action == "pause":
            self.clock.now += 10.0 + number
        elif action == "tick":
            self.lease.tick()
        else:
            self.announce(f"i{number % 3}", action)
        self.check()

    def announce(self, instance, state):
        before = self.lease.upstream
        refused = self.lease.receive(_announce(instance_id=instance, state=state))
        if refused is not None:
            assert refused.kind in (Kind.CONFLICT, Kind.STALE_VERSION), refused
            assert self.lease.upstream == before
            return
        self.last_by_id[instance] = self.clock.now
        if before is not None and before.endpoint.instance_id != instance:
            assert before.endpoint.state is EndpointState.DRAINING
        if state == "draining":
            self.drained.add(instance)

    def check(self):
        held = self.lease.upstream
        if held is None:
            return
        endpoint = held.endpoint
        age = self.clock.now - self.last_by_id[endpoint.instance_id]
        assert age < LEASE_S, age
        takes_work = endpoint.state is not EndpointState.DRAINING
        assert not (takes_work and endpoint.instance_id in self.drained)
        assert self.published[-1].instance_id == endpoint.instance_id
        assert self.published[-1].state is endpoint.state


ACTIONS = ("wait", "wait", "pause", "tick", "cold", "ready", "ready", "draining")
STEPS = strategies.lists(
    strategies.tuples(strategies.sampled_from(ACTIONS), strategies.integers(0, 40)),
    max_size=60,
)


@when("upstreams announce, drain, pause, repeat and replace each other at random")
def run_leases(context):
    @settings(max_examples=400)
    @for_all(STEPS)
    def run(steps):
        lease_run = LeaseRun()
        for action, number in steps:
            lease_run.act(action, number)

    seconds = float(os.environ.get("COMFREYTRAY_SOAK_SECONDS", "0"))
    if not seconds:
        run()
        return
    seed = int(os.environ.get("COMFREYTRAY_SOAK_SEED", "1"))
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        rng = random.Random(seed)
        lease_run = LeaseRun()
        for _ in range(200):
            lease_run.act(rng.choice(ACTIONS), rng.randrange(40))
        seed += 1


@then("no invariant of the lease was broken")
def leases_held(context):
    pass


@given("an upstream that announced itself as ready")
def announced(context):
    context.lease_run = LeaseRun()
    assert context.lease_run.lease.receive(_announce()) is None
    held = context.lease_run.lease.upstream
    assert isinstance(held, LocalUpstream) and held.port == 9000
    assert len(context.lease_run.published) == 1


@when("3 s pass without an announcement")
def silence(context):
    context.lease_run.clock.now += LEASE_S


@when("the node is paused for 60 s")
def pause_node(context):
    context.lease_run.clock.now += 60.0


@then("the lease holds no upstream even before its next tick")
def offers_nothing(context):
    assert context.lease_run.lease.upstream is None


@then("the withdrawal of the endpoint is published")
def withdrawal_published(context):
    context.lease_run.lease.tick()
    assert context.lease_run.published[-1] is None


@given("an upstream that announced itself as ready among {members:d} members")
def announced_among(context, members):
    context.lease_run = LeaseRun(members)
    assert context.lease_run.lease.receive(_announce()) is None


@when("it announces a new load each second for 300 s")
def change_load(context):
    for second in range(300):
        context.lease_run.clock.now += 1.0
        refused = context.lease_run.lease.receive(_announce(load=second % 10 / 10))
        assert refused is None


@then("at most {count:d} updates are published")
def few_published(context, count):
    assert 1 < len(context.lease_run.published) <= count, len(
        context.lease_run.published
    )


BAD_VALUES = {
    "service": ("", "A b", "x" * 64, 1, None, "-a", "a\n"),
    "instance_id": ("", "a b", "x" * 65, 7, None, "é"),
    "port": (0, 65536, "80", 1.0, True, None, -1),
    "slots": (0, 10**9, "1", 1.5, True),
    "connections": (0, 10**9, None, False),
    "state": ("", "Ready", None, 1, [], {}),
    "load": (-0.1, float("nan"), float("inf"), "1", None, True, 10**400),
}


@when("announcements with wrong, missing, repeated and unknown fields are parsed")
def parse_bad(context):
    good = json.dumps(GOOD)
    texts = [json.dumps({**GOOD, n: v}) for n, vs in BAD_VALUES.items() for v in vs]
    texts += [json.dumps({k: v for k, v in GOOD.items() if k != n}) for n in GOOD]
    texts += [json.dumps({**GOOD, "more": 1}), good[:-1] + ', "port": 1}']
    texts += ["", "[]", "null", good + "x", "[" * 2000, " " * 5000 + good]
    texts += [good[:cut] for cut in range(len(good))]
    context.parsed = [parse_announcement(t.encode(), "127.0.0.1") for t in texts]

    @settings(max_examples=300)
    @for_all(strategies.binary(max_size=300))
    def run(data):
        context.parsed.append(parse_announcement(data, "127.0.0.1"))

    run()


@then("each is refused as a bad request")
def all_refused(context):
    for parsed in context.parsed:
        assert isinstance(parsed, Failure), parsed
        assert parsed.kind is Kind.BAD_REQUEST and parsed.fields["reason"]


@then("a valid one is parsed with all its fields")
def valid_parsed(context):
    upstream = _announce(state="cold", load=2).upstream
    assert (upstream.host, upstream.port) == ("127.0.0.1", 9000)
    assert upstream.endpoint.state is EndpointState.COLD
    assert upstream.endpoint.reported_load == 2.0
