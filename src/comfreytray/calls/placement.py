"""Weigh a call's expected answer time against the cost of the way to the endpoint.

Endpoints of a service in different data centres differ in speed. If the near one
can't serve a call in time, sending it to a far one is worth its cost; if the near one
can, a far one only adds traffic between regions.
"""

import math

from attrs import frozen

from comfreytray.common.records import NodeRecord

ANSWER_TIME_SPREAD = 0.18
"""Scale of the logistic spread of answer times, as a share of the target."""
SPEED_WEIGHT = 0.02
"""Weight of the answer time itself, to order endpoints all in time or all late."""

ROUND_TRIP_SAME_DATA_CENTRE_S = 0.0005
ROUND_TRIP_SAME_REGION_S = 0.003
ROUND_TRIP_OTHER_REGION_S = 0.06


def guess_round_trip_s(record: NodeRecord, own: NodeRecord) -> float:
    """Return the round trip assumed until a connection has measured the real one."""
    if record.data_centre == own.data_centre:
        return ROUND_TRIP_SAME_DATA_CENTRE_S
    if record.region == own.region:
        return ROUND_TRIP_SAME_REGION_S
    return ROUND_TRIP_OTHER_REGION_S


@frozen(kw_only=True)
class CrossZoneCosts:
    """Costs of calls that leave the data centre; a late answer costs 1."""

    other_data_centre: float = 0.05
    other_region: float = 0.3


class Placement:
    """Computes the cost of a call from its expected answer time and its destination."""

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
        """Return the expected cost of a call, where a late answer costs 1.

        Without a target, the expected time itself is the cost.
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
    """Return the probability of a late answer by expected time over target."""
    exponent = min(50.0, (1.0 - ratio) / ANSWER_TIME_SPREAD)
    return 1.0 / (1.0 + math.exp(exponent))
