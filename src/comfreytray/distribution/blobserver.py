"""Answer pulls from other nodes within this node's byte budget."""

import random
from collections import deque

from comfreytray.common.budgets import TokenBucket
from comfreytray.common.interfaces import Address, Clock, Network
from comfreytray.configuration.content import PAGE_COUNT, Head
from comfreytray.distribution import deltas
from comfreytray.distribution.exchange import Blobs, Pull, Unserved
from comfreytray.distribution.localversions import LocalVersions

MAX_ANSWER_BYTES = 48 * 1024
MAX_PULL_DIGESTS = 256
"""How many digests of one pull are answered; further ones are ignored."""
MAX_REFERRALS = 6
"""How many other holders an `Unserved` message names at most."""


class BlobServer:
    """Send blobs to nodes that pull them, or refer the nodes to other holders."""

    def __init__(
        self,
        *,
        clock: Clock,
        random: random.Random,
        network: Network,
        local: LocalVersions,
        budget: TokenBucket,
    ) -> None:
        self._clock = clock
        self._random = random
        self._network = network
        self._local = local
        self._budget = budget
        self._recent_receivers: deque[Address] = deque(maxlen=MAX_REFERRALS)
        """Nodes that blobs were last sent to, so likely holders."""

    def handle_pull(self, sender: Address, message: Pull) -> None:
        """Send the requested blobs that are held, unless the byte budget is spent."""
        now = self._clock.monotonic()
        if not self._budget.can_spend(now):
            self._send_unserved(sender, message.head, wait_s=self._budget.wait_s(now))
            return
        found = self._select_blobs(message)
        if not found:
            self._send_unserved(sender, message.head, wait_s=None)
            return
        self._recent_receivers.append(sender)
        self._budget.spend(sum(len(delta.data) for delta in found), now)
        self._network.send_stream(sender, Blobs(head=message.head, deltas=found))

    def _select_blobs(self, message: Pull) -> tuple[deltas.Delta, ...]:
        """Encode the requested blobs; of a partly held version, those that are held."""
        base_by_digest: dict[bytes, bytes] = {}
        if message.head == self._local.held:
            base_by_digest = self._local.difference(message.have, message.head)
        pairs = [
            (digest, base_by_digest.get(digest, b""))
            for digest in message.digests[:MAX_PULL_DIGESTS]
        ]
        if not message.digests:
            pairs = list(base_by_digest.items())
            # The bodies are shuffled so that nodes that pull at the same time get
            # different ones and can serve each other.
            bodies = pairs[PAGE_COUNT + 1 :]
            self._random.shuffle(bodies)
            pairs[PAGE_COUNT + 1 :] = bodies
        return deltas.bundle(self._local.content, pairs, MAX_ANSWER_BYTES)

    def _send_unserved(
        self, sender: Address, head: Head, *, wait_s: float | None
    ) -> None:
        """Send `Unserved`: busy for `wait_s` seconds, or nothing held if it is None."""
        answer = Unserved(
            head=head,
            held=wait_s is not None,
            retry_after_ms=int((wait_s or 0.0) * 1000),
            others=tuple(
                address for address in self._recent_receivers if address != sender
            ),
        )
        self._network.send_datagram(sender, answer)
