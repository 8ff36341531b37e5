import json
import random
import subprocess
import sys
import threading
from pathlib import Path

import urllib3
from behave import given, then, when

from comfreytray.common.clock import SystemClock
from comfreytray.common.errors import Failure, Kind
from comfreytray.configuration.compiler import compile_snapshot
from comfreytray.configuration.content import BLOB_PREFIX, HEAD_KEY, Content, digest_of
from comfreytray.configuration.documents import ItemKind
from comfreytray.configuration.operations import Operations
from comfreytray.store.storeclient import StoreClient
from comfreytray.testing import MAX_VALUE_BYTES

SCRIPT = Path(__file__).parents[2] / "standins" / "object_store.py"
TIMEOUT_S = 30.0
SHORT_TIMEOUT_S = 0.3
TEMPLATE = """modèle: equipe
routes:
  - {nom: releves, chemin: /releves, méthodes: GET, service: chantier}
"""


def kind_of(result):
    return result.kind if isinstance(result, Failure) else None


def set_faults(context, **changes):
    body = json.dumps(changes).encode()
    answer = urllib3.request("PUT", f"{context.url}/faults", body=body)
    assert answer.status == 200, answer.data


def start_client(context, timeout_s):
    client = StoreClient(url=context.url, timeout_s=timeout_s)
    context.add_cleanup(client.close)
    return client


def stop(process):
    process.kill()
    process.wait()
    process.stdout.close()


@given("a stand-in store process and a client")
def start_store(context):
    context.process = subprocess.Popen(
        [sys.executable, str(SCRIPT), "--port=0"], stdout=subprocess.PIPE, text=True
    )
    context.add_cleanup(stop, context.process)
    line = context.process.stdout.readline()
    context.url = line.split()[-1]
    context.client = start_client(context, TIMEOUT_S)


@then("conditional writes and deletes take effect only if their condition holds")
def check_conditions(context):
    client = context.client
    key = "configuration/của tôi?x=1"
    assert kind_of(client.get(key)) is Kind.NOT_FOUND
    assert kind_of(client.put(key, b"x", expected_version=7)) is Kind.CONFLICT
    first = client.put(key, b"one", expected_version=0)
    assert kind_of(client.put(key, b"x", expected_version=0)) is Kind.CONFLICT
    second = client.put(key, b"two", expected_version=first.version)
    assert second.version > first.version
    assert kind_of(client.put(key, b"x", expected_version=first.version)) is (
        Kind.CONFLICT
    )
    assert client.get(key) == second
    large = bytes(MAX_VALUE_BYTES + 1)
    assert kind_of(client.put("large", large, expected_version=None)) is (
        Kind.VALUE_TOO_LARGE
    )
    stale = client.delete(key, expected_version=first.version)
    assert kind_of(stale) is Kind.CONFLICT
    assert client.delete(key, expected_version=second.version) is None
    assert kind_of(client.get(key)) is Kind.NOT_FOUND
    assert kind_of(client.delete(key, expected_version=None)) is Kind.NOT_FOUND


@then("listings and watches return the stored objects")
def check_watches(context):
    client = context.client
    stored = [client.put(f"a/{n}", b"%d" % n, expected_version=0) for n in (2, 1)]
    client.put("b/1", b"", expected_version=0)
    assert client.list("a/") == (stored[1], stored[0])
    first_batch = client.watch(
        "a/", after_revision=stored[0].version, timeout_s=TIMEOUT_S
    )
    assert first_batch.objects == (stored[1],)
    empty_batch = client.watch(
        "a/", after_revision=first_batch.revision, timeout_s=0.05
    )
    assert empty_batch.objects == () and empty_batch.revision == first_batch.revision
    batches = []
    watcher = start_client(context, TIMEOUT_S)
    thread = threading.Thread(
        target=lambda: batches.append(
            watcher.watch(
                "a/", after_revision=first_batch.revision, timeout_s=TIMEOUT_S
            )
        )
    )
    thread.start()
    third = client.put("a/3", b"3", expected_version=0)
    thread.join()
    assert batches[0].objects == (third,)
    set_faults(context, reorder_watches=1)
    fourth = client.put("a/3", b"4", expected_version=third.version)
    late = client.watch("a/3", after_revision=third.version, timeout_s=TIMEOUT_S)
    assert late.objects == (third,), late
    after = client.watch("a/3", after_revision=third.version, timeout_s=TIMEOUT_S)
    assert after.objects == (fourth,)
    set_faults(context, stale_reads=1)
    assert [client.get("a/3"), client.get("a/3")] == [third, fourth]


@then(
    "calls in an outage or without a connection fail as unavailable, changing nothing"
)
def check_outage(context):
    client = context.client
    set_faults(context, outage=True)
    for result in (
        client.get("a"),
        client.list("a"),
        client.put("a", b"", expected_version=0),
        client.delete("a", expected_version=None),
        client.watch("a", after_revision=0, timeout_s=0.0),
    ):
        assert kind_of(result) is Kind.STORE_UNAVAILABLE, result
    set_faults(context, outage=False)
    assert kind_of(client.get("a")) is Kind.NOT_FOUND
    unreachable = StoreClient(url="http://127.0.0.1:1", timeout_s=TIMEOUT_S)
    with unreachable:
        put = unreachable.put("a", b"", expected_version=0)
    assert kind_of(put) is Kind.STORE_UNAVAILABLE


@then("writes whose answer is lost or late fail with an unknown outcome")
def check_lost(context):
    client = context.client
    set_faults(context, lose_answers=2)
    lost_put = client.put("b", b"1", expected_version=0)
    assert kind_of(lost_put) is Kind.STORE_OUTCOME_UNKNOWN
    assert client.get("b").value == b"1"
    lost_delete = client.delete("b", expected_version=None)
    assert kind_of(lost_delete) is Kind.STORE_OUTCOME_UNKNOWN
    assert kind_of(client.get("b")) is Kind.NOT_FOUND
    short_timeout_client = start_client(context, SHORT_TIMEOUT_S)
    set_faults(context, hang=True)
    late = short_timeout_client.put("c", b"1", expected_version=0)
    assert kind_of(late) is Kind.STORE_OUTCOME_UNKNOWN
    assert kind_of(short_timeout_client.get("c")) is Kind.STORE_UNAVAILABLE
    set_faults(context, hang=False)
    context.process.kill()
    context.process.wait()
    assert kind_of(client.get("b")) is Kind.STORE_UNAVAILABLE


@when('a template is submitted while {lost:d} answers about "{prefix}" are lost')
def submit_with_losses(context, lost, prefix):
    set_faults(context, lose_answers=lost, lose_prefix=prefix)
    operations = Operations(
        store=context.client, clock=SystemClock(), random=random.Random(1)
    )
    context.result = operations.edit(
        ItemKind.TEMPLATE, "equipe", TEMPLATE, operator="Anne", language="fr"
    )
    set_faults(context, lose_answers=0)


@then("it is version 1, all its blobs are in the store and its calls were counted")
def check_accepted(context):
    assert not isinstance(context.result, Failure), context.result
    assert context.result.head.version == 1
    content = Content()
    for stored in context.client.list(BLOB_PREFIX):
        digest = bytes.fromhex(stored.key.removeprefix(BLOB_PREFIX))
        assert digest_of(stored.value) == digest
        assert content.put(digest, stored.value) is None
    assert not isinstance(compile_snapshot(context.result.head, content), Failure)
    counts = json.loads(urllib3.request("GET", f"{context.url}/calls").data)
    assert counts["list"] == 1 and counts["put"] >= 6, counts


@when("4 operators submit 6 changes each at the same time")
def submit_concurrently(context):
    author = {"operator": "Anne", "language": "fr"}
    first_result = make_operations(context, 0).edit(
        ItemKind.TEMPLATE, "equipe", TEMPLATE, **author
    )
    assert not isinstance(first_result, Failure), first_result
    context.results = []

    def work(number):
        operations = make_operations(context, number)
        for turn in range(6):
            text = f"client: c{number}\nmodèle: equipe\nhôtes: c{number}-{turn}.example"
            context.results.append(
                operations.edit(ItemKind.CUSTOMER, f"c{number}", text, **author)
            )

    threads = [threading.Thread(target=work, args=(one,)) for one in range(1, 5)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def make_operations(context, seed):
    return Operations(
        store=start_client(context, TIMEOUT_S),
        clock=SystemClock(),
        random=random.Random(seed),
    )


@then("versions 1 to 25 are accepted and each operator's last text is current")
def check_race(context):
    failures = [one for one in context.results if isinstance(one, Failure)]
    assert not failures, failures
    versions = sorted(one.head.version for one in context.results)
    assert versions == list(range(2, 26)), versions
    operations = make_operations(context, 9)
    for number in range(1, 5):
        view = operations.show(ItemKind.CUSTOMER, f"c{number}")
        assert f"c{number}-5.example" in view.text, view


@then("the change fails as store unavailable and the store has no head")
def check_refused(context):
    assert kind_of(context.result) is Kind.STORE_UNAVAILABLE, context.result
    assert kind_of(context.client.get(HEAD_KEY)) is Kind.NOT_FOUND
