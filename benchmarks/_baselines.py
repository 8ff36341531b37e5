"""Baselines for the latency of calls: a TCP relay and a plain HTTP proxy."""

import itertools
import os
import socket
import warnings
from collections.abc import Callable, Iterable
from typing import Any

os.environ.setdefault("EVENTLET_NO_GREENDNS", "yes")
warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")

import eventlet
import eventlet.wsgi
import fire

eventlet.monkey_patch(os=False)

import urllib3

BUFFER_BYTES = 64 * 1024
POOL_SIZE = 512
_HOP_BY_HOP_HEADERS = frozenset({"connection", "keep-alive", "transfer-encoding"})


def _parse_addresses(backends: str) -> list[tuple[str, int]]:
    addresses = []
    for backend in str(backends).split(","):
        host, _, port = backend.rpartition(":")
        addresses.append((host, int(port)))
    return addresses


def _copy_stream(source: Any, target: Any) -> None:
    try:
        while data := source.recv(BUFFER_BYTES):
            target.sendall(data)
        target.shutdown(socket.SHUT_WR)
    except OSError:
        source.close()
        target.close()


def relay(port: int, backends: str) -> None:
    """Copy bytes between callers and the first backend: the least cost of a hop."""
    listener = eventlet.listen(("127.0.0.1", port), backlog=512)
    backend = _parse_addresses(backends)[0]
    print(f"ready relay port={port}", flush=True)
    while True:
        caller, _ = listener.accept()
        upstream = eventlet.connect(backend)
        for connection in (caller, upstream):
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        eventlet.spawn_n(_copy_stream, caller, upstream)
        eventlet.spawn_n(_copy_stream, upstream, caller)


class PlainProxy:
    """A WSGI application that forwards calls to the backends in turn.

    It limits no load and retries no call.
    """

    def __init__(self, *, backends: list[tuple[str, int]]) -> None:
        pools = [
            urllib3.HTTPConnectionPool(host, port, maxsize=POOL_SIZE)
            for host, port in backends
        ]
        self._pools = itertools.cycle(pools)

    def __call__(
        self,
        environ: dict[str, Any],
        start_response: Callable[[str, list[tuple[str, str]]], Any],
    ) -> Iterable[bytes]:
        """Forward one call; answer 502 with the name of the error if that fails."""
        pool = next(self._pools)
        headers = {
            name[5:].replace("_", "-"): value
            for name, value in environ.items()
            if name.startswith("HTTP_")
        }
        body = environ["wsgi.input"].read()
        try:
            response = pool.request(
                environ["REQUEST_METHOD"],
                environ["PATH_INFO"],
                body=body or None,
                headers=headers,
                retries=False,
            )
        except urllib3.exceptions.HTTPError as error:
            start_response("502 Bad Gateway", [])
            return [type(error).__name__.encode()]
        forwarded_headers = [
            (name, value)
            for name, value in response.headers.items()
            if name.lower() not in _HOP_BY_HOP_HEADERS
        ]
        start_response(f"{response.status} {response.reason}", forwarded_headers)
        return [response.data]


def proxy(port: int, backends: str) -> None:
    """Forward calls to the backends in turn, with eventlet.wsgi and urllib3 pools."""
    listener = eventlet.listen(("127.0.0.1", port), backlog=512)
    application = PlainProxy(backends=_parse_addresses(backends))
    print(f"ready proxy port={port}", flush=True)
    eventlet.wsgi.server(
        listener, application, max_size=POOL_SIZE, log_output=False, debug=False
    )


if __name__ == "__main__":
    fire.Fire({"relay": relay, "proxy": proxy})
