"""Protocols through which decision logic without I/O uses clock, network and store."""

from typing import Protocol

from attrs import frozen

from comfreytray.common.errors import Failure

Address = tuple[str, int]
"""IP address and port."""


class Clock(Protocol):
    """Read clocks, in seconds."""

    def monotonic(self) -> float:
        """Return the monotonic time in seconds."""
        ...

    def wall(self) -> float:
        """Return the seconds since the Unix epoch."""
        ...


class Network(Protocol):
    """Send typed messages to other nodes, best effort and without blocking."""

    def send_datagram(self, to: Address, message: object) -> None:
        """Send a small message that may be lost, reordered or duplicated."""
        ...

    def send_stream(self, to: Address, message: object) -> None:
        """Queue a message on the ordered stream to a node; a broken stream loses it."""
        ...


@frozen(kw_only=True)
class StoredObject:
    """One object of the platform's store."""

    key: str
    value: bytes
    version: int
    """Store-wide revision of the write that stored this value."""


@frozen(kw_only=True)
class WatchBatch:
    """The objects that a watch returned, up to a revision."""

    revision: int
    objects: tuple[StoredObject, ...]
    """Latest values; a deleted object is absent."""


class ObjectStore(Protocol):
    """The platform's object API; callers keep the number of calls low.

    Failures are STORE_UNAVAILABLE (the call did not take effect),
    STORE_OUTCOME_UNKNOWN (a write may have taken effect), CONFLICT, NOT_FOUND and
    VALUE_TOO_LARGE.
    """

    def get(self, key: str) -> StoredObject | Failure:
        """Read one object."""
        ...

    def list(self, prefix: str) -> tuple[StoredObject, ...] | Failure:
        """Read all objects whose keys start with the prefix, in key order."""
        ...

    def put(
        self, key: str, value: bytes, *, expected_version: int | None
    ) -> StoredObject | Failure:
        """Write if the version is as expected; 0 means no object, None any version."""
        ...

    def delete(self, key: str, *, expected_version: int | None) -> Failure | None:
        """Delete if the version is as expected."""
        ...

    def watch(
        self, prefix: str, *, after_revision: int, timeout_s: float
    ) -> WatchBatch | Failure:
        """Wait until an object under the prefix changes after a revision."""
        ...
