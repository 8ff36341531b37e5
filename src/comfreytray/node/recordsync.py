"""Keeps the stored record of a node current, from its start on."""

from collections.abc import Callable
from functools import partial

import eventlet

from comfreytray.common.interfaces import Clock
from comfreytray.common.records import Departure, ListedRecord, NodeRecord
from comfreytray.common.repeating import repeat
from comfreytray.common.signals import Signal
from comfreytray.membership.departurewitness import Keeping
from comfreytray.membership.directory import Directory
from comfreytray.membership.heartbeats import InstanceRegister
from comfreytray.membership.ownrecord import OwnRecord
from comfreytray.node.storefeeds import MEMBERS_WAIT_S
from comfreytray.replication.feed import Feed

PROMPT_LIST_S = 0.6
"""Time in which the first list of members comes unless the store is away."""
FIRST_HEARTBEAT_TIMEOUT_S = 0.6
"""Time for which the first write of the own record waits for the instance."""
START_POLL_S = 0.02
LATE_START_POLL_S = 0.1
"""Pause between two checks for the list after `PROMPT_LIST_S`."""
STORE_TIMEOUT_S = 0.8
"""Time for which a departure waits to be stored; its sender waits for a second."""


def poll_until(holds: Callable[[], bool], timeout_s: float, clock: Clock) -> None:
    """Wait until a condition of the start holds, but not beyond a time-out."""
    deadline = clock.monotonic() + timeout_s
    while not holds() and clock.monotonic() < deadline:
        eventlet.sleep(START_POLL_S)


def listed_record(members: Feed, directory: Directory) -> ListedRecord | None:
    """Return a node's own record as last listed; None before the first list."""
    if not members.is_known:
        return None
    return directory.own_listed(members.replica.progress.complete_to)


class RecordSync:
    """Writes the record when it changes, and again when the store has lost it."""

    def __init__(
        self,
        *,
        record: Callable[[], NodeRecord],
        own_record: OwnRecord,
        members: Feed,
        register: InstanceRegister,
        clock: Clock,
        keep: Callable[[Departure], Keeping] = lambda _: Keeping(asked=0),
    ) -> None:
        """Create it; `keep` asks other nodes to keep a departure."""
        self._keep = keep
        self._record = record
        self._own_record = own_record
        self._members = members
        self._register = register
        self._clock = clock
        self._changed = Signal()
        members.on_restored = self.check

    def check(self) -> None:
        """Compare the stored record with the current one soon."""
        self._changed.fire()

    def store(self, departure: Departure) -> bool:
        """Wait until the store holds a departure; return whether it does in time.

        Another node, if one answers, holds it too: the store may lose what it has
        acknowledged, and this process may end at any moment.
        """
        self.check()
        keeping = self._keep(departure)
        holds = partial(self._own_record.holds, departure)
        poll_until(lambda: holds() and keeping.is_settled, STORE_TIMEOUT_S, self._clock)
        return holds()

    def run(self) -> None:
        """Show the instance and write the record, once the members are known.

        Before, the node does not know which departures an earlier process of it has
        acknowledged; a late heartbeat would bring the instance back. Mostly the first
        heartbeat comes soon enough for the first write.
        """
        register = self._register
        self._await_members()
        register.show()
        poll_until(
            lambda: register.upstream is not None,
            FIRST_HEARTBEAT_TIMEOUT_S,
            self._clock,
        )
        repeat("own-record", self._write_if_changed)

    def _write_if_changed(self) -> float:
        record = self._record()
        if self._own_record.is_current(record):
            self._changed.wait(MEMBERS_WAIT_S)
            return 0.0
        return self._own_record.write(record)

    def _await_members(self) -> None:
        poll_until(lambda: self._members.is_known, PROMPT_LIST_S, self._clock)
        while not self._members.is_known:
            eventlet.sleep(LATE_START_POLL_S)
