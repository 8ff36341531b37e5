"""A TCP relay on loopback that delays, discards or resets the traffic it forwards."""

import contextlib
import socket as plain_socket
from typing import Any

import eventlet

from standins.scripted import reset_at_close

SLOW_S = 0.3
CHUNK_BYTES = 65_536


class Relay:
    """Forward connections to one address, subject to `mode`.

    Modes: `open` forwards; `slow` delays each chunk; `silent` discards all data;
    `one-way` discards answers only; `reset` resets new connections.
    """

    def __init__(self, target: tuple[str, int]) -> None:
        self.mode = "open"
        self._target = target
        self._listener = eventlet.listen(("127.0.0.1", 0))
        self.address: tuple[str, int] = self._listener.getsockname()
        self._sockets: set[Any] = set()
        eventlet.spawn(self._accept)

    def close(self) -> None:
        """Reset all connections and any new ones."""
        self.mode = "reset"
        self.cut()

    def cut(self) -> None:
        """Reset all connections."""
        for sock in list(self._sockets):
            _reset(sock)

    def _accept(self) -> None:
        while True:
            client, _ = self._listener.accept()
            if self.mode == "reset":
                _reset(client)
                client.close()
                continue
            try:
                server = eventlet.connect(self._target)
            except OSError:
                client.close()
                continue
            self._sockets |= {client, server}
            eventlet.spawn_n(self._forward, client, server, True)
            eventlet.spawn_n(self._forward, server, client, False)

    def _forward(self, source: Any, target: Any, is_request: bool) -> None:
        try:
            while True:
                data = source.recv(CHUNK_BYTES)
                if self.mode == "slow":
                    eventlet.sleep(SLOW_S)
                discarded = self.mode == "silent" or (
                    self.mode == "one-way" and not is_request
                )
                if not data:
                    break
                if not discarded:
                    target.sendall(data)
        except (OSError, EOFError):
            # One side has closed or reset; the other is shut down below.
            pass
        finally:
            # Each socket is closed only by the greenlet that reads it.
            with contextlib.suppress(OSError):
                target.shutdown(plain_socket.SHUT_RDWR)
            self._sockets.discard(source)
            source.close()


def _reset(sock: Any) -> None:
    # Its reader closes it: eventlet's hub fails if a socket is closed while another
    # greenlet reads from it.
    with contextlib.suppress(OSError):
        reset_at_close(sock)
        sock.shutdown(plain_socket.SHUT_RDWR)
