"""The machine's clock."""

import time


class SystemClock:
    """Tell the time of the machine."""

    def monotonic(self) -> float:
        """Return seconds that never run backwards."""
        return time.monotonic()

    def wall(self) -> float:
        """Return seconds since the epoch."""
        return time.time()
