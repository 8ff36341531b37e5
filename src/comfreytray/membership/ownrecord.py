"""Replication of this node's own record to the platform's store."""

from collections.abc import Callable

import attrs

from comfreytray.common import logs
from comfreytray.common.budgets import Backoff
from comfreytray.common.errors import Failure, Kind
from comfreytray.common.interfaces import ObjectStore
from comfreytray.common.records import EndpointState, NodeRecord
from comfreytray.membership import directory

UNKNOWN_VERSION = -1
"""The stored version must be read before the next write."""


class OwnRecord:
    """Write this node's record until the store holds it.

    Each write is conditional on the version that it replaces, so that a delayed write
    cannot undo a later one.
    """

    def __init__(
        self,
        *,
        store: ObjectStore,
        backoff: Backoff,
        listed_version: Callable[[], int | None] = lambda: None,
        capacity: int = 0,
    ) -> None:
        """Create the writer; `listed_version` gives what the last list has shown."""
        self._store = store
        self._backoff = backoff
        self._listed_version = listed_version
        self._capacity = capacity
        self._was_written = False
        self._version = UNKNOWN_VERSION
        self._written: NodeRecord | None = None

    def is_current(self, record: NodeRecord) -> bool:
        """Whether the store is known to hold a record.

        That an instance is no longer cold is not written: readers know how long a
        start takes, and each write is read by every node.
        """
        if self._written is None:
            return False
        written = attrs.evolve(self._written, revision=record.revision)
        return written in (record, _as_cold(record))

    def write(self, record: NodeRecord) -> float:
        """Make one store call towards writing a record; return the seconds to wait."""
        if self._version == UNKNOWN_VERSION and not self._use_listed_version():
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

    def _use_listed_version(self) -> bool:
        """Save the first read if a list has shown the version; a later write may not.

        A write that failed may have been applied since the list.
        """
        listed = None if self._was_written else self._listed_version()
        self._was_written = True
        if listed is not None:
            self._version = listed
        return listed is not None

    def _read(self, record: NodeRecord) -> float:
        held = self._store.get(directory.key_of(record.node_id))
        if not isinstance(held, Failure):
            self._version = held.version
            if directory.decode(held.value) == record:
                self._written = record
            return 0.0
        if held.kind is Kind.NOT_FOUND:
            self._version = 0
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
