"""Run a node as a process: check its settings, serve until a signal, return a code."""

import gc
import signal
from types import FrameType

import eventlet

from comfreytray.common import logs, loop
from comfreytray.common.errors import Failure, Kind
from comfreytray.common.exceptions import SettingError
from comfreytray.common.logs import Event
from comfreytray.common.loopwatch import LoopWatch
from comfreytray.common.settings import Settings
from comfreytray.node.node import Node


def check_settings(settings: Settings) -> None:
    """Raise SettingError if the host is not a loopback address and no token is set."""
    loopback = settings.host.startswith("127.") or settings.host == "::1"
    if loopback or settings.admin_token:
        return
    fields = {
        "setting": "admin_token",
        "value": "",
        "allowed": "a non-empty string if host is not a loopback address",
    }
    raise SettingError(
        Failure(
            kind=Kind.INVALID_SETTING,
            detail=f"admin_token is missing: host {settings.host} is not loopback",
            fields=fields,
        )
    )


def run(settings: Settings) -> int:
    """Run a node until SIGTERM or SIGINT; return the exit code."""
    check_settings(settings)
    logs.configure(settings.log_level)
    paced_loop = loop.install()
    node = Node(settings=settings)

    def stop(_: int, __: FrameType | None) -> None:
        eventlet.hubs.get_hub().schedule_call_global(0, node.ask_to_stop)

    signal.signal(signal.SIGTERM, stop)
    signal.signal(signal.SIGINT, stop)
    with LoopWatch(loop=paced_loop, metrics=node.metrics), node:
        print(f"ready node={node.record().node_id}", flush=True)
        # Objects made at start-up live until the end: no collection need scan them.
        gc.collect()
        gc.freeze()
        failure = node.run()
    if failure is None:
        return 0
    logs.warn(Event.NODE_STOPPED, reason=failure.kind.value, detail=failure.detail)
    return failure.answer.exit_code
