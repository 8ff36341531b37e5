import itertools
import os
import random
import time
from collections import deque

import hypothesis
from attrs import define, field, frozen
from behave import then
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from comfreytray.common.errors import Failure, Kind
from comfreytray.configuration import acceptance
from comfreytray.configuration.compiler import compile_snapshot
from comfreytray.configuration.content import (
    BLOB_PREFIX,
    HEAD_KEY,
    Content,
    decode_head,
    digest_of,
)
from comfreytray.configuration.documents import (
    Argument,
    Customer,
    ItemKind,
    Parameter,
    ParameterType,
    RouteTemplate,
    Setting,
    Source,
    Template,
    decode_document,
    item_key,
)
from comfreytray.configuration.languages import vocabulary
from comfreytray.configuration.operations import ItemText, Operations
from comfreytray.configuration.rendering import render
from comfreytray.testing import FakeClock, MemoryStore

SOAK_SECONDS = float(os.environ.get("COMFREYTRAY_SOAK_SECONDS", "0"))
SOAK_SEED = int(os.environ.get("COMFREYTRAY_SOAK_SEED", "1"))
EXAMPLES = 60
STEPS = 40
TEST_LOOKBACK_VERSIONS = 3
"""Small, so that short runs reach the end of the lookback."""
COLLECTION_OK_CALLS = 14
"""Store calls without a fault at the start of a collection, so that it gets far."""
OPERATORS = (("Lan", "vi"), ("Anne", "fr"), ("Sam", "en"))
# Faults of one store call. A call that is "down" or "unsent" does nothing, a "lost" one
# loses its answer, a "late" one takes effect at the next "flush" or after the action,
# a "stale" one reads the previous value. "interrupt" runs another operator's action.
FAULTS = (
    *("ok", "ok", "down", "lost", "lost", "unsent", "late", "flush", "stale"),
    *("crash-before", "crash-after", "interrupt", "interrupt"),
)
NO_SOURCE = Source(language="", parts=())
# Kinds of failure after which a change must not have been accepted.
REFUSALS = {
    Kind.CONFLICT,
    Kind.INVALID_CONTENT,
    Kind.NOTHING_CHANGED,
    Kind.NOT_FOUND,
    Kind.STORE_UNAVAILABLE,
    Kind.OVERLOADED,
    Kind.INCOMPLETE_VERSION,
}


class CrashError(Exception):
    """The operator's process crashed during a store call."""


@define(kw_only=True)
class FaultyStore(MemoryStore):
    """Apply a script of faults, one for each call; report each update of the head."""

    script: deque = field(factory=deque)
    delayed_writes: list = field(factory=list)
    """Writes of unknown outcome that have not taken effect yet."""
    on_interrupt: object = None
    interrupt_at: tuple | None = None
    """Method and key prefix of the write before which `on_interrupt` is called once."""
    on_head_update: object = None
    """Called with each head that is stored, before the writer gets its answer."""

    def _interrupt_before(self, call, key):
        if self.interrupt_at is None or self.interrupt_at[0] != call:
            return
        if key.startswith(self.interrupt_at[1]):
            self.interrupt_at = None
            self.on_interrupt()

    def _next_fault(self):
        fault = self.script.popleft() if self.script else "ok"
        if fault == "interrupt" and self.on_interrupt is not None:
            self.on_interrupt()
        if fault == "flush":
            self.apply_delayed_writes()
        if fault == "crash-before":
            raise CrashError
        return fault

    def _read_with_fault(self, call):
        fault = self._next_fault()
        if fault in ("down", "lost", "unsent", "late"):
            return Failure(kind=Kind.STORE_UNAVAILABLE)
        self.stale_reads = 1 if fault == "stale" else 0
        answer = call()
        self.stale_reads = 0
        if fault == "crash-after":
            raise CrashError
        return answer

    def _write_with_fault(self, call):
        fault = self._next_fault()
        if fault == "down":
            return Failure(kind=Kind.STORE_UNAVAILABLE)
        unknown = Failure(kind=Kind.STORE_OUTCOME_UNKNOWN)
        if fault == "unsent":
            return unknown
        if fault == "late":
            self.delayed_writes.append(call)
            return unknown
        answer = call()
        if fault == "crash-after":
            raise CrashError
        return unknown if fault == "lost" else answer

    def apply_delayed_writes(self):
        delayed_writes, self.delayed_writes = self.delayed_writes, []
        for call in delayed_writes:
            call()

    def get(self, key):
        return self._read_with_fault(lambda: MemoryStore.get(self, key))

    def list(self, prefix):
        return self._read_with_fault(lambda: MemoryStore.list(self, prefix))

    def put(self, key, value, *, expected_version):
        self._interrupt_before("put", key)
        return self._write_with_fault(
            lambda: MemoryStore.put(self, key, value, expected_version=expected_version)
        )

    def delete(self, key, *, expected_version):
        self._interrupt_before("delete", key)
        return self._write_with_fault(
            lambda: MemoryStore.delete(self, key, expected_version=expected_version)
        )

    def _write_result(self, stored):
        if stored.key == HEAD_KEY and self.on_head_update is not None:
            self.on_head_update(decode_head(stored.value))
        return stored


@frozen(kw_only=True)
class Attempt:
    """The change that one operator requested under one change id."""

    operator: str
    items: tuple = ()
    roll_back: int | None = None


@frozen(kw_only=True)
class AcceptedVersion:
    """An accepted version, as the store had it when its head was updated."""

    head: object
    record: object
    text_by_key: dict
    digest_by_key: dict


def stored_content(store):
    """Read all blobs of the store without a store call."""
    content = Content()
    for key, stored in store.object_by_key.items():
        if key.startswith(BLOB_PREFIX):
            content.put(bytes.fromhex(key.removeprefix(BLOB_PREFIX)), stored.value)
    return content


def stored_texts(content, items):
    """Read the operators' texts that the items refer to."""
    texts = {}
    for key, body in items.items():
        parts = decode_document(body).source.parts
        assert all(part in content.blob_by_digest for part in parts), (
            "all parts of the text are stored"
        )
        texts[key] = b"".join(content.get(part) for part in parts).decode()
    return texts


def make_template(name, number, *, needs_more=False):
    more = Parameter(name="more", type=ParameterType.TEXT)
    limit = Parameter(name="limit", type=ParameterType.DURATION, default=1.0)
    route = RouteTemplate(
        name="r",
        path=f"/{name}/{number}",
        methods=("GET",),
        service="chantier",
        timeout_s=Setting(parameter="limit"),
    )
    return Template(
        name=name,
        description="",
        parameters=(limit, more) if needs_more else (limit,),
        routes=(route,),
        source=NO_SOURCE,
    )


def make_customer(name, template, number):
    limit = Argument(name="limit", type=ParameterType.DURATION, value=number + 1.5)
    return Customer(
        name=name,
        template=template,
        hosts=(f"{name}.example",),
        arguments=(limit,),
        source=NO_SOURCE,
    )


def text_of(document, language):
    return render(document, vocabulary(language))


class ConcurrentOperators(RuleBasedStateMachine):
    """Several operators on one store with faults.

    The versions that the store accepted are recorded from its head updates; results
    and later reads are checked against them.
    """

    def __init__(self):
        super().__init__()
        acceptance.REPEAT_LOOKBACK_VERSIONS = TEST_LOOKBACK_VERSIONS
        self.store = FaultyStore(
            on_head_update=self.check_head, on_interrupt=self.interrupt
        )
        self.counter = itertools.count(1)
        self.operations = [self.make_operations(n) for n in range(len(OPERATORS))]
        self.accepted_versions = []
        self.attempt_by_id = {}
        self.version_by_id = {}
        self.refused_ids = set()
        self.unresolved = []
        self.pending_interrupts = []
        self.base_by_key = {}
        self.submit(0, [("template", "t0", "t0"), ("template", "t1", "t1")], None)

    def teardown(self):
        self.store.script.clear()
        self.store.apply_delayed_writes()
        self.check()
        acceptance.REPEAT_LOOKBACK_VERSIONS = 64

    def make_operations(self, number):
        """Start an operator's process, without state of an earlier one."""
        return Operations(
            store=self.store,
            clock=FakeClock(),
            random=random.Random(next(self.counter)),
        )

    def check_head(self, head):
        """Check a new version as soon as its head is stored."""
        if self.accepted_versions and head == self.accepted_versions[-1].head:
            return
        content = stored_content(self.store)
        items = content.items(head)
        assert not isinstance(items, Failure), "an accepted version is complete"
        snapshot = compile_snapshot(head, content)
        assert not isinstance(snapshot, Failure), "an accepted version compiles"
        record = content.record(head)
        previous = self.accepted_versions[-1] if self.accepted_versions else None
        assert head.version == (previous.head.version if previous else 0) + 1
        assert record.parent == (previous.head.digest if previous else b"")
        assert record.change_id not in self.version_by_id, "a change is accepted once"
        self.version_by_id[record.change_id] = head.version
        newest = AcceptedVersion(
            head=head,
            record=record,
            text_by_key=stored_texts(content, items),
            digest_by_key={key: digest_of(one).hex() for key, one in items.items()},
        )
        self.check_content(previous, newest)
        self.accepted_versions.append(newest)

    def check_content(self, previous, newest):
        """Check that a version differs from the one before by exactly its change."""
        attempt = self.attempt_by_id[newest.record.change_id]
        expected = dict(previous.text_by_key) if previous else {}
        before = previous.digest_by_key if previous else {}
        if attempt.roll_back is not None:
            expected = self.accepted_versions[attempt.roll_back - 1].text_by_key
        for item in attempt.items:
            key = item_key(item.kind, item.name)
            assert item.base is None or before.get(key, "") == item.base
            if item.text is None:
                expected.pop(key)
            else:
                expected[key] = item.text
        assert newest.text_by_key == expected, "no accepted change is lost"

    def interrupt(self):
        """Run a pending action of another operator, without faults."""
        if self.pending_interrupts:
            action = self.pending_interrupts.pop()
            script, self.store.script = self.store.script, deque()
            self.perform(*action)
            self.store.script = script

    def submit(self, number, chosen, base):
        """Submit texts or removals of the chosen items as one change."""
        operator, language = OPERATORS[number]
        items = []
        for kind, name, template in chosen:
            unique_number = next(self.counter)
            kind = ItemKind(kind)
            key = item_key(kind, name)
            document = (
                make_template(name, unique_number, needs_more=template == "more")
                if kind is ItemKind.TEMPLATE
                else make_customer(name, template, unique_number % 200)
            )
            text = None if template == "gone" else text_of(document, language)
            digest = self.base_by_key.get((number, key)) if base else None
            items.append(ItemText(kind=kind, name=name, text=text, base=digest))
        change_id = f"c{next(self.counter)}"
        self.attempt_by_id[change_id] = Attempt(operator=operator, items=tuple(items))
        self.run(number, change_id)

    def run(self, number, change_id):
        attempt = self.attempt_by_id[change_id]
        operator, language = OPERATORS[number]
        options = {"operator": operator, "language": language, "change_id": change_id}
        operations = self.operations[number]
        # Changes with an odd number leave it to the acceptance to generate their id.
        if int(change_id[1:]) % 2:
            options["change_id"] = None
            operations._acceptance.new_change_id = lambda: change_id
        try:
            if attempt.roll_back is not None:
                result = operations.roll_back(attempt.roll_back, **options)
            else:
                result = operations.edit_many(attempt.items, **options)
        except CrashError:
            self.operations[number] = self.make_operations(number)
            self.unresolved.append((number, change_id))
            return
        self.check_result(number, change_id, attempt, result)

    def check_result(self, number, change_id, attempt, result):
        """Check a result against the accepted versions; note what must not appear."""
        if not isinstance(result, Failure):
            assert self.version_by_id[change_id] == result.head.version
            return
        if result.kind is Kind.STORE_OUTCOME_UNKNOWN:
            self.unresolved.append((number, change_id))
            return
        assert result.kind in REFUSALS, result
        repeated = any(
            unresolved_id == change_id for _, unresolved_id in self.unresolved
        )
        if not repeated:
            self.refused_ids.add(change_id)
        if result.kind is Kind.CONFLICT and attempt.items:
            self.check_conflict(attempt, result)

    def check_conflict(self, attempt, result):
        """Check that a conflict returns the text and the version that caused it."""
        fields = result.fields
        assert fields["text"] in {item.text or "" for item in attempt.items}
        if "version" in fields:
            record = self.accepted_versions[int(fields["version"]) - 1].record
            assert fields["key"] in record.changed_keys
            assert fields["operator"] == record.operator

    items = st.sampled_from(
        [
            ("template", "t0", "t0"),
            ("template", "t1", "t1"),
            ("customer", "c0", "t0"),
            ("customer", "c0", "t1"),
            ("customer", "c1", "t0"),
            ("customer", "c1", "t1"),
            ("customer", "c2", "t0"),
            ("customer", "c2", "t1"),
            ("customer", "c2", "gone"),
            ("template", "t1", "gone"),
            ("template", "t1", "more"),
        ]
    )
    item_lists = st.lists(items, min_size=1, max_size=3, unique_by=lambda one: one[:2])
    scripts = st.builds(
        lambda ok_calls, runs: (
            ["ok"] * ok_calls + [one for one, n in runs for _ in range(n)]
        ),
        st.integers(0, 9),
        st.lists(st.tuples(st.sampled_from(FAULTS), st.integers(1, 4)), max_size=5),
    )
    operator_numbers = st.integers(0, len(OPERATORS) - 1)
    actions = st.tuples(
        st.sampled_from(["edit"] * 5 + ["read", "roll-back", "roll-back", "collect"]),
        operator_numbers,
        item_lists,
        st.booleans(),
        st.integers(1, 6),
    )

    @rule(
        action=actions,
        script=scripts,
        others=st.lists(actions, max_size=3),
        repeat_last=st.booleans(),
    )
    def run_action(self, action, script, others, repeat_last):
        """Run one action under faults; as a single rule, it mixes all kinds."""
        ok_calls = ["ok"] * COLLECTION_OK_CALLS if action[0] == "collect" else []
        self.store.script, self.pending_interrupts = (
            deque(ok_calls + script),
            list(others),
        )
        self.perform(*action)
        self.store.script, self.pending_interrupts = deque(script), []
        if repeat_last:
            self.repeat()
        else:
            self.store.apply_delayed_writes()

    def perform(self, action, number, chosen, base, versions_back):
        if action == "edit":
            self.submit(number, chosen, base)
        elif action == "read":
            self.read_digests(number, chosen)
        elif action == "roll-back":
            self.roll_back(number, versions_back)
        else:
            self.collect(number)

    def roll_back(self, number, versions_back):
        version = max(1, len(self.accepted_versions) - versions_back)
        if version == len(self.accepted_versions):
            return
        change_id = f"c{next(self.counter)}"
        self.attempt_by_id[change_id] = Attempt(
            operator=OPERATORS[number][0], roll_back=version
        )
        self.run(number, change_id)

    def repeat(self):
        """Repeat the last change of unknown outcome that has a change id of its own."""
        repeatable = [one for one in self.unresolved if int(one[1][1:]) % 2 == 0]
        if not repeatable:
            return
        number, change_id = repeatable[-1]
        version = self.version_by_id.get(change_id, len(self.accepted_versions))
        if len(self.accepted_versions) - version < TEST_LOOKBACK_VERSIONS:
            self.run(number, change_id)

    def read_digests(self, number, chosen):
        """Read the current digests of items as the bases of later edits."""
        self.store.script.clear()
        if not self.accepted_versions:
            return
        for kind, name, _ in chosen:
            key = item_key(ItemKind(kind), name)
            view = self.operations[number].show(ItemKind(kind), name)
            digest = "" if isinstance(view, Failure) else view.digest
            assert digest == self.accepted_versions[-1].digest_by_key.get(key, "")
            self.base_by_key[(number, key)] = digest

    def collect(self, number):
        try:
            self.operations[number].collect_garbage(
                keep_versions=TEST_LOOKBACK_VERSIONS + 1
            )
        except CrashError:
            self.operations[number] = self.make_operations(number)

    @invariant()
    def check(self):
        if not self.accepted_versions:
            return
        content = stored_content(self.store)
        head = decode_head(self.store.object_by_key[HEAD_KEY].value)
        assert head == self.accepted_versions[-1].head, (
            "the head never goes back to an older version"
        )
        items = content.items(head)
        assert not isinstance(items, Failure), "an accepted version stays complete"
        assert stored_texts(content, items) == self.accepted_versions[-1].text_by_key
        shown = self.refused_ids & set(self.version_by_id)
        assert not shown, f"refused changes were accepted: {shown}"


@then("random concurrent operations under store faults keep all invariants")
def run_machine(context):
    started_at = time.monotonic()
    for seed in itertools.count(SOAK_SEED):
        settings = hypothesis.settings(
            max_examples=EXAMPLES,
            stateful_step_count=STEPS,
            phases=(hypothesis.Phase.generate,),
            report_multiple_bugs=False,
        )
        run_state_machine_as_test(
            hypothesis.seed(seed)(ConcurrentOperators), settings=settings
        )
        if time.monotonic() - started_at >= SOAK_SECONDS:
            break
