"""Records of nodes and endpoints, and a node's view of the members."""

from collections.abc import Mapping
from enum import Enum

from attrs import field, frozen

from comfreytray.common.interfaces import Address
from comfreytray.common.outerjson import checked_text

MAX_SLOTS = 65_535
"""Most calls, or connections, that an instance may say it takes at the same time."""
MAX_VERSION_CHARACTERS = 64


class NodeState(Enum):
    """The states of a member, as in the `member` chart."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    LEFT = "left"
    DEAD = "dead"


class EndpointState(Enum):
    """The states that an upstream announces."""

    COLD = "cold"
    READY = "ready"
    DRAINING = "draining"


@frozen(kw_only=True)
class Endpoint:
    """The upstream instance beside a node."""

    service: str
    instance_id: str
    slots: int
    """Calls that the instance takes at the same time."""
    connections: int
    """Connections that the instance takes at the same time."""
    state: EndpointState = EndpointState.READY
    reported_load: float = 0.0
    """Share of capacity in use as the upstream reports it; may be late or wrong."""
    version: str = ""
    """Version of the service's program, as the instance reports it; empty if none."""


def version_text(value: object) -> str:
    """Return a reported version; empty if it is not a text of limited length."""
    try:
        version = checked_text(value)
    except (TypeError, ValueError):
        return ""
    return version if len(version) <= MAX_VERSION_CHARACTERS else ""


@frozen(kw_only=True)
class LocalUpstream:
    """The address of the upstream beside this node, and its announced endpoint."""

    host: str
    port: int
    endpoint: Endpoint


@frozen(kw_only=True)
class Departure:
    """The leaving of an instance that its node has acknowledged."""

    instance_id: str
    before_ms: int
    """It concerns the lifetimes that started before, in ms since the epoch."""


@frozen(kw_only=True)
class NodeRecord:
    """What a node publishes about itself to the other nodes."""

    node_id: str
    incarnation: int
    region: str
    data_centre: str
    host: str
    control_port: int
    """Port for datagrams and control streams."""
    call_port: int
    """Port for call streams."""
    state: NodeState = NodeState.ALIVE
    endpoint: Endpoint | None = None
    endpoint_revision: int = 0
    """Increases with each change of `endpoint` within an incarnation."""
    departure: Departure | None = None
    """The last departure, which the node's next incarnation must know."""
    earlier_departures: tuple[Departure, ...] = ()
    """Departures before the last one, oldest first."""
    revision: int = 0
    """Increases with each change of the record within an incarnation; 0 if the node
    does not number its records."""

    @property
    def departures(self) -> tuple[Departure, ...]:
        """Return all departures that the record names, oldest first."""
        if self.departure is None:
            return self.earlier_departures
        return (*self.earlier_departures, self.departure)

    def precedes(self, other: "NodeRecord") -> bool:
        """Whether the node itself has replaced this record by another one."""
        if self.incarnation != other.incarnation:
            return self.incarnation < other.incarnation
        return self.revision < other.revision

    @property
    def control_address(self) -> Address:
        """The address of the node's control port."""
        return (self.host, self.control_port)

    @property
    def call_address(self) -> Address:
        """The address of the node's call port."""
        return (self.host, self.call_port)


@frozen(kw_only=True)
class ListedRecord:
    """What the last complete list of the members has shown of a node's own record."""

    era: int
    """Era of the list."""
    version: int = 0
    """Version of the stored record; 0 if the list had none."""
    record: NodeRecord | None = None
    """The stored record; None if there was none or it could not be read."""


@frozen(kw_only=True)
class MembershipView:
    """An immutable snapshot of the members, as this node knows them."""

    by_id: Mapping[str, NodeRecord] = field(factory=dict)
    """Alive, suspect and leaving members, this node included."""
    endpoints_by_service: Mapping[str, tuple[NodeRecord, ...]] = field(factory=dict)
    """Nodes whose endpoint takes new work: not leaving, draining or dead."""
