"""Slots, restarts and paces at nodes on loopback, and the choice of an endpoint."""

import random

import eventlet
import msgpack
from attrs import evolve
from behave import given, then, when
from calls_rig import add_fleet, answer, until
from calls_routing_steps import record

from comfreytray.calls import callframes
from comfreytray.calls.call import Load
from comfreytray.calls.ownerstreams import OwnerStreams
from comfreytray.calls.routing import Router
from comfreytray.common.errors import Failure, Kind
from comfreytray.common.records import MembershipView
from comfreytray.platform.headers import DIALECT
from comfreytray.testing import FakeClock

NODES = 20
ENDPOINTS = 6
CALLS_PER_NODE = 20
SEAL = "X-Response-Seal: s"


def owner_of(context, node_id="a"):
    return context.fleet.path_by_id[node_id].owner


@given("an upstream of 4 slots with 4 calls that run and 3 that wait")
def make_full(context):
    context.may_end = 0

    def script(head, body):
        number = len(context.upstream.ran)
        while number > context.may_end:
            eventlet.sleep(0.002)
        return answer(200, b"ok", SEAL)

    fleet = add_fleet(context, ["a"], script, dialect=DIALECT)
    context.upstream = fleet.upstream_by_id["a"]
    admission = owner_of(context).admission
    # Before the first answer the owner admits fewer calls than slots.
    context.may_end = 1
    assert fleet.call("a", target="/first").status == 200
    context.calls = [eventlet.spawn(fleet.call, "a") for _ in range(7)]
    assert until(lambda: admission.held == 4 and admission.queued == 3)
    assert until(lambda: context.upstream.running == 4)


@when("its heartbeat announces 2 slots and 2 calls end")
def shrink(context):
    local = context.fleet.local_by_id["a"]
    endpoint = evolve(local.endpoint, slots=2)
    context.fleet.local_by_id["a"] = evolve(local, endpoint=endpoint)
    context.may_end += 2
    assert until(lambda: sum(call.dead for call in context.calls) == 2)


@then("no call that waits was sent")
def check_none_sent(context):
    admission = owner_of(context).admission
    assert (admission.held, admission.queued) == (2, 3)
    assert len(context.upstream.ran) == 5


@when("the other calls end")
def end_others(context):
    context.upstream.most_running = 0
    context.may_end = 100
    context.got = [call.wait() for call in context.calls]


@then("no more than 2 of the others ran at once, and all are answered")
def check_answered(context):
    assert [got.status for got in context.got] == [200] * 7
    assert context.upstream.most_running <= 2, context.upstream.most_running


@given("an instance that still works on 3 calls of the node's earlier process")
def make_restarted(context):
    context.earlier = 3

    def script(head, body):
        report = f"X-Server-Load: {context.earlier + 1},0,4,100"
        return answer(200, b"ok", SEAL, report)

    add_fleet(context, ["a"], script, dialect=DIALECT)


@given("an instance that works on 2 calls which the node gave up at their deadline")
def make_given_up(context):
    def script(head, body):
        while b"/slow" in head and context.is_slow:
            eventlet.sleep(0.005)
        report = f"X-Server-Load: {context.upstream.running},0,4,100"
        return answer(200, b"ok", SEAL, report)

    context.is_slow = True
    context.add_cleanup(setattr, context, "is_slow", False)
    fleet = add_fleet(context, ["a"], script, dialect=DIALECT)
    context.upstream = fleet.upstream_by_id["a"]
    for _ in range(2):
        got = fleet.call("a", target="/slow", headers=["X-Deadline-Ms: 50"])
        assert got.status == 504, got.status
    assert context.upstream.running == 2


@when("it has answered one more call")
def answer_one(context):
    assert context.fleet.call("a").status == 200


@when("the earlier calls have ended and it has answered one more call")
def end_earlier(context):
    context.earlier = 0
    answer_one(context)


@then("the node uses {slots:d} slot")
@then("the node uses {slots:d} slots")
def check_slots(context, slots):
    assert owner_of(context).admission.slots == slots


@given("two nodes of an upstream that reports a pace of 160")
def make_paced(context):
    def script(head, body):
        return answer(200, b"ok", SEAL, "X-Server-Load: 1,0,4,160")

    add_fleet(context, ["a", "b"], script, dialect=DIALECT)
    context.fleet.hidden = {"b"}


@when("one calls the upstream through the other")
def call_through(context):
    assert context.fleet.call("b").status == 200


@then("it knows the pace and the slots in use")
def check_told(context):
    view = context.fleet.path_by_id["b"].router.view_by_id["a"]
    (report,) = view.load_report_by_priority.values()
    assert (report.load.pace, report.load.slots) == (160.0, 4)
    gauges = context.fleet.path_by_id["a"].metrics.gauge_by_name
    assert gauges["upstream_pace"] == 160.0
    assert gauges["upstream_concurrency_limit"] == 4


@then("an owner refuses a peer of the protocol version before")
def check_version(context):
    hello = (callframes.HELLO, callframes.PROTOCOL_VERSION - 1, "x", "a")
    streams = OwnerStreams(node_id="a", clock=FakeClock())
    refused = streams.receive(msgpack.packb(hello))
    assert isinstance(refused, Failure) and refused.kind is Kind.BAD_FRAME, refused


# The choice of an endpoint


def make_routers(context):
    records = tuple(record(f"e{number}") for number in range(ENDPOINTS))
    own = record("own", service="other")
    view = MembershipView(
        by_id={r.node_id: r for r in records}, endpoints_by_service={"s": records}
    )
    context.routers = [
        Router(
            node=lambda: own,
            members=lambda: view,
            clock=context.clock,
            random=random.Random(seed),
        )
        for seed in range(NODES)
    ]
    return records


def tell(router, endpoint, pace, took_s=0.1):
    load = Load(used=0.2, service_time_s=0.1, held_s=took_s, pace=pace, slots=4)
    router.finish(router.begin(endpoint), took_s=took_s, load=load, kind="k")


def share_of_first(context):
    """Return the share of the calls of all nodes that go to the first endpoint."""
    picked = [
        router.pick("s", kind="k").node_id
        for router in context.routers
        for _ in range(CALLS_PER_NODE)
    ]
    return picked.count("e0") / len(picked)


@given("20 nodes that know 6 endpoints of the same speed")
def make_nodes(context):
    context.clock = FakeClock()
    context.records = make_routers(context)
    for router in context.routers:
        for _ in range(20):
            for endpoint in context.records:
                tell(router, endpoint, 100.0)
    context.share = share_of_first(context)


def tell_all(context, pace):
    """Tell all nodes a pace of the first endpoint in a refusal, which has no time."""
    load = Load(used=0.2, service_time_s=0.1, pace=pace, slots=4)
    for router in context.routers:
        view = router.begin(context.records[0])
        refused = Failure(kind=Kind.OVERLOADED)
        router.fail(view, refused, took_s=0.0, load=load)


@when("one endpoint tells a pace of 2.5 times its mean")
def tell_slow(context):
    tell_all(context, 250.0)


@then("fewer than half as many calls as before go to it, and as many 2 s later")
def check_avoided(context):
    assert share_of_first(context) < 0.5 * context.share
    context.clock.now += 2.0
    later = share_of_first(context)
    assert abs(later - context.share) < 0.06, (later, context.share)


@when("one endpoint tells a pace of half its mean")
def tell_fast(context):
    tell_all(context, 50.0)


@then("no more than half of the calls go to it, and as many as before 1 s later")
def check_no_herd(context):
    context.clock.now += 0.2
    assert share_of_first(context) <= 0.5, share_of_first(context)
    context.clock.now += 1.0
    later = share_of_first(context)
    assert abs(later - context.share) < 0.06, (later, context.share)


@then("a constant pace changes no expected time")
def check_constant(context):
    costs = []
    for pace in (0.0, 160.0):
        records = make_routers(context)
        router = context.routers[0]
        for _ in range(30):
            for endpoint in records:
                is_slow = endpoint.node_id == "e0"
                took_s = 0.16 if is_slow else 0.1
                tell(router, endpoint, pace if is_slow else pace and 100.0, took_s)
        factors = [router.view_by_id[r.node_id].pace.factor(1e9) for r in records]
        assert set(factors) == {1.0}
        now = context.clock.now
        view = router.view_by_id["e0"]
        costs.append(view.slowdown * view.pace.factor(now))
    assert abs(costs[0] - costs[1]) < 1e-9, costs
