import json

from behave import given, then, when

from comfreytray.calls import requests
from comfreytray.common.errors import Failure, Kind
from comfreytray.configuration import snapshots
from comfreytray.platform import configuration

HOST = "fields.example"


@given("a safe route for /slots/list/, an unsafe one for /slots/, and one for /khách/")
def make_snapshot(context):
    resources = [
        {
            "resource_kind": "routes",
            "metadata": {"name": prefix},
            "spec": {
                "hostname": HOST,
                "path_prefix": prefix,
                "type": kind,
                "timeout_s": 2.0,
                "target_latency_s": 0.5,
                "priority": 1,
                "service": "s",
                "max_attempts": 2,
            },
        }
        for prefix, kind in (
            ("/slots/list/", "safe"),
            ("/slots/", "unsafe"),
            ("/khách/", "safe"),
        )
    ]
    document = {"version": 1, "resources": resources}
    context.snapshot = configuration.Decoder()(json.dumps(document).encode())
    assert not isinstance(context.snapshot, Failure), context.snapshot


def _route(context, path):
    environ = {"RAW_PATH_INFO": path, "HTTP_HOST": HOST, "REQUEST_METHOD": "POST"}
    return requests._route(environ, context.snapshot)


@when("a request comes for a path of 8,000 slashes")
def ask_slashes(context):
    prefixes = snapshots._prefixes
    context.looked_up = []

    def count(*args):
        for prefix in prefixes(*args):
            context.looked_up.append(prefix)
            yield prefix

    snapshots._prefixes = count
    try:
        assert _route(context, "/" * 8000).kind is Kind.NO_ROUTE
    finally:
        snapshots._prefixes = prefixes


@then("no more than {most:d} prefixes are looked up")
def check_looked_up(context, most):
    assert 1 <= len(context.looked_up) <= most, len(context.looked_up)


@when("a request comes for {path}")
def ask(context, path):
    context.route = _route(context, path)


@then("its route is {prefix}")
def check_route(context, prefix):
    kinds = {"none": Kind.NO_ROUTE, "refused": Kind.BAD_REQUEST}
    if prefix in kinds:
        assert context.route.kind is kinds[prefix], context.route
        return
    assert not isinstance(context.route, Failure), context.route
    assert context.route.path == prefix, context.route.path
