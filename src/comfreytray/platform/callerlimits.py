"""Decode the limits on requests that the operator's configuration sets."""

from collections.abc import Callable, Mapping
from typing import Any

from comfreytray.common.logs import Event, warn
from comfreytray.common.outerjson import MAX_SAFE_INTEGER, checked_int
from comfreytray.configuration.callerlimits import CallerLimits

MAX_HEADER_BYTES = 65_536
"""Largest head that a node accepts, whatever the configuration allows."""
MAX_BODY_BYTES = 67_108_864
"""Largest body that a node accepts, whatever the configuration allows."""
MAX_TIMEOUT_S = 3600.0

_ODD_ERRORS = (TypeError, ValueError)


def read_limits(spec: object) -> CallerLimits:
    """Decode limits; one that is absent or malformed keeps its default.

    Larger ones than a node supports are lowered to what it supports.
    """
    by_name: Mapping[str, Any] = spec if isinstance(spec, dict) else {}
    if spec is not by_name:
        warn(Event.LIMIT_REFUSED, reason=f"expected an object, got {spec!r:.60}")
    checked: dict[str, Any] = {}
    for name, check in _CHECK_BY_NAME.items():
        if by_name.get(name) is None:
            continue
        try:
            checked[name] = check(by_name[name])
        except _ODD_ERRORS as error:
            warn(Event.LIMIT_REFUSED, limit=name, reason=str(error))
    if "max_header_bytes" in checked:
        # A head may consist of one long line.
        checked["max_line_bytes"] = checked["max_header_bytes"]
    return CallerLimits(**checked)


def _size(most: int) -> Callable[[Any], int]:
    return lambda value: min(most, checked_int(value, low=1))


def _seconds(value: Any) -> float:
    if type(value) not in (int, float):
        raise TypeError(f"expected a number, got {type(value).__name__}")
    if not 0.0 < value <= MAX_SAFE_INTEGER:
        raise ValueError(f"expected seconds above 0, got {value!r:.60}")
    return float(min(MAX_TIMEOUT_S, value))


_CHECK_BY_NAME: dict[str, Callable[[Any], Any]] = {
    "max_header_bytes": _size(MAX_HEADER_BYTES),
    "max_body_bytes": _size(MAX_BODY_BYTES),
    "header_timeout_s": _seconds,
    "idle_timeout_s": _seconds,
}
