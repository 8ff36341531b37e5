"""Fields of the answers of the platform's object store."""

import urllib3
from urllib3 import exceptions as http_errors

from comfreytray.common import revisions

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
