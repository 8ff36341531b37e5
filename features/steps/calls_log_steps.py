import logging as standard_logging

import eventlet
from absl import logging
from attrs import evolve
from behave import given, then, when
from calls_rig import CRASH, RESET, Fleet, answer, until

from comfreytray.calls import calllog
from comfreytray.calls.call import Call, fail
from comfreytray.calls.calllog import BURST_LINES, CallLog
from comfreytray.common.errors import Failure, Kind
from comfreytray.common.records import EndpointState
from comfreytray.platform.headers import DIALECT
from comfreytray.testing import FakeClock


class LogCapture(standard_logging.Handler):
    """Captures log lines."""

    def __init__(self):
        super().__init__()
        self.lines = []

    def emit(self, record):
        self.lines.append(record.getMessage())

    def of(self, call_id):
        return [line for line in self.lines if f"id={call_id} " in line + " "]


def _capture_log(context):
    context.lines = LogCapture()
    logger = logging.get_absl_logger()
    verbosity = logging.get_verbosity()
    logger.addHandler(context.lines)
    logging.set_verbosity(logging.INFO)
    context.add_cleanup(logger.removeHandler, context.lines)
    context.add_cleanup(logging.set_verbosity, verbosity)


@given("a node beside an upstream, with its log captured")
def make_node(context):
    _capture_log(context)
    context.fleet = Fleet(dialect=DIALECT, slots=1, connections=1)
    context.add_cleanup(context.fleet.__exit__)
    context.script = lambda head, body: answer(200, b"ok", "X-Response-Seal: s")
    context.fleet.add("a", script=lambda head, body: context.script(head, body))
    context.path = context.fleet.path_by_id["a"]


def _call(context, call_id, *fields, target="/x", deadline_ms=2000):
    context.fleet.call(
        "a",
        "POST",
        target,
        b"x",
        [f"X-Attempt-Id: {call_id}", f"X-Deadline-Ms: {deadline_ms}", *fields],
    )


@when("calls fail in every way")
def fail_each_way(context):
    routes = context.fleet.routes
    context.fleet.routes = ()
    _call(context, "no-route")
    context.fleet.routes = routes
    _call(context, "bad", deadline_ms="soon")
    _call(context, "spent", deadline_ms=0)
    context.script = lambda head, body: [b"HTTP/1.1 200 Fine\r\n", RESET]
    _call(context, "lost")
    context.script = lambda head, body: answer(200, b"ok")
    _call(context, "unproved")
    context.script = lambda head, body: eventlet.sleep(10) or b""
    _call(context, "slow", deadline_ms=100)
    context.script = lambda head, body: answer(503, b"", "X-Not-Executed: 1")
    _call(context, "full")
    context.script = lambda head, body: answer(500, b"", "X-Response-Seal: s")
    _call(context, "broken")
    _fail_at_admission(context)
    _fail_without_endpoint(context)


def _fail_at_admission(context):
    """Occupy the only slot, so that a call with little time left is refused at once."""
    context.script = lambda head, body: (
        eventlet.sleep(0.5) or answer(200, b"ok", "X-Response-Seal: s")
    )
    running = eventlet.spawn(_call, context, "holder")
    admission = context.path.owner.admission
    assert until(lambda: admission.held == 1)
    admission.run_times.mean_s = 5.0
    _call(context, "no-room", deadline_ms=1000)
    running.wait()


def _fail_without_endpoint(context):
    record = context.fleet.record_by_id["a"]
    context.fleet.upstream_by_id["a"].close()
    context.path.owner.pool.__exit__()
    _call(context, "refused")
    draining = evolve(record.endpoint, state=EndpointState.DRAINING)
    context.fleet.record_by_id["a"] = evolve(record, endpoint=draining)
    context.path.owner.leave()
    context.path.router.view_by_id.clear()
    _call(context, "leaving")
    context.fleet.hidden = {"a"}
    _call(context, "nowhere")


EXPECTED_BY_ID = {
    "no-route": ("kind=no-route", "version=1"),
    "bad": ("kind=bad-request", "reason="),
    "spent": ("kind=deadline-before-run", "reason="),
    "lost": ("kind=lost-after-send", "instance=a"),
    "unproved": ("kind=answer-cut", 'reason="success without proof"'),
    "slow": ("kind=deadline-while-running", "attempts=a:"),
    "full": ("kind=overloaded", 'reason="upstream refused"'),
    "broken": ("status=500", "attempts=a:500:"),
    "no-room": ("kind=overloaded", "held=1 queued=0 slots=1 limit_per_s=inf"),
    "refused": ("kind=connect-failed", "reason=ConnectionRefusedError"),
    "leaving": ("kind=leaving", "slots=1"),
    "nowhere": ("kind=no-endpoint", "attempts=none"),
}


@then("each call has a log line with its id, kind of failure and details")
def check_lines(context):
    for call_id, wanted in EXPECTED_BY_ID.items():
        found = " ".join(context.lines.of(call_id))
        for part in wanted:
            assert part in found, (call_id, part, found)


@when("a thousand calls fail within a second")
def fail_many(context):
    log = CallLog(clock=FakeClock())
    call = Call(
        service="s",
        customer="",
        share=1.0,
        method="GET",
        target="/",
        headers=(),
        body=b"",
        deadline=1001.0,
        idempotent=True,
        call_id="many",
    )
    for _ in range(1000):
        log.ended(call, fail(Kind.OVERLOADED), 1)
    context.log = log
    context.written = len(context.lines.of("many"))
    log.clock.now += 10.0
    log.refused_at_entry("later", Failure(kind=Kind.NO_ROUTE), 1)


@then("at most the burst limit of lines is written and the rest is counted")
def check_bound(context):
    assert context.written <= BURST_LINES, context.written
    left_out = [line for line in context.lines.lines if "lines-left-out" in line]
    assert f"count={1000 - context.written}" in left_out[0], left_out
    assert context.log.left_out == 0


@given("10000 call ids")
def make_ids(context):
    context.ids = [f"{n * 7919:016x}" for n in range(10_000)]


@when("two nodes choose which calls to log")
def choose(context):
    context.chosen = [
        [call_id for call_id in context.ids if calllog._is_sampled(call_id)]
        for _ in range(2)
    ]


@then("they choose the same calls, about one in 256")
def check_chosen(context):
    first, second = context.chosen
    assert first == second and 15 <= len(first) <= 80, len(first)


@given(
    "two nodes that don't know each other, beside instances that end under a request"
)
def make_crashing(context):
    _capture_log(context)
    context.fleets = [Fleet(dialect=DIALECT) for _ in range(2)]

    def script(head, body):
        if b" /deadly " in head:
            eventlet.sleep(0.05)
            yield CRASH
        eventlet.sleep(5.0)
        yield answer(200, b"ok", "X-Response-Seal: s")

    for fleet in context.fleets:
        context.add_cleanup(fleet.__exit__)
        fleet.add("a", script=script)


@when("that request and another one run at both")
def crash_twice(context):
    for count, fleet in enumerate(context.fleets, 1):
        context.fleet = fleet
        calls = [
            eventlet.spawn(_call, context, f"{target[1:]}{count}", target=target)
            for target in ("/fine", "/deadly")
        ]
        for call in calls:
            call.wait()
        assert until(lambda count=count: len(_ends(context)) == count)


def _ends(context):
    return [line for line in context.lines.lines if "event=endpoint-ended" in line]


def _requests_of(line):
    return line.partition("requests=")[2].split(",")


@then("each end has a line that names both requests")
def check_end_lines(context):
    for line in _ends(context):
        assert "instance=a under_way=2" in line, line
        assert len(_requests_of(line)) == 2, line


@then("both lines name the same requests, whatever the ids of their attempts")
def check_same_requests(context):
    first, second = _ends(context)
    assert set(_requests_of(first)) == set(_requests_of(second)), (first, second)
    (lost,) = {
        line.partition("request=")[2].split(" ")[0]
        for call_id in ("deadly1", "deadly2")
        for line in context.lines.of(call_id)
        if "at=owner" in line
    }
    assert lost in _requests_of(first), (lost, first)
