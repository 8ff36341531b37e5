from behave import given, then, when
from calls_extra_answers_steps import DIALECT_BY_NAME
from calls_rig import Fleet, field_of

BODY = b"whole body"
FRAMING_BY_NAME = {
    "a length": ("Content-Length: 10", BODY),
    "chunks": ("Transfer-Encoding: chunked", b"a\r\n" + BODY + b"\r\n0\r\n\r\n"),
    "its close": ("Connection: close", BODY),
}


@given("two nodes in the {dialect} dialect, one of them beside an upstream")
def make_nodes(context, dialect):
    context.fleet = Fleet(dialect=DIALECT_BY_NAME[dialect])
    context.add_cleanup(context.fleet.__exit__)
    context.script = None
    context.fleet.add("a", script=lambda head, body: context.script(head))
    context.fleet.add("b", service="other")


def _encode(context, head):
    line, body = FRAMING_BY_NAME[context.framing]
    lines = [
        "HTTP/1.1 200 Fine",
        f"X-Attempt-Id: {field_of(head, 'X-Attempt-Id')}",
        "X-Response-Seal: s",
        line,
        "",
        "",
    ]
    return "\r\n".join(lines).encode(), body


def _call(context, node_id):
    return context.fleet.call(node_id, "POST", "/x", b"", ["X-Attempt-Id: own"])


@when("calls enter at either node and the answer, with {framing}, is cut at each byte")
def cut_answers(context, framing):
    context.framing = framing
    head_bytes = len(b"".join(_encode(context, b"")[:1])) - len("None") + len("own")
    context.cut = []
    for size in range(head_bytes):
        context.script = lambda head, size=size: [
            _encode(context, head)[0][:size],
            None,
        ]
        node_id = "ab"[size % 2]
        context.cut.append((size, node_id, _call(context, node_id)))
    context.script = lambda head: [b"".join(_encode(context, head)), None]
    context.got = [_call(context, node_id) for node_id in "ab"]


@then("no call gets a success, whole or not")
def check_cut(context):
    wrong = [
        (size, node_id, got.status, got.body)
        for size, node_id, got in context.cut
        if got.status != 502
    ]
    assert len(context.cut) > 70 and not wrong, wrong


@then("an answer that wasn't cut is passed on whole")
def check_whole(context):
    answers = [(got.status, got.body, got.whole) for got in context.got]
    assert answers == [(200, BODY, True)] * 2, answers
