"""The newest answer of a coordinator that a node follows."""

import math

from attrs import define, field

from comfreytray.common.interfaces import Clock
from comfreytray.customers.quotamessages import Lease

MAX_CLOCK_LEAD_S = 1.0
"""Lead of the wall clock over the monotonic clock, since the last answer, from which
the machine counts as having been suspended and the answer as no longer valid."""


@define(kw_only=True)
class AdoptedAnswer:
    """An answer and the time until which it holds."""

    coordinator: str = ""
    number: int = 0
    valid_until: float = -math.inf
    clock_lead_s: float = 0.0
    """Wall clock less monotonic clock when the answer arrived."""
    lease_by_customer: dict[str, Lease] = field(factory=dict)

    def is_valid(self, clock: Clock) -> bool:
        """Whether the answer still holds."""
        now = clock.monotonic()
        if now >= self.valid_until:
            return False
        return clock.wall() - now - self.clock_lead_s <= MAX_CLOCK_LEAD_S
