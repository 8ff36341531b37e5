"""Build the parts of a node that enforce the quotas of customers."""

import math
import random
from collections.abc import Callable, Mapping

from comfreytray.calls.peercalls import PeerCalls
from comfreytray.common.errors import Failure, Kind
from comfreytray.common.interfaces import Clock
from comfreytray.common.metrics import Metrics
from comfreytray.common.records import MembershipView
from comfreytray.configuration.accounts import Accounts
from comfreytray.configuration.snapshots import Snapshot
from comfreytray.customers.quotachoice import CoordinatorChoice
from comfreytray.customers.quotacoordinator import QuotaCoordinator
from comfreytray.customers.quotaexchange import (
    PUSH_TOPIC,
    REPORT_TOPIC,
    QuotaExchange,
)
from comfreytray.customers.quotagate import QuotaGate
from comfreytray.customers.quotaterms import TermsSource
from comfreytray.node.options import NodeOptions


def build_quotas(
    *,
    options: NodeOptions,
    session: int,
    snapshot: Callable[[], Snapshot | None],
    members: Callable[[], MembershipView],
    capacity_by_id: Mapping[str, int],
    peers: PeerCalls,
    clock: Clock,
    random: random.Random,
    metrics: Metrics,
    process_began_at: float = math.inf,
) -> QuotaExchange:
    """Build the gate, the coordinator and their messages; `session` names the process.

    Each node can be the coordinator; it does nothing while no other node asks it.
    """

    def accounts() -> Accounts | None:
        current = snapshot()
        return None if current is None else current.accounts

    def ask(
        node_id: str, topic: str, message: bytes, timeout_s: float
    ) -> bytes | Failure:
        record = members().by_id.get(node_id)
        if record is None:
            return Failure(kind=Kind.NODE_UNREACHABLE, detail=f"no member {node_id}")
        return peers.ask(record, topic, message, timeout_s=timeout_s)

    choice = CoordinatorChoice(
        clock=clock, members=members, capacity_by_id=capacity_by_id
    )
    terms = TermsSource(accounts=accounts, bounds=options.quotas)
    coordinator = QuotaCoordinator(
        clock=clock,
        name=f"{options.node_id}/{session}",
        terms=terms,
        member_ids=lambda: choice.member_ids,
        window_s=options.quotas.window_s,
        successor=choice.successor,
        is_first_start=options.is_first_start,
        process_began_at=process_began_at,
    )
    gate = QuotaGate(
        clock=clock,
        node_id=options.node_id,
        session=session,
        terms=terms,
        member_ids=lambda: choice.member_ids,
        metrics=metrics,
        random=random,
        process_began_at=process_began_at,
    )
    exchange = QuotaExchange(
        own_id=options.node_id,
        gate=gate,
        coordinator=coordinator,
        choice=choice,
        ask=ask,
        clock=clock,
    )
    peers.register(REPORT_TOPIC, exchange.receive_report)
    peers.register(PUSH_TOPIC, exchange.receive_push)
    return exchange
