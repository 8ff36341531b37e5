"""The age of one feed: what other nodes are told of it, and when it is too great."""

import math
from collections.abc import Callable

from comfreytray.common import logs
from comfreytray.common.interfaces import Clock
from comfreytray.common.metrics import Metrics
from comfreytray.replication.feed import Feed
from comfreytray.replication.frames import MAX_AGE_MS
from comfreytray.replication.freshness import (
    FreshnessLimits,
    Standing,
    age_limit_s,
    max_wait_s,
)
from comfreytray.replication.sources import WATCHERS, Plan

MS_PER_S = 1000


class FeedAge:
    """Compare the age of a feed with its limit, and pace its watches accordingly."""

    def __init__(
        self,
        *,
        feed: Feed,
        limits: FreshnessLimits,
        plan: Callable[[], Plan],
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self.feed = feed
        self._limits = limits
        self._plan = plan
        self._clock = clock
        self._metrics = metrics
        self._is_overdue = False
        feed.subscription.max_wait_s = self.max_wait_s

    def max_wait_s(self) -> float:
        """Return how long the next watch of the feed may wait at the store."""
        now = self._clock.monotonic()
        return max_wait_s(
            self._limits,
            self._standing(),
            age_s=now - self.feed.verified_at,
            told_age_s=now - self.feed.told_at,
        )

    def check(self) -> bool:
        """Return whether the store must be asked at once; log when that changes."""
        if not self.feed.is_known:
            return False
        age_s = self._clock.monotonic() - self.feed.verified_at
        limit_s = age_limit_s(self._limits, self._standing())
        self._metrics.gauge("configuration_age_s", age_s)
        is_overdue = age_s > limit_s
        if is_overdue and not self._is_overdue:
            logs.warn(logs.Event.AGE_EXCEEDED, age_s=age_s, limit_s=limit_s)
        elif self._is_overdue and not is_overdue:
            logs.log(logs.Event.AGE_RENEWED, age_s=age_s, limit_s=limit_s)
        self._is_overdue = is_overdue
        return is_overdue

    def _standing(self) -> Standing:
        plan = self._plan()
        return Standing(
            is_shared=plan.is_shared,
            watches=plan.watches,
            is_chosen=plan.rank < WATCHERS,
        )


def age_ms(feed: Feed, now: float) -> int:
    """Return the age of a feed as other nodes are told it."""
    age_s = now - feed.verified_at
    if math.isinf(age_s):
        return MAX_AGE_MS
    return min(MAX_AGE_MS, math.ceil(age_s * MS_PER_S))
