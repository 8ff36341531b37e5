"""The process of one node of the soak test."""

import os
import re
import signal
import subprocess
import sys
import time
from pathlib import Path

import eventlet
from attrs import define

ROOT = Path(__file__).resolve().parent.parent
_SLOW_START = """
import runpy, sys, time
class Slow:
    def find_spec(self, name, path=None, target=None):
        if name == "comfreytray.platform.main":
            time.sleep({seconds})
sys.meta_path.insert(0, Slow())
runpy.run_path("deploy/node.py", run_name="__main__")
"""
"""Starts a node whose imports take longer, as on a slower machine."""


@define(kw_only=True, eq=False)
class NodeProcess:
    """Own the process of one node; signals go to its process id only."""

    number: int
    settings: Path
    log: Path
    popen: subprocess.Popen[bytes] | None = None
    start_s: float = 0.0
    """Time that a start takes longer than on this machine."""
    version_in_force: int = 0
    busy: bool = False
    """Whether a fault is stopping, pausing or starting the process now."""

    def start(self) -> None:
        """Start the process."""
        environment = {
            **os.environ,
            "COMFREYTRAY_NODE_FILE": str(self.settings),
            "EVENTLET_NO_GREENDNS": "yes",
        }
        slow_start = ["-c", _SLOW_START.format(seconds=self.start_s)]
        with self.log.open("ab") as log:
            self.popen = subprocess.Popen(
                [
                    sys.executable,
                    *(slow_start if self.start_s else ["deploy/node.py"]),
                ],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.version_in_force = 0

    @property
    def handles_sighup(self) -> bool:
        """Whether SIGHUP is caught or ignored; a starting interpreter ends on it."""
        if self.popen is None or self.popen.poll() is not None:
            return False
        status = Path(f"/proc/{self.popen.pid}/status").read_text()
        masks = re.findall(r"^Sig(?:Ign|Cgt):\s*([0-9a-f]+)", status, re.MULTILINE)
        bit = 1 << (signal.SIGHUP - 1)
        return any(int(mask, 16) & bit for mask in masks)

    def send(self, signal_number: int) -> None:
        """Send a signal if the process runs."""
        if self.popen is not None and self.popen.poll() is None:
            self.popen.send_signal(signal_number)

    def wait(self, timeout_s: float) -> bool:
        """Wait for the process to end; kill it after `timeout_s`, and return false."""
        assert self.popen is not None
        end = time.monotonic() + timeout_s
        while self.popen.poll() is None and time.monotonic() < end:
            eventlet.sleep(0.02)
        has_ended = self.popen.poll() is not None
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        self.popen.wait()
        return has_ended
