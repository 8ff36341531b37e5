"""Limits on the requests of callers."""

from attrs import frozen


@frozen(kw_only=True)
class CallerLimits:
    """What a node accepts from a caller; the defaults hold without a configuration."""

    max_header_bytes: int = 65_536
    """Bytes of a request's head."""
    max_line_bytes: int = 8192
    """Bytes of one line of the head, its end included."""
    max_body_bytes: int = 1_048_576
    header_timeout_s: float = 10.0
    """Time from the first byte of a request to the end of its head."""
    idle_timeout_s: float = 75.0
    """Time without a byte after which a connection between requests closes."""


DEFAULT_CALLER_LIMITS = CallerLimits()
