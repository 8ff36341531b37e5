"""Sample the endpoints that one pick compares, mostly near ones.

Load pattern: with hundreds of endpoints of a service, comparing all of them for each
call would cost more than the call itself.
"""

import random
from collections.abc import Sequence

from attrs import define

from comfreytray.common.records import NodeRecord

MAX_NEAR = 6
MAX_FAR = 4
"""Endpoints that one pick compares, of the node's region and of other regions."""


@define(kw_only=True, eq=False)
class _RegionGroups:
    """The endpoints of a service, grouped by whether they are in the node's region."""

    records: tuple[NodeRecord, ...]
    near: list[NodeRecord]
    far: list[NodeRecord]


class Sampler:
    """Draws random samples and keeps the groups until the endpoints change."""

    def __init__(self, *, random: random.Random) -> None:
        self._random = random
        self._groups_by_service: dict[str, _RegionGroups] = {}

    def sample(
        self, service: str, records: tuple[NodeRecord, ...], region: str
    ) -> Sequence[NodeRecord]:
        """Return all endpoints if there are few, else a sample of mostly near ones."""
        if len(records) <= MAX_NEAR + MAX_FAR:
            return records
        groups = self._groups_by_service.get(service)
        if groups is None or groups.records is not records:
            groups = _group_by_region(records, region)
            self._groups_by_service[service] = groups
        near = self._random.sample(groups.near, min(MAX_NEAR, len(groups.near)))
        return near + self._random.sample(groups.far, min(MAX_FAR, len(groups.far)))


def _group_by_region(records: tuple[NodeRecord, ...], region: str) -> _RegionGroups:
    return _RegionGroups(
        records=records,
        near=[record for record in records if record.region == region],
        far=[record for record in records if record.region != region],
    )
