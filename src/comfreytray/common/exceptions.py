"""Exceptions raised to programs that use the library."""

from comfreytray.common.errors import EXIT_USAGE, Failure


class ComfreytrayError(Exception):
    """Carry a failure out of a call that has no other way to return it."""

    def __init__(self, failure: Failure) -> None:
        super().__init__(failure.detail or failure.kind.value)
        self.failure = failure

    @property
    def exit_code(self) -> int:
        """Give the exit code of the process that ends with this error."""
        return self.failure.answer.exit_code


class SettingError(ComfreytrayError):
    """Report a setting that is unknown, missing or out of range."""

    @property
    def exit_code(self) -> int:
        """Give the exit code for bad usage."""
        return EXIT_USAGE


class InvariantError(AssertionError):
    """Report a broken promise found by the program itself."""


def invariant(holds: bool, promise: str) -> None:
    """Raise an `InvariantError` that names the promise unless it holds."""
    if not holds:
        raise InvariantError(promise)
