"""The call path of a node: HTTP from callers, streams from other nodes."""

import math
import random
from collections.abc import Callable, Iterable
from functools import partial
from types import TracebackType
from typing import Any

import eventlet

from comfreytray.calls import httpserver, requestbodies, requests
from comfreytray.calls.answers import MessageFor, buffer_reply, plain_message
from comfreytray.calls.call import Call, CallCancelledError, Outcome, Reply, fail
from comfreytray.calls.callers import CallerConnections, Listener
from comfreytray.calls.calllog import CallLog
from comfreytray.calls.connections import StreamClient
from comfreytray.calls.dialect import NATIVE, Dialect
from comfreytray.calls.dispatch import Dispatcher
from comfreytray.calls.draining import Drain
from comfreytray.calls.guard import Guard
from comfreytray.calls.keyedfactory import build_keyed_calls
from comfreytray.calls.noticesender import TOPIC as NOTICES_TOPIC
from comfreytray.calls.noticesender import NoticeSender
from comfreytray.calls.owner import Owner
from comfreytray.calls.peercalls import SERVICE as PEER_SERVICE
from comfreytray.calls.peercalls import PeerCalls
from comfreytray.calls.quotaentry import run_within_quota
from comfreytray.calls.reaper import Reaper
from comfreytray.calls.responder import Responder
from comfreytray.calls.retries import DEFAULT_RETRY_LIMITS, RetryLimits
from comfreytray.calls.routing import Router, has_cold_endpoint
from comfreytray.calls.shares import build_shares
from comfreytray.calls.splits import Splitter
from comfreytray.calls.stopping import StopGate, StopSchedule
from comfreytray.calls.streamserver import StreamServer
from comfreytray.calls.streamuploads import UPLOADS_TOPIC
from comfreytray.calls.tracing import Tracer, traced
from comfreytray.common import logs
from comfreytray.common.errors import Failure, Kind
from comfreytray.common.interfaces import Clock, ObjectStore
from comfreytray.common.metrics import Metrics
from comfreytray.common.records import LocalUpstream, MembershipView, NodeRecord
from comfreytray.configuration.callerlimits import DEFAULT_CALLER_LIMITS, CallerLimits
from comfreytray.configuration.snapshots import Snapshot
from comfreytray.customers.quotaadmission import QuotaAdmission

Environ = dict[str, Any]


class CallPath:
    """Proxies calls from callers to endpoints, and from other nodes to the upstream."""

    def __init__(
        self,
        *,
        node: Callable[[], NodeRecord],
        members: Callable[[], MembershipView],
        snapshot: Callable[[], Snapshot | None],
        local_upstream: Callable[[], LocalUpstream | None],
        clock: Clock,
        random: random.Random,
        store: ObjectStore | None,
        metrics: Metrics,
        caller: Callable[[], str] = lambda: "",
        dialect: Dialect = NATIVE,
        retry_limits: Callable[[], RetryLimits] = lambda: DEFAULT_RETRY_LIMITS,
        refused_limits: Callable[[], RetryLimits | None] = lambda: None,
        tracer: Tracer | None = None,
        message_for: MessageFor = plain_message,
        is_cold: Callable[[NodeRecord], bool] = has_cold_endpoint,
        on_leaving: Callable[[str], None] = lambda _: None,
        is_current: Callable[[], bool] = lambda: True,
        link_bytes_per_s: float = math.inf,
        memory_bytes: float = math.inf,
    ) -> None:
        self.node = node
        self.snapshot = snapshot
        self.clock = clock
        self.metrics = metrics
        self.tracer = tracer
        self.responder = Responder(
            dialect=dialect, metrics=metrics, message_for=message_for
        )
        self.encode_refusal = self.responder.encode_refusal
        self.quota: QuotaAdmission | None = None
        shares = build_shares(memory_bytes, clock, metrics)
        self.answer_memory, self.ahead_share = shares.answers, shares.ahead
        self.body_budget = shares.bodies
        self.call_log = CallLog(clock=clock)
        own_id = node().node_id
        self.router = Router(
            node=node, members=members, clock=clock, random=random, is_cold=is_cold
        )
        self.guard = Guard(
            node_id=lambda: node().node_id,
            clock=clock,
            metrics=metrics,
            publish=lambda notices: self.notices.publish(notices),
        )
        self.owner = Owner(
            local_upstream=local_upstream,
            clock=clock,
            metrics=metrics,
            guard=self.guard,
            tracer=tracer,
            dialect=dialect,
            call_log=self.call_log,
            on_leaving=on_leaving,
            memory=self.answer_memory,
        )
        self.stop_gate = StopGate(clock=clock, router=self.router, owner=self.owner)
        self.reader = requests.RequestReader(
            dialect=dialect,
            caller=caller,
            clock=clock,
            splitter=Splitter(),
            budget=self.body_budget,
            is_current=is_current,
            is_nested=self._is_nested,
            refuse_late=self.stop_gate.refuse_at_entry,
        )
        self.client = StreamClient(
            own_id=own_id,
            clock=clock,
            metrics=metrics,
            announces_bodies=link_bytes_per_s < math.inf,
            answer_memory=self.answer_memory,
            outbox_memory=shares.outboxes,
        )
        self.peers = PeerCalls(client=self.client, clock=clock)
        self.notices = NoticeSender(
            node=node,
            members=members,
            peers=self.peers,
            clock=clock,
            quarantine=lambda: self.guard.quarantine,
            learn=self.guard.learn,
        )
        self.peers.register(NOTICES_TOPIC, self.notices.receive)
        self.peers.register(UPLOADS_TOPIC, lambda _: b"")
        self.server = StreamServer(
            node_id=own_id,
            clock=clock,
            handle=self._run_for_other_node,
            load=lambda: self.owner.load,
            budget=self.body_budget,
            outbox_memory=shares.outboxes,
            link_bytes_per_s=link_bytes_per_s,
        )
        self.dispatcher = Dispatcher(
            node=node,
            router=self.router,
            owner=self.owner,
            client=self.client,
            guard=self.guard,
            clock=clock,
            metrics=metrics,
            retry_limits=retry_limits,
            refused_limits=refused_limits,
            dialect=dialect,
        )
        self.keyed = build_keyed_calls(
            node=node,
            members=members,
            client=self.client,
            run=self.dispatcher.run,
            store=store,
            clock=clock,
            random=random,
        )
        self.callers = CallerConnections()
        self.reaper = Reaper(
            clock=clock,
            callers=self.callers,
            owner=self.owner,
            client=self.client,
            router=self.router,
            keyed=self.keyed,
            limits=self.caller_limits,
        )
        self._drain = Drain(
            clock=clock,
            callers=self.callers,
            in_flight=lambda: self.in_flight,
            owner=self.owner,
            server=self.server,
            keyed=self.keyed,
        )
        self.pending_head_by_socket = self.reaper.pending_head_by_socket
        self._greenlets: list[Any] = []
        self._listener: Listener | None = None

    def __enter__(self) -> "CallPath":
        for run in (self.reaper.run, self.notices.run):
            self._greenlets.append(eventlet.spawn(run))
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        for greenlet in self._greenlets:
            greenlet.kill()
        for part in (self.server, self.client, self.owner):
            part.__exit__(kind, error, trace)

    def serve_http(self, listener: Any) -> None:
        """Serve callers until stopped or until the listener is closed."""
        self._listener = Listener(listener, on_accept=self.callers.mark_accepted)
        httpserver.serve(self._listener, self.wsgi_app, self)

    def stop_http(self, timeout_s: float) -> bool:
        """Refuse new callers and finish running calls; false if some did not finish."""
        if self._listener is None:
            return True
        self._listener.stop_accepting()
        finished = self.callers.stop(timeout_s)
        if finished:
            self._listener.end()
        return finished

    def serve_streams(self, listener: Any) -> None:
        """Serve the call streams of other nodes until the listener is closed."""
        self.server.serve(listener)

    def ask_to_close(self, schedule: StopSchedule) -> None:
        """Close the connection of a caller after each answer, and plan the stop."""
        self.responder.closes_connections = True
        self.stop_gate.schedule = schedule

    def leave(self) -> None:
        """Refuse new calls for the upstream; callers are served through other nodes."""
        self.responder.closes_connections = True
        self.router.leaving = True
        if self.keyed is not None:
            self.keyed.leave()
        self.owner.leave()

    def drain(self, timeout_s: float) -> bool:
        """Refuse new calls for the upstream and wait for those in flight.

        Callers are still served through other nodes; once `stop_http` was called,
        their calls are waited for too. Returns false if some did not finish in time.
        """
        self.leave()
        return self._drain.wait(timeout_s)

    def report(self) -> dict[str, object]:
        """Return the state of the call path as JSON-compatible values."""
        return {
            "in_flight": self.in_flight,
            "leaving": self.leaving,
            "retry_tokens": round(self.dispatcher.budgets.common.tokens, 2),
            **self.owner.report(),
            "panics": self.router.panics,
            "endpoints": self.router.report(),
        }

    def wsgi_app(
        self, environ: Environ, start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        """Answer one call of a caller."""
        streaming = False
        tracked = self.reaper.track(environ)
        try:
            call = self.reader.read(environ, self.snapshot())
            if isinstance(call, Failure):
                result = self._refuse_at_entry(environ, call)
            else:
                tracked.call = call
                environ["comfreytray.deadline"] = call.deadline
                result = self._run(call)
            if isinstance(result, Reply) and requests.must_buffer(environ, result):
                result = buffer_reply(result, self.answer_memory)
            if isinstance(result, Outcome):
                return self.responder.refuse(environ, start_response, result)
            streaming = result.rest is not None
            end = partial(self.reaper.end, tracked)
            return self.responder.answer(environ, start_response, result, on_end=end)
        except CallCancelledError as error:
            self.metrics.count("calls_cancelled")
            requestbodies.close_after_cut(environ)
            return self.responder.refuse(environ, start_response, fail(error.kind))
        except Exception as error:
            logs.warn(logs.Event.INTERNAL_ERROR, error=repr(error))
            return self.responder.refuse(environ, start_response, fail(Kind.INTERNAL))
        finally:
            self.reaper.untrack(tracked)
            requestbodies.release_body(environ)
            if not streaming:
                self.reaper.end(tracked)

    def caller_limits(self) -> CallerLimits:
        """Return the limits on requests of the configuration in force."""
        snapshot = self.snapshot()
        return DEFAULT_CALLER_LIMITS if snapshot is None else snapshot.limits

    @property
    def in_flight(self) -> int:
        """Return the number of calls of callers."""
        return len(self.reaper.entered_calls)

    @property
    def leaving(self) -> bool:
        """Whether connections of callers close behind the requests that were read."""
        return self.responder.closes_connections

    @property
    def _configuration_version(self) -> int:
        snapshot = self.snapshot()
        return 0 if snapshot is None else snapshot.head.version

    def _refuse_at_entry(self, environ: Environ, failure: Failure) -> Reply | Outcome:
        call_id = self.reader.call_id(environ)
        self.call_log.refused_at_entry(call_id, failure, self._configuration_version)
        return Outcome.of(failure)

    def _run(self, call: Call) -> Reply | Outcome:
        started = self.clock.monotonic()
        result = run_within_quota(
            call, self._run_traced, quota=self.quota, snapshot=self.snapshot()
        )
        ended = "answered" if isinstance(result, Reply) else "refused"
        self.metrics.record_duration(f"calls_{ended}", self.clock.monotonic() - started)
        self.call_log.ended(call, result, self._configuration_version)
        return result

    def _run_traced(self, call: Call) -> Reply | Outcome:
        self.metrics.count("calls")
        run = self.keyed.run if call.key and self.keyed else self.dispatcher.run
        return traced(self.tracer, "entry", call, run)

    def _is_nested(self, call_id: str) -> bool:
        """Whether the local upstream makes a call while it runs another one."""
        snapshot = self.snapshot()
        has_accounts = snapshot is not None and snapshot.accounts is not None
        return self.owner.is_nested(call_id, has_accounts=has_accounts)

    def _run_for_other_node(self, call: Call) -> Reply | Outcome:
        if call.service == PEER_SERVICE:
            return self.peers.answer(call)
        self.metrics.count("calls_for_nodes")
        if (refused := self.stop_gate.refuse_at_owner(call)) is not None:
            return Outcome.of(refused)
        if call.key and self.keyed is not None:
            return self.keyed.claim_and_run(call)
        return self.owner.run(call)
