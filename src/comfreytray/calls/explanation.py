"""Explains where a request would be sent now, and why, without sending it.

The request takes the way of a call through copies of the parts that hold state. Nothing
is counted, learnt, reserved or sent, and no random number of the node is used.
"""

import io
from collections.abc import Callable, Mapping
from typing import Protocol

from attrs import field, frozen

from comfreytray.calls.call import Call, Outcome
from comfreytray.calls.dialect import Dialect
from comfreytray.calls.estimates import Estimator, Ranking
from comfreytray.calls.fingerprints import fingerprint_of, name_of
from comfreytray.calls.guard import refuse
from comfreytray.calls.quarantine import Verdict
from comfreytray.calls.requests import Environ, RequestReader
from comfreytray.calls.routing import Router
from comfreytray.calls.splits import Splitter
from comfreytray.common.errors import Failure, Kind, Ran
from comfreytray.common.interfaces import Clock
from comfreytray.configuration.snapshots import Route, Snapshot


@frozen(kw_only=True)
class Inquiry:
    """A request to be explained, as a caller would send it."""

    method: str
    host: str
    target: str
    """Path and query."""
    headers: tuple[tuple[str, str], ...] = ()
    body: str = ""


class QuotaState(Protocol):
    """Tells the state of customers' quotas without taking part in them."""

    def refusal(self, customer: str) -> Failure | None:
        """Return why a call of a customer would be rejected now; None if it would not.

        It consumes nothing and counts nothing.
        """
        ...


class ConcurrencyState(Protocol):
    """Tells how many concurrent calls endpoints are given."""

    def limit(self, node_id: str) -> int | None:
        """Return the limit of the endpoint beside a node; None if none is known."""
        ...


class VerdictState(Protocol):
    """Tells how a call may run; `Guard` does."""

    def verdict(self, call: Call) -> Verdict:
        """Return how a call may run now."""
        ...


class NoQuotas:
    """The state of quotas of a node that has none."""

    def refusal(self, customer: str) -> Failure | None:
        """Reject nothing."""
        del customer
        return None


class NoLimits:
    """The state of a node that knows no concurrency limits."""

    def limit(self, node_id: str) -> int | None:
        """Know no limit."""
        del node_id
        return None


@frozen(kw_only=True)
class Rejection:
    """Why a request would be rejected, and with which answer."""

    kind: Kind
    status: int
    ran: Ran
    detail: str = ""
    fields: Mapping[str, str] = field(factory=dict)
    retry_after_s: float | None = None


@frozen(kw_only=True)
class ServiceChoice:
    """Where calls go that the route sends to one of its services."""

    service: str
    share: float
    """Share of the route's calls, 0 to 1."""
    ranking: Ranking
    isolated_node_id: str = ""
    """The one endpoint for a request in isolation; empty if it isn't isolated."""
    limit_by_node: Mapping[str, int] = field(factory=dict)
    """Concurrency limits, where they are known."""
    rejection: Rejection | None = None


@frozen(kw_only=True)
class Explanation:
    """What would become of a request now."""

    version: int
    """Version of the configuration in force; 0 if there is none."""
    request: str = ""
    """Name of the request in holds and log lines; empty if it is no valid call."""
    route: str = ""
    customer: str = ""
    priority: int = 0
    idempotent: bool = False
    verdict: Verdict = Verdict.FREE
    services: tuple[ServiceChoice, ...] = ()
    rejection: Rejection | None = None


class Explainer:
    """Explains requests to one node."""

    def __init__(
        self,
        *,
        reader: RequestReader,
        router: Router,
        guard: VerdictState,
        snapshot: Callable[[], Snapshot | None],
        clock: Clock,
        quotas: QuotaState | None = None,
        limits: ConcurrencyState | None = None,
    ) -> None:
        """Create it from the parts of a node's call path, which it leaves unchanged."""
        self._reader = reader
        self._router = router
        self._guard = guard
        self._snapshot = snapshot
        self._clock = clock
        self._quotas = quotas or NoQuotas()
        self._limits = limits or NoLimits()

    def explain(self, inquiry: Inquiry) -> Explanation:
        """Return what would become of a request now."""
        snapshot = self._snapshot()
        version = 0 if snapshot is None else snapshot.head.version
        call = self._read(inquiry, snapshot)
        route = _find_route(inquiry, snapshot)
        name = "" if route is None else route.name
        if isinstance(call, Failure) or route is None:
            refused = call if isinstance(call, Failure) else Failure(kind=Kind.NO_ROUTE)
            return Explanation(
                version=version, route=name, rejection=self._rejection(refused)
            )
        verdict = self._guard.verdict(call)
        failure = self._quotas.refusal(call.customer) or refuse(verdict)
        return Explanation(
            version=version,
            request=name_of(fingerprint_of(call)),
            route=name,
            customer=call.customer,
            priority=call.priority,
            idempotent=call.idempotent,
            verdict=verdict,
            services=tuple(
                self._choose(service, share, call, route, verdict)
                for service, share in _shares(route).items()
            ),
            rejection=None if failure is None else self._rejection(failure),
        )

    @property
    def _dialect(self) -> Dialect:
        return self._reader.dialect

    def _read(self, inquiry: Inquiry, snapshot: Snapshot | None) -> Call | Failure:
        """Read the request as a call is read, with a reader that has its own state."""
        if not inquiry.target.startswith("/"):
            return Failure(kind=Kind.BAD_REQUEST, detail="target must begin with /")
        reader = RequestReader(
            dialect=self._dialect,
            caller=self._reader.caller,
            clock=self._clock,
            splitter=Splitter(),
            is_current=self._reader.identification.is_current,
            is_nested=self._reader.is_nested,
            refuse_late=self._reader.refuse_late,
        )
        return reader.read(_environ(inquiry), snapshot)

    def _choose(
        self, service: str, share: float, call: Call, route: Route, verdict: Verdict
    ) -> ServiceChoice:
        estimator = Estimator(self._router)
        ranking = estimator.rank(
            service,
            kind=call.kind,
            priority=call.priority,
            target_s=route.target_latency_s,
        )
        isolated_node_id = ""
        rejection = None
        if not ranking.candidates:
            failure = Failure(kind=Kind.NO_ENDPOINT, fields={"service": service})
            rejection = self._rejection(failure)
        elif verdict is Verdict.ISOLATED:
            record = estimator.pick_isolated(service, fingerprint_of(call))
            if not isinstance(record, Failure):
                isolated_node_id = record.node_id
        limit_by_node = {
            candidate.node_id: limit
            for candidate in ranking.candidates
            if (limit := self._limits.limit(candidate.node_id)) is not None
        }
        return ServiceChoice(
            service=service,
            share=share,
            ranking=ranking,
            isolated_node_id=isolated_node_id,
            limit_by_node=limit_by_node,
            rejection=rejection,
        )

    def _rejection(self, failure: Failure) -> Rejection:
        outcome = Outcome.of(failure)
        retry_after_s = failure.retry_after_s or failure.answer.retry_after_s
        return Rejection(
            kind=failure.kind,
            status=self._dialect.status_of(outcome),
            ran=outcome.ran,
            detail=failure.detail,
            fields=failure.fields,
            retry_after_s=retry_after_s,
        )


def _find_route(inquiry: Inquiry, snapshot: Snapshot | None) -> Route | None:
    if snapshot is None:
        return None
    path = inquiry.target.partition("?")[0]
    found = snapshot.match(host=inquiry.host, method=inquiry.method, path=path)
    return None if isinstance(found, Failure) else found


def _shares(route: Route) -> dict[str, float]:
    """Return the share of a route's calls that goes to each of its services."""
    total = sum(share.weight for share in route.shares)
    if total <= 0:
        return {route.service: 1.0}
    weight_by_service = dict.fromkeys(route.services, 0.0)
    for share in route.shares:
        weight_by_service[share.service] += share.weight / total
    return weight_by_service


def _environ(inquiry: Inquiry) -> Environ:
    """Return the WSGI environ of a request, as the node's server would build it."""
    path, _, query = inquiry.target.partition("?")
    body = inquiry.body.encode("utf-8", "surrogateescape")
    headers = (("Host", inquiry.host), *inquiry.headers)
    environ: Environ = {
        "REQUEST_METHOD": inquiry.method,
        "RAW_PATH_INFO": path,
        "PATH_INFO": path,
        "QUERY_STRING": query,
        "CONTENT_LENGTH": str(len(body)),
        "headers_raw": headers,
        "wsgi.input": io.BytesIO(body),
    }
    for name, value in headers:
        if "_" in name:
            continue
        key = "HTTP_" + name.upper().replace("-", "_")
        environ[key] = f"{environ[key]},{value}" if key in environ else value
    return environ
