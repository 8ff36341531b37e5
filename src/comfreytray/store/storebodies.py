"""Bodies of the answers of a store, within bounds of size and time."""

import time

import urllib3
from urllib3 import exceptions as http_errors

READ_BYTES = 65_536
MAX_BODY_BYTES = 67_108_864
MIN_BODY_BYTES = 4_194_304
MEMORY_SHARE = 0.0625
"""Part of the memory of a process that one answer may take; decoded it takes more."""
BODY_TIMEOUT_S = 4.0
"""Time for the body of an answer, beyond the time-out of its call."""


class AnswerTooLargeError(http_errors.ProtocolError):
    """Raised for an answer beyond the bound on its size."""


def body_limit(memory_bytes: float) -> int:
    """Return the bound on one answer for a process of limited memory."""
    share = min(MAX_BODY_BYTES, memory_bytes * MEMORY_SHARE)
    return max(MIN_BODY_BYTES, int(share))


def read_body(
    response: urllib3.BaseHTTPResponse,
    *,
    deadline: float,
    max_bytes: int = MAX_BODY_BYTES,
) -> bytes:
    """Read a body within bounds of size and time; raises HTTPError beyond them."""
    body = bytearray()
    try:
        while part := response.read1(READ_BYTES):
            body += part
            if len(body) > max_bytes:
                raise AnswerTooLargeError(
                    f"answer of the store: expected at most {max_bytes} bytes"
                )
            if time.monotonic() > deadline:
                raise http_errors.ProtocolError(
                    "answer of the store did not end in time"
                )
    except BaseException:
        response.close()
        raise
    response.release_conn()
    return bytes(body)
