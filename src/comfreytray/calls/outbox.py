"""Bytes that wait to be written to a connection between nodes."""

from collections import deque
from collections.abc import Callable

from attrs import define

from comfreytray.calls.transitmemory import TransitMemory

MAX_BLOCK_BYTES = 65_536
"""Size up to which queued bytes are joined for one write; the rest stays as it is, so
that calls whose callers leave meanwhile can still be withdrawn."""


def _do_nothing() -> None:
    return None


@define(kw_only=True, eq=False)
class Block:
    """Bytes of the connection that are not written yet."""

    start: int
    """Offset in the connection."""
    data: bytes | bytearray
    is_sealed: bool = False
    """Whether nothing may be appended: a call, or a block handed to the kernel."""

    @property
    def end(self) -> int:
        """Return the offset behind the last byte, while it is queued."""
        return self.start + len(self.data)


class Outbox:
    """Queues frames in order; a call can be withdrawn until it is being written.

    Offsets go on counting over what was withdrawn.
    """

    def __init__(self, *, memory: TransitMemory | None = None) -> None:
        """Create it; `memory` bounds the unsent bytes of all outboxes."""
        self.shed: Callable[[], None] = _do_nothing
        """Closes the connection, whose peer does not read."""
        self.held_bytes = 0
        self._memory = memory
        self.enqueued = 0
        """Offset behind the last byte that was queued."""
        self.size = 0
        """Number of bytes not yet sent."""
        self._blocks: deque[Block] = deque()
        """Small frames are joined: one of a few bytes as an object of its own would
        take ten times its size."""
        self._is_writing = False
        """Whether the first block may have been handed to the kernel in part."""

    @property
    def sent(self) -> int:
        """Return the offset up to which all bytes were sent or withdrawn."""
        return self._blocks[0].start if self._blocks else self.enqueued

    def push(self, packed: bytes) -> int:
        """Queue bytes; return the offset of their end in the connection."""
        last = self._blocks[-1] if self._blocks else None
        is_first = len(self._blocks) == 1
        if (
            last is None
            or last.is_sealed
            or last.end != self.enqueued
            or (is_first and self._is_writing)
        ):
            last = Block(start=self.enqueued, data=bytearray())
            self._blocks.append(last)
        assert isinstance(last.data, bytearray)
        last.data += packed
        return self._count(packed)

    def push_call(self, packed: bytes) -> Block:
        """Queue the frame of a call, which may be withdrawn."""
        block = Block(start=self.enqueued, data=packed, is_sealed=True)
        self._blocks.append(block)
        self._count(packed)
        return block

    def withdraw(self, block: Block) -> bool:
        """Remove a call; return whether no byte of it was, or will be, written."""
        if block not in self._blocks:
            return False
        if self._is_writing and block is self._blocks[0]:
            return False
        self._blocks.remove(block)
        self.size -= len(block.data)
        self._release(len(block.data))
        return True

    def peek(self) -> bytes:
        """Return the next bytes to write, without removing them."""
        if not self._blocks:
            return b""
        first = self._blocks[0]
        if not self._is_writing:
            self._join(first)
            self._is_writing = True
        if isinstance(first.data, bytearray):
            first.data = bytes(first.data)
        return first.data

    def discard_sent(self, size: int) -> None:
        """Remove `size` bytes, which the kernel has accepted, from the front."""
        first = self._blocks[0]
        self.size -= size
        self._release(size)
        if size == len(first.data):
            # The stream of a call refers to its block for as long as the call runs.
            first.data = b""
            self._blocks.popleft()
            self._is_writing = False
            return
        first.data = first.data[size:]
        first.start += size

    def _count(self, packed: bytes) -> int:
        self.enqueued += len(packed)
        self.size += len(packed)
        if self._memory is not None:
            self._memory.hold(self, len(packed))
        return self.enqueued

    def close(self) -> None:
        """Count the unsent bytes of a closed connection no longer."""
        self._release(self.held_bytes)
        self._memory = None

    def _release(self, size: int) -> None:
        if self._memory is not None:
            self._memory.release(self, size)

    def _join(self, first: Block) -> None:
        """Append the blocks that follow without a gap to the first one."""
        parts = [bytes(first.data)]
        size = len(first.data)
        while len(self._blocks) > 1:
            following = self._blocks[1]
            size += len(following.data)
            if following.start != first.start + size - len(following.data):
                break
            if size > MAX_BLOCK_BYTES:
                break
            parts.append(bytes(following.data))
            following.data = b""
            del self._blocks[1]
        if len(parts) > 1:
            first.data = b"".join(parts)
            first.is_sealed = True
