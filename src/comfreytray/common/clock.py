"""The system clock."""

import time


class SystemClock:
    """Read the clocks of the operating system."""

    def monotonic(self) -> float:
        """Return the monotonic time in seconds."""
        return time.monotonic()

    def wall(self) -> float:
        """Return the seconds since the Unix epoch."""
        return time.time()
