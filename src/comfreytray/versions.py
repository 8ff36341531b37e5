"""Accept versions: one conditional update of the store's head orders them all."""

import random
from collections.abc import Callable, Iterator, Mapping

from attrs import field, frozen

from comfreytray import content as blobs
from comfreytray.content import Content, Head, VersionRecord
from comfreytray.errors import Failure, Kind
from comfreytray.exceptions import invariant
from comfreytray.interfaces import Clock, ObjectStore, StoredObject

MAX_RACES = 32
"""How often a change is put on top of newer versions before it gives up."""
WRITE_ATTEMPTS = 3
READ_ATTEMPTS = 4
REPEAT_DEPTH = 64
"""How many versions back a repeated change is recognised."""
CHANGE_ID_BITS = 64
RECORDS_REMEMBERED = 128
NO_VERSION = Head(version=0, digest=b"")


@frozen(kw_only=True)
class Held:
    """Hold the newest head that was seen and the store's revision of it."""

    head: Head = NO_VERSION
    revision: int = 0


@frozen(kw_only=True)
class Edited:
    """Say what a change makes of a version."""

    body_by_key: Mapping[str, bytes | None]
    """New bodies; None removes the item."""
    extra_blobs: tuple[bytes, ...] = ()
    """Blobs that the bodies name by digest and no page does."""
    summary: str


@frozen(kw_only=True)
class Accepted:
    """Describe a version that was accepted."""

    head: Head
    record: VersionRecord
    new_blobs: dict[bytes, bytes] = field(factory=dict)


@frozen(kw_only=True)
class _Plan:
    held: Held
    head: Head
    record: VersionRecord
    new_blobs: dict[bytes, bytes]
    """Blobs that nodes need."""
    extra_blobs: dict[bytes, bytes]
    """Blobs that only operators need."""
    content: Content
    """What was held of the base; others may tidy the shared content meanwhile."""


Build = Callable[[Head, dict[str, bytes]], Edited | Failure]
"""Make a change on top of a version's items; called again after a lost race."""


class Versions:
    """Read and accept versions in the store."""

    def __init__(
        self,
        *,
        store: ObjectStore,
        clock: Clock,
        random: random.Random,
        content: Content,
    ) -> None:
        self._store = store
        self._clock = clock
        self._random = random
        self._content = content
        self._held = Held()
        self._record_by_digest: dict[bytes, VersionRecord] = {}

    def new_change_id(self) -> str:
        """Make up an identifier for a change."""
        return f"{self._random.getrandbits(CHANGE_ID_BITS):016x}"

    def held(self) -> Held | Failure:
        """Read the newest head; a stale answer never moves it back."""
        stored = self._store.get(blobs.HEAD_KEY)
        if isinstance(stored, Failure):
            return self._held if stored.kind is Kind.NOT_FOUND else stored
        head = blobs.decode_head(stored.value)
        if isinstance(head, Failure):
            return head
        self._note(head, stored.version)
        return self._held

    def _note(self, head: Head, revision: int) -> None:
        if revision <= self._held.revision:
            return
        known = self._held.head
        invariant(head.version >= known.version, "versions never move back")
        invariant(
            head.version != known.version or head.digest == known.digest,
            "an accepted version never changes",
        )
        self._held = Held(head=head, revision=revision)

    def blob(self, digest: bytes) -> bytes | Failure:
        """Read a blob from what is held, or else from the store."""
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
        """Read the record of a version; the newest ones read are remembered."""
        known = self._record_by_digest.get(head.digest)
        if known is not None:
            return known
        blob = self.blob(head.digest)
        record = blob if isinstance(blob, Failure) else blobs.decode_record(blob)
        if not isinstance(record, Failure):
            self._remember(head, record)
        return record

    def _remember(self, head: Head, record: VersionRecord) -> None:
        invariant(record.version == head.version, "a record is of its own version")
        self._record_by_digest[head.digest] = record
        if len(self._record_by_digest) > RECORDS_REMEMBERED:
            del self._record_by_digest[next(iter(self._record_by_digest))]

    def walk(self, head: Head) -> Iterator[tuple[Head, VersionRecord] | Failure]:
        """Go back from a version to its parents; ends after the first or a failure."""
        while head.version > 0:
            record = self.record(head)
            if isinstance(record, Failure):
                yield record
                return
            yield head, record
            head = Head(version=head.version - 1, digest=record.parent)

    def find(self, head: Head, version: int) -> Head | Failure:
        """Find an older version below a head."""
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
            failed = self._load(head)
            if failed is not None:
                return failed
            items = self._content.items(head)
            if not isinstance(items, Failure):
                return items
            if items.kind is not Kind.INCOMPLETE_VERSION:
                return items
        return items

    def _load(self, head: Head) -> Failure | None:
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

    def accept(
        self, build: Build, *, operator: str, language: str, change_id: str | None
    ) -> Accepted | Failure:
        """Make a change the next version, on top of whatever is newest.

        A change id that the caller gives is looked for among the newest versions,
        so that a repeated change is accepted once.
        """
        repeatable = change_id is not None
        change_id = change_id or self.new_change_id()
        floor: int | None = None
        for _ in range(MAX_RACES):
            held = self.held()
            if isinstance(held, Failure):
                return held
            if floor is None:
                floor = 0 if repeatable else held.head.version
            repeated = self._find_change(held.head, change_id, floor)
            if repeated is not None:
                return repeated
            floor = held.head.version
            items = self.items(held.head)
            if isinstance(items, Failure):
                return items
            base = Content(blob_by_digest=dict(self._content.blob_by_digest))
            edited = build(held.head, items)
            if isinstance(edited, Failure):
                return edited
            plan = self._plan(held, base, edited, operator, language, change_id)
            if isinstance(plan, Failure):
                return plan
            outcome = self._store_plan(plan)
            if outcome is not None:
                return outcome
        return Failure(kind=Kind.OVERLOADED, detail="too many versions at once")

    def _find_change(
        self, head: Head, change_id: str, floor: int
    ) -> Accepted | Failure | None:
        lowest = max(floor, head.version - REPEAT_DEPTH)
        if head.version <= lowest:
            return None
        for step in self.walk(head):
            if isinstance(step, Failure):
                return step
            found, record = step
            if record.change_id == change_id:
                return Accepted(head=found, record=record)
            if found.version <= lowest + 1:
                return None
        return None

    def _plan(
        self,
        held: Held,
        base: Content,
        edited: Edited,
        operator: str,
        language: str,
        change_id: str,
    ) -> _Plan | Failure:
        used = base.references(held.head)
        new_blobs: dict[bytes, bytes] = {}
        pages = self._pages(held.head, edited.body_by_key, new_blobs)
        if isinstance(pages, Failure):
            return pages
        record = VersionRecord(
            version=held.head.version + 1,
            parent=held.head.digest,
            pages=pages,
            change_id=change_id,
            operator=operator,
            language=language,
            accepted_at_s=self._clock.wall(),
            summary=edited.summary,
            changed_keys=tuple(sorted(edited.body_by_key)),
        )
        blob = blobs.encode_record(record)
        head = Head(version=record.version, digest=blobs.digest_of(blob))
        new_blobs[head.digest] = blob
        for digest in used & set(new_blobs):
            del new_blobs[digest]
        extra = {blobs.digest_of(one): one for one in edited.extra_blobs}
        return _Plan(
            held=held,
            head=head,
            record=record,
            new_blobs=new_blobs,
            extra_blobs=extra,
            content=base,
        )

    def _pages(
        self,
        head: Head,
        body_by_key: Mapping[str, bytes | None],
        new_blobs: dict[bytes, bytes],
    ) -> tuple[bytes, ...] | Failure:
        """Give the digests of the next version's pages; collect what is new."""
        pages = self._old_pages(head)
        if isinstance(pages, Failure):
            return pages
        changed_keys_by_page: dict[int, list[str]] = {}
        for key in body_by_key:
            changed_keys_by_page.setdefault(blobs.page_of(key), []).append(key)
        for number, keys in changed_keys_by_page.items():
            parts_by_key = self._page(pages[number])
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

    def _old_pages(self, head: Head) -> list[bytes] | Failure:
        if head.version == 0:
            return [blobs.digest_of(blobs.encode_page({}))] * blobs.PAGE_COUNT
        record = self.record(head)
        return record if isinstance(record, Failure) else list(record.pages)

    def _page(self, digest: bytes) -> dict[str, tuple[bytes, ...]] | Failure:
        empty = blobs.encode_page({})
        if digest == blobs.digest_of(empty):
            return {}
        blob = self.blob(digest)
        return blob if isinstance(blob, Failure) else blobs.decode_page(blob)

    def _store_plan(self, plan: _Plan) -> Accepted | Failure | None:
        """Store a plan's blobs and move the head; None means a lost race."""
        for digest, blob in {**plan.extra_blobs, **plan.new_blobs}.items():
            failed = self._store_blob(digest, blob)
            if failed is not None:
                return failed
        for digest, blob in plan.new_blobs.items():
            plan.content.put(digest, blob)
        invariant(
            plan.content.missing(plan.head) == [],
            "an accepted version is complete",
        )
        return self._move_head(plan)

    def _store_blob(self, digest: bytes, blob: bytes) -> Failure | None:
        """Write a blob even if it is there: garbage collection may be under way."""
        stored: StoredObject | Failure = Failure(kind=Kind.STORE_UNAVAILABLE)
        for _ in range(WRITE_ATTEMPTS):
            stored = self._store.put(
                blobs.blob_key(digest), blob, expected_version=None
            )
            if isinstance(stored, StoredObject):
                return None
            if stored.kind is not Kind.STORE_OUTCOME_UNKNOWN:
                return stored
        return Failure(kind=Kind.STORE_UNAVAILABLE, detail="blob not stored")

    def _move_head(self, plan: _Plan) -> Accepted | Failure | None:
        """Update the head under its revision; a repeat can't take effect twice."""
        value = blobs.encode_head(plan.head)
        in_doubt = False
        for _ in range(WRITE_ATTEMPTS):
            stored = self._store.put(
                blobs.HEAD_KEY, value, expected_version=plan.held.revision
            )
            if isinstance(stored, StoredObject):
                self._note(plan.head, stored.version)
                return self._accepted(plan)
            if stored.kind is Kind.CONFLICT:
                return self._settle(plan) if in_doubt else None
            if stored.kind is Kind.STORE_OUTCOME_UNKNOWN:
                in_doubt = True
            elif not in_doubt:
                return stored
        return self._settle(plan)

    def _settle(self, plan: _Plan) -> Accepted | Failure | None:
        """Find out by reading whether a write in doubt took effect."""
        for _ in range(READ_ATTEMPTS):
            held = self.held()
            if isinstance(held, Failure) or held.revision <= plan.held.revision:
                continue
            if held.head.version < plan.head.version:
                return None
            found = self.find(held.head, plan.head.version)
            if isinstance(found, Failure):
                continue
            return self._accepted(plan) if found.digest == plan.head.digest else None
        return Failure(
            kind=Kind.STORE_OUTCOME_UNKNOWN,
            detail=f"change {plan.record.change_id}",
            fields={"change": plan.record.change_id},
        )

    def _accepted(self, plan: _Plan) -> Accepted:
        for digest, blob in plan.new_blobs.items():
            self._content.put(digest, blob)
        self._remember(plan.head, plan.record)
        return Accepted(head=plan.head, record=plan.record, new_blobs=plan.new_blobs)
