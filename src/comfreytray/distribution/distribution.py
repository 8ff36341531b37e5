"""Exchange versions with other nodes until all hold the newest accepted one."""

import random
from collections.abc import Callable, Mapping
from typing import Any

from comfreytray.common.budgets import TokenBucket
from comfreytray.common.errors import Failure
from comfreytray.common.interfaces import Address, Clock, Network
from comfreytray.common.records import MembershipView, NodeRecord
from comfreytray.configuration.content import Content, Head
from comfreytray.configuration.snapshots import Snapshot
from comfreytray.distribution import relays
from comfreytray.distribution.blobserver import MAX_PULL_DIGESTS, BlobServer
from comfreytray.distribution.broadcast import Broadcaster
from comfreytray.distribution.exchange import Blobs, Digest, Pull, Push, Unserved
from comfreytray.distribution.fetching import Candidate, Candidates
from comfreytray.distribution.lifecycles import Lifecycles
from comfreytray.distribution.localversions import LocalVersions

GOSSIP_INTERVAL_S = 1.0
"""Mean time between digests that a node sends within its region."""
SEARCH_INTERVAL_S = 0.5
"""The same while the node holds no version or knows no holder of a newer one."""
CROSS_REGION_GOSSIP_INTERVAL_S = 2.0
"""Mean time between digests that all nodes of a region send to other regions."""
SEND_BYTES_PER_S = 16_000
SEND_BURST_BYTES = 512 * 1024
"""Rate and burst are the budget for the blobs that this node sends."""
RETAIN_INTERVAL_S = 10.0
"""Time between removals of blobs that are no longer used."""
STORE_DELAY_S = 0.3
"""How long the first watcher waits for peers before it reads blobs from the store."""
STORE_RANK_DELAY_S = 0.7
"""How much longer each further watcher of a region waits."""
STORE_OTHER_REGION_DELAY_S = 1.0
"""How much longer watchers outside the store's region wait."""
STORE_FALLBACK_DELAY_S = 20.0
"""How long a node that is not a watcher waits."""
STORE_JITTER_S = 0.2
STARTUP_DELAY_S = 1.0
"""How long a new node, which knows few members yet, leaves watching to others."""
STARTUP_JITTER_S = 1.0
WATCH_CHECK_INTERVAL_S = 2.0
"""Time between checks of whether this node is a watcher."""
MAX_RETRY_AFTER_S = 30.0
"""Limit on the wait that a busy peer may ask for."""


class Distributor:
    """Hold this node's configuration and exchange versions with other nodes."""

    def __init__(
        self,
        *,
        node: Callable[[], NodeRecord],
        members: Callable[[], MembershipView],
        clock: Clock,
        random: random.Random,
        network: Network,
        content: Content,
        compile_snapshot: Callable[[Head, Content], Snapshot | Failure],
        on_applied: Callable[[Snapshot], None],
        store_region: str,
    ) -> None:
        now = clock.monotonic()
        self._node = node
        self._members = members
        self._clock = clock
        self._random = random
        self._network = network
        self._store_region = store_region
        self._budget = TokenBucket(
            rate_per_s=SEND_BYTES_PER_S, capacity=SEND_BURST_BYTES, refilled_at_s=now
        )
        self._lifecycles = Lifecycles()
        self._candidates = Candidates(
            clock=clock, random=random, lifecycles=self._lifecycles
        )
        self._local = LocalVersions(
            clock=clock,
            content=content,
            lifecycles=self._lifecycles,
            compile_snapshot=compile_snapshot,
            on_applied=on_applied,
        )
        self._broadcaster = Broadcaster(
            node=node,
            members=members,
            clock=clock,
            network=network,
            local=self._local,
            budget=self._budget,
        )
        self._server = BlobServer(
            clock=clock,
            random=random,
            network=network,
            local=self._local,
            budget=self._budget,
        )
        self._watch_at_s = now + STARTUP_DELAY_S + random.uniform(0, STARTUP_JITTER_S)
        self._store_jitter_s = random.uniform(0, STORE_JITTER_S)
        self._gossip_at_s = now + random.uniform(0, SEARCH_INTERVAL_S)
        self._retain_at_s = now + RETAIN_INTERVAL_S
        self._watch_rank: int | None = None
        self._watch_check_at_s = now
        self._handler_by_type: dict[type, Callable[[Address, Any], None]] = {
            Digest: self._on_digest,
            Push: self._on_push,
            Pull: self._on_pull,
            Blobs: self._on_blobs,
            Unserved: self._on_unserved,
        }

    @property
    def snapshot(self) -> Snapshot | None:
        """The configuration in force, None before the first one."""
        return self._local.snapshot

    @property
    def held(self) -> Head | None:
        """The newest complete version; it is not in force if it was refused."""
        return self._local.held

    @property
    def refusal(self) -> Failure | None:
        """Why the held version was refused, None if it was not."""
        return self._local.refusal

    @property
    def wanted(self) -> Candidate | None:
        """The newest version that is known to exist and not held yet."""
        return self._candidates.newest()

    @property
    def state_by_head(self) -> Mapping[Head, str]:
        """The lifecycle state of each version that is held or being fetched."""
        return self._lifecycles.state_by_head

    def receive(self, sender: Address, message: object) -> None:
        """Handle a message from another node; ignore types of other components."""
        handler = self._handler_by_type.get(type(message))
        if handler is not None:
            handler(sender, message)

    def observe_store_head(self, head: Head) -> None:
        """Start to fetch the version that the store names; ignore a stale one."""
        if self._local.is_newer(head):
            self._candidates.observe(head, None, from_store=True)

    def offer(self, head: Head, blobs: Mapping[bytes, bytes]) -> None:
        """Add blobs of a version that this node accepted or read from the store."""
        if not self._local.is_newer(head):
            return
        candidate = self._candidates.observe(head, None)
        if candidate is None or not self._add_blobs(candidate, dict(blobs)):
            return
        if candidate.from_store and self._is_store_remote():
            # The watchers of the store's region forward it to the other regions.
            self._broadcaster.forward_to_root(self._node().region)
        else:
            self._broadcaster.forward_to_all_regions()

    def tick(self) -> None:
        """Run the time-outs, pulls, pushes, gossip and clean-up that are due."""
        now = self._clock.monotonic()
        self._candidates.tick()
        self._send_pull()
        self._broadcaster.tick()
        if now >= self._gossip_at_s:
            self._gossip(now)
        if now >= self._retain_at_s:
            self._retain_at_s = now + RETAIN_INTERVAL_S
            self._local.retain(list(self._candidates.by_head))

    def watches_store(self) -> bool:
        """Whether this node is one of the few that watch the store now."""
        now = self._clock.monotonic()
        if now < self._watch_at_s:
            # Nodes that have just started know few members: each would be a watcher.
            return False
        if now >= self._watch_check_at_s:
            self._watch_check_at_s = now + WATCH_CHECK_INTERVAL_S
            self._watch_rank = relays.watch_rank(self._members(), self._node())
        return self._watch_rank is not None

    def wanted_from_store(self) -> tuple[Head, list[bytes]] | None:
        """Return a version and its blobs to read from the store now, None for none.

        Blobs are read from the store only after peers have not sent them in time.
        """
        candidate = self._candidates.newest_for_store()
        if candidate is None:
            return None
        waiting_since_s = candidate.progress_at_s
        if not self.watches_store():
            # Busy holders must not make the whole fleet read from the store.
            waiting_since_s = max(waiting_since_s, candidate.busy_at_s)
        waited_s = self._clock.monotonic() - waiting_since_s
        if not candidate.reading_store and waited_s < self._store_delay_s():
            return None
        candidate.reading_store = True
        missing = candidate.missing or (candidate.head.digest,)
        return candidate.head, list(missing)

    def _store_delay_s(self) -> float:
        """Return the seconds without progress after which this node reads the store."""
        if not self.watches_store():
            return STORE_FALLBACK_DELAY_S * (1 + self._store_jitter_s)
        delay_s = STORE_DELAY_S + self._store_jitter_s
        delay_s += STORE_RANK_DELAY_S * (self._watch_rank or 0)
        if self._is_store_remote():
            delay_s += STORE_OTHER_REGION_DELAY_S
        return delay_s

    def _is_store_remote(self) -> bool:
        return self._store_region not in ("", self._node().region)

    def _on_digest(self, sender: Address, message: Digest) -> None:
        head = message.head
        if head is not None:
            self._broadcaster.pushes.acknowledge(sender, head)
        if head is not None and self._local.is_newer(head):
            self._candidates.observe(head, sender, root=message.root)
            self._send_pull()
            return
        if head == self.held:
            if message.root:
                self._broadcaster.forward_to_children(root=True)
            return
        if not message.answer or message.root:
            self._send_digest(sender, answer=True)

    def _on_push(self, sender: Address, message: Push) -> None:
        if self._local.is_newer(message.head):
            self._handle_new_push(sender, message)
        elif message.root and message.head == self.held:
            self._broadcaster.forward_to_children(root=True)
        if not self._local.is_newer(message.head):
            self._send_digest(sender, answer=True)

    def _handle_new_push(self, sender: Address, message: Push) -> None:
        candidate = self._candidates.observe(message.head, sender, root=message.root)
        blobs = self._local.decode(message.deltas)
        if candidate is not None and self._add_blobs(candidate, blobs):
            self._broadcaster.keep_push(message)
            self._broadcaster.forward_to_children(root=candidate.root)

    def _on_pull(self, sender: Address, message: Pull) -> None:
        self._broadcaster.pushes.acknowledge(sender, message.head)
        if self.held is not None and message.head.version < self.held.version:
            self._send_digest(sender, answer=True)
        else:
            self._server.handle_pull(sender, message)

    def _on_blobs(self, sender: Address, message: Blobs) -> None:
        candidate = self._candidates.by_head.get(message.head)
        if candidate is None:
            return
        if self._add_blobs(candidate, self._local.decode(message.deltas)):
            self._forward_after_pull(sender, root=candidate.root)
        else:
            # Not a failure if some blobs were useful: that has ended the pull already.
            self._candidates.record_failure(
                message.head, sender, held=False, retry_after_s=0.0
            )

    def _on_unserved(self, sender: Address, message: Unserved) -> None:
        wait_s = min(max(message.retry_after_ms, 0) / 1000, MAX_RETRY_AFTER_S)
        if message.head in self._candidates.by_head:
            region, region_by_address = self._node().region, self._regions()
            for other in message.others:
                if region_by_address.get(other) == region:
                    self._candidates.observe(message.head, other)
        self._candidates.record_failure(
            message.head, sender, held=message.held, retry_after_s=wait_s
        )

    def _add_blobs(self, candidate: Candidate, blobs: dict[bytes, bytes]) -> bool:
        """Add blobs of a version; true if that completes it."""
        head = candidate.head
        received = len(blobs)
        missing = self._local.add_blobs(head, blobs)
        if isinstance(missing, Failure):
            self._candidates.reject(head)
            return False
        if missing:
            if len(blobs) < received:
                self._candidates.record_progress(candidate, missing)
            return False
        self._candidates.remove(head)
        self._local.adopt(head)
        self._candidates.drop_through(head.version)
        return True

    def _forward_after_pull(self, source: Address, *, root: bool) -> None:
        """Forward a pulled version; one from another region goes to the root first."""
        region = self._node().region
        if root or self._regions().get(source) == region:
            self._broadcaster.forward_to_children(root=root)
        else:
            self._broadcaster.forward_to_root(region)

    def _send_pull(self) -> None:
        if not self._candidates.by_head:
            return
        request = self._candidates.next_request(self._node().region, self._regions())
        if request is None:
            return
        candidate = request.candidate
        count = min(len(candidate.missing), MAX_PULL_DIGESTS)
        message = Pull(
            head=candidate.head,
            have=self.held,
            digests=tuple(self._random.sample(candidate.missing, count)),
        )
        self._network.send_stream(request.to, message)

    def _gossip(self, now: float) -> None:
        """Send the held version's digest to random members, some in other regions."""
        newest = self._candidates.newest()
        searching = self.held is None or (newest is not None and not newest.holders)
        interval_s = SEARCH_INTERVAL_S if searching else GOSSIP_INTERVAL_S
        self._gossip_at_s = now + interval_s * self._random.uniform(0.5, 1.5)
        node = self._node()
        near: list[NodeRecord] = []
        far: list[NodeRecord] = []
        for member in self._members().by_id.values():
            if member.node_id == node.node_id:
                continue
            (near if member.region == node.region else far).append(member)
        if near:
            self._send_digest(self._random.choice(near).control_address, answer=False)
        probability = interval_s / (CROSS_REGION_GOSSIP_INTERVAL_S * (len(near) + 1))
        if far and (self._random.random() < probability or (searching and not near)):
            self._send_digest(self._random.choice(far).control_address, answer=False)

    def _send_digest(self, to: Address, *, answer: bool) -> None:
        self._network.send_datagram(to, Digest(head=self.held, answer=answer))

    def _regions(self) -> dict[Address, str]:
        members = self._members().by_id.values()
        return {node.control_address: node.region for node in members}
