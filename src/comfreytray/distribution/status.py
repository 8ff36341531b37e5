"""Collect the status of versions: nodes report to a few collectors in their region.

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
"""Mean time between reports while nothing changes."""
CHANGE_JITTER_S = 0.5
"""Longest random delay of a report after a change was noticed."""
CHECK_INTERVAL_S = 0.5
"""Time between checks for a change to report."""
COLLECTORS_INTERVAL_S = 5.0
"""Time between choices of the collectors."""
REPORT_LIFETIME_S = 65.0
"""Older reports are ignored: their nodes count as unreachable."""
ANSWER_TIMEOUT_S = 1.0
"""How long one collector has to answer before the next one is asked."""
MAX_LAGGARDS = 50
"""How many lagging nodes a region's status names."""
MAX_DETAIL_LENGTH = 200
"""Characters of a refusal's detail that are reported."""

StatusCallback = Callable[[VersionStatus], None]


@define(kw_only=True)
class _Query:
    version: int
    on_answer: StatusCallback
    status_by_region: dict[str, RegionStatus] = field(factory=dict)
    collectors_by_region: dict[str, list[NodeRecord]] = field(factory=dict)
    """Collectors of each region that have not been asked yet."""
    asked_by_region: dict[str, Address] = field(factory=dict)
    due_s: float = 0.0
    """When the next collectors are asked."""


class StatusBoard:
    """Report this node's version, collect reports of other nodes and answer queries."""

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
        """Newest report of each node, with the time at which it came."""
        self._sequence = 0
        self._reported_state: object = None
        self._collectors: list[NodeRecord] = []
        now = clock.monotonic()
        self._report_at_s = now + random.uniform(0, CHANGE_JITTER_S)
        self._check_at_s = now
        self._choose_collectors_at_s = now
        self._query_by_id: dict[int, _Query] = {}
        self._last_query_id = random.randrange(2**31)

    def receive(self, sender: Address, message: object) -> None:
        """Handle a message from another node; ignore types of other components."""
        if isinstance(message, Report):
            self._store_report(message)
        elif isinstance(message, StatusQuestion):
            answer = StatusAnswer(
                query=message.query, region=self._region_status(message.version)
            )
            self._network.send_stream(sender, answer)
        elif isinstance(message, StatusAnswer):
            self._handle_answer(sender, message)

    def query(self, version: int, on_answer: StatusCallback) -> None:
        """Ask one collector of each region; call back with the status of all regions.

        A region whose collectors do not answer in time is reported as unknown.
        """
        self._last_query_id += 1
        query = _Query(version=version, on_answer=on_answer)
        self._query_by_id[self._last_query_id] = query
        view, node = self._members(), self._node()
        for region in sorted(relays.regions(view) | {node.region}):
            query.collectors_by_region[region] = relays.collectors(view, region)
        self._ask_next(self._last_query_id, query)

    def tick(self) -> None:
        """Send the reports that are due; ask other collectors for overdue answers."""
        now = self._clock.monotonic()
        if now >= self._check_at_s:
            self._check_at_s = now + CHECK_INTERVAL_S
            self._check_for_change(now)
        if now >= self._report_at_s:
            self._send_report(now)
        for query_id, query in list(self._query_by_id.items()):
            if now >= query.due_s:
                self._ask_next(query_id, query)

    # Reporting

    def _check_for_change(self, now: float) -> None:
        if now >= self._choose_collectors_at_s:
            # Not at each check: ranking a whole region costs more than all else here.
            self._choose_collectors_at_s = now + COLLECTORS_INTERVAL_S
            region = self._node().region
            self._collectors = relays.collectors(self._members(), region)
        collector_ids = tuple(node.node_id for node in self._collectors)
        state = (self._own_state(), collector_ids)
        if state == self._reported_state:
            return
        self._reported_state = state
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

    def _send_report(self, now: float) -> None:
        self._report_at_s = now + REPORT_INTERVAL_S * self._random.uniform(0.8, 1.2)
        node = self._node()
        report = self._own_report()
        self._store_report(report)
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

    # Collection of reports

    def _store_report(self, report: Report) -> None:
        """Store a report unless a newer one of its node is held."""
        held = self._report_by_id.get(report.node_id)
        if held is not None:
            old = (held[0].incarnation, held[0].sequence)
            if (report.incarnation, report.sequence) <= old:
                return
        self._report_by_id[report.node_id] = (report, self._clock.monotonic())

    def _region_status(self, version: int) -> RegionStatus:
        """Evaluate the reports of all members of this node's region."""
        node, view = self._node(), self._members()
        self._store_report(self._own_report())
        self._drop_departed(view)
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
        report, came_at = found
        return report if self._clock.monotonic() - came_at < REPORT_LIFETIME_S else None

    def _drop_departed(self, view: MembershipView) -> None:
        """Drop the reports of nodes that are no longer members."""
        for node_id in [name for name in self._report_by_id if name not in view.by_id]:
            del self._report_by_id[node_id]

    # Queries

    def _ask_next(self, query_id: int, query: _Query) -> None:
        """Ask the next collector of each region that has not answered."""
        own_node = self._node()
        query.due_s = self._clock.monotonic() + ANSWER_TIMEOUT_S
        for region, collectors in query.collectors_by_region.items():
            if region in query.status_by_region:
                continue
            if not collectors:
                query.status_by_region[region] = self._unreachable_status(region)
                continue
            collector = collectors.pop(0)
            if collector.node_id == own_node.node_id:
                query.status_by_region[region] = self._region_status(query.version)
                continue
            query.asked_by_region[region] = collector.control_address
            question = StatusQuestion(query=query_id, version=query.version)
            self._network.send_stream(collector.control_address, question)
        self._finish_if_complete(query_id, query)

    def _unreachable_status(self, region: str) -> RegionStatus:
        """Return the status of a region none of whose collectors has answered."""
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

    def _handle_answer(self, sender: Address, message: StatusAnswer) -> None:
        query = self._query_by_id.get(message.query)
        if query is None or message.region.region not in query.collectors_by_region:
            return
        if query.asked_by_region.get(message.region.region) != sender:
            return
        query.status_by_region[message.region.region] = message.region
        self._finish_if_complete(message.query, query)

    def _finish_if_complete(self, query_id: int, query: _Query) -> None:
        if len(query.status_by_region) < len(query.collectors_by_region):
            return
        self._query_by_id.pop(query_id, None)
        query.on_answer(
            VersionStatus(version=query.version, by_region=query.status_by_region)
        )
