"""The immutable view that the other parts of a node have of the members."""

from collections.abc import Iterable

from comfreytray.records import (
    EndpointState,
    MembershipView,
    NodeRecord,
    NodeState,
)

MIN_ALIVE_SHARE = 1 / 3
"""Share of a service's endpoints below which the suspect ones are used as well."""


def build_view(present: Iterable[NodeRecord]) -> MembershipView:
    """Picture the members that are not gone."""
    by_id: dict[str, NodeRecord] = {}
    takers_by_service: dict[str, list[NodeRecord]] = {}
    for record in present:
        by_id[record.node_id] = record
        if _takes_work(record):
            assert record.endpoint is not None
            takers_by_service.setdefault(record.endpoint.service, []).append(record)
    return MembershipView(
        by_id=by_id,
        endpoints_by_service={
            service: _prefer_alive(takers)
            for service, takers in takers_by_service.items()
        },
    )


def _takes_work(record: NodeRecord) -> bool:
    if record.endpoint is None or record.state is NodeState.LEAVING:
        return False
    return record.endpoint.state is not EndpointState.DRAINING


def _prefer_alive(takers: list[NodeRecord]) -> tuple[NodeRecord, ...]:
    alive = [record for record in takers if record.state is NodeState.ALIVE]
    if len(alive) >= MIN_ALIVE_SHARE * len(takers):
        return tuple(alive)
    suspect = [record for record in takers if record.state is not NodeState.ALIVE]
    return (*alive, *suspect)
