"""HTTP pipelining: requests of one connection run concurrently, answered in order.

A caller may send further requests before the first is answered. If they ran one after
the other, the last would wait for the sum of all.
"""

from collections import deque
from collections.abc import Callable, Iterable
from enum import Enum
from typing import Any

import eventlet

MAX_CONCURRENT_REQUESTS = 32
"""Requests of one connection that run at a time; further ones are not read yet."""
POLL_S = 0.01


class DropReason(Enum):
    """Why pending answers of a connection were dropped."""

    CLOSING_ANSWER = "behind-closing-answer"
    """An earlier answer closed the connection."""
    CALLER_LEFT = "caller-left"
    WRITE_FAILED = "write-failed"
    ANSWER_FAILED = "answer-failed"
    """The greenlet of an answer ended before the answer did."""


class PipelinedResponse:
    """Buffers one answer until all earlier ones of the connection are written."""

    def __init__(self, *, pipeline: "Pipeline") -> None:
        self._pipeline = pipeline
        self._parts: list[bytes] = []
        self.finished = False
        self.closes_connection = False
        """Whether the connection closes after this answer."""
        self.greenlet: Any = None

    def writelines(self, parts: Iterable[bytes]) -> None:
        """Buffer parts of the answer."""
        self._parts.extend(parts)

    def write(self, data: bytes) -> None:
        """Buffer a part of the answer."""
        self._parts.append(data)

    def flush(self) -> None:
        """Write the buffer to the connection once all earlier answers are written."""
        self._pipeline.write_ready()

    def finish(self, *, closes_connection: bool) -> None:
        """Mark the answer as ended, complete or not."""
        self.finished = True
        self.closes_connection = closes_connection
        self._pipeline.write_ready()

    def take(self) -> bytes:
        """Remove and return what is buffered."""
        parts, self._parts = self._parts, []
        return b"".join(parts)


class Pipeline:
    """The pending answers of one connection, in the order of their requests.

    It is the only writer of the connection, and writes in one greenlet at a time: in
    that of the answer that finds nobody writing.
    """

    def __init__(
        self,
        *,
        send: Callable[[bytes], object],
        on_idle: Callable[[], None],
        on_close: Callable[[], None],
        on_drop: Callable[[int, DropReason], None],
    ) -> None:
        """Create it.

        `send` writes bytes to the connection and raises OSError; `on_drop` gets the
        number of answers that will not be written, and why.
        """
        self._send = send
        self._on_idle = on_idle
        self._on_close = on_close
        self._on_drop = on_drop
        self._responses: deque[PipelinedResponse] = deque()
        self._is_writing = False
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

    def write_ready(self) -> None:
        """Write the buffered answers in order; raises OSError.

        Does nothing while another greenlet writes: that one goes on until nothing is
        left that may be written.
        """
        if self._is_writing:
            return
        self._is_writing = True
        try:
            self._write_in_order()
        except BaseException:
            # An answer may be written in part, so that nothing may follow it.
            self.close(DropReason.WRITE_FAILED)
            raise
        finally:
            self._is_writing = False

    def close(self, reason: DropReason) -> None:
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
        if responses:
            self._on_drop(len(responses), reason)
        self._on_close()

    def _write_in_order(self) -> None:
        """Write answers up to the first that has not ended."""
        while self._responses and not self.closed:
            first = self._responses[0]
            data = first.take()
            if data:
                # Other greenlets run meanwhile, and may add to this answer.
                self._send(data)
                continue
            if not first.finished:
                return
            self._responses.popleft()
            if first.closes_connection:
                self.close(DropReason.CLOSING_ANSWER)
                return
        if not self.closed:
            self._on_idle()


class ClosingWriter:
    """Takes the complete answers that the WSGI server writes by itself.

    Each has its turn behind the pending ones, and closes the connection.
    """

    def __init__(self, *, pipeline: Pipeline) -> None:
        self._pipeline = pipeline
        self.closed = False

    def write(self, data: bytes) -> None:
        """Append a complete answer to the pipeline."""
        if self._pipeline.closed:
            return
        response = self._pipeline.add_response()
        response.write(data)
        response.finish(closes_connection=True)

    def flush(self) -> None:
        """Do nothing: the pipeline writes an answer once it has its turn."""

    def close(self) -> None:
        """Take no further answer."""
        self.closed = True
