"""Run the node that the platform starts beside each upstream instance."""

import gc
import math
import os
import signal
import time
from pathlib import Path
from types import FrameType

import eventlet

from comfreytray.common import logs, loop
from comfreytray.common.exceptions import SettingError
from comfreytray.common.loopwatch import LoopWatch
from comfreytray.node.proxynode import ProxyNode
from comfreytray.platform import configuration
from comfreytray.platform.earlystart import FILE_VARIABLE, EarlyStart
from comfreytray.platform.headers import DIALECT
from comfreytray.platform.interfaces import Exposition, Heartbeats, Readiness
from comfreytray.platform.objectstore import PlatformStore
from comfreytray.platform.settings import PlatformSettings, load
from comfreytray.store.storebodies import body_limit

METRICS_PORT = 9464
"""As in deploy/system.toml; outside the range of ports that the platform assigns."""


def main(early: EarlyStart) -> int:
    """Run a node until SIGTERM or SIGINT; return the exit code."""
    logs.configure("info", to_standard_output=True)
    path = Path(os.environ.get(FILE_VARIABLE, ""))
    try:
        settings = load(path)
    except SettingError as error:
        logs.warn(logs.Event.SETTING_REFUSED, reason=str(error))
        return error.exit_code
    max_answer_bytes = body_limit(settings.node_options.memory_bytes)
    with PlatformStore(
        address=settings.store_address, max_answer_bytes=max_answer_bytes
    ) as store:
        _run(settings, store, path, early)
    return 0


def _run(
    settings: PlatformSettings,
    store: PlatformStore,
    path: Path,
    early: EarlyStart,
) -> None:
    paced_loop = loop.install()
    node = ProxyNode(
        options=settings.node_options,
        store=store,
        status_store=store,
        configuration_key=configuration.OBJECT_KEY,
        decode_configuration=configuration.Decoder(),
        configuration_order=configuration.order_of,
        dialect=DIALECT,
        listeners=early.listeners,
        process_began_at=early.began_at,
    )

    # A signal may interrupt any green thread, so the event loop does the work.
    def stop(_: int, __: FrameType | None) -> None:
        hub = eventlet.hubs.get_hub()
        hub.schedule_call_global(0, node.ask_to_stop, time.monotonic())

    def reload(_: int, __: FrameType | None) -> None:
        eventlet.hubs.get_hub().schedule_call_global(0, _reload, path)

    signal.signal(signal.SIGTERM, stop)
    signal.signal(signal.SIGINT, stop)
    signal.signal(signal.SIGHUP, reload)
    if early.stop_requested_at < math.inf:
        node.ask_to_stop(early.stop_requested_at)
    with LoopWatch(loop=paced_loop, metrics=node.metrics), node:
        node.serve(settings.ready_address, Readiness(is_ready=lambda: node.is_ready))
        node.serve(
            settings.heartbeat_address,
            Heartbeats(
                register=node.register,
                service=settings.node_options.service,
                upstream=settings.node_options.upstream,
                store=node.record_sync.store,
            ),
        )
        node.serve(
            (settings.node_options.host, METRICS_PORT), Exposition(metrics=node.metrics)
        )
        # Objects made at start-up live until the end, so the collector can skip them.
        gc.collect()
        gc.freeze()
        gc.enable()
        node.run()


def _reload(path: Path) -> None:
    """Check the settings file again; its changes take effect at the next restart."""
    try:
        load(path)
    except SettingError as error:
        logs.warn(logs.Event.SETTING_REFUSED, reason=str(error))
        return
    logs.log(logs.Event.SETTINGS_RELOADED, path=str(path))
