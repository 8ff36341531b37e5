"""Tells the end of the instance beside a node from the loss of single connections."""

import math
from collections.abc import Callable, Iterable, Mapping
from typing import Any

import eventlet
from attrs import frozen
from eventlet.green import socket

from comfreytray.calls.call import Call
from comfreytray.calls.upstreamconnection import UpstreamConnection
from comfreytray.common.interfaces import Address, Clock

CHECK_PAUSES_S = (0.0, 0.02)
"""Pauses before each look: a process that ends closes its sockets one by one."""
CONNECT_TIMEOUT_S = 0.5


@frozen(kw_only=True)
class EndedInstance:
    """An instance that has ended, and the calls that were under way at it."""

    instance_id: str
    calls: tuple[Call, ...]


class EndDetector:
    """Checks after a lost call whether the instance has ended.

    It has if all its connections are closed and its port refuses new ones. A port that
    does not answer is no evidence: the instance may be paused or cut off.
    """

    def __init__(self, *, on_ended: Callable[[EndedInstance], None]) -> None:
        self._on_ended = on_ended
        self._check: Any = None
        self._ended_at = -math.inf

    def has_ended(
        self,
        address: Address,
        lost: UpstreamConnection,
        *,
        instance_id: str,
        call_by_connection: Mapping[UpstreamConnection, Call],
        idle: Iterable[UpstreamConnection],
    ) -> bool:
        """Whether the instance has ended; calls lost together share a check."""
        if not lost.is_closed:
            return False
        if lost.opened_at <= self._ended_at:
            return True
        if self._check is None:
            calls = [c for found, c in call_by_connection.items() if found.sent_bytes]
            ended = EndedInstance(instance_id=instance_id, calls=tuple(calls))
            connections = (*call_by_connection, *idle)
            self._check = eventlet.spawn(
                self._run_check, address, ended, connections, lost.clock
            )
        return bool(self._check.wait())

    def _run_check(
        self,
        address: Address,
        ended: EndedInstance,
        connections: tuple[UpstreamConnection, ...],
        clock: Clock,
    ) -> bool:
        try:
            if not _has_ended(address, connections):
                return False
        finally:
            self._check = None
        self._ended_at = clock.monotonic()
        self._on_ended(ended)
        return True


def _has_ended(address: Address, connections: tuple[UpstreamConnection, ...]) -> bool:
    for pause_s in CHECK_PAUSES_S:
        eventlet.sleep(pause_s)
        are_closed = all(connection.is_closed for connection in connections)
        if are_closed and _refuses_connections(address):
            return True
    return False


def _refuses_connections(address: Address) -> bool:
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.settimeout(CONNECT_TIMEOUT_S)
        sock.connect(address)
    except ConnectionRefusedError:
        return True
    except OSError:
        return False
    finally:
        sock.close()
    return False
