"""Passes on what owners measure of their endpoints, within a group of nodes."""

from collections.abc import Callable, Mapping

from comfreytray.calls.measures import VALID_S, Measures
from comfreytray.common.interfaces import Clock

PERIOD_S = 2.0
"""Period in which nodes tell their source, and the source tells all."""


class MeasureExchange:
    """Collects the measures of a group at its first watcher; does no I/O itself."""

    def __init__(
        self,
        *,
        clock: Clock,
        own: Callable[[], Measures | None] = lambda: None,
        learn: Callable[[Mapping[str, Measures]], None] = lambda _: None,
    ) -> None:
        self._clock = clock
        self._own = own
        self._learn = learn
        self._told_by_id: dict[str, tuple[float, Measures]] = {}
        self._sent_at = -PERIOD_S

    def is_due(self) -> bool:
        """Whether it is time to tell again; then notes that it is done."""
        now = self._clock.monotonic()
        if now - self._sent_at < PERIOD_S:
            return False
        self._sent_at = now
        return True

    def own_table(self, node_id: str) -> dict[str, Measures]:
        """Return what this node tells of the endpoint beside it."""
        own = self._own()
        return {} if own is None else {node_id: own}

    def collect(self, node_id: str, measures_by_id: Mapping[str, Measures]) -> None:
        """Take what a follower tells of the endpoint beside it."""
        own = measures_by_id.get(node_id)
        if own is not None:
            self._told_by_id[node_id] = (self._clock.monotonic(), own)

    def group_table(self, own_id: str) -> dict[str, Measures]:
        """Return what the nodes of the group told, and learn it."""
        now = self._clock.monotonic()
        table = {
            node_id: measures
            for node_id, (told_at, measures) in self._told_by_id.items()
            if now - told_at <= VALID_S
        }
        table |= self.own_table(own_id)
        self._told_by_id = {
            node_id: told
            for node_id, told in self._told_by_id.items()
            if node_id in table
        }
        self._learn(table)
        return table

    def receive(self, measures_by_id: Mapping[str, Measures]) -> None:
        """Take the table of the group from a source."""
        self._learn(measures_by_id)
