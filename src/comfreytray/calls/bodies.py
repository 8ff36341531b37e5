"""Strict decoding of chunked request bodies.

A chunk size, chunk end or trailer that another parser could read in another way is
refused, which rules out request smuggling.
"""

import re
from typing import Any

from eventlet import wsgi

from comfreytray.calls.heads import MAX_CHUNK_LINE_BYTES, MAX_FIELDS

MAX_READ_BYTES = 65_536

CHUNK_LINE = re.compile(rb"([0-9A-Fa-f]{1,12}+)[ \t]*+(?:;[^\r\n]*+)?\r\n")
_LINE_END = b"\r\n"


class BodyError(wsgi.ChunkReadError):
    """Raised for a chunked body that is malformed or truncated."""


class StrictInput(wsgi.Input):
    """A WSGI input that accepts only hexadecimal digits as the size of a chunk."""

    _chunk_remaining = 0
    _finished = False

    def read1(self, length: int) -> bytes:
        """Return what has come of the body, up to `length` bytes; empty at its end."""
        if self.chunked_input:
            return self._chunked_read(self.rfile, length)
        part: bytes = self._do_read(self.rfile.read1, length)
        return part

    def _chunked_read(
        self, rfile: Any, length: int | None = None, use_readline: bool = False
    ) -> bytes:
        """Return up to `length` bytes of the current chunk; raises BodyError."""
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
        part: bytes = rfile.read1(min(self._chunk_remaining, limit))
        if not part:
            raise BodyError("connection closed inside a chunk")
        self._chunk_remaining -= len(part)
        if self._chunk_remaining == 0 and rfile.readline(2) != _LINE_END:
            raise BodyError("chunk does not end with CRLF")
        return part

    def _read_chunk_size(self, rfile: Any) -> int:
        match = CHUNK_LINE.fullmatch(rfile.readline(MAX_CHUNK_LINE_BYTES))
        if match is None:
            raise BodyError("malformed chunk size line")
        return int(match[1], 16)


def _read_trailer(rfile: Any) -> None:
    for _ in range(MAX_FIELDS):
        line = rfile.readline(MAX_CHUNK_LINE_BYTES)
        if line == _LINE_END:
            return
        if not line.endswith(_LINE_END):
            break
    raise BodyError("malformed or oversized trailer")


def build_input(
    environ: dict[str, Any], *, rfile: Any, sock: Any, wfile: Any
) -> StrictInput:
    """Return the body of a request; `wfile` takes a `100 Continue`."""
    chunked = "HTTP_TRANSFER_ENCODING" in environ
    length = environ.get("CONTENT_LENGTH")
    expects = environ.get("HTTP_EXPECT", "").lower() == "100-continue"
    return StrictInput(
        rfile,
        length if chunked or length is not None else "0",
        sock,
        wfile=wfile if expects else None,
        wfile_line=b"HTTP/1.1 100 Continue\r\n" if expects else None,
        chunked_input=chunked,
    )
