"""Admission at the owner of an upstream: exact slots, a short fair queue, shedding."""

import heapq
import itertools
import math
from collections.abc import Callable
from enum import Enum

from attrs import define, field

from comfreytray.errors import Failure, Kind
from comfreytray.exceptions import invariant
from comfreytray.interfaces import Clock

QUEUE_PER_SLOT = 2
MAX_RETRY_AFTER_S = 30
SERVICE_TIME_WEIGHT = 0.1
FIRST_SERVICE_TIME_S = 0.005


class TicketState(Enum):
    """Name the states of a call at the owner's admission."""

    QUEUED = "queued"
    HELD = "held"
    REFUSED = "refused"
    DONE = "done"


@define(kw_only=True, eq=False)
class Ticket:
    """Stand for one call that waits for a slot or holds one."""

    customer: str
    share: float
    deadline: float
    state: TicketState = TicketState.QUEUED
    failure: Failure | None = None
    admitted_at: float = 0.0
    notify: Callable[[], None] | None = None
    """Called once when a queued ticket is admitted or refused."""


@define(kw_only=True, eq=False)
class _Lane:
    """Hold what one customer has queued and holds."""

    held: int = 0
    queued: int = 0
    heap: list[tuple[float, int, Ticket]] = field(factory=list)


class Admission:
    """Hold an upstream's slots exactly and share them between customers."""

    def __init__(self, *, clock: Clock, slots: int) -> None:
        self.clock = clock
        self.slots = slots
        self.held = 0
        self.queued = 0
        self.service_time_s = FIRST_SERVICE_TIME_S
        self.leaving = False
        self._lane_by_customer: dict[str, _Lane] = {}
        self._sequence = itertools.count()

    @property
    def load(self) -> float:
        """Give the calls held and queued as a share of the slots."""
        return (self.held + self.queued) / max(1, self.slots)

    @property
    def queue_limit(self) -> int:
        """Give how many calls may wait."""
        return self.slots * QUEUE_PER_SLOT

    def resize(self, slots: int) -> None:
        """Take a new number of slots; calls above it finish."""
        if slots == self.slots:
            return
        self.slots = slots
        self._admit_queued()

    def offer(
        self, *, customer: str, share: float, deadline: float
    ) -> Ticket | Failure:
        """Admit a call, queue it, or refuse it before it ran."""
        now = self.clock.monotonic()
        if self.leaving:
            return Failure(kind=Kind.LEAVING)
        if deadline <= now:
            return Failure(kind=Kind.DEADLINE_BEFORE_RUN, detail="at admission")
        ticket = Ticket(customer=customer, share=share, deadline=deadline)
        lane = self._lane_by_customer.get(customer)
        if lane is None:
            lane = self._lane_by_customer[customer] = _Lane()
        if self.held < self.slots and not lane.queued and lane.held < self._cap(share):
            self._hold(ticket, lane, now)
            return ticket
        refused = self._refuse_early(lane, ticket, now)
        if refused is not None:
            self._forget(customer, lane)
            return refused
        heapq.heappush(lane.heap, (deadline, next(self._sequence), ticket))
        lane.queued += 1
        self.queued += 1
        return ticket

    def release(self, ticket: Ticket) -> None:
        """Free the slot of a call that ended, or drop one that still waits."""
        if ticket.state is TicketState.QUEUED:
            self._unqueue(ticket, TicketState.DONE)
            return
        if ticket.state is not TicketState.HELD:
            return
        ticket.state = TicketState.DONE
        lane = self._lane_by_customer[ticket.customer]
        self.held -= 1
        lane.held -= 1
        invariant(self.held >= 0 and lane.held >= 0, "no slot is freed twice")
        took_s = self.clock.monotonic() - ticket.admitted_at
        self.service_time_s += SERVICE_TIME_WEIGHT * (took_s - self.service_time_s)
        self._forget(ticket.customer, lane)
        self._admit_queued()

    def holds(self, ticket: Ticket) -> bool:
        """Say whether a call has its slot."""
        return ticket.state is TicketState.HELD

    def expire(self) -> None:
        """Refuse the queued calls whose deadline has passed."""
        now = self.clock.monotonic()
        for lane in list(self._lane_by_customer.values()):
            for deadline, _, ticket in list(lane.heap):
                if ticket.state is TicketState.QUEUED and deadline <= now:
                    self._refuse(ticket, Failure(kind=Kind.DEADLINE_BEFORE_RUN))

    def leave(self) -> None:
        """Refuse new calls and those that wait; calls in flight finish."""
        self.leaving = True
        for lane in list(self._lane_by_customer.values()):
            for _, _, ticket in list(lane.heap):
                if ticket.state is TicketState.QUEUED:
                    self._refuse(ticket, Failure(kind=Kind.LEAVING))

    def held_by_customer(self) -> dict[str, int]:
        """Count the slots that each customer holds."""
        return {name: lane.held for name, lane in self._lane_by_customer.items()}

    def _cap(self, share: float) -> int:
        return max(1, math.floor(self.slots * min(1.0, share) + 1e-9))

    def _hold(self, ticket: Ticket, lane: _Lane, now: float) -> None:
        invariant(self.held < self.slots, "slots are never exceeded")
        invariant(
            lane.held < self._cap(ticket.share), "a customer stays within its share"
        )
        invariant(ticket.state is TicketState.QUEUED, "a call is admitted once")
        ticket.state = TicketState.HELD
        ticket.admitted_at = now
        self.held += 1
        lane.held += 1

    def _refuse_early(self, lane: _Lane, ticket: Ticket, now: float) -> Failure | None:
        wait_s = self._expected_wait_s()
        retry_after_s = max(1, min(MAX_RETRY_AFTER_S, math.ceil(wait_s)))
        over_share = lane.held >= self._cap(ticket.share)
        if over_share and lane.queued >= self._cap(ticket.share):
            return Failure(
                kind=Kind.CUSTOMER_OVER_SHARE,
                fields={"customer": ticket.customer},
                retry_after_s=retry_after_s,
            )
        if now + wait_s >= ticket.deadline:
            return Failure(kind=Kind.OVERLOADED, retry_after_s=retry_after_s)
        if self.queued < self.queue_limit:
            return None
        if self._evict_for(lane, retry_after_s):
            return None
        return Failure(kind=Kind.OVERLOADED, retry_after_s=retry_after_s)

    def _expected_wait_s(self) -> float:
        return (self.queued + 1) / max(1, self.slots) * self.service_time_s

    def _evict_for(self, newcomer: _Lane, retry_after_s: int) -> bool:
        """Refuse the last of the customer with the longest queue, if longer."""
        longest = max(self._lane_by_customer.values(), key=lambda lane: lane.queued)
        if longest.queued <= newcomer.queued + 1:
            return False
        waiting = [e for e in longest.heap if e[2].state is TicketState.QUEUED]
        failure = Failure(kind=Kind.OVERLOADED, retry_after_s=retry_after_s)
        self._refuse(max(waiting)[2], failure)
        return True

    def _refuse(self, ticket: Ticket, failure: Failure) -> None:
        invariant(
            ticket.state is TicketState.QUEUED, "only a call that waits is refused"
        )
        ticket.failure = failure
        self._unqueue(ticket, TicketState.REFUSED)
        if ticket.notify is not None:
            ticket.notify()

    def _unqueue(self, ticket: Ticket, state: TicketState) -> None:
        ticket.state = state
        lane = self._lane_by_customer[ticket.customer]
        lane.queued -= 1
        self.queued -= 1
        lane.heap = [entry for entry in lane.heap if entry[2] is not ticket]
        heapq.heapify(lane.heap)
        self._forget(ticket.customer, lane)

    def _forget(self, customer: str, lane: _Lane) -> None:
        if not lane.held and not lane.queued:
            self._lane_by_customer.pop(customer, None)

    def _admit_queued(self) -> None:
        now = self.clock.monotonic()
        while self.queued and self.held < self.slots:
            lane = self._next_lane()
            if lane is None:
                return
            deadline, _, ticket = lane.heap[0]
            if deadline <= now:
                self._refuse(ticket, Failure(kind=Kind.DEADLINE_BEFORE_RUN))
                continue
            heapq.heappop(lane.heap)
            lane.queued -= 1
            self.queued -= 1
            self._hold(ticket, lane, now)
            if ticket.notify is not None:
                ticket.notify()

    def _next_lane(self) -> _Lane | None:
        """Pick the customer that holds least for its share, then by deadline."""
        eligible = [
            lane
            for lane in self._lane_by_customer.values()
            if lane.heap and lane.held < self._cap(lane.heap[0][2].share)
        ]
        if not eligible:
            return None
        return min(
            eligible,
            key=lambda lane: (
                lane.held / max(lane.heap[0][2].share, 0.01),
                lane.heap[0][0],
            ),
        )
