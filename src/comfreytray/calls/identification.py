"""Whose a call is, and the rank that this gives it among others."""

from collections.abc import Callable
from typing import Any

from comfreytray.calls.call import Call
from comfreytray.calls.dialect import Dialect
from comfreytray.common.errors import Failure, Kind
from comfreytray.configuration.accounts import Account
from comfreytray.configuration.snapshots import Route, Snapshot
from comfreytray.customers.credentials import identify, rank_priority

Environ = dict[str, Any]


def environ_key(header: str) -> str:
    """Return the WSGI environ key of a header; that of an empty name is never set."""
    return "HTTP_" + header.upper().replace("-", "_")


class Identification:
    """Finds the accounts of calls; idle where the configuration has no accounts."""

    def __init__(
        self,
        *,
        dialect: Dialect,
        is_current: Callable[[], bool],
    ) -> None:
        """Create it; `is_current` tells whether the configuration may be relied on."""
        self.is_current = is_current
        self._dialect = dialect
        self._credentials_key = environ_key(dialect.credentials)

    def find_account(
        self, environ: Environ, route: Route, snapshot: Snapshot
    ) -> Account | Failure | None:
        """Return the account of a call, None if it has none, or why it is refused."""
        if snapshot.accounts is None:
            return None
        found = identify(
            environ.get(self._credentials_key, ""),
            scheme=self._dialect.key_scheme,
            route=route,
            accounts=snapshot.accounts,
        )
        if isinstance(found, Failure) and not self.is_current():
            # The key may be one that was added since; callers don't repeat after 401.
            detail = f"{found.detail}, and the configuration may be out of date"
            return Failure(kind=Kind.NO_CONFIGURATION, detail=detail)
        return found

    def apply(self, call: Call, route: Route, account: Account | None) -> None:
        """Set the customer and the priority of a call, and withhold its credentials."""
        withheld = self._dialect.set_with_accounts
        call.headers = tuple(
            pair for pair in call.headers if pair[0].lower() not in withheld
        )
        call.priority = rank_priority(route, account)
        if account is not None:
            call.customer = account.customer
