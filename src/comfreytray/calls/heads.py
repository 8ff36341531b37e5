"""Strict parsing of the head of an HTTP message.

The parser of the standard library accepts folded lines, truncated heads and duplicate
framing headers. Two parsers could read them differently (request smuggling), so a node
refuses them.
"""

import re
from collections.abc import Callable
from http.client import (
    BadStatusLine,
    HTTPException,
    HTTPResponse,
    IncompleteRead,
    RemoteDisconnected,
)
from typing import Any, Protocol

MAX_LINE_BYTES = 8192
MAX_HEAD_BYTES = 65_536
MAX_FIELDS = 100
MAX_CHUNK_LINE_BYTES = 1024
MAX_INTERIM_ANSWERS = 16
"""Informational (1xx) answers that are skipped before the final one."""

_BLANKS = b" \t"
_NAME = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]++")
_CONTROL = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")
"""Bytes that a value must not have; a tab is allowed."""
_CHUNK_LINE = re.compile(rb"([0-9A-Fa-f]{1,12}+)[ \t]*+(?:;[^\r\n]*+)?\r?\n")
_STATUS_LINE = re.compile(
    rb"(HTTP/1\.[01])[ \t]++([0-9]{3})(?:[ \t]++([^\x00-\x08\x0a-\x1f\x7f]*+))?\r?\n"
)
"""The library reads the status with int(), which takes +200, 0200 and 2_00 for 200."""
_BLANK_LINES = frozenset({b"\r\n", b"\n"})
_BODYLESS_STATUSES = frozenset({204, 304})


class HeadError(HTTPException):
    """Raised for a head that is malformed, ambiguous or truncated."""


class HeadTooLargeError(HeadError):
    """Raised for a head that exceeds the limits on size or number of fields."""


class LineSource(Protocol):
    """A stream of the lines of a message."""

    def readline(self, size: int = -1, /) -> bytes:
        """Return a line, at most `size` bytes of it."""
        ...


class Fields:
    """Header fields in order of arrival, with case-insensitive lookup by name."""

    __slots__ = ("_values_by_name", "pairs")

    def __init__(self) -> None:
        self.pairs: list[tuple[str, str]] = []
        self._values_by_name: dict[str, list[str]] = {}

    def add(self, name: str, value: str) -> None:
        """Append a field."""
        self.pairs.append((name, value))
        self._values_by_name.setdefault(name.lower(), []).append(value)

    def get(self, name: str, default: str | None = None) -> str | None:
        """Return the first value of a field."""
        values = self._values_by_name.get(name.lower())
        return values[0] if values else default

    def get_all(self, name: str) -> list[str]:
        """Return all values of a field; the name must be in lower case."""
        return self._values_by_name.get(name, [])


def read_fields(
    source: LineSource,
    *,
    max_bytes: int = MAX_HEAD_BYTES,
    max_line_bytes: int = MAX_LINE_BYTES,
) -> Fields:
    """Read header fields up to the blank line; raises HeadError."""
    fields = Fields()
    size = 0
    while True:
        line = source.readline(max_line_bytes)
        if line in _BLANK_LINES:
            return fields
        size += len(line)
        if len(line) >= max_line_bytes or size > max_bytes:
            raise HeadTooLargeError(f"header line or fields too large: {size} bytes")
        if len(fields.pairs) >= MAX_FIELDS:
            raise HeadTooLargeError(f"more than {MAX_FIELDS} header fields")
        fields.add(*_parse_field(line))


def _parse_field(line: bytes) -> tuple[str, str]:
    """Split a line into name and value, in linear time; raises HeadError."""
    name, colon, rest = line.partition(b":")
    if not colon or not rest.endswith(b"\n") or _NAME.fullmatch(name) is None:
        raise HeadError("malformed header field")
    value = rest[:-1].removesuffix(b"\r").strip(_BLANKS)
    if _CONTROL.search(value) is not None:
        raise HeadError("control character in a header field")
    return name.decode("latin-1"), value.decode("latin-1")


def body_framing(fields: Fields) -> tuple[bool, int | None]:
    """Return whether a body is chunked, and its length if given; raises HeadError."""
    lengths = fields.get_all("content-length")
    codings = fields.get_all("transfer-encoding")
    if not codings and not lengths:
        return False, None
    if codings:
        if lengths or len(codings) > 1 or codings[0].lower() != "chunked":
            raise HeadError("ambiguous or unsupported body framing")
        return True, None
    if len(lengths) > 1 or not (lengths[0].isascii() and lengths[0].isdigit()):
        raise HeadError("duplicate or malformed Content-Length")
    return False, int(lengths[0][:18])


class StrictResponse(HTTPResponse):
    """An HTTP response that raises unless it can be shown to be complete.

    With `accepts_close_delimited` a body without framing ends with the connection.
    """

    fp: Any
    headers: Any
    msg: Any
    _method: str
    _check_close: Callable[[], bool]

    def __init__(
        self, source: Any, *, method: str, accepts_close_delimited: bool = False
    ) -> None:
        super().__init__(source, method=method)
        self._accepts_close_delimited = accepts_close_delimited

    def begin(self) -> None:
        """Read the head, after any informational (1xx) responses."""
        version, status, reason = self._read_final_status()
        if not 200 <= status <= 599:
            raise HeadError(f"status {status} out of range")
        self.code = self.status = status
        self.reason = reason.strip()
        self.version = 11 if version == "HTTP/1.1" else 10
        self.headers = self.msg = read_fields(self.fp)
        self.chunked, self.length = body_framing(self.headers)
        self.chunk_left = None
        self.will_close = self._check_close()
        if status in _BODYLESS_STATUSES or self._method == "HEAD":
            self.length = 0
            self.chunked = False
        if self.length is None and not self.chunked:
            if not self._accepts_close_delimited:
                raise HeadError("body has neither a length nor chunks")
            self.will_close = True

    def _read_final_status(self) -> tuple[str, int, str]:
        for _ in range(MAX_INTERIM_ANSWERS + 1):
            version, status, reason = self._read_status()
            if not 100 <= status < 200 or status == 101:
                return version, status, reason
            read_fields(self.fp)
        raise HeadError(f"more than {MAX_INTERIM_ANSWERS} interim answers")

    def _read_status(self) -> tuple[str, int, str]:
        line = self.fp.readline(MAX_LINE_BYTES)
        if not line:
            raise RemoteDisconnected("connection closed without an answer")
        match = _STATUS_LINE.fullmatch(line)
        if match is not None:
            reason = (match[3] or b"").decode("latin-1")
            return match[1].decode(), int(match[2]), reason
        if line.endswith(b"\n"):
            raise HeadError("malformed status line")
        raise BadStatusLine("truncated")

    def _read_next_chunk_size(self) -> int:
        match = _CHUNK_LINE.fullmatch(self.fp.readline(MAX_CHUNK_LINE_BYTES))
        if match is None:
            raise IncompleteRead(b"")
        return int(match[1], 16)

    def _read_and_discard_trailer(self) -> None:
        for _ in range(MAX_FIELDS):
            line = self.fp.readline(MAX_CHUNK_LINE_BYTES)
            if line in _BLANK_LINES:
                return
            if not line.endswith(b"\n"):
                break
        raise IncompleteRead(b"")
