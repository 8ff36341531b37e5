"""Frames of call streams: msgpack arrays with strict checks and no converter.

Tags 40 to 59 belong to this module; a tag is never reused.
"""

import math
from typing import Any

import msgpack
from attrs import frozen

from comfreytray.calls.call import MAX_BODY_BYTES, Call, Headers, Load, Outcome
from comfreytray.common.errors import Failure, Kind, Ran

PROTOCOL_VERSION = 2
HELLO = 40
OPEN = 41
HEAD = 42
DATA = 43
CREDIT = 44
REFUSE = 45
CANCEL = 46
CUT = 47
PING = 48
PONG = 49

WINDOW_BYTES = 262_144
"""Bytes of an answer that may be under way before the reader grants more."""
CHUNK_BYTES = 65_536
MAX_FRAME_BYTES = MAX_BODY_BYTES + 262_144
MAX_ID = 2**53
MAX_HEADERS = 200
MICROSECONDS_PER_S = 1_000_000

_PLAIN_BY_TAG: dict[int, tuple[type, ...]] = {
    HELLO: (int, str, str),
    OPEN: (
        int,
        str,
        str,
        float,
        str,
        str,
        tuple,
        bytes,
        int,
        bool,
        int,
        bool,
        str,
        str,
        str,
        str,
        str,
        int,
        bool,
        int,
    ),
    HEAD: (int, int, str, tuple, bytes, bool, float, float, float),
    DATA: (int, bytes, bool),
    CREDIT: (int, int),
    REFUSE: (int, str, str, str, bool, float, float, float),
    CANCEL: (int,),
    CUT: (int, str, str),
    PING: (int,),
    PONG: (int,),
}
_KIND_BY_VALUE = {kind.value: kind for kind in Kind}
_RAN_BY_VALUE = {ran.value: ran for ran in Ran}
_pack = msgpack.Packer(use_bin_type=True).pack

Frame = tuple[Any, ...]


@frozen(kw_only=True)
class Hello:
    """Say who calls and whom it takes the other side for."""

    version: int
    caller_id: str
    expected_id: str


def hello(*, caller_id: str, expected_id: str) -> bytes:
    """Pack the first frame of a connection."""
    return _pack((HELLO, PROTOCOL_VERSION, caller_id, expected_id))  # type: ignore[no-any-return]


def open_call(stream_id: int, call: Call, left_s: float) -> bytes:
    """Pack a call with the time that it has left."""
    return _pack(  # type: ignore[no-any-return]
        (
            OPEN,
            stream_id,
            call.service,
            call.customer,
            float(call.share),
            call.method,
            call.target,
            call.headers,
            call.body,
            max(0, int(left_s * MICROSECONDS_PER_S)),
            call.idempotent,
            call.depth,
            call.retried,
            call.key,
            call.trace,
            call.call_id,
            call.caller,
            call.kind,
            call.priority,
            call.due > 0,
            int((left_s - (call.deadline - call.due)) * MICROSECONDS_PER_S),
        )
    )


def head(
    stream_id: int,
    *,
    status: int,
    reason: str,
    headers: Headers,
    body: bytes,
    last: bool,
    load: Load,
) -> bytes:
    """Pack the head of an answer with the first part of its body."""
    return _pack(  # type: ignore[no-any-return]
        (
            HEAD,
            stream_id,
            status,
            reason,
            headers,
            body,
            last,
            float(load.used),
            float(load.service_time_s),
            float(load.held_s),
        )
    )


def data(stream_id: int, chunk: bytes, *, last: bool) -> bytes:
    """Pack a further part of an answer."""
    return _pack((DATA, stream_id, chunk, last))  # type: ignore[no-any-return]


def credit(stream_id: int, size: int) -> bytes:
    """Pack a grant of further bytes."""
    return _pack((CREDIT, stream_id, size))  # type: ignore[no-any-return]


def refuse(stream_id: int, outcome: Outcome) -> bytes:
    """Pack a failure with what is known about whether the call ran."""
    failure = outcome.failure
    return _pack(  # type: ignore[no-any-return]
        (
            REFUSE,
            stream_id,
            failure.kind.value,
            outcome.ran.value,
            failure.detail,
            outcome.sent,
            float(failure.retry_after_s or 0.0),
            float(outcome.load.used),
            float(outcome.load.service_time_s),
        )
    )


def load_of(values: Frame) -> Load:
    """Take the load that ends a frame."""
    return Load(
        used=values[0],
        service_time_s=values[1],
        held_s=values[2] if len(values) > 2 else 0.0,
    )


def cancel(stream_id: int) -> bytes:
    """Pack that the caller gave a call up."""
    return _pack((CANCEL, stream_id))  # type: ignore[no-any-return]


def cut(stream_id: int, failure: Failure) -> bytes:
    """Pack that an answer broke off after its head."""
    return _pack((CUT, stream_id, failure.kind.value, failure.detail))  # type: ignore[no-any-return]


def ping(number: int) -> bytes:
    """Pack a question whether the other side still runs."""
    return _pack((PING, number))  # type: ignore[no-any-return]


def pong(number: int) -> bytes:
    """Pack the answer to a ping."""
    return _pack((PONG, number))  # type: ignore[no-any-return]


def kind_of(value: str) -> Kind | None:
    """Look up an error kind by its text."""
    return _KIND_BY_VALUE.get(value)


def ran_of(value: str) -> Ran | None:
    """Look up an outcome by its text."""
    return _RAN_BY_VALUE.get(value)


class Decoder:
    """Cut a connection's bytes into checked frames."""

    def __init__(self) -> None:
        self._unpacker = msgpack.Unpacker(
            raw=False,
            use_list=False,
            strict_map_key=True,
            max_buffer_size=2 * MAX_FRAME_BYTES,
            max_bin_len=MAX_BODY_BYTES,
            max_str_len=MAX_FRAME_BYTES,
            max_array_len=MAX_HEADERS,
            max_map_len=0,
            max_ext_len=0,
        )

    def feed(self, received: bytes) -> list[Frame] | Failure:
        """Return the frames that are complete; a Failure ends the connection."""
        frames: list[Frame] = []
        try:
            self._unpacker.feed(received)
            for plain in self._unpacker:
                fault = _fault_of(plain)
                if fault:
                    return Failure(kind=Kind.BAD_FRAME, detail=fault)
                frames.append(plain)
        except msgpack.BufferFull:
            return Failure(kind=Kind.FRAME_TOO_LARGE)
        except Exception as error:
            return Failure(kind=Kind.BAD_FRAME, detail=type(error).__name__)
        return frames


def _fault_of(plain: object) -> str:
    if type(plain) is not tuple or not plain:
        return "not an array"
    tag = plain[0]
    types = _PLAIN_BY_TAG.get(tag) if type(tag) is int else None
    if types is None:
        return "unknown tag"
    if len(plain) != len(types) + 1:
        return f"wrong length for tag {tag}"
    for value, expected in zip(plain[1:], types, strict=True):
        if type(value) is not expected:
            return f"wrong type for tag {tag}"
    if tag != HELLO and not 0 < plain[1] <= MAX_ID:
        return "stream id out of range"
    return _RULE_BY_TAG[tag](plain) if tag in _RULE_BY_TAG else ""


def _are_headers(headers: tuple[Any, ...]) -> bool:
    return all(
        type(pair) is tuple
        and len(pair) == 2
        and type(pair[0]) is str
        and type(pair[1]) is str
        for pair in headers
    )


def _open_fault(plain: Frame) -> str:
    if not _are_headers(plain[7]):
        return "headers of a call"
    if min(plain[9], plain[11], plain[18]) < 0 or not 0.0 < plain[4] <= 1.0:
        return "number out of range in a call"
    return ""


def _head_fault(plain: Frame) -> str:
    if not _are_headers(plain[4]) or not _are_amounts(plain[7:10]):
        return "headers or load of an answer"
    return "" if 200 <= plain[2] <= 599 else "status of an answer"


def _credit_fault(plain: Frame) -> str:
    return "" if 0 < plain[2] <= WINDOW_BYTES else "credit out of range"


def _refuse_fault(plain: Frame) -> str:
    if kind_of(plain[2]) is None or ran_of(plain[3]) is None:
        return "unknown kind or outcome"
    return "" if _are_amounts(plain[6:9]) else "number of a refusal"


def _are_amounts(values: Frame) -> bool:
    return all(math.isfinite(value) and value >= 0 for value in values)


def _cut_fault(plain: Frame) -> str:
    return "unknown kind" if kind_of(plain[2]) is None else ""


_RULE_BY_TAG = {
    OPEN: _open_fault,
    HEAD: _head_fault,
    CREDIT: _credit_fault,
    REFUSE: _refuse_fault,
    CUT: _cut_fault,
}
