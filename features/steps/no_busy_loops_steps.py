import errno
import math

import eventlet
from behave import given, then, when
from calls_rig import Fleet
from loop_review import rounds_without_wait
from transport_steps import Peer, digest

from comfreytray.calls.callers import Listener
from comfreytray.calls.streamserver import StreamServer
from comfreytray.common.interfaces import WatchBatch
from comfreytray.common.repeating import repeat
from comfreytray.common.signals import Signal
from comfreytray.common.turns import READS_PER_TURN
from comfreytray.replication.links import FollowerLinks
from comfreytray.store.subscriptions import Subscription
from comfreytray.testing import FakeClock

HOST = "127.0.0.1"


class FailingDatagrams:
    def __init__(self):
        self.reads = 0

    def recvfrom(self, size):
        self.reads += 1
        # Bounds the run if the error is not waited for.
        if self.reads > 10_000:
            eventlet.sleep(60)
        raise OSError(errno.ENETDOWN, "network is down")

    def close(self):
        pass


@given("a transport whose socket for datagrams fails at each read")
def make_failing_transport(context):
    context.peer = Peer(context, HOST)
    transport = context.peer.transport
    transport._loops[1].kill()
    transport._datagrams.close()
    transport._datagrams = context.datagrams = FailingDatagrams()
    transport._loops[1] = eventlet.spawn(transport._read_datagrams)


@when("0.5 s pass")
def pass_time(context):
    eventlet.sleep(0.5)


@then("it was read at most 10 times, and the transport still accepts streams")
def check_datagram_reads(context):
    assert 1 < context.datagrams.reads <= 10, context.datagrams.reads
    eventlet.connect(context.peer.transport.address).close()


@given("a node whose next call may run after a time below the clock's resolution")
def make_short_wait(context):
    context.fleet = Fleet(slots=1)
    context.add_cleanup(context.fleet.__exit__)
    context.fleet.add("a")
    context.owner = context.fleet.path_by_id["a"].owner
    context.owner.admission.admit_in_s = lambda: 1e-18


@when("it waits for that time for 0.2 s")
def wait_short(context):
    context.looks = 0

    def look():
        context.looks += 1

    context.owner.admission.admit_queued = look
    context.owner._schedule_admission()
    eventlet.sleep(0.2)
    context.owner.admission.admit_in_s = lambda: None


@then("the time was looked at no more than once a millisecond")
def check_looks(context):
    assert 1 < context.looks <= 200, context.looks


@given("a greenlet that fires a signal and waits for it 1000 times")
def make_firing(context):
    context.order = []

    def run():
        signal = Signal()
        for _ in range(1000):
            signal.fire()
            assert signal.wait(1.0)
        context.order.append("first")

    context.first = eventlet.spawn(run)


@when("another greenlet runs beside it")
def run_other(context):
    eventlet.spawn(context.order.append, "other")
    context.first.wait()


@then("that one had its turn before the first one ended")
def check_order(context):
    assert context.order == ["other", "first"], context.order


@given("steps that return 0, a negative pause and one that is no number")
def make_steps(context):
    context.pauses = (0.0, -1.0, math.nan)


@when("each is repeated for 0.1 s")
def repeat_each(context):
    context.calls = [0] * len(context.pauses)

    def step(number):
        context.calls[number] += 1
        return context.pauses[number]

    threads = [
        eventlet.spawn(repeat, "step", lambda number=number: step(number))
        for number in range(len(context.pauses))
    ]
    eventlet.sleep(0.1)
    for thread in threads:
        thread.kill()


@then("none was called more than 100 times")
def check_calls(context):
    assert all(1 < calls <= 100 for calls in context.calls), context.calls


class HastyStore:
    """Answers each watch after a millisecond, whatever it was told to wait."""

    def __init__(self, clock):
        self.clock, self.calls = clock, 0

    def watch(self, prefix, *, after_revision, timeout_s):
        self.calls += 1
        self.clock.now += 0.001
        return WatchBatch(revision=5, objects=())


@given("a subscription to a store that does not let watches wait")
def make_hasty(context):
    context.clock = FakeClock()
    context.store = HastyStore(context.clock)
    context.subscription = Subscription(
        store=context.store,
        prefix="servers/",
        clock=context.clock,
        backoff=None,
        wait_s=20.0,
        gap_s=lambda: 0.05,
        on_batch=lambda batch: None,
    )
    context.subscription._backoff = type("Never", (), {"reset": lambda self: None})()


@when("it is followed for 2 s")
def follow(context):
    end = context.clock.now + 2.0
    while context.clock.now < end:
        pause_s = context.subscription.step()
        context.clock.now += pause_s


@then("it has made at most 25 calls")
def check_store_calls(context):
    assert context.store.calls <= 25, context.store.calls


class FailingListener:
    """A listening socket whose first two accepts fail."""

    def __init__(self, sock):
        self._sock, self.accepts = sock, 0

    def __getattr__(self, name):
        return getattr(self._sock, name)

    def accept(self):
        self.accepts += 1
        if self.accepts == 1:
            raise OSError(errno.EMFILE, "too many open files")
        if self.accepts == 2:
            raise OSError(errno.ECONNABORTED, "connection aborted")
        return self._sock.accept()


def _serve_streams(context, listener, served):
    server = StreamServer(
        node_id="a", clock=FakeClock(), handle=None, load=None, budget=None
    )
    server._serve_connection = lambda sock, address: served.append(address)
    server.serve(listener)


def _serve_replication(context, listener, served):
    links = FollowerLinks(clock=FakeClock(), on_frame=None, on_joined=None)
    links._serve_follower = lambda sock, address: served.append(address)
    links.serve(listener)


def _serve_control(context, listener, served):
    transport = Peer(context, HOST).transport
    transport._loops[0].kill()
    transport._listener.close()
    transport._listener = listener
    transport._read_stream = lambda sock, address: served.append(address)
    transport._accept_streams()


def _serve_callers(context, listener, served):
    accepting = Listener(listener)
    while True:
        served.append(accepting.accept()[1])


SERVE_BY_NAME = {
    "the call streams": _serve_streams,
    "the replication": _serve_replication,
    "the control streams": _serve_control,
    "the callers": _serve_callers,
}


@given("{server} on a listener that runs out of descriptors, then loses a connection")
def serve_failing(context, server):
    context.listener = FailingListener(eventlet.listen((HOST, 0)))
    context.served = []
    serve = SERVE_BY_NAME[server]
    thread = eventlet.spawn(serve, context, context.listener, context.served)
    context.add_cleanup(thread.kill)
    context.add_cleanup(context.listener.close)


@when("a connection comes after these errors")
def connect_after(context):
    eventlet.sleep(0.5)
    context.connection = eventlet.connect(context.listener.getsockname())
    for _ in range(100):
        if context.served:
            break
        eventlet.sleep(0.02)


@then("it is served, and the listener was asked less than ten times")
def check_served(context):
    assert len(context.served) == 1, context.served
    assert context.listener.accepts < 10, context.listener.accepts


@given("a peer that accepts streams and closes them at once")
def make_closing_peer(context):
    context.listener, context.accepts = eventlet.listen((HOST, 0)), 0
    context.peer = Peer(context, HOST)

    def close_each():
        while True:
            context.listener.accept()[0].close()
            context.accepts += 1

    context.add_cleanup(eventlet.spawn(close_each).kill)


@when("1000 messages are sent to it within 1 s")
def send_to_closing(context):
    for number in range(1000):
        address = context.listener.getsockname()
        context.peer.transport.send_stream(address, digest(number))
        eventlet.sleep(0.001)


@then("it was connected to at most 20 times")
def check_connects(context):
    assert 1 <= context.accepts <= 20, context.accepts


class Bystander:
    """Counts its turns beside other greenlets."""

    def __init__(self, context):
        self.turns = 0
        context.add_cleanup(eventlet.spawn(self._run).kill)

    def _run(self):
        while True:
            self.turns += 1
            eventlet.sleep(0)


@given("a listener with 300 queued connections")
def queue_connections(context):
    listener = eventlet.listen((HOST, 0), backlog=512)
    context.connections = [eventlet.connect(listener.getsockname()) for _ in range(300)]
    context.count, context.listener = 300, listener


@when("they are accepted beside another greenlet")
def accept_all(context):
    accepting = Listener(context.listener)
    bystander = Bystander(context)
    eventlet.sleep(0)
    before = bystander.turns
    context.accepted = [accepting.accept() for _ in range(context.count)]
    context.turns = bystander.turns - before


@then("that one had a turn for each {each:d} of them")
def check_turns(context, each):
    assert each == READS_PER_TURN
    # One less: the count begins at any place in a turn.
    assert context.turns >= context.count // each - 1, context.turns


@given("a node and a caller that sends 400 requests for no route in one write")
def make_ahead(context):
    context.fleet = Fleet(slots=1)
    context.add_cleanup(context.fleet.__exit__)
    context.fleet.add("a")
    # The last one closes the connection, which ends the reading of the answers.
    one = b"POST /x HTTP/1.1\r\nHost: no.test\r\nContent-Length: 0\r\n\r\n"
    last = b"POST /x HTTP/1.1\r\nHost: no.test\r\nContent-Length: 0\r\n"
    context.count = 400
    context.data = one * 399 + last + b"Connection: close\r\n\r\n"


@when("they are answered beside another greenlet")
def answer_ahead(context):
    bystander = Bystander(context)
    eventlet.sleep(0)
    before = bystander.turns
    sock = context.fleet.raw("a", context.data)
    received = b""
    while part := sock.recv(65536):
        received += part
    context.turns = bystander.turns - before
    assert received.count(b"HTTP/1.1 4") == context.count, received[:300]


@when("the loops of all modules are read")
def read_loops(context):
    context.rounds = list(rounds_without_wait())


@then("each path round a loop waits, or takes away from what it goes over")
def check_loops(context):
    assert not context.rounds, "\n".join(context.rounds)
