"""Calls at an owner's admission: their tickets, their rank, each customer's queue."""

from collections.abc import Callable
from enum import Enum

from attrs import define, field, frozen

from comfreytray.common.errors import Failure


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
    kind: str = ""
    priority: int = 0
    due: float = 0.0
    state: TicketState = TicketState.QUEUED
    failure: Failure | None = None
    admitted_at: float = 0.0
    notify: Callable[[], None] | None = None
    """Called once when a queued ticket is admitted or refused."""


@frozen(order=True)
class Rank:
    """Order calls that wait; the least goes first."""

    late: bool
    """Whether the answer will come after its target even if all goes well."""
    priority: int
    until: float
    """Target of the call if it names one, else its deadline."""


@define(kw_only=True, eq=False)
class CustomerQueue:
    """Hold what one customer has queued and holds."""

    held: int = 0
    queued: int = 0
    heap: list[tuple[Rank, int, Ticket]] = field(factory=list)
