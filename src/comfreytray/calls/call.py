"""Calls, replies and failures as they pass through a node, and their headers."""

import math
from collections.abc import Callable, Iterable, Iterator

from attrs import define, field, frozen

from comfreytray.calls.uploads import Upload
from comfreytray.common.errors import Failure, Kind, Ran
from comfreytray.common.exceptions import ComfreytrayError

Headers = tuple[tuple[str, str], ...]

DEADLINE_HEADER = "Comfreytray-Deadline-Ms"
DEPTH_HEADER = "Comfreytray-Depth"
RETRIED_HEADER = "Comfreytray-Retried"
CALLER_HEADER = "Comfreytray-Caller"
ERROR_HEADER = "Comfreytray-Error"
RAN_HEADER = "Comfreytray-Ran"
ATTEMPT_HEADER = "Comfreytray-Attempt"
KEY_HEADER = "Idempotency-Key"
LENGTH_HEADER = "Content-Length"
"""Spelling by which the WSGI server recognizes the length of an answer."""
TRACE_HEADER = "traceparent"
MAX_DEPTH = 32
"""Nested calls allowed in a chain."""
MAX_BODY_BYTES = 1_048_576
"""Largest body that is buffered whole; a larger one is streamed."""

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
_NOT_REMOVABLE = frozenset({"host", "content-length", KEY_HEADER.lower()})
"""Headers that a Connection header can't remove from a message."""
_FRAMED_BY_NODE = frozenset({"content-length", "expect"})
"""Request headers that are not forwarded, since the node frames the body itself."""


class HeaderLookup:
    """Looks up headers by name, regardless of case."""

    def __init__(self, headers: Headers) -> None:
        self._headers = headers

    def get(self, name: str, default: str | None = None) -> str | None:
        """Return the first value of a header, or the default."""
        lower = name.lower()
        for found, value in self._headers:
            if found.lower() == lower:
                return value
        return default


class CallCutError(ComfreytrayError):
    """Raised when an answer breaks off after its head was passed on."""


class CallCancelledError(Exception):
    """Raised in the greenlet of a call whose caller hung up or cancelled it."""

    kind = Kind.CANCELLED
    """How the call failed."""


@define(kw_only=True, eq=False)
class Call:
    """A call on its way to an upstream."""

    service: str
    customer: str
    share: float
    """Largest share of an upstream's slots that the customer may hold."""
    method: str
    target: str
    """Path and query as the caller sent them."""
    headers: Headers
    """End-to-end headers only."""
    body: bytes
    """The whole body; empty if it is streamed as `upload`."""
    deadline: float
    """Monotonic time of this process, in seconds."""
    idempotent: bool
    depth: int = 0
    """Calls above this one in the chain."""
    retried: bool = False
    """Whether a call of this chain was already retried."""
    key: str = ""
    """Idempotency key still to be claimed; empty if none."""
    trace: str = ""
    """W3C traceparent of the parent span."""
    call_id: str = ""
    """Id that the caller gave to this attempt; empty if none."""
    caller: str = ""
    """Service of the instance that began the call."""
    kind: str = ""
    """Name of the route; calls of one route take about the same time."""
    priority: int = 0
    """Priority of the route; 0 is the most urgent."""
    due: float = 0.0
    """Time by which the route's latency target is met, as `deadline`; 0 if none."""
    attempts: list[str] = field(factory=list)
    """Node, result and duration of each attempt, for the log."""
    fingerprint: bytes = b""
    """Fingerprint of the request, once it was needed."""
    is_isolated: bool = False
    """Whether it runs in isolation at this owner."""
    max_attempts: int = 0
    """Maximum number of endpoints to try; 0 leaves it to the retry policy."""
    upload: Upload | None = None
    """A body that is sent in parts; None if `body` holds it."""


@frozen(kw_only=True)
class Load:
    """Load of an upstream, as reported by the node beside it."""

    used: float = 0.0
    """Calls running and queued, as a share of the slots."""
    service_time_s: float = 0.0
    """Mean seconds for which a call holds a slot; 0 if unknown."""
    held_s: float = 0.0
    """Seconds for which the answered call held its slot; 0 if unknown."""
    pace: float = 0.0
    """How long work takes now, in percent of the usual time; 0 if not reported."""
    slots: int = 0
    """Slots in use, at most those announced; 0 if the announced ones are."""


IDLE = Load()


def _no_close() -> None:
    return None


@define(kw_only=True, eq=False)
class Reply:
    """An answer: complete in `body`, or with its further parts in `rest`.

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
    """A failure, with what is known about whether the call ran."""

    failure: Failure
    ran: Ran
    load: "Load" = field(factory=lambda: IDLE)
    node_id: str = field(default="")
    sent: bool = False
    """Whether the call was, or may have been, sent to an upstream."""

    @classmethod
    def of(cls, failure: Failure, *, load: "Load | None" = None) -> "Outcome":
        """Return the outcome that the table of answers gives for a failure."""
        return cls(failure=failure, ran=failure.answer.ran, load=load or IDLE)


_RAN_ORDER = (Ran.NO, Ran.UNKNOWN, Ran.YES)


def combine_ran(first: Ran, second: Ran) -> Ran:
    """Return whether a call ran, given what is known of two of its attempts."""
    return max(first, second, key=_RAN_ORDER.index)


def fail(kind: Kind, detail: str = "", retry_after_s: float | None = None) -> Outcome:
    """Return the outcome of a call that failed with a kind of error."""
    failure = Failure(kind=kind, detail=detail, retry_after_s=retry_after_s)
    return Outcome(failure=failure, ran=failure.answer.ran)


def request_headers(
    headers: Iterable[tuple[str, str]], set_by_node: frozenset[str]
) -> Headers:
    """Return the caller's headers that are forwarded to the upstream unchanged."""
    pairs = tuple(headers)
    drop = _add_connection_listed(pairs, _HOP_BY_HOP | _FRAMED_BY_NODE | set_by_node)
    return tuple([pair for pair in pairs if pair[0].lower() not in drop])


def answer_headers(headers: Iterable[tuple[str, str]]) -> Headers:
    """Return the headers of an upstream's answer that are forwarded to the caller."""
    pairs = tuple(headers)
    drop = _add_connection_listed(pairs, _HOP_BY_HOP)
    kept: list[tuple[str, str]] = []
    for pair in pairs:
        name = pair[0].lower()
        if name in drop or name.startswith(_OWN_PREFIX):
            continue
        kept.append((LENGTH_HEADER, pair[1]) if name == "content-length" else pair)
    return tuple(kept)


def _add_connection_listed(pairs: Headers, drop: frozenset[str]) -> frozenset[str]:
    """Return the names to drop, with those that a Connection header lists."""
    for name, value in pairs:
        if len(name) == len("connection") and name.lower() == "connection":
            listed = {part.strip().lower() for part in value.split(",")}
            drop = drop | (listed - _NOT_REMOVABLE)
    return drop


def ceil_ms(seconds: float) -> int:
    """Return seconds as milliseconds, rounded up and at least 0."""
    return max(0, math.ceil(seconds * 1000))
