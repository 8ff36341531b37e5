"""Construction of the immutable views of the members for other parts of a node."""

from collections.abc import Iterable

from attrs import define, field

from comfreytray.common.records import (
    EndpointState,
    MembershipView,
    NodeRecord,
    NodeState,
)

MIN_ALIVE_SHARE = 1 / 3
"""Share of alive endpoints below which a service's suspect ones are used as well."""


@define(kw_only=True)
class ViewBuilder:
    """Build views of the members; a change rebuilds only its service's endpoints."""

    _by_id: dict[str, NodeRecord] = field(factory=dict)
    _available_by_service: dict[str, dict[str, NodeRecord]] = field(factory=dict)
    _offered_by_service: dict[str, tuple[NodeRecord, ...]] = field(factory=dict)
    _stale_services: set[str] = field(factory=set)

    def replace(self, held: NodeRecord | None, record: NodeRecord | None) -> None:
        """Replace a member's record; None stands for a member that is not present."""
        if held is not None:
            del self._by_id[held.node_id]
            self._drop(held)
        if record is not None:
            self._by_id[record.node_id] = record
            self._add(record)

    def view(self) -> MembershipView:
        """Return a view of the current members."""
        for service in self._stale_services:
            available = self._available_by_service.get(service)
            if available:
                self._offered_by_service[service] = _prefer_alive(available.values())
            else:
                self._offered_by_service.pop(service, None)
        self._stale_services.clear()
        return MembershipView(
            by_id=dict(self._by_id),
            endpoints_by_service=dict(self._offered_by_service),
        )

    def _add(self, record: NodeRecord) -> None:
        if record.endpoint is None or not _accepts_calls(record):
            return
        service = record.endpoint.service
        self._available_by_service.setdefault(service, {})[record.node_id] = record
        self._stale_services.add(service)

    def _drop(self, record: NodeRecord) -> None:
        if record.endpoint is None:
            return
        service = record.endpoint.service
        available = self._available_by_service.get(service, {})
        if available.pop(record.node_id, None) is not None:
            self._stale_services.add(service)
        if not available:
            self._available_by_service.pop(service, None)


def _accepts_calls(record: NodeRecord) -> bool:
    if record.endpoint is None or record.state is NodeState.LEAVING:
        return False
    return record.endpoint.state is not EndpointState.DRAINING


def _prefer_alive(available: Iterable[NodeRecord]) -> tuple[NodeRecord, ...]:
    alive: list[NodeRecord] = []
    suspect: list[NodeRecord] = []
    for record in available:
        (alive if record.state is NodeState.ALIVE else suspect).append(record)
    if len(alive) >= MIN_ALIVE_SHARE * (len(alive) + len(suspect)):
        return tuple(alive)
    return (*alive, *suspect)
