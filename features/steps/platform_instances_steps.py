import io
import itertools
import json

from behave import given, then, when

from comfreytray.common.interfaces import StoredObject
from comfreytray.common.records import Departure, Endpoint, EndpointState, LocalUpstream
from comfreytray.membership.directory import Directory, encode
from comfreytray.membership.heartbeats import Heartbeat, InstanceRegister, Receipt
from comfreytray.node.noderecord import RecordSource
from comfreytray.node.options import NodeOptions
from comfreytray.platform.interfaces import Heartbeats, Readiness
from comfreytray.testing import FakeClock

UPSTREAM = ("10.1.0.35", 8147)
HEARTBEAT = {
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


def _register(clock=None, on_change=lambda endpoint: None, **options):
    return InstanceRegister(
        clock=clock or FakeClock(), heartbeat_s=1.5, on_change=on_change, **options
    )


def _heartbeats_app(register, store=lambda departure: True):
    return Heartbeats(register=register, service="s", upstream=UPSTREAM, store=store)


def _heartbeat(started_ms, sequence, state, instance_id="i"):
    endpoint = Endpoint(
        service="s", instance_id=instance_id, slots=2, connections=4, state=state
    )
    upstream = LocalUpstream(host="127.0.0.1", port=1, endpoint=endpoint)
    return Heartbeat(upstream=upstream, started_ms=started_ms, sequence=sequence)


READY, DRAINING = EndpointState.READY, EndpointState.DRAINING


@given("the messages of an instance that starts, drains, leaves and starts again")
def make_messages(context):
    context.messages = [
        ("beat", _heartbeat(1, 1, READY)),
        ("beat", _heartbeat(1, 2, DRAINING)),
        ("leave", ("i", 1)),
        ("beat", _heartbeat(2, 1, READY)),
    ]


@when("they arrive late, repeated and out of order")
def receive_in_orders(context):
    context.violations = []
    messages = context.messages * 2
    for order in set(itertools.permutations(range(len(messages)), 5)):
        register = _register()
        received = []
        for number in order:
            kind, message = messages[number]
            received.append((kind, message))
            if kind == "beat":
                register.receive(message)
            else:
                register.leave(*message)
            context.violations.extend(_violations(register, received))


def _violations(register, received):
    newest = max(
        (m.started_ms for kind, m in received if kind == "beat"),
        default=0,
    )
    upstream = register.upstream
    takes = upstream is not None and upstream.endpoint.state is READY
    drained = any(
        kind == "beat" and m.started_ms == 1 and m.sequence == 2 for kind, m in received
    )
    if takes and newest == 1 and drained:
        yield received
    if newest == 2 and not takes:
        yield received


@then("only the newest lifetime counts and one that left never gets calls again")
def check_orders(context):
    assert not context.violations, context.violations[0]
    register = _register()
    register.receive(_heartbeat(1, 1, READY))
    assert register.leave("i", None) is Receipt.ACCEPTED
    register.receive(_heartbeat(1, 9, READY))
    assert register.upstream is None
    assert register.leave("other", None) is Receipt.ACCEPTED
    register.receive(_heartbeat(2, 1, READY, instance_id="other"))
    assert register.upstream is None


@given("an instance that drains while its node restarts")
def make_restarted(context):
    context.register = _register()


@when("the node first receives nothing and then a draining heartbeat")
def receive_draining(context):
    context.seen = [context.register.upstream]
    context.register.receive(_heartbeat(1, 8, DRAINING))
    context.seen.append(context.register.upstream)


@then("the instance accepts no calls at any time")
def check_restarted(context):
    before, after = context.seen
    assert before is None and after.endpoint.state is DRAINING


@given("a node that has received only the departure of an instance")
def make_departed(context):
    context.register = _register()
    assert context.register.leave("i", 5) is Receipt.ACCEPTED


@when("heartbeats from before the departure arrive and the instance starts again")
def receive_late(context):
    context.seen = []
    for heartbeat in (
        _heartbeat(5, 7, READY),
        _heartbeat(4, 9, READY),
        _heartbeat(6, 1, READY),
    ):
        context.register.receive(heartbeat)
        context.seen.append(context.register.upstream)


@then("only the heartbeat of the new start lets the instance accept calls")
def check_departed(context):
    *late, new = context.seen
    assert late == [None, None], late
    assert new is not None and new.endpoint.state is READY


@given("nodes that hold no instance, an earlier instance or a lapsed one")
def make_nodes(context):
    context.clock = FakeClock()
    context.expected_ids = [None, "another", None]
    context.registers = [_register(context.clock) for _ in range(3)]
    _, after_another, after_lapse = context.registers
    after_another.receive(_heartbeat(1, 1, READY, instance_id="another"))
    after_lapse.receive(_heartbeat(1000, 2, READY))
    after_lapse.replaced("i")


@when(
    "a departure without a start time is acknowledged and an earlier heartbeat arrives"
)
def acknowledge_departures(context):
    context.late, context.restarted = [], []
    apps = [_heartbeats_app(register) for register in context.registers]
    for app in apps:
        assert _ask(app, "DELETE", "/-/instances/i") == 200
    context.clock.now += 3.0
    for app, register in zip(apps, context.registers, strict=True):
        assert _ask(app, "PUT", "/-/instances/i", HEARTBEAT) == 200
        context.late.append(register.upstream)
    started_ms = int(context.clock.wall() * 1000)
    restart = {**HEARTBEAT, "sequence": 1, "born": started_ms}
    for app, register in zip(apps, context.registers, strict=True):
        assert _ask(app, "PUT", "/-/instances/i", restart) == 200
        context.restarted.append(register.upstream)


@then("the instance accepts no calls until it has started again")
def check_after_departures(context):
    ids = [up and up.endpoint.instance_id for up in context.late]
    assert ids == context.expected_ids, ids
    assert all(up.endpoint.instance_id == "i" for up in context.restarted)
    assert all(up.endpoint.state is READY for up in context.restarted)


@given("records of nodes that stopped after their instance had left in several ways")
def make_records(context):
    context.records = []
    for leave in (
        lambda register: register.receive(_heartbeat(1000, 5, DRAINING)),
        lambda register: register.leave("i", None),
        lambda register: register.leave("i", 1000),
    ):
        register = _register()
        source = _record_source(register, incarnation=1)
        register.receive(_heartbeat(1000, 3, READY))
        leave(register)
        context.records.append(source.current())
    register = _register()
    register.leave("i", None)
    context.records.append(_record_source(register, incarnation=1).current())
    context.expected_ids = [None] * 8


def _record_source(register, incarnation):
    options = NodeOptions(
        node_id="n",
        region="r",
        data_centre="d",
        host="127.0.0.1",
        upstream=UPSTREAM,
        call_port=1,
        replication_port=2,
        http_address=("127.0.0.1", 3),
        service="s",
        heartbeat_s=1.5,
        grace_s=6.0,
        retries=None,
        freshness=None,
        capacity=86,
    )
    return RecordSource(options=options, register=register, incarnation=incarnation)


@when("the nodes start again and a heartbeat from before arrives, early or late")
def restart_nodes(context):
    context.late, context.restarted = [], []
    for record, is_early in itertools.product(context.records, (True, False)):
        register = _register(hidden=True)
        directory = Directory(
            clock=FakeClock(),
            on_earlier_self=lambda stored, held=register: held.restore(
                stored.departure
            ),
        )
        directory.put(_record_source(register, incarnation=2).current())
        if is_early:
            register.receive(_heartbeat(1000, 4, READY))
        assert register.upstream is None
        stored = StoredObject(key="members/n", value=encode(record), version=7)
        directory.apply([stored])
        register.show()
        register.receive(_heartbeat(1000, 4, READY))
        context.late.append(register.upstream)
        register.receive(_heartbeat(2_000_000, 1, READY))
        context.restarted.append(register.upstream)


@given("an instance that says in an answer that it leaves")
def make_draining(context):
    context.register = _register()
    context.register.drain("i")
    context.register.receive(_heartbeat(1, 1, READY))
    context.register.drain("another")
    assert context.register.upstream.endpoint.state is READY
    context.register.drain("i")


@when("a heartbeat that says ready arrives afterwards")
def receive_ready(context):
    context.register.receive(_heartbeat(1, 2, READY))


@then("the instance stays draining and the node's next start will know")
def check_draining(context):
    assert context.register.upstream.endpoint.state is DRAINING
    assert context.register.departure == Departure(instance_id="i", before_ms=2)


@given("the control address of a node")
def make_control(context):
    context.register = _register()
    context.app = _heartbeats_app(context.register)
    assert _ask(context.app, "PUT", "/-/instances/i", HEARTBEAT) == 200


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


@when("heartbeats arrive that lack fields, have wrong types or are unreadable")
def receive_malformed(context):
    bodies = [{k: v for k, v in HEARTBEAT.items() if k != name} for name in HEARTBEAT]
    optional = {"zone", "version", "cold_remaining_s"}
    bodies = [b for b in bodies if set(HEARTBEAT) - set(b) - optional]
    bodies += [
        {**HEARTBEAT, name: [1]} for name in set(HEARTBEAT) - {"zone", "version"}
    ]
    bodies += [{**HEARTBEAT, "slots": True}, {**HEARTBEAT, "slots": 0}]
    bodies += [{**HEARTBEAT, "state": "odd"}, {**HEARTBEAT, "service": "other"}]
    bodies += [{**HEARTBEAT, "address": "10.9.9.9:1"}, {**HEARTBEAT, "born": 1.5}]
    bodies += [b"\xff\xfe", b"[]", b"{" * 4000, b"x" * 9000]
    context.statuses = [
        _ask(context.app, "PUT", "/-/instances/i", body) for body in bodies
    ]


@then("each is refused and the known instance is kept")
def check_malformed(context):
    assert set(context.statuses) == {400}, context.statuses
    assert context.register.upstream.endpoint.instance_id == "i"


@when("the platform asks for readiness and an instance reports its departure")
def ask_ready(context):
    states = [False, True]
    ready = Readiness(is_ready=lambda: states.pop(0))
    context.ready = [_ask(ready, "GET", "/-/ready") for _ in range(2)]
    context.left = _ask(context.app, "DELETE", "/-/instances/i")


@then("the readiness is the node's and the departure is confirmed")
def check_ready(context):
    assert context.ready == [503, 200]
    assert context.left == 200 and context.register.upstream is None
