# Answers that their callers don't take, or whose turn has not come.

import random
import socket as plain_socket

import eventlet
from behave import given, then, when
from calls_endless_steps import DEADLINE_MS, _call, _memory_mb
from calls_rig import WAIT_S, Fleet, answer, read_answer, until
from eventlet.green import socket

from comfreytray.calls.outbox import Outbox
from comfreytray.calls.pipelines import DropReason, Pipeline
from comfreytray.calls.transitmemory import ANSWERS_SHED, TransitMemory
from standins.endless_upstream import WHOLE_BYTES

PIPELINED_ENDLESS = 2
CALLER_BUFFER_BYTES = 16_384
LARGE_BYTES = 8_000_000
LIMIT_BYTES = 2_000_000
CHUNK = b"10000\r\n" + b"x" * 65_536 + b"\r\n"
HOST = "Host: canhdieu.test\r\n"


def _lookup(target, *, deadline_ms=None, attempt="own"):
    line = "" if deadline_ms is None else f"X-Deadline-Ms: {deadline_ms}\r\n"
    head = f"GET {target} HTTP/1.1\r\n{HOST}X-Attempt-Id: {attempt}\r\n{line}\r\n"
    return head.encode()


@given("another node without it")
def add_other_node(context):
    context.fleet.add("other", service="elsewhere")


def _node(context, beside):
    return "a" if beside == "same" else "other"


@when(
    "a caller of the {beside} node sends a late lookup and two with {kind} without end"
)
def send_ahead(context, beside, kind):
    assert _call(context, "/warm").status == 200
    context.node = _node(context, beside)
    context.memory_mb = _memory_mb()
    data = _lookup("/late")
    for number in range(PIPELINED_ENDLESS):
        data += _lookup(
            f"/{kind}/fast", deadline_ms=2 * DEADLINE_MS, attempt=f"own-{number}"
        )
    # One slot of four stays free for the other calls.
    context.socks = [context.fleet.raw(context.node, data)]
    context.others = []
    for _ in range(5):
        eventlet.sleep(0.2)
        context.others.append(_call(context, "/other"))
    context.after, context.hangs = _call(context, "/after"), []


def _memories(context):
    return [path.answer_memory for path in context.fleet.path_by_id.values()]


@then("it holds nothing more once the callers have left")
def check_given_back(context):
    for sock in context.socks:
        sock.close()
    assert until(lambda: all(m.held_bytes == 0 for m in _memories(context))), [
        memory.held_bytes for memory in _memories(context)
    ]


@when(
    "a caller of the {beside} node sends a late lookup, one with {kind} without end "
    "and a third"
)
def send_three(context, beside, kind):
    data = _lookup("/late") + _lookup(f"/{kind}/fast", deadline_ms=DEADLINE_MS)
    data += _lookup("/ok", attempt="own-3")
    sock = context.fleet.raw(_node(context, beside), data)
    context.received = b""
    with eventlet.Timeout(WAIT_S):
        while context.received.count(b"HTTP/1.1 ") < 3 or not (
            context.received.endswith(b"ok")
        ):
            part = sock.recv(65536)
            assert part, context.received[-200:]
            context.received += part
    sock.close()


@then("it gets 200, {failure} and 200 on one connection")
def check_three(context, failure):
    heads = context.received.split(b"HTTP/1.1 ")[1:]
    statuses = [head[:3].decode() for head in heads]
    assert len(statuses) == 3, statuses
    first, given_up, third = statuses
    shown = [head[:80] for head in heads]
    assert (first, third) == ("200", "200"), shown
    assert given_up in failure.split(" or "), shown


@when("a caller of the {beside} node sends a late lookup and one of 200 KB for 1 s")
def send_whole(context, beside):
    data = _lookup("/late") + _lookup("/whole", deadline_ms=DEADLINE_MS)
    sock = context.fleet.raw(_node(context, beside), data)
    context.received = b""
    with eventlet.Timeout(WAIT_S):
        while len(context.received) < WHOLE_BYTES:
            part = sock.recv(65536)
            assert part, context.received[-200:]
            context.received += part
    sock.close()


@then("it gets both answers whole on one connection")
def check_whole(context):
    heads = context.received.split(b"HTTP/1.1 ")[1:]
    assert [head[:3] for head in heads] == [b"200", b"200"], [
        head[:80] for head in heads
    ]
    assert context.received.endswith(b"w" * WHOLE_BYTES)


@given("two nodes, of which one has 2 MB for answers")
def make_two(context):
    def script(head, body):
        if head.startswith(b"GET /length"):
            return answer(200, b"x" * LARGE_BYTES)
        if head.startswith(b"GET /small"):
            return answer(200, b"x" * 1000)
        unknown = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        return unknown + 12 * CHUNK + b"0\r\n\r\n"

    context.fleet = Fleet(slots=32, connections=40)
    context.add_cleanup(context.fleet.__exit__)
    context.fleet.add("b", script=script)
    context.fleet.add("other", service="elsewhere")
    context.memory = context.fleet.path_by_id["other"].answer_memory
    context.memory.limit_bytes = LIMIT_BYTES


def _watch(context):
    context.most = 0

    def watch():
        while True:
            context.most = max(context.most, context.memory.held_bytes)
            eventlet.sleep(0)

    greenlet = eventlet.spawn(watch)
    context.add_cleanup(greenlet.kill)


def _ask_without_reading(context, data):
    sock = socket.socket()
    sock.setsockopt(
        plain_socket.SOL_SOCKET, plain_socket.SO_RCVBUF, CALLER_BUFFER_BYTES
    )
    sock.connect(context.fleet.http_by_id["other"])
    sock.sendall(data)
    return sock


@when("24 callers of that node ask for large answers and read nothing")
def ask_for_large(context):
    _watch(context)
    context.socks = [
        _ask_without_reading(context, _lookup("/length")) for _ in range(24)
    ]
    assert until(lambda: context.memory._metrics.count_by_name.get("answers_shed"))
    eventlet.sleep(0.5)


@when("24 callers of HTTP/1.0 of that node ask for answers of unknown length")
def ask_for_unknown(context):
    _watch(context)
    data = f"GET /unknown HTTP/1.0\r\n{HOST}\r\n".encode()
    context.socks = [_ask_without_reading(context, data) for _ in range(24)]
    path = context.fleet.path_by_id["other"]
    assert until(lambda: path.metrics.count_by_name.get("calls", 0) == 24)
    eventlet.sleep(0.5)


@then("it never holds more than 2 MB for them")
def check_limit(context):
    assert 0 < context.most <= LIMIT_BYTES, context.most


@then("a caller that reads gets its answers")
def check_reader(context):
    sock = context.fleet.raw("other", _lookup("/small"))
    got = read_answer(sock)
    assert (got.status, len(got.body)) == (200, 1000), (got.status, got.kind)
    sock.close()


class _Request:
    """The request of an answer that is given up."""

    def left_s(self):
        return 1.0

    def encode_failure(self, failure, *, closes):
        return b"HTTP/1.1 502 answer-cut\r\nContent-Length: 0\r\n\r\n"


@when("a connection closes and then its two pending answers are given up and end")
def give_up_after_close(context):
    context.memory = TransitMemory(purpose="answers")
    pipeline = Pipeline(
        send=lambda _: None,
        memory=context.memory,
        on_idle=lambda: None,
        on_close=lambda: None,
        on_drop=lambda count, reason: None,
    )
    responses = [pipeline.add_response(_Request()) for _ in range(2)]
    responses[1].write(b"part")
    pipeline.close(DropReason.CALLER_LEFT)
    for response in responses:
        response.write(b"late part")
        response.fail(ANSWERS_SHED)
        response.finish(closes_connection=False)


@then("nothing is held for them")
def check_nothing_held(context):
    assert context.memory.held_bytes == 0, context.memory.held_bytes


class _Holder:
    """Holds bytes until they are shed."""

    def __init__(self, memory):
        self.memory = memory
        self.held_bytes = 0
        self.shed_at = []

    def shed(self):
        largest = max(holder.held_bytes for holder in self.memory._holders)
        self.shed_at.append((self.held_bytes, max(largest, self.held_bytes)))
        self.memory.release(self, self.held_bytes)


@when("200 seeded holders take and release bytes at random")
def play_holders(context):
    rng = random.Random(7)
    context.memory = TransitMemory(purpose="answers", limit_bytes=LIMIT_BYTES)
    context.holders = [_Holder(context.memory) for _ in range(200)]
    context.sums = []
    for _ in range(20_000):
        holder = rng.choice(context.holders)
        if rng.random() < 0.7:
            context.memory.hold(holder, rng.randint(0, 65_536))
        else:
            context.memory.release(holder, rng.randint(0, holder.held_bytes))
        held = sum(h.held_bytes for h in context.holders)
        context.sums.append((held, context.memory.held_bytes))


@then("no sum exceeded its limit, and each time the largest was given up")
def check_holders(context):
    assert all(held == counted for held, counted in context.sums)
    assert max(held for held, _ in context.sums) <= LIMIT_BYTES
    shed = [pair for holder in context.holders for pair in holder.shed_at]
    assert shed and all(own == largest for own, largest in shed), len(shed)


@when("frames for 8 peers that read nothing are queued beyond the limit")
def queue_frames(context):
    rng = random.Random(11)
    context.memory = TransitMemory(purpose="outboxes", limit_bytes=LIMIT_BYTES)
    context.boxes = [Outbox(memory=context.memory) for _ in range(8)]
    context.closed, context.most = [], 0

    def close(box):
        others = [b.held_bytes for b in context.boxes if b not in context.closed]
        assert box.held_bytes == max(others), (box.held_bytes, others)
        context.closed.append(box)

    for box in context.boxes:
        box.shed = lambda box=box: close(box)
    while len(context.closed) < 3:
        box = rng.choice([b for b in context.boxes if b not in context.closed])
        box.push(bytes(rng.randint(1, 65_536)))
        context.most = max(context.most, context.memory.held_bytes)


@then("only connections of peers that held most are closed, and the sum is kept")
def check_outboxes(context):
    assert context.most <= LIMIT_BYTES, context.most
    for box in context.boxes:
        box.close()
    assert context.memory.held_bytes == 0, context.memory.held_bytes
