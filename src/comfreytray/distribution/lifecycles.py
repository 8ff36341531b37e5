"""Follow each version's lifecycle on this node by the chart `version`."""

from attrs import define, field

from comfreytray.common.charts import Chart, load_chart
from comfreytray.configuration.content import Head

HEARD = "heard"
WHOLE = "whole"
IN_FORCE = "in-force"
REFUSED = "refused"
DROPPED = "dropped"


@define(kw_only=True)
class Lifecycles:
    """Hold the state of each version that this node heard of or holds."""

    chart: Chart = field(factory=lambda: load_chart("version"))
    state_by_head: dict[Head, str] = field(factory=dict)

    def announce(self, head: Head) -> None:
        """Note that a version exists."""
        if head in self.state_by_head:
            self.step(head, "announced")
        else:
            self.state_by_head[head] = self.chart.initial

    def step(self, head: Head, event: str) -> None:
        """Move a version on; one that is dropped is forgotten."""
        state = self.chart.step(self.state_by_head[head], event)
        if state == DROPPED:
            del self.state_by_head[head]
        else:
            self.state_by_head[head] = state

    def overtake(self, newest: Head) -> None:
        """Drop the versions that the one that is now whole leaves behind."""
        for head in list(self.state_by_head):
            if head.version <= newest.version and head != newest:
                self.step(head, "overtaken")
