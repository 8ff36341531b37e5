# Surges from rest, in which the coordinator of the quotas ends, pauses or changes.

from attrs import evolve
from behave import given, then, when
from customers_quotas_steps import TERMS, _Clock, _coordinator
from quota_rig import BOUNDS, QuotaFleet

from comfreytray.customers.quotacoordinator import QuotaCoordinator
from comfreytray.customers.quotamessages import Answer, Report, Usage

SMALL_FLEET, SEEDS = 6, 3
REST_S, SURGE_S, AFTER_S = 7, 9, 12


@given("fleets of {nodes:d} nodes at rest and a quota of {rate:d} calls a second")
def make_fleets(context, nodes, rate):
    context.rate = rate
    seeds = SEEDS if nodes <= SMALL_FLEET else 1
    context.fleets = [
        QuotaFleet({"c": (rate, rate)}, nodes=nodes, seed=seed) for seed in range(seeds)
    ]


def _kill(fleet, node_id):
    fleet.kill(node_id)
    fleet.run(0.5)
    fleet.start(node_id)


def _end_two(fleet, first):
    fleet.kill(first)
    fleet.run(1.0)
    second = _coordinator(fleet)
    if second in fleet.node_by_id:
        fleet.kill(second)
    fleet.run(0.5)
    for node_id in {first, second} - {""}:
        if node_id not in fleet.node_by_id:
            fleet.start(node_id)


def _kill_all(fleet, first):
    for node_id in fleet.ids:
        fleet.kill(node_id)
    fleet.run(0.6)
    for node_id in fleet.ids:
        fleet.start(node_id)


def _cut_off(fleet, first):
    fleet.groups = {first: 1}
    fleet.after(3, lambda: setattr(fleet, "groups", {}))


def _move(fleet, first):
    """Make all nodes choose another coordinator, which has been a member before."""
    fleet.capacity_by_id[first] = 1
    fleet.view = evolve(fleet.view, by_id=dict(fleet.view.by_id))
    for node in fleet.node_by_id.values():
        node.choice._ids = frozenset()


_FAIL = {
    "the coordinator is killed": _kill,
    "the coordinator ends for good": lambda fleet, first: fleet.kill(first),
    "the coordinator is paused for 2 s": lambda fleet, first: fleet.pause(first, 2),
    "two coordinators end after another": _end_two,
    "all nodes are killed": _kill_all,
    "the coordinator is cut off for 3 s": _cut_off,
    "the choice of coordinator moves": _move,
}


def _play(fleet, rate_per_s, entry, after_s, failure):
    # A call long before tells every node its coordinator.
    fleet.call("c", fleet.ids[0])
    fleet.run(REST_S)
    fleet.call("c", fleet.ids[0])
    fleet.run(0.3)
    first = _coordinator(fleet) or fleet.node_by_id[fleet.ids[0]].choice.pick()
    others = [node_id for node_id in fleet.ids if node_id != first]
    nodes = {
        "all nodes": fleet.ids,
        "one other node": others[:1],
        "the coordinator's node": lambda s: [first] if s < after_s else others[:3],
    }[entry]
    fleet.load("c", rate_per_s, SURGE_S, nodes=nodes)
    fleet.run(after_s)
    _FAIL[failure](fleet, first)
    fleet.run(AFTER_S - after_s)


@when(
    "a surge of {factor:d} times the quota enters at {entry}, "
    "and after {after_s:g} s {failure}"
)
def surge_from_rest(context, factor, entry, after_s, failure):
    for fleet in context.fleets:
        _play(fleet, context.rate * factor, entry, after_s, failure)


@then("the customer ran no more calls in any 5 s than the bound allows")
def check_bound(context):
    excess = [fleet.excess("c", context.rate, context.rate) for fleet in context.fleets]
    assert max(excess) <= 0, excess
    assert min(fleet.admitted("c") for fleet in context.fleets) >= 50


@when("it admits 2 calls and a coordinator that is gathering answers each report")
def gather(context):
    gate = context.gate
    assert gate.admit("c") is None
    assert gate.admit("c") is None
    for number in range(1, 4):
        report = gate.build_report("k")
        gate.take_answer(
            Answer(
                coordinator="k/1",
                number=number,
                report=report.number,
                is_gathering=True,
            ),
            sent_at=context.clock.now,
        )


@then("it refuses the next call")
def check_refused(context):
    assert context.gate.admit("c") is not None


@given("a coordinator that has leased tokens to a node")
def lease_tokens(context):
    clock = _Clock()
    context.coordinator = QuotaCoordinator(
        clock=clock,
        name="k/1",
        terms=lambda _: TERMS,
        member_ids=lambda: frozenset({"n"}),
        window_s=BOUNDS.window_s,
    )
    clock.now += 60
    usage = Usage(customer="c", admitted=115, rejected=20, acknowledged=0)
    answer = context.coordinator.receive(
        Report(node_id="n", session=1, number=1, usage=(usage,))
    )
    context.tokens = answer.leases[0].tokens
    assert context.tokens > 0, answer
    context.balance = context.coordinator.balance_of("c")


@when("another process of that node reports")
def report_again(context):
    usage = Usage(customer="c", admitted=0, rejected=1, acknowledged=0)
    context.coordinator.receive(
        Report(node_id="n", session=2, number=1, usage=(usage,))
    )


@then("the balance has fallen by the tokens of the lease")
def check_tokens(context):
    balance = context.coordinator.balance_of("c")
    assert balance == context.balance - context.tokens, balance


@given("a coordinator to which a node has reported")
def report_once(context):
    context.clock = _Clock()
    context.coordinator = QuotaCoordinator(
        clock=context.clock,
        name="k/1",
        terms=lambda _: TERMS,
        member_ids=lambda: frozenset({"n", "o", "p"}),
        window_s=BOUNDS.window_s,
    )
    usage = Usage(customer="c", admitted=2, rejected=0, acknowledged=0)
    context.coordinator.receive(
        Report(node_id="n", session=1, number=1, usage=(usage,))
    )
    pushed = context.coordinator.due_pushes()
    assert {"o", "p"} <= set(pushed), pushed


@when("2 s pass in which nobody reports")
def pass_unasked(context):
    context.clock.now += 2


@then("it pushes to no node")
def check_no_pushes(context):
    assert context.coordinator.is_active
    assert context.coordinator.due_pushes() == []
