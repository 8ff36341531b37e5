"""Follow the objects of the store under a prefix, through whatever its calls meet."""

from collections.abc import Callable, Iterable

from comfreytray.common import logs
from comfreytray.common.budgets import Backoff
from comfreytray.common.errors import Failure
from comfreytray.common.interfaces import Clock, ObjectStore, StoredObject


class Subscription:
    """Read a prefix once, then watch it; each step is one call of the store."""

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
    ) -> None:
        self._store = store
        self._prefix = prefix
        self._clock = clock
        self._backoff = backoff
        self._wait_s = wait_s
        self._gap_s = gap_s
        self._on_objects = on_objects
        self._revision = 0
        self._lost_at: float | None = None
        self.heard_at: float | None = None
        """When the store last answered, by the monotonic clock."""

    def step(self) -> float:
        """Make one call; return the seconds to wait before the next."""
        # A call that a silent store swallows is answered by nobody, also later: until
        # the store has answered again, calls ask without waiting.
        wait_s = self._wait_s if self._lost_at is None else 0.0
        batch = self._store.watch(
            self._prefix, after_revision=self._revision, timeout_s=wait_s
        )
        if isinstance(batch, Failure):
            return self._lose(batch)
        self._regain()
        self._revision = batch.revision
        self._on_objects(batch.objects)
        return self._gap_s() if batch.objects else 0.0

    def _lose(self, failure: Failure) -> float:
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
        self.heard_at = now
        self._backoff.reset()
        if self._lost_at is None:
            return
        logs.log(
            logs.Event.STORE_BACK, prefix=self._prefix, lost_for_s=now - self._lost_at
        )
        self._lost_at = None
