"""Check what callers and upstreams see against what nodes promise."""

from collections import Counter

from attrs import define, field

DRAIN_S = 2.5
"""Time after a confirmed departure in which calls may still reach an instance."""
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


@define(kw_only=True)
class Promises:
    """Keep what was seen, and the promises that it breaks."""

    broken: list[str] = field(factory=list)
    status_count: Counter[int] = field(factory=Counter)
    runs_by_id: Counter[str] = field(factory=Counter)
    not_run_ids: set[str] = field(factory=set)
    departed_at_by_instance: dict[str, float] = field(factory=dict)
    paused_until_by_node: dict[int, float] = field(factory=dict)

    def ran(
        self, call_id: str, *, idempotent: bool, instance: str, at_s: float
    ) -> None:
        """Note that an upstream began to work on a call."""
        self.runs_by_id[call_id] += 1
        if not idempotent and self.runs_by_id[call_id] > 1:
            self.broken.append(f"{call_id} ran twice, at last at {instance}")
        if not idempotent and call_id in self.not_run_ids:
            self.broken.append(f"{call_id} ran after it was refused as not run")
        departed_at = self.departed_at_by_instance.get(instance)
        if departed_at is not None and at_s > departed_at + DRAIN_S:
            late_s = at_s - departed_at
            self.broken.append(f"{call_id} reached {instance} {late_s:.1f} s after it")

    def answered(
        self,
        call_id: str,
        *,
        idempotent: bool,
        status: int,
        body: bytes,
        answered_id: str,
    ) -> None:
        """Note what a caller got; status 0 if its connection ended without one."""
        self.status_count[status] += 1
        if status == 200 and (answered_id != call_id or body != call_id.encode()):
            self.broken.append(f"{call_id} got another's answer: {answered_id}")
        if idempotent or status not in NOT_RUN_STATUSES:
            return
        self.not_run_ids.add(call_id)
        if self.runs_by_id[call_id]:
            self.broken.append(f"{call_id} was refused as not run and had run")

    def departed(self, instance: str, at_s: float) -> None:
        """Note that a node confirmed that an instance leaves."""
        self.departed_at_by_instance[instance] = at_s

    def knows(self, node: int, *, version: int, before: int) -> None:
        """Note the version that a node has in force, and the one it had before."""
        if version < before:
            self.broken.append(f"node {node} went back from {before} to {version}")

    def recovered(
        self, *, served: int, asked: int, newest: int, held: list[int]
    ) -> None:
        """Check that all is well some time after the last fault."""
        if served < 0.95 * asked:
            self.broken.append(f"only {served} of {asked} calls served at the end")
        if set(held) != {newest}:
            self.broken.append(f"versions {held} at the end, {newest} is the newest")
