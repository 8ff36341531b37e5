# Slots, deadlines and ends of calls; the first attempt of each.
# A booking is a POST, which must not run twice; a lookup is a GET.

import eventlet
from attrs import evolve
from behave import given, then, when
from calls_rig import add_fleet, answer, are_slots_free, count_runs, read_answer, until
from eventlet.green import socket

from comfreytray.calls.callframes import WINDOW_BYTES
from comfreytray.common.records import EndpointState

LARGE_BYTES = 24 * 1024 * 1024


@given('nodes "a" and "b" of one service whose upstreams hang')
def make_hanging(context):
    def script(head, body):
        if b"/hang" in head:
            eventlet.sleep(60)
        return answer(200, b"ok")

    add_fleet(context, ["a", "b"], script)


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
    assert until(lambda: are_slots_free(context.fleet))
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
    assert until(lambda: are_slots_free(context.fleet))


@then("a call with no time left is refused as not run")
def check_no_time(context):
    header = ["Comfreytray-Deadline-Ms: 0"]
    got = context.fleet.call("a", "POST", "/never", b"x", header)
    assert (got.kind, got.ran) == ("deadline-before-run", "no")
    assert count_runs(context.fleet, "/never") == 0


# Limits


@given("two nodes that share one slow upstream with 3 slots")
def make_slow(context):
    def script(head, body):
        eventlet.sleep(0.02)
        return answer(200, b"ok")

    add_fleet(context, ["a", "b"], script, slots=3, connections=5)
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
        ran = count_runs(context.fleet, f"/{number}")
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

    add_fleet(context, ["a", "b"], script)
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
        s.held_bytes for c in open_connections for s in c.streams.stream_by_id.values()
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

    fleet = add_fleet(context, ["a", "b", "c"], script, slots=12, connections=20)
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
    assert all(count_runs(context.fleet, target) == 1 for target, _ in context.got)


@given("a node whose member list names a drained upstream and a stopped node")
def make_stale(context):
    fleet = add_fleet(context, ["a", "b", "c", "d"])
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
        assert count_runs(context.fleet, target) == 1
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
    assert count_runs(context.fleet, "/deep") == 0
