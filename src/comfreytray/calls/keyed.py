"""Run calls that carry an idempotency key: claim first, then run, then record."""

import random
from collections.abc import Callable

import eventlet
from attrs import define, evolve, field

from comfreytray.calls.call import Call, Headers, Outcome, Reply, combine_ran, fail
from comfreytray.calls.claimlog import KeptAnswer
from comfreytray.calls.claims import GRANTED, ClaimRequest, Partition, Verdict
from comfreytray.calls.connections import StreamClient
from comfreytray.calls.keys import keepers_of, key_digest, partition_of, request_digest
from comfreytray.common import logs
from comfreytray.common.errors import Failure, Kind, Ran
from comfreytray.common.interfaces import Clock, ObjectStore
from comfreytray.common.records import MembershipView, NodeRecord, NodeState
from comfreytray.common.signals import Signal

COMMIT_INTERVAL_S = 0.5
OUTCOME_DELAY_S = 1.0
"""Seconds for which outcomes wait for a claim to share their append."""
RESOLVE_INTERVAL_S = 0.1
TIDY_INTERVAL_S = 30.0
MAX_KEEPERS_TRIED = 3
REPLAYED_HEADER = "Comfreytray-Replayed"

_NOT_CLAIMED = frozenset({Kind.NODE_UNREACHABLE, Kind.WRONG_NODE, Kind.LEAVING})
"""Failures by which a node knows that the keeper it called claimed nothing."""
_TRY_NEXT_KEEPER = _NOT_CLAIMED | {Kind.LOST_AFTER_SEND}


@define(kw_only=True, eq=False)
class _Waiter:
    """A caller that waits for the verdict on its key, then for the result."""

    signal: Signal = field(factory=Signal)
    verdict: Verdict | None = None
    result: Reply | Outcome | None = None
    caller_left: bool = False
    """Whether the caller no longer waits for the result."""

    def decide(self, verdict: Verdict) -> None:
        """Set the verdict and wake the caller."""
        self.verdict = verdict
        self.signal.fire()


class KeyedCalls:
    """Sends keyed calls to the keepers of their keys, and acts as keeper itself."""

    def __init__(
        self,
        *,
        node: Callable[[], NodeRecord],
        members: Callable[[], MembershipView],
        client: StreamClient,
        run: Callable[[Call], Reply | Outcome],
        store: ObjectStore,
        clock: Clock,
        random: random.Random,
    ) -> None:
        self.node = node
        self.members = members
        self.client = client
        self.run_call = run
        self.store = store
        self.clock = clock
        self.random = random
        self.leaving = False
        self.running = 0
        self.partition_by_number: dict[int, Partition] = {}
        self._committer_by_number: dict[int, Signal] = {}
        self._tidied_at = clock.monotonic()

    @property
    def settled(self) -> bool:
        """Whether no keyed call runs and all outcomes are in the log."""
        return not self.running and not any(
            partition.waiting or partition.has_outcomes
            for partition in self.partition_by_number.values()
        )

    def leave(self) -> None:
        """Stop claiming keys and write the waiting outcomes without delay."""
        self.leaving = True
        for signal in list(self._committer_by_number.values()):
            signal.fire()

    def run(self, call: Call) -> Reply | Outcome:
        """Run a keyed call through the keeper of its key.

        If that keeper is lost, the next one is tried; the log ensures that only one
        of them runs the call.
        """
        own = self.node()
        result: Reply | Outcome = fail(Kind.CLAIMS_UNAVAILABLE, "no live keeper")
        ran = Ran.NO
        for record in self._keepers(partition_of(key_digest(call))):
            if record.node_id == own.node_id:
                result = self.claim_and_run(call)
            else:
                result = self.client.call(record, call)
            if isinstance(result, Reply):
                return result
            ran = result.ran = combine_ran(ran, result.ran)
            if result.failure.kind not in _TRY_NEXT_KEEPER:
                return result
        return result

    def claim_and_run(self, call: Call) -> Reply | Outcome:
        """Claim a key as its keeper, then run its call."""
        if self.leaving:
            return fail(Kind.LEAVING, "keeper is leaving")
        key = key_digest(call)
        waiter = _Waiter()
        claim = ClaimRequest(
            key=key,
            request=request_digest(call),
            until=self.clock.wall() + call.deadline - self.clock.monotonic(),
            answer=waiter.decide,
        )
        partition = self._partition(partition_of(key))
        partition.claim(claim)
        try:
            verdict = self._await_verdict(partition, waiter, call)
        except BaseException:
            self._abandon_claim(partition, claim, waiter)
            raise
        if verdict is None:
            self._abandon_claim(partition, claim, waiter)
            return fail(
                Kind.CLAIMS_UNAVAILABLE, "store did not answer before the deadline"
            )
        if isinstance(verdict, Failure):
            return Outcome.of(verdict)
        if isinstance(verdict, KeptAnswer):
            return _replay(verdict)
        return self._execute(partition, key, call, waiter)

    def tidy(self) -> None:
        """Remove expired keys and log segments at intervals."""
        now = self.clock.monotonic()
        if now - self._tidied_at < TIDY_INTERVAL_S:
            return
        self._tidied_at = now
        for partition in list(self.partition_by_number.values()):
            if partition.number not in self._committer_by_number:
                self._commit(partition)

    def _keepers(self, number: int) -> list[NodeRecord]:
        by_id = self.members().by_id
        alive = [i for i, r in by_id.items() if r.state is NodeState.ALIVE]
        order = keepers_of(number, alive)[:MAX_KEEPERS_TRIED]
        return [by_id[node_id] for node_id in order]

    def _partition(self, number: int) -> Partition:
        found = self.partition_by_number.get(number)
        if found is not None:
            return found
        record = self.node()
        logs.log(logs.Event.CLAIMS_TAKEN_OVER, partition=number, node=record.node_id)
        made = self.partition_by_number[number] = Partition(
            number=number,
            node_id=f"{record.node_id}/{record.incarnation}",
            store=self.store,
            clock=self.clock,
            random=self.random,
        )
        return made

    def _await_verdict(
        self, partition: Partition, waiter: _Waiter, call: Call
    ) -> Verdict | None:
        if waiter.verdict is None:
            self._commit(partition)
        while waiter.verdict is None:
            left_s = call.deadline - self.clock.monotonic()
            if left_s <= 0:
                return None
            waiter.signal.wait(left_s)
        return waiter.verdict

    def _abandon_claim(
        self, partition: Partition, claim: ClaimRequest, waiter: _Waiter
    ) -> None:
        """Withdraw a claim whose caller gave up before its call ran."""
        if waiter.verdict is GRANTED:
            partition.record(claim.key, fail(Kind.DEADLINE_BEFORE_RUN))
            self._commit(partition)
            return
        partition.withdraw(claim)

    def _execute(
        self, partition: Partition, key: bytes, call: Call, waiter: _Waiter
    ) -> Reply | Outcome:
        """Run the call in its own greenlet, so that it outlives a caller that hangs up.

        The caller may then repeat the key and get the answer.
        """
        self.running += 1
        waiter.signal = Signal()
        eventlet.spawn_n(self._run, partition, key, evolve(call, key=""), waiter)
        try:
            while waiter.result is None:
                waiter.signal.wait(self._left_s(call))
        except BaseException:
            waiter.caller_left = True
            raise
        return waiter.result

    def _left_s(self, call: Call) -> float:
        return max(0.1, call.deadline - self.clock.monotonic())

    def _run(
        self, partition: Partition, key: bytes, call: Call, waiter: _Waiter
    ) -> None:
        try:
            result = self.run_call(call)
        except Exception as error:
            logs.warn(logs.Event.INTERNAL_ERROR, error=repr(error))
            result = fail(Kind.INTERNAL, type(error).__name__)
        finally:
            self.running -= 1
        partition.record(key, result)
        self._commit(partition)
        if isinstance(result, Outcome) and result.failure.kind in _NOT_CLAIMED:
            # The key was claimed here, so the caller's node must not read this failure
            # as one of the keeper.
            result = fail(Kind.NO_ENDPOINT, result.failure.kind.value)
        waiter.result = result
        if waiter.caller_left and isinstance(result, Reply):
            result.close()
        waiter.signal.fire()

    def _commit(self, partition: Partition) -> None:
        """Wake the greenlet that appends for a partition, or start it."""
        signal = self._committer_by_number.get(partition.number)
        if signal is not None:
            signal.fire()
            return
        signal = self._committer_by_number[partition.number] = Signal()
        eventlet.spawn_n(self._commit_until_idle, partition, signal)

    def _commit_until_idle(self, partition: Partition, signal: Signal) -> None:
        try:
            while True:
                if not partition.waiting and partition.has_outcomes:
                    signal.wait(0.0 if self.leaving else OUTCOME_DELAY_S)
                self._flush(partition)
                if not partition.waiting and not partition.has_outcomes:
                    return
                unsettled = partition.log.unresolved
                eventlet.sleep(RESOLVE_INTERVAL_S if unsettled else COMMIT_INTERVAL_S)
        finally:
            del self._committer_by_number[partition.number]

    def _flush(self, partition: Partition) -> None:
        try:
            partition.flush()
            if not partition.waiting:
                partition.tidy()
        except Exception as error:
            logs.warn(logs.Event.INTERNAL_ERROR, error=repr(error))


def _replay(answer: KeptAnswer) -> Reply:
    headers: Headers = (*answer.headers, (REPLAYED_HEADER, "1"))
    return Reply(
        status=answer.status,
        reason=answer.reason,
        headers=headers,
        body=answer.body,
    )
