"""Check that API keys count, as callers and upstreams see it.

A call with a wrong key never runs; the upstream sees the customer of the key, and
never a key; no key is logged. RECOVERY_S after the configuration was written, or after
the last fault that kept a node from it, the node refuses a withdrawn key and accepts an
added one.
"""

import time
from collections.abc import Iterable
from pathlib import Path

from attrs import define, field, frozen

from soak.keys import KEY_MARK, Credentials, Disturbances
from soak.promises import RECOVERY_S

STATUS_UNKNOWN_KEY = 401


@frozen(kw_only=True, eq=False)
class SentCall:
    """A call that a caller has begun."""

    credentials: Credentials
    node: int
    """Node that was called."""
    sent_at: float


@define(kw_only=True)
class KeyChecker:
    """Record calls with credentials, and each broken promise."""

    violations: list[str]
    disturbances: Disturbances = field(factory=Disturbances)
    call_by_id: dict[str, SentCall] = field(factory=dict)
    withdrawn_calls: int = 0
    """Calls with withdrawn keys that had to be refused."""
    added_calls: int = 0
    """Calls with added keys that had to be accepted."""

    def record_call(self, call_id: str, credentials: Credentials, node: int) -> None:
        """Record that a call begins."""
        self.call_by_id[call_id] = SentCall(
            credentials=credentials, node=node, sent_at=time.monotonic()
        )

    def record_run(
        self, call_id: str, *, head: bytes, customer: str, node: int
    ) -> None:
        """Record what the upstream beside a node got; no customer is empty."""
        if KEY_MARK.encode() in head:
            self.violations.append(f"{call_id} brought a key to the upstream at {node}")
        call = self.call_by_id.get(call_id)
        if call is None:
            return
        credentials = call.credentials
        if credentials.key is None and not credentials.is_public:
            self.violations.append(f"{call_id} ran with a wrong key, or without one")
        if customer != credentials.customer:
            self.violations.append(
                f"{call_id} ran for {customer or 'no customer'}, "
                f"expected {credentials.customer or 'none'}"
            )
        late_s = time.monotonic() - self._known_at_withdrawal(call, owner=node)
        if late_s > 0:
            self.violations.append(
                f"{call_id} ran at {node} with a withdrawn key, {late_s:.1f} s late"
            )

    def record_answer(self, call_id: str, status: int) -> None:
        """Record the status of a caller's answer; 0 if there was none."""
        call = self.call_by_id[call_id]
        key = call.credentials.key
        if key is not None and self._known_at_withdrawal(call) < call.sent_at:
            self.withdrawn_calls += 1
            if status == 200:
                self.violations.append(f"{call_id} got 200 with a withdrawn key")
            return
        if key is not None and time.monotonic() > key.withdrawn_at:
            return
        is_public = call.credentials.is_public
        counts = is_public or (key is not None and self._is_known(call))
        if key is not None and key.added_at > 0 and counts:
            self.added_calls += 1
        if status == STATUS_UNKNOWN_KEY and counts:
            self.violations.append(f"{call_id} got 401 at node {call.node}")

    def check_logs(self, logs: Iterable[Path]) -> None:
        """Check that no key is in a node's log."""
        for path in logs:
            lines = path.read_text(errors="replace").splitlines()
            count = sum(KEY_MARK in line for line in lines)
            if count:
                self.violations.append(f"{path.name} has {count} lines with a key")

    def _is_known(self, call: SentCall) -> bool:
        """Whether the node had to know the key when the call began.

        The keys of the first configuration are known to each node that has any.
        """
        key = call.credentials.key
        assert key is not None
        if key.added_at < 0:
            return True
        since = max(key.added_at, self.disturbances.until(call.node))
        return call.sent_at > since + RECOVERY_S

    def _known_at_withdrawal(self, call: SentCall, owner: int | None = None) -> float:
        """Return from when on no call with the key may run.

        Faults of the node that runs the call count too: it may be paused with the call.
        """
        key = call.credentials.key
        withdrawn_at = float("inf") if key is None else key.withdrawn_at
        nodes = {call.node} if owner is None else {call.node, owner}
        disturbed_until = max(self.disturbances.until(node) for node in nodes)
        return max(withdrawn_at, disturbed_until) + RECOVERY_S
