"""The share of calls that the new version gets, within the bound on its calls.

What may still be sent is what the bound allows for the calls counted so far, less the
calls that the version got. No more than that may be sent while grants last, so that the
bound holds even if the decider ends at any moment.
"""

from collections.abc import Mapping

from attrs import field, frozen

from comfreytray.rollouts.bounds import RolloutBounds

BOUND_FRACTION = 0.8
"""Part of the bound that is used: what dead nodes sent is no longer known, and shares
are met on average only."""
LEVELS = (0.05, 0.1, 0.2, 0.35, 0.5)
"""Greatest shares, step by step."""
MIN_CALLS_PER_S = 4.0
"""Calls a second that the version may get at any level, as a service with few calls
would else be judged too late."""
FIRST_SHARE = 0.02
"""Share while the rate of calls is not known."""
SUSPICIOUS_SHARE = 0.1
"""Greatest share while the version may be bad; some calls must go on, to decide it."""
LEVEL_S = 1.0
"""Least time at a level."""
SLOW_LEVEL_S = 1.6
"""Time at a level after which few answers are enough to go on."""
MIN_LEVEL_ANSWERS = 8


@frozen(kw_only=True)
class Shares:
    """Shares of calls by route."""

    share: float = 0.0
    """Share of calls of routes without one of their own."""
    share_by_kind: Mapping[str, float] = field(factory=dict)
    total: float = 0.0
    """Share of all calls of the service."""


class Exposure:
    """Plans the shares of one order."""

    def __init__(self, *, bounds: RolloutBounds, began_at: float) -> None:
        self._bounds = bounds
        self._level = 0
        self._level_since = began_at
        self._answers_then = 0

    @property
    def level(self) -> float:
        """Return the greatest share at present."""
        return LEVELS[self._level]

    def advance(self, *, now: float, answers: int, is_suspicious: bool) -> bool:
        """Go to the next level if the evidence allows it; return whether it did."""
        if is_suspicious or self._level + 1 == len(LEVELS):
            return False
        more, at_level_s = answers - self._answers_then, now - self._level_since
        enough = at_level_s >= LEVEL_S and more >= MIN_LEVEL_ANSWERS
        if not enough and not (at_level_s >= SLOW_LEVEL_S and more > 0):
            return False
        self._level += 1
        self._level_since, self._answers_then = now, answers
        return True

    def allowance(self, *, offered: int, sent: int, known_fraction: float) -> float:
        """Return the calls that the version may still get.

        `known_fraction` is the part of the nodes whose calls are counted here; only as
        much of the slack is used, as a decider beyond a partition may use the rest.
        """
        bound = self._bounds.exposure_share * offered
        bound += self._bounds.exposure_slack * min(1.0, known_fraction)
        return max(0.0, BOUND_FRACTION * bound - sent)

    def plan(
        self,
        *,
        allowance: float,
        rate_by_kind: Mapping[str, float],
        is_suspicious: bool,
    ) -> Shares:
        """Spread the allowance over the routes, as evenly as their rates permit."""
        highest = min(self.level, SUSPICIOUS_SHARE) if is_suspicious else self.level
        per_s = allowance / self._bounds.grant_s
        total_rate = sum(rate_by_kind.values())
        if not total_rate:
            share = min(FIRST_SHARE, highest) if allowance >= 1.0 else 0.0
            return Shares(share=share, total=share)
        share_by_kind: dict[str, float] = {}
        at_least = min(MIN_CALLS_PER_S, LEVELS[-1] * total_rate)
        left = per_s = min(per_s, max(at_least, highest * total_rate))
        rates = sorted(rate_by_kind.items(), key=lambda item: item[1])
        for number, (kind, rate) in enumerate(rates):
            part = left / (len(rates) - number)
            spent = min(part, LEVELS[-1] * rate)
            share_by_kind[kind] = spent / rate if rate else 0.0
            left -= spent
        total = (per_s - left) / total_rate
        return Shares(share=total, share_by_kind=share_by_kind, total=total)
