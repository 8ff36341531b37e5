"""Datagrams and control streams between nodes, over UDP and TCP on one port."""

import random
from collections.abc import Callable
from types import TracebackType
from typing import Any, Self

import eventlet
from eventlet.green import socket

from comfreytray.common import logs
from comfreytray.common.errors import Failure, Kind
from comfreytray.common.interfaces import Address
from comfreytray.common.listening import SteadyListener
from comfreytray.common.metrics import Metrics
from comfreytray.common.turns import Turns
from comfreytray.transport import frames, wire
from comfreytray.transport.outbound import (
    OutboundStream,
    Quota,
    error_name,
    format_address,
)

HELLO_TIMEOUT_S = 5.0
READ_IDLE_TIMEOUT_S = 90.0
"""Inbound streams without data for so long are closed."""
READ_PAUSE_S = 0.1
"""Pause after a failed read of datagrams, whose error may last."""
MAX_INBOUND_STREAMS = 1024
EVICTION_THRESHOLD_STREAMS = 64
"""Number of outbound streams at which the state of idle ones is dropped."""
READ_CHUNK_BYTES = 64 * 1024
UDP_HEADER_BYTES = 28
"""Size of an IP and a UDP header, counted with each datagram."""
MAX_BIND_ATTEMPTS = 20
"""How many free TCP ports are tried until one is free for UDP too."""

Receiver = Callable[[Address, object, bool], None]
"""Called with the sender's address, the message and whether it is a datagram."""


class Transport:
    """Exchange messages with other nodes; sending never blocks.

    `region_of` maps addresses to regions, for the count of bytes between regions;
    `jitter` is the random source of back-offs.
    """

    def __init__(
        self,
        *,
        host: str,
        port: int,
        receive: Receiver,
        metrics: Metrics,
        region_of: Callable[[Address], str],
        region: str,
        jitter: random.Random | None = None,
    ) -> None:
        self.address: Address = (host, port)
        self._receive = receive
        self._metrics = metrics
        self._region_of = region_of
        self._region = region
        self._random = jitter or random.Random()
        self._outbound_by_address: dict[Address, OutboundStream] = {}
        self._quota = Quota()
        self._inbound: dict[Any, Any] = {}
        """Green thread that reads each inbound connection."""
        self._closed = False
        self._listener: Any = None
        self._datagrams: Any = None
        self._loops: list[Any] = []

    def __enter__(self) -> Self:
        self._bind()
        self._loops = [
            eventlet.spawn(self._accept_streams),
            eventlet.spawn(self._read_datagrams),
        ]
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._closed = True
        for loop in self._loops:
            loop.kill()
        for outbound in list(self._outbound_by_address.values()):
            outbound.close()
        for reader in list(self._inbound.values()):
            reader.kill()
        self._listener.close()
        self._datagrams.close()

    @property
    def queued_bytes(self) -> int:
        """Number of bytes queued on all outbound streams."""
        return self._quota.queued_bytes

    def send_datagram(self, to: Address, message: object) -> None:
        """Send a message as a datagram, which may be lost; by stream if too large."""
        data = wire.encode(message)
        if len(data) > wire.MAX_DATAGRAM_BYTES:
            self._metrics.count("datagram-too-large")
            self.send_stream(to, message)
            return
        try:
            # The underlying socket: if its buffer is full, the datagram is dropped
            # at once, where the green socket would wait.
            self._datagrams.fd.sendto(data, to)
        except OSError as error:
            self._metrics.count(f"datagram-lost-{error_name(error)}")
            return
        self._count_sent(to, message_purpose(message), len(data) + UDP_HEADER_BYTES)

    def send_stream(self, to: Address, message: object) -> None:
        """Queue a message to a peer; drop it while the peer accepts none."""
        if self._closed:
            return
        frame = frames.pack(message)
        if isinstance(frame, Failure):
            logs.warn(logs.Event.FRAME_REFUSED, to=to, reason=frame.kind.value)
            self._metrics.count("stream-frame-too-large")
            return
        self._outbound(to).send(message_purpose(message), frame)

    def _outbound(self, to: Address) -> OutboundStream:
        outbound = self._outbound_by_address.get(to)
        if outbound is None:
            self._evict_idle()
            outbound = self._outbound_by_address[to] = OutboundStream(
                to=to,
                source=self.address,
                quota=self._quota,
                metrics=self._metrics,
                jitter=self._random,
                on_sent=self._count_sent,
            )
        return outbound

    def _evict_idle(self) -> None:
        """Drop the state of peers without a stream, once there are many."""
        if len(self._outbound_by_address) < EVICTION_THRESHOLD_STREAMS:
            return
        for address, outbound in list(self._outbound_by_address.items()):
            if outbound.is_evictable:
                del self._outbound_by_address[address]

    def _accept_streams(self) -> None:
        listener = SteadyListener(self._listener)
        while True:
            connection, source = listener.accept()
            if len(self._inbound) >= MAX_INBOUND_STREAMS:
                self._metrics.count("stream-refused-full")
                connection.close()
                continue
            self._inbound[connection] = eventlet.spawn(
                self._read_stream, connection, source
            )

    def _read_stream(self, connection: Any, source: Address) -> None:
        """Deliver the messages of one stream until it ends or a frame is invalid."""
        try:
            connection.settimeout(HELLO_TIMEOUT_S)
            sender = self._read_hello(connection, source)
            if sender is None:
                return
            connection.settimeout(READ_IDLE_TIMEOUT_S)
            turns = Turns()
            while self._read_message(connection, sender):
                turns.take()
        except OSError as error:
            self._metrics.count(f"stream-read-{error_name(error)}")
        finally:
            self._inbound.pop(connection, None)
            connection.close()

    def _read_hello(self, connection: Any, source: Address) -> Address | None:
        found = frames.read(connection.recv)
        if found is None:
            return None
        if isinstance(found, Failure):
            self._refuse(source, found)
            return None
        hello, _ = found
        if not isinstance(hello, frames.Hello) or hello.address[0] != source[0]:
            self._refuse(source, Failure(kind=Kind.BAD_FRAME, detail="no valid hello"))
            return None
        return hello.address

    def _read_message(self, connection: Any, sender: Address) -> bool:
        """Deliver one message; false if the stream is to be closed."""
        found = frames.read(connection.recv)
        if found is None:
            return False
        if isinstance(found, Failure):
            self._refuse(sender, found)
            return False
        message, size = found
        self._count_received(sender, message_purpose(message), size)
        self._deliver(sender, message, datagram=False)
        return True

    def _read_datagrams(self) -> None:
        turns = Turns()
        while True:
            try:
                received = self._datagrams.recvfrom(READ_CHUNK_BYTES)
            except OSError as error:
                self._metrics.count(f"datagram-read-{error_name(error)}")
                eventlet.sleep(READ_PAUSE_S)
                continue
            if not received:
                # Eventlet's return value for some errors.
                eventlet.sleep(READ_PAUSE_S)
                continue
            turns.take()
            self._read_datagram(*received)

    def _read_datagram(self, data: bytes, source: Address) -> None:
        """Deliver the message of one datagram."""
        message = wire.decode(data)
        if isinstance(message, Failure):
            self._refuse(source, message)
            return
        size = len(data) + UDP_HEADER_BYTES
        self._count_received(source, message_purpose(message), size)
        self._deliver(source, message, datagram=True)

    def _deliver(self, sender: Address, message: object, *, datagram: bool) -> None:
        try:
            self._receive(sender, message, datagram)
        except Exception as error:
            # A message whose handling fails must not stop the read loop.
            self._metrics.count("message-failed")
            logs.warn(
                logs.Event.INTERNAL_ERROR,
                message=type(message).__name__,
                error=type(error).__name__,
                detail=error,
            )

    def _refuse(self, sender: Address, failure: Failure) -> None:
        self._metrics.count(f"frame-refused-{failure.kind.value}")
        logs.warn(
            logs.Event.FRAME_REFUSED,
            sender=format_address(sender),
            reason=failure.kind.value,
            detail=failure.detail,
        )

    def _count_sent(self, to: Address, purpose: str, size: int) -> None:
        self._metrics.add_bytes(purpose, self._region, self._region_of(to), size)

    def _count_received(self, sender: Address, purpose: str, size: int) -> None:
        flow = f"{purpose}-received"
        self._metrics.add_bytes(flow, self._region_of(sender), self._region, size)

    def _bind(self) -> None:
        """Bind the TCP and the UDP socket to one port; 0 selects a free one."""
        host, port = self.address
        for attempt in range(MAX_BIND_ATTEMPTS):
            listener = eventlet.listen((host, port), backlog=512)
            bound_port = listener.getsockname()[1]
            datagrams = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            try:
                datagrams.bind((host, bound_port))
            except OSError:
                listener.close()
                datagrams.close()
                if port or attempt == MAX_BIND_ATTEMPTS - 1:
                    raise
                continue
            self._listener, self._datagrams = listener, datagrams
            self.address = (host, bound_port)
            return


def message_purpose(message: object) -> str:
    """Return the purpose under which a message's bytes are counted."""
    return type(message).__name__.lower()
