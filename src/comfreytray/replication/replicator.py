"""Keeps a node's feeds current: from the store, from other nodes, or from both."""

from collections.abc import Callable, Mapping, Sequence
from functools import partial
from types import TracebackType
from typing import Any

import eventlet

from comfreytray.common import logs
from comfreytray.common.connectionlimits import Rank
from comfreytray.common.interfaces import Clock
from comfreytray.common.metrics import Metrics
from comfreytray.common.records import MembershipView, NodeRecord
from comfreytray.common.repeating import repeat
from comfreytray.common.signals import Signal
from comfreytray.common.tasks import TaskGroup
from comfreytray.replication import frames
from comfreytray.replication.ages import MS_PER_S, FeedAge, age_ms
from comfreytray.replication.feed import Feed
from comfreytray.replication.freshness import FreshnessLimits
from comfreytray.replication.links import FollowerLinks, Link
from comfreytray.replication.measures import MeasureExchange
from comfreytray.replication.packing import PackedAnswers
from comfreytray.replication.replica import Progress
from comfreytray.replication.sourcelinks import SourceLinks
from comfreytray.replication.sources import Plan, Sources

TICK_S = 0.25
ANNOUNCE_PERIOD_S = 0.5
"""Heartbeat of a source to its followers."""
BLIND_S = 2.0
"""Time after a failed call for which other nodes are preferred to the store."""
MEMBERS_TIMEOUT_S = 1.0
"""Time for which a starting node waits for the members before it reads other feeds."""
MEMBERS_POLL_S = 0.01
RESERVE_PERIOD_S = 2.0
"""Pause between calls of a node that only probes a store that is down."""
ERROR_PAUSE_S = 0.5
"""Pause after an unexpected error, so that it does not repeat without end."""


class Replicator:
    """Follows the store through few nodes; a context manager that owns its links.

    Feeds must be listed in the same order on all nodes, that of the members first: it
    tells which nodes the others may come from.
    """

    def __init__(
        self,
        *,
        node: Callable[[], NodeRecord],
        view: Callable[[], MembershipView],
        capacity_by_id: Mapping[str, int],
        feeds: Sequence[Feed],
        clock: Clock,
        metrics: Metrics,
        freshness: FreshnessLimits,
        dated: Feed,
        measures: MeasureExchange | None = None,
    ) -> None:
        """Create a replicator; `dated` is the feed whose age has a limit."""
        self.plan = Plan()
        self._measures = measures or MeasureExchange(clock=clock)
        self._node = node
        self._view = view
        self._capacity_by_id = capacity_by_id
        self._feeds = feeds
        self._clock = clock
        self._metrics = metrics
        self._sources = Sources()
        self._source_links = SourceLinks(
            own_id=node().node_id,
            clock=clock,
            sources=self._sources,
            on_frame=self._receive,
            on_lost=self._on_source_lost,
        )
        self._followers = FollowerLinks(
            clock=clock, on_frame=self._serve_follower, on_joined=self._greet
        )
        self._answers = PackedAnswers()
        self._blind_until = 0.0
        self._announced_at = 0.0
        self._announced: tuple[object, ...] | None = None
        self._wake_by_feed = [Signal() for _ in feeds]
        self._thread_by_feed: list[Any] = []
        self._age = FeedAge(
            feed=dated,
            limits=freshness,
            plan=lambda: self.plan,
            clock=clock,
            metrics=metrics,
        )
        self._tasks = TaskGroup()
        for feed in feeds:
            feed.on_change = self._announce

    def __enter__(self) -> "Replicator":
        self._thread_by_feed = [self._spawn(n) for n in range(len(self._feeds))]
        self._tasks.run_every(TICK_S, {"sources": self.review})
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._tasks.close()
        self._followers.__exit__(kind, error, trace)
        self._source_links.adjust(())

    @property
    def is_blind(self) -> bool:
        """Whether this node's own calls to the store fail, or failed lately."""
        failing = any(feed.subscription.is_failing for feed in self._feeds)
        return failing or self._clock.monotonic() < self._blind_until

    def rank_of(self, sock: Any) -> Rank:
        """Return whether a connection is that of a follower."""
        return self._followers.rank_of(sock)

    def serve(self, listener: Any) -> None:
        """Accept followers until the listener is closed."""
        self._followers.serve(listener)

    def review(self) -> None:
        """Choose the sources again, and open and close connections accordingly."""
        now = self._clock.monotonic()
        self._source_links.drop_silent()
        plan = self._sources.plan(
            own=self._node(),
            view=self._view(),
            capacity_by_id=self._capacity_by_id,
            now=now,
            is_blind=self.is_blind,
            has_followers=bool(self._followers.link_by_id),
        )
        self._set_plan(plan)
        self._source_links.adjust(plan.follows)
        self._announce()
        if self._age.check():
            self._ask_at_once(self._feeds.index(self._age.feed))
        if self._measures.is_due():
            self._tell_measures()

    def _spawn(self, number: int) -> Any:
        """Follow the store with a feed in a green thread of its own."""
        follow = partial(self._follow_store, number, self._feeds[number])
        return self._tasks.spawn(f"feed-{number}", follow)

    def _ask_at_once(self, number: int) -> None:
        """Call the store without waiting, in place of a watch under way."""
        subscription = self._feeds[number].subscription
        if subscription.is_waiting:
            subscription.ask_again()
            self._tasks.end(self._thread_by_feed[number])
            self._thread_by_feed[number] = self._spawn(number)
        else:
            self._wake_by_feed[number].fire()

    def _on_source_lost(self) -> None:
        for feed in self._feeds:
            feed.forget_pull()
        self.review()

    def _tell_measures(self) -> None:
        """Tell the first source of the own endpoint, or the followers of all."""
        own_id = self._node().node_id
        if self.plan.is_shared and self.plan.rank == 0:
            table = self._measures.group_table(own_id)
            if table and self._followers.link_by_id:
                self._followers.send(frames.pack_measures(table))
            return
        own = self._measures.own_table(own_id)
        if own and self.plan.follows:
            source_id = self.plan.follows[0].node_id
            self._source_links.send(source_id, frames.pack_measures(own))

    def _set_plan(self, plan: Plan) -> None:
        before, self.plan = self.plan, plan
        self._metrics.gauge("watches_store", int(plan.watches))
        self._metrics.gauge("followers", len(self._followers.link_by_id))
        if plan.watches and not before.watches:
            for feed, wake in zip(self._feeds, self._wake_by_feed, strict=True):
                feed.subscription.resume()
                wake.fire()
        if plan.summary != before.summary:
            logs.log(
                logs.Event.SOURCES_CHOSEN,
                watches=plan.watches,
                rank=plan.rank,
                follows=",".join(record.node_id for record in plan.follows),
                followers=len(self._followers.link_by_id),
                reserve=plan.is_reserve,
            )

    def _follow_store(self, number: int, feed: Feed) -> None:
        """Follow the store whenever the plan says so."""
        if number > 0:
            self._await_members()
        repeat("store-feed", lambda: self._follow_if_planned(number, feed))

    def _follow_if_planned(self, number: int, feed: Feed) -> float:
        if not self.plan.watches:
            is_woken = self._wake_by_feed[number].wait(TICK_S)
            if not (is_woken and self._is_overdue(feed)):
                return 0.0
        elif number > 0 and self._is_probed_by_first(feed):
            return TICK_S
        return self._step(number, feed)

    def _is_overdue(self, feed: Feed) -> bool:
        return feed is self._age.feed and self._age.check()

    def _step(self, number: int, feed: Feed) -> float:
        """Make one call to the store; return the seconds to wait after it."""
        was_known, was_current = feed.is_known, self._is_current
        was_failing = feed.subscription.is_failing
        try:
            pause_s = feed.subscription.step()
        except Exception as error:
            # The next change may be one that can be applied.
            logs.warn(logs.Event.INTERNAL_ERROR, feed=number, error=repr(error))
            return ERROR_PAUSE_S
        self._metrics.count("store_reads")
        if feed.subscription.is_failing:
            self._blind_until = self._clock.monotonic() + BLIND_S
            if self.plan.is_reserve or not self.plan.watches:
                pause_s = max(pause_s, RESERVE_PERIOD_S)
            if not was_failing:
                self._repeat_other_watches(number)
        elif not was_current and self._is_current:
            self._blind_until = 0.0
        if number == 0 and not was_known and feed.is_known:
            self.review()
        if was_current != self._is_current:
            self._announce()
        elif feed is self._age.feed and self.plan.is_shared:
            self._announce(renews=True)
        return pause_s

    def _repeat_other_watches(self, failed: int) -> None:
        """Repeat the watches of the other feeds: what lost one call may lose others."""
        for number, feed in enumerate(self._feeds):
            if number != failed and feed.subscription.is_waiting:
                self._ask_at_once(number)

    def _await_members(self) -> None:
        """Wait for the first list of members, from which sources can be chosen."""
        deadline = self._clock.monotonic() + MEMBERS_TIMEOUT_S
        while not self._feeds[0].is_known and self._clock.monotonic() < deadline:
            eventlet.sleep(MEMBERS_POLL_S)

    def _is_probed_by_first(self, feed: Feed) -> bool:
        """Whether the first feed finds out when the store answers again."""
        first = self._feeds[0].subscription
        return feed.subscription.is_failing and first.is_failing

    @property
    def _is_current(self) -> bool:
        return self.plan.watches and all(
            feed.subscription.is_current for feed in self._feeds
        )

    def _announce(self, *, renews: bool = False) -> None:
        """Tell followers what this node holds, if it changed or as a heartbeat.

        With `renews` they are told in any case, as its age has become less.
        """
        now = self._clock.monotonic()
        announce = frames.Announce(
            is_current=self._is_current,
            progress_by_feed=tuple(feed.replica.progress for feed in self._feeds),
            age_ms_by_feed=tuple(age_ms(feed, now) for feed in self._feeds),
        )
        held = (announce.is_current, announce.progress_by_feed)
        is_due = now - self._announced_at >= ANNOUNCE_PERIOD_S
        if held == self._announced and not is_due and not renews:
            return
        self._announced, self._announced_at = held, now
        if self._followers.link_by_id:
            self._followers.send(frames.pack_announce(announce))

    def _greet(self, link: Link) -> None:
        self._announced = None
        self._announce()
        self.review()

    def _serve_follower(self, link: Link, frame: frames.Frame) -> None:
        if isinstance(frame, frames.MeasureTable):
            self._measures.collect(link.peer, frame.measures_by_id)
            return
        if not isinstance(frame, frames.Pull) or frame.feed >= len(self._feeds):
            logs.warn(
                logs.Event.FRAME_REFUSED,
                peer=link.peer,
                reason=f"expected a pull, got {type(frame).__name__}",
            )
            link.close()
            return
        replica = self._feeds[frame.feed].replica
        link.send(self._answers.pack(frame, replica))

    def _receive(self, link: Link, frame: frames.Frame) -> None:
        if isinstance(frame, frames.Announce):
            self._compare(link, frame)
        elif isinstance(frame, frames.MeasureTable):
            self._measures.receive(frame.measures_by_id)
        elif isinstance(frame, frames.Objects) and frame.feed < len(self._feeds):
            self._take(link, frame)
        else:
            logs.warn(
                logs.Event.FRAME_REFUSED,
                peer=link.peer,
                reason=f"unexpected {type(frame).__name__} from a source",
            )
            link.close()

    def _take(self, link: Link, objects: frames.Objects) -> None:
        """Apply the objects of a source, or ask for them whole if they don't fit."""
        feed = self._feeds[objects.feed]
        failure = feed.receive(objects.changes, objects.complete_to)
        if failure is None:
            return
        logs.warn(
            logs.Event.FRAME_REFUSED,
            peer=link.peer,
            kind=failure.kind.value,
            reason=failure.detail,
        )
        link.send(frames.pack_pull(frames.Pull(feed=objects.feed, held=Progress())))

    def _compare(self, link: Link, announce: frames.Announce) -> None:
        """Pull from a source what it holds and this node lacks."""
        now = self._clock.monotonic()
        before = self._sources.state_of(link.peer, now)
        self._sources.reported(link.peer, is_current=announce.is_current)
        told = zip(announce.progress_by_feed, announce.age_ms_by_feed, strict=False)
        offers = zip(self._feeds, told, strict=False)
        for number, (feed, (offered, told_age_ms)) in enumerate(offers):
            if feed.wants(offered, now):
                pull = frames.Pull(feed=number, held=feed.replica.progress)
                link.send(frames.pack_pull(pull))
            if told_age_ms < frames.MAX_AGE_MS:
                feed.confirm(offered.complete_to, now - told_age_ms / MS_PER_S)
        if self._sources.state_of(link.peer, now) is not before:
            self.review()
