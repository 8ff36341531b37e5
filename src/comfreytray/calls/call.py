"""Typed calls and replies as they pass through a node."""

import math
from collections.abc import Callable, Iterable, Iterator

from attrs import define, field, frozen

from comfreytray.common.errors import Failure, Kind, Ran
from comfreytray.common.exceptions import ComfreytrayError

Headers = tuple[tuple[str, str], ...]

DEADLINE_HEADER = "Comfreytray-Deadline-Ms"
DEPTH_HEADER = "Comfreytray-Depth"
RETRIED_HEADER = "Comfreytray-Retried"
CALLER_HEADER = "Comfreytray-Caller"
ERROR_HEADER = "Comfreytray-Error"
RAN_HEADER = "Comfreytray-Ran"
KEY_HEADER = "Idempotency-Key"
LENGTH_HEADER = "Content-Length"
"""The spelling by which the WSGI server knows that an answer has its length."""
TRACE_HEADER = "traceparent"
MAX_DEPTH = 32
MAX_BODY_BYTES = 1_048_576

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
_OWN_PREFIX = "comfreytray-"
_NEVER_NAMED = frozenset({"host", "content-length", KEY_HEADER.lower()})
"""Headers that a Connection header can't take out of a message."""
_FRAMED_BY_NODE = frozenset({"content-length", "expect"})


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
    call_id: str = ""
    """Id that the caller gave to this attempt, empty if none."""
    caller: str = ""
    """Service of the instance beside which the call began."""
    kind: str = ""
    """Name of the route; calls of one kind take about the same time."""
    priority: int = 0
    """Rank of the route; 0 is the highest."""
    due: float = 0.0
    """When an answer is due to be of full use, as `deadline`; 0 if unstated."""
    attempts: list[str] = field(factory=list)
    """Nodes that were tried, with how each try ended, for the log."""
    max_attempts: int = 0
    """Most endpoints that may be tried; 0 leaves it to the retry policy."""


@frozen(kw_only=True)
class Load:
    """Say how busy an upstream is, as the node beside it knows."""

    used: float = 0.0
    """Calls held and queued, as a share of the slots."""
    service_time_s: float = 0.0
    """Mean time that a call holds a slot; 0 if unknown."""
    held_s: float = 0.0
    """Time for which the call that is answered held its slot; 0 if unknown."""


IDLE = Load()


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
    load: "Load" = field(factory=lambda: IDLE)


@define(kw_only=True, eq=False)
class Outcome:
    """Pair a failure with what is known about whether the call ran."""

    failure: Failure
    ran: Ran
    load: "Load" = field(factory=lambda: IDLE)
    node_id: str = field(default="")
    sent: bool = False
    """Whether the call was, or may have been, sent to an upstream."""

    @classmethod
    def of(cls, failure: Failure, *, load: "Load | None" = None) -> "Outcome":
        """Take the outcome that the table of answers gives for a failure."""
        return cls(failure=failure, ran=failure.answer.ran, load=load or IDLE)


_CERTAINTY = (Ran.NO, Ran.UNKNOWN, Ran.YES)


def worse(first: Ran, second: Ran) -> Ran:
    """Combine what is known of two attempts at one call."""
    return max(first, second, key=_CERTAINTY.index)


def fail(kind: Kind, detail: str = "", retry_after_s: float | None = None) -> Outcome:
    """Make the outcome of a call that failed."""
    failure = Failure(kind=kind, detail=detail, retry_after_s=retry_after_s)
    return Outcome(failure=failure, ran=failure.answer.ran)


def request_headers(
    headers: Iterable[tuple[str, str]], set_by_node: frozenset[str]
) -> Headers:
    """Keep the headers of a call that an upstream gets as the caller sent them."""
    pairs = tuple(headers)
    drop = _named(pairs, _HOP_BY_HOP | _FRAMED_BY_NODE | set_by_node)
    return tuple([pair for pair in pairs if pair[0].lower() not in drop])


def answer_headers(headers: Iterable[tuple[str, str]]) -> Headers:
    """Keep the headers of an upstream's answer that are meant for the caller."""
    pairs = tuple(headers)
    drop = _named(pairs, _HOP_BY_HOP)
    kept: list[tuple[str, str]] = []
    for pair in pairs:
        name = pair[0].lower()
        if name in drop or name.startswith(_OWN_PREFIX):
            continue
        kept.append((LENGTH_HEADER, pair[1]) if name == "content-length" else pair)
    return tuple(kept)


def _named(pairs: Headers, drop: frozenset[str]) -> frozenset[str]:
    """Add the names that a Connection header lists."""
    for name, value in pairs:
        if len(name) == len("connection") and name.lower() == "connection":
            listed = {part.strip().lower() for part in value.split(",")}
            drop = drop | (listed - _NEVER_NAMED)
    return drop


def ceil_ms(seconds: float) -> int:
    """Round a time left up to whole milliseconds, never under zero."""
    return max(0, math.ceil(seconds * 1000))
