"""The identity, the addresses and the limits of a node."""

from attrs import frozen

from comfreytray.common.interfaces import Address
from comfreytray.replication.freshness import FreshnessLimits
from comfreytray.rollouts.bounds import RolloutBounds


@frozen(kw_only=True)
class RetryBudget:
    """Limit the retries that all nodes make together."""

    ratio: float
    """Retries allowed for each call of a service, in any window."""
    slack: float
    """Retries of a service allowed beyond the ratio, in any window."""
    window_s: float


@frozen(kw_only=True)
class NodeOptions:
    """Hold the identity, the addresses and the limits of a node."""

    node_id: str
    service: str
    """Service of the instance beside the node."""
    region: str
    data_centre: str
    host: str
    upstream: Address
    """Where the instance beside the node serves."""
    call_port: int
    """Port for the call streams of other nodes."""
    replication_port: int
    """Port where other nodes follow what this node reads from the store."""
    http_address: Address
    """Where callers connect."""
    capacity: int
    """Processor share of the machine, in percent of a core."""
    heartbeat_s: float
    grace_s: float
    """Time between the signal to stop and the forced end of the process."""
    retries: RetryBudget
    freshness: FreshnessLimits
    """How old the node's configuration may be."""
    rollouts: RolloutBounds | None = None
    """Bounds of roll-outs; None where there are none."""
