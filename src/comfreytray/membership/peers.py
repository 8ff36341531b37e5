"""The other members, grouped by region and by whether they are suspect."""

from collections import Counter

from attrs import define, field

from comfreytray.common.records import NodeRecord, NodeState


@define(kw_only=True)
class Group:
    """Hold some members, with a list of them that is rebuilt only after a change."""

    _by_id: dict[str, NodeRecord] = field(factory=dict)
    _cached_list: list[NodeRecord] | None = None

    def __len__(self) -> int:
        """Return the number of members."""
        return len(self._by_id)

    @property
    def ids(self) -> list[str]:
        """Return the ids of the members."""
        return list(self._by_id)

    @property
    def records(self) -> list[NodeRecord]:
        """Return the members; the list must not be changed."""
        if self._cached_list is None:
            self._cached_list = list(self._by_id.values())
        return self._cached_list

    def put(self, record: NodeRecord) -> None:
        """Add or replace a member."""
        self._by_id[record.node_id] = record
        self._cached_list = None

    def drop(self, node_id: str) -> None:
        """Remove a member if it is there."""
        if self._by_id.pop(node_id, None) is not None:
            self._cached_list = None


@define(kw_only=True)
class Peers:
    """Group the other members by region and by whether they are suspect."""

    node_id: str
    region: str
    near: Group = field(factory=Group)
    """Members of this region."""
    far: Group = field(factory=Group)
    """Members of other regions."""
    near_alive: Group = field(factory=Group)
    """Members of this region that are not suspect."""
    far_alive: Group = field(factory=Group)
    """Members of other regions that are not suspect."""
    count_by_zone: Counter[str] = field(factory=Counter)
    """Number of members in each data centre and region, this node included."""

    def replace(self, held: NodeRecord | None, record: NodeRecord | None) -> None:
        """Replace a member's record; None stands for a member that is not present."""
        if held is not None:
            self._drop(held)
        if record is not None:
            self._add(record)

    def _add(self, record: NodeRecord) -> None:
        self.count_by_zone[record.data_centre] += 1
        self.count_by_zone[record.region] += 1
        if record.node_id == self.node_id:
            return
        is_near = record.region == self.region
        (self.near if is_near else self.far).put(record)
        if record.state is not NodeState.SUSPECT:
            (self.near_alive if is_near else self.far_alive).put(record)

    def _drop(self, record: NodeRecord) -> None:
        self.count_by_zone[record.data_centre] -= 1
        self.count_by_zone[record.region] -= 1
        for group in (self.near, self.far, self.near_alive, self.far_alive):
            group.drop(record.node_id)
