"""Replication of this node's own record to the platform's store."""

from collections.abc import Callable

import attrs

from comfreytray.common import logs, revisions
from comfreytray.common.budgets import Backoff
from comfreytray.common.errors import Failure, Kind
from comfreytray.common.interfaces import ObjectStore
from comfreytray.common.records import (
    Departure,
    EndpointState,
    ListedRecord,
    NodeRecord,
)
from comfreytray.membership import directory

UNKNOWN_VERSION = -1
"""The stored version must be read before the next write."""
ABSENT_VERSION = 0
"""The store holds no record."""


class OwnRecord:
    """Write this node's record until the store holds it.

    Each write is conditional on the version that it replaces, so that a delayed write
    cannot undo a later one. What was written counts only until a list shows a later
    version, or none in a later era: a store that comes back from an older copy may have
    lost it.
    """

    def __init__(
        self,
        *,
        store: ObjectStore,
        backoff: Backoff,
        listed: Callable[[], ListedRecord | None] = lambda: None,
        capacity: int = 0,
        on_earlier_self: Callable[[NodeRecord], None] = lambda _: None,
    ) -> None:
        """Create the writer; `listed` gives what the last list has shown.

        `on_earlier_self` gets the record of an earlier incarnation before it is
        replaced.
        """
        self._store = store
        self._backoff = backoff
        self._listed = listed
        self._capacity = capacity
        self._on_earlier_self = on_earlier_self
        self._followed_era = UNKNOWN_VERSION
        """Era of the last list from which the stored version was taken."""
        self._version = UNKNOWN_VERSION
        self._written: NodeRecord | None = None

    def is_current(self, record: NodeRecord) -> bool:
        """Whether the store is known to hold a record.

        That an instance is no longer cold is not written: readers know how long a
        start takes, and each write is read by every node.
        """
        self._follow_list(record)
        if self._written is None:
            return False
        written = attrs.evolve(self._written, revision=record.revision)
        return written in (record, _as_cold(record))

    def holds(self, departure: Departure) -> bool:
        """Whether the store is known to hold a departure, or a later one of its id."""
        if self._written is None:
            return False
        return any(
            stored.instance_id == departure.instance_id
            and stored.before_ms >= departure.before_ms
            for stored in self._written.departures
        )

    def write(self, record: NodeRecord) -> float:
        """Make one store call towards writing a record; return the seconds to wait."""
        self._follow_list(record)
        if self._version == UNKNOWN_VERSION:
            return self._read(record)
        stored = self._store.put(
            directory.key_of(record.node_id),
            directory.encode(record, capacity=self._capacity),
            expected_version=self._version,
        )
        if not isinstance(stored, Failure):
            self._version = stored.version
            self._written = record
            self._backoff.reset()
            return 0.0
        self._version = UNKNOWN_VERSION
        if stored.kind is Kind.CONFLICT:
            return 0.0
        return self._back_off(stored, "write")

    def _follow_list(self, record: NodeRecord) -> None:
        """Take over what a list shows, if that is later than what is known."""
        listed = self._listed()
        if listed is None or not self._is_later(listed):
            return
        self._followed_era = listed.era
        self._version = listed.version
        if listed.record not in (record, self._written):
            self._log_replaced(listed)
            self._written = None
        else:
            self._written = listed.record

    def _is_later(self, listed: ListedRecord) -> bool:
        if self._version <= ABSENT_VERSION:
            # A call since the list has shown more: a write that failed may have been
            # applied, or a read found no record.
            return listed.era > self._followed_era
        is_restored = listed.era > revisions.era_of(self._version)
        return is_restored or listed.version > self._version

    def _log_replaced(self, listed: ListedRecord) -> None:
        if self._written is None:
            return
        logs.warn(
            logs.Event.RECORD_REPLACED,
            version=revisions.text_of(listed.version),
            era=listed.era,
            record_revision=listed.record.revision if listed.record else 0,
            written_record_revision=self._written.revision,
        )

    def _read(self, record: NodeRecord) -> float:
        held = self._store.get(directory.key_of(record.node_id))
        if not isinstance(held, Failure):
            self._version = held.version
            stored = directory.decode(held.value)
            if stored == record:
                self._written = record
            elif stored is not None and stored.incarnation < record.incarnation:
                self._on_earlier_self(stored)
            return 0.0
        if held.kind is Kind.NOT_FOUND:
            self._version = ABSENT_VERSION
            return 0.0
        return self._back_off(held, "read")

    def _back_off(self, failure: Failure, call: str) -> float:
        logs.warn(
            logs.Event.RECORD_NOT_STORED,
            call=call,
            kind=failure.kind.value,
            reason=failure.detail,
        )
        return self._backoff.next_s()


def _as_cold(record: NodeRecord) -> NodeRecord:
    """Return a record as it was while its instance was cold."""
    if record.endpoint is None or record.endpoint.state is not EndpointState.READY:
        return record
    cold = attrs.evolve(record.endpoint, state=EndpointState.COLD)
    return attrs.evolve(record, endpoint=cold)
