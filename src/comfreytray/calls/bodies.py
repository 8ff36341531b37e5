"""Read the body of a request so that no two readers could differ on its end."""

import re
from typing import Any

from eventlet import wsgi

from comfreytray.calls.heads import MAX_CHUNK_LINE_BYTES, MAX_FIELDS

MAX_READ_BYTES = 65_536

CHUNK_LINE = re.compile(rb"([0-9A-Fa-f]{1,12})[ \t]*(?:;[^\r\n]*)?\r\n")
_LINE_END = b"\r\n"


class BodyError(wsgi.ChunkReadError):
    """Report chunks that are malformed or break off."""


class StrictInput(wsgi.Input):
    """Read chunks whose sizes are hexadecimal digits and nothing else."""

    _chunk_remaining = 0
    _finished = False

    def _chunked_read(
        self, rfile: Any, length: int | None = None, use_readline: bool = False
    ) -> bytes:
        """Return what is left of a chunk, at limit `length`; raises BodyError."""
        del use_readline
        if self.should_send_hundred_continue:
            self.send_hundred_continue_response()
            self.is_hundred_continue_response_sent = True
        if self._finished or length == 0:
            return b""
        if self._chunk_remaining == 0:
            self._chunk_remaining = self._read_chunk_size(rfile)
            if self._chunk_remaining == 0:
                self._finished = True
                _read_trailer(rfile)
                return b""
        limit = MAX_READ_BYTES if length is None or length < 0 else length
        part: bytes = rfile.read(min(self._chunk_remaining, limit))
        if not part:
            raise BodyError("chunk cut")
        self._chunk_remaining -= len(part)
        if self._chunk_remaining == 0 and rfile.readline(2) != _LINE_END:
            raise BodyError("end of a chunk")
        return part

    def _read_chunk_size(self, rfile: Any) -> int:
        match = CHUNK_LINE.fullmatch(rfile.readline(MAX_CHUNK_LINE_BYTES))
        if match is None:
            raise BodyError("size of a chunk")
        return int(match[1], 16)


def _read_trailer(rfile: Any) -> None:
    for _ in range(MAX_FIELDS):
        line = rfile.readline(MAX_CHUNK_LINE_BYTES)
        if line == _LINE_END:
            return
        if not line.endswith(_LINE_END):
            break
    raise BodyError("trailer")
