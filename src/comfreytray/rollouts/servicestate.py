"""What a node knows of the roll-outs of one service, and where its calls may go."""

import random
from collections.abc import Callable, Collection

from comfreytray.calls.versions import Select
from comfreytray.common import logs, revisions
from comfreytray.common.interfaces import Clock
from comfreytray.common.records import MembershipView, NodeRecord
from comfreytray.rollouts import upstreams
from comfreytray.rollouts.bounds import RolloutBounds
from comfreytray.rollouts.evidence import Evidence, RouteTally
from comfreytray.rollouts.messages import MAX_ROUTES, NO_GRANT, Grant, Report
from comfreytray.rollouts.orders import MAX_EXCLUDED, Order, State

MS_PER_S = 1000
RETIRED_S = 15.0
"""Time for which the old upstreams are left out after a completion: they end at once,
and records of instances that end without a word lapse after 9 s."""
OTHER_ROUTES = ""
"""Stands for the routes beyond those that are told apart."""


class ServiceState:
    """The orders of one service as this node follows them."""

    def __init__(
        self,
        *,
        service: str,
        members: Callable[[], MembershipView],
        clock: Clock,
        random: random.Random,
        bounds: RolloutBounds,
    ) -> None:
        self.order: Order | None = None
        self.is_open = False
        """Whether the order is not decided, as far as is known."""
        self.is_rejected = False
        """Whether a decider has told that the version is rolled back."""
        self.outcome: State | None = None
        """How the order has ended, as far as is known."""
        self.rejected: tuple[str, ...] = ()
        """Versions that get no calls until they are ordered again."""
        self.decider = ""
        """Node that has last acted as the decider."""
        self._service = service
        self._members = members
        self._clock = clock
        self._random = random
        self._bounds = bounds
        self._select: Select | None = None
        """Rule for calls that don't go to the new version."""
        self._select_any: Select | None = None
        """Rule for repeated attempts once the version is approved."""
        self._retired_until = 0.0
        """When the old upstreams of a completed order need no longer be left out."""
        self._chosen_of: tuple[object, ...] = ()
        self._select_new: Select | None = None
        self._reset(0.0)

    def _reset(self, now: float) -> None:
        self._seen_at = now
        self._sequence = 0
        self._offered = self._sent = 0
        self._tally_by_kind: dict[str, RouteTally] = {}
        self._told_by_kind: dict[str, tuple[int, int]] = {}
        """Answers of each route up to the last report."""
        self._known_by_kind: dict[str, tuple[int, int]] = {}
        """The same up to the last report that the decider has answered."""
        self._known_generation = 0
        """Generation of that decider; another one is told all routes."""
        self._evidence = Evidence()
        self._is_stopped = False
        self._generation = 0
        self._ended_in_era = 0
        self._grant = NO_GRANT
        self._expires_at = 0.0
        self._asked_wall = self._granted_wall = 0.0
        """Wall times of the last report and of the one that was granted."""
        self._left = 0

    def follow(self, order: Order) -> None:
        """Follow an order as the store holds it; an outdated sight changes nothing."""
        held = self.order
        if held is not None and order.revision < held.revision:
            return
        if held is None or not _is_same(held, order):
            self._begin(order)
        self.order = order
        if order.status is not None and order.generation >= self._generation:
            self._generation = order.generation
            self.decider = order.status.decider
        self._add_rejected(*order.excluded)
        if order.state is not State.ACTIVE:
            self._end(order.state)
        elif self.is_open:
            self._exclude((*self.rejected, order.target_version))
            self._select_any = upstreams.except_versions(self.rejected)

    @property
    def is_lost(self) -> bool:
        """Whether a store that came back from an older copy lacks the known end."""
        order = self.order
        if order is None or self.outcome is None or order.state is not State.ACTIVE:
            return False
        return revisions.era_of(order.revision) > self._ended_in_era

    def withdraw(self) -> None:
        """Follow the order no longer; versions play no part again."""
        self.is_open = False
        self._exclude(self.rejected)

    def choose(self, kind: str, *, is_repeat: bool) -> tuple[Select | None, bool]:
        """Return the rule for an attempt, and whether it goes to the new version."""
        if not self.is_open:
            if self._retired_until and self._clock.monotonic() >= self._retired_until:
                self._exclude(self.rejected)
            return self._select, False
        if is_repeat:
            is_approved = self._grant.is_approved and self._is_granted()
            return self._select_any if is_approved else self._select, False
        self._offered += 1
        if not self._left or not self._is_granted():
            return self._select, False
        share = self._grant.share_by_kind.get(kind, self._grant.share)
        if self._random.random() >= share:
            return self._select, False
        select = self._new_rule()
        if select is None:
            return self._select, False
        self._left -= 1
        self._sent += 1
        return select, True

    def is_new(self, record: NodeRecord) -> bool:
        """Whether the instance beside a node is of the version under roll-out."""
        version = upstreams.version_of(record)
        return self.order is not None and version == self.order.target_version

    def count(self, kind: str, took_s: float, *, is_new: bool, failed: bool) -> None:
        """Add an answer to the evidence."""
        if kind not in self._tally_by_kind and len(self._tally_by_kind) >= MAX_ROUTES:
            kind = OTHER_ROUTES
        tally = self._tally_by_kind.setdefault(kind, RouteTally())
        (tally.new if is_new else tally.old).count(took_s, failed=failed)

    def tick(self) -> None:
        """Stop by itself if this node alone has seen enough."""
        if not self.is_open or self._is_stopped or not self._sent:
            return
        self._evidence.update(self._tally_by_kind)
        if self._evidence.is_bad:
            self._is_stopped = True
            self._grant, self._left = NO_GRANT, 0
            kind, score = self._evidence.worst
            self._log(logs.Event.ROLLOUT_STOPPED, route=kind, score=score)

    def report(self, node_id: str, incarnation: int) -> Report | None:
        """Return what the decider is told; None if no order is open."""
        if not self.is_open or self.order is None:
            return None
        self._sequence += 1
        self._asked_wall = self._clock.wall()
        self._told_by_kind = {k: t.answers for k, t in self._tally_by_kind.items()}
        return Report(
            service=self._service,
            order=self.order.order_id,
            node_id=node_id,
            incarnation=incarnation,
            sequence=self._sequence,
            age_ms=int((self._clock.monotonic() - self._seen_at) * MS_PER_S),
            offered=self._offered,
            sent=self._sent,
            is_rejected=self.is_rejected,
            tally_by_kind={
                kind: tally.copy()
                for kind, tally in self._tally_by_kind.items()
                if self._known_by_kind.get(kind) != tally.answers
            },
        )

    def take(self, grant: Grant, *, asked_at: float) -> bool:
        """Take a grant; False if it is for another order or of an outdated decider."""
        order = self.order
        if order is None or grant.state is None or grant.order != order.order_id:
            return False
        if grant.generation < self._generation or not grant.generation:
            return False
        self._generation = grant.generation
        is_known = grant.generation == self._known_generation
        self._known_by_kind = self._told_by_kind if is_known else {}
        self._known_generation = grant.generation
        if grant.state is State.COMPLETED:
            self._end(State.COMPLETED)
        elif grant.state is State.ROLLED_BACK:
            # Only the store ends the order: this decider may end before its write.
            self.is_rejected = True
            self._grant, self._left = NO_GRANT, 0
        elif not (self._is_stopped or self.is_rejected):
            self._grant, self._left = grant, grant.most
            self._expires_at = asked_at + self._bounds.grant_s
            self._granted_wall = self._asked_wall
        return True

    @property
    def is_granted(self) -> bool:
        """Whether calls may go to the new version now."""
        return self.is_open and self._left > 0 and self._is_granted()

    @property
    def generation(self) -> int:
        """Return the highest generation of a decider that is known."""
        return self._generation

    def _is_granted(self) -> bool:
        """Whether the grant holds by both clocks: the monotonic one may stand still."""
        if self._clock.monotonic() >= self._expires_at:
            return False
        waited_s = self._clock.wall() - self._granted_wall
        return 0.0 <= waited_s < self._bounds.grant_s

    def _new_rule(self) -> Select | None:
        """Return the rule for the new version's calls; None if it has no upstream."""
        order, grant = self.order, self._grant
        records = self._members().endpoints_by_service.get(self._service, ())
        chosen_of = (records, order, grant.instances, grant.turn)
        if order is not None and chosen_of != self._chosen_of:
            chosen = upstreams.choose(
                records,
                order.target_version,
                instances=grant.instances,
                turn=grant.turn,
            )
            rule = upstreams.only_nodes(chosen, order.target_version)
            self._select_new = rule if chosen else None
            self._chosen_of = chosen_of
        return self._select_new

    def _begin(self, order: Order) -> None:
        now = self._clock.monotonic()
        self._reset(now)
        self._chosen_of = ()
        self.is_rejected = False
        self.outcome = None
        self.decider = ""
        self.is_open = order.state is State.ACTIVE
        if order.state is not State.ROLLED_BACK:
            self.rejected = tuple(v for v in self.rejected if v != order.target_version)
        self.order = order
        logs.log(
            logs.Event.ROLLOUT_SEEN,
            service=self._service,
            target=order.target_version,
            state=order.state.value,
            order=revisions.text_of(order.order_id),
        )

    def _end(self, state: State) -> None:
        """Apply the end of the order; a repeated sight of it changes nothing."""
        order = self.order
        if order is None:
            return
        if state is State.ROLLED_BACK:
            self._add_rejected(order.target_version)
            self._exclude(self.rejected)
        elif self.is_open:
            records = self._members().endpoints_by_service.get(self._service, ())
            present = {upstreams.version_of(record) for record in records}
            is_served = order.target_version in present
            retired = present - {order.target_version} if is_served else set()
            self._exclude({*retired, *self.rejected})
            self._retired_until = self._clock.monotonic() + RETIRED_S
        elif not self._retired_until:
            self._exclude(self.rejected)
        if self.is_open:
            self._log(logs.Event.ROLLOUT_ENDED, state=state.value)
        self.outcome = state
        self._ended_in_era = revisions.era_of(order.revision)
        self.is_open = False
        self._left = 0

    def _exclude(self, versions: Collection[str]) -> None:
        """Keep calls from versions, except for those that a grant lets through."""
        self._select = upstreams.except_versions(versions) if versions else None
        self._retired_until = 0.0

    def _add_rejected(self, *versions: str) -> None:
        more = tuple(v for v in versions if v not in self.rejected)
        self.rejected = (*self.rejected, *more)[-MAX_EXCLUDED:]

    def _log(self, event: logs.Event, **fields: object) -> None:
        order = self.order
        logs.log(
            event,
            service=self._service,
            target=order.target_version if order else "",
            sent=self._sent,
            offered=self._offered,
            **fields,
        )


def _is_same(held: Order, order: Order) -> bool:
    """Whether two sights are of one order.

    A store that came back from an older copy may have lost the status, and with it the
    order's id; the order then goes on with what the nodes know of it.
    """
    if held.target_version != order.target_version:
        return False
    is_restored = revisions.era_of(order.revision) > revisions.era_of(held.revision)
    return held.order_id == order.order_id or is_restored
