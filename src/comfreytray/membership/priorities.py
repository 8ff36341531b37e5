"""Priorities of changes: how soon every member must learn of them."""

import attrs

from comfreytray.common.records import Endpoint, EndpointState, NodeState
from comfreytray.membership.updates import Priority


def priority_of_state(state: NodeState) -> Priority:
    """Return the priority of a change to a member's state."""
    if state in (NodeState.LEAVING, NodeState.LEFT):
        return Priority.LEAVING
    if state is NodeState.ALIVE:
        return Priority.CHANGED
    return Priority.BACKGROUND


def priority_of_endpoint(before: Endpoint | None, after: Endpoint | None) -> Priority:
    """Return the priority of a change to a member's endpoint."""
    if after == before:
        return Priority.BACKGROUND
    if after is None or after.state is EndpointState.DRAINING:
        return Priority.LEAVING
    if before is None:
        return Priority.CHANGED
    if attrs.evolve(after, reported_load=before.reported_load) == before:
        return Priority.BACKGROUND
    return Priority.CHANGED
