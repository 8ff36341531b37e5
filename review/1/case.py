"""One truncated answer of an endpoint stops the node beside it."""

import contextlib
import subprocess
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins import SERVICE, Endpoint, Reply, Request, Site, answer, main, send

PER_S = 16.0
"""Requests a second at each machine."""
CALM_S = 5.0
TROUBLE_S = 5.5
"""Time in which at most one answer is spoilt."""
AFTER_S = 14.0
TIMEOUT_S = 1.5
"""The time-out of the route."""
LATE_S = 0.5
DEADLINE_MS = 3000
MIN_UNANSWERED = 10
WHOLE_ANSWERS = 50
"""Answers that the endpoint gives in that time before it spoils one."""
BLANKS = 4000
GRACE_S = 6.0


class Spoiler:
    """Has the first endpoint truncate one answer inside a header."""

    def __init__(self) -> None:
        self.is_armed = False
        self.truncated = 0
        self.answers = 0

    def handle(self, endpoint: Endpoint, request: Request) -> bytes:
        """Run a request; spoil its answer if it is the one."""
        time.sleep(0.01)
        if self.is_armed and endpoint.instance_id == "i-1":
            self.answers += 1
            if not self.truncated and self.answers > WHOLE_ANSWERS:
                self.truncated = 1
                endpoint.record.write(f"i-1 truncates the answer to {request.attempt}")
                request.closes = True
                head = answer(request).partition(b"\r\n\r\n")[0]
                return head + b"\r\nX-Note:" + b" " * BLANKS
        return answer(request)


def play(site: Site, has_trouble: bool) -> bool:
    """Send requests at both machines; return whether CONFIG held."""
    site.configure(
        [
            {"path_prefix": "/fields/", "type": "safe", "service": SERVICE},
            {"path_prefix": "/slots/", "type": "unsafe", "service": SERVICE},
        ]
    )
    spoiler = Spoiler()
    endpoints = [
        Endpoint(
            record=site.record,
            machine=node.machine,
            instance_id=f"i-{number + 1}",
            handler=spoiler.handle,
        )
        for number, node in enumerate(site.nodes)
    ]
    for node in site.nodes:
        node.start()
    site.wait_until_ready()
    time.sleep(4.0)
    replies: list[Reply] = []
    threads: list[threading.Thread] = []

    def book(machine: str, number: int) -> None:
        method, path = ("GET", "/fields/") if number % 2 else ("POST", "/slots/")
        body = None if number % 2 else b"slot"
        reply = send(
            site.record,
            machine,
            method,
            f"{path}{number}",
            body=body,
            deadline_ms=DEADLINE_MS,
        )
        if method == "POST":
            replies.append(reply)

    began = time.monotonic()
    number = 0
    while (passed_s := time.monotonic() - began) < CALM_S + TROUBLE_S + AFTER_S:
        is_due = CALM_S <= passed_s < CALM_S + TROUBLE_S
        spoiler.is_armed = has_trouble and is_due
        for node in site.nodes:
            thread = threading.Thread(target=book, args=(node.machine, number))
            thread.start()
            threads.append(thread)
        number += 1
        time.sleep(1.0 / PER_S)
    ready = [node.is_ready() for node in site.nodes]
    site.record.write(f"ready at the end: {ready}")
    for thread in threads:
        thread.join()
    process = site.nodes[0].process
    if process is not None:
        process.terminate()
        with contextlib.suppress(subprocess.TimeoutExpired):
            process.wait(GRACE_S)
        site.record.write(f"ended {GRACE_S} s after SIGTERM: {process.poll()}")
    unanswered = [r for r in replies if r.ended - r.began > TIMEOUT_S]
    late = [r for r in unanswered if r.ended - r.began > TIMEOUT_S + LATE_S]
    runs = sum(len(endpoint.runs) for endpoint in endpoints)
    site.record.write(
        f"{len(replies)} bookings, {runs} runs, {spoiler.truncated} answers truncated; "
        f"unanswered at the time-out: {len(unanswered)}, of these without an answer "
        f"{LATE_S} s later: {len(late)}"
    )
    return len(late) < MIN_UNANSWERED or 2 * len(late) <= len(unanswered)


if __name__ == "__main__":
    sys.exit(main(__file__, 3, play))
