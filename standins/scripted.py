"""An upstream whose answers come from a script and that records its requests."""

import contextlib
import socket as plain_socket
import struct
import time
from collections.abc import Callable, Iterable
from typing import Any

import eventlet

RESET = object()
"""Part of a scripted answer that resets the connection."""
CRASH = object()
"""Part of a scripted answer that ends the upstream, as the end of its process does."""

Script = Callable[[bytes, bytes], bytes | Iterable[Any]]
"""Takes the head and body of a request; returns the answer, whole or in parts.

A part that is None closes the connection.
"""


def answer(status: int, body: bytes, *headers: str) -> bytes:
    """Encode a complete answer."""
    lines = [f"HTTP/1.1 {status} Fine".encode()]
    lines += [header.encode() for header in headers]
    lines += [b"Content-Length: %d" % len(body), b"", b""]
    return b"\r\n".join(lines) + body


def _answer_ok(_: bytes, __: bytes) -> bytes:
    return answer(200, b"ok")


class Upstream:
    """Record every request that ran and answer it as `script` returns."""

    def __init__(
        self, script: Script | None = None, *, host: str = "127.0.0.1", port: int = 0
    ) -> None:
        self.down_s = 0.3
        """Time from a crash until the upstream is back at its port."""
        self.on_back: Callable[[], None] = lambda: None
        """Called when the upstream is back after a crash."""
        self.crashes = 0
        self._sockets: set[Any] = set()
        self.forget_after_s = float("inf")
        """Idle time after which a connection is reset at its next request."""
        self.ran: list[str] = []
        """Targets of the requests that began to run."""
        self.ended: list[str] = []
        """Targets of the requests that have ended."""
        self.script = script or _answer_ok
        self.listener = eventlet.listen((host, port))
        self.port: int = self.listener.getsockname()[1]
        self.open_connections = 0
        self.running = 0
        self.most_running = 0
        """Most requests that ran at once."""
        self.greenlet = eventlet.spawn(self._accept)

    def close(self) -> None:
        """Stop serving."""
        self.greenlet.kill()
        self.listener.close()

    def is_listening(self) -> bool:
        """Whether the upstream is not down after a crash."""
        return not self.greenlet.dead

    def crash(self) -> None:
        """End: close all connections and the port, and come back after `down_s`."""
        if not self.is_listening():
            return
        self.crashes += 1
        host = self.listener.getsockname()[0]
        self.close()
        for sock in list(self._sockets):
            with contextlib.suppress(OSError):
                sock.shutdown(plain_socket.SHUT_RDWR)
        eventlet.spawn_after(self.down_s, self._come_back, host)

    def _come_back(self, host: str) -> None:
        self.listener = eventlet.listen((host, self.port))
        self.greenlet = eventlet.spawn(self._accept)
        self.on_back()

    def _accept(self) -> None:
        while True:
            sock, _ = self.listener.accept()
            self._sockets.add(sock)
            eventlet.spawn_n(self._serve, sock)

    def _serve(self, sock: Any) -> None:
        self.open_connections += 1
        try:
            self._serve_requests(sock)
        except OSError:
            pass
        finally:
            self.open_connections -= 1
            self._sockets.discard(sock)
            sock.close()

    def _serve_requests(self, sock: Any) -> None:
        buffered = b""
        answered_at = None
        while True:
            while b"\r\n\r\n" not in buffered:
                part = sock.recv(65536)
                if not part:
                    return
                buffered += part
            idle_s = time.monotonic() - (answered_at or time.monotonic())
            if idle_s > self.forget_after_s:
                reset_at_close(sock)
                return
            head, _, buffered = buffered.partition(b"\r\n\r\n")
            length = _length(head)
            while len(buffered) < length:
                part = sock.recv(65536)
                if not part:
                    return
                buffered += part
            body, buffered = buffered[:length], buffered[length:]
            if not self._run(sock, head, body):
                return
            answered_at = time.monotonic()

    def _run(self, sock: Any, head: bytes, body: bytes) -> bool:
        """Run one request; return whether its connection stays open."""
        target = head.split(b" ")[1].decode()
        self.ran.append(target)
        self.running += 1
        self.most_running = max(self.most_running, self.running)
        try:
            parts = self.script(head, body)
            for part in [parts] if isinstance(parts, bytes) else parts:
                if part is None:
                    return False
                if part is CRASH:
                    self.crash()
                    return False
                if part is RESET:
                    reset_at_close(sock)
                    return False
                sock.sendall(part)
            return True
        finally:
            self.running -= 1
            self.ended.append(target)


def _length(head: bytes) -> int:
    for line in head.split(b"\r\n"):
        if line.lower().startswith(b"content-length:"):
            return int(line.split(b":")[1])
    return 0


def reset_at_close(sock: Any) -> None:
    """Make a later close of the connection send a reset."""
    linger = struct.pack("ii", 1, 0)
    sock.setsockopt(plain_socket.SOL_SOCKET, plain_socket.SO_LINGER, linger)
