import eventlet
from behave import given, then, when
from calls_rig import Fleet, answer, until

from comfreytray.calls.inboundlink import InboundLink
from comfreytray.calls.uploads import PART_BYTES
from comfreytray.common.errors import Failure, Kind
from comfreytray.testing import FakeClock

BYTES_PER_S = 625_000
STEP_S = 0.005


@given("a link of 5 Mbit/s and {count:d} nodes with a body of {size:d} KB each")
def make_link(context, count, size):
    context.clock = FakeClock()
    context.link = InboundLink(clock=context.clock, bytes_per_s=BYTES_PER_S)
    context.sizes = [size * 1000] * count


@when("all of them are announced at once, with {left:g} s left")
def announce_all(context, left):
    context.ends, context.refused, context.most, context.idle_s = [], [], 0, 0.0
    deadline = context.clock.now + left
    under_way = []

    def receive(size):
        refused = context.link.announce(size, until=deadline)
        if refused is not None:
            context.refused.append(refused)
            return
        assert context.link.acquire(size, deadline=deadline)
        done = eventlet.event.Event()
        under_way.append([size, done])
        done.wait()
        context.link.release(size)
        context.link.withdraw(size)
        context.ends.append(context.clock.now)

    greenlets = [eventlet.spawn(receive, size) for size in context.sizes]
    for _ in range(int(left / STEP_S) + 1):
        eventlet.sleep(0)
        eventlet.sleep(0)
        context.most = max(context.most, sum(size for size, _ in under_way))
        budget = BYTES_PER_S * STEP_S
        if not under_way and len(context.ends) + len(context.refused) < len(greenlets):
            context.idle_s += STEP_S
        while under_way and budget > 0:
            taken = min(budget, under_way[0][0])
            under_way[0][0] -= taken
            budget -= taken
            if under_way[0][0] <= 0:
                under_way.pop(0)[1].send()
        context.clock.now += STEP_S
    context.deadline = deadline
    for greenlet in greenlets:
        greenlet.kill()


@then("no more than 0.2 s of the link are under way at any time")
def check_under_way(context):
    assert 0 < context.most <= max(PART_BYTES, 0.2 * BYTES_PER_S), context.most


@then("each body that is not refused is received in time, and the link is never idle")
def check_received(context):
    assert len(context.ends) + len(context.refused) == len(context.sizes)
    assert max(context.ends) <= context.deadline
    assert context.idle_s <= STEP_S, context.idle_s


@then("the refused ones are told when the link has room, and none of their bytes came")
def check_refused(context):
    assert len(context.ends) + len(context.refused) == len(context.sizes)
    assert 0 < len(context.refused) < len(context.sizes)
    assert all(isinstance(r, Failure) for r in context.refused)
    assert all(
        r.kind is Kind.OVERLOADED and r.retry_after_s > 0 for r in context.refused
    )
    assert max(context.ends) <= context.deadline


@given("a link of 5 Mbit/s that is in use, and two bodies that wait for it")
def make_waiting(context):
    context.clock = FakeClock()
    context.link = InboundLink(clock=context.clock, bytes_per_s=BYTES_PER_S)
    assert context.link.acquire(PART_BYTES, deadline=context.clock.now + 5)
    context.results = {}

    def wait(name, wait_s):
        context.results[name] = None
        got = context.link.acquire(PART_BYTES, deadline=context.clock.now + wait_s)
        context.results[name] = got

    context.first = eventlet.spawn(wait, "first", 0.05)
    eventlet.sleep(0)
    context.second = eventlet.spawn(wait, "second", 5.0)
    eventlet.sleep(0)


@when("the first one {ends}")
def end_first(context, ends):
    if ends == "is cancelled":
        context.first.kill()
    elif ends == "reaches its deadline":
        eventlet.sleep(0.1)
        assert context.results["first"] is False
    else:
        context.link.release(PART_BYTES)
        context.first.kill()
        return
    context.link.release(PART_BYTES)


@then("the second one gets its turn, and nothing stays under way in the end")
def check_second(context):
    assert until(lambda: context.results["second"] is True)
    context.link.release(PART_BYTES)
    assert context.link.acquire(PART_BYTES, deadline=context.clock.now)
    context.link.release(PART_BYTES)


@given("two nodes with links of 5 Mbit/s, the second one beside the upstream")
def make_nodes(context):
    context.bodies = []

    def script(head, body):
        context.bodies.append(body)
        if len(context.bodies) == 1:
            return answer(503, b"", "Comfreytray-Ran: no")
        return answer(200, b"ok")

    context.fleet = Fleet(link_bytes_per_s=BYTES_PER_S)
    context.add_cleanup(context.fleet.__exit__)
    context.fleet.add("a", service="other")
    context.fleet.add("b", script=script)
    context.fleet.add("c", script=script)


@when("a body of 300 KB is sent to the first one, and the upstream refuses it once")
def send_body(context):
    context.body = bytes(range(256)) * 1200
    context.answer = context.fleet.call("a", "POST", "/x", context.body)


@then("the upstream gets it whole, and nothing is reserved in the end")
def check_whole(context):
    assert context.answer.status == 200, context.answer.status
    assert context.bodies == [context.body] * 2, [len(b) for b in context.bodies]
    paths = context.fleet.path_by_id.values()
    assert until(lambda: all(path.body_budget.reserved == 0 for path in paths))
    assert all(path.server.link.wait_s == 0 for path in paths)
