"""Reports of nodes on their versions, and what is read out of them."""

import itertools
from enum import Enum

from attrs import frozen

from comfreytray.common.records import NodeRecord, NodeState
from comfreytray.configuration.content import Head
from comfreytray.transport import wire


class Lag(Enum):
    """Name the reasons for which a node does not have a version in force."""

    NOT_HEARD = "not-heard"
    MISSING_BLOBS = "missing-blobs"
    REFUSED = "refused"
    SUSPECT = "suspect"
    UNREACHABLE = "unreachable"


@wire.message(30)
@frozen(kw_only=True)
class Report:
    """Say which version a node holds and has in force."""

    node_id: str
    incarnation: int
    sequence: int
    """Grows with each report, so that a late one is told apart."""
    held: Head | None
    in_force: int
    """Version in force, 0 for none."""
    refusal: str
    """Error kind for which `held` is not in force, empty for none."""
    refusal_detail: str
    wanted: int
    """Newest version heard of and not held, 0 for none."""
    missing: int
    """Blobs of the wanted version known to be missing."""


@frozen(kw_only=True)
class Laggard:
    """Name a node that does not have a version in force, and why."""

    node_id: str
    lag: Lag
    in_force: int
    detail: str


@frozen(kw_only=True)
class RegionStatus:
    """Count where a version stands in one region."""

    region: str
    known: bool
    """False when no collector of the region answered."""
    total: int
    in_force: int
    newest_held: int
    laggards: tuple[Laggard, ...]
    """At most a bounded number of them."""


@wire.message(31)
@frozen(kw_only=True)
class StatusQuestion:
    """Ask a collector where a version stands in its region."""

    query: int
    version: int


@wire.message(32)
@frozen(kw_only=True)
class StatusAnswer:
    """Answer where a version stands in a region."""

    query: int
    region: RegionStatus


@frozen(kw_only=True)
class VersionStatus:
    """Say where a version stands on all nodes."""

    version: int
    by_region: dict[str, RegionStatus]

    @property
    def accepted(self) -> bool:
        """Say whether some node holds the version or a newer one."""
        return any(part.newest_held >= self.version for part in self.by_region.values())

    @property
    def total(self) -> int:
        """Count the nodes that should have it."""
        return sum(part.total for part in self.by_region.values())

    @property
    def in_force(self) -> int:
        """Count the nodes that have it, or a newer one, in force."""
        return sum(part.in_force for part in self.by_region.values())

    @property
    def laggards(self) -> tuple[Laggard, ...]:
        """List the nodes that do not, as far as the answers name them."""
        parts = (part.laggards for part in self.by_region.values())
        return tuple(itertools.chain.from_iterable(parts))


def lag_of(member: NodeRecord, report: Report | None, version: int) -> Laggard | None:
    """Say why a node does not have a version in force, None if it has."""
    if report is not None and report.in_force >= version:
        return None
    lag, detail = Lag.NOT_HEARD, ""
    if member.state is NodeState.SUSPECT:
        lag = Lag.SUSPECT
    elif report is None:
        lag = Lag.UNREACHABLE
    elif report.refusal and report.held is not None and report.held.version >= version:
        lag, detail = Lag.REFUSED, f"{report.refusal} {report.refusal_detail}".strip()
    elif report.wanted >= version:
        lag, detail = Lag.MISSING_BLOBS, str(report.missing)
    in_force = report.in_force if report is not None else 0
    return Laggard(node_id=member.node_id, lag=lag, in_force=in_force, detail=detail)
