"""Frames of a control stream: a length in four bytes, then one packed message."""

import struct
from collections.abc import Callable

from attrs import frozen

from comfreytray.common.errors import Failure, Kind
from comfreytray.common.interfaces import Address
from comfreytray.transport import wire

HEADER = struct.Struct("!I")


@wire.message(20)
@frozen(kw_only=True)
class Hello:
    """Open a control stream with the address at which the sender takes messages."""

    address: Address


def pack(message: object) -> bytes | Failure:
    """Frame a message, or say that it is too large."""
    data = wire.encode(message)
    if len(data) > wire.MAX_MESSAGE_BYTES:
        return Failure(kind=Kind.FRAME_TOO_LARGE, detail=f"{len(data)} bytes")
    return HEADER.pack(len(data)) + data


def read(receive: Callable[[int], bytes]) -> tuple[object, int] | Failure | None:
    """Read one message and its size on the wire; None when the stream has ended."""
    header = _read_exactly(receive, HEADER.size)
    if not header:
        return None
    if len(header) < HEADER.size:
        return Failure(kind=Kind.BAD_FRAME, detail="truncated header")
    (size,) = HEADER.unpack(header)
    if size > wire.MAX_MESSAGE_BYTES:
        return Failure(kind=Kind.FRAME_TOO_LARGE, detail=f"{size} bytes")
    data = _read_exactly(receive, size)
    if len(data) < size:
        return Failure(kind=Kind.BAD_FRAME, detail="truncated message")
    message = wire.decode(data)
    if isinstance(message, Failure):
        return message
    return message, HEADER.size + size


def _read_exactly(receive: Callable[[int], bytes], size: int) -> bytes:
    """Read bytes until there are enough or the stream ends."""
    data = bytearray()
    while len(data) < size:
        piece = receive(size - len(data))
        if not piece:
            break
        data += piece
    return bytes(data)
