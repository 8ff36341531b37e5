"""Run calls at the local upstream, within its limits.

The owner of an upstream is the node beside it; it alone admits calls to it.
"""

from collections.abc import Callable
from types import TracebackType
from typing import Any

import eventlet
from attrs import evolve

from comfreytray.calls.call import Call, Load, Outcome, Reply, fail
from comfreytray.calls.calllog import CallLog
from comfreytray.calls.callrates import CallRate
from comfreytray.calls.dialect import NATIVE, Dialect, FieldLookup
from comfreytray.calls.guard import Guard, Permit
from comfreytray.calls.instanceends import EndedInstance
from comfreytray.calls.limits import Admission
from comfreytray.calls.measures import OwnMeasures
from comfreytray.calls.nesting import NESTED_PRIORITY, RunningCalls
from comfreytray.calls.retries import FAILED_STATUSES
from comfreytray.calls.tickets import Ticket, TicketState
from comfreytray.calls.tracing import Tracer, traced
from comfreytray.calls.transitmemory import TransitMemory
from comfreytray.calls.upstream import UpstreamPool
from comfreytray.common.decimals import parse_decimal
from comfreytray.common.errors import Failure, Kind, Ran
from comfreytray.common.exceptions import invariant
from comfreytray.common.interfaces import Clock
from comfreytray.common.metrics import Metrics
from comfreytray.common.records import EndpointState, LocalUpstream
from comfreytray.common.signals import Signal
from comfreytray.concurrency.limiter import ConcurrencyLimiter, Run
from comfreytray.concurrency.reports import parse_load_report

UPSTREAM_FAILURES = frozenset(
    {
        Kind.CONNECT_FAILED,
        Kind.LOST_AFTER_SEND,
        Kind.INSTANCE_ENDED,
        Kind.ANSWER_CUT,
        Kind.DEADLINE_WHILE_RUNNING,
    }
)
"""Failures of a call that count against the upstream."""
MIN_ADMISSION_WAIT_S = 0.001
LEAST_PRIORITY = 1_000
"""A priority that ranks after that of every route."""


class Owner:
    """Admits calls to the local upstream and runs them."""

    def __init__(
        self,
        *,
        local_upstream: Callable[[], LocalUpstream | None],
        clock: Clock,
        metrics: Metrics,
        guard: Guard,
        tracer: Tracer | None = None,
        dialect: Dialect = NATIVE,
        call_log: CallLog | None = None,
        on_leaving: Callable[[str], None] = lambda _: None,
        memory: TransitMemory | None = None,
    ) -> None:
        """Create it; `on_leaving` gets an instance that says in an answer it leaves."""
        self.local_upstream = local_upstream
        self.clock = clock
        self.metrics = metrics
        self.guard = guard
        self.tracer = tracer
        self.call_log = call_log or CallLog(clock=clock)
        self.dialect = dialect
        rate = CallRate(clock=clock, advertised=bool(dialect.limit))
        self.admission = Admission(clock=clock, slots=0, rate=rate)
        self.concurrency = ConcurrencyLimiter(clock=clock)
        self.measures = OwnMeasures()
        self.running = RunningCalls(separator=dialect.nested_separator)
        self._on_leaving = on_leaving
        self._admit_timer: Any = None
        self.pool = UpstreamPool(
            clock=clock,
            connections=0,
            dialect=dialect,
            metrics=metrics,
            on_head=self._learn,
            on_ended=self._record_end,
            memory=memory,
        )

    def __enter__(self) -> "Owner":
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        if self._admit_timer is not None:
            self._admit_timer.cancel()
        self.pool.__exit__(kind, error, trace)

    @property
    def load(self) -> Load:
        """Return the load that the least urgent calls meet."""
        return self._load_for(LEAST_PRIORITY)

    @property
    def reports_pace(self) -> bool:
        """Whether the instance reports how fast its machine is at the moment."""
        return self.concurrency.pace > 0

    def is_nested(self, call_id: str, *, has_accounts: bool) -> bool:
        """Whether the instance makes a call of this id while it runs another one.

        False unless there are accounts or a reported pace.
        """
        if not has_accounts and not self.reports_pace:
            return False
        return self.running.is_nested(call_id, of_customers=has_accounts)

    @property
    def in_flight(self) -> int:
        """Return the number of calls that hold a slot or wait for one."""
        return self.admission.held + self.admission.queued

    def expected_s(self, call: Call) -> float | None:
        """Return how long a call would wait and run here; None for an unknown kind."""
        run_s = self.admission.run_times.known_mean_of(call.kind)
        if run_s is None:
            return None
        load = self.admission.load_for(call.priority)
        waits = load.used + 1.0 / max(1, self.admission.slots) - 1.0
        return run_s + max(0.0, waits) * load.service_time_s

    def run(self, call: Call) -> Reply | Outcome:
        """Run a call, sent by any node, at the local upstream."""
        return traced(self.tracer, "owner", call, self._run)

    def _run(self, call: Call) -> Reply | Outcome:
        upstream = self._upstream_for(call)
        if isinstance(upstream, Outcome):
            return upstream
        permit = self.guard.admit(call)
        if isinstance(permit, Failure):
            self._log_refused(call, permit)
            return Outcome.of(permit, load=self._load_for(call.priority))
        try:
            result = self._admit_and_run(call, permit)
        except BaseException:
            permit.end()
            raise
        if isinstance(result, Outcome):
            permit.end()
        else:
            self.guard.record_answer(permit, call)
        return result

    def _admit_and_run(self, call: Call, permit: Permit) -> Reply | Outcome:
        upstream = self._upstream_for(call)
        if isinstance(upstream, Outcome):
            return upstream
        self._apply_limits(upstream)
        ticket = self.admission.offer(
            customer=call.customer,
            share=call.share,
            deadline=call.deadline,
            kind=call.kind,
            priority=call.priority,
            # The target of a nested call means nothing to the caller of its parent.
            due=0.0 if call.priority == NESTED_PRIORITY else call.due,
        )
        if isinstance(ticket, Failure):
            self._log_refused(call, ticket)
            return Outcome.of(ticket, load=self._load_for(call.priority))
        failure = self._wait(ticket, call)
        if failure is not None:
            self._log_refused(call, failure)
            return Outcome.of(failure, load=self._load_for(call.priority))
        invariant(ticket.state is TicketState.HELD, "a call runs only with a slot")
        # The instance may have left, or another one come, while the call waited.
        upstream = self._upstream_for(call)
        if isinstance(upstream, Outcome):
            self._release(ticket, permit)
            return upstream
        self.running.begin(call)
        run = self.concurrency.begin(call.kind)
        reply = self.pool.call(
            upstream,
            call,
            on_end=lambda: self._end(call, run, ticket, permit),
        )
        if isinstance(reply, Outcome):
            instance = upstream.endpoint.instance_id
            self.call_log.failed_at_upstream(call, reply, instance=instance)
        held_s = self.clock.monotonic() - ticket.admitted_at
        reply.load = evolve(self._load_for(call.priority), held_s=held_s)
        self._measure(upstream.endpoint.instance_id, call, reply, held_s)
        if isinstance(reply, Reply) and reply.status not in FAILED_STATUSES:
            self.concurrency.record(run)
        return reply

    def _upstream_for(self, call: Call) -> LocalUpstream | Outcome:
        """Return the instance if it takes a call now, else the refusal."""
        upstream = self.local_upstream()
        if upstream is None or upstream.endpoint.service != call.service:
            return fail(Kind.WRONG_NODE, "no such service here")
        if upstream.endpoint.state is EndpointState.DRAINING:
            return fail(Kind.LEAVING, "upstream is draining")
        is_down = self.pool.is_down(upstream.endpoint.instance_id)
        if is_down and not self.admission.leaving:
            ended = fail(Kind.INSTANCE_ENDED, "before this call")
            ended.ran = Ran.NO
            return ended
        return upstream

    def _load_for(self, priority: int) -> Load:
        """Return the load that a call of a priority meets, with the upstream's pace."""
        load = self.admission.load_for(priority)
        pace = self.concurrency.pace
        return evolve(load, pace=pace, slots=self.admission.slots) if pace else load

    def _end(self, call: Call, run: Run, ticket: Ticket, permit: Permit) -> None:
        self.running.end(call)
        self.concurrency.end(run)
        self._release(ticket, permit)

    def _release(self, ticket: Ticket, permit: Permit) -> None:
        permit.end()
        # The slots may have become fewer since the last call came; a call that waits
        # must not be admitted to one that is gone.
        self._refresh_limits()
        self.admission.release(ticket)
        self._schedule_admission()

    def _learn(self, instance_id: str, fields: FieldLookup) -> None:
        """Process what an instance says of itself in the head of an answer."""
        if self.dialect.says_leaving(fields):
            self._on_leaving(instance_id)
        if self.dialect.load:
            report = parse_load_report(fields.get(self.dialect.load))
            self.concurrency.learn(instance_id, report)
            self._refresh_limits()
        if self.dialect.limit:
            limit_per_s = parse_decimal(fields.get(self.dialect.limit))
            self.admission.rate.learn(instance_id, limit_per_s)
            self.admission.admit_queued()

    def _record_end(self, ended: EndedInstance) -> None:
        """Process the end of the instance while calls were under way at it."""
        self.metrics.count("endpoints_ended")
        self.call_log.instance_ended(ended)
        self.guard.record_end(ended)

    def _schedule_admission(self) -> None:
        """Admit waiting calls again once the rate of the instance allows it."""
        wait_s = self.admission.admit_in_s()
        if wait_s is not None and self._admit_timer is None:
            # A wait below the resolution of the clock would be due again at once.
            self._admit_timer = eventlet.spawn_after(
                max(MIN_ADMISSION_WAIT_S, wait_s), self._admit_waiting
            )

    def _admit_waiting(self) -> None:
        self._admit_timer = None
        self._refresh_limits()
        self.admission.admit_queued()
        self._schedule_admission()

    def _measure(
        self, instance_id: str, call: Call, reply: Reply | Outcome, held_s: float
    ) -> None:
        if isinstance(reply, Outcome) and reply.failure.kind not in UPSTREAM_FAILURES:
            return
        failed = isinstance(reply, Outcome) or reply.status in FAILED_STATUSES
        self.measures.record(
            instance_id=instance_id, kind=call.kind, took_s=held_s, failed=failed
        )

    def report(self) -> dict[str, object]:
        """Return the state of the admission as JSON-compatible values."""
        return {
            "slots": self.admission.slots,
            "held": self.admission.held,
            "queued": self.admission.queued,
            "upstream_connections": self.pool.open_count,
        }

    def leave(self) -> None:
        """Refuse new and waiting calls; running calls finish."""
        self.admission.leave()

    def _log_refused(self, call: Call, failure: Failure) -> None:
        self.metrics.count(f"owner_refused_{failure.kind.value}")
        self.call_log.refused_at_owner(
            call,
            failure,
            held=self.admission.held,
            queued=self.admission.queued,
            slots=self.admission.slots,
            limit_per_s=self.admission.rate.limit_per_s,
        )

    def _refresh_limits(self) -> None:
        upstream = self.local_upstream()
        if upstream is not None:
            self._apply_limits(upstream)

    def _apply_limits(self, upstream: LocalUpstream) -> None:
        endpoint = upstream.endpoint
        limit = self.concurrency.limit(
            endpoint.instance_id,
            min(endpoint.slots, endpoint.connections),
            is_cold=endpoint.state is EndpointState.COLD,
        )
        self.pool.connections = endpoint.connections
        self.admission.rate.follow(endpoint.instance_id)
        self.admission.resize(limit)
        if self.concurrency.pace:
            self.metrics.gauge("upstream_concurrency_limit", limit)
            self.metrics.gauge("upstream_pace", self.concurrency.pace)

    def _wait(self, ticket: Ticket, call: Call) -> Failure | None:
        """Wait until a call holds a slot; return the failure if it gets none."""
        if ticket.state is TicketState.HELD:
            return None
        self._schedule_admission()
        signal = Signal()
        ticket.notify = signal.fire
        try:
            left_s = call.deadline - self.clock.monotonic()
            while ticket.state is TicketState.QUEUED and left_s > 0:
                signal.wait(left_s)
                left_s = call.deadline - self.clock.monotonic()
        except BaseException:
            self.admission.release(ticket)
            raise
        if self.admission.holds(ticket):
            return None
        self.admission.release(ticket)
        return ticket.failure or Failure(
            kind=Kind.DEADLINE_BEFORE_RUN, detail="in the queue"
        )
