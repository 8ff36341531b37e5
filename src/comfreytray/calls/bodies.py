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

    _left_in_chunk = 0
    _ended = False

    def _chunked_read(
        self, rfile: Any, length: int | None = None, use_readline: bool = False
    ) -> bytes:
        """Return what is left of a chunk, at most `length`; raises BodyError."""
        del use_readline
        if self.should_send_hundred_continue:
            self.send_hundred_continue_response()
            self.is_hundred_continue_response_sent = True
        if self._ended or length == 0:
            return b""
        if self._left_in_chunk == 0:
            self._left_in_chunk = self._next_size(rfile)
            if self._left_in_chunk == 0:
                self._ended = True
                _read_trailer(rfile)
                return b""
        most = MAX_READ_BYTES if length is None or length < 0 else length
        part: bytes = rfile.read(min(self._left_in_chunk, most))
        if not part:
            raise BodyError("chunk cut")
        self._left_in_chunk -= len(part)
        if self._left_in_chunk == 0 and rfile.readline(2) != _LINE_END:
            raise BodyError("end of a chunk")
        return part

    def _next_size(self, rfile: Any) -> int:
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
