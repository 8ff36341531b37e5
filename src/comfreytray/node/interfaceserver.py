"""Serves the interfaces of a node beside the calls, such as its metrics."""

import contextlib
from collections.abc import Callable, Iterable
from typing import Any

import eventlet
from eventlet import wsgi

from comfreytray.calls.aheadshare import AheadShare
from comfreytray.common.listening import SteadyListener

Application = Callable[[dict[str, Any], Callable[..., Any]], Iterable[bytes]]

IDLE_TIMEOUT_S = 75.0
"""Time without a byte after which a connection between requests closes."""
IO_TIMEOUT_S = 10.0
"""Time without a byte within a request, or in which none of an answer is taken."""
HEAD_TIMEOUT_S = 10.0
"""Time from the first line of a request to the end of its head."""
MAX_DISCARDED_BYTES = 65_536
"""Length of a body above which its connection closes after the answer."""
MAX_GREENLETS = 128
"""Connections that are open or about to close."""


def serve_interface(listener: Any, application: Application) -> None:
    """Serve a WSGI application until its listener is closed."""
    wsgi.server(
        SteadyListener(listener),
        application,
        log_output=False,
        max_size=MAX_GREENLETS,
        protocol=_protocol_for(AheadShare()),
        keepalive=IDLE_TIMEOUT_S,
        socket_timeout=IO_TIMEOUT_S,
        debug=False,
    )


def _protocol_for(ahead: AheadShare) -> type[wsgi.HttpProtocol]:
    """Return the protocol class of a server."""

    class InterfaceProtocol(wsgi.HttpProtocol):
        """Reads requests by turns, and a head or a body within limits."""

        headers: Any
        rfile: Any
        wfile: Any
        close_connection: Any
        has_answered = False

        def handle_one_request(self) -> None:
            if self.has_answered:
                ahead.wait_for_turn()
            self.has_answered = True
            super().handle_one_request()

        def parse_request(self) -> bool:
            with eventlet.Timeout(HEAD_TIMEOUT_S, TimeoutError()):
                if not super().parse_request():
                    return False
            if self._may_have_much_to_discard():
                self.close_connection = True
            return True

        def _may_have_much_to_discard(self) -> bool:
            length = self.headers.get("content-length", "0")
            is_short = length.isdigit() and len(length) < 10
            is_chunked = self.headers.get("transfer-encoding") is not None
            return is_chunked or not is_short or int(length) > MAX_DISCARDED_BYTES

        def finish(self) -> None:
            try:
                super().finish()
            finally:
                # An answer that can't be sent any more keeps the descriptor open.
                for file in (self.rfile, self.wfile):
                    with contextlib.suppress(OSError):
                        file.close()

    return InterfaceProtocol
