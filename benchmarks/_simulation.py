"""Simulation of many nodes in one process, on a fake clock, network and store."""

import heapq
import random
from collections import Counter
from collections.abc import Callable

import msgpack
from attrs import define

from benchmarks._deployments import Deployment
from comfreytray.common.errors import Failure
from comfreytray.common.interfaces import Address
from comfreytray.common.metrics import Metrics
from comfreytray.common.records import Endpoint, NodeRecord
from comfreytray.configuration.content import (
    HEAD_KEY,
    PAGE_COUNT,
    Content,
    Head,
    VersionRecord,
    blob_key,
    decode_head,
    encode_head,
    encode_page,
    encode_record,
    page_of,
)
from comfreytray.configuration.snapshots import Snapshot
from comfreytray.distribution.distribution import Distributor
from comfreytray.distribution.status import StatusBoard
from comfreytray.distribution.storewatch import WATCH_TIMEOUT_S, StoreWatcher
from comfreytray.membership.membership import Membership
from comfreytray.membership.seeds import Seeds
from comfreytray.testing import FakeClock, FakeNetwork, MemoryStore
from comfreytray.transport import wire

CONTROL_PORT = 8082
TICK_S = 0.1
"""Interval between two ticks of one node."""
STEP_S = 0.02
"""Step of the simulated clock; the nodes' ticks are spread over the steps."""
DATAGRAM_HEADER_BYTES = 28
"""IP and UDP headers."""
STREAM_HEADER_BYTES = 56
"""IP and TCP headers and the frame's own length."""
DELAY_JITTER_SHARE = 0.1
"""Largest random addition to a message's delay, as a share of the delay."""
SEEDS_INTERVAL_S = 1.0
ITEM_BODY_BYTES = 700

Zone = tuple[str, str]


def purpose_of(message: object) -> str:
    """Return the purpose of a message, as its module and class in lower case."""
    kind = type(message)
    return f"{kind.__module__.rpartition('.')[2]}.{kind.__name__.lower()}"


class RegionalNetwork(FakeNetwork):
    """Delay messages by zone and count them by purpose and regions."""

    def __init__(self, *, clock: FakeClock, seed: int, deployment: Deployment) -> None:
        super().__init__(clock=clock, seed=seed)
        self.deployment = deployment
        self.zone_by_host: dict[str, Zone] = {}
        self.cut_regions: set[frozenset[str]] = set()
        self.bytes_by_flow: Counter[tuple[str, str, str]] = Counter()
        self.messages_by_purpose: Counter[str] = Counter()
        self.bytes_by_host: Counter[str] = Counter()

    def send(
        self, source: Address, to: Address, message: object, *, datagram: bool
    ) -> None:
        """Count a message and queue it with the delay between the two zones.

        One to an unknown host is ignored; one between disconnected regions is counted
        and dropped.
        """
        data = wire.encode(message)
        source_zone, target_zone = (
            self.zone_by_host[source[0]],
            self.zone_by_host.get(to[0]),
        )
        if target_zone is None:
            return
        head = DATAGRAM_HEADER_BYTES if datagram else STREAM_HEADER_BYTES
        purpose = purpose_of(message)
        self.bytes_by_flow[purpose, source_zone[0], target_zone[0]] += len(data) + head
        self.bytes_by_host[source[0]] += len(data) + head
        self.bytes_by_host[to[0]] += len(data) + head
        self.messages_by_purpose[purpose] += 1
        self.messages_sent += 1
        if frozenset((source_zone[0], target_zone[0])) in self.cut_regions:
            return
        delay = self.deployment.delay_s(source_zone, target_zone)
        delay *= 1 + self.random.uniform(0, DELAY_JITTER_SHARE)
        due = self.clock.now + delay
        if not datagram:  # A stream delivers in order.
            due = max(due, self._stream_end_by_pair.get((source, to), 0.0))
            self._stream_end_by_pair[source, to] = due
        entry = (due, next(self._sequence), source, to, data, datagram)
        heapq.heappush(self._queue, entry)

    def cross_region_bytes(self, purposes: tuple[str, ...] = ()) -> int:
        """Return the bytes sent between regions, of some purposes or of all."""
        return sum(
            size
            for (purpose, source, target), size in self.bytes_by_flow.items()
            if source != target and (not purposes or purpose.startswith(purposes))
        )

    def reset_counts(self) -> None:
        """Reset the counts of bytes and messages."""
        self.bytes_by_flow.clear()
        self.messages_by_purpose.clear()
        self.bytes_by_host.clear()


@define(kw_only=True, eq=False)
class SimulatedNode:
    """The components of one node, and when its next store calls are due."""

    record: NodeRecord
    membership: Membership
    distributor: Distributor
    watcher: StoreWatcher
    status: StatusBoard
    seeds: Seeds
    metrics: Metrics
    content: Content
    alive: bool = True
    watch_due_s: float = 0.0
    watched_revision: int = 0
    fetch_due_s: float = 0.0
    seeds_due_s: float = 0.0


class VersionSource:
    """Make versions of the configuration as an operator's edits do."""

    def __init__(self, *, customers: int, seed: int) -> None:
        self._random = random.Random(seed)
        self.content = Content()
        self.body_by_key = {
            f"customer/{number:04}": self._body() for number in range(customers)
        }
        for number in range(8):
            self.body_by_key[f"template/{number:02}"] = self._body()
        self.head: Head | None = None

    def _body(self) -> bytes:
        words = [f"{self._random.getrandbits(40):x}" for _ in range(20)]
        text = " ".join(f"parameter_{n}={word}" for n, word in enumerate(words))
        filler = "x" * (ITEM_BODY_BYTES - len(text))
        return bytes(msgpack.packb(["item", text, filler]))

    def change(self) -> tuple[Head, dict[bytes, bytes]]:
        """Edit one random item and return the version and the blobs that are new."""
        key = self._random.choice(sorted(self.body_by_key))
        body = bytearray(self.body_by_key[key])
        offset = self._random.randrange(30, 200)
        body[offset : offset + 12] = b"%012x" % self._random.getrandbits(48)
        self.body_by_key[key] = bytes(body)
        return self.build(key)

    def build(self, changed: str = "") -> tuple[Head, dict[bytes, bytes]]:
        """Return a version of the current bodies and the blobs that are new."""
        known = set(self.content.blob_by_digest)
        parts_by_page: list[dict[str, tuple[bytes, ...]]] = [
            {} for _ in range(PAGE_COUNT)
        ]
        for key, body in self.body_by_key.items():
            parts_by_page[page_of(key)][key] = (self.content.add(body),)
        pages = tuple(self.content.add(encode_page(page)) for page in parts_by_page)
        version = 1 if self.head is None else self.head.version + 1
        record = VersionRecord(
            version=version,
            parent=b"" if self.head is None else self.head.digest,
            pages=pages,
            change_id=f"change-{version}",
            operator="operator",
            language="en",
            accepted_at_s=0.0,
            summary="edit",
            changed_keys=(changed,) if changed else (),
        )
        digest = self.content.add(encode_record(record))
        self.head = Head(version=version, digest=digest)
        blobs = self.content.blob_by_digest
        return self.head, {one: blobs[one] for one in blobs.keys() - known}

    @property
    def total_bytes(self) -> int:
        """Size of all keys and bodies, as a reader of the full set fetches them."""
        return sum(len(key) + len(body) for key, body in self.body_by_key.items())


def _compile(head: Head, content: Content) -> Snapshot | Failure:
    return Snapshot(head=head)


class Mesh:
    """Run the nodes of a deployment on a fake clock."""

    def __init__(
        self, *, deployment: Deployment, seed: int, preloaded: bool = False
    ) -> None:
        """Set up the network and the store, without nodes.

        With `preloaded`, nodes start with all blobs that exist at that time.
        """
        self.deployment = deployment
        self.random = random.Random(seed)
        self.preloaded = preloaded
        self.clock = FakeClock()
        self.network = RegionalNetwork(
            clock=self.clock, seed=seed, deployment=deployment
        )
        self.store = MemoryStore()
        self.versions = VersionSource(customers=deployment.customers, seed=seed)
        self.by_id: dict[str, SimulatedNode] = {}
        self.applied_at_by_version: dict[int, dict[str, float]] = {}
        self.step_callbacks: list[Callable[[], None]] = []
        self._started = 0
        self._step = 0
        self._head_changed_s = 0.0

    # Nodes

    def start_all(self) -> None:
        """Accept a first version and start all nodes."""
        head, blobs = self.versions.build()
        self.write(head, blobs)
        zones, services = self.deployment.zones(), self.deployment.services()
        for zone, service in zip(zones, services, strict=True):
            self.start(zone, service)

    def start(self, zone: Zone, service: str) -> SimulatedNode:
        """Start a node in a zone."""
        number = self._started
        self._started += 1
        host = f"10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}"
        self.network.zone_by_host[host] = zone
        record = NodeRecord(
            node_id=f"node-{number:05}",
            incarnation=int(self.clock.now * 1000),
            region=zone[0],
            data_centre=zone[1],
            host=host,
            control_port=CONTROL_PORT,
            call_port=CONTROL_PORT + 1,
        )
        node = self._build_node(record)
        self.by_id[record.node_id] = node
        endpoint = Endpoint(
            service=service,
            instance_id=f"{service}-{number}",
            slots=self.deployment.slots,
            connections=self.deployment.connections,
        )
        node.membership.set_endpoint(endpoint)
        return node

    def _build_node(self, record: NodeRecord) -> SimulatedNode:
        seed = self.random.getrandbits(32)
        metrics, content = Metrics(), Content()
        if self.preloaded:
            content.blob_by_digest.update(self.versions.content.blob_by_digest)
        node_id = record.node_id

        def receive(sender: Address, message: object, datagram: bool) -> None:
            membership.receive(sender, message, datagram)
            distributor.receive(sender, message)
            status.receive(sender, message)

        port = self.network.attach(record.control_address, receive)
        membership = Membership(
            me=record,
            clock=self.clock,
            random=random.Random(seed),
            network=port,
            metrics=metrics,
        )

        def record_applied(snapshot: Snapshot) -> None:
            at_by_id = self.applied_at_by_version.setdefault(snapshot.head.version, {})
            at_by_id[node_id] = self.clock.now

        distributor = Distributor(
            node=lambda: membership.me,
            members=lambda: membership.view,
            clock=self.clock,
            random=random.Random(seed + 1),
            network=port,
            content=content,
            compile_snapshot=_compile,
            on_applied=record_applied,
            store_region=self.deployment.store_region,
        )
        watcher = StoreWatcher(
            store=self.store,
            distributor=distributor,
            decode_head=decode_head,
            clock=self.clock,
            random=random.Random(seed + 2),
            metrics=metrics,
        )
        status = StatusBoard(
            node=lambda: membership.me,
            members=lambda: membership.view,
            clock=self.clock,
            random=random.Random(seed + 3),
            network=port,
            distributor=distributor,
        )
        seeds = Seeds(
            store=self.store,
            clock=self.clock,
            random=random.Random(seed + 4),
            me=record,
        )
        return SimulatedNode(
            record=record,
            membership=membership,
            distributor=distributor,
            watcher=watcher,
            status=status,
            seeds=seeds,
            metrics=metrics,
            content=content,
        )

    def live_nodes(self) -> list[SimulatedNode]:
        """Return the nodes that were not killed."""
        return [node for node in self.by_id.values() if node.alive]

    def kill(self, node: SimulatedNode) -> None:
        """Stop a node abruptly, without a leave message."""
        node.alive = False
        self.network.detach(node.record.control_address)
        del self.by_id[node.record.node_id]

    # Store

    def write(self, head: Head, blobs: dict[bytes, bytes]) -> None:
        """Write a version to the store, its head last."""
        for digest, blob in blobs.items():
            self.store.put(blob_key(digest), blob, expected_version=None)
        self.store.put(HEAD_KEY, encode_head(head), expected_version=None)
        self._head_changed_s = self.clock.now

    def accept(self, entry: SimulatedNode | None = None) -> Head:
        """Accept one change, through a node if one is given."""
        head, blobs = self.versions.change()
        self.write(head, blobs)
        if entry is not None:
            entry.distributor.offer(head, blobs)
        return head

    def _is_cut_off(self, node: SimulatedNode) -> bool:
        pair = frozenset((self.deployment.store_region, node.record.region))
        return pair in self.network.cut_regions

    def _poll_store(self, node: SimulatedNode) -> None:
        """Run the store calls of a node that are due, unless it is cut off."""
        now = self.clock.now
        zone = (node.record.region, node.record.data_centre)
        store_zone = (self.deployment.store_region, "store")
        delay = self.deployment.delay_s(store_zone, zone)
        if self._is_cut_off(node):
            return
        revision = self.store.revision
        seen = now >= self._head_changed_s + delay
        head_is_new = seen and revision != node.watched_revision
        if now >= node.watch_due_s or (
            head_is_new and node.distributor.watches_store()
        ):
            watching = node.distributor.watches_store()
            pause = node.watcher.watch_step()
            node.watched_revision = revision
            node.watch_due_s = now + pause + (WATCH_TIMEOUT_S if watching else 0)
            if self.store.down:
                node.watch_due_s = now + pause
        if now >= node.fetch_due_s:
            node.fetch_due_s = now + node.watcher.fetch_step() + 2 * delay

    # Time

    def run(self, seconds: float) -> None:
        """Run the simulation for a number of seconds."""
        end = self.clock.now + seconds
        while self.clock.now < end - 1e-9:
            self._advance()

    def run_until(self, condition: Callable[[], bool], limit_s: float) -> float:
        """Run until a condition holds and return the seconds taken.

        Return infinity if it does not hold within the limit.
        """
        begin = self.clock.now
        while not condition():
            if self.clock.now - begin > limit_s:
                return float("inf")
            self._advance()
        return self.clock.now - begin

    def _advance(self) -> None:
        self.network.run_until(self.clock.now + STEP_S)
        self._step += 1
        steps = round(TICK_S / STEP_S)
        for number, node in enumerate(list(self.by_id.values())):
            if (number + self._step) % steps or not node.alive:
                continue
            node.membership.tick()
            node.distributor.tick()
            node.status.tick()
            self._update_seeds(node)
            self._poll_store(node)
        for callback in self.step_callbacks:
            callback()

    def _update_seeds(self, node: SimulatedNode) -> None:
        if self.clock.now < node.seeds_due_s or self._is_cut_off(node):
            return
        node.seeds_due_s = self.clock.now + SEEDS_INTERVAL_S
        if node.seeds.tick(node.membership.view):
            node.membership.start(node.seeds.addresses)

    # Convergence

    def all_joined(self) -> bool:
        """Whether each live node counts as many members as there are live nodes."""
        count = len(self.by_id)
        return all(
            len(node.membership.view.by_id) == count for node in self.live_nodes()
        )

    def in_force(self, head: Head) -> bool:
        """Whether a version or a newer one is in force on all live nodes."""
        for node in self.live_nodes():
            snapshot = node.distributor.snapshot
            if snapshot is None or snapshot.head.version < head.version:
                return False
        return True

    def convergence_s(self, head: Head, since: float) -> list[float]:
        """Return the seconds from `since` until each node applied the version."""
        at_by_id = self.applied_at_by_version.get(head.version, {})
        return [at - since for at in at_by_id.values()]
