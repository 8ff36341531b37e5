"""Keeps the holds of requests in the store, where nodes that start find them.

An operator lets a request go by setting `released` in its record.
"""

import json
from collections import OrderedDict
from collections.abc import Iterable
from typing import Any

from attrs import evolve, frozen

from comfreytray.calls.fingerprints import name_of, parse_name
from comfreytray.calls.guard import Guard
from comfreytray.calls.notices import Answered, Held, Released, check_held
from comfreytray.common import logs, outerjson, revisions
from comfreytray.common.budgets import Backoff
from comfreytray.common.errors import Failure, Kind
from comfreytray.common.interfaces import Clock, ObjectStore, StoredObject
from comfreytray.common.repeating import repeat
from comfreytray.common.signals import Signal

MAX_RECORD_BYTES = 4096
MAX_QUEUED = 256
"""Records that wait to be written; the oldest is dropped."""
WRITE_GAP_S = 0.2
"""Pause between writes, so that many holds do not take the store's rate."""
IDLE_WAIT_S = 60.0
MS_PER_S = 1000


@frozen(kw_only=True)
class HoldRecord:
    """The stored form of a hold."""

    held: Held
    until_ms: int
    """End of the hold, in ms since the epoch."""
    released: bool = False


class HoldRecords:
    """Writes the holds that this node decided on, and learns those of others."""

    def __init__(
        self,
        *,
        store: ObjectStore,
        prefix: str,
        guard: Guard,
        clock: Clock,
        backoff: Backoff,
    ) -> None:
        """Create it; the keys of all records begin with `prefix`."""
        self._store = store
        self._prefix = prefix
        self._guard = guard
        self._clock = clock
        self._backoff = backoff
        self._queue: OrderedDict[bytes, HoldRecord] = OrderedDict()
        self._version_by_key: dict[str, int] = {}
        self._until_ms_by_key: dict[str, int] = {}
        self._wake = Signal()
        guard.on_held = self._write_later
        guard.on_released = self._release_later

    def take(self, objects: Iterable[StoredObject]) -> list[StoredObject]:
        """Learn the records of holds among stored objects; return the other objects."""
        rest: list[StoredObject] = []
        own: list[StoredObject] = []
        for stored in objects:
            (own if stored.key.startswith(self._prefix) else rest).append(stored)
        self.apply(own)
        return rest

    def apply(self, objects: Iterable[StoredObject]) -> None:
        """Learn the records that the store holds."""
        for stored in objects:
            record = decode(stored.value)
            if record is None or stored.key != self._key_of(record.held.request):
                logs.warn(
                    logs.Event.MEMBER_REFUSED,
                    key=stored.key,
                    version=revisions.text_of(stored.version),
                )
                continue
            self._note(stored, record)
            self._learn(record)

    def load(self) -> bool:
        """Read all records once; return whether the store answered."""
        listed = self._store.list(self._prefix)
        if isinstance(listed, Failure):
            return False
        self.apply(listed)
        return True

    def run(self) -> None:
        """Write what is due, until killed."""
        repeat("hold-records", self._wait_and_step)

    def _wait_and_step(self) -> float:
        if not self._queue:
            self._wake.wait(IDLE_WAIT_S)
        return self.step()

    def step(self) -> float:
        """Make one write, if any is due; return the seconds to wait after it."""
        if not self._queue:
            return 0.0
        request, record = next(iter(self._queue.items()))
        failure = self._write(record)
        if failure is not None and failure.kind is not Kind.CONFLICT:
            logs.warn(
                logs.Event.RECORD_NOT_STORED,
                call="hold",
                kind=failure.kind.value,
                reason=failure.detail,
            )
            return self._backoff.next_s()
        self._backoff.reset()
        if failure is None and self._queue.get(request) is record:
            del self._queue[request]
            self._delete_lapsed()
        return WRITE_GAP_S

    def _key_of(self, request: bytes) -> str:
        return self._prefix + name_of(request)

    def _write_later(self, held: Held) -> None:
        until_ms = int((self._clock.wall() + held.left_s) * MS_PER_S)
        self._enqueue(HoldRecord(held=held, until_ms=until_ms))

    def _release_later(self, notice: Answered | Released) -> None:
        held = Held(
            request=notice.request,
            label="",
            ends=0,
            left_s=0.0,
            generation=notice.generation,
        )
        until_ms = int(self._clock.wall() * MS_PER_S)
        self._enqueue(HoldRecord(held=held, until_ms=until_ms, released=True))

    def _enqueue(self, record: HoldRecord) -> None:
        self._queue[record.held.request] = record
        while len(self._queue) > MAX_QUEUED:
            self._queue.popitem(last=False)
        self._wake.fire()

    def _write(self, record: HoldRecord) -> Failure | None:
        """Write a record, unless the store has one that replaces it."""
        key = self._key_of(record.held.request)
        version = self._version_by_key.get(key, 0)
        stored = self._store.put(key, encode(record), expected_version=version)
        if not isinstance(stored, Failure):
            self._note(stored, record)
            return None
        if stored.kind not in (Kind.CONFLICT, Kind.NOT_FOUND):
            return stored
        found = self._store.get(key)
        if isinstance(found, Failure):
            self._version_by_key.pop(key, None)
            return stored if found.kind is Kind.NOT_FOUND else found
        known = decode(found.value)
        if known is not None:
            self._note(found, known)
            if _replaces(known, record):
                self._learn(known)
                return None
        self._version_by_key[key] = found.version
        return Failure(kind=Kind.CONFLICT, detail=key)

    def _note(self, stored: StoredObject, record: HoldRecord) -> None:
        self._version_by_key[stored.key] = stored.version
        self._until_ms_by_key[stored.key] = record.until_ms

    def _learn(self, record: HoldRecord) -> None:
        held = record.held
        left_s = record.until_ms / MS_PER_S - self._clock.wall()
        if record.released:
            notice = Released(request=held.request, generation=held.generation)
            self._guard.learn((notice,))
        elif left_s > 0:
            self._guard.learn((evolve(held, left_s=left_s),))

    def _delete_lapsed(self) -> None:
        """Delete one record that has lapsed, so that they don't accumulate."""
        now_ms = self._clock.wall() * MS_PER_S
        for key, until_ms in self._until_ms_by_key.items():
            request = parse_name(key.removeprefix(self._prefix))
            if until_ms >= now_ms or request in self._queue:
                continue
            self._store.delete(key, expected_version=self._version_by_key[key])
            del self._until_ms_by_key[key], self._version_by_key[key]
            return


def encode(record: HoldRecord) -> bytes:
    """Encode a record as JSON."""
    held = record.held
    plain = {
        "request": name_of(held.request),
        "label": held.label,
        "ends": held.ends,
        "generation": held.generation,
        "until_ms": record.until_ms,
        "released": record.released,
    }
    return json.dumps(plain, separators=(",", ":"), sort_keys=True).encode()


def decode(value: bytes) -> HoldRecord | None:
    """Decode a record; None if it is malformed."""
    if len(value) > MAX_RECORD_BYTES:
        return None
    try:
        return _decode(outerjson.loads(value))
    except (ValueError, TypeError, KeyError, AttributeError):
        return None


def _decode(plain: dict[str, Any]) -> HoldRecord:
    until_ms, released = plain["until_ms"], plain["released"]
    if type(until_ms) is not int or not 0 <= until_ms < 2**53:
        raise ValueError(f"expected ms since the epoch, got {until_ms!r:.60}")
    if type(released) is not bool:
        raise ValueError(f"expected true or false, got {released!r:.60}")
    held = check_held(
        parse_name(plain["request"]),
        plain["label"],
        plain["ends"],
        0.0,
        plain["generation"],
    )
    return HoldRecord(held=held, until_ms=until_ms, released=released)


def _replaces(known: HoldRecord, record: HoldRecord) -> bool:
    """Whether a stored record is later than one to be written, or releases it."""
    if known.held.generation != record.held.generation:
        return known.held.generation > record.held.generation
    return known.released or known.until_ms >= record.until_ms
