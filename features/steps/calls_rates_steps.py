import eventlet
from behave import given, then, when
from calls_rig import Fleet, until

from comfreytray.common.records import EndpointState
from comfreytray.platform.headers import DIALECT
from comfreytray.testing import FakeClock
from standins.scripted import answer

SLOTS = 4
WINDOW_S = 4.0


def _add_fleet(context, field, slots=SLOTS):
    context.clock = FakeClock()
    context.fleet = Fleet(dialect=DIALECT, clock=context.clock, slots=slots)
    context.add_cleanup(context.fleet.__exit__)
    context.arrivals, context.calls = [], []
    context.hold_answers = False

    def script(head, body):
        context.arrivals.append(context.clock.now)
        while context.hold_answers:
            eventlet.sleep(0.005)
        return answer(200, b"ok", "X-Response-Seal: s", field)

    context.fleet.add("a", script=script)


def _spawn_call(context, node_id="a"):
    """Start a call and wait until the owner has sent, queued or refused it."""
    decided = _count_decided(context)
    call = eventlet.spawn(context.fleet.call, node_id, "GET", "/x")
    context.calls.append(call)
    assert until(lambda: _count_decided(context) > decided)


def _count_decided(context):
    admission = context.fleet.path_by_id["a"].owner.admission
    ended = sum(1 for call in context.calls if call.dead)
    return len(context.arrivals) + admission.queued + ended


def _most_in_window(arrivals):
    return max(
        sum(1 for at in arrivals if start <= at <= start + WINDOW_S)
        for start in arrivals
    )


@given("an instance that names a limit of {limit:g} call a second in its answers")
@given("an instance that names a limit of {limit:g} calls a second in its answers")
def make_limited(context, limit):
    context.limit = limit
    _add_fleet(context, f"Server-Limit: {limit:g}")


@when("50 calls a second come for 8 s")
def send_calls(context):
    for _ in range(400):
        _spawn_call(context)
        context.clock.now += 0.02


@then("no 4 s have more than 65 calls, and nine tenths of the limit is used")
def check_rate(context):
    assert _most_in_window(context.arrivals) <= 65, _most_in_window(context.arrivals)
    assert len(context.arrivals) >= 0.9 * context.limit * 8, len(context.arrivals)


@then("each other call is refused as not run, with a time to come back")
def check_refused(context):
    ended = [call.wait() for call in context.calls if call.dead]
    refused = [got for got in ended if got.status != 200]
    assert len(refused) > 200 and {got.status for got in refused} == {503}
    assert all(float(got.headers["retry-after"]) > 0 for got in refused)


@when("its node starts anew and 20 calls come before the first answer")
def start_anew(context):
    context.hold_answers = True
    calls = [eventlet.spawn(context.fleet.call, "a", "GET", "/x") for _ in range(20)]
    admission = context.fleet.path_by_id["a"].owner.admission
    assert until(lambda: admission.held + admission.queued == len(calls))
    eventlet.sleep(0)
    assert until(lambda: len(context.arrivals) >= min(2, admission.held))
    context.first_arrivals = len(context.arrivals)
    context.hold_answers = False
    assert until(lambda: admission.held == 0)
    for _ in range(200):
        context.clock.now += 0.02
        _spawn_call(context)


@then("no more than 2 calls reach the instance before its first answer")
def check_first(context):
    assert context.first_arrivals <= 2, context.first_arrivals


@then("no more than 11 reach it in the 4 s from then on")
def check_after(context):
    assert _most_in_window(context.arrivals) <= 11, context.arrivals


@given("an instance whose answers say that it leaves")
def make_leaving(context):
    _add_fleet(context, "Server-Leaving: 1")
    context.fleet.add("b", service="other")


@when("calls come through its own node and through another one")
def call_through_both(context):
    context.statuses = [
        context.fleet.call(node_id, "GET", "/x").status for node_id in "abab"
    ]


@then("only one call reaches the instance")
def check_one(context):
    assert len(context.arrivals) == 1, context.arrivals
    assert context.statuses == [200, 503, 503, 503], context.statuses


@given("an instance of one slot with a call that runs and a call that waits")
def make_waiting(context):
    _add_fleet(context, "X-Any: 1", slots=1)
    context.hold_answers = True
    _spawn_call(context)
    _spawn_call(context)
    assert context.fleet.path_by_id["a"].owner.admission.queued == 1


@when("the instance leaves and the call that runs ends")
def leave_while_waiting(context):
    context.fleet.set_state("a", EndpointState.DRAINING)
    context.hold_answers = False
    context.statuses = [call.wait().status for call in context.calls]


@then("the call that waited is refused as not run and did not reach the instance")
def check_waited(context):
    assert len(context.arrivals) == 1, context.arrivals
    assert context.statuses == [200, 503], context.statuses


@when("the node beside it forgets that and calls come through another one")
def forget_leaving(context):
    context.statuses = [context.fleet.call("b", "GET", "/x").status]
    context.fleet.set_state("a", EndpointState.READY)
    context.statuses += [context.fleet.call("b", "GET", "/x").status for _ in "xx"]


@then("the other node sends no call to the instance")
def check_none(context):
    assert len(context.arrivals) == 1, context.arrivals
    assert context.statuses == [200, 503, 503], context.statuses
