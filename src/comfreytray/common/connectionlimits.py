"""A limit on the connections of a port: whom a newcomer replaces."""

import contextlib
import socket as plain_socket
import struct
import time
from collections.abc import Callable, Iterable
from enum import IntEnum
from typing import Any

import eventlet

from comfreytray.common import logs
from comfreytray.common.metrics import Metrics

LOG_PERIOD_S = 1.0
"""Time between two log lines of a port on connections that were closed."""
_RESET = struct.pack("ii", 1, 0)


class Rank(IntEnum):
    """What the node has of a connection; the lowest is shed first."""

    UNKNOWN = 0
    """Its peer has not said yet who it is."""
    IDLE = 1
    SERVED = 2
    """The node owes its peer something."""


RankOf = Callable[[Any], Rank]
"""Return the rank of a socket."""


def always_idle(sock: Any) -> Rank:
    """Rank connections that are served by the greenlet that reads them."""
    del sock
    return Rank.IDLE


class Connection:
    """One connection, and since when it waits for its peer."""

    def __init__(
        self,
        *,
        sock: Any,
        clock: Callable[[], float],
        on_closed: Callable[["Connection"], None] = lambda _: None,
    ) -> None:
        self.sock = sock
        self.silent_since: float | None = None
        """When the node began to wait for bytes of the peer."""
        self.unread_since: float | None = None
        """When the node began to wait for the peer to take bytes."""
        self.waited_at = clock()
        """When the node last ended a wait for the peer."""
        self._clock = clock
        self._wait = sock._trampoline
        # Every wait of the socket for its descriptor passes through here.
        sock._trampoline = self._note_wait
        self._on_closed = on_closed
        self._close = sock.close
        sock.close = self._note_close

    def order(self, rank_of: RankOf) -> tuple[Rank, float] | None:
        """Return its place among those that may end; None if it may not."""
        rank = rank_of(self.sock)
        if self.unread_since is not None:
            return min(rank, Rank.IDLE), self.unread_since
        if rank is Rank.SERVED:
            return None
        if self.silent_since is None:
            # Its peer has sent ahead what the node has not come to.
            return Rank.SERVED, self.waited_at
        return rank, self.silent_since

    def shed(self) -> None:
        """End the connection; the greenlets that wait for it close it."""
        with contextlib.suppress(OSError):
            if self.unread_since is not None:
                # The kernel would keep the bytes that nobody takes.
                option = (plain_socket.SOL_SOCKET, plain_socket.SO_LINGER)
                self.sock.setsockopt(*option, _RESET)
            self.sock.shutdown(plain_socket.SHUT_RDWR)

    def _note_close(self) -> None:
        self._on_closed(self)
        self._close()

    def _note_wait(
        self, fd: Any, read: bool = False, write: bool = False, **options: Any
    ) -> Any:
        name = "unread_since" if write else "silent_since"
        setattr(self, name, self._clock())
        try:
            return self._wait(fd, read=read, write=write, **options)
        finally:
            setattr(self, name, None)
            self.waited_at = self._clock()


def least_useful(
    connections: Iterable[Connection], rank_of: RankOf
) -> Connection | None:
    """Return the one whose peer has done nothing for longest, if any may end."""
    waiting = [
        (order, connection)
        for connection in connections
        if (order := connection.order(rank_of)) is not None
    ]
    return min(waiting, key=lambda pair: pair[0])[1] if waiting else None


class LimitedListener:
    """A listening socket with a limit on the connections that it has accepted.

    Over the limit the least useful connection ends, or the newcomer if the node owes
    something to all others.
    """

    def __init__(
        self,
        sock: Any,
        *,
        port: str,
        limit: int,
        metrics: Metrics,
        rank_of: RankOf = always_idle,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._sock = sock
        self._port = port
        self._limit = limit
        self._metrics = metrics
        self._rank_of = rank_of
        self._clock = clock
        self._connections: set[Connection] = set()
        self._logged_at = -LOG_PERIOD_S

    def __getattr__(self, name: str) -> Any:
        return getattr(self._sock, name)

    def accept(self) -> Any:
        """Return the next connection and its address; raises OSError."""
        while True:
            sock, address = self._sock.accept()
            if self._has_room():
                self._connections.add(
                    Connection(
                        sock=sock,
                        clock=self._clock,
                        on_closed=self._connections.discard,
                    )
                )
                return sock, address
            sock.close()
            eventlet.sleep(0)

    def _has_room(self) -> bool:
        if len(self._connections) < self._limit:
            return True
        self._note_shed()
        victim = least_useful(self._connections, self._rank_of)
        if victim is None:
            return False
        self._connections.discard(victim)
        victim.shed()
        return True

    def _note_shed(self) -> None:
        self._metrics.count(f"connections_shed_{self._port}")
        now = self._clock()
        if now - self._logged_at >= LOG_PERIOD_S:
            self._logged_at = now
            logs.warn(
                logs.Event.CONNECTION_SHED, port=self._port, connections=self._limit
            )
