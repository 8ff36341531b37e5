"""The rollout status of a version, as reported to operators in their language."""

from attrs import frozen

from comfreytray.common import messages
from comfreytray.common.records import MembershipView
from comfreytray.configuration.snapshots import Route, Snapshot
from comfreytray.distribution.statusreports import Laggard, VersionStatus


@frozen(kw_only=True)
class LaggingNode:
    """A node that does not have a version in force, and why."""

    node_id: str
    reason: str
    in_force: int
    message: str


@frozen(kw_only=True)
class UnreachableRoute:
    """A route whose service has no announced endpoint."""

    customer: str
    route: str
    service: str
    message: str


@frozen(kw_only=True)
class StatusReply:
    """The rollout status of a version, with messages in the operator's language."""

    version: int
    accepted: bool
    complete: bool
    """Whether the version is accepted and in force on all nodes."""
    in_force: int
    """Number of nodes on which the version, or a newer one, is in force."""
    total: int
    """Number of nodes that should have the version in force."""
    lagging: tuple[LaggingNode, ...]
    unreachable_routes: tuple[UnreachableRoute, ...]


def build_status_reply(
    status: VersionStatus,
    *,
    snapshot: Snapshot | None,
    view: MembershipView,
    language: str,
) -> StatusReply:
    """Build the reply for a status, with the routes that no endpoint serves."""
    return StatusReply(
        version=status.version,
        accepted=status.accepted,
        complete=status.in_force == status.total and status.accepted,
        in_force=status.in_force,
        total=status.total,
        lagging=tuple(_lagging_node(one, language) for one in status.laggards),
        unreachable_routes=_unreachable_routes(snapshot, view, language),
    )


def _unreachable_routes(
    snapshot: Snapshot | None, view: MembershipView, language: str
) -> tuple[UnreachableRoute, ...]:
    if snapshot is None:
        return ()
    return tuple(
        _unreachable_route(route, language)
        for routes in snapshot.routes_by_customer.values()
        for route in routes
        if not view.endpoints_by_service.get(route.service)
    )


def _lagging_node(laggard: Laggard, language: str) -> LaggingNode:
    message = messages.text(
        f"lag.{laggard.lag.value}",
        language=language,
        detail=laggard.detail,
        in_force=str(laggard.in_force),
    )
    return LaggingNode(
        node_id=laggard.node_id,
        reason=laggard.lag.value,
        in_force=laggard.in_force,
        message=message,
    )


def _unreachable_route(route: Route, language: str) -> UnreachableRoute:
    message = messages.text(
        "route.no-endpoint",
        language=language,
        customer=route.customer,
        route=route.name,
        service=route.service,
    )
    return UnreachableRoute(
        customer=route.customer,
        route=route.name,
        service=route.service,
        message=message,
    )
