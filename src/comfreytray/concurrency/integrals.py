"""Time-weighted means of a quantity that changes in steps."""


class StepIntegral:
    """The integral over time of a quantity, for its mean over any period."""

    def __init__(self, *, now: float) -> None:
        """Create it with the value 0; all times are those of one monotonic clock."""
        self._value = 0.0
        self._sum = 0.0
        self._changed_at = now

    @property
    def value(self) -> float:
        """Return the current value of the quantity."""
        return self._value

    def sum_until(self, now: float) -> float:
        """Return the integral up to now, in units of the quantity times seconds."""
        return self._sum + self._value * (now - self._changed_at)

    def set(self, value: float, now: float) -> None:
        """Set the quantity from now on."""
        self._sum = self.sum_until(now)
        self._changed_at = now
        self._value = value
