# A booking is a POST, which must not run twice; a lookup is a GET.

import eventlet
from behave import given, then, when
from calls_rig import Fleet, answer, until

HOST = b"Host: canhdieu.test\r\n"


def _lookup(target, *lines):
    head = b"GET %s HTTP/1.1\r\n" % target
    return head + HOST + b"".join(line + b"\r\n" for line in lines) + b"\r\n"


def _fleet(context, script):
    context.fleet = Fleet(slots=4)
    context.add_cleanup(context.fleet.__exit__)
    context.fleet.add("a", script=script)
    context.upstream = context.fleet.upstream_by_id["a"]


@given("an upstream that answers later requests first")
def make_upstream_in_reverse_order(context):
    context.released = {}

    def script(head, body):
        number = int(head.split(b" ")[1][1:])
        released = context.released.setdefault(number, eventlet.event.Event())
        if number + 1 <= context.last:
            context.released.setdefault(number + 1, eventlet.event.Event()).wait()
        if not released.ready():
            released.send()
        return answer(200, b"answer %d" % number)

    _fleet(context, script)


@given("an upstream that hangs")
def make_hanging(context):
    def script(head, body):
        eventlet.sleep(60)

    _fleet(context, script)


def _read_all(sock):
    received = b""
    while True:
        part = sock.recv(65536)
        if not part:
            return received
        received += part


def _bodies(received):
    return [
        part.partition(b"\r\n\r\n")[2] for part in received.split(b"HTTP/1.1 200 ")[1:]
    ]


@when("a caller pipelines three lookups on one connection")
def pipeline_three(context):
    context.last = 3
    data = _lookup(b"/1") + _lookup(b"/2") + _lookup(b"/3", b"Connection: close")
    context.received = _read_all(context.fleet.raw("a", data))


@then("all three ran at the same time and the answers arrive in order")
def check_order(context):
    assert context.upstream.most_running == 3, context.upstream.most_running
    assert _bodies(context.received) == [b"answer 1", b"answer 2", b"answer 3"]


@when('a caller pipelines a lookup after one with "Connection: close"')
def pipeline_after_close(context):
    context.last = 2
    data = _lookup(b"/1") + _lookup(b"/2", b"Connection: close") + _lookup(b"/3")
    context.received = _read_all(context.fleet.raw("a", data))


@then("it gets the answers up to that one and the connection is closed")
def check_closed(context):
    assert _bodies(context.received) == [b"answer 1", b"answer 2"], context.received


@when("a caller pipelines three lookups and hangs up")
def hang_up(context):
    sock = context.fleet.raw("a", _lookup(b"/1") + _lookup(b"/2") + _lookup(b"/3"))
    assert until(lambda: context.upstream.running == 3)
    sock.close()


@then("all their slots are released")
def check_released(context):
    path = context.fleet.path_by_id["a"]
    assert until(lambda: path.owner.admission.held == 0)
    assert until(lambda: path.in_flight == 0), path.in_flight


@when("a caller pipelines a lookup, a booking with a body and a lookup")
def pipeline_mixed(context):
    context.last = 1
    booking = b"POST /2 HTTP/1.1\r\n" + HOST + b"Content-Length: 3\r\n\r\nabc"
    data = _lookup(b"/1") + booking + _lookup(b"/3", b"Connection: close")
    context.received = _read_all(context.fleet.raw("a", data))


@then("the three answers arrive in order and each request ran once")
def check_mixed(context):
    assert _bodies(context.received) == [b"answer 1", b"answer 2", b"answer 3"]
    assert sorted(context.upstream.ran) == ["/1", "/2", "/3"], context.upstream.ran
