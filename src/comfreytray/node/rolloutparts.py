"""Make a node's part in roll-outs, where the options ask for them."""

import random
from collections.abc import Callable

from comfreytray.calls.proxy import CallPath
from comfreytray.common.interfaces import Clock
from comfreytray.common.metrics import Metrics
from comfreytray.common.records import MembershipView, NodeRecord
from comfreytray.rollouts.bounds import RolloutBounds
from comfreytray.rollouts.coordinator import Rollouts
from comfreytray.rollouts.statuswriter import StatusStore


def build_rollouts(
    *,
    bounds: RolloutBounds | None,
    store: StatusStore | None,
    calls: CallPath,
    node: Callable[[], NodeRecord],
    members: Callable[[], MembershipView],
    clock: Clock,
    random: random.Random,
    metrics: Metrics,
    is_cold: Callable[[NodeRecord], bool],
) -> tuple[Rollouts, ...]:
    """Return the node's part in roll-outs, and have it choose among versions."""
    if bounds is None or store is None:
        return ()
    part = Rollouts(
        node=node,
        members=members,
        peers=calls.peers,
        store=store,
        clock=clock,
        random=random,
        metrics=metrics,
        bounds=bounds,
        is_cold=is_cold,
    )
    calls.dispatcher.versions = part.gate
    return (part,)
