"""HTTP pipelining: requests of one connection run concurrently, answered in order.

A caller may send further requests before the first is answered. If they ran one after
the other, the last would wait for the sum of all.
"""

from collections import deque
from collections.abc import Callable, Iterable
from enum import Enum
from typing import Any, Protocol

import eventlet

from comfreytray.calls.aheadshare import AheadShare
from comfreytray.calls.transitmemory import ANSWERS_SHED, TransitMemory
from comfreytray.common.errors import Failure
from comfreytray.common.signals import Signal

MAX_CONCURRENT_REQUESTS = 32
"""Requests of one connection that run at a time; further ones are not read yet."""
MAX_BEHIND_BLOCKED = 4
"""The same while the caller does not take the answer that is being written."""
MAX_WAITING_BYTES = 65_536
"""Bytes of an answer above which its greenlet waits until the connection takes some."""
WAIT_S = 1.0
"""Time after which a greenlet that waits looks again; it is woken before."""


class DropReason(Enum):
    """Why pending answers of a connection were dropped."""

    CLOSING_ANSWER = "behind-closing-answer"
    """An earlier answer closed the connection."""
    CALLER_LEFT = "caller-left"
    WRITE_FAILED = "write-failed"
    ANSWER_FAILED = "answer-failed"
    """The greenlet of an answer ended before the answer did."""
    MEMORY = "memory"
    """The caller did not take its answers while they filled the node's memory."""


class AnsweredRequest(Protocol):
    """The request of a pending answer."""

    def left_s(self) -> float:
        """Return the seconds until the deadline of its call."""
        ...

    def encode_failure(self, failure: Failure, *, closes: bool) -> bytes:
        """Return the whole answer that reports a failure."""
        ...


class PipelinedResponse:
    """Buffers one answer until all earlier ones of the connection are written.

    An answer that is given up before any byte of it was sent is replaced by a refusal,
    so that the answers behind it still come.
    """

    def __init__(
        self,
        *,
        pipeline: "Pipeline",
        memory: TransitMemory,
        request: AnsweredRequest | None,
    ) -> None:
        self._pipeline = pipeline
        self._memory = memory
        self._request = request
        self._parts: list[bytes] = []
        self._has_room = Signal()
        self.held_bytes = 0
        self.is_started = False
        """Whether any of it was handed to the connection."""
        self.finished = False
        self.closes_connection = False
        """Whether the connection closes after this answer."""
        self.failure: Failure | None = None
        """Why the answer was given up."""
        self.greenlet: Any = None

    def writelines(self, parts: Iterable[bytes]) -> None:
        """Buffer parts of the answer, unless it was given up."""
        if self.failure is None:
            self._add(list(parts))

    def write(self, data: bytes) -> None:
        """Buffer a part of the answer, unless it was given up."""
        self.writelines((data,))

    def flush(self) -> None:
        """Write the buffer once all earlier answers are written."""
        self._pipeline.write_ready()

    def wait_for_room(self) -> None:
        """Wait while much is buffered, so that no more of the answer is read.

        After the deadline what has already come may still be added before its turn.
        """
        while self._must_wait():
            left_s = self._request.left_s() if self._request is not None else WAIT_S
            if left_s <= 0 and not self.is_started:
                return
            self._has_room.wait(min(left_s, WAIT_S) if left_s > 0 else WAIT_S)

    def finish(self, *, closes_connection: bool) -> None:
        """Mark the answer as ended, complete or not."""
        self.closes_connection = closes_connection
        self.finished = True
        self._replace_if_failed()
        self._pipeline.write_ready()

    def fail(self, failure: Failure) -> None:
        """Give the answer up; if a part was sent, its connection closes."""
        if self.is_started or self._request is None:
            self._pipeline.close(DropReason.MEMORY)
        elif self.failure is None:
            self.failure = failure
            self.drop()
            if self.finished:
                self._replace_if_failed()
            self._has_room.fire()

    def shed(self) -> None:
        """Give the answer up, as all answers hold too much."""
        self.fail(ANSWERS_SHED)

    def take(self) -> bytes:
        """Remove and return what is buffered; `release` follows once it is sent."""
        parts, self._parts = self._parts, []
        self.is_started = self.is_started or bool(parts)
        return b"".join(parts)

    def release(self, size: int) -> None:
        """Count bytes that were taken as sent."""
        self._memory.release(self, size)
        self._has_room.fire()

    def drop(self) -> None:
        """Discard what is buffered."""
        self.release(sum(len(part) for part in self._parts))
        self._parts = []

    def _must_wait(self) -> bool:
        is_waiting = self.held_bytes > MAX_WAITING_BYTES
        return is_waiting and self.failure is None and not self._pipeline.closed

    def _replace_if_failed(self) -> None:
        if self.failure is not None and self._request is not None:
            closes = self.closes_connection
            self._add([self._request.encode_failure(self.failure, closes=closes)])

    def _add(self, parts: list[bytes]) -> None:
        if self._pipeline.closed:
            # Nothing would take them any more.
            return
        self._parts += parts
        self._memory.hold(self, sum(map(len, parts)))


class Pipeline:
    """The pending answers of one connection, in the order of their requests.

    It is the only writer of the connection, and writes in one greenlet at a time: in
    that of the answer that finds nobody writing.
    """

    def __init__(
        self,
        *,
        send: Callable[[bytes], object],
        memory: TransitMemory,
        on_idle: Callable[[], None],
        on_close: Callable[[], None],
        on_drop: Callable[[int, DropReason], None],
        ahead: AheadShare | None = None,
    ) -> None:
        """Create it.

        `send` writes bytes to the connection and raises OSError; `on_drop` gets the
        number of answers that will not be written, and why. The requests beyond the
        first count as a part of `ahead`.
        """
        self._send = send
        self._memory = memory
        self._on_idle = on_idle
        self._on_close = on_close
        self._on_drop = on_drop
        self._ahead = ahead or AheadShare()
        self._responses: deque[PipelinedResponse] = deque()
        self._has_advanced = Signal()
        """Wakes the greenlet that reads the connection."""
        self._is_writing = False
        self.is_ending = False
        """Whether no request is run behind those that were read."""
        self.closed = False

    @property
    def is_empty(self) -> bool:
        """Whether no answer is pending."""
        return not self._responses

    def add_response(self, request: AnsweredRequest | None = None) -> PipelinedResponse:
        """Return the buffer for the answer to the next request."""
        response = PipelinedResponse(
            pipeline=self, memory=self._memory, request=request
        )
        if self._responses:
            self._ahead.pending += 1
        self._responses.append(response)
        return response

    def end_after(self, response: PipelinedResponse) -> bool:
        """Run no request behind that of an answer; false if one runs already."""
        if self._responses and self._responses[-1] is not response:
            return False
        self.is_ending = True
        return True

    def wait_for_capacity(self) -> None:
        """Wait until another request may run or the pipeline is closed."""
        while self._is_full() and not self.closed:
            self._has_advanced.wait(WAIT_S)

    def wait_for_turn(self) -> None:
        """Let requests of other connections run before one that was sent ahead."""
        if self._responses:
            self._ahead.wait_for_turn()

    def wait_until_empty(self) -> None:
        """Wait until all answers are written or the pipeline is closed."""
        while self._responses and not self.closed:
            self._has_advanced.wait(WAIT_S)

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
            self._has_advanced.fire()

    def close(self, reason: DropReason) -> None:
        """Drop the pending answers and kill the greenlets of their requests."""
        if self.closed:
            return
        self.closed = True
        responses = list(self._responses)
        self._responses.clear()
        self._ahead.pending -= max(0, len(responses) - 1)
        self._has_advanced.fire()
        current = eventlet.getcurrent()
        for response in responses:
            response.drop()
            if response.greenlet is not None and response.greenlet is not current:
                eventlet.spawn_n(response.greenlet.kill)
        if responses:
            self._on_drop(len(responses), reason)
        self._on_close()

    def _is_full(self) -> bool:
        pending = len(self._responses)
        # Seen from another greenlet, a write under way is one that is blocked.
        limit = MAX_BEHIND_BLOCKED if self._is_writing else MAX_CONCURRENT_REQUESTS
        return pending >= limit or (pending > 0 and self._ahead.is_used_up)

    def _remove_first(self) -> None:
        self._responses.popleft()
        if self._responses:
            self._ahead.pending -= 1
        self._has_advanced.fire()

    def _write_in_order(self) -> None:
        """Write answers up to the first that has not ended."""
        while self._responses and not self.closed:
            first = self._responses[0]
            data = first.take()
            if data:
                # Other greenlets run meanwhile, and may add to this answer.
                try:
                    self._send(data)
                finally:
                    first.release(len(data))
                continue
            if not first.finished:
                return
            self._remove_first()
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
