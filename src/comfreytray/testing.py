"""Fake clock, store and network, for tests of this library and of its users."""

import heapq
import itertools
import random
from collections.abc import Callable

from attrs import define, evolve, field

from comfreytray.common import revisions
from comfreytray.common.errors import Failure, Kind
from comfreytray.common.interfaces import Address, StoredObject, WatchBatch
from comfreytray.transport import wire

MAX_VALUE_BYTES = 1_000_000


@define(kw_only=True)
class FakeClock:
    """A clock that advances only when a test or the fake network sets it."""

    now: float = 1000.0

    def monotonic(self) -> float:
        """Return the fake time."""
        return self.now

    def wall(self) -> float:
        """Return the fake time."""
        return self.now


@define(kw_only=True)
class MemoryStore:
    """The platform's object API in memory, with faults that tests switch on."""

    down: bool = False
    lose_answers: int = 0
    """Number of next writes that take effect but return an unknown outcome."""
    stale_reads: int = 0
    """Number of next reads that return the value before the last write."""
    calls_by_kind: dict[str, int] = field(factory=dict)
    """Number of calls by name of the method."""
    object_by_key: dict[str, StoredObject] = field(factory=dict)
    previous_by_key: dict[str, StoredObject | None] = field(factory=dict)
    revision: int = 0
    era: int = 0
    """Increases each time that the store comes back from an older copy."""

    def restore(self, copy: "MemoryStore") -> None:
        """Come back from an older copy, one made with `copy.deepcopy`."""
        self.era += 1
        self.revision = self._in_era(copy.revision)
        self.object_by_key = {
            key: evolve(stored, version=self._in_era(stored.version))
            for key, stored in copy.object_by_key.items()
        }
        self.previous_by_key.clear()

    def _in_era(self, revision: int) -> int:
        return revisions.in_era(self.era, revisions.number_of(revision))

    def _count_call(self, kind: str) -> Failure | None:
        self.calls_by_kind[kind] = self.calls_by_kind.get(kind, 0) + 1
        if self.down:
            return Failure(kind=Kind.STORE_UNAVAILABLE, detail="outage")
        return None

    def get(self, key: str) -> StoredObject | Failure:
        """Read one object."""
        failed = self._count_call("get")
        if failed is not None:
            return failed
        found = self.object_by_key.get(key)
        if self.stale_reads > 0 and key in self.previous_by_key:
            self.stale_reads -= 1
            found = self.previous_by_key[key]
        if found is None:
            return Failure(kind=Kind.NOT_FOUND, detail=key)
        return found

    def list(self, prefix: str) -> tuple[StoredObject, ...] | Failure:
        """Read all objects under a prefix."""
        failed = self._count_call("list")
        if failed is not None:
            return failed
        return tuple(
            self.object_by_key[key]
            for key in sorted(self.object_by_key)
            if key.startswith(prefix)
        )

    def put(
        self, key: str, value: bytes, *, expected_version: int | None
    ) -> StoredObject | Failure:
        """Write if the version is as expected."""
        failed = self._count_call("put")
        if failed is not None:
            return failed
        if len(value) > MAX_VALUE_BYTES:
            return Failure(kind=Kind.VALUE_TOO_LARGE, detail=key)
        existing = self.object_by_key.get(key)
        existing_version = existing.version if existing is not None else 0
        if expected_version is not None and expected_version != existing_version:
            return Failure(kind=Kind.CONFLICT, detail=f"{key} is at {existing_version}")
        self.revision += 1
        stored = StoredObject(key=key, value=value, version=self.revision)
        self.previous_by_key[key] = existing
        self.object_by_key[key] = stored
        return self._write_result(stored)

    def _write_result(self, stored: StoredObject) -> StoredObject | Failure:
        if self.lose_answers > 0:
            self.lose_answers -= 1
            return Failure(kind=Kind.STORE_OUTCOME_UNKNOWN, detail=stored.key)
        return stored

    def delete(self, key: str, *, expected_version: int | None) -> Failure | None:
        """Delete if the version is as expected."""
        failed = self._count_call("delete")
        if failed is not None:
            return failed
        existing = self.object_by_key.get(key)
        if existing is None:
            return Failure(kind=Kind.NOT_FOUND, detail=key)
        if expected_version is not None and expected_version != existing.version:
            return Failure(kind=Kind.CONFLICT, detail=f"{key} is at {existing.version}")
        self.revision += 1
        del self.object_by_key[key]
        return None

    def watch(
        self, prefix: str, *, after_revision: int, timeout_s: float
    ) -> WatchBatch | Failure:
        """Return at once the objects that changed after a revision.

        After a return of the store these are all that it holds.
        """
        failed = self._count_call("watch")
        if failed is not None:
            return failed
        changed = tuple(
            stored
            for key, stored in sorted(self.object_by_key.items())
            if key.startswith(prefix) and stored.version > after_revision
        )
        return WatchBatch(revision=self.revision, objects=changed)


@define(kw_only=True)
class NetworkFaults:
    """Faults that the fake network applies to messages."""

    loss: float = 0.0
    """Share of datagrams that are lost."""
    duplicate: float = 0.0
    """Share of datagrams that are delivered twice."""
    min_delay_s: float = 0.001
    max_delay_s: float = 0.03
    cut_pairs: set[tuple[str, str]] = field(factory=set)
    """Pairs of hosts; no message passes from the first to the second."""


Receiver = Callable[[Address, object, bool], None]
"""Called with the sender's address, the message and whether it is a datagram."""


class FakeNetwork:
    """Deliver encoded messages between nodes of one process on a fake clock.

    Streams keep their order per pair of addresses; datagrams do not.
    """

    def __init__(self, *, clock: FakeClock, seed: int) -> None:
        self.clock = clock
        self.random = random.Random(seed)
        self.faults = NetworkFaults()
        self.receiver_by_address: dict[Address, Receiver] = {}
        # Messages to a frozen address wait until it is unfrozen.
        self.frozen_addresses: set[Address] = set()
        self.bytes_by_pair: dict[tuple[str, str], int] = {}
        self.messages_sent = 0
        self._queue: list[tuple[float, int, Address, Address, bytes, bool]] = []
        self._sequence = itertools.count()
        self._stream_end_by_pair: dict[tuple[Address, Address], float] = {}

    def attach(self, address: Address, receiver: Receiver) -> "FakeNetworkPort":
        """Register a node's receiver and return the node's side of the network."""
        self.receiver_by_address[address] = receiver
        return FakeNetworkPort(network=self, address=address)

    def detach(self, address: Address) -> None:
        """Remove a node; messages in flight to it are lost."""
        self.receiver_by_address.pop(address, None)
        self.frozen_addresses.discard(address)

    def send(
        self, source: Address, to: Address, message: object, *, datagram: bool
    ) -> None:
        """Queue a message, subject to the current faults."""
        data = wire.encode(message)
        pair = (source[0], to[0])
        self.bytes_by_pair[pair] = self.bytes_by_pair.get(pair, 0) + len(data)
        self.messages_sent += 1
        if pair in self.faults.cut_pairs:
            return
        if datagram and self.random.random() < self.faults.loss:
            return
        copies = 2 if datagram and self.random.random() < self.faults.duplicate else 1
        for _ in range(copies):
            delay = self.random.uniform(
                self.faults.min_delay_s, self.faults.max_delay_s
            )
            due = self.clock.now + delay
            if not datagram:
                due = max(due, self._stream_end_by_pair.get((source, to), 0.0))
                self._stream_end_by_pair[(source, to)] = due
            entry = (due, next(self._sequence), source, to, data, datagram)
            heapq.heappush(self._queue, entry)

    def run_until(self, end: float) -> None:
        """Deliver all messages due up to a time and advance the clock to it."""
        while self._queue and self._queue[0][0] <= end:
            due, _, source, to, data, datagram = heapq.heappop(self._queue)
            self.clock.now = max(self.clock.now, due)
            self._deliver(source, to, data, datagram)
        self.clock.now = max(self.clock.now, end)

    def _deliver(
        self, source: Address, to: Address, data: bytes, datagram: bool
    ) -> None:
        if to in self.frozen_addresses:
            entry = (
                self.clock.now + self.faults.max_delay_s,
                next(self._sequence),
                source,
                to,
                data,
                datagram,
            )
            heapq.heappush(self._queue, entry)
            return
        receiver = self.receiver_by_address.get(to)
        if receiver is None or (source[0], to[0]) in self.faults.cut_pairs:
            return
        decoded = wire.decode(data)
        assert not isinstance(decoded, Failure), decoded
        receiver(source, decoded, datagram)


@define(kw_only=True)
class FakeNetworkPort:
    """One node's side of the fake network."""

    network: FakeNetwork
    address: Address

    def send_datagram(self, to: Address, message: object) -> None:
        """Send a message that may be lost."""
        self.network.send(self.address, to, message, datagram=True)

    def send_stream(self, to: Address, message: object) -> None:
        """Send an ordered message."""
        self.network.send(self.address, to, message, datagram=False)
