import random
import tracemalloc

import msgpack
from behave import given, then, when
from calls_rig import soak_seeds
from hypothesis import given as given_data
from hypothesis import strategies as st

from comfreytray.calls import callframes
from comfreytray.calls.call import Call, Load
from comfreytray.calls.outbox import Outbox
from comfreytray.calls.ownerstreams import OwnerStreams
from comfreytray.calls.streams import CallStreams
from comfreytray.common.errors import Failure, Kind, Ran
from comfreytray.testing import FakeClock


def make_call(target):
    return Call(
        service="s",
        customer="c",
        share=1.0,
        method="POST",
        target=target,
        headers=(("A", "b"),),
        body=b"body of " + target.encode(),
        deadline=2000.0,
        idempotent=False,
    )


class ConnectionPair:
    """Both sides of a connection, joined by two simulated kernel buffers."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.caller = CallStreams(caller_id="a", expected_id="b")
        self.owner = OwnerStreams(node_id="b", clock=FakeClock())
        self.buffer_by_side = {"caller": b"", "owner": b""}
        self.streams = {}
        self.received = {}
        self.delivered = []
        self.opened = []
        self.cancelled = set()
        self.faults = []

    def open(self):
        target = f"/{len(self.streams)}"
        self.streams[target] = self.caller.open(make_call(target), left_s=5.0)
        self.received[target] = b""

    def send(self, side, limit=None):
        """Move some of the bytes that one side wrote into its kernel buffer."""
        outbox = (self.caller if side == "caller" else self.owner).outbox
        block = outbox.peek()
        size = len(block) if limit is None else min(limit, len(block))
        if not size:
            return
        self.buffer_by_side[side] += block[:size]
        outbox.discard_sent(size)

    def deliver(self, side, limit=None):
        """Deliver some bytes of one side's kernel buffer to the other side."""
        buffer = self.buffer_by_side[side]
        part = buffer if limit is None else buffer[:limit]
        self.buffer_by_side[side] = buffer[len(part) :]
        if not part:
            return
        if side == "caller":
            opened = self.owner.receive(part)
            if isinstance(opened, Failure):
                self.faults.append(opened.detail)
                return
            self.opened.extend(opened)
            self.delivered.extend(stream.call.target for stream in opened)
        else:
            fault = self.caller.receive(part)
            if fault is not None:
                self.faults.append(fault.detail)

    def answer(self):
        if not self.opened:
            return
        stream = self.random.choice(self.opened)
        body = expected(stream.call.target)
        part = min(len(body), stream.credit, callframes.CHUNK_BYTES)
        done = getattr(self, "done", {}).get(stream.stream_id, None)
        self.done = getattr(self, "done", {})
        if done is None:
            done = 0
            self.owner.head(
                stream,
                status=200,
                reason="OK",
                headers=(("T", stream.call.target),),
                body=body[:part],
                last=part == len(body),
                load=Load(used=0.5),
            )
        else:
            part = min(part, len(body) - done)
            self.owner.data(
                stream, body[done : done + part], last=done + part == len(body)
            )
        self.done[stream.stream_id] = done + part
        if done + part == len(body):
            self.opened.remove(stream)

    def read(self):
        for target, stream in self.streams.items():
            while stream.chunks:
                self.received[target] += self.caller.take_chunk(stream)

    def cancel(self):
        live = [t for t, s in self.streams.items() if not s.ended]
        if live:
            target = self.random.choice(live)
            self.cancelled.add(target)
            self.caller.cancel(self.streams[target])

    def step(self):
        draw = self.random.random()
        size = self.random.choice([1, 7, 100, 5000, None])
        side = self.random.choice(["caller", "owner"])
        if draw < 0.15:
            self.open()
        elif draw < 0.45:
            self.send(side, size)
        elif draw < 0.75:
            self.deliver(side, size)
        elif draw < 0.9:
            self.answer()
        elif draw < 0.95:
            self.read()
        elif draw < 0.97:
            self.cancel()

    def disconnect(self):
        """Lose the connection; buffered bytes of each side may be delivered or not."""
        if self.random.random() < 0.5:
            self.deliver("caller")
        if self.random.random() < 0.5:
            self.deliver("owner")
        self.caller.connection_lost()
        self.owner.connection_lost()
        self.read()

    def find_errors(self):
        """Return what is wrong with the outcomes of the calls."""
        wrong = list(self.faults)
        for target, stream in self.streams.items():
            if target in self.cancelled:
                continue
            if not stream.ended:
                wrong.append(f"{target} has no outcome")
            elif stream.complete and self.received[target] != expected(target):
                wrong.append(f"{target} got another answer")
            elif _is_reported_not_run(stream) and target in self.delivered:
                wrong.append(f"{target} was delivered but is reported as not run")
        if len(self.delivered) != len(set(self.delivered)):
            wrong.append("a call was delivered twice")
        return wrong


def _is_reported_not_run(stream):
    return stream.outcome is not None and stream.outcome.ran is Ran.NO


def expected(target):
    number = int(target[1:])
    return target.encode() * (1 if number % 3 else 60_000)


@when(
    "calls are opened, answered in any order and cancelled, and the connection is lost"
)
def run_random_pairs(context):
    context.wrong = []
    context.delivered = 0
    for seed in soak_seeds(40):
        pair = ConnectionPair(seed)
        for _ in range(300):
            pair.step()
        pair.disconnect()
        context.wrong.extend((seed, fault) for fault in pair.find_errors())
        context.delivered += len(pair.delivered)


@then("each call gets its own complete answer or a correct outcome")
def check_pairs(context):
    assert not context.wrong, context.wrong[:3]


@then("no call is delivered twice")
def check_delivered(context):
    assert context.delivered > 100


def _run_two_calls(caller_limit, owner_limit):
    pair = ConnectionPair(0)
    for _ in range(2):
        pair.open()
    pair.send("caller", caller_limit)
    pair.deliver("caller")
    while pair.opened:
        pair.answer()
    pair.send("owner", owner_limit)
    pair.deliver("owner")
    size = (len(pair.caller.outbox.peek()), len(pair.owner.outbox.peek()))
    pair.caller.connection_lost()
    pair.owner.connection_lost()
    pair.read()
    return pair, size


@when(
    "the connection of 2 calls is lost at each byte sent and 500 points of the answers"
)
def lose_at_each_point(context):
    context.wrong = []
    context.not_run = context.unknown = 0
    whole, _ = _run_two_calls(None, None)
    for size in range(whole.caller.outbox.sent + 1):
        pair, _ = _run_two_calls(size, 0)
        context.wrong.extend(pair.find_errors())
        outcomes = [s.outcome.ran for s in pair.streams.values() if s.outcome]
        context.not_run += outcomes.count(Ran.NO)
        context.unknown += outcomes.count(Ran.UNKNOWN)
    for size in range(
        0, whole.owner.outbox.sent + 1, 1 + whole.owner.outbox.sent // 500
    ):
        pair, _ = _run_two_calls(None, size)
        context.wrong.extend(pair.find_errors())


@then("only calls that the owner never received are reported as not run")
def check_lost(context):
    assert not context.wrong, context.wrong[:3]
    assert context.not_run > 50 and context.unknown > 50


def _malformed_connections():
    hello = CallStreams(caller_id="a", expected_id="b").outbox.peek()
    call = callframes.pack_open(1, make_call("/1"), 1.0)
    other_hello = CallStreams(caller_id="a", expected_id="elsewhere").outbox.peek()
    yield "no hello", call, 0
    yield "id used again", hello + call + call, 1
    yield (
        "id goes back",
        hello + callframes.pack_open(5, make_call("/5"), 1.0) + call,
        1,
    )
    yield "answer from a caller", hello + callframes.pack_data(1, b"", last=True), 0
    announced = hello + callframes.pack_body_follows(1, 9) + call
    part = callframes.pack_data(1, b"x", last=False)
    yield "part of a whole body", hello + call + part, 1
    yield "part before credit", announced + part, 1
    yield "less than declared", announced + callframes.pack_data(1, b"", last=True), 1
    yield (
        "body announced for another call",
        hello + callframes.pack_body_follows(2, 9) + call,
        0,
    )
    yield "two bodies announced", hello + 2 * callframes.pack_body_follows(1, 9), 0
    yield "negative length", hello + callframes.pack_body_follows(1, -2) + call, 0
    yield "unknown tag", hello + msgpack.packb([59, 1]), 0
    yield "wrong length", hello + msgpack.packb([41, 1]), 0
    yield "map", hello + msgpack.packb({1: 2}), 0
    yield "bad share", hello + _changed(call, 4, 7.0), 0
    yield "bad headers", hello + _changed(call, 7, ((1, "x"),)), 0
    yield "negative time", hello + _changed(call, 9, -1), 0
    yield "credit overrun", hello + call + callframes.pack_credit(1, 100), 1
    yield "huge", hello + b"\xc6\x7f\xff\xff\xff" + b"x" * 4_000_000, 0
    yield "wrong node", other_hello + call, 0


def _changed(packed, index, value):
    plain = list(msgpack.unpackb(packed, use_list=False))
    plain[index] = value
    return msgpack.packb(plain)


@when("frames are malformed, repeated, reordered or forged")
def send_malformed(context):
    context.verdicts = []
    for name, data, max_run in _malformed_connections():
        owner = OwnerStreams(node_id="b", clock=FakeClock())
        ran = 0
        refused = None
        for start in range(0, len(data), 65536):
            taken = owner.receive(data[start : start + 65536])
            if isinstance(taken, Failure):
                refused = taken
                break
            ran += len(taken)
        if refused is None and not owner.stream_by_id and owner.outbox.size:
            refused = Failure(kind=Kind.WRONG_NODE)
        context.verdicts.append((name, refused, ran <= max_run))


@then("the connection is refused with a reason and no further call is run")
def check_malformed(context):
    for name, refused, is_allowed in context.verdicts:
        assert refused is not None and is_allowed, name
    call = callframes.pack_open(1, make_call("/1"), 1.0)

    @given_data(st.binary(max_size=40), st.integers(0, len(call)))
    def fuzz(noise, place):
        decoder = callframes.Decoder()
        decoded = decoder.feed(call[:place] + noise + call[place + len(noise) :])
        assert isinstance(decoded, Failure | list)

    fuzz()


@given("an outbox whose peer reads nothing")
def make_outbox(context):
    context.outbox = Outbox()
    context.outbox.push(callframes.pack_pong(1))
    context.outbox.peek()


@when("100000 pongs are queued")
def queue_pongs(context):
    context.pongs = [callframes.pack_pong(number) for number in range(2, 100_002)]
    tracemalloc.start()
    for pong in context.pongs:
        # A copy: the test's own pongs must not be what the outbox holds.
        context.outbox.push(bytes(bytearray(pong)))
    context.held_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()


@then("the outbox holds less than three times their bytes and sends them in order")
def check_held(context):
    sent = callframes.pack_pong(1) + b"".join(context.pongs)
    assert context.held_bytes < 3 * len(sent), (context.held_bytes, len(sent))
    assert context.outbox.size == len(sent)
    drained = b""
    while context.outbox.size:
        part = context.outbox.peek()[: 5 if not drained else None]
        drained += part
        context.outbox.discard_sent(len(part))
        assert context.outbox.size == len(sent) - len(drained)
    assert drained == sent
