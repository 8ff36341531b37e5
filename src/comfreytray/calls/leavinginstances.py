"""Instances that said in their answers that they leave, kept by the callers' nodes.

Mostly the node beside an instance refuses its calls from then on. It may have started
anew since and not know; a node that has passed on such an answer does.
"""

from comfreytray.common.records import NodeRecord

EXCLUDED_S = 30.0
"""Time in which an instance that leaves has ended; its id may be used again after."""


class LeavingInstances:
    """Remembers instances that leave, by their id."""

    def __init__(self) -> None:
        self._until_by_id: dict[str, float] = {}

    def add(self, record: NodeRecord, now: float) -> None:
        """Exclude the instance beside a node, and forget those that have ended."""
        if record.endpoint is None:
            return
        self._until_by_id[record.endpoint.instance_id] = now + EXCLUDED_S
        for instance_id, until in list(self._until_by_id.items()):
            if until <= now:
                del self._until_by_id[instance_id]

    def excludes(self, record: NodeRecord, now: float) -> bool:
        """Whether the instance beside a node gets no calls."""
        if not self._until_by_id or record.endpoint is None:
            return False
        return self._until_by_id.get(record.endpoint.instance_id, now) > now
