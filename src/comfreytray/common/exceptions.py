"""Exceptions raised to programs that use the library."""

from comfreytray.common.errors import EXIT_USAGE, Failure


class ComfreytrayError(Exception):
    """Raised where a `Failure` can't be returned; carries the failure."""

    def __init__(self, failure: Failure) -> None:
        super().__init__(failure.detail or failure.kind.value)
        self.failure = failure

    @property
    def exit_code(self) -> int:
        """The exit code of a process that ends with this error."""
        return self.failure.answer.exit_code


class SettingError(ComfreytrayError):
    """Raised for a setting that is unknown, missing or out of range."""

    @property
    def exit_code(self) -> int:
        """The exit code for bad usage."""
        return EXIT_USAGE


class InvariantError(AssertionError):
    """Raised when an invariant of the program is violated, which is a bug."""


def invariant(condition: bool, description: str) -> None:
    """Raise an `InvariantError` with the description unless the condition holds."""
    if not condition:
        raise InvariantError(description)
