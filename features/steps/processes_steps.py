import json
import signal
import time
from collections import Counter

from behave import given, then, when

from benchmarks._fleet import (
    Fleet,
    customer_text,
    host_of,
    simple_items,
)
from standins.processes import Process, try_fetch_json, wait_until

SERVICE = "lichbay"
CUSTOMERS = 3
LIMIT_S = 60.0
LOAD_S = 6
SUSPENSION_LOAD_S = 14
CALLS_PER_S = 40
WORK_MS = 40


@given("a fleet of {count:d} nodes with an upstream beside each")
def start_fleet(context, count):
    fleet = Fleet()
    context.add_cleanup(fleet.__exit__, None, None, None)
    fleet.__enter__()
    for _ in range(count):
        fleet.start_node(wait=False)
    fleet.wait_ready()
    fleet.wait_joined()
    for node in fleet.nodes:
        fleet.start_upstream(node, SERVICE, work_ms=WORK_MS, min_drain_s=3.0)
    fleet.wait_endpoints(SERVICE, count)
    items = simple_items(SERVICE, customers=CUSTOMERS)
    context.version = fleet.load_items(items)
    fleet.wait_version(context.version)
    context.fleet = fleet


def start_callers(context, **options):
    hosts = [host_of(f"{SERVICE}-customer-{n:04}") for n in range(CUSTOMERS)]
    targets = [f"{host}:{port}" for host, port in _entry_addresses(context)]
    values = {
        "targets": ",".join(targets),
        "calls_per_s": CALLS_PER_S,
        "duration_s": LOAD_S,
        "host": ",".join(hosts),
        "keep_outcomes": True,
        **options,
    }
    arguments = ["standins/caller.py"]
    arguments += [f"--{name}={value}" for name, value in values.items()]
    context.caller = context.fleet.own(Process(arguments=arguments, name="caller"))
    wait_until(lambda: _ran(context.fleet.nodes[2]) > 5, LIMIT_S, "calls at the third")


def _entry_addresses(context):
    return [node.address for node in context.fleet.nodes[:2]]


def _totals(node):
    return try_fetch_json(node.upstream_url("totals")) or {}


def _ran(node):
    return _totals(node).get("ran", 0)


@given(
    "callers that book at two of the nodes and repeat calls of unknown outcome by key"
)
def start_bookings(context):
    start_callers(
        context,
        method="POST",
        path="/field/book",
        key_header="Idempotency-Key",
        repeats=8,
        duration_s=SUSPENSION_LOAD_S
        if "suspended" in context.scenario.name
        else LOAD_S,
    )


@given("callers that read at two of the nodes")
def start_reads(context):
    start_callers(context, path="/field/read")


@when("the {place} node is killed while its upstream runs a booking")
def kill(context, place):
    node = _node(context, place)
    wait_until(lambda: _totals(node)["in_use"] > 0, LIMIT_S, "a running call", 0.002)
    node.process.kill()


def _node(context, place):
    return context.fleet.nodes[{"first": 0, "second": 1, "third": 2}[place]]


@when("the {place} node is suspended until the others consider it dead")
def suspend(context, place):
    node = _node(context, place)
    wait_until(lambda: _totals(node)["in_use"] > 0, LIMIT_S, "a running call", 0.002)
    node.process.send(signal.SIGSTOP)
    others = [other for other in context.fleet.nodes if other is not node]

    def considered_dead():
        return all(
            (other.try_ask("health") or {}).get("members") == len(others)
            for other in others
        )

    wait_until(considered_dead, LIMIT_S, "the others to drop it")
    context.stopped = node


@when("it is resumed")
def resume(context):
    context.stopped.process.send(signal.SIGCONT)


@then("all nodes see each other again")
def rejoined(context):
    context.fleet.wait_joined()


@then("all callers finish")
def callers_end(context):
    wait_until(lambda: not context.caller.running, 4 * LIMIT_S, "the callers to end")
    context.report = json.loads(context.caller.output().strip().splitlines()[-1])
    logs = [_log(context, node) for node in context.fleet.nodes]
    context.ran = Counter(record["id"] for log in logs for record in log)


def _log(context, node):
    """Return the log of an upstream; for one that has ended, its last log."""
    return node.upstream_log() if node.upstream.running else context.last_log


@then("no booking ran twice and each whole answer belongs to its own request")
def check_bookings(context):
    ran_twice = {key: count for key, count in context.ran.items() if count > 1}
    assert not ran_twice, ran_twice
    assert context.report["wrong"] == 0
    outcome_by_id = context.report["outcome_by_id"]
    answered = {key for key, outcome in outcome_by_id.items() if outcome == "200"}
    assert len(answered) > CALLS_PER_S, context.report["outcomes"]
    assert answered <= set(context.ran), answered - set(context.ran)


@then("each booking that was refused as not run is in no upstream's log")
def refused_not_run(context):
    outcome_by_id = context.report["outcome_by_id"]
    refused = {key for key, outcome in outcome_by_id.items() if outcome.endswith(":no")}
    assert not refused & set(context.ran), refused & set(context.ran)


@when("the store goes down")
def store_down(context):
    context.fleet.set_store_faults(outage=True)


@when("the store comes back")
def store_back(context):
    context.fleet.set_store_faults(outage=False)


def _edit(context, place):
    name = f"{SERVICE}-customer-0000"
    text = customer_text(name, f"use-{SERVICE}", place).replace(
        "hosts: [", "hosts: [other.example, "
    )
    return context.fleet.edit(context.fleet.nodes[1], f"customer/{name}", text)


@then('an edit is refused as "{kind}" and reads are still answered')
def edit_refused(context, kind):
    try:
        _edit(context, "field")
    except RuntimeError as error:
        assert kind in str(error), error
    else:
        raise AssertionError("accepted while the store was down")
    before = sum(_ran(node) for node in context.fleet.nodes)
    wait_until(
        lambda: sum(_ran(node) for node in context.fleet.nodes) > before + 10,
        LIMIT_S,
        "reads during the outage",
    )


@then("an edit is in force on every node and no node goes back to an older version")
def edit_in_force(context):
    def accepted():
        try:
            context.newer = _edit(context, "field")
        except RuntimeError:
            return False
        return True

    wait_until(accepted, LIMIT_S, "the edit to be accepted")
    assert context.newer > context.version
    seen = Counter()

    def in_force():
        for node in context.fleet.nodes:
            version = node.version()
            assert version >= seen[node.node_id], (node.node_id, version, seen)
            seen[node.node_id] = version
        return all(seen[node.node_id] == context.newer for node in context.fleet.nodes)

    wait_until(in_force, LIMIT_S, "the edit to be in force")


@then("every call has got its whole answer")
def all_answered(context):
    assert context.report["wrong"] == 0
    assert set(context.report["outcomes"]) == {"200"}, context.report["outcomes"]


@when("the {place} node is asked to stop")
def stop_node(context, place):
    node = _node(context, place)
    node.process.send(signal.SIGTERM)
    context.leaving_process = node.process


@then("it ends with exit code 0")
def ended(context):
    code = context.leaving_process.terminate(LIMIT_S)
    assert code == 0, (code, context.leaving_process.output()[-2000:])


@then("no call was cut off")
def not_cut(context):
    # The operating system refuses connections after the node's end; nothing ran.
    outcomes = dict(context.report["outcomes"])
    outcomes.pop("error:ConnectionRefusedError", None)
    assert set(outcomes) == {"200"}, outcomes
    assert context.report["wrong"] == 0


@when("the {place} upstream is asked to leave and no node lists it any more")
def upstream_leaves(context, place):
    node = _node(context, place)
    context.leaving_node = node
    context.leaving_process = node.upstream
    node.upstream.send(signal.SIGTERM)
    context.fleet.wait_endpoints(SERVICE, len(context.fleet.nodes) - 1)
    context.last_log = node.upstream_log()


@then("it runs no new call from then on")
def no_new_call(context):
    # The node refuses calls for the upstream from then on: its log must not grow.
    while context.leaving_node.upstream.running:
        try:
            log = context.leaving_node.upstream_log()
        except Exception:
            break
        assert len(log) == len(context.last_log), log[-1]
        time.sleep(0.05)
