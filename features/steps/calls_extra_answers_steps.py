from behave import given, then, when
from calls_rig import Fleet, answer, field_of

from comfreytray.calls.dialect import NATIVE
from comfreytray.platform.headers import DIALECT

DIALECT_BY_NAME = {"native": NATIVE, "platform": DIALECT}
NAME_BY_DIALECT = {"native": "Comfreytray-Attempt", "platform": "X-Attempt-Id"}
NOT_RUN_BY_DIALECT = {"native": "Comfreytray-Ran: no", "platform": "X-Not-Executed: 1"}


@given("a node beside an upstream, in the {dialect} dialect")
def make_node(context, dialect):
    context.dialect = dialect
    context.fleet = Fleet(dialect=DIALECT_BY_NAME[dialect])
    context.add_cleanup(context.fleet.__exit__)
    context.script = lambda head: _success(context, head)
    context.fleet.add("a", script=lambda head, body: context.script(head))


def _name(context, head):
    """Return the header line with which an upstream names the call of a request."""
    name = NAME_BY_DIALECT[context.dialect]
    return f"{name}: {field_of(head, name)}"


def _success(context, head):
    return answer(200, b"own", _name(context, head), "X-Response-Seal: s")


def _refusal(context, *names):
    return answer(503, b"", NOT_RUN_BY_DIALECT[context.dialect], *names)


def _call(context, call_id, method="POST"):
    fields = [f"X-Attempt-Id: {call_id}"]
    return context.fleet.call("a", method, f"/{call_id}", b"", fields)


def _keep_connection(context):
    """Make a call whose connection is kept; return how it was named."""
    names = []

    def script(head):
        names.append(_name(context, head))
        return _success(context, head)

    context.script = script
    assert _call(context, "kept", "GET").status == 200
    return names


@when("a refusal that names {named} precedes the answer to a call on a kept connection")
def send_refusal_ahead(context, named):
    earlier = _keep_connection(context) if named == "an earlier call" else []
    if not earlier:
        _keep_connection(context)
    context.script = lambda head: _refusal(context, *earlier) + _success(context, head)
    context.got = _call(context, "next")


@then("the call is not reported as not run, and gets {status:d}")
def check_not_refused(context, status):
    assert context.got.status == status, (context.got.status, context.got.headers)
    assert context.got.ran != "no"
    assert context.fleet.upstream_by_id["a"].ran == ["/kept", "/next"]


@when("a call on a {connection} connection is refused, naming {named}")
def refuse(context, connection, named):
    if connection == "kept":
        _keep_connection(context)
    context.script = lambda head: _refusal(
        context, *([_name(context, head)] if named == "this call" else [])
    )
    context.got = _call(context, "refused")


@then("the call is reported as not run")
def check_refused(context):
    assert context.got.status == 503, (context.got.status, context.got.headers)
    assert context.got.ran == ("no" if context.dialect == "native" else "")


def _opened(context):
    report = context.fleet.path_by_id["a"].metrics.report()["counters"]
    return report["upstream_connections_opened"]


@when("a call that was refused before comes again while a connection is kept")
def repeat_refused(context):
    context.script = lambda head: _refusal(context, _name(context, head))
    context.refused = _call(context, "again")
    _keep_connection(context)
    context.opened = _opened(context)
    context.got = _call(context, "again")


@then("it is sent on a new connection, where no earlier refusal can arrive")
def check_new_connection(context):
    assert context.refused.status == 503
    assert context.got.status == 200, context.got.status
    assert _opened(context) == context.opened + 1, (_opened(context), context.opened)
