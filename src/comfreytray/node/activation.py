"""Put the versions of the configuration in force that the store brings."""

from collections.abc import Callable, Iterable

from attrs import evolve

from comfreytray.common import revisions
from comfreytray.common.errors import Failure
from comfreytray.common.interfaces import StoredObject
from comfreytray.common.logs import Event, log, warn
from comfreytray.common.metrics import Metrics
from comfreytray.common.records import LocalUpstream
from comfreytray.configuration.snapshots import Snapshot

DecodeConfiguration = Callable[[bytes], Snapshot | Failure]


class ActiveConfiguration:
    """Holds the version in force; only a later one replaces it."""

    def __init__(self, *, decode: DecodeConfiguration, metrics: Metrics) -> None:
        self.snapshot: Snapshot | None = None
        self._decode = decode
        self._metrics = metrics

    def apply(self, objects: Iterable[StoredObject]) -> None:
        """Decode versions and put in force those that are valid and later."""
        for stored in objects:
            snapshot = self._decode(stored.value)
            if isinstance(snapshot, Failure):
                warn(
                    Event.VERSION_REFUSED,
                    key=stored.key,
                    revision=revisions.text_of(stored.version),
                    reason=snapshot.detail,
                )
                continue
            self._activate(snapshot, stored.version)

    def limit(self, upstream: LocalUpstream | None) -> LocalUpstream | None:
        """Return an instance with the connections that the configuration allows it."""
        if upstream is None or self.snapshot is None:
            return upstream
        endpoint = upstream.endpoint
        connections = self.snapshot.connections_by_service.get(endpoint.service)
        if connections is None or connections == endpoint.connections:
            return upstream
        return evolve(upstream, endpoint=evolve(endpoint, connections=connections))

    def _activate(self, snapshot: Snapshot, revision: int) -> None:
        current = self.snapshot
        if current is not None and snapshot.head.version <= current.head.version:
            log(
                Event.VERSION_IGNORED,
                version=snapshot.head.version,
                in_force=current.head.version,
                revision=revisions.text_of(revision),
            )
            return
        self.snapshot = snapshot
        self._metrics.gauge("version_in_force", snapshot.head.version)
        log(
            Event.VERSION_APPLIED,
            version=snapshot.head.version,
            before=current.head.version if current else 0,
            revision=revisions.text_of(revision),
        )
