"""Start, measure and stop processes, and poll their HTTP interfaces."""

import contextlib
import json
import os
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from types import TracebackType
from typing import Any

import urllib3

ROOT = Path(__file__).resolve().parent.parent
FIRST_PORT = 10_000
LAST_PORT = 32_000
POLL_S = 0.05
STOP_TIMEOUT_S = 15.0
_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")

_http = urllib3.PoolManager(num_pools=400, maxsize=2, retries=False)


class Ports:
    """Hand out free ports below the ephemeral range."""

    def __init__(self) -> None:
        # A random start keeps parallel runs apart; counting up, no port is handed out
        # twice before the range wraps around.
        self._next = random.SystemRandom().randrange(FIRST_PORT, LAST_PORT)

    def take(self) -> int:
        """Return a port on which nothing listens."""
        while True:
            self._next += 1
            if self._next > LAST_PORT:
                self._next = FIRST_PORT
            if _is_free(self._next):
                return self._next


def _is_free(port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                return False
    return True


def python_environment(extra: dict[str, str] | None = None) -> dict[str, str]:
    """Return the environment for a Python process of this repository."""
    path = f"{ROOT / 'src'}{os.pathsep}{ROOT}"
    return {
        **os.environ,
        "PYTHONPATH": path,
        "EVENTLET_NO_GREENDNS": "yes",
        **(extra or {}),
    }


class Process:
    """Own one process; its output goes to a file."""

    def __init__(
        self,
        *,
        arguments: list[str],
        environment: dict[str, str] | None = None,
        name: str = "",
    ) -> None:
        self.name = name or arguments[0]
        self.arguments = arguments
        self._output = tempfile.TemporaryFile()  # noqa: SIM115
        self._popen = subprocess.Popen(
            [sys.executable, *arguments],
            cwd=ROOT,
            env=python_environment(environment),
            stdin=subprocess.DEVNULL,
            stdout=self._output,
            stderr=subprocess.STDOUT,
        )
        self.pid = self._popen.pid

    def __enter__(self) -> "Process":
        return self

    def __exit__(
        self,
        _: type[BaseException] | None,
        __: BaseException | None,
        ___: TracebackType | None,
    ) -> None:
        self.kill()
        self._output.close()

    @property
    def running(self) -> bool:
        """Whether the process has not ended."""
        return self._popen.poll() is None

    @property
    def exit_code(self) -> int | None:
        """The exit code; None while the process runs."""
        return self._popen.poll()

    def output(self) -> str:
        """Return what the process has printed."""
        size = os.fstat(self._output.fileno()).st_size
        return os.pread(self._output.fileno(), size, 0).decode(errors="replace")

    def send(self, signal_number: int) -> None:
        """Send a signal if the process runs."""
        if self.running:
            self._popen.send_signal(signal_number)

    def kill(self) -> None:
        """Kill the process, even if it is stopped, and wait for its end."""
        if self.running:
            self._popen.send_signal(signal.SIGCONT)
            self._popen.kill()
        self._popen.wait()

    def terminate(self, timeout_s: float = STOP_TIMEOUT_S) -> int | None:
        """Send SIGTERM; return the exit code, None if it did not end in time."""
        self.send(signal.SIGTERM)
        with contextlib.suppress(subprocess.TimeoutExpired):
            return self._popen.wait(timeout_s)
        return None

    def cpu_s(self) -> float:
        """Return the processor time used so far, in seconds."""
        fields = self._stat()
        return (int(fields[11]) + int(fields[12])) / _TICKS_PER_S

    def rss_mb(self) -> float:
        """Return the resident memory, in megabytes."""
        return int(self._stat()[21]) * _PAGE_BYTES / 1e6

    def _stat(self) -> list[str]:
        text = Path(f"/proc/{self.pid}/stat").read_text()
        return text.rpartition(")")[2].split()

    def wait_for_output(self, word: str, timeout_s: float = 30.0) -> None:
        """Wait until the process has printed `word`; raise if it ends before that."""

        def printed() -> bool:
            if not self.running:
                raise RuntimeError(f"{self.name} ended: {self.output()[-2000:]}")
            return re.search(rf"(?<!\w){re.escape(word)}", self.output()) is not None

        wait_until(printed, timeout_s, f"{self.name} to print {word}")


def wait_until(
    condition: Callable[[], bool], timeout_s: float, what: str, poll_s: float = POLL_S
) -> float:
    """Poll until a condition holds; return the seconds waited."""
    begin = time.monotonic()
    while not condition():
        if time.monotonic() - begin > timeout_s:
            raise TimeoutError(f"waited {timeout_s:g} s for {what}")
        time.sleep(poll_s)
    return time.monotonic() - begin


def fetch_json(
    url: str,
    *,
    method: str = "GET",
    body: object = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = 5.0,
) -> Any:
    """Call a JSON interface over HTTP; raise on a status of 400 or above."""
    content = None if body is None else json.dumps(body).encode()
    answer = _http.request(
        method,
        url,
        body=content,
        headers={"Content-Type": "application/json", **(headers or {})},
        timeout=timeout_s,
    )
    if answer.status >= 400:
        raise RuntimeError(f"{method} {url}: {answer.status} {answer.data[:500]!r}")
    return json.loads(answer.data) if answer.data else None


def try_fetch_json(url: str, timeout_s: float = 2.0) -> Any | None:
    """Fetch JSON; return None if there is no answer, an error status or no JSON."""
    try:
        return fetch_json(url, timeout_s=timeout_s)
    except (urllib3.exceptions.HTTPError, RuntimeError, ValueError):
        return None
