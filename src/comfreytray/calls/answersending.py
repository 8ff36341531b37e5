"""Sending answers to callers, and what is recorded of those that are not sent."""

from collections.abc import Callable
from typing import Any

from comfreytray.calls.pipelines import DropReason
from comfreytray.common import logs
from comfreytray.common.metrics import Metrics

SEND_TIMEOUT_S = 30.0
"""Time in which a caller must take a part of its answer."""


def send_all(sock: Any, data: bytes) -> None:
    """Send to a caller; raises OSError, also if it takes nothing for too long."""
    rest = memoryview(data)
    while rest:
        try:
            rest = rest[sock.fd.send(rest) :]
        except BlockingIOError:
            sock._trampoline(
                sock.fd, write=True, timeout=SEND_TIMEOUT_S, timeout_exc=TimeoutError()
            )


def record_dropped(metrics: Metrics) -> Callable[[int, DropReason], None]:
    """Return what counts and logs the answers that a connection drops."""

    def record(count: int, reason: DropReason) -> None:
        metrics.count("answers_dropped", count)
        logs.log(logs.Event.ANSWERS_DROPPED, count=count, reason=reason.value)

    return record
