"""Pool of HTTP connections to the upstream beside this node."""

import http.client
import math
from collections.abc import Callable

from attrs import evolve

from comfreytray.calls.attribution import AnswerTo, RefusedCalls, attribute
from comfreytray.calls.call import (
    Call,
    CallCutError,
    Outcome,
    Reply,
    answer_headers,
    fail,
)
from comfreytray.calls.dialect import NATIVE, Dialect, FieldLookup, Refusal
from comfreytray.calls.exchange import Exchange, skip_body
from comfreytray.calls.heads import HeadError, StrictResponse
from comfreytray.calls.idlelimit import IdleLimit
from comfreytray.calls.instanceends import EndDetector, EndedInstance
from comfreytray.calls.transitmemory import TransitMemory
from comfreytray.calls.uploadpump import UploadPump
from comfreytray.calls.upstreamconnection import UpstreamConnection
from comfreytray.common.decimals import parse_decimal
from comfreytray.common.errors import Failure, Kind
from comfreytray.common.exceptions import invariant
from comfreytray.common.interfaces import Clock
from comfreytray.common.metrics import Metrics
from comfreytray.common.records import LocalUpstream

_BROKEN_OFF = frozenset({Kind.LOST_AFTER_SEND, Kind.ANSWER_CUT})
"""Failures of a call that may be due to the end of the instance."""
RECONNECT_AFTER_S = 0.25
"""Time after a refused connection in which no further one is tried."""
MAX_SKIPPED_ANSWERS = 4
"""Answers to earlier calls that may be skipped before the answer to a call."""


def _ignore_head(instance_id: str, fields: FieldLookup) -> None:
    del instance_id, fields


def _ignore_end(ended: EndedInstance) -> None:
    del ended


class UpstreamPool:
    """Pools connections to the upstream, up to the number that it accepts."""

    def __init__(
        self,
        *,
        clock: Clock,
        connections: int,
        metrics: Metrics,
        dialect: Dialect = NATIVE,
        on_head: Callable[[str, FieldLookup], None] = _ignore_head,
        on_ended: Callable[[EndedInstance], None] = _ignore_end,
        memory: TransitMemory | None = None,
    ) -> None:
        """Create it.

        `on_head` gets each answer's instance and fields, `on_ended` each instance that
        has ended while calls were under way.
        """
        self.clock = clock
        self.memory = memory or TransitMemory(purpose="answers")
        self._ends = EndDetector(on_ended=on_ended)
        self._call_by_connection: dict[UpstreamConnection, Call] = {}
        self._on_head = on_head
        self.connections = connections
        self.metrics = metrics
        self.dialect = dialect
        self.open_count = 0
        self._attempts = 0
        self._refused_calls = RefusedCalls(dialect=dialect)
        self._down_instance_id = ""
        self._down_until = 0.0
        self._idle: list[UpstreamConnection] = []
        self._idle_limit = IdleLimit(clock=clock)

    def __enter__(self) -> "UpstreamPool":
        return self

    def __exit__(self, *_: object) -> None:
        while self._idle:
            self._discard(self._idle.pop())

    def call(
        self, upstream: LocalUpstream, call: Call, *, on_end: Callable[[], None]
    ) -> Reply | Outcome:
        """Run a call at the upstream.

        `on_end` is called once, when the connection is released or closed.
        """
        try:
            connection = self._acquire(upstream, call)
        except BaseException:
            on_end()
            raise
        if isinstance(connection, Failure):
            on_end()
            return Outcome.of(connection)
        exchange = Exchange(
            connection=connection,
            deadline=call.deadline,
            clock=self.clock,
            release=self.release,
            on_end=on_end,
            memory=self.memory,
        )
        self._call_by_connection[connection] = call
        try:
            result = self._exchange(exchange, call, upstream.endpoint.instance_id)
        except BaseException:
            exchange.abort()
            raise
        if isinstance(result, Outcome):
            result.sent = connection.sent_bytes > 0
            try:
                if result.sent and self._has_ended(upstream, connection, result):
                    ended = evolve(result.failure, kind=Kind.INSTANCE_ENDED)
                    result.failure = ended
            finally:
                exchange.abort()
        return result

    def _has_ended(
        self, upstream: LocalUpstream, lost: UpstreamConnection, outcome: Outcome
    ) -> bool:
        """Whether a call was lost because the instance has ended."""
        if outcome.failure.kind not in _BROKEN_OFF:
            return False
        instance_id = upstream.endpoint.instance_id
        has_ended = self._ends.has_ended(
            (upstream.host, upstream.port),
            lost,
            instance_id=instance_id,
            call_by_connection=self._call_by_connection,
            idle=self._idle,
        )
        if has_ended:
            self._set_down(instance_id)
        return has_ended

    def is_down(self, instance_id: str) -> bool:
        """Whether an instance has ended, or refused a connection a moment ago."""
        is_known = instance_id == self._down_instance_id
        return is_known and self.clock.monotonic() < self._down_until

    def _set_down(self, instance_id: str) -> None:
        self._down_instance_id = instance_id
        self._down_until = self.clock.monotonic() + RECONNECT_AFTER_S

    def release(self, connection: UpstreamConnection, *, reusable: bool) -> None:
        """Keep a connection for later calls, or close it."""
        self._call_by_connection.pop(connection, None)
        if not reusable or not connection.is_between_calls:
            self._discard(connection)
            return
        connection.idle_since = self.clock.monotonic()
        self._idle.append(connection)

    def close_idle(self) -> None:
        """Close connections that were idle for longer than the adaptive limit."""
        limit = self.clock.monotonic() - self._idle_limit.max_idle_s(idempotent=True)
        while self._idle and self._idle[0].idle_since < limit:
            self._discard(self._idle.pop(0))

    def _discard(self, connection: UpstreamConnection) -> None:
        self.open_count -= 1
        invariant(self.open_count >= 0, "no connection is closed twice")
        connection.close()

    def _acquire(
        self, upstream: LocalUpstream, call: Call
    ) -> UpstreamConnection | Failure:
        address = (upstream.host, upstream.port)
        idle_s = self._idle_limit.max_idle_s(idempotent=call.idempotent)
        now = self.clock.monotonic()
        idle_since_limit = now - idle_s
        if call.upload is not None or self._refused_calls.includes(call):
            # Also for a streamed body, which can't be sent again.
            idle_since_limit = math.inf
        while self._idle and self._idle[-1].idle_since >= idle_since_limit:
            connection = self._idle.pop()
            if connection.address == address and connection.is_reusable():
                connection.idle_s = now - connection.idle_since
                return connection
            self._discard(connection)
        if self._idle and self.open_count >= self.connections:
            # A connection that is too old for this call may serve others, if it can
            # be kept beside a new one.
            self._discard(self._idle.pop(0))
        if self.open_count >= self.connections:
            return Failure(
                kind=Kind.OVERLOADED,
                detail="all connections to the upstream are in use",
            )
        self.open_count += 1
        self.metrics.count("upstream_connections_opened")
        invariant(self.open_count <= self.connections, "connections are never exceeded")
        connection = UpstreamConnection(
            address=address, clock=self.clock, dialect=self.dialect
        )
        try:
            connection.connect()
        except OSError as error:
            self._discard(connection)
            if isinstance(error, ConnectionRefusedError):
                self._set_down(upstream.endpoint.instance_id)
            return Failure(kind=Kind.CONNECT_FAILED, detail=type(error).__name__)
        except BaseException:
            self._discard(connection)
            raise
        return connection

    def _exchange(
        self, exchange: Exchange, call: Call, instance_id: str
    ) -> Reply | Outcome:
        if call.upload is None:
            return self._send_and_read(exchange, call, instance_id)
        connection = exchange.connection
        with UploadPump(upload=call.upload, sink=connection) as pump:
            if not pump.read_first():
                return pump.outcome(sent=False)
            result = self._send_and_read(exchange, call, instance_id, pump)
        if pump.failure is None:
            return result
        exchange.abort()
        return pump.outcome(sent=connection.sent_bytes > 0)

    def _send_and_read(
        self,
        exchange: Exchange,
        call: Call,
        instance_id: str,
        pump: UploadPump | None = None,
    ) -> Reply | Outcome:
        connection = exchange.connection
        if call.deadline <= self.clock.monotonic():
            return fail(Kind.DEADLINE_BEFORE_RUN, "before sending")
        connection.sent_bytes = 0
        self._attempts += 1
        try:
            connection.write_call(call, instance_id, attempt=self._attempts)
            if pump is not None:
                pump.start()
            response = self._read_matching_head(connection, call)
            if pump is not None:
                pump.stop()
        except TimeoutError:
            return fail(Kind.DEADLINE_WHILE_RUNNING, "no answer")
        except HeadError as error:
            return fail(Kind.ANSWER_CUT, f"head: {error}")
        except (OSError, EOFError, ValueError, http.client.HTTPException) as error:
            return self._fail_lost(connection, error)
        if response is None:
            detail = "answer on a kept connection names no call"
            return fail(Kind.LOST_AFTER_SEND, detail)
        exchange.response = response
        refusal = self.dialect.not_run(response.status, response.headers)
        if refusal is not Refusal.ANOTHER_INSTANCE:
            self._on_head(instance_id, response.headers)
        return self._build_reply(exchange, call, response)

    def _fail_lost(self, connection: UpstreamConnection, error: Exception) -> Outcome:
        detail = type(error).__name__
        if connection.sent_bytes == 0:
            refused = isinstance(error, ValueError)
            return fail(Kind.BAD_REQUEST if refused else Kind.CONNECT_FAILED, detail)
        after_s = self.clock.monotonic() - connection.sent_at
        if self._idle_limit.record_reset(idle_s=connection.idle_s, after_s=after_s):
            self.metrics.count("upstream_connections_forgotten")
            detail += f" after {connection.idle_s:.3f} s idle"
        return fail(Kind.LOST_AFTER_SEND, detail)

    def _build_reply(
        self, exchange: Exchange, call: Call, response: StrictResponse
    ) -> Reply | Outcome:
        headers = answer_headers(response.headers.pairs)
        reply = Reply(
            status=response.status,
            reason=response.reason,
            headers=headers,
            close=exchange.abort,
        )
        refused = self._parse_refusal(response)
        if refused is not None:
            self._refused_calls.record(call)
            return refused
        if not self._has_required_proof(response):
            return fail(Kind.ANSWER_CUT, "success without proof")
        try:
            reply.body = exchange.read_buffered()
        except CallCutError as error:
            return Outcome.of(error.failure)
        if not exchange.done:
            reply.rest = exchange.stream()
        return reply

    def _read_matching_head(
        self, connection: UpstreamConnection, call: Call
    ) -> StrictResponse | None:
        """Read the head that answers this call, skipping answers to earlier calls.

        None if it can't be told which call the answer belongs to.
        """
        for _ in range(MAX_SKIPPED_ANSWERS + 1):
            response = connection.read_head()
            answer_to = attribute(
                response.status,
                response.headers,
                call=call,
                attempt=connection.attempt,
                is_kept=connection.is_kept,
                dialect=self.dialect,
            )
            if answer_to is AnswerTo.THIS_CALL:
                return response
            self.metrics.count("upstream_stray_answers")
            if answer_to is AnswerTo.DOUBTFUL:
                return None
            skip_body(response)
        raise HeadError("only answers to other calls received")

    def _has_required_proof(self, response: StrictResponse) -> bool:
        name = self.dialect.proof
        if not name or not 200 <= response.status < 300:
            return True
        encoded = response.headers.get("content-encoding")
        return response.headers.get(name) is not None and encoded is None

    def _parse_refusal(self, response: StrictResponse) -> Outcome | None:
        """Return the outcome if the upstream states that the call did not run."""
        refusal = self.dialect.not_run(response.status, response.headers)
        if refusal is None:
            return None
        if refusal is Refusal.ANOTHER_INSTANCE:
            return fail(Kind.WRONG_NODE, "another instance has the address")
        retry_after_s = parse_decimal(response.headers.get("Retry-After"))
        return fail(Kind.OVERLOADED, "upstream refused", retry_after_s)
