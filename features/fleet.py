"""Simulated nodes in one process, on a fake network, clock and store, with faults."""

import collections
import random

import attrs
import msgpack

from comfreytray import testing
from comfreytray.common.errors import Failure, Kind
from comfreytray.common.metrics import Metrics
from comfreytray.common.records import MembershipView, NodeRecord, NodeState
from comfreytray.configuration.content import (
    PAGE_COUNT,
    Content,
    Head,
    VersionRecord,
    encode_page,
    encode_record,
    page_of,
)
from comfreytray.configuration.snapshots import Snapshot
from comfreytray.distribution.distribution import Distributor
from comfreytray.distribution.status import StatusBoard
from comfreytray.distribution.storewatch import HEAD_KEY, StoreWatcher, blob_key

TICK_S = 0.1
REGIONS = ("mien-bac", "mien-nam")
BAD_KEY = "bad"


def encode_head(head):
    return msgpack.packb([head.version, head.digest])


def decode_head(data):
    version, digest = msgpack.unpackb(data)
    return Head(version=version, digest=digest)


class Author:
    """Write new versions to the store, as a node does on an operator's change."""

    def __init__(self, store, seed, items=40, item_bytes=600):
        self.store = store
        self.random = random.Random(seed)
        self.body_by_key = {
            f"customer/{number}": self.random.randbytes(item_bytes)
            for number in range(items)
        }
        self.content = Content()
        self.heads = []

    def accept(self, changes=None, *, bad=False):
        """Store the blobs of a version, then its head; return the head and blobs."""
        key = self.random.choice(sorted(self.body_by_key))
        body = bytearray(self.body_by_key[key])
        body[self.random.randrange(len(body))] ^= 0xFF
        self.body_by_key.update(changes or {key: bytes(body)})
        self.body_by_key.pop(BAD_KEY, None)
        if bad:
            self.body_by_key[BAD_KEY] = b"does not compile"
        pages = [{} for _ in range(PAGE_COUNT)]
        blob_by_digest = {}
        for name, value in self.body_by_key.items():
            part = self.content.add(value)
            blob_by_digest[part] = value
            pages[page_of(name)][name] = (part,)
        digests = []
        for page in pages:
            blob = encode_page(page)
            digests.append(self.content.add(blob))
            blob_by_digest[digests[-1]] = blob
        record = encode_record(
            VersionRecord(
                version=len(self.heads) + 1,
                parent=self.heads[-1].digest if self.heads else b"",
                pages=tuple(digests),
                change_id=f"change-{len(self.heads)}",
                operator="an",
                language="vi",
                accepted_at_s=0.0,
                summary="",
                changed_keys=(key,),
            )
        )
        head = Head(version=len(self.heads) + 1, digest=self.content.add(record))
        blob_by_digest[head.digest] = record
        for digest, blob in blob_by_digest.items():
            if blob_key(digest) not in self.store.object_by_key:
                self.store.put(blob_key(digest), blob, expected_version=0)
        self.store.put(HEAD_KEY, encode_head(head), expected_version=None)
        self.heads.append(head)
        return head, blob_by_digest


class Node:
    """A node with a distributor, a status board and a store watcher."""

    def __init__(self, fleet, record, seed):
        self.fleet = fleet
        self.record = record
        self.applied = []
        self.started_at_s = fleet.clock.now
        self.frozen = False
        self.cpu = 0.0
        rng = random.Random(seed)
        self.content = Content()
        port = fleet.network.attach(record.control_address, self.receive)
        shared = {
            "node": lambda: self.record,
            "members": lambda: fleet.view_of(self),
            "clock": fleet.clock,
            "random": rng,
            "network": port,
        }
        self.distributor = Distributor(
            **shared,
            content=self.content,
            compile_snapshot=compile_snapshot,
            on_applied=self.on_applied,
            store_region=REGIONS[0],
        )
        self.status = StatusBoard(**shared, distributor=self.distributor)
        self.watcher = StoreWatcher(
            store=fleet.store,
            distributor=self.distributor,
            decode_head=decode_head,
            clock=fleet.clock,
            random=rng,
            metrics=Metrics(),
        )
        self.watch_at = self.fetch_at = fleet.clock.now + rng.uniform(0, 1)

    def receive(self, sender, message, datagram):
        self.fleet.history.append((sender, message))
        self.distributor.receive(sender, message)
        self.status.receive(sender, message)

    def on_applied(self, snapshot):
        """Check that an applied version is newer, was accepted and is complete."""
        versions = [version for version, _ in self.applied]
        assert not versions or snapshot.head.version > versions[-1], versions
        assert snapshot.head in self.fleet.author.heads, (
            f"{snapshot.head} was never accepted"
        )
        assert self.content.missing(snapshot.head) == [], (
            f"{snapshot.head} is incomplete"
        )
        self.applied.append((snapshot.head.version, self.fleet.clock.now))

    def tick(self):
        now = self.fleet.clock.now
        self.distributor.tick()
        self.status.tick()
        if now >= self.watch_at:
            if self.distributor.watches_store():
                self.fleet.watched_ids.add(self.record.node_id)
            self.watch_at = now + max(self.watcher.watch_step(), TICK_S)
        if now >= self.fetch_at:
            self.fetch_at = now + max(self.watcher.fetch_step(), TICK_S)

    @property
    def version(self):
        snapshot = self.distributor.snapshot
        return snapshot.head.version if snapshot is not None else 0


def compile_snapshot(head, content):
    items = content.items(head)
    if isinstance(items, Failure):
        return items
    if BAD_KEY in items:
        return Failure(kind=Kind.INVALID_CONTENT, detail="bad item")
    return Snapshot(head=head)


class Fleet:
    """Nodes whose membership views lag behind kills and partitions by some seconds."""

    view_lag_s = 2.0
    """Interval between updates of the views."""
    join_s = 0.5
    """Time for which a node that has just started sees only itself."""

    def __init__(self, *, count, seed, items=40, item_bytes=600):
        self.seed = seed
        self.random = random.Random(seed)
        self.clock = testing.FakeClock()
        self.network = testing.FakeNetwork(clock=self.clock, seed=seed)
        self.store = testing.MemoryStore()
        self.author = Author(self.store, seed, items, item_bytes)
        self.node_by_id = {}
        self.incarnation = 0
        self.view_by_region = {}
        self.next_view_s = 0.0
        self.cut = False
        self.bad_versions = set()
        self.watched_ids = set()
        self.history = collections.deque(maxlen=500)
        self.count = count
        for number in range(count):
            self.start(number)

    def start(self, number):
        """Start a node, or restart it with no state."""
        self.incarnation += 1
        record = NodeRecord(
            node_id=f"node-{number}",
            incarnation=self.incarnation,
            region=REGIONS[number % 2],
            data_centre=f"dc-{number % 4}",
            host=f"10.{number % 2}.{number // 250}.{number % 250}",
            control_port=7000,
            call_port=7001,
        )
        node = Node(self, record, self.seed * 100_003 + self.incarnation)
        self.node_by_id[record.node_id] = node
        return node

    def kill(self, node):
        self.network.detach(node.record.control_address)
        del self.node_by_id[node.record.node_id]

    def freeze(self, node, frozen):
        node.frozen = frozen
        frozen_addresses = self.network.frozen_addresses
        change = frozen_addresses.add if frozen else frozen_addresses.discard
        change(node.record.control_address)

    def cut_regions(self, cut):
        """Start or end a partition between the regions."""
        self.cut = cut
        hosts = {node.record.host for node in self.node_by_id.values()}
        pairs = {
            (a, b) for a in hosts for b in hosts if a.split(".")[1] != b.split(".")[1]
        }
        self.network.faults.cut_pairs = pairs if cut else set()

    def view_of(self, node):
        """Return the view of a node's region; a new node sees only itself."""
        view = self.view_by_region.get(node.record.region)
        if view is None or self.clock.now < node.started_at_s + self.join_s:
            return MembershipView(by_id={node.record.node_id: node.record})
        return view

    def refresh_views(self):
        """Update the view of each region as membership would."""
        for region in REGIONS:
            records = {
                node.record.node_id: attrs.evolve(
                    node.record,
                    state=NodeState.SUSPECT if node.frozen else NodeState.ALIVE,
                )
                for node in self.node_by_id.values()
                if not self.cut or node.record.region == region
            }
            self.view_by_region[region] = MembershipView(by_id=records)

    def run(self, seconds):
        end = self.clock.now + seconds
        while self.clock.now < end:
            self.network.run_until(self.clock.now + TICK_S)
            if self.clock.now >= self.next_view_s:
                self.next_view_s = self.clock.now + self.view_lag_s
                self.refresh_views()
            for node in list(self.node_by_id.values()):
                if not node.frozen:
                    node.tick()

    def run_until_converged(self, limit_s):
        """Run until all nodes have the newest version; return the seconds taken."""
        start = self.clock.now
        newest = max(
            head.version
            for head in self.author.heads
            if head.version not in self.bad_versions
        )
        while any(node.version < newest for node in self.node_by_id.values()):
            assert self.clock.now - start < limit_s, self.lagging()
            self.run(TICK_S)
        return self.clock.now - start

    def lagging(self):
        """Describe the nodes that lack the newest version, for an assertion."""
        newest = self.author.heads[-1].version
        lines = []
        for node in self.node_by_id.values():
            if node.version < newest:
                wanted = node.distributor.wanted
                seen = (wanted.head.version, len(wanted.holders)) if wanted else None
                lines.append(f"{node.record.node_id} {node.version} {seen}")
        return f"newest {newest}: " + "; ".join(lines[:8])

    def cross_region_bytes(self):
        return sum(
            size
            for (a, b), size in self.network.bytes_by_pair.items()
            if a.split(".")[1] != b.split(".")[1]
        )

    def bytes_sent(self, node):
        host = node.record.host
        sent = self.network.bytes_by_pair.items()
        return sum(size for (source, _), size in sent if source == host)

    def accept(self, *, at=None, bad=False):
        """Accept a version in the store; offer it to node `at` if given."""
        head, blobs = self.author.accept(bad=bad)
        if bad:
            self.bad_versions.add(head.version)
        if at is not None and not at.frozen:
            at.distributor.offer(head, blobs)
        return head


class Chaos:
    """Inject random faults and end them; each private method is one kind of fault."""

    def __init__(self, fleet, seed):
        self.fleet = fleet
        self.random = random.Random(seed)
        self.dead = []

    def step(self, fault):
        """Inject one fault or accept versions, then run for up to 2 s."""
        getattr(self, f"_{fault}")()
        self.fleet.run(self.random.uniform(0.0, 2.0))

    def _random_node(self):
        nodes = self.fleet.node_by_id
        return nodes[self.random.choice(sorted(nodes))]

    def _accept(self):
        if not self.fleet.store.down:
            self.fleet.accept(at=self.random.choice([None, self._random_node()]))

    def _accept_bad(self):
        if not self.fleet.store.down:
            self.fleet.accept(at=self._random_node(), bad=True)

    def _accept_burst(self):
        for _ in range(0 if self.fleet.store.down else 4):
            self.fleet.accept(at=self._random_node())

    def _kill(self):
        if len(self.fleet.node_by_id) > 2:
            node = self._random_node()
            self.fleet.kill(node)
            self.dead.append(int(node.record.node_id.removeprefix("node-")))

    def _herd(self):
        """Kill half of the nodes at once."""
        for _ in range(self.fleet.count // 2):
            self._kill()

    def _restart(self):
        while self.dead:
            self.fleet.start(self.dead.pop())

    def _restart_all(self):
        self._restart()
        for node in list(self.fleet.node_by_id.values()):
            self.fleet.kill(node)
            self.fleet.start(int(node.record.node_id.removeprefix("node-")))

    def _freeze(self):
        self.fleet.freeze(self._random_node(), True)

    def _thaw(self):
        for node in self.fleet.node_by_id.values():
            self.fleet.freeze(node, False)

    def _cut(self):
        self.fleet.cut_regions(True)

    def _heal(self):
        self.fleet.cut_regions(False)

    def _noise(self):
        """Lose, duplicate and delay messages."""
        faults = self.fleet.network.faults
        faults.loss = self.random.uniform(0, 0.5)
        faults.duplicate = self.random.uniform(0, 0.5)
        faults.max_delay_s = self.random.uniform(0.03, 3.0)

    def _quiet(self):
        """End the faults of `_noise`."""
        faults = self.fleet.network.faults
        faults.loss = faults.duplicate = 0.0
        faults.max_delay_s = 0.03

    def _store_down(self):
        self.fleet.store.down = True

    def _store_up(self):
        self.fleet.store.down = False

    def _stale(self):
        """Let the next five reads of the store return old values."""
        self.fleet.store.stale_reads += 5

    def _replay(self):
        """Deliver recorded messages again, to random nodes."""
        for sender, message in self.random.choices(
            list(self.fleet.history) or [(("10.0.0.0", 7000), None)], k=30
        ):
            self._random_node().receive(sender, message, True)

    def _late_store_answer(self):
        """Complete a read of the store that returns an old head."""
        head = self.random.choice(self.fleet.author.heads)
        content = self.fleet.author.content
        blobs = {digest: content.get(digest) for digest in content.references(head)}
        distributor = self._random_node().distributor
        distributor.observe_store_head(head)
        distributor.offer(head, blobs)

    def end(self):
        """End all faults, then accept one more version."""
        self.fleet.store.stale_reads = 0
        for step in ("thaw", "heal", "quiet", "store_up", "restart"):
            getattr(self, f"_{step}")()
        self.fleet.accept()


# Sorted by name: seeded runs pick faults by index.
FAULTS = sorted(
    name.removeprefix("_")
    for name in vars(Chaos)
    if name.startswith("_") and name not in ("__init__", "_random_node")
    if not name.startswith("__")
)
