"""Run one seed: callers under a schedule of faults, then a check of recovery."""

import http.client
import itertools
import random
import tempfile
import threading
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import eventlet
from attrs import frozen

from soak.configuration import HOST, PUBLIC_PREFIX
from soak.endings import Ending, EndingChecker, SentCall
from soak.faults import draw_schedule
from soak.habits import HABITS, HabitualCaller
from soak.keypromises import KeyChecker
from soak.keys import Credentials, every_credentials
from soak.planned import draw_planned, is_planned
from soak.promises import RECOVERY_S, PromiseChecker
from soak.site import OUTBOUND, Site

CALLERS_PER_NODE = 3
CALL_GAP_RANGE_S = (0.0, 0.06)
DEADLINE_MS = 1500
START_TIMEOUT_S = 20.0
RECOVERY_CALLS = 100


@frozen(kw_only=True)
class Result:
    """Outcome of a run."""

    seed: int
    folder: Path
    """Holds the settings and logs of the nodes."""
    promises: PromiseChecker
    endings: EndingChecker
    keys: KeyChecker | None
    """None if the configuration had no accounts."""


class Caller:
    """Call one node over a persistent connection, reopened when it breaks."""

    def __init__(self, *, site: Site, node: int, name: str) -> None:
        self._host, self._node, self._name = site.hosts[node], node, name
        self._promises, self._keys = site.promises, site.keys
        self._endings = site.endings
        self._numbers = itertools.count()
        self._connection: http.client.HTTPConnection | None = None

    def call(self, *, idempotent: bool, credentials: Credentials | None = None) -> int:
        """Make one call; return its status, 0 if there was no answer."""
        call_id = f"{self._name}.{next(self._numbers)}"
        path = "/safe/x" if idempotent else "/unsafe/x"
        fields: dict[str, str] = {}
        if credentials is not None:
            assert self._keys is not None
            self._keys.record_call(call_id, credentials, self._node)
            fields = credentials.headers()
            if credentials.is_public:
                path = f"{PUBLIC_PREFIX}x"
                idempotent = True
        is_kept = self._connection is not None
        if self._connection is None:
            self._connection = http.client.HTTPConnection(
                self._host, OUTBOUND, timeout=DEADLINE_MS / 1000 + 1.0
            )
        status, body, answered_id, closing = 0, b"", "", True
        sent = self._endings.begin(
            SentCall(
                call_id=call_id,
                node=self._node,
                limit_s=DEADLINE_MS / 1000,
                is_kept=is_kept,
            )
        )
        ending = Ending.CLOSED
        try:
            self._connection.request(
                "GET" if idempotent else "POST",
                path,
                headers={
                    "Host": HOST,
                    "X-Attempt-Id": call_id,
                    "X-Deadline-Ms": str(DEADLINE_MS),
                    **fields,
                },
            )
            sent.record_sent()
            answer = self._connection.getresponse()
            ending = Ending.CUT
            body = answer.read()
            is_sealed = "X-Response-Seal" in answer.headers
            ending = Ending.WHOLE if is_sealed else Ending.OWN
            status, answered_id = answer.status, answer.headers.get("X-Attempt-Id", "")
            closing = answer.will_close
        except TimeoutError:
            ending = Ending.GIVEN_UP
        except (OSError, http.client.HTTPException):
            status = 0
        self._endings.end(sent, ending)
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
        if credentials is not None and self._keys is not None:
            self._keys.record_answer(call_id, status)
        return status


def run_seed(*, seed: int, seconds: float, nodes: int, start_s: float = 0.0) -> Result:
    """Run a seed and check the promises; nodes take `start_s` longer to start."""
    folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    with Site(nodes=nodes, seed=seed, folder=folder, start_s=start_s) as site:
        _wait_for_start(site)
        stop = threading.Event()
        callers = list(_spawn_callers(site, stop))
        _inject_faults(site, seed, seconds, nodes)
        eventlet.sleep(RECOVERY_S)
        stop.set()
        for caller in callers:
            caller.wait()
        _check_recovery(site)
        if site.keys is not None:
            _check_keys(site)
            site.keys.check_logs(node.log for node in site.nodes)
        site.endings.check()
        return Result(
            seed=seed,
            folder=folder,
            promises=site.promises,
            endings=site.endings,
            keys=site.keys,
        )


def _spawn_callers(site: Site, stop: threading.Event) -> Iterator[Any]:
    """Start the callers of each node."""
    for number in range(len(site.nodes)):
        if not is_planned(site.seed):
            for name in range(CALLERS_PER_NODE):
                yield eventlet.spawn(_keep_calling, site, number, name, site.seed, stop)
            continue
        for habit in HABITS:
            for place in range(habit.callers):
                caller = HabitualCaller(
                    site=site,
                    node=number,
                    habit=habit,
                    name=f"{habit.name}{number}.{place}",
                )
                yield eventlet.spawn(caller.keep_calling, stop)


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
    caller = Caller(site=site, node=number, name=f"c{number}.{name}")
    while not stop.is_set():
        credentials = site.ring.draw_credentials(generator) if site.ring else None
        caller.call(idempotent=generator.random() < 0.5, credentials=credentials)
        eventlet.sleep(generator.uniform(*CALL_GAP_RANGE_S))


def _inject_faults(site: Site, seed: int, seconds: float, nodes: int) -> None:
    started = time.monotonic()
    running: list[Any] = []
    draw = draw_planned if is_planned(seed) else draw_schedule
    for fault in draw(seed, nodes=nodes, seconds=seconds):
        eventlet.sleep(max(0.0, started + fault.at_s - time.monotonic()))
        running.append(eventlet.spawn(site.apply, fault))
    for greenlet in running:
        greenlet.wait()
    site.clear_faults()


def _check_recovery(site: Site) -> None:
    served = 0
    callers = [
        Caller(site=site, node=number, name=f"last{number}")
        for number in range(len(site.hosts))
    ]
    credentials = site.ring.lasting_credentials() if site.ring else None
    for number in range(RECOVERY_CALLS):
        caller = callers[number % len(callers)]
        served += caller.call(idempotent=True, credentials=credentials) == 200
    site.promises.check_recovery(
        served=served, asked=RECOVERY_CALLS, newest=site.version, held=site.versions()
    )


def _check_keys(site: Site) -> None:
    """Call each node with each key that was ever granted."""
    assert site.ring is not None
    for number in range(len(site.hosts)):
        caller = Caller(site=site, node=number, name=f"keys{number}")
        for credentials in every_credentials(site.ring):
            caller.call(idempotent=False, credentials=credentials)
