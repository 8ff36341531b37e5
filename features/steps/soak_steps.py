import subprocess
import sys
import time
from pathlib import Path

from behave import given, then, when

from soak.endings import Ending, EndingChecker, Run, SentCall
from soak.faults import FIRST_SEED_BY_KIND, KINDS, draw_schedule
from soak.planned import FIRST_PLANNED_SEED, MEAN_GAP_S_BY_KIND, draw_planned
from standins.processes import python_environment

ROOT = Path(__file__).parents[2]
SEEDS = tuple(
    first + number
    for first in sorted({0, *FIRST_SEED_BY_KIND.values()})
    for number in range(5)
)


@when("the soak test runs seed {seed:d} for {seconds:d} s with {nodes:d} nodes")
def run_seed(context, seed, seconds, nodes):
    run_seed_with_late_starts(context, seed, seconds, nodes, 0.0)


@when(
    "the soak test runs seed {seed:d} for {seconds:d} s with {nodes:d} nodes that "
    "start {start_s:g} s later"
)
def run_seed_with_late_starts(context, seed, seconds, nodes, start_s):
    command = [sys.executable, "-W", "ignore", "-m", "soak"]
    arguments = [f"--seed={seed}", f"--seconds={seconds}", f"--nodes={nodes}"]
    arguments.append(f"--start_s={start_s}")
    context.done = subprocess.run(
        [*command, *arguments],
        cwd=ROOT,
        env=python_environment(),
        capture_output=True,
        text=True,
    )


@then("no promise was broken")
def check_promises(context):
    output = context.done.stdout + context.done.stderr
    assert context.done.returncode == 0, output[-2000:]
    assert "runs; answers" in output


@then("no node was still there at the end of its grace period")
def check_none_killed(context):
    output = context.done.stdout
    assert " stops, 0 killed at the end of their grace" in output, output[-2000:]


@when("the fault schedules of fifteen seeds are drawn twice")
def draw_schedules(context):
    context.schedules = [
        [list(draw_schedule(seed, nodes=5, seconds=60.0)) for seed in SEEDS]
        for _ in range(2)
    ]


@then("both draws are equal and hold every kind of fault")
def check_schedules(context):
    first, second = context.schedules
    assert first == second
    kinds = {fault.kind for schedule in first for fault in schedule}
    assert kinds == set(KINDS)


@then("no schedule holds a kind that applies only from a later seed on")
def check_first_seeds(context):
    for seed, schedule in zip(SEEDS, context.schedules[0], strict=True):
        first_seeds = [FIRST_SEED_BY_KIND.get(fault.kind, 0) for fault in schedule]
        assert max(first_seeds) <= seed


@when("the planned work of ten seeds is drawn twice")
def draw_planned_work(context):
    context.schedules = [
        [
            list(draw_planned(FIRST_PLANNED_SEED + number, nodes=3, seconds=30.0))
            for number in range(10)
        ]
        for _ in range(2)
    ]


@then("both draws are equal and hold stops, reloads, departures and configurations")
def check_planned_work(context):
    first, second = context.schedules
    assert first == second
    for schedule in first:
        assert [work.at_s for work in schedule] == sorted(
            work.at_s for work in schedule
        )
    kinds = {work.kind for schedule in first for work in schedule}
    assert kinds == set(MEAN_GAP_S_BY_KIND)


@given("node 0 {told} at 0 s, and a limit of 4 s")
def tell_node(context, told):
    context.zero = time.monotonic()
    context.checker = EndingChecker(violations=[])
    if told == "got SIGTERM":
        context.checker.record_stop(0)
    elif told == "got SIGHUP":
        context.checker.record_reload(0)
    elif told == "got a configuration":
        context.checker.configured_at.append(context.zero)
    else:
        assert told == "saw node 1 stop"
        context.checker.record_stop(1)


@when(
    "a call sent to it whole at {sent:g} s works at node 1 {work} and ends at "
    "{ended:g} s, {ending}"
)
def end_call(context, sent, work, ended, ending):
    runs = []
    if work != "never":
        _, began, _, worked = work.split()
        began_at, ended_at = context.zero + float(began), context.zero + float(worked)
        runs.append(Run(node=1, began_at=began_at, ended_at=ended_at))
    call = SentCall(
        call_id="c",
        node=0,
        limit_s=4.0,
        is_kept=True,
        began_at=context.zero + sent,
        sent_at=context.zero + sent,
        runs=runs,
    )
    context.checker.begin(call)
    context.checker.end(call, Ending(ending))
    call.ended_at = context.zero + ended
    context.checker.check()


@then("the soak says {verdict}")
def check_verdict(context, verdict):
    checker = context.checker
    violations = [line.partition(":")[0] for line in checker.violations]
    if verdict.startswith("LOST"):
        assert violations == [verdict], checker.violations
    else:
        assert not violations, checker.violations
        excuses = [name.partition(": ")[2] for name in checker.count_by_class]
        expected = [] if verdict == "nothing" else [verdict]
        assert [excuse for excuse in excuses if excuse] == expected, excuses
