"""A load generator: seeded Poisson arrivals (open loop) or workers (closed loop)."""

import json
import os
import random
import time
import warnings
from collections import Counter
from typing import Any

os.environ.setdefault("EVENTLET_NO_GREENDNS", "yes")
warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")

import eventlet
import fire
from attrs import define, field, frozen
from eventlet.green.http import client as http_client
from hdrh.histogram import HdrHistogram

MAX_LATENCY_US = 60_000_000
"""Longest latency that the histograms can record."""
MAX_LATENESS_S = 0.002
"""Lateness above which latency counts from the planned, not the actual, start."""
ERROR_HEADER = "Comfreytray-Error"
DEADLINE_HEADER = "Comfreytray-Deadline-Ms"
RAN_HEADER = "Comfreytray-Ran"


def _histogram() -> HdrHistogram:
    return HdrHistogram(1, MAX_LATENCY_US, 3)


@frozen(kw_only=True)
class Load:
    """The calls to make."""

    targets: tuple[tuple[str, int], ...]
    """Addresses to call in turn."""
    calls_per_s: float
    """Mean arrival rate; 0 for a closed loop, in which workers call back to back."""
    duration_s: float
    workers: int = 1
    """Concurrent callers of the closed loop."""
    warmup_s: float = 0.0
    """Time at the start for which calls are made but not counted."""
    method: str = "GET"
    path: str = "/"
    hosts: tuple[str, ...] = ()
    """Host headers to send in turn; if empty, the address called."""
    body: bytes = b""
    seed: int = 1
    timeout_s: float = 10.0
    max_open: int = 2000
    """Most calls of the open loop in flight at once."""
    id_prefix: str = "c"
    headers: dict[str, str] = field(factory=dict)
    key_header: str = ""
    """Header in which to repeat the request id as an idempotency key; none if empty."""
    repeats: int = 0
    """Most retries of a call that may have run, each at the next address."""
    repeat_pause_s: float = 0.5
    late_after_s: float = 0.0
    """Latency above which a whole answer no longer counts as good; 0 for no limit."""


@define(kw_only=True)
class LoadResult:
    """Counts, latencies and outcomes of the calls."""

    sent: int = 0
    good: int = 0
    """Calls answered with status 200, for the right request and in time."""
    wrong: int = 0
    """Answers of status 200 that belong to another request."""
    elapsed_s: float = 0.0
    latency_us: HdrHistogram = field(factory=_histogram)
    """Latency of good calls."""
    refused_us: HdrHistogram = field(factory=_histogram)
    """Latency of all other calls."""
    lateness_us: HdrHistogram = field(factory=_histogram)
    """Delay of the generator between planned and actual starts."""
    count_by_outcome: Counter[str] = field(factory=Counter)
    outcome_by_id: dict[str, str] = field(factory=dict)

    @property
    def goodput(self) -> float:
        """Good answers per second."""
        return self.good / self.elapsed_s if self.elapsed_s else 0.0

    def percentile_ms(self, share: float) -> float:
        """Return a percentile of the latency of good calls."""
        return float(self.latency_us.get_value_at_percentile(share)) / 1000

    def report(self) -> dict[str, Any]:
        """Return the figures in types that JSON can hold."""
        return {
            "sent": self.sent,
            "good": self.good,
            "wrong": self.wrong,
            "elapsed_s": self.elapsed_s,
            "goodput": self.goodput,
            "p50_ms": self.percentile_ms(50),
            "p99_ms": self.percentile_ms(99),
            "max_ms": self.percentile_ms(100),
            "lateness_p99_ms": self.lateness_us.get_value_at_percentile(99) / 1000,
            "outcomes": dict(self.count_by_outcome),
        }


def _clamp_us(seconds: float) -> int:
    return max(1, min(int(seconds * 1e6), MAX_LATENCY_US))


class Caller:
    """Make the calls of a load over keep-alive connections that it owns."""

    def __init__(self, *, load: Load, keep_outcomes: bool = False) -> None:
        self.load = load
        self.keep_outcomes = keep_outcomes
        self.result = LoadResult()
        self._idle: dict[tuple[str, int], list[http_client.HTTPConnection]] = {
            target: [] for target in load.targets
        }
        self._stopped = False

    def __enter__(self) -> "Caller":
        return self

    def __exit__(self, *_: object) -> None:
        for connections in self._idle.values():
            for connection in connections:
                connection.close()

    def stop(self) -> None:
        """Stop starting calls."""
        self._stopped = True

    def run(self) -> LoadResult:
        """Make all calls and return when each has ended."""
        if self.load.calls_per_s <= 0:
            return self._run_closed_loop()
        load = self.load
        generator = random.Random(load.seed)
        pool = eventlet.GreenPool(load.max_open)
        started = time.perf_counter()
        planned = started
        number = 0
        while not self._stopped:
            planned += generator.expovariate(load.calls_per_s)
            if planned - started >= load.duration_s:
                break
            wait = planned - time.perf_counter()
            eventlet.sleep(max(wait, 0.0))
            late = time.perf_counter() - planned
            counted = planned - started >= load.warmup_s
            if counted:
                self.result.lateness_us.record_value(_clamp_us(max(late, 0.0)))
            start = planned if late > MAX_LATENESS_S else planned + max(late, 0.0)
            number += 1
            pool.spawn_n(self._call, number, start, counted)
        self.result.elapsed_s = max(load.duration_s - load.warmup_s, 1e-9)
        pool.waitall()
        return self.result

    def _run_closed_loop(self) -> LoadResult:
        load = self.load
        started = time.perf_counter()
        pool = eventlet.GreenPool(load.workers)
        for worker in range(load.workers):
            pool.spawn_n(self._call_until_end, worker, started)
        pool.waitall()
        self.result.elapsed_s = max(load.duration_s - load.warmup_s, 1e-9)
        return self.result

    def _call_until_end(self, worker: int, started: float) -> None:
        load = self.load
        number = worker
        while not self._stopped:
            start = time.perf_counter()
            if start - started >= load.duration_s:
                return
            self._call(number, start, start - started >= load.warmup_s)
            number += load.workers

    def _call(self, number: int, start: float, counted: bool) -> None:
        load = self.load
        request_id = f"{load.id_prefix}{load.seed}-{number}"
        outcome, good = self._exchange(request_id, number, 0)
        for attempt in range(1, load.repeats + 1):
            if good or outcome.endswith(":no"):
                break
            eventlet.sleep(load.repeat_pause_s)
            outcome, good = self._exchange(request_id, number, attempt)
        latency_s = time.perf_counter() - start
        if good and 0 < load.late_after_s < latency_s:
            outcome, good = "late", False
        if self.keep_outcomes:
            self.result.outcome_by_id[request_id] = outcome
        if not counted:
            return
        self.result.sent += 1
        self.result.count_by_outcome[outcome] += 1
        if good:
            self.result.good += 1
            self.result.latency_us.record_value(_clamp_us(latency_s))
        else:
            self.result.refused_us.record_value(_clamp_us(latency_s))

    def _exchange(self, request_id: str, number: int, attempt: int) -> tuple[str, bool]:
        load = self.load
        target = load.targets[(number + attempt) % len(load.targets)]
        idle = self._idle[target]
        connection = idle.pop() if idle else self._connect(target)
        headers = {"X-Request-Id": request_id, **load.headers}
        if load.hosts:
            headers["Host"] = load.hosts[number % len(load.hosts)]
        if load.key_header:
            headers[load.key_header] = request_id
        try:
            connection.request(load.method, load.path, load.body or None, headers)
            answer = connection.getresponse()
            content = answer.read()
        except Exception as error:
            connection.close()
            return f"error:{type(error).__name__}", False
        if answer.will_close:
            connection.close()
        else:
            idle.append(connection)
        return self._classify(request_id, answer, content)

    def _connect(self, target: tuple[str, int]) -> http_client.HTTPConnection:
        host, port = target
        return http_client.HTTPConnection(host, port, timeout=self.load.timeout_s)

    def _classify(
        self, request_id: str, answer: http_client.HTTPResponse, content: bytes
    ) -> tuple[str, bool]:
        if answer.status == 200:
            if content.startswith(b"{") and request_id.encode() not in content:
                self.result.wrong += 1
                return "wrong", False
            return "200", True
        outcome = str(answer.status)
        for name in (ERROR_HEADER, RAN_HEADER):
            outcome += f":{answer.getheader(name, '-')}"
        return outcome, False


def run_load(load: Load, *, keep_outcomes: bool = False) -> LoadResult:
    """Make the calls of a load and return their result."""
    with Caller(load=load, keep_outcomes=keep_outcomes) as caller:
        return caller.run()


def main(
    targets: str | tuple[str, ...],
    calls_per_s: float,
    duration_s: float,
    workers: int = 1,
    warmup_s: float = 0.0,
    method: str = "GET",
    path: str = "/",
    host: str | tuple[str, ...] = "",
    seed: int = 1,
    key_header: str = "",
    deadline_ms: int = 0,
    repeats: int = 0,
    body_bytes: int = 0,
    keep_outcomes: bool = False,
) -> None:
    """Call comma-separated addresses in turn and print the results as JSON.

    Hosts may be comma-separated too and are sent in turn.
    """
    addresses = []
    for target in targets.split(",") if isinstance(targets, str) else targets:
        ip, _, port = target.rpartition(":")
        addresses.append((ip, int(port)))
    hosts = host.split(",") if isinstance(host, str) else host
    load = Load(
        targets=tuple(addresses),
        calls_per_s=calls_per_s,
        duration_s=duration_s,
        workers=workers,
        warmup_s=warmup_s,
        method=method,
        path=path,
        hosts=tuple(filter(None, hosts)),
        seed=seed,
        key_header=key_header,
        repeats=repeats,
        body=b"x" * body_bytes,
        late_after_s=deadline_ms / 1000,
        headers={DEADLINE_HEADER: str(deadline_ms)} if deadline_ms else {},
    )
    result = run_load(load, keep_outcomes=keep_outcomes)
    print(json.dumps({**result.report(), "outcome_by_id": result.outcome_by_id}))


if __name__ == "__main__":
    fire.Fire(main)
