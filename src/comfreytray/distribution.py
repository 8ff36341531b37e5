"""Spread accepted versions between nodes and put them in force, whole and in order."""

import random
from collections import deque
from collections.abc import Callable, Mapping
from typing import Any

from comfreytray import deltas, logs, relays
from comfreytray.budgets import TokenBucket
from comfreytray.content import Content, Head
from comfreytray.errors import Failure, Kind
from comfreytray.exceptions import invariant
from comfreytray.exchange import Blobs, Digest, Pull, Push, Unserved
from comfreytray.fetching import Candidate, Candidates
from comfreytray.interfaces import Address, Clock, Network
from comfreytray.pushes import Pushes
from comfreytray.records import MembershipView, NodeRecord
from comfreytray.snapshots import Snapshot

GOSSIP_INTERVAL_S = 1.0
SEARCH_INTERVAL_S = 0.5
CROSS_GOSSIP_INTERVAL_S = 2.0
"""Mean time between digests that a whole region sends to other regions."""
MAX_PUSH_BYTES = 48 * 1024
MAX_ANSWER_BYTES = 128 * 1024
MAX_PULL_DIGESTS = 256
SEND_RATE_BYTES_PER_S = 12_000
SEND_BURST_BYTES = 256 * 1024
KEEP_VERSIONS = 3
KEEP_S = 120.0
RETAIN_INTERVAL_S = 10.0
STORE_DELAY_S = 0.3
STORE_RANK_DELAY_S = 0.7
STORE_OTHER_REGION_DELAY_S = 1.0
STORE_LAST_RESORT_S = 20.0
STORE_JITTER_S = 0.2
SETTLE_S = 2.0
SETTLE_JITTER_S = 3.0
WATCH_CHECK_INTERVAL_S = 1.0


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
        self._node = node
        self._members = members
        self._clock = clock
        self._random = random
        self._network = network
        self._content = content
        self._compile = compile_snapshot
        self._on_applied = on_applied
        self._store_region = store_region
        self._snapshot: Snapshot | None = None
        self._held: Head | None = None
        self._refusal: Failure | None = None
        self._recent: deque[tuple[Head, float]] = deque(maxlen=KEEP_VERSIONS)
        self._candidates = Candidates(clock=clock, random=random)
        self._pushes = Pushes()
        self._push: Push | None = None
        now = clock.monotonic()
        self._budget = TokenBucket(
            rate_per_s=SEND_RATE_BYTES_PER_S,
            capacity=SEND_BURST_BYTES,
            refilled_at_s=now,
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
        return self._snapshot

    @property
    def held(self) -> Head | None:
        """Return the newest version held whole; a refused one is not in force."""
        return self._held

    @property
    def refusal(self) -> Failure | None:
        """Say why the held version was not put in force, if it was refused."""
        return self._refusal

    @property
    def wanted(self) -> Candidate | None:
        """Return the newest version that is heard of and not held."""
        return self._candidates.newest()

    def receive(self, sender: Address, message: object) -> None:
        """Handle a message of another node; others' messages are ignored."""
        handler = self._handler_by_type.get(type(message))
        if handler is not None:
            handler(sender, message)

    def hear(self, head: Head) -> None:
        """Note a head read from the store; a stale one changes nothing."""
        if self._is_news(head):
            self._candidates.hear(head, None)

    def offer(self, head: Head, blobs: Mapping[bytes, bytes]) -> None:
        """Take blobs of a version that this node accepted or read from the store."""
        if not self._is_news(head):
            return
        self._candidates.hear(head, None)
        if self._absorb(head, dict(blobs)):
            self._spread_as_origin()

    def tick(self) -> None:
        """Ask, retry, gossip and clean up as time passes."""
        now = self._clock.monotonic()
        self._candidates.tick()
        self._pull()
        self._push_to_stand_ins(now)
        if now >= self._gossip_at_s:
            self._gossip(now)
        if now >= self._retain_at_s:
            self._retain(now)

    def watches_store(self) -> bool:
        """Say whether this node is one of the few that ask the store now."""
        now = self._clock.monotonic()
        if now >= self._watch_check_at_s:
            self._watch_check_at_s = now + WATCH_CHECK_INTERVAL_S
            self._watch_rank = relays.watch_rank(self._members(), self._node())
        if now < self._settled_at_s and len(self._members().by_id) <= 1:
            return False
        return self._watch_rank is not None

    def wanted_from_store(self) -> tuple[Head, list[bytes]] | None:
        """List the blobs to read from the store now, after peers had their chance."""
        candidate = self._candidates.newest()
        if candidate is None:
            return None
        now = self._clock.monotonic()
        if now - candidate.progress_at_s < self._store_delay_s():
            return None
        missing = candidate.missing or (candidate.head.digest,)
        return candidate.head, list(missing)

    def _store_delay_s(self) -> float:
        """Give the time without progress after which this node asks the store."""
        if not self.watches_store():
            return STORE_LAST_RESORT_S * (1 + self._store_jitter_s)
        delay = STORE_DELAY_S + self._store_jitter_s
        delay += STORE_RANK_DELAY_S * (self._watch_rank or 0)
        if self._node().region != self._store_region:
            delay += STORE_OTHER_REGION_DELAY_S
        return delay

    def _is_news(self, head: Head) -> bool:
        return self._held is None or head.version > self._held.version

    # Messages

    def _on_digest(self, sender: Address, message: Digest) -> None:
        head = message.head
        if head is not None:
            self._pushes.acknowledge(sender, head)
        if head is not None and self._is_news(head):
            self._candidates.hear(head, sender, root=message.root)
            self._pull()
            return
        if head == self._held:
            if message.root:
                self._spread_in_region(root=True)
            return
        if not message.answer:
            self._tell(sender, answer=True)

    def _on_push(self, sender: Address, message: Push) -> None:
        if self._is_news(message.head):
            self._candidates.hear(message.head, sender, root=message.root)
            blob_by_digest = self._decode(message.deltas)
            self._push = message
            if self._absorb(message.head, blob_by_digest):
                self._spread_in_region(root=message.root)
        elif message.root and message.head == self._held:
            self._spread_in_region(root=True)
        if self._held is not None and not self._is_news(message.head):
            self._tell(sender, answer=True)

    def _on_pull(self, sender: Address, message: Pull) -> None:
        self._pushes.acknowledge(sender, message.head)
        if self._held is None or message.head.version > self._held.version:
            self._refuse_pull(sender, message.head, held=False, wait_s=0.0)
            return
        if message.head != self._held:
            self._tell(sender, answer=True)
            return
        now = self._clock.monotonic()
        if not self._budget.is_open(now):
            wait_s = self._budget.wait_s(now)
            self._refuse_pull(sender, message.head, held=True, wait_s=wait_s)
            return
        found = self._answer_to(message)
        self._budget.spend(sum(len(delta.data) for delta in found), now)
        self._network.send_stream(sender, Blobs(head=message.head, deltas=found))

    def _answer_to(self, message: Pull) -> tuple[deltas.Delta, ...]:
        base_by_digest = self._difference(message.have, message.head)
        if not message.digests:
            pairs = list(base_by_digest.items())
        else:
            pairs = [
                (digest, base_by_digest.get(digest, b""))
                for digest in message.digests[:MAX_PULL_DIGESTS]
            ]
        return deltas.bundle(self._content, pairs, MAX_ANSWER_BYTES)

    def _refuse_pull(
        self, sender: Address, head: Head, *, held: bool, wait_s: float
    ) -> None:
        answer = Unserved(head=head, held=held, retry_after_ms=int(wait_s * 1000))
        self._network.send_datagram(sender, answer)

    def _on_blobs(self, sender: Address, message: Blobs) -> None:
        candidate = self._candidates.by_head.get(message.head)
        if candidate is None:
            return
        if self._absorb(message.head, self._decode(message.deltas)):
            self._spread_after_pull(sender, root=candidate.root)
            return
        if candidate.asked == sender:
            # The answer held nothing of use.
            self._candidates.fail(message.head, sender, held=False, retry_after_s=0.0)

    def _on_unserved(self, sender: Address, message: Unserved) -> None:
        wait_s = min(max(message.retry_after_ms, 0) / 1000, STORE_LAST_RESORT_S)
        self._candidates.fail(
            message.head, sender, held=message.held, retry_after_s=wait_s
        )

    # Applying

    def _decode(self, received: tuple[deltas.Delta, ...]) -> dict[bytes, bytes]:
        """Restore the blobs whose bases are held; wrong ones are left out."""
        blob_by_digest: dict[bytes, bytes] = {}
        for delta in received:
            base = self._content.get(delta.base) if delta.base else None
            blob = deltas.decode_blob(delta, base)
            if isinstance(blob, Failure):
                if blob.kind is not Kind.INCOMPLETE_VERSION:
                    logs.warn(
                        logs.Event.FRAME_REFUSED,
                        reason=blob.kind.value,
                        detail=blob.detail,
                    )
                continue
            blob_by_digest[delta.digest] = blob
        return blob_by_digest

    def _absorb(self, head: Head, blob_by_digest: dict[bytes, bytes]) -> bool:
        """Keep the blobs that the version needs; true when it is held whole now."""
        candidate = self._candidates.by_head.get(head)
        if candidate is None:
            return False
        missing = self._content.missing(head)
        progressed = False
        while not isinstance(missing, Failure) and missing:
            useful = [digest for digest in missing if digest in blob_by_digest]
            if not useful:
                break
            for digest in useful:
                failed = self._content.put(digest, blob_by_digest.pop(digest))
                progressed = progressed or failed is None
            missing = self._content.missing(head)
        if isinstance(missing, Failure):
            logs.warn(
                logs.Event.FRAME_REFUSED,
                version=head.version,
                reason=missing.kind.value,
                detail=missing.detail,
            )
            self._candidates.reject(head)
            return False
        if missing:
            if progressed:
                self._candidates.progress(candidate, missing)
            return False
        self._hold(head)
        return True

    def _hold(self, head: Head) -> None:
        """Take over a whole version, and put it in force if it compiles."""
        invariant(self._is_news(head), "a node never moves to an older version")
        invariant(self._content.missing(head) == [], "a node holds all of a version")
        self._held = head
        self._recent.append((head, self._clock.monotonic()))
        self._candidates.drop_through(head.version)
        compiled = self._compile(head, self._content)
        if isinstance(compiled, Failure):
            self._refusal = compiled
            logs.warn(
                logs.Event.VERSION_REFUSED,
                version=head.version,
                reason=compiled.kind.value,
                detail=compiled.detail,
            )
            return
        self._refusal = None
        self._apply(compiled)

    def _apply(self, snapshot: Snapshot) -> None:
        old = self._snapshot
        invariant(snapshot.head == self._held, "the version in force is the one held")
        invariant(
            old is None or snapshot.head.version > old.head.version,
            "a node never moves to an older version",
        )
        self._snapshot = snapshot
        logs.log(logs.Event.VERSION_APPLIED, version=snapshot.head.version)
        self._on_applied(snapshot)

    # Spreading

    def _spread_as_origin(self) -> None:
        """Pass a version on to the root of each region."""
        head, node, view = self._held, self._node(), self._members()
        if head is None:
            return
        for region in sorted(relays.regions(view) | {node.region}):
            order = relays.ranked_in_region(head.digest, view, region)
            if region == node.region and (
                not order or order[0].node_id == node.node_id
            ):
                self._spread_in_region(root=True)
            elif order:
                self._pass_on([(order[0], True)])

    def _spread_in_region(self, *, root: bool) -> None:
        """Pass a version on to this node's children."""
        if self._held is None:
            return
        node, view = self._node(), self._members()
        choose = relays.root_children if root else relays.tree_children
        children = choose(self._held.digest, view, node)
        self._pass_on([(child, False) for child in children])

    def _spread_after_pull(self, source: Address, *, root: bool) -> None:
        """Pass on a version that was pulled; one from afar goes to the root first."""
        node, view = self._node(), self._members()
        if self._region_by_address(view).get(source) == node.region or root:
            self._spread_in_region(root=root)
            return
        assert self._held is not None
        order = relays.ranked_in_region(self._held.digest, view, node.region)
        if not order or order[0].node_id == node.node_id:
            self._spread_in_region(root=True)
        else:
            self._pass_on([(order[0], True)])

    def _pass_on(self, targets: list[tuple[NodeRecord, bool]]) -> None:
        """Send the held version to nodes, by digest where it is large."""
        assert self._held is not None
        now = self._clock.monotonic()
        me = self._node().node_id
        self._pushes.start(self._held)
        for node, root in targets:
            if node.node_id == me:
                continue
            if not self._pushes.add(node, root=root, now_s=now):
                continue
            push = self._push_message()
            size = sum(len(delta.data) for delta in push.deltas) if push else 0
            if push is None or not self._budget.is_open(now):
                digest = Digest(head=self._held, answer=True, root=root)
                self._network.send_stream(node.control_address, digest)
                continue
            self._budget.spend(size, now)
            message = Push(head=push.head, root=root, deltas=push.deltas)
            self._network.send_stream(node.control_address, message)

    def _push_message(self) -> Push | None:
        """Return the held version as a push, None if it is too large for one."""
        assert self._held is not None
        if self._push is None or self._push.head != self._held:
            record = self._content.record(self._held)
            parent = None
            if not isinstance(record, Failure):
                parent = next(
                    (old for old, _ in self._recent if old.digest == record.parent),
                    None,
                )
            pairs = self._difference(parent, self._held).items()
            found = deltas.bundle(self._content, pairs, MAX_PUSH_BYTES)
            if len(found) < len(pairs):
                found = ()
            self._push = Push(head=self._held, root=False, deltas=found)
        size = sum(len(delta.data) for delta in self._push.deltas)
        return self._push if 0 < size <= MAX_PUSH_BYTES else None

    def _push_to_stand_ins(self, now: float) -> None:
        if not self._pushes.pending_by_address or self._pushes.head != self._held:
            return
        stand_ins = self._pushes.stand_ins(self._members(), now)
        if stand_ins:
            self._pass_on(stand_ins)

    def _difference(self, old: Head | None, new: Head) -> dict[bytes, bytes]:
        held = any(head == old for head, _ in self._recent)
        return deltas.difference(self._content, old if held else None, new)

    # Asking

    def _pull(self) -> None:
        if not self._candidates.by_head:
            return
        region_by_address = self._region_by_address(self._members())
        request = self._candidates.next_request(self._node(), region_by_address)
        if request is None:
            return
        candidate = request.candidate
        message = Pull(
            head=candidate.head,
            have=self._held,
            digests=candidate.missing[:MAX_PULL_DIGESTS],
        )
        self._network.send_stream(request.to, message)

    def _gossip(self, now: float) -> None:
        """Tell a few random members which version is held."""
        candidate = self._candidates.newest()
        searching = self._held is None or (
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
        self._network.send_datagram(to, Digest(head=self._held, answer=answer))

    def _region_by_address(self, view: MembershipView) -> dict[Address, str]:
        return {node.control_address: node.region for node in view.by_id.values()}

    def _retain(self, now: float) -> None:
        """Drop blobs that neither held, recent nor wanted versions use."""
        self._retain_at_s = now + RETAIN_INTERVAL_S
        while len(self._recent) > 1 and now - self._recent[0][1] > KEEP_S:
            self._recent.popleft()
        keep = [head for head, _ in self._recent]
        keep.extend(self._candidates.by_head)
        self._content.retain(keep)
