"""What callers and other nodes may take of the memory of a process, together."""

from attrs import frozen

from comfreytray.calls.aheadshare import AheadShare, pending_for
from comfreytray.calls.bodypool import BodyPool, build_pool
from comfreytray.calls.transitmemory import TransitMemory, build_memories
from comfreytray.common.interfaces import Clock
from comfreytray.common.metrics import Metrics


@frozen(kw_only=True)
class ProcessShares:
    """The bounds that hold for all connections of a process together."""

    answers: TransitMemory
    """Bytes of answers that their callers have not taken."""
    outboxes: TransitMemory
    """Bytes of frames that other nodes have not taken."""
    bodies: BodyPool
    """Bytes of request bodies."""
    ahead: AheadShare
    """Requests that were sent behind one that is not answered."""


def build_shares(memory_bytes: float, clock: Clock, metrics: Metrics) -> ProcessShares:
    """Return the bounds for a process of limited memory."""
    answers, outboxes = build_memories(memory_bytes, metrics)
    return ProcessShares(
        answers=answers,
        outboxes=outboxes,
        bodies=build_pool(memory_bytes, clock, metrics),
        ahead=AheadShare(max_pending=pending_for(memory_bytes)),
    )
