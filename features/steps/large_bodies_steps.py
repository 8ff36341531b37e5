"""Limits of the configuration, and request bodies that are streamed."""

import eventlet
from attrs import evolve
from behave import given, then, when
from calls_rig import add_fleet, answer, read_answer

from comfreytray.configuration.callerlimits import DEFAULT_CALLER_LIMITS
from comfreytray.platform import callerlimits

HOST = b"Host: canhdieu.test\r\n"
LOW = evolve(
    DEFAULT_CALLER_LIMITS,
    max_header_bytes=10_000,
    max_line_bytes=10_000,
    max_body_bytes=1000,
    header_timeout_s=0.3,
    idle_timeout_s=0.4,
)

# Limits


@when("configurations with usual and odd limits are decoded")
def decode_limits(context):
    context.lines = []
    warn = callerlimits.warn
    callerlimits.warn = lambda event, **fields: context.lines.append(fields)
    context.add_cleanup(setattr, callerlimits, "warn", warn)
    usual = {
        "max_header_bytes": 16_384,
        "max_body_bytes": 5000,
        "header_timeout_s": 3,
        "idle_timeout_s": 15.5,
    }
    context.usual = callerlimits.read_limits(usual)
    assert not context.lines
    context.odd = {}
    for name in usual:
        for value in (0, -1, True, "7", [], float("nan"), float("inf"), 10**400):
            context.odd[name, repr(value)[:9]] = callerlimits.read_limits(
                {**usual, name: value}
            )
    context.not_objects = [callerlimits.read_limits(spec) for spec in (None, [], "x")]


@then("a usual limit is taken, an odd one keeps its default and is logged")
def check_decoded(context):
    usual = context.usual
    assert (usual.max_header_bytes, usual.max_line_bytes) == (16_384, 16_384)
    assert (usual.max_body_bytes, usual.idle_timeout_s) == (5000, 15.5)
    assert usual.header_timeout_s == 3.0
    for (name, value), got in context.odd.items():
        default = getattr(DEFAULT_CALLER_LIMITS, name)
        assert getattr(got, name) == default, (name, value, got)
        expected = evolve(usual, **{name: default})
        if name == "max_header_bytes":
            expected = evolve(
                expected, max_line_bytes=DEFAULT_CALLER_LIMITS.max_line_bytes
            )
        assert got == expected, (name, value, got)
    assert context.not_objects == [DEFAULT_CALLER_LIMITS] * 3
    assert len(context.lines) == len(context.odd) + 3
    beyond = callerlimits.read_limits({"max_body_bytes": 2**40})
    assert beyond.max_body_bytes == callerlimits.MAX_BODY_BYTES


@given("a node whose configuration has low limits")
def make_limited(context):
    def script(head, body):
        if head.startswith(b"GET /slow"):
            eventlet.sleep(2.5 * LOW.idle_timeout_s)
        return answer(200, b"ok")

    add_fleet(context, ["a"], script)
    context.fleet.limits = LOW


def _padded_head(size):
    start = b"GET /x HTTP/1.1\r\n" + HOST + b"A: "
    return start + b"x" * (size - len(start) - 4) + b"\r\n\r\n"


@when("requests at and beyond each limit are made")
def request_at_limits(context):
    post = b"POST /x HTTP/1.1\r\n" + HOST
    requests = {
        "head at limit": _padded_head(10_000),
        "head beyond": _padded_head(10_001),
        "line beyond": b"GET /" + b"x" * 10_001,
        "body at limit": post + b"Content-Length: 1000\r\n\r\n" + b"x" * 1000,
        "body beyond": post + b"Content-Length: 1001\r\n\r\n",
        "chunks at limit": post
        + b"Transfer-Encoding: chunked\r\n\r\n3e8\r\n%s\r\n0\r\n\r\n" % (b"x" * 1000),
        "chunks beyond": post
        + b"Transfer-Encoding: chunked\r\n\r\n3e9\r\n%s\r\n0\r\n\r\n" % (b"x" * 1001),
        "slow line": b"GET /x HT",
        "slow fields": b"GET /x HTTP/1.1\r\nHo",
        # An earlier request of the connection is answered first.
        "slow after another": b"GET /first HTTP/1.1\r\n" + HOST + b"\r\nGET /x HT",
    }
    context.status = {}
    for name, data in requests.items():
        sock = context.fleet.raw("a", data)
        context.status[name] = read_answer(sock).status
        if name == "slow after another":
            context.second_status = read_answer(sock).status
        sock.close()


@then(
    "those at the limits are answered and the others are refused with 413, 431 and 408"
)
def check_limits(context):
    assert context.status == {
        "head at limit": 200,
        "head beyond": 431,
        "line beyond": 431,
        "body at limit": 200,
        "body beyond": 413,
        "chunks at limit": 200,
        "chunks beyond": 413,
        "slow line": 408,
        "slow fields": 408,
        "slow after another": 200,
    }, context.status
    assert context.second_status == 408, context.second_status


@then("an idle connection is closed, but not while an answer is pending on it")
def check_idle(context):
    sock = context.fleet.raw("a", b"")
    with eventlet.Timeout(5 * LOW.idle_timeout_s):
        assert sock.recv(1) == b""
    sock.close()
    sock = context.fleet.raw("a", b"GET /slow HTTP/1.1\r\n" + HOST + b"\r\n")
    assert read_answer(sock).status == 200
    sock.close()
