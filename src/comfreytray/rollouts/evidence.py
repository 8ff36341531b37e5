"""Evidence for and against a version, by route, from its answers and the old one's.

Each route is judged by itself, since a version may be bad on one route only. The score
of a route is a cumulative sum of log-likelihood ratios that never falls below zero, so
that a long good past does not hide a version that turns bad.
"""

import math
from collections.abc import Mapping

from attrs import define, field

BUCKETS_PER_DOUBLING = 4
MIN_TIME_S = 0.00025
MAX_BUCKET = 80
"""Bucket of 262 s and more."""
SLOW_BUCKETS = 6
"""Distance from the median at which an answer is slow: a factor of 2.4 to 2.8. A
smaller distance counts the normal answers of slower instances."""
MIN_SLOW_S = 0.01
"""Time below which no answer is slow: a pause of a node's process may take as long."""
MIN_TYPICAL_ANSWERS = 10
"""Answers of the old version on a route from which its usual time is known."""
MIN_BAD_SHARE = 0.02
"""Share of bad answers that a good version may have."""
BAD_SHARE_MARGIN = 0.12
BAD_SHARE_FACTOR = 2.5
"""By how much the share of a bad version is assumed to exceed that of the old one."""
OLD_SHARE_FACTOR = 1.5
CLEAR_SCORE = 7.6
"""Score that counts as clear: odds of about 2,000 to 1, or four failures in a row."""
SUSPICIOUS_SCORE = 2.5
CLEAN_SCORE = 1.9
"""Score below which a version may be completed: less than one recent failure."""
ALL_ROUTES = "*"
"""Stands for all routes together, which tell sooner of a version that is bad on all."""
MAX_SLOW_SCORE_PER_STEP = 2.0
"""Pauses of a machine slow all its answers for 600 ms; a version must be slow for four
steps of 0.5 s."""
MIN_EXCESS = 12
"""Bad answers from which a low but steady share counts."""
EXCESS_FACTOR = 3.0
EXCESS_OFFSET = 4.0
LARGE_EXCESS = 25
"""Bad answers beyond the expected ones that are clear in any case: well before the 50th
the version must be found out."""


@define(kw_only=True)
class Tally:
    """The answers of one version on one route."""

    failed: int = 0
    count_by_bucket: dict[int, int] = field(factory=dict)
    """Answers that did not fail, by the logarithm of their time."""

    @property
    def answers(self) -> int:
        """Return the number of all answers."""
        return self.failed + sum(self.count_by_bucket.values())

    def count(self, took_s: float, *, failed: bool) -> None:
        """Add an answer."""
        if failed:
            self.failed += 1
            return
        bucket = bucket_of(took_s)
        self.count_by_bucket[bucket] = self.count_by_bucket.get(bucket, 0) + 1

    def add(self, other: "Tally", *, sign: int = 1) -> None:
        """Add the answers of another tally, or with a sign of -1 subtract them."""
        self.failed += sign * other.failed
        for bucket, count in other.count_by_bucket.items():
            before = self.count_by_bucket.get(bucket, 0)
            self.count_by_bucket[bucket] = before + sign * count

    def median_bucket(self) -> int | None:
        """Return the bucket of the median time; None if too few answers are known."""
        total = sum(self.count_by_bucket.values())
        if total < MIN_TYPICAL_ANSWERS:
            return None
        left = total // 2
        for bucket in sorted(self.count_by_bucket):
            left -= self.count_by_bucket[bucket]
            if left < 0:
                return bucket
        return None

    def slow(self, typical: int | None) -> int:
        """Return the answers that took several times the typical time."""
        if typical is None:
            return 0
        limit = max(typical + SLOW_BUCKETS, bucket_of(MIN_SLOW_S))
        return sum(n for bucket, n in self.count_by_bucket.items() if bucket >= limit)


@define(kw_only=True)
class RouteTally:
    """The answers of both versions on one route."""

    old: Tally = field(factory=Tally)
    new: Tally = field(factory=Tally)

    def add(self, other: "RouteTally", *, sign: int = 1) -> None:
        """Add the answers of another tally, or with a sign of -1 subtract them."""
        self.old.add(other.old, sign=sign)
        self.new.add(other.new, sign=sign)

    @property
    def answers(self) -> tuple[int, int]:
        """Return the numbers of the answers of both versions."""
        return self.old.answers, self.new.answers

    def copy(self) -> "RouteTally":
        """Return a tally that later answers don't change."""
        made = RouteTally()
        made.add(self)
        return made


def bucket_of(took_s: float) -> int:
    """Return the bucket of a time."""
    doublings = math.log2(max(took_s, MIN_TIME_S) / MIN_TIME_S)
    return min(MAX_BUCKET, int(doublings * BUCKETS_PER_DOUBLING))


@define(kw_only=True)
class _Route:
    """What was judged of one route so far."""

    score: float = 0.0
    answers: int = 0
    failed: int = 0
    slow: int = 0
    expected: float = 0.0
    """Bad answers that a version like the old one would have given."""


class Evidence:
    """Judges a version from sums that only grow; call `update` about every 0.5 s."""

    def __init__(self) -> None:
        self._by_kind: dict[str, _Route] = {}
        self._score_of_all = 0.0
        self._slow_steps = 0
        """Steps with slow answers; a pause makes many of them in one step."""

    @property
    def worst(self) -> tuple[str, float]:
        """Return the route with the highest score, and the score."""
        scores = {kind: route.score for kind, route in self._by_kind.items()}
        scores[ALL_ROUTES] = self._score_of_all
        worst = max(scores, key=scores.__getitem__)
        return worst, scores[worst]

    @property
    def is_bad(self) -> bool:
        """Whether the version is clearly bad."""
        return self.worst[1] >= CLEAR_SCORE or self._has_excess

    @property
    def is_suspicious(self) -> bool:
        """Whether the version may be bad, so that its share must not grow."""
        return self.worst[1] >= SUSPICIOUS_SCORE

    @property
    def is_probably_bad(self) -> bool:
        """Whether the version is more likely bad, where no time is left to be sure."""
        return self.worst[1] >= CLEAR_SCORE / 2

    @property
    def is_clean(self) -> bool:
        """Whether nothing recent tells against the version."""
        return self.worst[1] < CLEAN_SCORE

    def update(self, tally_by_kind: Mapping[str, RouteTally]) -> None:
        """Take the sums of all answers up to now."""
        failed_gain = time_gain = 0.0
        slow = sum(route.slow for route in self._by_kind.values())
        for kind, tally in tally_by_kind.items():
            route = self._by_kind.setdefault(kind, _Route())
            gains = _update_route(route, tally)
            failed_gain, time_gain = failed_gain + gains[0], time_gain + gains[1]
        self._score_of_all = _raised(self._score_of_all, failed_gain, time_gain)
        self._slow_steps += sum(r.slow for r in self._by_kind.values()) > slow

    @property
    def _has_excess(self) -> bool:
        routes = self._by_kind.values()
        failed = sum(route.failed for route in routes)
        slow = sum(route.slow for route in routes)
        expected = EXCESS_FACTOR * sum(route.expected for route in routes)
        if failed + slow > expected + LARGE_EXCESS:
            return True
        bad = failed + self._slow_steps
        return bad >= MIN_EXCESS and bad > expected + EXCESS_OFFSET


def _update_route(route: _Route, tally: RouteTally) -> tuple[float, float]:
    """Judge what is new on a route; return what failures and what times add."""
    typical = tally.old.median_bucket()
    answers, slow = tally.new.answers, tally.new.slow(typical)
    more = max(0, answers - route.answers)
    more_failed = max(0, tally.new.failed - route.failed)
    more_slow = min(max(0, slow - route.slow), more - more_failed)
    route.answers, route.failed = answers, tally.new.failed
    # The typical time moves a little; what was slow once must not count again.
    route.slow = max(route.slow, slow)
    usual = _usual_share(tally.old, typical)
    worse = min(0.95, max(usual + BAD_SHARE_MARGIN, usual * BAD_SHARE_FACTOR))
    per_bad = math.log(worse / usual)
    per_good = math.log((1.0 - worse) / (1.0 - usual))
    failed_gain = more_failed * per_bad
    time_gain = more_slow * per_bad + (more - more_failed - more_slow) * per_good
    route.score = _raised(route.score, failed_gain, time_gain)
    route.expected += more * usual
    return failed_gain, time_gain


def _raised(score: float, failed_gain: float, time_gain: float) -> float:
    """Return a score after a step, in which slow answers count for little."""
    return max(0.0, score + failed_gain + min(time_gain, MAX_SLOW_SCORE_PER_STEP))


def _usual_share(old: Tally, typical: int | None) -> float:
    """Return the share of bad answers that a version like the old one may have."""
    bad = old.failed + old.slow(typical)
    share = (bad + 0.5) / (old.answers + MIN_TYPICAL_ANSWERS)
    return min(0.8, max(MIN_BAD_SHARE, OLD_SHARE_FACTOR * share))
