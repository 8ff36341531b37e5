import attrs
import eventlet
import msgpack
from behave import given, then, when
from samples import endpoint, node_record

from comfreytray.common.errors import Failure, Kind
from comfreytray.common.records import Departure, LocalUpstream, MembershipView
from comfreytray.membership import departurewitness
from comfreytray.membership.departurewitness import DepartureWitness
from comfreytray.membership.heartbeats import (
    Heartbeat,
    InstanceRegister,
    Receipt,
)
from comfreytray.testing import FakeClock


class Peers:
    """Hands the messages that a node sends to a function."""

    def __init__(self, ask=None):
        self.ask = ask

    def register(self, topic, handler):
        pass


GONE = Departure(instance_id="i-1", before_ms=5_001)


@given("6 nodes that have seen a seventh one confirm a departure")
def make_witnesses(context):
    context.clock = FakeClock()
    ids = [f"w-{number}" for number in range(6)]
    records = [node_record(node_id) for node_id in ids]
    context.before = attrs.evolve(node_record("x"), incarnation=1, departure=GONE)
    context.after = attrs.evolve(context.before, incarnation=2, departure=None)
    view = MembershipView(by_id={r.node_id: r for r in (*records, context.after)})
    context.told, context.failing, context.learnt = [], set(), []
    told = DepartureWitness(
        own_id="x",
        members=lambda: view,
        peers=Peers(),
        learn=context.learnt.append,
        clock=context.clock,
    )

    def asking(own_id):
        def ask(record, topic, message, *, timeout_s):
            assert (record.node_id, topic) == ("x", departurewitness.TOPIC)
            context.told.append(own_id)
            if own_id in context.failing:
                return Failure(kind=Kind.NODE_UNREACHABLE)
            return told.receive(message)

        return ask

    context.witnesses = [
        DepartureWitness(
            own_id=node_id,
            members=lambda: view,
            peers=Peers(asking(node_id)),
            learn=None,
            clock=context.clock,
        )
        for node_id in ids
    ]


def _step_for(context, seconds):
    end = context.clock.now + seconds
    while context.clock.now < end:
        for witness in context.witnesses:
            witness.step()
        context.clock.now += departurewitness.PERIOD_S


@when("its new process writes a record without it, and one of those that tell it fails")
def write_without(context):
    tellers = departurewitness._tellers("x", [f"w-{number}" for number in range(6)])
    context.failing = {tellers[0]}
    for witness in context.witnesses:
        witness.compare(context.before, context.after)
    _step_for(context, 60.0)


@then("two of them have told it once, and the third one goes on trying for 30 s")
def check_told(context):
    (failing,) = context.failing
    counts = {node_id: context.told.count(node_id) for node_id in set(context.told)}
    tries = counts.pop(failing)
    assert sorted(counts.values()) == [1, 1], counts
    assert tries == departurewitness.KEEP_S / departurewitness.PERIOD_S, tries
    assert context.learnt == [(GONE,), (GONE,)], context.learnt


@then("the instance's late heartbeat is refused by the process that was told")
def check_late_heartbeat(context):
    register = InstanceRegister(
        clock=context.clock, heartbeat_s=1.0, on_change=lambda _: None
    )
    upstream = LocalUpstream(host="h", port=1, endpoint=endpoint("i-1"))
    heartbeat = Heartbeat(
        started_ms=5_000,
        sequence=9,
        upstream=upstream,
    )
    for departures in context.learnt:
        for departure in departures:
            register.restore(departure)
    assert register.receive(heartbeat) is Receipt.STALE
    assert register.upstream is None


@when("its new process writes a record without it and then one with it")
def write_with(context):
    named = attrs.evolve(context.after, departure=GONE, revision=2)
    for witness in context.witnesses:
        witness.compare(context.before, context.after)
        witness.compare(context.after, named)
    _step_for(context, 5.0)


@then("no node tells it anything")
def check_silent(context):
    assert not context.told


@given("a node that confirms a departure, and one of its three keepers answers")
def confirm_departure(context):
    context.clock = FakeClock()
    ids = [f"w-{number}" for number in range(6)]
    context.record = node_record("x")
    records = [node_record(node_id) for node_id in ids]
    view = MembershipView(by_id={r.node_id: r for r in (*records, context.record)})
    context.asked, context.told = [], []

    def ask(record, topic, message, *, timeout_s):
        context.asked.append(record.node_id)
        if len(context.asked) > 1:
            return Failure(kind=Kind.NODE_UNREACHABLE)
        assert topic == departurewitness.KEEP_TOPIC
        return context.keeper.receive_keep(message)

    def tell(record, topic, message, *, timeout_s):
        context.told.append((record.node_id, topic, message))
        return b""

    (keeper_id, *_) = departurewitness._tellers("x", ids)
    context.keeper = DepartureWitness(
        own_id=keeper_id,
        members=lambda: view,
        peers=Peers(tell),
        learn=None,
        clock=context.clock,
    )
    confirming = DepartureWitness(
        own_id="x",
        members=lambda: view,
        peers=Peers(ask),
        learn=None,
        clock=context.clock,
    )
    keeping = confirming.keep(GONE)
    assert not keeping.is_settled
    eventlet.sleep(0)
    assert keeping.is_settled and keeping.is_kept and len(context.asked) == 3


@when("the store loses it before any node has seen it, and the node starts anew")
def start_anew(context):
    after = attrs.evolve(context.record, incarnation=2)
    # The same process needs no telling.
    context.keeper.compare(context.record, attrs.evolve(context.record, revision=3))
    context.keeper.step()
    assert not context.told
    context.keeper.compare(context.record, after)
    context.keeper.step()


@then("the one that keeps it tells the new process")
def check_kept_told(context):
    message = msgpack.packb([[GONE.instance_id, GONE.before_ms]])
    assert context.told == [("x", departurewitness.TOPIC, message)], context.told


@when("a node gets malformed words about its departures")
def receive_malformed(context):
    context.learnt = []
    witness = DepartureWitness(
        own_id="x",
        members=MembershipView,
        peers=Peers(),
        learn=context.learnt.append,
        clock=FakeClock(),
    )
    rows = ([1, 2], ["i", "t"], ["i"], ["i", -1], ["i", 2**60], ["i" * 300, 1], 7)
    messages = [msgpack.packb([row]) for row in rows]
    messages += [b"", b"\xc1", msgpack.packb(3), msgpack.packb([["i", 1]] * 17)]
    context.answers = [witness.receive(message) for message in messages]
    kept = (["x"], ["x", 1], ["x", 1, "i"], ["x", "1", "i", 1], [1, 1, "i", 1], 7)
    context.answers += [witness.receive_keep(msgpack.packb(item)) for item in kept]


@then("each is refused, and nothing is learnt")
def check_malformed(context):
    kinds = {getattr(answer, "kind", answer) for answer in context.answers}
    assert kinds == {Kind.BAD_REQUEST}, context.answers
    assert not context.learnt
