"""A node that reads its configuration and the members from the platform's store."""

import math
import random
from collections.abc import Iterable, Mapping
from contextlib import ExitStack
from types import TracebackType
from typing import Any

import eventlet

from comfreytray.calls.cutcalls import END_MARGIN_S, cut_calls
from comfreytray.calls.dialect import Dialect
from comfreytray.calls.proxy import CallPath
from comfreytray.calls.retries import RetryLimits
from comfreytray.calls.stopping import StopSchedule
from comfreytray.common.clock import SystemClock
from comfreytray.common.interfaces import Address, ObjectStore, StoredObject
from comfreytray.common.logs import Event, log
from comfreytray.common.metrics import Metrics
from comfreytray.common.records import (
    Departure,
    Endpoint,
    NodeRecord,
    NodeState,
)
from comfreytray.common.stalls import StallMonitor
from comfreytray.common.tasks import TaskGroup
from comfreytray.configuration.snapshots import Snapshot
from comfreytray.membership.departurewitness import DepartureWitness
from comfreytray.membership.directory import Directory
from comfreytray.membership.heartbeats import InstanceRegister
from comfreytray.membership.ownrecord import OwnRecord
from comfreytray.node.activation import ActiveConfiguration, DecodeConfiguration
from comfreytray.node.interfaceserver import Application, serve_interface
from comfreytray.node.noderecord import RecordSource
from comfreytray.node.options import NodeOptions
from comfreytray.node.ports import Port, Ports
from comfreytray.node.quotas import build_quotas
from comfreytray.node.recordsync import RecordSync, listed_record, poll_until
from comfreytray.node.retrylimits import NodeRetryLimits
from comfreytray.node.rolloutparts import build_rollouts
from comfreytray.node.storefeeds import StoreFeeds
from comfreytray.replication.measures import MeasureExchange
from comfreytray.replication.replica import ContentOrder, no_order
from comfreytray.replication.replicator import Replicator
from comfreytray.rollouts.statuswriter import StatusStore

FIRST_CONFIGURATION_TIMEOUT_S = 0.6
"""Time in which the first configuration should be known; then callers are refused."""
TICK_S = 0.25
READINESS_PROPAGATION_S = 2.4
"""Time in which callers learn that a node is no longer ready: two readiness checks."""
LEAVE_PROPAGATION_S = 0.9
"""Time in which most other nodes learn that this node leaves."""


class ProxyNode:
    """Proxy calls by what the store holds; a context manager that owns all it opens."""

    def __init__(
        self,
        *,
        options: NodeOptions,
        store: ObjectStore,
        status_store: StatusStore | None = None,
        configuration_key: str,
        decode_configuration: DecodeConfiguration,
        configuration_order: ContentOrder = no_order,
        dialect: Dialect,
        listeners: Mapping[Address, Any] | None = None,
        process_began_at: float = math.inf,
    ) -> None:
        """Create a node; `listeners` are sockets that listen already.

        `process_began_at` is the monotonic time at which the process began.
        Roll-outs need `status_store`, and bounds in the options.
        """
        self.options = options
        self.store = store
        self.clock = SystemClock()
        self.random = random.Random()
        self.metrics = Metrics()
        self._ports = Ports(
            early=listeners or {},
            memory_bytes=options.memory_bytes,
            max_fds=options.max_fds,
            metrics=self.metrics,
        )
        self._active = ActiveConfiguration(
            decode=decode_configuration, metrics=self.metrics
        )
        self.directory = Directory(
            clock=self.clock,
            on_earlier_self=self._learn_departures,
            on_replaced=lambda before, after: self.witness.compare(before, after),
        )
        self.incarnation = int(self.clock.wall() * 1000)
        self.register = InstanceRegister(
            clock=self.clock,
            heartbeat_s=options.heartbeat_s,
            on_change=self._on_endpoint_change,
            hidden=True,
        )
        self.record_source = RecordSource(
            options=options, register=self.register, incarnation=self.incarnation
        )
        feeds = StoreFeeds(store=store, clock=self.clock, random=self.random)
        self.configuration = feeds.configuration(
            configuration_key,
            on_objects=self._active.apply,
            order=configuration_order,
        )
        self.members = feeds.members(
            self.directory,
            plan=lambda: self.replicator.plan,
            on_objects=self._apply_members,
        )
        self.record_sync = RecordSync(
            record=self.record,
            own_record=OwnRecord(
                store=store,
                backoff=feeds.backoff(),
                listed=lambda: listed_record(self.members, self.directory),
                capacity=options.capacity,
                on_earlier_self=self._learn_departures,
            ),
            members=self.members,
            register=self.register,
            clock=self.clock,
            keep=lambda departure: self.witness.keep(departure),
        )
        self._retry_limits = NodeRetryLimits(
            budget=options.retries, nodes=lambda: len(self.directory.view.by_id)
        )
        self._stop = eventlet.event.Event()
        self._stack = ExitStack()
        self.calls = CallPath(
            node=self.record,
            members=lambda: self.directory.view,
            snapshot=lambda: self.snapshot,
            local_upstream=lambda: self._active.limit(self.register.upstream),
            clock=self.clock,
            random=self.random,
            store=None,
            metrics=self.metrics,
            caller=lambda: options.service,
            dialect=dialect,
            retry_limits=self._retry_limits.of_all,
            refused_limits=self._refused_limits,
            is_cold=self.directory.is_cold,
            on_leaving=self.register.drain,
            is_current=self._is_configuration_current,
            link_bytes_per_s=options.link_bytes_per_s,
            memory_bytes=options.memory_bytes,
        )
        self.quotas = build_quotas(
            options=options,
            session=self.incarnation,
            snapshot=lambda: self.snapshot,
            members=lambda: self.directory.view,
            capacity_by_id=self.directory.capacity_by_id,
            peers=self.calls.peers,
            clock=self.clock,
            random=self.random,
            metrics=self.metrics,
            process_began_at=process_began_at,
        )
        self.calls.quota = self.quotas
        self.holds = feeds.holds(self.calls.guard)
        self.witness = DepartureWitness(
            own_id=options.node_id,
            members=lambda: self.directory.view,
            peers=self.calls.peers,
            learn=self._learn_witnessed,
            clock=self.clock,
        )
        self.rollouts = build_rollouts(
            bounds=options.rollouts,
            store=status_store,
            calls=self.calls,
            node=self.record,
            members=lambda: self.directory.view,
            clock=self.clock,
            random=self.random,
            metrics=self.metrics,
            is_cold=self.directory.is_cold,
        )
        rollout_feeds = [feeds.rollouts(part.apply) for part in self.rollouts]
        self.replicator = Replicator(
            node=self.record,
            view=lambda: self.directory.view,
            capacity_by_id=self.directory.capacity_by_id,
            feeds=(self.members, self.configuration, *rollout_feeds),
            clock=self.clock,
            metrics=self.metrics,
            freshness=options.freshness,
            dated=self.configuration,
            measures=MeasureExchange(
                clock=self.clock,
                own=self.calls.owner.measures.report,
                learn=self.calls.router.shared.learn,
            ),
        )
        self.directory.put(self.record())
        self.directory.capacity_by_id[options.node_id] = options.capacity

    def __enter__(self) -> "ProxyNode":
        with ExitStack() as stack:
            stack.enter_context(self.calls)
            self._tasks = stack.enter_context(TaskGroup())
            self._open()
            stack.enter_context(self.replicator)
            for part in self.rollouts:
                stack.enter_context(part)
            self._stack = stack.pop_all()
        log(
            Event.NODE_STARTED,
            node=self.options.node_id,
            service=self.options.service,
            incarnation=self.incarnation,
        )
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._stack.close()
        log(Event.NODE_STOPPED, node=self.options.node_id)

    @property
    def snapshot(self) -> Snapshot | None:
        """Return the configuration in force."""
        return self._active.snapshot

    @property
    def is_ready(self) -> bool:
        """Whether the node can serve new callers."""
        known = self.snapshot is not None and self.members.is_known
        return known and not self._stop.ready()

    def record(self) -> NodeRecord:
        """Return the current record of this node, as the other nodes see it."""
        return self.record_source.current()

    def serve(self, address: Address, application: Application) -> None:
        """Serve a WSGI application, such as the metrics, on an address of its own."""
        listener = self._ports.listen(address, Port.INTERFACE)
        self._tasks.spawn(
            f"http-{address[1]}", lambda: serve_interface(listener, application)
        )

    def ask_to_stop(self, asked_at: float = math.inf) -> None:
        """Begin the graceful shutdown; the grace period began at `asked_at`, or now."""
        if not self._stop.ready():
            self._stop.send(min(asked_at, self.clock.monotonic()))

    def run(self) -> None:
        """Serve until asked to stop, then leave and finish the calls in flight.

        Nodes are restarted one after the other under load, and the instance beside a
        node can't be reached from the node's leaving to its return. The node therefore
        leaves only when callers no longer come, which halves that time.
        """
        began_at = self._stop.wait()
        deadline = began_at + self.options.grace_s - END_MARGIN_S
        log(
            Event.NODE_STOPPING, node=self.options.node_id, grace_s=self.options.grace_s
        )
        self.calls.ask_to_close(StopSchedule(began_at=began_at, ends_at=deadline))
        eventlet.sleep(READINESS_PROPAGATION_S - LEAVE_PROPAGATION_S)
        self.record_source.state = NodeState.LEAVING
        self._on_endpoint_change(None)
        eventlet.sleep(LEAVE_PROPAGATION_S)
        self.calls.leave()
        finished = self.calls.stop_http(self._remaining_s(deadline))
        finished = self.calls.drain(self._remaining_s(deadline)) and finished
        if not finished:
            cut_calls(self.calls)

    def _remaining_s(self, deadline: float) -> float:
        return max(0.0, deadline - self.clock.monotonic())

    def _open(self) -> None:
        listen, options, calls = self._ports.listen, self.options, self.calls
        http_listener = listen(options.http_address, Port.CALLERS, calls.reaper.rank_of)
        streams_listener = listen(
            (options.host, options.call_port), Port.NODES, calls.server.rank_of
        )
        followers_listener = listen(
            (options.host, options.replication_port),
            Port.REPLICATION,
            self.replicator.rank_of,
        )
        self._tasks.spawn("entry", lambda: self._serve_callers(http_listener))
        self._tasks.spawn("streams", lambda: self.calls.serve_streams(streams_listener))
        self._tasks.spawn(
            "replication", lambda: self.replicator.serve(followers_listener)
        )
        self._tasks.spawn("own-record", self.record_sync.run)
        self._tasks.spawn("holds", self.holds.run)
        self._tasks.spawn("quotas", self.quotas.run)
        self._tasks.spawn("departures", self.witness.run)
        stalls = StallMonitor(period_s=TICK_S, clock=self.clock, metrics=self.metrics)
        self._tasks.run_every(
            TICK_S, {"stalls": stalls.check, "register": self.register.tick}
        )

    def _serve_callers(self, listener: Any) -> None:
        """Accept callers; those that come before the configuration wait a moment."""
        poll_until(
            lambda: self.snapshot is not None,
            FIRST_CONFIGURATION_TIMEOUT_S,
            self.clock,
        )
        self.calls.serve_http(listener)

    def _is_configuration_current(self) -> bool:
        """Whether no change can be missing that should be in force by now."""
        age_s = self.clock.monotonic() - self.configuration.verified_at
        return age_s <= self.options.freshness.propagation_s

    def _refused_limits(self) -> RetryLimits | None:
        """Return the budget of refused calls; None if they have none of their own."""
        has_accounts = self.snapshot is not None and self.snapshot.accounts is not None
        if not has_accounts and not self.calls.owner.reports_pace:
            return None
        return self._retry_limits.of_refused()

    def _apply_members(self, objects: Iterable[StoredObject]) -> None:
        self.directory.apply(self.holds.take(objects))

    def _on_endpoint_change(self, endpoint: Endpoint | None) -> None:
        del endpoint
        self.directory.put(self.record())
        self.record_sync.check()

    def _learn_departures(self, stored: NodeRecord) -> None:
        for departure in reversed(stored.departures):
            self.register.restore(departure)

    def _learn_witnessed(self, departures: tuple[Departure, ...]) -> None:
        for departure in departures:
            self.register.restore(departure)
        self._on_endpoint_change(None)
