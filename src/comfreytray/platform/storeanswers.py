"""Read the answers of the platform's object store within bounds of size and time."""

import time

import urllib3
from urllib3 import exceptions as http_errors

from comfreytray.common import revisions

READ_BYTES = 65_536
MAX_BODY_BYTES = 67_108_864
"""Bytes of an answer; a watch returns each change of its span with the whole object."""
ERA_HEADER = "Store-Era"
"""Number of times that the store came back from an older copy."""


def decode_era(response: urllib3.BaseHTTPResponse) -> int | None:
    """Return the era of an answer, None if it names none; raises HTTPError."""
    text = response.headers.get(ERA_HEADER)
    if text is None:
        return None
    if not text.isdecimal() or int(text) > revisions.MAX_ERA:
        raise http_errors.ProtocolError(
            f"{ERA_HEADER}: expected a number up to {revisions.MAX_ERA}, got {text!r}"
        )
    return int(text)


def read_body(response: urllib3.BaseHTTPResponse, deadline: float) -> bytes:
    """Read a body within bounds of size and time; raises HTTPError beyond them."""
    body = bytearray()
    while part := response.read1(READ_BYTES):
        body += part
        if len(body) > MAX_BODY_BYTES:
            raise http_errors.ProtocolError(
                f"answer of the store: expected at most {MAX_BODY_BYTES} bytes"
            )
        if time.monotonic() > deadline:
            raise http_errors.ProtocolError("answer of the store did not end in time")
    return bytes(body)
