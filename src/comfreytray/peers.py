"""The other members as one node sees them: near and far, answering or not."""

from collections import Counter

from attrs import define, field

from comfreytray.members import Members
from comfreytray.records import NodeRecord, NodeState


@define(kw_only=True)
class Peers:
    """Keep lists of the other members, made anew only after a change."""

    members: Members
    node_id: str
    region: str
    _count_by_place: Counter[str] = field(factory=Counter)
    _near: list[str] = field(factory=list)
    _far: list[str] = field(factory=list)
    _near_alive: list[NodeRecord] = field(factory=list)
    _far_alive: list[NodeRecord] = field(factory=list)
    _generation: int = -1

    @property
    def near(self) -> list[str]:
        """List the members of this region."""
        self._refresh()
        return self._near

    @property
    def far(self) -> list[str]:
        """List the members of other regions."""
        self._refresh()
        return self._far

    @property
    def near_alive(self) -> list[NodeRecord]:
        """List the members of this region that are not suspect."""
        self._refresh()
        return self._near_alive

    @property
    def far_alive(self) -> list[NodeRecord]:
        """List the members of other regions that are not suspect."""
        self._refresh()
        return self._far_alive

    def count_in(self, place: str) -> int:
        """Count the members of a data centre or region."""
        self._refresh()
        return self._count_by_place[place]

    def _refresh(self) -> None:
        if self._generation == self.members.generation:
            return
        self._generation = self.members.generation
        others = [r for r in self.members.present() if r.node_id != self.node_id]
        self._count_by_place = Counter()
        for record in self.members.present():
            self._count_by_place[record.data_centre] += 1
            self._count_by_place[record.region] += 1
        near = [record for record in others if record.region == self.region]
        far = [record for record in others if record.region != self.region]
        self._near = [record.node_id for record in near]
        self._far = [record.node_id for record in far]
        self._near_alive = [r for r in near if r.state is not NodeState.SUSPECT]
        self._far_alive = [r for r in far if r.state is not NodeState.SUSPECT]
