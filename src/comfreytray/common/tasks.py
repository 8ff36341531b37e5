"""Groups of green threads that are stopped with their owner."""

from collections.abc import Callable, Mapping
from types import TracebackType
from typing import Any

import eventlet

from comfreytray.common.logs import Event, warn
from comfreytray.common.repeating import repeat


class TaskGroup:
    """Run functions in green threads and kill the threads together."""

    def __init__(self) -> None:
        self._threads: list[eventlet.greenthread.GreenThread] = []

    def __enter__(self) -> "TaskGroup":
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self.close()

    def spawn(self, name: str, function: Callable[[], object]) -> Any:
        """Run a function in a green thread; log an exception that it raises."""
        thread = eventlet.spawn(_run, name, function)
        self._threads.append(thread)
        return thread

    def end(self, thread: Any) -> None:
        """Kill one green thread of the group."""
        self._threads.remove(thread)
        thread.kill()

    def run_every(
        self, period_s: float, function_by_name: Mapping[str, Callable[[], object]]
    ) -> None:
        """Run functions in turn, periodically; an exception ends only that run."""

        def step() -> float:
            for name, function in function_by_name.items():
                _run(name, function)
            return period_s

        self.repeat("/".join(function_by_name), step)

    def repeat(self, name: str, step: Callable[[], float]) -> None:
        """Call a step again and again, each time after the seconds it returned."""
        self._threads.append(eventlet.spawn(repeat, name, step))

    def close(self) -> None:
        """Kill all green threads."""
        for thread in self._threads:
            thread.kill()
        self._threads.clear()


def _run(name: str, function: Callable[[], object]) -> None:
    try:
        function()
    except Exception as error:
        warn(Event.INTERNAL_ERROR, task=name, error=repr(error))
