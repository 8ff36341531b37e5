"""How old a node's knowledge of the store may be, and when it must ask for itself.

Load pattern: the store stops answering some nodes, or loses the calls that wait there,
while it serves the others. A node that reads for a group does not notice until its call
times out, and its followers have no other sign of it. What a node knows is therefore
dated by the moment for which the store has confirmed it, and passed on with its age.
The first watcher of a group asks so often that the age stays low, the second one asks
when the first has fallen behind, and all others when both have.
"""

import math

from attrs import frozen

TAKEOVER_S = 0.8
"""Time from the limit of a follower's age to the change in force: the check for it, one
call to the store and the transfer of the configuration."""
STANDBY_LEAD_S = 0.5
"""Time by which the second watcher asks before the followers do."""
ANSWER_MARGIN_S = 0.3
"""Time for the answer to a watch that ended, and for its way to the followers."""
TIMEOUT_MARGIN_S = 1.5
"""Time from the end of a lost watch to the next answer: its time-out and one call."""
MIN_LIMIT_S = 0.2
DEFAULT_PROPAGATION_S = 2.5
DEFAULT_RECOVERY_S = 4.0
"""Bounds of a node whose settings name none."""


@frozen(kw_only=True)
class FreshnessLimits:
    """Bounds on the age of what the nodes know, from the bounds on configuration."""

    propagation_s: float
    """Time in which a confirmed change must be in force at nodes that the store serves,
    also while it does not serve others."""
    recovery_s: float
    """Time after a disturbance of the store by which nodes must have caught up."""

    @property
    def follower_s(self) -> float:
        """Return the age at which a follower asks the store itself."""
        return max(MIN_LIMIT_S, self.propagation_s - TAKEOVER_S)

    @property
    def watcher_s(self) -> float:
        """Return the age below which the watchers keep what they tell followers."""
        return max(MIN_LIMIT_S, self.follower_s - STANDBY_LEAD_S)

    @property
    def watch_s(self) -> float:
        """Return the longest wait of a watch on which no other node depends."""
        return max(MIN_LIMIT_S, self.recovery_s - TIMEOUT_MARGIN_S)


@frozen(kw_only=True)
class Standing:
    """What a node's part in its group asks of it."""

    is_shared: bool
    """Whether the node belongs to a group that shares its watchers."""
    watches: bool
    """Whether the node reads the store."""
    is_chosen: bool
    """Whether it is one of the nodes that the group has chosen to read."""


def age_limit_s(limits: FreshnessLimits, standing: Standing) -> float:
    """Return the age from which a node asks the store at once."""
    if not standing.is_shared:
        return math.inf
    return limits.watcher_s if standing.is_chosen else limits.follower_s


def max_wait_s(
    limits: FreshnessLimits,
    standing: Standing,
    *,
    age_s: float,
    told_age_s: float,
) -> float:
    """Return how long the next watch may wait at the store.

    `age_s` is the age of what the node knows, `told_age_s` that of what other nodes
    have confirmed; infinite if there is none.
    """
    if not standing.watches:
        return 0.0
    if not standing.is_shared or told_age_s <= limits.watcher_s:
        return limits.watch_s
    left_s = limits.watcher_s - ANSWER_MARGIN_S - age_s
    return max(0.0, min(limits.watch_s, left_s))
