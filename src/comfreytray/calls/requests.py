"""Conversion of a caller's HTTP request into a call, or a reason to refuse it."""

from collections.abc import Callable
from typing import Any
from urllib.parse import unquote

from comfreytray.calls.bodypool import BodyPool
from comfreytray.calls.call import (
    LENGTH_HEADER,
    MAX_BODY_BYTES,
    MAX_DEPTH,
    Call,
    Reply,
    request_headers,
)
from comfreytray.calls.dialect import Dialect
from comfreytray.calls.identification import Identification, environ_key
from comfreytray.calls.nesting import NESTED_PRIORITY
from comfreytray.calls.requestbodies import (
    CallerUpload,
    has_unread_body,
    read_body,
)
from comfreytray.calls.splits import Splitter
from comfreytray.common.errors import Failure, Kind
from comfreytray.common.interfaces import Clock
from comfreytray.configuration.snapshots import Route, Snapshot

MAX_KEY_LENGTH = 255
MAX_DEADLINE_MS = 86_400_000
MS_PER_S = 1000.0
MAX_TRACKED_ROUTES = 512

Environ = dict[str, Any]


class RequestReader:
    """Converts requests of callers into calls, by the header names of one dialect."""

    def __init__(
        self,
        *,
        dialect: Dialect,
        caller: Callable[[], str],
        clock: Clock,
        splitter: Splitter,
        budget: BodyPool | None = None,
        is_current: Callable[[], bool] = lambda: True,
        is_nested: Callable[[str], bool] = lambda _: False,
        refuse_late: Callable[[Route, float], Failure | None] = lambda *_: None,
    ) -> None:
        """Create it.

        `is_current` tells whether the configuration may be relied on, `is_nested`
        whether the upstream beside the node makes the call of an id, `refuse_late` why
        a request on a route with a deadline is not taken, as the node stops.
        """
        self.dialect = dialect
        self.is_nested = is_nested
        self.identification = Identification(dialect=dialect, is_current=is_current)
        self.caller = caller
        self.clock = clock
        self.splitter = splitter
        self.budget = budget or BodyPool(clock=clock)
        self.refuse_late = refuse_late
        self._max_deadline_ms_by_route: dict[str, int] = {}
        self._deadline_key = environ_key(dialect.deadline)
        self._depth_key = environ_key(dialect.depth)
        self._key_key = environ_key(dialect.key)
        self._retried_key = environ_key(dialect.retried)
        self._trace_key = environ_key(dialect.trace)
        self._call_id_key = environ_key(dialect.call_id)

    def read(self, environ: Environ, snapshot: Snapshot | None) -> Call | Failure:
        """Match a request to its route and read its body."""
        now = self.clock.monotonic()
        if snapshot is None:
            return Failure(kind=Kind.NO_CONFIGURATION)
        route = _route(environ, snapshot)
        if isinstance(route, Failure):
            return route
        account = self.identification.find_account(environ, route, snapshot)
        if isinstance(account, Failure):
            return account
        left_s = self._remaining_s(environ, route)
        depth = _parse_number(environ, self._depth_key, MAX_DEPTH + 1)
        if left_s is None or depth is None:
            return Failure(kind=Kind.BAD_REQUEST, detail="malformed deadline or depth")
        if depth > MAX_DEPTH:
            return Failure(kind=Kind.CHAIN_TOO_DEEP)
        if left_s <= 0:
            return Failure(
                kind=Kind.DEADLINE_BEFORE_RUN, detail="no time left at entry"
            )
        key = environ.get(self._key_key, "").strip()
        if len(key) > MAX_KEY_LENGTH:
            return Failure(
                kind=Kind.BAD_REQUEST,
                detail=f"idempotency key longer than {MAX_KEY_LENGTH} characters",
            )
        body: bytes | CallerUpload = b""
        if has_unread_body(environ):
            limit = snapshot.limits.max_body_bytes
            if key:
                # Only a whole body shows whether a key is used for another request.
                limit = min(limit, MAX_BODY_BYTES)
            read = read_body(
                environ,
                self.budget,
                limit=limit,
                deadline=now + left_s,
                clock=self.clock,
            )
            if isinstance(read, Failure):
                return read
            body = read
        refusal = self.refuse_late(route, now + left_s)
        if refusal is not None:
            return refusal
        call = self._call(environ, route, body, now, now + left_s, depth, key)
        if snapshot.accounts is not None:
            self.identification.apply(call, route, account)
        if account is None and self.is_nested(call.call_id):
            call.priority = NESTED_PRIORITY
        return call

    def call_id(self, environ: Environ) -> str:
        """Return the id that the caller gave this attempt, empty if none."""
        return environ.get(self._call_id_key, "")  # type: ignore[no-any-return]

    def _call(
        self,
        environ: Environ,
        route: Route,
        body: bytes | CallerUpload,
        arrived: float,
        deadline: float,
        depth: int,
        key: str,
    ) -> Call:
        method: str = environ["REQUEST_METHOD"]
        idempotent = route.is_idempotent(method)
        return Call(
            service=self.splitter.pick(route),
            customer=route.customer,
            share=route.share,
            method=method,
            target=_target(environ),
            headers=request_headers(_header_pairs(environ), self.dialect.set_by_node),
            body=body if isinstance(body, bytes) else b"",
            upload=None if isinstance(body, bytes) else body,
            deadline=deadline,
            idempotent=idempotent,
            depth=depth,
            retried=self._retried_key in environ,
            key="" if idempotent else key,
            trace=environ.get(self._trace_key, ""),
            call_id=self.call_id(environ),
            caller=self.caller(),
            kind=route.name,
            priority=route.priority,
            due=self._due(route, arrived, environ),
            max_attempts=route.max_attempts,
        )

    def _due(self, route: Route, arrived: float, environ: Environ) -> float:
        """Return when an answer is due, 0 for a route without a target latency.

        A caller that retries sends a shorter deadline than others on the same route;
        the difference is the time it has already spent, and is subtracted.
        """
        if not route.target_latency_s:
            return 0.0
        left_ms = _parse_number(environ, self._deadline_key, MAX_DEADLINE_MS) or 0
        max_deadline_ms = max(
            left_ms, self._max_deadline_ms_by_route.get(route.name, 0)
        )
        if len(self._max_deadline_ms_by_route) > MAX_TRACKED_ROUTES:
            self._max_deadline_ms_by_route.clear()
        self._max_deadline_ms_by_route[route.name] = max_deadline_ms
        spent_s = (max_deadline_ms - left_ms) / MS_PER_S if left_ms else 0.0
        return arrived + route.target_latency_s - spent_s

    def _remaining_s(self, environ: Environ, route: Route) -> float | None:
        if self._deadline_key not in environ:
            return route.timeout_s
        left_ms = _parse_number(environ, self._deadline_key, MAX_DEADLINE_MS)
        if left_ms is None:
            return None
        return min(route.timeout_s, left_ms / MS_PER_S)


def must_buffer(environ: Environ, reply: Reply) -> bool:
    """Whether the caller could take a truncated answer for a complete one."""
    protocol = environ.get("comfreytray.protocol")
    if reply.rest is None or getattr(protocol, "request_version", "") != "HTTP/1.0":
        return False
    return all(name != LENGTH_HEADER for name, _ in reply.headers)


def _route(environ: Environ, snapshot: Snapshot) -> Route | Failure:
    path = _raw_path(environ)
    decoded = unquote(path)
    dots = "/." in decoded and any(part in (".", "..") for part in decoded.split("/"))
    if dots or "\x00" in decoded:
        return Failure(
            kind=Kind.BAD_REQUEST, detail="path with a dot segment or a null byte"
        )
    host = environ.get("HTTP_HOST", "")
    return snapshot.match(host=host, method=environ["REQUEST_METHOD"], path=path)


def _raw_path(environ: Environ) -> str:
    raw: str = environ.get("RAW_PATH_INFO") or environ.get("PATH_INFO", "/")
    return raw


def _target(environ: Environ) -> str:
    query = environ.get("QUERY_STRING")
    path = _raw_path(environ)
    return f"{path}?{query}" if query else path


def _header_pairs(environ: Environ) -> tuple[tuple[str, str], ...]:
    raw = environ.get("headers_raw")
    if raw is not None:
        return tuple(pair for pair in raw if "_" not in pair[0])
    return tuple(
        (name.removeprefix("HTTP_").replace("_", "-").title(), value)
        for name, value in environ.items()
        if name.startswith("HTTP_")
    )


def _parse_number(environ: Environ, variable: str, limit: int) -> int | None:
    text = environ.get(variable)
    if text is None:
        return 0
    if not (text.isascii() and text.isdigit()):
        return None
    return min(int(text[:12]), limit)
