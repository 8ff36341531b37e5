"""Answer the requests of one connection in order, while several of them run.

Pattern: a caller sends further requests before the first is answered. Run one after the
other, the last of them would wait for the sum of all.
"""

from collections import deque
from collections.abc import Callable, Iterable
from typing import Any, Protocol

import eventlet

MAX_RUNNING = 32
"""Requests of one connection that run at a time; further ones stay unread."""
POLL_S = 0.01


class Target(Protocol):
    """Take the bytes of answers."""

    def write(self, data: bytes, /) -> object:
        """Write bytes."""
        ...

    def flush(self) -> None:
        """Send what was written."""
        ...


class Turn:
    """Take the bytes of one answer and pass them on when it is their turn."""

    def __init__(self, *, pipeline: "Pipeline") -> None:
        self._pipeline = pipeline
        self.held: list[bytes] = []
        self.finished = False
        self.closes = False
        """Whether the connection ends behind this answer."""
        self.greenlet: Any = None

    def writelines(self, parts: Iterable[bytes]) -> None:
        """Write parts of the answer."""
        self.held.extend(parts)

    def write(self, data: bytes) -> None:
        """Write a part of the answer."""
        self.held.append(data)

    def flush(self) -> None:
        """Pass on what is held if all earlier answers have been passed on."""
        self._pipeline.pass_on(self)

    def finish(self, *, closes: bool) -> None:
        """Note that the answer is complete, or will never be."""
        self.finished = True
        self.closes = closes
        self._pipeline.advance()


class Pipeline:
    """Hold the answers of one connection that are not yet written."""

    def __init__(
        self,
        *,
        target: Target,
        on_idle: Callable[[], None],
        on_close: Callable[[], None],
    ) -> None:
        self._target = target
        self._on_idle = on_idle
        self._on_close = on_close
        self._turns: deque[Turn] = deque()
        self.closed = False

    @property
    def is_empty(self) -> bool:
        """Say whether no answer is outstanding."""
        return not self._turns

    def take(self) -> Turn:
        """Make the turn of the next answer."""
        turn = Turn(pipeline=self)
        self._turns.append(turn)
        return turn

    def wait_for_room(self) -> None:
        """Wait until a further request may run."""
        while len(self._turns) >= MAX_RUNNING and not self.closed:
            eventlet.sleep(POLL_S)

    def wait_until_empty(self) -> None:
        """Wait until all answers are written or given up."""
        while self._turns and not self.closed:
            eventlet.sleep(POLL_S)

    def pass_on(self, turn: Turn) -> None:
        """Write what a turn holds if it is the first; raises OSError."""
        if self._turns and self._turns[0] is turn:
            self._write(turn)

    def advance(self) -> None:
        """Write the answers that are complete, in order."""
        while self._turns and not self.closed:
            first = self._turns[0]
            self._write(first)
            if not first.finished:
                return
            if self._turns and self._turns[0] is first:
                self._turns.popleft()
            if first.closes:
                self.close()
                return
        if not self.closed:
            self._on_idle()

    def close(self) -> None:
        """Give up what is behind the last answer that was written."""
        if self.closed:
            return
        self.closed = True
        turns = list(self._turns)
        self._turns.clear()
        own = eventlet.getcurrent()
        for turn in turns:
            if turn.greenlet is not None and turn.greenlet is not own:
                eventlet.spawn_n(turn.greenlet.kill)
        self._on_close()

    def _write(self, turn: Turn) -> None:
        if self.closed or not turn.held:
            turn.held.clear()
            return
        data = b"".join(turn.held)
        turn.held.clear()
        self._target.write(data)
        self._target.flush()
