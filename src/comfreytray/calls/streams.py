"""State of call streams on the calling side; does no I/O itself.

Stream ids increase and are never reused on a connection; a call is never resent on
another connection.
"""

from collections import deque
from collections.abc import Callable
from functools import partial

from attrs import define, field

from comfreytray.calls import callframes
from comfreytray.calls.call import IDLE, Call, Headers, Load, Outcome, fail
from comfreytray.calls.outbox import Block, Outbox
from comfreytray.calls.transitmemory import ANSWERS_SHED, TransitMemory
from comfreytray.common.errors import Failure, Kind
from comfreytray.common.exceptions import invariant


def do_nothing() -> None:
    """Do nothing: the default for a change that nobody waits for."""


@define(kw_only=True, eq=False)
class CallStream:
    """The stream of one call on the calling side."""

    stream_id: int
    block: Block
    """Frame of the call, while it waits to be written."""
    end_offset: int
    """Offset in the connection at which the frame of the call ends."""
    notify: Callable[[], None] = do_nothing
    """Called after each change of the stream."""
    status: int = 0
    """HTTP status; 0 until the head of the answer is received."""
    reason: str = ""
    headers: Headers = ()
    load: Load = IDLE
    chunks: deque[bytes] = field(factory=deque)
    held_bytes: int = 0
    """Bytes of `chunks`."""
    complete: bool = False
    """Whether the last byte of the answer was received."""
    has_upload: bool = False
    upload_credit: int = 0
    """Bytes of the call's body that may be sent before the owner grants more."""
    notify_credit: Callable[[], None] = do_nothing
    """Called after the owner granted credit."""
    outcome: Outcome | None = None
    shed: Callable[[], None] = do_nothing
    """Gives the answer up, as all answers hold too much."""

    @property
    def ended(self) -> bool:
        """Whether the answer is complete or has failed."""
        return self.complete or self.outcome is not None


class CallStreams:
    """Calls opened on one connection; matches received frames to them."""

    def __init__(
        self,
        *,
        caller_id: str,
        expected_id: str,
        answer_memory: TransitMemory | None = None,
        outbox_memory: TransitMemory | None = None,
    ) -> None:
        """Queue the opening frame.

        `caller_id` is this node; `expected_id` is the node that the peer should be,
        which refuses the calls if it is another.
        """
        self.memory = answer_memory or TransitMemory(purpose="answers")
        self.flush: Callable[[], None] = do_nothing
        """Called after a frame was queued that nothing else would send."""
        self.outbox = Outbox(memory=outbox_memory)
        self.stream_by_id: dict[int, CallStream] = {}
        self.closed = False
        self.late_frames = 0
        """Number of frames ignored because their call had ended or been cancelled."""
        self._last_id = 0
        self._decoder = callframes.Decoder()
        self.outbox.push(
            callframes.pack_hello(caller_id=caller_id, expected_id=expected_id)
        )

    def open(self, call: Call, *, left_s: float) -> CallStream:
        """Queue the frame of a call and return its stream."""
        invariant(not self.closed, "no call is opened on a closed connection")
        self._last_id += 1
        if call.upload is not None:
            length = call.upload.length
            self.outbox.push(callframes.pack_body_follows(self._last_id, length))
        packed = callframes.pack_open(self._last_id, call, left_s)
        block = self.outbox.push_call(packed)
        stream = CallStream(
            stream_id=self._last_id,
            block=block,
            end_offset=block.end,
            has_upload=call.upload is not None,
        )
        stream.shed = partial(self._shed, stream)
        self.stream_by_id[stream.stream_id] = stream
        return stream

    def take_chunk(self, stream: CallStream) -> bytes:
        """Return the next part of an answer and grant the owner credit for as much."""
        chunk = stream.chunks.popleft()
        self.memory.release(stream, len(chunk))
        if not stream.ended and chunk and not self.closed:
            self.outbox.push(callframes.pack_credit(stream.stream_id, len(chunk)))
        return chunk

    def take_all(self, stream: CallStream) -> bytes:
        """Return all that was received of an answer and not taken yet."""
        body = b"".join(stream.chunks)
        self._drop(stream)
        return body

    def send_part(self, stream: CallStream, part: bytes, *, last: bool) -> None:
        """Queue a part of the body of a call."""
        invariant(len(part) <= stream.upload_credit, "credits are never overdrawn")
        stream.upload_credit -= len(part)
        if stream.stream_id in self.stream_by_id and not self.closed:
            self.outbox.push(callframes.pack_data(stream.stream_id, part, last=last))

    def cancel(self, stream: CallStream) -> bool:
        """Cancel a call; later frames for it are dropped.

        Return whether it was withdrawn, so that the owner never gets it.
        """
        self._drop(stream)
        if self.stream_by_id.pop(stream.stream_id, None) is None or self.closed:
            return False
        # The frame that announces a streamed body could not be withdrawn with it.
        if not stream.has_upload and self.outbox.withdraw(stream.block):
            return True
        self.outbox.push(callframes.pack_cancel(stream.stream_id))
        return False

    def ping(self) -> None:
        """Queue a liveness probe of the owner."""
        self.outbox.push(callframes.pack_ping(1))

    def receive(self, received: bytes) -> Failure | None:
        """Process received bytes; a Failure means that the connection must close."""
        decoded = self._decoder.feed(received)
        if isinstance(decoded, Failure):
            return decoded
        for frame in decoded:
            failure = self._receive_frame(frame)
            if failure is not None:
                return failure
        return None

    def connection_lost(self) -> None:
        """Fail all open calls: unsent ones did not run, others may have."""
        self.closed = True
        for stream in list(self.stream_by_id.values()):
            if self.outbox.sent < stream.end_offset:
                outcome = fail(Kind.NODE_UNREACHABLE, "connection lost before sending")
            elif stream.status:
                outcome = fail(Kind.ANSWER_CUT, "connection lost")
            else:
                outcome = fail(Kind.LOST_AFTER_SEND, "connection lost")
                outcome.sent = True
            self._finish(stream, outcome)

    def _receive_frame(self, frame: callframes.Frame) -> Failure | None:
        tag = frame[0]
        if tag == callframes.PONG:
            return None
        if tag not in _HANDLER_BY_TAG:
            return Failure(
                kind=Kind.BAD_FRAME, detail=f"unexpected tag {tag} from an owner"
            )
        if frame[1] > self._last_id:
            return Failure(
                kind=Kind.BAD_FRAME, detail=f"answer to unopened stream {frame[1]}"
            )
        stream = self.stream_by_id.get(frame[1])
        if stream is None:
            self.late_frames += 1
            return None
        invariant(stream.stream_id == frame[1], "an answer matches its own call only")
        return _HANDLER_BY_TAG[tag](self, stream, frame)

    def _receive_head(
        self, stream: CallStream, frame: callframes.Frame
    ) -> Failure | None:
        if stream.status:
            return Failure(kind=Kind.BAD_FRAME, detail="second head in a stream")
        stream.status, stream.reason, stream.headers = frame[2:5]
        stream.load = callframes.parse_load(frame[7:])
        return self._append_chunk(stream, frame[5], last=frame[6])

    def _receive_data(
        self, stream: CallStream, frame: callframes.Frame
    ) -> Failure | None:
        if not stream.status:
            return Failure(kind=Kind.BAD_FRAME, detail="body before head")
        return self._append_chunk(stream, frame[2], last=frame[3])

    def _append_chunk(
        self, stream: CallStream, chunk: bytes, *, last: bool
    ) -> Failure | None:
        if stream.held_bytes + len(chunk) > callframes.WINDOW_BYTES:
            return Failure(
                kind=Kind.FRAME_TOO_LARGE, detail="flow-control window exceeded"
            )
        if chunk:
            stream.chunks.append(chunk)
        if last:
            stream.complete = True
            del self.stream_by_id[stream.stream_id]
        stream.notify()
        # It may give up this answer, too.
        self.memory.hold(stream, len(chunk))
        return None

    def _receive_credit(
        self, stream: CallStream, frame: callframes.Frame
    ) -> Failure | None:
        stream.upload_credit += frame[2]
        if not stream.has_upload or stream.upload_credit > callframes.WINDOW_BYTES:
            return Failure(kind=Kind.BAD_FRAME, detail="credit exceeds the window")
        stream.notify_credit()
        return None

    def _receive_refuse(
        self, stream: CallStream, frame: callframes.Frame
    ) -> Failure | None:
        if stream.status:
            return Failure(kind=Kind.BAD_FRAME, detail="refusal after head")
        kind, ran = callframes.find_kind(frame[2]), callframes.find_ran(frame[3])
        if kind is None or ran is None:
            return Failure(
                kind=Kind.BAD_FRAME, detail="unknown kind or outcome in a refusal"
            )
        failure = Failure(kind=kind, detail=frame[4], retry_after_s=frame[6] or None)
        load = callframes.parse_load(frame[7:])
        outcome = Outcome(failure=failure, ran=ran, sent=frame[5], load=load)
        self._finish(stream, outcome)
        return None

    def _receive_cut(
        self, stream: CallStream, frame: callframes.Frame
    ) -> Failure | None:
        if not stream.status:
            return Failure(kind=Kind.BAD_FRAME, detail="cut before head")
        kind = callframes.find_kind(frame[2]) or Kind.ANSWER_CUT
        self._finish(stream, fail(kind, frame[3]))
        return None

    def _drop(self, stream: CallStream) -> None:
        stream.chunks.clear()
        self.memory.release(stream, stream.held_bytes)

    def _shed(self, stream: CallStream) -> None:
        """Give up an answer; the owner is told, if it still sends."""
        stream.complete = False
        stream.outcome = Outcome.of(ANSWERS_SHED)
        self.cancel(stream)
        if not self.closed:
            self.flush()
        stream.notify()

    def _finish(self, stream: CallStream, outcome: Outcome) -> None:
        self.stream_by_id.pop(stream.stream_id, None)
        stream.outcome = outcome
        stream.notify()


_HANDLER_BY_TAG = {
    callframes.HEAD: CallStreams._receive_head,
    callframes.DATA: CallStreams._receive_data,
    callframes.CREDIT: CallStreams._receive_credit,
    callframes.REFUSE: CallStreams._receive_refuse,
    callframes.CUT: CallStreams._receive_cut,
}
