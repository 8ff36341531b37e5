"""Claims of idempotency keys: each key runs at most once within its retention.

A claim is in the platform's store before its call runs. The keeper of a partition
(the node that claims its keys) is chosen by rendezvous hashing. Two nodes that both
act as keeper are still safe, since both append to the same fenced log.
"""

import random
from collections import deque
from collections.abc import Callable

from attrs import define, field, frozen

from comfreytray.calls.call import Outcome, Reply
from comfreytray.calls.claimlog import (
    RETENTION_S,
    ClaimLog,
    EntryType,
    KeptAnswer,
    LogEntry,
    Segment,
)
from comfreytray.calls.keys import PARTITION_COUNT
from comfreytray.common import logs
from comfreytray.common.errors import Failure, Kind, Ran
from comfreytray.common.exceptions import invariant
from comfreytray.common.interfaces import Clock, ObjectStore

MAX_KEPT_BODY_BYTES = 2048
"""Largest body of an answer that is kept for replay."""
MAX_KEPT_BYTES = 4_194_304
"""Bytes of kept bodies at a node, divided equally between the partitions."""
MAX_PENDING = 1000
"""Claims of one partition that may wait for an append."""
MAX_BATCH_CLAIMS = 500
MAX_BATCH_OUTCOMES = 200
MAX_APPENDS = 4
"""Appends that one flush tries while it meets conflicts."""
RUN_GRACE_S = 2.0
"""Seconds past its deadline in which a claimed call may still report its outcome."""
CATCH_UP_INTERVAL_S = 0.5
"""Seconds between reads of the log for the outcomes of other keepers' claims."""


class Granted:
    """Verdict that the key is claimed for this request, which may now run."""


GRANTED = Granted()
Verdict = Granted | KeptAnswer | Failure


@frozen(kw_only=True)
class ClaimRequest:
    """A request to claim a key."""

    key: bytes
    request: bytes
    """Digest of the request."""
    until: float
    """Wall time of the call's deadline."""
    answer: Callable[[Verdict], None]


@define(kw_only=True)
class _KeyRecord:
    """The state of one claimed key."""

    request: bytes
    until: float
    seen_at: float
    """Monotonic time at which this node learned of the claim."""
    state: EntryType = EntryType.CLAIM
    answer: KeptAnswer | None = None
    runs_here: bool = False
    """Whether this node claimed the key and its call has not ended."""


@define(kw_only=True)
class _Batch:
    """The contents of one append."""

    claims: list[ClaimRequest]
    outcomes: list[LogEntry]
    withdrawn: list[LogEntry] = field(factory=list)
    """Outcomes of claims that were withdrawn during the append."""


class Partition:
    """Claims the keys of one partition and keeps their outcomes."""

    def __init__(
        self,
        *,
        number: int,
        node_id: str,
        store: ObjectStore,
        clock: Clock,
        random: random.Random,
    ) -> None:
        self.number = number
        self.node_id = node_id
        self.clock = clock
        self.record_by_key: dict[bytes, _KeyRecord] = {}
        self.kept_bytes = 0
        self.log = ClaimLog(
            partition=number,
            writer=node_id,
            store=store,
            clock=clock,
            random=random,
            apply=self._apply,
            reset=self._reset,
        )
        self._pending: deque[ClaimRequest] = deque()
        self._outcomes: deque[LogEntry] = deque()
        self._batch: _Batch | None = None
        self._needs_catch_up = False
        """Whether a claim has to wait for a read of what other nodes appended."""
        self._caught_up_at = -CATCH_UP_INTERVAL_S

    @property
    def waiting(self) -> bool:
        """Whether claims wait for an append."""
        return bool(self._pending) or self._batch is not None

    @property
    def has_outcomes(self) -> bool:
        """Whether outcomes wait for an append."""
        return bool(self._outcomes)

    def claim(self, new: ClaimRequest) -> None:
        """Request a key; the verdict is given at once or after an append."""
        if self._is_pending(new.key):
            new.answer(Failure(kind=Kind.REPEAT_RUNNING))
            return
        if len(self._pending) >= MAX_PENDING:
            new.answer(Failure(kind=Kind.CLAIMS_UNAVAILABLE, detail="too many claims"))
            return
        verdict = self._verdict(new)
        if verdict is not None and not self._may_be_outdated(new.key):
            new.answer(verdict)
            return
        self._needs_catch_up = self._needs_catch_up or verdict is not None
        self._pending.append(new)

    def withdraw(self, claim: ClaimRequest) -> None:
        """Drop a claim whose caller no longer waits; its call did not run."""
        if claim in self._pending:
            self._pending.remove(claim)
        elif self._batch is not None and claim in self._batch.claims:
            self._batch.claims.remove(claim)
            self._batch.withdrawn.append(_outcome_entry(EntryType.NOT_RUN, claim.key))

    def record(self, key: bytes, result: Reply | Outcome) -> None:
        """Record the outcome of a call that this node claimed."""
        record = self.record_by_key.get(key)
        if record is None or not record.runs_here:
            return
        record.runs_here = False
        entry = _outcome_entry_of(key, result)
        self._apply_outcome(record, entry)
        self._outcomes.append(entry)

    def flush(self) -> None:
        """Append what waits, after resolving an unsettled append."""
        for _ in range(MAX_APPENDS):
            if not self._append_once():
                return

    def _append_once(self) -> bool:
        """Append once; return whether a conflict calls for another append."""
        if self._batch is not None:
            return self._finish(self._batch, self.log.resolve())
        if self._needs_catch_up:
            self._needs_catch_up = False
            self._caught_up_at = self.clock.monotonic()
            self.log.catch_up()
        outcomes, claims = self._next_outcomes(), self._take_undecided()
        if not claims and not outcomes:
            return False
        batch = self._batch = _Batch(claims=claims, outcomes=outcomes)
        entries = [*outcomes, *(_claim_entry(claim) for claim in claims)]
        return self._finish(batch, self.log.append(entries))

    def _next_outcomes(self) -> list[LogEntry]:
        size = min(MAX_BATCH_OUTCOMES, len(self._outcomes))
        return [self._outcomes.popleft() for _ in range(size)]

    def tidy(self) -> None:
        """Forget expired keys and delete expired segments of the log."""
        self.expire()
        self.log.trim()

    def expire(self) -> None:
        """Forget the keys whose retention has passed."""
        oldest = self.clock.monotonic() - RETENTION_S
        for key, record in list(self.record_by_key.items()):
            if record.seen_at < oldest and not record.runs_here:
                self._drop_answer(record)
                del self.record_by_key[key]

    def _take_undecided(self) -> list[ClaimRequest]:
        """Take the claims for the next append; answer those already decided."""
        taken: list[ClaimRequest] = []
        unwritten = {entry.key for entry in self._outcomes}
        for _ in range(min(MAX_BATCH_CLAIMS, len(self._pending))):
            claim = self._pending.popleft()
            verdict = self._verdict(claim)
            if claim.key in unwritten:  # Its previous outcome must be logged first.
                self._pending.append(claim)
            elif verdict is None:
                taken.append(claim)
            else:
                claim.answer(verdict)
        return taken

    def _finish(self, batch: _Batch, fault: Failure | None) -> bool:
        """Apply the result of an append; return whether to append again."""
        if fault is not None and fault.kind is Kind.STORE_OUTCOME_UNKNOWN:
            return False
        self._batch = None
        if fault is None:
            for entry in batch.withdrawn:
                self._apply_outcome(self.record_by_key[entry.key], entry)
                self._outcomes.append(entry)
            self._grant(batch.claims)
            return False
        self._outcomes.extendleft(reversed(batch.outcomes))
        if fault.kind is Kind.CONFLICT:
            if not self.log.last_read_was_full:
                logs.log(logs.Event.CLAIMS_FENCED, partition=self.number)
            self._pending.extendleft(reversed(batch.claims))
            return True
        for claim in batch.claims:
            claim.answer(Failure(kind=Kind.CLAIMS_UNAVAILABLE, detail=fault.kind.value))
        return False

    def _grant(self, claims: list[ClaimRequest]) -> None:
        for claim in claims:
            record = self.record_by_key[claim.key]
            invariant(not record.runs_here, "a key is granted to one call at a time")
            invariant(record.state is EntryType.CLAIM, "a granted key is claimed")
            record.runs_here = True
            claim.answer(GRANTED)

    def _is_pending(self, key: bytes) -> bool:
        if any(claim.key == key for claim in self._pending):
            return True
        return self._batch is not None and any(c.key == key for c in self._batch.claims)

    def _may_be_outdated(self, key: bytes) -> bool:
        """Whether the log may now hold the outcome of another node's claim."""
        record = self.record_by_key.get(key)
        if record is None or record.runs_here or record.state is not EntryType.CLAIM:
            return False
        return self.clock.monotonic() - self._caught_up_at >= CATCH_UP_INTERVAL_S

    def _verdict(self, claim: ClaimRequest) -> Verdict | None:
        """Return the verdict on a claim, or None if the key is free."""
        record = self.record_by_key.get(claim.key)
        if record is None or record.state is EntryType.NOT_RUN:
            return None
        if record.request != claim.request:
            return Failure(kind=Kind.KEY_REUSED)
        if record.state is EntryType.ANSWERED and record.answer is not None:
            return record.answer
        if record.state in (EntryType.ANSWERED, EntryType.RAN):
            return Failure(kind=Kind.REPEAT_RAN)
        running = record.runs_here or self.clock.wall() < record.until + RUN_GRACE_S
        if record.state is EntryType.CLAIM and running:
            return Failure(kind=Kind.REPEAT_RUNNING)
        return Failure(kind=Kind.REPEAT_UNKNOWN)

    def _apply(self, segment: Segment) -> None:
        for entry in segment.entries:
            record = self.record_by_key.get(entry.key)
            if entry.entry_type is not EntryType.CLAIM:
                if record is not None and not record.runs_here:
                    self._apply_outcome(record, entry)
                continue
            if record is not None and record.runs_here:
                invariant(
                    segment.writer == self.node_id, "no other node claims a key in use"
                )
                continue
            self.record_by_key[entry.key] = _KeyRecord(
                request=entry.request, until=entry.until, seen_at=self.clock.monotonic()
            )

    def _reset(self) -> None:
        running = {key: r for key, r in self.record_by_key.items() if r.runs_here}
        self.record_by_key = running
        self.kept_bytes = 0

    def _apply_outcome(self, record: _KeyRecord, entry: LogEntry) -> None:
        self._drop_answer(record)
        record.state = entry.entry_type
        if entry.answer is None:
            return
        size = len(entry.answer.body)
        if self.kept_bytes + size > MAX_KEPT_BYTES // PARTITION_COUNT:
            self._make_room(size)
        record.answer = entry.answer
        self.kept_bytes += size

    def _make_room(self, size: int) -> None:
        """Drop kept answers, the oldest first, until `size` more bytes fit."""
        limit = MAX_KEPT_BYTES // PARTITION_COUNT
        for record in self.record_by_key.values():
            if self.kept_bytes + size <= limit:
                return
            self._drop_answer(record)

    def _drop_answer(self, record: _KeyRecord) -> None:
        if record.answer is not None:
            self.kept_bytes -= len(record.answer.body)
            record.answer = None


def _claim_entry(new: ClaimRequest) -> LogEntry:
    return LogEntry(
        entry_type=EntryType.CLAIM, key=new.key, request=new.request, until=new.until
    )


def _outcome_entry(entry_type: EntryType, key: bytes) -> LogEntry:
    return LogEntry(entry_type=entry_type, key=key)


def _outcome_entry_of(key: bytes, result: Reply | Outcome) -> LogEntry:
    if isinstance(result, Reply):
        if result.rest is not None or len(result.body) > MAX_KEPT_BODY_BYTES:
            return _outcome_entry(EntryType.RAN, key)
        answer = KeptAnswer(
            status=result.status,
            reason=result.reason,
            headers=result.headers,
            body=result.body,
        )
        return LogEntry(entry_type=EntryType.ANSWERED, key=key, answer=answer)
    if result.ran is Ran.NO:
        return _outcome_entry(EntryType.NOT_RUN, key)
    if result.ran is Ran.YES:
        return _outcome_entry(EntryType.RAN, key)
    return _outcome_entry(EntryType.UNKNOWN, key)
