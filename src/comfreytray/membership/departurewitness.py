"""Tells a node's new process what its earlier one had confirmed, if it doesn't know.

A departure that a node has confirmed is kept by the store and the node. A store that
comes back from an older copy while the node restarts loses it at both, and a late
heartbeat brings the instance back. Other nodes have seen the record that named it, or
were told before it was confirmed.
"""

from collections.abc import Callable, Iterable
from typing import Protocol

import eventlet
import msgpack
import xxhash
from attrs import define

from comfreytray.common import logs
from comfreytray.common.errors import Failure, Kind
from comfreytray.common.interfaces import Clock
from comfreytray.common.records import Departure, MembershipView, NodeRecord
from comfreytray.common.repeating import repeat_when
from comfreytray.common.signals import Signal

TOPIC = "/departures"
KEEP_TOPIC = "/departures/keep"
KEEP_S = 30.0
"""Time for which a departure is told; late heartbeats are seconds old at most."""
PERIOD_S = 0.25
IDLE_PERIOD_S = 5.0
TELLERS = 3
"""Nodes that tell a member; each one alone may have failed."""
ASK_TIMEOUT_S = 0.5
MAX_DEPARTURES = 16
MAX_TEXT = 256
MAX_KEPT_NODES = 1024
MAX_TIME_MS = 2**53
_MALFORMED = (ValueError, TypeError, msgpack.UnpackException)


class Peers(Protocol):
    """Carries messages to and from other nodes."""

    def ask(
        self, record: NodeRecord, topic: str, message: bytes, *, timeout_s: float
    ) -> bytes | Failure:
        """Send a message on a topic; return the answer, or why there is none."""
        ...

    def register(self, topic: str, handler: Callable[[bytes], bytes | Failure]) -> None:
        """Have a function answer the messages of a topic."""
        ...


@define(kw_only=True)
class _Missing:
    """Departures that the record of a member's process has not named yet."""

    incarnation: int
    departures: tuple[Departure, ...]
    until: float


@define(kw_only=True)
class _Kept:
    """A departure that a process of a member has asked this node to keep."""

    incarnation: int
    departure: Departure
    until: float


@define(kw_only=True)
class Keeping:
    """The requests to keep one departure of this node."""

    asked: int
    refused: int = 0
    is_kept: bool = False
    """Whether another node keeps it."""

    @property
    def is_settled(self) -> bool:
        """Whether one node keeps it, or none will."""
        return self.is_kept or self.refused >= self.asked


class DepartureWitness:
    """Compares the records of members with those of their earlier processes."""

    def __init__(
        self,
        *,
        own_id: str,
        members: Callable[[], MembershipView],
        peers: Peers,
        learn: Callable[[tuple[Departure, ...]], None],
        clock: Clock,
    ) -> None:
        """Create it; `learn` gets the departures that others have seen of this node."""
        self._own_id = own_id
        self._members = members
        self._ask = peers.ask
        peers.register(TOPIC, self.receive)
        peers.register(KEEP_TOPIC, self.receive_keep)
        self._learn = learn
        self._clock = clock
        self._missing_by_id: dict[str, _Missing] = {}
        self._kept_by_id: dict[str, list[_Kept]] = {}
        self._wake = Signal()

    def compare(self, before: NodeRecord, after: NodeRecord) -> None:
        """Note the departures that a member's later record does not name."""
        missing = self._missing_by_id.pop(after.node_id, None)
        departures: tuple[Departure, ...] = ()
        if missing is not None and missing.incarnation == after.incarnation:
            departures = missing.departures
        if before.incarnation != after.incarnation:
            departures = (*before.departures, *self._kept_for(after))
        lacking = tuple(d for d in departures if not _names(after, d))[-MAX_DEPARTURES:]
        if lacking:
            self._missing_by_id[after.node_id] = _Missing(
                incarnation=after.incarnation,
                departures=lacking,
                until=self._clock.monotonic() + KEEP_S,
            )
            self._wake.fire()

    def keep(self, departure: Departure) -> Keeping:
        """Ask those that would tell this node to keep a departure; does not wait."""
        by_id = self._members().by_id
        tellers = _tellers(self._own_id, by_id)
        own = by_id.get(self._own_id)
        if own is None:
            return Keeping(asked=0)
        message = msgpack.packb([self._own_id, own.incarnation, *_row(departure)])
        keeping = Keeping(asked=len(tellers))
        for node_id in tellers:
            eventlet.spawn_n(self._ask_to_keep, by_id[node_id], message, keeping)
        return keeping

    def _ask_to_keep(
        self, record: NodeRecord, message: bytes, keeping: Keeping
    ) -> None:
        answer = self._ask(record, KEEP_TOPIC, message, timeout_s=ASK_TIMEOUT_S)
        if isinstance(answer, Failure):
            keeping.refused += 1
        else:
            keeping.is_kept = True

    def receive_keep(self, message: bytes) -> bytes | Failure:
        """Keep a departure of another node; the answer is empty."""
        try:
            node_id, incarnation, *row = msgpack.unpackb(message, max_array_len=4)
            _check(node_id, incarnation)
            departure = _departure(*row)
        except _MALFORMED as error:
            return _refuse(error)
        until = self._clock.monotonic() + KEEP_S
        kept = _Kept(incarnation=incarnation, departure=departure, until=until)
        held = [*self._kept_by_id.pop(node_id, ()), kept][-MAX_DEPARTURES:]
        self._kept_by_id[node_id] = held
        if len(self._kept_by_id) > MAX_KEPT_NODES:
            del self._kept_by_id[next(iter(self._kept_by_id))]
        return b""

    def _kept_for(self, record: NodeRecord) -> tuple[Departure, ...]:
        """Return what earlier processes of a node have asked this one to keep."""
        now = self._clock.monotonic()
        return tuple(
            kept.departure
            for kept in self._kept_by_id.get(record.node_id, ())
            if kept.incarnation != record.incarnation and now < kept.until
        )

    def run(self) -> None:
        """Tell members what they lack, until killed."""
        repeat_when(
            "departures",
            self._wake,
            self.step,
            period_s=lambda: PERIOD_S if self._missing_by_id else IDLE_PERIOD_S,
        )

    def step(self) -> None:
        """Tell each member once, if this node is one of those that tell it."""
        now = self._clock.monotonic()
        by_id = self._members().by_id
        for node_id, missing in list(self._missing_by_id.items()):
            if now >= missing.until or self._own_id not in _tellers(node_id, by_id):
                del self._missing_by_id[node_id]
                continue
            record = by_id.get(node_id)
            told = record is not None and self._tell(record, missing)
            # Its record may have changed meanwhile.
            if told and self._missing_by_id.get(node_id) is missing:
                del self._missing_by_id[node_id]

    def receive(self, message: bytes) -> bytes | Failure:
        """Take what another node has seen of this one; the answer is empty."""
        departures = _decode(message)
        if isinstance(departures, Failure):
            return departures
        self._learn(departures)
        return b""

    def _tell(self, record: NodeRecord, missing: _Missing) -> bool:
        message = msgpack.packb([_row(departure) for departure in missing.departures])
        answer = self._ask(record, TOPIC, message, timeout_s=ASK_TIMEOUT_S)
        told = not isinstance(answer, Failure)
        logs.log(
            logs.Event.DEPARTURES_TOLD,
            member=record.node_id,
            instances=",".join(d.instance_id for d in missing.departures),
            taken=told,
        )
        return told


def _names(record: NodeRecord, departure: Departure) -> bool:
    """Whether a record names a departure, or a later one of the same instance."""
    return any(
        named.instance_id == departure.instance_id
        and named.before_ms >= departure.before_ms
        for named in record.departures
    )


def _tellers(node_id: str, member_ids: Iterable[str]) -> list[str]:
    """Return the members that tell a node, by rendezvous hashing."""
    others = [other for other in member_ids if other != node_id]
    others.sort(key=lambda other: xxhash.xxh64_intdigest(f"{node_id}/{other}".encode()))
    return others[:TELLERS]


def _row(departure: Departure) -> list[object]:
    return [departure.instance_id, departure.before_ms]


def _refuse(error: Exception) -> Failure:
    detail = f"departures: {type(error).__name__}"
    return Failure(kind=Kind.BAD_REQUEST, detail=detail)


def _decode(message: bytes) -> tuple[Departure, ...] | Failure:
    try:
        rows = msgpack.unpackb(message, max_array_len=MAX_DEPARTURES)
        departures = tuple(_departure(*row) for row in rows)
    except _MALFORMED as error:
        return _refuse(error)
    return departures


def _departure(instance_id: object, before_ms: object) -> Departure:
    """Return a departure; raises TypeError, ValueError for other values."""
    text, time_ms = _check(instance_id, before_ms)
    return Departure(instance_id=text, before_ms=time_ms)


def _check(text: object, time_ms: object) -> tuple[str, int]:
    """Return an id and a time; raises TypeError, ValueError for other values."""
    if type(text) is not str or type(time_ms) is not int:
        raise TypeError("expected a text and a number")
    if len(text) > MAX_TEXT or not 0 <= time_ms <= MAX_TIME_MS:
        raise ValueError("text or number too large")
    return text, time_ms
