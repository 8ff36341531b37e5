"""Accept versions: one conditional update of the store's head orders them all."""

import random
from collections.abc import Callable, Mapping

from attrs import field, frozen

from comfreytray.common.errors import Failure, Kind
from comfreytray.common.exceptions import invariant
from comfreytray.common.interfaces import Clock, ObjectStore, StoredObject
from comfreytray.configuration import content as blobs
from comfreytray.configuration.content import Content, Head, VersionRecord
from comfreytray.configuration.versions import READ_ATTEMPTS, StoredHead, Versions

MAX_RACES = 32
"""How often a change is put on top of newer versions before it gives up."""
WRITE_ATTEMPTS = 3
REPEAT_DEPTH = 64
"""How many versions back a repeated change is recognised."""
CHANGE_ID_BITS = 64


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
    held: StoredHead
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


class Acceptance:
    """Make changes into versions."""

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
        """Make up an identifier for a change."""
        return f"{self._random.getrandbits(CHANGE_ID_BITS):016x}"

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
            held = self._versions.read_head()
            if isinstance(held, Failure):
                return held
            if floor is None:
                floor = 0 if repeatable else held.head.version
            repeated = self._find_change(held.head, change_id, floor)
            if repeated is not None:
                return repeated
            floor = held.head.version
            items = self._versions.items(held.head)
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
        for step in self._versions.walk(head):
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
        held: StoredHead,
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
        record = self._versions.record(head)
        return record if isinstance(record, Failure) else list(record.pages)

    def _page(self, digest: bytes) -> dict[str, tuple[bytes, ...]] | Failure:
        empty = blobs.encode_page({})
        if digest == blobs.digest_of(empty):
            return {}
        blob = self._versions.blob(digest)
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
                self._versions.note(plan.head, stored.version)
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
            held = self._versions.read_head()
            if isinstance(held, Failure) or held.revision <= plan.held.revision:
                continue
            if held.head.version < plan.head.version:
                return None
            found = self._versions.find(held.head, plan.head.version)
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
        self._versions.remember(plan.head, plan.record)
        return Accepted(head=plan.head, record=plan.record, new_blobs=plan.new_blobs)
