"""The state of the upstream instance beside a node, as its heartbeats report it."""

from collections.abc import Callable
from enum import Enum

import attrs
from attrs import frozen

from comfreytray.common import logs
from comfreytray.common.charts import load_chart
from comfreytray.common.interfaces import Clock
from comfreytray.common.records import (
    Departure,
    Endpoint,
    EndpointState,
    LocalUpstream,
)
from comfreytray.membership.departures import Departures

LEASE_HEARTBEATS = 6
"""Heartbeat intervals in a lease; single heartbeats may arrive seconds late."""

_CHART = load_chart("instance")
_SERVING = "serving"


@frozen(kw_only=True, order=True)
class Lifetime:
    """Identify one run of an instance; a later start orders after an earlier one."""

    started_ms: int
    """Milliseconds since the epoch, by the instance's own clock."""
    instance_id: str

    @property
    def departure(self) -> Departure:
        """Return the departure that ends this lifetime and earlier ones."""
        return Departure(instance_id=self.instance_id, before_ms=self.started_ms + 1)


@frozen(kw_only=True)
class Heartbeat:
    """Hold one heartbeat of an instance."""

    upstream: LocalUpstream
    started_ms: int
    sequence: int
    """Increases with each heartbeat of one lifetime."""

    @property
    def lifetime(self) -> Lifetime:
        """Return the lifetime of the instance that sent the heartbeat."""
        return Lifetime(
            started_ms=self.started_ms,
            instance_id=self.upstream.endpoint.instance_id,
        )


class Receipt(Enum):
    """Outcome of a heartbeat or a departure."""

    ACCEPTED = "taken"
    STALE = "stale"
    """From an earlier lifetime, or superseded by a later message of the same one."""


class InstanceRegister:
    """Track the instance beside this node and whether it accepts calls.

    A lifetime that has left never receives calls again, even if the node has not known
    it before, and a later lifetime replaces an earlier one at once, so late or repeated
    messages have no effect.

    A hidden register processes messages but shows no instance. A starting node keeps it
    hidden until it has learnt what its earlier incarnation acknowledged.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        heartbeat_s: float,
        on_change: Callable[[Endpoint | None], None],
        hidden: bool = False,
    ) -> None:
        self._clock = clock
        self._lease_s = heartbeat_s * LEASE_HEARTBEATS
        self._on_change = on_change
        self._hidden = hidden
        self._departures = Departures(clock=clock)
        self._state = _CHART.initial
        self._lifetime: Lifetime | None = None
        self._sequence = -1
        self._upstream: LocalUpstream | None = None
        self._expires_at = 0.0
        self._published: Endpoint | None = None

    @property
    def upstream(self) -> LocalUpstream | None:
        """Return the instance in its current state, None if its lease has lapsed."""
        self.tick()
        return None if self._hidden else self._upstream

    @property
    def departure(self) -> Departure | None:
        """Return the last departure, which the node's next incarnation must know."""
        return self._departures.last

    @property
    def departures(self) -> tuple[Departure, ...]:
        """Return the last departures, oldest first, for the node's record."""
        return self._departures.published

    def departure_of(self, instance_id: str) -> Departure | None:
        """Return the departure of an instance, None if it has not left."""
        return self._departures.get(instance_id)

    def restore(self, departure: Departure) -> None:
        """Learn a departure that an earlier incarnation of the node acknowledged."""
        self._departures.restore(departure)
        held = self._lifetime
        if held is None or not self._has_departed(held) or self._upstream is None:
            return
        self._step("left", self._upstream.endpoint)
        self._upstream = None
        self._publish(None)

    def show(self) -> None:
        """Show the instance from now on."""
        self._hidden = False
        self._publish(self._upstream.endpoint if self._upstream else None)

    def receive(self, heartbeat: Heartbeat) -> Receipt:
        """Process a heartbeat and renew the lease."""
        self.tick()
        lifetime = heartbeat.lifetime
        if self._has_departed(lifetime) and lifetime != self._lifetime:
            return Receipt.STALE
        endpoint = heartbeat.upstream.endpoint
        draining = endpoint.state is EndpointState.DRAINING
        if not self._accept_lifetime(lifetime):
            if draining:
                self._record_replaced(lifetime)
            return Receipt.STALE
        if heartbeat.sequence <= self._sequence:
            return Receipt.STALE
        self._sequence = heartbeat.sequence
        self._step("draining" if draining else "ready", endpoint)
        self._expires_at = self._clock.monotonic() + self._lease_s
        if self._state == "gone":
            return Receipt.ACCEPTED
        if self._state == "draining":
            endpoint = attrs.evolve(endpoint, state=EndpointState.DRAINING)
        self._upstream = attrs.evolve(heartbeat.upstream, endpoint=endpoint)
        self._publish(endpoint)
        return Receipt.ACCEPTED

    def leave(self, instance_id: str, started_ms: int | None) -> Receipt:
        """Process an instance's departure; without a start, of all lifetimes so far."""
        held = self._lifetime
        if started_ms is not None:
            # Record the lifetime even if a restarted node knows nothing of it, so that
            # delayed heartbeats from before the departure are refused.
            lifetime = Lifetime(started_ms=started_ms, instance_id=instance_id)
            if not self._accept_lifetime(lifetime):
                self._record_replaced(lifetime)
                return Receipt.STALE
        elif held is None or held.instance_id != instance_id:
            self._departures.record_now(instance_id)
            self._on_change(self._published)
            logs.log(logs.Event.ENDPOINT_LEAVING, instance=instance_id, state="unknown")
            return Receipt.ACCEPTED
        endpoint = self._upstream.endpoint if self._upstream else None
        self._step("left", endpoint)
        self._upstream = None
        self._publish(None)
        return Receipt.ACCEPTED

    def drain(self, instance_id: str) -> None:
        """Process what an instance says in an answer: that it leaves."""
        held = self._lifetime
        if held is None or held.instance_id != instance_id or self._upstream is None:
            return
        endpoint = self._upstream.endpoint
        if endpoint.state is EndpointState.DRAINING:
            return
        endpoint = attrs.evolve(endpoint, state=EndpointState.DRAINING)
        self._step("draining", endpoint)
        self._upstream = attrs.evolve(self._upstream, endpoint=endpoint)
        self._publish(endpoint)

    def replaced(self, instance_id: str) -> None:
        """Withdraw an instance because another one answers at its address."""
        held = self._lifetime
        if held is None or held.instance_id != instance_id or not self._upstream:
            return
        logs.warn(logs.Event.ENDPOINT_LAPSED, instance=instance_id, reason="replaced")
        self._lapse()

    def tick(self) -> None:
        """Withdraw the instance if its lease was not renewed in time."""
        if self._upstream is None or self._clock.monotonic() < self._expires_at:
            return
        endpoint = self._upstream.endpoint
        logs.warn(
            logs.Event.ENDPOINT_LAPSED,
            service=endpoint.service,
            instance=endpoint.instance_id,
            lease_s=self._lease_s,
        )
        self._lapse()

    def _lapse(self) -> None:
        self._state = _CHART.step(self._state, "lapsed")
        self._upstream = None
        self._publish(None)

    def _accept_lifetime(self, lifetime: Lifetime) -> bool:
        """Switch to a later lifetime; return False for an earlier one."""
        held = self._lifetime
        if held == lifetime:
            return True
        if held is not None and lifetime < held:
            return False
        self._state = _CHART.step(self._state, "replaced")
        self._lifetime = lifetime
        self._sequence = -1
        self._upstream = None
        return True

    def _record_replaced(self, lifetime: Lifetime) -> None:
        """Record the departure of a lifetime that a later one has replaced already."""
        self._departures.record(lifetime.departure)
        self._on_change(self._published)

    def _has_departed(self, lifetime: Lifetime) -> bool:
        return self._departures.include(lifetime.instance_id, lifetime.started_ms)

    def _step(self, event: str, endpoint: Endpoint | None) -> None:
        before = self._state
        self._state = _CHART.step(before, event)
        if before == self._state or self._lifetime is None:
            return
        name = logs.Event.ENDPOINT_ANNOUNCED
        if self._state != _SERVING:
            name = logs.Event.ENDPOINT_LEAVING
            self._departures.record(self._lifetime.departure)
        logs.log(
            name,
            service=endpoint.service if endpoint else "",
            instance=self._lifetime.instance_id,
            started_ms=self._lifetime.started_ms,
            sequence=self._sequence,
            state=self._state,
        )

    def _publish(self, endpoint: Endpoint | None) -> None:
        if endpoint == self._published or self._hidden:
            return
        self._published = endpoint
        self._on_change(endpoint)
