"""Decode the operator's configuration into a snapshot."""

import marshal
import math
import re
from collections.abc import Iterable, Mapping
from typing import Any

from comfreytray.common import outerjson
from comfreytray.common.errors import Failure, Kind
from comfreytray.common.logs import Event, warn
from comfreytray.common.outerjson import checked_int, checked_text
from comfreytray.configuration.accounts import Account, build_accounts
from comfreytray.configuration.callerlimits import DEFAULT_CALLER_LIMITS
from comfreytray.configuration.content import Head
from comfreytray.configuration.snapshots import Route, ServiceShare, Snapshot
from comfreytray.platform.callerlimits import read_limits

OBJECT_KEY = "config/main"
"""Key of the configuration in the object store."""
_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "POST", "PUT", "PATCH", "DELETE"})
_MALFORMED_ERRORS = (
    ValueError,
    TypeError,
    LookupError,
    AttributeError,
    OverflowError,
)
"""Raised when a configuration lacks a field or has one of another type."""
_IDEMPOTENT_TYPES = frozenset({"safe", "download"})
"""Types of the routes whose requests may run more than once."""
_MARSHAL_VERSION = 2
"""Later formats depend on reference counts, so that equal values may differ."""
_HEADER_VALUE = re.compile(r"[!-~]++(?: ++[!-~]++)*+")
MAX_KEYS = 64
"""API keys of one customer."""


def order_of(value: bytes) -> tuple[int, ...] | None:
    """Return the operator's version of a configuration; None if it has none."""
    try:
        version = outerjson.loads(value)["version"]
    except _MALFORMED_ERRORS:
        return None
    return (version,) if _is_version(version) else None


class Decoder:
    """Decodes versions of the configuration, reusing the routes that did not change.

    A configuration has thousands of routes, and one change of it a few.
    """

    def __init__(self) -> None:
        self._route_by_name: dict[str, tuple[bytes, Route]] = {}
        """Each route with the packed spec that it was decoded from.

        A decoded spec takes four times the memory of its packed form.
        """

    def __call__(self, value: bytes) -> Snapshot | Failure:
        """Decode a whole configuration; a fault in any part refuses all of it."""
        try:
            return self._snapshot(outerjson.loads(value))
        except _MALFORMED_ERRORS as error:
            detail = f"configuration: {type(error).__name__}: {error}"
            return Failure(kind=Kind.INVALID_CONTENT, detail=detail)

    def _snapshot(self, document: Mapping[str, Any]) -> Snapshot:
        version = document["version"]
        if not _is_version(version):
            raise ValueError(f"expected a version number, got {version!r:.60}")
        routes_by_host: dict[str, list[Route]] = {}
        connections_by_service: dict[str, int] = {}
        route_by_name: dict[str, tuple[bytes, Route]] = {}
        keys_by_account: list[tuple[Account, list[str]]] = []
        has_accounts = False
        limits = DEFAULT_CALLER_LIMITS
        for resource in document["resources"]:
            kind = resource["resource_kind"]
            if kind == "tenants":
                has_accounts = True
                keys_by_account += _account_if_valid(resource)
                continue
            spec = resource["spec"]
            if kind == "routes":
                name = resource["metadata"]["name"]
                packed, route = self._route(name, spec)
                route_by_name[name] = (packed, route)
                routes_by_host.setdefault(str(spec["hostname"]).lower(), []).append(
                    route
                )
            elif kind == "services":
                name = resource["metadata"]["name"]
                connections_by_service[name] = int(spec["max_connections"])
            elif kind == "limits":
                limits = read_limits(spec)
        self._route_by_name = route_by_name
        return Snapshot(
            head=Head(version=version, digest=b""),
            routes_by_customer={
                host: _longest_first(routes) for host, routes in routes_by_host.items()
            },
            customer_by_host={host: host for host in routes_by_host},
            connections_by_service=connections_by_service,
            accounts=build_accounts(keys_by_account) if has_accounts else None,
            limits=limits,
        )

    def _route(self, name: str, spec: dict[str, Any]) -> tuple[bytes, Route]:
        packed = marshal.dumps(spec, _MARSHAL_VERSION)
        known = self._route_by_name.get(name)
        if known is not None and known[0] == packed:
            return known
        return packed, _route(name, spec)


def _account_if_valid(resource: Mapping[str, Any]) -> list[tuple[Account, list[str]]]:
    """Decode the account of a customer; a malformed one is left out."""
    try:
        return [_account(resource)]
    except _MALFORMED_ERRORS as error:
        # The text of the error may hold a key.
        warn(Event.ACCOUNT_REFUSED, error=type(error).__name__)
        return []


def _account(resource: Mapping[str, Any]) -> tuple[Account, list[str]]:
    spec = resource["spec"]
    listed = spec["api_keys"]
    if type(listed) is not list or len(listed) > MAX_KEYS:
        raise TypeError(f"expected a list of up to {MAX_KEYS} keys")
    keys = [checked_text(key) for key in listed]
    if not all(_HEADER_VALUE.fullmatch(key) for key in keys):
        raise ValueError("expected keys that can be sent in a header")
    priority = spec.get("priority")
    customer = checked_text(resource["metadata"]["name"])
    if _HEADER_VALUE.fullmatch(customer) is None:
        raise ValueError("expected a name that can be sent in a header")
    account = Account(
        customer=customer,
        priority=None if priority is None else checked_int(priority),
        rate_per_s=_amount(spec.get("rate_per_s")),
        burst=_amount(spec.get("burst")),
    )
    return account, keys


def _amount(value: Any) -> float:
    """Return a number of calls, 0 if it is absent; raises TypeError, ValueError."""
    if value is None:
        return 0.0
    if type(value) not in (int, float):
        raise TypeError(f"expected a number, got {type(value).__name__}")
    if not 0.0 <= value < math.inf:
        raise ValueError("expected a number from 0")
    return float(value)


def _is_version(value: object) -> bool:
    return type(value) is int and 0 <= value <= outerjson.MAX_SAFE_INTEGER


def _seconds(value: Any) -> float:
    """Return a time-out; raises TypeError, ValueError."""
    seconds = float(value)
    if not 0.0 < seconds < math.inf:
        raise ValueError(f"expected seconds above 0, got {value!r:.60}")
    return seconds


def _longest_first(routes: Iterable[Route]) -> tuple[Route, ...]:
    return tuple(sorted(routes, key=lambda route: -len(route.path)))


def _route(name: str, spec: Mapping[str, Any]) -> Route:
    shares = tuple(
        ServiceShare(service=str(part["service"]), weight=float(part["weight"]))
        for part in spec.get("traffic_split") or ()
    )
    return Route(
        customer="",
        name=str(name),
        path=str(spec["path_prefix"]),
        methods=_METHODS,
        service=str(spec.get("service") or shares[0].service),
        shares=shares,
        idempotent=spec["type"] in _IDEMPOTENT_TYPES,
        trusts_method=False,
        timeout_s=_seconds(spec["timeout_s"]),
        target_latency_s=float(spec.get("target_latency_s", 0.0)),
        priority=int(spec.get("priority", 0)),
        max_attempts=int(spec.get("max_attempts", 0)),
        is_public=spec.get("public") is True,
    )
