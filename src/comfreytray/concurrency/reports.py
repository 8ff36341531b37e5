"""What an upstream reports of its load in the head of an answer."""

import re

from attrs import frozen

from comfreytray.common.records import MAX_SLOTS

MIN_PACE = 1.0
MAX_PACE = 10_000.0
"""Paces outside of these limits are ignored, in percent of the usual time."""
MAX_CALLS = 10_000_000
"""Numbers of calls above it are taken for this number."""

_FIELD = re.compile(r"[0-9]{1,15}(\.[0-9]{1,15})?")
_MIN_FIELDS = 3
_MAX_FIELDS = 16


@frozen(kw_only=True)
class LoadReport:
    """The load of an upstream, as it reports it itself."""

    running: int
    queued: int
    slots: int
    pace: float | None = None
    """How long work takes now, in percent of the usual time; None if not reported."""


def parse_load_report(text: str | None) -> LoadReport | None:
    """Parse `running,queued,slots[,pace]`; None if it is malformed.

    A malformed or impossible pace is left out; further fields are ignored.
    """
    fields = (text or "").split(",", _MAX_FIELDS)
    if not _MIN_FIELDS <= len(fields) <= _MAX_FIELDS:
        return None
    numbers = [_parse_number(part) for part in fields]
    running, queued, slots = numbers[:_MIN_FIELDS]
    if running is None or queued is None or slots is None:
        return None
    pace = numbers[_MIN_FIELDS] if len(numbers) > _MIN_FIELDS else None
    return LoadReport(
        running=int(min(running, MAX_CALLS)),
        queued=int(min(queued, MAX_CALLS)),
        slots=int(min(slots, MAX_SLOTS)),
        pace=pace if pace is not None and MIN_PACE <= pace <= MAX_PACE else None,
    )


def _parse_number(text: str) -> float | None:
    stripped = text.strip(" \t")
    return float(stripped) if _FIELD.fullmatch(stripped) else None
