import itertools
from pathlib import Path

from behave import then, when
from sismic.interpreter import Event, Interpreter
from sismic.io import import_from_yaml

from comfreytray.common import charts
from comfreytray.common.exceptions import InvariantError


@when("each chart file is loaded into the statechart library")
def read_charts(context):
    context.sources = sorted(Path(charts.CHART_DIRECTORY).glob("*.yaml"))
    assert len(context.sources) >= 2
    context.charts = [import_from_yaml(filepath=source) for source in context.sources]
    for chart in context.charts:
        chart.validate()


@then("its committed compiled form is up to date")
def check_committed_form(context):
    for source in context.sources:
        committed = source.with_suffix(".json").read_text("utf-8")
        assert committed == charts.compile_chart(source), source.name


def _state(interpreter, chart):
    return next(name for name in interpreter.configuration if name != chart.root)


@then("both interpreters reach the same states for every sequence of three events")
def check_same_states(context):
    for source, reference in zip(context.sources, context.charts, strict=True):
        table = charts.load_chart(source.stem)
        events = sorted({event for _, event in table.target_by_state_and_event})
        for sequence in itertools.product(events, repeat=3):
            interpreter = Interpreter(reference)
            interpreter.execute()
            state = table.initial
            for event in sequence:
                if not table.allows(state, event):
                    break
                interpreter.queue(Event(event)).execute()
                state = table.step(state, event)
                assert _state(interpreter, reference) == state, (source.name, sequence)


@when("a vacant lease is replaced")
def replace_vacant(context):
    try:
        charts.load_chart("lease").step("vacant", "replaced")
    except InvariantError as error:
        context.error = error


@then("the error names the chart, the event and the state")
def check_error_names(context):
    for word in ("lease", "replaced", "vacant"):
        assert word in str(context.error)
