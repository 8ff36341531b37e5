"""Listening sockets whose `accept` outlasts errors and gives way to other greenlets."""

import errno
from typing import Any

import eventlet

from comfreytray.common import logs
from comfreytray.common.turns import Turns

ACCEPT_PAUSE_S = 0.1
"""Pause after an error; the connection that caused it may still be queued."""
_ENDED = frozenset({errno.EBADF, errno.EINVAL, errno.ENOTSOCK})
"""Errors of a socket that was closed or shut down."""


class SteadyListener:
    """A listening socket; `accept` fails only once it is closed or shut down.

    A process without free descriptors, or a connection that is reset before it is
    accepted, must not end the server.
    """

    def __init__(self, sock: Any) -> None:
        self._sock = sock
        self._turns = Turns()
        self._is_failing = False

    def __getattr__(self, name: str) -> Any:
        return getattr(self._sock, name)

    def accept(self) -> Any:
        """Return the next connection and its address; raises OSError at the end."""
        while True:
            # A connection that is queued is returned without a switch.
            self._turns.take()
            try:
                accepted = self._sock.accept()
            except OSError as error:
                if self._has_ended(error):
                    raise
                self._note_failure(error)
                eventlet.sleep(ACCEPT_PAUSE_S)
                continue
            self._is_failing = False
            return accepted

    def _has_ended(self, error: OSError) -> bool:
        is_closed = isinstance(error, eventlet.hubs.IOClosed)
        return is_closed or error.errno in _ENDED or self._sock.fileno() < 0

    def _note_failure(self, error: OSError) -> None:
        if not self._is_failing:
            name = errno.errorcode.get(error.errno or 0, type(error).__name__)
            logs.warn(logs.Event.ACCEPT_FAILED, error=name)
        self._is_failing = True
