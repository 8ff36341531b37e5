"""Loops that go on until their greenlet is killed, and wait in each round."""

from collections.abc import Callable
from typing import NoReturn

import eventlet

from comfreytray.common.logs import Event, warn
from comfreytray.common.signals import Signal

MIN_PAUSE_S = 0.001
"""Shortest pause between two steps, also for a step that asks for none."""
ERROR_PAUSE_S = 0.5


def repeat(name: str, step: Callable[[], float]) -> NoReturn:
    """Call a step again and again, each time after the seconds it returned."""
    while True:
        try:
            pause_s = step()
        except Exception as error:
            warn(Event.INTERNAL_ERROR, task=name, error=repr(error))
            pause_s = ERROR_PAUSE_S
        # Written so that a pause that is no number counts as the shortest.
        eventlet.sleep(pause_s if pause_s > MIN_PAUSE_S else MIN_PAUSE_S)


def repeat_when(
    name: str,
    signal: Signal,
    step: Callable[[], object],
    *,
    period_s: Callable[[], float],
) -> NoReturn:
    """Call a step once a signal is fired, and at least once a period."""

    def wait_and_step() -> float:
        signal.wait(period_s())
        step()
        return MIN_PAUSE_S

    repeat(name, wait_and_step)
