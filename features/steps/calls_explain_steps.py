"""An explanation that differs from what a call meets, or changes it, fails here."""

import contextlib

from attrs import evolve
from behave import given, then, when
from calls_extra_answers_steps import DIALECT_BY_NAME
from calls_rig import Fleet, answer, field_of

from comfreytray.calls.estimates import Exclusion
from comfreytray.calls.explanation import Explainer, Inquiry
from comfreytray.calls.fingerprints import parse_name
from comfreytray.calls.notices import Held, InstanceEnd
from comfreytray.calls.quarantine import Verdict
from comfreytray.common.errors import Failure, Kind
from comfreytray.common.records import EndpointState, MembershipView
from comfreytray.configuration.accounts import Account, build_accounts
from comfreytray.configuration.snapshots import ServiceShare

HOST = "canhdieu.test"
METHODS = frozenset({"GET", "POST"})
EXPLANATIONS = 62
"""42 of them are calls; a number that the split's cycle of four does not divide."""


def _answer(head, body):
    names = ("X-Attempt-Id", "Comfreytray-Attempt")
    echoed = [f"{n}: {field_of(head, n)}" for n in names if field_of(head, n)]
    return answer(200, b"ok", "X-Response-Seal: s", *echoed)


@given("four nodes of one service, one of them near and fast, in the {dialect} dialect")
def add_nodes(context, dialect):
    context.dialect = dialect
    context.fleet = Fleet(dialect=DIALECT_BY_NAME[dialect])
    context.add_cleanup(context.fleet.__exit__)
    for node_id in "abcd":
        place = "mien-bac-1" if node_id == "a" else "mien-nam-1"
        context.fleet.add(node_id, script=_answer, place=place)
    context.path = context.fleet.path_by_id["a"]
    context.explainer = _explainer(context)


def _explainer(context, **states):
    path = context.path
    return Explainer(
        reader=path.reader,
        router=path.router,
        guard=path.guard,
        snapshot=path.snapshot,
        clock=path.clock,
        **states,
    )


def _explain(context, method="GET", target="/x", *, host=HOST, headers=(), body=""):
    return context.explainer.explain(
        Inquiry(method=method, host=host, target=target, headers=headers, body=body)
    )


def _ranking(context):
    (service,) = _explain(context).services
    return service.ranking


@when("a request is explained and then sent")
def explain_and_send(context):
    # The measurements of a first call make the near endpoint known.
    assert context.fleet.call("a").status == 200
    context.before = {i: len(u.ran) for i, u in context.fleet.upstream_by_id.items()}
    context.explanation = _explain(context)
    assert context.fleet.call("a").status == 200


@then("it went to the first endpoint that was listed, and the others cost more")
def check_first(context):
    (service,) = context.explanation.services
    first, *others = service.ranking.candidates
    ran = {
        i: len(u.ran) - context.before[i]
        for i, u in context.fleet.upstream_by_id.items()
    }
    assert ran == {"a": 0, "b": 0, "c": 0, "d": 0} | {first.node_id: 1}, ran
    assert first.node_id == "a", first
    assert len(others) == 3 and all(c.cost > first.cost for c in others), others
    explanation = context.explanation
    assert (explanation.route, explanation.rejection) == ("plain", None)
    assert (service.service, service.share) == ("lichbay", 1.0)


@given("customers with API keys and a public route")
def add_customers(context):
    fleet = context.fleet
    fleet.accounts = build_accounts([(Account(customer="vela"), ["k-1"])])
    route = evolve(fleet.routes[0], methods=METHODS, path="/x")
    fleet.routes = (
        route,
        evolve(route, name="public", path="/public", is_public=True),
        evolve(route, name="idle", path="/idle", service="none", is_public=True),
    )


@when("requests that are rejected for different reasons are explained and then sent")
def explain_rejected(context):
    deadline = DIALECT_BY_NAME[context.dialect].deadline
    inquiries = [
        Inquiry(method="GET", host="nobody.test", target="/x"),
        Inquiry(method="GET", host=HOST, target="/none"),
        Inquiry(method="DELETE", host=HOST, target="/x"),
        Inquiry(method="GET", host=HOST, target="/x/../y"),
        Inquiry(method="GET", host=HOST, target="/x"),
        Inquiry(
            method="GET", host=HOST, target="/x", headers=(("Authorization", "T k"),)
        ),
        Inquiry(method="GET", host=HOST, target="/public", headers=((deadline, "no"),)),
        Inquiry(method="GET", host=HOST, target="/public", headers=((deadline, "0"),)),
        Inquiry(method="POST", host=HOST, target="/public", body="b" * 1_048_577),
        Inquiry(method="GET", host=HOST, target="/idle"),
    ]
    context.pairs = [
        (inquiry, *_explain_and_send(context, inquiry)) for inquiry in inquiries
    ]
    context.fleet.snapshot = lambda: None
    inquiry = inquiries[0]
    context.path.snapshot = lambda: None
    context.explainer = _explainer(context)
    context.pairs.append((inquiry, *_explain_and_send(context, inquiry)))


def _explain_and_send(context, inquiry):
    explanation = context.explainer.explain(inquiry)
    lines = [
        f"{inquiry.method} {inquiry.target} HTTP/1.1",
        f"Host: {inquiry.host}",
        *(f"{name}: {value}" for name, value in inquiry.headers),
        f"Content-Length: {len(inquiry.body)}",
        "Connection: close",
    ]
    head = "\r\n".join([*lines, "", ""])
    sock = context.fleet.raw("a", head.encode())
    received = b""
    # The node closes the connection of a body that is too large.
    with contextlib.suppress(OSError):
        sock.sendall(inquiry.body.encode())
    while b"\r\n\r\n" not in received:
        part = sock.recv(65536)
        assert part, received
        received += part
    sock.close()
    return explanation, received


@then("each answer has the status, and where it is shown the kind, that was explained")
def check_rejected(context):
    seen = set()
    for inquiry, explanation, received in context.pairs:
        rejection = explanation.rejection
        if rejection is None:
            (service,) = explanation.services
            rejection = service.rejection
        assert rejection is not None, inquiry.target
        status_line = received.partition(b"\r\n")[0].decode()
        status = int(status_line.split(" ")[1])
        assert rejection.status == status, (inquiry.target, rejection, status_line)
        assert rejection.kind.value in received.decode(), (rejection, received)
        seen.add(rejection.kind)
    assert seen == {
        Kind.UNKNOWN_CUSTOMER,
        Kind.NO_ROUTE,
        Kind.METHOD_NOT_SUPPORTED,
        Kind.BAD_REQUEST,
        Kind.UNKNOWN_KEY,
        Kind.DEADLINE_BEFORE_RUN,
        Kind.BODY_TOO_LARGE,
        Kind.NO_ENDPOINT,
        Kind.NO_CONFIGURATION,
    }, seen


@given("a route that is split between two services")
def split_route(context):
    context.fleet.add("e", script=_answer, service="other")
    shares = (
        ServiceShare(service="lichbay", weight=3.0),
        ServiceShare(service="other", weight=1.0),
    )
    plain = context.fleet.routes[0]
    context.fleet.routes = (evolve(plain, shares=shares, target_latency_s=0.1),)
    for _ in range(2):
        assert context.fleet.call("a").status == 200


def _state(context):
    """Return what a call would change, as text."""
    path = context.path
    router = path.router
    state = (
        path.metrics.report(),
        path.report(),
        router.random.getstate(),
        sorted(router.view_by_id),
        [
            (v.slowdown, v.last_used, v.in_flight, v.failures_in_row)
            for v in router.view_by_id.values()
        ],
        router.service_time_s_by_kind,
        router.panics,
        path.reader.splitter._credit_by_service_by_shares,
        path.reader._max_deadline_ms_by_route,
        path.reader.budget.reserved,
        path.guard.quarantine.notices(),
        {i: u.ran for i, u in context.fleet.upstream_by_id.items()},
    )
    return [repr(part) for part in state]


@when("many requests are explained")
def explain_many(context):
    # An endpoint that no call has met yet must not become known by an explanation.
    context.fleet.add("f", script=_answer)
    context.state = _state(context)
    context.tokens = context.path.dispatcher.budgets.common.tokens
    targets = ["/x", "/y?z=1", "/x/../y"]
    headers = (("Comfreytray-Deadline-Ms", "900"), ("Idempotency-Key", "k"))
    for number in range(EXPLANATIONS):
        explanation = _explain(
            context, "POST", targets[number % 3], headers=headers, body="some body"
        )
        context.services = explanation.services or context.services
    assert [(s.service, s.share) for s in context.services] == [
        ("lichbay", 0.75),
        ("other", 0.25),
    ]
    assert len(context.services[0].ranking.candidates) == 5


@then("no request was sent and no state of the node has changed")
def check_unchanged(context):
    changes = [
        (before, after)
        for before, after in zip(context.state, _state(context), strict=True)
        if before != after
    ]
    assert not changes, changes
    # Tokens of the retry budget decay; a call would add one of them.
    assert context.path.dispatcher.budgets.common.tokens <= context.tokens


@then("the next calls are split as if nothing had been explained")
def check_split(context):
    before = len(context.fleet.upstream_by_id["e"].ran)
    for _ in range(6):
        assert context.fleet.call("a").status == 200
    # Two of eight calls in all, of which the first two were made before.
    assert before + len(context.fleet.upstream_by_id["e"].ran[before:]) == 2


@when("endpoints are ejected, leave, refuse, shed or drain")
def exclude_endpoints(context):
    fleet, router = context.fleet, context.path.router
    for node_id in "efgh":
        fleet.add(node_id, script=_answer)
    now = router.clock.monotonic()
    records = fleet.record_by_id
    router.view(records["b"], now).ejected_until = now + 5
    router.exclude_leaving(records["c"])
    router.view(records["d"], now).excluded_until = now + 3
    router.view(records["e"], now).shed_until = now + 2
    router.leaving = True
    draining = evolve(
        records["f"],
        endpoint=evolve(records["f"].endpoint, state=EndpointState.DRAINING),
    )
    records["f"] = draining
    members = fleet.members()
    offered = tuple(r for r in members.by_id.values() if r.node_id != "f")
    view = MembershipView(
        by_id=members.by_id, endpoints_by_service={"lichbay": offered}
    )
    router.members = lambda: view


@then("each is excluded for its reason, with the time that is left")
def check_excluded(context):
    ranking = _ranking(context)
    reasons = {e.node_id: e.reason for e in ranking.excluded}
    assert reasons == {
        "a": Exclusion.OWN_NODE_LEAVING,
        "b": Exclusion.EJECTED,
        "c": Exclusion.INSTANCE_LEAVING,
        "d": Exclusion.REFUSED,
        "e": Exclusion.SHED,
        "f": Exclusion.NOT_OFFERED,
    }, reasons
    left_s = {e.node_id: e.left_s for e in ranking.excluded}
    assert 4 < left_s["b"] <= 5 and 2 < left_s["d"] <= 3 and 1 < left_s["e"] <= 2
    assert {c.node_id for c in ranking.candidates} == {"g", "h"}
    assert not ranking.ignores_ejections


@when("most endpoints are ejected")
def eject_most(context):
    router = context.path.router
    now = router.clock.monotonic()
    for node_id in "egh":
        router.view(context.fleet.record_by_id[node_id], now).ejected_until = now + 5
        router.view(context.fleet.record_by_id[node_id], now).shed_until = 0.0


@then("the explanation says that ejections are ignored and lists all")
def check_ignored(context):
    panics = context.path.router.panics
    ranking = _ranking(context)
    assert ranking.ignores_ejections
    assert {c.node_id for c in ranking.candidates} == set("begh")
    assert context.path.router.panics == panics


@when("an instance has ended under a request")
def end_instance(context):
    assert _explain(context).verdict is Verdict.FREE
    context.request = parse_name(_explain(context).request)
    end = InstanceEnd(
        end_id="e-1", label_by_request={context.request: "GET x"}, isolated=b""
    )
    context.path.guard.learn((end,))


@then("its explanation names the endpoint at which it runs in isolation")
def check_isolated(context):
    explanation = _explain(context)
    assert explanation.verdict is Verdict.ISOLATED and explanation.rejection is None
    expected = context.path.router.pick_isolated("lichbay", context.request)
    assert explanation.services[0].isolated_node_id == expected.node_id
    assert _explain(context, target="/other").verdict is Verdict.FREE
    assert context.fleet.call("a").status == 200
    assert len(context.fleet.upstream_by_id[expected.node_id].ran) == 1


@when("the request is held back")
def hold(context):
    held = Held(
        request=context.request, label="GET x", ends=3, left_s=60.0, generation=1
    )
    context.path.guard.learn((held,))


@then("its explanation is a rejection as request-held")
def check_held(context):
    explanation = _explain(context)
    assert explanation.verdict is Verdict.HELD
    assert explanation.rejection.kind is Kind.REQUEST_HELD
    got = context.fleet.call("a")
    assert (got.status, got.kind) == (explanation.rejection.status, "request-held")


class _ExhaustedQuota:
    def refusal(self, customer):
        return Failure(
            kind=Kind.QUOTA_EXCEEDED, detail=f"quota of {customer}", retry_after_s=1.5
        )


class _NearLimit:
    def limit(self, node_id):
        return 2 if node_id == "a" else None


@when("a quota is exhausted and the near endpoint has a concurrency limit")
def set_limits(context):
    context.explainer = _explainer(
        context, quotas=_ExhaustedQuota(), limits=_NearLimit()
    )


@then("the explanation is a rejection as quota-exceeded and shows the limit")
def check_limits(context):
    explanation = _explain(context)
    rejection = explanation.rejection
    assert (rejection.kind, rejection.status) == (Kind.QUOTA_EXCEEDED, 429)
    assert (rejection.detail, rejection.retry_after_s) == ("quota of canhdieu", 1.5)
    assert dict(explanation.services[0].limit_by_node) == {"a": 2}
