"""Records that several tests need, with values that none of them depends on."""

from comfreytray.common.records import Endpoint, NodeRecord


def node_record(node_id="a", **values):
    """Return the record of a node without an endpoint."""
    defaults = {
        "incarnation": 1,
        "region": "r",
        "data_centre": "d",
        "host": "127.0.0.1",
        "control_port": 0,
        "call_port": 1,
    }
    return NodeRecord(node_id=node_id, **{**defaults, **values})


def endpoint(instance_id="i", *, slots=1, connections=1, **values):
    """Return an endpoint of service s."""
    return Endpoint(
        service="s",
        instance_id=instance_id,
        slots=slots,
        connections=connections,
        **values,
    )
