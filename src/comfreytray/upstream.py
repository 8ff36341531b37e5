"""Call the upstream beside this node over kept HTTP connections."""

import errno
import http.client
import socket as plain_socket
from collections.abc import Callable, Iterator
from typing import Any

from attrs import define
from eventlet.green import socket
from urllib3.connection import HTTPConnection

from comfreytray.calls import (
    DEADLINE_HEADER,
    DEPTH_HEADER,
    RAN_HEADER,
    RETRIED_HEADER,
    TRACE_HEADER,
    Call,
    CallCutError,
    Headers,
    Outcome,
    Reply,
    answer_headers,
    fail,
    whole_ms,
)
from comfreytray.errors import Failure, Kind
from comfreytray.exceptions import invariant
from comfreytray.heads import HeadError, StrictResponse
from comfreytray.interfaces import Address, Clock

CONNECT_TIMEOUT_S = 1.0
IDLE_TIMEOUT_S = 20.0
IDLE_TIMEOUT_NOT_IDEMPOTENT_S = 1.0
"""A connection idle for longer may be closing as a call is written to it."""
CHUNK_BYTES = 65_536
_OWN_WORD_STATUSES = frozenset({429, 503, 504})
_PEEK_FLAGS = plain_socket.MSG_PEEK | plain_socket.MSG_DONTWAIT


class UpstreamConnection(HTTPConnection):
    """Send each request in one block and count the bytes that left."""

    response_class = StrictResponse

    def __init__(self, *, address: Address, clock: Clock) -> None:
        super().__init__(address[0], address[1], timeout=CONNECT_TIMEOUT_S)
        self.address = address
        self.clock = clock
        self.idle_since = 0.0
        self.sent_bytes = 0
        self._blocks: list[bytes] = []

    def _new_conn(self) -> Any:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            sock.settimeout(CONNECT_TIMEOUT_S)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.connect(self.address)
        except BaseException:
            sock.close()
            raise
        return sock

    def send(self, block: Any) -> None:
        """Hold a part of a request until `flush`."""
        self._blocks.append(block)

    def flush(self) -> None:
        """Write the request that is held."""
        block = b"".join(self._blocks)
        self._blocks.clear()
        view = memoryview(block)
        while self.sent_bytes < len(block):
            self.sent_bytes += self.sock.send(view[self.sent_bytes :])

    def is_fresh(self) -> bool:
        """Say whether an idle connection is still open and silent."""
        if self.sock is None:
            return False
        green: Any = self.sock
        try:
            green.fd.recv(1, _PEEK_FLAGS)
        except OSError as error:
            return error.errno in (errno.EAGAIN, errno.EWOULDBLOCK)
        return False

    def write_call(self, call: Call) -> None:
        """Write a call with the time that it has left."""
        left_s = call.deadline - self.clock.monotonic()
        self.sent_bytes = 0
        self._blocks.clear()
        self.putrequest(call.method, call.target, True, True)
        for name, value in call.headers:
            self.putheader(name, value)
        self.putheader(DEADLINE_HEADER, str(whole_ms(left_s)))
        self.putheader(DEPTH_HEADER, str(call.depth + 1))
        if call.trace:
            self.putheader(TRACE_HEADER, call.trace)
        if call.retried:
            self.putheader(RETRIED_HEADER, "1")
        if call.body or call.method in ("POST", "PUT", "PATCH"):
            self.putheader("Content-Length", str(len(call.body)))
        self.endheaders(call.body or None)
        self.sock.settimeout(max(0.001, left_s))
        self.flush()

    def read_head(self) -> http.client.HTTPResponse:
        """Read the head of the answer."""
        return http.client.HTTPConnection.getresponse(self)


@define(kw_only=True, eq=False)
class _Exchange:
    """Hold one connection while a call uses it."""

    pool: "UpstreamPool"
    connection: UpstreamConnection
    response: http.client.HTTPResponse | None = None
    done: bool = False
    on_end: Callable[[], None] | None = None

    def end(self, *, reusable: bool) -> None:
        """Give the connection back once, or close it."""
        if self.done:
            return
        self.done = True
        self.pool.put_back(self.connection, reusable=reusable)
        if self.on_end is not None:
            self.on_end()

    def abort(self) -> None:
        """Close the connection of a call that was given up."""
        self.end(reusable=False)


class UpstreamPool:
    """Keep connections to the upstream, never more than it takes."""

    def __init__(self, *, clock: Clock, connections: int) -> None:
        self.clock = clock
        self.connections = connections
        self.open_count = 0
        self._idle: list[UpstreamConnection] = []

    def __enter__(self) -> "UpstreamPool":
        return self

    def __exit__(self, *_: object) -> None:
        while self._idle:
            self._discard(self._idle.pop())

    def call(
        self, address: Address, call: Call, *, on_end: Callable[[], None]
    ) -> Reply | Outcome:
        """Run a call at the upstream.

        `on_end` is called once, when the connection is free or closed.
        """
        try:
            connection = self._take(address, call)
        except BaseException:
            on_end()
            raise
        if isinstance(connection, Failure):
            on_end()
            return Outcome.of(connection)
        exchange = _Exchange(pool=self, connection=connection, on_end=on_end)
        try:
            result = self._exchange(exchange, call)
        except BaseException:
            exchange.abort()
            raise
        if isinstance(result, Outcome):
            exchange.abort()
        return result

    def put_back(self, connection: UpstreamConnection, *, reusable: bool) -> None:
        """Keep a connection for the next call, or close it."""
        if not reusable or connection.sock is None:
            self._discard(connection)
            return
        connection.idle_since = self.clock.monotonic()
        self._idle.append(connection)

    def close_idle(self) -> None:
        """Close the connections that were idle for long."""
        limit = self.clock.monotonic() - IDLE_TIMEOUT_S
        while self._idle and self._idle[0].idle_since < limit:
            self._discard(self._idle.pop(0))

    def _discard(self, connection: UpstreamConnection) -> None:
        self.open_count -= 1
        invariant(self.open_count >= 0, "no connection is closed twice")
        connection.close()

    def _take(self, address: Address, call: Call) -> UpstreamConnection | Failure:
        idle_s = IDLE_TIMEOUT_S if call.idempotent else IDLE_TIMEOUT_NOT_IDEMPOTENT_S
        oldest = self.clock.monotonic() - idle_s
        while self._idle:
            connection = self._idle.pop()
            same = connection.address == address and connection.idle_since >= oldest
            if same and connection.is_fresh():
                return connection
            self._discard(connection)
        if self.open_count >= self.connections:
            return Failure(kind=Kind.OVERLOADED, detail="connections")
        self.open_count += 1
        invariant(self.open_count <= self.connections, "connections are never exceeded")
        connection = UpstreamConnection(address=address, clock=self.clock)
        try:
            connection.connect()
        except OSError as error:
            self._discard(connection)
            return Failure(kind=Kind.CONNECT_FAILED, detail=type(error).__name__)
        except BaseException:
            self._discard(connection)
            raise
        return connection

    def _exchange(self, exchange: _Exchange, call: Call) -> Reply | Outcome:
        connection = exchange.connection
        if call.deadline <= self.clock.monotonic():
            return fail(Kind.DEADLINE_BEFORE_RUN, "before sending")
        connection.sent_bytes = 0
        try:
            connection.write_call(call)
            response = connection.read_head()
        except TimeoutError:
            return fail(Kind.DEADLINE_WHILE_RUNNING, "no answer")
        except HeadError as error:
            return fail(Kind.ANSWER_CUT, f"head: {error}")
        except (OSError, EOFError, ValueError, http.client.HTTPException) as error:
            return _lost(connection, error)
        exchange.response = response
        return self._reply(exchange, call, response)

    def _reply(
        self, exchange: _Exchange, call: Call, response: http.client.HTTPResponse
    ) -> Reply | Outcome:
        headers = _answer_headers(response)
        reply = Reply(
            status=response.status,
            reason=response.reason,
            headers=headers,
            close=exchange.abort,
        )
        refused = _own_word(response)
        if refused is not None:
            return refused
        try:
            reply.body = self._read(exchange, call, CHUNK_BYTES)
        except CallCutError as error:
            return Outcome.of(error.failure)
        if not exchange.done:
            reply.rest = self._rest(exchange, call)
        return reply

    def _rest(self, exchange: _Exchange, call: Call) -> Iterator[bytes]:
        try:
            while not exchange.done:
                yield self._read(exchange, call, CHUNK_BYTES)
        finally:
            exchange.abort()

    def _read(self, exchange: _Exchange, call: Call, size: int) -> bytes:
        """Read a part of the answer; raises CallCutError when it broke off."""
        response = exchange.response
        assert response is not None
        left_s = call.deadline - self.clock.monotonic()
        if left_s <= 0:
            raise CallCutError(_cut("deadline"))
        expected = response.length
        if expected == 0:
            return self._end(exchange, response, b"")
        if exchange.connection.sock is not None:
            exchange.connection.sock.settimeout(left_s)
        try:
            if expected is None:
                chunk = response.read1(size)
            else:
                chunk = response.read(min(size, expected))
        except (OSError, EOFError, ValueError, http.client.HTTPException) as error:
            raise CallCutError(_cut(type(error).__name__)) from error
        if expected is not None and len(chunk) < min(size, expected):
            raise CallCutError(_cut("short body"))
        if response.isclosed() or response.length == 0:
            return self._end(exchange, response, chunk)
        return chunk

    def _end(
        self, exchange: _Exchange, response: http.client.HTTPResponse, chunk: bytes
    ) -> bytes:
        response.close()
        exchange.end(reusable=not response.will_close)
        return chunk


def _cut(detail: str) -> Failure:
    return Failure(kind=Kind.ANSWER_CUT, detail=detail)


def _lost(connection: UpstreamConnection, error: Exception) -> Outcome:
    detail = type(error).__name__
    if connection.sent_bytes == 0:
        refused = isinstance(error, ValueError | http.client.InvalidURL)
        return fail(Kind.BAD_REQUEST if refused else Kind.CONNECT_FAILED, detail)
    return fail(Kind.LOST_AFTER_SEND, detail)


def _own_word(response: http.client.HTTPResponse) -> Outcome | None:
    """Take the upstream's own word that a call did not run."""
    if response.status not in _OWN_WORD_STATUSES:
        return None
    if response.headers.get(RAN_HEADER, "").strip().lower() != "no":
        return None
    retry_after = response.headers.get("Retry-After", "").strip()
    retry_after_s = int(retry_after) if retry_after.isdigit() else None
    return fail(Kind.OVERLOADED, "upstream refused", retry_after_s)


def _answer_headers(response: http.client.HTTPResponse) -> Headers:
    """Take the end-to-end headers that an upstream may set."""
    fields: Any = response.headers
    return tuple(
        pair
        for pair in answer_headers(fields.pairs)
        if not pair[0].lower().startswith("comfreytray-")
    )
