"""The feeds of a node: how often and in what batches it reads the store."""

import random
from collections.abc import Callable, Iterable

from comfreytray.calls.guard import Guard
from comfreytray.calls.holdrecords import HoldRecords
from comfreytray.common.budgets import Backoff
from comfreytray.common.interfaces import Clock, ObjectStore, StoredObject, WatchBatch
from comfreytray.membership.directory import PREFIX as MEMBERS_PREFIX
from comfreytray.membership.directory import Directory, order_of
from comfreytray.replication.feed import Feed
from comfreytray.replication.replica import ContentOrder, no_order
from comfreytray.replication.sources import Plan
from comfreytray.rollouts.orders import PREFIX as ROLLOUTS_PREFIX
from comfreytray.store.subscriptions import Subscription

CONFIGURATION_WAIT_S = 4.0
"""Longest wait of a watch; what nodes may not know for so long shortens it."""
MEMBERS_WAIT_S = 8.0
"""Longest wait of a watch of the members."""
CONFIGURATION_BATCH_DELAY_S = 0.8
"""Pause after a change, so that a series of changes takes few calls."""
SHARED_BATCH_DELAY_S = 0.8
"""Pause after changes of members where one node reads them for a group."""
STANDBY_BATCH_DELAY_S = 3.0
"""The same for the second watcher, which hears of them from the first."""
ROLLOUTS_WAIT_S = 8.0
"""Longest wait of a watch of the orders."""
ROLLOUTS_BATCH_DELAY_S = 0.2
"""Short, as an order has to be decided in seconds; orders are rare."""
HOLDS_PREFIX = f"{MEMBERS_PREFIX}held."
"""Beside the members' records, so that the same calls bring both."""
RETRY_MIN_S = 0.1
RETRY_MAX_S = 0.7


class StoreFeeds:
    """Makes the feeds of a node."""

    def __init__(
        self, *, store: ObjectStore, clock: Clock, random: random.Random
    ) -> None:
        self._store = store
        self._clock = clock
        self._random = random

    def configuration(
        self,
        key: str,
        *,
        on_objects: Callable[[Iterable[StoredObject]], None],
        order: ContentOrder = no_order,
    ) -> Feed:
        """Return the feed of the configuration, which is one object."""

        def subscribe(on_batch: Callable[[WatchBatch], None]) -> Subscription:
            return Subscription(
                store=self._store,
                prefix=key,
                clock=self._clock,
                backoff=self.backoff(),
                wait_s=CONFIGURATION_WAIT_S,
                gap_s=lambda: CONFIGURATION_BATCH_DELAY_S,
                on_batch=on_batch,
                newest_only=True,
            )

        return Feed(subscribe=subscribe, on_objects=on_objects, order=order)

    def members(
        self,
        directory: Directory,
        *,
        plan: Callable[[], Plan],
        on_objects: Callable[[Iterable[StoredObject]], None] | None = None,
    ) -> Feed:
        """Return the feed of the members' records.

        `on_objects` gets them in place of the directory, with what stands beside them.
        """

        def subscribe(on_batch: Callable[[WatchBatch], None]) -> Subscription:
            return Subscription(
                store=self._store,
                prefix=MEMBERS_PREFIX,
                clock=self._clock,
                backoff=self.backoff(),
                wait_s=MEMBERS_WAIT_S,
                gap_s=lambda: members_batch_delay_s(plan(), directory),
                on_batch=on_batch,
            )

        apply = on_objects or directory.apply
        return Feed(subscribe=subscribe, on_objects=apply, order=order_of)

    def rollouts(self, on_objects: Callable[[Iterable[StoredObject]], None]) -> Feed:
        """Return the feed of the orders of roll-outs and their status."""

        def subscribe(on_batch: Callable[[WatchBatch], None]) -> Subscription:
            return Subscription(
                store=self._store,
                prefix=ROLLOUTS_PREFIX,
                clock=self._clock,
                backoff=self.backoff(),
                wait_s=ROLLOUTS_WAIT_S,
                gap_s=lambda: ROLLOUTS_BATCH_DELAY_S,
                on_batch=on_batch,
            )

        return Feed(subscribe=subscribe, on_objects=on_objects)

    def holds(self, guard: Guard) -> HoldRecords:
        """Return the records of requests that are held back."""
        return HoldRecords(
            store=self._store,
            prefix=HOLDS_PREFIX,
            guard=guard,
            clock=self._clock,
            backoff=self.backoff(),
        )

    def backoff(self) -> Backoff:
        """Return the back-off of calls to the store."""
        return Backoff(random=self._random, min_s=RETRY_MIN_S, max_s=RETRY_MAX_S)


def members_batch_delay_s(plan: Plan, directory: Directory) -> float:
    """Return the pause after changes of members; few nodes may read them sooner."""
    if not plan.is_shared:
        return directory.batch_delay_s
    return SHARED_BATCH_DELAY_S if plan.rank == 0 else STANDBY_BATCH_DELAY_S
