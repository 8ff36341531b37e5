import random

from behave import then, when
from hypothesis import given, settings
from hypothesis import strategies as st

from comfreytray.common.errors import Failure
from comfreytray.configuration.compiler import Compiler, compile_snapshot
from comfreytray.configuration.content import Content
from comfreytray.configuration.documents import ItemKind
from comfreytray.configuration.operations import Operations
from comfreytray.testing import FakeClock, MemoryStore

TEMPLATE = """template: {name}
parameters:
  place: {{type: text, default: {default}}}
routes:
  - name: read
    path: /$(place)/read
    methods: [GET]
    service: {service}
"""
CUSTOMER = """customer: {name}
template: {template}
hosts: [{name}.example]
{parameters}"""

_names = st.sampled_from(["a", "b", "c"])
_words = st.sampled_from(["one", "two"])
_edits = st.one_of(
    st.tuples(st.just("template"), _names, _words, _words),
    st.tuples(st.just("customer"), _names, _names, st.none() | _words),
    st.tuples(st.just("remove"), st.sampled_from(list(ItemKind)), _names),
    st.tuples(st.just("roll back"), st.integers(1, 12)),
)


def _apply(operations, edit):
    who = {"operator": "An", "language": "en"}
    action, *rest = edit
    if action == "template":
        name, default, service = rest
        text = TEMPLATE.format(name=name, default=default, service=service)
        return operations.edit(ItemKind.TEMPLATE, name, text, **who)
    if action == "customer":
        name, template, place = rest
        parameters = "" if place is None else f"parameters: {{place: {place}}}\n"
        text = CUSTOMER.format(name=name, template=template, parameters=parameters)
        return operations.edit(ItemKind.CUSTOMER, name, text, **who)
    if action == "remove":
        return operations.remove(*rest, **who)
    return operations.roll_back(*rest, **who)


@when("random edits, removals and roll-backs of templates and customers are accepted")
def edit_at_random(context):
    context.compared = 0

    @settings(max_examples=60)
    @given(st.lists(_edits, min_size=6, max_size=24))
    def edits_compile_alike(edits):
        content, compiler = Content(), Compiler()
        operations = Operations(
            store=MemoryStore(),
            clock=FakeClock(),
            random=random.Random(1),
            content=content,
        )
        for edit in edits:
            result = _apply(operations, edit)
            if isinstance(result, Failure):
                continue
            kept = compiler.compile(result.head, content)
            assert not isinstance(kept, Failure), kept
            assert kept == compile_snapshot(result.head, content)
            context.compared += 1

    context.edits_compile_alike = edits_compile_alike


@then("each version compiles to the same routes with and without the cache")
def check_alike(context):
    context.edits_compile_alike()
    assert context.compared > 200, context.compared
