"""The end of a node's real process while calls run."""

import re
import signal
import tempfile
import time
from pathlib import Path

import eventlet
from behave import given, then, when
from calls_rig import read_answer, until

from soak.configuration import HOST, build_resources
from soak.site import GRACE_S, OUTBOUND, Site
from standins.scripted import answer

WORK_S = 20.0
KILL_AFTER_S = 10.0


@given("the process of a node beside an instance that takes 20 s for a call")
def start_process(context):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.folder = Path(folder.name)
    site = context.site = Site(nodes=1, seed=1, folder=context.folder)

    def run(head, body):
        call_id = re.search(rb"X-Attempt-Id: (\S+)", head)[1].decode()
        fields = [f"X-Attempt-Id: {call_id}", "X-Response-Seal: s"]
        whole = answer(200, b"x" * 3_000_000, *fields)
        if b"/begun" in head:
            return _begin_answer(whole)
        eventlet.sleep(WORK_S)
        return whole

    site.instances[0].upstream.script = run
    site.__enter__()
    context.add_cleanup(site.__exit__, None, None, None)
    resources = build_resources(None)
    for resource in resources:
        if resource["resource_kind"] == "routes":
            resource["spec"]["timeout_s"] = WORK_S
    site.store.put("config", "main", {"version": 100, "resources": resources})
    assert until(lambda: site.versions() == [100])


def _begin_answer(whole):
    yield whole[:-4000]
    eventlet.sleep(WORK_S)
    yield whole[-4000:]


def _send(context, name):
    sock = eventlet.connect((context.site.hosts[0], OUTBOUND))
    sock.settimeout(KILL_AFTER_S)
    lines = [
        f"POST /unsafe/{name} HTTP/1.1",
        f"Host: {HOST}",
        f"X-Attempt-Id: id-{name}",
        "Content-Length: 0",
    ]
    sock.sendall("\r\n".join([*lines, "", ""]).encode())
    return sock


@when(
    "callers send a call and one whose answer has begun, and the process gets SIGTERM"
)
def stop_process(context):
    node = context.site.nodes[0]
    upstream = context.site.instances[0].upstream
    socks = [_send(context, name) for name in ("silent", "begun")]
    assert until(lambda: len(upstream.ran) == 2), upstream.ran
    calls = [eventlet.spawn(read_answer, sock) for sock in socks]
    began_at = time.monotonic()
    node.send(signal.SIGTERM)
    node.wait(KILL_AFTER_S)
    context.took_s = time.monotonic() - began_at
    context.got = [call.wait() for call in calls]


@then("the first caller is told that its call may have run, and not to repeat it")
def check_told(context):
    silent, begun = context.got
    assert silent.status == 504 and silent.whole, vars(silent)
    assert silent.headers["connection"] == "close"
    assert "retry-after" not in silent.headers, silent.headers
    assert begun.status == 200 and not begun.whole, vars(begun)


@then("the process ended by itself within its grace and named both calls in its log")
def check_process_end(context):
    node = context.site.nodes[0]
    assert node.popen.returncode == 0, node.popen.returncode
    assert context.took_s < GRACE_S, context.took_s
    log = node.log.read_text()
    for name in ("silent", "begun"):
        assert re.search(rf"event=call-cut id=id-{name} ", log), log
    assert "event=calls-cut" in log and "event=node-stopped" in log


def _can_send(context):
    """Send a call and keep its connection; whether there is a listener."""
    try:
        context.socks.append(_send(context, "silent"))
    except OSError:
        return False
    return True


@when("it is killed, starts again, gets SIGTERM as it listens, and a call begins")
def stop_as_it_starts(context):
    node = context.site.nodes[0]
    upstream = context.site.instances[0].upstream
    node.wait(0.0)
    node.start()
    context.socks = []
    assert until(lambda: _can_send(context))
    began_at = time.monotonic()
    node.send(signal.SIGTERM)
    assert until(lambda: _can_send(context) and upstream.ran)
    node.wait(KILL_AFTER_S)
    context.took_s = time.monotonic() - began_at


@then("the process ended by itself within its grace")
def check_ended_in_time(context):
    node = context.site.nodes[0]
    assert node.popen.returncode == 0, node.popen.returncode
    assert context.took_s < GRACE_S, context.took_s
