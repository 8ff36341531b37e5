"""The bounds that a roll-out keeps to."""

from attrs import frozen

DEFAULT_EXPOSURE_SHARE = 0.1
DEFAULT_EXPOSURE_SLACK = 50.0
DEFAULT_ROLLBACK_S = 5.0
MAX_GRANT_S = 2.0
GRANT_ROLLBACK_FRACTION = 0.4
"""Part of the time for a roll-back in which a node without the decider may go on."""


@frozen(kw_only=True)
class RolloutBounds:
    """Limit the calls that a bad version gets, over all nodes together."""

    exposure_share: float = DEFAULT_EXPOSURE_SHARE
    """Share of a service's calls, from the order to its time limit."""
    exposure_slack: float = DEFAULT_EXPOSURE_SLACK
    """Calls beyond that share."""
    rollback_s: float = DEFAULT_ROLLBACK_S
    """Time from the 50th bad answer to the last call of the version."""

    @property
    def grant_s(self) -> float:
        """Return the seconds for which a node acts on what the decider told it."""
        return min(MAX_GRANT_S, self.rollback_s * GRANT_ROLLBACK_FRACTION)
