"""Run the soak test: `python -m soak --seed=1 --seeds=50 --seconds=20 --nodes=5`."""

import os
import subprocess
import sys
import warnings

os.environ.setdefault("EVENTLET_NO_GREENDNS", "yes")
warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")

import eventlet  # noqa: E402

eventlet.monkey_patch()

import fire  # noqa: E402

from soak.endings import EndingChecker  # noqa: E402
from soak.run import Result, run_seed  # noqa: E402


def main(
    seed: int = 1,
    seeds: int = 1,
    seconds: float = 20.0,
    nodes: int = 5,
    start_s: float = 0.0,
) -> None:
    """Run seeds one after the other; exit with 1 if a promise was broken.

    Nodes take `start_s` longer to start than they do on this machine.
    """
    if seeds == 1:
        result = run_seed(seed=seed, seconds=seconds, nodes=nodes, start_s=start_s)
        _report(result)
        sys.exit(1 if result.promises.violations else 0)
    failed = [
        number
        for number in range(seed, seed + seeds)
        if _run_in_process(number, seconds, nodes, start_s)
    ]
    print(f"{seeds} seeds run, failed: {failed or 'none'}")
    sys.exit(1 if failed else 0)


def _run_in_process(seed: int, seconds: float, nodes: int, start_s: float) -> int:
    """Run a seed in a process of its own; return its exit code."""
    arguments = [f"--seed={seed}", f"--seconds={seconds}", f"--nodes={nodes}"]
    arguments.append(f"--start_s={start_s}")
    return subprocess.run([sys.executable, "-m", "soak", *arguments]).returncode


def _report(result: Result) -> None:
    promises = result.promises
    counts = ", ".join(
        f"{status}: {count}"
        for status, count in sorted(promises.count_by_status.items())
    )
    runs = sum(promises.runs_by_id.values())
    print(f"seed {result.seed}: {runs} runs; answers {counts}", flush=True)
    if result.keys is not None:
        print(
            f"  keys: {result.keys.withdrawn_calls} calls had to be refused, "
            f"{result.keys.added_calls} with an added key accepted"
        )
    _report_endings(result.endings)
    for line in promises.violations[:10]:
        print(f"  BROKEN: {line}")
    if promises.violations:
        print(f"  {len(promises.violations)} in all; logs: {result.folder}")


def _report_endings(endings: EndingChecker) -> None:
    killed = sum(stop.was_killed for stop in endings.stops)
    lag_s = max((lag_s for _, lag_s in endings.lags), default=0.0)
    print(
        f"  {len(endings.stops)} stops, {killed} killed at the end of their grace; "
        f"held up for {lag_s:.2f} s at most"
    )
    for name, count in sorted(endings.count_by_class.items()):
        print(f"  {count} {name}")
    print(f"  {len(endings.at_the_exit)} cut at the exit, as RULES allows")
    for line in endings.at_the_exit[:5]:
        print(f"    {line}")


if __name__ == "__main__":
    fire.Fire(main)
