"""HTTP server for callers: eventlet's WSGI server with strict head parsing."""

import copy
import math
import warnings
from collections.abc import Callable
from functools import partial
from typing import Any, Protocol

import eventlet
from eventlet import wsgi

from comfreytray.calls import requestheads
from comfreytray.calls.aheadshare import AheadShare
from comfreytray.calls.answersending import record_dropped, send_all
from comfreytray.calls.bodies import build_input
from comfreytray.calls.callers import (
    CallerConnections,
    HeadTimeoutError,
    PendingHead,
    linger,
    linger_until_taken,
)
from comfreytray.calls.heads import (
    MAX_HEAD_BYTES,
    HeadError,
    HeadTooLargeError,
    read_fields,
)
from comfreytray.calls.pipelines import (
    ClosingWriter,
    DropReason,
    Pipeline,
    PipelinedResponse,
)
from comfreytray.calls.transitmemory import TransitMemory
from comfreytray.common import logs
from comfreytray.common.errors import Failure, Kind
from comfreytray.common.interfaces import Clock
from comfreytray.common.metrics import Metrics
from comfreytray.common.turns import Turns
from comfreytray.configuration.callerlimits import DEFAULT_CALLER_LIMITS, CallerLimits
from comfreytray.configuration.snapshots import SAFE_METHODS

SOCKET_TIMEOUT_S = 30.0
MAX_CONNECTIONS = 2048

_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "POST", "PUT", "PATCH", "DELETE"})
_LINE_END_BYTES = 2


class ServerContext(Protocol):
    """What the server needs before a request reaches the application."""

    clock: Clock
    metrics: Metrics
    answer_memory: TransitMemory
    ahead_share: AheadShare
    callers: CallerConnections
    pending_head_by_socket: dict[Any, PendingHead]

    @property
    def leaving(self) -> bool:
        """Whether connections of callers close behind the requests that were read."""
        ...

    def caller_limits(self) -> CallerLimits:
        """Return the limits on requests that are in force."""
        ...

    def encode_refusal(
        self,
        failure: Failure,
        accept_language: str,
        *,
        closes: bool = True,
        with_body: bool = True,
    ) -> bytes:
        """Return the complete HTTP response that reports a failure."""


def protocol_for(context: ServerContext) -> type[wsgi.HttpProtocol]:
    """Return the protocol class of a server."""

    class StrictProtocol(wsgi.HttpProtocol):
        """Refuses ambiguous heads and answers pipelined requests in order."""

        headers: Any
        wfile: Any
        pipeline: Pipeline
        turns: Turns
        close_connection: Any
        limits: CallerLimits
        """Limits that were in force when the head began."""
        exchange: Any = None
        """The copy of this object that answers a request in the same greenlet."""
        has_timed_out = False
        """Whether no byte came for the idle time."""
        lingers = False
        """Whether the caller may still send bytes that the node will not read."""

        def _read_request_line(self) -> bytes:
            try:
                if not self._await_request():
                    return b""
                line: bytes = self.rfile.readline(self.limits.max_line_bytes)
            except HeadTimeoutError:
                self._refuse(Failure(kind=Kind.HEAD_TOO_SLOW, detail="request line"))
                return b""
            except OSError:
                return b""
            if len(line) >= self.limits.max_line_bytes:
                context.pending_head_by_socket.pop(self.connection, None)
                self._refuse(
                    Failure(kind=Kind.HEAD_TOO_LARGE, detail="request line too long")
                )
                return b""
            return line

        def _await_request(self) -> bool:
            """Wait for a request to begin; false if none does in time or may follow."""
            self.limits = context.caller_limits()
            # The server reads it for its Keep-Alive header.
            self.server.keepalive = self.limits.idle_timeout_s
            sock = self.connection
            sock.settimeout(self.limits.idle_timeout_s)
            try:
                if not self.rfile.peek(1):
                    return False
            except TimeoutError:
                self.has_timed_out = True
                return False
            self.pipeline.wait_for_turn()
            if self.pipeline.closed:
                return False
            sock.settimeout(SOCKET_TIMEOUT_S)
            context.callers.mark_busy(sock)
            context.pending_head_by_socket[sock] = PendingHead(
                greenlet=eventlet.getcurrent(), started_at=context.clock.monotonic()
            )
            return True

        def setup(self) -> None:
            super().setup()
            self.turns = Turns()
            self.pipeline = Pipeline(
                send=partial(send_all, self.connection),
                memory=context.answer_memory,
                on_idle=self._note_idle,
                on_close=self._stop_reading,
                on_drop=record_dropped(context.metrics),
                ahead=context.ahead_share,
            )
            # Nothing but the pipeline writes to the connection.
            self.wfile.close()
            self.wfile = ClosingWriter(pipeline=self.pipeline)

        def handle(self) -> None:
            try:
                super().handle()
                self._wait_for_responses()
            finally:
                self.pipeline.close(DropReason.CALLER_LEFT)
                context.pending_head_by_socket.pop(self.connection, None)
                (linger if self.lingers else linger_until_taken)(self.connection)
                context.callers.remove(self.connection)

        def _note_idle(self) -> None:
            """Record that all answers are written, unless a head is being read."""
            if self.connection not in context.pending_head_by_socket:
                context.callers.mark_idle(self.connection)

        def _stop_reading(self) -> None:
            """Read no further request.

            Where the rest of a body is to be discarded, the read side stays open: the
            kernel would announce no more room in it, and a caller that only sends
            would wait for a minute.
            """
            if not (self.lingers or (self.exchange and self.exchange.lingers)):
                context.callers.shut_reading(self.connection)

        def _wait_for_responses(self) -> None:
            """Wait for the pending responses unless the caller has hung up."""
            if self.raw_requestline or self.has_timed_out or context.callers.stopping:
                self.pipeline.wait_until_empty()

        def handle_one_request(self) -> None:
            # Requests that were sent ahead are read without a switch.
            self.turns.take()
            self.pipeline.wait_for_capacity()
            if context.leaving:
                self.pipeline.wait_until_empty()
            if self.pipeline.is_empty:
                context.callers.mark_idle(self.connection)
            super().handle_one_request()

        def handle_one_response(self) -> None:
            """Answer a request; a safe one without a body runs in its own greenlet."""
            if self.pipeline.closed or self.pipeline.is_ending:
                self.close_connection = True
                return
            exchange = copy.copy(self)
            exchange.wfile = response = self.pipeline.add_response(exchange)
            exchange.environ["comfreytray.protocol"] = exchange
            request_input = exchange.environ["eventlet.input"]
            if request_input.wfile is not None:
                # A `100 Continue` has its turn like the answer that it precedes.
                request_input.wfile = response
            if self.command in SAFE_METHODS and not requestheads.has_body(self.headers):
                response.greenlet = eventlet.spawn(exchange._respond, response)
                return
            response.greenlet = eventlet.getcurrent()
            self.exchange = exchange
            exchange._respond(response)
            self.close_connection = exchange.close_connection
            self.lingers = exchange.lingers

        def _respond(self, response: PipelinedResponse) -> None:
            """Run one request and write its answer into `response`."""
            closes = bool(self.close_connection) or requestheads.has_body(self.headers)
            try:
                super().handle_one_response()
                if response.failure is not None:
                    leaves = context.leaving and self.ends_connection()
                    self.close_connection = closes or leaves
                # The answer may wait for long, and needs little of the request.
                requestheads.forget_head(self)
                response.finish(closes_connection=bool(self.close_connection))
            except OSError as error:
                logs.log(logs.Event.CALLER_LOST, reason=type(error).__name__)
            except Exception as error:
                logs.warn(logs.Event.INTERNAL_ERROR, error=repr(error))
            finally:
                if not response.finished:
                    # Without an end it would hold up all later answers.
                    self.close_connection = True
                    self.pipeline.close(DropReason.ANSWER_FAILED)

        def ends_connection(self) -> bool:
            """Take no request behind this one; false if one was taken already."""
            return self.pipeline.end_after(self.wfile)

        def left_s(self) -> float:
            deadline = self.environ.get("comfreytray.deadline", math.inf)
            return float(deadline - context.clock.monotonic())

        def encode_failure(self, failure: Failure, *, closes: bool) -> bytes:
            context.metrics.count(f"refused_{failure.kind.value}")
            return context.encode_refusal(
                failure,
                self.environ.get("HTTP_ACCEPT_LANGUAGE", ""),
                closes=closes,
                with_body=self.command != "HEAD",
            )

        def parse_request(self) -> bool:
            self.close_connection = True
            self.headers = None
            failure = None
            try:
                self._read_head()
            except HeadTimeoutError:
                failure = Failure(kind=Kind.HEAD_TOO_SLOW, detail="header fields")
            except HeadTooLargeError as error:
                failure = Failure(kind=Kind.HEAD_TOO_LARGE, detail=str(error))
            except HeadError as error:
                failure = Failure(kind=Kind.BAD_REQUEST, detail=str(error))
            finally:
                context.pending_head_by_socket.pop(self.connection, None)
            if failure is not None:
                self._refuse(failure)
                return False
            if self.command not in _METHODS:
                self._refuse(
                    Failure(kind=Kind.METHOD_NOT_SUPPORTED, detail="unsupported method")
                )
                return False
            return True

        def _read_head(self) -> None:
            match = requestheads.REQUEST_LINE.fullmatch(self.raw_requestline)
            if match is None:
                raise HeadError("malformed request line")
            self.requestline = self.raw_requestline.decode("latin-1").rstrip()
            self.command, self.path = match[1].decode(), match[2].decode()
            self.request_version = match[3].decode()
            limits = self.limits
            self.headers = read_fields(
                # The server's own wrapper has fixed limits.
                self.rfile.fp,
                max_bytes=limits.max_header_bytes
                - len(self.raw_requestline)
                - _LINE_END_BYTES,
                max_line_bytes=limits.max_line_bytes,
            )
            requestheads.check_head(self.request_version, self.headers)
            connection = self.headers.get("connection", "").lower()
            if self.request_version == "HTTP/1.1":
                self.close_connection = "close" in connection
            else:
                self.close_connection = "keep-alive" not in connection

        def get_environ(self) -> dict[str, Any]:
            """Return only the variables that the call path and the server read."""
            environ = requestheads.build_environ(self.command, self.path, self.headers)
            environ["comfreytray.protocol"] = self
            environ["wsgi.input"] = environ["eventlet.input"] = build_input(
                environ, rfile=self.rfile, sock=self.connection, wfile=self.wfile
            )
            return environ

        def _refuse(self, failure: Failure) -> None:
            headers = getattr(self, "headers", None)
            language = headers.get("accept-language", "") if headers else ""
            self.close_connection = True
            self.lingers = True
            try:
                self.wfile.write(context.encode_refusal(failure, language))
            except OSError as error:
                logs.log(logs.Event.CALLER_LOST, reason=type(error).__name__)
            self.pipeline.wait_until_empty()

    return StrictProtocol


def serve(
    listener: Any, application: Callable[..., Any], context: ServerContext
) -> None:
    """Serve until the listener is closed."""
    # Capitalizing would rewrite each header of each answer.
    warnings.filterwarnings("ignore", message="capitalize_response_headers")
    wsgi.server(
        listener,
        application,
        custom_pool=eventlet.GreenPool(MAX_CONNECTIONS),
        protocol=protocol_for(context),
        keepalive=DEFAULT_CALLER_LIMITS.idle_timeout_s,
        socket_timeout=SOCKET_TIMEOUT_S,
        log_output=False,
        url_length_limit=MAX_HEAD_BYTES,
        debug=False,
        minimum_chunk_size=1,
        capitalize_response_headers=False,
    )
