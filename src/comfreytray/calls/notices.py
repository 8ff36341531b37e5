"""Notices by which nodes tell each other what they saw of deadly requests."""

from collections.abc import Callable, Iterable, Mapping
from typing import Any

import msgpack
from attrs import frozen

from comfreytray.calls.fingerprints import FINGERPRINT_BYTES, MAX_LABEL_CHARACTERS

MAX_REQUESTS_PER_END = 64
MAX_NOTICES = 1024
"""Notices in one message."""
MAX_ID_CHARACTERS = 300
MAX_GENERATION = 2**31
MAX_LEFT_S = 864_000.0


@frozen(kw_only=True)
class InstanceEnd:
    """An instance ended while requests were under way at it."""

    end_id: str
    """The same in each copy of the notice."""
    label_by_request: Mapping[bytes, str]
    """What operators recognize each request by, by its fingerprint."""
    isolated: bytes = b""
    """The request that ran in isolation there; empty if none did."""


@frozen(kw_only=True)
class Answered:
    """An instance has answered a request that was suspected or held back."""

    request: bytes
    generation: int
    """Generation of the hold that this lifts."""


@frozen(kw_only=True)
class Held:
    """A request is held back."""

    request: bytes
    label: str
    ends: int
    """Instances that have ended under it."""
    left_s: float
    """Seconds until it may be tried again."""
    generation: int
    """Increases with each hold of the request after a release."""


@frozen(kw_only=True)
class Released:
    """A request may run again, on the word of an operator."""

    request: bytes
    generation: int
    """Generation of the hold that this lifts."""


Notice = InstanceEnd | Answered | Held | Released

_END, _ANSWERED, _HELD, _RELEASED = range(1, 5)


def encode(notices: Iterable[Notice]) -> bytes:
    """Encode notices as one message."""
    return msgpack.packb([_pack(notice) for notice in notices])  # type: ignore[no-any-return]


def decode(message: bytes) -> tuple[Notice, ...] | str:
    """Decode a message; return what is wrong with it if it is malformed."""
    try:
        items = msgpack.unpackb(
            message,
            use_list=False,
            strict_map_key=False,
            max_array_len=MAX_NOTICES,
            max_map_len=MAX_REQUESTS_PER_END,
            max_ext_len=0,
        )
        if type(items) is not tuple:
            return f"expected an array of notices, got {type(items).__name__}"
        return tuple(_unpack(item) for item in items)
    except Exception as error:
        # The message comes from outside, and the library raises many types.
        return f"{type(error).__name__}: {error}"


def _pack(notice: Notice) -> tuple[Any, ...]:
    match notice:
        case InstanceEnd():
            labels = dict(notice.label_by_request)
            return (_END, notice.end_id, labels, notice.isolated)
        case Answered():
            return (_ANSWERED, notice.request, notice.generation)
        case Held():
            return (
                _HELD,
                notice.request,
                notice.label,
                notice.ends,
                notice.left_s,
                notice.generation,
            )
        case Released():
            return (_RELEASED, notice.request, notice.generation)


def _unpack(item: Any) -> Notice:
    """Build a notice; raises ValueError, TypeError, LookupError if it is malformed."""
    unpack = _UNPACK_BY_TAG[item[0]]
    return unpack(*item[1:])


def _unpack_end(end_id: Any, labels: Any, isolated: Any) -> InstanceEnd:
    if type(labels) is not dict:
        raise ValueError(f"expected a map of requests, got {type(labels).__name__}")
    label_by_request = {
        _request(request): _text(label, MAX_LABEL_CHARACTERS)
        for request, label in labels.items()
    }
    if isolated != b"" and _request(isolated) not in label_by_request:
        raise ValueError("the isolated request is not among those under way")
    return InstanceEnd(
        end_id=_text(end_id, MAX_ID_CHARACTERS),
        label_by_request=label_by_request,
        isolated=isolated,
    )


def _unpack_answered(request: Any, generation: Any) -> Answered:
    return Answered(
        request=_request(request), generation=_number(generation, MAX_GENERATION)
    )


def check_held(
    request: Any, label: Any, ends: Any, left_s: Any, generation: Any
) -> Held:
    """Build the notice of a hold; raises ValueError for a malformed field."""
    if type(left_s) is not float or not 0.0 <= left_s <= MAX_LEFT_S:
        raise ValueError(f"expected seconds from 0 to {MAX_LEFT_S:g}, got {left_s!r}")
    return Held(
        request=_request(request),
        label=_text(label, MAX_LABEL_CHARACTERS),
        ends=_number(ends, MAX_GENERATION),
        left_s=left_s,
        generation=_number(generation, MAX_GENERATION),
    )


def _unpack_released(request: Any, generation: Any) -> Released:
    return Released(
        request=_request(request), generation=_number(generation, MAX_GENERATION)
    )


def _request(value: Any) -> bytes:
    if type(value) is not bytes or len(value) != FINGERPRINT_BYTES:
        raise ValueError(f"expected {FINGERPRINT_BYTES} bytes, got {value!r:.60}")
    return value


def _text(value: Any, limit: int) -> str:
    if type(value) is not str or len(value) > limit:
        raise ValueError(f"expected up to {limit} characters, got {value!r:.60}")
    return value


def _number(value: Any, limit: int) -> int:
    if type(value) is not int or not 0 <= value <= limit:
        raise ValueError(f"expected a number from 0 to {limit}, got {value!r:.60}")
    return value


_UNPACK_BY_TAG: dict[int, Callable[..., Notice]] = {
    _END: _unpack_end,
    _ANSWERED: _unpack_answered,
    _HELD: check_held,
    _RELEASED: _unpack_released,
}
