"""Serves the interfaces of a node beside the calls, such as its metrics."""

from collections.abc import Callable, Iterable
from typing import Any

import eventlet.wsgi

from comfreytray.common.listening import SteadyListener

Application = Callable[[dict[str, Any], Callable[..., Any]], Iterable[bytes]]


def serve_interface(
    listener: Any,
    application: Application,
    *,
    max_connections: int,
    socket_timeout_s: float | None = None,
) -> None:
    """Serve a WSGI application until its listener is closed."""
    eventlet.wsgi.server(
        SteadyListener(listener),
        application,
        log_output=False,
        max_size=max_connections,
        socket_timeout=socket_timeout_s,
        debug=False,
    )
