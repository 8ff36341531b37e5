"""Blobs on the wire: compressed, where possible against a blob both nodes hold."""

from collections.abc import Iterable

from attrs import frozen

from comfreytray.common.errors import Failure, Kind
from comfreytray.configuration.content import (
    MAX_BODY_BYTES,
    PAGE_COUNT,
    Content,
    Head,
    decode_page,
    digest_of,
)
from comfreytray.distribution.compression import compress, decompress

MAX_BLOB_BYTES = 2 * MAX_BODY_BYTES


@frozen(kw_only=True)
class Delta:
    """One compressed blob, with a base blob as dictionary or without."""

    digest: bytes
    base: bytes
    """Digest of the base blob, empty for none."""
    data: bytes
    """Zstandard frame without magic number, checksum and dictionary id."""


def encode_blob(content: Content, digest: bytes, base: bytes) -> Delta | None:
    """Compress a blob, against the base if that is held; None if the blob is not."""
    blob = content.get(digest)
    if blob is None:
        return None
    base_blob = content.get(base) if base else None
    return Delta(
        digest=digest,
        base=base if base_blob else b"",
        data=compress(blob, base_blob),
    )


def decode_blob(delta: Delta, base_blob: bytes | None) -> bytes | Failure:
    """Decompress a blob and check its size and digest."""
    if delta.base and base_blob is None:
        return Failure(kind=Kind.INCOMPLETE_VERSION, detail="base blob is not held")
    blob = decompress(
        delta.data,
        max_bytes=MAX_BLOB_BYTES,
        base=base_blob if delta.base else None,
    )
    if isinstance(blob, Failure):
        return blob
    if digest_of(blob) != delta.digest:
        return Failure(kind=Kind.DIGEST_MISMATCH, detail=delta.digest.hex())
    return blob


def difference(content: Content, old: Head | None, new: Head) -> dict[bytes, bytes]:
    """Map the digest of each blob that `new` adds to the digest of its base in `old`.

    The version record comes first, then pages, then bodies; an empty digest means
    that there is no base.
    """
    record = content.record(new)
    if isinstance(record, Failure):
        return {}
    old_record = content.record(old) if old is not None else None
    held: set[bytes] = content.references(old) if old is not None else set()
    base_by_digest = {new.digest: old.digest if old is not None else b""}
    old_pages: tuple[bytes, ...] = ()
    if old_record is not None and not isinstance(old_record, Failure):
        old_pages = old_record.pages
    bodies: dict[bytes, bytes] = {}
    for index, page in enumerate(record.pages[:PAGE_COUNT]):
        if page in held:
            continue
        old_page = old_pages[index] if index < len(old_pages) else b""
        base_by_digest[page] = old_page
        bodies.update(_body_bases(content, old_page, page, held))
    return base_by_digest | bodies


def _body_bases(
    content: Content, old_page: bytes, page: bytes, held: set[bytes]
) -> dict[bytes, bytes]:
    """Map each new body part of a page to the old part at its place in its item."""
    old_parts_by_key = _parts_by_key(content, old_page)
    base_by_digest: dict[bytes, bytes] = {}
    for key, parts in _parts_by_key(content, page).items():
        old_parts = old_parts_by_key.get(key, ())
        for index, part in enumerate(parts):
            if part in held:
                continue
            base = old_parts[index] if index < len(old_parts) else b""
            base_by_digest[part] = base
    return base_by_digest


def _parts_by_key(content: Content, page: bytes) -> dict[str, tuple[bytes, ...]]:
    blob = content.get(page)
    parts_by_key = decode_page(blob) if blob is not None else {}
    return {} if isinstance(parts_by_key, Failure) else parts_by_key


def bundle(
    content: Content, base_by_digest: Iterable[tuple[bytes, bytes]], max_bytes: int
) -> tuple[Delta, ...]:
    """Compress blobs in order up to `max_bytes` in total, but at least one.

    Each pair is the digest of a blob and of the blob to compress it against, the
    latter empty for none. Blobs that this node does not hold are skipped.
    """
    deltas: list[Delta] = []
    size = 0
    for digest, base in base_by_digest:
        delta = encode_blob(content, digest, base)
        if delta is None:
            continue
        size += len(delta.data)
        if deltas and size > max_bytes:
            break
        deltas.append(delta)
    return tuple(deltas)
