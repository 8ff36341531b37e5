import itertools

import eventlet
from behave import given, then, when
from calls_rig import CRASH, Fleet, answer, count_runs, field_of, until

from comfreytray.calls.dialect import NATIVE
from comfreytray.platform.headers import DIALECT

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
