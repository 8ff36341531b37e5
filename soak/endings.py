"""Judge calls that end without a whole answer around planned work.

The bounds are those of the users' platform. Planned work is a SIGTERM of the node that
was called, until a second after the grace period; its SIGHUP, for calls sent soon after
it; and a new configuration. A call counts that was sent whole and ends without its
answer, if it has run at an instance or ended later than LOSS_SLACK_S after its last
byte; also one whose instance is at work as a stopping node answers in its place.
"""

import math
import time
from collections import Counter, defaultdict
from collections.abc import Iterator
from contextlib import contextmanager
from datetime import UTC, datetime
from enum import StrEnum

import eventlet
from attrs import define, field

GRACE_S = 6.0
"""Time that a node has to stop before it is killed."""
AFTER_GRACE_S = 1.0
STABLE_WINDOW_S = 4.0
"""Time after an unplanned disturbance in which no call counts."""
LOSS_SLACK_S = 0.2
CONFIG_DEADLINE_S = 2.5
CONFIG_WINDOW_S = CONFIG_DEADLINE_S + 1.0
EARLY_SEND_S = 3.0
"""Time after a SIGTERM until which a call may still be at work at the very end."""
END_BEGINS_S = GRACE_S * 5 / 6
CONFIG_FACTOR = 3.0
CONFIG_USED_SHARE = 0.7
MAX_KEPT_CUTS = 3
LAG_STEP_S = 0.02
MIN_LAG_S = 0.05


class Ending(StrEnum):
    """How a call ended for its caller."""

    WHOLE = "answered"
    OWN = "answered by the node"
    CUT = "cut in its answer"
    CLOSED = "closed without an answer"
    GIVEN_UP = "given up by the caller"


@define(kw_only=True, eq=False)
class Run:
    """A run of a call at an instance."""

    node: int
    """Node of the instance."""
    began_at: float
    ended_at: float = math.inf
    broke_off: bool = False


@define(kw_only=True, eq=False)
class SentCall:
    """A call as its caller and the instances saw it."""

    call_id: str
    node: int
    limit_s: float
    """Time limit of the caller or of the route, whichever is shorter."""
    is_kept: bool
    """Whether its connection had carried a call before."""
    is_behind: bool = False
    """Whether it was sent behind another that was not answered."""
    is_behind_close: bool = False
    """Whether the answer before it closed the connection."""
    is_safe: bool = True
    began_at: float = field(factory=time.monotonic)
    sent_at: float = math.inf
    """When its last byte was sent."""
    runs: list[Run] = field(factory=list)
    ending: Ending = Ending.CLOSED
    ended_at: float = math.inf

    def record_sent(self) -> None:
        """Record that the last byte of the call has been sent."""
        self.sent_at = time.monotonic()

    @property
    def is_broken(self) -> bool:
        """Whether its connection ended without a whole answer."""
        return self.ending in (Ending.CUT, Ending.CLOSED)

    @property
    def is_answered(self) -> bool:
        """Whether its caller got a whole answer, of the instance or of the node."""
        return self.ending in (Ending.WHOLE, Ending.OWN)

    def is_at_work(self, at_s: float) -> bool:
        """Whether an instance was at work on it."""
        return any(run.began_at <= at_s < run.ended_at for run in self.runs)


@define(kw_only=True, eq=False)
class Stop:
    """A stop of a node, from its SIGTERM until it was started again."""

    node: int
    at_s: float = field(factory=time.monotonic)
    gone_at: float = math.inf
    back_at: float = math.inf
    was_killed: bool = False

    def covers(self, at_s: float) -> bool:
        """Whether a call that ends then ends beside this stop."""
        return self.at_s <= at_s <= self.at_s + GRACE_S + AFTER_GRACE_S


@define(kw_only=True)
class EndingChecker:
    """Record calls, planned work and disturbances, and judge how calls ended."""

    violations: list[str]
    call_by_id: dict[str, SentCall] = field(factory=dict)
    stops: list[Stop] = field(factory=list)
    reloads_at_by_node: defaultdict[int, list[float]] = field(
        factory=lambda: defaultdict(list)
    )
    configured_at: list[float] = field(factory=list)
    count_by_class: Counter[str] = field(factory=Counter)
    at_the_exit: list[str] = field(factory=list)
    """Calls that ran and were cut by a planned exit, as the platform's rules allow."""
    lags: list[tuple[float, float]] = field(factory=list)
    """When this process, which sees the ends, was held up, and for how long."""
    _disturbed_by_node: defaultdict[int, list[tuple[float, float]]] = field(
        factory=lambda: defaultdict(list)
    )

    def begin(self, call: SentCall) -> SentCall:
        """Record that a caller begins to send a call."""
        self.call_by_id[call.call_id] = call
        return call

    def watch_lag(self) -> None:
        """Record when this process is held up, until it ends."""
        while True:
            due_at = time.monotonic() + LAG_STEP_S
            eventlet.sleep(LAG_STEP_S)
            lag_s = time.monotonic() - due_at
            if lag_s > MIN_LAG_S:
                self.lags.append((due_at, lag_s))

    def record_stop(self, node: int) -> Stop:
        """Record a SIGTERM; the caller says when the process is gone and back."""
        self.stops.append(Stop(node=node))
        return self.stops[-1]

    def record_reload(self, node: int) -> None:
        """Record a SIGHUP."""
        self.reloads_at_by_node[node].append(time.monotonic())

    @contextmanager
    def disturbing(self, node: int) -> Iterator[None]:
        """Count a node as disturbed, not as planned, until the context is left."""
        spans = self._disturbed_by_node[node]
        began_at = time.monotonic()
        spans.append((began_at, math.inf))
        position = len(spans) - 1
        try:
            yield
        finally:
            spans[position] = (began_at, time.monotonic())

    @contextmanager
    def running(self, call_id: str, node: int) -> Iterator[Run]:
        """Record a run of a call until the context is left."""
        run = Run(node=node, began_at=time.monotonic())
        if call_id in self.call_by_id:
            self.call_by_id[call_id].runs.append(run)
        try:
            yield run
        finally:
            run.ended_at = time.monotonic()

    def end(self, call: SentCall, ending: Ending) -> None:
        """Record how a call ended; with its node's process at the latest."""
        call.ending, call.ended_at = ending, time.monotonic()

    def check(self) -> None:
        """Judge all calls; to be called once, when all have ended."""
        beside_configurations: list[SentCall] = []
        others: list[SentCall] = []
        kept_cuts: list[SentCall] = []
        for call in self.call_by_id.values():
            self._date_back(call)
            self.count_by_class[str(call.ending)] += 1
            if not call.is_broken and not self._is_replaced(call):
                continue
            excuse = self._excuse(call)
            if excuse:
                self._count_excused(call, excuse)
                continue
            if self._is_kept_cut(call):
                kept_cuts.append(call)
            work = self._planned_work(call)
            if work:
                self.violations.append(f"LOST beside {work}: {self._tell(call)}")
            elif call.is_broken and self._is_beside_configuration(call):
                beside_configurations.append(call)
            else:
                others.append(call)
                self._count_excused(call, "no planned work")
        self._check_configurations(beside_configurations, others)
        if len(kept_cuts) > MAX_KEPT_CUTS:
            told = (f"LOST on kept connections: {self._tell(c)}" for c in kept_cuts)
            self.violations.extend(told)

    def _date_back(self, call: SentCall) -> None:
        """Date the end of a broken call back to that of its node's process.

        A caller that reads slowly sees it later.
        """
        gone_at = [
            stop.gone_at
            for stop in self.stops
            if stop.node == call.node and stop.gone_at > call.sent_at
        ]
        if call.is_broken:
            call.ended_at = min(call.ended_at, *gone_at, math.inf)

    def _is_replaced(self, call: SentCall) -> bool:
        """Whether a node answered in the place of an instance at work."""
        return call.ending is Ending.OWN and call.is_at_work(call.ended_at)

    def _excuse(self, call: SentCall) -> str:
        """Return why a call that got no answer doesn't count; empty if it may."""
        if call.sent_at == math.inf:
            return "not sent whole"
        if call.ended_at - call.began_at >= call.limit_s:
            return "time limit reached"
        if call.is_behind_close and not call.runs:
            return "behind a closing answer, not passed on"
        if call.is_behind and not call.runs:
            return "behind another, not passed on"
        if not call.runs and call.ended_at <= call.sent_at + LOSS_SLACK_S:
            connection = "kept" if call.is_kept else "new"
            return f"crossed the close of a {connection} connection"
        if any(run.broke_off for run in call.runs):
            return "instance broke off"
        if self._is_disturbed(call):
            return "unplanned disturbance"
        if any(
            self._is_at_work_at_the_end(call, stop) for stop in self._stops_of(call)
        ):
            return "at work at the end of the grace period"
        return ""

    def _is_disturbed(self, call: SentCall) -> bool:
        nodes = {call.node, *(run.node for run in call.runs)}
        return any(
            began_at <= call.ended_at and ended_at >= call.began_at - STABLE_WINDOW_S
            for node in nodes
            for began_at, ended_at in self._disturbed_by_node[node]
        )

    def _stops_of(self, call: SentCall) -> list[Stop]:
        """Return the stops of its node that a call ended beside.

        Those of its instance's node count if there are none and the node answered.
        """
        stops = self._stops_at(call, {call.node})
        if stops or call.ending is not Ending.OWN:
            return stops
        return self._stops_at(call, {run.node for run in call.runs})

    def _stops_at(self, call: SentCall, nodes: set[int]) -> list[Stop]:
        return [
            stop
            for stop in self.stops
            if stop.node in nodes and stop.covers(call.ended_at)
        ]

    @staticmethod
    def _is_at_work_at_the_end(call: SentCall, stop: Stop) -> bool:
        end_begins_at = stop.at_s + END_BEGINS_S
        return (
            call.sent_at <= stop.at_s + EARLY_SEND_S
            and call.ended_at >= end_begins_at
            and any(run.ended_at > end_begins_at for run in call.runs)
        )

    def _planned_work(self, call: SentCall) -> str:
        """Return the stop or reload beside which a call ended; empty if none."""
        stops = self._stops_of(call)
        if stops:
            return f"the stop of node {stops[0].node}"
        is_reloaded = any(
            call.sent_at <= at_s + CONFIG_DEADLINE_S and call.ended_at >= at_s
            for at_s in self.reloads_at_by_node[call.node]
        )
        return "a reload" if call.is_broken and is_reloaded else ""

    def _is_beside_configuration(self, call: SentCall) -> bool:
        return any(
            at_s <= call.ended_at <= at_s + CONFIG_WINDOW_S
            for at_s in self.configured_at
        )

    def _is_kept_cut(self, call: SentCall) -> bool:
        """Whether a call ran, its kept connection was cut and its node was in touch."""
        is_away = any(
            stop.at_s <= call.ended_at <= stop.back_at + STABLE_WINDOW_S
            for stop in self.stops
            if stop.node == call.node
        )
        return call.is_broken and call.is_kept and bool(call.runs) and not is_away

    def _check_configurations(
        self, cut: list[SentCall], others: list[SentCall]
    ) -> None:
        """Judge calls cut beside configurations by the share cut at other times."""
        sent: Counter[tuple[int, bool]] = Counter(
            (call.node, self._is_beside_configuration(call))
            for call in self.call_by_id.values()
        )
        cut_by_node = Counter(call.node for call in cut)
        others_by_node = Counter(call.node for call in others if call.is_broken)
        for call in cut:
            node = call.node
            share = cut_by_node[node] / max(1, sent[node, True])
            other_share = others_by_node[node] / max(1, sent[node, False])
            used_s = call.ended_at - call.began_at
            if used_s >= CONFIG_USED_SHARE * call.limit_s:
                self._count_excused(call, "most of its time used")
            elif share <= CONFIG_FACTOR * other_share:
                self._count_excused(call, "cut as often at other times")
            else:
                self.violations.append(
                    f"LOST beside a configuration: {self._tell(call)}"
                )

    def _count_excused(self, call: SentCall, excuse: str) -> None:
        self.count_by_class[f"{call.ending}: {excuse}"] += 1
        owners = {run.node for run in call.runs}
        beside_stops = self._stops_at(call, {call.node, *owners})
        if owners and beside_stops and not call.is_behind_close:
            self.at_the_exit.append(f"{excuse}: {self._tell(call)}")

    def _tell(self, call: SentCall) -> str:
        """Describe a call; times count from the last SIGTERM of its node, if any."""
        nodes = {call.node, *(run.node for run in call.runs)}
        stops = [stop for stop in self.stops if stop.node in nodes]
        begun = [stop for stop in stops if stop.at_s <= call.ended_at]
        zero = begun[-1].at_s if begun else call.began_at
        runs = ", ".join(
            f"node {run.node} {run.began_at - zero:.2f} to {run.ended_at - zero:.2f}"
            for run in call.runs
        )
        lag_s = max(
            lag_s
            for at_s, lag_s in [*self.lags, (call.ended_at, 0.0)]
            if call.began_at - lag_s <= at_s <= call.ended_at
        )
        at_s = time.time() - time.monotonic() + zero
        clock = datetime.fromtimestamp(at_s, UTC).isoformat(timespec="milliseconds")
        told = "; ".join(
            f"node {stop.node} SIGTERM {stop.at_s - zero:.2f}, gone "
            f"{stop.gone_at - zero:.2f}{' killed' if stop.was_killed else ''}"
            for stop in begun[-3:]
        )
        return (
            f"{call.call_id} at node {call.node} {call.ending}; zero {clock}; "
            f"began {call.began_at - zero:.2f}, whole {call.sent_at - zero:.2f}, "
            f"ended {call.ended_at - zero:.2f}, limit {call.limit_s:g}; "
            f"{'kept' if call.is_kept else 'new'} connection"
            f"{', behind another' if call.is_behind else ''}; "
            f"ran: {runs or 'no'}; {told}; own lag {lag_s:.2f}"
        )
