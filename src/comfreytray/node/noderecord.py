"""What a node publishes of itself, made from its state and the instance beside it."""

from comfreytray.common.records import NodeRecord, NodeState
from comfreytray.membership.heartbeats import InstanceRegister
from comfreytray.node.options import NodeOptions


class RecordSource:
    """Makes the node's current record; the same object until something changes."""

    def __init__(
        self, *, options: NodeOptions, register: InstanceRegister, incarnation: int
    ) -> None:
        self.state = NodeState.ALIVE
        self._options = options
        self._register = register
        self._incarnation = incarnation
        self._made: NodeRecord | None = None
        self._revision = 0

    def current(self) -> NodeRecord:
        """Return the record as the other nodes should see it now."""
        upstream = self._register.upstream
        endpoint = None if upstream is None else upstream.endpoint
        *earlier, departure = self._register.departures or (None,)
        made = self._made
        shown = (endpoint, self.state, self._register.departures)
        if made is not None and (made.endpoint, made.state, made.departures) == shown:
            return made
        self._revision += 1
        options = self._options
        self._made = NodeRecord(
            node_id=options.node_id,
            incarnation=self._incarnation,
            region=options.region,
            data_centre=options.data_centre,
            host=options.host,
            control_port=options.replication_port,
            call_port=options.call_port,
            state=self.state,
            endpoint=endpoint,
            departure=departure,
            earlier_departures=tuple(earlier),
            revision=self._revision,
        )
        return self._made
