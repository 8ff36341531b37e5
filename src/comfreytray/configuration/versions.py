"""Read versions from the store; stale answers never replace newer ones."""

from collections.abc import Iterable, Iterator

from attrs import frozen

from comfreytray.common import logs, revisions
from comfreytray.common.errors import Failure, Kind
from comfreytray.common.exceptions import invariant
from comfreytray.common.interfaces import ObjectStore, StoredObject
from comfreytray.configuration import content as blobs
from comfreytray.configuration.content import Content, Head, VersionRecord

READ_ATTEMPTS = 4
"""Reads before an object counts as absent; a stale read may miss a recent write."""
MAX_CACHED_RECORDS = 128
NO_VERSION = Head(version=0, digest=b"")
"""The head before the first version is accepted."""


@frozen(kw_only=True)
class StoredHead:
    """A head and the store's revision of the head object."""

    head: Head = NO_VERSION
    revision: int = 0


class Versions:
    """Read heads, records, blobs and items, from the local content if possible."""

    def __init__(self, *, store: ObjectStore, content: Content) -> None:
        self._store = store
        self._content = content
        self._newest = StoredHead()
        self._record_by_digest: dict[bytes, VersionRecord] = {}

    def read_head(self) -> StoredHead | Failure:
        """Read the newest head; a stale answer does not replace a newer head seen."""
        stored = self._store.get(blobs.HEAD_KEY)
        if isinstance(stored, Failure):
            return self._newest if stored.kind is Kind.NOT_FOUND else stored
        head = blobs.decode_head(stored.value)
        if isinstance(head, Failure):
            return head
        if self._has_lost_versions(head, stored.version):
            failed = self._write_again(head, stored.version)
            if failed is not None:
                return failed
        else:
            self.observe_head(head, stored.version)
        return self._newest

    def _has_lost_versions(self, head: Head, revision: int) -> bool:
        """Whether the store came back from a copy older than a known version."""
        era = revisions.era_of(revision)
        is_restored = era > revisions.era_of(self._newest.revision)
        return is_restored and head.version < self._newest.head.version

    def _write_again(self, stored: Head, revision: int) -> Failure | None:
        """Write the versions after a stored one again: they were accepted and lost."""
        newest = self._newest.head
        lost: list[Head] = []
        for step in self.walk(newest):
            if isinstance(step, Failure):
                return step
            if step[0] == stored:
                break
            lost.append(step[0])
        else:
            detail = f"version {stored.version} of the store is not the one known here"
            return Failure(kind=Kind.CONFLICT, detail=detail)
        if self._content.missing(newest):
            detail = f"the store has lost version {newest.version}, held here in part"
            return Failure(kind=Kind.INCOMPLETE_VERSION, detail=detail)
        failed = self._write_blobs(lost)
        if failed is not None:
            return failed
        written = self._store.put(
            blobs.HEAD_KEY, blobs.encode_head(newest), expected_version=revision
        )
        if isinstance(written, Failure):
            return written
        logs.warn(
            logs.Event.VERSION_RESTORED,
            version=newest.version,
            stored=stored.version,
            revision=revisions.text_of(written.version),
        )
        self._newest = StoredHead(head=newest, revision=written.version)
        return None

    def _write_blobs(self, heads: Iterable[Head]) -> Failure | None:
        """Write the blobs of versions that are held here."""
        digests: set[bytes] = set()
        for head in heads:
            digests |= self._content.references(head)
        for digest in sorted(digests):
            blob = self._content.get(digest)
            if blob is None:
                continue
            key = blobs.blob_key(digest)
            written = self._store.put(key, blob, expected_version=None)
            if isinstance(written, Failure):
                return written
        return None

    def observe_head(self, head: Head, revision: int) -> None:
        """Remember a head of the store unless a newer revision was seen."""
        if revision <= self._newest.revision:
            return
        known = self._newest.head
        invariant(head.version >= known.version, "the version number never decreases")
        invariant(
            head.version != known.version or head.digest == known.digest,
            "an accepted version never changes",
        )
        self._newest = StoredHead(head=head, revision=revision)

    def blob(self, digest: bytes) -> bytes | Failure:
        """Return a blob from the local content, or else from the store."""
        blob = self._content.get(digest)
        if blob is not None:
            return blob
        stored: StoredObject | Failure = Failure(kind=Kind.NOT_FOUND)
        for _ in range(READ_ATTEMPTS):
            stored = self._store.get(blobs.blob_key(digest))
            if isinstance(stored, StoredObject):
                break
            if stored.kind is not Kind.NOT_FOUND:
                return stored
        if isinstance(stored, Failure):
            return Failure(kind=Kind.INCOMPLETE_VERSION, detail=digest.hex())
        failed = self._content.put(digest, stored.value)
        return failed if failed is not None else stored.value

    def record(self, head: Head) -> VersionRecord | Failure:
        """Read the record of a version; the last ones read are cached."""
        known = self._record_by_digest.get(head.digest)
        if known is not None:
            return known
        blob = self.blob(head.digest)
        record = blob if isinstance(blob, Failure) else blobs.decode_record(blob)
        if not isinstance(record, Failure):
            self.cache_record(head, record)
        return record

    def cache_record(self, head: Head, record: VersionRecord) -> None:
        """Cache a record; the oldest entry is evicted if the cache is full."""
        invariant(
            record.version == head.version, "a record has the version of its head"
        )
        self._record_by_digest[head.digest] = record
        if len(self._record_by_digest) > MAX_CACHED_RECORDS:
            del self._record_by_digest[next(iter(self._record_by_digest))]

    def walk(self, head: Head) -> Iterator[tuple[Head, VersionRecord] | Failure]:
        """Yield a version and those before it, newest first; stop after a failure."""
        while head.version > 0:
            record = self.record(head)
            if isinstance(record, Failure):
                yield record
                return
            yield head, record
            head = Head(version=head.version - 1, digest=record.parent)

    def find(self, head: Head, version: int) -> Head | Failure:
        """Find the head of a version among a head and those before it."""
        for step in self.walk(head):
            if isinstance(step, Failure):
                return step
            if step[0].version == version:
                return step[0]
        return Failure(
            kind=Kind.NOT_FOUND,
            detail=f"version {version}",
            fields={"name": str(version)},
        )

    def items(self, head: Head) -> dict[str, bytes] | Failure:
        """Read all items of a version."""
        if head.version == 0:
            return {}
        for _ in range(READ_ATTEMPTS):
            failed = self._load_blobs(head)
            if failed is not None:
                return failed
            items = self._content.items(head)
            if not isinstance(items, Failure):
                return items
            if items.kind is not Kind.INCOMPLETE_VERSION:
                return items
        return items

    def _load_blobs(self, head: Head) -> Failure | None:
        """Read the blobs of a version that the local content lacks."""
        while True:
            missing = self._content.missing(head)
            if isinstance(missing, Failure):
                return missing
            if not missing:
                return None
            for digest in missing:
                blob = self.blob(digest)
                if isinstance(blob, Failure):
                    return blob
