"""Packed answers to pulls, kept since followers mostly lack the same objects."""

from comfreytray.replication import frames
from comfreytray.replication.replica import Progress, Replica

MAX_PACKED_BATCHES = 4


class PackedAnswers:
    """Pack what followers pull, once for all that hold the same."""

    def __init__(self) -> None:
        self._packed_by_pull: dict[tuple[int, Progress, int], bytes] = {}

    def pack(self, pull: frames.Pull, replica: Replica) -> bytes:
        """Return the packed answer to a pull from a replica."""
        complete_to = replica.progress.complete_to
        key = (pull.feed, pull.held, complete_to)
        packed = self._packed_by_pull.get(key)
        if packed is None:
            objects = frames.Objects(
                feed=pull.feed,
                complete_to=complete_to,
                changes=replica.changes_after(pull.held),
            )
            packed = frames.pack_objects(objects)
            while len(self._packed_by_pull) >= MAX_PACKED_BATCHES:
                del self._packed_by_pull[next(iter(self._packed_by_pull))]
            self._packed_by_pull[key] = packed
        return packed
