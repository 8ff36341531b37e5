import copy
import json
import os
import subprocess
import sys
import tempfile
from pathlib import Path

import eventlet
from behave import given, then, when
from calls_rig import Upstream, read_answer, until
from eventlet import tpool
from eventlet.green import socket

from comfreytray.calls.call import Call, Reply
from comfreytray.calls.connections import StreamClient
from comfreytray.calls.splits import Splitter
from comfreytray.calls.stopping import StopSchedule
from comfreytray.common.errors import EXIT_USAGE, Failure
from comfreytray.common.exceptions import SettingError
from comfreytray.common.metrics import Metrics
from comfreytray.common.records import Endpoint, LocalUpstream
from comfreytray.configuration.snapshots import Route, ServiceShare
from comfreytray.membership.heartbeats import Heartbeat
from comfreytray.node.options import NodeOptions, RetryBudget
from comfreytray.node.proxynode import (
    LEAVE_PROPAGATION_S,
    READINESS_PROPAGATION_S,
    ProxyNode,
)
from comfreytray.platform import configuration
from comfreytray.platform.headers import DIALECT
from comfreytray.platform.objectstore import PlatformStore
from comfreytray.platform.settings import load
from comfreytray.replication.freshness import FreshnessLimits
from standins.platform_store import StoreStandIn
from standins.processes import ROOT

HOST = "fields.example"


def _configuration(version, prefix="/a/", **spec):
    route = {
        "hostname": HOST,
        "path_prefix": prefix,
        "type": "safe",
        "timeout_s": 2.0,
        "target_latency_s": 0.5,
        "priority": 1,
        "service": "s",
        "max_attempts": 2,
    }
    return {
        "version": version,
        "resources": [
            {
                "resource_kind": "routes",
                "metadata": {"name": "r"},
                "spec": {**route, **spec},
            },
            {
                "resource_kind": "services",
                "metadata": {"name": "s"},
                "spec": {"health_path": "/health", "max_connections": 8},
            },
            {"resource_kind": "limits", "metadata": {}, "spec": {}},
        ],
    }


def _free_port():
    sock = eventlet.listen(("127.0.0.1", 0))
    port = sock.getsockname()[1]
    sock.close()
    return port


def _answer(head, body):
    call_id = head.decode().partition("X-Attempt-Id: ")[2].partition("\r\n")[0]
    lines = [
        "HTTP/1.1 200 Fine",
        f"X-Attempt-Id: {call_id}",
        "X-Response-Seal: s",
        "Content-Length: 2",
        "",
        "ok",
    ]
    return "\r\n".join(lines).encode()


def node_options(upstream_port, http_address):
    """Return the options of a node on loopback, on free ports."""
    return NodeOptions(
        node_id="n-1",
        service="s",
        region="r",
        data_centre="d",
        host="127.0.0.1",
        upstream=("127.0.0.1", upstream_port),
        call_port=_free_port(),
        replication_port=_free_port(),
        http_address=http_address,
        capacity=86,
        is_first_start=True,
        heartbeat_s=1.5,
        grace_s=6.0,
        retries=RetryBudget(ratio=0.2, slack=56.0, window_s=10.0),
        freshness=FreshnessLimits(propagation_s=2.5, recovery_s=4.0),
    )


@given("the platform's store, an endpoint and a node beside it")
def make_node(context):
    context.stand_in = StoreStandIn()
    context.add_cleanup(context.stand_in.close)
    context.upstream = Upstream(_answer)
    context.add_cleanup(context.upstream.close)
    options = node_options(context.upstream.port, ("127.0.0.1", _free_port()))
    store = tpool.Proxy(PlatformStore(address=context.stand_in.address))
    context.node = ProxyNode(
        options=options,
        store=store,
        configuration_key=configuration.OBJECT_KEY,
        decode_configuration=configuration.Decoder(),
        dialect=DIALECT,
    )
    context.node.__enter__()
    context.add_cleanup(context.node.__exit__, None, None, None)


def _call(context, path="/a/x"):
    sock = socket.create_connection(context.node.options.http_address)
    head = f"GET {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: q\r\n"
    sock.sendall((head + "X-Deadline-Ms: 2000\r\n\r\n").encode())
    got = read_answer(sock)
    sock.close()
    return got


def _version(context):
    snapshot = context.node.snapshot
    return snapshot.head.version if snapshot else 0


@when("the node starts before there is a configuration")
def start_without_configuration(context):
    assert until(lambda: context.node.members.is_known)
    context.ready = context.node.is_ready
    context.got = _call(context)


@then("it is not ready and refuses calls as not run")
def check_not_ready(context):
    assert not context.ready and context.got.status == 503
    assert float(context.got.headers["retry-after"]) > 0


@when("the operator writes a configuration and the endpoint sends a heartbeat")
def configure_and_send_heartbeat(context):
    context.stand_in.put("config", "main", _configuration(7))
    endpoint = Endpoint(service="s", instance_id="i-1", slots=2, connections=4)
    host, port = context.node.options.upstream
    upstream = LocalUpstream(host=host, port=port, endpoint=endpoint)
    heartbeat = Heartbeat(upstream=upstream, started_ms=1, sequence=1)
    context.node.register.receive(heartbeat)
    assert until(lambda: _version(context) == 7)


@then("it is ready, serves the route and answers 404 for other paths")
def check_serving(context):
    assert context.node.is_ready
    got = _call(context)
    assert (got.status, got.body) == (200, b"ok"), (got.status, got.body)
    assert got.headers["x-response-seal"] == "s"
    assert _call(context, "/b/x").status == 404
    assert _call(context, "/a").status == 404


@when("versions arrive in order, out of order, malformed and repeated")
def write_versions(context):
    context.applied_versions = []
    broken = _configuration(50)
    del broken["resources"][0]["spec"]["timeout_s"]
    for plain in (
        _configuration(3),
        _configuration(9),
        _configuration(5),
        broken,
        {"version": "60", "resources": []},
        _configuration(9, prefix="/other/"),
        _configuration(11),
    ):
        context.node._active.apply([_stored(plain)])
        context.applied_versions.append(_version(context))


def _stored(plain):
    from comfreytray.common.interfaces import StoredObject

    value = json.dumps(plain).encode()
    return StoredObject(key="config/main", value=value, version=1)


@then("only valid ones of a higher version were applied")
def check_versions(context):
    assert context.applied_versions == [3, 9, 9, 9, 9, 9, 11], context.applied_versions


@when("the store refuses calls, drops its history, cuts watches and loses answers")
def inject_store_faults(context):
    stand_in = context.stand_in
    context.caught_up = []
    version = 1
    for fault in ("refuse_calls", "drop_history", "cut_watches", "lose_answers"):
        getattr(stand_in, fault)()
        version += 2
        stand_in.put("config", "main", _configuration(version))
        context.node.register.receive(_heartbeat(context, version))
        eventlet.sleep(0.2)
        stand_in.clear_faults()
        wanted = version
        context.caught_up.append(
            until(lambda: _version(context) == wanted)  # noqa: B023
        )


def _heartbeat(context, sequence):
    endpoint = Endpoint(
        service="s", instance_id=f"i-{sequence}", slots=2, connections=4
    )
    host, port = context.node.options.upstream
    upstream = LocalUpstream(host=host, port=port, endpoint=endpoint)
    return Heartbeat(upstream=upstream, started_ms=sequence, sequence=1)


@then("the node has the newest version each time and its stored record is current")
def check_caught_up(context):
    assert context.caught_up == [True] * 4, context.caught_up

    def entry():
        held = context.stand_in.object_by_name["members"].get("n-1")
        return held and held["spec"]["endpoint"]["instance_id"]

    assert until(lambda: entry() == "i-9"), entry()


def _call_from_peer(context, target):
    call = Call(
        service="s",
        customer="",
        share=1.0,
        method="POST",
        target=target,
        headers=(("X-Attempt-Id", "far"),),
        body=b"",
        deadline=context.node.clock.monotonic() + 5.0,
        idempotent=False,
        call_id="far",
    )
    return context.peer_client.call(context.node.record(), call)


@when("the node is told to stop while callers and another node send calls")
def stop_during_calls(context):
    configure_and_send_heartbeat(context)
    clock = context.node.clock
    context.peer_client = StreamClient(own_id="n-2", clock=clock, metrics=Metrics())
    context.add_cleanup(context.peer_client.__exit__, None, None, None)
    running = eventlet.spawn(context.node.run)
    context.node.ask_to_stop()
    context.got, context.peer_replies = [], []
    started = clock.monotonic()
    while clock.monotonic() - started < READINESS_PROPAGATION_S - 0.3:
        context.ready = context.node.is_ready
        if (
            clock.monotonic() - started
            < READINESS_PROPAGATION_S - LEAVE_PROPAGATION_S - 0.1
        ):
            context.got.append(_call(context))
        context.peer_replies.append(_call_from_peer(context, "/a/x"))
        eventlet.sleep(0.2)
    context.upstream.script = lambda head, body: (
        eventlet.sleep(1.5) or _answer(head, body)
    )
    peer_reply = eventlet.spawn(_call_from_peer, context, "/a/long")
    context.peer_reply = peer_reply.wait()
    running.wait()


@given("a planned stop that leaves 5.4 s")
def make_schedule(context):
    context.schedule = StopSchedule(began_at=100.0, ends_at=105.4)


@when("a request of {deadline:g} s is complete after {after:g} s")
def ask_schedule(context, deadline, after):
    now = 100.0 + after
    context.refusal = context.schedule.refusal(now=now, deadline=now + deadline)


@then("the node {decision} it")
def check_decision(context, decision):
    assert (context.refusal is None) == (decision == "takes"), context.refusal


@then("the calls are answered and callers are told to close their connections")
def check_answered_while_stopping(context):
    assert not context.ready, "ready"
    statuses = {got.status for got in context.got}
    assert statuses == {200}, statuses
    told = {got.headers.get("connection") for got in context.got}
    assert told == {"close"}, told
    assert [type(got).__name__ for got in context.peer_replies] == ["Reply"] * len(
        context.peer_replies
    ), context.peer_replies


@then("a call of another node that is in flight is answered before the node ends")
def check_peer_reply(context):
    assert isinstance(context.peer_reply, Reply), context.peer_reply
    assert context.peer_reply.status == 200


@when("a node's process imports eventlet")
def import_in_process(context):
    with tempfile.TemporaryDirectory() as folder:
        # A stub of eventlet, the first import, prints how SIGHUP is handled and exits.
        stub = (
            "from signal import *\n"
            "print(getsignal(SIGHUP) is SIG_IGN)\n"
            "raise SystemExit\n"
        )
        Path(folder, "eventlet.py").write_text(stub)
        done = subprocess.run(
            [sys.executable, "deploy/node.py"],
            cwd=ROOT,
            env={**os.environ, "PYTHONPATH": folder},
            capture_output=True,
            text=True,
        )
    context.is_ignored = done.stdout.strip()


@then("SIGHUP is ignored in the process")
def check_sighup_ignored(context):
    assert context.is_ignored == "True"


@given("a route split 90 to 10 and one split into three equal parts")
def make_splits(context):
    context.routes = [
        _split(("s", 90), ("t", 10)),
        _split(("s", 1), ("t", 1), ("u", 1)),
    ]


def _split(*parts):
    shares = tuple(ServiceShare(service=s, weight=float(w)) for s, w in parts)
    return Route(
        customer="",
        name="r",
        path="/",
        methods=frozenset({"GET"}),
        service=shares[0].service,
        shares=shares,
    )


@when("a service is picked for each of 200 calls")
def pick_services(context):
    splitter = Splitter()
    context.picked = [
        [splitter.pick(route) for _ in range(200)] for route in context.routes
    ]


@then("each service has its share of the calls to within one call")
def check_picked(context):
    for route, picked in zip(context.routes, context.picked, strict=True):
        total = sum(share.weight for share in route.shares)
        for share in route.shares:
            wanted = 200 * share.weight / total
            assert abs(picked.count(share.service) - wanted) <= 1, (share, picked)


SETTINGS = {
    "node_name": "n",
    "service": "s",
    "ip": "127.0.0.1",
    "zone": "d",
    "region": "r",
    "listen": {
        "inbound": "127.0.0.1:1",
        "outbound": "127.0.0.1:2",
        "ready": "127.0.0.1:3",
        "control": "127.0.0.1:4",
    },
    "port_range": [5, 9],
    "limits": {"cpu_share": 0.43, "cores": 2},
    "heartbeat_s": 1.5,
    "bounds": [
        "grace_s=6",
        "retry_budget_ratio=0.2",
        "retry_slack=56",
        "budget_window_s=10",
        "odd=true",
    ],
    "app_address": "127.0.0.1:5",
    "platform": {"address": "127.0.0.1:6"},
    "unknown": {"ignored": True},
}


@given("the platform's settings file with one field invalid at a time")
def make_settings(context):
    context.cases = []
    for name in set(SETTINGS) - {"unknown"}:
        for value in (None, 7.5j, "no address", []):
            if name in ("node_name", "service", "ip", "zone", "region"):
                value = "" if isinstance(value, str) else value
            plain = copy.deepcopy(SETTINGS)
            plain[name] = None if isinstance(value, complex) else value
            context.cases.append((name, plain))


@when("each settings file is loaded")
def load_settings(context):
    context.results = []
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "node.json"
        for name, plain in context.cases:
            path.write_text(json.dumps(plain))
            try:
                load(path)
                context.results.append((name, None))
            except SettingError as error:
                context.results.append((name, error))
        path.write_text(json.dumps(SETTINGS))
        context.valid_settings = load(path)


@then("the error names the field and has the exit code of a usage error")
def check_settings(context):
    for name, error in context.results:
        assert error is not None, name
        failure = error.failure
        assert isinstance(failure, Failure) and error.exit_code == EXIT_USAGE
        assert name in failure.fields["setting"], (name, failure.fields)
    assert context.valid_settings.node_options.grace_s == 6.0
