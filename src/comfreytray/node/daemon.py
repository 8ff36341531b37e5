"""The process of a node: checks its settings, runs until a signal, ends with a code."""

import gc
import signal
from types import FrameType

import eventlet

from comfreytray.common import logs
from comfreytray.common.errors import Failure, Kind
from comfreytray.common.exceptions import SettingError
from comfreytray.common.logs import Event
from comfreytray.common.settings import Settings
from comfreytray.node.node import Node


def check(settings: Settings) -> None:
    """Refuse settings that do not fit together."""
    loopback = settings.host.startswith("127.") or settings.host == "::1"
    if loopback or settings.admin_token:
        return
    fields = {"setting": "admin_token", "value": "", "allowed": "any text off loopback"}
    raise SettingError(
        Failure(
            kind=Kind.INVALID_SETTING, detail="admin_token is missing", fields=fields
        )
    )


def run(settings: Settings) -> int:
    """Run a node until SIGTERM or SIGINT; return the exit code."""
    check(settings)
    logs.configure(settings.log_level)
    node = Node(settings=settings)

    def stop(_: int, __: FrameType | None) -> None:
        eventlet.hubs.get_hub().schedule_call_global(0, node.ask_to_stop)

    signal.signal(signal.SIGTERM, stop)
    signal.signal(signal.SIGINT, stop)
    with node:
        print(f"ready node={node.record().node_id}", flush=True)
        # What start-up made stays; without it a collection takes no time.
        gc.collect()
        gc.freeze()
        failure = node.run()
    if failure is None:
        return 0
    logs.warn(Event.NODE_STOPPED, reason=failure.kind.value, detail=failure.detail)
    return failure.answer.exit_code
