import json

from behave import given, then, when
from calls_rig import Fleet, answer, field_of

from comfreytray.common.errors import Failure, Kind
from comfreytray.configuration.accounts import Account, build_accounts
from comfreytray.configuration.snapshots import Route, Snapshot
from comfreytray.customers.credentials import rank_priority
from comfreytray.platform import configuration
from comfreytray.platform.headers import DIALECT

METHODS = frozenset({"GET"})


def _route(path="/", **values):
    return Route(
        customer="",
        name=path,
        path=path,
        methods=METHODS,
        service="lichbay",
        **values,
    )


def _add_fleet(context, accounts):
    context.heads = []

    def script(head, body):
        context.heads.append(head)
        return answer(200, b"ok", "X-Response-Seal: s")

    context.fleet = Fleet(dialect=DIALECT)
    context.add_cleanup(context.fleet.__exit__)
    context.fleet.accounts = accounts
    context.fleet.routes = (_route("/public/", is_public=True), _route())
    context.fleet.add("a", script=script)


@given("customers vela with key k-1 and brisa with key k-2, and a public route")
def add_customers(context):
    granted = [
        (Account(customer="vela"), ["k-1"]),
        (Account(customer="brisa"), ["k-2"]),
    ]
    _add_fleet(context, build_accounts(granted))


@given("a configuration without customers")
def add_no_customers(context):
    _add_fleet(context, None)


@when("the node's configuration is out of date")
def make_outdated(context):
    context.fleet.path_by_id["a"].reader.identification.is_current = lambda: False


@when("a call to {path} carries {fields}")
def call_with(context, path, fields):
    headers = fields.split("; ")
    context.answer = context.fleet.call("a", "GET", path, headers=headers)


@then("it is answered with {status:d} and the upstream sees the customer {customer}")
def check_seen(context, status, customer):
    assert context.answer.status == status, context.answer.status
    assert len(context.heads) == (status == 200), context.heads
    for head in context.heads:
        expected = None if customer == "none" else customer
        assert field_of(head, "X-Tenant") == expected, head
        assert field_of(head, "Authorization") is None, head
    assert ("www-authenticate" in context.answer.headers) == (status == 401)


@then("the upstream gets both fields as they were sent")
def check_unchanged(context):
    (head,) = context.heads
    assert field_of(head, "X-Tenant") == "vela", head
    assert field_of(head, "Authorization") == "Token k-1", head


def _document(*accounts):
    resources = [
        {"resource_kind": "tenants", "metadata": {"name": name}, "spec": spec}
        for name, spec in accounts
    ]
    return json.dumps({"version": 1, "resources": resources}).encode()


@given(
    "a configuration of the platform with a valid customer and one whose "
    "{field} is {value}"
)
def write_odd(context, field, value):
    name, spec = "odd", {"api_keys": ["k-2"], "rate_per_s": 5, "burst": 5}
    if field == "name":
        name = json.loads(value)
    else:
        spec[field] = json.loads(value)
    context.value = _document(("vela", {"api_keys": ["k-1"]}), (name, spec))


@given("a configuration of the platform in which two customers have the key {key}")
def write_shared(context, key):
    context.key = key
    context.value = _document(
        ("vela", {"api_keys": [key]}), ("brisa", {"api_keys": [key]})
    )


@when("it is decoded")
def decode(context):
    context.decoded = configuration.Decoder()(context.value)


@then("the valid customer has its key and the other one has none")
def check_others(context):
    assert isinstance(context.decoded, Snapshot), context.decoded
    accounts = context.decoded.accounts
    assert accounts.find("k-1").customer == "vela"
    assert accounts.find("k-2") is None


@then("it is refused with a reason that names both customers and not the key")
def check_shared(context):
    assert isinstance(context.decoded, Failure)
    assert context.decoded.kind is Kind.INVALID_CONTENT
    detail = context.decoded.detail
    assert "vela" in detail and "brisa" in detail and context.key not in detail, detail


@given("routes of the priorities 0 and 2 and customers of the priorities 0 and 1")
def make_ranked(context):
    context.ranks = {
        (customer, route): rank_priority(
            _route(priority=route), Account(customer="c", priority=customer)
        )
        for customer in (0, 1)
        for route in (0, 2)
    }


@when("their calls are ranked")
def rank(context):
    context.ranked = sorted(context.ranks, key=context.ranks.__getitem__)


@then("all calls of the first customer rank before those of the second")
def check_customers(context):
    assert [customer for customer, _ in context.ranked] == [0, 0, 1, 1]


@then("each customer's calls rank by their routes")
def check_routes(context):
    assert [route for _, route in context.ranked] == [0, 2, 0, 2]
