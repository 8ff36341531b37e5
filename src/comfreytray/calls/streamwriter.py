"""Writing to the connections of call streams without blocking."""

import contextlib
from collections.abc import Callable
from typing import Any

import eventlet
from eventlet.green import socket

from comfreytray.calls.outbox import Outbox


class Writer:
    """Writes an outbox to a socket without blocking its caller."""

    def __init__(self, *, sock: Any, outbox: Outbox, on_lost: Callable[[], None]):
        self.sock = sock
        self.outbox = outbox
        self.on_lost = on_lost
        # Not at once: a frame may just be queued for the same connection.
        outbox.shed = lambda: eventlet.spawn_n(on_lost)
        self.drain_waiters: list[Callable[[], None]] = []
        """Called once, after bytes were written next."""
        self._writing = False
        self._close_when_written = False

    def flush(self) -> None:
        """Write pending bytes without blocking; a greenlet writes the rest."""
        if self._writing or not self.outbox.size:
            return
        block = self.outbox.peek()
        try:
            sent = self.sock.fd.send(block)
        except BlockingIOError:
            sent = 0
        except OSError:
            self.on_lost()
            return
        self.outbox.discard_sent(sent)
        if self.outbox.size:
            self._writing = True
            eventlet.spawn_n(self._write_pending)

    def close(self) -> None:
        """Shut the socket down and close it once no greenlet writes to it."""
        shut_down_socket(self.sock)
        self.outbox.close()
        if self._writing:
            self._close_when_written = True
        else:
            self.sock.close()

    def _write_pending(self) -> None:
        try:
            while self.outbox.size:
                self.outbox.discard_sent(self.sock.send(self.outbox.peek()))
                waiters, self.drain_waiters = self.drain_waiters, []
                for wake in waiters:
                    wake()
        except OSError:
            self.on_lost()
        finally:
            self._writing = False
            if self._close_when_written:
                self.sock.close()


def shut_down_socket(sock: Any) -> None:
    """Shut down both directions; the greenlet that reads the socket closes it."""
    with contextlib.suppress(OSError):
        sock.shutdown(socket.SHUT_RDWR)
