"""This node's own record, and its answers to what others claim about it."""

import attrs
from attrs import define

from comfreytray.common import logs
from comfreytray.common.errors import Failure, Kind
from comfreytray.common.exceptions import invariant
from comfreytray.common.records import NodeRecord, NodeState
from comfreytray.membership.members import is_gone
from comfreytray.membership.updates import Accusation, Claim

MAX_ID_CONFLICTS = 3
"""Times another address may claim this node's id before it is taken for a twin."""


@define(kw_only=True)
class Identity:
    """Hold the node's own record; its incarnation never goes back."""

    record: NodeRecord
    fault: Failure | None = None
    """Why this node may not be a member, if so."""
    has_lost_id: bool = False
    """Whether another process has this node's id now."""
    _id_conflicts: int = 0

    @property
    def is_gone(self) -> bool:
        """Say whether this node has left."""
        return is_gone(self.record)

    def replace(self, record: NodeRecord) -> None:
        """Take a newer own record."""
        invariant(
            record.incarnation >= self.record.incarnation,
            "a node's own incarnation never goes back",
        )
        self.record = record

    def with_incarnation(self, incarnation: int) -> NodeRecord:
        """Give the own record under another incarnation."""
        return attrs.evolve(self.record, incarnation=incarnation)

    def must_refute(self, claim: Claim) -> bool:
        """Say whether a claim about this node is to be outranked."""
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
        """Give up the id if a twin with a lower address keeps claiming it."""
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
