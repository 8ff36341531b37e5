"""Choice of the source from which a node follows the store: itself, or other nodes.

Load pattern: hundreds of nodes start at once, or a configuration changes several times
a second, and each node that reads the store for itself adds its own calls to each
change. Two nodes of a data centre read the store and pass changes on; nodes choose them
by rendezvous hashing and need not agree. Two nodes that choose differently cost
additional calls, never a wrong state, since objects carry the store's revisions.
"""

from collections.abc import Iterable, Mapping
from enum import Enum

from attrs import define, frozen

from comfreytray.common.records import MembershipView, NodeRecord
from comfreytray.distribution.relays import WATCH_SALT, alive, rank

MIN_GROUP = 8
"""Members from which a data centre or region shares its watchers. In smaller groups
the detour over another node saves few calls."""
WATCHERS = 2
"""Nodes of a group that read the store, so that one may fail unnoticed."""
MAX_CANDIDATES = 6
"""Nodes that a node tries as sources before it reads the store itself."""
PENDING_S = 0.6
"""Time in which a new source may become current before another one is tried."""
MAX_HOLD_S = 0.3
"""Time for which a node without a current source waits for one before it reads the
store itself."""
AVOID_MIN_S = 2.0
AVOID_MAX_S = 16.0
"""Bounds of the time for which a source that could not be reached is avoided; each
failure doubles it."""
MIN_BLIND_SOURCES = 3
"""Reachable sources without contact to the store from which the store counts as down.
With a third of the nodes cut off from the store, three at once are rare."""


class SourceState(Enum):
    """What a node knows about another node as a source."""

    PENDING = "pending"
    """Connecting, or connected a short time ago and not yet current."""
    CURRENT = "current"
    """Connected and in contact with the store."""
    BLIND = "blind"
    """Connected, but without contact to the store."""
    UNREACHED = "unreached"
    """Not yet connected after `PENDING_S`."""


@define(kw_only=True, eq=False)
class _Link:
    """The connection to a source."""

    incarnation: int
    since: float
    is_connected: bool = False
    is_current: bool = False


@define(kw_only=True, eq=False)
class _Avoided:
    """A source that could not be reached."""

    incarnation: int
    until: float
    failures: int


@frozen(kw_only=True)
class Plan:
    """Where a node reads the objects of the store."""

    follows: tuple[NodeRecord, ...] = ()
    """Nodes to which a connection is kept."""
    watches: bool = True
    """Whether the node reads the store itself."""
    is_shared: bool = False
    """Whether the node belongs to a group that shares its watchers."""
    rank: int = 0
    """Position among the watchers of the group, `WATCHERS` for none of them."""
    is_reserve: bool = False
    """Whether the store counts as down and the node only probes it now and then."""

    @property
    def summary(self) -> tuple[object, ...]:
        """Return what was decided, without the state of the nodes that are followed."""
        ids = tuple(record.node_id for record in self.follows)
        return (ids, self.watches, self.rank, self.is_reserve)


class Sources:
    """Chooses sources from the members and from what connections have shown."""

    def __init__(self) -> None:
        self._link_by_id: dict[str, _Link] = {}
        self._avoided_by_id: dict[str, _Avoided] = {}
        self._unserved_since: float | None = None

    def connecting(self, record: NodeRecord, now: float) -> None:
        """Note that a connection to a source is being opened."""
        self._link_by_id[record.node_id] = _Link(
            incarnation=record.incarnation, since=now
        )

    def reported(self, node_id: str, *, is_current: bool) -> None:
        """Note what a source says about its contact to the store."""
        link = self._link_by_id.get(node_id)
        if link is None:
            return
        link.is_connected = True
        link.is_current = is_current
        if is_current:
            self._avoided_by_id.pop(node_id, None)

    def closed(self, node_id: str) -> None:
        """Note that a connection was closed because it is no longer needed."""
        self._link_by_id.pop(node_id, None)

    def lost(self, node_id: str, now: float) -> None:
        """Note that a source could not be reached or fell silent."""
        link = self._link_by_id.pop(node_id, None)
        if link is None:
            return
        avoided = self._avoided_by_id.get(node_id)
        failures = 1 if avoided is None else avoided.failures + 1
        avoid_s = min(AVOID_MAX_S, AVOID_MIN_S * 2.0 ** (failures - 1))
        self._avoided_by_id[node_id] = _Avoided(
            incarnation=link.incarnation, until=now + avoid_s, failures=failures
        )

    def state_of(self, node_id: str, now: float) -> SourceState | None:
        """Return the state of a source; None without a connection."""
        link = self._link_by_id.get(node_id)
        if link is None:
            return None
        if link.is_current:
            return SourceState.CURRENT
        if now - link.since < PENDING_S:
            return SourceState.PENDING
        return SourceState.BLIND if link.is_connected else SourceState.UNREACHED

    def plan(
        self,
        *,
        own: NodeRecord,
        view: MembershipView,
        capacity_by_id: Mapping[str, int],
        now: float,
        is_blind: bool,
        has_followers: bool,
    ) -> Plan:
        """Return where to read from; `is_blind` if own calls to the store fail."""
        group = find_group(own, view)
        if not group:
            return Plan(watches=True)
        order = preferred(group, capacity_by_id)
        chosen, passed_over = self._choose(order, own, now, is_blind=is_blind)
        ids = [record.node_id for record in chosen]
        own_rank = ids.index(own.node_id) if own.node_id in ids else WATCHERS
        sources = chosen[:own_rank]
        states = [self.state_of(record.node_id, now) for record in passed_over]
        is_store_down = states.count(SourceState.BLIND) >= MIN_BLIND_SOURCES
        is_alone = self._is_alone(sources, now)
        return Plan(
            follows=(*sources, *passed_over),
            watches=own_rank < WATCHERS or has_followers or is_alone,
            is_shared=True,
            rank=own_rank,
            is_reserve=is_alone and is_store_down,
        )

    def _choose(
        self, order: list[NodeRecord], own: NodeRecord, now: float, *, is_blind: bool
    ) -> tuple[list[NodeRecord], list[NodeRecord]]:
        """Return the watchers to use, and the better ones that can't serve now."""
        chosen: list[NodeRecord] = []
        passed_over: list[NodeRecord] = []
        for candidate in self._candidates(order, own, now):
            if candidate.node_id == own.node_id:
                if not is_blind:
                    chosen.append(candidate)
            elif self.state_of(candidate.node_id, now) in _NOT_SERVING:
                passed_over.append(candidate)
            else:
                chosen.append(candidate)
            if len(chosen) >= WATCHERS:
                break
        return chosen, passed_over

    def _is_alone(self, sources: list[NodeRecord], now: float) -> bool:
        """Whether no source has been current for longer than `MAX_HOLD_S`."""
        states = [self.state_of(record.node_id, now) for record in sources]
        if SourceState.CURRENT in states:
            self._unserved_since = None
            return False
        if self._unserved_since is None:
            self._unserved_since = now
        return not sources or now - self._unserved_since >= MAX_HOLD_S

    def _candidates(
        self, order: list[NodeRecord], own: NodeRecord, now: float
    ) -> list[NodeRecord]:
        """List the nodes to try, best first, and this node wherever it ranks."""
        usable = [record for record in order if not self._is_avoided(record, now)]
        first = usable[:MAX_CANDIDATES]
        if any(record.node_id == own.node_id for record in first):
            return first
        return [*first, *(r for r in usable if r.node_id == own.node_id)]

    def _is_avoided(self, record: NodeRecord, now: float) -> bool:
        avoided = self._avoided_by_id.get(record.node_id)
        if avoided is None or avoided.until <= now:
            return False
        return avoided.incarnation == record.incarnation


_NOT_SERVING = (SourceState.BLIND, SourceState.UNREACHED)


def preferred(
    group: Iterable[NodeRecord], capacity_by_id: Mapping[str, int]
) -> list[NodeRecord]:
    """Order the members of a group as watchers, the largest machines first.

    After a loss of power they are up first, and they serve many followers.
    """
    order = rank(WATCH_SALT, group)
    return sorted(order, key=lambda record: -capacity_by_id.get(record.node_id, 0))


def find_group(own: NodeRecord, view: MembershipView) -> list[NodeRecord]:
    """Return the members that share watchers with a node; none if they are too few."""
    members = [r for r in alive(view) if r.node_id != own.node_id]
    members.append(own)
    in_region = [record for record in members if record.region == own.region]
    in_data_centre = [r for r in in_region if r.data_centre == own.data_centre]
    for group in (in_data_centre, in_region):
        if len(group) >= MIN_GROUP:
            return group
    return []
