"""Digests, partitions and keepers of idempotency keys."""

from collections.abc import Iterable
from hashlib import blake2b

import xxhash

from comfreytray.calls.call import Call

PARTITION_COUNT = 64
DIGEST_BYTES = 16


def key_digest(call: Call) -> bytes:
    """Name a key within its customer and service."""
    parts = (call.customer, call.service, call.key)
    hasher = blake2b(digest_size=DIGEST_BYTES)
    for part in parts:
        data = part.encode()
        hasher.update(len(data).to_bytes(4, "big") + data)
    return hasher.digest()


def request_digest(call: Call) -> bytes:
    """Tell two requests under one key apart."""
    hasher = blake2b(digest_size=DIGEST_BYTES)
    for data in (call.method.encode(), call.target.encode(), call.body):
        hasher.update(len(data).to_bytes(4, "big") + data)
    return hasher.digest()


def partition_of(key: bytes) -> int:
    """Give the partition of a key."""
    return int.from_bytes(key[:4], "big") % PARTITION_COUNT


def keepers_of(partition: int, node_ids: Iterable[str]) -> list[str]:
    """Order nodes by their claim to keep a partition, best first."""
    return sorted(
        node_ids,
        key=lambda node_id: xxhash.xxh64_intdigest(f"{partition}/{node_id}".encode()),
        reverse=True,
    )
