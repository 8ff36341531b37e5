import contextlib
import json
import socket

import msgpack
from behave import given, then, when
from eventlet import tpool
from samples import endpoint, node_record

from comfreytray.administration.api import parse_json
from comfreytray.calls import holdrecords
from comfreytray.commands import client as admin_client
from comfreytray.common.errors import Failure
from comfreytray.common.interfaces import StoredObject, WatchBatch
from comfreytray.configuration.snapshots import Snapshot
from comfreytray.membership import directory
from comfreytray.membership.announcements import parse_announcement
from comfreytray.membership.directory import Directory
from comfreytray.membership.seeds import decode_seeds
from comfreytray.platform import instances
from comfreytray.platform.configuration import Decoder, order_of
from comfreytray.platform.objectstore import PlatformStore
from comfreytray.replication import frames
from comfreytray.replication.replica import Progress, Replica
from comfreytray.testing import FakeClock
from standins.scripted import Upstream, answer

DEEP = "[" * 100_000 + "]" * 100_000
DIGITS = "9" * 5000
ODD_VALUES = (
    "null",
    "true",
    "-1",
    "0",
    "70000",
    str(2**40),
    str(2**70),
    "1e999",
    "-1e999",
    "NaN",
    DIGITS,
    '"\\u0000"',
    '"\\ud800"',
    '"name.example"',
    '"' + "x" * 3000 + '"',
    "[]",
    "{}",
    "[" * 900 + "]" * 900,
    "[" * 2000 + "]" * 2000,
    DEEP,
    '{"a":' * 3000 + "1" + "}" * 3000,
)
"""JSON texts that no field expects, or that few fields do."""


def _record(node_id):
    return node_record(
        node_id,
        incarnation=7,
        control_port=1,
        call_port=2,
        endpoint=endpoint(slots=4, connections=8),
    )


GOOD = directory.encode(_record("good"), capacity=100).decode()


def _item(name, spec, revision="5"):
    return (
        f'{{"metadata":{{"name":{name},"revision":{revision},"created_rev":1}},'
        f'"spec":{spec},"status":{{}}}}'
    )


def _odd_items():
    yield from (_item('"odd"', value) for value in ODD_VALUES)
    yield from (_item(value, "{}") for value in ODD_VALUES)
    yield from (_item('"odd"', f'{{"host":{value}}}') for value in ODD_VALUES)
    yield from (_item('"odd"', "{}", value) for value in ODD_VALUES)
    yield from ODD_VALUES
    yield '{"metadata":{}}'


@given("a store that answers a {call} with a good member and an odd entry of each kind")
def make_odd_store(context, call):
    context.call = call
    good = _item('"good"', GOOD)
    texts = []
    for odd in _odd_items():
        if call == "list":
            items = f"[{odd},{good}]"
            texts.append(f'{{"items":{items},"more":false,"store_revision":9}}')
        else:
            events = ",".join(
                f'{{"removed":false,"object":{item}}}' for item in (odd, good)
            )
            texts.append(f'{{"events":[{events}],"store_revision":9}}')
    context.texts = texts
    answers = iter(texts)
    upstream = Upstream(lambda head, body: answer(200, next(answers).encode()))
    context.add_cleanup(upstream.close)
    context.address = ("127.0.0.1", upstream.port)


@when("the client makes that call")
def make_calls(context):
    def call():
        with PlatformStore(address=context.address) as store:
            if context.call == "list":
                return [store.list("members/") for _ in context.texts]
            return [
                store.watch("members/", after_revision=3, timeout_s=0.0)
                for _ in context.texts
            ]

    context.results = tpool.execute(call)


@then("it returns the good member each time and raises nothing")
def check_results(context):
    assert len(context.results) == len(context.texts)
    for text, result in zip(context.texts, context.results, strict=True):
        assert not isinstance(result, Failure), (result, text[:200])
        objects = result.objects if isinstance(result, WatchBatch) else result
        names = [stored.key for stored in objects]
        assert "members/good" in names, (names, text[:200])


def _odd_documents(plain):
    """Yield the JSON texts of a document with one odd value in place of each field."""
    marker = "@@odd@@"
    for path in _paths(plain):
        harmed = json.loads(json.dumps(plain))
        *parents, last = path
        target = harmed
        for name in parents:
            target = target[name]
        target[last] = marker
        text = json.dumps(harmed)
        for value in ODD_VALUES:
            yield text.replace(f'"{marker}"', value)


def _paths(plain, prefix=()):
    items = plain.items() if isinstance(plain, dict) else enumerate(plain)
    for name, value in items:
        yield (*prefix, name)
        if isinstance(value, dict | list):
            yield from _paths(value, (*prefix, name))


@given("a directory with a good member")
def make_directory(context):
    context.directory = Directory(clock=FakeClock())
    context.directory.put(_record("own"))
    context.directory.apply(
        [StoredObject(key="members/good", value=GOOD.encode(), version=1)]
    )


@when("the record of another member comes with each field odd in each way")
def apply_odd(context):
    plain = json.loads(GOOD)
    plain["node_id"] = "other"
    plain["departure"] = {"instance_id": "i", "before_ms": 5}
    context.taken = []
    for version, text in enumerate(_odd_documents(plain), 2):
        stored = StoredObject(key="members/other", value=text.encode(), version=version)
        context.directory.apply([stored])
        found = context.directory.view.by_id.get("other")
        if found is not None:
            context.taken.append((text, found))


@then("each of them is refused or can be used, packed and connected to")
def check_usable(context):
    assert context.taken
    for text, found in context.taken:
        msgpack.packb(
            [found.incarnation, found.revision, found.node_id, found.region],
        )
        if found.endpoint is not None:
            msgpack.packb([found.endpoint.slots, found.endpoint.instance_id])
            assert found.endpoint.slots < 2**31, text[:200]
        for address in (found.call_address, found.control_address):
            with socket.socket() as sock:
                sock.setblocking(False)
                with contextlib.suppress(OSError):
                    sock.connect(address)
            socket.inet_pton(socket.AF_INET, address[0])


@then("the good member is still there")
def check_good(context):
    assert "good" in context.directory.view.by_id
    assert context.directory.capacity_by_id["good"] == 100


@given("a replica that holds odd entries of each kind beside a good member")
def make_replica(context):
    make_odd_store(context, "list")
    make_calls(context)
    context.replica = Replica(order=directory.order_of)
    for number, result in enumerate(context.results):
        assert not isinstance(result, Failure), result
        context.replica.apply(WatchBatch(revision=number + 1, objects=result))


@when("it packs its objects for a follower")
def pack_objects(context):
    held = Progress(complete_to=0, newest=0)
    objects = frames.Objects(
        feed=0, complete_to=9, changes=context.replica.changes_after(held)
    )
    context.decoded = frames.Decoder().feed(frames.pack_objects(objects))


@then("the follower gets the good member")
def check_follower(context):
    assert not isinstance(context.decoded, Failure), context.decoded
    (objects,) = context.decoded
    assert "members/good" in {change.key for change in objects.changes}


@given("the heartbeat of an instance with each field odd in each way")
def make_heartbeats(context):
    plain = {
        "service": "s",
        "address": "127.0.0.1:80",
        "zone": "z",
        "version": "v1",
        "slots": 4,
        "state": "ready",
        "cold_remaining_s": 0,
        "sequence": 3,
        "born": 1,
    }
    context.documents = list(_odd_documents(plain))

    def decode(text):
        instances.decode_departure(text.encode())
        return instances.decode_heartbeat(
            "i", text.encode(), service="s", upstream=("127.0.0.1", 80)
        )

    context.decode = decode


@given("a configuration with each of its fields odd in each way")
def make_configurations(context):
    route = {
        "hostname": "h",
        "path_prefix": "/",
        "type": "safe",
        "timeout_s": 1.0,
        "target_latency_s": 0.5,
        "priority": 1,
        "max_attempts": 2,
        "service": "s",
        "traffic_split": [{"service": "s", "weight": 1}],
    }
    service = {"health_path": "/health", "max_connections": 64}
    plain = {
        "version": 3,
        "resources": [
            {"resource_kind": "routes", "metadata": {"name": "r"}, "spec": route},
            {"resource_kind": "services", "metadata": {"name": "s"}, "spec": service},
        ],
    }
    context.documents = list(_odd_documents(plain))

    def decode(text):
        order_of(text.encode())
        return Decoder()(text.encode())

    context.decode = decode


@when("they are decoded")
def decode_all(context):
    context.decoded = [(text, context.decode(text)) for text in context.documents]


@then("each of them is refused or has numbers that can be packed")
def check_heartbeats(context):
    taken = [(t, heartbeat) for t, heartbeat in context.decoded if heartbeat]
    assert taken
    for text, heartbeat in taken:
        endpoint = heartbeat.upstream.endpoint
        numbers = [endpoint.slots, heartbeat.sequence, heartbeat.started_ms]
        assert all(0 <= number < 2**53 for number in numbers), text[:200]
        assert endpoint.slots < 2**31, text[:200]


@then("each is refused with a reason or can be put in force")
def check_configurations(context):
    assert any(isinstance(decoded, Failure) for _, decoded in context.decoded)
    for text, decoded in context.decoded:
        if isinstance(decoded, Failure):
            assert decoded.detail
            continue
        assert isinstance(decoded, Snapshot), text[:200]
        assert decoded.head.version < 2**63, text[:200]
        for routes in decoded.routes_by_customer.values():
            for route in routes:
                assert 0.0 < route.timeout_s < float("inf"), text[:300]


@given("documents that are nested 100000 deep, or have numbers of 5000 digits")
def make_documents(context):
    context.documents = [
        text.replace("@", value)
        for value in (DEEP, DIGITS)
        for text in ("@", '{"seeds":[@]}', '{"port":@}', '{"until_ms":@}', '["@"]')
    ]


@when("they come as seeds, announcements, requests of operators and answers to them")
def decode_elsewhere(context):
    context.results = [
        (decode.__name__, result, ok)
        for text in context.documents
        for decode, ok in (
            (decode_seeds, lambda got: got == ()),
            (
                lambda data: parse_announcement(data, "127.0.0.1"),
                lambda got: isinstance(got, Failure),
            ),
            (holdrecords.decode, lambda got: got is None),
            (parse_json, lambda got: True),
            (admin_client._parse, lambda got: True),
        )
        for result in (decode(text.encode()),)
    ]


@then("each is refused and nothing is raised")
def check_refused(context):
    for name, result, ok in context.results:
        assert ok(result), (name, result)
