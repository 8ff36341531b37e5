"""Content-addressed configuration: a version is a tree of immutable blobs.

A head refers to a version record by digest, the record to pages, and a page maps item
keys to the digests of their bodies' parts. Blobs that two versions share have the same
digest, so they are stored and sent once.
"""

from collections.abc import Iterable, Mapping
from hashlib import blake2b

import msgpack
from attrs import field, frozen

from comfreytray.common.errors import Failure, Kind

DIGEST_BYTES = 16
PAGE_COUNT = 64
"""Pages of each version; items are spread over them by a hash of their keys."""
MAX_BODY_BYTES = 900_000
"""Largest part of a body that is stored as one blob."""
HEAD_KEY = "configuration/head"
BLOB_PREFIX = "configuration/blobs/"


def digest_of(data: bytes) -> bytes:
    """Return the digest of a blob."""
    return blake2b(data, digest_size=DIGEST_BYTES).digest()


@frozen(kw_only=True)
class Head:
    """Identify an accepted version."""

    version: int
    digest: bytes
    """Digest of the version record."""


def blob_key(digest: bytes) -> str:
    """Return the store key of a blob."""
    return BLOB_PREFIX + digest.hex()


def encode_head(head: Head) -> bytes:
    """Encode the value of the head object."""
    return msgpack.packb(["head", head.version, head.digest])  # type: ignore[no-any-return]


def decode_head(value: bytes) -> Head | Failure:
    """Decode the value of the head object."""
    try:
        name, version, digest = msgpack.unpackb(value)
        if name != "head" or len(digest) != DIGEST_BYTES:
            raise ValueError(name)
        return Head(version=int(version), digest=bytes(digest))
    except Exception as error:
        return Failure(kind=Kind.BAD_FRAME, detail=f"head: {type(error).__name__}")


@frozen(kw_only=True)
class VersionRecord:
    """Describe one accepted version; immutable."""

    version: int
    parent: bytes
    """Digest of the previous version's record, empty for the first version."""
    pages: tuple[bytes, ...]
    """Digests of the pages, by page number."""
    change_id: str
    operator: str
    language: str
    accepted_at_s: float
    summary: str
    changed_keys: tuple[str, ...]


def encode_record(record: VersionRecord) -> bytes:
    """Encode a version record as a blob."""
    return msgpack.packb(  # type: ignore[no-any-return]
        [
            "record",
            record.version,
            record.parent,
            list(record.pages),
            record.change_id,
            record.operator,
            record.language,
            record.accepted_at_s,
            record.summary,
            list(record.changed_keys),
        ]
    )


def decode_record(blob: bytes) -> VersionRecord | Failure:
    """Decode a version record."""
    try:
        (
            name,
            version,
            parent,
            pages,
            change_id,
            operator,
            language,
            accepted_at_s,
            summary,
            changed_keys,
        ) = msgpack.unpackb(blob)
        if name != "record":
            raise ValueError(name)
        return VersionRecord(
            version=version,
            parent=parent,
            pages=tuple(pages),
            change_id=change_id,
            operator=operator,
            language=language,
            accepted_at_s=accepted_at_s,
            summary=summary,
            changed_keys=tuple(changed_keys),
        )
    except Exception as error:
        return Failure(kind=Kind.BAD_FRAME, detail=f"record: {type(error).__name__}")


def page_of(key: str) -> int:
    """Return the number of the page that holds an item key."""
    return blake2b(key.encode(), digest_size=2).digest()[0] % PAGE_COUNT


def encode_page(parts_by_key: Mapping[str, tuple[bytes, ...]]) -> bytes:
    """Encode a page: for each item key, the digests of its body's parts."""
    rows = [[key, list(parts_by_key[key])] for key in sorted(parts_by_key)]
    return msgpack.packb(["page", rows])  # type: ignore[no-any-return]


def decode_page(blob: bytes) -> dict[str, tuple[bytes, ...]] | Failure:
    """Decode a page."""
    try:
        name, rows = msgpack.unpackb(blob)
        if name != "page":
            raise ValueError(name)
        return {str(key): tuple(parts) for key, parts in rows}
    except Exception as error:
        return Failure(kind=Kind.BAD_FRAME, detail=f"page: {type(error).__name__}")


def split_body(body: bytes) -> list[bytes]:
    """Split a body into parts that each fit into one stored object."""
    if not body:
        return [b""]
    return [
        body[start : start + MAX_BODY_BYTES]
        for start in range(0, len(body), MAX_BODY_BYTES)
    ]


@frozen(kw_only=True)
class Content:
    """A set of blobs by digest."""

    blob_by_digest: dict[bytes, bytes] = field(factory=dict)

    def get(self, digest: bytes) -> bytes | None:
        """Return a blob, or None if it is absent."""
        return self.blob_by_digest.get(digest)

    def put(self, digest: bytes, blob: bytes) -> Failure | None:
        """Add a blob if it has the given digest."""
        if digest_of(blob) != digest:
            return Failure(kind=Kind.DIGEST_MISMATCH, detail=digest.hex())
        self.blob_by_digest[digest] = blob
        return None

    def add(self, blob: bytes) -> bytes:
        """Add a locally built blob and return its digest."""
        digest = digest_of(blob)
        self.blob_by_digest[digest] = blob
        return digest

    def record(self, head: Head) -> VersionRecord | Failure:
        """Decode the record of a version."""
        blob = self.get(head.digest)
        if blob is None:
            return Failure(kind=Kind.INCOMPLETE_VERSION, detail="record")
        return decode_record(blob)

    def missing(self, head: Head) -> list[bytes] | Failure:
        """List the digests to fetch next; an empty list means the version is complete.

        Absent records and pages hide the digests that they refer to, so fetching what
        is listed may lead to more.
        """
        if self.get(head.digest) is None:
            return [head.digest]
        record = self.record(head)
        if isinstance(record, Failure):
            return record
        if record.version != head.version:
            return Failure(kind=Kind.DIGEST_MISMATCH, detail="version of record")
        absent = [page for page in set(record.pages) if self.get(page) is None]
        for page in set(record.pages):
            blob = self.get(page)
            if blob is None:
                continue
            parts_by_key = decode_page(blob)
            if isinstance(parts_by_key, Failure):
                return parts_by_key
            for parts in parts_by_key.values():
                absent.extend(part for part in parts if self.get(part) is None)
        return sorted(set(absent))

    def items(self, head: Head) -> dict[str, bytes] | Failure:
        """Return the bodies of a complete version by item key."""
        missing = self.missing(head)
        if isinstance(missing, Failure):
            return missing
        if missing:
            return Failure(kind=Kind.INCOMPLETE_VERSION, detail=f"{len(missing)} blobs")
        record = self.record(head)
        if isinstance(record, Failure):
            return record
        body_by_key: dict[str, bytes] = {}
        for page in record.pages:
            parts_by_key = decode_page(self.blob_by_digest[page])
            if isinstance(parts_by_key, Failure):
                return parts_by_key
            for key, parts in parts_by_key.items():
                body_by_key[key] = b"".join(self.blob_by_digest[p] for p in parts)
        return body_by_key

    def references(self, head: Head) -> set[bytes]:
        """Collect the digests of a version's blobs, as far as its pages are present."""
        found = {head.digest}
        record = self.record(head)
        if isinstance(record, Failure):
            return found
        found.update(record.pages)
        for page in record.pages:
            blob = self.get(page)
            parts_by_key = decode_page(blob) if blob is not None else {}
            if isinstance(parts_by_key, Failure):
                continue
            for parts in parts_by_key.values():
                found.update(parts)
        return found

    def retain(self, heads: Iterable[Head]) -> int:
        """Evict the blobs that none of the versions uses; return their number."""
        keep: set[bytes] = set()
        for head in heads:
            keep |= self.references(head)
        drop = [digest for digest in self.blob_by_digest if digest not in keep]
        for digest in drop:
            del self.blob_by_digest[digest]
        return len(drop)
