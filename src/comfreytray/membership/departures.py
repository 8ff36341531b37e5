"""Departures of instances, kept to recognize heartbeats from before them.

A departure is acknowledged whatever the node knows of the instance, and the instance
relies on that, also after a restart of the node. A heartbeat that was sent before the
departure may still be on its way.
"""

from collections import OrderedDict

from comfreytray.common.interfaces import Clock
from comfreytray.common.records import Departure

MAX_PUBLISHED = 4
"""Departures that a node's record names; late heartbeats are seconds old at most."""
MAX_DEPARTURES = 64
"""Instances of one address whose departures are kept; the oldest is dropped."""
MS_PER_S = 1000


class Departures:
    """Holds the departures of the instances beside a node, by their id."""

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._departure_by_id: OrderedDict[str, Departure] = OrderedDict()

    @property
    def last(self) -> Departure | None:
        """Return the departure that was recorded last."""
        return next(reversed(self._departure_by_id.values()), None)

    @property
    def published(self) -> tuple[Departure, ...]:
        """Return the last departures, oldest first."""
        return tuple(self._departure_by_id.values())[-MAX_PUBLISHED:]

    def get(self, instance_id: str) -> Departure | None:
        """Return the departure of an instance, None if there is none."""
        return self._departure_by_id.get(instance_id)

    def record_now(self, instance_id: str) -> None:
        """Record the departure of an instance whose start time is not known.

        Its lifetimes so far are told from later ones by the clock of the machine that
        it shares with the node.
        """
        now_ms = int(self._clock.wall() * MS_PER_S)
        self.record(Departure(instance_id=instance_id, before_ms=now_ms))

    def record(self, departure: Departure) -> None:
        """Record a departure, in place of an earlier one of the same id."""
        held = self._departure_by_id.pop(departure.instance_id, departure)
        latest = max(held, departure, key=lambda d: d.before_ms)
        self._departure_by_id[departure.instance_id] = latest
        if len(self._departure_by_id) > MAX_DEPARTURES:
            self._departure_by_id.popitem(last=False)

    def restore(self, departure: Departure) -> None:
        """Record a departure that is older than those recorded so far."""
        self.record(departure)
        self._departure_by_id.move_to_end(departure.instance_id, last=False)

    def include(self, instance_id: str, started_ms: int) -> bool:
        """Whether a departure ended the lifetime that started at a time."""
        departure = self._departure_by_id.get(instance_id)
        return departure is not None and started_ms < departure.before_ms
