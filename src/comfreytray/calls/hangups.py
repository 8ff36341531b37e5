"""Find out whether a caller has hung up while its call waits."""

import fcntl
import io
import socket as plain_socket
import struct
import termios
from typing import Any

_PEEK_FLAGS = plain_socket.MSG_PEEK | plain_socket.MSG_DONTWAIT
_TCP_CLOSE = 7
"""State of a connection that was reset."""
_TCP_CLOSE_WAIT = 8
"""State of a connection of which the other end sends no more."""
_INT = struct.Struct("i")


def has_hung_up(source: Any) -> bool:
    """Whether the caller whose request has this input will not wait for an answer.

    The end of a connection shows only behind the bytes that were not read yet, which
    may be many of a body that waits for its turn.
    """
    if source is None:
        return False
    sock = source.get_socket()
    try:
        if not sock.fd.recv(1, _PEEK_FLAGS):
            return True
        state = sock.getsockopt(plain_socket.IPPROTO_TCP, plain_socket.TCP_INFO, 1)[0]
        if state == _TCP_CLOSE:
            return True
        return state == _TCP_CLOSE_WAIT and _is_cut(source, sock)
    except BlockingIOError:
        return False
    except OSError:
        return True


def _is_cut(source: Any, sock: Any) -> bool:
    """Whether less of the body has come than is missing, and no more will."""
    if source.chunked_input:
        return False
    unread = _INT.unpack(fcntl.ioctl(sock.fileno(), termios.FIONREAD, bytes(4)))[0]
    buffered = io.DEFAULT_BUFFER_SIZE
    missing: int = source.content_length - source.position
    return bool(missing > unread + buffered)
