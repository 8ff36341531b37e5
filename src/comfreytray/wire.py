"""Typed messages between nodes as msgpack arrays."""

from collections.abc import Callable
from typing import Any, TypeVar

import attrs
import msgpack
from cattrs import Converter, UnstructureStrategy
from cattrs.preconf.msgpack import make_converter

from comfreytray.errors import Failure, Kind

MAX_MESSAGE_BYTES = 2 * 1024 * 1024
MAX_DATAGRAM_BYTES = 1400

_T = TypeVar("_T")
_class_by_tag: dict[int, type] = {}
_tag_by_class: dict[type, int] = {}
_converter: Converter = make_converter(unstruct_strat=UnstructureStrategy.AS_TUPLE)


def message(tag: int) -> Callable[[type[_T]], type[_T]]:
    """Register an attrs class as a message under a number that is never reused."""

    def register(cls: type[_T]) -> type[_T]:
        if tag in _class_by_tag:
            raise ValueError(f"message tag {tag} is taken by {_class_by_tag[tag]}")
        _class_by_tag[tag] = cls
        _tag_by_class[cls] = tag
        return cls

    return register


def to_plain(value: object) -> list[Any]:
    """Turn a message into a list that msgpack can pack."""
    return [_tag_by_class[type(value)], *_converter.unstructure(value)]


def encode(value: object) -> bytes:
    """Pack a message."""
    return msgpack.packb(to_plain(value), use_bin_type=True)  # type: ignore[no-any-return]


def from_plain(plain: object) -> object | Failure:
    """Check an unpacked list and build its message, or say what is wrong."""
    if not isinstance(plain, list) or not plain:
        return Failure(kind=Kind.BAD_FRAME, detail="not an array")
    tag = plain[0]
    cls = _class_by_tag.get(tag) if isinstance(tag, int) else None
    if cls is None:
        return Failure(kind=Kind.BAD_FRAME, detail="unknown tag")
    if len(plain) - 1 != len(attrs.fields(cls)):
        return Failure(kind=Kind.BAD_FRAME, detail=f"wrong length for {cls.__name__}")
    try:
        return _converter.structure(plain[1:], cls)
    except Exception as error:
        return Failure(
            kind=Kind.BAD_FRAME, detail=f"{cls.__name__}: {type(error).__name__}"
        )


def decode(data: bytes) -> object | Failure:
    """Unpack and check a message."""
    if len(data) > MAX_MESSAGE_BYTES:
        return Failure(kind=Kind.FRAME_TOO_LARGE, detail=f"{len(data)} bytes")
    try:
        plain = msgpack.unpackb(data, raw=False, strict_map_key=False)
    except Exception as error:
        return Failure(kind=Kind.BAD_FRAME, detail=type(error).__name__)
    return from_plain(plain)
