"""Find the customer of a call by its API key, and the priority that this gives it."""

from comfreytray.common.errors import Failure, Kind
from comfreytray.configuration.accounts import Account, Accounts
from comfreytray.configuration.snapshots import Route

MAX_ROUTE_PRIORITY = 15
"""Route priorities beyond it rank alike, within one priority of customers."""


def precedence_of(priority: int) -> int:
    """Return the part of a call's priority that ranks before the shares of customers.

    It is the priority granted to the customer or, if it has none, that of the route;
    other priorities of routes count only among the calls of one customer.
    """
    return priority // (MAX_ROUTE_PRIORITY + 1)


def identify(
    credentials: str, *, scheme: str, route: Route, accounts: Accounts
) -> Account | Failure | None:
    """Return the account of a call; None for a call without one on a public route."""
    found_scheme, _, key = credentials.strip().partition(" ")
    account = None
    if found_scheme.lower() == scheme.lower():
        account = accounts.find(key.strip())
    if account is not None or route.is_public:
        return account
    reason = "unknown" if key else "missing"
    return Failure(kind=Kind.UNKNOWN_KEY, detail=f"API key {reason}")


def rank_priority(route: Route, account: Account | None) -> int:
    """Return the priority of a call: that of the customer first, then of the route."""
    if account is None or account.priority is None:
        customer_priority = route.priority
    else:
        customer_priority = account.priority
    route_priority = min(route.priority, MAX_ROUTE_PRIORITY)
    return customer_priority * (MAX_ROUTE_PRIORITY + 1) + route_priority
