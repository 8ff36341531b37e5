"""State of call streams on the side that runs calls; does no I/O itself."""

from collections.abc import Callable, Iterator

from attrs import define

from comfreytray.calls import callframes
from comfreytray.calls.call import Call, Headers, Load, Outcome, fail
from comfreytray.calls.outbox import Outbox
from comfreytray.calls.receiveduploads import ReceivedUpload
from comfreytray.calls.streams import do_nothing
from comfreytray.calls.transitmemory import TransitMemory
from comfreytray.common.errors import Failure, Kind
from comfreytray.common.exceptions import invariant
from comfreytray.common.interfaces import Clock

MAX_OPEN_STREAMS = 1024


@define(kw_only=True, eq=False)
class OwnerStream:
    """The stream of one call on the side that runs it."""

    stream_id: int
    call: Call
    credit: int = callframes.WINDOW_BYTES
    """Bytes that may still be sent before the caller grants more."""
    upload: ReceivedUpload | None = None
    """Body of the call that arrives in parts."""
    cancelled: bool = False
    notify: Callable[[], None] = do_nothing
    """Called after credit was granted or the call was cancelled."""


class OwnerStreams:
    """Calls received on one connection, and the frames that answer them."""

    def __init__(
        self, *, node_id: str, clock: Clock, outbox_memory: TransitMemory | None = None
    ) -> None:
        self.node_id = node_id
        self.clock = clock
        self.outbox = Outbox(memory=outbox_memory)
        self.hello: callframes.Hello | None = None
        self.stream_by_id: dict[int, OwnerStream] = {}
        self.closed = False
        self.flush: Callable[[], None] = do_nothing
        """Called after a frame was queued that nothing else would send."""
        self._last_id = 0
        self._last_upload_id = 0
        """Stream id of the last call with a body in parts."""
        self._following: tuple[int, int] | None = None
        """Stream id and length of the body that the next call has."""
        self._decoder = callframes.Decoder()

    def receive(self, received: bytes) -> list[OwnerStream] | Failure:
        """Process received bytes; return the streams of the calls that they open.

        A Failure means that the connection must be closed.
        """
        decoded = self._decoder.feed(received)
        if isinstance(decoded, Failure):
            return decoded
        opened: list[OwnerStream] = []
        for frame in decoded:
            result = self._receive_frame(frame)
            if isinstance(result, Failure):
                return result
            if result is not None:
                opened.append(result)
        return [stream for stream in opened if not stream.cancelled]

    def refuse(self, stream: OwnerStream, outcome: Outcome) -> None:
        """Queue a failure as the answer to a call."""
        if self._finish(stream):
            self.outbox.push(callframes.pack_refuse(stream.stream_id, outcome))

    def head(
        self,
        stream: OwnerStream,
        *,
        status: int,
        reason: str,
        headers: Headers,
        body: bytes,
        last: bool,
        load: Load,
    ) -> None:
        """Queue the head of an answer and the first part of its body."""
        invariant(len(body) <= stream.credit, "credits are never overdrawn")
        stream.credit -= len(body)
        is_open = self._finish(stream) if last else self._is_open(stream)
        if is_open:
            self.outbox.push(
                callframes.pack_head(
                    stream.stream_id,
                    status=status,
                    reason=reason,
                    headers=headers,
                    body=body,
                    last=last,
                    load=load,
                )
            )

    def data(self, stream: OwnerStream, chunk: bytes, *, last: bool) -> None:
        """Queue a further part of the body of an answer."""
        invariant(len(chunk) <= stream.credit, "credits are never overdrawn")
        stream.credit -= len(chunk)
        is_open = self._finish(stream) if last else self._is_open(stream)
        if is_open:
            self.outbox.push(callframes.pack_data(stream.stream_id, chunk, last=last))

    def cut(self, stream: OwnerStream, failure: Failure) -> None:
        """Queue the failure of an answer that was truncated after its head."""
        if self._finish(stream):
            self.outbox.push(callframes.pack_cut(stream.stream_id, failure))

    def connection_lost(self) -> None:
        """Cancel all open calls, as the connection is gone."""
        self.closed = True
        for stream in list(self.stream_by_id.values()):
            self._cancel(stream)

    def _is_open(self, stream: OwnerStream) -> bool:
        return not self.closed and stream.stream_id in self.stream_by_id

    def _finish(self, stream: OwnerStream) -> bool:
        return (
            self.stream_by_id.pop(stream.stream_id, None) is not None
            and not self.closed
        )

    def _cancel(self, stream: OwnerStream) -> None:
        self.stream_by_id.pop(stream.stream_id, None)
        stream.cancelled = True
        stream.notify()

    def _receive_frame(self, frame: callframes.Frame) -> OwnerStream | Failure | None:
        tag = frame[0]
        if self.hello is None:
            return self._receive_hello(frame)
        if tag == callframes.OPEN:
            return self._receive_open(frame)
        if tag == callframes.BODY_FOLLOWS and self._following is None:
            self._following = frame[1:3]
            return None
        if tag == callframes.PING:
            self.outbox.push(callframes.pack_pong(frame[1]))
            return None
        if tag not in (callframes.CREDIT, callframes.CANCEL, callframes.DATA):
            return Failure(
                kind=Kind.BAD_FRAME, detail=f"unexpected tag {tag} from a caller"
            )
        if tag == callframes.DATA and frame[1] > self._last_upload_id:
            return Failure(kind=Kind.BAD_FRAME, detail="part of a body not announced")
        stream = self.stream_by_id.get(frame[1])
        if stream is None:
            return None
        if tag == callframes.CANCEL:
            self._cancel(stream)
            return None
        if tag == callframes.DATA:
            return _receive_part(stream, frame)
        stream.credit += frame[2]
        if stream.credit > callframes.WINDOW_BYTES:
            return Failure(kind=Kind.BAD_FRAME, detail="credit exceeds the window")
        stream.notify()
        return None

    def _receive_hello(self, frame: callframes.Frame) -> Failure | None:
        if frame[0] != callframes.HELLO or frame[1] != callframes.PROTOCOL_VERSION:
            return Failure(
                kind=Kind.BAD_FRAME,
                detail=f"expected a hello of version {callframes.PROTOCOL_VERSION}",
            )
        self.hello = callframes.Hello(
            version=frame[1], caller_id=frame[2], expected_id=frame[3]
        )
        return None

    def _receive_open(self, frame: callframes.Frame) -> OwnerStream | Failure | None:
        stream_id = frame[1]
        if stream_id <= self._last_id:
            return Failure(
                kind=Kind.BAD_FRAME,
                detail=f"stream id {stream_id} is not above {self._last_id}",
            )
        self._last_id = stream_id
        stream = OwnerStream(stream_id=stream_id, call=self._build_call(frame))
        if self._following is not None:
            announced_id, length = self._following
            self._following = None
            if announced_id != stream_id or stream.call.body:
                return Failure(
                    kind=Kind.BAD_FRAME, detail="announced body of another call"
                )
            self._last_upload_id = stream_id
            self._attach_upload(stream, length)
        self.stream_by_id[stream_id] = stream
        if self.hello is not None and self.hello.expected_id != self.node_id:
            self.refuse(stream, fail(Kind.WRONG_NODE, "another node has this address"))
            return None
        if len(self.stream_by_id) > MAX_OPEN_STREAMS:
            self.refuse(stream, fail(Kind.OVERLOADED, "too many open streams"))
            return None
        return stream

    def _attach_upload(self, stream: OwnerStream, length: int) -> None:
        def grant(size: int) -> None:
            if self._is_open(stream):
                self.outbox.push(callframes.pack_credit(stream.stream_id, size))
                self.flush()

        stream.upload = stream.call.upload = ReceivedUpload(
            length=None if length == callframes.UNKNOWN_LENGTH else length,
            deadline=stream.call.deadline,
            clock=self.clock,
            grant=grant,
        )

    def _build_call(self, frame: callframes.Frame) -> Call:
        now = self.clock.monotonic()
        left_s = frame[9] / callframes.MICROSECONDS_PER_S
        due_s = frame[20] / callframes.MICROSECONDS_PER_S
        return Call(
            service=frame[2],
            customer=frame[3],
            share=frame[4],
            method=frame[5],
            target=frame[6],
            headers=frame[7],
            body=frame[8],
            deadline=now + left_s,
            idempotent=frame[10],
            depth=frame[11],
            retried=frame[12],
            key=frame[13],
            trace=frame[14],
            call_id=frame[15],
            caller=frame[16],
            kind=frame[17],
            priority=frame[18],
            due=now + due_s if frame[19] else 0.0,
        )


def _receive_part(stream: OwnerStream, frame: callframes.Frame) -> Failure | None:
    if stream.upload is None:
        return Failure(kind=Kind.BAD_FRAME, detail="part of a body not announced")
    error = stream.upload.receive(frame[2], last=frame[3])
    return Failure(kind=Kind.BAD_FRAME, detail=error) if error else None


def split_chunks(body: bytes) -> Iterator[bytes]:
    """Split a body into chunks that each fit into one frame."""
    view = memoryview(body)
    for start in range(0, len(body), callframes.CHUNK_BYTES):
        yield bytes(view[start : start + callframes.CHUNK_BYTES])
