"""Check what callers and upstreams see against the guarantees of the nodes.

These guarantees, called promises here: a call that is not idempotent runs at most
once, and never if it was refused as not executed; callers get the answer to their own
call; an instance that has left gets no more calls; one that names a limit gets no more
calls than about that; a request under which three instances ended ends few others;
versions never go back.
"""

from collections import Counter, deque

from attrs import define, field

MAX_DRAIN_S = 2.5
"""Time after a confirmed departure for which calls may still reach an instance."""
LIMIT_WINDOW_S = 4.0
"""Window in which calls are counted, and time after which a named limit binds."""
LIMIT_FACTOR = 1.5
LIMIT_SLACK_CALLS = 5
DEADLY_ENDS = 3
"""Instances that a deadly request may end before nodes must know it."""
DEADLY_KNOWN_AFTER_S = 4.0
"""Time after the last of them within which all nodes that are well know it."""
MAX_DEADLY_RUNS = 3
"""Runs of such a request that nodes which are well may start after that."""
RECOVERY_S = 6.0
"""Time after the last fault by which nodes have the newest configuration in force;
longer than a silent watch, a back-off and a heartbeat interval together."""
NOT_EXECUTED_STATUSES = frozenset({401, 408, 421, 429, 503})
"""Statuses with which a node states that a call did not run."""


@define(kw_only=True)
class PromiseChecker:
    """Record what callers and upstreams see, and each broken promise."""

    violations: list[str] = field(factory=list)
    count_by_status: Counter[int] = field(factory=Counter)
    runs_by_id: Counter[str] = field(factory=Counter)
    not_executed_ids: set[str] = field(factory=set)
    departed_at_by_instance: dict[str, float] = field(factory=dict)
    limit_by_instance: dict[str, tuple[float, float]] = field(factory=dict)
    """The calls a second that an instance names, and since when."""
    runs_at_by_instance: dict[str, deque[float]] = field(factory=dict)
    ends_at_by_deadly: dict[str, list[float]] = field(factory=dict)
    late_runs_by_deadly: Counter[str] = field(factory=Counter)

    def record_deadly_run(self, name: str, at_s: float, *, node_is_well: bool) -> None:
        """Record that an instance began to run a request that ends it."""
        ends_at = self.ends_at_by_deadly.setdefault(name, [])
        is_late = (
            len(ends_at) >= DEADLY_ENDS
            and at_s > ends_at[DEADLY_ENDS - 1] + DEADLY_KNOWN_AFTER_S
        )
        ends_at.append(at_s)
        if is_late and node_is_well:
            self.late_runs_by_deadly[name] += 1
            if self.late_runs_by_deadly[name] > MAX_DEADLY_RUNS:
                self.violations.append(f"{name} ended {len(ends_at)} instances")

    def record_run(
        self, call_id: str, *, idempotent: bool, instance: str, at_s: float
    ) -> None:
        """Record that an upstream began to run a call."""
        self.runs_by_id[call_id] += 1
        if not idempotent and self.runs_by_id[call_id] > 1:
            self.violations.append(f"{call_id} ran again at {instance}, not idempotent")
        if not idempotent and call_id in self.not_executed_ids:
            self.violations.append(
                f"{call_id} ran after it was refused as not executed"
            )
        departed_at = self.departed_at_by_instance.get(instance)
        if departed_at is not None and at_s > departed_at + MAX_DRAIN_S:
            late_s = at_s - departed_at
            self.violations.append(
                f"{call_id} ran {late_s:.1f} s after {instance} left"
            )
        self._check_limit(instance, at_s)

    def record_limit(
        self, instance: str, limit_per_s: float | None, at_s: float
    ) -> None:
        """Record what an instance names in an answer; None if it names no limit."""
        if limit_per_s is None:
            self.limit_by_instance.pop(instance, None)
        else:
            self.limit_by_instance.setdefault(instance, (limit_per_s, at_s))

    def _check_limit(self, instance: str, at_s: float) -> None:
        runs_at = self.runs_at_by_instance.setdefault(instance, deque())
        runs_at.append(at_s)
        while runs_at[0] < at_s - LIMIT_WINDOW_S:
            runs_at.popleft()
        limit_per_s, since = self.limit_by_instance.get(instance, (0.0, at_s))
        allowed = LIMIT_FACTOR * LIMIT_WINDOW_S * limit_per_s + LIMIT_SLACK_CALLS
        if at_s - since >= LIMIT_WINDOW_S and len(runs_at) > allowed:
            self.violations.append(
                f"{instance} got {len(runs_at)} calls in {LIMIT_WINDOW_S} s, "
                f"{allowed:g} allowed at {limit_per_s:g} a second"
            )

    def record_answer(
        self,
        call_id: str,
        *,
        idempotent: bool,
        status: int,
        body: bytes,
        answered_id: str,
    ) -> None:
        """Record a caller's answer; status 0 if the connection ended without one."""
        self.count_by_status[status] += 1
        if status == 200 and (answered_id != call_id or body != call_id.encode()):
            self.violations.append(f"{call_id} got the answer to {answered_id}")
        if idempotent or status not in NOT_EXECUTED_STATUSES:
            return
        self.not_executed_ids.add(call_id)
        if self.runs_by_id[call_id]:
            self.violations.append(f"{call_id} was refused as not executed but had run")

    def record_departure(self, instance: str, at_s: float) -> None:
        """Record that a node has confirmed that an instance leaves."""
        self.departed_at_by_instance[instance] = at_s

    def record_version(self, node: int, *, version: int, before: int) -> None:
        """Record the version that a node has in force and the one before it."""
        if version < before:
            self.violations.append(f"node {node} went back from {before} to {version}")

    def check_recovery(
        self, *, served: int, asked: int, newest: int, held: list[int]
    ) -> None:
        """Check that calls succeed and versions agree after the last fault."""
        if served < 0.95 * asked:
            self.violations.append(
                f"only {served} of {asked} calls answered 200 after recovery"
            )
        if set(held) != {newest}:
            self.violations.append(
                f"versions {held} after recovery, expected {newest} everywhere"
            )
