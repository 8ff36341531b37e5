import subprocess
import sys
import textwrap
import threading
import time

import eventlet
from behave import given, then, when
from eventlet.green import socket

from comfreytray.common import loopwatch
from comfreytray.common.logs import Event
from comfreytray.common.loop import PacedHub, install
from comfreytray.common.loopwatch import LoopWatch
from comfreytray.common.metrics import Metrics

WAKE_S = 0.01


def _turn():
    while True:
        eventlet.sleep(0)


def _due_again():
    eventlet.hubs.get_hub().schedule_call_global(0, _due_again)


def _read_fresh():
    # The kernel says at once that it is ready, and that it is not connected.
    socket.socket(socket.AF_INET, socket.SOCK_STREAM).recv(1)


def _cancel():
    while True:
        eventlet.hubs.get_hub().schedule_call_global(1, _work).cancel()
        eventlet.sleep(0)


def _work():
    while True:
        eventlet.sleep(0.001)
        end = time.monotonic() + 0.002
        while time.monotonic() < end:
            pass


START_BY_CAUSE = {
    "a greenlet that pauses for 0 s again and again": lambda: eventlet.spawn(_turn),
    "a timer that is due again at once": _due_again,
    "a read of a socket that was never connected": lambda: eventlet.spawn(_read_fresh),
    "a timer that is cancelled in the turn it is made": lambda: eventlet.spawn(_cancel),
    "work of 2 ms after each wait of 1 ms": lambda: eventlet.spawn(_work),
}


@given("a paced loop with {cause}")
def choose_cause(context, cause):
    context.start = START_BY_CAUSE[cause]


def _run_for(context, seconds):
    """Run a loop of its own: a thread has one."""
    loop = install()
    loop.observer = LoopWatch(loop=loop, metrics=context.metrics)
    context.wakes = 0
    context.start()
    used_s = time.thread_time()
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        eventlet.sleep(WAKE_S)
        context.wakes += 1
    context.used_s = time.thread_time() - used_s
    loop.observer = None


@when("it runs for {seconds:g} s beside a greenlet that wakes every 10 ms")
def run_loop(context, seconds):
    context.metrics, context.lines, context.ran_s = Metrics(), [], seconds
    warn = loopwatch.logs.warn
    loopwatch.logs.warn = lambda event, **fields: context.lines.append((event, fields))
    try:
        thread = threading.Thread(target=_run_for, args=(context, seconds))
        thread.start()
        thread.join()
    finally:
        loopwatch.logs.warn = warn


@then("the loop has paused, and the other greenlet was woken all the while")
def check_paused(context):
    assert context.metrics.count_by_name["loop_pauses"] > 1
    # A pause lasts 16 ms at most, so each wake is late by as much.
    assert context.wakes > context.ran_s / (WAKE_S + 0.03), context.wakes


@then("one line says for how long it has not waited, and names {place}")
def check_line(context, place):
    assert [event for event, _ in context.lines] == [Event.LOOP_NOT_WAITING]
    fields = context.lines[0][1]
    assert fields["for_s"] >= 1.0 and fields["turns"] > 1000, fields
    assert place in fields["ran"], fields
    assert context.metrics.count_by_name["loop_not_waiting"] == 1
    assert context.metrics.gauge_by_name["loop_not_waiting_longest_s"] >= 1.0


@then("the processor was at least a fifth of the time idle")
def check_idle(context):
    assert context.used_s < 0.8 * context.ran_s, context.used_s


@then("the loop has not paused")
def check_not_paused(context):
    assert "loop_pauses" not in context.metrics.count_by_name
    assert not context.lines


@given("a watch over a loop that does not turn")
def make_watch(context):
    context.metrics, context.loop = Metrics(), PacedHub()
    context.watch = LoopWatch(loop=context.loop, metrics=context.metrics)


def _held(watch):
    watch.check(0, sys._getframe())


@when("it is checked each second for {checks:d} s")
def check_each_second(context, checks):
    context.lines, context.at = [], []
    warn = loopwatch.logs.warn

    def keep(event, **fields):
        context.lines.append((event, fields))

    loopwatch.logs.warn = keep
    try:
        # The first check sees how many turns there were.
        for second in range(checks + 1):
            before = len(context.lines)
            _held(context.watch)
            if len(context.lines) > before:
                context.at.append(second)
        context.loop.turns += 1
        context.before_pause = len(context.lines)
        for _ in range(2):
            _held(context.watch)
        context.loop.turns += 1
        _held(context.watch)
    finally:
        loopwatch.logs.warn = warn


@then("a line comes after 2, 4 and 8 s, and names the function")
def check_held(context):
    assert context.at == [2, 4, 8], context.at
    for second, (event, fields) in zip(context.at, context.lines, strict=True):
        assert event is Event.LOOP_HELD
        assert fields["held_s"] == second and fields["by"].endswith("._held"), fields
    assert context.metrics.count_by_name["loop_held"] == 1
    assert context.metrics.gauge_by_name["loop_held_longest_s"] == 8.0


@then("a machine that was paused between two checks leaves no line")
def check_paused_machine(context):
    assert len(context.lines) == context.before_pause


HELD_PROCESS = """
    import time
    import eventlet
    from comfreytray.common import logs, loop
    from comfreytray.common.loopwatch import LoopWatch
    from comfreytray.common.metrics import Metrics

    def hold_the_loop():
        end = time.monotonic() + 3.5
        while time.monotonic() < end:
            pass

    logs.configure("info", to_standard_output=True)
    with LoopWatch(loop=loop.install(), metrics=Metrics()):
        eventlet.sleep(0.01)
        eventlet.spawn(hold_the_loop).wait()
"""


@given("a process with a watched loop in which a function runs for 3.5 s")
def run_held_process(context):
    code = textwrap.dedent(HELD_PROCESS)
    ran = subprocess.run(
        [sys.executable, "-W", "ignore", "-c", code],
        capture_output=True,
        text=True,
        timeout=60,
    )
    assert ran.returncode == 0, ran.stderr
    context.output = ran.stdout


@then("its output has a line that names the function")
def check_output(context):
    lines = [line for line in context.output.splitlines() if "loop-held" in line]
    assert len(lines) == 1 and "hold_the_loop" in lines[0], context.output
