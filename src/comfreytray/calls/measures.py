"""What the owner of an endpoint measures of it, for the other nodes' choices.

Load pattern: calls enter at hundreds of nodes, a few a second at each, for dozens of
endpoints. What one node measures of one endpoint is old or missing when it is needed,
so slow and failing endpoints get calls until each node has found out for itself. The
owner sees all calls of its endpoint and tells the nodes near by.
"""

from collections.abc import Mapping

from attrs import field, frozen

from comfreytray.common.interfaces import Clock

WEIGHT = 0.05
"""Weight of the newest call in a mean."""
MAX_KINDS = 16
MIN_CALLS = 8
"""Calls from which a mean is told to others."""
VALID_S = 6.0
"""Age up to which what an owner told is used."""


@frozen(kw_only=True)
class Measures:
    """What an owner tells of its endpoint."""

    failure_share: float = 0.0
    """Share of the calls that the endpoint failed, of late."""
    service_time_s_by_kind: Mapping[str, float] = field(factory=dict)
    """Mean time of successful calls of a kind."""


class OwnMeasures:
    """Measures the endpoint beside a node."""

    def __init__(self) -> None:
        self._instance_id = ""
        self._clear()

    def _clear(self) -> None:
        self._calls = 0
        self._failure_share = 0.0
        self._service_time_s_by_kind: dict[str, float] = {}

    def record(
        self, *, instance_id: str, kind: str, took_s: float, failed: bool
    ) -> None:
        """Record a call that ended; another instance is measured anew."""
        if instance_id != self._instance_id:
            self._instance_id = instance_id
            self._clear()
        self._calls += 1
        self._failure_share += WEIGHT * (failed - self._failure_share)
        if failed:
            return
        by_kind = self._service_time_s_by_kind
        if kind not in by_kind and len(by_kind) >= MAX_KINDS:
            by_kind.clear()
        mean_s = by_kind.get(kind, took_s)
        by_kind[kind] = mean_s + WEIGHT * (took_s - mean_s)

    def report(self) -> Measures | None:
        """Return what to tell the others; None after too few calls."""
        if self._calls < MIN_CALLS:
            return None
        return Measures(
            failure_share=self._failure_share,
            service_time_s_by_kind=dict(self._service_time_s_by_kind),
        )


class SharedMeasures:
    """Holds what owners told of their endpoints, by the id of the node beside it."""

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._told_by_id: dict[str, tuple[float, Measures]] = {}
        self._mean_s_by_kind: dict[str, float] = {}

    def learn(self, measures_by_id: Mapping[str, Measures]) -> None:
        """Take what owners told; what they no longer tell is forgotten."""
        now = self._clock.monotonic()
        for node_id, measures in measures_by_id.items():
            self._told_by_id[node_id] = (now, measures)
        for node_id, (told_at, _) in list(self._told_by_id.items()):
            if now - told_at > VALID_S:
                del self._told_by_id[node_id]
        self._mean_s_by_kind = self._means()

    def failure_share(self, node_id: str, now: float) -> float:
        """Return the share of calls that an endpoint fails; 0 if nothing was told."""
        told = self._told(node_id, now)
        return 0.0 if told is None else told.failure_share

    def slowdown(self, node_id: str, now: float) -> float | None:
        """Return an endpoint's mean time relative to all; None if nothing was told.

        An endpoint that fails all its calls has no times and counts as an average one.
        """
        told = self._told(node_id, now)
        if told is None:
            return None
        ratios = [
            took_s / self._mean_s_by_kind[kind]
            for kind, took_s in told.service_time_s_by_kind.items()
            if self._mean_s_by_kind.get(kind, 0.0) > 0.0
        ]
        return sum(ratios) / len(ratios) if ratios else 1.0

    def _told(self, node_id: str, now: float) -> Measures | None:
        told_at, measures = self._told_by_id.get(node_id, (-VALID_S, None))
        return measures if now - told_at <= VALID_S else None

    def _means(self) -> dict[str, float]:
        """Return the mean time of each kind over the endpoints."""
        times_by_kind: dict[str, list[float]] = {}
        for _, measures in self._told_by_id.values():
            for kind, took_s in measures.service_time_s_by_kind.items():
                times_by_kind.setdefault(kind, []).append(took_s)
        return {kind: sum(times) / len(times) for kind, times in times_by_kind.items()}
