"""Retries: only on proof that a call did not run, or for idempotent calls."""

import math
from collections.abc import Callable
from enum import Enum

from attrs import frozen

from comfreytray.calls.call import Call, Outcome
from comfreytray.common.errors import Kind, Ran
from comfreytray.common.exceptions import invariant
from comfreytray.common.interfaces import Clock

RATIO_PART = 0.125
"""Of a shared ratio, what the nodes use: a repeated call makes its own calls again, and
those count as repeats at services that may have far fewer calls."""
SLACK_PART = 0.5
"""Of a shared slack, what the nodes use at once; the rest is for those calls, too."""
MAX_REDIRECTS = 3
MAX_REDIRECTS_WHEN_FULL = 1
"""Where one endpoint has no room, few others have."""
MIN_TIME_LEFT_S = 0.002

FAILED_STATUSES = frozenset({500, 502, 503})
"""Answers by which an upstream says that it failed; elsewhere the call may succeed."""

_MOVED = frozenset({Kind.LEAVING, Kind.WRONG_NODE})
_ELSEWHERE = frozenset(
    {
        Kind.CONNECT_FAILED,
        Kind.NODE_UNREACHABLE,
        Kind.OVERLOADED,
        Kind.LOST_AFTER_SEND,
        Kind.ANSWER_CUT,
    }
)


class Decision(Enum):
    """Say what follows a failed attempt."""

    GIVE_UP = "give-up"
    REDIRECT = "redirect"
    """Try another endpoint at no cost: the refusal cost the upstream nothing."""
    RETRY = "retry"
    """Try another endpoint and spend from the budget."""


@frozen(kw_only=True)
class RetryLimits:
    """Bound the retries of one node."""

    share: float
    """Retries that each call earns."""
    reserve: float
    """Retries that may be saved up, besides those that recent calls earned."""
    window_s: float = 10.0
    """Time for which what a call earned is kept."""

    @classmethod
    def for_node(
        cls, *, ratio: float, slack: float, nodes: int, window_s: float = 10.0
    ) -> "RetryLimits":
        """Take one node's part of a budget that all nodes share without talking.

        `ratio` is of the calls of a service, `slack` comes on top in each window.
        """
        return cls(
            share=ratio * RATIO_PART,
            reserve=max(1.0, slack * SLACK_PART / max(1, nodes)),
            window_s=window_s,
        )


DEFAULT_RETRY_LIMITS = RetryLimits(share=0.1, reserve=10.0)
"""What a node of a mesh of its own allows itself."""


class Budget:
    """Allow retries as a share of calls.

    Pattern: an upstream, or all of a service, fails for seconds. What was saved up in
    the calm repeats the first failures at once; after that repeats are a share of the
    calls, however many of them fail.
    """

    def __init__(self, *, clock: Clock, limits: Callable[[], RetryLimits]) -> None:
        self._clock = clock
        self._limits = limits
        self._recent_calls = 0.0
        self._counted_at = clock.monotonic()
        self._saved = limits().reserve

    @property
    def tokens(self) -> float:
        """Give the retries that may be made now."""
        limits = self._limits()
        most = limits.reserve + limits.share * self._recent(limits)
        return min(most, self._saved)

    def earn(self) -> None:
        """Count a call."""
        limits = self._limits()
        self._recent_calls = self._recent(limits) + 1.0
        self._counted_at = self._clock.monotonic()
        self._saved = self.tokens + limits.share

    def spend(self) -> bool:
        """Take one retry if the budget has it."""
        tokens = self.tokens
        if tokens < 1.0:
            return False
        self._saved = tokens - 1.0
        return True

    def _recent(self, limits: RetryLimits) -> float:
        """Count the calls of about one window."""
        passed_s = self._clock.monotonic() - self._counted_at
        return self._recent_calls * math.exp(-passed_s / limits.window_s)


def decide(
    call: Call,
    outcome: Outcome,
    *,
    redirects: int,
    sent: int,
    time_left_s: float,
    budget: Budget,
) -> Decision:
    """Say whether a failed attempt may be made again at another endpoint."""
    kind = outcome.failure.kind
    if call.max_attempts and sent >= call.max_attempts:
        return Decision.GIVE_UP
    if time_left_s < MIN_TIME_LEFT_S:
        return Decision.GIVE_UP
    proved = outcome.ran is Ran.NO
    if not proved and not call.idempotent:
        return Decision.GIVE_UP
    if proved and kind in _MOVED and redirects < MAX_REDIRECTS:
        return Decision.REDIRECT
    if proved and not outcome.sent and kind in _ELSEWHERE:
        full = kind is Kind.OVERLOADED
        most = MAX_REDIRECTS_WHEN_FULL if full else MAX_REDIRECTS
        return Decision.REDIRECT if redirects < most else Decision.GIVE_UP
    if kind not in _ELSEWHERE or call.retried or not budget.spend():
        return Decision.GIVE_UP
    invariant(
        proved or call.idempotent, "what may have run is retried only if idempotent"
    )
    return Decision.RETRY


def may_repeat(
    call: Call,
    status: int,
    *,
    sent: int,
    took_s: float,
    time_left_s: float,
    budget: Budget,
) -> bool:
    """Say whether a call that its upstream answered with a failure is made again.

    Pattern: one endpoint fails part of its calls while its health says fine. A repeat
    that could not end in time would only add to the load.
    """
    if status not in FAILED_STATUSES or not call.idempotent or call.retried:
        return False
    if call.max_attempts and sent >= call.max_attempts:
        return False
    return time_left_s > max(MIN_TIME_LEFT_S, took_s) and budget.spend()
