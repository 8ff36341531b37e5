"""Wake one greenlet from another."""

from typing import Any

import eventlet
from eventlet import getcurrent
from eventlet.hubs import get_hub


class Signal:
    """Let a single greenlet wait until another fires the signal."""

    __slots__ = ("_fired", "_waiter", "_wake")

    def __init__(self) -> None:
        self._fired = False
        self._waiter: Any = None
        self._wake: Any = None

    def fire(self) -> None:
        """Wake the waiter, or let the next wait return at once."""
        waiter = self._waiter
        if waiter is None:
            self._fired = True
            return
        self._waiter = None
        self._wake = get_hub().schedule_call_global(0, waiter.switch, True)

    def wait(self, timeout_s: float) -> bool:
        """Return True once fired, False if the time-out passes first.

        Gives way to other greenlets in any case: no loop of waits holds them up.
        """
        if self._fired or not timeout_s > 0:
            eventlet.sleep(0)
            fired, self._fired = self._fired, False
            return fired
        hub = get_hub()
        self._waiter = getcurrent()
        timer = hub.schedule_call_global(timeout_s, self._waiter.switch, False)
        try:
            return bool(hub.switch())
        finally:
            timer.cancel()
            self._waiter = None
            if self._wake is not None:
                self._wake.cancel()
                self._wake = None
