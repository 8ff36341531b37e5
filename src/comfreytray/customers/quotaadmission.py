"""What the call path asks of the quotas."""

from typing import Protocol

from comfreytray.common.errors import Failure


class QuotaAdmission(Protocol):
    """Admits calls within the quotas of their customers."""

    def admit(self, customer: str) -> Failure | None:
        """Take a token for a call; returns why it is refused."""
        ...

    def refund(self, customer: str) -> None:
        """Give back the token of a call that is proved not to have run."""
        ...
