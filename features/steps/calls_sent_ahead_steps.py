# Requests that were sent ahead: what pends, whose turn it is, and when it ends.

import gc
import math
import socket as plain_socket
import time

import eventlet
from behave import given, then, when
from calls_rig import WAIT_S, Fleet, answer, until
from eventlet.green import socket

from comfreytray.calls import aheadshare
from comfreytray.calls.aheadshare import TURNS_PER_ROUND, AheadShare, pending_for
from comfreytray.calls.pipelines import (
    MAX_BEHIND_BLOCKED,
    DropReason,
    Pipeline,
    PipelinedResponse,
)
from comfreytray.calls.transitmemory import TransitMemory
from comfreytray.configuration.snapshots import Route

BUFFER_BYTES = 16_384
CALLERS = 12
SETTLE_S = 0.5
HOST = "Host: canhdieu.test\r\n"


@given("a node that takes few bytes for a caller that does not read")
def make_node(context):
    context.fleet = Fleet(slots=4)
    context.add_cleanup(context.fleet.__exit__)
    context.fleet.routes = (
        Route(
            customer="canhdieu",
            name="known",
            path="/known",
            methods=frozenset({"GET"}),
            service="lichbay",
            timeout_s=WAIT_S,
        ),
    )
    context.path = context.fleet.add("a", script=lambda head, body: answer(200, b"ok"))
    assert until(lambda: context.path._listener is not None)
    context.path._listener.setsockopt(
        plain_socket.SOL_SOCKET, plain_socket.SO_SNDBUF, BUFFER_BYTES
    )
    context.begun = 0
    read = context.path.reader.read

    def count(environ, snapshot):
        context.begun += 1
        return read(environ, snapshot)

    context.path.reader.read = count


def _send_ahead(context, data):
    sock = socket.socket()
    sock.setsockopt(plain_socket.SOL_SOCKET, plain_socket.SO_RCVBUF, BUFFER_BYTES)
    sock.connect(context.fleet.http_by_id["a"])
    context.socks.append(sock)
    eventlet.spawn_n(_push, sock, data)


def _push(sock, data):
    try:
        sock.sendall(data)
    except OSError:
        return


def _settle(context):
    """Wait until no more requests are begun."""
    before = -1
    while before != context.begun:
        before = context.begun
        eventlet.sleep(SETTLE_S)


@when("12 callers send 1000 requests each to a path of no route and read nothing")
def send_ahead(context):
    context.socks = []
    for _ in range(CALLERS):
        _send_ahead(context, f"GET /none HTTP/1.1\r\n{HOST}\r\n".encode() * 1000)
    _settle(context)
    assert CALLERS < context.begun < CALLERS * 1000, context.begun


@then("few requests of each caller are pending")
def check_pending(context):
    pending = context.path.ahead_share.pending
    # Those of one round may have begun before the first answer was blocked.
    assert pending <= CALLERS * TURNS_PER_ROUND, pending


@then("answers that wait keep no head of their request")
def check_heads(context):
    waiting = [
        held
        for held in gc.get_objects()
        if isinstance(held, PipelinedResponse) and held.finished
    ]
    assert waiting
    assert all(held._request.headers is None for held in waiting), len(waiting)


@then("an ordinary call is answered")
def check_ordinary(context):
    got = context.fleet.call("a", target="/known")
    assert (got.status, got.body) == (200, b"ok"), (got.status, got.kind)


@when("the 12 callers hang up")
def hang_up(context):
    context.before = context.begun
    for sock in context.socks:
        sock.close()
    _settle(context)


@then("no request that they had sent ahead is begun any more")
def check_ended(context):
    begun = context.begun - context.before
    assert begun <= CALLERS * MAX_BEHIND_BLOCKED, begun
    assert until(lambda: context.path.ahead_share.pending == 0)
    assert until(lambda: not context.path.callers.busy_sockets)


def _pipeline(context, ahead=None):
    context.taken = eventlet.event.Event()
    return Pipeline(
        send=lambda data: context.taken.wait(),
        memory=TransitMemory(purpose="answers"),
        on_idle=lambda: None,
        on_close=lambda: None,
        on_drop=lambda count, reason: None,
        ahead=ahead,
    )


@given("a pipeline whose caller takes nothing, with an answer and 3 requests behind it")
def make_blocked(context):
    context.pipeline = _pipeline(context)
    first, *_ = [context.pipeline.add_response() for _ in range(4)]
    first.write(b"answer")
    context.writer = eventlet.spawn(first.finish, closes_connection=False)
    eventlet.sleep(0)


@when("another request of it may run")
def ask(context):
    context.reader = eventlet.spawn(context.pipeline.wait_for_capacity)
    eventlet.sleep(0.05)


@then("it waits until the caller takes the answer")
def check_waits(context):
    assert not context.reader.dead
    context.taken.send()
    with eventlet.Timeout(WAIT_S):
        context.reader.wait()


@when("another request of it may run and the connection closes")
def ask_and_close(context):
    ask(context)
    assert not context.reader.dead
    context.pipeline.close(DropReason.CALLER_LEFT)


@then("the greenlet that reads the connection ends")
def check_ends(context):
    with eventlet.Timeout(WAIT_S):
        context.reader.wait()
    context.writer.kill()


def _wait_for_turns(context, count):
    share, context.got, context.round = AheadShare(), [], 0

    def wait(number):
        share.wait_for_turn()
        context.got.append((context.round, number))

    return [eventlet.spawn(wait, number) for number in range(count)]


@when("100 connections wait for the turn of a request that was sent ahead")
def wait_for_turns(context):
    _wait_for_turns(context, 100)
    while len(context.got) < 100 and context.round < 1000:
        context.round += 1
        eventlet.sleep(0)


@then("at most 8 of them get it in one round, in the order in which they came")
def check_turns(context):
    assert [number for _, number in context.got] == list(range(100)), context.got
    rounds = [turn for turn, _ in context.got]
    assert max(map(rounds.count, rounds)) <= 8, rounds


@when("20 connections wait for a turn and those of the second 4 are killed")
def kill_some(context):
    greenlets = _wait_for_turns(context, 20)
    # The first 8 have their turns at once, the others wait in the first round.
    eventlet.sleep(0)
    for greenlet in greenlets[8:12]:
        eventlet.hubs.get_hub().schedule_call_global(0, greenlet.throw)


@then("the other 16 get their turns")
def check_others(context):
    assert until(lambda: len(context.got) == 16), context.got
    assert [number for _, number in context.got] == [*range(8), *range(12, 20)], (
        context.got
    )


@when("3 connections send 10 requests each to a process that holds 4 sent ahead")
def fill_share(context):
    context.share = AheadShare(max_pending=4)
    context.pipelines = [_pipeline(context, context.share) for _ in range(3)]
    context.taken.send()
    context.responses = []

    def read(pipeline):
        for _ in range(10):
            pipeline.wait_for_capacity()
            if pipeline.closed:
                return
            context.responses.append(pipeline.add_response())

    for pipeline in context.pipelines:
        eventlet.spawn(read, pipeline)
    eventlet.sleep(0.05)


@then("7 requests are pending, and more only once an answer was written")
def check_share(context):
    assert (len(context.responses), context.share.pending) == (7, 4)
    context.responses[0].finish(closes_connection=False)
    assert until(lambda: len(context.responses) == 8), len(context.responses)
    eventlet.sleep(0.05)
    assert (len(context.responses), context.share.pending) == (8, 4)


@then("nothing is pending once the connections are closed")
def check_none_pending(context):
    for pipeline in context.pipelines:
        pipeline.close(DropReason.CALLER_LEFT)
    assert context.share.pending == 0, context.share.pending


@when("a process has {memory} MB")
def give_memory(context, memory):
    context.bytes = math.inf if memory == "unlimited" else float(memory) * 1e6


@then("it holds {requests:d} requests that were sent ahead")
def check_requests(context, requests):
    assert pending_for(context.bytes) == requests, pending_for(context.bytes)


@given("a share of turns whose waits end after 1 ms")
def make_hasty_share(context):
    context.add_cleanup(setattr, aheadshare, "WAIT_S", aheadshare.WAIT_S)
    aheadshare.WAIT_S = 0.001
    context.share = AheadShare()


@when("{count:d} connections take {turns:d} turns each in rounds of about 1 ms")
def take_turns(context, count, turns):
    context.taken, context.due = 0, count * turns

    def take():
        for _ in range(turns):
            context.share.wait_for_turn()
            context.taken += 1
            time.sleep(0.0001)

    takers = [eventlet.spawn(take) for _ in range(count)]
    until(lambda: context.taken == context.due)
    for taker in takers:
        taker.kill()


@then("all turns are taken")
def check_turns_taken(context):
    assert context.taken == context.due, (context.taken, context.due)
