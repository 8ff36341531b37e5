"""Nodes' reports on their versions, and the status derived from them."""

import itertools
from enum import Enum

from attrs import frozen

from comfreytray.common.records import NodeRecord, NodeState
from comfreytray.configuration.content import Head
from comfreytray.transport import wire


class Lag(Enum):
    """Reason for which a node does not have a version in force."""

    NOT_HEARD = "not-heard"
    MISSING_BLOBS = "missing-blobs"
    REFUSED = "refused"
    SUSPECT = "suspect"
    UNREACHABLE = "unreachable"


@wire.message(30)
@frozen(kw_only=True)
class Report:
    """Tell which version a node holds and which is in force on it."""

    node_id: str
    incarnation: int
    sequence: int
    """Grows with each report, so that a late one is recognized and ignored."""
    held: Head | None
    in_force: int
    """Version in force, 0 for none."""
    refusal: str
    """Error kind for which `held` is not in force, empty for none."""
    refusal_detail: str
    wanted: int
    """Newest version that the node fetches, 0 for none."""
    missing: int
    """Number of blobs of the wanted version known to be missing."""


@frozen(kw_only=True)
class Laggard:
    """A node that does not have a version in force, and the reason."""

    node_id: str
    lag: Lag
    in_force: int
    detail: str


@frozen(kw_only=True)
class RegionStatus:
    """Status of a version in one region."""

    region: str
    known: bool
    """False when no collector of the region answered."""
    total: int
    """Number of nodes that should have the version."""
    in_force: int
    """Number of nodes that have it, or a newer one, in force."""
    newest_held: int
    """Newest version that some node holds, 0 for none."""
    laggards: tuple[Laggard, ...]
    """Nodes that do not have it in force; not all of them if there are many."""


@wire.message(31)
@frozen(kw_only=True)
class StatusQuestion:
    """Ask a collector for the status of a version in its region."""

    query: int
    version: int


@wire.message(32)
@frozen(kw_only=True)
class StatusAnswer:
    """Answer with the status of a version in the collector's region."""

    query: int
    region: RegionStatus


@frozen(kw_only=True)
class VersionStatus:
    """Status of a version on all nodes."""

    version: int
    by_region: dict[str, RegionStatus]

    @property
    def accepted(self) -> bool:
        """Whether some node holds the version or a newer one."""
        return any(part.newest_held >= self.version for part in self.by_region.values())

    @property
    def total(self) -> int:
        """Number of nodes that should have it."""
        return sum(part.total for part in self.by_region.values())

    @property
    def in_force(self) -> int:
        """Number of nodes that have it, or a newer one, in force."""
        return sum(part.in_force for part in self.by_region.values())

    @property
    def laggards(self) -> tuple[Laggard, ...]:
        """Nodes that do not have it in force, as far as the answers name them."""
        parts = (part.laggards for part in self.by_region.values())
        return tuple(itertools.chain.from_iterable(parts))


def lag_of(member: NodeRecord, report: Report | None, version: int) -> Laggard | None:
    """Return why a node does not have a version in force, None if it has."""
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
