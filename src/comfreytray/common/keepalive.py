"""TCP keep-alive options that let the kernel detect dead peers."""

import contextlib
import socket
from typing import Any

IDLE_S = 1
INTERVAL_S = 1
PROBES = 2
"""A dead peer is detected within IDLE_S + PROBES * INTERVAL_S seconds."""
UNACKNOWLEDGED_MS = 3000
"""Longest time that sent bytes may stay unacknowledged, in milliseconds."""

OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, IDLE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBES),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS),
)


def enable_keepalive(sock: Any) -> None:
    """Turn on keep-alive probes with short intervals for a connection."""
    for level, option, value in OPTIONS:
        # On a system that lacks an option, time-outs still detect dead peers.
        with contextlib.suppress(OSError):
            sock.setsockopt(level, option, value)
