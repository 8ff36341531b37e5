"""A node of the mesh: builds its components, connects them and closes them."""

import random
import uuid
from contextlib import ExitStack
from types import TracebackType
from typing import Any

import attrs
import eventlet
import eventlet.wsgi

from comfreytray.administration.api import AdminApi
from comfreytray.administration.routes import add_routes
from comfreytray.calls.holdrecords import HoldRecords
from comfreytray.calls.proxy import CallPath
from comfreytray.calls.tracing import SdkTracer, Tracer
from comfreytray.common import messages
from comfreytray.common.budgets import Backoff
from comfreytray.common.clock import SystemClock
from comfreytray.common.errors import Failure
from comfreytray.common.exceptions import SettingError
from comfreytray.common.interfaces import Address
from comfreytray.common.listening import SteadyListener
from comfreytray.common.logs import Event, log
from comfreytray.common.metrics import Metrics
from comfreytray.common.records import Endpoint, NodeRecord
from comfreytray.common.settings import Settings
from comfreytray.common.tasks import TaskGroup
from comfreytray.configuration.compiler import Compiler
from comfreytray.configuration.content import Content, decode_head
from comfreytray.configuration.operations import Operations
from comfreytray.configuration.snapshots import Snapshot
from comfreytray.distribution.distribution import Distributor
from comfreytray.distribution.status import StatusBoard
from comfreytray.distribution.storewatch import StoreWatcher
from comfreytray.membership.announcements import UpstreamLease
from comfreytray.membership.membership import Membership
from comfreytray.membership.seeds import Seeds, parse_addresses
from comfreytray.store.storeclient import StoreClient
from comfreytray.transport.transport import Transport

TICK_S = 0.1
SEEDS_PERIOD_S = 0.5
"""Time between two checks of the seed addresses."""
LEAVE_GOSSIP_S = 1.0
"""Time in which the other nodes learn by gossip that this node leaves."""
HOLDS_PREFIX = "held/"
"""Keys of the requests that are held back."""
HOLDS_RETRY_MIN_S = 0.5
HOLDS_RETRY_MAX_S = 2.0
LISTEN_BACKLOG = 1024
MAX_ADMIN_CONNECTIONS = 64


class Node:
    """One node of the mesh; a context manager that closes all that it opens."""

    def __init__(self, *, settings: Settings) -> None:
        self.settings = settings
        self.clock = SystemClock()
        self.random = random.Random(uuid.uuid4().int)
        self.metrics = Metrics()
        self.content = Content()
        self.started_at_s = self.clock.wall()
        self._stack = ExitStack()
        self._stop = eventlet.event.Event()
        self.upstream_lease = UpstreamLease(
            clock=self.clock,
            on_change=self._on_endpoint_change,
            count_members=lambda: len(self.membership.view.by_id),
        )

    def __enter__(self) -> "Node":
        with ExitStack() as stack:
            self._open(stack)
            self._stack = stack.pop_all()
        log(
            Event.NODE_STARTED,
            node=self.record().node_id,
            http=self.settings.http_port,
            admin=self.settings.admin_port,
        )
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._stack.close()
        log(Event.NODE_STOPPED, node=self.record().node_id)

    def record(self) -> NodeRecord:
        """Return the current record of this node, as the other members see it."""
        return self.membership.me

    def ask_to_stop(self) -> None:
        """Begin the graceful shutdown."""
        if not self._stop.ready():
            self._stop.send()

    def run(self) -> Failure | None:
        """Serve until asked to stop, then leave the mesh and finish calls in flight.

        Returns the failure that made the node stop by itself, if one did.
        """
        self._stop.wait()
        log(Event.NODE_STOPPING, node=self.record().node_id)
        self.membership.leave()
        self.calls.drain(self.settings.drain_timeout_s)
        eventlet.sleep(LEAVE_GOSSIP_S)
        self.calls.stop_http(self.settings.drain_timeout_s)
        self.calls.drain(self.settings.drain_timeout_s)
        self.membership.finish_leaving()
        eventlet.sleep(TICK_S)
        return self.membership.fault

    def _open(self, stack: ExitStack) -> None:
        settings = self.settings
        self.store = stack.enter_context(
            StoreClient(url=settings.store_url, timeout_s=settings.store_timeout_s)
        )
        self._open_mesh(stack)
        self.operations = Operations(
            store=self.store,
            clock=self.clock,
            random=self.random,
            content=self.content,
            services=lambda: frozenset(self.membership.view.endpoints_by_service),
            pause=lambda: eventlet.sleep(0),
        )
        self._open_call_path(stack)
        tasks = stack.enter_context(TaskGroup())
        self._serve(stack, tasks)
        self._start_loops(tasks)

    def _open_mesh(self, stack: ExitStack) -> None:
        settings = self.settings
        self.transport = stack.enter_context(
            Transport(
                host=settings.host,
                port=settings.control_port,
                receive=self._receive,
                metrics=self.metrics,
                region_of=self._region_of,
                region=settings.region,
            )
        )
        me = self._build_record()
        self.membership = Membership(
            me=me,
            clock=self.clock,
            random=self.random,
            network=self.transport,
            metrics=self.metrics,
        )
        self.distributor = Distributor(
            node=self.record,
            members=lambda: self.membership.view,
            clock=self.clock,
            random=self.random,
            network=self.transport,
            content=self.content,
            compile_snapshot=Compiler().compile,
            on_applied=self._on_applied,
            store_region=settings.store_region,
        )
        self.status = StatusBoard(
            node=self.record,
            members=lambda: self.membership.view,
            clock=self.clock,
            random=self.random,
            network=self.transport,
            distributor=self.distributor,
        )
        self.seeds = Seeds(
            store=self.store,
            clock=self.clock,
            random=self.random,
            me=me,
            peers=_peers(settings),
        )
        self.watcher = StoreWatcher(
            store=self.store,
            distributor=self.distributor,
            decode_head=decode_head,
            clock=self.clock,
            random=self.random,
            metrics=self.metrics,
        )

    def _open_call_path(self, stack: ExitStack) -> None:
        self.calls = stack.enter_context(
            CallPath(
                node=self.record,
                members=lambda: self.membership.view,
                snapshot=lambda: self.distributor.snapshot,
                local_upstream=lambda: self.upstream_lease.upstream,
                clock=self.clock,
                random=self.random,
                store=self.store,
                metrics=self.metrics,
                message_for=self.message_for,
                tracer=self._tracer(stack),
            )
        )

        self.holds = HoldRecords(
            store=self.store,
            prefix=HOLDS_PREFIX,
            guard=self.calls.guard,
            clock=self.clock,
            backoff=Backoff(
                random=self.random, min_s=HOLDS_RETRY_MIN_S, max_s=HOLDS_RETRY_MAX_S
            ),
        )

    def _tracer(self, stack: ExitStack) -> Tracer | None:
        """Open the span writer; None, without importing it, if tracing is off."""
        if not self.settings.trace_file:
            return None
        node_id = self.record().node_id
        return stack.enter_context(
            SdkTracer(path=self.settings.trace_file, node_id=node_id)
        )

    def _serve(self, stack: ExitStack, tasks: TaskGroup) -> None:
        settings = self.settings
        http_listener = self._listen(stack, settings.http_port)
        streams_listener = self._listen(stack, settings.call_port)
        admin_listener = self._listen(stack, settings.admin_port)
        self.admin = AdminApi(token=settings.admin_token, message_for=self.message_for)
        add_routes(self.admin, self)
        tasks.spawn("http", lambda: self.calls.serve_http(http_listener))
        tasks.spawn("streams", lambda: self.calls.serve_streams(streams_listener))
        tasks.spawn("admin", lambda: self._serve_admin(admin_listener))

    def _serve_admin(self, listener: Any) -> None:
        eventlet.wsgi.server(
            SteadyListener(listener),
            self.admin.wsgi_app,
            log_output=False,
            max_size=MAX_ADMIN_CONNECTIONS,
            socket_timeout=self.settings.drain_timeout_s or None,
        )

    def _start_loops(self, tasks: TaskGroup) -> None:
        tasks.run_every(
            TICK_S,
            {
                "membership": self._tick_membership,
                "announcement": self.upstream_lease.tick,
                "distribution": self.distributor.tick,
                "status": self.status.tick,
            },
        )
        self.membership.start(self.seeds.addresses)
        tasks.repeat("seeds", self._follow_seeds)
        tasks.spawn("holds", self._run_holds)
        tasks.repeat("store-watch", self.watcher.watch_step)
        tasks.repeat("store-fetch", self.watcher.fetch_step)

    def _tick_membership(self) -> None:
        """Tick the membership; stop this node if another one has its id."""
        self.membership.tick()
        if self.membership.fault is not None:
            self.ask_to_stop()

    def _run_holds(self) -> None:
        while not self.holds.load():
            eventlet.sleep(HOLDS_RETRY_MAX_S)
        self.holds.run()

    def _follow_seeds(self) -> float:
        if self.seeds.tick(self.membership.view):
            self.membership.start(self.seeds.addresses)
        return SEEDS_PERIOD_S

    def _listen(self, stack: ExitStack, port: int) -> Any:
        listener = eventlet.listen((self.settings.host, port), backlog=LISTEN_BACKLOG)
        stack.callback(listener.close)
        return listener

    def _build_record(self) -> NodeRecord:
        settings = self.settings
        return NodeRecord(
            node_id=settings.node_id or f"node-{uuid.uuid4().hex[:12]}",
            incarnation=int(self.started_at_s * 1000),
            region=settings.region,
            data_centre=settings.data_centre,
            host=settings.host,
            control_port=settings.control_port,
            call_port=settings.call_port,
        )

    def _receive(self, sender: Address, message: object, datagram: bool) -> None:
        """Pass a message to each component; each handles only its own classes."""
        self.membership.receive(sender, message, datagram)
        self.distributor.receive(sender, message)
        self.status.receive(sender, message)

    def _region_of(self, address: Address) -> str:
        membership = getattr(self, "membership", None)
        if membership is None:
            return "unknown"
        return self._region_by_address().get(address, "unknown")

    def _region_by_address(self) -> dict[Address, str]:
        view = self.membership.view
        if getattr(self, "_regions_of_view", None) is not view:
            self._regions_of_view = view
            self._regions = {
                record.control_address: record.region for record in view.by_id.values()
            }
        return self._regions

    def _on_applied(self, snapshot: Snapshot) -> None:
        self.metrics.gauge("version_in_force", snapshot.head.version)
        self.metrics.gauge("version_applied_at_s", self.clock.wall())

    def _on_endpoint_change(self, endpoint: Endpoint | None) -> None:
        self.membership.set_endpoint(endpoint)

    def message_for(self, failure: Failure, language: str) -> str:
        """Return the text of a failure in the first accepted language that is known."""
        return messages.text(failure, language=messages.accepted_language(language))


def _peers(settings: Settings) -> tuple[Address, ...]:
    peers = parse_addresses(settings.peers)
    if isinstance(peers, Failure):
        fields = {
            "setting": "peers",
            "value": settings.peers,
            "allowed": "ip:port,ip:port",
        }
        raise SettingError(attrs.evolve(peers, fields=fields))
    return peers
