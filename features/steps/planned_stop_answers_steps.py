import eventlet
from behave import given, then, when
from calls_rig import Fleet, answer, read_answer, until

from comfreytray.calls.stopping import StopSchedule

LARGE = b"x" * 3_000_000


@given("a node whose upstream answers with 3 MB")
def make_node_of_large_answers(context):
    context.fleet = Fleet()
    context.add_cleanup(context.fleet.__exit__)
    context.fleet.add("a", script=lambda head, body: answer(200, LARGE))


def _post(name, size):
    head = f"POST /{name} HTTP/1.1\r\nHost: canhdieu.test\r\nContent-Length: {size}"
    return head.encode() + b"\r\n\r\n" + b"y" * size


@when(
    "a caller sends a request and more behind it, and reads {pause:g} s after the stop"
)
def send_ahead_and_stop(context, pause):
    path = context.fleet.path_by_id["a"]
    now = path.clock.monotonic()
    path.ask_to_close(StopSchedule(began_at=now, ends_at=now + 5.0))
    sock = context.fleet.raw("a", _post("first", 1))
    sock.sendall(_post("behind", 50_000) * 4)
    assert until(lambda: path.owner.admission.held == 0 and path.in_flight == 0)
    finished = eventlet.spawn(path.stop_http, 5.0)
    # The answer is in the kernel's buffers; the caller takes it only now.
    eventlet.sleep(pause)
    context.got = _read_slowly(sock)
    assert finished.wait()


def _read_slowly(sock):
    data = b""
    while True:
        try:
            part = sock.recv(65536)
        except OSError:
            break
        if not part:
            break
        data += part
        eventlet.sleep(0.005)
    return data.partition(b"\r\n\r\n")


@then("the whole answer arrives and the requests behind it ran nowhere")
def check_large_answer(context):
    head, _, body = context.got
    assert head.startswith(b"HTTP/1.1 200"), head
    assert b"connection: close" in head.lower(), head
    assert len(body) == len(LARGE), f"cut off after {len(body)} of {len(LARGE)} bytes"
    assert context.fleet.upstream_by_id["a"].ran == ["/first"]


HUGE_BYTES = 4_200_000


@given("a node that enters calls for an instance whose answers have 4.2 MB")
def make_node_of_huge_answers(context):
    context.fleet = Fleet()
    context.add_cleanup(context.fleet.__exit__)
    context.fleet.add("entry", service="other")
    body = b"x" * HUGE_BYTES
    context.fleet.add("owner", script=lambda head, _: answer(200, body))


@when("a caller reads its answer only as the instance's node drains and ends")
def read_after_drain(context):
    path = context.fleet.path_by_id["owner"]
    sock = context.fleet.raw(
        "entry", b"GET /huge HTTP/1.1\r\nHost: canhdieu.test\r\n\r\n"
    )
    assert until(lambda: path.owner.in_flight == 1)
    assert until(lambda: path.owner.in_flight == 0)

    def drain_and_end():
        assert path.drain(10.0)
        path.server.__exit__(None, None, None)

    ended = eventlet.spawn(drain_and_end)
    eventlet.sleep(0.2)
    context.got = read_answer(sock)
    ended.wait()


@then("the whole answer of 4.2 MB arrives")
def check_huge_answer(context):
    got = context.got
    assert (got.status, len(got.body)) == (200, HUGE_BYTES), len(got.body)
