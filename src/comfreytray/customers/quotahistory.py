"""When a node admitted the calls of a customer, for a coordinator that takes over."""

import math
from collections import deque
from collections.abc import Iterable

from attrs import define, field, frozen

MAX_AGE_S = 3.0
"""Age up to which a replica is used; it is updated twice a second."""
SLOT_S = 0.25
"""Time within which admitted calls are told as one number."""


@frozen(kw_only=True)
class Slot:
    """Calls that were admitted at about the same time."""

    age_s: float
    """Seconds since the latest of them may have been admitted."""
    calls: int


@frozen(kw_only=True)
class Total:
    """Calls of a customer that a coordinator has counted, of all nodes."""

    customer: str
    calls: int
    """Since the account began."""
    recent: int
    """In the last window, with those that may have been admitted in it."""


@frozen(kw_only=True)
class CustomerHistory:
    """The calls of one customer that a node admitted in the last window."""

    customer: str
    admitted: int
    """Calls since the start of the node's process, with those of the slots."""
    slots: tuple[Slot, ...]
    """The oldest first."""


@define(kw_only=True)
class AdmissionHistory:
    """Counts a customer's calls at this node by the time of their admission."""

    window_s: float = 0.0
    calls: int = 0
    """Calls of the slots."""
    _slots: deque[list[float]] = field(factory=deque)
    """Start and number of calls of each slot, the oldest first."""

    def add(self, now: float, *, window_s: float, calls: int = 1) -> None:
        """Count calls, and forget those from before the window."""
        self.window_s = window_s
        if not self._slots or now - self._slots[-1][0] >= SLOT_S:
            self._slots.append([now, 0])
            self._forget_old(now)
        self._slots[-1][1] += calls
        self.calls += calls

    def give_back(self) -> None:
        """Take back the latest call."""
        for slot in reversed(self._slots):
            if slot[1] > 0:
                slot[1] -= 1
                self.calls -= 1
                return

    def recent_calls(self, now: float) -> int:
        """Return how many calls were admitted in the window."""
        self._forget_old(now)
        return self.calls

    def _forget_old(self, now: float) -> None:
        while self._slots and self._slots[0][0] + SLOT_S <= now - self.window_s:
            self.calls -= int(self._slots.popleft()[1])

    def tell(self, customer: str, now: float, *, admitted: int) -> CustomerHistory:
        """Return the calls of the window, dated no earlier than they were admitted."""
        self._forget_old(now)
        slots = tuple(
            Slot(age_s=max(0.0, now - start - SLOT_S), calls=int(calls))
            for start, calls in self._slots
            if calls
        )
        return CustomerHistory(customer=customer, admitted=admitted, slots=slots)


class UsageReplica:
    """What another coordinator has counted, as kept by the node that would follow it.

    It knows also the calls of nodes that end together with that coordinator.
    """

    def __init__(self) -> None:
        self.coordinator = ""
        self.updated_at = -math.inf
        self.history_by_customer: dict[str, AdmissionHistory] = {}
        self._total_by_customer: dict[str, int] = {}

    def update(
        self, coordinator: str, totals: Iterable[Total], now: float, *, window_s: float
    ) -> None:
        """Take the totals of an answer; what is added counts as admitted now."""
        if coordinator != self.coordinator:
            self.coordinator = coordinator
            self.history_by_customer.clear()
            self._total_by_customer.clear()
        self.updated_at = now
        for total in totals:
            before = self._total_by_customer.get(total.customer)
            added = total.recent if before is None else total.calls - before
            self._total_by_customer[total.customer] = total.calls
            if added > 0:
                history = self.history_by_customer.setdefault(
                    total.customer, AdmissionHistory()
                )
                history.add(now, window_s=window_s, calls=added)

    def is_of(self, coordinator: str, now: float) -> bool:
        """Whether it still tells what a coordinator has counted."""
        return coordinator == self.coordinator and now - self.updated_at < MAX_AGE_S


class KnownUsage:
    """Tells of which nodes a coordinator knows all calls of the window before it.

    Nodes that have just left, or whose process is younger than the window, may have
    admitted calls of which nobody knows.
    """

    def __init__(self) -> None:
        self._told_ids: set[str] = set()
        self._member_ids: frozenset[str] = frozenset()
        self._departed_at_by_id: dict[str, float] = {}

    def follow(self, member_ids: frozenset[str], now: float) -> None:
        """Note the members, and when others have left."""
        if member_ids is self._member_ids:
            return
        for node_id in self._member_ids - member_ids:
            self._departed_at_by_id[node_id] = now
        for node_id in member_ids:
            self._departed_at_by_id.pop(node_id, None)
        self._member_ids = member_ids

    def expect(self, node_id: str, now: float) -> None:
        """Note a node that has had a part in the quotas until now."""
        if node_id not in self._member_ids:
            self._departed_at_by_id[node_id] = now

    def clear(self) -> None:
        """Forget what nodes have told, as the accounts begin anew."""
        self._told_ids.clear()

    def add(self, node_id: str) -> None:
        """Note that a node's process has told all calls of the window."""
        self._told_ids.add(node_id)

    def forget(self, node_id: str) -> None:
        """Note that a node's process is not the one that has told its calls."""
        self._told_ids.discard(node_id)

    def count_missing(self, now: float, *, window_s: float) -> int:
        """Return how many nodes that may have admitted calls have not told."""
        recent = {
            node_id
            for node_id, at in self._departed_at_by_id.items()
            if now - at < window_s
        }
        self._departed_at_by_id = {
            node_id: self._departed_at_by_id[node_id] for node_id in recent
        }
        return len((self._member_ids | recent) - self._told_ids)


class HistorySender:
    """Tells each coordinator once which calls of the last window a node admitted."""

    def __init__(self) -> None:
        self._known_to = ""
        """Name of the coordinator that knows them."""
        self._number = 0
        """Number of the newest report that told them."""

    def is_known_to(self, node_id: str) -> bool:
        """Whether the coordinator at a node has kept the accounts until now."""
        return bool(self._known_to) and self._known_to.rpartition("/")[0] == node_id

    def note_told(self, number: int) -> None:
        """Note the number of a report that tells them."""
        self._number = number

    def note_answer(self, coordinator: str, report: int) -> bool:
        """Note an answer and which report it is to; whether they are to be told now."""
        if coordinator == self._known_to:
            return False
        is_told = report >= self._number > 0
        self._known_to = coordinator if is_told else ""
        return not is_told
