"""Frames between a source and the nodes that follow it: msgpack arrays, validated.

The first element of a frame is its tag. Feeds are numbered in the order in which all
nodes list them.
"""

import math
from collections.abc import Callable, Mapping
from typing import Any

import msgpack
from attrs import frozen

from comfreytray.calls.measures import Measures
from comfreytray.common.errors import Failure, Kind
from comfreytray.distribution.compression import compress, decompress
from comfreytray.replication.replica import ObjectChange, Progress

PROTOCOL_VERSION = 3
"""Nodes of other versions are not followed: those of version 1 send revisions without
the store's era, those of version 2 do not say how old their knowledge is."""
HELLO = 60
ANNOUNCE = 61
PULL = 62
OBJECTS = 63
MEASURES = 64

MAX_FEEDS = 8
MAX_ID_BYTES = 256
MAX_PACKED_BYTES = 4_194_304
"""Compressed size of the objects in one frame."""
MAX_UNPACKED_BYTES = 33_554_432
MAX_TABLE_BYTES = 1_048_576
MAX_REVISION = 2**63
MAX_AGE_MS = 60_000
"""Greatest age that is told; what is older, or was never read, has this one."""

_pack = msgpack.Packer(use_bin_type=True).pack


@frozen(kw_only=True)
class Hello:
    """First frame of a follower."""

    node_id: str


@frozen(kw_only=True)
class Announce:
    """Tell followers what a source holds; sent at changes and as a heartbeat."""

    is_current: bool
    """Whether the source is in contact with the store."""
    progress_by_feed: tuple[Progress, ...]
    age_ms_by_feed: tuple[int, ...]
    """Time since the store showed that each feed was complete, up to `MAX_AGE_MS`."""


@frozen(kw_only=True)
class Pull:
    """Ask a source for the objects of a feed that the follower lacks."""

    feed: int
    held: Progress
    """How far the follower's replica follows the store."""


@frozen(kw_only=True)
class Objects:
    """Answer a pull."""

    feed: int
    complete_to: int
    """Store revision up to which the changes are complete."""
    changes: tuple[ObjectChange, ...]


@frozen(kw_only=True)
class MeasureTable:
    """What owners measure of their endpoints, by the id of the node."""

    measures_by_id: Mapping[str, Measures]


Frame = Hello | Announce | Pull | Objects | MeasureTable


class _FrameError(ValueError):
    """Raised for a frame that breaks the protocol; says what was expected."""


def pack_hello(node_id: str) -> bytes:
    """Pack the first frame of a follower."""
    return _pack((HELLO, PROTOCOL_VERSION, node_id))  # type: ignore[no-any-return]


def pack_announce(announce: Announce) -> bytes:
    """Pack what a source holds."""
    progress = tuple(
        (held.complete_to, held.newest) for held in announce.progress_by_feed
    )
    frame = (ANNOUNCE, announce.is_current, progress, announce.age_ms_by_feed)
    return _pack(frame)  # type: ignore[no-any-return]


def pack_pull(pull: Pull) -> bytes:
    """Pack a request for objects."""
    return _pack((PULL, pull.feed, pull.held.complete_to, pull.held.newest))  # type: ignore[no-any-return]


def pack_objects(objects: Objects) -> bytes:
    """Pack and compress objects."""
    plain = _pack([(c.key, c.version, c.base_version, c.data) for c in objects.changes])
    return _pack((OBJECTS, objects.feed, objects.complete_to, compress(plain)))  # type: ignore[no-any-return]


def pack_measures(measures_by_id: Mapping[str, Measures]) -> bytes:
    """Pack what owners measure of their endpoints."""
    rows = [
        (node_id, told.failure_share, list(told.service_time_s_by_kind.items()))
        for node_id, told in measures_by_id.items()
    ]
    return _pack((MEASURES, compress(_pack(rows))))  # type: ignore[no-any-return]


class Decoder:
    """Decodes the bytes of a connection into validated frames."""

    def __init__(self) -> None:
        self._unpacker = msgpack.Unpacker(
            raw=False,
            use_list=False,
            max_buffer_size=MAX_PACKED_BYTES + 1024,
            max_bin_len=MAX_PACKED_BYTES,
            max_str_len=MAX_ID_BYTES,
            # No frame has more fields than a source may have feeds.
            max_array_len=MAX_FEEDS,
            max_map_len=0,
            max_ext_len=0,
        )

    def feed(self, received: bytes) -> list[Frame] | Failure:
        """Return the complete frames, or the failure that must end the connection."""
        try:
            self._unpacker.feed(received)
            return [_decode(frame) for frame in self._unpacker]
        except msgpack.BufferFull:
            return Failure(kind=Kind.FRAME_TOO_LARGE)
        except Exception as error:
            # The unpacker has its own errors beside those of malformed values.
            detail = f"{type(error).__name__}: {error}"
            return Failure(kind=Kind.BAD_FRAME, detail=detail)


def _decode(frame: Any) -> Frame:
    if type(frame) is not tuple or not frame or type(frame[0]) is not int:
        raise _FrameError("expected an array that begins with a tag")
    decode = _DECODE_BY_TAG.get(frame[0])
    if decode is None:
        raise _FrameError(f"unknown tag {frame[0]}")
    return decode(*frame[1:])


def _decode_hello(version: Any, node_id: Any) -> Hello:
    if version != PROTOCOL_VERSION or type(node_id) is not str:
        raise _FrameError(f"expected a hello of version {PROTOCOL_VERSION}")
    return Hello(node_id=node_id)


def _decode_announce(is_current: Any, progress: Any, ages_ms: Any) -> Announce:
    if type(is_current) is not bool:
        raise _FrameError("expected whether the source is current")
    return Announce(
        is_current=is_current,
        progress_by_feed=tuple(_progress(to, newest) for to, newest in progress),
        age_ms_by_feed=tuple(_age_ms(age_ms) for age_ms in ages_ms),
    )


def _decode_pull(feed: Any, complete_to: Any, newest: Any) -> Pull:
    return Pull(feed=_feed(feed), held=_progress(complete_to, newest))


def _progress(complete_to: Any, newest: Any) -> Progress:
    return Progress(complete_to=_revision(complete_to), newest=_revision(newest))


def _decode_objects(feed: Any, revision: Any, packed: Any) -> Objects:
    plain = _decompress(packed, MAX_UNPACKED_BYTES)
    changes = msgpack.unpackb(plain, use_list=False)
    return Objects(
        feed=_feed(feed),
        complete_to=_revision(revision),
        changes=tuple(_object_change(*change) for change in changes),
    )


def _object_change(
    key: Any, version: Any, base_version: Any, data: Any
) -> ObjectChange:
    if type(data) is not bytes:
        raise _FrameError("expected the bytes of an object")
    return ObjectChange(
        key=_text(key),
        version=_revision(version),
        base_version=_revision(base_version),
        data=data,
    )


def _decode_measures(packed: Any) -> MeasureTable:
    rows = msgpack.unpackb(_decompress(packed, MAX_TABLE_BYTES), use_list=False)
    return MeasureTable(
        measures_by_id={
            _text(node_id): Measures(
                failure_share=_number(failure_share),
                service_time_s_by_kind={
                    _text(kind): _number(took_s) for kind, took_s in times
                },
            )
            for node_id, failure_share, times in rows
        }
    )


def _decompress(packed: Any, max_bytes: int) -> bytes:
    if type(packed) is not bytes:
        raise _FrameError("expected compressed bytes")
    plain = decompress(packed, max_bytes=max_bytes)
    if isinstance(plain, Failure):
        raise _FrameError(plain.detail)
    return plain


def _text(value: Any) -> str:
    if type(value) is not str:
        raise _FrameError(f"expected a text, got {type(value).__name__}")
    return value


def _number(value: Any) -> float:
    if type(value) is not float or not 0.0 <= value < math.inf:
        raise _FrameError(f"expected a number that is not negative, got {value!r}")
    return value


def _feed(value: Any) -> int:
    if type(value) is not int or not 0 <= value < MAX_FEEDS:
        raise _FrameError(f"expected a feed below {MAX_FEEDS}, got {value!r}")
    return value


def _age_ms(value: Any) -> int:
    if type(value) is not int or not 0 <= value <= MAX_AGE_MS:
        raise _FrameError(f"expected an age up to {MAX_AGE_MS} ms, got {value!r}")
    return value


def _revision(value: Any) -> int:
    if type(value) is not int or not 0 <= value < MAX_REVISION:
        raise _FrameError(f"expected a revision, got {value!r}")
    return value


_DECODE_BY_TAG: dict[int, Callable[..., Frame]] = {
    HELLO: _decode_hello,
    ANNOUNCE: _decode_announce,
    PULL: _decode_pull,
    OBJECTS: _decode_objects,
    MEASURES: _decode_measures,
}
