import random

import eventlet
from behave import given, then, when
from calls_rig import Fleet, answer, make_call, until

from comfreytray.calls.call import Outcome, fail
from comfreytray.calls.limits import Admission
from comfreytray.calls.nesting import NESTED_PRIORITY
from comfreytray.calls.retries import Decision, RetryBudgets, RetryLimits, decide_retry
from comfreytray.calls.tickets import TicketState
from comfreytray.common.errors import Failure, Kind, Ran
from comfreytray.concurrency.reports import LoadReport
from comfreytray.configuration.accounts import Account, build_accounts
from comfreytray.configuration.snapshots import Route
from comfreytray.customers.credentials import rank_priority
from comfreytray.platform.headers import DIALECT
from comfreytray.testing import FakeClock

SLOTS = 4
RUN_S = 0.1
TARGET_S = 0.6
DEADLINE_S = 1.5
STEP_S = 0.005
FRESH, NESTED = 1, NESTED_PRIORITY
IDS = ("p-1.c", "p-2.c", "p-1", "p-1c")


def _add_fleet(context, accounts, key=""):
    context.hold = True

    def script(head, body):
        while context.hold:
            eventlet.sleep(0.005)
        return answer(200, b"ok", "X-Response-Seal: s")

    fleet = context.fleet = Fleet(dialect=DIALECT)
    context.add_cleanup(fleet.__exit__)
    fleet.accounts = accounts
    fleet.routes = (
        Route(
            customer="",
            name="plain",
            path="/",
            methods=frozenset({"GET"}),
            service="lichbay",
            is_public=True,
        ),
    )
    context.path = fleet.add("a", script=script)
    context.parent = eventlet.spawn(
        fleet.call,
        "a",
        "GET",
        "/x",
        headers=["X-Attempt-Id: p-1", f"Authorization: Token {key}"],
    )
    assert until(lambda: context.path.owner.admission.held == 1)
    assert until(lambda: fleet.upstream_by_id["a"].running == 1)


@given("a node whose upstream makes a call while it runs the call p-1")
def add_with_accounts(context):
    _add_fleet(context, build_accounts([(Account(customer="vela"), ["k-1"])]), "k-1")


@given("a node whose upstream runs the call p-1 of a caller without an account")
def add_anonymous(context):
    _add_fleet(context, build_accounts([(Account(customer="vela"), ["k-1"])]))


@given("a node without accounts whose upstream makes a call while it runs the call p-1")
def add_without_accounts(context):
    _add_fleet(context, None)


@given("the upstream reports the pace of its machine")
def report_pace(context):
    context.path.owner.concurrency.learn(
        "a", LoadReport(running=1, queued=0, slots=SLOTS, pace=100.0)
    )
    assert context.path.owner.reports_pace


def _priorities(context):
    reader, snapshot = context.path.reader, context.fleet.snapshot()
    calls = [
        reader.read(
            {
                "REQUEST_METHOD": "GET",
                "PATH_INFO": "/x",
                "HTTP_HOST": "canhdieu.test",
                "HTTP_X_ATTEMPT_ID": call_id,
            },
            snapshot,
        )
        for call_id in IDS
    ]
    return [call.priority for call in calls]


@when("calls with the ids p-1.c, p-2.c, p-1 and p-1c come without a key")
def read_calls(context):
    context.while_running = _priorities(context)
    context.hold = False
    assert context.parent.wait().status == 200
    context.after = _priorities(context)


@then("only p-1.c has the priority of nested calls, and only while p-1 runs")
def check_nested(context):
    assert context.while_running == [NESTED_PRIORITY, 0, 0, 0], context.while_running
    assert context.after == [0, 0, 0, 0], context.after


@then("no call has the priority of nested calls")
def check_none_nested(context):
    assert context.while_running == context.after == [0, 0, 0, 0]


class _Replay:
    """Offers calls to an admission and runs those that it admits."""

    def __init__(self, seed=1):
        self.clock = FakeClock()
        self.random = random.Random(seed)
        self.admission = Admission(
            clock=self.clock, slots=SLOTS, uniform=self.random.uniform
        )
        self.offered_by_name, self.served_by_name = {}, {}
        self.waiting, self.running = [], []
        self.busy_s = 0.0

    def offer(self, name, *, customer="", priority=FRESH, target_s=TARGET_S):
        now = self.clock.now
        self.offered_by_name[name] = self.offered_by_name.get(name, 0) + 1
        ticket = self.admission.offer(
            customer=customer,
            share=1.0,
            deadline=now + DEADLINE_S,
            kind=name,
            priority=priority,
            due=now + target_s if target_s else 0.0,
        )
        if not isinstance(ticket, Failure):
            self.waiting.append((name, ticket))

    def run(self, rate_by_name, seconds, offer):
        for _ in range(int(seconds / STEP_S)):
            for name, rate_per_s in rate_by_name.items():
                if self.random.random() < rate_per_s * STEP_S:
                    offer(name)
            self._step()

    def _step(self):
        self.clock.now += STEP_S
        self.busy_s += STEP_S * self.admission.held
        for entry in list(self.waiting):
            name, ticket = entry
            if ticket.state is TicketState.HELD:
                self.running.append((self.clock.now + RUN_S, name, ticket))
            if ticket.state is not TicketState.QUEUED:
                self.waiting.remove(entry)
        for entry in list(self.running):
            ends_at, name, ticket = entry
            if ends_at <= self.clock.now:
                self.running.remove(entry)
                self.admission.release(ticket)
                self.served_by_name[name] = self.served_by_name.get(name, 0) + 1

    def served_share(self, name):
        return self.served_by_name.get(name, 0) / self.offered_by_name[name]


@given(
    "an upstream of 4 slots, nested calls for half of it and fresh ones for all of it"
)
def make_half_room(context):
    context.replay = _Replay()
    per_s = SLOTS / RUN_S
    context.rate_by_name = {"nested": per_s / 2, "fresh": per_s}


@when("they arrive for 20 s")
def replay_nested(context):
    def offer(name):
        nested = name == "nested"
        context.replay.offer(
            name,
            customer="" if nested else "vela",
            priority=NESTED if nested else FRESH,
            target_s=0.0 if nested else TARGET_S,
        )

    context.replay.run(context.rate_by_name, 20.0, offer)


@then("at least 98% of the nested calls are served and the slots are busy")
def check_nested_served(context):
    replay = context.replay
    assert replay.served_share("nested") >= 0.98, replay.served_share("nested")
    assert replay.busy_s >= 0.9 * SLOTS * 20.0, replay.busy_s


@given("a full queue of one customer's fresh calls")
def fill_queue(context):
    context.replay = _Replay()
    admission = context.replay.admission
    for _ in range(SLOTS + admission.queue_limit):
        context.replay.offer("fresh", customer="vela", target_s=0.0)
    assert admission.queued == admission.queue_limit


@when("a nested call and then a fresh call of that customer come")
def offer_to_full(context):
    replay = context.replay
    context.before = len(replay.waiting)
    replay.offer("nested", priority=NESTED, target_s=0.0)
    context.nested_ticket = replay.waiting[-1][1]
    context.after_nested = len(replay.waiting)
    replay.offer("fresh", customer="vela", target_s=0.0)


@then("the nested call waits in place of a fresh one, and the fresh call is refused")
def check_full(context):
    replay = context.replay
    assert context.after_nested == context.before + 1
    assert context.nested_ticket.state is TicketState.QUEUED
    refused = [t for _, t in replay.waiting if t.state is TicketState.REFUSED]
    assert len(refused) == 1
    assert len(replay.waiting) == context.after_nested
    assert replay.admission.queued == replay.admission.queue_limit


@given("an upstream of 4 slots and 8 customers that need half of it together")
def make_customers(context):
    context.replay = _Replay()
    per_s = SLOTS / RUN_S / 2 / 8
    context.rate_by_name = {f"c-{number}": per_s for number in range(8)}


@when("one of them sends 8 times as much for 20 s")
def replay_flood(context):
    context.rate_by_name["c-0"] *= 8
    context.replay.run(
        context.rate_by_name,
        20.0,
        lambda name: context.replay.offer(name, customer=name),
    )


@then("each of the others has at least 95% of its calls served")
def check_others(context):
    shares = {
        name: context.replay.served_share(name)
        for name in context.rate_by_name
        if name != "c-0"
    }
    assert min(shares.values()) >= 0.95, shares


@given("an upstream of 4 slots and the customers a and b")
def make_two(context):
    context.replay = _Replay()


@when("a sends {a:d} calls a second at {a_ranks} and b sends 20 at {b_ranks} for 20 s")
def replay_two(context, a, a_ranks, b_ranks):
    priority_by_name = {"a": _priority(a_ranks), "b": _priority(b_ranks)}
    context.replay.run(
        {"a": a, "b": 20},
        20.0,
        lambda name: context.replay.offer(
            name, customer=name, priority=priority_by_name[name]
        ),
    )


def _priority(ranks):
    customer, route = (int(part.split()[-1]) for part in ranks.split(", "))
    return rank_priority(
        Route(
            customer="",
            name="r",
            path="/",
            methods=frozenset(),
            service="s",
            priority=route,
        ),
        Account(customer="c", priority=customer),
    )


@then("at least a quarter as many of b's calls as of a's are served")
def check_not_starved(context):
    shares = {name: context.replay.served_share(name) for name in "ab"}
    assert shares["b"] >= shares["a"] / 4, shares


@given("upstreams that refuse half of the calls without running them")
def make_refusing(context):
    context.clock = FakeClock()
    context.random = random.Random(3)


def _run_refused(context, refused_limits):
    limits = RetryLimits(share=0.025, reserve=1.0)
    budgets = RetryBudgets(
        clock=context.clock,
        limits=lambda: limits,
        refused_limits=lambda: refused_limits,
    )
    served = retried = 0
    for number in range(200):
        budgets.earn("s")
        if context.random.random() < 0.5:
            served += 1
            continue
        outcome = Outcome(failure=Failure(kind=Kind.OVERLOADED), ran=Ran.NO, sent=True)
        call = make_call(target=f"/{number}")
        decision = decide_retry(
            call,
            outcome,
            redirects=0,
            sent=1,
            time_left_s=1.0,
            budget=budgets.after(outcome, "s"),
        )
        if decision is Decision.RETRY:
            retried += 1
            served += context.random.random() < 0.5
    return served, retried


@when("200 calls come, with and without a budget for refused calls")
def run_refused(context):
    context.without = _run_refused(context, None)
    context.limits = RetryLimits(share=1.0, reserve=1.0)
    context.with_budget = _run_refused(context, context.limits)
    unknown = fail(Kind.LOST_AFTER_SEND)
    budgets = RetryBudgets(
        clock=context.clock,
        limits=lambda: RetryLimits(share=0.0, reserve=1.0),
        refused_limits=lambda: context.limits,
    )
    assert budgets.after(unknown, "s") is budgets.common


@then("at least 70% are served with it, and the budgets bound the retries of both")
def check_refused(context):
    assert context.with_budget[0] >= 140, context.with_budget
    assert context.without[1] <= 200 * 0.025 + 1 + 1, context.without
    assert context.with_budget[1] <= 200 * context.limits.share + 1
