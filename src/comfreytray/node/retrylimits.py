"""The part of the shared retry budget that one node may use."""

from collections.abc import Callable

from comfreytray.calls.retries import RetryLimits
from comfreytray.node.options import RetryBudget


class NodeRetryLimits:
    """Computes a node's limits again when the number of nodes changes."""

    def __init__(self, *, budget: RetryBudget, nodes: Callable[[], int]) -> None:
        self._budget = budget
        self._nodes = nodes
        self._known_nodes = -1
        self._of_all = self._of_refused = RetryLimits(share=0.0, reserve=0.0)

    def of_all(self) -> RetryLimits:
        """Return the limits of all retries."""
        self._follow()
        return self._of_all

    def of_refused(self) -> RetryLimits:
        """Return the limits of retries of calls that were refused unrun."""
        self._follow()
        return self._of_refused

    def _follow(self) -> None:
        nodes = self._nodes()
        if nodes == self._known_nodes:
            return
        self._known_nodes = nodes
        ratio, slack = self._budget.ratio, self._budget.slack
        window_s = self._budget.window_s
        self._of_all = RetryLimits.for_node(
            ratio=ratio, slack=slack, nodes=nodes, window_s=window_s
        )
        self._of_refused = RetryLimits.for_refused(
            ratio=ratio, slack=slack, nodes=nodes, window_s=window_s
        )
