# Further attempts at a call, by the node or by its caller with a key.
# A booking is a POST, which must not run twice; a lookup is a GET.

import random

import eventlet
from behave import given, then, when
from calls_rig import add_fleet, answer, count_runs, until


@given("an upstream that drops connections after calls ran, and one that sheds load")
def make_losing(context):
    add_fleet(context, ["a", "b"])
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
    add_fleet(context, ["a"])
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
    add_fleet(context, ["a", "b"])
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

    add_fleet(context, ["a", "b", "c"], script)


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
    assert count_runs(context.fleet, "/book") == 1
    reused = context.fleet.call("b", "POST", "/book", b"y", ["Idempotency-Key: k1"])
    assert (reused.kind, reused.ran) == ("key-reused", "no")


@then("a booking whose caller hangs up still completes and its answer is stored")
def check_hung_up_booking(context):
    fleet = context.fleet
    head = b"POST /slow HTTP/1.1\r\nHost: canhdieu.test\r\nContent-Length: 0\r\n"
    sock = fleet.raw("a", head + b"Idempotency-Key: k4\r\n\r\n")
    assert until(lambda: count_runs(fleet, "/slow") == 1)
    sock.close()
    header = ["Idempotency-Key: k4", "Content-Length: 0"]
    assert until(lambda: not any(p.keyed.running for p in fleet.path_by_id.values()))
    again = fleet.call("b", "POST", "/slow", b"", header)
    assert again.status == 201 and count_runs(fleet, "/slow") == 1, again.kind


@then("a booking whose keeper is lost while it runs is never run again")
def check_keeper_lost(context):
    fleet = context.fleet
    head = b"POST /hang HTTP/1.1\r\nHost: canhdieu.test\r\nContent-Length: 0\r\n"
    data = head + b"Idempotency-Key: k2\r\nComfreytray-Deadline-Ms: 300\r\n\r\n"
    sock = fleet.raw("a", data)
    assert until(lambda: count_runs(fleet, "/hang") == 1)
    keeper = next(i for i, p in fleet.path_by_id.items() if p.keyed.running)
    fleet.hidden = {keeper}
    fleet.path_by_id[keeper].keyed.leaving = True
    others = [i for i in fleet.path_by_id if i != keeper]
    for node_id in others:
        again = fleet.call(
            node_id, "POST", "/hang", b"", ["Idempotency-Key: k2", "Content-Length: 0"]
        )
        assert again.kind in ("repeat-running", "repeat-unknown"), again.kind
    assert count_runs(fleet, "/hang") == 1
    sock.close()
    fleet.hidden = set()
    fleet.path_by_id[keeper].keyed.leaving = False


@then("with the store down, bookings with a key are refused and others are served")
def check_store_down(context):
    fleet = context.fleet
    fleet.store.down = True
    got = fleet.call("a", "POST", "/keyed", b"x", ["Idempotency-Key: k3"])
    assert (got.kind, got.ran) == ("claims-unavailable", "no"), got.kind
    assert count_runs(fleet, "/keyed") == 0
    assert fleet.call("a", "POST", "/plain", b"x").status == 201
    fleet.store.down = False
