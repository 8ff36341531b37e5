"""Admission at the owner of an upstream: exact slots, a short fair queue, shedding.

When more calls arrive for seconds than the slots can run, a queue in order of arrival
makes every answer late. Here, calls that can still be in time go first, the more urgent
before the less urgent; calls that can't are refused at once, while their callers still
have time to try elsewhere.
"""

import heapq
import itertools
import math
import random
from collections.abc import Callable

from attrs import evolve

from comfreytray.calls.call import Load
from comfreytray.calls.callrates import CallRate
from comfreytray.calls.demand import Demand
from comfreytray.calls.queueorder import (
    FAIR_SHARE_PERIOD,
    count_before,
    count_before_by_shares,
    count_ranked,
    demand_priority,
    fair_share_order_of,
    find_queue_to_shorten,
    order_of,
)
from comfreytray.calls.runtimes import RunTimes
from comfreytray.calls.tickets import CustomerQueue, Rank, Ticket, TicketState
from comfreytray.common.errors import Failure, Kind
from comfreytray.common.exceptions import invariant
from comfreytray.common.interfaces import Clock

QUEUE_PER_SLOT = 6
"""Calls that may wait, for each slot."""
LATE_QUEUE_PER_SLOT = 0.5
"""Calls whose answer will be late that may wait, for each slot."""
MIN_RETRY_AFTER_S = 0.05
MAX_RETRY_AFTER_S = 30.0


class Admission:
    """Allocates an upstream's slots to calls, shared between customers."""

    def __init__(
        self,
        *,
        clock: Clock,
        slots: int,
        rate: CallRate | None = None,
        uniform: Callable[[float, float], float] = random.uniform,
    ) -> None:
        self.clock = clock
        self.slots = slots
        self.rate = rate or CallRate(clock=clock)
        self._uniform = uniform
        self._demand = Demand()
        self.run_times = RunTimes()
        self.held = 0
        """Number of slots in use, one for each running call."""
        self.queued = 0
        self.leaving = False
        """Whether new calls are refused because the node is leaving."""
        self._queue_by_customer: dict[str, CustomerQueue] = {}
        self._sequence = itertools.count()
        self._assigned = 0
        """Slots that were assigned to waiting calls."""

    @property
    def load(self) -> float:
        """Return the calls running and queued, as a share of the slots."""
        return (self.held + self.queued) / max(1, self.slots)

    @property
    def queue_limit(self) -> int:
        """Return how many calls may wait."""
        return self.slots * QUEUE_PER_SLOT

    def resize(self, slots: int) -> None:
        """Set the number of slots; running calls above it are not stopped."""
        if slots == self.slots:
            return
        self.slots = slots
        self.admit_queued()

    def offer(
        self,
        *,
        customer: str,
        share: float,
        deadline: float,
        kind: str = "",
        priority: int = 0,
        due: float = 0.0,
    ) -> Ticket | Failure:
        """Admit, queue or refuse a call; `due` is its latency target's time, or 0."""
        now = self.clock.monotonic()
        if self.leaving:
            return Failure(kind=Kind.LEAVING)
        if deadline <= now:
            return Failure(kind=Kind.DEADLINE_BEFORE_RUN, detail="at admission")
        ticket = Ticket(
            customer=customer,
            share=share,
            deadline=deadline,
            kind=kind,
            priority=priority,
            due=due,
        )
        run_s = self.run_times.mean_of(ticket.kind)
        self._demand.count(demand_priority(ticket), run_s, now)
        self.admit_queued()
        queue = self._queue_by_customer.get(customer)
        if queue is None:
            queue = self._queue_by_customer[customer] = CustomerQueue()
        has_room = self._may_admit() and queue.held < self._slot_cap(share)
        if has_room and not queue.queued:
            self._admit(ticket, queue, now)
            return ticket
        rank = self._rank(ticket, queue, now)
        refused = self._refuse_early(queue, ticket, rank, now)
        if refused is not None:
            self._drop_if_empty(customer, queue)
            return refused
        heapq.heappush(queue.heap, (rank, next(self._sequence), ticket))
        queue.queued += 1
        self.queued += 1
        return ticket

    def release(self, ticket: Ticket) -> None:
        """Free the slot of a call that ended, or remove a waiting call."""
        if ticket.state is TicketState.QUEUED:
            self._dequeue(ticket, TicketState.DONE)
            return
        if ticket.state is not TicketState.HELD:
            return
        ticket.state = TicketState.DONE
        queue = self._queue_by_customer[ticket.customer]
        self.held -= 1
        queue.held -= 1
        invariant(self.held >= 0 and queue.held >= 0, "no slot is freed twice")
        took_s = self.clock.monotonic() - ticket.admitted_at
        self.run_times.record(ticket.kind, took_s)
        self._drop_if_empty(ticket.customer, queue)
        self.admit_queued()

    def holds(self, ticket: Ticket) -> bool:
        """Whether a call holds a slot."""
        return ticket.state is TicketState.HELD

    def expire(self) -> None:
        """Refuse the waiting calls whose deadline has passed."""
        now = self.clock.monotonic()
        for queue in list(self._queue_by_customer.values()):
            for _, _, ticket in list(queue.heap):
                if ticket.state is TicketState.QUEUED and ticket.deadline <= now:
                    self._refuse(ticket, Failure(kind=Kind.DEADLINE_BEFORE_RUN))

    def leave(self) -> None:
        """Refuse new and waiting calls; running calls finish."""
        self.leaving = True
        for queue in list(self._queue_by_customer.values()):
            for _, _, ticket in list(queue.heap):
                if ticket.state is TicketState.QUEUED:
                    self._refuse(ticket, Failure(kind=Kind.LEAVING))

    def admit_in_s(self) -> float | None:
        """Return when the rate lets a waiting call run; None if none waits for it."""
        if not self.queued or self.held >= self.rate.slots(self.slots):
            return None
        return self.rate.wait_s() or None

    def _may_admit(self) -> bool:
        return self.held < self.rate.slots(self.slots) and self.rate.wait_s() <= 0.0

    def _slot_cap(self, share: float) -> int:
        return max(1, math.floor(self.slots * min(1.0, share) + 1e-9))

    def _admit(self, ticket: Ticket, queue: CustomerQueue, now: float) -> None:
        invariant(self.held < self.slots, "slots are never exceeded")
        invariant(
            queue.held < self._slot_cap(ticket.share),
            "a customer stays within its share",
        )
        invariant(ticket.state is TicketState.QUEUED, "a call is admitted once")
        ticket.state = TicketState.HELD
        ticket.admitted_at = now
        self.rate.take()
        self.held += 1
        queue.held += 1

    def load_for(self, priority: int) -> Load:
        """Return the load that a further call of a priority would meet."""
        now = self.clock.monotonic()
        slots = max(1, self.slots)
        last = Rank(late=False, priority=priority, until=math.inf)
        ahead = count_ranked(self._queue_by_customer.values(), last)
        spare = self._demand.spare_slots(slots, priority, now)
        service_time_s = self.run_times.mean_s * slots / spare
        # A caller's node reckons the wait from the share of slots in use. A wait for
        # the rate is reported as the share that makes the same wait.
        wait_s = self._rate_wait_s(ahead, priority, now)
        as_used = 1.0 - 1.0 / slots + wait_s / service_time_s if wait_s else 0.0
        used = max((self.held + ahead) / slots, as_used)
        return Load(used=used, service_time_s=service_time_s)

    def _rank(self, ticket: Ticket, queue: CustomerQueue, now: float) -> Rank:
        if not ticket.due:
            return Rank(late=False, priority=ticket.priority, until=ticket.deadline)
        timely = Rank(late=False, priority=ticket.priority, until=ticket.due)
        wait_s = self._expected_wait_s(ticket, queue, timely, now)
        late = now + wait_s + self.run_times.mean_of(ticket.kind) > ticket.due
        return evolve(timely, late=late)

    def _retry_after_s(self) -> float:
        """Return the queue's drain time, with jitter so few callers return at once."""
        drain_s = self.queued / max(1, self.slots) * self.run_times.mean_s
        drain_s = max(drain_s, self.rate.wait_s(self.queued))
        wait_s = max(MIN_RETRY_AFTER_S, drain_s)
        return min(MAX_RETRY_AFTER_S, wait_s * self._uniform(0.75, 1.75))

    def _refuse_early(
        self, queue: CustomerQueue, ticket: Ticket, rank: Rank, now: float
    ) -> Failure | None:
        """Return why a call can't be queued, or None once there is room for it."""
        wait_s = self._expected_wait_s(ticket, queue, rank, now)
        delay_s = self._retry_after_s()
        over_share = ticket.share < 1.0 and queue.held >= self._slot_cap(ticket.share)
        if over_share and queue.queued >= self._slot_cap(ticket.share):
            return Failure(
                kind=Kind.CUSTOMER_OVER_SHARE,
                fields={"customer": ticket.customer},
                retry_after_s=delay_s,
            )
        if now + wait_s >= ticket.deadline:
            return Failure(
                kind=Kind.OVERLOADED, detail="deadline", retry_after_s=delay_s
            )
        if rank.late and self.queued >= self.slots * LATE_QUEUE_PER_SLOT:
            return Failure(kind=Kind.OVERLOADED, detail="late", retry_after_s=delay_s)
        if self.queued < self.queue_limit:
            return None
        if self._evict_for(queue, rank, delay_s):
            return None
        return Failure(kind=Kind.OVERLOADED, detail="queue", retry_after_s=delay_s)

    def _expected_wait_s(
        self, ticket: Ticket, queue: CustomerQueue, rank: Rank, now: float
    ) -> float:
        queues = self._queue_by_customer.values()
        before = count_before(queues, queue, rank)
        priority = demand_priority(ticket)
        spare = self._demand.spare_slots(self.slots, priority, now)
        wait_s = (before + 1) / spare * self.run_times.mean_s
        if ticket.customer:
            turns = count_before_by_shares(queues, queue, rank) + 1
            turn_slots = max(1, self.slots) / FAIR_SHARE_PERIOD
            wait_s = min(wait_s, turns / turn_slots * self.run_times.mean_s)
        return max(wait_s, self._rate_wait_s(before, priority, now))

    def _rate_wait_s(self, ahead: int, priority: int, now: float) -> float:
        if not self.rate.is_limited:
            return 0.0
        more_urgent_per_s = self._demand.calls_per_s_above(priority, now)
        return self.rate.wait_s(ahead, taken_per_s=more_urgent_per_s)

    def _evict_for(self, newcomer: CustomerQueue, rank: Rank, delay_s: float) -> bool:
        """Refuse a waiting call to make room; return false if none is to give way."""
        queues = self._queue_by_customer.values()
        queue = find_queue_to_shorten(queues, newcomer, rank)
        if queue is None:
            return False
        failure = Failure(kind=Kind.OVERLOADED, retry_after_s=delay_s)
        self._refuse(max(queue.heap)[2], failure)
        return True

    def _refuse(self, ticket: Ticket, failure: Failure) -> None:
        invariant(ticket.state is TicketState.QUEUED, "only a waiting call is refused")
        ticket.failure = failure
        self._dequeue(ticket, TicketState.REFUSED)
        if ticket.notify is not None:
            ticket.notify()

    def _dequeue(self, ticket: Ticket, state: TicketState) -> None:
        ticket.state = state
        queue = self._queue_by_customer[ticket.customer]
        queue.queued -= 1
        self.queued -= 1
        queue.heap = [entry for entry in queue.heap if entry[2] is not ticket]
        heapq.heapify(queue.heap)
        self._drop_if_empty(ticket.customer, queue)

    def _drop_if_empty(self, customer: str, queue: CustomerQueue) -> None:
        if not queue.held and not queue.queued:
            self._queue_by_customer.pop(customer, None)

    def admit_queued(self) -> None:
        """Admit waiting calls, as far as slots and the rate allow."""
        now = self.clock.monotonic()
        while self.queued and self._may_admit():
            queue = self._next_queue()
            if queue is None:
                return
            _, _, ticket = queue.heap[0]
            if ticket.deadline <= now:
                self._refuse(ticket, Failure(kind=Kind.DEADLINE_BEFORE_RUN))
                continue
            if self._demote(queue, now):
                continue
            heapq.heappop(queue.heap)
            queue.queued -= 1
            self.queued -= 1
            self._admit(ticket, queue, now)
            if ticket.notify is not None:
                ticket.notify()

    def _demote(self, queue: CustomerQueue, now: float) -> bool:
        """Rank a queue's first call as late, or refuse it, once it can't be in time."""
        rank, sequence, ticket = queue.heap[0]
        if (
            rank.late
            or not ticket.due
            or now + self.run_times.mean_of(ticket.kind) <= ticket.due
        ):
            return False
        if self.queued > self.slots * LATE_QUEUE_PER_SLOT:
            failure = Failure(
                kind=Kind.OVERLOADED,
                detail="overtaken",
                retry_after_s=self._retry_after_s(),
            )
            self._refuse(ticket, failure)
            return True
        heapq.heapreplace(queue.heap, (evolve(rank, late=True), sequence, ticket))
        return True

    def _next_queue(self) -> CustomerQueue | None:
        """Return the queue whose first call goes next."""
        eligible = [
            queue
            for queue in self._queue_by_customer.values()
            if queue.heap and queue.held < self._slot_cap(queue.heap[0][2].share)
        ]
        if not eligible:
            return None
        self._assigned += 1
        is_by_shares = self._assigned % FAIR_SHARE_PERIOD == 0
        return min(eligible, key=fair_share_order_of if is_by_shares else order_of)
