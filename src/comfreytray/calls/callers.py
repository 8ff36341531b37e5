"""Connections of callers: accepting, tracking, and closing them at a graceful stop."""

import contextlib
import socket as plain_socket
from collections import deque
from collections.abc import Callable
from typing import Any
from weakref import WeakSet

import eventlet
from attrs import define
from eventlet.event import Event
from eventlet.greenio import GreenSocket
from eventlet.hubs import notify_opened

from comfreytray.common import logs
from comfreytray.common.listening import SteadyListener
from comfreytray.common.unsent import unsent_bytes, wait_until_taken

POLL_S = 0.02
MAX_QUEUED = 1_025
"""Connections that the kernel holds for a listener, at most: its backlog and one."""
FIRST_REQUEST_S = 0.5
"""Time in which the first request of a new connection is awaited during a stop."""
LINGER_S = 0.5
"""Time to read and discard what a caller still sends before the connection closes."""
MAX_LINGER_S = 3.0
"""Time for which a caller that goes on taking its answers may take."""
MAX_LINGER_BYTES = 2_097_152
READ_BYTES = 65_536
_PEEK_FLAGS = plain_socket.MSG_PEEK | plain_socket.MSG_DONTWAIT


class HeadTimeoutError(Exception):
    """Raised in the greenlet that reads a head which was not complete in time."""


@define(kw_only=True, eq=False)
class PendingHead:
    """A request head of which the first byte has arrived."""

    greenlet: Any
    """The greenlet that reads it."""
    started_at: float


class CallerConnections:
    """Tracks which connections of callers are idle and which carry a request."""

    def __init__(self) -> None:
        self.idle_sockets: set[Any] = set()
        self.busy_sockets: set[Any] = set()
        self.shut_sockets: set[Any] = set()
        """Connections whose read side this node has shut down; a request that arrived
        meanwhile still runs, and an end of input there does not mean that the caller
        has hung up."""
        self.stopping = False
        self._used_sockets: set[Any] = set()
        """Connections that have carried a request."""
        self._accepted_sockets: WeakSet[Any] = WeakSet()
        """Connections that the server has not begun to serve."""

    def mark_accepted(self, sock: Any) -> None:
        """Record that a connection was accepted, which the server will serve."""
        self._accepted_sockets.add(sock)

    def mark_idle(self, sock: Any) -> None:
        """Record that a connection waits for its next request."""
        self._accepted_sockets.discard(sock)
        self.busy_sockets.discard(sock)
        self.idle_sockets.add(sock)
        if self.stopping and sock in self._used_sockets:
            self.shut_reading(sock)

    def shut_reading(self, sock: Any) -> None:
        """Read no further request from a connection."""
        self.shut_sockets.add(sock)
        shut_down_reading(sock)

    def mark_busy(self, sock: Any) -> None:
        """Record that a connection carries a request."""
        self.idle_sockets.discard(sock)
        self.busy_sockets.add(sock)
        self._used_sockets.add(sock)

    def remove(self, sock: Any) -> None:
        """Stop tracking a connection."""
        self.idle_sockets.discard(sock)
        self.busy_sockets.discard(sock)
        self.shut_sockets.discard(sock)
        self._used_sockets.discard(sock)

    def stop(self, timeout_s: float) -> bool:
        """Close idle connections and wait for busy ones; false if some did not finish.

        A request whose first byte has arrived still runs and gets its answer. A caller
        that has just connected is about to send one, so new connections stay open for
        a moment.
        """
        self.stopping = True
        self._shut_idle(self.idle_sockets & self._used_sockets)
        with eventlet.Timeout(timeout_s, False):
            with eventlet.Timeout(FIRST_REQUEST_S, False):
                self._wait_until_closed()
            self._shut_idle(self.idle_sockets)
            self._wait_until_closed()
            return True
        return False

    def _shut_idle(self, idle: set[Any]) -> None:
        for sock in list(idle):
            if not _has_pending_input(sock):
                self.shut_reading(sock)

    def _wait_until_closed(self) -> None:
        while self.idle_sockets or self.busy_sockets or self._has_accepted():
            eventlet.sleep(POLL_S)

    def _has_accepted(self) -> bool:
        """Whether a connection, unless it has failed, is still to be served."""
        return any(sock.fileno() >= 0 for sock in self._accepted_sockets)


class Listener(SteadyListener):
    """A listening socket that can stop accepting while the server still runs."""

    def __init__(
        self, sock: Any, *, on_accept: Callable[[Any], None] = lambda _: None
    ) -> None:
        """Create it; `on_accept` gets each connection that was accepted."""
        super().__init__(sock)
        self._on_accept = on_accept
        self._stopping = False
        self._queued: deque[Any] = deque()
        """Connections that were accepted as the stop began."""
        self._ended = Event()

    def accept(self) -> Any:
        """Return the next connection; raises SystemExit at `end`, after a stop."""
        if not self._stopping:
            try:
                accepted = super().accept()
            except OSError:
                if not self._stopping:
                    raise
            else:
                self._on_accept(accepted[0])
                return accepted
        if self._queued:
            return self._queued.popleft()
        self._ended.wait()
        raise SystemExit

    def stop_accepting(self) -> None:
        """Refuse new connections.

        Those that wait in the kernel's queue, which a shutdown would reset, are served:
        their requests may already have arrived.
        """
        self._stopping = True
        with contextlib.suppress(OSError):
            self._take_queued()
        with contextlib.suppress(OSError):
            self._sock.shutdown(plain_socket.SHUT_RDWR)
        if self._queued:
            logs.log(logs.Event.CONNECTIONS_TAKEN, count=len(self._queued))

    def _take_queued(self) -> None:
        """Accept without waiting; raises OSError once no connection is queued."""
        listener = self._sock.fd
        while len(self._queued) < MAX_QUEUED:
            plain, address = listener.accept()
            notify_opened(plain.fileno())
            sock = GreenSocket(plain)
            self._on_accept(sock)
            self._queued.append((sock, address))

    def end(self) -> None:
        """End the server, which waits in `accept` after a stop."""
        if not self._ended.ready():
            self._ended.send()


def _has_pending_input(sock: Any) -> bool:
    try:
        return bool(sock.fd.recv(1, _PEEK_FLAGS))
    except OSError:
        return False


def shut_down_reading(sock: Any) -> None:
    """Shut down the read side of a connection; writes still go out."""
    with contextlib.suppress(OSError):
        sock.shutdown(plain_socket.SHUT_RD)


def linger(sock: Any) -> None:
    """Read on for a moment: closing with unread bytes would reset the connection.

    A reset can reach the caller before the answer and discard it.
    """
    with contextlib.suppress(OSError), eventlet.Timeout(LINGER_S, False):
        sock.shutdown(plain_socket.SHUT_WR)
        remaining = MAX_LINGER_BYTES
        while remaining > 0:
            part = sock.recv(READ_BYTES)
            if not part:
                return
            remaining -= len(part)


def linger_until_taken(sock: Any) -> None:
    """Discard what a caller sent ahead while it takes its answers.

    Both sides stay as they are: once both were shut down, further input would reset the
    connection as well.
    """
    remaining = MAX_LINGER_BYTES

    def discard_and_count() -> int:
        nonlocal remaining
        remaining -= _discard_input(sock, remaining)
        return unsent_bytes(sock) if remaining > 0 else 0

    with contextlib.suppress(OSError):
        wait_until_taken(discard_and_count, MAX_LINGER_S)


def _discard_input(sock: Any, limit: int) -> int:
    """Discard up to `limit` bytes that have come; return how many there were."""
    discarded = 0
    with contextlib.suppress(BlockingIOError):
        while discarded < limit:
            part = sock.fd.recv(READ_BYTES)
            if not part:
                break
            discarded += len(part)
    return discarded
