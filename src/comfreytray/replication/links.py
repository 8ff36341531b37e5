"""Connections between a source and its followers."""

from collections.abc import Callable
from types import TracebackType
from typing import Any

import eventlet
from eventlet.green import socket

from comfreytray.calls.outbox import Outbox
from comfreytray.calls.streamwriter import Writer, shut_down_socket
from comfreytray.common import logs
from comfreytray.common.connectionlimits import Rank
from comfreytray.common.errors import Failure, Kind
from comfreytray.common.interfaces import Address, Clock
from comfreytray.common.keepalive import enable_keepalive
from comfreytray.common.listening import SteadyListener
from comfreytray.common.turns import Turns
from comfreytray.replication import frames

CONNECT_TIMEOUT_S = 1.0
READ_BYTES = 65_536
HELLO_TIMEOUT_S = 3.0
MAX_HELLO_BYTES = 8192
"""Bytes within which a follower must have said who it is."""
MAX_OUTBOX_BYTES = 8_388_608
"""Unsent bytes at which a follower that does not read is disconnected."""
MAX_FOLLOWERS = 512


class Link:
    """One connection; reads frames until it ends and writes without blocking."""

    def __init__(
        self,
        *,
        sock: Any,
        peer: str,
        clock: Clock,
        on_frame: Callable[["Link", frames.Frame], None],
        is_known: bool = True,
    ) -> None:
        self.is_known = is_known
        """Whether the other end has said who it is, or need not."""
        self.peer = peer
        """Id of the node at the other end, or its address until it is known."""
        self.received_at = clock.monotonic()
        self.is_closed = False
        self.sock = sock
        self._clock = clock
        self._on_frame = on_frame
        self._outbox = Outbox()
        self._writer = Writer(sock=sock, outbox=self._outbox, on_lost=self.close)

    def send(self, packed: bytes) -> None:
        """Queue a frame; a peer that does not read is disconnected."""
        if self.is_closed:
            return
        if self._outbox.size > MAX_OUTBOX_BYTES:
            self._refuse(
                Failure(kind=Kind.FRAME_TOO_LARGE, detail="peer does not read")
            )
            return
        self._outbox.push(packed)
        self._writer.flush()

    def read(self) -> None:
        """Handle received frames until the connection ends."""
        decoder = frames.Decoder()
        turns = Turns()
        unknown_bytes = 0
        try:
            while not self.is_closed:
                received = self.sock.recv(READ_BYTES)
                if not received:
                    return
                turns.take()
                self.received_at = self._clock.monotonic()
                decoded = decoder.feed(received)
                if isinstance(decoded, Failure):
                    self._refuse(decoded)
                    return
                for frame in decoded:
                    self._on_frame(self, frame)
                if not self.is_known:
                    unknown_bytes += len(received)
                    if unknown_bytes > MAX_HELLO_BYTES:
                        detail = "no hello"
                        self._refuse(Failure(kind=Kind.FRAME_TOO_LARGE, detail=detail))
        except (OSError, EOFError):
            return
        finally:
            self.close()
            self._writer.close()

    def close(self) -> None:
        """Shut the connection down; the greenlet that reads it closes the socket."""
        if not self.is_closed:
            self.is_closed = True
            shut_down_socket(self.sock)

    def _refuse(self, failure: Failure) -> None:
        logs.warn(
            logs.Event.FRAME_REFUSED,
            peer=self.peer,
            kind=failure.kind.value,
            reason=failure.detail,
        )
        self.close()


class FollowerLinks:
    """Accepts followers and keeps the connections of those that said who they are."""

    def __init__(
        self,
        *,
        clock: Clock,
        on_frame: Callable[[Link, frames.Frame], None],
        on_joined: Callable[[Link], None],
    ) -> None:
        self._clock = clock
        self._on_frame = on_frame
        self._on_joined = on_joined
        self._links: set[Link] = set()
        self._known_sockets: set[Any] = set()
        self.link_by_id: dict[str, Link] = {}

    def __enter__(self) -> "FollowerLinks":
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        for link in list(self._links):
            link.close()

    def serve(self, listener: Any) -> None:
        """Accept connections until the listener is closed."""
        steady = SteadyListener(listener)
        while True:
            try:
                sock, address = steady.accept()
            except (OSError, EOFError):
                return
            if len(self._links) >= MAX_FOLLOWERS:
                sock.close()
                continue
            eventlet.spawn_n(self._serve_follower, sock, address)

    def rank_of(self, sock: Any) -> Rank:
        """Return whether a connection is that of a follower."""
        return Rank.IDLE if sock in self._known_sockets else Rank.UNKNOWN

    def send(self, packed: bytes) -> None:
        """Send a frame to all followers."""
        for link in list(self.link_by_id.values()):
            link.send(packed)

    def _serve_follower(self, sock: Any, address: Address) -> None:
        _prepare(sock)
        link = Link(
            sock=sock,
            peer=f"{address[0]}:{address[1]}",
            clock=self._clock,
            on_frame=self._receive,
            is_known=False,
        )
        self._links.add(link)
        eventlet.spawn_after(HELLO_TIMEOUT_S, self._close_if_unknown, link)
        try:
            link.read()
        finally:
            self._links.discard(link)
            self._known_sockets.discard(sock)
            if self.link_by_id.get(link.peer) is link:
                del self.link_by_id[link.peer]

    def _close_if_unknown(self, link: Link) -> None:
        if self.link_by_id.get(link.peer) is not link:
            link.close()

    def _receive(self, link: Link, frame: frames.Frame) -> None:
        if not isinstance(frame, frames.Hello):
            self._on_frame(link, frame)
            return
        link.peer, link.is_known = frame.node_id, True
        before = self.link_by_id.get(frame.node_id)
        self.link_by_id[frame.node_id] = link
        self._known_sockets.add(link.sock)
        if before is not None and before is not link:
            before.close()
        self._on_joined(link)


def follow(
    address: Address,
    *,
    own_id: str,
    source_id: str,
    clock: Clock,
    on_frame: Callable[[Link, frames.Frame], None],
) -> Link | Failure:
    """Connect to a source and say who follows it; the caller reads the link."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.settimeout(CONNECT_TIMEOUT_S)
        sock.connect(address)
        sock.settimeout(None)
    except (OSError, EOFError) as error:
        sock.close()
        return Failure(kind=Kind.NODE_UNREACHABLE, detail=type(error).__name__)
    except BaseException:
        sock.close()
        raise
    _prepare(sock)
    link = Link(sock=sock, peer=source_id, clock=clock, on_frame=on_frame)
    link.send(frames.pack_hello(own_id))
    return link


def _prepare(sock: Any) -> None:
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    enable_keepalive(sock)
