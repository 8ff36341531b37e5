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
_values = st.sampled_from(["one", "two"])
_edits = st.one_of(
    st.tuples(st.just("template"), _names, _values, _values),
    st.tuples(st.just("customer"), _names, _names, st.none() | _values),
    st.tuples(st.just("remove"), st.sampled_from(list(ItemKind)), _names),
    st.tuples(st.just("roll back"), st.integers(1, 12)),
)


def _apply(operations, edit):
    author = {"operator": "An", "language": "en"}
    action, *rest = edit
    if action == "template":
        name, default, service = rest
        text = TEMPLATE.format(name=name, default=default, service=service)
        return operations.edit(ItemKind.TEMPLATE, name, text, **author)
    if action == "customer":
        name, template, value = rest
        parameters = "" if value is None else f"parameters: {{place: {value}}}\n"
        text = CUSTOMER.format(name=name, template=template, parameters=parameters)
        return operations.edit(ItemKind.CUSTOMER, name, text, **author)
    if action == "remove":
        return operations.remove(*rest, **author)
    return operations.roll_back(*rest, **author)


@when("random edits, removals and roll-backs of templates and customers are accepted")
def accept_random_edits(context):
    context.compared = 0

    @settings(max_examples=60)
    @given(st.lists(_edits, min_size=6, max_size=24))
    def incremental_matches_full(edits):
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
            incremental = compiler.compile(result.head, content)
            assert not isinstance(incremental, Failure), incremental
            assert incremental == compile_snapshot(result.head, content)
            context.compared += 1

    context.incremental_matches_full = incremental_matches_full


@then("each version compiles to the same routes with and without the cache")
def check_same_routes(context):
    context.incremental_matches_full()
    assert context.compared > 200, context.compared
