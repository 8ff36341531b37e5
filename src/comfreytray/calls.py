"""Typed calls and replies as they pass through a node."""

import math
from collections.abc import Callable, Iterable, Iterator

from attrs import define, field

from comfreytray.errors import Failure, Kind, Ran
from comfreytray.exceptions import ComfreytrayError

Headers = tuple[tuple[str, str], ...]

DEADLINE_HEADER = "Comfreytray-Deadline-Ms"
DEPTH_HEADER = "Comfreytray-Depth"
RETRIED_HEADER = "Comfreytray-Retried"
ERROR_HEADER = "Comfreytray-Error"
RAN_HEADER = "Comfreytray-Ran"
KEY_HEADER = "Idempotency-Key"
LENGTH_HEADER = "Content-Length"
"""The spelling by which the WSGI server knows that an answer has its length."""
TRACE_HEADER = "traceparent"
MAX_DEPTH = 32
MAX_BODY_BYTES = 1_048_576
SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})
IDEMPOTENT_METHODS = SAFE_METHODS | {"PUT", "DELETE"}

_HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "trailers",
        "transfer-encoding",
        "upgrade",
    }
)
_NEVER_NAMED = frozenset({"host", "content-length", KEY_HEADER.lower()})
"""Headers that a Connection header can't take out of a message."""
_SET_BY_NODE = frozenset(
    {
        "content-length",
        "expect",
        TRACE_HEADER,
        DEADLINE_HEADER.lower(),
        DEPTH_HEADER.lower(),
        RETRIED_HEADER.lower(),
    }
)


class CallCutError(ComfreytrayError):
    """Report that an answer broke off after its head was passed on."""


class CallCancelledError(Exception):
    """End the greenlet of a call whose caller hung up or cancelled it."""


@define(kw_only=True, eq=False)
class Call:
    """Hold one call on its way to an upstream."""

    service: str
    customer: str
    share: float
    method: str
    target: str
    """Path and query as the caller sent them."""
    headers: Headers
    """End-to-end headers only."""
    body: bytes
    deadline: float
    """Monotonic time of this process, in seconds."""
    idempotent: bool
    depth: int = 0
    retried: bool = False
    """Whether a retry was already spent along the chain of calls."""
    key: str = ""
    """Idempotency key that still has to be claimed, empty if none."""
    trace: str = ""
    """W3C traceparent of the span above."""


def _no_close() -> None:
    return None


@define(kw_only=True, eq=False)
class Reply:
    """Hold an answer, whole in `body` or continued by `rest`.

    `rest` raises CallCutError when the answer breaks off.
    """

    status: int
    reason: str
    headers: Headers
    body: bytes = b""
    rest: Iterator[bytes] | None = None
    close: Callable[[], None] = _no_close
    load: float = 0.0
    """Share of the owner's slots and queue in use."""


@define(kw_only=True, eq=False)
class Outcome:
    """Pair a failure with what is known about whether the call ran."""

    failure: Failure
    ran: Ran
    load: float = 0.0
    node_id: str = field(default="")

    @classmethod
    def of(cls, failure: Failure, *, load: float = 0.0) -> "Outcome":
        """Take the outcome that the table of answers gives for a failure."""
        return cls(failure=failure, ran=failure.answer.ran, load=load)


_CERTAINTY = (Ran.NO, Ran.UNKNOWN, Ran.YES)


def worse(first: Ran, second: Ran) -> Ran:
    """Combine what is known of two attempts at one call."""
    return max(first, second, key=_CERTAINTY.index)


def fail(kind: Kind, detail: str = "", retry_after_s: int | None = None) -> Outcome:
    """Make the outcome of a call that failed."""
    failure = Failure(kind=kind, detail=detail, retry_after_s=retry_after_s)
    return Outcome(failure=failure, ran=failure.answer.ran)


def request_headers(headers: Iterable[tuple[str, str]]) -> Headers:
    """Keep the headers of a call that an upstream gets as the caller sent them."""
    return _end_to_end(tuple(headers), _HOP_BY_HOP | _SET_BY_NODE)


def answer_headers(headers: Iterable[tuple[str, str]]) -> Headers:
    """Keep the headers of an answer that are meant for the caller."""
    kept = _end_to_end(tuple(headers), _HOP_BY_HOP)
    return tuple(
        (LENGTH_HEADER, value) if name.lower() == "content-length" else (name, value)
        for name, value in kept
    )


def _end_to_end(pairs: Headers, drop: frozenset[str]) -> Headers:
    for name, value in pairs:
        if name.lower() == "connection":
            named = {part.strip().lower() for part in value.split(",")}
            drop = drop | (named - _NEVER_NAMED)
    return tuple(pair for pair in pairs if pair[0].lower() not in drop)


def whole_ms(seconds: float) -> int:
    """Round a time left up to whole milliseconds, never under zero."""
    return max(0, math.ceil(seconds * 1000))
