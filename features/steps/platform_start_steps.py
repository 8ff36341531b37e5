import copy
import itertools
import json
import os
import signal
import subprocess
import sys
import tempfile
from pathlib import Path

from behave import given, then, when
from calls_rig import Upstream, read_answer, until
from eventlet import tpool
from eventlet.green import socket
from platform_node_steps import (
    HOST,
    _answer,
    _configuration,
    _free_port,
    configure_and_send_heartbeat,
    node_options,
)

from comfreytray.common.exceptions import SettingError
from comfreytray.node.proxynode import ProxyNode
from comfreytray.platform import configuration, earlystart
from comfreytray.platform.headers import DIALECT
from comfreytray.platform.objectstore import PlatformStore
from comfreytray.platform.settings import load
from standins.platform_store import StoreStandIn
from standins.processes import ROOT, python_environment


def _open_early(path):
    before = os.environ.get(earlystart.FILE_VARIABLE)
    os.environ[earlystart.FILE_VARIABLE] = str(path)
    try:
        return earlystart.open_early()
    finally:
        del os.environ[earlystart.FILE_VARIABLE]
        if before is not None:
            os.environ[earlystart.FILE_VARIABLE] = before


@given("the sockets of a node that has not made its imports yet")
def open_sockets(context):
    context.addresses = [("127.0.0.1", _free_port()) for _ in range(2)]
    outbound, control = (f"{host}:{port}" for host, port in context.addresses)
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "node.json"
        plain = {"listen": {"outbound": outbound, "control": control}}
        path.write_text(json.dumps(plain))
        context.early = _open_early(path)
    assert set(context.early) == set(context.addresses)


@when("a caller connects and sends a call before the node runs")
def connect_early(context):
    context.sock = socket.create_connection(context.addresses[0])
    context.add_cleanup(context.sock.close)
    head = f"GET /a/x HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: q\r\n"
    context.sock.sendall((head + "X-Deadline-Ms: 5000\r\n\r\n").encode())


@when("the node starts while the store holds no configuration yet")
def start(context):
    context.stand_in = StoreStandIn()
    context.add_cleanup(context.stand_in.close)
    context.upstream = Upstream(_answer)
    context.add_cleanup(context.upstream.close)
    options = node_options(context.upstream.port, context.addresses[0])
    context.node = ProxyNode(
        options=options,
        store=tpool.Proxy(PlatformStore(address=context.stand_in.address)),
        configuration_key=configuration.OBJECT_KEY,
        decode_configuration=configuration.Decoder(),
        dialect=DIALECT,
        listeners=context.early,
    )
    context.node.__enter__()
    context.add_cleanup(context.node.__exit__, None, None, None)
    assert until(lambda: context.node.members.is_known)


@when("the configuration and the endpoint's heartbeat come")
def configure(context):
    configure_and_send_heartbeat(context)


@then("the call is answered by the endpoint")
def check_answered(context):
    got = read_answer(context.sock)
    assert (got.status, got.body) == (200, b"ok"), (got.status, got.body)


@then("the call is refused as not run")
def check_refused(context):
    got = read_answer(context.sock)
    assert got.status == 503 and float(got.headers["retry-after"]) > 0


@given("settings files that are missing, malformed or without addresses")
def make_settings(context):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    texts = ["{", "[]", "{}", '{"listen": 5}', '{"listen": {"outbound": "x"}}', "\x00"]
    context.paths = [Path(folder.name) / "missing.json"]
    for number, text in enumerate(texts):
        path = Path(folder.name) / f"{number}.json"
        path.write_text(text)
        context.paths.append(path)


@when("a node's process would open its sockets")
def open_all(context):
    context.opened = [_open_early(path) for path in context.paths]


@then("none is open and the check of the settings names the fault")
def check_none_open(context):
    assert context.opened == [{}] * len(context.paths)
    for path in context.paths:
        try:
            load(path)
        except SettingError as error:
            assert str(error)
        else:
            raise AssertionError(path)


@given("a configuration of 2000 routes")
def make_routes(context):
    plain = _configuration(1)
    route = plain["resources"][0]
    plain["resources"] += [
        {
            **copy.deepcopy(route),
            "metadata": {"name": f"r-{n}"},
            "spec": {**route["spec"], "path_prefix": f"/{n}/"},
        }
        for n in range(1999)
    ]
    context.plain = plain


@when("versions change, add, remove and restore routes")
def decode_versions(context):
    decoder = configuration.Decoder()
    changed = copy.deepcopy(context.plain)
    changed["version"] = 2
    changed["resources"][5]["spec"]["timeout_s"] = 9.0
    removed = copy.deepcopy(changed)
    removed["version"] = 3
    del removed["resources"][7]
    restored = copy.deepcopy(context.plain)
    restored["version"] = 4
    context.snapshots = []
    for plain in (context.plain, changed, removed, restored):
        value = json.dumps(plain).encode()
        fresh = configuration.Decoder()(value)
        context.snapshots.append((decoder(value), fresh))


def _routes(snapshot):
    return {r.name: r for rs in snapshot.routes_by_customer.values() for r in rs}


@then("each snapshot is the same as one decoded from nothing")
def check_same(context):
    for decoded, fresh in context.snapshots:
        assert decoded == fresh


@then("only the routes that changed were built again")
def check_reused(context):
    built = []
    snapshots = [_routes(decoded) for decoded, _ in context.snapshots]
    for before, after in itertools.pairwise(snapshots):
        built.append(sum(before.get(name) is not after[name] for name in after))
    assert built == [1, 0, 2], built


@given("the settings of a node whose store can't be reached")
def make_process_settings(context):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    names = ("outbound", "inbound", "ready", "control")
    context.address_by_name = {name: ("127.0.0.1", _free_port()) for name in names}
    plain = {
        "node_name": "n",
        "service": "s",
        "ip": "127.0.0.1",
        "zone": "d",
        "region": "r",
        "listen": {n: f"{h}:{p}" for n, (h, p) in context.address_by_name.items()},
        "port_range": [_free_port(), 65535],
        "limits": {"cpu_share": 1.0, "cores": 1},
        "heartbeat_s": 1.5,
        "bounds": [
            "grace_s=6",
            "retry_budget_ratio=0.2",
            "retry_slack=56",
            "budget_window_s=10",
        ],
        "app_address": f"127.0.0.1:{_free_port()}",
        "platform": {"address": f"127.0.0.1:{_free_port()}"},
    }
    context.settings_path = Path(folder.name) / "node.json"
    context.settings_path.write_text(json.dumps(plain))


@when("its process is told to stop while it makes its imports and a caller waits")
def stop_during_start(context):
    context.process = subprocess.Popen(
        [sys.executable, str(ROOT / "deploy" / "node.py")],
        env={
            **python_environment(),
            earlystart.FILE_VARIABLE: str(context.settings_path),
        },
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
    )
    context.add_cleanup(context.process.wait)
    context.add_cleanup(context.process.kill)
    address = context.address_by_name["outbound"]
    assert until(lambda: _connects(context, address))
    head = f"GET /a/x HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: q\r\n"
    context.sock.sendall((head + "X-Deadline-Ms: 5000\r\n\r\n").encode())
    context.process.send_signal(signal.SIGTERM)


def _connects(context, address):
    try:
        context.sock = socket.create_connection(address)
    except OSError:
        return False
    context.add_cleanup(context.sock.close)
    return True


@then("the caller gets an answer that says the call has not run")
def check_not_run(context):
    got = read_answer(context.sock)
    assert got.status == 503, (got.status, got.body)


@then("the process ends with success")
def check_ended(context):
    assert until(lambda: context.process.poll() is not None)
    output = context.process.stdout.read().decode()
    assert context.process.returncode == 0, output
    assert "event=node-stopped" in output
