"""The lease that an upstream renews by posting announcements to its local node."""

import re
from collections import deque
from collections.abc import Callable

import attrs
from attrs import frozen

from comfreytray.common import logs, outerjson
from comfreytray.common.charts import load_chart
from comfreytray.common.errors import Failure, Kind
from comfreytray.common.interfaces import Clock
from comfreytray.common.records import Endpoint, EndpointState, LocalUpstream

LEASE_S = 3.0
"""Seconds for which an announcement holds unless it is renewed."""
MAX_ANNOUNCEMENT_BYTES = 4096
MAX_SLOTS = 10_000
MAX_CONNECTIONS = 100_000
MAX_PORT = 65_535
MAX_LOAD = 10.0
LOAD_STEP = 0.25
"""Smallest change of load that is published to other nodes."""
MIN_LOAD_INTERVAL_S = 60.0
"""Shortest time in seconds between two updates that change only the load."""
LOAD_UPDATES_PER_S = 3.0
"""Limit on load-only updates of all members together; each goes to every member."""
MAX_RETIRED_INSTANCES = 64
"""Drained or replaced instances that are remembered and refused."""

_SERVICE = re.compile(r"[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?")
_INSTANCE = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:-]{0,63}")
_FIELDS = frozenset(
    ("service", "instance_id", "port", "slots", "connections", "state", "load")
)
_CHART = load_chart("lease")


@frozen(kw_only=True)
class Announcement:
    """Hold a checked announcement: the upstream, its state and its load."""

    upstream: LocalUpstream


def parse_announcement(data: bytes, host: str) -> Announcement | Failure:
    """Parse and validate the JSON that an upstream posts."""
    if len(data) > MAX_ANNOUNCEMENT_BYTES:
        return _bad_request(f"{len(data)} bytes")
    try:
        plain = outerjson.loads(data, object_pairs_hook=_reject_repeated_fields)
    except ValueError as error:
        return _bad_request(type(error).__name__)
    if not isinstance(plain, dict) or set(plain) != _FIELDS:
        return _bad_request(f"fields must be {', '.join(sorted(_FIELDS))}")
    wrong = _wrong_field(plain)
    if wrong is not None:
        return _bad_request(wrong)
    endpoint = Endpoint(
        service=plain["service"],
        instance_id=plain["instance_id"],
        slots=plain["slots"],
        connections=plain["connections"],
        state=EndpointState(plain["state"]),
        reported_load=float(plain["load"]),
    )
    upstream = LocalUpstream(host=host, port=plain["port"], endpoint=endpoint)
    return Announcement(upstream=upstream)


def _bad_request(detail: str) -> Failure:
    return Failure(
        kind=Kind.BAD_REQUEST,
        detail=f"announcement: {detail}",
        fields={"reason": detail},
    )


def _reject_repeated_fields(pairs: list[tuple[str, object]]) -> dict[str, object]:
    plain = dict(pairs)
    if len(plain) != len(pairs):
        raise ValueError("repeated field")
    return plain


def _wrong_field(plain: dict[str, object]) -> str | None:
    for name, pattern in (("service", _SERVICE), ("instance_id", _INSTANCE)):
        text = plain[name]
        if not isinstance(text, str) or pattern.fullmatch(text) is None:
            return f"{name} is not a name"
    for name, most in (
        ("port", MAX_PORT),
        ("slots", MAX_SLOTS),
        ("connections", MAX_CONNECTIONS),
    ):
        number = plain[name]
        if type(number) is not int or not 1 <= number <= most:
            return f"{name} must be a whole number from 1 to {most}"
    if plain["state"] not in tuple(state.value for state in EndpointState):
        return "state must be cold, ready or draining"
    load = plain["load"]
    wanted = f"load must be a number from 0 to {MAX_LOAD:g}"
    if isinstance(load, bool) or not isinstance(load, int | float):
        return wanted
    return None if 0 <= load <= MAX_LOAD else wanted


def load_interval_s(members: int) -> float:
    """Return the shortest time in seconds between two updates of one member's load."""
    return max(MIN_LOAD_INTERVAL_S, members / LOAD_UPDATES_PER_S)


class UpstreamLease:
    """Hold the lease of the upstream beside this node.

    A draining instance never becomes ready again, and an instance that was replaced
    cannot regain the lease, so an instance that resumes after a pause has no effect.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        on_change: Callable[[Endpoint | None], None],
        count_members: Callable[[], int] = lambda: 1,
    ) -> None:
        self._clock = clock
        self._count_members = count_members
        self._on_change = on_change
        self._state = _CHART.initial
        self._upstream: LocalUpstream | None = None
        self._expires_at = 0.0
        self._published: Endpoint | None = None
        self._published_at = 0.0
        self._retired_instances: deque[str] = deque(maxlen=MAX_RETIRED_INSTANCES)

    @property
    def upstream(self) -> LocalUpstream | None:
        """Return the upstream that holds the lease, None if the lease has expired."""
        if self._clock.monotonic() >= self._expires_at:
            return None
        return self._upstream

    def receive(self, announcement: Announcement) -> Failure | None:
        """Grant or renew the lease; return a failure if the announcement is refused."""
        self.tick()
        upstream = announcement.upstream
        refused = self._refusal_for(upstream.endpoint)
        if refused is not None:
            return refused
        self._retire_holder(upstream.endpoint)
        draining = upstream.endpoint.state is EndpointState.DRAINING
        if self._state == _CHART.initial:
            logs.log(
                logs.Event.ENDPOINT_ANNOUNCED,
                service=upstream.endpoint.service,
                instance=upstream.endpoint.instance_id,
            )
        before = self._state
        self._state = _CHART.step(before, "drained" if draining else "granted")
        if self._state == "draining" != before:
            logs.log(
                logs.Event.ENDPOINT_LEAVING,
                service=upstream.endpoint.service,
                instance=upstream.endpoint.instance_id,
            )
        self._upstream = upstream
        self._expires_at = self._clock.monotonic() + LEASE_S
        self._publish(upstream.endpoint)
        return None

    def tick(self) -> None:
        """Expire the lease if it was not renewed in time."""
        if self._upstream is None or self._clock.monotonic() < self._expires_at:
            return
        endpoint = self._upstream.endpoint
        logs.warn(
            logs.Event.ENDPOINT_LAPSED,
            service=endpoint.service,
            instance=endpoint.instance_id,
        )
        if self._state == "draining":
            self._retired_instances.append(endpoint.instance_id)
        self._state = _CHART.step(self._state, "expired")
        self._upstream = None
        self._publish(None)

    def _refusal_for(self, endpoint: Endpoint) -> Failure | None:
        if endpoint.instance_id in self._retired_instances:
            return Failure(
                kind=Kind.STALE_VERSION,
                detail=f"{endpoint.instance_id} was drained or replaced",
            )
        if self._upstream is None:
            return None
        held = self._upstream.endpoint
        if endpoint.instance_id != held.instance_id:
            if self._state == "draining":
                return None
            return Failure(
                kind=Kind.CONFLICT, detail=f"{held.instance_id} holds the lease"
            )
        if self._state == "draining" and endpoint.state is not EndpointState.DRAINING:
            return Failure(
                kind=Kind.STALE_VERSION, detail=f"{held.instance_id} is draining"
            )
        return None

    def _retire_holder(self, endpoint: Endpoint) -> None:
        if self._upstream is None:
            return
        held = self._upstream.endpoint
        if held.instance_id == endpoint.instance_id:
            return
        self._retired_instances.append(held.instance_id)
        self._state = _CHART.step(self._state, "replaced")

    def _publish(self, endpoint: Endpoint | None) -> None:
        now = self._clock.monotonic()
        if not self._should_publish(endpoint, now):
            return
        self._published = endpoint
        self._published_at = now
        self._on_change(endpoint)

    def _should_publish(self, endpoint: Endpoint | None, now: float) -> bool:
        """Whether to publish an endpoint, or its removal, in place of the published.

        A change of the load alone is published only if it is large, and at intervals.
        """
        published = self._published
        if endpoint is None or published is None:
            return endpoint is not published
        if attrs.evolve(endpoint, reported_load=published.reported_load) != published:
            return True
        has_moved = abs(endpoint.reported_load - published.reported_load) >= LOAD_STEP
        interval_s = load_interval_s(self._count_members())
        return has_moved and now - self._published_at >= interval_s
