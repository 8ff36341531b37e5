import eventlet
from behave import given, then, when
from calls_rig import make_call, until

from comfreytray.calls import connections
from comfreytray.calls.connections import StreamClient
from comfreytray.calls.liveness import PING_AFTER_S, Check, Liveness
from comfreytray.calls.outbox import MAX_BLOCK_BYTES, Outbox
from comfreytray.calls.ownerstreams import OwnerStreams
from comfreytray.calls.streams import CallStreams
from comfreytray.common.clock import SystemClock
from comfreytray.common.metrics import Metrics
from comfreytray.testing import FakeClock
from features.samples import node_record

PERIOD_S = 0.25
LINK_BYTES_PER_S = 625_000
BYTES_BY_UNIT = {"KB": 1_000, "MB": 1_000_000}


def _bytes(text):
    amount, unit = text.split()
    return int(amount) * BYTES_BY_UNIT[unit]


@given("a connection on which {size} wait for a link of 5 Mbit/s")
def make_waiting(context, size):
    context.clock, context.outbox = FakeClock(), Outbox()
    context.liveness = Liveness(clock=context.clock, outbox=context.outbox)
    context.outbox.push(bytes(_bytes(size)))


@given("a connection on which {size} were sent and none is waiting")
def make_sent(context, size):
    make_waiting(context, size)
    context.outbox.discard_sent(_bytes(size))


@when("the owner answers only what has arrived")
def take_slowly(context):
    context.checks = []
    while context.outbox.size:
        taken = min(context.outbox.size, int(LINK_BYTES_PER_S * PERIOD_S))
        context.outbox.peek()
        context.outbox.discard_sent(taken)
        context.clock.now += PERIOD_S
        context.checks.append(context.liveness.check(has_calls=True))
    context.liveness.receive()
    context.checks.append(context.liveness.check(has_calls=True))


@when("the answer to the ping comes {after:g} s after it")
def answer_late(context, after):
    context.checks = []
    while not context.checks or context.checks[-1] is not Check.PING:
        context.clock.now += PERIOD_S
        context.checks.append(context.liveness.check(has_calls=True))
    for _ in range(int(after / PERIOD_S)):
        context.clock.now += PERIOD_S
        context.checks.append(context.liveness.check(has_calls=True))
    context.liveness.receive()
    context.checks.append(context.liveness.check(has_calls=True))


@when("the owner answers a small call and then nothing for {after:g} s")
def answer_small(context, after):
    context.liveness.check(has_calls=True)
    context.liveness.receive()
    answer_late(context, after - PING_AFTER_S)


@then("the connection is never closed")
def check_kept(context):
    assert Check.CLOSE not in context.checks, context.checks


@when("nothing comes from the owner any more")
def stay_silent(context):
    started = context.clock.now
    while context.liveness.check(has_calls=True) is not Check.CLOSE:
        context.clock.now += PERIOD_S
    context.closed_after_s = context.clock.now - started


@then("the connection is closed after {at:g} s")
def check_closed(context, at):
    assert abs(context.closed_after_s - at) <= PERIOD_S, context.closed_after_s


@given("a connection on which a body waits behind an owner that reads nothing")
def make_blocked(context):
    listener = eventlet.listen(("127.0.0.1", 0))
    context.listener = listener
    context.add_cleanup(listener.close)
    client = StreamClient(own_id="a", clock=SystemClock(), metrics=Metrics())
    context.add_cleanup(client.__exit__, None, None, None)
    context.client = client
    context.record = node_record("b", call_port=listener.getsockname()[1])
    call = make_call(target="/large")
    call.body = bytes(connections.MAX_OUTBOX_BYTES)
    context.first = eventlet.spawn(client.call, context.record, call)
    assert until(
        lambda: client.connections and client.connections[0].streams.stream_by_id
    )
    context.connection = client.connections[0]
    assert until(lambda: context.connection.streams.outbox.sent > 0)


@when("a second call with a short deadline ends before it is sent")
def end_second(context):
    context.second = context.client.call(
        context.record, make_call(target="/small", deadline_s=0.1)
    )


@then("the first call is still open")
def check_open(context):
    assert not context.connection.streams.closed, context.second
    assert len(context.connection.streams.stream_by_id) == 1, context.second
    context.first.kill()


@given("calls that wait behind a body that is being written")
def queue_calls(context):
    context.streams = CallStreams(caller_id="a", expected_id="b")
    body = make_call(target="/large")
    body.body = bytes(2 * MAX_BLOCK_BYTES)
    context.streams.open(body, left_s=5.0)
    context.written = context.streams.outbox.peek()
    context.calls = [
        context.streams.open(make_call(target=f"/{n}"), left_s=5.0) for n in range(6)
    ]


@when("the callers of some of them leave and the rest is written")
def leave_some(context):
    streams, outbox = context.streams, context.streams.outbox
    assert all(streams.cancel(context.calls[n]) for n in (0, 3, 5))
    outbox.discard_sent(len(context.written))
    while outbox.size:
        context.written += outbox.peek()
        outbox.discard_sent(len(outbox.peek()))
    assert outbox.sent == outbox.enqueued


@then("the owner gets the others, in order, and none of those")
def check_received(context):
    opened = OwnerStreams(node_id="b", clock=SystemClock()).receive(context.written)
    targets = [stream.call.target for stream in opened]
    assert targets == ["/large", "/1", "/2", "/4"], targets
    assert all(
        context.streams.outbox.sent >= context.calls[n].end_offset for n in (1, 2, 4)
    )
