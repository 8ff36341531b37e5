import itertools
import json
import random

import eventlet
from attrs import evolve
from behave import given, then, when
from calls_rig import (
    CRASH,
    RESET,
    Fleet,
    add_fleet,
    answer,
    count_runs,
    field_of,
    make_call,
    until,
)
from samples import node_record

from comfreytray.calls import notices
from comfreytray.calls.call import MAX_BODY_BYTES, Reply, fail
from comfreytray.calls.dialect import NATIVE
from comfreytray.calls.fingerprints import MAX_LABEL_CHARACTERS
from comfreytray.calls.guard import Guard
from comfreytray.calls.holdrecords import HoldRecords
from comfreytray.calls.instanceends import EndedInstance
from comfreytray.calls.notices import InstanceEnd, Released
from comfreytray.calls.noticesender import QUEUE_S, NoticeSender
from comfreytray.calls.peercalls import PeerCalls
from comfreytray.calls.quarantine import MAX_ENDS, Quarantine, Verdict
from comfreytray.common.budgets import Backoff
from comfreytray.common.clock import SystemClock
from comfreytray.common.errors import Kind
from comfreytray.common.metrics import Metrics
from comfreytray.common.records import MembershipView
from comfreytray.platform.headers import DIALECT
from comfreytray.testing import FakeClock, MemoryStore

NODE_IDS = ("a", "b", "c", "d")
DEADLY = "/deadly"
GAP_S = 0.05
CRASH_AFTER_S = 0.02
DIALECT_BY_INTERFACE = {"its own interface": NATIVE, "the users' platform": DIALECT}


def _script(head, body):
    eventlet.sleep(CRASH_AFTER_S)
    if head.split(b" ")[1].startswith(DEADLY.encode()):
        yield CRASH
        return
    call_id = field_of(head, "X-Attempt-Id") or ""
    yield answer(200, b"ok", "X-Response-Seal: s", f"X-Attempt-Id: {call_id}")


def _make_fleet(context, **options):
    context.fleet = Fleet(**options)
    context.add_cleanup(context.fleet.__exit__)
    context.numbers = itertools.count()
    for node_id in NODE_IDS:
        context.fleet.add(node_id, script=_script)


def _call(context, node_id, target, method="GET"):
    call_id = f"call-{next(context.numbers)}"
    fields = [f"X-Attempt-Id: {call_id}"]
    return context.fleet.call(node_id, method, target, b"", fields)


def _crashes(context):
    return sum(u.crashes for u in context.fleet.upstream_by_id.values())


@given("four nodes on {interface}, beside instances that end under one request")
def make_nodes(context, interface):
    _make_fleet(context, dialect=DIALECT_BY_INTERFACE[interface])


@when("it comes at one node after the other until three instances have ended")
def send_until_third(context):
    nodes = itertools.cycle(NODE_IDS)
    while _crashes(context) < 3:
        _call(context, next(nodes), DEADLY)
        eventlet.sleep(GAP_S)


@when("it comes 24 times more, from a second later on")
def send_more(context):
    eventlet.sleep(1.0)
    context.runs_before = count_runs(context.fleet, DEADLY)
    context.answers = []
    for node_id in itertools.islice(itertools.cycle(NODE_IDS), 24):
        context.answers.append(_call(context, node_id, DEADLY))
        eventlet.sleep(GAP_S)


@then("it reaches instances at most three times more")
def check_runs(context):
    more = count_runs(context.fleet, DEADLY) - context.runs_before
    assert more <= 3, f"sent {more} times more"


@then("other requests are answered at each node")
def check_others(context):
    upstreams = context.fleet.upstream_by_id.values()
    assert until(lambda: all(u.is_listening() for u in upstreams))
    for node_id in NODE_IDS:
        got = _call(context, node_id, "/fine")
        assert got.status == 200, (node_id, got.status, got.kind)


def _restart(context, node_id):
    """Start a node anew beside its instance: it has forgotten all."""
    fleet = context.fleet
    old = fleet.path_by_id[node_id]
    port = fleet.upstream_by_id[node_id].port
    incarnation = fleet.record_by_id[node_id].incarnation + 1
    old.__exit__(None, None, None)
    upstream = fleet.upstream_by_id[node_id]
    path = fleet.add(node_id, upstream_port=port)
    fleet.upstream_by_id[node_id].close()
    fleet.upstream_by_id[node_id] = upstream
    fleet.record_by_id[node_id] = evolve(
        fleet.record_by_id[node_id], incarnation=incarnation
    )
    if hasattr(context, "store"):
        _keep_holds(context, node_id)
    return path


@when("one node starts anew")
def restart_one(context):
    context.restarted = _restart(context, "b")


@then("that node refuses the request within a second, and sends it to no instance")
def check_restarted(context):
    quarantine = context.restarted.guard.quarantine
    assert until(lambda: quarantine.holds, wait_s=1.0)
    context.runs_before = count_runs(context.fleet, DEADLY)
    got = _call(context, "b", DEADLY)
    assert (got.status, got.kind, got.ran) == (422, "request-held", "no")
    assert count_runs(context.fleet, DEADLY) == context.runs_before


def _keep_holds(context, node_id):
    records = HoldRecords(
        store=context.store,
        prefix="held/",
        guard=context.fleet.path_by_id[node_id].guard,
        clock=context.fleet.clock,
        backoff=Backoff(random=random.Random(1), min_s=0.01, max_s=0.05),
    )
    assert records.load() or context.store.down
    context.records[node_id] = records
    context.fleet.greenlets.append(eventlet.spawn(records.run))


@given(
    "four nodes that keep holds in one store, "
    "beside instances that end under one request"
)
def make_storing(context):
    _make_fleet(context)
    context.store, context.records = MemoryStore(), {}
    for node_id in NODE_IDS:
        _keep_holds(context, node_id)


def _stored(context):
    return [key for key in context.store.object_by_key if key.startswith("held/")]


@when("the holds are stored and all nodes start anew")
def restart_all(context):
    assert until(lambda: _stored(context))
    for node_id in NODE_IDS:
        _restart(context, node_id)
    context.runs_before = count_runs(context.fleet, DEADLY)
    for node_id in NODE_IDS:
        _call(context, node_id, DEADLY)


@then("it reaches no instance any more")
def check_none(context):
    assert count_runs(context.fleet, DEADLY) == context.runs_before


@when("the holds are stored and an operator sets the record to released")
def release_in_store(context):
    assert until(lambda: _stored(context))
    (key,) = _stored(context)
    stored = context.store.get(key)
    plain = {**json.loads(stored.value), "released": True}
    changed = context.store.put(
        key, json.dumps(plain).encode(), expected_version=stored.version
    )
    for records in context.records.values():
        records.apply([changed])


@then("the request is free at each node, also after all start anew")
def check_released(context):
    for node_id in NODE_IDS:
        assert not context.fleet.path_by_id[node_id].guard.quarantine.holds, node_id
    for node_id in NODE_IDS:
        path = _restart(context, node_id)
        assert not path.guard.quarantine.holds, node_id


@when("the store is away until three instances have ended")
def store_away(context):
    context.store.down = True
    send_until_third(context)
    quarantines = [p.guard.quarantine for p in context.fleet.path_by_id.values()]
    assert until(lambda: all(q.holds for q in quarantines))
    eventlet.sleep(0.2)
    context.store.down = False


@then("the hold is stored after its return, in one record")
def check_stored(context):
    assert until(lambda: len(_stored(context)) == 1)


@when("40 other requests are under way as an instance ends")
def send_beside(context):
    calls = []
    for number in range(40):
        node_id = NODE_IDS[number % 4]
        calls.append(eventlet.spawn(_call, context, node_id, f"/fine{number}"))
        if number == 20:
            eventlet.spawn(_call, context, "a", DEADLY)
        eventlet.sleep(0.002)
    context.answers = [call.wait() for call in calls]
    assert until(lambda: _crashes(context) > 0)


@then("each of their callers is answered")
def check_answered(context):
    got = [(answer.status, answer.kind) for answer in context.answers]
    assert all(status == 200 for status, _ in got), got


@then("no request but the deadly one is held back or waits")
def check_free(context):
    for path in context.fleet.path_by_id.values():
        for hold in path.guard.report():
            assert hold["label"].endswith(DEADLY), hold
        for number in range(40):
            call = make_call(target=f"/fine{number}", host="canhdieu.test")
            verdict = path.guard.verdict(call)
            assert verdict in (Verdict.FREE, Verdict.ISOLATED), (number, verdict)


@when(
    "the instances are killed one after the other while callers send the same request"
)
def kill_in_turn(context):
    context.unserved = 0
    stop = []

    def send(node_id):
        while not stop:
            if _call(context, node_id, "/common").status != 200:
                context.unserved += 1
            eventlet.sleep(0.01)

    callers = [eventlet.spawn(send, node_id) for node_id in NODE_IDS for _ in range(3)]
    for upstream in context.fleet.upstream_by_id.values():
        eventlet.sleep(0.2)
        upstream.crash()
    eventlet.sleep(0.5)
    stop.append(True)
    for caller in callers:
        caller.wait()


@then("each call that did not run to its end is answered when it is sent again")
def check_again(context):
    for node_id in NODE_IDS:
        statuses = []

        def is_served(node_id=node_id, statuses=statuses):
            statuses.append(_call(context, node_id, "/common").status)
            return statuses[-1] == 200

        assert until(is_served, wait_s=1.0), (node_id, statuses)


@then("no request is held back at any node")
def check_no_holds(context):
    for path in context.fleet.path_by_id.values():
        assert not path.guard.quarantine.holds, path.guard.report()


@given("a node beside an instance that resets the connection of each second request")
def make_resetting(context):
    numbers = itertools.count()

    def script(head, body):
        return [RESET] if next(numbers) % 2 else answer(200, b"ok")

    add_fleet(context, ["a"], script)
    context.numbers = itertools.count()


@when("20 requests are sent")
def send_twenty(context):
    for number in range(20):
        _call(context, "a", f"/x{number}", method="POST")


@then("no end of the instance is recorded")
def check_no_end(context):
    assert context.fleet.path_by_id["a"].guard.quarantine.is_empty


@given("an owner at which one suspected request runs in isolation")
def make_guard(context):
    context.clock = SystemClock()
    context.guard = Guard(
        node_id=lambda: "a",
        clock=context.clock,
        metrics=Metrics(),
        publish=lambda _: None,
    )
    context.suspects = [make_call(target=f"/{n}") for n in range(3)]
    ended = EndedInstance(instance_id="i", calls=tuple(context.suspects))
    context.guard.record_end(ended)
    context.permit = context.guard.admit(context.suspects[0])
    assert context.permit.is_isolated


@when("another one waits and its caller hangs up, and a third one waits")
def wait_in_isolation(context):
    second = eventlet.spawn(context.guard.admit, context.suspects[1])
    eventlet.sleep(0.01)
    second.kill()
    context.third = eventlet.spawn(context.guard.admit, context.suspects[2])
    eventlet.sleep(0.01)
    assert not context.third.dead


@then("the third one runs once the first one is answered")
def check_third(context):
    context.guard.record_answer(context.permit, context.suspects[0])
    context.permit.end()
    context.permit.end()
    assert context.third.wait().is_isolated


class FakeClient:
    """Delivers notices at once, except to nodes that can't be reached."""

    def __init__(self):
        self.unreachable = {"c"}
        self.sizes = []
        self.got_by_id = {}

    def call(self, record, call):
        if record.node_id in self.unreachable:
            return fail(Kind.NODE_UNREACHABLE)
        self.sizes.append(len(call.body))
        self.got_by_id.setdefault(record.node_id, []).extend(notices.decode(call.body))
        return Reply(status=204, reason="", headers=())


@given("a sender of notices to three nodes, one of which can't be reached")
def make_sender(context):
    context.clock, context.client = FakeClock(), FakeClient()
    context.view = MembershipView(by_id={n: node_record(n) for n in NODE_IDS})
    context.quarantine = Quarantine(clock=context.clock)
    context.sender = NoticeSender(
        node=lambda: context.view.by_id["a"],
        members=lambda: context.view,
        peers=PeerCalls(client=context.client, clock=context.clock),
        clock=context.clock,
        quarantine=lambda: context.quarantine,
        learn=lambda _: None,
    )


def _step_for(context, seconds):
    for _ in range(int(seconds / 0.25)):
        context.sender.step()
        eventlet.sleep(0)
        context.clock.now += 0.25


@when("two notices are published and that node can be reached after 60 s")
def publish_two(context):
    context.sender.step()
    context.published = [
        Released(request=bytes([n]) * 16, generation=1) for n in (1, 2)
    ]
    context.sender.publish(tuple(context.published))
    _step_for(context, 60.0)
    context.client.unreachable.clear()
    _step_for(context, 2.0)


@then("it gets both within 2 s, and the others got them once")
def check_both(context):
    assert context.client.got_by_id == {n: context.published for n in "bcd"}


@when("a node starts anew")
def restart_peer(context):
    context.quarantine.learn(context.published[0])
    context.client.got_by_id.clear()
    by_id = {**context.view.by_id, "b": node_record("b", incarnation=2)}
    context.view = MembershipView(by_id=by_id)
    _step_for(context, 0.5)


@then("it is told all that is known")
def check_told(context):
    assert context.client.got_by_id["b"] == [context.published[0]]


@given("a service whose runs make a deadly call to another service of three instances")
def make_nested(context):
    def run_parent(head, body):
        nested = _call(context, "a", DEADLY)
        return answer(200 if nested.status == 200 else 500, b"")

    context.fleet = Fleet()
    context.add_cleanup(context.fleet.__exit__)
    context.numbers = itertools.count()
    context.fleet.add("a", script=run_parent)
    for node_id in ("b", "c", "d"):
        context.fleet.add(node_id, script=_script, service="antoan")
    (plain,) = context.fleet.routes
    nested = evolve(plain, name="nested", path=DEADLY, service="antoan")
    context.fleet.routes = (nested, plain)


@when("12 different requests run there, one after the other")
def run_parents(context):
    for number in range(12):
        _call(context, "a", f"/parent{number}", method="POST")
        eventlet.sleep(0.6)


@then("the deadly call is held back after three ends")
def check_nested_held(context):
    (held,) = context.fleet.path_by_id["a"].guard.report()
    assert held["label"] == f"GET canhdieu.test{DEADLY}", held
    assert held["ends"] == 3, held


@then("no request of the first service is suspected, and its instance lives")
def check_parents(context):
    assert context.fleet.upstream_by_id["a"].crashes == 0
    assert len(context.fleet.upstream_by_id["a"].ran) == 12
    for number in range(12):
        call = make_call(target=f"/parent{number}", host="canhdieu.test")
        call.method = "POST"
        verdict = context.fleet.path_by_id["a"].guard.verdict(call)
        assert verdict is Verdict.FREE, number


@when("a node can't be reached for longer than notices are kept")
def lose_peer(context):
    context.client.unreachable.add("c")
    context.sender.publish((context.published[1],))
    _step_for(context, QUEUE_S)
    assert "c" not in context.client.got_by_id


@then("none is kept for it any more")
def check_not_kept(context):
    context.client.unreachable.clear()
    _step_for(context, 5.0)
    assert context.published[1] not in context.client.got_by_id.get("c", [])


@when("a notice is published just as another one is on its way")
def publish_during_send(context):
    context.client.got_by_id.clear()
    context.late = [Released(request=bytes([n]) * 16, generation=1) for n in (3, 4)]
    context.sender.publish((context.late[0],))
    context.sender.step()
    context.sender.publish((context.late[1],))
    _step_for(context, 1.0)


@then("both arrive")
def check_late(context):
    assert context.client.got_by_id == {n: context.late for n in "bcd"}


@when("as many ends and holds are known as are kept, of the largest size")
def fill_quarantine(context):
    label = "x" * MAX_LABEL_CHARACTERS
    numbers = itertools.count()
    for number in range(MAX_ENDS):
        requests = [next(numbers).to_bytes(16, "big") for _ in range(64)]
        label_by_request = {request: label for request in requests}
        end = InstanceEnd(end_id=f"{number}", label_by_request=label_by_request)
        context.quarantine.learn(end)
    context.known = context.quarantine.notices()


@then("a node that starts anew is told all of it, in messages of at most 1 MB")
def check_sizes(context):
    restart = {**context.view.by_id, "b": node_record("b", incarnation=2)}
    context.view = MembershipView(by_id=restart)
    _step_for(context, 1.0)
    assert context.client.got_by_id["b"] == list(context.known)
    assert max(context.client.sizes) <= MAX_BODY_BYTES, max(context.client.sizes)
