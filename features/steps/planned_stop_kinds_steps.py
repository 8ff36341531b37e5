import eventlet
from attrs import evolve
from behave import given, then, when
from calls_rig import Fleet, answer, until

from comfreytray.calls.cutcalls import cut_calls
from comfreytray.calls.stopping import StopSchedule


@given(
    "a node that enters calls for two instances, with a kind of 0.8 s and a short one"
)
def make_node_with_kinds(context):
    def script(head, body):
        eventlet.sleep(0.8 if b"/long" in head else 0.01)
        return answer(200, b"ok")

    fleet = context.fleet = Fleet()
    context.add_cleanup(fleet.__exit__)
    plain = fleet.routes[0]
    fleet.routes = tuple(
        evolve(plain, name=name, path=f"/{name}") for name in ("long", "short")
    )
    fleet.add("entry", service="other")
    for owner in ("first", "second"):
        fleet.add(owner, script=script)
    for name in ("long", "short"):
        warm = [eventlet.spawn(_post_call, context, name) for _ in range(4)]
        assert {call.wait().status for call in warm} == {200}
    for owner in ("first", "second"):
        fleet.upstream_by_id[owner].ran.clear()


def _post_call(context, name):
    return context.fleet.call("entry", "POST", f"/{name}", body=b"x")


def _cut_off(path):
    """End a node as its process does."""
    path.callers.shut_sockets.clear()
    for sock in list(path.callers.busy_sockets):
        sock.fd.shutdown(2)
    path.server.__exit__(None, None, None)


@when(
    "calls of both kinds arrive 0.3 s after a stop of the entering node began that "
    "leaves 1 s"
)
def stop_entry_with_kinds(context):
    path = context.fleet.path_by_id["entry"]
    now = path.clock.monotonic()
    path.ask_to_close(StopSchedule(began_at=now, ends_at=now + 1.0))
    eventlet.sleep(0.3)
    calls = {
        name: eventlet.spawn(_post_call, context, name) for name in ("long", "short")
    }
    eventlet.sleep(0.7)
    _cut_off(path)
    context.got = {name: call.wait() for name, call in calls.items()}


def _ran(context):
    return [
        target
        for upstream in context.fleet.upstream_by_id.values()
        for target in upstream.ran
    ]


@then("the long call is refused as not run and ran nowhere")
def check_long_refused(context):
    got = context.got["long"]
    assert (got.status, got.kind, got.ran) == (503, "leaving", "no"), vars(got)
    assert float(got.headers["retry-after"]) > 0
    assert "/long" not in _ran(context)


@then("the short call, whose caller would wait for longer, gets its answer")
def check_short_kind_answered(context):
    assert context.got["short"].status == 200, context.got["short"].status
    assert _ran(context) == ["/short"]


@when(
    "{count:d} long calls arrive 0.3 s after a stop of one instance's node began that "
    "leaves 1 s"
)
def stop_owner_with_long_calls(context, count):
    path = context.fleet.path_by_id["first"]
    now = path.clock.monotonic()
    path.ask_to_close(StopSchedule(began_at=now, ends_at=now + 1.0))
    eventlet.sleep(0.3)
    calls = [eventlet.spawn(_post_call, context, "long") for _ in range(count)]
    eventlet.sleep(0.7)
    _cut_off(path)
    context.got = [call.wait() for call in calls]


@then("each of them gets its answer from the other instance")
def check_answers_elsewhere(context):
    assert [got.status for got in context.got] == [200] * len(context.got), [
        (got.status, got.kind, got.ran) for got in context.got
    ]
    assert not context.fleet.upstream_by_id["first"].ran
    assert context.fleet.upstream_by_id["second"].ran == ["/long"] * len(context.got)


@then("no retry was spent on them")
def check_no_retry(context):
    metrics = context.fleet.path_by_id["entry"].metrics
    assert metrics.count_by_name.get("calls_retried", 0) == 0


@when(
    "a request of {deadline:g} s is complete after {after:g} s, of a kind that takes "
    "{takes:g} s"
)
def ask_with_expected_time(context, deadline, after, takes):
    now = context.schedule.began_at + after
    context.refusal = context.schedule.refusal(
        now=now, deadline=now + deadline, expected_s=takes
    )


@given("a node that enters calls of 20 s and short ones")
def make_node_with_endless_calls(context):
    def script(head, body):
        eventlet.sleep(20.0 if b"/endless" in head else 0.0)
        return answer(200, b"ok")

    context.fleet = Fleet(slots=16, connections=32)
    context.add_cleanup(context.fleet.__exit__)
    context.fleet.add("entry", service="other")
    context.fleet.add("owner", script=script)


@when("five callers, and one that sends two short calls behind, outlast its stop")
def cut_callers(context):
    request = b"GET /%s HTTP/1.1\r\nHost: canhdieu.test\r\n\r\n"
    fleet = context.fleet
    socks = [fleet.raw("entry", request % b"endless") for _ in range(5)]
    ahead = b"".join(request % name for name in (b"endless", b"short", b"short"))
    socks.append(fleet.raw("entry", ahead))
    assert until(lambda: len(fleet.upstream_by_id["owner"].ran) == 8)
    path = fleet.path_by_id["entry"]
    now = path.clock.monotonic()
    path.ask_to_close(StopSchedule(began_at=now, ends_at=now + 0.5))
    assert not path.stop_http(0.5)
    cut_calls(path)
    context.got = [_read_all(sock) for sock in socks]


def _read_all(sock):
    data = b""
    while part := sock.recv(65536):
        data += part
    return [head[:3] for head in data.split(b"HTTP/1.1 ")[1:]]


@then("each of the five gets a 504")
def check_all_told(context):
    assert context.got[:5] == [[b"504"]] * 5, context.got


@then("the one that sent ahead gets a 504 and the two answers of the upstream")
def check_answers_behind(context):
    assert context.got[5] == [b"504", b"200", b"200"], context.got
