"""Request bodies that are sent in parts, from a connection or from memory."""

from typing import Protocol

from comfreytray.common.exceptions import ComfreytrayError

PART_BYTES = 65_536
"""Largest part of a body."""
UPLOAD_WINDOW_BYTES = 262_144
"""Flow control: bytes of a body that one node sends to another in advance."""
UPLOAD_RESERVED_BYTES = UPLOAD_WINDOW_BYTES + 2 * PART_BYTES
"""Bytes that a node holds at most for one body: the window, and one part each that
is being received and sent."""


class UploadError(ComfreytrayError):
    """Raised when a body breaks off; `failure` tells why."""


class BufferedUpload:
    """A body that is held whole and sent when the other node asks for it."""

    def __init__(self, body: bytes) -> None:
        self.length: int | None = len(body)
        self.started = False
        self.complete = False
        self._body = memoryview(body)
        self._taken = 0

    def read(self) -> bytes:
        """Return the next part, empty at the end."""
        self.started = True
        part = bytes(self._body[self._taken : self._taken + PART_BYTES])
        self._taken += len(part)
        self.complete = self._taken == len(self._body)
        return part


class Upload(Protocol):
    """A body that is read once, part by part."""

    length: int | None
    """Declared bytes; None if only the end of the body shows its length."""
    started: bool
    """Whether any of it was taken, after which it can't be sent elsewhere."""
    complete: bool
    """Whether its last byte was taken."""

    def read(self) -> bytes:
        """Wait for the next part, empty at the end; raises UploadError."""
        ...
