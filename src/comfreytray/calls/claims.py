"""Claims of idempotency keys: each key runs at most once within its retention.

A claim is in the platform's store before its call runs. The keeper of a partition
is picked by rendezvous hashing; two nodes that both act as keeper stay correct,
since both append to the same fenced log.
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
MAX_KEPT_BYTES = 4_194_304
MAX_PENDING = 1000
MAX_BATCH = 500
MAX_BATCH_OUTCOMES = 200
MAX_APPENDS = 4
"""Appends that one flush tries while others are first."""
RUN_GRACE_S = 2.0
"""Time past its deadline in which a claimed call may still report its outcome."""
CATCH_UP_INTERVAL_S = 0.5


class Granted:
    """Tell the asker that the key is now its own and the call may run."""


GRANTED = Granted()
Verdict = Granted | KeptAnswer | Failure


@frozen(kw_only=True)
class Ask:
    """Hold a request to claim a key."""

    key: bytes
    request: bytes
    until: float
    answer: Callable[[Verdict], None]


@define(kw_only=True)
class _Held:
    """Hold what is known of one key."""

    request: bytes
    until: float
    at: float
    """Monotonic time since which this node knows of the claim."""
    state: EntryType = EntryType.CLAIM
    answer: KeptAnswer | None = None
    own: bool = False
    """Whether the call runs at this node now."""


@define(kw_only=True)
class _Batch:
    """Hold what one append carries."""

    asks: list[Ask]
    outcomes: list[LogEntry]
    withdrawn: list[LogEntry] = field(factory=list)


class Partition:
    """Keep the keys of one partition."""

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
        self.held_by_key: dict[bytes, _Held] = {}
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
        self._asks: deque[Ask] = deque()
        self._outcomes: deque[LogEntry] = deque()
        self._batch: _Batch | None = None
        self._behind = False
        """Whether an ask needs what other nodes appended since."""
        self._caught_up_at = -CATCH_UP_INTERVAL_S

    @property
    def waiting(self) -> bool:
        """Say whether claims wait for an append."""
        return bool(self._asks) or self._batch is not None

    @property
    def has_outcomes(self) -> bool:
        """Say whether outcomes wait to be appended."""
        return bool(self._outcomes)

    def ask(self, ask: Ask) -> None:
        """Ask for a key; the answer comes at once or after an append."""
        if self._is_asked(ask.key):
            ask.answer(Failure(kind=Kind.REPEAT_RUNNING))
            return
        if len(self._asks) >= MAX_PENDING:
            ask.answer(Failure(kind=Kind.CLAIMS_UNAVAILABLE, detail="too many claims"))
            return
        verdict = self._verdict(ask)
        if verdict is not None and not self._may_be_behind(ask.key):
            ask.answer(verdict)
            return
        self._behind = self._behind or verdict is not None
        self._asks.append(ask)

    def withdraw(self, ask: Ask) -> None:
        """Forget an ask whose caller waits no longer; it did not run."""
        if ask in self._asks:
            self._asks.remove(ask)
        elif self._batch is not None and ask in self._batch.asks:
            self._batch.asks.remove(ask)
            self._batch.withdrawn.append(_outcome(EntryType.NOT_RUN, ask.key))

    def record(self, key: bytes, result: Reply | Outcome) -> None:
        """Keep what became of a call that this node claimed and ran."""
        held = self.held_by_key.get(key)
        if held is None or not held.own:
            return
        held.own = False
        entry = _entry_of(key, result)
        self._set(held, entry)
        self._outcomes.append(entry)

    def flush(self) -> None:
        """Append what waits; an unsettled append is tried again first."""
        for _ in range(MAX_APPENDS):
            if not self._append_once():
                return

    def _append_once(self) -> bool:
        """Append once; return whether others were first and it is worth another."""
        if self._batch is not None:
            return self._finish(self._batch, self.log.resolve())
        if self._behind:
            self._behind = False
            self._caught_up_at = self.clock.monotonic()
            self.log.catch_up()
        outcomes, asks = self._next_outcomes(), self._still_open()
        if not asks and not outcomes:
            return False
        batch = self._batch = _Batch(asks=asks, outcomes=outcomes)
        entries = [*outcomes, *(_claim(ask) for ask in asks)]
        return self._finish(batch, self.log.append(entries))

    def _next_outcomes(self) -> list[LogEntry]:
        size = min(MAX_BATCH_OUTCOMES, len(self._outcomes))
        return [self._outcomes.popleft() for _ in range(size)]

    def tidy(self) -> None:
        """Forget keys and delete segments that are past their retention."""
        self.expire()
        self.log.trim()

    def expire(self) -> None:
        """Forget the keys past their retention."""
        oldest = self.clock.monotonic() - RETENTION_S
        for key, held in list(self.held_by_key.items()):
            if held.at < oldest and not held.own:
                self._drop_answer(held)
                del self.held_by_key[key]

    def _still_open(self) -> list[Ask]:
        """Take the asks for the next append; answer those already decided."""
        taken: list[Ask] = []
        later = {entry.key for entry in self._outcomes}
        for _ in range(min(MAX_BATCH, len(self._asks))):
            ask = self._asks.popleft()
            verdict = self._verdict(ask)
            if ask.key in later:
                # The outcome of the key's last claim has to be in the log first.
                self._asks.append(ask)
            elif verdict is None:
                taken.append(ask)
            else:
                ask.answer(verdict)
        return taken

    def _finish(self, batch: _Batch, fault: Failure | None) -> bool:
        if fault is not None and fault.kind is Kind.STORE_OUTCOME_UNKNOWN:
            return False
        self._batch = None
        if fault is None:
            for entry in batch.withdrawn:
                self._set(self.held_by_key[entry.key], entry)
                self._outcomes.append(entry)
            self._grant(batch.asks)
            return False
        self._outcomes.extendleft(reversed(batch.outcomes))
        if fault.kind is Kind.CONFLICT:
            if not self.log.fresh:
                logs.log(logs.Event.CLAIMS_FENCED, partition=self.number)
            self._asks.extendleft(reversed(batch.asks))
            return True
        for ask in batch.asks:
            ask.answer(Failure(kind=Kind.CLAIMS_UNAVAILABLE, detail=fault.kind.value))
        return False

    def _grant(self, asks: list[Ask]) -> None:
        for ask in asks:
            held = self.held_by_key[ask.key]
            invariant(not held.own, "a key is granted to one call at a time")
            invariant(held.state is EntryType.CLAIM, "a granted key is claimed")
            held.own = True
            ask.answer(GRANTED)

    def _is_asked(self, key: bytes) -> bool:
        if any(ask.key == key for ask in self._asks):
            return True
        return self._batch is not None and any(a.key == key for a in self._batch.asks)

    def _may_be_behind(self, key: bytes) -> bool:
        """Say whether another node's claim may have got its outcome since."""
        held = self.held_by_key.get(key)
        if held is None or held.own or held.state is not EntryType.CLAIM:
            return False
        return self.clock.monotonic() - self._caught_up_at >= CATCH_UP_INTERVAL_S

    def _verdict(self, ask: Ask) -> Verdict | None:
        held = self.held_by_key.get(ask.key)
        if held is None or held.state is EntryType.NOT_RUN:
            return None
        if held.request != ask.request:
            return Failure(kind=Kind.KEY_REUSED)
        if held.state is EntryType.ANSWERED and held.answer is not None:
            return held.answer
        if held.state in (EntryType.ANSWERED, EntryType.RAN):
            return Failure(kind=Kind.REPEAT_RAN)
        running = held.own or self.clock.wall() < held.until + RUN_GRACE_S
        if held.state is EntryType.CLAIM and running:
            return Failure(kind=Kind.REPEAT_RUNNING)
        return Failure(kind=Kind.REPEAT_UNKNOWN)

    def _apply(self, segment: Segment) -> None:
        for entry in segment.entries:
            held = self.held_by_key.get(entry.key)
            if entry.entry_type is not EntryType.CLAIM:
                if held is not None and not held.own:
                    self._set(held, entry)
                continue
            if held is not None and held.own:
                invariant(
                    segment.writer == self.node_id,
                    "no other node claims a key whose call runs here",
                )
                continue
            self.held_by_key[entry.key] = _Held(
                request=entry.request, until=entry.until, at=self.clock.monotonic()
            )

    def _reset(self) -> None:
        own = {key: held for key, held in self.held_by_key.items() if held.own}
        self.held_by_key = own
        self.kept_bytes = 0

    def _set(self, held: _Held, entry: LogEntry) -> None:
        self._drop_answer(held)
        held.state = entry.entry_type
        if entry.answer is None:
            return
        size = len(entry.answer.body)
        if self.kept_bytes + size > MAX_KEPT_BYTES // PARTITION_COUNT:
            self._make_room(size)
        held.answer = entry.answer
        self.kept_bytes += size

    def _make_room(self, size: int) -> None:
        limit = MAX_KEPT_BYTES // PARTITION_COUNT
        for held in self.held_by_key.values():
            if self.kept_bytes + size <= limit:
                return
            self._drop_answer(held)

    def _drop_answer(self, held: _Held) -> None:
        if held.answer is not None:
            self.kept_bytes -= len(held.answer.body)
            held.answer = None


def _claim(ask: Ask) -> LogEntry:
    return LogEntry(
        entry_type=EntryType.CLAIM, key=ask.key, request=ask.request, until=ask.until
    )


def _outcome(entry_type: EntryType, key: bytes) -> LogEntry:
    return LogEntry(entry_type=entry_type, key=key)


def _entry_of(key: bytes, result: Reply | Outcome) -> LogEntry:
    if isinstance(result, Reply):
        if result.rest is not None or len(result.body) > MAX_KEPT_BODY_BYTES:
            return _outcome(EntryType.RAN, key)
        answer = KeptAnswer(
            status=result.status,
            reason=result.reason,
            headers=result.headers,
            body=result.body,
        )
        return LogEntry(entry_type=EntryType.ANSWERED, key=key, answer=answer)
    if result.ran is Ran.NO:
        return _outcome(EntryType.NOT_RUN, key)
    if result.ran is Ran.YES:
        return _outcome(EntryType.RAN, key)
    return _outcome(EntryType.UNKNOWN, key)
