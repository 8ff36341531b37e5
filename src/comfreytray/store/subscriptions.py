"""Follow the objects of the store under a prefix, through whatever its calls meet."""

from collections.abc import Callable, Iterable

from comfreytray.common import logs
from comfreytray.common.budgets import Backoff
from comfreytray.common.errors import Failure
from comfreytray.common.interfaces import Clock, ObjectStore, StoredObject, WatchBatch


class Subscription:
    """Read a prefix once, then watch it; each step is one call of the store.

    Pattern: an event brings a whole object, and a watch all events since a revision.
    After an outage, or in a storm of changes, that is many times what counts, and on a
    slow link it takes longer than the call may. With `newest_only` the prefix is one
    key, and a subscription that is behind reads the object itself.
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
        on_objects: Callable[[Iterable[StoredObject]], None],
        newest_only: bool = False,
    ) -> None:
        self._store = store
        self._prefix = prefix
        self._clock = clock
        self._backoff = backoff
        self._wait_s = wait_s
        self._gap_s = gap_s
        self._on_objects = on_objects
        self._newest_only = newest_only
        self._revision = 0
        self._is_behind = False
        """Whether more than one change may have come since the revision."""
        self._lost_at: float | None = None
        self.answered_at: float | None = None
        """When the store last answered, by the monotonic clock."""

    def step(self) -> float:
        """Make one call; return the seconds to wait before the next."""
        reads_newest = self._newest_only and self._is_behind and self._revision > 0
        batch = self._read_newest() if reads_newest else self._watch()
        if isinstance(batch, Failure):
            return self._lose(batch)
        self._regain()
        self._revision = batch.revision
        self._is_behind = not reads_newest and len(batch.objects) > 1
        self._on_objects(batch.objects)
        return self._gap_s() if batch.objects else 0.0

    def _watch(self) -> WatchBatch | Failure:
        # A call that a silent store swallows is answered by nobody, also later: until
        # the store has answered again, calls ask without waiting.
        wait_s = self._wait_s if self._lost_at is None else 0.0
        return self._store.watch(
            self._prefix, after_revision=self._revision, timeout_s=wait_s
        )

    def _read_newest(self) -> WatchBatch | Failure:
        stored = self._store.get(self._prefix)
        if isinstance(stored, Failure):
            return stored
        newer = stored.version > self._revision
        return WatchBatch(
            revision=max(stored.version, self._revision),
            objects=(stored,) if newer else (),
        )

    def _lose(self, failure: Failure) -> float:
        self._is_behind = True
        if self._lost_at is None:
            self._lost_at = self._clock.monotonic()
            logs.warn(
                logs.Event.STORE_UNAVAILABLE,
                prefix=self._prefix,
                reason=failure.detail,
                revision=self._revision,
            )
        return self._backoff.next_s()

    def _regain(self) -> None:
        now = self._clock.monotonic()
        self.answered_at = now
        self._backoff.reset()
        if self._lost_at is None:
            return
        logs.log(
            logs.Event.STORE_BACK, prefix=self._prefix, lost_for_s=now - self._lost_at
        )
        self._lost_at = None
