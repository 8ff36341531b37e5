"""HTTP pipelining: requests of one connection run concurrently, answered in order.

A caller may send further requests before the first is answered. If they ran one after
the other, the last would wait for the sum of all.
"""

from collections import deque
from collections.abc import Callable, Iterable
from typing import Any, Protocol

import eventlet

MAX_CONCURRENT_REQUESTS = 32
"""Requests of one connection that run at a time; further ones are not read yet."""
POLL_S = 0.01


class Target(Protocol):
    """The stream that answers are written to."""

    def write(self, data: bytes, /) -> object:
        """Write bytes."""
        ...

    def flush(self) -> None:
        """Send buffered bytes."""
        ...


class PipelinedResponse:
    """Buffers one answer until all earlier ones of the connection are written."""

    def __init__(self, *, pipeline: "Pipeline") -> None:
        self._pipeline = pipeline
        self.buffer: list[bytes] = []
        self.finished = False
        self.closes_connection = False
        """Whether the connection closes after this answer."""
        self.greenlet: Any = None

    def writelines(self, parts: Iterable[bytes]) -> None:
        """Buffer parts of the answer."""
        self.buffer.extend(parts)

    def write(self, data: bytes) -> None:
        """Buffer a part of the answer."""
        self.buffer.append(data)

    def flush(self) -> None:
        """Write the buffer to the connection if all earlier answers are complete."""
        self._pipeline.write_if_first(self)

    def finish(self, *, closes_connection: bool) -> None:
        """Mark the answer as ended, complete or not."""
        self.finished = True
        self.closes_connection = closes_connection
        self._pipeline.write_ready()


class Pipeline:
    """The pending answers of one connection, in the order of their requests."""

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
        self._responses: deque[PipelinedResponse] = deque()
        self.closed = False

    @property
    def is_empty(self) -> bool:
        """Whether no answer is pending."""
        return not self._responses

    def add_response(self) -> PipelinedResponse:
        """Return the buffer for the answer to the next request."""
        response = PipelinedResponse(pipeline=self)
        self._responses.append(response)
        return response

    def wait_for_capacity(self) -> None:
        """Wait until another request may run."""
        while len(self._responses) >= MAX_CONCURRENT_REQUESTS and not self.closed:
            eventlet.sleep(POLL_S)

    def wait_until_empty(self) -> None:
        """Wait until all answers are written or the pipeline is closed."""
        while self._responses and not self.closed:
            eventlet.sleep(POLL_S)

    def write_if_first(self, response: PipelinedResponse) -> None:
        """Write the buffer of a response if it is the first; raises OSError."""
        if self._responses and self._responses[0] is response:
            self._write(response)

    def write_ready(self) -> None:
        """Write answers in order, up to the first that is not finished."""
        while self._responses and not self.closed:
            first = self._responses[0]
            self._write(first)
            if not first.finished:
                return
            if self._responses and self._responses[0] is first:
                self._responses.popleft()
            if first.closes_connection:
                self.close()
                return
        if not self.closed:
            self._on_idle()

    def close(self) -> None:
        """Drop the pending answers and kill the greenlets of their requests."""
        if self.closed:
            return
        self.closed = True
        responses = list(self._responses)
        self._responses.clear()
        current = eventlet.getcurrent()
        for response in responses:
            if response.greenlet is not None and response.greenlet is not current:
                eventlet.spawn_n(response.greenlet.kill)
        self._on_close()

    def _write(self, response: PipelinedResponse) -> None:
        if self.closed or not response.buffer:
            response.buffer.clear()
            return
        data = b"".join(response.buffer)
        response.buffer.clear()
        self._target.write(data)
        self._target.flush()
