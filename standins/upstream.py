"""A stand-in for an upstream instance with slots, load shedding, drain and faults."""

import contextlib
import json
import os
import re
import signal
import socket
import struct
import time
import warnings
from collections.abc import Callable, Iterable, Iterator
from typing import Any

os.environ.setdefault("EVENTLET_NO_GREENDNS", "yes")
warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")

import eventlet
import eventlet.wsgi
import fire
import urllib3
from attrs import define, field, frozen

eventlet.monkey_patch(os=False)

REQUEST_ID_HEADER = "HTTP_X_REQUEST_ID"
DEADLINE_HEADERS = ("HTTP_COMFREYTRAY_DEADLINE_MS",)
"""Headers with the milliseconds for which the caller still waits."""
RAN_HEADER = "Comfreytray-Ran"
ATTEMPT_HEADER = "Comfreytray-Attempt"
ANNOUNCE_INTERVAL_S = 1.0
ANNOUNCE_TIMEOUT_S = 2.0
DISCONNECT_POLL_S = 0.01
CHUNK_BYTES = 64 * 1024
CRASH_EXIT_CODE = 70
STATE_POLL_S = 0.05
EXTRA_CONNECTIONS = 64
"""Connections beyond the announced number, for requests to /standin/."""

Environ = dict[str, Any]
StartResponse = Callable[[str, list[tuple[str, str]]], Any]


@frozen(kw_only=True)
class RunRecord:
    """A request that ran."""

    request_id: str
    method: str
    path: str
    host: str
    at_s: float
    """Seconds since the stand-in started."""
    after_drain_s: float | None
    """Seconds since the drain began; None before it."""


@define(kw_only=True)
class Faults:
    """Faults to inject, set at /standin/faults; each stays until it is set again."""

    lying_load: float | None = None
    """Load to announce in place of the true one."""
    lying_state: str | None = None
    """State to announce in place of the true one."""
    slow_factor: float = 1.0
    """Factor on the work time."""
    fail_share: float = 0.0
    """Share of calls that run and answer 500."""
    refuse: bool = False
    """Shed every call before it runs."""
    reset_after_run: int = 0
    """How many of the next calls run and then have their connection reset."""
    reset_in_answer: int = 0
    """How many of the next calls have their connection reset in mid-answer."""
    silent: bool = False
    """Stop announcing."""
    crash_path: str = ""
    """End of the paths on which a call ends the process; empty for none."""


@define(kw_only=True)
class Upstream:
    """WSGI application that behaves like an upstream instance."""

    service: str
    instance_id: str
    port: int
    slots: int
    connections: int
    work_s: float
    cold_until_s: float
    min_drain_s: float
    delay_s: float
    """Simulated network delay before a call takes a slot."""
    faults: Faults = field(factory=Faults)
    started_s: float = field(factory=time.monotonic)
    in_use: int = 0
    max_in_use: int = 0
    shed: int = 0
    cancelled: int = 0
    records: list[RunRecord] = field(factory=list)
    drain_started_s: float | None = None

    @property
    def state(self) -> str:
        """The true state, which may differ from the announced one."""
        if self.drain_started_s is not None:
            return "draining"
        return "cold" if time.monotonic() < self.cold_until_s else "ready"

    def announcement(self) -> dict[str, object]:
        """Return the announcement, with a false state or load if so set."""
        load = self.in_use / self.slots
        faults = self.faults
        return {
            "service": self.service,
            "instance_id": self.instance_id,
            "port": self.port,
            "slots": self.slots,
            "connections": self.connections,
            "state": faults.lying_state or self.state,
            "load": load if faults.lying_load is None else faults.lying_load,
        }

    def drain(self) -> None:
        """Start to drain: announce it, finish running calls, then stop."""
        if self.drain_started_s is None:
            self.drain_started_s = time.monotonic()

    @property
    def drained(self) -> bool:
        """Whether no call runs and `min_drain_s` has passed for nodes to notice."""
        if self.drain_started_s is None or self.in_use > 0:
            return False
        return time.monotonic() - self.drain_started_s >= self.min_drain_s

    def __call__(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Answer one request."""
        if environ["PATH_INFO"].startswith("/standin/"):
            return self._control(environ, start_response)
        if self.delay_s:
            eventlet.sleep(self.delay_s)
        remaining_s = _remaining_s(environ)
        if remaining_s is not None and remaining_s <= 0:
            return _refuse(environ, start_response, "504 Gateway Timeout", "deadline")
        if self.in_use >= self.slots or self.faults.refuse:
            self.shed += 1
            return _refuse(
                environ, start_response, "503 Service Unavailable", "no slot"
            )
        return self._run(environ, start_response, remaining_s)

    def _run(
        self,
        environ: Environ,
        start_response: StartResponse,
        remaining_s: float | None,
    ) -> Iterable[bytes]:
        body = environ["wsgi.input"].read()
        self.in_use += 1
        self.max_in_use = max(self.max_in_use, self.in_use)
        try:
            self._record(environ)
            if not self._work(environ, remaining_s):
                return _answer_cancelled(start_response)
            return self._answer(environ, start_response, body)
        finally:
            self.in_use -= 1

    def _record(self, environ: Environ) -> None:
        now = time.monotonic()
        drain_s = self.drain_started_s
        self.records.append(
            RunRecord(
                request_id=environ.get(REQUEST_ID_HEADER, ""),
                method=environ["REQUEST_METHOD"],
                path=environ["PATH_INFO"],
                host=environ.get("HTTP_HOST", ""),
                at_s=now - self.started_s,
                after_drain_s=None if drain_s is None else now - drain_s,
            )
        )

    def _work(self, environ: Environ, remaining_s: float | None) -> bool:
        crash_path = self.faults.crash_path
        if crash_path and environ["PATH_INFO"].endswith(crash_path):
            os._exit(CRASH_EXIT_CODE)
        slow = re.search(r"/slow/(\d+)", environ["PATH_INFO"])
        work_s = int(slow.group(1)) / 1000 if slow else self.work_s
        work_s *= self.faults.slow_factor
        if work_s <= 0:
            return True
        if remaining_s is not None and work_s > remaining_s:
            eventlet.sleep(remaining_s)
            self.cancelled += 1
            return False
        end = time.monotonic() + work_s
        while (left := end - time.monotonic()) > 0:
            eventlet.sleep(min(left, DISCONNECT_POLL_S))
            if work_s > DISCONNECT_POLL_S and _client_closed(environ):
                self.cancelled += 1
                return False
        return True

    def _answer(
        self, environ: Environ, start_response: StartResponse, body: bytes
    ) -> Iterable[bytes]:
        faults = self.faults
        if faults.reset_after_run > 0:
            faults.reset_after_run -= 1
            _reset(environ)
            return [b""]
        if faults.fail_share and len(self.records) % 100 < faults.fail_share * 100:
            start_response("500 Internal Server Error", [(RAN_HEADER, "yes")])
            return [b"failed"]
        large = re.search(r"/large/(\d+)", environ["PATH_INFO"])
        size = int(large.group(1)) if large else None
        if faults.reset_in_answer > 0:
            faults.reset_in_answer -= 1
            return _cut_answer(environ, start_response, size or 2 * CHUNK_BYTES)
        if size is not None:
            start_response("200 OK", _headers("application/octet-stream", size))
            return _stream(size)
        content = json.dumps(
            {
                "id": environ.get(REQUEST_ID_HEADER, ""),
                "path": environ["PATH_INFO"],
                "service": self.service,
                "instance_id": self.instance_id,
                "body_bytes": len(body),
            }
        ).encode()
        start_response("200 OK", _headers("application/json", len(content)))
        return [content]

    def _control(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        path = environ["PATH_INFO"].removeprefix("/standin/")
        if path == "faults":
            for name, value in json.loads(environ["wsgi.input"].read()).items():
                if name == "cold_s":
                    self.cold_until_s = time.monotonic() + value
                else:
                    setattr(self.faults, name, value)
        elif path == "drain":
            self.drain()
        content = json.dumps(self.log() if path == "log" else self._counters()).encode()
        start_response("200 OK", _headers("application/json", len(content)))
        return [content]

    def log(self) -> list[dict[str, object]]:
        """Return the requests that ran."""
        return [
            {
                "id": record.request_id,
                "method": record.method,
                "path": record.path,
                "customer": record.host,
                "at_s": record.at_s,
                "after_drain_s": record.after_drain_s,
            }
            for record in self.records
        ]

    def _counters(self) -> dict[str, object]:
        return {
            "ran": len(self.records),
            "shed": self.shed,
            "cancelled": self.cancelled,
            "in_use": self.in_use,
            "max_in_use": self.max_in_use,
            "state": self.state,
        }


def _headers(content_type: str, size: int) -> list[tuple[str, str]]:
    return [
        ("Content-Type", content_type),
        ("Content-Length", str(size)),
        (RAN_HEADER, "yes"),
    ]


def _refuse(
    environ: Environ, start_response: StartResponse, status: str, why: str
) -> list[bytes]:
    headers = [
        (RAN_HEADER, "no"),
        (ATTEMPT_HEADER, environ.get("HTTP_COMFREYTRAY_ATTEMPT", "")),
        ("Retry-After", "1"),
        ("Content-Length", str(len(why))),
    ]
    start_response(status, headers)
    return [why.encode()]


def _answer_cancelled(start_response: StartResponse) -> list[bytes]:
    start_response(
        "504 Gateway Timeout", [(RAN_HEADER, "yes"), ("Content-Length", "0")]
    )
    return [b""]


def _remaining_s(environ: Environ) -> float | None:
    for name in DEADLINE_HEADERS:
        text = environ.get(name)
        if text is not None:
            return float(text) / 1000
    return None


def _stream(size: int) -> Iterator[bytes]:
    chunk = b"x" * CHUNK_BYTES
    left = size
    while left > 0:
        yield chunk[:left]
        left -= CHUNK_BYTES


def _cut_answer(
    environ: Environ, start_response: StartResponse, size: int
) -> Iterator[bytes]:
    start_response("200 OK", _headers("application/octet-stream", size))
    yield b"x" * (size // 2)
    _reset(environ)


def _socket(environ: Environ) -> socket.socket:
    return environ["wsgi.input"].get_socket()  # type: ignore[no-any-return]


def _client_closed(environ: Environ) -> bool:
    raw = getattr(_socket(environ), "fd", None)
    if raw is None:
        return False
    try:
        return not raw.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return False
    except OSError:
        return True


def _reset(environ: Environ) -> None:
    connection = _socket(environ)
    linger = struct.pack("ii", 1, 0)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    connection.shutdown(socket.SHUT_RDWR)


def _post(pool: urllib3.PoolManager, upstream: Upstream, url: str) -> None:
    if upstream.faults.silent:
        return
    # A node that is starting or being replaced gets the next announcement.
    with contextlib.suppress(urllib3.exceptions.HTTPError):
        pool.request(
            "POST",
            url,
            body=json.dumps(upstream.announcement()).encode(),
            headers={"Content-Type": "application/json"},
            timeout=ANNOUNCE_TIMEOUT_S,
            retries=False,
        )


def _announce(upstream: Upstream, url: str) -> None:
    pool = urllib3.PoolManager(maxsize=1)
    while True:
        _post(pool, upstream, url)
        state = upstream.state
        due = time.monotonic() + ANNOUNCE_INTERVAL_S
        while time.monotonic() < due and upstream.state == state:
            eventlet.sleep(STATE_POLL_S)


def _stop_when_drained(upstream: Upstream, listener: Any) -> None:
    while not upstream.drained:
        eventlet.sleep(STATE_POLL_S)
    listener.close()
    print(f"log={json.dumps(upstream.log())}", flush=True)
    print(f"drained service={upstream.service}", flush=True)
    os._exit(0)


def main(
    service: str,
    port: int,
    announce_url: str = "",
    instance_id: str = "",
    host: str = "127.0.0.1",
    slots: int = 12,
    connections: int = 110,
    work_ms: float = 1.0,
    delay_ms: float = 0.0,
    cold_start_s: float = 0.0,
    min_drain_s: float = 4.0,
    crash_path: str = "",
) -> None:
    """Run an upstream instance until SIGTERM or /standin/drain has drained it."""
    listener = eventlet.listen((host, port), backlog=512)
    bound = listener.getsockname()[1]
    upstream = Upstream(
        service=service,
        instance_id=instance_id or f"{service}-{bound}",
        port=bound,
        slots=slots,
        connections=connections,
        work_s=work_ms / 1000,
        cold_until_s=time.monotonic() + cold_start_s,
        min_drain_s=min_drain_s,
        delay_s=delay_ms / 1000,
    )
    upstream.faults.crash_path = crash_path
    signal.signal(signal.SIGTERM, lambda *_: upstream.drain())
    eventlet.spawn(_stop_when_drained, upstream, listener)
    if announce_url:
        eventlet.spawn(_announce, upstream, announce_url)
    print(f"ready service={service} port={bound}", flush=True)
    eventlet.wsgi.server(
        listener,
        upstream,
        max_size=connections + EXTRA_CONNECTIONS,
        log_output=False,
        debug=False,
    )


if __name__ == "__main__":
    fire.Fire(main)
