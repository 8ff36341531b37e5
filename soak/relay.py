"""A relay on loopback that delays, cuts, silences and resets what it carries."""

import contextlib
import socket as plain_socket
from typing import Any

import eventlet

from standins.scripted import reset_at_close

SLOW_S = 0.3
CHUNK_BYTES = 65_536


class Relay:
    """Carry connections to one address, as its `mode` says.

    Modes: `open`; `slow` delays each part; `silent` takes bytes and passes none;
    `one-way` passes requests and no answers; `reset` resets what comes.
    """

    def __init__(self, target: tuple[str, int]) -> None:
        self.mode = "open"
        self._target = target
        self._listener = eventlet.listen(("127.0.0.1", 0))
        self.address: tuple[str, int] = self._listener.getsockname()
        self._sockets: set[Any] = set()
        eventlet.spawn(self._accept)

    def close(self) -> None:
        """Stop carrying."""
        self.mode = "reset"
        self.cut()

    def cut(self) -> None:
        """Reset all connections."""
        for sock in list(self._sockets):
            _reset(sock)

    def _accept(self) -> None:
        while True:
            near, _ = self._listener.accept()
            if self.mode == "reset":
                _reset(near)
                near.close()
                continue
            try:
                far = eventlet.connect(self._target)
            except OSError:
                near.close()
                continue
            self._sockets |= {near, far}
            eventlet.spawn_n(self._carry, near, far, True)
            eventlet.spawn_n(self._carry, far, near, False)

    def _carry(self, source: Any, target: Any, is_request: bool) -> None:
        try:
            while True:
                part = source.recv(CHUNK_BYTES)
                if self.mode == "slow":
                    eventlet.sleep(SLOW_S)
                swallowed = self.mode == "silent" or (
                    self.mode == "one-way" and not is_request
                )
                if not part:
                    break
                if not swallowed:
                    target.sendall(part)
        except (OSError, EOFError):
            # Either side ended; the other one is closed below.
            pass
        finally:
            # Each end is closed by its own reader only.
            with contextlib.suppress(OSError):
                target.shutdown(plain_socket.SHUT_RDWR)
            self._sockets.discard(source)
            source.close()


def _reset(sock: Any) -> None:
    # Whoever reads it closes it; a socket closed under its reader upsets the hub.
    with contextlib.suppress(OSError):
        reset_at_close(sock)
        sock.shutdown(plain_socket.SHUT_RDWR)
