"""Crowds of callers whose bodies stop short of their end."""

from operator import itemgetter

import eventlet
from attrs import evolve
from behave import given, then, when
from calls_rig import WAIT_S, Fleet, answer, make_call, read_answer, until

from comfreytray.calls import bodypool
from comfreytray.calls.requestbodies import READ_BYTES
from comfreytray.calls.uploads import (
    PART_BYTES,
    UPLOAD_RESERVED_BYTES,
    BufferedUpload,
)
from comfreytray.common.errors import Kind
from comfreytray.configuration.callerlimits import DEFAULT_CALLER_LIMITS
from comfreytray.testing import FakeClock
from standins.body_upstream import BodyUpstream
from standins.scripted import reset_at_close

MIB = 1_048_576
UNIT_BYTES = bodypool.SMALL_BODY_BYTES
"""Bytes of one unit of the table."""
STUCK_BYTES = 262_144
"""Bytes of a large body that is buffered."""
UNREAD_BYTES = 40_000
"""Bytes behind the first part of a body, which wait in the kernel."""
HOST = b"Host: canhdieu.test\r\n"


@given("a node beside an upstream, and its neighbour")
def make_fleet(context):
    fleet = context.fleet = Fleet()
    context.add_cleanup(fleet.__exit__)
    fleet.add("a")
    fleet.add("b", service="other")
    context.crowd = []


def _head(*lines):
    return b"\r\n".join([b"POST /x HTTP/1.1", HOST.strip(), *lines, b"", b""])


_BEGINNING_BY_KIND = {
    "large": _head(b"Content-Length: %d" % MIB) + b"x" * (MIB - 1),
    "chunked": _head(b"Transfer-Encoding: chunked") + b"1000\r\n" + b"x" * 0xFFF,
}


@when("{count:d} callers of {entry} stop just short of the end of {kind} bodies")
def send_crowd(context, count, entry, kind):
    context.entry = "a" if entry == "the node" else "b"
    beginning = _BEGINNING_BY_KIND[kind]
    for _ in range(count):
        context.crowd.append(context.fleet.raw(context.entry, beginning))
    eventlet.sleep(0.2)


@when("{count:d} ordinary calls with a body of 2 bytes are made to it")
def call_ordinary(context, count):
    pool = eventlet.GreenPool(2)
    calls = [
        pool.spawn(context.fleet.call, context.entry, "POST", "/ordinary", b"ok")
        for _ in range(count)
    ]
    context.got = [call.wait() for call in calls]


@then("each ordinary call is served")
def check_served(context):
    got = [(answer.status, answer.kind) for answer in context.got]
    assert all(status == 200 for status, _ in got), got


@then("nothing is held once the crowd has hung up")
def check_free(context):
    for sock in context.crowd:
        sock.close()
    paths = context.fleet.path_by_id.values()
    assert until(lambda: not any(path.body_budget.reserved for path in paths))


def _make_impatient(context):
    stall_s = bodypool.STALL_S
    bodypool.STALL_S = 0.3
    context.add_cleanup(setattr, bodypool, "STALL_S", stall_s)


@when("{count:d} callers of {entry} that are stuck fill its memory for large bodies")
def fill_with_callers(context, count, entry):
    _make_impatient(context)
    context.entry = "a" if entry == "the node" else "b"
    context.pool = context.fleet.path_by_id[context.entry].body_budget
    context.pool.limit = count * STUCK_BYTES
    for _ in range(count):
        data = _head(b"Content-Length: %d" % STUCK_BYTES) + b"x" * (STUCK_BYTES - 1)
        context.crowd.append(context.fleet.raw(context.entry, data))
    assert until(lambda: context.pool.held_bytes == context.pool.limit)
    eventlet.sleep(2 * bodypool.STALL_S)


@when("a whole large body is sent to it")
def send_whole(context):
    body = b"y" * (UNIT_BYTES + 1)
    context.answer = context.fleet.call(context.entry, "POST", "/whole", body)


@then("it is served, and a stuck caller gets 408 as not run and no other answer")
def check_stuck_caller(context):
    assert context.answer.status == 200, (context.answer.status, context.answer.kind)
    # The one that was stuck first.
    sock = context.crowd[0]
    shed = read_answer(sock)
    assert (shed.status, shed.kind, shed.ran) == (408, "body-too-slow", "no")
    assert shed.headers["connection"] == "close" and sock.recv(1) == b""
    metrics = context.fleet.path_by_id[context.entry].metrics
    assert metrics.count_by_name["bodies_shed"] == 1
    ran = [target for u in context.fleet.upstream_by_id.values() for target in u.ran]
    assert ran == ["/whole"], ran


@when("{count:d} callers send bodies of 1 MiB by turns to a pool of 2 MiB")
def send_by_turns(context, count):
    path = context.fleet.path_by_id["a"]
    path.body_budget.limit = 2 * MIB
    head = _head(b"Content-Length: %d" % MIB)
    for number in range(count):
        context.crowd.append(context.fleet.raw("a", head))
        # In the order of their numbers.
        assert until(lambda: len(path.reaper.tracked_calls) == len(context.crowd)), (
            number
        )
    answers = [eventlet.spawn(read_answer, sock) for sock in context.crowd]
    for _ in range(MIB // UNIT_BYTES):
        for sock in context.crowd:
            sock.sendall(b"x" * UNIT_BYTES)
        eventlet.sleep(0.005)
    context.got = [answer.wait() for answer in answers]


@then("the first two are served, and the last is refused as not run")
def check_by_turns(context):
    *served, refused = context.got
    assert [got.status for got in served] == [200, 200], [
        (got.status, got.kind) for got in context.got
    ]
    assert (refused.status, refused.kind, refused.ran) == (503, "overloaded", "no")
    assert len(context.fleet.upstream_by_id["a"].ran) == len(served)


class _StuckUpload:
    """A body whose first part comes, and no more."""

    def __init__(self, length):
        self.length, self.started, self.complete = length, False, False

    def read(self):
        if self.started:
            eventlet.sleep(WAIT_S)
        self.started = True
        return b"x" * PART_BYTES


def _call_from_neighbour(context, target, upload):
    call = evolve(make_call(target=target), method="POST", upload=upload)
    return context.fleet.path_by_id["b"].client.call(
        context.fleet.record_by_id["a"], call
    )


@when(
    "{count:d} bodies of {size:d} bytes from its neighbour are stuck and fill the "
    "node's memory"
)
def fill_with_bodies(context, count, size):
    _make_impatient(context)
    is_streamed = size > MIB
    pool = context.pool = context.fleet.path_by_id["a"].body_budget
    # What came of a body and the next part, or the window of one.
    pool.limit = count * (UPLOAD_RESERVED_BYTES if is_streamed else 2 * PART_BYTES)
    context.stuck = [
        eventlet.spawn(_call_from_neighbour, context, "/stuck", _StuckUpload(size))
        for _ in range(count)
    ]
    assert until(lambda: pool.held_bytes == pool.limit)
    eventlet.sleep(2 * bodypool.STALL_S)


@when("a whole large body comes from its neighbour")
def send_from_neighbour(context):
    upload = BufferedUpload(b"y" * (UNIT_BYTES + 1))
    context.answer = _call_from_neighbour(context, "/whole", upload)


@then("it is served, and a stuck body is refused as {kind}, ran {ran}")
def check_stuck_body(context, kind, ran):
    assert getattr(context.answer, "status", 0) == 200, context.answer
    [shed] = [call.wait() for call in context.stuck if call.dead]
    assert (shed.failure.kind.value, shed.ran.value) == (kind, ran), shed
    assert context.fleet.upstream_by_id["a"].ran == ["/whole"]


@then("nothing is held once the bodies were cut")
def check_bodies_cut(context):
    for call in context.stuck:
        call.kill()
    assert until(lambda: not context.pool.reserved)


@given("a node beside an upstream that stops reading")
def make_paused(context):
    upstream = context.upstream = BodyUpstream(lambda head: answer(200, b"ok"))
    context.add_cleanup(upstream.close)
    upstream.pause_at = MIB
    fleet = context.fleet = Fleet()
    context.add_cleanup(fleet.__exit__)
    fleet.limits = evolve(DEFAULT_CALLER_LIMITS, max_body_bytes=64 * MIB)
    fleet.add("a", upstream_port=upstream.port)
    context.crowd = []


@when("{count:d} callers, more than there are slots, send large bodies in part")
def send_parts(context, count):
    fleet, upstream = context.fleet, context.upstream
    path = context.path = fleet.path_by_id["a"]
    assert count > fleet.slots
    head = _head(b"Content-Length: %d" % (64 * MIB))
    context.crowd = [fleet.raw("a", head + b"x" * 2 * MIB) for _ in range(fleet.slots)]
    assert until(
        lambda: [body.size >= MIB for body in upstream.bodies] == [True] * fleet.slots
    )
    for _ in range(count - fleet.slots):
        context.crowd.append(fleet.raw("a", head + b"x" * (UNIT_BYTES + UNREAD_BYTES)))
    assert until(lambda: path.owner.admission.queued == count - fleet.slots)


@when("the callers that wait for a slot {leave}")
def leave(context, leave):
    waiting = context.crowd[context.fleet.slots :]
    for sock in waiting:
        if leave == "reset":
            reset_at_close(sock)
        sock.close()


@then("the node holds only what the others need")
def check_held(context):
    path, slots = context.path, context.fleet.slots
    assert until(lambda: not path.owner.admission.queued)
    assert until(lambda: path.body_budget.reserved == slots * UPLOAD_RESERVED_BYTES)
    counts = path.metrics.count_by_name
    assert counts.get("calls_cancelled") == len(context.crowd) - slots, counts


NOW_S = 100.0


@given("a pool of {limit:d} units and a reserve of {reserve:d} that is held by {text}")
def make_pool(context, limit, reserve, text):
    context.clock = FakeClock()
    context.pool = bodypool.BodyPool(clock=context.clock, limit=limit * UNIT_BYTES)
    assert context.pool.reserve_limit == reserve * UNIT_BYTES
    context.woken, context.holders = [], []
    awaited = []
    for number, words in enumerate(text.split(", ")):
        size, units, state = words.split(" ", 2)
        share = _open(context, size, number)
        assert share.resize(int(units) * UNIT_BYTES)
        context.holders.append(share)
        share.is_passed_on = state.startswith("passed on")
        if state == "trickling":
            # A byte a second for a minute.
            share.awaited_s, share.received_bytes, state = 60.0, 60, "0"
        if state != "received":
            awaited.append((NOW_S - float(state.split(" ")[-1]), share))
    for since_s, share in sorted(awaited, key=itemgetter(0)):
        context.clock.now = since_s
        share.begin_wait()
    context.clock.now = NOW_S


def _open(context, size, number):
    return context.pool.open(
        length=1 if size == "small" else None,
        on_shed=lambda: context.woken.append(number),
    )


@when("{newcomer} needs {units:d} units")
def need_units(context, newcomer, units):
    if newcomer in ("the first", "the second"):
        share = context.holders[newcomer == "the second"]
        share.end_wait(0)
    else:
        size = "small" if newcomer == "a small one" else "large"
        share = _open(context, size, len(context.holders))
    context.newcomer = share
    context.before = share.held_bytes
    context.admitted = share.resize(context.before + units * UNIT_BYTES)
    context.needed_bytes = units * UNIT_BYTES


@then("{who} gives way")
def check_gives_way(context, who):
    expected = {"the second one": [1], "both": [1, 0]}.get(
        who.removesuffix(" as overloaded"), []
    )
    assert context.woken == expected, context.woken
    kind = Kind.OVERLOADED if who.endswith("overloaded") else Kind.BODY_TOO_SLOW
    for number in expected:
        shed = context.holders[number]
        assert shed.failure.kind is kind and shed.held_bytes == 0
        assert not shed.resize(1)
    newcomer = context.newcomer
    if who == "the newcomer":
        assert not context.admitted and newcomer.held_bytes == 0
        assert newcomer.failure == bodypool.NO_ROOM
    else:
        assert context.admitted
        assert newcomer.held_bytes == context.before + context.needed_bytes
    _check_sums(context)


def _check_sums(context):
    pool, shares = context.pool, {*context.holders, context.newcomer}
    assert pool.reserved == sum(share.held_bytes for share in shares)
    assert pool.held_bytes <= pool.limit and pool.reserve_bytes <= pool.reserve_limit
    for share in shares:
        share.release()
        share.release()
    assert (pool.held_bytes, pool.reserve_bytes) == (0, 0) and not pool._waiting


@when("{count:d} chunks of 2 bytes of a body arrive at once")
def send_small_chunks(context, count):
    context.chunks, context.turns, is_over = count, 0, False

    def take_turns():
        while not is_over:
            context.turns += 1
            eventlet.sleep(0)

    counter = eventlet.spawn(take_turns)
    pool = context.fleet.path_by_id["a"].body_budget
    beginning = _head(b"Transfer-Encoding: chunked") + b"2\r\nxx\r\n" * count
    context.crowd.append(context.fleet.raw("a", beginning))
    assert until(lambda: pool.reserved >= 2 * count)
    is_over = True
    counter.wait()
    context.held = pool.reserved


@then("others have a turn after every few chunks, and its bytes are held once")
def check_turns_beside_chunks(context):
    assert context.turns >= context.chunks / 100, context.turns
    assert context.held <= 2 * context.chunks + READ_BYTES, context.held
