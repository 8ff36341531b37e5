"""Record the messages that one node of a fleet receives, to replay them in tests.

`PYTHONPATH=src:features python features/traces.py` regenerates the recorded trace.
"""

import json
from pathlib import Path

from fleet import Chaos, Fleet

from comfreytray.transport import wire

TRACE = Path(__file__).with_name("traces") / "cut-freeze-and-kill.json"
FAULTS = "accept noise accept cut accept heal freeze accept thaw quiet accept kill"


def record(seed):
    """Run a fleet under faults; return what node 1 received and applied."""
    fleet = Fleet(count=6, seed=seed, items=6, item_bytes=40)
    fleet.accept()
    fleet.run_until_converged(30)
    node = fleet.node_by_id["node-1"]
    received = []
    original_receive = node.receive

    def receive(sender, message, datagram):
        received.append((fleet.clock.now, list(sender), wire.encode(message).hex()))
        original_receive(sender, message, datagram)

    fleet.network.receiver_by_address[node.record.control_address] = receive
    held = node.distributor.held
    blobs = [blob.hex() for blob in node.content.blob_by_digest.values()]
    chaos = Chaos(fleet, seed)
    for fault in FAULTS.split():
        chaos.step(fault)
    chaos.end()
    fleet.run_until_converged(60)
    return {
        "head": [held.version, held.digest.hex()],
        "blobs": blobs,
        "heads": [[head.version, head.digest.hex()] for head in fleet.author.heads],
        "received": received,
        "applied": [version for version, _ in node.applied],
    }


if __name__ == "__main__":
    TRACE.parent.mkdir(exist_ok=True)
    TRACE.write_text(json.dumps(record(3)) + "\n")
