import math
import random

from behave import given, then, when
from calls_rig import soak_seeds

from comfreytray.calls.call import Call, Outcome
from comfreytray.calls.limits import QUEUE_PER_SLOT, Admission
from comfreytray.calls.retries import (
    DEFAULT_RETRY_LIMITS,
    Decision,
    RetryBudget,
    RetryLimits,
    decide_retry,
)
from comfreytray.calls.tickets import Ticket, TicketState
from comfreytray.common.errors import Failure, Kind, Ran
from comfreytray.testing import FakeClock

SHARE_BY_CUSTOMER = {"small": 0.25, "half": 0.5, "whole": 1.0}


class AdmissionRun:
    """Run random steps of an admission and check its state after each."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.clock = FakeClock()
        self.slots = self.random.randint(1, 8)
        self.admission = Admission(clock=self.clock, slots=self.slots)
        self.tickets = []
        self.faults = []

    def waiting(self):
        return [t for t in self.tickets if t.state is TicketState.QUEUED]

    def holding(self):
        return [t for t in self.tickets if t.state is TicketState.HELD]

    def cap(self, customer):
        return max(1, math.floor(self.slots * SHARE_BY_CUSTOMER[customer]))

    def held(self, customer):
        return sum(1 for t in self.holding() if t.customer == customer)

    def eligible(self):
        return [
            t for t in self.waiting() if self.held(t.customer) < self.cap(t.customer)
        ]

    def offer(self):
        customer = self.random.choice(list(SHARE_BY_CUSTOMER))
        ticket = self.admission.offer(
            customer=customer,
            share=SHARE_BY_CUSTOMER[customer],
            deadline=self.clock.now + self.random.choice([0.001, 0.05, 0.2, 1.0, 5.0]),
        )
        if isinstance(ticket, Ticket):
            self.tickets.append(ticket)
        elif ticket.answer.ran is not Ran.NO:
            self.faults.append(f"refused as {ticket.kind}")

    def release(self):
        held = self.holding()
        if not held:
            return
        ended = self.random.choice(held)
        before = self.waiting()
        ended.state = TicketState.DONE
        timely = [t for t in self.eligible() if t.deadline > self.clock.now]
        order_by_ticket = {id(t): self.order(t) for t in timely}
        ended.state = TicketState.HELD
        full = self.admission.held > self.slots
        self.admission.release(ended)
        admitted = [t for t in before if t.state is TicketState.HELD]
        if full or not (order_by_ticket or admitted):
            return
        best = min(order_by_ticket.values(), default=None)
        if best not in [order_by_ticket.get(id(ticket)) for ticket in admitted]:
            self.faults.append("another call was admitted before the next in order")

    def order(self, ticket):
        share = SHARE_BY_CUSTOMER[ticket.customer]
        return (self.held(ticket.customer) / share, ticket.deadline)

    def step(self):
        draw = self.random.random()
        if draw < 0.5:
            self.offer()
        elif draw < 0.75:
            self.release()
        elif draw < 0.8 and self.waiting():
            self.admission.release(self.random.choice(self.waiting()))
        elif draw < 0.9:
            self.clock.now += self.random.choice([0.001, 0.01, 0.1])
            self.admission.expire()
        elif draw < 0.92:
            self.slots = self.random.randint(1, 8)
            self.admission.resize(self.slots)
        self.check()

    def check(self):
        held = len(self.holding())
        if held != self.admission.held or len(self.waiting()) != self.admission.queued:
            self.faults.append("held or queued calls are miscounted")
        if held < self.slots and self.eligible():
            self.faults.append("a slot is free while a call that may have it waits")
        if any(t.deadline <= self.clock.now - 0.1 for t in self.waiting()):
            self.faults.append("a call waits past its deadline")


@when("calls of three customers arrive, end, expire and hang up at random")
def run_admission(context):
    context.faults = []
    context.excess = []
    for seed in soak_seeds(60):
        run = AdmissionRun(seed)
        for _ in range(400):
            before = run.admission.held
            queued = run.admission.queued
            run.step()
            grew = run.admission.held > before
            if grew and run.admission.held > run.slots:
                context.excess.append((seed, "slots"))
            longer = run.admission.queued > queued
            if longer and run.admission.queued > QUEUE_PER_SLOT * run.slots:
                context.excess.append((seed, "queue"))
        for ticket in list(run.tickets):
            run.admission.release(ticket)
        if run.admission.held or run.admission.queued:
            run.faults.append("slots leaked")
        context.faults.extend((seed, fault) for fault in run.faults)


@then("slots, shares and the queue are never exceeded")
def check_limits(context):
    assert not context.excess, context.excess[:3]


@then("waiting calls are admitted by share first and deadline second")
def check_order(context):
    assert not context.faults, context.faults[:3]


@then("no slot is free while a call that may have it waits")
def check_conserving(context):
    assert not context.faults


@when("one customer sends ten times as much as another")
def flood(context):
    clock = FakeClock()
    admission = Admission(clock=clock, slots=4)
    context.lost_by_customer = {"loud": 0, "quiet": 0}
    running = []
    waiting = []
    for turn in range(500):
        for customer in ["loud"] * 10 + ["quiet"] * (turn % 2):
            ticket = admission.offer(
                customer=customer, share=1.0, deadline=clock.now + 2.0
            )
            if isinstance(ticket, Failure):
                context.lost_by_customer[customer] += 1
            else:
                waiting.append(ticket)
        clock.now += 0.01
        for ticket in [t for t in running if clock.now - t.admitted_at > 0.015]:
            running.remove(ticket)
            admission.release(ticket)
        for ticket in list(waiting):
            if ticket.state is TicketState.QUEUED:
                continue
            waiting.remove(ticket)
            if ticket.state is TicketState.HELD:
                running.append(ticket)
            else:
                context.lost_by_customer[ticket.customer] += 1


@then("the other customer loses no call")
def check_quiet(context):
    assert context.lost_by_customer["quiet"] == 0, context.lost_by_customer
    assert context.lost_by_customer["loud"] > 1000, context.lost_by_customer


def _call(idempotent, retried):
    return Call(
        service="s",
        customer="c",
        share=1.0,
        method="POST",
        target="/",
        headers=(),
        body=b"",
        deadline=0.0,
        idempotent=idempotent,
        retried=retried,
    )


@when("attempts of every kind and outcome fail at random")
def fail_attempts(context):
    generator = random.Random(3)
    budget = RetryBudget(clock=FakeClock(), limits=lambda: DEFAULT_RETRY_LIMITS)
    context.decided = []
    context.calls = 5000
    for _ in range(context.calls):
        budget.earn()
        call = _call(generator.random() < 0.5, generator.random() < 0.1)
        ran = generator.choice(list(Ran))
        kinds = generator.choice([list(Kind), [Kind.CONNECT_FAILED, Kind.LEAVING]])
        outcome = Outcome(failure=Failure(kind=generator.choice(kinds)), ran=ran)
        for redirects in range(6):
            decision = decide_retry(
                call,
                outcome,
                redirects=redirects,
                sent=0,
                time_left_s=1.0,
                budget=budget,
            )
            context.decided.append((call.idempotent, call.retried, ran, decision))
            if decision is Decision.GIVE_UP:
                break
            call.retried = call.retried or decision is Decision.RETRY
        else:
            raise AssertionError("a call was tried without end")


@then("a call that may have run is retried only if it is idempotent")
def check_proof(context):
    for idempotent, retried, ran, decision in context.decided:
        if decision is Decision.GIVE_UP:
            continue
        assert idempotent or ran is Ran.NO, (ran, decision)
        assert not (retried and decision is Decision.RETRY)


@then("retries stay within a tenth of the calls")
def check_budget(context):
    retries = sum(1 for *_, decision in context.decided if decision is Decision.RETRY)
    assert (
        0
        < retries
        <= context.calls * DEFAULT_RETRY_LIMITS.share + DEFAULT_RETRY_LIMITS.reserve
    ), retries


RATIO, SLACK, NODES, WINDOW_S = 0.2, 64.0, 13, 10.0


@given("nodes that share a retry budget made of a ratio and a slack")
def make_budgets(context):
    context.clock = FakeClock()
    limits = RetryLimits.for_node(ratio=RATIO, slack=SLACK, nodes=NODES)
    context.budgets = [
        RetryBudget(clock=context.clock, limits=lambda: limits) for _ in range(NODES)
    ]


@when("every call fails at a low rate, in a surge and at a low rate again")
def spend_budgets(context):
    generator = random.Random(4)
    context.calls_at, context.retries_at = [], []
    context.first = [budget.spend() for budget in context.budgets]
    context.retries_at += [0.0] * sum(context.first)
    for rate_per_s, seconds in ((20.0, 40), (400.0, 20), (20.0, 40)):
        end = context.clock.now + seconds
        while context.clock.now < end:
            context.clock.now += generator.expovariate(rate_per_s)
            budget = generator.choice(context.budgets)
            budget.earn()
            context.calls_at.append(context.clock.now)
            if budget.spend():
                context.retries_at.append(context.clock.now)


@then("no window of 10 s has more retries than the budget allows")
def check_windows(context):
    for start in range(0, 100):
        span = (float(start), start + WINDOW_S)
        calls = sum(span[0] <= at < span[1] for at in context.calls_at)
        retries = sum(span[0] <= at < span[1] for at in context.retries_at)
        assert retries <= RATIO * calls + SLACK, (start, retries, calls)


@then("each node may retry its first failure at once")
def check_first(context):
    assert all(context.first)
