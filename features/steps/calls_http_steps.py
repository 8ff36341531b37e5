# A booking is a POST, which must not run twice; a lookup is a GET.

import random
import re

import eventlet
from attrs import evolve
from behave import given, then, when
from calls_rig import Fleet, answer, read_answer, until
from eventlet.green import socket

from comfreytray.calls import connections, requests
from comfreytray.calls.callframes import WINDOW_BYTES
from comfreytray.calls.connections import shut_down_socket
from comfreytray.common.records import EndpointState

HEAD = b"POST /%s HTTP/1.1\r\nHost: canhdieu.test\r\n"
LARGE_BYTES = 24 * 1024 * 1024


def _fleet(context, node_ids, script=None, **options):
    context.fleet = Fleet(**options)
    context.add_cleanup(context.fleet.__exit__)
    for node_id in node_ids:
        context.fleet.add(node_id, script=script)
    return context.fleet


def _ran(fleet, target):
    return sum(u.ran.count(target) for u in fleet.upstream_by_id.values())


def _slots_free(fleet):
    return all(
        path.owner.admission.held == 0 and path.owner.admission.queued == 0
        for path in fleet.path_by_id.values()
    )


# Refused requests


def _malformed_requests():
    head = HEAD % b"bad"
    yield head + b"Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc", "bad-request"
    yield (
        head + b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n",
        "bad-request",
    )
    yield head + b"Transfer-Encoding: gzip, chunked\r\n\r\n", "bad-request"
    yield head + b"Content-Length: +3\r\n\r\nabc", "bad-request"
    yield head + b"Content-Length: 3, 3\r\n\r\nabc", "bad-request"
    yield head + b"Host: other.test\r\n\r\n", "bad-request"
    yield head + b"Content-Length : 3\r\n\r\nabc", "bad-request"
    yield head + b"A: b\r\n folded\r\n\r\n", "bad-request"
    yield head + b"A: b\rInjected: c\r\n\r\n", "bad-request"
    yield head + b"A: b\x00c\r\n\r\n", "bad-request"
    yield b"POST /bad HTTP/1.1\r\n\r\n", "bad-request"
    yield b"POST http://canhdieu.test/bad HTTP/1.1\r\n\r\n", "bad-request"
    yield b"POST /bad HTTP/2.0\r\nHost: canhdieu.test\r\n\r\n", "bad-request"
    yield b"POST /bad  HTTP/1.1\r\nHost: canhdieu.test\r\n\r\n", "bad-request"
    yield b"POST /a/../bad HTTP/1.1\r\nHost: canhdieu.test\r\n\r\n", "bad-request"
    yield b"POST /a/%2e%2e/bad HTTP/1.1\r\nHost: canhdieu.test\r\n\r\n", "bad-request"
    yield b"TRACE /bad HTTP/1.1\r\nHost: canhdieu.test\r\n\r\n", "method-not-supported"
    yield b"PATCH /bad HTTP/1.1\r\nHost: canhdieu.test\r\n\r\n", "method-not-supported"
    yield b"POST /bad HTTP/1.1\r\nHost: nobody.test\r\n\r\n", "unknown-customer"
    yield b"POST /%s HTTP/1.1\r\n" % (b"x" * 9000), "head-too-large"
    yield head + b"A: " + b"x" * 9000 + b"\r\n\r\n", "head-too-large"
    yield head + b"".join(b"A%d: b\r\n" % n for n in range(200)), "head-too-large"
    yield head + b"Content-Length: 2000000\r\n\r\n", "body-too-large"
    yield head + b"Content-Length: 10\r\n\r\nabc", "body-too-slow"
    for chunk in (
        b"zz\r\n",
        b"0x3\r\nabc\r\n0\r\n\r\n",
        b"+3\r\nabc\r\n0\r\n\r\n",
        b"-3\r\nabc\r\n0\r\n\r\n",
        b"0_3\r\nabc\r\n0\r\n\r\n",
        b" 3\r\nabc\r\n0\r\n\r\n",
        b"\r\n",
        b"3\nabc\r\n0\r\n\r\n",
        b"3\r\nabcde\r\n0\r\n\r\n",
        b"3\r\nabc\r\n0\r\nA: b\n\n",
    ):
        yield head + b"Transfer-Encoding: chunked\r\n\r\n" + chunk, "bad-request"
    yield head + b"Comfreytray-Deadline-Ms: soon\r\n\r\n", "bad-request"


@when("ambiguous, oversized, slow and malformed requests are sent")
def send_malformed(context):
    timeout_s = requests.BODY_TIMEOUT_S
    requests.BODY_TIMEOUT_S = 0.05
    context.add_cleanup(setattr, requests, "BODY_TIMEOUT_S", timeout_s)
    context.refused = []
    for data, kind in _malformed_requests():
        sock = context.fleet.raw("a", data)
        context.refused.append((data[:60], kind, read_answer(sock)))
        sock.close()


@then("each is refused with the expected kind and none of them ran")
def check_malformed(context):
    for data, kind, got in context.refused:
        assert (got.kind, got.ran) == (kind, "no"), (data, kind, got.kind, got.body)
    ran = [u.ran for u in context.fleet.upstream_by_id.values()]
    assert not any(ran), ran


@then("the next call is answered")
def check_next(context):
    got = context.fleet.call("a", "POST", "/next", b"abc")
    assert got.status == 200 and _slots_free(context.fleet)


@when("a call carries hop-by-hop headers and forged node headers")
def call_with_headers(context):
    seen = context.seen = []

    def script(head, body):
        seen.append(head.decode())
        return answer(
            200,
            b"ok",
            "Connection: X-Hop",
            "X-Hop: 1",
            "Keep-Alive: 5",
            "X-End: 2",
            "Comfreytray-Error: made-up",
        )

    for upstream in context.fleet.upstream_by_id.values():
        upstream.script = script
    context.fleet.hidden = {"a"}
    context.got = context.fleet.call(
        "a",
        "POST",
        "/x",
        b"abc",
        [
            "TE: trailers",
            "Upgrade: h2c",
            "Proxy-Authorization: x",
            "X-Named: 1",
            "Connection: X-Named",
            "X-Own: 1",
            "Comfreytray-Depth: 4",
            "Comfreytray-Deadline-Ms: 800",
            "Content_Length: 9",
            "Transfer_Encoding: chunked",
        ],
    )


@then(
    "the upstream gets only the caller's end-to-end headers, depth and remaining time"
)
def check_headers(context):
    names = {line.split(":")[0].lower() for line in context.seen[0].split("\r\n")[1:]}
    expected = {"host", "x-own", "content-length"}
    expected |= {"comfreytray-deadline-ms", "comfreytray-depth"}
    assert names == expected, names
    left = int(re.search(r"Deadline-Ms: (\d+)", context.seen[0])[1])
    assert 0 < left <= 800 and "Depth: 5" in context.seen[0]
    assert set(context.got.headers) >= {"x-end"}
    assert not set(context.got.headers) & {"x-hop", "keep-alive", "comfreytray-error"}


# Truncated answers and lost connections


@given("an upstream that closes the connection after a given number of answer bytes")
def make_truncating(context):
    context.limit = 0
    plain = answer(200, b"0123456789", "X-A: b")
    chunked = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    chunked += b"005\r\n01234\r\n005\r\n56789\r\n0\r\n\r\n"
    context.answers = [plain, chunked]

    def script(head, body):
        whole = context.answers[context.answer_index]
        return [whole[: context.limit], None]

    _fleet(context, ["a"], script)


@when("a booking is made for each possible number of bytes")
def book_truncated(context):
    context.booked = []
    for index, whole in enumerate(context.answers):
        context.answer_index = index
        for limit in range(len(whole) + 1):
            context.limit = limit
            target = f"/{index}/{limit}"
            got = context.fleet.call("a", "POST", target, b"x")
            context.booked.append((target, limit == len(whole), got))


@then("no truncated answer is forwarded as complete and each booking ran once")
def check_truncated(context):
    for target, whole, got in context.booked:
        assert _ran(context.fleet, target) == 1, target
        good = got.status == 200 and got.whole
        assert good == whole, (target, got.status, got.body)
        if got.status != 200:
            assert got.ran in ("unknown", "yes"), (target, got.kind, got.ran)
        if target.startswith("/0/") and not whole:
            assert got.status == 502, (target, got.status)
        if good:
            assert got.body == b"0123456789", got.body


class Relay:
    """Forwards bytes between nodes; can close after a number of them, or stall."""

    def __init__(self, port):
        self.port = port
        self.limit = [None, None]
        self.stalled = False
        self.forwarded = [0, 0]
        self.listener = eventlet.listen(("127.0.0.1", 0))
        self.greenlet = eventlet.spawn(self._accept)

    def _accept(self):
        while True:
            near, _ = self.listener.accept()
            far = socket.create_connection(("127.0.0.1", self.port))
            self.forwarded = [0, 0]
            eventlet.spawn_n(self._forward, near, far, 0)
            eventlet.spawn_n(self._forward, far, near, 1)

    def _forward(self, source, target, direction):
        try:
            while True:
                part = source.recv(65536)
                if not part:
                    break
                limit = self.limit[direction]
                if limit is not None:
                    part = part[: limit - self.forwarded[direction]]
                if self.stalled:
                    continue
                target.sendall(part)
                self.forwarded[direction] += len(part)
                if limit is not None and self.forwarded[direction] >= limit:
                    break
        except OSError:
            pass
        for sock in (source, target):
            shut_down_socket(sock)


@given(
    "a relay between two nodes that closes connections after a given number of bytes"
)
def make_relay(context):
    fleet = _fleet(context, ["a", "b"])
    record = fleet.record_by_id["b"]
    context.relay = Relay(record.call_port)
    context.add_cleanup(context.relay.greenlet.kill)
    fleet.record_by_id["b"] = evolve(
        record, call_port=context.relay.listener.getsockname()[1]
    )
    fleet.hidden = {"a"}


@when("a booking is made through the relay for each number of bytes in each direction")
def book_through_relay(context):
    context.booked = []
    fleet, relay = context.fleet, context.relay
    assert fleet.call("a", "POST", "/whole", b"x").status == 200
    totals = list(relay.forwarded)
    for direction in (0, 1):
        for limit in range(totals[direction] + 1):
            for connection in fleet.path_by_id["a"].client.connections:
                connection.close()
            fleet.path_by_id["a"].router.view_by_id.clear()
            relay.limit = [None, None]
            relay.limit[direction] = limit
            target = f"/{direction}/{limit}"
            got = fleet.call("a", "POST", target, b"x")
            context.booked.append((target, limit, got))


@then("no booking that is reported as not run has run, and none ran twice")
def check_relay(context):
    outcomes = {"no": 0, "unknown": 0, "": 0}
    until(lambda: context.fleet.path_by_id["b"].owner.in_flight == 0)
    for target, _, got in context.booked:
        ran = _ran(context.fleet, target)
        assert ran <= 1, target
        outcomes[got.ran] += 1
        if got.ran == "no":
            assert ran == 0, (target, got.kind)
        if got.status == 200:
            assert got.body == b"ok" and ran == 1, target
    assert outcomes["unknown"] > 20 and outcomes[""] >= 1, outcomes


@given("a relay between two nodes that can stop forwarding bytes")
def make_stalling_relay(context):
    def script(head, body):
        if b"/slow" in head:
            eventlet.sleep(0.6)
        return answer(200, b"ok")

    make_relay(context)
    fleet = context.fleet
    fleet.add("c")
    for upstream in fleet.upstream_by_id.values():
        upstream.script = script
    for name, value in (("PING_AFTER_S", 0.1), ("PING_TIMEOUT_S", 0.3)):
        context.add_cleanup(setattr, connections, name, getattr(connections, name))
        setattr(connections, name, value)


@when("the relay stops forwarding while calls to the owner are in flight")
def call_stalled_owner(context):
    fleet, relay = context.fleet, context.relay
    fleet.hidden = {"a", "c"}
    context.slow = fleet.call("a", "POST", "/slow", b"x")
    relay.stalled = True
    context.booking = fleet.call("a", "POST", "/book", b"x")
    pool = eventlet.GreenPool()
    context.lookup = pool.spawn(fleet.call, "a", "GET", "/look")
    assert until(lambda: relay.forwarded[0] == 0)
    eventlet.sleep(0.05)
    fleet.hidden = {"a"}
    context.lookup = context.lookup.wait()


@then(
    "the idempotent call is answered by another owner and the booking ends as unknown"
)
def check_stalled_owner(context):
    assert context.slow.status == 200, context.slow.kind
    assert context.lookup.status == 200, context.lookup.kind
    assert context.booking.kind == "lost-after-send", context.booking.kind
    assert context.booking.ran == "unknown"
    assert _ran(context.fleet, "/book") <= 1


@given("an upstream whose answers have no Content-Length")
def make_chunked(context):
    whole = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"
    context.parts = [whole, b"0\r\n\r\n"]
    _fleet(context, ["a"], lambda head, body: context.parts)


@when("an HTTP/1.0 caller requests a complete and a truncated answer")
def call_with_http_1_0(context):
    context.got = []
    for end in (b"0\r\n\r\n", None):
        context.parts[1] = end
        sock = context.fleet.raw("a", b"GET /x HTTP/1.0\r\nHost: canhdieu.test\r\n\r\n")
        context.got.append(read_answer(sock))
        sock.close()


@then("it gets the first with a Content-Length and an error for the second")
def check_http_1_0(context):
    whole, cut = context.got
    assert (whole.status, whole.body) == (200, b"abc")
    assert whole.headers["content-length"] == "3"
    assert (cut.status, cut.kind) == (502, "answer-cut"), cut.status


@then("a body that exceeds the memory limit for bodies is refused as not run")
def check_budget(context):
    budget = context.fleet.path_by_id["a"].body_budget
    assert budget.reserved == 0
    budget.reserve(budget.limit - 1)
    got = context.fleet.call("a", "POST", "/full", b"xyz")
    assert (got.kind, got.ran) == ("overloaded", "no"), got.kind
    assert _ran(context.fleet, "/full") == 0 and budget.reserved == budget.limit - 1


# Hanging up and deadlines


@given('nodes "a" and "b" of one service whose upstreams hang')
def make_hanging(context):
    def script(head, body):
        if b"/hang" in head:
            eventlet.sleep(60)
        return answer(200, b"ok")

    _fleet(context, ["a", "b"], script)


@when("callers of the owner and of the other node hang up")
def callers_hang_up(context):
    fleet = context.fleet
    for hidden in ({"a"}, {"b"}):
        fleet.hidden = hidden
        socks = [
            fleet.raw("a", b"GET /hang%d HTTP/1.1\r\nHost: canhdieu.test\r\n\r\n" % n)
            for n in range(3)
        ]
        busy = "b" if hidden == {"a"} else "a"
        path = fleet.path_by_id[busy]
        assert until(lambda p=path: p.owner.admission.held == 3)
        for sock in socks:
            sock.close()


@then("the connections to the upstream are closed and all slots are free")
def check_hung_up(context):
    paths = context.fleet.path_by_id.values()
    assert until(lambda: _slots_free(context.fleet))
    assert until(lambda: all(path.owner.pool.open_count == 0 for path in paths))
    assert until(lambda: all(path.in_flight == 0 for path in paths))


@when("calls with short deadlines are made through the owner and the other node")
def call_with_little_time(context):
    context.got = []
    for hidden in ({"a"}, {"b"}):
        context.fleet.hidden = hidden
        header = ["Comfreytray-Deadline-Ms: 60"]
        context.got.append(context.fleet.call("a", "POST", "/hang", b"x", header))


@then("they are reported as unknown at their deadline and all slots are free")
def check_late(context):
    for got in context.got:
        assert (got.kind, got.ran) == ("deadline-while-running", "unknown"), got.kind
    assert until(lambda: _slots_free(context.fleet))


@then("a call with no time left is refused as not run")
def check_no_time(context):
    header = ["Comfreytray-Deadline-Ms: 0"]
    got = context.fleet.call("a", "POST", "/never", b"x", header)
    assert (got.kind, got.ran) == ("deadline-before-run", "no")
    assert _ran(context.fleet, "/never") == 0


# Limits


@given("two nodes that share one slow upstream with 3 slots")
def make_slow(context):
    def script(head, body):
        eventlet.sleep(0.02)
        return answer(200, b"ok")

    _fleet(context, ["a", "b"], script, slots=3, connections=5)
    context.fleet.hidden = {"a"}


@when("40 calls are made through both nodes at once")
def call_at_once(context):
    pool = eventlet.GreenPool(40)
    fleet = context.fleet
    work = [("ab"[n % 2], "POST", f"/{n}", b"x") for n in range(40)]
    context.got = list(pool.starmap(fleet.call, work))


@then("the upstream never ran more than 3 calls at once and no refused call ran")
def check_slots(context):
    assert context.fleet.upstream_by_id["b"].most_running == 3
    refused = 0
    for number, got in enumerate(context.got):
        ran = _ran(context.fleet, f"/{number}")
        if got.status == 200:
            assert ran == 1
        else:
            assert got.ran == "no" and ran == 0, (got.kind, ran)
            assert int(got.headers["retry-after"]) >= 1
            refused += 1
    assert 0 < refused < 40, refused


@given("an upstream with an answer of 24 MB")
def make_large(context):
    context.sent = 0
    block = bytes(range(256)) * 256

    def script(head, body):
        yield b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % LARGE_BYTES
        for _ in range(LARGE_BYTES // len(block)):
            yield block
            context.sent += len(block)

    _fleet(context, ["a", "b"], script)
    context.fleet.hidden = {"a"}


@when("a slow caller reads it through another node")
def read_slowly(context):
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
    sock.connect(context.fleet.http_by_id["a"])
    sock.sendall(b"GET /large HTTP/1.1\r\nHost: canhdieu.test\r\n\r\n")
    assert until(lambda: context.sent > 0)
    last = -1
    while last != context.sent:
        last = context.sent
        eventlet.sleep(0.2)
    open_connections = context.fleet.path_by_id["a"].client.connections
    context.buffered = [
        s.buffered_bytes
        for c in open_connections
        for s in c.streams.stream_by_id.values()
    ]
    context.ahead = context.sent
    context.got = read_answer(sock)
    sock.close()


@then("no more than the flow-control window is buffered and the answer is complete")
def check_large(context):
    assert context.ahead < LARGE_BYTES, context.ahead
    assert len(context.buffered) == 1, context.buffered
    assert context.buffered[0] <= WINDOW_BYTES, context.buffered
    assert context.got.whole
    assert context.got.body == bytes(range(256)) * (LARGE_BYTES // 256)


# Draining


@given('nodes "a", "b" and "c" of one service under load')
def make_load(context):
    def script(head, body):
        eventlet.sleep(0.005)
        return answer(200, b"ok")

    fleet = _fleet(context, ["a", "b", "c"], script, slots=12, connections=20)
    context.got = []
    context.stop = False

    def load(number):
        count = 0
        while not context.stop:
            count += 1
            target = f"/{number}/{count}"
            node_id = "abc"[count % 3]
            context.got.append((target, fleet.call(node_id, "POST", target, b"x")))

    context.load = [eventlet.spawn(load, number) for number in range(6)]


@when('"a" drains')
def drain(context):
    fleet = context.fleet
    assert until(lambda: len(context.got) > 60)
    path = fleet.path_by_id["a"]
    drained = eventlet.spawn(path.drain, 20.0)
    assert until(lambda: path.leaving)
    # Between calls, none may be in flight even before the drain begins.
    assert until(lambda: path.leaving and path.owner.in_flight == 0)
    context.ran_at_drain = len(fleet.upstream_by_id["a"].ran)
    more = len(context.got) + 100
    assert until(lambda: len(context.got) > more)
    fleet.hidden = {"a"}
    context.stop = True
    for greenlet in context.load:
        greenlet.wait()
    assert drained.wait()


@then('no call failed and the upstream of "a" got no call after the drain began')
def check_drained(context):
    failed = [(t, g.status, g.kind) for t, g in context.got if g.status != 200]
    assert not failed, failed[:3]
    assert len(context.fleet.upstream_by_id["a"].ran) == context.ran_at_drain
    assert all(_ran(context.fleet, target) == 1 for target, _ in context.got)


@given("a node whose member list names a drained upstream and a stopped node")
def make_stale(context):
    fleet = _fleet(context, ["a", "b", "c", "d"])
    fleet.path_by_id["b"].drain(5.0)
    gone = fleet.record_by_id["c"]
    unused = eventlet.listen(("127.0.0.1", 0))
    port = unused.getsockname()[1]
    unused.close()
    fleet.record_by_id["c"] = evolve(gone, call_port=port)
    other = evolve(gone.endpoint, state=EndpointState.READY)
    fleet.record_by_id["e"] = evolve(
        fleet.record_by_id["d"], node_id="e", endpoint=other
    )


@when("bookings are made through the node with the stale list")
def book_stale(context):
    context.got = [
        (f"/{n}", context.fleet.call("a", "POST", f"/{n}", b"x")) for n in range(60)
    ]


@then("each booking ran once, at another upstream")
def check_stale(context):
    for target, got in context.got:
        assert got.status == 200, (target, got.kind, got.body)
        assert _ran(context.fleet, target) == 1
    for left in ("b", "c"):
        assert not context.fleet.upstream_by_id[left].ran
    metrics = context.fleet.path_by_id["a"].metrics
    assert 0 < metrics.count_by_name["calls_redirected"] <= 6
    views = context.fleet.path_by_id["a"].router.view_by_id
    assert {"b", "c", "e"} <= set(views), set(views)


@when("a call arrives with a depth of 33")
def call_deep(context):
    context.got = context.fleet.call(
        "a", "POST", "/deep", b"x", ["Comfreytray-Depth: 33"]
    )


@then("it is refused as too deep and does not run")
def check_deep(context):
    assert (context.got.kind, context.got.ran) == ("chain-too-deep", "no")
    assert _ran(context.fleet, "/deep") == 0


# Outcomes of two attempts


@given("an upstream that drops connections after calls ran, and one that sheds load")
def make_losing(context):
    _fleet(context, ["a", "b"])
    for upstream in context.fleet.upstream_by_id.values():
        upstream.script = lambda head, body: [None]
    shed = answer(503, b"", "Comfreytray-Ran: no", "Retry-After: 7")
    context.fleet.upstream_by_id["b"].script = lambda head, body: shed


@when("idempotent calls that may reach either are made")
def call_idempotent(context):
    context.got = []
    for number in range(8):
        context.fleet.path_by_id["a"].router.view_by_id.clear()
        target = f"/{number}"
        context.got.append((target, context.fleet.call("a", "GET", target)))


@then("no call that reached the first upstream is reported as not run")
def check_two_attempts(context):
    lost = context.fleet.upstream_by_id["a"].ran
    assert lost
    for target, got in context.got:
        assert (got.ran == "no") <= (target not in lost), (target, got.kind, got.ran)


# Idle connections


@given("an upstream that resets requests on connections idle for over 0.1 s")
def make_dropping_idle(context):
    _fleet(context, ["a"])
    context.fleet.upstream_by_id["a"].forget_after_s = 0.1


@when("20 bookings are made with pauses of 0.05 to 0.3 s between them")
def book_with_pauses(context):
    context.got = []
    for number in range(20):
        target = f"/{number}"
        context.got.append((target, context.fleet.call("a", "POST", target, b"x")))
        eventlet.sleep(0.05 + number % 6 * 0.05)


@then("at most {limit:d} of the 20 fail and none ran twice")
def check_few_lost(context, limit):
    lost = [target for target, got in context.got if got.status != 200]
    assert len(lost) <= limit, lost
    assert all(_runs(context, target) <= 1 for target, _ in context.got)


# Error statuses of the upstream

BROKEN = answer(500, b"broken", "X-Reason: full moon")


@given("an upstream that answers with status 500 and one that works")
def make_broken(context):
    _fleet(context, ["a", "b"])
    context.fleet.upstream_by_id["a"].script = lambda head, body: BROKEN


@when("idempotent calls and bookings are made")
def call_broken(context):
    context.got = []
    for method in ("GET", "POST"):
        for number in range(5):
            context.fleet.path_by_id["a"].router.view_by_id.clear()
            target = f"/{method}/{number}"
            got = context.fleet.call("a", method, target, b"x" * (method == "POST"))
            context.got.append((method, target, got))


def _runs(context, target):
    return sum(up.ran.count(target) for up in context.fleet.upstream_by_id.values())


@then(
    "the idempotent calls are answered by the working upstream and no booking ran twice"
)
def check_broken(context):
    assert context.fleet.upstream_by_id["a"].ran
    for method, target, got in context.got:
        if method == "GET":
            assert got.status == 200, (target, got.status)
        else:
            assert _runs(context, target) == 1, target


@then(
    "with both failing, an idempotent call gets the unchanged 500 answer after two runs"
)
def check_both_broken(context):
    context.fleet.upstream_by_id["b"].script = lambda head, body: BROKEN
    got = context.fleet.call("a", "GET", "/both")
    assert (got.status, got.body, got.whole) == (500, b"broken", True)
    assert got.headers["x-reason"] == "full moon"
    assert _runs(context, "/both") == 2


# Idempotency keys


@given('nodes "a", "b" and "c" with one store')
def make_keyed(context):
    generator = random.Random(5)

    def script(head, body):
        if b"/hang" in head:
            eventlet.sleep(60)
        if b"/slow" in head:
            eventlet.sleep(0.3)
        return answer(201, b"booking %d" % generator.getrandbits(40))

    _fleet(context, ["a", "b", "c"], script)


@when("a booking is repeated with its idempotency key at each node")
def book_keyed(context):
    header = ["Idempotency-Key: k1"]
    context.got = [
        context.fleet.call(node_id, "POST", "/book", b"x", header)
        for node_id in ("a", "b", "c", "a")
    ]


@then("it ran once and every repeat got the same answer")
def check_keyed(context):
    assert {got.status for got in context.got} == {201}, [g.kind for g in context.got]
    assert len({got.body for got in context.got}) == 1
    assert _ran(context.fleet, "/book") == 1
    reused = context.fleet.call("b", "POST", "/book", b"y", ["Idempotency-Key: k1"])
    assert (reused.kind, reused.ran) == ("key-reused", "no")


@then("a booking whose caller hangs up still completes and its answer is stored")
def check_hung_up_booking(context):
    fleet = context.fleet
    head = b"POST /slow HTTP/1.1\r\nHost: canhdieu.test\r\nContent-Length: 0\r\n"
    sock = fleet.raw("a", head + b"Idempotency-Key: k4\r\n\r\n")
    assert until(lambda: _ran(fleet, "/slow") == 1)
    sock.close()
    header = ["Idempotency-Key: k4", "Content-Length: 0"]
    assert until(lambda: not any(p.keyed.running for p in fleet.path_by_id.values()))
    again = fleet.call("b", "POST", "/slow", b"", header)
    assert again.status == 201 and _ran(fleet, "/slow") == 1, again.kind


@then("a booking whose keeper is lost while it runs is never run again")
def check_keeper_lost(context):
    fleet = context.fleet
    head = b"POST /hang HTTP/1.1\r\nHost: canhdieu.test\r\nContent-Length: 0\r\n"
    data = head + b"Idempotency-Key: k2\r\nComfreytray-Deadline-Ms: 300\r\n\r\n"
    sock = fleet.raw("a", data)
    assert until(lambda: _ran(fleet, "/hang") == 1)
    keeper = next(i for i, p in fleet.path_by_id.items() if p.keyed.running)
    fleet.hidden = {keeper}
    fleet.path_by_id[keeper].keyed.leaving = True
    others = [i for i in fleet.path_by_id if i != keeper]
    for node_id in others:
        again = fleet.call(
            node_id, "POST", "/hang", b"", ["Idempotency-Key: k2", "Content-Length: 0"]
        )
        assert again.kind in ("repeat-running", "repeat-unknown"), again.kind
    assert _ran(fleet, "/hang") == 1
    sock.close()
    fleet.hidden = set()
    fleet.path_by_id[keeper].keyed.leaving = False


@then("with the store down, bookings with a key are refused and others are served")
def check_store_down(context):
    fleet = context.fleet
    fleet.store.down = True
    got = fleet.call("a", "POST", "/keyed", b"x", ["Idempotency-Key: k3"])
    assert (got.kind, got.ran) == ("claims-unavailable", "no"), got.kind
    assert _ran(fleet, "/keyed") == 0
    assert fleet.call("a", "POST", "/plain", b"x").status == 201
    fleet.store.down = False
