"""Replays of loads against nodes that exchange notices with a delay."""

import itertools
import random
import zlib

import msgpack
from behave import given, then, when

from comfreytray.calls import notices, quarantine
from comfreytray.calls.notices import Answered, Held, InstanceEnd, Released
from comfreytray.calls.quarantine import HOLD_S, Quarantine, Verdict
from comfreytray.testing import FakeClock

STEP_S = 0.005
NEWS_S = 0.03
"""Delay of notices between nodes."""
RUN_S = 0.06
CRASH_AFTER_S = 0.03
DOWN_S = 3.0
SLOTS = 12


def request(name):
    return name.encode().ljust(16, b".")[:16]


class Node:
    """A node beside an instance, with the rules of an owner and nothing else."""

    def __init__(self, name, clock):
        self.name = name
        self.quarantine = Quarantine(clock=clock)
        self.runs = []
        """Request, end of the run, and whether the run is isolated."""
        self.down_until = 0.0
        self.ends = 0


class Replay:
    """Plays requests against a service; entries choose instances at random."""

    def __init__(self, *, instances, deadly=()):
        self.random = random.Random(30)
        self.clock = FakeClock()
        self.deadly = {request(name) for name in deadly}
        self.nodes = [Node(f"n{number}", self.clock) for number in range(instances)]
        self.news = []
        self.ends_by_request = {}
        self.runs_after_hold = 0
        self.held = set()

    def step(self):
        self.clock.now += STEP_S
        now = self.clock.now
        for due, to, items in [n for n in self.news if n[0] <= now]:
            self.news.remove((due, to, items))
            for item in items:
                to.quarantine.learn(item)
        for node in self.nodes:
            self._finish(node, now)
        for node in self.nodes:
            self.held.update(h.held.request for h in node.quarantine.holds)

    def _tell(self, sender, items):
        if items:
            due = self.clock.now + NEWS_S
            others = (node for node in self.nodes if node is not sender)
            self.news += [(due, node, items) for node in others]

    def _finish(self, node, now):
        ended = [run for run in node.runs if run[1] <= now]
        if any(run[0] in self.deadly for run in ended):
            self.kill(node)
            return
        for run in ended:
            node.runs.remove(run)
            if not node.quarantine.is_empty:
                self._tell(node, node.quarantine.record_answer(run[0]))

    def kill(self, node):
        """End an instance; return the requests that were under way."""
        under_way = [run[0] for run in node.runs]
        isolated = next((run[0] for run in node.runs if run[2]), b"")
        node.runs.clear()
        node.down_until = self.clock.now + DOWN_S
        node.ends += 1
        for found in set(under_way) & self.deadly:
            self.ends_by_request[found] = self.ends_by_request.get(found, 0) + 1
        if under_way:
            end = InstanceEnd(
                end_id=f"{node.name}/{node.ends}",
                label_by_request={r: "" for r in under_way},
                isolated=isolated,
            )
            self._tell(node, node.quarantine.record_end(end))
        return under_way

    def send(self, name):
        """Send a request to an instance; return whether it runs."""
        found = request(name)
        up = [n for n in self.nodes if n.down_until <= self.clock.now]
        up = [n for n in up if len(n.runs) < SLOTS]
        if not up:
            return False
        entry = self.random.choice(self.nodes)
        isolated = entry.quarantine.verdict(found) is Verdict.ISOLATED
        rank = lambda n: zlib.crc32(found + n.name.encode())
        node = max(up, key=rank) if isolated else self.random.choice(up)
        verdict = node.quarantine.verdict(found)
        verdicts = {verdict, entry.quarantine.verdict(found)}
        if verdicts & {Verdict.HELD, Verdict.PAUSED}:
            return False
        isolated = verdict is Verdict.ISOLATED
        if isolated and any(run[2] for run in node.runs):
            return False
        took_s = CRASH_AFTER_S if found in self.deadly else RUN_S
        node.runs.append((found, self.clock.now + took_s, isolated))
        return True


@given(
    "a service of {count:d} instances, and a request that ends each one that runs it"
)
def make_replay(context, count):
    context.replay = Replay(instances=count, deadly=["deadly"])


@given("a service of {count:d} instances, and one request that all callers send")
@given("a service of {count:d} instances, and no deadly request")
def make_harmless(context, count):
    context.replay = Replay(instances=count)


@given("a service of 12 instances, and 5 requests that end each one that runs them")
def make_many(context):
    names = [f"deadly{number}" for number in range(5)]
    context.replay = Replay(instances=12, deadly=names)


def _play(replay, seconds, *, others, deadly=(), deadly_per_s=0.0, on_step=None):
    numbers = itertools.count()
    for _ in range(int(seconds / STEP_S)):
        replay.step()
        for _ in range(int(400 * STEP_S)):
            replay.send(others(next(numbers)))
        for name in deadly:
            if replay.random.random() < deadly_per_s * STEP_S:
                replay.send(name)
        if on_step is not None:
            on_step()


@when("it comes 12 times a second for 20 s among 400 others a second")
def play_deadly(context):
    _play(
        context.replay,
        20.0,
        others=lambda number: f"fine{number}",
        deadly=["deadly"],
        deadly_per_s=12.0,
    )


@then("it is held back after at most 6 ends, and runs no more from then on")
def check_deadly(context):
    assert context.replay.ends_by_request[request("deadly")] <= 6, (
        context.replay.ends_by_request
    )
    assert request("deadly") in context.replay.held


@then("the deadly request is held back")
def check_held(context):
    assert request("deadly") in context.replay.held


@then("no other request is held back")
@then("no request is held back")
def check_others_free(context):
    assert context.replay.held <= context.replay.deadly, context.replay.held


@when("bystanders of each end are sent again at once, three times")
def play_bystanders(context):
    replay = context.replay
    again = []
    kill = replay.kill

    def kill_and_resend(node):
        under_way = kill(node)
        again.extend((r, 3) for r in under_way)
        return under_way

    replay.kill = kill_and_resend

    def resend():
        for found, left in again[:]:
            again.remove((found, left))
            if not replay.send(found.decode().rstrip(".")) and left > 1:
                again.append((found, left - 1))

    _play(
        replay,
        20.0,
        others=lambda number: f"fine{number}",
        deadly=["deadly"],
        deadly_per_s=30.0,
        on_step=resend,
    )


@when("all instances are killed within half a second, five times, and come back")
def kill_all(context):
    replay = context.replay
    context.verdicts = []
    for _ in range(5):
        _play(replay, 1.0, others=lambda _: "common")
        for node in replay.nodes:
            replay.kill(node)
            _play(replay, 0.08, others=lambda _: "common")
        _play(replay, DOWN_S + 1.0, others=lambda _: "common")
        context.verdicts += [
            node.quarantine.verdict(request("common")) for node in replay.nodes
        ]


@then("the request is free again within a second of each return")
def check_free(context):
    assert set(context.verdicts) == {Verdict.FREE}, context.verdicts


@when("it comes among requests that are all the same, 400 a second")
def play_common(context):
    _play(
        context.replay,
        20.0,
        others=lambda _: "common",
        deadly=["deadly"],
        deadly_per_s=12.0,
    )


@when("60 are killed one after the other, a second apart, and callers send again")
def kill_in_turn(context):
    replay = context.replay
    turns = itertools.cycle(replay.nodes)
    for _ in range(60):
        seconds = replay.random.uniform(0.5, 1.5)
        _play(replay, seconds, others=lambda number: f"fine{number % 40}")
        for found in replay.kill(next(turns)):
            replay.send(found.decode().rstrip("."))


@when("they come once a second each for 60 s among 400 others a second")
def play_many(context):
    _play(
        context.replay,
        60.0,
        others=lambda number: f"fine{number}",
        deadly=[f"deadly{number}" for number in range(5)],
        deadly_per_s=1.0,
    )


@then("all of the deadly ones are held back and no other request is")
def check_many(context):
    assert context.replay.held == context.replay.deadly, context.replay.held


def _end(number, *names, isolated=""):
    return InstanceEnd(
        end_id=f"end/{number}",
        label_by_request={request(name): f"GET /{name}" for name in names},
        isolated=request(isolated) if isolated else b"",
    )


def _hold(held, numbers, name="deadly"):
    """Let three instances end under a request; return the notices."""
    told = [
        *held.record_end(_end(numbers[0], name, "other")),
        *held.record_end(_end(numbers[1], name)),
        *held.record_end(_end(numbers[2], name, "third", isolated=name)),
    ]
    assert held.verdict(request(name)) is Verdict.HELD
    return told


@given("a request that is held back")
def make_held(context):
    context.clock = FakeClock()
    context.held = Quarantine(clock=context.clock)
    context.told = _hold(context.held, (1, 2, 3))


@when("an instance answers a run of it that began before")
def answer_held(context):
    context.answered = context.held.record_answer(request("deadly"))


@then("it is free, at each node that hears of it, also if it hears of the hold later")
def check_let_go(context):
    assert context.held.verdict(request("deadly")) is Verdict.FREE
    for order in (
        [*context.told, *context.answered],
        [*context.answered, *context.told],
    ):
        other = Quarantine(clock=context.clock)
        for notice in order:
            other.learn(notice)
        assert other.verdict(request("deadly")) is not Verdict.HELD, order


@when("an operator releases it and three more instances end under it")
def release_and_end(context):
    context.told += context.held.release(request("deadly"))
    assert context.held.verdict(request("deadly")) is Verdict.FREE
    context.told += _hold(context.held, (4, 5, 6))


@then("a node that hears all of it in any order holds it back")
def check_any_order(context):
    for seed in range(50):
        order = list(context.told)
        random.Random(seed).shuffle(order)
        other = Quarantine(clock=context.clock)
        for notice in order:
            other.learn(notice)
        assert other.verdict(request("deadly")) is Verdict.HELD, seed


@when("the hold has lapsed")
def lapse(context):
    context.clock.now += HOLD_S


@then("the request runs in isolation, and one end there holds it back for two hours")
def check_renewed(context):
    assert context.held.verdict(request("deadly")) is Verdict.ISOLATED
    context.held.record_end(_end(9, "deadly", isolated="deadly"))
    context.clock.now += 2 * HOLD_S - 1.0
    assert context.held.verdict(request("deadly")) is Verdict.HELD
    context.clock.now += 1.0
    assert context.held.verdict(request("deadly")) is Verdict.ISOLATED


@given("the notices of a deadly request, of bystanders and of an operator")
def make_notices(context):
    context.clock = FakeClock()
    first = Quarantine(clock=context.clock)
    context.told = _hold(first, (1, 2, 3))
    context.told += first.release(request("deadly"))
    context.told += _hold(first, (4, 5, 6))
    context.told += _hold(first, (7, 8, 9), name="second")
    context.told += first.record_end(_end(10, "late"))


@when("two nodes learn them in different orders, some of them twice")
def learn_twice(context):
    context.pairs = []
    for seed in range(100):
        pair = []
        for part in (0, 1):
            generator = random.Random(2 * seed + part)
            order = context.told + generator.sample(context.told, 4)
            generator.shuffle(order)
            node = Quarantine(clock=context.clock)
            for notice in order:
                node.learn(notice)
            pair.append(node)
        context.pairs.append(pair)


@then("both give the same verdict on each request")
def check_same(context):
    names = ("deadly", "second", "other", "third", "late")
    for one, other in context.pairs:
        for name in names:
            verdicts = one.verdict(request(name)), other.verdict(request(name))
            assert verdicts[0] is verdicts[1], (name, verdicts)


@given("a quarantine")
def make_quarantine(context):
    context.clock = FakeClock()
    context.held = Quarantine(clock=context.clock)


@when("a thousand instances end under different requests and a thousand are held back")
def fill(context):
    for number in range(1000):
        context.held.record_end(_end(number, f"end{number}"))
        context.held.learn(
            Held(
                request=request(f"held{number}"),
                label="",
                ends=3,
                left_s=100.0,
                generation=1,
            )
        )
        context.held.learn(Released(request=request(f"free{number}"), generation=1))


@then("no more than the stated numbers are kept, the newest ones")
def check_bounds(context):
    kept = context.held.notices()
    by_type = {
        kind: [notice for notice in kept if isinstance(notice, kind)]
        for kind in (InstanceEnd, Held, Released)
    }
    assert len(by_type[InstanceEnd]) == quarantine.MAX_ENDS
    assert len(by_type[Held]) == quarantine.MAX_HOLDS
    assert len(by_type[Released]) == quarantine.MAX_RELEASES
    assert context.held.verdict(request("held999")) is Verdict.HELD
    assert by_type[InstanceEnd][-1].end_id == "end/999"


@given("each kind of notice")
def make_each(context):
    context.each = (
        _end(1, "one", "two", isolated="one"),
        Answered(request=request("one"), generation=2),
        Held(request=request("one"), label="GET /", ends=3, left_s=1.5, generation=1),
        Released(request=request("one"), generation=1),
    )
    assert notices.decode(notices.encode(context.each)) == context.each


@when("single fields are replaced, dropped, added or nested, or bytes are cut off")
def harm(context):
    odd = (None, -1, 2**63, 1.5, float("nan"), "x" * 1000, b"x", (), {}, True, (((),),))
    context.decoded = []
    for notice in context.each:
        whole = notices.encode([notice])
        (plain,) = msgpack.unpackb(whole, use_list=False, strict_map_key=False)
        harmed = [plain[:-1], (*plain, 1), (), 7, None]
        harmed += [
            (*plain[:at], value, *plain[at + 1 :])
            for at in range(len(plain))
            for value in odd
        ]
        context.decoded += [
            (item, notices.decode(msgpack.packb([item]))) for item in harmed
        ]
        context.decoded += [
            (whole[:size], notices.decode(whole[:size])) for size in range(len(whole))
        ]
    deep = b"\x91" * 100_000 + b"\xc0"
    context.decoded.append(("deep", notices.decode(deep)))


@then("decoding raises nothing and refuses what is not a notice")
def check_harmed(context):
    for item, decoded in context.decoded:
        if isinstance(decoded, str):
            continue
        assert notices.decode(notices.encode(decoded)) == decoded, item
        assert decoded, item
        for notice in decoded:
            numbers = [
                value
                for name in ("generation", "ends", "left_s")
                if (value := getattr(notice, name, None)) is not None
            ]
            assert all(0 <= value < 2**32 for value in numbers), item
