"""Run one seed: callers under a schedule of faults, then a check of recovery."""

import http.client
import itertools
import random
import tempfile
import threading
import time
from pathlib import Path
from typing import Any

import eventlet
from attrs import frozen

from soak.faults import draw_schedule
from soak.promises import PromiseChecker
from soak.site import HOST, OUTBOUND, Site

CALLERS_PER_NODE = 3
CALL_GAP_RANGE_S = (0.0, 0.06)
DEADLINE_MS = 1500
START_TIMEOUT_S = 20.0
RECOVERY_S = 6.0
"""Longer than a silent watch, a back-off and a heartbeat interval together."""
RECOVERY_CALLS = 100


@frozen(kw_only=True)
class Result:
    """Outcome of a run."""

    seed: int
    folder: Path
    """Holds the settings and logs of the nodes."""
    promises: PromiseChecker


class Caller:
    """Call one node over a persistent connection, reopened when it breaks."""

    def __init__(self, *, host: str, promises: PromiseChecker, name: str) -> None:
        self._host, self._promises, self._name = host, promises, name
        self._numbers = itertools.count()
        self._connection: http.client.HTTPConnection | None = None

    def call(self, *, idempotent: bool) -> int:
        """Make one call; return its status, 0 if there was no answer."""
        call_id = f"{self._name}.{next(self._numbers)}"
        if self._connection is None:
            self._connection = http.client.HTTPConnection(
                self._host, OUTBOUND, timeout=DEADLINE_MS / 1000 + 1.0
            )
        status, body, answered_id, closing = 0, b"", "", True
        try:
            self._connection.request(
                "GET" if idempotent else "POST",
                "/safe/x" if idempotent else "/unsafe/x",
                headers={
                    "Host": HOST,
                    "X-Attempt-Id": call_id,
                    "X-Deadline-Ms": str(DEADLINE_MS),
                },
            )
            answer = self._connection.getresponse()
            body = answer.read()
            status, answered_id = answer.status, answer.headers.get("X-Attempt-Id", "")
            closing = answer.will_close
        except (OSError, http.client.HTTPException):
            status = 0
        if closing:
            self._connection.close()
            self._connection = None
        self._promises.record_answer(
            call_id,
            idempotent=idempotent,
            status=status,
            body=body,
            answered_id=answered_id,
        )
        return status


def run_seed(*, seed: int, seconds: float, nodes: int) -> Result:
    """Run a seed and check the promises."""
    folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    with Site(nodes=nodes, seed=seed, folder=folder) as site:
        _wait_for_start(site)
        stop = threading.Event()
        callers = [
            eventlet.spawn(_keep_calling, site, number, name, seed, stop)
            for number in range(nodes)
            for name in range(CALLERS_PER_NODE)
        ]
        _inject_faults(site, seed, seconds, nodes)
        eventlet.sleep(RECOVERY_S)
        stop.set()
        for caller in callers:
            caller.wait()
        _check_recovery(site)
        return Result(seed=seed, folder=folder, promises=site.promises)


def _wait_for_start(site: Site) -> None:
    end = time.monotonic() + START_TIMEOUT_S
    while set(site.versions()) != {site.version}:
        if time.monotonic() > end:
            raise TimeoutError(f"nodes did not start: versions {site.versions()}")
        eventlet.sleep(0.1)


def _keep_calling(
    site: Site, number: int, name: int, seed: int, stop: threading.Event
) -> None:
    generator = random.Random(f"{seed} {number} {name}")
    caller = Caller(
        host=site.hosts[number], promises=site.promises, name=f"c{number}.{name}"
    )
    while not stop.is_set():
        caller.call(idempotent=generator.random() < 0.5)
        eventlet.sleep(generator.uniform(*CALL_GAP_RANGE_S))


def _inject_faults(site: Site, seed: int, seconds: float, nodes: int) -> None:
    started = time.monotonic()
    running: list[Any] = []
    for fault in draw_schedule(seed, nodes=nodes, seconds=seconds):
        eventlet.sleep(max(0.0, started + fault.at_s - time.monotonic()))
        running.append(eventlet.spawn(site.apply, fault))
    for greenlet in running:
        greenlet.wait()
    site.clear_faults()


def _check_recovery(site: Site) -> None:
    served = 0
    callers = [
        Caller(host=host, promises=site.promises, name=f"last{number}")
        for number, host in enumerate(site.hosts)
    ]
    for number in range(RECOVERY_CALLS):
        served += callers[number % len(callers)].call(idempotent=True) == 200
    site.promises.check_recovery(
        served=served, asked=RECOVERY_CALLS, newest=site.version, held=site.versions()
    )
