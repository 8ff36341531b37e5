"""The log of claimed idempotency keys of one partition, in the platform's store.

Each append creates the object of the next sequence number, on condition that it is
absent. This fences off a writer that was paused or superseded: it finds the number
taken, reads the segments that it missed, and checks its claims again.
"""

import math
import random
from collections import deque
from collections.abc import Callable, Sequence
from enum import IntEnum

import msgpack
from attrs import field, frozen

from comfreytray.calls.call import Headers
from comfreytray.common.errors import Failure, Kind
from comfreytray.common.exceptions import invariant
from comfreytray.common.interfaces import Clock, ObjectStore, StoredObject

PREFIX = "claims"
FORMAT = 1
RETENTION_S = 1800.0
"""Seconds for which the claim of a key is kept."""
MAX_SYNC_AGE_S = RETENTION_S / 4
"""Seconds without a read after which a writer reads the whole log before appending."""
NONCE_BITS = 64
EXPIRED_BY_WALL_CLOCK_S = 172_800.0
"""Seconds of age by its writer's wall clock after which a segment has expired."""
MAX_TRIMMED_SEGMENTS = 20
"""Segments that one trim deletes at most, so that it doesn't delay appends."""


class EntryType(IntEnum):
    """Types of log entries; all but CLAIM are outcomes of a claimed call."""

    CLAIM = 1
    ANSWERED = 2
    RAN = 3
    """The call ran; its answer was too large to keep."""
    NOT_RUN = 4
    UNKNOWN = 5


@frozen(kw_only=True)
class KeptAnswer:
    """An answer that is small enough to be kept in the log for replay."""

    status: int
    reason: str
    headers: Headers
    body: bytes


@frozen(kw_only=True)
class LogEntry:
    """The claim of a key, or the outcome of its call."""

    entry_type: EntryType
    key: bytes
    request: bytes = b""
    """Digest of the request that claimed the key."""
    until: float = 0.0
    """Wall time of the call's deadline, after which it can't run any more."""
    answer: KeptAnswer | None = None


@frozen(kw_only=True)
class Segment:
    """The entries of one append."""

    writer: str
    nonce: int
    """Random number by which a writer recognizes its own append."""
    at: float
    """Wall time of the append."""
    entries: tuple[LogEntry, ...] = field(factory=tuple)


def encode_segment(segment: Segment) -> bytes:
    """Return a segment in its stored form."""
    rows = [
        [
            int(entry.entry_type),
            entry.key,
            entry.request,
            entry.until,
            None if entry.answer is None else _answer_row(entry.answer),
        ]
        for entry in segment.entries
    ]
    return msgpack.packb(  # type: ignore[no-any-return]
        [FORMAT, segment.writer, segment.nonce, segment.at, rows]
    )


def _answer_row(answer: KeptAnswer) -> list[object]:
    return [answer.status, answer.reason, answer.headers, answer.body]


def decode_segment(value: bytes) -> Segment | Failure:
    """Return the segment of a stored object, or a failure if it is malformed."""
    try:
        number, writer, nonce, at, rows = msgpack.unpackb(value, use_list=False)
        if number != FORMAT:
            raise ValueError(number)
        return Segment(
            writer=writer,
            nonce=nonce,
            at=float(at),
            entries=tuple(_entry(*row) for row in rows),
        )
    except Exception as error:
        return Failure(kind=Kind.BAD_FRAME, detail=f"segment: {type(error).__name__}")


def _entry(
    number: int,
    key: bytes,
    request: bytes,
    until: float,
    row: tuple[int, str, Headers, bytes] | None,
) -> LogEntry:
    answer = None
    if row is not None:
        status, reason, headers, body = row
        answer = KeptAnswer(status=status, reason=reason, headers=headers, body=body)
    return LogEntry(
        entry_type=EntryType(number),
        key=key,
        request=request,
        until=float(until),
        answer=answer,
    )


class ClaimLog:
    """Reads and appends to the log of one partition."""

    def __init__(
        self,
        *,
        partition: int,
        writer: str,
        store: ObjectStore,
        clock: Clock,
        random: random.Random,
        apply: Callable[[Segment], None],
        reset: Callable[[], None],
    ) -> None:
        self.prefix = f"{PREFIX}/{partition:03d}/"
        self.writer = writer
        self.store = store
        self.clock = clock
        self.random = random
        self.apply = apply
        self.reset = reset
        self.next_sequence: int | None = None
        self.synced_at = 0.0
        self.last_read_was_full = False
        """Whether the log was read in full and no append has conflicted since."""
        self._unresolved: tuple[int, bytes, Segment] | None = None
        """Sequence number, encoded value and segment of an append not yet settled."""
        self._segments: deque[tuple[int, float]] = deque()
        """Sequence number of each segment and the monotonic time it became known."""

    @property
    def unresolved(self) -> bool:
        """Whether the outcome of the last append is still unknown."""
        return self._unresolved is not None

    def catch_up(self) -> Failure | None:
        """Apply the segments that other writers appended."""
        if self.next_sequence is None or self._is_stale():
            return self._read_all()
        while True:
            stored = self.store.get(self._key(self.next_sequence))
            if isinstance(stored, Failure):
                if stored.kind is not Kind.NOT_FOUND:
                    return stored
                self.synced_at = self.clock.monotonic()
                return None
            fault = self._accept_stored(stored, self.next_sequence)
            if fault is not None:
                return fault

    def append(self, entries: Sequence[LogEntry]) -> Failure | None:
        """Append entries at the end of the log.

        CONFLICT: segments of other writers, or the whole log, were applied first; the
        caller checks its entries again. STORE_OUTCOME_UNKNOWN: the entries are kept;
        the caller calls `resolve` until the outcome is known.
        """
        invariant(self._unresolved is None, "one append is settled before the next")
        if self.next_sequence is None or self._is_stale():
            fault = self._read_all()
            return fault or Failure(
                kind=Kind.CONFLICT, detail="log was read again in full"
            )
        segment = Segment(
            writer=self.writer,
            nonce=self.random.getrandbits(NONCE_BITS),
            at=self.clock.wall(),
            entries=tuple(entries),
        )
        value = encode_segment(segment)
        self._unresolved = (self.next_sequence, value, segment)
        return self._put(first=True)

    def resolve(self) -> Failure | None:
        """Repeat the last append until it is known whether it is in the log."""
        return self._put(first=False)

    def trim(self) -> int:
        """Delete expired segments, but never the newest; return how many."""
        oldest = self.clock.monotonic() - RETENTION_S
        deleted = 0
        while deleted < MAX_TRIMMED_SEGMENTS and len(self._segments) > 1:
            sequence, known_since = self._segments[0]
            if known_since >= oldest:
                break
            fault = self.store.delete(self._key(sequence), expected_version=None)
            if fault is not None and fault.kind is not Kind.NOT_FOUND:
                break
            self._segments.popleft()
            deleted += 1
        return deleted

    def _put(self, *, first: bool) -> Failure | None:
        assert self._unresolved is not None
        sequence, value, segment = self._unresolved
        stored = self.store.put(self._key(sequence), value, expected_version=0)
        if isinstance(stored, StoredObject):
            return self._settle(sequence, segment)
        if stored.kind is Kind.CONFLICT:
            return self._resolve_conflict(sequence, segment)
        if first and stored.kind is not Kind.STORE_OUTCOME_UNKNOWN:
            self._unresolved = None
            return stored
        return Failure(kind=Kind.STORE_OUTCOME_UNKNOWN, detail=stored.detail)

    def _resolve_conflict(self, sequence: int, segment: Segment) -> Failure | None:
        held = self.store.get(self._key(sequence))
        if isinstance(held, Failure):
            return Failure(kind=Kind.STORE_OUTCOME_UNKNOWN, detail=held.kind.value)
        found = decode_segment(held.value)
        if isinstance(found, Segment) and found.nonce == segment.nonce:
            return self._settle(sequence, segment)
        self._unresolved = None
        self.last_read_was_full = False
        fault = self._accept_stored(held, sequence)
        return fault or Failure(kind=Kind.CONFLICT, detail="superseded")

    def _settle(self, sequence: int, segment: Segment) -> Failure | None:
        """Accept the writer's own append, unless its view of the log is out of date.

        Others may have used the number and trimmed it since, so that it was free again.
        """
        self._unresolved = None
        if self._is_stale():
            fault = self._read_all()
            return fault or Failure(
                kind=Kind.CONFLICT, detail="append was confirmed too late"
            )
        self.synced_at = self.clock.monotonic()
        self._accept(sequence, segment)
        return None

    def _is_stale(self) -> bool:
        return self.clock.monotonic() - self.synced_at > MAX_SYNC_AGE_S

    def _read_all(self) -> Failure | None:
        started = self.clock.monotonic()
        listed = self.store.list(self.prefix)
        if isinstance(listed, Failure):
            return listed
        self.last_read_was_full = True
        self.reset()
        self._segments.clear()
        self.next_sequence = 0
        for stored in listed:
            sequence = int(stored.key.removeprefix(self.prefix))
            fault = self._accept_stored(stored, sequence)
            if fault is not None:
                self.next_sequence = None
                return fault
        self.synced_at = started
        return None

    def _accept_stored(self, stored: StoredObject, sequence: int) -> Failure | None:
        segment = decode_segment(stored.value)
        if isinstance(segment, Failure):
            return segment
        self._accept(sequence, segment)
        return None

    def _accept(self, sequence: int, segment: Segment) -> None:
        self.apply(segment)
        self.next_sequence = sequence + 1
        # The writer's wall clock may be wrong: only an age of days counts as expired.
        expired = segment.at < self.clock.wall() - EXPIRED_BY_WALL_CLOCK_S
        known_since = -math.inf if expired else self.clock.monotonic()
        self._segments.append((sequence, known_since))

    def _key(self, sequence: int) -> str:
        return f"{self.prefix}{sequence:012d}"
