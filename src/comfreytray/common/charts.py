"""State charts of lifecycles, compiled from YAML files into transition tables.

The YAML files follow the format of the sismic library. A node reads the compiled
JSON beside them, so that it needs no YAML parser; `python -m comfreytray.common.charts`
regenerates the JSON.
"""

import json
from collections.abc import Mapping
from functools import cache
from pathlib import Path
from typing import Any

from attrs import frozen

from comfreytray.common.exceptions import invariant

CHART_DIRECTORY = Path(__file__).parent.parent / "charts"


@frozen(kw_only=True)
class Chart:
    """The states and the transition table of one lifecycle."""

    name: str
    initial: str
    states: frozenset[str]
    target_by_state_and_event: Mapping[tuple[str, str], str]
    """Next state by state and event; an ignored event keeps the state."""

    def step(self, state: str, event: str) -> str:
        """Return the state after an event, which the state must list."""
        target = self.target_by_state_and_event.get((state, event))
        invariant(
            target is not None,
            f"{self.name}: event {event} must not happen in state {state}",
        )
        assert target is not None
        return target

    def allows(self, state: str, event: str) -> bool:
        """Return whether a state lists an event."""
        return (state, event) in self.target_by_state_and_event


def parse_chart(document: Mapping[str, Any]) -> Chart:
    """Build a chart from its YAML document; nested states are not supported."""
    chart = document["statechart"]
    root = chart["root state"]
    states = {state["name"]: state for state in root["states"]}
    target_by_state_and_event: dict[tuple[str, str], str] = {}
    for name, state in states.items():
        if "states" in state or "parallel states" in state:
            raise ValueError(f"{chart['name']}: state {name} has nested states")
        for transition in (*root.get("transitions", ()), *state.get("transitions", ())):
            target = transition.get("target", name)
            if target not in states or "guard" in transition:
                raise ValueError(
                    f"{chart['name']}: transition from {name} to {target} "
                    "has a guard or an unknown target"
                )
            target_by_state_and_event[(name, transition["event"])] = target
    if root["initial"] not in states:
        raise ValueError(f"{chart['name']}: unknown initial state {root['initial']}")
    return Chart(
        name=chart["name"],
        initial=root["initial"],
        states=frozenset(states),
        target_by_state_and_event=target_by_state_and_event,
    )


def compile_chart(source: Path) -> str:
    """Return the compiled form of a YAML chart, as JSON."""
    from ruamel.yaml import YAML

    document = YAML(typ="safe", pure=True).load(source)
    chart = parse_chart(document)
    return (
        json.dumps(
            {
                "name": chart.name,
                "initial": chart.initial,
                "states": sorted(chart.states),
                "steps": [
                    [state, event, target]
                    for (state, event), target in sorted(
                        chart.target_by_state_and_event.items()
                    )
                ],
            },
            indent=1,
        )
        + "\n"
    )


@cache
def load_chart(name: str) -> Chart:
    """Load a chart by its name from its compiled form."""
    document = json.loads((CHART_DIRECTORY / f"{name}.json").read_text("utf-8"))
    return Chart(
        name=document["name"],
        initial=document["initial"],
        states=frozenset(document["states"]),
        target_by_state_and_event={
            (state, event): target for state, event, target in document["steps"]
        },
    )


def main() -> None:
    """Write the compiled form of each YAML chart beside it."""
    for source in sorted(CHART_DIRECTORY.glob("*.yaml")):
        source.with_suffix(".json").write_text(compile_chart(source), "utf-8")


if __name__ == "__main__":
    main()
