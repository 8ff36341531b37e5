import heapq
import random

from behave import given, then, when
from samples import endpoint, node_record

from comfreytray.calls.call import Load
from comfreytray.calls.measures import MIN_CALLS, VALID_S, OwnMeasures, SharedMeasures
from comfreytray.calls.routing import Router
from comfreytray.common.records import MembershipView
from comfreytray.replication.measures import PERIOD_S
from comfreytray.testing import FakeClock

SERVICE_TIME_S = 0.3
SLOW_FACTOR = 3.0
RUN_S = 20.0
WARM_UP_S = 8.0


def _record(number):
    held = endpoint(f"i-{number}", slots=5, connections=9)
    return node_record(f"n-{number}", endpoint=held)


class _Group:
    """Routers of many nodes that send calls to the same endpoints, on a fake clock."""

    def __init__(self, nodes, endpoints, *, shares):
        self.clock = FakeClock()
        self.random = random.Random(4)
        self.shares = shares
        records = tuple(_record(number) for number in range(endpoints))
        view = MembershipView(
            by_id={r.node_id: r for r in records}, endpoints_by_service={"s": records}
        )
        self.owner_by_id = {r.node_id: OwnMeasures() for r in records}
        self.slow = {f"n-{n}" for n in range(0, endpoints, 4)}
        self.failing = {f"n-{n}" for n in range(1, endpoints, 20)}
        self.routers = [
            Router(
                node=lambda n=n: _record(endpoints + n),
                members=lambda: view,
                clock=self.clock,
                random=random.Random(n),
            )
            for n in range(nodes)
        ]
        self.events = []
        self.count_by_id = {}

    def run(self, interval_s):
        start = self.clock.now
        for number, _ in enumerate(self.routers):
            offset_s = self.random.uniform(0.0, interval_s)
            self._at(start + offset_s, "call", number)
        self._at(start + PERIOD_S, "share", None)
        while self.events and self.events[0][0] < start + RUN_S:
            at, _, what, detail = heapq.heappop(self.events)
            self.clock.now = at
            if what == "call":
                self._at(at + interval_s, "call", detail)
                self._call(self.routers[detail], counts=at > start + WARM_UP_S)
            elif what == "end":
                self._end(*detail)
            else:
                self._at(at + PERIOD_S, "share", None)
                self._share()
        bad = sum(self.count_by_id.get(i, 0) for i in self.slow | self.failing)
        return bad / sum(self.count_by_id.values())

    def _at(self, at, what, detail):
        heapq.heappush(self.events, (at, self.random.random(), what, detail))

    def _call(self, router, *, counts):
        picked = router.pick("s", kind="k", target_s=1.0)
        if counts:
            node_id = picked.node_id
            self.count_by_id[node_id] = self.count_by_id.get(node_id, 0) + 1
        view = router.begin(picked)
        took_s = SERVICE_TIME_S * self.random.lognormvariate(0.0, 0.5)
        if picked.node_id in self.slow:
            took_s *= SLOW_FACTOR
        failed = picked.node_id in self.failing
        took_s = 0.01 if failed else took_s
        self._at(
            self.clock.now + took_s,
            "end",
            (router, view, picked.node_id, took_s, failed),
        )

    def _end(self, router, view, node_id, took_s, failed):
        load = Load(used=0.4, service_time_s=SERVICE_TIME_S, held_s=took_s)
        router.finish(view, took_s=took_s, load=load, kind="k", failed=failed)
        self.owner_by_id[node_id].record(
            instance_id="i", kind="k", took_s=took_s, failed=failed
        )

    def _share(self):
        if not self.shares:
            return
        told = {i: owner.report() for i, owner in self.owner_by_id.items()}
        table = {node_id: m for node_id, m in told.items() if m is not None}
        for router in self.routers:
            router.shared.learn(table)


@given("{nodes:d} nodes that each send a call every 0.3 s to {endpoints:d} endpoints")
def make_group(context, nodes, endpoints):
    context.size = (nodes, endpoints)


@when("every fourth endpoint is three times slower and one of them fails its calls")
def run_groups(context):
    context.share_by_sharing = {
        shares: _Group(*context.size, shares=shares).run(0.3)
        for shares in (False, True)
    }


@then("with the owners' measurements at most half as many calls go to these as without")
def check_half(context):
    without, told = context.share_by_sharing[False], context.share_by_sharing[True]
    assert told <= 0.5 * without, context.share_by_sharing


@when("an owner measures calls of two instances one after the other")
def measure_instances(context):
    own = OwnMeasures()
    context.reports = []
    for instance_id in ("i", "j"):
        for _ in range(MIN_CALLS):
            own.record(instance_id=instance_id, kind="k", took_s=0.1, failed=False)
            context.reports.append(own.report())


@then("it tells nothing of an instance before its eighth call")
def check_reports(context):
    told = [report is not None for report in context.reports]
    assert told == ([False] * (MIN_CALLS - 1) + [True]) * 2, told


@then("a node forgets what it was told after 6 s")
def check_forgets(context):
    clock = FakeClock()
    shared = SharedMeasures(clock=clock)
    shared.learn({"n": context.reports[-1]})
    assert shared.slowdown("n", clock.now + VALID_S) == 1.0
    assert shared.slowdown("n", clock.now + VALID_S + 0.1) is None


@given("{endpoints:d} endpoints of a service of which one fails every call")
def make_failing(context, endpoints):
    context.group = _Group(1, endpoints, shares=True)
    for number, own in enumerate(context.group.owner_by_id.values()):
        for _ in range(MIN_CALLS):
            own.record(instance_id="i", kind="k", took_s=0.3, failed=number == 0)


@when("the owners tell a node that has called neither")
def tell(context):
    context.group._share()


@then("each of {count:d} picks is the endpoint that works")
def check_picks(context, count):
    router = context.group.routers[0]
    picks = [router.pick("s", kind="k", target_s=1.0).node_id for _ in range(count)]
    assert picks == ["n-1"] * count, picks
