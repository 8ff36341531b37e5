"""Waiting for peers to take what was written, before a connection closes."""

import fcntl
import struct
import termios
import time
from collections.abc import Callable
from typing import Any

import eventlet

POLL_S = 0.02
MAX_STALL_S = 0.5
"""Time without progress after which a peer is not waited for any longer."""
_INT = struct.Struct("i")


def unsent_bytes(sock: Any) -> int:
    """Return how many of the written bytes the peer has not confirmed.

    Returns 0 for a connection that is gone, or where the kernel doesn't tell.
    """
    try:
        size = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(_INT.size))
    except (OSError, ValueError):
        return 0
    return int(_INT.unpack(size)[0])


def wait_until_taken(count_unsent: Callable[[], int], timeout_s: float) -> None:
    """Wait until nothing is unsent; give up at the timeout or without progress."""
    began_at = moved_at = time.monotonic()
    least = unsent = count_unsent()
    while unsent:
        now = time.monotonic()
        if now - began_at >= timeout_s or now - moved_at >= MAX_STALL_S:
            return
        eventlet.sleep(POLL_S)
        unsent = count_unsent()
        if unsent < least:
            least, moved_at = unsent, now
