"""Many nodes with quotas in one process, on a simulated clock and network."""

import heapq
import random
from bisect import bisect_right

from comfreytray.common.metrics import Metrics
from comfreytray.common.records import MembershipView, NodeRecord
from comfreytray.configuration.accounts import Account, Accounts
from comfreytray.customers import quotaexchange, quotamessages
from comfreytray.customers.quotachoice import CoordinatorChoice
from comfreytray.customers.quotacoordinator import QuotaCoordinator
from comfreytray.customers.quotagate import QuotaGate
from comfreytray.customers.quotaterms import QuotaBounds, TermsSource

BOUNDS = QuotaBounds(window_s=5.0, overage=0.1, slack=20.0)
MIN_DELAY_S, MAX_DELAY_S = 0.03, 0.06
STEP_S = quotaexchange.TICK_S
IMPORTS_S = 0.5
"""Time from the begin of a process until it can admit calls."""


class SimulatedClock:
    """A node's clocks; while the node is paused its monotonic clock stands still."""

    def __init__(self, fleet):
        self.fleet, self.lost_s = fleet, 0.0

    def monotonic(self):
        return 1000.0 + self.fleet.now - self.lost_s

    def wall(self):
        return 1.7e9 + self.fleet.now


class Node:
    """The parts of one node's process, wired as in QuotaExchange."""

    def __init__(self, fleet, node_id, session):
        self.fleet, self.id, self.session = fleet, node_id, session
        self.clock = SimulatedClock(fleet)
        self.metrics = Metrics()
        self.is_reporting = False
        self.choice = CoordinatorChoice(
            clock=self.clock,
            members=lambda: fleet.view,
            capacity_by_id=fleet.capacity_by_id,
        )
        terms = TermsSource(accounts=lambda: fleet.accounts, bounds=fleet.bounds)
        self.coordinator = QuotaCoordinator(
            clock=self.clock,
            name=f"{node_id}/{session}",
            terms=terms,
            member_ids=lambda: self.choice.member_ids,
            window_s=fleet.bounds.window_s,
            successor=self.choice.successor,
            is_first_start=session == 1,
            process_began_at=self.clock.monotonic() - IMPORTS_S,
        )
        self.gate = QuotaGate(
            clock=self.clock,
            node_id=node_id,
            session=session,
            terms=terms,
            member_ids=lambda: self.choice.member_ids,
            metrics=self.metrics,
            random=fleet.random,
            process_began_at=self.clock.monotonic() - IMPORTS_S,
        )

    def step(self):
        if self.gate.is_report_due() and not self.is_reporting:
            self.report()
        for node_id in self.coordinator.due_pushes():
            self.push(node_id)

    def report(self):
        target, sent_at = self.choice.pick(), self.clock.monotonic()
        message = quotamessages.encode_report(self.gate.build_report(target))
        self.is_reporting = True

        def handle(node):
            report = quotamessages.decode_report(message)
            reply = quotamessages.encode_answer(node.coordinator.receive(report))
            self.fleet.after(0.0, lambda: node.alive_step())
            return reply

        def done(reply):
            self.is_reporting = False
            if reply is None:
                self.choice.note_failed(target)
                self.gate.note_failed()
            else:
                answer = quotamessages.decode_answer(reply)
                self.choice.note_answered()
                self.coordinator.replicate(answer)
                self.gate.take_answer(answer, sent_at=sent_at)

        self.fleet.ask(self, target, message, handle, done)

    def push(self, node_id):
        sent_at = self.clock.monotonic()
        message = quotamessages.encode_answer(self.coordinator.answer(node_id))

        def handle(node):
            answer = quotamessages.decode_answer(message)
            node.coordinator.replicate(answer)
            report = node.gate.take_push(answer)
            return b"" if report is None else quotamessages.encode_report(report)

        def done(reply):
            if reply:
                report = quotamessages.decode_report(reply)
                self.coordinator.take(report, sent_at=sent_at)

        self.fleet.ask(self, node_id, message, handle, done)

    def alive_step(self):
        if self.fleet.node_by_id.get(self.id) is self:
            self.step()


class QuotaFleet:
    """Runs calls through many nodes and records which were admitted, and when."""

    def __init__(self, quotas, *, nodes=60, bounds=BOUNDS, seed=1):
        self.random = random.Random(seed)
        self.bounds = bounds
        self.now = 0.0
        self.queue, self.count = [], 0
        self.admitted_at, self.refused_at = {}, {}
        self.waits, self.retry_after = [], []
        self.messages = self.bytes = 0
        self.message_sizes = []
        self.loss = 0.0
        self.duplicates = 0.0
        self.paused = set()
        self.groups = {}
        """Group of each node; nodes of different groups don't reach each other."""
        self.set_quotas(quotas)
        ids = [f"node-{number:03d}" for number in range(nodes)]
        self.capacity_by_id = dict.fromkeys(ids, 100)
        self.view = MembershipView(by_id={node_id: _record(node_id) for node_id in ids})
        self.node_by_id = {node_id: Node(self, node_id, 1) for node_id in ids}
        for node_id in ids:
            offset_s = self.random.uniform(0.0, STEP_S)
            self.after(offset_s, lambda node_id=node_id: self._tick(node_id))

    @property
    def ids(self):
        return list(self.capacity_by_id)

    def set_quotas(self, quotas):
        self.accounts = Accounts(
            account_by_customer={
                customer: Account(customer=customer, rate_per_s=rate, burst=burst)
                for customer, (rate, burst) in quotas.items()
            }
        )

    def after(self, delay_s, action):
        self.count += 1
        heapq.heappush(self.queue, (self.now + delay_s, self.count, action))

    def run(self, seconds):
        end = self.now + seconds
        while self.queue and self.queue[0][0] <= end:
            self.now, _, action = heapq.heappop(self.queue)
            action()
        self.now = end

    def _tick(self, node_id):
        node = self.node_by_id.get(node_id)
        if node is not None and node_id not in self.paused:
            node.step()
        self.after(STEP_S, lambda: self._tick(node_id))

    def _is_connected(self, first, second):
        return self.groups.get(first) == self.groups.get(second)

    def _reaches(self, first, second):
        return (
            second in self.node_by_id
            and second not in self.paused
            and self._is_connected(first, second)
        )

    def _delay(self, first, second):
        if first == second:
            return 0.0
        return self.random.uniform(MIN_DELAY_S, MAX_DELAY_S)

    def ask(self, node, target, message, handle, done):
        """Carry a message and its reply, either of which may be lost."""
        state = {"open": True}

        def finish(reply):
            if state["open"] and self.node_by_id.get(node.id) is node:
                if node.id in self.paused:
                    self.after(0.1, lambda: finish(reply))
                    return
                state["open"] = False
                done(reply)

        def arrive():
            receiver = self.node_by_id.get(target)
            if receiver is None and self._is_connected(node.id, target):
                # The machine refuses the connection of a process that has ended.
                self.after(self._delay(target, node.id), lambda: back(None))
            if receiver is None or not self._reaches(node.id, target):
                return
            reply = handle(receiver)
            self._count(node, target, reply)
            if self.random.random() >= self.loss:
                self.after(self._delay(target, node.id), lambda: back(reply))

        def back(reply):
            if self._is_connected(target, node.id):
                finish(reply)

        self._count(node, target, message)
        if self.random.random() >= self.loss:
            self.after(self._delay(node.id, target), arrive)
            if self.random.random() < self.duplicates:
                self.after(2 * MAX_DELAY_S, arrive)
        self.after(quotaexchange.ASK_TIMEOUT_S, lambda: finish(None))

    def _count(self, node, target, message):
        if node.id != target:
            self.messages += 1
            self.bytes += len(message)
            self.message_sizes.append(len(message))

    def kill(self, node_id):
        self.node_by_id.pop(node_id, None)

    def start(self, node_id):
        self.node_by_id[node_id] = Node(self, node_id, 1 + int(self.now * 1000))

    def pause(self, node_id, seconds):
        self.paused.add(node_id)

        def resume():
            self.paused.discard(node_id)
            self.node_by_id[node_id].clock.lost_s += seconds

        self.after(seconds, resume)

    def coordinators(self):
        return {node.gate.coordinator for node in self.node_by_id.values()}

    def call(self, customer, node_id, waited_s=0.0, session=None):
        node = self.node_by_id.get(node_id)
        if node is None or session not in (None, node.session):
            return
        if node_id in self.paused:
            if waited_s:
                self.after(0.1, lambda: self.call(customer, node_id, waited_s, session))
            return
        if waited_s < quotaexchange.MAX_WAIT_S and node.gate.must_wait(customer):
            poll_s = quotaexchange.WAIT_POLL_S
            if not waited_s:
                node.gate.note_waiting(customer)
            if node.gate.is_report_due():
                node.step()
            later_s, session = waited_s + poll_s, node.session
            self.after(poll_s, lambda: self.call(customer, node_id, later_s, session))
            return
        if waited_s:
            node.gate.note_waited(customer)
        failure = node.gate.admit(customer)
        if node.gate.is_report_due():
            node.step()
        if failure is None:
            self.waits.append(waited_s)
            self.admitted_at.setdefault(customer, []).append(self.now)
        else:
            self.retry_after.append(failure.retry_after_s)
            self.refused_at.setdefault(customer, []).append(self.now)

    def load(self, customer, rate_per_s, seconds, *, nodes=None, evenly=False):
        """Plan calls from now on; `nodes` may be a function of the time."""
        start = self.now
        ids = nodes or self.ids

        def next_call():
            elapsed_s = self.now - start
            if elapsed_s >= seconds:
                return
            rate = rate_per_s(elapsed_s) if callable(rate_per_s) else rate_per_s
            chosen = ids(elapsed_s) if callable(ids) else ids
            self.call(customer, self.random.choice(chosen))
            gap_s = 1.0 / rate if evenly else self.random.expovariate(rate)
            self.after(gap_s, next_call)

        self.after(self.random.uniform(0.0, 1.0 / 100), next_call)

    def admitted(self, customer):
        return len(self.admitted_at.get(customer, []))

    def refused(self, customer, since=0.0):
        return sum(at >= since for at in self.refused_at.get(customer, []))

    def excess(self, customer, rate, burst, since=0.0):
        """Return the largest number of calls beyond the bound in any window."""
        window_s = self.bounds.window_s
        times = [at for at in self.admitted_at.get(customer, []) if at >= since]
        bound = (rate * window_s + burst) * (1 + self.bounds.overage)
        most = max(
            (
                bisect_right(times, at + window_s) - index
                for index, at in enumerate(times)
            ),
            default=0,
        )
        return most - bound - self.bounds.slack


def _record(node_id):
    return NodeRecord(
        node_id=node_id,
        incarnation=1,
        region="r",
        data_centre="d",
        host="127.0.0.1",
        control_port=0,
        call_port=0,
    )
