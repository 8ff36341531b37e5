# Connections of a port: how many it takes, and which one ends for a newcomer.

import contextlib
import math
import socket as plain_socket

import eventlet
from behave import given, then, when
from calls_rig import WAIT_S, read_answer, until
from eventlet.green import socket

from comfreytray.calls import streamserver
from comfreytray.calls.aheadshare import TURNS_PER_ROUND
from comfreytray.calls.streamserver import StreamServer
from comfreytray.common.clock import SystemClock
from comfreytray.common.connectionlimits import (
    Connection,
    LimitedListener,
    Rank,
    least_useful,
)
from comfreytray.common.metrics import Metrics
from comfreytray.node.interfaceserver import serve_interface
from comfreytray.node.ports import RESERVED_DESCRIPTORS, Port, connections_for
from comfreytray.replication import links
from comfreytray.replication.links import FollowerLinks

NOW_S = 1000.0
PLACES = {"first": 0, "second": 1, "third": 2}
REQUEST = b"GET / HTTP/1.1\r\nHost: a.example\r\n\r\n"


def _number(text):
    return math.inf if text == "unlimited" else float(text)


def _connections(memory_bytes, max_fds):
    return [
        connections_for(port, memory_bytes=memory_bytes, max_fds=max_fds)
        for port in (Port.CALLERS, Port.NODES, Port.REPLICATION, Port.INTERFACE)
    ]


@when("a process has {memory} MB and {descriptors} descriptors")
def give_limits(context, memory, descriptors):
    context.taken = _connections(_number(memory) * 1e6, _number(descriptors))


@then(
    "it takes {callers:d} callers, {nodes:d} nodes, {followers:d} followers and "
    "{checks:d} checks"
)
def check_limits(context, callers, nodes, followers, checks):
    assert context.taken == [callers, nodes, followers, checks], context.taken


@when("processes have any number of descriptors from 400 on")
def give_descriptors(context):
    context.taken_by_fds = {
        fds: _connections(math.inf, fds) for fds in range(400, 9000)
    }


@then("a quarter of those that are not reserved is left")
def check_left(context):
    for fds, (callers, nodes, followers, checks) in context.taken_by_fds.items():
        # Readiness, heartbeats and metrics have a port each.
        taken = callers + nodes + followers + 3 * checks
        free = fds - RESERVED_DESCRIPTORS
        assert free - taken >= free / 4, (fds, taken)


class _Socket:
    def __init__(self):
        self._trampoline = self.close = None


def _connection(text):
    connection = Connection(sock=_Socket(), clock=lambda: NOW_S)
    since = NOW_S - float(text.split()[-2]) if text.endswith(" s") else None
    if "busy" in text:
        connection.waited_at = since
    elif "unread" in text:
        connection.unread_since = since
    else:
        connection.silent_since = since
    rank = Rank.IDLE
    if "served" in text or "work" in text:
        rank = Rank.SERVED
    elif "unknown" in text:
        rank = Rank.UNKNOWN
    return connection, rank


@when("connections are {texts}")
def make_connections(context, texts):
    pairs = [_connection(text) for text in texts.split(", ")]
    context.connections = [connection for connection, _ in pairs]
    rank_by_socket = {connection.sock: rank for connection, rank in pairs}
    context.victim = least_useful(context.connections, rank_by_socket.get)


@then("the one that ends is {place}")
def check_victim(context, place):
    expected = None if place == "none" else context.connections[PLACES[place]]
    assert context.victim is expected


@given("an interface that takes 8 connections")
def serve(context):
    context.metrics, context.answers_by_round, context.round = Metrics(), {}, 0
    sock = eventlet.listen(("127.0.0.1", 0))
    sock.setsockopt(plain_socket.SOL_SOCKET, plain_socket.SO_SNDBUF, 16_384)
    context.address = sock.getsockname()
    context.listener = LimitedListener(
        sock, port="interface", limit=8, metrics=context.metrics
    )

    def application(environ, start_response):
        answers = context.answers_by_round
        answers[context.round] = answers.get(context.round, 0) + 1
        start_response("200 OK", [("Content-Length", "2")])
        return [b"ok"]

    greenlet = eventlet.spawn(serve_interface, context.listener, application)
    context.add_cleanup(greenlet.kill)


def _connect(context):
    sock = socket.create_connection(context.address)
    sock.settimeout(WAIT_S)
    context.add_cleanup(sock.close)
    return sock


@when("20 connections to it say nothing")
def connect_silent(context):
    context.silent = []
    for _ in range(20):
        context.silent.append(_connect(context))
        eventlet.sleep(0.01)


@then("a request to it is answered")
def check_answered(context):
    sock = _connect(context)
    sock.sendall(REQUEST)
    with eventlet.Timeout(WAIT_S):
        assert read_answer(sock).body == b"ok"
    sock.close()


@then("at most 9 connections are open, and those that ended were counted")
def check_open(context):
    assert until(lambda: len(context.listener._connections) <= 9)
    shed = context.metrics.count_by_name["connections_shed_interface"]
    assert shed == 13, shed


@when("the silent ones hang up")
def hang_up(context):
    for sock in context.silent:
        sock.close()


@then("no connection is open")
def check_none_open(context):
    assert until(lambda: not context.listener._connections)


def _read_all(sock):
    # The scenario's end closes it.
    with contextlib.suppress(OSError, EOFError):
        while sock.recv(65_536):
            pass


@when("20 connections to it send 500 requests each")
def send_much(context):
    for _ in range(20):
        _connect(context).sendall(REQUEST * 500)
    eventlet.sleep(0.05)


@when("6 connections to it send 500 requests each at once")
def send_ahead(context):
    for _ in range(6):
        sock = _connect(context)
        sock.sendall(REQUEST * 500)
        eventlet.spawn_n(_read_all, sock)
    with eventlet.Timeout(WAIT_S):
        while sum(context.answers_by_round.values()) < 6 * 500:
            context.round += 1
            eventlet.sleep(0)


@then("at most 8 sent ahead are answered in one round of the loop")
def check_rounds(context):
    # Round 0 is all those in which the connections were made. The first request of
    # a connection needs no turn.
    most = max(n for turn, n in context.answers_by_round.items() if turn)
    assert most <= TURNS_PER_ROUND + 6, most


@when("a request with a body of 1000000 bytes is sent to it")
def send_long_body(context):
    sock = _connect(context)
    head = b"PUT / HTTP/1.1\r\nHost: a.example\r\nContent-Length: 1000000\r\n\r\n"
    sock.sendall(head)
    context.got = read_answer(sock)


@then("its answer closes the connection")
def check_closes(context):
    assert context.got.status == 200
    assert context.got.headers.get("connection") == "close", context.got.headers


@given("a listener that takes 2 connections of which both are served")
def listen_for_served(context):
    sock = eventlet.listen(("127.0.0.1", 0))
    context.address = sock.getsockname()
    context.listener = LimitedListener(
        sock,
        port="callers",
        limit=2,
        metrics=Metrics(),
        rank_of=lambda _: Rank.SERVED,
    )
    context.accepted = []

    def accept():
        while True:
            sock, _ = context.listener.accept()
            context.accepted.append(sock)
            eventlet.spawn_n(sock.recv, 1)

    greenlet = eventlet.spawn(accept)
    context.add_cleanup(greenlet.kill)
    context.socks = [_connect(context) for _ in range(2)]
    assert until(lambda: len(context.accepted) == 2)


@when("a third one connects")
def connect_third(context):
    context.third = _connect(context)


@then("only the third one ends")
def check_third(context):
    assert context.third.recv(1) == b""
    assert len(context.accepted) == 2
    for sock in context.socks:
        sock.sendall(b"x")
    eventlet.sleep(0.05)
    assert len(context.listener._connections) == 2


def _stream_server(context):
    server = StreamServer(
        node_id="a", clock=SystemClock(), handle=None, load=None, budget=None
    )
    return server.serve


def _follower_links(context):
    followers = FollowerLinks(clock=SystemClock(), on_frame=None, on_joined=None)
    return followers.serve


SERVER_BY_NAME = {
    "the call streams": _stream_server,
    "the replication": _follower_links,
}


@given("the server of {name}")
def serve_nodes(context, name):
    name, _, wait = name.partition(", ")
    for module in (streamserver, links):
        context.add_cleanup(setattr, module, "HELLO_TIMEOUT_S", module.HELLO_TIMEOUT_S)
        # Without a short wait, only the bound on bytes ends a connection.
        module.HELLO_TIMEOUT_S = 0.1 if wait else 3 * WAIT_S
    listener = eventlet.listen(("127.0.0.1", 0))
    context.address = listener.getsockname()
    greenlet = eventlet.spawn(SERVER_BY_NAME[name](context), listener)
    context.add_cleanup(greenlet.kill)


@when("a peer sends it 100000 bytes of a frame that does not end")
def send_part(context):
    context.peer = _connect(context)
    # The head of a value of 1 MB.
    context.peer.sendall(b"\xc6\x00\x10\x00\x00" + bytes(100_000))


@when("a peer connects and says nothing")
def say_nothing(context):
    context.peer = _connect(context)


@then("the connection ends")
def check_ends(context):
    with eventlet.Timeout(WAIT_S), contextlib.suppress(ConnectionResetError):
        assert context.peer.recv(1) == b""
