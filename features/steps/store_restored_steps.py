import copy
import json
import random

from attrs import evolve
from behave import given, then, when
from calls_rig import until
from configuration_steps import CUSTOMER, TEMPLATE, succeeded
from eventlet import tpool
from platform_node_steps import _configuration, _heartbeat, _version
from platform_store_steps import _record
from replication_nodes_steps import _change_configuration, _is_settled
from replication_steps import _transfer

from comfreytray.common import revisions
from comfreytray.common.budgets import Backoff
from comfreytray.common.errors import Failure, Kind
from comfreytray.common.interfaces import StoredObject, WatchBatch
from comfreytray.common.records import EndpointState, NodeState
from comfreytray.configuration.documents import ItemKind
from comfreytray.membership import directory
from comfreytray.membership.directory import Directory
from comfreytray.membership.ownrecord import OwnRecord
from comfreytray.platform import configuration
from comfreytray.platform.objectstore import PlatformStore
from comfreytray.replication.replica import Replica
from comfreytray.testing import FakeClock, MemoryStore
from standins.platform_store import StoreStandIn

MEMBERS, NODE = "members", "n-1"


def _has_stored_record(context, instance_id=None):
    held = context.stand_in.object_by_name[MEMBERS].get(NODE)
    if held is None or held["spec"]["incarnation"] != context.node.incarnation:
        return False
    endpoint = held["spec"]["endpoint"]
    return (endpoint and endpoint["instance_id"]) == instance_id


@when(
    "the store comes back older {times:d} times"
    " and the configuration changes after each"
)
def change_after_returns(context, times):
    stand_in = context.stand_in
    stand_in.put("config", "main", _configuration(3))
    assert until(lambda: _version(context) == 3 and _has_stored_record(context))
    context.in_force = []
    for number in range(1, times + 1):
        before = stand_in.revision
        version = 10 * number
        stand_in.put("config", "main", _configuration(version))
        assert until(lambda: _version(context) == version)  # noqa: B023
        stand_in.restore(before - 1)
        stand_in.put("config", "main", _configuration(version + 1))
        context.in_force.append(
            until(lambda: _version(context) == version + 1)  # noqa: B023
        )


@then("the node has the newest version each time")
def check_in_force(context):
    assert all(context.in_force), context.in_force


@when("the store comes back from a copy made before the node's record was written")
def lose_record(context):
    stand_in = context.stand_in
    before = stand_in.revision
    stand_in.put("config", "main", _configuration(3))
    context.node.register.receive(_heartbeat(context, 5))
    assert until(lambda: _has_stored_record(context, "i-5"))
    stand_in.restore(before)


@then("the store holds the node's record again")
def check_record(context):
    assert until(lambda: _has_stored_record(context, "i-5"))


@when("the store comes back from an older copy and the configuration changes")
def restore_shared_store(context):
    older = copy.deepcopy(context.shared)
    for _ in range(3):
        _change_configuration(context)
        assert until(lambda: _is_settled(context))
    context.shared.restore(older)
    _change_configuration(context)


def _deliver(context, record, version):
    key, value = directory.key_of(record.node_id), directory.encode(record)
    stored = StoredObject(key=key, value=value, version=version)
    context.directory.apply([stored])


def _takes_calls(context):
    return "s" in context.directory.view.endpoints_by_service


@given("a directory that knows an instance as draining by its node's second record")
def make_directory_with_draining(context):
    context.directory = Directory(clock=FakeClock())
    context.first = _record(revision=1)
    draining = evolve(context.first.endpoint, state=EndpointState.DRAINING)
    second = evolve(context.first, endpoint=draining, revision=2)
    _deliver(context, second, 7)
    assert not _takes_calls(context)


@when("the store delivers the first record of that node again, and then a third one")
def deliver_first_again(context):
    context.took_calls = []
    for version, record in (
        (9, context.first),
        (10, evolve(context.first, revision=3)),
    ):
        _deliver(context, record, version)
        context.took_calls.append(_takes_calls(context))


@then("the instance gets no calls after the first record and the third one counts")
def check_first_ignored(context):
    assert context.took_calls == [False, True], context.took_calls


def _batch(era, number, key, value):
    stored = StoredObject(key=key, value=value, version=revisions.in_era(era, number))
    return WatchBatch(revision=stored.version, objects=(stored,))


@given("a source that knew a later version and a later record than the store now holds")
def make_source(context):
    record = _record(revision=4)
    values = {
        "config/main": [json.dumps(_configuration(v)).encode() for v in (7, 9, 8)],
        "members/a": [directory.encode(evolve(record, revision=n)) for n in (4, 6, 5)],
    }
    orders = (configuration.order_of, directory.order_of)
    context.rows = []
    for (key, (older, later, next_one)), order in zip(
        values.items(), orders, strict=True
    ):
        source, follower = Replica(order=order), Replica(order=order)
        source.apply(_batch(1, 20, key, later))
        source.apply(_batch(2, 12, key, older))
        context.rows.append((key, source, follower, older, later, next_one))


@when("a node that starts then follows the source and the store")
def follow_source(context):
    context.got = []
    for key, source, follower, older, _, _ in context.rows:
        _, got = _transfer(source, follower)
        got += follower.apply(_batch(2, 13, key, older))
        context.got.append([stored.value for stored in got])


@then("it holds the later version and the later record")
def check_later(context):
    assert context.got == [[later] for _, _, _, _, later, _ in context.rows]


@then("what the store holds next in the same era counts")
def check_next_in_era(context):
    for key, _, follower, _, _, next_one in context.rows:
        got = follower.apply(_batch(2, 14, key, next_one))
        assert [stored.value for stored in got] == [next_one], key


@given(
    "a node's record that was stored and listed, and then lost with the store's return"
)
def lose_listed_record(context):
    context.store = MemoryStore()
    empty = copy.deepcopy(context.store)
    context.directory = Directory(clock=FakeClock())
    context.record = _record(revision=1)
    context.directory.put(context.record)
    context.own = OwnRecord(
        store=context.store,
        backoff=Backoff(random=random.Random(1), min_s=0.1, max_s=1.0),
        listed=lambda: context.directory.own_listed(context.complete_to),
    )
    context.complete_to = 1
    context.own.write(context.record)
    context.directory.apply(context.store.list("members/"))
    assert context.own.is_current(context.record)
    context.store.restore(empty)
    context.store.calls_by_kind.clear()


@when("the record changes before a list of the new era is known")
def change_lost_record(context):
    context.changed = evolve(context.record, state=NodeState.LEAVING, revision=2)
    for _ in range(6):
        if not context.own.is_current(context.changed):
            context.own.write(context.changed)


@then("the store holds the changed record after at most 4 calls")
def check_changed_record(context):
    calls = context.store.calls_by_kind
    stored = context.store.object_by_key.get("members/a")
    assert stored is not None, calls
    assert directory.decode(stored.value) == context.changed
    assert sum(calls.values()) <= 4, calls


@given("a client of the platform's store that has read an object at some revision")
def make_client(context):
    context.stand_in = StoreStandIn()
    context.add_cleanup(context.stand_in.close)
    context.stand_in.put("k", "other", {"n": 0}, by_operator=False)
    context.stand_in.put("k", "a", {"n": 1}, by_operator=False)
    context.client = PlatformStore(address=context.stand_in.address)
    context.old = tpool.execute(lambda: context.client.get("k/a"))
    assert context.old.version == revisions.in_era(1, context.stand_in.revision)


@when("the store comes back older and gives the same number to another write")
def give_number_again(context):
    context.stand_in.restore(context.stand_in.revision - 1)
    context.stand_in.put("k", "a", {"n": 2}, by_operator=False)
    assert context.stand_in.revision == revisions.number_of(context.old.version)


@then("a write on the condition of the old revision is never reported as done")
def check_conditional_writes(context):
    client, old = context.client, context.old
    value = json.dumps({"n": 3}).encode()
    kinds = [
        tpool.execute(
            lambda: client.put("k/a", value, expected_version=old.version)
        ).kind
        for _ in range(2)
    ]
    # The client learns of the return by the answer to the first write.
    assert kinds == [Kind.STORE_OUTCOME_UNKNOWN, Kind.CONFLICT], kinds
    failed = tpool.execute(lambda: client.delete("k/a", expected_version=old.version))
    assert failed.kind is Kind.CONFLICT, failed


@then("a watch from the old revision returns everything with revisions of the new era")
def check_watch(context):
    batch = tpool.execute(
        lambda: context.client.watch(
            "k/", after_revision=context.old.version, timeout_s=0.0
        ),
    )
    assert {stored.key for stored in batch.objects} == {"k/a", "k/other"}
    versions = [stored.version for stored in batch.objects]
    assert {revisions.era_of(v) for v in (*versions, batch.revision)} == {2}


@when('answers name the era 3, none, "x" and a number too large')
def name_eras(context):
    context.answers = []
    for era in (3, None, "x", 10**6):
        context.stand_in.era = era
        context.answers.append(tpool.execute(lambda: context.client.get("k/a")))


@then("the first two are taken for era 3 and the others are failures")
def check_eras(context):
    first, second, *others = context.answers
    assert [revisions.era_of(a.version) for a in (first, second)] == [3, 3]
    assert all(isinstance(answer, Failure) for answer in others), others


def _edit(context, kind, name, text):
    result = context.operations.edit(kind, name, text, operator="Lan", language="vi")
    return succeeded(result).head.version


@when("an operator's second change is lost with the store's return and a third follows")
def lose_accepted_change(context):
    _edit(context, ItemKind.TEMPLATE, "dat-san", TEMPLATE)
    older = copy.deepcopy(context.store)
    _edit(context, ItemKind.CUSTOMER, "hoa-sen", CUSTOMER)
    context.store.restore(older)
    changed = TEMPLATE.replace("2,5", "2,6")
    context.third = _edit(context, ItemKind.TEMPLATE, "dat-san", changed)


@then("the third is accepted as version 3 and the second is still shown")
def check_accepted_change(context):
    assert context.third == 3, context.third
    shown = context.operations.show(ItemKind.CUSTOMER, "hoa-sen", language="vi")
    assert "hoa-sen" in succeeded(shown).text
