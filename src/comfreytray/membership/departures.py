"""Departures that name no start time, kept to recognize heartbeats from before them.

A departure is acknowledged whatever the node knows of the instance, and the instance
relies on that. A node that has just started knows no lifetime that the departure could
end, and a heartbeat that was sent before the departure may still be on its way.
"""

from collections import OrderedDict

from comfreytray.common.interfaces import Clock

MAX_DEPARTURES = 64
"""Instances of one address whose departures are kept; the oldest is dropped."""
MS_PER_S = 1000


class Departures:
    """Holds when instances departed, by their id.

    The time is compared with the start times of instances on the same machine, whose
    clock is the node's.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._departed_ms_by_id: OrderedDict[str, int] = OrderedDict()

    def record(self, instance_id: str) -> None:
        """Record that an instance departs now."""
        self._departed_ms_by_id[instance_id] = int(self._clock.wall() * MS_PER_S)
        self._departed_ms_by_id.move_to_end(instance_id)
        if len(self._departed_ms_by_id) > MAX_DEPARTURES:
            self._departed_ms_by_id.popitem(last=False)

    def include(self, instance_id: str, started_ms: int) -> bool:
        """Whether a departure ended the lifetime that started at a time."""
        departed_ms = self._departed_ms_by_id.get(instance_id)
        return departed_ms is not None and started_ms < departed_ms
