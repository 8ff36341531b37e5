"""One prefix of the store, followed by calls to the store or by what sources send."""

import math
from collections.abc import Callable, Iterable

from comfreytray.common.errors import Failure
from comfreytray.common.interfaces import StoredObject, WatchBatch
from comfreytray.replication.replica import (
    ContentOrder,
    ObjectChange,
    Progress,
    Replica,
    no_order,
)
from comfreytray.store.subscriptions import Subscription

PULL_TIMEOUT_S = 1.0
"""Time after which objects are asked for again, perhaps of another source."""


class Feed:
    """The replica of a prefix, and what is under way to keep it current."""

    def __init__(
        self,
        *,
        subscribe: Callable[[Callable[[WatchBatch], None]], Subscription],
        on_objects: Callable[[Iterable[StoredObject]], None],
        order: ContentOrder = no_order,
    ) -> None:
        """Create a feed; `subscribe` makes the subscription for a batch handler."""
        self.replica = Replica(order=order)
        self.subscription = subscribe(self.apply)
        self.on_change: Callable[[], None] = lambda: None
        self.on_restored: Callable[[], None] = lambda: None
        """Called when all objects are known as a store holds them that came back from
        an older copy."""
        self.told_at = -math.inf
        """Monotonic time up to which a source has confirmed what is held."""
        self._told: tuple[int, float] | None = None
        """What a source holds that this replica still lacks, and up to when."""
        self._on_objects = on_objects
        self._pulled_at: float | None = None

    @property
    def is_known(self) -> bool:
        """Whether all objects under the prefix were read once."""
        return self.replica.progress.complete_to > 0

    @property
    def verified_at(self) -> float:
        """Return the monotonic time up to which all changes are held."""
        return max(self.subscription.verified_at, self.told_at)

    def confirm(self, complete_to: int, at: float) -> None:
        """Note that a source held all changes of the store up to a time."""
        self._told = (complete_to, at)
        self._settle_told()

    def _settle_told(self) -> None:
        if self._told is None:
            return
        complete_to, at = self._told
        if complete_to <= self.replica.progress.complete_to:
            self.told_at = max(self.told_at, at)
            self._told = None

    def apply(self, batch: WatchBatch) -> None:
        """Take a batch of the store or of a source."""
        before = self.replica.progress
        fresh = self.replica.apply(batch)
        if fresh:
            self._on_objects(fresh)
        self._report_change(before)

    def receive(
        self, changes: Iterable[ObjectChange], complete_to: int
    ) -> Failure | None:
        """Take what a source has sent; a Failure if it does not fit what is held."""
        self._pulled_at = None
        objects = self.replica.resolve(changes)
        if isinstance(objects, Failure):
            return objects
        self.apply(WatchBatch(revision=complete_to, objects=tuple(objects)))
        self.subscription.advance(complete_to)
        self._settle_told()
        return None

    def _report_change(self, before: Progress) -> None:
        now = self.replica.progress
        if now.newest != before.newest:
            self.on_change()
        if before.complete_to and now.era > before.era:
            self.on_restored()

    def forget_pull(self) -> None:
        """Note that a pull under way may not be answered."""
        self._pulled_at = None

    def wants(self, offered: Progress, now: float) -> bool:
        """Whether to pull from a source that offers this; notes a pull under way.

        If there is nothing to pull, the replica is as complete as the source's.
        """
        held = self.replica.progress
        if offered.complete_to <= held.complete_to:
            return False
        if self.is_known and offered.newest <= held.complete_to:
            self.replica.advance(offered.complete_to)
            self.subscription.advance(offered.complete_to)
            self._report_change(held)
            return False
        if self._pulled_at is not None and now - self._pulled_at < PULL_TIMEOUT_S:
            return False
        self._pulled_at = now
        return True
