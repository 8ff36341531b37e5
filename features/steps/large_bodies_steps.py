"""Limits of the configuration, and request bodies that are streamed."""

import contextlib
import hashlib
import itertools
import json
import random
import socket as plain_socket
import time

import eventlet
from attrs import evolve
from behave import given, then, when
from calls_rig import (
    Fleet,
    add_fleet,
    answer,
    are_slots_free,
    field_of,
    read_answer,
    until,
)

from comfreytray.calls import bodypool, connections, ownerstreams, requestbodies
from comfreytray.calls.dialect import NATIVE
from comfreytray.calls.receiveduploads import ReceivedUpload
from comfreytray.calls.streamuploads import UPLOADS_TOPIC, StreamSink
from comfreytray.calls.streamwriter import shut_down_socket
from comfreytray.calls.uploads import PART_BYTES, UPLOAD_RESERVED_BYTES
from comfreytray.configuration.callerlimits import DEFAULT_CALLER_LIMITS
from comfreytray.platform import callerlimits
from comfreytray.platform.configuration import Decoder
from comfreytray.platform.headers import DIALECT
from standins.body_upstream import BodyUpstream

MIB = 1_048_576
PATTERN_BYTES = 65_521
"""A prime, so that no two parts of a body are alike."""
CHUNK_BYTES = 100_000
FRAME_BYTES = 1024
"""Frames of calls and credits that may wait beside the parts of bodies."""
HOST = b"Host: canhdieu.test\r\n"
LOW = evolve(
    DEFAULT_CALLER_LIMITS,
    max_header_bytes=10_000,
    max_line_bytes=10_000,
    max_body_bytes=1000,
    header_timeout_s=0.3,
    idle_timeout_s=0.4,
)

# Limits


@when("configurations with usual and odd limits are decoded")
def decode_limits(context):
    context.lines = []
    warn = callerlimits.warn
    callerlimits.warn = lambda event, **fields: context.lines.append(fields)
    context.add_cleanup(setattr, callerlimits, "warn", warn)
    usual = {
        "max_header_bytes": 16_384,
        "max_body_bytes": 5000,
        "header_timeout_s": 3,
        "idle_timeout_s": 15.5,
    }
    resource = {"resource_kind": "limits", "metadata": {}, "spec": usual}
    document = {"version": 1, "resources": [resource]}
    context.usual = Decoder()(json.dumps(document).encode()).limits
    without = Decoder()(b'{"version": 1, "resources": []}').limits
    assert without == DEFAULT_CALLER_LIMITS and not context.lines
    context.odd = {}
    for name in usual:
        for value in (0, -1, True, "7", [], float("nan"), float("inf"), 10**400):
            context.odd[name, repr(value)[:9]] = callerlimits.read_limits(
                {**usual, name: value}
            )
    context.not_objects = [callerlimits.read_limits(spec) for spec in (None, [], "x")]


@then("a usual limit is taken, an odd one keeps its default and is logged")
def check_decoded(context):
    usual = context.usual
    assert (usual.max_header_bytes, usual.max_line_bytes) == (16_384, 16_384)
    assert (usual.max_body_bytes, usual.idle_timeout_s) == (5000, 15.5)
    assert usual.header_timeout_s == 3.0
    for (name, value), got in context.odd.items():
        default = getattr(DEFAULT_CALLER_LIMITS, name)
        assert getattr(got, name) == default, (name, value, got)
        expected = evolve(usual, **{name: default})
        if name == "max_header_bytes":
            expected = evolve(
                expected, max_line_bytes=DEFAULT_CALLER_LIMITS.max_line_bytes
            )
        assert got == expected, (name, value, got)
    assert context.not_objects == [DEFAULT_CALLER_LIMITS] * 3
    assert len(context.lines) == len(context.odd) + 3
    beyond = callerlimits.read_limits({"max_body_bytes": 2**40})
    assert beyond.max_body_bytes == callerlimits.MAX_BODY_BYTES


@given("a node whose configuration has low limits")
def make_limited(context):
    def script(head, body):
        if head.startswith(b"GET /slow"):
            eventlet.sleep(2.5 * LOW.idle_timeout_s)
        return answer(200, b"ok")

    add_fleet(context, ["a"], script)
    context.fleet.limits = LOW


def _padded_head(size):
    start = b"GET /x HTTP/1.1\r\n" + HOST + b"A: "
    return start + b"x" * (size - len(start) - 4) + b"\r\n\r\n"


@when("requests at and beyond each limit are made")
def request_at_limits(context):
    post = b"POST /x HTTP/1.1\r\n" + HOST
    requests = {
        "head at limit": _padded_head(10_000),
        "head beyond": _padded_head(10_001),
        "line beyond": b"GET /" + b"x" * 10_001,
        "body at limit": post + b"Content-Length: 1000\r\n\r\n" + b"x" * 1000,
        "body beyond": post + b"Content-Length: 1001\r\n\r\n",
        "chunks at limit": post
        + b"Transfer-Encoding: chunked\r\n\r\n3e8\r\n%s\r\n0\r\n\r\n" % (b"x" * 1000),
        "chunks beyond": post
        + b"Transfer-Encoding: chunked\r\n\r\n3e9\r\n%s\r\n0\r\n\r\n" % (b"x" * 1001),
        "slow line": b"GET /x HT",
        "slow fields": b"GET /x HTTP/1.1\r\nHo",
        # An earlier request of the connection is answered first.
        "slow after another": b"GET /first HTTP/1.1\r\n" + HOST + b"\r\nGET /x HT",
    }
    context.status = {}
    for name, data in requests.items():
        sock = context.fleet.raw("a", data)
        context.status[name] = read_answer(sock).status
        if name == "slow after another":
            context.second_status = read_answer(sock).status
        sock.close()


@then(
    "those at the limits are answered and the others are refused with 413, 431 and 408"
)
def check_limits(context):
    assert context.status == {
        "head at limit": 200,
        "head beyond": 431,
        "line beyond": 431,
        "body at limit": 200,
        "body beyond": 413,
        "chunks at limit": 200,
        "chunks beyond": 413,
        "slow line": 408,
        "slow fields": 408,
        "slow after another": 200,
    }, context.status
    assert context.second_status == 408, context.second_status


@then("an idle connection is closed, but not while an answer is pending on it")
def check_idle(context):
    sock = context.fleet.raw("a", b"")
    with eventlet.Timeout(5 * LOW.idle_timeout_s):
        assert sock.recv(1) == b""
    sock.close()
    sock = context.fleet.raw("a", b"GET /slow HTTP/1.1\r\n" + HOST + b"\r\n")
    assert read_answer(sock).status == 200
    sock.close()


# Streamed bodies


def _native_answer(head):
    return answer(200, b"ok")


def _platform_answer(head):
    call_id = field_of(head, "X-Attempt-Id")
    return answer(200, b"ok", f"X-Attempt-Id: {call_id}", "X-Response-Seal: s")


@given('nodes "a" and "b" with the {name} dialect, and an upstream beside "b"')
def make_nodes(context, name):
    is_native = name == "native"
    context.is_native = is_native
    fleet = context.fleet = Fleet(dialect=NATIVE if is_native else DIALECT)
    context.add_cleanup(fleet.__exit__)
    fleet.limits = evolve(DEFAULT_CALLER_LIMITS, max_body_bytes=64 * MIB)
    answer_to = _native_answer if is_native else _platform_answer
    context.upstream = BodyUpstream(answer_to)
    context.add_cleanup(context.upstream.close)
    fleet.add("a")
    fleet.hidden.add("a")
    fleet.add("b", upstream_port=context.upstream.port)
    context.sent = []
    context.got = []


def _body(size, seed):
    return random.Random(seed).randbytes(PATTERN_BYTES) * (size // PATTERN_BYTES + 1)


def _post(context, length, *lines):
    """Return the head of an upload; without a length of a chunked one."""
    number = next(context.numbers)
    fields = [
        f"POST /{number} HTTP/1.1",
        "Host: canhdieu.test",
        f"X-Attempt-Id: {number}",
        f"Content-Length: {length}" if length else "Transfer-Encoding: chunked",
        *lines,
    ]
    return "\r\n".join([*fields, "", ""]).encode()


def _send(context, entry, size, *lines, chunked=False):
    """Send one body on a connection of its own; return its answer and whether the
    connection was kept for a second request."""
    body = _body(size, len(context.sent))[:size]
    context.sent.append((size, hashlib.blake2b(body).digest()))
    sock = context.fleet.raw(entry, _post(context, None if chunked else size, *lines))
    if chunked:
        for start in range(0, size, CHUNK_BYTES):
            chunk = body[start : start + CHUNK_BYTES]
            sock.sendall(b"%x\r\n%b\r\n" % (len(chunk), chunk))
        sock.sendall(b"0\r\n\r\n")
    else:
        sock.sendall(body)
    got = read_answer(sock)
    if got.status == 200:
        sock.sendall(b"GET /next HTTP/1.1\r\nX-Attempt-Id: n\r\n" + HOST + b"\r\n")
        got.kept = read_answer(sock).status == 200
    sock.close()
    return got


@when('bodies of several sizes are sent to "{entry}", with a length and in chunks')
def send_bodies(context, entry):
    context.numbers = itertools.count()
    for size in (1, MIB, MIB + 1, 2 * MIB, 5 * MIB + 12_345):
        for chunked in (False, True):
            context.got.append(_send(context, entry, size, chunked=chunked))


@then("the upstream has received each body once and whole")
def check_bodies(context):
    assert all(got.status == 200 for got in context.got), [
        (got.status, got.kind) for got in context.got
    ]
    assert all(body.whole for body in context.upstream.bodies)
    received = [
        (body.size, body.digest.digest())
        for body in context.upstream.bodies
        if body.head.startswith(b"POST")
    ]
    assert sorted(received) == sorted(context.sent), (len(received), len(context.sent))


@then("connections of callers are kept, and all memory and slots are free")
def check_free(context):
    assert all(got.kept for got in context.got if got.status == 200 and got.whole)
    fleet = context.fleet
    assert until(lambda: are_slots_free(fleet))
    assert until(lambda: not any(_reserved(path) for path in _paths(context)))


def _paths(context):
    return context.fleet.path_by_id.values()


def _reserved(path):
    return path.body_budget.reserved


class _Held:
    """Counts the bytes of bodies that each node holds, at each change."""

    def __init__(self, context):
        self.context = context
        self.uploads = []
        self.most = 0
        self.excess = []

    def sample(self):
        entry, owner = self.context.fleet.path_by_id.values()
        held_at_entry = sum(c.streams.outbox.size for c in entry.client.connections)
        held_at_owner = sum(upload.buffered_bytes for upload in self.uploads)
        self.most = max(self.most, held_at_entry, held_at_owner)
        for path, held in ((entry, held_at_entry), (owner, held_at_owner)):
            if not held <= _reserved(path) + FRAME_BYTES <= path.body_budget.limit:
                self.excess.append((held, _reserved(path)))


@when('8 bodies of 16 MiB are sent to "a" and "b" at once to a slow upstream')
def send_many(context):
    context.numbers = itertools.count()
    held = context.held = _Held(context)

    class CountedUpload(ReceivedUpload):
        def __init__(self, **options):
            super().__init__(**options)
            held.uploads.append(self)

        def receive(self, part, *, last):
            error = super().receive(part, last=last)
            held.sample()
            return error

    class CountedSink(StreamSink):
        def write_part(self, part, *, last):
            super().write_part(part, last=last)
            held.sample()

    for module, name, counted in (
        (ownerstreams, "ReceivedUpload", CountedUpload),
        (connections, "StreamSink", CountedSink),
    ):
        context.add_cleanup(setattr, module, name, getattr(module, name))
        setattr(module, name, counted)
    context.upstream.part_delay_s = 0.001
    pool = eventlet.GreenPool()
    senders = [pool.spawn(_send, context, "ab"[n % 2], 16 * MIB) for n in range(8)]
    context.got = [sender.wait() for sender in senders]


@then("no node held more bytes than it had reserved, nor more than its limit")
def check_held(context):
    held = context.held
    assert not held.excess, held.excess[:3]
    # Four slots and their windows; a whole body is 16 MiB.
    assert 0 < held.most <= 4 * UPLOAD_RESERVED_BYTES, held.most


@when(
    'a body of 64 MiB is sent to "{entry}", whole and in chunks, with the smallest pool'
)
def send_largest(context, entry):
    context.numbers = itertools.count()
    for path in _paths(context):
        path.body_budget.limit = bodypool.MIN_LIMIT_BYTES
    for chunked in (False, True):
        context.got.append(_send(context, entry, 64 * MIB, chunked=chunked))


@then("processes of some sizes have pools of a sixteenth, from 4 MiB to 12 MiB")
def check_pool_sizes(context):
    limit_by_memory = {
        memory_mib: bodypool.limit_for(memory_mib * MIB) / MIB
        for memory_mib in (16, 64, 128, 192, 1024, float("inf"))
    }
    assert limit_by_memory == {
        16: 4,
        64: 4,
        128: 8,
        192: 12,
        1024: 12,
        float("inf"): 12,
    }, limit_by_memory


@when('bodies are sent to "a" and "b" while memory for one is left at each')
def send_without_memory(context):
    context.numbers = itertools.count()
    for path in _paths(context):
        path.body_budget.limit = UPLOAD_RESERVED_BYTES
    context.upstream.part_delay_s = 0.01
    pool = eventlet.GreenPool()
    first = pool.spawn(_send, context, "a", 2 * MIB)
    assert until(lambda: context.upstream.bodies)
    context.refused = []
    for entry in "ab":
        sock = context.fleet.raw(entry, _post(context, 2 * MIB))
        context.refused.append(read_answer(sock))
        sock.close()
    context.got = [first.wait()]


@then("one body passes and the others are refused as not run")
def check_without_memory(context):
    check_bodies(context)
    refused = [(got.kind, got.ran) for got in context.refused]
    assert refused == [("overloaded", "no")] * 2, refused
    check_free(context)


@when("bodies beyond the limit are sent, and a large one with an idempotency key")
def send_beyond_limit(context):
    context.numbers = itertools.count()
    context.fleet.limits = evolve(context.fleet.limits, max_body_bytes=3 * MIB)
    for size, lines in ((3 * MIB + 1, ()), (2 * MIB, ("Idempotency-Key: k",))):
        sock = context.fleet.raw("a", _post(context, size, *lines))
        context.got.append(read_answer(sock))
        sock.close()
    assert not context.upstream.bodies
    with contextlib.suppress(OSError):
        context.got.append(_send(context, "a", 5 * MIB, chunked=True))


@then("each is refused with 413, and none passes whole")
def check_beyond_limit(context):
    first, keyed, *chunked = context.got
    assert (first.status, keyed.status) == (413, 413), (first.status, keyed.status)
    for got in chunked:
        # Its beginning was sent to the upstream before it grew too large.
        assert (got.kind, got.ran) == ("body-cut", "unknown"), got.kind
    assert until(lambda: all(body.cut for body in context.upstream.bodies))
    assert len(context.upstream.bodies) == 1


@when('callers of "{entry}" send less than declared, stall, leave, and break a chunk')
def break_bodies(context, entry):
    context.numbers = itertools.count()
    timeout_s = requestbodies.BODY_TIMEOUT_S
    requestbodies.BODY_TIMEOUT_S = 0.3
    context.add_cleanup(setattr, requestbodies, "BODY_TIMEOUT_S", timeout_s)
    part = _body(2 * MIB, 1)[: 2 * MIB]
    chunk = b"%x\r\n%b\r\n" % (len(part), part)
    context.broken = 0
    for data, end in (
        (_post(context, 4 * MIB) + part, "half-close"),
        (_post(context, 4 * MIB) + part, "stall"),
        (_post(context, 4 * MIB) + part, "leave"),
        (_post(context, None) + chunk, "stall"),
        (_post(context, None) + chunk + b"zz\r\n", "stall"),
        (_post(context, None) + chunk, "leave"),
    ):
        sock = context.fleet.raw(entry, data)
        context.broken += 1
        assert until(lambda: len(context.upstream.bodies) == context.broken), end
        if end == "half-close":
            sock.shutdown(plain_socket.SHUT_WR)
        if end != "leave":
            context.got.append(read_answer(sock))
        sock.close()


@then("the upstream sees each body cut, and each connection to it is closed")
def check_cut(context):
    bodies = context.upstream.bodies
    assert until(lambda: all(body.cut for body in bodies)), bodies
    assert len(bodies) == context.broken and not any(body.whole for body in bodies)
    assert context.fleet.path_by_id["b"].owner.pool.open_count == 0


@then("no outcome claims that the call did not run")
def check_unknown(context):
    assert len(context.got) == 4
    for got in context.got:
        if context.is_native:
            # The sweep for callers that left may notice a half-closed one first.
            assert got.kind in ("body-cut", "cancelled"), got.kind
            assert got.ran == "unknown"
        else:
            assert got.status == 502, got.status


@when('callers of "{entry}" send no byte of their bodies')
def send_no_byte(context, entry):
    context.numbers = itertools.count()
    timeout_s = requestbodies.BODY_TIMEOUT_S
    requestbodies.BODY_TIMEOUT_S = 0.2
    context.add_cleanup(setattr, requestbodies, "BODY_TIMEOUT_S", timeout_s)
    sock = context.fleet.raw(entry, _post(context, 4 * MIB))
    context.got.append(read_answer(sock))
    sock.close()


@then("they are refused as not run and the upstream got no request")
def check_no_byte(context):
    assert [(got.kind, got.ran) for got in context.got] == [("body-too-slow", "no")]
    assert not context.upstream.bodies
    check_free(context)


@given("nodes beside upstreams that are down")
def add_down(context):
    for node_id in "cd":
        port = context.fleet.add(node_id) and context.fleet.local_by_id[node_id].port
        assert port
        context.fleet.upstream_by_id[node_id].close()


@when("large bodies are sent to each node")
def send_to_each(context):
    context.numbers = itertools.count()
    for entry in "abcdabcd":
        context.got.append(_send(context, entry, 2 * MIB))


@given('a node "c" beside another upstream')
def add_other(context):
    context.other = BodyUpstream(_native_answer)
    context.add_cleanup(context.other.close)
    route = context.fleet.routes[0]
    context.fleet.routes = (evolve(route, idempotent=True),)
    context.fleet.add("c", upstream_port=context.other.port)
    context.fleet.hidden.add("c")


@when('{fault} halfway through an idempotent call to "a"')
def fail_halfway(context, fault):
    context.numbers = itertools.count()
    upstream, lines = context.upstream, ()
    if fault == "the upstream resets":
        upstream.reset_at = MIB
    else:
        upstream.pause_at = MIB
    if fault == "the deadline passes":
        lines = ("Comfreytray-Deadline-Ms: 500",)
    sock = context.fleet.raw("a", _post(context, 4 * MIB, *lines))
    sender = eventlet.spawn(_send_all, sock, _body(4 * MIB, 1)[: 4 * MIB])
    assert until(lambda: upstream.bodies and upstream.bodies[0].size >= MIB)
    context.fleet.hidden.discard("c")
    if fault == "the link between nodes is cut":
        [connection] = context.fleet.path_by_id["a"].client.connections
        shut_down_socket(connection.sock)
    context.got.append(read_answer(sock))
    sender.kill()
    sock.close()


def _send_all(sock, data):
    with contextlib.suppress(OSError):
        sock.sendall(data)


@then("the call ends as unknown, and no other upstream got it")
def check_unknown_outcome(context):
    [got] = context.got
    assert got.ran == "unknown" and got.status in (502, 504), (got.status, got.kind)
    assert len(context.upstream.bodies) == 1 and not context.other.bodies
    assert not context.upstream.bodies[0].whole
    context.upstream.pause_at = float("inf")
    check_free(context)


@when('the upstream answers early to a body with a request in it, sent to "{entry}"')
def answer_early(context, entry):
    context.numbers = itertools.count()
    context.upstream.answer_at = MIB
    inner = b"GET /inner HTTP/1.1\r\nX-Attempt-Id: i\r\n" + HOST + b"\r\n"
    body = inner * (8 * MIB // len(inner))
    sock = context.fleet.raw(entry, _post(context, len(body)))
    sender = eventlet.spawn(_send_all, sock, body)
    got = read_answer(sock)
    context.got.append(got)
    got.kept = True
    context.after = b""
    with contextlib.suppress(ConnectionError):
        context.after = sock.recv(1)
    sender.kill()
    sock.close()


@then("the caller gets the answer and its connection closes")
def check_early(context):
    [got] = context.got
    assert (got.status, got.body, got.whole) == (200, b"ok", True), got.status
    assert got.headers["connection"] == "close" and context.after == b""


@then("the request within the body never ran")
def check_not_smuggled(context):
    heads = [body.head for body in context.upstream.bodies]
    assert len(heads) == 1 and b"/inner" not in heads[0], heads
    assert context.fleet.path_by_id["b"].owner.pool.open_count == 0


@when("the upstream answers early to callers whose bodies wait for it")
def answer_early_to_senders(context):
    context.numbers = itertools.count()
    context.upstream.answer_at = MIB
    pool = eventlet.GreenPool()
    # So slow that the buffers on the way are full when the answer comes.
    context.upstream.part_delay_s = 0.02
    senders = [
        pool.spawn(_send_only, context, "ab"[n % 2], (8 + n) * MIB) for n in range(4)
    ]
    context.waited_s = [sender.wait() for sender in senders]


def _send_only(context, entry, size):
    """Send a body without reading; return the seconds from its last progress."""
    sock = context.fleet.raw(entry, _post(context, size))
    sock.settimeout(10.0)
    progress_at = time.monotonic()
    with contextlib.suppress(OSError):
        for start in range(0, size, CHUNK_BYTES):
            sock.sendall(b"x" * min(CHUNK_BYTES, size - start))
            progress_at = time.monotonic()
    sock.close()
    return time.monotonic() - progress_at


# The node once shut its read side down first, so the kernel announced no more room
# and callers waited for a minute.
@then("the sending of each ends within 5 s")
def check_senders(context):
    assert max(context.waited_s) < 5.0, context.waited_s


@when('"b" does not know bodies in parts and one is sent to "a"')
def send_to_earlier_version(context):
    context.numbers = itertools.count()
    path = context.fleet.path_by_id["b"]
    del path.peers._handler_by_topic[UPLOADS_TOPIC]
    # The first part is read before an endpoint is asked.
    sock = context.fleet.raw("a", _post(context, 2 * MIB) + b"x" * PART_BYTES)
    context.got.append(read_answer(sock))
    sock.close()
    context.got.append(context.fleet.call("a", "POST", "/small", b"x"))
    context.connections = context.fleet.path_by_id["a"].client.connections


@then("it is refused as not run, and other calls on the connection go on")
def check_earlier_version(context):
    refused, small = context.got
    assert (refused.kind, refused.ran) == ("overloaded", "no"), refused.kind
    assert small.status == 200 and len(context.connections) == 1
    assert len(context.upstream.bodies) == 1
