import random
from collections import deque

from behave import given, then, when
from configuration_faults_steps import (
    TEST_LOOKBACK_VERSIONS,
    FaultyStore,
    make_customer,
    make_template,
    stored_content,
    stored_texts,
    text_of,
)

from comfreytray.common import messages
from comfreytray.common.errors import Failure, Kind
from comfreytray.configuration import acceptance
from comfreytray.configuration.acceptance import Acceptance, VersionChange
from comfreytray.configuration.compiler import compile_snapshot
from comfreytray.configuration.content import (
    HEAD_KEY,
    MAX_BODY_BYTES,
    Content,
    decode_head,
)
from comfreytray.configuration.documents import (
    ItemKind,
)
from comfreytray.configuration.operations import ItemText, Operations
from comfreytray.configuration.versions import Versions
from comfreytray.testing import FakeClock


@given("a store with one accepted version")
def accept_first_version(context):
    context.store = FaultyStore()
    context.first, context.second, context.third = (
        Operations(store=context.store, clock=FakeClock(), random=random.Random(n))
        for n in range(3)
    )
    items = [
        ItemText(
            kind=ItemKind.TEMPLATE, name="t", text=text_of(make_template("t", 1), "fr")
        ),
        *(
            ItemText(
                kind=ItemKind.CUSTOMER,
                name=name,
                text=text_of(make_customer(name, "t", 1), "fr"),
            )
            for name in ("a", "b", "c")
        ),
    ]
    result = context.first.edit_many(items, operator="Anne", language="fr")
    assert not isinstance(result, Failure), result


def edit(operations, name, number, operator="Anne", language="fr", **options):
    return operations.edit(
        ItemKind.CUSTOMER,
        name,
        text_of(make_customer(name, "t", number), language),
        operator=operator,
        language=language,
        **options,
    )


@when("a head update's answer is lost and two others make changes before it is read")
def lose_head_answer(context):
    calls = context.store.calls_by_kind
    before = dict(calls)
    edit(context.first, "c", 2)
    writes = calls["put"] - before["put"]
    others = [
        lambda: edit(context.third, "c", 9, operator="Sam", language="en"),
        lambda: edit(context.second, "b", 9, operator="Lan", language="vi"),
    ]
    context.outcomes = []

    def interrupt():
        script, context.store.script = context.store.script, deque()
        context.outcomes.extend(other() for other in others)
        context.store.script = script

    context.store.on_interrupt = interrupt
    context.store.script = deque(["ok"] * writes + ["lost", "interrupt"])
    context.outcomes.append(edit(context.first, "a", 9))


@then("the three changes are accepted once each, as versions 3, 4 and 5")
def check_order(context):
    assert [one.head.version for one in context.outcomes] == [4, 5, 3], context.outcomes
    history = context.second.history(10)
    assert [one.version for one in history] == [5, 4, 3, 2, 1]
    assert [one.changed_keys for one in history[:3]] == [
        ("customer/b",),
        ("customer/c",),
        ("customer/a",),
    ]


@when("two operators edit the same customer in French and in Vietnamese")
def edit_concurrently(context):
    base = context.second.show(ItemKind.CUSTOMER, "a").digest
    context.submitted_text = text_of(make_customer("a", "t", 8), "vi")
    first_edit = edit(context.first, "a", 9, base=base)
    assert not isinstance(first_edit, Failure)
    context.conflict = context.second.edit(
        ItemKind.CUSTOMER,
        "a",
        context.submitted_text,
        operator="Lan",
        language="vi",
        base=base,
    )


@then("the second operator gets a conflict in Vietnamese with the submitted text")
def check_conflict_message(context):
    assert context.conflict.kind is Kind.CONFLICT
    assert context.conflict.fields["text"] == context.submitted_text
    message = messages.text(context.conflict, language="vi")
    assert message.startswith("Anne đã thay đổi khách hàng “a”"), message
    assert "phiên bản 2" in message
    head = context.first.head()
    assert head.version == 2


@then("an edit takes 1 read and 5 writes, and a body over a megabyte is split")
def check_calls(context):
    before = dict(context.store.calls_by_kind)
    edit(context.first, "a", 5)
    after = context.store.calls_by_kind
    assert {kind: after[kind] - before[kind] for kind in after} == {"get": 1, "put": 5}
    content = Content()
    reader = Versions(store=context.store, content=content)
    acceptor = Acceptance(
        store=context.store,
        clock=FakeClock(),
        random=random.Random(1),
        content=content,
        versions=reader,
    )
    body = random.Random(1).randbytes(2 * MAX_BODY_BYTES + 1)
    for summary in ("first", "again"):
        accepted = acceptor.accept(
            lambda head, items, summary=summary: VersionChange(
                body_by_key={"large": body}, summary=summary
            ),
            operator="Sam",
            language="en",
            change_id=summary,
        )
        assert not isinstance(accepted, Failure), accepted
    assert reader.items(accepted.head)["large"] == body
    assert len(accepted.new_blobs) == 1, "unchanged blobs are not stored again"


@when("another item is edited just before a roll-back updates the head")
def edit_during_roll_back(context):
    assert not isinstance(edit(context.first, "a", 9), Failure)
    context.store.on_interrupt = lambda: edit(context.second, "b", 9)
    context.store.interrupt_at = ("put", HEAD_KEY)
    context.result = context.first.roll_back(1, operator="Anne", language="fr")


@then("the roll-back fails as a conflict and the edit is the newest version")
def check_roll_back_conflict(context):
    assert context.result.kind is Kind.CONFLICT
    assert [one.changed_keys[0] for one in context.first.history(2)] == [
        "customer/b",
        "customer/a",
    ]


@given("24 more versions")
def add_versions(context):
    for number in range(8):
        for name in ("a", "b", "c"):
            assert not isinstance(edit(context.first, name, number + 2), Failure)


@when('{first} is interrupted before a "{call}" of "{key}" by {second}')
def interrupt_with(context, first, call, key, second):
    acceptance.REPEAT_LOOKBACK_VERSIONS = TEST_LOOKBACK_VERSIONS
    keep = TEST_LOOKBACK_VERSIONS + 1
    author = {"operator": "Lan", "language": "vi"}
    action_by_name = {
        "a garbage collection": lambda: context.second.collect_garbage(
            keep_versions=keep
        ),
        "a roll-back": lambda: context.third.roll_back(2, **author),
    }
    results = {}

    def interrupt():
        results[second] = action_by_name[second]()

    context.store.on_interrupt = interrupt
    context.store.interrupt_at = (call, key)
    results[first] = action_by_name[first]()
    acceptance.REPEAT_LOOKBACK_VERSIONS = 64
    assert not any(isinstance(each, Failure) for each in results.values()), results
    assert results["a garbage collection"].deleted > 0
    context.result = results["a roll-back"]


@then("the roll-back is the newest version and all its blobs are in the store")
def check_roll_back_complete(context):
    head = decode_head(context.store.object_by_key[HEAD_KEY].value)
    assert head == context.result.head
    content = stored_content(context.store)
    items = content.items(head)
    assert not isinstance(items, Failure), items
    assert stored_texts(content, items).keys() == items.keys()


@then(
    "a template with a new required parameter is refused, naming a customer without it"
)
def check_template_refused(context):
    text = text_of(make_template("t", 5, needs_more=True), "fr")
    result = context.first.edit(
        ItemKind.TEMPLATE, "t", text, operator="Anne", language="fr"
    )
    assert result.kind is Kind.INVALID_CONTENT
    assert "« a » le paramètre « more »" in messages.text(result, language="fr")


@when("60 changes are accepted while 8 versions are kept")
def fill_history(context):
    acceptance.REPEAT_LOOKBACK_VERSIONS = TEST_LOOKBACK_VERSIONS
    context.add_cleanup(setattr, acceptance, "REPEAT_LOOKBACK_VERSIONS", 64)
    context.operations = Operations(
        store=context.store, clock=FakeClock(), random=random.Random(5), keep_versions=8
    )
    for number in range(60):
        result = edit(context.operations, "abc"[number % 3], 2 + number)
        assert not isinstance(result, Failure), result


@then("at most 12 versions and their blobs remain and the newest is complete")
def check_bounded(context):
    reader = Operations(store=context.store, clock=FakeClock(), random=random.Random(6))
    history = reader.history(100)
    assert 8 <= len(history) <= 12, len(history)
    content = stored_content(context.store)
    assert len(content.blob_by_digest) < 12 * 4 + 20, len(content.blob_by_digest)
    head = context.operations.head()
    assert head.version == 61
    assert not isinstance(compile_snapshot(head, content), Failure)


@then("requests with an invalid operator, language or change id change nothing")
def check_names(context):
    before = dict(context.store.object_by_key)
    kinds = [
        edit(context.first, "a", 9, **changes).kind
        for changes in (
            {"operator": "  "},
            {"language": "fr", "operator": "A\nB"},
            {"change_id": "x" * 101},
        )
    ]
    text = text_of(make_customer("a", "t", 9), "en")
    author = {"operator": "Sam", "language": "xx"}
    kinds.append(context.first.edit(ItemKind.CUSTOMER, "a", text, **author).kind)
    kinds.append(context.first.show(ItemKind.CUSTOMER, "a", language="xx").kind)
    assert kinds == [Kind.OPERATOR_MISSING, *[Kind.BAD_REQUEST] * 4], kinds
    assert context.store.object_by_key == before
