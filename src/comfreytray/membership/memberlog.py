"""Logs and counters of changes in the state of members."""

from comfreytray.common import logs
from comfreytray.common.metrics import Metrics
from comfreytray.common.records import NodeRecord, NodeState
from comfreytray.membership.members import is_gone

_EVENT_BY_STATE = {
    NodeState.SUSPECT: logs.Event.MEMBER_SUSPECTED,
    NodeState.DEAD: logs.Event.MEMBER_DEAD,
    NodeState.LEFT: logs.Event.MEMBER_LEFT,
}


def log_change(held: NodeRecord | None, merged: NodeRecord, metrics: Metrics) -> None:
    """Log and count a member's new state; `held` is its previous record, if any."""
    event = _EVENT_BY_STATE.get(merged.state)
    if merged.state is NodeState.ALIVE:
        joined = held is None or is_gone(held)
        event = logs.Event.MEMBER_JOINED if joined else logs.Event.MEMBER_REFUTED
    if event is None:
        return
    metrics.count(f"membership.{event.value}")
    logs.log(event, node=merged.node_id, incarnation=merged.incarnation)
