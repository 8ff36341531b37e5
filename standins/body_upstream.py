"""An upstream that reads the bodies of requests as they arrive and keeps no part."""

import contextlib
import hashlib
import re
from collections.abc import Callable, Iterator
from typing import Any

import eventlet
from attrs import define, field

from standins.scripted import reset_at_close

PART_BYTES = 65_536


@define(kw_only=True, eq=False)
class ReceivedBody:
    """What the upstream has received of one request."""

    head: bytes
    size: int = 0
    digest: Any = field(factory=hashlib.blake2b)
    whole: bool = False
    """Whether the end of the body was received."""
    cut: bool = False
    """Whether the connection ended before the end of the body."""


class BodyUpstream:
    """Counts and digests bodies; answers at their end, or earlier if told to."""

    def __init__(self, answer_to: Callable[[bytes], bytes]) -> None:
        self.answer_to = answer_to
        """Returns the answer to a request by its head."""
        self.bodies: list[ReceivedBody] = []
        self.part_delay_s = 0.0
        self.answer_at = self.reset_at = self.pause_at = float("inf")
        """Bytes of a body after which the upstream answers and reads no further,
        resets the connection, or stops reading."""
        self.listener = eventlet.listen(("127.0.0.1", 0))
        self.port: int = self.listener.getsockname()[1]
        self._greenlet = eventlet.spawn(self._accept)

    def close(self) -> None:
        """Stop accepting."""
        self._greenlet.kill()
        self.listener.close()

    def _accept(self) -> None:
        while True:
            sock, _ = self.listener.accept()
            eventlet.spawn_n(self._serve, sock)

    def _serve(self, sock: Any) -> None:
        source = sock.makefile("rb")
        with contextlib.closing(sock), contextlib.suppress(OSError):
            while self._serve_request(sock, source):
                pass

    def _serve_request(self, sock: Any, source: Any) -> bool:
        head = b""
        while line := source.readline():
            if line == b"\r\n":
                break
            head += line
        if not line:
            return False
        body = ReceivedBody(head=head)
        self.bodies.append(body)
        try:
            for part in _read_parts(source, head):
                body.size += len(part)
                body.digest.update(part)
                eventlet.sleep(self.part_delay_s)
                if body.size >= self.reset_at:
                    reset_at_close(sock)
                    return False
                while body.size >= self.pause_at:
                    eventlet.sleep(0.01)
                if body.size >= self.answer_at:
                    sock.sendall(self.answer_to(head))
                    # Reads no further, and waits for the other end to close.
                    eventlet.sleep(1.0)
                    return False
        except (EOFError, OSError):
            body.cut = True
            return False
        body.whole = True
        sock.sendall(self.answer_to(head))
        return True


def _read_parts(source: Any, head: bytes) -> Iterator[bytes]:
    """Yield the parts of a body; raises EOFError if it is cut."""
    length = re.search(rb"(?i)\r\ncontent-length: (\d+)", head)
    if length is not None:
        yield from _read_exactly(source, int(length[1]))
        return
    if re.search(rb"(?i)\r\ntransfer-encoding: chunked", head) is None:
        return
    while size := int(_read_line(source), 16):
        yield from _read_exactly(source, size)
        _read_line(source)
    _read_line(source)


def _read_line(source: Any) -> bytes:
    line: bytes = source.readline()
    if not line.endswith(b"\r\n"):
        raise EOFError
    return line


def _read_exactly(source: Any, size: int) -> Iterator[bytes]:
    while size:
        part = source.read(min(size, PART_BYTES))
        if not part:
            raise EOFError
        size -= len(part)
        yield part
