"""Send a call to endpoints until one answers or no further attempt is allowed."""

from collections.abc import Callable, Iterator

import eventlet
from attrs import define, field

from comfreytray.calls.call import Call, HeaderLookup, Outcome, Reply, combine_ran
from comfreytray.calls.connections import StreamClient
from comfreytray.calls.dialect import NATIVE, Dialect
from comfreytray.calls.endpoints import EndpointView
from comfreytray.calls.fingerprints import fingerprint_of
from comfreytray.calls.guard import Guard, refuse
from comfreytray.calls.owner import Owner
from comfreytray.calls.quarantine import Verdict
from comfreytray.calls.retries import (
    FAILED_STATUSES,
    MIN_TIME_LEFT_S,
    Decision,
    RetryBudgets,
    RetryLimits,
    decide_retry,
    may_retry_answer,
)
from comfreytray.calls.routing import Router
from comfreytray.calls.versions import NoVersionRules, VersionRules
from comfreytray.common.errors import Failure, Kind, Ran
from comfreytray.common.interfaces import Clock
from comfreytray.common.metrics import Metrics
from comfreytray.common.records import NodeRecord

MS_PER_S = 1000
NEWS_DELAY_S = 0.05
"""Delay of a retry after the end of an instance, of which all nodes then know."""


@define(kw_only=True, eq=False)
class _Attempts:
    """The state of the attempts at one call."""

    excluded: list[str] = field(factory=list)
    """Ids of the nodes that were tried."""
    is_repeat: bool = False
    """Whether an endpoint was chosen before; only the first choice may be a version
    under roll-out."""
    redirects: int = 0
    sent: int = 0
    """Attempts that reached, or may have reached, an upstream."""
    is_suspect: bool = False
    """Whether an instance has ended while the call was under way at it."""
    is_isolated: bool = False
    """Whether the current attempt is made in isolation."""
    ran_isolated: bool = False
    """Whether it ran, or may have run, in isolation."""
    ran: Ran = Ran.NO
    """Whether the call ran in any of the attempts."""
    last: Reply | Outcome | None = None
    """Result for the caller if no later attempt succeeds; an answer of an upstream
    takes precedence over a failure reported by a node."""


class Dispatcher:
    """Picks endpoints for calls and retries failed attempts."""

    def __init__(
        self,
        *,
        node: Callable[[], NodeRecord],
        router: Router,
        owner: Owner,
        client: StreamClient,
        guard: Guard,
        clock: Clock,
        metrics: Metrics,
        retry_limits: Callable[[], RetryLimits],
        refused_limits: Callable[[], RetryLimits | None] = lambda: None,
        dialect: Dialect = NATIVE,
    ) -> None:
        """Create it; calls that upstreams refuse have a budget of their own if
        `refused_limits` returns one.
        """
        self.node = node
        self.router = router
        self.owner = owner
        self.client = client
        self.guard = guard
        self.clock = clock
        self.metrics = metrics
        self.dialect = dialect
        self.versions: VersionRules = NoVersionRules()
        self.budgets = RetryBudgets(
            clock=clock, limits=retry_limits, refused_limits=refused_limits
        )

    def run(self, call: Call) -> Reply | Outcome:
        """Run a call at endpoints of its service and return the result."""
        self.budgets.earn(call.service)
        attempts = _Attempts()
        while True:
            record = self._pick(call, attempts)
            if isinstance(record, Failure):
                return attempts.last or Outcome.of(record)
            started = self.clock.monotonic()
            result = self._attempt(record, call)
            took_s = self.clock.monotonic() - started
            attempts.excluded.append(record.node_id)
            if isinstance(result, Reply):
                if not self._may_retry(call, result, attempts, took_s):
                    return result
            elif self._gives_up(call, result, attempts):
                return attempts.last or result

    def _pick(self, call: Call, attempts: "_Attempts") -> NodeRecord | Failure:
        """Return the endpoint of the next attempt, or why there is none."""
        verdict = self.guard.verdict(call)
        refused = refuse(verdict)
        if refused is not None:
            return refused
        attempts.is_isolated = False
        if verdict is Verdict.FREE and not attempts.is_suspect:
            return self._pick_free(call, attempts)
        if attempts.ran_isolated:
            return Failure(kind=Kind.REQUEST_ISOLATED, detail="not retried")
        if attempts.sent:
            eventlet.sleep(NEWS_DELAY_S)
        attempts.is_isolated = True
        return self.router.pick_isolated(
            call.service,
            fingerprint_of(call),
            exclude=attempts.excluded,
            select=self.versions.choose(call.service, call.kind, is_repeat=True),
        )

    def _pick_free(self, call: Call, attempts: "_Attempts") -> NodeRecord | Failure:
        """Pick by cost; if a version under roll-out has no room, among the others."""
        while True:
            is_repeat, attempts.is_repeat = attempts.is_repeat, True
            select = self.versions.choose(call.service, call.kind, is_repeat=is_repeat)
            picked = self.router.pick(
                call.service,
                exclude=attempts.excluded,
                kind=call.kind,
                priority=call.priority,
                target_s=self._target_left_s(call),
                select=select,
            )
            if select is None or is_repeat or not isinstance(picked, Failure):
                return picked

    def _may_retry(
        self, call: Call, reply: Reply, attempts: "_Attempts", took_s: float
    ) -> bool:
        """Whether to retry a call that the upstream answered with a failure."""
        attempts.sent += 1
        # A streamed answer is already being passed on and can't be replaced.
        if reply.rest is not None or not may_retry_answer(
            call,
            reply.status,
            sent=attempts.sent,
            took_s=took_s,
            time_left_s=call.deadline - self.clock.monotonic(),
            budget=self.budgets.common,
        ):
            return False
        attempts.last = reply
        call.retried = True
        self.metrics.count("calls_retried")
        return True

    def _gives_up(self, call: Call, outcome: Outcome, attempts: "_Attempts") -> bool:
        """Whether a failed attempt was the last; record its failure for the caller."""
        attempts.sent += outcome.sent
        if outcome.sent:
            attempts.ran_isolated = attempts.is_isolated
            attempts.is_suspect = outcome.failure.kind is Kind.INSTANCE_ENDED
        decision = decide_retry(
            call,
            outcome,
            redirects=attempts.redirects,
            sent=attempts.sent,
            time_left_s=call.deadline - self.clock.monotonic(),
            budget=self.budgets.after(outcome, call.service),
        )
        attempts.ran = outcome.ran = combine_ran(attempts.ran, outcome.ran)
        if not isinstance(attempts.last, Reply):
            attempts.last = outcome
        if decision is Decision.GIVE_UP:
            return True
        if decision is Decision.REDIRECT:
            attempts.redirects += 1
            self.metrics.count("calls_redirected")
            return False
        call.retried = True
        self.metrics.count("calls_retried")
        return False

    def _target_left_s(self, call: Call) -> float:
        """Return the seconds left to the latency target, or 0 if there is none."""
        if not call.due:
            return 0.0
        now = self.clock.monotonic()
        if call.due > now:
            return call.due - now
        # The target is already missed, so the deadline takes its place.
        return max(MIN_TIME_LEFT_S, call.deadline - now)

    def _attempt(self, record: NodeRecord, call: Call) -> Reply | Outcome:
        view = self.router.begin(record)
        started = self.clock.monotonic()
        try:
            if record.node_id == self.node().node_id:
                result = self.owner.run(call)
            else:
                result = self.client.call(record, call)
        except BaseException:
            self.router.abandon(view)
            raise
        took_s = self.clock.monotonic() - started
        _record_attempt(call, record, result, took_s)
        self.versions.ended(call, record, result, took_s)
        if isinstance(result, Outcome):
            result.node_id = record.node_id
            self.router.fail(
                view,
                result.failure,
                took_s=took_s,
                load=result.load,
                priority=call.priority,
            )
            return result
        if self.dialect.says_leaving(HeaderLookup(result.headers)):
            self.router.exclude_leaving(record)
        if result.rest is None:
            self._finish(view, call, result, took_s)
            return result
        return self._follow(result, result.rest, view, took_s, call)

    def _finish(
        self, view: EndpointView, call: Call, reply: Reply, took_s: float
    ) -> None:
        self.router.finish(
            view,
            took_s=took_s,
            load=reply.load,
            kind=call.kind,
            priority=call.priority,
            failed=reply.status in FAILED_STATUSES,
        )

    def _follow(
        self,
        reply: Reply,
        rest: Iterator[bytes],
        view: EndpointView,
        took_s: float,
        call: Call,
    ) -> Reply:
        """Count a streamed call as in flight until its last byte or its close."""
        end = reply.close
        counted = False

        def close() -> None:
            nonlocal counted
            end()
            if not counted:
                counted = True
                self._finish(view, call, reply, took_s)

        def follow() -> Iterator[bytes]:
            try:
                yield from rest
            finally:
                close()

        reply.rest = follow()
        reply.close = close
        return reply


def _record_attempt(
    call: Call, record: NodeRecord, result: Reply | Outcome, took_s: float
) -> None:
    """Add an attempt's node, result and duration to the call, for the log."""
    ended: object = result.status if isinstance(result, Reply) else None
    if isinstance(result, Outcome):
        ended = result.failure.kind.value
    call.attempts.append(f"{record.node_id}:{ended}:{took_s * MS_PER_S:.0f}ms")
