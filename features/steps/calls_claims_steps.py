import random

from behave import given, then, when
from calls_rig import soak_seeds

from comfreytray.calls.call import Reply, fail
from comfreytray.calls.claimlog import RETENTION_S, KeptAnswer
from comfreytray.calls.claims import (
    GRANTED,
    MAX_BATCH_OUTCOMES,
    ClaimRequest,
    Partition,
)
from comfreytray.common.errors import Kind
from comfreytray.testing import FakeClock, MemoryStore

KEYS = [bytes([number]) * 16 for number in range(1, 7)]
STEPS = 250


class InterleavingStore(MemoryStore):
    """Let other keepers run before each read and before and after each write."""

    def put(self, key, value, *, expected_version):
        self.between()
        stored = super().put(key, value, expected_version=expected_version)
        self.between()
        return stored

    def get(self, key):
        self.between()
        return super().get(key)

    def between(self):
        return None


class KeeperRun:
    """Run random steps of competing keepers and count the runs of each key."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.clock = FakeClock(now=10_000.0)
        self.store = InterleavingStore()
        self.store.between = self.interleave
        self.busy = set()
        self.made = 0
        self.depth = 0
        self.running = []
        self.ran_by_key = {}
        self.faults = []
        self.keepers = [self.make() for _ in range(3)]

    def make(self):
        self.made += 1
        return Partition(
            number=0,
            node_id=f"node/{self.made}",
            store=self.store,
            clock=self.clock,
            random=random.Random(self.made),
        )

    def interleave(self):
        if self.depth < 3 and self.random.random() < 0.3:
            self.depth += 1
            self.step()
            self.depth -= 1

    def claim(self, keeper, key, request):
        def answered(verdict):
            if verdict is GRANTED:
                self.running.append((keeper, key, request))
            elif isinstance(verdict, KeptAnswer) and verdict.body != key + request:
                self.faults.append(f"answer of another call for {key!r}")

        claim = ClaimRequest(
            key=key, request=request, until=self.clock.wall() + 5, answer=answered
        )
        keeper.claim(claim)
        return claim

    def finish(self):
        keeper, key, request = self.running.pop(
            self.random.randrange(len(self.running))
        )
        if keeper not in self.keepers:
            return
        draw = self.random.random()
        if draw < 0.4:
            keeper.record(key, fail(Kind.OVERLOADED))
            return
        self.count(key)
        if draw < 0.8:
            body = key + request
            keeper.record(key, Reply(status=201, reason="", headers=(), body=body))
        else:
            keeper.record(key, fail(Kind.LOST_AFTER_SEND))

    def count(self, key):
        self.ran_by_key[key] = self.ran_by_key.get(key, 0) + 1

    def crash(self):
        index = self.random.randrange(len(self.keepers))
        dead = self.keepers[index]
        if dead in self.busy:
            return
        for keeper, key, _ in self.running:
            if keeper is dead:
                self.count(key)
        self.running = [entry for entry in self.running if entry[0] is not dead]
        self.keepers[index] = self.make()

    def flush(self):
        keeper = self.random.choice(self.keepers)
        if keeper in self.busy:
            return
        self.busy.add(keeper)
        keeper.flush()
        self.busy.discard(keeper)

    def step(self):
        keeper = self.random.choice(self.keepers)
        draw = self.random.random()
        if draw < 0.3:
            request = self.random.choice([b"r1", b"r1", b"r2"])
            claim = self.claim(keeper, self.random.choice(KEYS), request)
            if self.random.random() < 0.2 and keeper not in self.busy:
                keeper.withdraw(claim)
        elif draw < 0.65:
            self.flush()
        elif draw < 0.85 and self.running:
            self.finish()
        elif draw < 0.88:
            self.crash()
        elif draw < 0.92:
            self.store.down = not self.store.down
        elif draw < 0.95:
            self.store.lose_answers = self.random.randint(0, 2)
        elif draw < 0.97:
            self.store.stale_reads = self.random.randint(0, 2)
        else:
            self.clock.now += self.random.choice([0.1, 1.0, 8.0])

    def recover(self):
        self.store.down = False
        self.store.lose_answers = self.store.stale_reads = 0
        self.random = random.Random(0)
        granted = []
        keeper = self.make()
        claim = ClaimRequest(
            key=b"new" + b"0" * 13, request=b"r", until=0.0, answer=granted.append
        )
        keeper.claim(claim)
        for _ in range(10):
            keeper.flush()
        return granted == [GRANTED]


@when("keepers of one partition claim keys while the store fails in every way")
def run_keepers(context):
    context.runs = []
    for seed in soak_seeds(120):
        run = KeeperRun(seed)
        for _ in range(STEPS):
            run.step()
        repeated = {k: n for k, n in run.ran_by_key.items() if n > 1}
        context.runs.append((seed, repeated, run.faults, run.recover(), run.ran_by_key))


@then("no call ran twice under one key")
def check_doubles(context):
    bad = [(seed, repeated) for seed, repeated, *_ in context.runs if repeated]
    assert not bad, bad[:3]
    assert sum(len(ran) for *_, ran in context.runs) > 100


@then("every replayed answer belongs to its key and request")
def check_replayed(context):
    bad = [(seed, faults) for seed, _, faults, *_ in context.runs if faults]
    assert not bad, bad[:3]


@then("a new key is granted once the store has recovered")
def check_recovery(context):
    assert all(recovered for _, _, _, recovered, _ in context.runs)


def _claim_and_flush(context, partition, key):
    verdicts = []
    partition.claim(
        ClaimRequest(
            key=key, request=b"r", until=context.clock.wall(), answer=verdicts.append
        )
    )
    for _ in range(4):
        partition.flush()
    return verdicts


def _partition(context, name):
    return Partition(
        number=0,
        node_id=name,
        store=context.store,
        clock=context.clock,
        random=random.Random(name),
    )


@given("a keeper that was paused while another one wrote and trimmed the log")
def pause_keeper(context):
    context.clock = FakeClock(now=10_000.0)
    context.store = MemoryStore()
    context.paused = _partition(context, "paused/1")
    assert _claim_and_flush(context, context.paused, KEYS[0]) == [GRANTED]
    other = _partition(context, "other/1")
    for minute in range(int(2 * RETENTION_S // 60)):
        context.clock.now += 60
        key = KEYS[1] if minute == 58 else b"%016d" % minute
        assert _claim_and_flush(context, other, key) == [GRANTED]
        other.record(key, Reply(status=200, reason="", headers=(), body=b"done"))
        other.tidy()
    assert not context.store.list("claims/000/000000000001"), "not trimmed"


@when("the paused keeper wakes and claims a key that ran meanwhile")
def wake_keeper(context):
    context.verdicts = _claim_and_flush(context, context.paused, KEYS[1])


@then("the paused keeper is not granted the key")
def check_paused(context):
    assert GRANTED not in context.verdicts, context.verdicts
    assert context.verdicts, "no verdict"


class SlowWallClock(FakeClock):
    """A clock whose wall time is two hours behind."""

    def wall(self):
        return self.now - 7200.0


@given("a keeper whose wall clock is two hours behind and that claimed a key")
def claim_with_wrong_clock(context):
    context.clock = SlowWallClock(now=10_000.0)
    context.store = MemoryStore()
    keeper = _partition(context, "behind/1")
    for key in KEYS[:3]:
        assert _claim_and_flush(context, keeper, key) == [GRANTED]


@when("another keeper reads and trims the log")
def trim_with_right_clock(context):
    context.clock = FakeClock(now=10_001.0)
    other = _partition(context, "right/1")
    assert GRANTED not in _claim_and_flush(context, other, KEYS[0])
    other.tidy()


@then("the key is not granted again within its retention")
def check_wrong_clock(context):
    third = _partition(context, "third/1")
    for key in KEYS[:3]:
        assert GRANTED not in _claim_and_flush(context, third, key)


@given("a keeper with more outcomes than one append carries")
def many_outcomes(context):
    context.clock = FakeClock(now=10_000.0)
    context.store = MemoryStore()
    context.keeper = _partition(context, "keeper/1")
    keys = [b"%016d" % number for number in range(MAX_BATCH_OUTCOMES + 1)]
    for key in keys:
        assert _claim_and_flush(context, context.keeper, key) == [GRANTED]
    for key in keys:
        context.keeper.record(key, fail(Kind.OVERLOADED))
    context.last = keys[-1]


@when("a key whose call did not run is claimed again")
def claim_again(context):
    context.first = []
    context.keeper.claim(
        ClaimRequest(
            key=context.last,
            request=b"r",
            until=context.clock.wall(),
            answer=context.first.append,
        )
    )
    for _ in range(4):
        context.keeper.flush()


@then("another keeper is not granted that key")
def check_second(context):
    assert context.first == [GRANTED], context.first
    other = _partition(context, "other/1")
    assert GRANTED not in _claim_and_flush(context, other, context.last)
