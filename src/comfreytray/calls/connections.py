"""Carry calls to other nodes: one TCP connection to each owner."""

import contextlib
from collections.abc import Callable, Iterator
from types import TracebackType
from typing import Any

import eventlet
from attrs import define, field
from eventlet.green import socket

from comfreytray.calls.call import Call, CallCutError, Outcome, Reply, fail
from comfreytray.calls.streams import (
    CallStream,
    CallStreams,
    Outbox,
)
from comfreytray.common import logs
from comfreytray.common.errors import Failure, Kind
from comfreytray.common.interfaces import Address, Clock
from comfreytray.common.keepalive import enable_keepalive
from comfreytray.common.metrics import Metrics
from comfreytray.common.records import NodeRecord
from comfreytray.common.signals import Signal

CONNECT_TIMEOUT_S = 1.0
READ_BYTES = 65_536
MAX_OUTBOX_BYTES = 4_194_304
IDLE_TIMEOUT_S = 60.0
SILENCE_S = 1.0
"""Silence with calls under way from which an owner is asked if it runs."""
PING_TIMEOUT_S = 2.0
"""Time in which the answer to a ping must come, or the connection is closed."""
MIN_CHECKS = 4


class Writer:
    """Write an outbox to a socket: at once if the kernel takes it, else later."""

    def __init__(self, *, sock: Any, outbox: Outbox, on_lost: Callable[[], None]):
        self.sock = sock
        self.outbox = outbox
        self.on_lost = on_lost
        self._busy = False
        self._close_at_end = False

    def flush(self) -> None:
        """Write what waits without blocking; a greenlet goes on with the rest."""
        if self._busy or not self.outbox.size:
            return
        block = self.outbox.take()
        try:
            sent = self.sock.fd.send(block)
        except BlockingIOError:
            sent = 0
        except OSError:
            self.on_lost()
            return
        self.outbox.written(sent)
        if self.outbox.size:
            self._busy = True
            eventlet.spawn_n(self._write_rest)

    def close(self) -> None:
        """Close the socket once no greenlet waits on it."""
        hang_up(self.sock)
        if self._busy:
            self._close_at_end = True
        else:
            self.sock.close()

    def _write_rest(self) -> None:
        try:
            while self.outbox.size:
                self.outbox.written(self.sock.send(self.outbox.take()))
        except OSError:
            self.on_lost()
        finally:
            self._busy = False
            if self._close_at_end:
                self.sock.close()


class Link:
    """Hold one connection to an owner."""

    def __init__(
        self,
        *,
        sock: Any,
        streams: CallStreams,
        clock: Clock,
        on_closed: Callable[["Link"], None],
    ) -> None:
        self.sock = sock
        self.streams = streams
        self.clock = clock
        self.on_closed = on_closed
        self.heard_at = clock.monotonic()
        self.pinged_at = 0.0
        self._checks = 0
        self.writer = Writer(sock=sock, outbox=streams.outbox, on_lost=self.close)

    def close(self) -> None:
        """Close the connection and end its calls."""
        if self.streams.closed:
            return
        self.streams.lose()
        self.on_closed(self)
        hang_up(self.sock)

    def check(self) -> None:
        """Close the connection when the owner does not answer a ping in time."""
        now = self.clock.monotonic()
        if self.pinged_at > self.heard_at:
            self._checks += 1
            # A node that was itself paused must first read what waits for it.
            if now - self.pinged_at >= PING_TIMEOUT_S and self._checks >= MIN_CHECKS:
                logs.warn(logs.Event.STREAM_CLOSED, reason="no answer to a ping")
                self.close()
            return
        if self.streams.stream_by_id and now - self.heard_at >= SILENCE_S:
            self.pinged_at = now
            self._checks = 0
            self.streams.ping()
            self.writer.flush()

    def read(self) -> None:
        """Take in answers until the connection ends."""
        reason = "end"
        try:
            while not self.streams.closed:
                received = self.sock.recv(READ_BYTES)
                if not received:
                    break
                self.heard_at = self.clock.monotonic()
                fault = self.streams.receive(received)
                if fault is not None:
                    reason = fault.detail or fault.kind.value
                    logs.warn(logs.Event.FRAME_REFUSED, reason=reason)
                    break
        except (OSError, EOFError) as error:
            reason = type(error).__name__
        finally:
            self.close()
            self.writer.close()


@define(kw_only=True, eq=False)
class _Opening:
    """Let calls wait for one attempt to connect."""

    waiters: list[Signal] = field(factory=list)
    failure: Failure | None = None


class StreamClient:
    """Send calls to owners over one connection each."""

    def __init__(self, *, own_id: str, clock: Clock, metrics: Metrics) -> None:
        self.own_id = own_id
        self.clock = clock
        self.metrics = metrics
        self._link_by_address: dict[tuple[str, Address], Link] = {}
        self._opening_by_address: dict[tuple[str, Address], _Opening] = {}

    def __enter__(self) -> "StreamClient":
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        for link in self.links:
            link.close()

    @property
    def links(self) -> list[Link]:
        """List the connections that are open."""
        return list(self._link_by_address.values())

    def call(self, record: NodeRecord, call: Call) -> Reply | Outcome:
        """Run a call at the node beside another upstream."""
        link = self._link(record, call)
        if isinstance(link, Failure):
            return Outcome.of(link)
        left_s = call.deadline - self.clock.monotonic()
        if left_s <= 0:
            return fail(Kind.DEADLINE_BEFORE_RUN, "before sending")
        if link.streams.outbox.size > MAX_OUTBOX_BYTES:
            return fail(Kind.NODE_UNREACHABLE, "connection is backed up")
        signal = Signal()
        stream = link.streams.open(call, left_s=left_s)
        stream.notify = signal.fire
        link.writer.flush()
        try:
            return self._head(link, stream, signal, call)
        except BaseException:
            self._cancel(link, stream)
            raise

    def _head(
        self, link: Link, stream: CallStream, signal: Signal, call: Call
    ) -> Reply | Outcome:
        while not stream.status and stream.outcome is None:
            left_s = call.deadline - self.clock.monotonic()
            if left_s <= 0:
                return self._late(link, stream)
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
        if stream.whole:
            reply.body = b"".join(stream.chunks)
            return reply
        reply.close = lambda: self._cancel(link, stream)
        reply.rest = self._rest(link, stream, signal, call)
        return reply

    def _late(self, link: Link, stream: CallStream) -> Outcome:
        unsent = link.streams.outbox.sent < stream.end_offset
        self._cancel(link, stream)
        if unsent:
            link.close()
            return fail(Kind.DEADLINE_BEFORE_RUN, "not sent")
        outcome = fail(Kind.DEADLINE_WHILE_RUNNING, "no answer from the owner")
        outcome.sent = True
        return outcome

    def _rest(
        self, link: Link, stream: CallStream, signal: Signal, call: Call
    ) -> Iterator[bytes]:
        try:
            while True:
                if stream.chunks:
                    chunk = link.streams.take_chunk(stream)
                    link.writer.flush()
                    yield chunk
                    continue
                if stream.whole:
                    return
                if stream.outcome is not None:
                    raise CallCutError(stream.outcome.failure)
                left_s = call.deadline - self.clock.monotonic()
                if left_s <= 0:
                    raise CallCutError(Failure(kind=Kind.ANSWER_CUT, detail="deadline"))
                signal.wait(left_s)
        finally:
            self._cancel(link, stream)

    def _cancel(self, link: Link, stream: CallStream) -> None:
        link.streams.cancel(stream)
        if not link.streams.closed:
            link.writer.flush()

    def _link(self, record: NodeRecord, call: Call) -> Link | Failure:
        place = (record.node_id, record.call_address)
        link = self._link_by_address.get(place)
        if link is not None:
            return link
        opening = self._opening_by_address.get(place)
        if opening is None:
            opening = self._opening_by_address[place] = _Opening()
            eventlet.spawn_n(self._open, place, opening)
        signal = Signal()
        opening.waiters.append(signal)
        left_s = call.deadline - self.clock.monotonic()
        if not signal.wait(min(left_s, CONNECT_TIMEOUT_S)):
            return Failure(kind=Kind.NODE_UNREACHABLE, detail="connect timeout")
        link = self._link_by_address.get(place)
        if link is not None:
            return link
        return opening.failure or Failure(kind=Kind.NODE_UNREACHABLE)

    def _open(self, place: tuple[str, Address], opening: _Opening) -> None:
        node_id, address = place
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
            opening.failure = Failure(kind=Kind.NODE_UNREACHABLE, detail=detail)
        else:
            self._adopt(place, sock, node_id)
        del self._opening_by_address[place]
        for signal in opening.waiters:
            signal.fire()

    def _adopt(self, place: tuple[str, Address], sock: Any, node_id: str) -> None:
        streams = CallStreams(caller_id=self.own_id, expected_id=node_id)

        def forget(closed: Link) -> None:
            if self._link_by_address.get(place) is closed:
                del self._link_by_address[place]
            self.metrics.count("stream_late_frames", closed.streams.late_frames)

        link = Link(sock=sock, streams=streams, clock=self.clock, on_closed=forget)
        self._link_by_address[place] = link
        eventlet.spawn_n(link.read)

    def check(self) -> None:
        """Close the connections whose owners don't answer any more."""
        for link in self.links:
            link.check()

    def close_idle(self) -> None:
        """Close the connections without calls that were silent for long."""
        limit = self.clock.monotonic() - IDLE_TIMEOUT_S
        for link in self.links:
            if not link.streams.stream_by_id and link.heard_at < limit:
                link.close()


def hang_up(sock: Any) -> None:
    """End a connection both ways; the greenlet that reads it closes it."""
    with contextlib.suppress(OSError):
        sock.shutdown(socket.SHUT_RDWR)
