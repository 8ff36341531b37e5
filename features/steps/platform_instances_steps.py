import io
import itertools
import json

from behave import given, then, when

from comfreytray.common.records import Endpoint, EndpointState, LocalUpstream
from comfreytray.membership.heartbeats import Heartbeat, InstanceRegister, Receipt
from comfreytray.platform.interfaces import Heartbeats, Readiness
from comfreytray.testing import FakeClock

UPSTREAM = ("10.1.0.35", 8147)
PLAIN = {
    "service": "s",
    "address": "10.1.0.35:8147",
    "zone": "a",
    "version": "v1",
    "slots": 6,
    "state": "ready",
    "cold_remaining_s": 0,
    "sequence": 4,
    "born": 1000,
}


def _register(clock=None):
    return InstanceRegister(
        clock=clock or FakeClock(), heartbeat_s=1.5, on_change=lambda endpoint: None
    )


def _heartbeat(started_ms, sequence, state, instance_id="i"):
    endpoint = Endpoint(
        service="s", instance_id=instance_id, slots=2, connections=4, state=state
    )
    upstream = LocalUpstream(host="127.0.0.1", port=1, endpoint=endpoint)
    return Heartbeat(upstream=upstream, started_ms=started_ms, sequence=sequence)


READY, DRAINING = EndpointState.READY, EndpointState.DRAINING


@given("a register that hears an instance start, drain, end and start again")
def make_messages(context):
    context.messages = [
        ("beat", _heartbeat(1, 1, READY)),
        ("beat", _heartbeat(1, 2, DRAINING)),
        ("leave", ("i", 1)),
        ("beat", _heartbeat(2, 1, READY)),
    ]


@when("heartbeats and departures come late, twice and out of order")
def hear_orders(context):
    context.faults = []
    messages = context.messages * 2
    for order in set(itertools.permutations(range(len(messages)), 5)):
        register = _register()
        heard = []
        for number in order:
            kind, message = messages[number]
            heard.append((kind, message))
            if kind == "beat":
                register.receive(message)
            else:
                register.leave(*message)
            context.faults.extend(_fault(register, heard))


def _fault(register, heard):
    newest = max(
        (m.started_ms for kind, m in heard if kind == "beat"),
        default=0,
    )
    upstream = register.upstream
    takes = upstream is not None and upstream.endpoint.state is READY
    drained = any(
        kind == "beat" and m.started_ms == 1 and m.sequence == 2 for kind, m in heard
    )
    if takes and newest == 1 and drained:
        yield heard
    if newest == 2 and not takes:
        yield heard


@then("only the newest lifetime counts and one that left never takes calls again")
def check_orders(context):
    assert not context.faults, context.faults[0]
    register = _register()
    register.receive(_heartbeat(1, 1, READY))
    assert register.leave("i", None) is Receipt.ACCEPTED
    register.receive(_heartbeat(1, 9, READY))
    assert register.upstream is None
    assert register.leave("other", None) is Receipt.STALE


@given("an instance that drains while its node restarts")
def make_restarted(context):
    context.register = _register()


@when("the node hears nothing, then a draining heartbeat")
def hear_draining(context):
    context.seen = [context.register.upstream]
    context.register.receive(_heartbeat(1, 8, DRAINING))
    context.seen.append(context.register.upstream)


@then("it takes no call at any moment")
def check_restarted(context):
    before, after = context.seen
    assert before is None and after.endpoint.state is DRAINING


@given("a node that hears nothing of an instance but that it leaves")
def make_departed(context):
    context.register = _register()
    assert context.register.leave("i", 5) is Receipt.ACCEPTED


@when("heartbeats from before the departure come late and the instance starts anew")
def hear_late(context):
    context.seen = []
    for heartbeat in (
        _heartbeat(5, 7, READY),
        _heartbeat(4, 9, READY),
        _heartbeat(6, 1, READY),
    ):
        context.register.receive(heartbeat)
        context.seen.append(context.register.upstream)


@then("the late ones bring no calls and the new start does")
def check_departed(context):
    *late, new = context.seen
    assert late == [None, None], late
    assert new is not None and new.endpoint.state is READY


@given("the control address of a node")
def make_control(context):
    context.register = _register()
    context.app = Heartbeats(register=context.register, service="s", upstream=UPSTREAM)
    assert _ask(context.app, "PUT", "/-/instances/i", PLAIN) == 200


def _ask(app, method, path, body=None):
    data = body if isinstance(body, bytes) else json.dumps(body).encode()
    statuses = []
    environ = {
        "REQUEST_METHOD": method,
        "PATH_INFO": path,
        "wsgi.input": io.BytesIO(data if body is not None else b""),
    }
    list(app(environ, lambda status, headers: statuses.append(status)))
    return int(statuses[0].split(" ")[0])


@when("heartbeats come with fields missing, of other types, and unreadable")
def hear_others(context):
    bodies = [{k: v for k, v in PLAIN.items() if k != name} for name in PLAIN]
    optional = {"zone", "version", "cold_remaining_s"}
    bodies = [b for b in bodies if set(PLAIN) - set(b) - optional]
    bodies += [{**PLAIN, name: [1]} for name in set(PLAIN) - {"zone", "version"}]
    bodies += [{**PLAIN, "slots": True}, {**PLAIN, "slots": 0}]
    bodies += [{**PLAIN, "state": "odd"}, {**PLAIN, "service": "other"}]
    bodies += [{**PLAIN, "address": "10.9.9.9:1"}, {**PLAIN, "born": 1.5}]
    bodies += [b"\xff\xfe", b"[]", b"{" * 4000, b"x" * 9000]
    context.statuses = [
        _ask(context.app, "PUT", "/-/instances/i", body) for body in bodies
    ]


@then("each is refused and the instance that is known stays")
def check_others(context):
    assert set(context.statuses) == {400}, context.statuses
    assert context.register.upstream.endpoint.instance_id == "i"


@when("the platform asks whether the node is ready and an instance says that it leaves")
def ask_ready(context):
    states = [False, True]
    ready = Readiness(is_ready=lambda: states.pop(0))
    context.ready = [_ask(ready, "GET", "/-/ready") for _ in range(2)]
    context.left = _ask(context.app, "DELETE", "/-/instances/i")


@then("ready follows the node and the departure is confirmed")
def check_ready(context):
    assert context.ready == [503, 200]
    assert context.left == 200 and context.register.upstream is None
