"""Track each version's lifecycle on this node by the state chart `version`."""

from attrs import define, field

from comfreytray.common.charts import Chart, load_chart
from comfreytray.configuration.content import Head

# States of the chart.
HEARD = "heard"
WHOLE = "whole"
IN_FORCE = "in-force"
REFUSED = "refused"
DROPPED = "dropped"


@define(kw_only=True)
class Lifecycles:
    """Hold the state of each version that is known on this node and not dropped."""

    chart: Chart = field(factory=lambda: load_chart("version"))
    state_by_head: dict[Head, str] = field(factory=dict)

    def announce(self, head: Head) -> None:
        """Record that a version exists."""
        if head in self.state_by_head:
            self.step(head, "announced")
        else:
            self.state_by_head[head] = self.chart.initial

    def step(self, head: Head, event: str) -> None:
        """Apply an event to a version; its state is deleted when it is dropped."""
        state = self.chart.step(self.state_by_head[head], event)
        if state == DROPPED:
            del self.state_by_head[head]
        else:
            self.state_by_head[head] = state

    def drop_overtaken(self, newest: Head) -> None:
        """Drop all versions that are not newer than the newest complete one."""
        for head in list(self.state_by_head):
            if head.version <= newest.version and head != newest:
                self.step(head, "overtaken")
