"""Green threads of a daemon that end with their owner."""

from collections.abc import Callable
from types import TracebackType

import eventlet

from comfreytray.logs import Event, warn


class TaskGroup:
    """Run loops as green threads and end them together."""

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

    def spawn(self, name: str, function: Callable[[], object]) -> None:
        """Run a function; an error that it lets through is logged."""
        self._threads.append(eventlet.spawn(_run, name, function))

    def every(self, name: str, period_s: float, function: Callable[[], object]) -> None:
        """Run a function again and again; an error ends one round only."""

        def loop() -> None:
            while True:
                _run(name, function)
                eventlet.sleep(period_s)

        self._threads.append(eventlet.spawn(loop))

    def close(self) -> None:
        """End all green threads."""
        for thread in self._threads:
            thread.kill()
        self._threads.clear()


def _run(name: str, function: Callable[[], object]) -> None:
    try:
        function()
    except Exception as error:
        warn(Event.INTERNAL_ERROR, task=name, error=repr(error))
