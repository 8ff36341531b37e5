"""JSON from outside, where one odd part must not cost the rest of a document."""

import json
import math
import re
from collections.abc import Callable
from typing import Any

MAX_DEPTH = 64
"""Nesting kept of a document that is too deep to be decoded as it is."""
MAX_DIGITS = 20
"""Digits of an integer; a longer one is beyond 64 bits."""
MAX_SAFE_INTEGER = 2**53 - 1
"""Largest integer that every decoder and packer keeps exactly."""
MAX_TEXT_CHARACTERS = 1024

_TOKEN = re.compile(rb'"(?:[^"\\]|\\.)*+(?:"|\\?\Z)|[\[{]|[\]}]', re.DOTALL)
"""A text, also one without its end, or a bracket."""

PairsHook = Callable[[list[tuple[str, Any]]], Any]


def loads(data: bytes, *, object_pairs_hook: PairsHook | None = None) -> Any:
    """Decode JSON; raises ValueError.

    What is nested too deep becomes null, an integer of too many digits infinite.
    """
    try:
        return _loads(data, object_pairs_hook)
    except RecursionError:
        return _loads(_cut_depth(data), object_pairs_hook)


def checked_text(value: object) -> str:
    """Return a text that can be encoded; raises TypeError, ValueError."""
    if type(value) is not str:
        raise TypeError(f"expected a text, got {type(value).__name__}")
    if len(value) > MAX_TEXT_CHARACTERS:
        raise ValueError(
            f"expected up to {MAX_TEXT_CHARACTERS} characters, got {len(value)}"
        )
    value.encode()
    return value


def checked_int(value: object, *, low: int = 0, high: int = MAX_SAFE_INTEGER) -> int:
    """Return an integer within limits; raises TypeError, ValueError."""
    if type(value) is not int:
        raise TypeError(f"expected an integer, got {type(value).__name__}")
    if not low <= value <= high:
        raise ValueError(f"expected {low} to {high}, got {value}")
    return value


def _loads(data: bytes, object_pairs_hook: PairsHook | None) -> Any:
    return json.loads(data, parse_int=_parse_int, object_pairs_hook=object_pairs_hook)


def _parse_int(digits: str) -> int | float:
    if len(digits) <= MAX_DIGITS:
        return int(digits)
    return -math.inf if digits.startswith("-") else math.inf


def _cut_depth(data: bytes) -> bytes:
    """Replace what is nested deeper than `MAX_DEPTH` by null."""
    parts: list[bytes] = []
    depth = kept_to = 0
    for token in _TOKEN.finditer(data):
        if token.group() in (b"[", b"{"):
            depth += 1
            if depth == MAX_DEPTH + 1:
                parts += (data[kept_to : token.start()], b"null")
        elif token.group() in (b"]", b"}"):
            depth -= 1
            if depth == MAX_DEPTH:
                kept_to = token.end()
    if depth <= MAX_DEPTH:
        parts.append(data[kept_to:])
    return b"".join(parts)
