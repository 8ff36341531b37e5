"""This node's own record, and the rules for refuting claims about it."""

import attrs
from attrs import define

from comfreytray.common import logs
from comfreytray.common.errors import Failure, Kind
from comfreytray.common.exceptions import invariant
from comfreytray.common.records import NodeRecord, NodeState
from comfreytray.membership.members import is_gone
from comfreytray.membership.updates import Accusation, Claim

MAX_ID_CONFLICTS = 3
"""Claims of this node's id by another address that count as a duplicate node."""


@define(kw_only=True)
class Identity:
    """Hold the node's own record; its incarnation never decreases."""

    record: NodeRecord
    fault: Failure | None = None
    """Why this node may not be a member, None if it may."""
    has_lost_id: bool = False
    """Whether another process now owns this node's id."""
    _id_conflicts: int = 0

    @property
    def is_gone(self) -> bool:
        """Whether this node has left."""
        return is_gone(self.record)

    def replace(self, record: NodeRecord) -> None:
        """Replace the own record by a newer one."""
        invariant(
            record.incarnation >= self.record.incarnation,
            "a node's own incarnation never decreases",
        )
        self.record = record

    def with_incarnation(self, incarnation: int) -> NodeRecord:
        """Return a copy of the own record with another incarnation."""
        return attrs.evolve(self.record, incarnation=incarnation)

    def must_refute(self, claim: Claim) -> bool:
        """Whether a claim about this node must be refuted by a higher incarnation."""
        if self.is_gone or claim.incarnation < self.record.incarnation:
            return False
        if isinstance(claim, NodeRecord):
            self._record_id_conflict(claim)
        return not self._matches_own_record(claim)

    def _matches_own_record(self, claim: Claim) -> bool:
        if claim.incarnation != self.record.incarnation:
            return False
        if claim.state not in (NodeState.ALIVE, self.record.state):
            return False
        if isinstance(claim, Accusation):
            return True
        return claim.endpoint_revision <= self.record.endpoint_revision

    def _record_id_conflict(self, claim: NodeRecord) -> None:
        """Give up the id if a node with a lower address keeps claiming it."""
        if is_gone(claim) or claim.control_address == self.record.control_address:
            return
        self._id_conflicts += 1
        if self.record.state is NodeState.LEAVING:
            self.has_lost_id = True
        if self._id_conflicts < MAX_ID_CONFLICTS or self.fault is not None:
            return
        if claim.control_address < self.record.control_address:
            self.has_lost_id = True
            self.fault = Failure(
                kind=Kind.CONFLICT,
                detail=f"node id {claim.node_id} is in use at {claim.host}",
            )
            logs.warn(logs.Event.FRAME_REFUSED, reason="twin", node=claim.node_id)
