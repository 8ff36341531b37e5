"""What a node does before its imports, which take a second on a small machine.

Callers and the instance beside the node that connect meanwhile wait in the queue of a
socket; without it they would be refused and use up their retries. A signal to stop that
comes meanwhile is kept, so that these callers are answered before the node ends. Only
the standard library is imported here.
"""

import json
import math
import os
import signal
import socket
import time
from types import FrameType

FILE_VARIABLE = "COMFREYTRAY_NODE_FILE"
"""Environment variable that holds the path of the settings file."""
LISTEN_BACKLOG = 1024
_FIELDS = ("outbound", "control")
"""Addresses for callers, and for the heartbeats of the instance beside the node."""

Address = tuple[str, int]
"""As in `common.interfaces`, which imports more than the standard library."""


class EarlyStart:
    """The sockets that listen already, and whether the node was told to stop."""

    def __init__(self) -> None:
        self.began_at = time.monotonic()
        self.listeners: dict[Address, socket.socket] = {}
        self.stop_requested_at = math.inf
        """When the node was told to stop, a monotonic time; infinite if it wasn't."""

    def request_stop(self, _: int, __: FrameType | None) -> None:
        """Handle a signal to stop."""
        self.stop_requested_at = min(self.stop_requested_at, time.monotonic())


def begin() -> EarlyStart:
    """Keep signals to stop and open the listening sockets."""
    early = EarlyStart()
    signal.signal(signal.SIGTERM, early.request_stop)
    signal.signal(signal.SIGINT, early.request_stop)
    early.listeners = open_early()
    return early


def open_early() -> dict[Address, socket.socket]:
    """Listen on the addresses in the settings file; skip what is missing or invalid.

    The checks of the settings, with their error messages, follow after the imports.
    """
    listeners: dict[Address, socket.socket] = {}
    try:
        with open(os.environ[FILE_VARIABLE], encoding="utf-8") as file:
            listen = json.load(file)["listen"]
        for field in _FIELDS:
            host, _, port = listen[field].rpartition(":")
            address = (host, int(port))
            listeners[address] = _listen(address)
    except (OSError, ValueError, KeyError, TypeError, AttributeError):
        return listeners
    return listeners


def _listen(address: Address) -> socket.socket:
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(address)
        listener.listen(LISTEN_BACKLOG)
    except BaseException:
        listener.close()
        raise
    return listener
