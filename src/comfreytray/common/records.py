"""Typed records of nodes, endpoints and the view that a node has of them."""

from collections.abc import Mapping
from enum import Enum

from attrs import field, frozen

from comfreytray.common.interfaces import Address


class NodeState(Enum):
    """Name the states of a member in the membership chart."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    LEFT = "left"
    DEAD = "dead"


class EndpointState(Enum):
    """Name the states of an upstream as it announces itself."""

    COLD = "cold"
    READY = "ready"
    DRAINING = "draining"


@frozen(kw_only=True)
class Endpoint:
    """Describe the upstream instance beside a node."""

    service: str
    instance_id: str
    slots: int
    connections: int
    state: EndpointState = EndpointState.READY
    reported_load: float = 0.0
    """Share of capacity in use as the upstream reports it; lags and misleads."""


@frozen(kw_only=True)
class LocalUpstream:
    """Hold where the upstream beside this node takes calls, and what it said."""

    host: str
    port: int
    endpoint: Endpoint


@frozen(kw_only=True)
class NodeRecord:
    """Describe a node to the other nodes."""

    node_id: str
    incarnation: int
    region: str
    data_centre: str
    host: str
    control_port: int
    """Port of datagrams and control streams."""
    call_port: int
    """Port of call streams."""
    state: NodeState = NodeState.ALIVE
    endpoint: Endpoint | None = None
    endpoint_revision: int = 0
    """Grows with each change of `endpoint` within an incarnation."""

    @property
    def control_address(self) -> Address:
        """Give the address of the node's control port."""
        return (self.host, self.control_port)

    @property
    def call_address(self) -> Address:
        """Give the address of the node's call port."""
        return (self.host, self.call_port)


@frozen(kw_only=True)
class MembershipView:
    """Hold one immutable picture of the members."""

    by_id: Mapping[str, NodeRecord] = field(factory=dict)
    """Alive, suspect and leaving members, this node included."""
    endpoints_by_service: Mapping[str, tuple[NodeRecord, ...]] = field(factory=dict)
    """Nodes whose endpoint takes new work: not leaving, draining or dead."""
