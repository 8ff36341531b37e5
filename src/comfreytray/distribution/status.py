"""Gather where a version stands: nodes report to a few collectors in their region.

No report goes through the store; a query asks one collector in each region.
"""

import random
from collections.abc import Callable

from attrs import define, field

from comfreytray.common.interfaces import Address, Clock, Network
from comfreytray.common.records import MembershipView, NodeRecord, NodeState
from comfreytray.configuration.content import Head
from comfreytray.distribution import relays
from comfreytray.distribution.distribution import Distributor
from comfreytray.distribution.statusreports import (
    Lag,
    Laggard,
    RegionStatus,
    Report,
    StatusAnswer,
    StatusQuestion,
    VersionStatus,
    lag_of,
)

REPORT_INTERVAL_S = 20.0
CHANGE_JITTER_S = 0.5
CHECK_INTERVAL_S = 0.5
COLLECTORS_INTERVAL_S = 5.0
REPORT_LIFETIME_S = 65.0
ANSWER_TIMEOUT_S = 1.0
MAX_LAGGARDS = 50
MAX_DETAIL_LENGTH = 200


Callback = Callable[[VersionStatus], None]


@define(kw_only=True)
class _Query:
    version: int
    on_answer: Callback
    region_by_name: dict[str, RegionStatus] = field(factory=dict)
    next_by_region: dict[str, list[NodeRecord]] = field(factory=dict)
    """Collectors that are still to be asked."""
    asked_by_region: dict[str, Address] = field(factory=dict)
    due_s: float = 0.0


class StatusBoard:
    """Report this node's version, collect others' reports and answer queries."""

    def __init__(
        self,
        *,
        node: Callable[[], NodeRecord],
        members: Callable[[], MembershipView],
        clock: Clock,
        random: random.Random,
        network: Network,
        distributor: Distributor,
    ) -> None:
        self._node = node
        self._members = members
        self._clock = clock
        self._random = random
        self._network = network
        self._distributor = distributor
        self._report_by_id: dict[str, tuple[Report, float]] = {}
        self._sequence = 0
        self._reported: object = None
        self._collectors: list[NodeRecord] = []
        now = clock.monotonic()
        self._report_at_s = now + random.uniform(0, CHANGE_JITTER_S)
        self._check_at_s = now
        self._choose_at_s = now
        self._query_by_id: dict[int, _Query] = {}
        self._next_query = random.randrange(2**31)

    def receive(self, sender: Address, message: object) -> None:
        """Handle a message of another node; others' messages are ignored."""
        if isinstance(message, Report):
            self._collect(message)
        elif isinstance(message, StatusQuestion):
            answer = StatusAnswer(
                query=message.query, region=self._region_status(message.version)
            )
            self._network.send_stream(sender, answer)
        elif isinstance(message, StatusAnswer):
            self._take_answer(sender, message)

    def query(self, version: int, on_answer: Callback) -> None:
        """Ask one collector of each region; the answer is whole within seconds."""
        self._next_query += 1
        query = _Query(version=version, on_answer=on_answer)
        self._query_by_id[self._next_query] = query
        view, node = self._members(), self._node()
        for region in sorted(relays.regions(view) | {node.region}):
            query.next_by_region[region] = relays.collectors(view, region)
        self._ask_next(self._next_query, query)

    def tick(self) -> None:
        """Report, ask again and forget as time passes."""
        now = self._clock.monotonic()
        if now >= self._check_at_s:
            self._check_at_s = now + CHECK_INTERVAL_S
            self._notice_change(now)
        if now >= self._report_at_s:
            self._report(now)
        for number, query in list(self._query_by_id.items()):
            if now >= query.due_s:
                self._ask_next(number, query)

    # Reporting

    def _notice_change(self, now: float) -> None:
        if now >= self._choose_at_s:
            # Ranking a whole region costs more than all else that is done here.
            self._choose_at_s = now + COLLECTORS_INTERVAL_S
            region = self._node().region
            self._collectors = relays.collectors(self._members(), region)
        chosen = tuple(node.node_id for node in self._collectors)
        state = (self._own_state(), chosen)
        if state == self._reported:
            return
        self._reported = state
        soon = now + self._random.uniform(0, CHANGE_JITTER_S)
        self._report_at_s = min(self._report_at_s, soon)

    def _own_state(self) -> tuple[Head | None, int, str, str, int, int]:
        distributor = self._distributor
        snapshot, wanted = distributor.snapshot, distributor.wanted
        refusal = distributor.refusal
        return (
            distributor.held,
            snapshot.head.version if snapshot is not None else 0,
            refusal.kind.value if refusal is not None else "",
            refusal.detail[:MAX_DETAIL_LENGTH] if refusal is not None else "",
            wanted.head.version if wanted is not None else 0,
            len(wanted.missing) if wanted is not None else 0,
        )

    def _report(self, now: float) -> None:
        self._report_at_s = now + REPORT_INTERVAL_S * self._random.uniform(0.8, 1.2)
        node = self._node()
        report = self._own_report()
        self._collect(report)
        for collector in self._collectors:
            if collector.node_id != node.node_id:
                self._network.send_datagram(collector.control_address, report)

    def _own_report(self) -> Report:
        self._sequence += 1
        held, in_force, refusal, detail, wanted, missing = self._own_state()
        node = self._node()
        return Report(
            node_id=node.node_id,
            incarnation=node.incarnation,
            sequence=self._sequence,
            held=held,
            in_force=in_force,
            refusal=refusal,
            refusal_detail=detail,
            wanted=wanted,
            missing=missing,
        )

    # Collecting

    def _collect(self, report: Report) -> None:
        """Keep a report unless a newer one of its node is held."""
        held = self._report_by_id.get(report.node_id)
        if held is not None:
            old = (held[0].incarnation, held[0].sequence)
            if (report.incarnation, report.sequence) <= old:
                return
        self._report_by_id[report.node_id] = (report, self._clock.monotonic())

    def _region_status(self, version: int) -> RegionStatus:
        """Compare the reports with the members of this node's region."""
        node, view = self._node(), self._members()
        self._collect(self._own_report())
        self._forget(view)
        expected = [
            member
            for member in view.by_id.values()
            if member.region == node.region
            and member.state in (NodeState.ALIVE, NodeState.SUSPECT)
        ]
        laggards = []
        newest = 0
        for member in sorted(expected, key=lambda member: member.node_id):
            report = self._fresh_report(member.node_id)
            if report is not None and report.held is not None:
                newest = max(newest, report.held.version)
            laggard = lag_of(member, report, version)
            if laggard is not None:
                laggards.append(laggard)
        return RegionStatus(
            region=node.region,
            known=True,
            total=len(expected),
            in_force=len(expected) - len(laggards),
            newest_held=newest,
            laggards=tuple(laggards[:MAX_LAGGARDS]),
        )

    def _fresh_report(self, node_id: str) -> Report | None:
        found = self._report_by_id.get(node_id)
        if found is None:
            return None
        report, at = found
        return report if self._clock.monotonic() - at < REPORT_LIFETIME_S else None

    def _forget(self, view: MembershipView) -> None:
        """Drop the reports of nodes that are members no more."""
        for node_id in [name for name in self._report_by_id if name not in view.by_id]:
            del self._report_by_id[node_id]

    # Queries

    def _ask_next(self, number: int, query: _Query) -> None:
        """Ask the next collector of each region that has not answered."""
        me = self._node()
        query.due_s = self._clock.monotonic() + ANSWER_TIMEOUT_S
        for region, collectors in query.next_by_region.items():
            if region in query.region_by_name:
                continue
            if not collectors:
                query.region_by_name[region] = self._unknown(region)
                continue
            collector = collectors.pop(0)
            if collector.node_id == me.node_id:
                query.region_by_name[region] = self._region_status(query.version)
                continue
            query.asked_by_region[region] = collector.control_address
            question = StatusQuestion(query=number, version=query.version)
            self._network.send_stream(collector.control_address, question)
        self._finish(number, query)

    def _unknown(self, region: str) -> RegionStatus:
        view = self._members()
        nodes = [node for node in view.by_id.values() if node.region == region]
        laggards = tuple(
            Laggard(node_id=node.node_id, lag=Lag.UNREACHABLE, in_force=0, detail="")
            for node in nodes
        )
        return RegionStatus(
            region=region,
            known=False,
            total=len(nodes),
            in_force=0,
            newest_held=0,
            laggards=laggards[:MAX_LAGGARDS],
        )

    def _take_answer(self, sender: Address, message: StatusAnswer) -> None:
        query = self._query_by_id.get(message.query)
        if query is None or message.region.region not in query.next_by_region:
            return
        if query.asked_by_region.get(message.region.region) != sender:
            return
        query.region_by_name[message.region.region] = message.region
        self._finish(message.query, query)

    def _finish(self, number: int, query: _Query) -> None:
        if len(query.region_by_name) < len(query.next_by_region):
            return
        self._query_by_id.pop(number, None)
        query.on_answer(
            VersionStatus(version=query.version, by_region=query.region_by_name)
        )
