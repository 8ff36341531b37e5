"""The compiled configuration that a node serves."""

from collections.abc import Iterator, Mapping

from attrs import field, frozen

from comfreytray.common.errors import Failure, Kind
from comfreytray.configuration.accounts import Accounts
from comfreytray.configuration.callerlimits import DEFAULT_CALLER_LIMITS, CallerLimits
from comfreytray.configuration.content import Head
from comfreytray.configuration.paths import comparable

SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})
IDEMPOTENT_METHODS = SAFE_METHODS | {"PUT", "DELETE"}


@frozen(kw_only=True)
class ServiceShare:
    """The part of a route's calls that goes to one service."""

    service: str
    weight: float


@frozen(kw_only=True)
class Route:
    """Match some of a customer's calls; set their service and how they are handled."""

    customer: str
    name: str
    path: str
    """Path prefix; it matches only up to a segment boundary."""
    methods: frozenset[str]
    service: str
    shares: tuple["ServiceShare", ...] = ()
    """Services between which the calls are split; empty if all go to `service`."""
    idempotent: bool = False
    """Whether the operator declared the calls idempotent, whatever the method."""
    trusts_method: bool = True
    """Whether calls of idempotent HTTP methods count as idempotent too."""
    priority: int = 0
    """Priority among routes; 0 is the highest."""
    max_attempts: int = 0
    """Maximum number of endpoints that a call is sent to; 0 means the node's limit."""
    target_latency_s: float = 0.0
    """Target time from arrival to answer; 0 if not set."""
    timeout_s: float = 5.0
    share: float = 1.0
    """Maximum share of an endpoint's slots that the customer may hold."""
    is_public: bool = False
    """Whether calls need no API key where the configuration has accounts."""

    def is_idempotent(self, method: str) -> bool:
        """Whether a call of a method may run more than once."""
        by_method = self.trusts_method and method in IDEMPOTENT_METHODS
        return self.idempotent or by_method

    @property
    def services(self) -> tuple[str, ...]:
        """Services that the route may send calls to."""
        return tuple(share.service for share in self.shares) or (self.service,)


@frozen(kw_only=True)
class Snapshot:
    """One complete, immutable version of the configuration."""

    head: Head
    routes_by_customer: Mapping[str, tuple[Route, ...]] = field(factory=dict)
    """Routes of each customer, longest path first."""
    customer_by_host: Mapping[str, str] = field(factory=dict)
    connections_by_service: Mapping[str, int] = field(factory=dict)
    """Maximum number of connections to one instance of a service, where it is set."""
    accounts: Accounts | None = None
    """Accounts of customers with API keys; None if calls need no key."""
    limits: CallerLimits = DEFAULT_CALLER_LIMITS
    """Limits on the requests of callers."""
    _routes_by_prefix_by_customer: Mapping[str, Mapping[str, tuple[Route, ...]]] = (
        field(init=False, eq=False, repr=False)
    )

    @_routes_by_prefix_by_customer.default
    def _index(self) -> Mapping[str, Mapping[str, tuple[Route, ...]]]:
        return {
            customer: _group_by_prefix(routes)
            for customer, routes in self.routes_by_customer.items()
        }

    _longest_prefix_by_customer: Mapping[str, int] = field(
        init=False, eq=False, repr=False
    )
    """Characters of the longest prefix of the routes of a customer."""

    @_longest_prefix_by_customer.default
    def _measure(self) -> Mapping[str, int]:
        return {
            customer: max(map(len, routes_by_prefix), default=0)
            for customer, routes_by_prefix in self._routes_by_prefix_by_customer.items()
        }

    @property
    def services(self) -> frozenset[str]:
        """Services that the routes may send calls to."""
        return frozenset(
            service
            for routes in self.routes_by_customer.values()
            for route in routes
            for service in route.services
        )

    def match(self, *, host: str, method: str, path: str) -> Route | Failure:
        """Find the route of a call by its host, method and path."""
        customer = self.customer_by_host.get(host.partition(":")[0].lower())
        if customer is None:
            return Failure(kind=Kind.UNKNOWN_CUSTOMER, fields={"host": host})
        wrong_method = False
        for route in self._matching(customer, path):
            if method in route.methods:
                return route
            wrong_method = True
        kind = Kind.METHOD_NOT_SUPPORTED if wrong_method else Kind.NO_ROUTE
        return Failure(kind=kind, fields={"method": method, "path": path})

    def _matching(self, customer: str, path: str) -> Iterator[Route]:
        """Yield the routes whose prefix matches a path, longest prefix first."""
        routes_by_prefix = self._routes_by_prefix_by_customer[customer]
        longest = self._longest_prefix_by_customer[customer]
        for prefix in _prefixes(comparable(path), longest):
            yield from routes_by_prefix.get(prefix, ())


def _prefixes(path: str, longest: int) -> Iterator[str]:
    """Yield each prefix of a path that ends at a segment boundary, longest first.

    Longer ones than `longest` are left out: callers choose the length of a path, and
    the work is the square of it.
    """
    if len(path) <= longest:
        yield path
    end = path.rfind("/", 0, longest + 1)
    while end >= 0:
        if end + 1 < len(path):
            yield path[: end + 1]
        if end:
            yield path[:end]
        end = path.rfind("/", 0, end)


def _group_by_prefix(routes: tuple[Route, ...]) -> dict[str, tuple[Route, ...]]:
    by_prefix: dict[str, tuple[Route, ...]] = {}
    for route in routes:
        prefix = comparable(route.path)
        by_prefix[prefix] = (*by_prefix.get(prefix, ()), route)
    return by_prefix
