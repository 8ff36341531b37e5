"""Digests, partitions and keepers of idempotency keys.

The keeper of a partition is the node that claims its keys.
"""

from collections.abc import Iterable
from hashlib import blake2b

import xxhash

from comfreytray.calls.call import Call

PARTITION_COUNT = 64
DIGEST_BYTES = 16


def key_digest(call: Call) -> bytes:
    """Return a digest of a call's key, scoped to its customer and service."""
    parts = (call.customer, call.service, call.key)
    hasher = blake2b(digest_size=DIGEST_BYTES)
    for part in parts:
        data = part.encode()
        hasher.update(len(data).to_bytes(4, "big") + data)
    return hasher.digest()


def request_digest(call: Call) -> bytes:
    """Return a digest that tells different requests under one key apart."""
    hasher = blake2b(digest_size=DIGEST_BYTES)
    for data in (call.method.encode(), call.target.encode(), call.body):
        hasher.update(len(data).to_bytes(4, "big") + data)
    return hasher.digest()


def partition_of(key: bytes) -> int:
    """Return the partition of a key."""
    return int.from_bytes(key[:4], "big") % PARTITION_COUNT


def keepers_of(partition: int, node_ids: Iterable[str]) -> list[str]:
    """Return the nodes in order of preference as keeper, by rendezvous hashing."""
    return sorted(
        node_ids,
        key=lambda node_id: xxhash.xxh64_intdigest(f"{partition}/{node_id}".encode()),
        reverse=True,
    )
