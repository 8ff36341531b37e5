"""Retries: only on proof that a call did not run, or for idempotent calls."""

from enum import Enum

from comfreytray.calls.call import Call, Outcome
from comfreytray.common.errors import Kind, Ran
from comfreytray.common.exceptions import invariant

RETRY_SHARE = 0.1
BUDGET_RESERVE = 10.0
MAX_REDIRECTS = 3
MAX_REDIRECTS_WHEN_FULL = 1
"""Where one endpoint has no room, few others have."""
MIN_TIME_LEFT_S = 0.002

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


class Budget:
    """Allow retries as a share of calls."""

    def __init__(self, *, share: float = RETRY_SHARE) -> None:
        self.share = share
        self.tokens = BUDGET_RESERVE

    def earn(self) -> None:
        """Count a call."""
        self.tokens = min(BUDGET_RESERVE, self.tokens + self.share)

    def spend(self) -> bool:
        """Take one retry if the budget has it."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


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
