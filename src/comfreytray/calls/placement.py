"""Weigh when a call would be answered against what the way to the endpoint costs.

Pattern: a service has an endpoint in each data centre, of different speed. Under a
load that the near one can't serve in time, a far one earns the call's worth; under a
load that it can, the far one only costs bytes between regions.
"""

import math

from attrs import frozen

ANSWER_TIME_SPREAD = 0.18
"""Spread of answer times around the expected one, as a share of the target."""
SPEED_WEIGHT = 0.02
"""Weight of plain speed among endpoints that are all early or all late."""


@frozen(kw_only=True)
class CrossZoneCosts:
    """Say what a call that leaves a place costs, in parts of a late answer's loss."""

    other_data_centre: float = 0.05
    other_region: float = 0.3


class Placement:
    """Turn an expected answer time and a way into one cost."""

    def __init__(self, *, costs: CrossZoneCosts) -> None:
        self.costs = costs

    def cost(
        self,
        *,
        expected_s: float,
        target_s: float,
        same_data_centre: bool,
        same_region: bool,
    ) -> float:
        """Give the expected loss of a call, 1 being that of a late answer.

        Without a target the expected time itself is the cost.
        """
        if target_s <= 0:
            return expected_s
        ratio = expected_s / target_s
        return (
            _late_likelihood(ratio)
            + SPEED_WEIGHT * ratio
            + self._network_cost(same_data_centre, same_region)
        )

    def _network_cost(self, same_data_centre: bool, same_region: bool) -> float:
        if same_data_centre:
            return 0.0
        return self.costs.other_data_centre if same_region else self.costs.other_region


def _late_likelihood(ratio: float) -> float:
    """Give the likelihood that an answer is late, by its expected share of the time."""
    exponent = min(50.0, (1.0 - ratio) / ANSWER_TIME_SPREAD)
    return 1.0 / (1.0 + math.exp(exponent))
