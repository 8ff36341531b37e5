"""The upstreams of a service by version, as the members' records show them."""

from collections.abc import Callable, Collection, Sequence

import xxhash
from attrs import frozen

from comfreytray.calls.versions import Endpoints
from comfreytray.common.records import MembershipView, NodeRecord


@frozen(kw_only=True)
class Upstreams:
    """The numbers of upstreams that take calls."""

    old: int
    new: int


def version_of(record: NodeRecord) -> str:
    """Return the version of the instance beside a node; empty if there is none."""
    return record.endpoint.version if record.endpoint else ""


def count(view: MembershipView, service: str, target_version: str) -> Upstreams:
    """Count the upstreams of a service."""
    records = view.endpoints_by_service.get(service, ())
    new = sum(version_of(record) == target_version for record in records)
    return Upstreams(old=len(records) - new, new=new)


def choose(
    records: Sequence[NodeRecord], target_version: str, *, instances: int, turn: int
) -> frozenset[str]:
    """Choose the nodes whose new upstreams get calls, the same at each node."""
    new = [r.node_id for r in records if version_of(r) == target_version]
    salt = turn.to_bytes(8)
    ranked = sorted(new, key=lambda i: xxhash.xxh3_64_intdigest(i.encode() + salt))
    return frozenset(ranked[:instances])


class Selection:
    """Leaves the endpoints that a rule accepts; keeps the result until they change."""

    def __init__(self, accepts: Callable[[NodeRecord], bool]) -> None:
        self._accepts = accepts
        self._given: Endpoints | None = None
        self._left: Endpoints = ()

    def __call__(self, records: Endpoints) -> Endpoints:
        """Return the accepted endpoints; the same object if these are all."""
        if records is not self._given:
            left = tuple(filter(self._accepts, records))
            self._given, self._left = records, left
            if len(left) == len(records):
                self._left = records
        return self._left


def except_versions(versions: Collection[str]) -> Selection:
    """Return a rule that excludes versions."""
    excluded = frozenset(versions)
    return Selection(lambda record: version_of(record) not in excluded)


def only_nodes(node_ids: Collection[str], version: str) -> Selection:
    """Return a rule that takes a version beside some nodes."""
    chosen = frozenset(node_ids)
    return Selection(
        lambda record: record.node_id in chosen and version_of(record) == version
    )
