"""The newest known objects under a prefix of the store, and how complete they are."""

from collections.abc import Iterable
from typing import Protocol

from attrs import frozen

from comfreytray.common import logs, revisions
from comfreytray.common.errors import Failure, Kind
from comfreytray.common.interfaces import StoredObject, WatchBatch
from comfreytray.distribution.compression import compress, decompress

MIN_DELTA_BYTES = 4096
"""Size from which an object is sent as its difference to the one before."""
MAX_BASES = 2
"""Earlier revisions of a large object that are kept to send differences to them."""
MAX_OBJECT_BYTES = 33_554_432


@frozen(kw_only=True)
class Progress:
    """How far a replica follows the store."""

    complete_to: int = 0
    """Store revision up to which every change is held; 0 before the first read."""
    newest: int = 0
    """Revision of the newest object held, at most `complete_to`."""

    @property
    def era(self) -> int:
        """Return the era of the store that the replica follows."""
        return revisions.era_of(self.complete_to)


@frozen(kw_only=True)
class ObjectChange:
    """An object on its way to another node."""

    key: str
    version: int
    base_version: int
    """Revision that `data` is compressed against; 0 if `data` is the value itself."""
    data: bytes


class ContentOrder(Protocol):
    """Tell the order of the values of a key from the values themselves."""

    def __call__(self, value: bytes) -> tuple[int, ...] | None:
        """Return a value's place; None if it can't be told."""
        ...


def no_order(value: bytes) -> None:
    """Leave the order of values to the store."""
    del value


class Replica:
    """Hold the newest revision of each object, from the store or from other nodes.

    Within an era of the store its revisions tell what is newest. A store that came
    back from an older copy may deliver a value that was replaced in the era before;
    `order` recognizes it.
    """

    def __init__(self, *, order: ContentOrder = no_order) -> None:
        self._order = order
        self._object_by_key: dict[str, StoredObject] = {}
        self._seen_by_key: dict[str, int] = {}
        """Highest revision of each object that arrived, also if it was not held."""
        self._bases_by_key: dict[str, list[StoredObject]] = {}
        """Earlier revisions of large objects, oldest first."""
        self._complete_to = 0
        self._newest = 0

    @property
    def progress(self) -> Progress:
        """Return how far the replica follows the store."""
        return Progress(complete_to=self._complete_to, newest=self._newest)

    def apply(self, batch: WatchBatch) -> tuple[StoredObject, ...]:
        """Take a batch that is complete up to its revision; return what was new.

        Batches may come late, twice and from several nodes: an object never goes back
        to an older revision, and neither does the replica as a whole.
        """
        fresh: dict[str, StoredObject] = {}
        for stored in batch.objects:
            if self._hold(stored):
                fresh[stored.key] = stored
            else:
                self._log_ignored(stored)
        self.advance(batch.revision)
        return tuple(fresh.values())

    def advance(self, revision: int) -> None:
        """Note that no change up to a revision is missing."""
        if revision <= self._complete_to:
            return
        self._complete_to = revision
        # The pages of one list differ in age, so some objects may be newer than it.
        versions = (stored.version for stored in self._object_by_key.values())
        complete = (version for version in versions if version <= revision)
        self._newest = max(complete, default=0)

    def changes_after(self, held: Progress) -> tuple[ObjectChange, ...]:
        """Return what another replica lacks, given how far it follows the store."""
        return tuple(
            self._change(stored, held.newest)
            for stored in self._object_by_key.values()
            if stored.version > held.complete_to
        )

    def resolve(self, changes: Iterable[ObjectChange]) -> list[StoredObject] | Failure:
        """Return the new objects of changes; a Failure if a base is not held."""
        objects: list[StoredObject] = []
        for change in changes:
            held = self._object_by_key.get(change.key)
            if held is not None and held.version >= change.version:
                continue
            value = self._value_of(change)
            if isinstance(value, Failure):
                return value
            objects.append(
                StoredObject(key=change.key, version=change.version, value=value)
            )
        return objects

    def _hold(self, stored: StoredObject) -> bool:
        """Keep an object if it is newer than the one held."""
        seen = self._seen_by_key.get(stored.key, 0)
        if stored.version <= seen:
            return False
        self._seen_by_key[stored.key] = stored.version
        held = self._object_by_key.get(stored.key)
        if held is not None and self._is_replaced(stored, held, seen):
            return False
        self._object_by_key[stored.key] = stored
        if held is not None and len(held.value) >= MIN_DELTA_BYTES:
            bases = self._bases_by_key.setdefault(stored.key, [])
            bases.append(held)
            del bases[:-MAX_BASES]
        return True

    def _is_replaced(self, stored: StoredObject, held: StoredObject, seen: int) -> bool:
        """Whether an object of a later era has the older value of the two."""
        if revisions.era_of(stored.version) == revisions.era_of(seen):
            return False
        place, held_place = self._order(stored.value), self._order(held.value)
        if place is None or held_place is None:
            return False
        return place < held_place

    def _log_ignored(self, stored: StoredObject) -> None:
        """Log an object that is not newer, unless it is the one that is held."""
        held = self._object_by_key[stored.key]
        if held.value != stored.value:
            logs.log(
                logs.Event.OBJECT_IGNORED,
                key=stored.key,
                revision=revisions.text_of(stored.version),
                held=revisions.text_of(held.version),
            )

    def _change(self, stored: StoredObject, base_version: int) -> ObjectChange:
        base = self._base(stored.key, base_version)
        return ObjectChange(
            key=stored.key,
            version=stored.version,
            base_version=base.version if base else 0,
            data=compress(stored.value, base.value) if base else stored.value,
        )

    def _base(self, key: str, version: int) -> StoredObject | None:
        """Return an earlier revision of an object, if it is kept."""
        bases = self._bases_by_key.get(key, ())
        return next((base for base in bases if base.version == version), None)

    def _value_of(self, change: ObjectChange) -> bytes | Failure:
        if change.base_version == 0:
            return change.data
        held = self._object_by_key.get(change.key)
        if held is None or held.version != change.base_version:
            return Failure(
                kind=Kind.INCOMPLETE_VERSION,
                detail=f"{change.key}: base {revisions.text_of(change.base_version)}"
                " is not held",
            )
        return decompress(change.data, max_bytes=MAX_OBJECT_BYTES, base=held.value)
