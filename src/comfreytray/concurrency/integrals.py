"""Time-weighted means of a quantity that changes in steps."""

from comfreytray.common.interfaces import Clock


class StepIntegral:
    """The integral over time of a quantity, for its mean over any period."""

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._value = 0.0
        self._sum = 0.0
        self._changed_at = clock.monotonic()

    @property
    def value(self) -> float:
        """Return the current value of the quantity."""
        return self._value

    @property
    def sum(self) -> float:
        """Return the integral up to now, in units of the quantity times seconds."""
        return self._sum + self._value * (self._clock.monotonic() - self._changed_at)

    def set(self, value: float) -> None:
        """Set the quantity from now on."""
        self._sum = self.sum
        self._changed_at = self._clock.monotonic()
        self._value = value
