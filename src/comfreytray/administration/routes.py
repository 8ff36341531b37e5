"""The paths of the administration API and their handlers."""

from collections.abc import Mapping
from typing import Protocol

import eventlet
from cattrs.preconf.json import make_converter

from comfreytray.administration.api import AdminApi, Request, parse_json
from comfreytray.administration.explainroutes import ExplainRoutes
from comfreytray.administration.holdroutes import HoldRoutes
from comfreytray.administration.statusreply import build_status_reply
from comfreytray.calls.proxy import CallPath
from comfreytray.common.errors import Failure, Kind
from comfreytray.common.logs import Event, log
from comfreytray.common.metrics import Metrics
from comfreytray.common.records import NodeRecord
from comfreytray.common.settings import Settings, effective
from comfreytray.configuration.operations import (
    ChangeResult,
    ItemKind,
    ItemText,
    Operations,
)
from comfreytray.distribution.distribution import Distributor
from comfreytray.distribution.status import StatusBoard
from comfreytray.membership.announcements import UpstreamLease, parse_announcement
from comfreytray.membership.membership import Membership

STATUS_TIMEOUT_S = 5.0
_converter = make_converter(forbid_extra_keys=True)
DEFAULT_HISTORY_LIMIT = 20


class AdministeredNode(Protocol):
    """The parts of a node that its administration API uses."""

    settings: Settings
    operations: Operations
    distributor: Distributor
    membership: Membership
    status: StatusBoard
    calls: CallPath
    metrics: Metrics
    upstream_lease: UpstreamLease

    def record(self) -> NodeRecord:
        """Return the node's current record of itself."""


def add_routes(api: AdminApi, node: AdministeredNode) -> None:
    """Register the handlers of a node's operations and state."""
    items = _ItemRoutes(node)
    versions = _VersionRoutes(node)
    state = _StateRoutes(node)
    holds = HoldRoutes(guard=node.calls.guard)
    item = "/v1/items/<kind>/<name>"
    api.add("GET", "/v1/items/<kind>", items.list_all)
    api.add("GET", item, items.show)
    api.add("PUT", item, items.edit, edits=True)
    api.add("DELETE", item, items.remove, edits=True)
    api.add("POST", f"{item}/check", items.check)
    api.add("GET", f"{item}/diff", items.diff)
    api.add("POST", "/v1/load", items.load, edits=True)
    api.add("GET", "/v1/versions", versions.history)
    api.add("GET", "/v1/versions/<version>/status", versions.status)
    api.add("POST", "/v1/versions/<version>/roll-back", versions.roll_back, edits=True)
    api.add("GET", "/v1/nodes", state.nodes)
    api.add("GET", "/v1/endpoints", state.endpoints)
    api.add("GET", "/v1/circuits", state.circuits)
    api.add("GET", "/v1/holds", holds.list_all)
    api.add("DELETE", "/v1/holds/<request>", holds.release, edits=True)
    api.add("POST", "/v1/explain", ExplainRoutes(calls=node.calls).explain)
    api.add("GET", "/v1/metrics", state.metrics)
    api.add("GET", "/v1/settings", state.settings)
    api.add("GET", "/v1/health", state.health)
    api.add("POST", "/v1/announcement", state.announce)


def _parse_kind(name: str) -> ItemKind | Failure:
    try:
        return ItemKind(name)
    except ValueError:
        return Failure(kind=Kind.NOT_FOUND, detail=name, fields={"name": name})


def _parse_version(text: str) -> int | Failure:
    if not text.isdecimal():
        return Failure(kind=Kind.BAD_REQUEST, detail=f"version is not a number: {text}")
    return int(text)


def _decode(body: bytes) -> str | Failure:
    try:
        return body.decode("utf-8")
    except UnicodeDecodeError as error:
        return Failure(
            kind=Kind.BAD_REQUEST, detail=f"body is not UTF-8: {error.reason}"
        )


class _ItemRoutes:
    """Handlers of templates and customers."""

    def __init__(self, node: AdministeredNode) -> None:
        self._node = node

    def list_all(self, request: Request, /, **parts: str) -> object:
        kind = _parse_kind(parts["kind"])
        if isinstance(kind, Failure):
            return kind
        return self._node.operations.list_items(kind)

    def show(self, request: Request, /, **parts: str) -> object:
        kind, version = _parse_kind(parts["kind"]), request.number("version")
        if isinstance(kind, Failure):
            return kind
        if isinstance(version, Failure):
            return version
        return self._node.operations.show(
            kind,
            parts["name"],
            version=version,
            language=request.query.get("language"),
        )

    def check(self, request: Request, /, **parts: str) -> object:
        kind, content = _parse_kind(parts["kind"]), _decode(request.body)
        if isinstance(kind, Failure):
            return kind
        if isinstance(content, Failure):
            return content
        return self._node.operations.check(
            kind, parts["name"], content, language=request.language
        )

    def edit(self, request: Request, /, **parts: str) -> object:
        kind, content = _parse_kind(parts["kind"]), _decode(request.body)
        if isinstance(kind, Failure):
            return kind
        if isinstance(content, Failure):
            return content
        result = self._node.operations.edit(
            kind,
            parts["name"],
            content,
            operator=request.operator,
            language=request.language,
            base=request.base,
            change_id=request.change_id,
        )
        return log_and_distribute(self._node, request, result)

    def remove(self, request: Request, /, **parts: str) -> object:
        kind = _parse_kind(parts["kind"])
        if isinstance(kind, Failure):
            return kind
        result = self._node.operations.remove(
            kind,
            parts["name"],
            operator=request.operator,
            language=request.language,
            base=request.base,
            change_id=request.change_id,
        )
        return log_and_distribute(self._node, request, result)

    def diff(self, request: Request, /, **parts: str) -> object:
        kind = _parse_kind(parts["kind"])
        older, newer = request.number("from"), request.number("to")
        if isinstance(kind, Failure):
            return kind
        if not isinstance(older, int) or not isinstance(newer, int):
            return Failure(kind=Kind.BAD_REQUEST, detail="from and to must be versions")
        return self._node.operations.diff(
            kind,
            parts["name"],
            from_version=older,
            to_version=newer,
            language=request.query.get("language"),
        )

    def load(self, request: Request, /, **parts: str) -> object:
        document = parse_json(request.body)
        if isinstance(document, Failure):
            return document
        texts = _item_texts(document)
        if isinstance(texts, Failure):
            return texts
        result = self._node.operations.edit_many(
            texts,
            operator=request.operator,
            language=request.language,
            change_id=request.change_id,
        )
        return log_and_distribute(self._node, request, result)


def _item_texts(document: object) -> list[ItemText] | Failure:
    """Convert a JSON array of items with kind, name and text."""
    try:
        return _converter.structure(document, list[ItemText])
    except Exception as error:
        return Failure(kind=Kind.BAD_REQUEST, detail=f"items: {type(error).__name__}")


def log_and_distribute(
    node: AdministeredNode, request: Request, result: ChangeResult | Failure
) -> ChangeResult | Failure:
    """Log the outcome of a change; push an accepted one to the other nodes."""
    if isinstance(result, Failure):
        log(
            Event.CHANGE_REFUSED,
            operator=request.operator,
            path=request.path,
            kind=result.kind.value,
            detail=result.detail,
        )
        return result
    log(
        Event.CHANGE_ACCEPTED,
        operator=request.operator,
        path=request.path,
        version=result.head.version,
        change=result.change_id,
    )
    node.distributor.offer(result.head, result.new_blobs)
    return result


class _VersionRoutes:
    """Handlers of versions and their rollout status."""

    def __init__(self, node: AdministeredNode) -> None:
        self._node = node

    def history(self, request: Request, /, **parts: str) -> object:
        limit = request.number("limit")
        if isinstance(limit, Failure):
            return limit
        return self._node.operations.history(
            limit or DEFAULT_HISTORY_LIMIT, language=request.language
        )

    def roll_back(self, request: Request, /, **parts: str) -> object:
        version = _parse_version(parts["version"])
        if isinstance(version, Failure):
            return version
        result = self._node.operations.roll_back(
            version,
            operator=request.operator,
            language=request.language,
            change_id=request.change_id,
        )
        return log_and_distribute(self._node, request, result)

    def status(self, request: Request, /, **parts: str) -> object:
        version = self._resolve_version(parts["version"])
        if isinstance(version, Failure):
            return version
        status_event = eventlet.event.Event()
        self._node.status.query(version, status_event.send)
        with eventlet.Timeout(STATUS_TIMEOUT_S, False):
            return build_status_reply(
                status_event.wait(),
                snapshot=self._node.distributor.snapshot,
                view=self._node.membership.view,
                language=request.language,
            )
        return Failure(kind=Kind.NODE_UNREACHABLE, detail="no collector answered")

    def _resolve_version(self, name: str) -> int | Failure:
        """Return a version's number; without the store, "newest" is the one held."""
        if name != "newest":
            return _parse_version(name)
        head = self._node.operations.head()
        if not isinstance(head, Failure):
            return head.version
        held = self._node.distributor.held
        return head if held is None else held.version


class _StateRoutes:
    """Handlers of the state of this node."""

    def __init__(self, node: AdministeredNode) -> None:
        self._node = node

    def nodes(self, request: Request, /, **parts: str) -> object:
        by_id = self._node.membership.view.by_id
        return [by_id[node_id] for node_id in sorted(by_id)]

    def endpoints(self, request: Request, /, **parts: str) -> object:
        by_service: Mapping[str, tuple[NodeRecord, ...]]
        by_service = self._node.membership.view.endpoints_by_service
        return {service: by_service[service] for service in sorted(by_service)}

    def circuits(self, request: Request, /, **parts: str) -> object:
        return self._node.calls.report()

    def metrics(self, request: Request, /, **parts: str) -> object:
        return self._node.metrics.report()

    def settings(self, request: Request, /, **parts: str) -> object:
        return effective(self._node.settings)

    def health(self, request: Request, /, **parts: str) -> object:
        snapshot = self._node.distributor.snapshot
        upstream = self._node.upstream_lease.upstream
        return {
            "node_id": self._node.record().node_id,
            "version_in_force": 0 if snapshot is None else snapshot.head.version,
            "members": len(self._node.membership.view.by_id),
            "upstream": None if upstream is None else upstream.endpoint.instance_id,
        }

    def announce(self, request: Request, /, **parts: str) -> object:
        announcement = parse_announcement(request.body, request.remote_host)
        if isinstance(announcement, Failure):
            return announcement
        refused = self._node.upstream_lease.receive(announcement)
        return {} if refused is None else refused
