# Callers that read late: answers wait for their turn while an earlier one is written.

import itertools
import random
import socket as plain_socket

import eventlet
from behave import given, then, when
from calls_rig import WAIT_S, Fleet, answer, until
from eventlet.green import socket

from comfreytray.calls.pipelines import Pipeline
from comfreytray.calls.transitmemory import TransitMemory

LARGE_BYTES = 8_000_000
"""More than the kernel takes for a connection whose caller does not read."""
CALLER_BUFFER_BYTES = 16_384
WORK_S_BY_NUMBER = {1: 0.1, 3: 0.2, 4: 0.3, 5: 0.25, 6: 0.4}
HOST = b"Host: canhdieu.test\r\n"


def _body(number):
    return b"answer %d " % number + (b"x" * LARGE_BYTES if number == 2 else b"")


@given("an upstream whose second answer is larger than a connection takes at once")
def make_upstream(context):
    def script(head, body):
        number = int(head.split(b" ")[1][1:])
        eventlet.sleep(WORK_S_BY_NUMBER.get(number, 0.0))
        return answer(200, _body(number))

    context.fleet = Fleet(slots=8)
    context.add_cleanup(context.fleet.__exit__)
    context.fleet.add("a", script=script)
    context.upstream = context.fleet.upstream_by_id["a"]


@given("the node fails at the end of the second answer")
def fail_at_end(context):
    responder = context.fleet.path_by_id["a"].responder
    inner = responder.answer

    def answer_and_fail(environ, start_response, reply, *, on_end):
        def fail():
            on_end()
            raise RuntimeError("made by the test")

        if environ["PATH_INFO"] != "/2":
            fail = on_end
        return inner(environ, start_response, reply, on_end=fail)

    responder.answer = answer_and_fail


def _connect(context):
    sock = socket.socket()
    sock.setsockopt(
        plain_socket.SOL_SOCKET, plain_socket.SO_RCVBUF, CALLER_BUFFER_BYTES
    )
    sock.connect(context.fleet.http_by_id["a"])
    sock.settimeout(WAIT_S)
    return sock


def _lookups(count):
    return b"".join(b"GET /%d HTTP/1.1\r\n%s\r\n" % (n + 1, HOST) for n in range(count))


def _send_and_wait(context, data, runs):
    context.sock = _connect(context)
    context.sock.sendall(data)
    assert until(lambda: len(context.upstream.ran) == runs), context.upstream.ran
    # Further greenlets get their turn while the large answer waits for its caller.
    eventlet.sleep(0.3)


class _Buffered:
    """A connection of which answers are read one by one."""

    def __init__(self, sock):
        self._sock, self._rest = sock, b""

    def recv(self, size):
        rest, self._rest = self._rest, b""
        return rest or self._sock.recv(min(size, CALLER_BUFFER_BYTES))

    def read_answer(self):
        """Read an answer; the bytes behind it stay for the next."""
        head = b""
        while b"\r\n\r\n" not in head:
            part = self.recv(65536)
            if not part:
                return None
            head += part
        head, _, self._rest = head.partition(b"\r\n\r\n")
        fields = dict(line.lower().split(b": ", 1) for line in head.split(b"\r\n")[1:])
        length, body = int(fields.get(b"content-length", 0)), bytearray()
        while len(body) < length:
            part = self.recv(65536)
            if not part:
                return None
            body += part
        self._rest = bytes(body[length:]) + self._rest
        return int(head.split(b" ")[1]), bytes(body[:length])


@when("a caller pipelines six lookups and reads nothing until all have run")
def pipeline_six(context):
    _send_and_wait(context, _lookups(6), 6)


@then("it gets the six answers in order, each whole")
def check_six(context):
    reader = _Buffered(context.sock)
    for number in range(1, 7):
        assert reader.read_answer() == (200, _body(number)), number


@when("a caller pipelines two lookups and a booking that expects a 100 Continue")
def pipeline_expecting(context):
    booking = b"POST /3 HTTP/1.1\r\n" + HOST
    booking += b"Content-Length: 3\r\nExpect: 100-continue\r\n\r\n"
    _send_and_wait(context, _lookups(2) + booking, 2)


@then("it gets both answers whole, then the 100 Continue, and the booking's answer")
def check_continue(context):
    reader = _Buffered(context.sock)
    for number in (1, 2):
        assert reader.read_answer() == (200, _body(number)), number
    assert reader.read_answer() == (100, b"")
    context.sock.sendall(b"abc")
    assert reader.read_answer() == (200, _body(3))


@when("a caller pipelines three lookups and a malformed request, and reads late")
def pipeline_malformed(context):
    _send_and_wait(context, _lookups(3) + b"GET / HTTP/9.9\r\n\r\n", 3)


@then("it gets the three answers whole, then the refusal, and the connection is closed")
def check_refused(context):
    reader = _Buffered(context.sock)
    for number in (1, 2, 3):
        assert reader.read_answer() == (200, _body(number)), number
    refusal = reader.read_answer()
    assert refusal is not None and refusal[0] == 400, refusal
    assert reader.read_answer() is None


@then("it gets a beginning of the answers, in order, and the connection is closed")
def check_beginning(context):
    reader = _Buffered(context.sock)
    for number in itertools.count(1):
        got = reader.read_answer()
        if got is None:
            break
        assert got == (200, _body(number)), number
    assert number <= 3, number


@then("the node has counted the answers that it dropped")
def check_dropped(context):
    metrics = context.fleet.path_by_id["a"].metrics
    assert metrics.count_by_name.get("answers_dropped", 0) >= 4, metrics.count_by_name


class _BlockingConnection:
    """Takes bytes in parts and lets other greenlets run between them."""

    def __init__(self, rng):
        self._rng = rng
        self.received = bytearray()
        self.writers = 0
        self.most_writers = 0

    def send(self, data):
        self.writers += 1
        self.most_writers = max(self.most_writers, self.writers)
        while data:
            size = self._rng.randint(1, len(data))
            self.received += data[:size]
            data = data[size:]
            eventlet.sleep(self._rng.choice((0, 0, 0.001)))
        self.writers -= 1


def _play_pipeline(seed):
    """Write random answers; return the connection and what it should have got."""
    rng = random.Random(seed)
    connection = _BlockingConnection(rng)
    pipeline = Pipeline(
        send=connection.send,
        memory=TransitMemory(purpose="answers"),
        on_idle=lambda: None,
        on_close=lambda: None,
        on_drop=lambda count, reason: None,
    )
    answers = [
        [b"%d.%d;" % (number, part) for part in range(rng.randint(1, 4))]
        for number in range(rng.randint(2, 12))
    ]

    def run(response, parts):
        for part in parts:
            eventlet.sleep(rng.choice((0, 0, 0.001, 0.003)))
            response.write(part)
            if rng.random() < 0.5:
                response.flush()
        response.finish(closes_connection=False)

    greenlets = [
        eventlet.spawn(run, pipeline.add_response(), parts) for parts in answers
    ]
    for greenlet in greenlets:
        greenlet.wait()
    pipeline.wait_until_empty()
    return connection, b"".join(itertools.chain(*answers))


@when("200 seeded pipelines get answers in random order over a connection that blocks")
def play_pipelines(context):
    context.plays = {seed: _play_pipeline(seed) for seed in range(200)}


@then("each connection got the answers whole and in order, by one writer at a time")
def check_plays(context):
    for seed, (connection, expected) in context.plays.items():
        assert bytes(connection.received) == expected, seed
        assert connection.most_writers == 1, seed
