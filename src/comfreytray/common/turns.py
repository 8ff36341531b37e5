"""Fair turns between greenlets that read from connections."""

import eventlet

READS_PER_TURN = 8


class Turns:
    """Yields now and then to the other greenlets.

    A read that finds bytes waiting returns without a switch, so a peer that sends
    faster than it is read would hold the process.
    """

    def __init__(self) -> None:
        self._reads = 0

    def take(self) -> None:
        """Count a read; let the others run after `READS_PER_TURN` of them."""
        self._reads += 1
        if self._reads >= READS_PER_TURN:
            self._reads = 0
            eventlet.sleep(0)
