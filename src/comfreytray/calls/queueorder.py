"""Order of the customers' queues at an owner: whose call goes next, whose gives way.

Load pattern: one customer sends many times its usual load, or calls of little urgency
come in great numbers. Calls that can be in time and are nested or granted precedence go
first; among equals the customer that holds the fewest slots for its share does. Each
fourth slot goes by the shares alone, so that no customer starves behind others.
"""

from collections.abc import Collection, Iterable

from comfreytray.calls.nesting import NESTED_PRIORITY
from comfreytray.calls.tickets import CustomerQueue, Rank, Ticket
from comfreytray.customers.credentials import MAX_ROUTE_PRIORITY, precedence_of

_FIRST = Rank(late=False, priority=NESTED_PRIORITY, until=0.0)
MIN_SHARE = 0.01
FAIR_SHARE_PERIOD = 4
"""Every slot of this number goes by the customers' shares alone."""


def order_of(queue: CustomerQueue) -> tuple[tuple[bool, int], float, Rank]:
    """Return the sort key of a queue that is not empty; the lowest goes first."""
    rank, _, ticket = queue.heap[0]
    return (rank.precedence, queue.held / max(ticket.share, MIN_SHARE), rank)


def fair_share_order_of(queue: CustomerQueue) -> tuple[float, Rank]:
    """Return the sort key of a queue by its customer's share alone."""
    rank, _, ticket = queue.heap[0]
    return (queue.held / max(ticket.share, MIN_SHARE), rank)


def demand_priority(ticket: Ticket) -> int:
    """Return the priority by which the demand of calls is compared.

    Between customers only their precedence counts, so that a customer with urgent
    routes does not get the calls of another one refused early.
    """
    if not ticket.customer:
        return ticket.priority
    return precedence_of(ticket.priority) * (MAX_ROUTE_PRIORITY + 1)


def count_ranked(queues: Iterable[CustomerQueue], rank: Rank) -> int:
    """Return how many waiting calls have a rank or one before it."""
    return sum(entry[0] <= rank for queue in queues for entry in queue.heap)


def count_before(
    queues: Collection[CustomerQueue], own: CustomerQueue, rank: Rank
) -> int:
    """Return how many waiting calls go before one of a rank in its customer's queue.

    Customers of equal precedence take turns, so the others' calls count only up to
    the number of the own ones.
    """
    own_before = count_ranked((own,), rank)
    before = own_before
    for queue in queues:
        if queue is own:
            continue
        urgent = sum(entry[0].precedence < rank.precedence for entry in queue.heap)
        equal = sum(entry[0].precedence == rank.precedence for entry in queue.heap)
        before += urgent + min(equal, own_before + 1)
    return before


def count_before_by_shares(
    queues: Collection[CustomerQueue], own: CustomerQueue, rank: Rank
) -> int:
    """Return how many calls go before one of a rank in the slots that go by turns."""
    own_before = count_ranked((own,), rank)
    others = (min(queue.queued, own_before + 1) for queue in queues if queue is not own)
    return own_before + sum(others)


def find_queue_to_shorten(
    queues: Collection[CustomerQueue], newcomer: CustomerQueue, rank: Rank
) -> CustomerQueue | None:
    """Return the queue whose last call gives way to a newcomer of a rank, if any does.

    A call of lower precedence gives way; else the last one of the customer with the
    longest queue, unless that of the newcomer is about as long.
    """
    # Only nested calls displace the last one that a customer has waiting.
    least = 0 if rank.priority == NESTED_PRIORITY else 1
    lower = [
        queue
        for queue in queues
        if queue.queued > least and _last_rank(queue).precedence > rank.precedence
    ]
    if lower:
        return max(
            lower, key=lambda queue: (_last_rank(queue).precedence, queue.queued)
        )
    longest = max(queues, key=lambda queue: queue.queued)
    if longest is newcomer:
        return longest if _last_rank(longest) > rank else None
    return longest if longest.queued > newcomer.queued + 1 else None


def _last_rank(queue: CustomerQueue) -> Rank:
    """Return the rank of a queue's last call, the first of all ranks if it is empty."""
    return max(queue.heap)[0] if queue.heap else _FIRST
