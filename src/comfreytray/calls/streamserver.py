"""Server side of call streams: runs the calls that other nodes send."""

import math
from collections.abc import Callable
from types import TracebackType
from typing import Any, Protocol

import eventlet
from eventlet.green import socket

from comfreytray.calls import callframes
from comfreytray.calls.bodypool import NO_ROOM, BodyPool, Share
from comfreytray.calls.call import (
    IDLE,
    MAX_BODY_BYTES,
    Call,
    CallCutError,
    Load,
    Outcome,
    Reply,
    fail,
)
from comfreytray.calls.connections import MAX_OUTBOX_BYTES, READ_BYTES
from comfreytray.calls.inboundlink import InboundLink
from comfreytray.calls.ownerstreams import OwnerStream, OwnerStreams, split_chunks
from comfreytray.calls.receiveduploads import ReceivedUpload, read_whole
from comfreytray.calls.streamwriter import Writer, shut_down_socket
from comfreytray.calls.transitmemory import TransitMemory
from comfreytray.calls.uploads import UPLOAD_RESERVED_BYTES
from comfreytray.common import logs
from comfreytray.common.connectionlimits import Rank
from comfreytray.common.errors import Failure, Kind
from comfreytray.common.interfaces import Address, Clock
from comfreytray.common.keepalive import enable_keepalive
from comfreytray.common.listening import SteadyListener
from comfreytray.common.signals import Signal
from comfreytray.common.turns import Turns
from comfreytray.common.unsent import unsent_bytes, wait_until_taken

HELLO_TIMEOUT_S = 3.0
"""Time without a byte in which a node must say who it is."""
MAX_HELLO_BYTES = 8192
"""Bytes within which a node must have said who it is."""
MAX_UNREAD_BYTES = 4 * MAX_OUTBOX_BYTES
"""Unsent bytes at which a caller that sends but does not read is disconnected."""


class Handler(Protocol):
    """Runs a call at its owner."""

    def __call__(self, call: Call) -> Reply | Outcome:
        """Return the answer, or the failure and whether the call ran."""
        ...


class StreamServer:
    """Accepts connections of other nodes and runs their calls."""

    def __init__(
        self,
        *,
        node_id: str,
        clock: Clock,
        handle: Handler,
        load: Callable[[], Load],
        budget: BodyPool,
        link_bytes_per_s: float = math.inf,
        outbox_memory: TransitMemory | None = None,
    ) -> None:
        """Create it.

        `budget` limits the bytes of bodies that arrive in parts, `link_bytes_per_s` is
        the speed at which they can arrive.
        """
        self.node_id = node_id
        self.clock = clock
        self.handle = handle
        self.load = load
        self.budget = budget
        self.outbox_memory = outbox_memory
        self.link = InboundLink(clock=clock, bytes_per_s=link_bytes_per_s)
        self._streams_by_socket: dict[Any, OwnerStreams] = {}

    @property
    def has_open_streams(self) -> bool:
        """Whether a call, or its answer, is not complete."""
        return any(streams.stream_by_id for streams in self._streams_by_socket.values())

    def wait_until_taken(self, timeout_s: float) -> None:
        """Wait until the other nodes have taken their answers."""
        wait_until_taken(self._count_unsent, timeout_s)

    def _count_unsent(self) -> int:
        return sum(
            streams.outbox.size + unsent_bytes(sock)
            for sock, streams in self._streams_by_socket.items()
        )

    def __enter__(self) -> "StreamServer":
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        for sock in list(self._streams_by_socket):
            shut_down_socket(sock)

    def serve(self, listener: Any) -> None:
        """Accept connections until the listener is closed."""
        steady = SteadyListener(listener)
        while True:
            try:
                sock, address = steady.accept()
            except (OSError, EOFError):
                return
            eventlet.spawn_n(self._serve_connection, sock, address)

    def rank_of(self, sock: Any) -> Rank:
        """Return whether a connection is that of a node, and has calls that run."""
        streams = self._streams_by_socket.get(sock)
        if streams is None or streams.hello is None:
            return Rank.UNKNOWN
        return Rank.SERVED if streams.stream_by_id else Rank.IDLE

    def _serve_connection(self, sock: Any, address: Address) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        enable_keepalive(sock)
        streams = OwnerStreams(
            node_id=self.node_id, clock=self.clock, outbox_memory=self.outbox_memory
        )
        self._streams_by_socket[sock] = streams

        def close() -> None:
            streams.connection_lost()
            shut_down_socket(sock)

        self._streams_by_socket[sock] = streams
        writer = Writer(sock=sock, outbox=streams.outbox, on_lost=close)
        streams.flush = writer.flush
        turns = Turns()
        sock.settimeout(HELLO_TIMEOUT_S)
        unknown_bytes: int | None = 0
        try:
            while not streams.closed:
                received = sock.recv(READ_BYTES)
                if not received:
                    return
                turns.take()
                opened = streams.receive(received)
                if streams.outbox.size > MAX_UNREAD_BYTES:
                    detail = f"{streams.outbox.size} bytes not read by the peer"
                    opened = Failure(kind=Kind.FRAME_TOO_LARGE, detail=detail)
                if unknown_bytes is not None:
                    unknown_bytes += len(received)
                    if streams.hello is not None:
                        unknown_bytes = None
                        sock.settimeout(None)
                    elif unknown_bytes > MAX_HELLO_BYTES:
                        opened = Failure(kind=Kind.FRAME_TOO_LARGE, detail="no hello")
                if isinstance(opened, Failure):
                    self._log_refused(opened, address)
                    return
                for stream in opened:
                    _ServedCall(
                        server=self, streams=streams, writer=writer, stream=stream
                    )
                writer.flush()
        except (OSError, EOFError):
            return
        finally:
            streams.connection_lost()
            self._streams_by_socket.pop(sock, None)
            writer.close()

    def _log_refused(self, failure: Failure, address: Address) -> None:
        logs.warn(
            logs.Event.FRAME_REFUSED,
            peer=f"{address[0]}:{address[1]}",
            kind=failure.kind.value,
            reason=failure.detail,
        )


class _ServedCall:
    """One call of a connection, run in a greenlet of its own."""

    def __init__(
        self,
        *,
        server: StreamServer,
        streams: OwnerStreams,
        writer: Writer,
        stream: OwnerStream,
    ) -> None:
        self.server = server
        self.streams = streams
        self.writer = writer
        self.stream = stream
        self.signal = Signal()
        stream.notify = self._on_change
        self.greenlet = eventlet.spawn(self._run)

    def _on_change(self) -> None:
        if self.stream.cancelled:
            eventlet.spawn_n(self._kill)
            return
        self.signal.fire()

    def _kill(self) -> None:
        self.greenlet.kill()

    def _run(self) -> None:
        try:
            result = self._handle()
        except Exception as error:
            logs.warn(logs.Event.INTERNAL_ERROR, error=repr(error))
            result = fail(Kind.INTERNAL, type(error).__name__)
        if isinstance(result, Outcome):
            if result.load is IDLE:
                result.load = self.server.load()
            self.streams.refuse(self.stream, result)
            self.writer.flush()
            return
        try:
            self._answer(result)
        finally:
            result.close()
            self.writer.flush()

    def _handle(self) -> Reply | Outcome:
        """Run the call, with memory reserved for a body that arrives in parts."""
        upload = self.stream.upload
        if upload is None:
            return self.server.handle(self.stream.call)
        if upload.length is not None and upload.length <= MAX_BODY_BYTES:
            return self._receive_and_handle(upload, upload.length)
        share = self._open_share(upload)
        try:
            if not share.resize(UPLOAD_RESERVED_BYTES):
                return Outcome.of(NO_ROOM)
            return self.server.handle(self.stream.call)
        finally:
            upload.close()
            share.release()

    def _open_share(self, upload: ReceivedUpload) -> Share:
        upload.share = self.server.budget.open(
            length=upload.length, on_shed=upload.wake
        )
        return upload.share

    def _receive_and_handle(self, upload: ReceivedUpload, size: int) -> Reply | Outcome:
        """Receive a body of limited size, when it is its turn, and run the call."""
        link, call = self.server.link, self.stream.call
        now = self.server.clock.monotonic()
        until = call.due if call.due > now else call.deadline
        refused = link.announce(size, until=until)
        if refused is not None:
            return Outcome.of(refused)
        share = self._open_share(upload)
        try:
            try:
                body = read_whole(upload, share, link)
            finally:
                link.withdraw(size)
                upload.close()
            if share.failure is not None:
                # Another node's link is slow, which is not its caller's fault.
                return Outcome.of(NO_ROOM)
            if isinstance(body, Failure):
                return Outcome.of(body)
            call.body, call.upload = body, None
            return self.server.handle(call)
        finally:
            share.release()

    def _answer(self, reply: Reply) -> None:
        parts = (
            split_chunks(reply.body)
            if len(reply.body) > callframes.CHUNK_BYTES
            else None
        )
        first = next(parts) if parts is not None else reply.body
        self.streams.head(
            self.stream,
            status=reply.status,
            reason=reply.reason,
            headers=reply.headers,
            body=first,
            last=parts is None and reply.rest is None,
            load=self.server.load() if reply.load is IDLE else reply.load,
        )
        self.writer.flush()
        if parts is None and reply.rest is None:
            return
        try:
            for part in parts or ():
                self._send(part)
            # The outbox, or the other node, holds it now.
            reply.body, parts = b"", None
            for part in reply.rest or ():
                for chunk in split_chunks(part):
                    self._send(chunk)
        except CallCutError as error:
            self.streams.cut(self.stream, error.failure)
            return
        self.streams.data(self.stream, b"", last=True)

    def _send(self, chunk: bytes) -> None:
        deadline = self.stream.call.deadline
        while self.stream.credit < len(chunk) or (
            self.writer.outbox.size > MAX_OUTBOX_BYTES
        ):
            left_s = deadline - self.server.clock.monotonic()
            if left_s <= 0:
                raise CallCutError(Failure(kind=Kind.ANSWER_CUT, detail="slow reader"))
            self.signal.wait(min(left_s, 0.05) if self.stream.credit else left_s)
        self.streams.data(self.stream, chunk, last=False)
        self.writer.flush()
