"""Control streams to other nodes: opened on demand, with bounded queues."""

import errno
import random
import time
from collections import deque
from collections.abc import Callable
from typing import Any

import eventlet
from attrs import define
from eventlet.green import socket

from comfreytray.common import logs
from comfreytray.common.budgets import Backoff
from comfreytray.common.interfaces import Address
from comfreytray.common.metrics import Metrics
from comfreytray.transport import frames, wire

CONNECT_TIMEOUT_S = 2.0
SEND_TIMEOUT_S = 10.0
SEND_IDLE_TIMEOUT_S = 30.0
MIN_BACKOFF_S = 0.2
MAX_BACKOFF_S = 5.0
MAX_PEER_QUEUE_BYTES = 2 * wire.MAX_MESSAGE_BYTES
MAX_TOTAL_QUEUE_BYTES = 8 * 1024 * 1024


@define(kw_only=True)
class Quota:
    """Count of the bytes queued on all streams, which share one limit."""

    queued_bytes: int = 0


class OutboundStream:
    """Send frames to one peer in order; drop them while the peer is unreachable.

    `jitter` is the random source of the back-off; `on_sent` is called with the peer,
    the purpose and the size in bytes of each frame sent.
    """

    def __init__(
        self,
        *,
        to: Address,
        source: Address,
        quota: Quota,
        metrics: Metrics,
        jitter: random.Random,
        on_sent: Callable[[Address, str, int], None],
    ) -> None:
        self.to = to
        self._source = source
        self._quota = quota
        self._metrics = metrics
        self._on_sent = on_sent
        self._queue: deque[tuple[str, bytes]] = deque()
        """Purposes and frames."""
        self._queued_bytes = 0
        self._sender: Any = None
        """Green thread that sends, None while no stream is open or being opened."""
        self._wake: Any = None
        """Event on which the sender waits while the queue is empty."""
        self._backoff = Backoff(random=jitter, min_s=MIN_BACKOFF_S, max_s=MAX_BACKOFF_S)
        self._retry_at_s = 0.0

    @property
    def is_evictable(self) -> bool:
        """Whether there is no stream and no back-off, so no state would be lost."""
        return self._sender is None and time.monotonic() > self._retry_at_s

    def send(self, purpose: str, frame: bytes) -> None:
        """Queue a frame; drop it during back-off or if a queue limit is reached."""
        if time.monotonic() < self._retry_at_s:
            self._metrics.count("stream-dropped-backoff")
            return
        if self._is_full(len(frame)):
            self._metrics.count("stream-dropped-full")
            return
        self._queue.append((purpose, frame))
        self._count_queued(len(frame))
        if self._sender is None:
            self._sender = eventlet.spawn(self._run)
        elif self._wake is not None and not self._wake.ready():
            self._wake.send()

    def close(self) -> None:
        """Stop sending and drop the queued frames."""
        if self._sender is not None:
            self._sender.kill()
        self._drop_queued()

    def _is_full(self, size: int) -> bool:
        if self._queued_bytes + size > MAX_PEER_QUEUE_BYTES:
            return True
        return self._quota.queued_bytes + size > MAX_TOTAL_QUEUE_BYTES

    def _count_queued(self, size: int) -> None:
        self._queued_bytes += size
        self._quota.queued_bytes += size

    def _run(self) -> None:
        """Connect, send the queued frames, and close the stream when it is idle."""
        connection: Any = None
        try:
            while self._queue:
                connection = self._connect()
                if not self._send_queued(connection):
                    raise ConnectionAbortedError(
                        errno.ECONNABORTED, "closed by the peer before any frame"
                    )
                connection.close()
        except (OSError, eventlet.Timeout) as error:
            outcome = "broken" if connection is not None else "connect-failed"
            self._metrics.count(f"stream-{outcome}")
            self._back_off(error)
        finally:
            if connection is not None:
                connection.close()
            self._sender = None
            self._wake = None

    def _connect(self) -> Any:
        with eventlet.Timeout(CONNECT_TIMEOUT_S):
            connection = eventlet.connect(self.to, bind=(self._source[0], 0))
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            hello = frames.pack(frames.Hello(address=self._source))
            assert isinstance(hello, bytes)
            connection.sendall(hello)
        logs.log(logs.Event.STREAM_OPENED, to=format_address(self.to))
        self._on_sent(self.to, "hello", len(hello))
        return connection

    def _send_queued(self, connection: Any) -> bool:
        """Send frames until the stream is idle for too long or closed by the peer.

        Returns false if the peer closed it before any of them.
        """
        has_sent = False
        while not _is_closed(connection):
            while self._queue:
                purpose, frame = self._queue[0]
                with eventlet.Timeout(SEND_TIMEOUT_S):
                    connection.sendall(frame)
                has_sent = True
                self._queue.popleft()
                self._count_queued(-len(frame))
                self._on_sent(self.to, purpose, len(frame))
                self._backoff.reset()
            if not self._wait_for_more():
                break
        return has_sent

    def _wait_for_more(self) -> bool:
        """Wait for a frame to send; false if none came within the idle time-out."""
        self._wake = eventlet.Event()
        with eventlet.Timeout(SEND_IDLE_TIMEOUT_S, False):
            self._wake.wait()
        self._wake = None
        return bool(self._queue)

    def _back_off(self, error: BaseException) -> None:
        """Drop the queued frames and accept none for a jittered, capped time."""
        self._drop_queued()
        self._retry_at_s = time.monotonic() + self._backoff.next_s()
        reason = error_name(error)
        logs.log(logs.Event.STREAM_CLOSED, to=format_address(self.to), reason=reason)

    def _drop_queued(self) -> None:
        self._metrics.count("stream-dropped-broken", len(self._queue))
        self._queue.clear()
        self._count_queued(-self._queued_bytes)


def _is_closed(connection: Any) -> bool:
    """Whether the peer has closed a stream, on which it never sends anything."""
    try:
        return bool(connection.fd.recv(1, socket.MSG_DONTWAIT) == b"")
    except BlockingIOError:
        return False
    except OSError:
        return True


def error_name(error: BaseException) -> str:
    """Return the name of a socket error for logs and counters."""
    if isinstance(error, eventlet.Timeout | TimeoutError):
        return "timeout"
    number = getattr(error, "errno", None)
    return errno.errorcode.get(number or 0, type(error).__name__).lower()


def format_address(address: Address) -> str:
    """Return an address as `host:port`."""
    return f"{address[0]}:{address[1]}"
