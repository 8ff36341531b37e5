"""The compiled configuration that a node has in force."""

from collections.abc import Mapping

from attrs import field, frozen

from comfreytray.content import Head
from comfreytray.errors import Failure, Kind


@frozen(kw_only=True)
class Route:
    """Say where one kind of a customer's calls goes and how it is treated."""

    customer: str
    name: str
    path: str
    """Path prefix that ends at a segment boundary."""
    methods: frozenset[str]
    service: str
    idempotent: bool = False
    """Declared idempotent by the operator, whatever the method."""
    timeout_s: float = 5.0
    share: float = 1.0
    """Largest share of an endpoint's slots that the customer may hold."""


@frozen(kw_only=True)
class Snapshot:
    """Hold one version of the configuration, whole and unchangeable."""

    head: Head
    routes_by_customer: Mapping[str, tuple[Route, ...]] = field(factory=dict)
    """Routes with the longest path first."""
    customer_by_host: Mapping[str, str] = field(factory=dict)

    @property
    def services(self) -> frozenset[str]:
        """Collect the services that the routes name."""
        return frozenset(
            route.service
            for routes in self.routes_by_customer.values()
            for route in routes
        )

    def match(self, *, host: str, method: str, path: str) -> Route | Failure:
        """Find the route of a call by the host it names, its method and path."""
        customer = self.customer_by_host.get(host.partition(":")[0].lower())
        if customer is None:
            return Failure(kind=Kind.UNKNOWN_CUSTOMER, fields={"host": host})
        wrong_method = False
        for route in self.routes_by_customer[customer]:
            if not _covers(route.path, path):
                continue
            if method in route.methods:
                return route
            wrong_method = True
        kind = Kind.METHOD_NOT_SUPPORTED if wrong_method else Kind.NO_ROUTE
        return Failure(kind=kind, fields={"method": method, "path": path})


def _covers(prefix: str, path: str) -> bool:
    if not path.startswith(prefix):
        return False
    return len(path) == len(prefix) or prefix.endswith("/") or path[len(prefix)] == "/"
