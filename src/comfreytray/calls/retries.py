"""Retries: only of calls that are proved not to have run, or that are idempotent."""

import math
from collections.abc import Callable
from enum import Enum

from attrs import frozen

from comfreytray.calls.call import Call, Outcome
from comfreytray.common.errors import Kind, Ran
from comfreytray.common.exceptions import invariant
from comfreytray.common.interfaces import Clock

NODE_RATIO_FRACTION = 0.125
"""Fraction of a shared retry ratio that the nodes use. A retried call repeats the
calls that it makes itself, which count as retries at services that may have far fewer
calls."""
NODE_SLACK_FRACTION = 0.5
"""Fraction of a shared retry slack that the nodes may use at once; the rest is for
repeated nested calls, too."""
REFUSED_RATIO_FRACTION = 0.3
REFUSED_SLACK_FRACTION = 0.25
"""The same for retries of calls that upstreams refused without running them, which
repeat no nested calls. One window may spend saved tokens and those earned in it, up to
twice this fraction."""
MAX_SERVICES = 256
"""Services whose budgets are kept."""
MAX_REDIRECTS = 3
MAX_REDIRECTS_WHEN_OVERLOADED = 1
"""Where one endpoint is overloaded, few others have room."""
MIN_TIME_LEFT_S = 0.002
"""Least time before the deadline at which a further attempt is made."""

FAILED_STATUSES = frozenset({500, 502, 503})
"""Statuses of an upstream that failed; the call may succeed at another one."""

_MOVED = frozenset({Kind.LEAVING, Kind.WRONG_NODE})
"""Failures of endpoints that are no longer there."""
_ELSEWHERE = frozenset(
    {
        Kind.CONNECT_FAILED,
        Kind.NODE_UNREACHABLE,
        Kind.OVERLOADED,
        Kind.LOST_AFTER_SEND,
        Kind.INSTANCE_ENDED,
        Kind.ANSWER_CUT,
    }
)


class Decision(Enum):
    """What follows a failed attempt."""

    GIVE_UP = "give-up"
    REDIRECT = "redirect"
    """Try another endpoint outside the budget: the refusal used no capacity."""
    RETRY = "retry"
    """Try another endpoint and spend a token of the budget."""


@frozen(kw_only=True)
class RetryLimits:
    """Limits of the retries of one node."""

    share: float
    """Retry tokens that each call earns."""
    reserve: float
    """Retry tokens that may be saved up beyond those that recent calls earned."""
    window_s: float = 10.0
    """Time constant, in seconds, with which the count of recent calls decays."""

    @classmethod
    def for_node(
        cls, *, ratio: float, slack: float, nodes: int, window_s: float = 10.0
    ) -> "RetryLimits":
        """Return one node's part of a budget that nodes share without coordination.

        The budget allows `ratio` of a service's calls, plus `slack` in each window.
        """
        return cls(
            share=ratio * NODE_RATIO_FRACTION,
            reserve=max(1.0, slack * NODE_SLACK_FRACTION / max(1, nodes)),
            window_s=window_s,
        )

    @classmethod
    def for_refused(
        cls, *, ratio: float, slack: float, nodes: int, window_s: float = 10.0
    ) -> "RetryLimits":
        """Return one node's part of the budget for calls that were refused unrun."""
        return cls(
            share=ratio * REFUSED_RATIO_FRACTION,
            reserve=slack * REFUSED_SLACK_FRACTION / max(1, nodes),
            window_s=window_s,
        )


DEFAULT_RETRY_LIMITS = RetryLimits(share=0.1, reserve=10.0)
"""Limits of a node that has no shared budget."""


class RetryBudget:
    """Token bucket that limits retries to a share of calls.

    When an upstream, or a whole service, fails for seconds, the saved tokens allow the
    first failures to be retried at once. After that, retries stay a share of the calls,
    however many of them fail.
    """

    def __init__(self, *, clock: Clock, limits: Callable[[], RetryLimits]) -> None:
        self._clock = clock
        self._limits = limits
        self._recent_calls = 0.0
        self._counted_at = clock.monotonic()
        self._tokens = limits().reserve

    @property
    def tokens(self) -> float:
        """Return the retries that may be made now."""
        limits = self._limits()
        limit = limits.reserve + limits.share * self._recent(limits)
        return min(limit, self._tokens)

    def earn(self) -> None:
        """Count a call and add the tokens that it earns."""
        limits = self._limits()
        self._recent_calls = self._recent(limits) + 1.0
        self._counted_at = self._clock.monotonic()
        self._tokens = self.tokens + limits.share

    def spend(self) -> bool:
        """Take a token for one retry; return whether there was one."""
        tokens = self.tokens
        if tokens < 1.0:
            return False
        self._tokens = tokens - 1.0
        return True

    def _recent(self, limits: RetryLimits) -> float:
        """Return the decayed count of recent calls."""
        passed_s = self._clock.monotonic() - self._counted_at
        return self._recent_calls * math.exp(-passed_s / limits.window_s)


class RetryBudgets:
    """The budget of all retries, and where it is set one of refused calls alone.

    Load pattern: the instances of a service refuse half of their calls at random. One
    more try serves most of them, and repeats no work as the first one did not run.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        limits: Callable[[], RetryLimits],
        refused_limits: Callable[[], RetryLimits | None],
    ) -> None:
        self.common = RetryBudget(clock=clock, limits=limits)
        self._clock = clock
        self._limits = limits
        self._refused_limits = refused_limits
        self._refused_by_service: dict[str, RetryBudget] = {}

    def earn(self, service: str) -> None:
        """Count a call to a service."""
        self.common.earn()
        if self._refused_limits() is not None:
            self._refused(service).earn()

    def after(self, outcome: Outcome, service: str) -> RetryBudget:
        """Return the budget that a retry after an outcome spends from."""
        if outcome.ran is Ran.NO and self._refused_limits() is not None:
            return self._refused(service)
        return self.common

    def _refused(self, service: str) -> RetryBudget:
        """Return the budget of a service; each limits the retries of its own calls."""
        budgets = self._refused_by_service
        if service not in budgets:
            if len(budgets) >= MAX_SERVICES:
                budgets.clear()
            budgets[service] = RetryBudget(
                clock=self._clock,
                limits=lambda: self._refused_limits() or self._limits(),
            )
        return budgets[service]


def decide_retry(
    call: Call,
    outcome: Outcome,
    *,
    redirects: int,
    sent: int,
    time_left_s: float,
    budget: RetryBudget,
) -> Decision:
    """Decide whether a failed attempt is followed by one at another endpoint."""
    kind = outcome.failure.kind
    if call.upload is not None and (outcome.sent or call.upload.started):
        # What was taken of the body is gone.
        return Decision.GIVE_UP
    if call.max_attempts and sent >= call.max_attempts:
        return Decision.GIVE_UP
    if time_left_s < MIN_TIME_LEFT_S:
        return Decision.GIVE_UP
    proved_not_run = outcome.ran is Ran.NO
    if not proved_not_run and not call.idempotent:
        return Decision.GIVE_UP
    if proved_not_run and kind in _MOVED and redirects < MAX_REDIRECTS:
        return Decision.REDIRECT
    if proved_not_run and not outcome.sent and kind in _ELSEWHERE:
        overloaded = kind is Kind.OVERLOADED
        limit = MAX_REDIRECTS_WHEN_OVERLOADED if overloaded else MAX_REDIRECTS
        return Decision.REDIRECT if redirects < limit else Decision.GIVE_UP
    if kind not in _ELSEWHERE or call.retried or not budget.spend():
        return Decision.GIVE_UP
    invariant(
        proved_not_run or call.idempotent,
        "what may have run is retried only if idempotent",
    )
    return Decision.RETRY


def may_retry_answer(
    call: Call,
    status: int,
    *,
    sent: int,
    took_s: float,
    time_left_s: float,
    budget: RetryBudget,
) -> bool:
    """Whether to retry a call that its upstream answered with a failure status.

    An endpoint may fail part of its calls while its health check passes. A retry that
    could not end in time would only add load.
    """
    if status not in FAILED_STATUSES or not call.idempotent or call.retried:
        return False
    if call.upload is not None:
        return False
    if call.max_attempts and sent >= call.max_attempts:
        return False
    return time_left_s > max(MIN_TIME_LEFT_S, took_s) and budget.spend()
