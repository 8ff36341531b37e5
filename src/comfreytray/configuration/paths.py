"""Paths of requests and routes in the form in which they are compared."""

import re
import string
from urllib.parse import quote

_OCTET = re.compile(r"%([0-9A-Fa-f]{2})")
_UNRESERVED = frozenset(string.ascii_letters + string.digits + "-._~")


def comparable(path: str) -> str:
    """Return a path with its percent-encoding in normal form (RFC 3986, 6.2.2).

    Only unreserved characters are decoded: an encoded slash belongs to its segment.
    """
    if not path.isascii():
        path = quote(path, safe=string.punctuation)
    if "%" not in path:
        return path
    return _OCTET.sub(_normal_octet, path)


def _normal_octet(match: re.Match[str]) -> str:
    character = chr(int(match[1], 16))
    return character if character in _UNRESERVED else match[0].upper()
