"""Tickets of calls at an owner's admission, their ranks, and queues by customer."""

from collections.abc import Callable
from enum import Enum

from attrs import define, field, frozen

from comfreytray.common.errors import Failure
from comfreytray.customers.credentials import precedence_of


class TicketState(Enum):
    """States of a call at the owner's admission."""

    QUEUED = "queued"
    HELD = "held"
    REFUSED = "refused"
    DONE = "done"


@define(kw_only=True, eq=False)
class Ticket:
    """A call that waits for a slot or holds one."""

    customer: str
    share: float
    deadline: float
    kind: str = ""
    priority: int = 0
    due: float = 0.0
    """Time of the latency target; 0 if there is none."""
    state: TicketState = TicketState.QUEUED
    failure: Failure | None = None
    admitted_at: float = 0.0
    notify: Callable[[], None] | None = None
    """Called once, when a queued ticket is admitted or refused."""


@frozen(order=True)
class Rank:
    """Sort key of waiting calls; the lowest goes first."""

    late: bool
    """Whether the answer is expected after its latency target."""
    priority: int
    until: float
    """Time of the call's latency target if it has one, else its deadline."""

    @property
    def precedence(self) -> tuple[bool, int]:
        """Return the part of the rank that comes before the shares of customers."""
        return (self.late, precedence_of(self.priority))


@define(kw_only=True, eq=False)
class CustomerQueue:
    """The waiting calls of one customer, and its number of held slots."""

    held: int = 0
    queued: int = 0
    heap: list[tuple[Rank, int, Ticket]] = field(factory=list)
