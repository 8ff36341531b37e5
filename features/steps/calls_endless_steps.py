import os
import resource
import signal
import subprocess
import sys

import eventlet
from behave import given, then, when
from calls_rig import WAIT_S, Fleet

from comfreytray.platform.headers import DIALECT
from standins.processes import ROOT, python_environment

DEADLINE_MS = 1000
HANG_S = 15
"""Time after which the test gives up on a call far past its deadline."""


def _memory_mb():
    with open("/proc/self/statm") as statm:
        return int(statm.read().split()[1]) * resource.getpagesize() / 1e6


@given("a node beside an upstream whose answers may never end")
def make_node(context):
    process = subprocess.Popen(
        [sys.executable, str(ROOT / "standins" / "endless_upstream.py")],
        stdout=subprocess.PIPE,
        env={**os.environ, "PYTHONUNBUFFERED": "1"},
    )
    context.add_cleanup(process.wait)
    context.add_cleanup(process.kill)
    port = int(process.stdout.readline())
    context.fleet = Fleet(dialect=DIALECT, caller="s")
    context.add_cleanup(context.fleet.__exit__)
    context.fleet.add("a", upstream_port=port)


def _call(context, target):
    fields = [f"X-Deadline-Ms: {DEADLINE_MS}", "X-Attempt-Id: own"]
    return context.fleet.call("a", "GET", target, headers=fields)


def _call_endless(context, target):
    """Make a call and drop its body; return the status and the last bytes."""
    head = f"GET {target} HTTP/1.1\r\nHost: canhdieu.test\r\nX-Attempt-Id: own\r\n"
    head += f"X-Deadline-Ms: {DEADLINE_MS}\r\nConnection: close\r\n\r\n"
    sock = context.fleet.raw("a", head.encode())
    received = sock.recv(65536)
    status, last = int(received.split(b" ")[1]), received
    while received:
        last = received
        received = sock.recv(65536)
    sock.close()
    return status, last


def _watch_for_hang(context, hang_s):
    """End what holds up the process; the node may catch the exception."""
    context.hangs = []

    def interrupt(*_):
        context.hangs.append(f"held up for {hang_s} s")
        raise AssertionError(context.hangs[-1])

    signal.signal(signal.SIGALRM, interrupt)
    signal.alarm(hang_s)


@when("a call of 1 s gets {kind} without end, {speed}, while other calls come")
def call_endless(context, kind, speed):
    _call_beside_others(context, f"/{kind}/{speed}")


@when("a call of 1 s gets {kind} and then the end of the connection, while others come")
def call_cut(context, kind):
    _call_beside_others(context, f"/{kind}")


def _call_beside_others(context, target):
    assert _call(context, "/warm").status == 200
    context.memory_mb = _memory_mb()
    # A greenlet would never run beside a node that is held up.
    _watch_for_hang(context, HANG_S)
    try:
        endless = eventlet.spawn(_call_endless, context, target)
        context.others = []
        for _ in range(5):
            eventlet.sleep(0.1)
            context.others.append(_call(context, "/other"))
        with eventlet.Timeout(WAIT_S):
            context.got = endless.wait()
        context.after = _call(context, "/after")
    finally:
        signal.alarm(0)


@then("the other calls are answered")
def check_others(context):
    assert not context.hangs, context.hangs
    answers = [*context.others, context.after]
    got = [(answer.status, answer.kind, answer.ran) for answer in answers]
    assert [answer.status for answer in answers] == [200] * 6, got


@then("the call fails without a complete answer, and its connection is closed")
def check_failed(context):
    status, last = context.got
    cut = status == 200 and not last.endswith(b"0\r\n\r\n")
    assert status in (502, 504) or cut, context.got
    pool = context.fleet.path_by_id["a"].owner.pool
    assert pool.open_count == len(pool._idle), (pool.open_count, len(pool._idle))


@then("the node holds at most {limit:d} MB more than before")
def check_memory(context, limit):
    grown_mb = _memory_mb() - context.memory_mb
    assert grown_mb <= limit, grown_mb


_FLOOD = """
import socket, sys
from comfreytray.calls import callframes
sock = socket.create_connection(("127.0.0.1", int(sys.argv[1])))
sock.sendall(callframes.pack_hello(caller_id="x", expected_id="a"))
pings = callframes.pack_ping(1) * 10_000
try:
    while True:
        sock.sendall(pings)
except OSError:
    print("disconnected", flush=True)
"""


@when("a process sends pings to the node without end, while other calls come")
def flood(context):
    assert _call(context, "/warm").status == 200
    context.memory_mb = _memory_mb()
    port = context.fleet.record_by_id["a"].call_port
    context.flood = subprocess.Popen(
        [sys.executable, "-W", "ignore", "-c", _FLOOD, str(port)],
        stdout=subprocess.PIPE,
        env=python_environment(),
    )
    context.add_cleanup(context.flood.wait)
    context.add_cleanup(context.flood.kill)
    _watch_for_hang(context, 4 * HANG_S)
    try:
        context.others = []
        for _ in range(5):
            eventlet.sleep(0.2)
            context.others.append(_call(context, "/other"))
        with eventlet.Timeout(2 * WAIT_S):
            while context.flood.poll() is None:
                eventlet.sleep(0.05)
        context.after = _call(context, "/after")
    finally:
        signal.alarm(0)


@then("the process is disconnected")
def check_disconnected(context):
    assert context.flood.stdout.read() == b"disconnected\n"
