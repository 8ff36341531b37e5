"""Split the calls of a route between services by their configured weights."""

from comfreytray.configuration.snapshots import Route, ServiceShare

MAX_ROUTES = 4096
"""Splits whose state is kept; above it, all are reset."""


class Splitter:
    """Distributes calls to services by smooth weighted round-robin.

    The order is deterministic, so that short sequences of calls keep the proportion,
    too.
    """

    def __init__(self) -> None:
        self._credit_by_service_by_shares: dict[
            tuple[ServiceShare, ...], dict[str, float]
        ] = {}

    def pick(self, route: Route) -> str:
        """Return the service of the next call on a route."""
        if not route.shares:
            return route.service
        if len(self._credit_by_service_by_shares) > MAX_ROUTES:
            self._credit_by_service_by_shares.clear()
        credit_by_service = self._credit_by_service_by_shares.setdefault(
            route.shares, {}
        )
        total = 0.0
        for share in route.shares:
            credit = credit_by_service.get(share.service, 0.0)
            credit_by_service[share.service] = credit + share.weight
            total += share.weight
        service = max(credit_by_service, key=credit_by_service.__getitem__)
        credit_by_service[service] -= total
        return service
