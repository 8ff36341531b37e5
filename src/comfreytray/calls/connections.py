"""Client side of call streams: one TCP connection to each owner."""

from collections.abc import Callable, Iterator
from types import TracebackType
from typing import Any

import eventlet
from attrs import define, evolve, field
from eventlet.green import socket

from comfreytray.calls.call import Call, CallCutError, Load, Outcome, Reply, fail
from comfreytray.calls.liveness import Check, Liveness
from comfreytray.calls.streams import CallStream, CallStreams
from comfreytray.calls.streamuploads import StreamSink, ask_for_uploads, send_upload
from comfreytray.calls.streamwriter import Writer, shut_down_socket
from comfreytray.calls.transitmemory import TransitMemory
from comfreytray.calls.uploads import BufferedUpload
from comfreytray.common import logs
from comfreytray.common.errors import Failure, Kind
from comfreytray.common.interfaces import Address, Clock
from comfreytray.common.keepalive import enable_keepalive
from comfreytray.common.metrics import Metrics
from comfreytray.common.records import NodeRecord
from comfreytray.common.signals import Signal
from comfreytray.common.turns import Turns

CONNECT_TIMEOUT_S = 1.0
READ_BYTES = 65_536
MAX_OUTBOX_BYTES = 4_194_304
"""Unsent bytes on a connection above which it takes no further call or chunk."""
ANNOUNCED_BODY_BYTES = 16_384
"""Size from which a body is announced, and sent once the owner grants credit."""
IDLE_TIMEOUT_S = 60.0


class OwnerConnection:
    """One connection to an owner."""

    def __init__(
        self,
        *,
        sock: Any,
        streams: CallStreams,
        clock: Clock,
        on_closed: Callable[["OwnerConnection"], None],
    ) -> None:
        self.sock = sock
        self.streams = streams
        self.clock = clock
        self.on_closed = on_closed
        self.liveness = Liveness(clock=clock, outbox=streams.outbox)
        self.takes_uploads: bool | None = None
        """Whether the owner takes bodies in parts; None if it was not asked yet."""
        self.writer = Writer(sock=sock, outbox=streams.outbox, on_lost=self.close)
        streams.flush = self.writer.flush

    def close(self) -> None:
        """Shut the connection down and fail its open calls."""
        if self.streams.closed:
            return
        self.streams.connection_lost()
        self.on_closed(self)
        shut_down_socket(self.sock)

    def check(self) -> None:
        """Ping an owner that is silent; close the connection if it does not answer."""
        asked = self.liveness.check(has_calls=bool(self.streams.stream_by_id))
        if asked is Check.PING:
            self.streams.ping()
            self.writer.flush()
        elif asked is Check.CLOSE:
            logs.warn(logs.Event.STREAM_CLOSED, reason="no answer to a ping")
            self.close()

    def read(self) -> None:
        """Receive frames until the connection ends."""
        reason = "end"
        turns = Turns()
        try:
            while not self.streams.closed:
                received = self.sock.recv(READ_BYTES)
                if not received:
                    break
                turns.take()
                self.liveness.receive()
                failure = self.streams.receive(received)
                if failure is not None:
                    reason = failure.detail or failure.kind.value
                    logs.warn(logs.Event.FRAME_REFUSED, reason=reason)
                    break
        except (OSError, EOFError) as error:
            reason = type(error).__name__
        finally:
            self.close()
            self.writer.close()


@define(kw_only=True, eq=False)
class _PendingConnect:
    """An attempt to connect, and the calls that wait for it."""

    signals: list[Signal] = field(factory=list)
    failure: Failure | None = None


class StreamClient:
    """Sends calls to owners, over one connection to each."""

    def __init__(
        self,
        *,
        own_id: str,
        clock: Clock,
        metrics: Metrics,
        announces_bodies: bool = False,
        answer_memory: TransitMemory | None = None,
        outbox_memory: TransitMemory | None = None,
    ) -> None:
        """Create it; with `announces_bodies` the owner decides when a body is sent."""
        self.answer_memory, self.outbox_memory = answer_memory, outbox_memory
        self.announces_bodies = announces_bodies
        self.own_id = own_id
        self.clock = clock
        self.metrics = metrics
        self._connection_by_key: dict[tuple[str, Address], OwnerConnection] = {}
        self._pending_by_key: dict[tuple[str, Address], _PendingConnect] = {}

    def __enter__(self) -> "StreamClient":
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        for connection in self.connections:
            connection.close()

    @property
    def connections(self) -> list[OwnerConnection]:
        """Open connections."""
        return list(self._connection_by_key.values())

    def call(self, record: NodeRecord, call: Call) -> Reply | Outcome:
        """Run a call at the node that owns its upstream."""
        connection = self._connection(record, call)
        if isinstance(connection, Failure):
            return Outcome.of(connection)
        left_s = call.deadline - self.clock.monotonic()
        if left_s <= 0:
            return fail(Kind.DEADLINE_BEFORE_RUN, "before sending")
        if connection.streams.outbox.size > MAX_OUTBOX_BYTES:
            return fail(Kind.NODE_UNREACHABLE, "connection is backed up")
        if self.announces_bodies and len(call.body) >= ANNOUNCED_BODY_BYTES:
            call = evolve(call, body=b"", upload=BufferedUpload(call.body))
        if call.upload is not None and not self._takes_uploads(connection, call):
            # A load other than IDLE keeps the router from avoiding the endpoint.
            refused = fail(Kind.OVERLOADED, "node takes no bodies in parts")
            refused.load = Load()
            return refused
        return self._run(connection, call)

    def _takes_uploads(self, connection: OwnerConnection, call: Call) -> bool:
        """Whether an owner takes bodies in parts; asks it once."""
        if connection.takes_uploads is None:
            result = self._run(connection, ask_for_uploads(call))
            if isinstance(result, Reply):
                connection.takes_uploads = True
            elif result.failure.kind is Kind.BAD_REQUEST:
                connection.takes_uploads = False
        return bool(connection.takes_uploads) and not connection.streams.closed

    def _run(self, connection: OwnerConnection, call: Call) -> Reply | Outcome:
        signal = Signal()
        left_s = call.deadline - self.clock.monotonic()
        stream = connection.streams.open(call, left_s=left_s)
        stream.notify = signal.fire
        connection.writer.flush()
        try:
            if call.upload is None:
                return self._wait_for_head(connection, stream, signal, call)
            return send_upload(
                call.upload,
                StreamSink(
                    streams=connection.streams, stream=stream, writer=connection.writer
                ),
                lambda: self._wait_for_head(connection, stream, signal, call),
            )
        except BaseException:
            self._cancel(connection, stream)
            raise

    def _wait_for_head(
        self,
        connection: OwnerConnection,
        stream: CallStream,
        signal: Signal,
        call: Call,
    ) -> Reply | Outcome:
        while not stream.status and stream.outcome is None:
            left_s = call.deadline - self.clock.monotonic()
            if left_s <= 0:
                return self._fail_at_deadline(connection, stream)
            signal.wait(left_s)
        if not stream.status:
            assert stream.outcome is not None
            return stream.outcome
        reply = Reply(
            status=stream.status,
            reason=stream.reason,
            headers=stream.headers,
            load=stream.load,
        )
        if stream.complete:
            reply.body = connection.streams.take_all(stream)
            return reply
        reply.close = lambda: self._cancel(connection, stream)
        reply.rest = self._stream_body(connection, stream, signal, call)
        return reply

    def _fail_at_deadline(
        self, connection: OwnerConnection, stream: CallStream
    ) -> Outcome:
        if connection.streams.cancel(stream):
            return fail(Kind.DEADLINE_BEFORE_RUN, "not sent")
        if not connection.streams.closed:
            connection.writer.flush()
        outcome = fail(Kind.DEADLINE_WHILE_RUNNING, "no answer from the owner")
        outcome.sent = True
        return outcome

    def _stream_body(
        self,
        connection: OwnerConnection,
        stream: CallStream,
        signal: Signal,
        call: Call,
    ) -> Iterator[bytes]:
        try:
            while True:
                if stream.chunks:
                    chunk = connection.streams.take_chunk(stream)
                    connection.writer.flush()
                    yield chunk
                    continue
                if stream.complete:
                    return
                if stream.outcome is not None:
                    raise CallCutError(stream.outcome.failure)
                left_s = call.deadline - self.clock.monotonic()
                if left_s <= 0:
                    raise CallCutError(Failure(kind=Kind.ANSWER_CUT, detail="deadline"))
                signal.wait(left_s)
        finally:
            self._cancel(connection, stream)

    def _cancel(self, connection: OwnerConnection, stream: CallStream) -> None:
        connection.streams.cancel(stream)
        if not connection.streams.closed:
            connection.writer.flush()

    def _connection(self, record: NodeRecord, call: Call) -> OwnerConnection | Failure:
        key = (record.node_id, record.call_address)
        connection = self._connection_by_key.get(key)
        if connection is not None:
            return connection
        pending = self._pending_by_key.get(key)
        if pending is None:
            pending = self._pending_by_key[key] = _PendingConnect()
            eventlet.spawn_n(self._connect, key, pending)
        signal = Signal()
        pending.signals.append(signal)
        left_s = call.deadline - self.clock.monotonic()
        if not signal.wait(min(left_s, CONNECT_TIMEOUT_S)):
            return Failure(kind=Kind.NODE_UNREACHABLE, detail="connect timeout")
        connection = self._connection_by_key.get(key)
        if connection is not None:
            return connection
        return pending.failure or Failure(kind=Kind.NODE_UNREACHABLE)

    def _connect(self, key: tuple[str, Address], pending: _PendingConnect) -> None:
        node_id, address = key
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            sock.settimeout(CONNECT_TIMEOUT_S)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            enable_keepalive(sock)
            sock.connect(address)
            sock.settimeout(None)
        except (OSError, EOFError) as error:
            sock.close()
            detail = type(error).__name__
            pending.failure = Failure(kind=Kind.NODE_UNREACHABLE, detail=detail)
        else:
            self._register(key, sock, node_id)
        del self._pending_by_key[key]
        for signal in pending.signals:
            signal.fire()

    def _register(self, key: tuple[str, Address], sock: Any, node_id: str) -> None:
        streams = CallStreams(
            caller_id=self.own_id,
            expected_id=node_id,
            answer_memory=self.answer_memory,
            outbox_memory=self.outbox_memory,
        )

        def unregister(closed: OwnerConnection) -> None:
            if self._connection_by_key.get(key) is closed:
                del self._connection_by_key[key]
            self.metrics.count("stream_late_frames", closed.streams.late_frames)

        connection = OwnerConnection(
            sock=sock, streams=streams, clock=self.clock, on_closed=unregister
        )
        self._connection_by_key[key] = connection
        eventlet.spawn_n(connection.read)

    def check(self) -> None:
        """Ping silent owners and close connections to owners that no longer answer."""
        for connection in self.connections:
            connection.check()

    def close_idle(self) -> None:
        """Close connections without calls that were silent for `IDLE_TIMEOUT_S`."""
        limit = self.clock.monotonic() - IDLE_TIMEOUT_S
        for connection in self.connections:
            if (
                not connection.streams.stream_by_id
                and connection.liveness.last_received_at < limit
            ):
                connection.close()
