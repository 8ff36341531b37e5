"""Watch the store for new versions and read blobs that no peer has sent."""

import random
from collections.abc import Callable

from comfreytray.common import logs
from comfreytray.common.budgets import Backoff, TokenBucket
from comfreytray.common.errors import Failure, Kind
from comfreytray.common.interfaces import Clock, ObjectStore, StoredObject
from comfreytray.common.metrics import Metrics
from comfreytray.configuration.content import Head, digest_of
from comfreytray.distribution.distribution import Distributor

HEAD_KEY = "configuration/head"
BLOB_PREFIX = "configuration/blobs/"
WATCH_TIMEOUT_S = 30.0
"""How long the store holds a watch open when nothing changes."""
NOT_WATCHING_PAUSE_S = 0.5
"""Pause of a node that is not a watcher."""
EMPTY_WATCH_PAUSE_S = 1.0
"""Pause after a watch that brought nothing new."""
FETCH_CHECK_INTERVAL_S = 0.2
"""Time between checks for blobs to read from the store."""
MIN_BACKOFF_S = 0.2
MAX_BACKOFF_S = 10.0
MAX_BLOBS_PER_STEP = 32
STORE_CALLS_PER_S = 100.0
STORE_CALL_BURST = 200.0


def blob_key(digest: bytes) -> str:
    """Return the store key of a blob."""
    return BLOB_PREFIX + digest.hex()


class StoreWatcher:
    """Pass heads and blobs from the store to the distributor.

    `watch_step` and `fetch_step` each make a bounded number of store calls and return
    the seconds to wait before the next step; a node runs each in a loop of its own.
    """

    def __init__(
        self,
        *,
        store: ObjectStore,
        distributor: Distributor,
        decode_head: Callable[[bytes], Head | Failure],
        clock: Clock,
        random: random.Random,
        metrics: Metrics,
    ) -> None:
        self._store = store
        self._distributor = distributor
        self._decode_head = decode_head
        self._clock = clock
        self._metrics = metrics
        self._revision = 0
        self._watch_backoff = _backoff(random)
        self._fetch_backoff = _backoff(random)
        self._budget = TokenBucket(
            rate_per_s=STORE_CALLS_PER_S,
            capacity=STORE_CALL_BURST,
            refilled_at_s=clock.monotonic(),
        )

    def watch_step(self) -> float:
        """Wait for a newer head if this node is a watcher."""
        if not self._distributor.watches_store():
            self._revision = 0
            return NOT_WATCHING_PAUSE_S
        self._metrics.count("store-watch")
        batch = self._store.watch(
            HEAD_KEY, after_revision=self._revision, timeout_s=WATCH_TIMEOUT_S
        )
        if isinstance(batch, Failure):
            # Restarts from revision 0: the store may have lost its newest revisions.
            self._revision = 0
            return _record_failure(self._watch_backoff, batch)
        _record_success(self._watch_backoff)
        is_newer = batch.revision > self._revision
        self._revision = max(self._revision, batch.revision)
        for stored in batch.objects:
            self._handle_head(stored)
        return 0.0 if batch.objects and is_newer else EMPTY_WATCH_PAUSE_S

    def fetch_step(self) -> float:
        """Read some of the blobs that no peer has sent in time."""
        wanted = self._distributor.wanted_from_store()
        if wanted is None:
            return FETCH_CHECK_INTERVAL_S
        head, digests = wanted
        blob_by_digest, failed = self._read(digests[:MAX_BLOBS_PER_STEP])
        if blob_by_digest:
            self._distributor.offer(head, blob_by_digest)
        if failed is not None:
            return _record_failure(self._fetch_backoff, failed)
        _record_success(self._fetch_backoff)
        return self._budget.wait_s(self._clock.monotonic())

    def _read(self, digests: list[bytes]) -> tuple[dict[bytes, bytes], Failure | None]:
        """Read blobs until the call budget is spent or a read fails."""
        blob_by_digest: dict[bytes, bytes] = {}
        for digest in digests:
            now = self._clock.monotonic()
            if not self._budget.can_spend(now):
                break
            self._budget.spend(1, now)
            self._metrics.count("store-get")
            stored = self._store.get(blob_key(digest))
            if isinstance(stored, Failure):
                return blob_by_digest, stored
            if digest_of(stored.value) != digest:
                detail = f"stored blob {digest.hex()}"
                failed = Failure(kind=Kind.DIGEST_MISMATCH, detail=detail)
                return blob_by_digest, failed
            blob_by_digest[digest] = stored.value
        return blob_by_digest, None

    def _handle_head(self, stored: StoredObject) -> None:
        if stored.key != HEAD_KEY:
            return
        head = self._decode_head(stored.value)
        if isinstance(head, Failure):
            logs.warn(logs.Event.FRAME_REFUSED, key=stored.key, detail=head.detail)
            return
        self._distributor.observe_store_head(head)


def _backoff(random: random.Random) -> Backoff:
    return Backoff(random=random, min_s=MIN_BACKOFF_S, max_s=MAX_BACKOFF_S)


def _record_failure(backoff: Backoff, failure: Failure) -> float:
    """Record a failed store call and return the seconds to wait."""
    if backoff.failures == 0:
        logs.warn(logs.Event.STORE_UNAVAILABLE, reason=failure.kind.value)
    return backoff.next_s()


def _record_success(backoff: Backoff) -> None:
    if backoff.failures:
        logs.log(logs.Event.STORE_BACK, failures=backoff.failures)
    backoff.reset()
