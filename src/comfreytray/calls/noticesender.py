"""Brings the notices of a node to all others, over the call streams between them."""

from collections import deque
from collections.abc import Callable, Iterable

import eventlet
import xxhash
from attrs import define, frozen

from comfreytray.calls.notices import Notice, decode, encode
from comfreytray.calls.peercalls import PeerCalls
from comfreytray.calls.quarantine import Quarantine
from comfreytray.common.errors import Failure, Kind
from comfreytray.common.interfaces import Clock
from comfreytray.common.records import MembershipView, NodeRecord
from comfreytray.common.repeating import repeat_when
from comfreytray.common.signals import Signal

TOPIC = "/notices"
TICK_S = 0.25
IDLE_TICK_S = 5.0
"""Period while there is nothing to tell."""
SEND_TIMEOUT_S = 1.0
RETRY_MIN_S = 0.25
RETRY_MAX_S = 2.0
REPEAT_PERIOD_S = 10.0
"""Period in which a node is told again all that is known, by a few others."""
TOLD_PEERS = 3
"""Nodes that each node tells all it knows: they may have started, or been cut off."""
MAX_QUEUED = 256
"""Notices that are kept for nodes that can't be reached; the oldest is dropped."""
QUEUE_S = 600.0
"""Time for which a notice is kept for them; later only those that tell all know it."""
MAX_PER_MESSAGE = 32
"""Notices in one message: the largest are of 9 KB, and a frame takes 1 MB."""
MAX_SENDS = 64
"""Messages on their way at one time."""


@frozen(kw_only=True)
class _Queued:
    """A notice on its way to other nodes."""

    number: int
    notice: Notice
    at: float
    """Monotonic time at which it was published."""


@define(kw_only=True, eq=False)
class _Peer:
    """What another node has been told."""

    incarnation: int
    next_number: int
    """Number of the first notice of this node that it lacks."""
    repeat_at: float = 0.0
    """When it is told all again, if it is one of those that this node tells all."""
    is_sending: bool = False
    failures: int = 0
    retry_at: float = 0.0


class NoticeSender:
    """Sends each notice to each other node until it has arrived."""

    def __init__(
        self,
        *,
        node: Callable[[], NodeRecord],
        members: Callable[[], MembershipView],
        peers: PeerCalls,
        clock: Clock,
        quarantine: Callable[[], Quarantine],
        learn: Callable[[tuple[Notice, ...]], None],
    ) -> None:
        self._node = node
        self._members = members
        self._peers = peers
        self._clock = clock
        self._quarantine = quarantine
        self._learn = learn
        self._queue: deque[_Queued] = deque(maxlen=MAX_QUEUED)
        self._next_number = 0
        self._peer_by_id: dict[str, _Peer] = {}
        self._view: MembershipView | None = None
        self._told_all: frozenset[str] = frozenset()
        self._sends = 0
        self._wake = Signal()

    def publish(self, notices: tuple[Notice, ...]) -> None:
        """Send notices to all other nodes."""
        now = self._clock.monotonic()
        for notice in notices:
            queued = _Queued(number=self._next_number, notice=notice, at=now)
            self._queue.append(queued)
            self._next_number += 1
        self._wake.fire()

    def run(self) -> None:
        """Send what is due, until killed."""
        repeat_when("notices", self._wake, self.step, period_s=self._period_s)

    def _period_s(self) -> float:
        is_idle = self._quarantine().is_empty and not self._queue
        return IDLE_TICK_S if is_idle else TICK_S

    def step(self) -> None:
        """Start the sends that are due."""
        now = self._clock.monotonic()
        self._follow_members()
        by_id = self._members().by_id
        for node_id, peer in self._peer_by_id.items():
            if peer.is_sending or now < peer.retry_at or self._sends >= MAX_SENDS:
                continue
            repeats = node_id in self._told_all and now >= peer.repeat_at
            notices = self._due(peer, repeats=repeats)
            if notices:
                peer.is_sending = True
                self._sends += 1
                if repeats:
                    peer.repeat_at = now + REPEAT_PERIOD_S
                number = self._next_number
                eventlet.spawn_n(self._send, by_id[node_id], peer, notices, number)
        self._drop_delivered()

    def receive(self, message: bytes) -> bytes | Failure:
        """Take the notices of another node; the answer is empty."""
        decoded = decode(message)
        if isinstance(decoded, str):
            return Failure(kind=Kind.BAD_REQUEST, detail=f"notices: {decoded}")
        self._learn(decoded)
        return b""

    def _follow_members(self) -> None:
        """Take over who is there; a node that has started anew knows nothing."""
        view = self._members()
        if view is self._view:
            return
        self._view = view
        own_id = self._node().node_id
        for node_id in list(self._peer_by_id):
            if node_id not in view.by_id:
                del self._peer_by_id[node_id]
        for node_id, record in view.by_id.items():
            peer = self._peer_by_id.get(node_id)
            if node_id == own_id:
                continue
            if peer is None or peer.incarnation != record.incarnation:
                peer = _Peer(
                    incarnation=record.incarnation, next_number=self._next_number
                )
                self._peer_by_id[node_id] = peer
        self._told_all = frozenset(_successors(own_id, view.by_id))

    def _due(self, peer: _Peer, *, repeats: bool) -> tuple[Notice, ...]:
        known = self._quarantine().notices() if repeats else ()
        lacking = [q.notice for q in self._queue if q.number >= peer.next_number]
        return (*known, *lacking)

    def _send(
        self,
        record: NodeRecord,
        peer: _Peer,
        notices: tuple[Notice, ...],
        next_number: int,
    ) -> None:
        """Send notices; `next_number` is that of the first one after them."""
        has_arrived = False
        try:
            has_arrived = self._deliver(record, notices)
        finally:
            self._sends -= 1
            peer.is_sending = False
            if has_arrived:
                peer.next_number, peer.failures = next_number, 0
                self._wake.fire()
            else:
                peer.failures += 1
                peer.repeat_at = 0.0
                pause_s = min(RETRY_MAX_S, RETRY_MIN_S * 2 ** min(peer.failures, 8))
                peer.retry_at = self._clock.monotonic() + pause_s

    def _deliver(self, record: NodeRecord, notices: tuple[Notice, ...]) -> bool:
        """Send notices in messages of limited size; return whether all arrived."""
        for start in range(0, len(notices), MAX_PER_MESSAGE):
            message = encode(notices[start : start + MAX_PER_MESSAGE])
            answer = self._peers.ask(record, TOPIC, message, timeout_s=SEND_TIMEOUT_S)
            if isinstance(answer, Failure):
                return False
        return True

    def _drop_delivered(self) -> None:
        """Drop the notices that have arrived at all nodes, and old ones."""
        peers = self._peer_by_id.values()
        delivered = min((peer.next_number for peer in peers), default=self._next_number)
        oldest = self._clock.monotonic() - QUEUE_S
        while self._queue:
            first = self._queue[0]
            if first.number >= delivered and first.at > oldest:
                return
            self._queue.popleft()


def _successors(own_id: str, node_ids: Iterable[str]) -> list[str]:
    """Return the nodes that follow this one on a ring, ordered by a hash of their ids.

    So each node is told by as many others, mostly of other data centres.
    """
    ring = sorted(
        node_ids, key=lambda node_id: xxhash.xxh64_intdigest(node_id.encode())
    )
    if own_id not in ring:
        return []
    start = ring.index(own_id) + 1
    return [*ring[start:], *ring[: start - 1]][:TOLD_PEERS]
