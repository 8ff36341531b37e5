"""Fingerprints of requests: the same for a request that a caller sends again.

Each attempt of a caller has an id of its own, so ids don't show that two attempts are
the same request.
"""

import hashlib
from collections.abc import Iterator

from comfreytray.calls.call import Call, HeaderLookup

FINGERPRINT_BYTES = 16
MAX_LABEL_CHARACTERS = 120
NAME_PREFIX = "r"
"""So that no name reads as a number."""
_LENGTH_BYTES = 8


def fingerprint_of(call: Call) -> bytes:
    """Return the fingerprint of a request's method, host, target, caller and body.

    Of a streamed body only the declared length counts, since a request must be known
    before its body has arrived.
    """
    if not call.fingerprint:
        digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
        for part in _parts(call):
            digest.update(len(part).to_bytes(_LENGTH_BYTES, "big"))
            digest.update(part)
        call.fingerprint = digest.digest()
    return call.fingerprint


def name_of(fingerprint: bytes) -> str:
    """Return the name of a request in lines, records and commands."""
    return NAME_PREFIX + fingerprint.hex()


def parse_name(name: str) -> bytes:
    """Return the fingerprint of a named request; raises ValueError."""
    if not name.startswith(NAME_PREFIX):
        raise ValueError(f"expected the name of a request, got {name!r:.60}")
    return bytes.fromhex(name.removeprefix(NAME_PREFIX))


def label_of(call: Call) -> str:
    """Return what an operator recognizes a request by: its method, host and path."""
    host = HeaderLookup(call.headers).get("host", "")
    path = call.target.partition("?")[0]
    return f"{call.method} {host}{path}"[:MAX_LABEL_CHARACTERS]


def _parts(call: Call) -> Iterator[bytes]:
    host = HeaderLookup(call.headers).get("host") or ""
    for text in (call.method, host, call.target, call.caller):
        yield text.encode("utf-8", "surrogateescape")
    if call.upload is None:
        yield call.body
    else:
        yield b"streamed"
        yield b"%d" % (-1 if call.upload.length is None else call.upload.length)
