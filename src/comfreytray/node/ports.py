"""The listening sockets of a node, and how many connections each port takes."""

import socket
from collections.abc import Mapping
from enum import Enum
from typing import Any

import eventlet
from attrs import frozen
from eventlet.greenio import GreenSocket

from comfreytray.common.connectionlimits import LimitedListener, RankOf, always_idle
from comfreytray.common.interfaces import Address
from comfreytray.common.metrics import Metrics

LISTEN_BACKLOG = 1024
RESERVED_DESCRIPTORS = 200
"""Descriptors of a process that are reserved for files."""


@frozen(kw_only=True)
class Share:
    """What the connections of a port may take of a process."""

    most: int
    """Connections at most, whatever the process has."""
    descriptors: float
    """Part of the descriptors."""
    memory: float
    """Part of the memory."""
    connection_bytes: int
    """Memory of a connection that waits for its peer."""


class Port(Enum):
    """The ports of a node."""

    CALLERS = "callers"
    NODES = "nodes"
    REPLICATION = "replication"
    INTERFACE = "interface"


SHARE_BY_PORT = {
    Port.CALLERS: Share(
        most=2000, descriptors=0.35, memory=0.375, connection_bytes=65_536
    ),
    Port.NODES: Share(most=1024, descriptors=0.2, memory=0.25, connection_bytes=65_536),
    Port.REPLICATION: Share(
        most=512, descriptors=0.1, memory=0.25, connection_bytes=65_536
    ),
    Port.INTERFACE: Share(
        most=64, descriptors=0.03125, memory=0.0625, connection_bytes=65_536
    ),
}
"""Without a part of the descriptors none would be left for endpoints and the store."""
MIN_CONNECTIONS = 4
RECEIVE_BUFFER_BYTES = 65_536
"""What the kernel takes of a peer that is no node and whose bytes are not read yet."""


def connections_for(port: Port, *, memory_bytes: float, max_fds: float) -> int:
    """Return how many connections a port takes."""
    share = SHARE_BY_PORT[port]
    free_descriptors = max(0.0, max_fds - RESERVED_DESCRIPTORS)
    limit = min(
        float(share.most),
        free_descriptors * share.descriptors,
        memory_bytes * share.memory / share.connection_bytes,
    )
    return max(MIN_CONNECTIONS, int(limit))


class Ports:
    """Opens the listening sockets of a node, unless they listen already."""

    def __init__(
        self,
        *,
        early: Mapping[Address, Any],
        memory_bytes: float,
        max_fds: float,
        metrics: Metrics,
    ) -> None:
        self._early = early
        self._memory_bytes = memory_bytes
        self._max_fds = max_fds
        self._metrics = metrics

    def listen(
        self,
        address: Address,
        port: Port,
        rank_of: RankOf = always_idle,
    ) -> LimitedListener:
        """Return the listener of an address, which limits its connections."""
        early = self._early.get(address)
        if early is None:
            sock = eventlet.listen(address, backlog=LISTEN_BACKLOG)
        else:
            sock = GreenSocket(early)
        if port in (Port.CALLERS, Port.INTERFACE):
            # Connections take it over from their listener.
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        limit = connections_for(
            port, memory_bytes=self._memory_bytes, max_fds=self._max_fds
        )
        return LimitedListener(
            sock,
            port=port.value,
            limit=limit,
            metrics=self._metrics,
            rank_of=rank_of,
        )
