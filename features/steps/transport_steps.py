import random
import socket as plain_socket

import eventlet
import msgpack
from behave import given, then, when
from eventlet.green import socket
from hypothesis import given as for_any
from hypothesis import strategies as st

from comfreytray.common.metrics import Metrics
from comfreytray.configuration.content import Head
from comfreytray.distribution.deltas import Delta
from comfreytray.distribution.exchange import Digest, Push
from comfreytray.transport import frames, outbound, wire
from comfreytray.transport.transport import Transport

HOST_A, HOST_B, HOST_RELAY = "127.0.0.1", "127.0.0.2", "127.0.0.3"
REGION_BY_HOST = {HOST_A: "armor", HOST_B: "finistere", HOST_RELAY: "finistere"}
POLL_S = 0.01
MAX_POLLS = 3000


class Peer:
    def __init__(self, context, host, port=0):
        self.metrics = Metrics()
        self.received = []
        self.transport = Transport(
            host=host,
            port=port,
            receive=lambda sender, message, datagram: self.received.append(
                (sender, message, datagram)
            ),
            metrics=self.metrics,
            region_of=lambda address: REGION_BY_HOST.get(address[0], "?"),
            region=REGION_BY_HOST[host],
            jitter=random.Random(1),
        )
        self.transport.__enter__()
        context.add_cleanup(self.close)

    def close(self):
        if self.transport is not None:
            self.transport.__exit__(None, None, None)
            self.transport = None

    def count(self, prefix):
        counters = self.metrics.count_by_name.items()
        return sum(value for name, value in counters if name.startswith(prefix))

    def received_versions(self):
        return [message.head.version for _, message, _ in self.received]


def wait_for(condition):
    for _ in range(MAX_POLLS):
        if condition():
            return
        eventlet.sleep(POLL_S)
    raise AssertionError(f"condition not met within {MAX_POLLS} polls")


def push(version, size=0):
    delta = Delta(digest=b"d", base=b"", data=bytes(size))
    head = Head(version=version, digest=b"d" * 16)
    return Push(head=head, root=False, deltas=(delta,))


def digest(version):
    return Digest(head=Head(version=version, digest=b"d" * 16))


@given("two transports")
def two_transports(context):
    context.a = Peer(context, HOST_A)
    context.b = Peer(context, HOST_B)


@when("each sends {count:d} messages of random sizes by stream and as many datagrams")
def send_many(context, count):
    rng = random.Random(1)
    for number in range(1, count + 1):
        for source, target in ((context.a, context.b), (context.b, context.a)):
            to = target.transport.address
            source.transport.send_stream(to, push(number, rng.randrange(50_000)))
            source.transport.send_datagram(to, digest(number))
    wait_for(lambda: len(context.a.received) + len(context.b.received) == 4 * count)
    context.count = count


@then("the streams deliver all messages in order, and all messages name their sender")
def check_order(context):
    for peer, other in ((context.a, context.b), (context.b, context.a)):
        assert {sender for sender, _, _ in peer.received} == {other.transport.address}
        pushes = [m.head.version for _, m, datagram in peer.received if not datagram]
        assert pushes == list(range(1, context.count + 1))


@then("the bytes of both are counted by purpose and pair of regions")
def check_bytes(context):
    sent, received = context.a.metrics.bytes_by_flow, context.b.metrics.bytes_by_flow
    for purpose in ("push", "digest"):
        size = sent[(purpose, "armor", "finistere")]
        assert size == received[(f"{purpose}-received", "armor", "finistere")] > 0


def frame_bytes(data):
    return frames.HEADER.pack(len(data)) + data


HELLO = frame_bytes(wire.encode(frames.Hello(address=(HOST_A, 9))))
FORGED_HELLO = frame_bytes(wire.encode(frames.Hello(address=("10.9.9.9", 9))))
VALID_FRAME = frame_bytes(wire.encode(digest(3)))
INVALID_DATAGRAM = b"\xc1"
# A number where bytes are expected: bytes(n) would allocate n bytes.
WRONG_TYPE_FRAME = frame_bytes(msgpack.packb([21, [5, 3], False, False]))
TOO_LARGE_HEADER = frames.HEADER.pack(wire.MAX_MESSAGE_BYTES + 1)


def invalid_frames():
    """Return a strategy for frames that do not hold one valid message."""
    valid = wire.encode(push(7, 40))
    flipped = st.integers(0, len(valid) - 1).map(
        lambda place: valid[:place] + b"\xc1" + valid[place + 1 :]
    )
    invalid_messages = st.binary(max_size=60) | flipped
    undecodable = invalid_messages.filter(
        lambda data: not isinstance(wire.decode(data), (Push, Digest, frames.Hello))
    )
    cut = st.integers(1, len(valid) + 3).map(lambda end: frame_bytes(valid)[:end])
    return st.one_of(
        undecodable.map(frame_bytes),
        cut,
        st.just(TOO_LARGE_HEADER + b"x" * 9),
        st.just(WRONG_TYPE_FRAME),
    )


@when("random invalid bytes arrive on streams and as datagrams")
def send_invalid_bytes(context):
    context.tried = 0
    address = context.b.transport.address
    datagrams = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    context.add_cleanup(datagrams.close)

    openings = st.sampled_from([HELLO, FORGED_HELLO, b""])
    without_valid_hello = st.tuples(
        st.sampled_from([FORGED_HELLO, b""]), st.just(VALID_FRAME)
    )
    invalid_streams = st.tuples(openings, invalid_frames()) | without_valid_hello

    @for_any(invalid_streams)
    def check(pair):
        opening, frame = pair
        before = context.b.count("frame-refused")
        stream = eventlet.connect(address, bind=(HOST_A, 0))
        stream.sendall(opening + frame)
        stream.shutdown(plain_socket.SHUT_WR)
        assert stream.recv(1) == b"", "the stream was not closed"
        stream.close()
        wait_for(lambda: context.b.count("frame-refused") > before)
        datagrams.sendto(INVALID_DATAGRAM if frame == VALID_FRAME else frame, address)
        wait_for(lambda: context.b.count("frame-refused") >= before + 2)
        context.tried += 1

    check()


@then("none is delivered, each is counted, and a valid message still arrives")
def check_refused(context):
    assert context.b.received == [], context.b.received
    assert context.b.count("frame-refused") >= 2 * context.tried > 0
    assert context.b.count("frame-refused-frame-too-large") > 0
    context.a.transport.send_stream(context.b.transport.address, push(9))
    wait_for(lambda: context.b.received_versions() == [9])


@given("two transports and a relay between them that cuts streams")
def cutting_relay(context):
    two_transports(context)
    listener = eventlet.listen((HOST_A, 0))
    context.relay = listener.getsockname()
    rng = random.Random(2)
    context.cutting = True
    context.cuts = 0

    def forward(source):
        target = eventlet.connect(context.b.transport.address, bind=(HOST_A, 0))
        left = rng.randrange(1, 4000)
        while piece := source.recv(512):
            if context.cutting and len(piece) >= left:
                target.sendall(piece[:left])
                context.cuts += 1
                break
            target.sendall(piece)
            left -= len(piece)
        source.close()
        target.close()

    def accept():
        while True:
            connection, _ = listener.accept()
            eventlet.spawn(forward, connection)

    loop = eventlet.spawn(accept)
    context.add_cleanup(loop.kill)
    context.add_cleanup(listener.close)


@when("messages are sent while streams are cut at random bytes")
def send_through_cuts(context):
    send = context.a.transport.send_stream
    version = 0
    while context.cuts < 20:
        version += 1
        send(context.relay, push(version, 300))
        eventlet.sleep(POLL_S)
    context.cutting = False

    def last_arrives():
        nonlocal version
        version += 1
        send(context.relay, push(version, 300))
        return version - 5 in context.b.received_versions()

    wait_for(last_arrives)


@then("only complete messages arrive, in order, and the last ones do")
def check_after_cuts(context):
    received_versions = context.b.received_versions()
    assert received_versions == sorted(set(received_versions)), received_versions
    assert all(len(m.deltas[0].data) == 300 for _, m, _ in context.b.received)
    assert context.b.count("frame-refused-bad-frame") > 0


@given("two transports and a peer that accepts streams and never reads")
def peer_that_never_reads(context):
    two_transports(context)
    listener = eventlet.listen((HOST_RELAY, 0))
    context.listener = listener
    context.unread_address = listener.getsockname()
    context.add_cleanup(listener.close)


@when("{count:d} messages of {size:d} kilobytes are sent to that peer")
def send_to_unread(context, count, size):
    for number in range(count):
        context.a.transport.send_stream(
            context.unread_address, push(number + 1, size * 1000)
        )
        if number % 20 == 0:
            eventlet.sleep(POLL_S)
    context.a.transport.send_stream(context.b.transport.address, push(1))


@then("the queue stays within its limit, and the other peer still gets its message")
def check_bound(context):
    assert context.a.transport.queued_bytes <= outbound.MAX_PEER_QUEUE_BYTES
    assert context.a.count("stream-dropped-full") > 0
    wait_for(lambda: context.b.received_versions() == [1])


@when("one is down, {count:d} messages are sent to it, and it comes back")
def down_and_back(context, count):
    address = context.b.transport.address
    context.b.close()
    for number in range(count):
        context.a.transport.send_stream(address, push(number + 1))
        eventlet.sleep(0)
    wait_for(lambda: context.a.count("stream-dropped-b") == count)
    context.tries = context.a.count("stream-connect-failed")
    context.b = Peer(context, *address)

    def arrives():
        context.a.transport.send_stream(address, push(5000))
        return 5000 in context.b.received_versions()

    wait_for(arrives)


@then("few connections were tried, and a new message arrives")
def check_tries(context):
    assert 1 <= context.tries <= 20, context.tries
    assert context.b.received_versions()[0] == 5000


@when("one restarts while a stream to it is open and idle")
def restart_idle(context):
    address = context.b.transport.address
    context.a.transport.send_stream(address, push(1))
    wait_for(lambda: context.b.received_versions() == [1])
    context.b.close()
    context.b = Peer(context, *address)


@then("the first message sent to it afterwards arrives")
def first_arrives(context):
    context.a.transport.send_stream(context.b.transport.address, push(2))
    wait_for(lambda: context.b.received_versions() == [2])
