"""Replays of calls at an upstream whose speed depends on how many run at once."""

import random
from copy import deepcopy

from attrs import evolve
from behave import given, then, when
from hypothesis import given as hypothesis_given
from hypothesis import settings, strategies

from comfreytray.calls.limits import Admission
from comfreytray.calls.tickets import TicketState
from comfreytray.common.errors import Failure
from comfreytray.common.records import MAX_SLOTS
from comfreytray.concurrency.limiter import ConcurrencyLimiter
from comfreytray.concurrency.reports import LoadReport, parse_load_report
from comfreytray.testing import FakeClock

SLOTS = 4
HEALTHY = (1.0, 1.2, 1.4, 1.6)
"""Factors by which calls take longer with 1 to 4 running, as measured on real runs."""
KNEE = (1.0, 1.1, 2.2, 3.6)
"""The same for an upstream whose throughput falls from the third call on."""
FLAT = (1.0, 1.1, 1.2, 1.6)
"""The same for an upstream whose fourth call adds no throughput."""
RUN_S_BY_KIND = {"short": 0.02, "middle": 0.06, "long": 0.2}
MEAN_RUN_S = sum(RUN_S_BY_KIND.values()) / len(RUN_S_BY_KIND)
TIMEOUT_S = 2.0
TARGET_S = 0.8
SEEDS = range(1, 7)
UPSTREAM_BY_NAME = {
    "calls are all of its own": (HEALTHY, {"nested_share": 0.0}),
    "pace is 70": (HEALTHY, {"base_pace": 70.0}),
    "pace is 160 and jumps to 400 for 600 ms": (
        HEALTHY,
        {"base_pace": 160.0, "noise": True},
    ),
    "pace jumps by 2.5 for 600 ms": (HEALTHY, {"noise": True}),
    "calls wait for a service that is slow at times": (HEALTHY, {"nested_slow": True}),
    "fourth call adds no throughput": (FLAT, {"nested_share": 0.0}),
    "throughput falls from the third call on": (KNEE, {}),
}


class Replay:
    """Runs random calls at a simulated upstream on a fake clock."""

    def __init__(self, *, is_adaptive=True, has_pace=True, seed=1):
        self.random = random.Random(seed)
        self.arrivals = random.Random(seed)
        self.clock = FakeClock(now=0.0)
        self.admission = Admission(
            clock=self.clock, slots=SLOTS, uniform=self.random.uniform
        )
        self.limiter = ConcurrencyLimiter(clock=self.clock)
        self.is_adaptive, self.has_pace = is_adaptive, has_pace
        self.factors, self.base_pace = HEALTHY, 100.0
        self.noise = self.nested_slow = self.is_cold = False
        self.nested_share = 0.3
        self.running = []
        self.noise_until = self.next_noise = 0.0
        self.done = self.timely = 0
        self.work_s = 0.0
        """Usual run time of the calls that ended in time."""
        self.most_running = 0
        self.limit_s = {}
        """Seconds for which each limit was in force."""
        self.apply()

    @property
    def pace(self):
        if self.noise and self.clock.now >= self.next_noise:
            self.noise_until = self.clock.now + 0.6
            self.next_noise = self.clock.now + self.random.uniform(2.0, 5.0)
        is_noisy = self.noise and self.clock.now < self.noise_until
        return self.base_pace * (2.5 if is_noisy else 1.0)

    def apply(self):
        if self.is_adaptive:
            limit = self.limiter.limit("i", SLOTS, is_cold=self.is_cold)
            self.admission.resize(limit)

    def run(self, seconds, *, load):
        """Offer calls at `load` times the capacity of a healthy upstream's slots."""
        per_s = load * SLOTS / HEALTHY[-1] / MEAN_RUN_S
        end = self.clock.now + seconds
        next_arrival = self.clock.now + self.arrivals.expovariate(per_s)
        while self.clock.now < end:
            speed = 100.0 / self.pace / self.factors[max(0, len(self.running) - 1)]
            first = min(self.running, key=lambda c: self.left_s(c, speed), default=None)
            # Steps are short, so that the pace is followed.
            step_s = min(0.02, next_arrival - self.clock.now)
            ends_first = first is not None and self.left_s(first, speed) <= step_s
            step_s = self.left_s(first, speed) if ends_first else step_s
            self.clock.now += step_s
            limit = self.admission.slots
            self.limit_s[limit] = self.limit_s.get(limit, 0.0) + step_s
            for call in self.running:
                own_s = min(step_s, call["own_s"] / speed)
                call["own_s"] -= own_s * speed
                call["nested_s"] -= step_s - own_s
            if ends_first:
                self.finish(first)
            elif self.clock.now >= next_arrival:
                self.offer()
                next_arrival = self.clock.now + self.arrivals.expovariate(per_s)

    @staticmethod
    def left_s(call, speed):
        return call["own_s"] / speed + max(0.0, call["nested_s"])

    def offer(self):
        kind = self.arrivals.choice(list(RUN_S_BY_KIND))
        now = self.clock.now
        self.apply()
        ticket = self.admission.offer(
            customer="",
            share=1.0,
            deadline=now + TIMEOUT_S,
            kind=kind,
            due=now + TARGET_S,
        )
        if isinstance(ticket, Failure):
            return
        if ticket.state is TicketState.HELD:
            self.start(ticket)
        else:
            ticket.notify = lambda: self.start(ticket)

    def start(self, ticket):
        if ticket.state is not TicketState.HELD:
            return
        own_s = RUN_S_BY_KIND[ticket.kind] * self.random.lognormvariate(-0.08, 0.4)
        nested_s = 0.0
        if self.random.random() < self.nested_share:
            slow = self.nested_slow and self.clock.now % 4.0 < 1.0
            nested_s = own_s * self.random.expovariate(1.0) * (8.0 if slow else 1.5)
        run = self.limiter.begin(ticket.kind)
        self.running.append(
            {"own_s": own_s, "nested_s": nested_s, "ticket": ticket, "run": run}
        )
        self.most_running = max(self.most_running, len(self.running))

    def finish(self, call):
        self.running.remove(call)
        pace = self.pace if self.has_pace else None
        report = LoadReport(
            running=len(self.running) + 1, queued=0, slots=SLOTS, pace=pace
        )
        self.limiter.learn("i", report)
        self.limiter.end(call["run"])
        self.limiter.record(call["run"])
        self.apply()
        self.done += 1
        if self.clock.now <= call["ticket"].due:
            self.timely += 1
            self.work_s += RUN_S_BY_KIND[call["ticket"].kind]
        self.admission.release(call["ticket"])


def replay_pair(context, phases):
    """Replay phases of (factors, load, seconds) with the limit and with fixed slots.

    Keep for each phase the work in time of both, and the seconds at each limit.
    """
    context.phases = [{"limited": 0.0, "fixed": 0.0, "limit_s": {}} for _ in phases]
    for seed in SEEDS:
        for name in ("limited", "fixed"):
            replay = Replay(is_adaptive=name == "limited", seed=seed)
            context.configure(replay)
            for (factors, load, seconds), result in zip(
                phases, context.phases, strict=True
            ):
                replay.factors = factors
                before, replay.limit_s = replay.work_s, {}
                replay.run(seconds, load=load)
                result[name] += replay.work_s - before
                if name == "limited":
                    for limit, at_s in replay.limit_s.items():
                        total = result["limit_s"].get(limit, 0.0) + at_s
                        result["limit_s"][limit] = total
            assert replay.most_running <= SLOTS


@given("an upstream whose {name}")
def set_upstream(context, name):
    context.factors, context.settings = UPSTREAM_BY_NAME[name]

    def configure(replay):
        for setting, value in context.settings.items():
            setattr(replay, setting, value)

    context.configure = configure


@when("calls at {load:g} times its capacity are replayed, with and without the limit")
def replay_both(context, load):
    replay_pair(context, [(context.factors, load, 120.0)])


@then("its work in time is at least {share:g} of that with fixed slots")
def check_work(context, share):
    result = context.phases[0]
    assert result["limited"] >= share * result["fixed"], result


@then("it has all its slots for {share:g} of the time and never less than 3")
def check_kept(context, share):
    by_limit = context.phases[0]["limit_s"]
    assert by_limit[SLOTS] >= share * sum(by_limit.values()), by_limit
    assert min(by_limit) >= 3, by_limit


@then("it has all its slots for at most {share:g} of the time")
def check_limited(context, share):
    by_limit = context.phases[0]["limit_s"]
    assert by_limit.get(SLOTS, 0.0) <= share * sum(by_limit.values()), by_limit


@when("its throughput falls from the third call on, and a minute later no longer does")
def replay_change(context):
    phases = [(HEALTHY, 60.0), (KNEE, 60.0), (HEALTHY, 30.0), (HEALTHY, 30.0)]
    replay_pair(context, [(factors, 1.0, seconds) for factors, seconds in phases])


@then("its work in time while it falls is at least {share:g} of that with fixed slots")
def check_change(context, share):
    result = context.phases[1]
    assert result["limited"] >= share * result["fixed"], result


@then("all its slots are in use again half a minute after that")
def check_recovery(context):
    by_limit = context.phases[3]["limit_s"]
    assert by_limit[SLOTS] >= 0.8 * sum(by_limit.values()), by_limit


@when("calls are replayed and the upstream reports no pace")
def replay_without_pace(context):
    context.settings = {"has_pace": False}
    replay_pair(context, [(context.factors, 0.9, 60.0)])


@then("it has all its slots all the time")
def check_no_limit(context):
    result = context.phases[0]
    assert set(result["limit_s"]) == {SLOTS}, result
    assert result["limited"] == result["fixed"], result


@given("an upstream that was found to handle two calls")
def make_found(context):
    replay = context.replay = Replay()
    replay.factors = KNEE
    while replay.admission.slots > 2:
        assert replay.clock.now < 120.0
        replay.run(1.0, load=1.0)
    context.limiter = replay.limiter


@then("another instance starts with all its slots")
def check_instance(context):
    limiter = deepcopy(context.limiter)
    assert limiter.limit("i", SLOTS, is_cold=False) <= 2
    assert limiter.limit("j", SLOTS, is_cold=False) == SLOTS


@then("changed slots are all used")
def check_changed_slots(context):
    assert deepcopy(context.limiter).limit("i", 6, is_cold=False) == 6


@then("the times of a cold instance are not used")
def check_cold(context):
    replay = Replay()
    replay.factors, replay.is_cold = KNEE, True
    replay.run(60.0, load=1.0)
    assert set(replay.limit_s) == {SLOTS}, replay.limit_s


@then("an answer without a pace ends the limit half a second after the last one")
def check_missing_pace(context):
    limiter, clock = context.limiter, context.replay.clock
    clock.now += 0.4
    limiter.learn("i", None)
    assert limiter.limit("i", SLOTS, is_cold=False) <= 2
    clock.now += 0.6
    limiter.learn("i", LoadReport(running=1, queued=0, slots=SLOTS))
    assert limiter.limit("i", SLOTS, is_cold=False) == SLOTS
    assert limiter.pace == 0.0


@when("reports of any text are read")
def read_reports(context):
    number = strategies.one_of(
        strategies.integers().map(str),
        strategies.floats().map(str),
        strategies.text(max_size=6),
        strategies.sampled_from(["", " 4 ", "1e3", "\u0663", "9" * 400, "nan", "-1"]),
    )
    texts = strategies.lists(number, max_size=20).map(",".join)

    @settings(max_examples=300, database=None, deadline=None, derandomize=True)
    @hypothesis_given(texts)
    def check(text):
        report = parse_load_report(text)
        if report is not None:
            assert 0 <= report.slots <= MAX_SLOTS
            assert min(report.running, report.queued) >= 0
            assert report.pace is None or 1.0 <= report.pace <= 10_000.0

    context.check = check


@then("each gives numbers in range or nothing")
def check_reports(context):
    context.check()
    for text in (None, "", "3", "3,0", "3,,4", "-3,0,4", "3,0,4," * 20, "\u0663,0,4"):
        assert parse_load_report(text) is None, text


@then('"3,0,4,160" has the pace 160 and "3,0,4" has none')
def check_examples(context):
    whole = LoadReport(running=3, queued=0, slots=4, pace=160.0)
    assert parse_load_report(" 3, 0,4 ,160") == parse_load_report("3,0,4,160") == whole
    assert parse_load_report("3,0,4") == evolve(whole, pace=None)
    for odd in ("3,0,4,", "3,0,4,0", "3,0,4,-5", "3,0,4,1e9", "3,0,4,99999"):
        assert parse_load_report(odd) == evolve(whole, pace=None), odd
    assert parse_load_report("3,0,4,160,more") == whole
