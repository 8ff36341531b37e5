"""Statuses that the strict reader must reject, through one node and through two."""

from behave import then, when
from calls_extra_answers_steps import NAME_BY_DIALECT
from calls_rig import answer, field_of

from comfreytray.calls.call import Load
from comfreytray.calls.callframes import Decoder, pack_head
from comfreytray.common.errors import Failure, Kind

STATUSES = (
    # Out of range.
    "000",
    "99",
    "099",
    "101",
    "600",
    "999",
    "1000",
    # Not three digits; int() reads the last four of them as 200.
    "",
    "+20",
    "20",
    "-200",
    "2e2",
    "+200",
    "0200",
    "2_00",
    "0_200",
    # Digits of other scripts, in UTF-8 and in Latin-1.
    "\uff12\uff10\uff10",
    "\u0662\u0660\u0660",
    b"\xb200",
    # A line break of some parsers inside the reason.
    "200 Fine\rX-Forged: 1\r",
)
FORGED_BODY = b"forged"
INTERIM = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"
NODE_BY_ENTRY = {"the owner": "a", "the other node": "b"}


def _own_names(head):
    """Return the header lines by which an upstream names the call of a request."""
    names = [(name, field_of(head, name)) for name in NAME_BY_DIALECT.values()]
    return [f"{name}: {value}" for name, value in names if value]


def _answer_well(head):
    body = b"own " + head.split(b" ")[1]
    return answer(200, body, *_own_names(head), "X-Response-Seal: s")


def _answer_malformed(head, status, *, is_behind_interim):
    encoded = status if isinstance(status, bytes) else status.encode()
    lines = [b"HTTP/1.1 " + encoded + b" Fine"]
    lines += [line.encode() for line in _own_names(head)]
    lines += [b"X-Response-Seal: s", b"X-Forged: 1"]
    lines += [b"Content-Length: %d" % len(FORGED_BODY), b"", FORGED_BODY]
    return (INTERIM if is_behind_interim else b"") + b"\r\n".join(lines)


def _call(context, method, target):
    fields = [f"X-Attempt-Id: own-{target[1:]}"]
    return context.fleet.call(context.node_id, method, target, b"", fields)


def _count_opened(context):
    report = context.fleet.path_by_id["a"].metrics.report()["counters"]
    return report.get("upstream_connections_opened", 0)


@when("calls that enter at {entry} get malformed statuses {place}")
def get_malformed(context, entry, place):
    context.node_id = NODE_BY_ENTRY[entry]
    is_kept = "kept" in place
    is_behind_interim = "interim" in place
    context.got, context.later = [], []
    for number, status in enumerate(STATUSES):
        for method in ("POST", "GET"):
            if is_kept:
                context.script = _answer_well
                assert _call(context, "GET", f"/kept{number}{method}").status == 200
            else:
                context.fleet.path_by_id["a"].owner.pool.__exit__()
            opened = _count_opened(context)
            context.script = lambda head, status=status: _answer_malformed(
                head, status, is_behind_interim=is_behind_interim
            )
            got = _call(context, method, f"/bad{number}{method}")
            if method == "POST":
                # This guards the test: the connection was of the stated sort.
                assert _count_opened(context) == opened + (not is_kept), status
            context.got.append((status, method, got))
            context.script = _answer_well
            target = f"/later{number}{method}"
            context.later.append((status, target, _call(context, method, target)))


@then("each of these calls fails with 502, without the upstream's fields or body")
def check_failed(context):
    wrong = [
        (status, method, got.status, got.body)
        for status, method, got in context.got
        if got.status != 502 or "x-forged" in got.headers or FORGED_BODY in got.body
    ]
    assert len(context.got) == 2 * len(STATUSES) and not wrong, wrong


@then("no call that may not run twice reached the upstream twice")
def check_once(context):
    ran = context.fleet.upstream_by_id["a"].ran
    counts = [ran.count(f"/bad{number}POST") for number in range(len(STATUSES))]
    assert counts == [1] * len(STATUSES), list(zip(STATUSES, counts, strict=True))


@then("the next call on the same node gets its own answer")
def check_later(context):
    wrong = [
        (status, got.status, got.body)
        for status, target, got in context.later
        if (got.status, got.body, got.whole) != (200, b"own " + target.encode(), True)
    ]
    assert len(context.later) == 2 * len(STATUSES) and not wrong, wrong


@when("a node's answer between nodes has a status outside 200 to 599")
def feed_frames(context):
    context.results = [
        Decoder().feed(
            pack_head(
                1,
                status=status,
                reason="Fine",
                headers=(),
                body=b"",
                last=True,
                load=Load(used=0.0, service_time_s=0.0),
            )
        )
        for status in (-200, 0, 99, 100, 101, 199, 600, 999)
    ]


@then("the frame is rejected")
def check_frames(context):
    kinds = [r.kind if isinstance(r, Failure) else r for r in context.results]
    assert kinds == [Kind.BAD_FRAME] * 8, kinds
