"""The identity, the addresses and the limits of a node."""

import math

from attrs import field, frozen

from comfreytray.common.interfaces import Address
from comfreytray.customers.quotaterms import QuotaBounds
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
    link_bytes_per_s: float = field(default=math.inf, kw_only=True)
    """Speed of the machine's link; infinite if it is not known."""
    memory_bytes: float = field(default=math.inf, kw_only=True)
    """Memory of the process; infinite if it is not known."""
    max_fds: float = field(default=math.inf, kw_only=True)
    """Descriptors that the process may have; infinite if they are not limited."""
    heartbeat_s: float
    grace_s: float
    """Time between the signal to stop and the forced end of the process."""
    retries: RetryBudget
    freshness: FreshnessLimits
    """How old the node's configuration may be."""
    is_first_start: bool = False
    """Whether the whole system starts for the first time."""
    quotas: QuotaBounds = field(factory=QuotaBounds)
    """How far the calls of a customer may exceed its quota."""
    rollouts: RolloutBounds | None = None
    """Bounds of roll-outs; None where there are none."""
