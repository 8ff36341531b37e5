"""Follow the store's objects under a prefix, with back-off while calls fail."""

import math
from collections.abc import Callable

from comfreytray.common import logs, revisions
from comfreytray.common.budgets import Backoff
from comfreytray.common.errors import Failure, Kind
from comfreytray.common.interfaces import Clock, ObjectStore, WatchBatch

EARLY_PAUSE_S = 0.1
"""Pause after a watch that was answered at once, although nothing had changed."""


class Subscription:
    """Read a prefix once, then watch it; each step is one call of the store.

    A watch returns all changes since a revision, each with the whole object. After an
    outage, or while an object changes often, that is many times the newest state, and
    over a slow link it takes longer than the call's time-out. With `newest_only` the
    prefix is one key, and a subscription that is behind reads that object instead.

    `wait_s` is the longest wait of a watch, and `gap_s` gives the pause after a batch
    with objects, in seconds; neither is longer than what `max_wait_s` gives.
    """

    def __init__(
        self,
        *,
        store: ObjectStore,
        prefix: str,
        clock: Clock,
        backoff: Backoff,
        wait_s: float,
        gap_s: Callable[[], float],
        on_batch: Callable[[WatchBatch], None],
        newest_only: bool = False,
        max_wait_s: Callable[[], float] = lambda: math.inf,
    ) -> None:
        self._store = store
        self._prefix = prefix
        self._clock = clock
        self._backoff = backoff
        self._wait_s = wait_s
        self._gap_s = gap_s
        self._on_batch = on_batch
        self._newest_only = newest_only
        self.max_wait_s = max_wait_s
        """May be replaced by whoever paces the calls."""
        self._revision = 0
        self._is_calling = False
        self._is_behind = False
        """Whether there may be more than one change since the revision."""
        self._failing_since: float | None = None
        """Monotonic time of the first failure since the last success."""
        self.verified_at = -math.inf
        """Monotonic time up to which the store has shown all changes."""
        self.is_waiting = False
        """Whether a watch is under way that waits for changes."""
        self.is_current = False
        """Whether the last call succeeded since the subscription began or resumed."""

    @property
    def is_failing(self) -> bool:
        """Whether the last call failed."""
        return self._failing_since is not None

    def advance(self, revision: int) -> None:
        """Continue from a revision up to which everything came from elsewhere."""
        if revision > self._revision:
            self._revision = revision
            self._is_behind = False

    def ask_again(self) -> None:
        """Have the next call be answered at once, as the one under way was ended."""
        self.is_current = False

    def resume(self) -> None:
        """Begin to follow the store again, after a time without calls.

        A watch that still waits since then shows that the store can be reached.
        """
        if self._is_calling:
            return
        self.is_current = False
        self._failing_since = None

    def step(self) -> float:
        """Make one store call; return the seconds to wait before the next step."""
        reads_newest = self._newest_only and self._is_behind and self._revision > 0
        wait_s = 0.0 if reads_newest else self._next_wait_s()
        asked_at = self._clock.monotonic()
        self._is_calling = True
        self.is_waiting = wait_s > 0.0
        try:
            batch = self._read_newest() if reads_newest else self._watch(wait_s)
        finally:
            self._is_calling = self.is_waiting = False
        if isinstance(batch, Failure):
            return self._record_failure(batch)
        self._record_success()
        self._verify(asked_at, 0.0 if batch.objects else wait_s)
        self._revision = max(batch.revision, self._revision)
        self._is_behind = not reads_newest and len(batch.objects) > 1
        self._on_batch(batch)
        if batch.objects:
            return min(self._gap_s(), self.max_wait_s())
        answered_in_s = self._clock.monotonic() - asked_at
        return EARLY_PAUSE_S if answered_in_s < min(wait_s, EARLY_PAUSE_S) else 0.0

    def _next_wait_s(self) -> float:
        # A call that a silent store has lost is never answered. Until the store
        # answers again, calls do not wait for changes, so that they end soon.
        # The first call after a pause shows at once whether the store answers.
        if not self.is_current:
            return 0.0
        return min(self._wait_s, self.max_wait_s())

    def _watch(self, wait_s: float) -> WatchBatch | Failure:
        return self._store.watch(
            self._prefix, after_revision=self._revision, timeout_s=wait_s
        )

    def _read_newest(self) -> WatchBatch | Failure:
        stored = self._store.get(self._prefix)
        if isinstance(stored, Failure):
            # A store that came back from an older copy may lack the object.
            is_absent = stored.kind is Kind.NOT_FOUND
            return self._watch(0.0) if is_absent else stored
        newer = stored.version > self._revision
        return WatchBatch(
            revision=max(stored.version, self._revision),
            objects=(stored,) if newer else (),
        )

    def _verify(self, asked_at: float, waited_s: float) -> None:
        """Date an answer: one without changes is no older than the end of its wait."""
        if self._clock.monotonic() - asked_at >= waited_s:
            asked_at += waited_s
        self.verified_at = max(self.verified_at, asked_at)

    def _record_failure(self, failure: Failure) -> float:
        self._is_behind = True
        self.is_current = False
        if self._failing_since is None:
            self._failing_since = self._clock.monotonic()
            logs.warn(
                logs.Event.STORE_UNAVAILABLE,
                prefix=self._prefix,
                reason=failure.detail,
                revision=revisions.text_of(self._revision),
            )
        return self._backoff.next_s()

    def _record_success(self) -> None:
        self.is_current = True
        self._backoff.reset()
        if self._failing_since is None:
            return
        logs.log(
            logs.Event.STORE_BACK,
            prefix=self._prefix,
            lost_for_s=self._clock.monotonic() - self._failing_since,
        )
        self._failing_since = None
