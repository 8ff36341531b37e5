"""Typed messages between nodes, encoded as msgpack arrays."""

from collections.abc import Callable
from typing import Any, TypeVar

import attrs
import msgpack
from cattrs import UnstructureStrategy
from cattrs.preconf.msgpack import MsgpackConverter, configure_converter

from comfreytray.common.errors import Failure, Kind

MAX_MESSAGE_BYTES = 2 * 1024 * 1024
MAX_DATAGRAM_BYTES = 1400
"""Larger messages are sent by stream."""

_T = TypeVar("_T")
_class_by_tag: dict[int, type] = {}
_tag_by_class: dict[type, int] = {}


class _StrictConverter(MsgpackConverter):
    """Build keyword-only attrs classes from arrays of exactly as many values."""

    def structure_attrs_fromtuple(self, obj: Any, cl: type[_T]) -> _T:
        """Build an instance from the array of its field values."""
        fields = attrs.fields(cl)  # type: ignore[arg-type]
        if not isinstance(obj, list) or len(obj) != len(fields):
            raise ValueError(f"wrong length for {cl.__name__}")
        return cl(
            **{
                item.alias: self._structure_attribute(item, value)
                for item, value in zip(fields, obj, strict=True)
            }
        )


def _exactly(*types: type) -> Callable[[Any, Any], Any]:
    """Return a hook that converts values of the given types only.

    Without the check, bytes(n) of a number n would allocate n bytes.
    """

    def check(value: Any, target: Any) -> Any:
        if type(value) not in types:
            raise TypeError(f"{type(value).__name__} where {target} is expected")
        return target(value)

    return check


def _make_converter() -> _StrictConverter:
    converter = _StrictConverter(unstruct_strat=UnstructureStrategy.AS_TUPLE)
    configure_converter(converter)
    converter.register_structure_hook(bytes, _exactly(bytes))
    converter.register_structure_hook(str, _exactly(str))
    converter.register_structure_hook(int, _exactly(int))
    converter.register_structure_hook(bool, _exactly(bool))
    converter.register_structure_hook(float, _exactly(float, int))
    return converter


_converter = _make_converter()


def message(tag: int) -> Callable[[type[_T]], type[_T]]:
    """Register an attrs class as a message under a tag, a number never reused."""

    def register(cls: type[_T]) -> type[_T]:
        if tag in _class_by_tag:
            raise ValueError(
                f"message tag {tag} is already used by {_class_by_tag[tag]}"
            )
        _class_by_tag[tag] = cls
        _tag_by_class[cls] = tag
        return cls

    return register


def to_plain(value: object) -> list[Any]:
    """Convert a message to a list of plain values: its tag, then its fields."""
    return [_tag_by_class[type(value)], *_converter.unstructure(value)]


def encode(value: object) -> bytes:
    """Encode a message as msgpack."""
    return msgpack.packb(to_plain(value), use_bin_type=True)  # type: ignore[no-any-return]


def from_plain(plain: object) -> object | Failure:
    """Build a message from plain values, or return a failure if they are invalid."""
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
    """Decode a message from msgpack, or return a failure if it is invalid."""
    if len(data) > MAX_MESSAGE_BYTES:
        return Failure(kind=Kind.FRAME_TOO_LARGE, detail=f"{len(data)} bytes")
    try:
        plain = msgpack.unpackb(data, raw=False, strict_map_key=False)
    except Exception as error:
        return Failure(kind=Kind.BAD_FRAME, detail=type(error).__name__)
    return from_plain(plain)
