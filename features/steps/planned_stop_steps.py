import socket as plain_socket

import eventlet
from behave import given, then, when
from calls_rig import Fleet, answer, read_answer, until
from eventlet.green import socket

from comfreytray.calls import callers, httpserver
from comfreytray.calls.aheadshare import AheadShare
from comfreytray.calls.callers import CallerConnections, Listener
from comfreytray.calls.stopping import StopSchedule
from comfreytray.calls.transitmemory import TransitMemory
from comfreytray.common.clock import SystemClock
from comfreytray.common.metrics import Metrics
from comfreytray.configuration.callerlimits import DEFAULT_CALLER_LIMITS

REQUEST = b"GET /%s HTTP/1.1\r\nHost: a.example\r\n\r\n"
ANSWER = b"x" * 100_000
_NODE_REQUEST = b"GET /%s HTTP/1.1\r\nHost: canhdieu.test\r\n\r\n"


class _CallPathStub:
    leaving = False

    def __init__(self):
        self.clock = SystemClock()
        self.metrics = Metrics()
        self.answer_memory = TransitMemory(purpose="answers")
        self.callers = CallerConnections()
        self.ahead_share = AheadShare()
        self.pending_head_by_socket = {}

    def caller_limits(self):
        return DEFAULT_CALLER_LIMITS

    def encode_refusal(self, failure, accept_language):
        return b"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n"


def _read_answer(sock):
    data = b""
    while b"\r\n\r\n" not in data:
        part = sock.recv(65536)
        assert part, "cut off"
        data += part
    head, _, body = data.partition(b"\r\n\r\n")
    while len(body) < len(ANSWER):
        part = sock.recv(65536)
        assert part, f"cut off after {len(body)} bytes"
        body += part
    assert head.startswith(b"HTTP/1.1 200"), head
    assert body == ANSWER


@given("an HTTP server with an open connection that has had one answer")
def start_server(context):
    context.ran = []

    def application(environ, start_response):
        path = environ["PATH_INFO"]
        context.ran.append(path)
        if path == "/slow":
            context.slow_started.send()
            context.may_finish.wait()
        assert path != "/body" or environ["wsgi.input"].read() == b"body"
        start_response("200 OK", [("Content-Length", str(len(ANSWER)))])
        return [ANSWER]

    context.slow_started, context.may_finish = (
        eventlet.event.Event(),
        eventlet.event.Event(),
    )
    context.call_path_stub = _CallPathStub()
    sock = eventlet.listen(("127.0.0.1", 0))
    context.address = sock.getsockname()
    on_accept = context.call_path_stub.callers.mark_accepted
    context.listener = Listener(sock, on_accept=on_accept)
    context.server = eventlet.spawn(
        httpserver.serve, context.listener, application, context.call_path_stub
    )
    context.connection = socket.create_connection(context.address)
    context.connection.sendall(REQUEST % b"first")
    _read_answer(context.connection)
    while not context.call_path_stub.callers.idle_sockets:
        eventlet.sleep(0)


def _begin_stop(context):
    context.listener.stop_accepting()
    return eventlet.spawn(context.call_path_stub.callers.stop, 30.0)


@when("its next request arrives and the stop begins before it is read")
def stop_before_read(context):
    context.path = "/next"
    # The bytes reach the kernel; no other green thread runs before the stop begins.
    context.connection.fd.sendall(REQUEST % b"next")
    context.stop = _begin_stop(context)


@when("the head of its next request arrives, the stop begins and the body follows")
def stop_before_body(context):
    context.path = "/body"
    head = b"POST /body HTTP/1.1\r\nHost: a.example\r\nContent-Length: 4\r\n\r\n"
    context.connection.fd.sendall(head)
    context.stop = _begin_stop(context)
    eventlet.sleep(0.05)
    context.connection.sendall(b"body")


@when(
    "another connection is opened, the stop begins and 0.1 s later it sends a request"
)
def stop_before_first_request(context):
    context.path = "/next"
    context.answered_connection = context.connection
    context.connection = socket.create_connection(context.address)
    while len(context.call_path_stub.callers.idle_sockets) < 2:
        eventlet.sleep(0)
    context.stop = _begin_stop(context)
    eventlet.sleep(0.1)
    context.connection.sendall(REQUEST % b"next")


@when(
    "{count:d} callers connect and send a request, and the stop begins before any is "
    "accepted"
)
def stop_with_queued_connections(context, count):
    context.connections = []
    # The kernel takes the bytes; no other green thread runs before the stop begins.
    for number in range(count):
        sock = plain_socket.create_connection(context.address)
        sock.sendall(REQUEST % b"queued-%d" % number)
        sock.setblocking(False)
        context.connections.append(socket.socket(fileno=sock.detach()))
    context.connection.close()
    context.stop = _begin_stop(context)


@then("each of their requests runs once and its whole answer arrives")
def check_queued_answers(context):
    got = [_read_or_error(sock) for sock in context.connections]
    assert set(got) == {""}, f"{sum(map(bool, got))} of {len(got)}: {set(got)}"
    wanted = {f"/queued-{number}" for number in range(len(got))}
    assert sorted(context.ran[1:]) == sorted(wanted), context.ran


def _read_or_error(sock):
    try:
        _read_answer(sock)
    except (OSError, AssertionError) as error:
        return repr(error)
    return ""


@then("the connections are closed and a new connection is refused")
def check_queued_ends(context):
    assert [sock.recv(1) for sock in context.connections] == [b""] * len(
        context.connections
    )
    context.connection = context.connections[0]
    check_end(context)


@when("the stop begins while a slow request runs")
def stop_while_running(context):
    context.path = "/slow"
    context.connection.sendall(REQUEST % b"slow")
    context.slow_started.wait()
    context.stop = _begin_stop(context)
    eventlet.sleep(0)
    context.may_finish.send()


@when("half of a head arrives behind a slow request, that one ends and the stop begins")
def stop_within_head(context):
    context.path = "/next"
    stub, head = context.call_path_stub, REQUEST % b"next"
    context.connection.sendall(REQUEST % b"slow")
    context.slow_started.wait()
    context.connection.sendall(head[:20])
    while not stub.pending_head_by_socket:
        eventlet.sleep(0)
    eventlet.sleep(0.02)
    context.may_finish.send()
    eventlet.sleep(0.05)
    context.stop = _begin_stop(context)
    eventlet.sleep(0.05)
    context.connection.sendall(head[20:])


@then("the slow request's answer is whole")
def check_slow_answer(context):
    _read_answer(context.connection)


@then("the request runs once and its whole answer arrives")
def check_answer(context):
    _read_answer(context.connection)
    assert context.ran.count(context.path) == 1


@then("the connection is closed and a new connection is refused")
def check_end(context):
    assert context.stop.wait() is True
    assert context.connection.recv(1) == b""
    try:
        socket.create_connection(context.address)
    except ConnectionRefusedError:
        pass
    else:
        raise AssertionError("a new connection was accepted")
    context.listener.end()
    context.server.wait()


@given("a node whose caller has an idle connection and whose upstream takes 0.3 s")
def make_node(context):
    def script(head, body):
        eventlet.sleep(0.3)
        return answer(200, b"ok")

    context.fleet = Fleet()
    context.add_cleanup(context.fleet.__exit__)
    context.fleet.add("a", script=script)
    context.sock = context.fleet.raw("a", _NODE_REQUEST % b"first")
    assert read_answer(context.sock).status == 200


@when("the stop begins and a request arrives before the end of input is noticed")
def stop_at_request(context):
    shut_down = callers.shut_down_reading

    def shut_down_then_send(sock):
        shut_down(sock)
        context.sock.fd.sendall(_NODE_REQUEST % b"second")

    callers.shut_down_reading = shut_down_then_send
    try:
        path = context.fleet.path_by_id["a"]
        context.finished = eventlet.spawn(path.callers.stop, 5.0)
        context.got = read_answer(context.sock)
    finally:
        callers.shut_down_reading = shut_down


@then("the request runs once and is answered by the upstream")
def check_answered(context):
    assert (context.got.status, context.got.body) == (200, b"ok"), context.got.status
    assert context.fleet.upstream_by_id["a"].ran == ["/first", "/second"]
    assert context.finished.wait()


@given("a node that enters calls for an instance beside another node")
def make_two_nodes(context):
    def script(head, body):
        eventlet.sleep(0.0 if b"short" in head else 3.0)
        return answer(200, b"ok")

    context.fleet = Fleet()
    context.add_cleanup(context.fleet.__exit__)
    context.fleet.add("entry", service="other")
    context.fleet.add("owner", script=script)


def _call_slowly(context, name, complete_at_s, deadline_ms):
    """Send a head at once and the body later; return the answer."""
    lines = [
        f"POST /{name} HTTP/1.1",
        "Host: canhdieu.test",
        f"Comfreytray-Deadline-Ms: {deadline_ms}",
        "Content-Length: 1",
        "",
        "",
    ]
    sock = context.fleet.raw("entry", "\r\n".join(lines).encode())
    eventlet.sleep(complete_at_s)
    sock.sendall(b"x")
    try:
        return read_answer(sock)
    finally:
        sock.close()


@when("calls of 3 s are complete 0.1, 0.7 and 0.9 s after a stop began that leaves 1 s")
def stop_with_late_calls(context):
    path = context.fleet.path_by_id["entry"]
    now = path.clock.monotonic()
    rows = [("early", 0.1, 5000), ("late", 0.7, 5000), ("last", 0.9, 5000)]
    rows.append(("short", 0.7, 950))
    calls = {row[0]: eventlet.spawn(_call_slowly, context, *row) for row in rows}
    path.ask_to_close(StopSchedule(began_at=now, ends_at=now + 1.0))
    eventlet.sleep(0.2)
    path.stop_http(0.8)
    path.drain(0.0)
    path.callers.shut_sockets.clear()
    for sock in list(path.callers.busy_sockets):
        sock.fd.shutdown(2)
    context.got = {name: call.wait() for name, call in calls.items()}


@then("those that could not end in time are refused as not run and ran nowhere")
def check_late_refused(context):
    late = [context.got[name] for name in ("late", "last")]
    got = [(answer.status, answer.kind, answer.ran) for answer in late]
    assert [(status, ran) for status, _, ran in got] == [(503, "no")] * 2, got
    ran = context.fleet.upstream_by_id["owner"].ran
    assert set(ran) == {"/early", "/short"}, ran


@then("a call whose caller waits for less than what is left gets its answer")
def check_short_answered(context):
    assert context.got["short"].status == 200, context.got["short"].status


@when("three lookups sent ahead are at their upstream and a stop begins")
def stop_with_lookups_ahead(context):
    lookups = [b"GET /%s HTTP/1.1\r\nHost: canhdieu.test\r\n\r\n"] * 3
    names = (b"first", b"second", b"third")
    data = b"".join(line % name for line, name in zip(lookups, names, strict=True))
    context.sock = context.fleet.raw("entry", data)
    ran = context.fleet.upstream_by_id["owner"].ran
    assert until(lambda: len(ran) == 3), ran
    path = context.fleet.path_by_id["entry"]
    now = path.clock.monotonic()
    path.ask_to_close(StopSchedule(began_at=now, ends_at=now + 10.0))


@when("the caller sends a fourth before the first is answered")
def send_fourth(context):
    context.sock.sendall(_NODE_REQUEST % b"fourth")


@then(
    "each request that ran is answered by its upstream, "
    "and only the last answer closes the connection"
)
def check_all_answered(context):
    data = b""
    while part := context.sock.recv(65536):
        data += part
    heads = [part for part in data.split(b"HTTP/1.1 ") if part]
    ran = context.fleet.upstream_by_id["owner"].ran
    assert len(ran) >= 3, ran
    assert [head[:3] for head in heads] == [b"200"] * len(ran), (ran, data)
    closes = [b"connection: close" in head.lower() for head in heads]
    assert closes == [False] * (len(ran) - 1) + [True], data
