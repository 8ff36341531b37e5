"""Order of the customers' queues at an owner: whose call goes next, whose gives way.

Load pattern: one customer sends many times its usual load, or calls of little urgency
come in great numbers. Calls that can be in time and are nested or granted precedence go
first; among equals the customer that holds the fewest slots for its share does.
"""

from collections.abc import Collection

from comfreytray.calls.nesting import NESTED_PRIORITY
from comfreytray.calls.tickets import CustomerQueue, Rank

_FIRST = Rank(late=False, priority=NESTED_PRIORITY, until=0.0)
MIN_SHARE = 0.01


def order_of(queue: CustomerQueue) -> tuple[tuple[bool, int], float, Rank]:
    """Return the sort key of a queue that is not empty; the lowest goes first."""
    rank, _, ticket = queue.heap[0]
    return (rank.precedence, queue.held / max(ticket.share, MIN_SHARE), rank)


def find_queue_to_shorten(
    queues: Collection[CustomerQueue], newcomer: CustomerQueue, rank: Rank
) -> CustomerQueue | None:
    """Return the queue whose last call gives way to a newcomer of a rank, if any does.

    A call of lower precedence gives way; else the last one of the customer with the
    longest queue, unless that of the newcomer is about as long.
    """
    lowest = max(queues, key=lambda queue: (_last_rank(queue).precedence, queue.queued))
    if _last_rank(lowest).precedence > rank.precedence:
        return lowest
    longest = max(queues, key=lambda queue: queue.queued)
    if longest is newcomer:
        return longest if _last_rank(longest) > rank else None
    return longest if longest.queued > newcomer.queued + 1 else None


def _last_rank(queue: CustomerQueue) -> Rank:
    """Return the rank of a queue's last call, the first of all ranks if it is empty."""
    return max(queue.heap)[0] if queue.heap else _FIRST
