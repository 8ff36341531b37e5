"""Have the kernel notice connections whose other side is silent for good."""

import contextlib
import socket
from typing import Any

IDLE_S = 1
INTERVAL_S = 1
PROBES = 2
"""A dead peer is noticed within IDLE_S + PROBES * INTERVAL_S seconds."""
UNACKNOWLEDGED_MS = 3000
"""Time for which sent bytes may stay unacknowledged."""

OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, IDLE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBES),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS),
)


def notice_silence(sock: Any) -> None:
    """Turn on short keep-alive probes of a connection."""
    for level, option, value in OPTIONS:
        # A system without one of the options still works by time-outs.
        with contextlib.suppress(OSError):
            sock.setsockopt(level, option, value)
