import subprocess
import sys
from pathlib import Path

from behave import then, when

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
    command = [sys.executable, "-W", "ignore", "-m", "soak"]
    arguments = [f"--seed={seed}", f"--seconds={seconds}", f"--nodes={nodes}"]
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
