"""The decisions on one order: what the nodes may send, and how the order ends."""

import math
from collections.abc import Callable, Mapping

from attrs import define

from comfreytray.common import logs
from comfreytray.common.charts import load_chart
from comfreytray.common.interfaces import Clock
from comfreytray.rollouts.bounds import RolloutBounds
from comfreytray.rollouts.evidence import Evidence, RouteTally
from comfreytray.rollouts.exposure import Exposure, Shares
from comfreytray.rollouts.messages import NO_GRANT, Grant, Report
from comfreytray.rollouts.orders import Order, State
from comfreytray.rollouts.upstreams import Upstreams

STEP_S = 0.5
"""Period of the decisions."""
ORDER_LAG_S = 0.5
"""Usual time from the order to its first sight, added to its age."""
APPROVE_FRACTION = 0.75
"""Part of the duration after which a version without a flaw may be completed. A version
may turn bad late, and the status may have to be written to a slow store."""
APPROVE_ANYWAY_FRACTION = 0.82
"""The same for one with few answers on some route."""
LAST_FRACTION = 0.87
"""Part of the duration after which an order without clear evidence is rolled back."""
MIN_ROUTE_ANSWERS = 12
"""Answers of the new version that are wanted of each route."""
MIN_ALONE_ANSWERS = 40
"""Answers after which a version is completed whose service has no other upstreams, and
without which no doubt is left open at the end."""
MIN_ROUTE_SHARE = 0.01
"""Share of the calls from which a route is waited for."""
MIN_UNREACHED_CALLS = 20
"""Calls after which a version without an answer counts as not reached."""
TURN_S = 2.0
"""Time for which the same instances of the new version get the calls."""
RATE_WEIGHT = 0.5
ANY_ROUTE = ""
"""Stands for all routes while no answer tells which there are."""

_CHART = load_chart("rollout")


@define(kw_only=True)
class _Reported:
    """The last report of one run of a node, and its rate of calls."""

    report: Report
    tally_by_kind: dict[str, RouteTally]
    """The newest sums of all its routes."""
    at: float
    rate_per_s: float = 0.0


class Decider:
    """Decides on one order under one generation, driven by reports and ticks."""

    def __init__(
        self,
        *,
        order: Order,
        generation: int,
        clock: Clock,
        bounds: RolloutBounds,
        upstreams: Callable[[], Upstreams],
        members: Callable[[], int],
    ) -> None:
        self.order = order
        self.generation = generation
        self.phase = _CHART.initial
        self.outcome: State | None = None
        """How the order has ended already, if the store has lost its status."""
        self.approved_at = -math.inf
        """Monotonic time at which this node has approved the version."""
        self._clock = clock
        self._bounds = bounds
        self._upstreams = upstreams
        self._members = members
        self._seen_at = clock.monotonic()
        self._evidence = Evidence()
        self._exposure = Exposure(bounds=bounds, began_at=self._seen_at)
        self._reported_by_run: dict[tuple[str, int], _Reported] = {}
        self._tally_by_kind: dict[str, RouteTally] = {}
        self._answers_by_kind: dict[str, int] = {}
        self._rate_by_kind: dict[str, float] = {}
        self._offered = 0
        self._offered_per_s = 0.0
        self._allowance = 0.0
        self._shares = Shares()
        self._ticked_at = -math.inf

    @property
    def age_s(self) -> float:
        """Return the time since the order, by the node that has seen it first."""
        return self._clock.monotonic() - self._seen_at + ORDER_LAG_S

    @property
    def shares(self) -> Shares:
        """Return the present shares of the new version."""
        return self._shares

    @property
    def wanted(self) -> State | None:
        """Return the state that the status should have but is not known to have."""
        return _WANTED_BY_PHASE.get(self.phase)

    def step(self, event: str) -> None:
        """Apply an event of the `rollout` chart."""
        self.phase = _CHART.step(self.phase, event)

    def note_stored(self) -> None:
        """Note that the store holds the status that was wanted."""
        if self.phase != "claiming":
            self.step("written")
            return
        self.step("claimed")
        if self.outcome is State.COMPLETED:
            self.step("approved")
        elif self.outcome is State.ROLLED_BACK:
            self.reject("the end of the order is known")

    def receive(self, report: Report) -> Grant:
        """Take the report of a node and return what the node may do."""
        if report.order != self.order.order_id:
            return NO_GRANT
        now = self._clock.monotonic()
        run = (report.node_id, report.incarnation)
        known = self._reported_by_run.get(run)
        if known is None or report.sequence > known.report.sequence:
            self._take(run, known, report, now)
        if report.is_rejected and self.phase in ("active", "completing"):
            self.reject("told by an earlier decider")
        return self._grant(self._reported_by_run[run])

    def tick(self) -> None:
        """Judge what was reported and plan the shares; call it often."""
        now = self._clock.monotonic()
        if now - self._ticked_at < STEP_S:
            return
        self._add_up(now - self._ticked_at)
        self._ticked_at = now
        if self.phase not in ("active", "completing"):
            self._shares = Shares()
            return
        self._evidence.update(self._tally_by_kind)
        kind, score = self._evidence.worst
        if self._evidence.is_bad:
            self.reject(f"bad answers on route {kind!r:.80}, score {score:.1f}")
            return
        is_suspicious = self._evidence.is_suspicious
        answers = self._new_answers
        if self._exposure.advance(
            now=now, answers=answers, is_suspicious=is_suspicious
        ):
            self._log(logs.Event.ROLLOUT_ADVANCED, share=self._exposure.level)
        self._shares = self._exposure.plan(
            allowance=self._allowance,
            rate_by_kind=self._offered_by_kind,
            is_suspicious=is_suspicious,
        )
        if self.phase == "active":
            self._decide()

    def reject(self, reason: str) -> None:
        """Begin to roll back; nodes are told at once."""
        self.step("rejected")
        self._shares = Shares()
        self._log(logs.Event.ROLLOUT_REJECTED, reason=reason)

    def _take(
        self,
        run: tuple[str, int],
        known: _Reported | None,
        report: Report,
        now: float,
    ) -> None:
        rate_per_s = 0.0
        if known is not None and now > known.at:
            more = report.offered - known.report.offered
            rate_per_s = max(0.0, more / (now - known.at))
        tally_by_kind = {} if known is None else known.tally_by_kind
        for kind, tally in report.tally_by_kind.items():
            total = self._tally_by_kind.setdefault(kind, RouteTally())
            if kind in tally_by_kind:
                total.add(tally_by_kind[kind], sign=-1)
            total.add(tally)
            tally_by_kind[kind] = tally
        self._reported_by_run[run] = _Reported(
            report=report, tally_by_kind=tally_by_kind, at=now, rate_per_s=rate_per_s
        )
        self._seen_at = min(self._seen_at, now - report.age_ms / 1000)

    def _grant(self, reported: _Reported) -> Grant:
        state = _STATE_BY_PHASE.get(self.phase)
        if state is None:
            return NO_GRANT
        if state is not State.ACTIVE or not self._shares.total:
            return Grant(
                order=self.order.order_id,
                generation=self.generation,
                state=state,
                is_approved=self.phase == "completing",
            )
        shares = self._shares
        highest = max((shares.share, *shares.share_by_kind.values()))
        # Twice the expected calls: a node's load may double between two grants.
        most = 2.0 * highest * reported.rate_per_s * self._bounds.grant_s
        present = self._upstreams()
        return Grant(
            order=self.order.order_id,
            generation=self.generation,
            state=state,
            share=shares.share,
            share_by_kind=shares.share_by_kind,
            most=min(1 + math.ceil(most), max(1, int(self._allowance))),
            instances=max(1, round(shares.total * (present.old or present.new))),
            turn=int(self.age_s / TURN_S),
            is_approved=self.phase == "completing",
        )

    def _add_up(self, since_s: float) -> None:
        """Learn the rate of calls by route, and what may still be sent."""
        for kind, tally in self._tally_by_kind.items():
            answers = tally.old.answers + tally.new.answers
            before = self._answers_by_kind.get(kind, 0)
            rate = max(0.0, (answers - before) / since_s)
            known = self._rate_by_kind.get(kind, rate)
            self._rate_by_kind[kind] = known + RATE_WEIGHT * (rate - known)
            self._answers_by_kind[kind] = answers

        nodes = {node_id for node_id, _ in self._reported_by_run}
        offered = sum(r.report.offered for r in self._reported_by_run.values())
        rate = max(0.0, (offered - self._offered) / since_s)
        known = self._offered_per_s or rate
        self._offered_per_s = known + RATE_WEIGHT * (rate - known)
        self._offered = offered
        self._allowance = self._exposure.allowance(
            offered=self._offered,
            sent=sum(r.report.sent for r in self._reported_by_run.values())
            + self._sent_unseen,
            known_fraction=len(nodes) / max(1, self._members()),
        )

    @property
    def _offered_by_kind(self) -> Mapping[str, float]:
        """Return the calls offered a second by route, in proportion to the answers.

        Where the old upstreams are gone, few of the calls get an answer.
        """
        answered = sum(self._rate_by_kind.values())
        if not answered:
            return {ANY_ROUTE: self._offered_per_s}
        factor = max(1.0, self._offered_per_s / answered)
        return {kind: rate * factor for kind, rate in self._rate_by_kind.items()}

    @property
    def _sent_unseen(self) -> int:
        """Estimate the calls that the version got before the nodes saw the order."""
        present = self._upstreams()
        if not present.new:
            return 0
        rate_per_s = self._offered / max(STEP_S, self.age_s - ORDER_LAG_S)
        share = present.new / (present.old + present.new)
        return math.ceil(rate_per_s * ORDER_LAG_S * share)

    @property
    def _new_answers(self) -> int:
        return sum(tally.new.answers for tally in self._tally_by_kind.values())

    def _decide(self) -> None:
        """End the order when it is time, or when only the new version is left."""
        part, present = self.age_s / self.order.duration_s, self._upstreams()
        reached = self._new_answers or self._offered < MIN_UNREACHED_CALLS
        is_last = part >= LAST_FRACTION
        evidence = self._evidence
        # One failure of one answer is no proof, but nothing speaks for the version.
        is_known = is_last and self._new_answers >= MIN_ALONE_ANSWERS
        doubtful = evidence.is_probably_bad if is_known else not evidence.is_clean
        sound = not doubtful and present.new and reached
        enough = all(map(self._has_enough, self._tally_by_kind.values()))
        if is_last and not sound:
            unclear = "the evidence is not clear" if reached else "no call reached it"
            self.reject(unclear if present.new else "no upstream of the version")
        elif sound and (
            part >= APPROVE_ANYWAY_FRACTION
            or (enough and part >= APPROVE_FRACTION)
            or (not present.old and self._new_answers >= MIN_ALONE_ANSWERS)
        ):
            self.step("approved")
            self.approved_at = self._clock.monotonic()
            self._log(logs.Event.ROLLOUT_APPROVED, answers=self._new_answers)

    def _has_enough(self, tally: RouteTally) -> bool:
        calls = sum(self._answers_by_kind.values())
        share = (tally.old.answers + tally.new.answers) / max(1, calls)
        return share < MIN_ROUTE_SHARE or tally.new.answers >= MIN_ROUTE_ANSWERS

    def _log(self, event: logs.Event, **fields: object) -> None:
        logs.log(
            event,
            service=self.order.service,
            target=self.order.target_version,
            generation=self.generation,
            age_s=self.age_s,
            **fields,
        )


_STATE_BY_PHASE: Mapping[str, State] = {
    "active": State.ACTIVE,
    "completing": State.ACTIVE,
    "rolling_back": State.ROLLED_BACK,
    "rolled_back": State.ROLLED_BACK,
    "completed": State.COMPLETED,
}
"""What nodes are told: a roll-back at once, a completion once it is in the store."""
_WANTED_BY_PHASE: Mapping[str, State] = {
    "claiming": State.ACTIVE,
    "completing": State.COMPLETED,
    "rolling_back": State.ROLLED_BACK,
}
