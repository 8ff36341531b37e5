"""The log of claimed idempotency keys of one partition, in the platform's store.

Each append creates the object of the next sequence number if it is absent. That
conditional create is the fence: a writer that was paused or superseded finds the
number taken, reads what it missed, and checks its claims again.
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
MAX_SYNC_AGE_S = RETENTION_S / 4
"""Age from which a writer reads the log anew before it may append."""
NONCE_BITS = 64
EXPIRED_BY_WALL_CLOCK_S = 172_800.0
"""Age by its writer's wall clock from which a segment is past its retention."""
MAX_TRIMMED_SEGMENTS = 20
"""Segments that one trim deletes at most, so that appends are not held up."""


class EntryType(IntEnum):
    """Name the entries of the log."""

    CLAIM = 1
    ANSWERED = 2
    RAN = 3
    """The call ran; its answer was too large to keep."""
    NOT_RUN = 4
    UNKNOWN = 5


@frozen(kw_only=True)
class KeptAnswer:
    """Hold an answer small enough to be repeated from the log."""

    status: int
    reason: str
    headers: Headers
    body: bytes


@frozen(kw_only=True)
class LogEntry:
    """Hold one step in the life of a key."""

    entry_type: EntryType
    key: bytes
    request: bytes = b""
    """Digest of the request that claimed the key."""
    until: float = 0.0
    """Wall time after which the claimed call can't run any more."""
    answer: KeptAnswer | None = None


@frozen(kw_only=True)
class Segment:
    """Hold the entries of one append."""

    writer: str
    nonce: int
    at: float
    """Wall time of the append."""
    entries: tuple[LogEntry, ...] = field(factory=tuple)


def encode_segment(segment: Segment) -> bytes:
    """Pack a segment."""
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
    """Unpack and check a segment."""
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
    """Read and append one partition's log."""

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
        """Whether the log was last read whole, not found taken by another."""
        self._unresolved: tuple[int, bytes, Segment] | None = None
        self._segments: deque[tuple[int, float]] = deque()
        """Sequence numbers, and since when on this clock each segment is known."""

    @property
    def unresolved(self) -> bool:
        """Say whether it is not known yet if the last append is in the log."""
        return self._unresolved is not None

    def catch_up(self) -> Failure | None:
        """Apply what others appended."""
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
        """Append entries after all that others appended.

        CONFLICT means that others were first and were applied; check again.
        STORE_OUTCOME_UNKNOWN keeps the entries; call `resolve` until it is known.
        """
        invariant(self._unresolved is None, "one append is settled before the next")
        if self.next_sequence is None or self._is_stale():
            fault = self._read_all()
            return fault or Failure(kind=Kind.CONFLICT, detail="log read anew")
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
        """Try again to learn whether the last append is in the log."""
        return self._put(first=False)

    def trim(self) -> int:
        """Delete segments past their retention, never the newest; count them."""
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
        """Take one's own append for valid only if the log can't be trimmed past it."""
        self._unresolved = None
        if self._is_stale():
            fault = self._read_all()
            return fault or Failure(kind=Kind.CONFLICT, detail="append came too late")
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
        # Another node's wall clock may be wrong: only old age by days counts at once.
        expired = segment.at < self.clock.wall() - EXPIRED_BY_WALL_CLOCK_S
        known_since = -math.inf if expired else self.clock.monotonic()
        self._segments.append((sequence, known_since))

    def _key(self, sequence: int) -> str:
        return f"{self.prefix}{sequence:012d}"
