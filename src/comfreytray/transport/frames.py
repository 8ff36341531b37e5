"""Frames of a control stream: a four-byte length, then one msgpack message."""

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
    """First message on a control stream: the sender's own control address."""

    address: Address


def pack(message: object) -> bytes | Failure:
    """Return the frame of a message, or a failure if it is too large."""
    data = wire.encode(message)
    if len(data) > wire.MAX_MESSAGE_BYTES:
        return Failure(kind=Kind.FRAME_TOO_LARGE, detail=f"{len(data)} bytes")
    return HEADER.pack(len(data)) + data


def read(receive: Callable[[int], bytes]) -> tuple[object, int] | Failure | None:
    """Read one message; return it with its size on the wire, None at the stream's end.

    `receive` reads at most the given number of bytes, and none at the end.
    """
    header = _read_exactly(receive, HEADER.size)
    if not header:
        return None
    if len(header) < HEADER.size:
        return Failure(
            kind=Kind.BAD_FRAME,
            detail=f"truncated header: got {len(header)} of {HEADER.size} bytes",
        )
    (size,) = HEADER.unpack(header)
    if size > wire.MAX_MESSAGE_BYTES:
        return Failure(kind=Kind.FRAME_TOO_LARGE, detail=f"{size} bytes")
    data = _read_exactly(receive, size)
    if len(data) < size:
        return Failure(
            kind=Kind.BAD_FRAME,
            detail=f"truncated message: got {len(data)} of {size} bytes",
        )
    message = wire.decode(data)
    if isinstance(message, Failure):
        return message
    return message, HEADER.size + size


def _read_exactly(receive: Callable[[int], bytes], size: int) -> bytes:
    """Read bytes until there are enough or the stream ends."""
    data = bytearray()
    while len(data) < size:
        chunk = receive(size - len(data))
        if not chunk:
            break
        data += chunk
    return bytes(data)
