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


@given("an upstream that answers the later requests first")
def make_reversing(context):
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
    held = b""
    while True:
        part = sock.recv(65536)
        if not part:
            return held
        held += part


def _bodies(held):
    return [part.partition(b"\r\n\r\n")[2] for part in held.split(b"HTTP/1.1 200 ")[1:]]


@when("a caller sends three lookups ahead on one connection")
def send_ahead(context):
    context.last = 3
    data = _lookup(b"/1") + _lookup(b"/2") + _lookup(b"/3", b"Connection: close")
    context.held = _read_all(context.fleet.raw("a", data))


@then("all three ran at one time and the answers come in order")
def check_order(context):
    assert context.upstream.most_running == 3, context.upstream.most_running
    assert _bodies(context.held) == [b"answer 1", b"answer 2", b"answer 3"]


@when("a caller sends lookups behind one that closes the connection")
def send_behind(context):
    context.last = 2
    data = _lookup(b"/1") + _lookup(b"/2", b"Connection: close") + _lookup(b"/3")
    context.held = _read_all(context.fleet.raw("a", data))


@then("it gets the answers up to that one and then the end")
def check_end(context):
    assert _bodies(context.held) == [b"answer 1", b"answer 2"], context.held


@when("a caller sends three lookups ahead and hangs up")
def hang_up(context):
    sock = context.fleet.raw("a", _lookup(b"/1") + _lookup(b"/2") + _lookup(b"/3"))
    assert until(lambda: context.upstream.running == 3)
    sock.close()


@then("none of them holds a slot")
def check_free(context):
    path = context.fleet.path_by_id["a"]
    assert until(lambda: path.owner.admission.held == 0)
    assert until(lambda: path.in_flight == 0), path.in_flight


@when("a caller sends a lookup, a booking with a body and a lookup ahead")
def send_mixed(context):
    context.last = 1
    booking = b"POST /2 HTTP/1.1\r\n" + HOST + b"Content-Length: 3\r\n\r\nabc"
    data = _lookup(b"/1") + booking + _lookup(b"/3", b"Connection: close")
    context.held = _read_all(context.fleet.raw("a", data))


@then("the three answers come in order and each ran once")
def check_mixed(context):
    assert _bodies(context.held) == [b"answer 1", b"answer 2", b"answer 3"]
    assert sorted(context.upstream.ran) == ["/1", "/2", "/3"], context.upstream.ran
