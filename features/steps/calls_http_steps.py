# A booking is a POST, which must not run twice; a lookup is a GET.

import re

import eventlet
from attrs import evolve
from behave import given, then, when
from calls_rig import add_fleet, answer, are_slots_free, count_runs, read_answer, until
from eventlet.green import socket

from comfreytray.calls import liveness, requestbodies
from comfreytray.calls.bodypool import SMALL_BODY_BYTES
from comfreytray.calls.connections import shut_down_socket

HEAD = b"POST /%s HTTP/1.1\r\nHost: canhdieu.test\r\n"


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
    timeout_s = requestbodies.BODY_TIMEOUT_S
    requestbodies.BODY_TIMEOUT_S = 0.05
    context.add_cleanup(setattr, requestbodies, "BODY_TIMEOUT_S", timeout_s)
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
    assert got.status == 200 and are_slots_free(context.fleet)


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


@then("the upstream gets only the caller's end-to-end headers and those of the node")
def check_headers(context):
    names = {line.split(":")[0].lower() for line in context.seen[0].split("\r\n")[1:]}
    expected = {"host", "x-own", "content-length"}
    expected |= {"comfreytray-deadline-ms", "comfreytray-depth", "comfreytray-attempt"}
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

    add_fleet(context, ["a"], script)


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
        assert count_runs(context.fleet, target) == 1, target
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
    fleet = add_fleet(context, ["a", "b"])
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
        ran = count_runs(context.fleet, target)
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
        context.add_cleanup(setattr, liveness, name, getattr(liveness, name))
        setattr(liveness, name, value)


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
    assert count_runs(context.fleet, "/book") <= 1


@given("an upstream whose answers have no Content-Length")
def make_chunked(context):
    whole = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"
    context.parts = [whole, b"0\r\n\r\n"]
    add_fleet(context, ["a"], lambda head, body: context.parts)


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
    large = budget.open(length=None, on_shed=lambda: None)
    small = budget.open(length=1, on_shed=lambda: None)
    assert large.resize(budget.limit - 1) and small.resize(budget.reserve_limit - 1)
    reserved = budget.limit + budget.reserve_limit - 2
    for body in (b"xyz", b"x" * (SMALL_BODY_BYTES + 1)):
        got = context.fleet.call("a", "POST", "/full", body)
        assert (got.kind, got.ran) == ("overloaded", "no"), got.kind
        assert count_runs(context.fleet, "/full") == 0
        assert budget.reserved == reserved
