"""Makes the handler of idempotency keys, where a node has a store for them."""

import random
from collections.abc import Callable
from typing import TYPE_CHECKING

from comfreytray.calls.call import Call, Outcome, Reply
from comfreytray.calls.connections import StreamClient
from comfreytray.common.interfaces import Clock, ObjectStore
from comfreytray.common.records import MembershipView, NodeRecord

if TYPE_CHECKING:
    from comfreytray.calls.keyed import KeyedCalls


def build_keyed_calls(
    *,
    node: Callable[[], NodeRecord],
    members: Callable[[], MembershipView],
    client: StreamClient,
    run: Callable[[Call], Reply | Outcome],
    store: ObjectStore | None,
    clock: Clock,
    random: random.Random,
) -> "KeyedCalls | None":
    """Return the handler of idempotency keys; a node without a store has none."""
    if store is None:
        return None
    # Imported late: it would cost memory in a node that handles no keys.
    from comfreytray.calls.keyed import KeyedCalls

    return KeyedCalls(
        node=node,
        members=members,
        client=client,
        run=run,
        store=store,
        clock=clock,
        random=random,
    )
