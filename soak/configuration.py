"""The configuration that the operator of the soak test writes."""

from typing import Any

from soak.keys import Keyring

SERVICE = "lichbay"
HOST = "clubs.example"
ROUTE_TYPE_BY_PREFIX = {"/safe/": "safe", "/unsafe/": "unsafe"}
TIMEOUT_S = 2.0
PUBLIC_PREFIX = "/public/"
"""Prefix of the route whose calls need no key; only with accounts."""


def build_resources(
    ring: Keyring | None, *, timeout_s: float = TIMEOUT_S
) -> list[dict[str, Any]]:
    """Return the resources of a configuration, with customers if there are keys."""
    service = {
        "resource_kind": "services",
        "metadata": {"name": SERVICE},
        "spec": {"health_path": "/health", "max_connections": 64},
    }
    routes = [
        _route(kind, prefix, kind, timeout_s=timeout_s)
        for prefix, kind in ROUTE_TYPE_BY_PREFIX.items()
    ]
    if ring is None:
        return [*routes, service]
    public = _route("public", PUBLIC_PREFIX, "safe", public=True)
    return [*routes, public, service, *ring.resources()]


def _route(name: str, prefix: str, kind: str, **options: object) -> dict[str, Any]:
    return {
        "resource_kind": "routes",
        "metadata": {"name": name},
        "spec": {
            "hostname": HOST,
            "path_prefix": prefix,
            "type": kind,
            "timeout_s": TIMEOUT_S,
            "target_latency_s": 0.5,
            "priority": 1,
            "max_attempts": 3,
            "service": SERVICE,
            **options,
        },
    }
