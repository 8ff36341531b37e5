"""Revisions of the store, ordered also when it comes back from an older copy.

The store counts its changes. When it comes back from an older copy, the count goes back
too and its numbers are given out again, so that a number means nothing without the era
in which it was given out. Inside the system a revision is one integer with the era
before the number: every revision of a later era is higher than those of earlier eras.
"""

NUMBER_BITS = 48
MAX_NUMBER = (1 << NUMBER_BITS) - 1
MAX_ERA = (1 << 15) - 1
"""Keeps a revision within a signed integer of 64 bits."""


def in_era(era: int, number: int) -> int:
    """Return the revision of a number that the store gave out in an era."""
    if not (0 <= era <= MAX_ERA and 0 <= number <= MAX_NUMBER):
        raise ValueError(
            f"expected a number up to {MAX_NUMBER} in an era up to {MAX_ERA}, "
            f"got {number} in {era}"
        )
    return era << NUMBER_BITS | number


def era_of(revision: int) -> int:
    """Return the era in which a revision was given out."""
    return revision >> NUMBER_BITS


def number_of(revision: int) -> int:
    """Return the number of a revision, as the store knows it."""
    return revision & MAX_NUMBER


def text_of(revision: int) -> str:
    """Return a revision as it stands in log lines: the era, a point, the number."""
    return f"{era_of(revision)}.{number_of(revision)}"
