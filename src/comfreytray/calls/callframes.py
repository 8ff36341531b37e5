"""Frames of call streams: msgpack arrays, validated field by field.

The first element of a frame is its tag, the second its stream id (its protocol version
in a hello). Tags 40 to 59 belong to this module; a tag is never reused.
"""

import math
from typing import Any

import msgpack
from attrs import frozen

from comfreytray.calls.call import MAX_BODY_BYTES, Call, Headers, Load, Outcome
from comfreytray.calls.nesting import NESTED_PRIORITY
from comfreytray.common.errors import Failure, Kind, Ran

PROTOCOL_VERSION = 3
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
BODY_FOLLOWS = 50

WINDOW_BYTES = 262_144
"""Flow control: bytes of an answer in flight before the reader must grant credit."""
CHUNK_BYTES = 65_536
MAX_FRAME_BYTES = MAX_BODY_BYTES + 262_144
MAX_ID = 2**53
UNKNOWN_LENGTH = -1
MAX_HEADERS = 200
MICROSECONDS_PER_S = 1_000_000

_FIELD_TYPES_BY_TAG: dict[int, tuple[type, ...]] = {
    HELLO: (int, str, str),  # version, caller_id, expected_id
    OPEN: (
        int,  # 1: stream id
        str,  # 2: service
        str,  # 3: customer
        float,  # 4: share
        str,  # 5: method
        str,  # 6: target
        tuple,  # 7: headers
        bytes,  # 8: body
        int,  # 9: time left, in microseconds
        bool,  # 10: idempotent
        int,  # 11: depth
        bool,  # 12: retried
        str,  # 13: idempotency key
        str,  # 14: trace context
        str,  # 15: call id
        str,  # 16: caller
        str,  # 17: kind
        int,  # 18: priority
        bool,  # 19: whether the answer has a due time
        int,  # 20: time until the answer is due, in microseconds
    ),
    # stream id, status, reason, headers, body, last,
    # load: used, service time, pace, slots, held
    HEAD: (int, int, str, tuple, bytes, bool, float, float, float, int, float),
    # Stream id, chunk, last: of an answer, or of the body of a call.
    DATA: (int, bytes, bool),
    CREDIT: (int, int),  # stream id, bytes granted to the sender of DATA
    # stream id, kind, ran, detail, sent, retry after,
    # load: used, service time, pace, slots
    REFUSE: (int, str, str, str, bool, float, float, float, float, int),
    CANCEL: (int,),
    CUT: (int, str, str),  # stream id, kind, detail
    PING: (int,),
    PONG: (int,),
    # Stream id and declared length (or `UNKNOWN_LENGTH`) of the body that the call
    # opened by the next frame has in DATA frames.
    BODY_FOLLOWS: (int, int),
}
_KIND_BY_VALUE = {kind.value: kind for kind in Kind}
_RAN_BY_VALUE = {ran.value: ran for ran in Ran}
_pack = msgpack.Packer(use_bin_type=True).pack

Frame = tuple[Any, ...]


@frozen(kw_only=True)
class Hello:
    """First frame of a connection: the caller's id and the owner's id it expects."""

    version: int
    caller_id: str
    expected_id: str


def pack_hello(*, caller_id: str, expected_id: str) -> bytes:
    """Pack the frame that opens a connection."""
    return _pack((HELLO, PROTOCOL_VERSION, caller_id, expected_id))  # type: ignore[no-any-return]


def pack_open(stream_id: int, call: Call, left_s: float) -> bytes:
    """Pack a call with its remaining time."""
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


def pack_body_follows(stream_id: int, length: int | None) -> bytes:
    """Pack the announcement of a call whose body follows in parts."""
    announced = UNKNOWN_LENGTH if length is None else length
    return _pack((BODY_FOLLOWS, stream_id, announced))  # type: ignore[no-any-return]


def pack_head(
    stream_id: int,
    *,
    status: int,
    reason: str,
    headers: Headers,
    body: bytes,
    last: bool,
    load: Load,
) -> bytes:
    """Pack the head of an answer and the first part of its body."""
    return _pack(  # type: ignore[no-any-return]
        (
            HEAD,
            stream_id,
            status,
            reason,
            headers,
            body,
            last,
            *_load_fields(load),
            float(load.held_s),
        )
    )


def pack_data(stream_id: int, chunk: bytes, *, last: bool) -> bytes:
    """Pack a part of a body."""
    return _pack((DATA, stream_id, chunk, last))  # type: ignore[no-any-return]


def pack_credit(stream_id: int, size: int) -> bytes:
    """Pack flow-control credit for `size` further bytes of a body."""
    return _pack((CREDIT, stream_id, size))  # type: ignore[no-any-return]


def pack_refuse(stream_id: int, outcome: Outcome) -> bytes:
    """Pack a failure and what is known about whether the call ran."""
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
            *_load_fields(outcome.load),
        )
    )


def _load_fields(load: Load) -> tuple[float, float, float, int]:
    return (float(load.used), float(load.service_time_s), float(load.pace), load.slots)


def parse_load(values: Frame) -> Load:
    """Read the load from the last fields of a frame."""
    return Load(
        used=values[0],
        service_time_s=values[1],
        pace=values[2],
        slots=values[3],
        held_s=values[4] if len(values) > 4 else 0.0,
    )


def pack_cancel(stream_id: int) -> bytes:
    """Pack the cancellation of a call by its caller."""
    return _pack((CANCEL, stream_id))  # type: ignore[no-any-return]


def pack_cut(stream_id: int, failure: Failure) -> bytes:
    """Pack the failure of an answer that was truncated after its head."""
    return _pack((CUT, stream_id, failure.kind.value, failure.detail))  # type: ignore[no-any-return]


def pack_ping(number: int) -> bytes:
    """Pack a liveness probe."""
    return _pack((PING, number))  # type: ignore[no-any-return]


def pack_pong(number: int) -> bytes:
    """Pack the answer to a ping."""
    return _pack((PONG, number))  # type: ignore[no-any-return]


def find_kind(value: str) -> Kind | None:
    """Return the error kind with a value, if there is one."""
    return _KIND_BY_VALUE.get(value)


def find_ran(value: str) -> Ran | None:
    """Return the `Ran` outcome with a value, if there is one."""
    return _RAN_BY_VALUE.get(value)


class Decoder:
    """Decodes the bytes of a connection into validated frames."""

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
        """Return the complete frames, or the Failure that must close the connection."""
        frames: list[Frame] = []
        try:
            self._unpacker.feed(received)
            for frame in self._unpacker:
                error = _find_error(frame)
                if error:
                    return Failure(kind=Kind.BAD_FRAME, detail=error)
                frames.append(frame)
        except msgpack.BufferFull:
            return Failure(kind=Kind.FRAME_TOO_LARGE)
        except Exception as error:
            return Failure(kind=Kind.BAD_FRAME, detail=type(error).__name__)
        return frames


def _find_error(frame: object) -> str:
    """Return what is wrong with a frame, empty if it is valid."""
    if type(frame) is not tuple or not frame:
        return "not an array"
    tag = frame[0]
    types = _FIELD_TYPES_BY_TAG.get(tag) if type(tag) is int else None
    if types is None:
        return "unknown tag"
    if len(frame) != len(types) + 1:
        return f"wrong length for tag {tag}"
    for value, expected in zip(frame[1:], types, strict=True):
        if type(value) is not expected:
            return f"wrong type for tag {tag}"
    if tag != HELLO and not 0 < frame[1] <= MAX_ID:
        return "stream id out of range"
    return _CHECK_BY_TAG[tag](frame) if tag in _CHECK_BY_TAG else ""


def _are_headers(headers: tuple[Any, ...]) -> bool:
    return all(
        type(pair) is tuple
        and len(pair) == 2
        and type(pair[0]) is str
        and type(pair[1]) is str
        for pair in headers
    )


def _check_open(frame: Frame) -> str:
    if not _are_headers(frame[7]):
        return "malformed headers in a call"
    in_range = frame[18] >= NESTED_PRIORITY and 0.0 < frame[4] <= 1.0
    if min(frame[9], frame[11]) < 0 or not in_range:
        return "number out of range in a call"
    return ""


def _check_head(frame: Frame) -> str:
    if not _are_headers(frame[4]) or not _are_non_negative(frame[7:12]):
        return "malformed headers or load in an answer"
    return (
        "" if 200 <= frame[2] <= 599 else f"status {frame[2]} of an answer out of range"
    )


def _check_credit(frame: Frame) -> str:
    return "" if 0 < frame[2] <= WINDOW_BYTES else "credit out of range"


def _check_refuse(frame: Frame) -> str:
    if find_kind(frame[2]) is None or find_ran(frame[3]) is None:
        return "unknown kind or outcome"
    return "" if _are_non_negative(frame[6:11]) else "number out of range in a refusal"


def _are_non_negative(values: Frame) -> bool:
    return all(math.isfinite(value) and value >= 0 for value in values)


def _check_body_follows(frame: Frame) -> str:
    return "" if UNKNOWN_LENGTH <= frame[2] <= MAX_ID else "length out of range"


def _check_cut(frame: Frame) -> str:
    return "unknown kind" if find_kind(frame[2]) is None else ""


_CHECK_BY_TAG = {
    OPEN: _check_open,
    HEAD: _check_head,
    CREDIT: _check_credit,
    REFUSE: _check_refuse,
    CUT: _check_cut,
    BODY_FOLLOWS: _check_body_follows,
}
