"""WSGI applications that a node serves to the platform and to its instance."""

from collections.abc import Callable, Iterable
from http import HTTPStatus
from typing import Any
from urllib.parse import unquote

from comfreytray.common import exposition
from comfreytray.common.interfaces import Address
from comfreytray.common.logs import Event, warn
from comfreytray.common.metrics import Metrics
from comfreytray.common.records import Departure, EndpointState
from comfreytray.membership.heartbeats import InstanceRegister, Receipt
from comfreytray.platform import instances

READY_PATH = "/-/ready"
METRICS_PATH = "/metrics"
INSTANCES_PATH = "/-/instances/"

Environ = dict[str, Any]
StartResponse = Callable[[str, list[tuple[str, str]]], Any]


def _respond(start_response: StartResponse, status: HTTPStatus) -> Iterable[bytes]:
    body = b"{}"
    headers = [("Content-Type", "application/json"), ("Content-Length", str(len(body)))]
    start_response(f"{status.value} {status.phrase}", headers)
    return [body]


class Readiness:
    """Serve the readiness check: 200 if the node takes callers, else 503."""

    def __init__(self, *, is_ready: Callable[[], bool]) -> None:
        self._is_ready = is_ready

    def __call__(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Answer one request."""
        if environ["PATH_INFO"] != READY_PATH:
            return _respond(start_response, HTTPStatus.NOT_FOUND)
        status = HTTPStatus.OK if self._is_ready() else HTTPStatus.SERVICE_UNAVAILABLE
        return _respond(start_response, status)


class Exposition:
    """Serve the node's metrics in the Prometheus text format."""

    def __init__(self, *, metrics: Metrics) -> None:
        self._metrics = metrics

    def __call__(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Answer one request."""
        if environ["PATH_INFO"] != METRICS_PATH:
            return _respond(start_response, HTTPStatus.NOT_FOUND)
        body = exposition.text(self._metrics).encode()
        headers = [("Content-Type", exposition.CONTENT_TYPE)]
        start_response("200 OK", headers)
        return [body]


class Heartbeats:
    """Receive the heartbeats and departures of the instance beside the node.

    An instance that leaves relies on the answer also after a kill of the node, so it is
    200 only once `store` has kept the departure; before, the node acts on it already.
    """

    def __init__(
        self,
        *,
        register: InstanceRegister,
        service: str,
        upstream: Address,
        store: Callable[[Departure], bool],
    ) -> None:
        self._register = register
        self._service = service
        self._upstream = upstream
        self._store = store

    def __call__(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Answer one request."""
        path: str = environ["PATH_INFO"]
        if not path.startswith(INSTANCES_PATH):
            return _respond(start_response, HTTPStatus.NOT_FOUND)
        instance_id = unquote(path.removeprefix(INSTANCES_PATH))
        body = environ["wsgi.input"].read(instances.MAX_BODY_BYTES + 1)
        method = environ["REQUEST_METHOD"]
        if method == "PUT":
            return _respond(start_response, self._receive_heartbeat(instance_id, body))
        if method == "DELETE":
            return _respond(start_response, self._receive_departure(instance_id, body))
        return _respond(start_response, HTTPStatus.METHOD_NOT_ALLOWED)

    def _receive_heartbeat(self, instance_id: str, body: bytes) -> HTTPStatus:
        heartbeat = instances.decode_heartbeat(
            instance_id, body, service=self._service, upstream=self._upstream
        )
        if heartbeat is None:
            warn(Event.HEARTBEAT_REFUSED, instance=instance_id, bytes=len(body))
            return HTTPStatus.BAD_REQUEST
        if self._register.receive(heartbeat) is Receipt.STALE:
            warn(
                Event.HEARTBEAT_STALE,
                instance=instance_id,
                started_ms=heartbeat.started_ms,
                sequence=heartbeat.sequence,
            )
        if heartbeat.upstream.endpoint.state is EndpointState.DRAINING:
            return self._acknowledge_departure(instance_id)
        return HTTPStatus.OK

    def _receive_departure(self, instance_id: str, body: bytes) -> HTTPStatus:
        started_ms = instances.decode_departure(body)
        if self._register.leave(instance_id, started_ms) is Receipt.STALE:
            warn(Event.HEARTBEAT_STALE, instance=instance_id, started_ms=started_ms)
        return self._acknowledge_departure(instance_id)

    def _acknowledge_departure(self, instance_id: str) -> HTTPStatus:
        departure = self._register.departure_of(instance_id)
        if departure is None or self._store(departure):
            return HTTPStatus.OK
        warn(
            Event.DEPARTURE_NOT_STORED,
            instance=instance_id,
            before_ms=departure.before_ms,
        )
        return HTTPStatus.SERVICE_UNAVAILABLE
