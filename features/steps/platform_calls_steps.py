from behave import given, then, when
from calls_rig import RESET, Fleet, field_of

from comfreytray.platform.headers import DIALECT
from comfreytray.testing import FakeClock

SEAL = "X-Response-Seal: s"


def _head(status, call_id, *lines):
    fields = [f"HTTP/1.1 {status} Fine", f"X-Attempt-Id: {call_id}", *lines, "", ""]
    return "\r\n".join(fields).encode("latin-1")


@given("a node that uses the platform's header dialect, beside an upstream")
def make_node(context):
    context.fleet = Fleet(dialect=DIALECT, caller="antoan")
    context.add_cleanup(context.fleet.__exit__)
    context.seen = []
    context.script = None

    def script(head, body):
        context.seen.append(head)
        return context.script(head)

    context.fleet.add("a", script=script)


def _call(context, call_id, method="POST"):
    fields = [f"X-Attempt-Id: {call_id}", "X-Caller-Service: forged"]
    body = b"x" if method == "POST" else b""
    return context.fleet.call("a", method, f"/{call_id}", body, fields)


@when("answers without a length end with an orderly close and with a reset")
def end_without_length(context):
    context.got = {}
    for name, end in (("closed", None), ("reset", RESET)):
        context.script = lambda head, end=end: [
            _head(200, field_of(head, "X-Attempt-Id"), SEAL) + b"half",
            end,
        ]
        context.got[name] = _call(context, name)


@then("only the one that was closed is passed on as a success")
def check_ends(context):
    closed, reset = context.got["closed"], context.got["reset"]
    assert (closed.status, closed.body, closed.whole) == (200, b"half", True)
    assert reset.status == 502, (reset.status, reset.body)


@when("an answer to another call precedes the answer to this call")
def answer_twice(context):
    def script(head):
        own = field_of(head, "X-Attempt-Id")
        stray = _head(200, "earlier", SEAL, "Content-Length: 5") + b"stray"
        return stray + _head(200, own, SEAL, "Content-Length: 3") + b"own"

    context.script = script
    context.got = [_call(context, "first"), _call(context, "second")]


@then("this call and the next each get their own answer")
def check_own(context):
    assert [(got.status, got.body) for got in context.got] == [(200, b"own")] * 2
    head = context.seen[0]
    assert field_of(head, "X-Caller-Service") == "antoan", head
    assert field_of(head, "X-Expect-Instance") == "a", head
    assert 0 < int(field_of(head, "X-Deadline-Ms")) <= 60_000, head


@when("a success comes without proof, with a content encoding, or with bytes after it")
def answer_without_proof(context):
    length = ("Content-Length: 2",)
    lines_by_name = {
        "bare": length,
        "encoded": (SEAL, "Content-Encoding: gzip", *length),
        "behind": (SEAL, *length),
    }
    context.got = {}
    for name, lines in lines_by_name.items():
        behind = b"HTTP/1.1 200 Fine\r\n\r\n" if name == "behind" else b""
        context.script = lambda head, lines=lines, behind=behind: (
            _head(200, field_of(head, "X-Attempt-Id"), *lines) + b"ok" + behind
        )
        context.got[name] = _call(context, name)


@then("the first two are answered with an error and the third is passed on")
def check_proof(context):
    status_by_name = {name: got.status for name, got in context.got.items()}
    assert status_by_name == {"bare": 502, "encoded": 502, "behind": 200}
    assert context.got["behind"].body == b"ok"


@when("the upstream is full, drops the connection, and is another instance")
def refuse(context):
    parts_by_name = {
        "full": lambda own: _head(503, own, "X-Not-Executed: 1", "Content-Length: 0"),
        "lost": lambda own: [b"", None],
        "other": lambda own: _head(421, own, "Content-Length: 0"),
    }
    context.got = {}
    for name, parts in parts_by_name.items():
        context.script = lambda head, parts=parts: parts(field_of(head, "X-Attempt-Id"))
        context.got[name] = _call(context, name)


@then("the first and the last give status 503 and the dropped connection 502")
def check_refusals(context):
    assert context.got["full"].status == 503, context.got["full"].status
    assert context.got["other"].status == 503, context.got["other"].status
    assert context.got["lost"].status == 502, context.got["lost"].status


@when("a safe call, after 1.2 s an unsafe call and then safe calls are made")
def make_calls_on_old_connections(context):
    def script(head):
        own = field_of(head, "X-Attempt-Id")
        return _head(200, own, SEAL, "Content-Length: 3") + b"own"

    context.script = script
    clock = context.fleet.path_by_id["a"].clock
    context.got = [_call(context, "first", "GET")]
    start = clock.monotonic()
    # The pool reads the clock of the node, so that the test need not wait.
    context.fleet.path_by_id["a"].owner.pool.clock = FakeClock(now=start + 1.2)
    context.got += [_call(context, "second", "POST"), _call(context, "third", "GET")]


@then("two connections were opened and no call was lost")
def check_connections(context):
    assert [got.status for got in context.got] == [200] * 3
    pool = context.fleet.path_by_id["a"].owner.pool
    assert pool.open_count == 2, pool.open_count
    assert len(pool._idle) == 2, len(pool._idle)
    report = context.fleet.path_by_id["a"].metrics.report()["counters"]
    assert report["upstream_connections_opened"] == 2, report


@when("the upstream refuses calls with a Retry-After of 2, 0.25, ², -1, inf and 1_0")
def refuse_with_times(context):
    context.got = []
    for text in ("2", "0.25", "²", "-1", "inf", "1_0"):
        line = f"Retry-After: {text}"
        context.script = lambda head, line=line: _head(
            503,
            field_of(head, "X-Attempt-Id"),
            "X-Not-Executed: 1",
            line,
            "Content-Length: 0",
        )
        context.got.append(_call(context, "refused"))


@then("each call is refused as not run, and the first two with the upstream's time")
def check_times(context):
    assert [got.status for got in context.got] == [503] * 6, context.got
    times = [got.headers.get("retry-after") for got in context.got]
    assert times[:2] == ["2", "0.25"], times
    assert len(set(times[2:])) == 1 and times[2] not in times[:2], times
