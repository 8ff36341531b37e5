"""Decimal numbers in headers."""

import re

_DECIMAL = re.compile(r"[0-9]{1,15}(\.[0-9]{1,15})?")


def parse_decimal(text: str | None) -> float | None:
    """Parse a non-negative decimal number in plain digits; None if it is none."""
    stripped = (text or "").strip(" \t")
    return float(stripped) if _DECIMAL.fullmatch(stripped) else None
