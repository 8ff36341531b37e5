"""Answer pulls of other nodes within this node's byte budget."""

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
MAX_REFERRALS = 6


class BlobServer:
    """Send blobs to nodes that ask, or name others that may have them."""

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
        self._served: deque[Address] = deque(maxlen=MAX_REFERRALS)

    def answer(self, sender: Address, message: Pull) -> None:
        """Send what is held of a version, unless the budget is spent."""
        now = self._clock.monotonic()
        if not self._budget.can_spend(now):
            self._refuse(sender, message.head, wait_s=self._budget.wait_s(now))
            return
        found = self._choose(message)
        if not found:
            self._refuse(sender, message.head, wait_s=None)
            return
        self._served.append(sender)
        self._budget.spend(sum(len(delta.data) for delta in found), now)
        self._network.send_stream(sender, Blobs(head=message.head, deltas=found))

    def _choose(self, message: Pull) -> tuple[deltas.Delta, ...]:
        """Choose blobs for a pull; of a version that is held in part, what is there."""
        base_by_digest: dict[bytes, bytes] = {}
        if message.head == self._local.held:
            base_by_digest = self._local.difference(message.have, message.head)
        pairs = [
            (digest, base_by_digest.get(digest, b""))
            for digest in message.digests[:MAX_PULL_DIGESTS]
        ]
        if not message.digests:
            pairs = list(base_by_digest.items())
            # Askers get different bodies, so that they can serve each other.
            bodies = pairs[PAGE_COUNT + 1 :]
            self._random.shuffle(bodies)
            pairs[PAGE_COUNT + 1 :] = bodies
        return deltas.bundle(self._local.content, pairs, MAX_ANSWER_BYTES)

    def _refuse(self, sender: Address, head: Head, *, wait_s: float | None) -> None:
        """Say that this node is busy for some seconds, or holds nothing for None."""
        answer = Unserved(
            head=head,
            held=wait_s is not None,
            retry_after_ms=int((wait_s or 0.0) * 1000),
            others=tuple(address for address in self._served if address != sender),
        )
        self._network.send_datagram(sender, answer)
