"""Writing the status of an order, fenced by the object's revision and a generation."""

from enum import Enum
from typing import Protocol

from comfreytray.common import logs
from comfreytray.common.budgets import Backoff
from comfreytray.common.errors import Failure, Kind
from comfreytray.common.interfaces import StoredObject
from comfreytray.rollouts import orders
from comfreytray.rollouts.orders import Order, State, Status

_UNKNOWN_REVISION = -1
"""The stored object must be read before the next write."""


class StatusStore(Protocol):
    """The calls of the store that a status needs; failures as those of ObjectStore."""

    def get(self, key: str) -> StoredObject | Failure:
        """Read one object."""
        ...

    def put_status(
        self, key: str, status: bytes, *, expected_version: int
    ) -> StoredObject | Failure:
        """Replace an object's status if its version is as expected."""
        ...


class Written(Enum):
    """What became of one store call."""

    STORED = "stored"
    """The store holds the status."""
    PENDING = "pending"
    """It may not hold it; try again."""
    FENCED = "fenced"
    """A later decider or order is in force, or the order has ended otherwise."""


class StatusWriter:
    """Writes the status of one order for one generation of its decider."""

    def __init__(
        self,
        *,
        store: StatusStore,
        order: Order,
        generation: int,
        node_id: str,
        backoff: Backoff,
    ) -> None:
        self.pause_s = 0.0
        """Seconds to wait before the next call."""
        self.seen: Order | None = None
        """The order as the last read has shown it."""
        self._store = store
        self._order = order
        self._generation = generation
        self._node_id = node_id
        self._backoff = backoff
        self._revision = order.revision

    def write(self, state: State) -> Written:
        """Make one store call towards a status of this state."""
        self.pause_s = 0.0
        if self._revision == _UNKNOWN_REVISION:
            return self._read(state)
        status = Status(
            state=state,
            target_version=self._order.target_version,
            order=self._order.order_id,
            generation=self._generation,
            decider=self._node_id,
            excluded=self._order.excluded,
        )
        stored = self._store.put_status(
            self._order.key,
            orders.encode_status(status),
            expected_version=self._revision,
        )
        if not isinstance(stored, Failure):
            self._revision = stored.version
            self._backoff.reset()
            return Written.STORED
        if stored.kind is not Kind.STORE_UNAVAILABLE:
            # It may have been applied, or the object has changed.
            self._revision = _UNKNOWN_REVISION
        if stored.kind is not Kind.CONFLICT:
            self._back_off(stored, state)
        return Written.PENDING

    def _read(self, state: State) -> Written:
        """Learn what the store holds, and whether a write is still due."""
        stored = self._store.get(self._order.key)
        if isinstance(stored, Failure):
            if stored.kind is Kind.NOT_FOUND:
                return Written.FENCED
            self._back_off(stored, state)
            return Written.PENDING
        self.seen = held = orders.decode(stored)
        if held is None or not self._is_same_order(held):
            return Written.FENCED
        status = held.status
        is_own = (
            status is not None
            and status.generation == self._generation
            and status.decider == self._node_id
        )
        if is_own and held.state is state:
            self._revision = stored.version
            return Written.STORED
        if held.state is not State.ACTIVE:
            return Written.FENCED
        if not is_own and held.generation >= self._generation:
            return Written.FENCED
        self._revision = stored.version
        return Written.PENDING

    def _is_same_order(self, held: Order) -> bool:
        own = self._order
        if held.target_version != own.target_version or held.service != own.service:
            return False
        return held.order_id == own.order_id

    def _back_off(self, failure: Failure, state: State) -> None:
        self.pause_s = self._backoff.next_s()
        logs.warn(
            logs.Event.ROLLOUT_NOT_STORED,
            service=self._order.service,
            state=state.value,
            kind=failure.kind.value,
            reason=failure.detail,
        )
