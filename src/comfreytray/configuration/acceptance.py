"""Accept changes as new versions of the configuration.

The head object in the store names the newest version. Each accepted version is one
conditional update of the head, so that versions form a single sequence.
"""

import random
from collections.abc import Callable, Mapping

from attrs import field, frozen

from comfreytray.common.errors import Failure, Kind
from comfreytray.common.exceptions import invariant
from comfreytray.common.interfaces import Clock, ObjectStore, StoredObject
from comfreytray.configuration import content as blobs
from comfreytray.configuration.content import Content, Head, VersionRecord
from comfreytray.configuration.versions import READ_ATTEMPTS, StoredHead, Versions

MAX_ACCEPT_ATTEMPTS = 32
"""How often a change that lost a race is rebuilt on the newest version."""
WRITE_ATTEMPTS = 3
REPEAT_LOOKBACK_VERSIONS = 64
"""How many versions back a repeated change id is searched for."""
CHANGE_ID_BITS = 64


@frozen(kw_only=True)
class VersionChange:
    """Describe what a change does to the items of the version before."""

    body_by_key: Mapping[str, bytes | None]
    """New bodies by item key; None removes the item."""
    extra_blobs: tuple[bytes, ...] = ()
    """Blobs that bodies refer to by digest and that are not part of a page."""
    summary: str


@frozen(kw_only=True)
class Accepted:
    """Describe an accepted version."""

    head: Head
    record: VersionRecord
    new_blobs: dict[bytes, bytes] = field(factory=dict)
    """Blobs that the version before did not have; empty for a repeated change."""


@frozen(kw_only=True)
class _PendingVersion:
    """A version whose blobs and head are not stored yet."""

    base: StoredHead
    head: Head
    record: VersionRecord
    new_blobs: dict[bytes, bytes]
    """Blobs by digest that nodes need and the base version does not have."""
    extra_blobs: dict[bytes, bytes]
    """Blobs by digest that only operators need."""
    content: Content
    """A copy, since other changes may evict blobs from the shared content."""


BuildChange = Callable[[Head, dict[str, bytes]], VersionChange | Failure]
"""Builds a change of a version's items; called again after each lost race."""


class Acceptance:
    """Store changes as versions, one after the other."""

    def __init__(
        self,
        *,
        store: ObjectStore,
        clock: Clock,
        random: random.Random,
        content: Content,
        versions: Versions,
    ) -> None:
        self._store = store
        self._clock = clock
        self._random = random
        self._content = content
        self._versions = versions

    def new_change_id(self) -> str:
        """Generate a random change id."""
        return f"{self._random.getrandbits(CHANGE_ID_BITS):016x}"

    def accept(
        self, build: BuildChange, *, operator: str, language: str, change_id: str | None
    ) -> Accepted | Failure:
        """Accept a change as the next version, on top of the newest one.

        If the caller gives a change id, it is searched for among the newest versions,
        so that a repeated change is accepted once.
        """
        repeatable = change_id is not None
        change_id = change_id or self.new_change_id()
        after_version: int | None = None
        for _ in range(MAX_ACCEPT_ATTEMPTS):
            base = self._versions.read_head()
            if isinstance(base, Failure):
                return base
            if after_version is None:
                after_version = 0 if repeatable else base.head.version
            repeated = self._find_change(base.head, change_id, after_version)
            if repeated is not None:
                return repeated
            after_version = base.head.version
            items = self._versions.items(base.head)
            if isinstance(items, Failure):
                return items
            base_content = Content(blob_by_digest=dict(self._content.blob_by_digest))
            change = build(base.head, items)
            if isinstance(change, Failure):
                return change
            pending = self._build_version(
                base, base_content, change, operator, language, change_id
            )
            if isinstance(pending, Failure):
                return pending
            outcome = self._store_version(pending)
            if outcome is not None:
                return outcome
        return Failure(
            kind=Kind.OVERLOADED,
            detail=f"head changed during {MAX_ACCEPT_ATTEMPTS} attempts",
        )

    def _find_change(
        self, head: Head, change_id: str, after_version: int
    ) -> Accepted | Failure | None:
        """Search the versions after `after_version` for a change id, newest first."""
        lowest = max(after_version, head.version - REPEAT_LOOKBACK_VERSIONS)
        if head.version <= lowest:
            return None
        for step in self._versions.walk(head):
            if isinstance(step, Failure):
                return step
            found, record = step
            if record.change_id == change_id:
                return Accepted(head=found, record=record)
            if found.version <= lowest + 1:
                return None
        return None

    def _build_version(
        self,
        base: StoredHead,
        base_content: Content,
        change: VersionChange,
        operator: str,
        language: str,
        change_id: str,
    ) -> _PendingVersion | Failure:
        """Build the blobs and the head of the next version."""
        base_digests = base_content.references(base.head)
        new_blobs: dict[bytes, bytes] = {}
        pages = self._build_pages(base.head, change.body_by_key, new_blobs)
        if isinstance(pages, Failure):
            return pages
        record = VersionRecord(
            version=base.head.version + 1,
            parent=base.head.digest,
            pages=pages,
            change_id=change_id,
            operator=operator,
            language=language,
            accepted_at_s=self._clock.wall(),
            summary=change.summary,
            changed_keys=tuple(sorted(change.body_by_key)),
        )
        blob = blobs.encode_record(record)
        head = Head(version=record.version, digest=blobs.digest_of(blob))
        new_blobs[head.digest] = blob
        for digest in base_digests & set(new_blobs):
            del new_blobs[digest]
        extra = {blobs.digest_of(one): one for one in change.extra_blobs}
        return _PendingVersion(
            base=base,
            head=head,
            record=record,
            new_blobs=new_blobs,
            extra_blobs=extra,
            content=base_content,
        )

    def _build_pages(
        self,
        head: Head,
        body_by_key: Mapping[str, bytes | None],
        new_blobs: dict[bytes, bytes],
    ) -> tuple[bytes, ...] | Failure:
        """Return the digests of the next version's pages; collect the new blobs."""
        pages = self._base_pages(head)
        if isinstance(pages, Failure):
            return pages
        changed_keys_by_page: dict[int, list[str]] = {}
        for key in body_by_key:
            changed_keys_by_page.setdefault(blobs.page_of(key), []).append(key)
        for number, keys in changed_keys_by_page.items():
            parts_by_key = self._read_page(pages[number])
            if isinstance(parts_by_key, Failure):
                return parts_by_key
            for key in keys:
                body = body_by_key[key]
                if body is None:
                    parts_by_key.pop(key, None)
                    continue
                parts = blobs.split_body(body)
                parts_by_key[key] = tuple(blobs.digest_of(part) for part in parts)
                new_blobs.update(zip(parts_by_key[key], parts, strict=True))
            page = blobs.encode_page(parts_by_key)
            pages[number] = blobs.digest_of(page)
            new_blobs[pages[number]] = page
        if head.version == 0:
            empty = blobs.encode_page({})
            new_blobs[blobs.digest_of(empty)] = empty
        return tuple(pages)

    def _base_pages(self, head: Head) -> list[bytes] | Failure:
        if head.version == 0:
            return [blobs.digest_of(blobs.encode_page({}))] * blobs.PAGE_COUNT
        record = self._versions.record(head)
        return record if isinstance(record, Failure) else list(record.pages)

    def _read_page(self, digest: bytes) -> dict[str, tuple[bytes, ...]] | Failure:
        empty = blobs.encode_page({})
        if digest == blobs.digest_of(empty):
            return {}
        blob = self._versions.blob(digest)
        return blob if isinstance(blob, Failure) else blobs.decode_page(blob)

    def _store_version(self, pending: _PendingVersion) -> Accepted | Failure | None:
        """Store a version's blobs and update the head; None means a lost race."""
        for digest, blob in {**pending.extra_blobs, **pending.new_blobs}.items():
            failed = self._store_blob(digest, blob)
            if failed is not None:
                return failed
        for digest, blob in pending.new_blobs.items():
            pending.content.put(digest, blob)
        invariant(
            pending.content.missing(pending.head) == [],
            "an accepted version is complete",
        )
        return self._update_head(pending)

    def _store_blob(self, digest: bytes, blob: bytes) -> Failure | None:
        """Write a blob even if it exists: a garbage collection may be deleting it."""
        stored: StoredObject | Failure = Failure(kind=Kind.STORE_UNAVAILABLE)
        for _ in range(WRITE_ATTEMPTS):
            stored = self._store.put(
                blobs.blob_key(digest), blob, expected_version=None
            )
            if isinstance(stored, StoredObject):
                return None
            if stored.kind is not Kind.STORE_OUTCOME_UNKNOWN:
                return stored
        return Failure(
            kind=Kind.STORE_UNAVAILABLE, detail=f"blob {digest.hex()} not stored"
        )

    def _update_head(self, pending: _PendingVersion) -> Accepted | Failure | None:
        """Update the head if its revision is still the base's; None means a lost race.

        A repeated write can't take effect twice, as the first one changes the revision.
        """
        value = blobs.encode_head(pending.head)
        outcome_unknown = False
        for _ in range(WRITE_ATTEMPTS):
            stored = self._store.put(
                blobs.HEAD_KEY, value, expected_version=pending.base.revision
            )
            if isinstance(stored, StoredObject):
                self._versions.observe_head(pending.head, stored.version)
                return self._record_accepted(pending)
            if stored.kind is Kind.CONFLICT:
                return self._read_outcome(pending) if outcome_unknown else None
            if stored.kind is Kind.STORE_OUTCOME_UNKNOWN:
                outcome_unknown = True
            elif not outcome_unknown:
                return stored
        return self._read_outcome(pending)

    def _read_outcome(self, pending: _PendingVersion) -> Accepted | Failure | None:
        """Read whether a head update took effect; None means that another one did."""
        for _ in range(READ_ATTEMPTS):
            newest = self._versions.read_head()
            if isinstance(newest, Failure) or newest.revision <= pending.base.revision:
                continue
            if newest.head.version < pending.head.version:
                return None
            found = self._versions.find(newest.head, pending.head.version)
            if isinstance(found, Failure):
                continue
            return (
                self._record_accepted(pending)
                if found.digest == pending.head.digest
                else None
            )
        return Failure(
            kind=Kind.STORE_OUTCOME_UNKNOWN,
            detail=f"change {pending.record.change_id}",
            fields={"change": pending.record.change_id},
        )

    def _record_accepted(self, pending: _PendingVersion) -> Accepted:
        """Add an accepted version to the local content and the cache of records."""
        for digest, blob in pending.new_blobs.items():
            self._content.put(digest, blob)
        self._versions.cache_record(pending.head, pending.record)
        return Accepted(
            head=pending.head, record=pending.record, new_blobs=pending.new_blobs
        )
