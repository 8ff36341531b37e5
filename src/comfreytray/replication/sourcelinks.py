"""The connections of a node to its sources."""

from collections.abc import Callable, Iterable
from typing import Any

import eventlet

from comfreytray.common import logs
from comfreytray.common.errors import Failure
from comfreytray.common.interfaces import Clock
from comfreytray.common.records import NodeRecord
from comfreytray.replication import frames, links
from comfreytray.replication.links import Link
from comfreytray.replication.sources import Sources

SILENCE_S = 1.6
"""Time without a frame after which a source counts as lost."""
MIN_TICKS_OF_SILENCE = 3
"""Checks without a frame before a source counts as lost, so that a node that was itself
paused first reads what has arrived."""


class _SourceLink:
    """The connection to one source, from the attempt to connect to its end."""

    def __init__(self) -> None:
        self.link: Link | None = None
        self.greenlet: Any = None
        self.silent_ticks = 0


class SourceLinks:
    """Opens and closes connections to sources and tells `sources` how they fare."""

    def __init__(
        self,
        *,
        own_id: str,
        clock: Clock,
        sources: Sources,
        on_frame: Callable[[Link, frames.Frame], None],
        on_lost: Callable[[], None],
    ) -> None:
        self._own_id = own_id
        self._clock = clock
        self._sources = sources
        self._on_frame = on_frame
        self._on_lost = on_lost
        self._source_by_id: dict[str, _SourceLink] = {}

    def adjust(self, wanted: Iterable[NodeRecord]) -> None:
        """Connect to the wanted sources and disconnect from all others."""
        record_by_id = {record.node_id: record for record in wanted}
        for node_id in set(self._source_by_id) - set(record_by_id):
            self._sources.closed(node_id)
            self._close(node_id)
        for node_id, record in record_by_id.items():
            if node_id not in self._source_by_id:
                self._open(record)

    def send(self, node_id: str, packed: bytes) -> None:
        """Send a frame to a source, if it is connected."""
        source = self._source_by_id.get(node_id)
        if source is not None and source.link is not None:
            source.link.send(packed)

    def drop_silent(self) -> None:
        """Give up on sources that sent nothing for a while."""
        now = self._clock.monotonic()
        for node_id, source in list(self._source_by_id.items()):
            if source.link is None or now - source.link.received_at < SILENCE_S:
                source.silent_ticks = 0
                continue
            source.silent_ticks += 1
            if source.silent_ticks >= MIN_TICKS_OF_SILENCE:
                self._lose(node_id, f"silent for {SILENCE_S} s")

    def _open(self, record: NodeRecord) -> None:
        self._sources.connecting(record, self._clock.monotonic())
        source = self._source_by_id[record.node_id] = _SourceLink()
        source.greenlet = eventlet.spawn(self._read, record, source)

    def _read(self, record: NodeRecord, source: _SourceLink) -> None:
        link = links.follow(
            record.control_address,
            own_id=self._own_id,
            source_id=record.node_id,
            clock=self._clock,
            on_frame=self._on_frame,
        )
        if not isinstance(link, Failure):
            source.link = link
            link.read()
        if self._source_by_id.get(record.node_id) is source:
            reason = link.detail if isinstance(link, Failure) else "connection ended"
            self._lose(record.node_id, reason)
            self._on_lost()

    def _lose(self, node_id: str, reason: str) -> None:
        logs.warn(logs.Event.SOURCE_LOST, source=node_id, reason=reason)
        self._sources.lost(node_id, self._clock.monotonic())
        self._close(node_id)

    def _close(self, node_id: str) -> None:
        source = self._source_by_id.pop(node_id)
        if source.link is not None:
            source.link.close()
        elif source.greenlet is not eventlet.getcurrent():
            source.greenlet.kill()
