"""Delete the store's blobs that no retained version uses.

This is safe while changes are being accepted. A change rewrites each blob that its
base version does not use, and the collection rewrites the head, unchanged, between
marking and deleting. A change that read the head before that loses its conditional
update; the blobs of a later one have newer revisions than the deletes expect.
"""

from attrs import frozen

from comfreytray.common.errors import Failure, Kind
from comfreytray.common.interfaces import ObjectStore, StoredObject
from comfreytray.configuration import acceptance
from comfreytray.configuration.content import (
    BLOB_PREFIX,
    HEAD_KEY,
    Content,
    Head,
    decode_page,
    encode_head,
)
from comfreytray.configuration.documents import decode_document
from comfreytray.configuration.versions import Versions

DEFAULT_KEEP_VERSIONS = 1000
DIGEST_PREFIXES = "0123456789abcdef"
"""First digits of blob keys; blobs are listed one prefix at a time."""


@frozen(kw_only=True)
class CollectionResult:
    """Count the blobs that a collection kept and deleted."""

    kept: int
    deleted: int


def collect_garbage(
    *, store: ObjectStore, reader: Versions, content: Content, keep_versions: int
) -> CollectionResult | Failure:
    """Delete the blobs that none of the newest `keep_versions` versions uses."""
    if keep_versions <= acceptance.REPEAT_LOOKBACK_VERSIONS:
        detail = (
            f"keep_versions must be above {acceptance.REPEAT_LOOKBACK_VERSIONS},"
            f" got {keep_versions}"
        )
        return Failure(kind=Kind.BAD_REQUEST, detail=detail)
    revision_by_digest = _list_blobs(store, content)
    if isinstance(revision_by_digest, Failure):
        return revision_by_digest
    newest = reader.read_head()
    if isinstance(newest, Failure):
        return newest
    used = _trace(reader, newest.head, keep_versions)
    if isinstance(used, Failure):
        return used
    touched = store.put(
        HEAD_KEY, encode_head(newest.head), expected_version=newest.revision
    )
    if isinstance(touched, Failure):
        return touched
    unused = sorted(set(revision_by_digest) - used)
    return _delete(store, unused, revision_by_digest, len(used))


def _list_blobs(store: ObjectStore, content: Content) -> dict[bytes, int] | Failure:
    """Read all blobs into the content; return the revision of each."""
    revision_by_digest: dict[bytes, int] = {}
    for prefix in DIGEST_PREFIXES:
        listed = store.list(BLOB_PREFIX + prefix)
        if isinstance(listed, Failure):
            return listed
        for stored in listed:
            digest = _digest_from_key(stored)
            if digest is not None and content.put(digest, stored.value) is None:
                revision_by_digest[digest] = stored.version
    return revision_by_digest


def _digest_from_key(stored: StoredObject) -> bytes | None:
    """Parse the digest from a blob's key; None if the key has no valid digest."""
    try:
        return bytes.fromhex(stored.key.removeprefix(BLOB_PREFIX))
    except ValueError:
        return None


def _trace(reader: Versions, head: Head, keep_versions: int) -> set[bytes] | Failure:
    """Mark the blobs of the newest versions, operators' texts included."""
    used: set[bytes] = set()
    for number, step in enumerate(reader.walk(head)):
        if number >= keep_versions:
            break
        if isinstance(step, Failure):
            return used if _is_end_of_history(step, number) else step
        found, record = step
        used.add(found.digest)
        for page in set(record.pages) - used:
            failed = _trace_page(reader, page, used)
            if failed is not None:
                return failed
    return used


def _is_end_of_history(failure: Failure, number: int) -> bool:
    """Whether the older versions were deleted by a collection that kept fewer."""
    return (
        failure.kind is Kind.INCOMPLETE_VERSION
        and number > acceptance.REPEAT_LOOKBACK_VERSIONS
    )


def _trace_page(reader: Versions, page: bytes, used: set[bytes]) -> Failure | None:
    """Mark the blobs of a page: bodies and the texts that they refer to."""
    blob = reader.blob(page)
    parts_by_key = blob if isinstance(blob, Failure) else decode_page(blob)
    if isinstance(parts_by_key, Failure):
        return parts_by_key
    used.add(page)
    for parts in parts_by_key.values():
        body = b""
        for part in parts:
            blob = reader.blob(part)
            if isinstance(blob, Failure):
                return blob
            body += blob
        used.update(parts)
        document = decode_document(body)
        if isinstance(document, Failure):
            return document
        used.update(document.source.parts)
    return None


def _delete(
    store: ObjectStore,
    unused: list[bytes],
    revision_by_digest: dict[bytes, int],
    kept: int,
) -> CollectionResult | Failure:
    """Delete blobs at their listed revisions; blobs written since then stay."""
    deleted = 0
    for digest in unused:
        failed = store.delete(
            BLOB_PREFIX + digest.hex(), expected_version=revision_by_digest[digest]
        )
        if failed is None:
            deleted += 1
        elif failed.kind is Kind.STORE_UNAVAILABLE:
            return failed
    return CollectionResult(kept=kept, deleted=deleted)
