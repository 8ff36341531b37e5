"""Exchange versions with other nodes until each holds the newest accepted one."""

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
SEARCH_INTERVAL_S = 0.5
CROSS_GOSSIP_INTERVAL_S = 2.0
"""Mean time between digests that a whole region sends to other regions."""
SEND_RATE_BYTES_PER_S = 16_000
SEND_BURST_BYTES = 512 * 1024
RETAIN_INTERVAL_S = 10.0
STORE_DELAY_S = 0.3
STORE_RANK_DELAY_S = 0.7
STORE_OTHER_REGION_DELAY_S = 1.0
STORE_LAST_RESORT_S = 20.0
STORE_JITTER_S = 0.2
SETTLE_S = 1.0
SETTLE_JITTER_S = 1.0
WATCH_CHECK_INTERVAL_S = 2.0
MAX_RETRY_AFTER_S = 30.0


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
            rate_per_s=SEND_RATE_BYTES_PER_S,
            capacity=SEND_BURST_BYTES,
            refilled_at_s=now,
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
        self._settled_at_s = now + SETTLE_S + random.uniform(0, SETTLE_JITTER_S)
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
        """Return the configuration in force."""
        return self._local.snapshot

    @property
    def held(self) -> Head | None:
        """Return the newest version held whole; a refused one is not in force."""
        return self._local.held

    @property
    def refusal(self) -> Failure | None:
        """Say why the held version was not put in force, if it was refused."""
        return self._local.refusal

    @property
    def wanted(self) -> Candidate | None:
        """Return the newest version that is heard of and not held."""
        return self._candidates.newest()

    @property
    def state_by_head(self) -> Mapping[Head, str]:
        """Return the lifecycle state of each version heard of or held."""
        return self._lifecycles.state_by_head

    def receive(self, sender: Address, message: object) -> None:
        """Handle a message of another node; others' messages are ignored."""
        handler = self._handler_by_type.get(type(message))
        if handler is not None:
            handler(sender, message)

    def observe_store_head(self, head: Head) -> None:
        """Note a head read from the store; a stale one changes nothing."""
        if self._local.is_news(head):
            self._candidates.hear(head, None, from_store=True)

    def offer(self, head: Head, blobs: Mapping[bytes, bytes]) -> None:
        """Take blobs of a version that this node accepted or read from the store."""
        if not self._local.is_news(head):
            return
        candidate = self._candidates.hear(head, None)
        if candidate is None or not self._absorb(candidate, dict(blobs)):
            return
        if candidate.from_store and self._is_far_from_store():
            # The watchers of the store's region bring it to the other regions.
            self._broadcaster.spread_to_root(self._node().region)
        else:
            self._broadcaster.spread_everywhere()

    def tick(self) -> None:
        """Ask, retry, gossip and clean up as time passes."""
        now = self._clock.monotonic()
        self._candidates.tick()
        self._pull()
        self._broadcaster.tick()
        if now >= self._gossip_at_s:
            self._gossip(now)
        if now >= self._retain_at_s:
            self._retain_at_s = now + RETAIN_INTERVAL_S
            self._local.retain(list(self._candidates.by_head))

    def watches_store(self) -> bool:
        """Say whether this node is one of the few that ask the store now."""
        now = self._clock.monotonic()
        if now < self._settled_at_s:
            # Nodes that have just started know few others and would all ask.
            return False
        if now >= self._watch_check_at_s:
            self._watch_check_at_s = now + WATCH_CHECK_INTERVAL_S
            self._watch_rank = relays.watch_rank(self._members(), self._node())
        return self._watch_rank is not None

    def wanted_from_store(self) -> tuple[Head, list[bytes]] | None:
        """List the blobs to read from the store now, after peers had their chance."""
        candidate = self._candidates.newest_for_store()
        if candidate is None:
            return None
        since_s = candidate.progress_at_s
        if not self.watches_store():
            # Busy holders are no reason for a whole fleet to ask the store.
            since_s = max(since_s, candidate.busy_at_s)
        waited_s = self._clock.monotonic() - since_s
        if not candidate.reading_store and waited_s < self._store_delay_s():
            return None
        candidate.reading_store = True
        missing = candidate.missing or (candidate.head.digest,)
        return candidate.head, list(missing)

    def _store_delay_s(self) -> float:
        """Give the time without progress after which this node asks the store."""
        if not self.watches_store():
            return STORE_LAST_RESORT_S * (1 + self._store_jitter_s)
        delay = STORE_DELAY_S + self._store_jitter_s
        delay += STORE_RANK_DELAY_S * (self._watch_rank or 0)
        if self._is_far_from_store():
            delay += STORE_OTHER_REGION_DELAY_S
        return delay

    def _is_far_from_store(self) -> bool:
        return self._store_region not in ("", self._node().region)

    def _on_digest(self, sender: Address, message: Digest) -> None:
        head = message.head
        if head is not None:
            self._broadcaster.pushes.acknowledge(sender, head)
        if head is not None and self._local.is_news(head):
            self._candidates.hear(head, sender, root=message.root)
            self._pull()
            return
        if head == self.held:
            if message.root:
                self._broadcaster.spread_to_children(root=True)
            return
        if not message.answer or message.root:
            self._tell(sender, answer=True)

    def _on_push(self, sender: Address, message: Push) -> None:
        if self._local.is_news(message.head):
            self._take_push(sender, message)
        elif message.root and message.head == self.held:
            self._broadcaster.spread_to_children(root=True)
        if not self._local.is_news(message.head):
            self._tell(sender, answer=True)

    def _take_push(self, sender: Address, message: Push) -> None:
        candidate = self._candidates.hear(message.head, sender, root=message.root)
        blob_by_digest = self._local.decode(message.deltas)
        if candidate is not None and self._absorb(candidate, blob_by_digest):
            self._broadcaster.keep(message)
            self._broadcaster.spread_to_children(root=candidate.root)

    def _on_pull(self, sender: Address, message: Pull) -> None:
        self._broadcaster.pushes.acknowledge(sender, message.head)
        if self.held is not None and message.head.version < self.held.version:
            self._tell(sender, answer=True)
        else:
            self._server.answer(sender, message)

    def _on_blobs(self, sender: Address, message: Blobs) -> None:
        candidate = self._candidates.by_head.get(message.head)
        if candidate is None:
            return
        if self._absorb(candidate, self._local.decode(message.deltas)):
            self._spread_after_pull(sender, root=candidate.root)
        else:
            # Only an answer of no use leaves the question open.
            self._candidates.fail(message.head, sender, held=False, retry_after_s=0.0)

    def _on_unserved(self, sender: Address, message: Unserved) -> None:
        wait_s = min(max(message.retry_after_ms, 0) / 1000, MAX_RETRY_AFTER_S)
        if message.head in self._candidates.by_head:
            region, region_of = self._node().region, self._region_by_address()
            for other in message.others:
                if region_of.get(other) == region:
                    self._candidates.hear(message.head, other)
        self._candidates.fail(
            message.head, sender, held=message.held, retry_after_s=wait_s
        )

    def _absorb(self, candidate: Candidate, blob_by_digest: dict[bytes, bytes]) -> bool:
        """Keep the blobs that a version needs; true when it is held whole now."""
        head = candidate.head
        offered = len(blob_by_digest)
        missing = self._local.absorb(head, blob_by_digest)
        if isinstance(missing, Failure):
            self._candidates.reject(head)
            return False
        if missing:
            if len(blob_by_digest) < offered:
                self._candidates.progress(candidate, missing)
            return False
        self._candidates.take(head)
        self._local.hold(head)
        self._candidates.drop_through(head.version)
        return True

    def _spread_after_pull(self, source: Address, *, root: bool) -> None:
        """Pass on a version that was pulled; one from afar goes to the root first."""
        region = self._node().region
        if root or self._region_by_address().get(source) == region:
            self._broadcaster.spread_to_children(root=root)
        else:
            self._broadcaster.spread_to_root(region)

    def _pull(self) -> None:
        if not self._candidates.by_head:
            return
        request = self._candidates.next_request(
            self._node().region, self._region_by_address()
        )
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
        """Tell a few random members which version is held."""
        candidate = self._candidates.newest()
        searching = self.held is None or (
            candidate is not None and not candidate.holders
        )
        interval = SEARCH_INTERVAL_S if searching else GOSSIP_INTERVAL_S
        self._gossip_at_s = now + interval * self._random.uniform(0.5, 1.5)
        node = self._node()
        near: list[NodeRecord] = []
        far: list[NodeRecord] = []
        for member in self._members().by_id.values():
            if member.node_id == node.node_id:
                continue
            (near if member.region == node.region else far).append(member)
        if near:
            self._tell(self._random.choice(near).control_address, answer=False)
        chance = interval / (CROSS_GOSSIP_INTERVAL_S * (len(near) + 1))
        if far and (self._random.random() < chance or (searching and not near)):
            self._tell(self._random.choice(far).control_address, answer=False)

    def _tell(self, to: Address, *, answer: bool) -> None:
        self._network.send_datagram(to, Digest(head=self.held, answer=answer))

    def _region_by_address(self) -> dict[Address, str]:
        members = self._members().by_id.values()
        return {node.control_address: node.region for node in members}
