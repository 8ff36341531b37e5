"""Draw a random schedule of faults from a seed, without applying it."""

import heapq
import random
from collections.abc import Iterator

from attrs import frozen

from soak.keys import FIRST_SEED_WITH_ACCOUNTS

_COMMON_KINDS = (
    "node-kill",
    "node-stop",
    "node-pause",
    "node-reload",
    "store-unavailable",
    "store-drops-history",
    "store-cuts-watches",
    "store-loses-answers",
    "link-silent",
    "link-one-way",
    "link-slow",
    "link-reset",
    "upstream-slow",
    "upstream-fails",
    "upstream-loses-answers",
    "upstream-resets-idle",
    "upstream-replaced",
    "upstream-late-heartbeats",
    "upstream-limited",
    "configuration",
)
RESTORED = "store-restored"
"""Drawn apart from the others, like those below: earlier seeds keep their schedules."""
DEADLY = "deadly-request"
CRASHED = "upstream-crashed"
SILENT = "store-silent"
LEFT_AND_KILLED = "upstream-replaced-and-node-killed"
KEY_WITHDRAWN = "key-withdrawn"
KEY_ADDED = "key-added"
STOP_TWICE = "node-stop-twice"
"""A stop of a node, and another while it starts again or soon after; planned only."""
PLANNED_KINDS = frozenset(
    {"node-stop", STOP_TWICE, "node-reload", "upstream-replaced", "configuration"}
)
FIRST_SEED_BY_KIND = {
    SILENT: 8000,
    LEFT_AND_KILLED: 8000,
    KEY_WITHDRAWN: FIRST_SEED_WITH_ACCOUNTS,
    KEY_ADDED: FIRST_SEED_WITH_ACCOUNTS,
}
"""Earlier seeds, which stand in tests and pages, keep their schedules."""
FLEET_WIDE_KINDS = frozenset(
    {
        RESTORED,
        DEADLY,
        SILENT,
        "store-unavailable",
        "store-drops-history",
        "store-cuts-watches",
        "store-loses-answers",
        "configuration",
        KEY_WITHDRAWN,
        KEY_ADDED,
    }
)
"""Kinds that affect all nodes, whichever node the fault names."""
MIN_DURATION_S = 0.3
MAX_DURATION_S = 4.0
MEAN_GAP_S = 0.7
"""Mean time between faults; shorter than most faults, so that they overlap."""
MEAN_GAP_S_BY_KIND = {
    RESTORED: 5.0,
    DEADLY: 3.0,
    CRASHED: 6.0,
    SILENT: 5.0,
    LEFT_AND_KILLED: 4.0,
    KEY_WITHDRAWN: 3.0,
    KEY_ADDED: 3.0,
}
"""Mean time between two faults of the kinds that are drawn apart."""
KINDS = (*_COMMON_KINDS, *MEAN_GAP_S_BY_KIND)
REPEAT_SHARE = 0.3
"""Share of faults that are soon followed by another of the same kind and node."""


@frozen(kw_only=True)
class Fault:
    """A fault of the schedule: its kind, node, start and duration."""

    at_s: float
    kind: str
    node: int
    duration_s: float


def disturbed_nodes(fault: Fault, *, nodes: int) -> range:
    """Return the nodes that a fault may keep from the newest configuration."""
    if fault.kind.startswith("store-"):
        return range(nodes)
    if fault.kind.startswith(("node-", "link-")) or fault.kind == LEFT_AND_KILLED:
        return range(fault.node, fault.node + 1)
    return range(0)


def is_unplanned_at_its_node(fault: Fault) -> bool:
    """Return whether a fault is no planned work and disturbs the node that it names.

    Disturbance of the store alone excuses no lost call.
    """
    is_at_its_node = fault.kind.startswith(("node-", "link-", "upstream-"))
    return is_at_its_node and fault.kind not in PLANNED_KINDS


def draw_schedule(seed: int, *, nodes: int, seconds: float) -> Iterator[Fault]:
    """Yield the faults of a run in order of time; a seed always yields the same."""
    return heapq.merge(
        _draw_faults(seed, nodes=nodes, seconds=seconds),
        *(
            _draw_apart(seed, kind, nodes=nodes, seconds=seconds)
            for kind in MEAN_GAP_S_BY_KIND
            if seed >= FIRST_SEED_BY_KIND.get(kind, 0)
        ),
        key=lambda fault: fault.at_s,
    )


def _draw_apart(seed: int, kind: str, *, nodes: int, seconds: float) -> Iterator[Fault]:
    generator = random.Random(f"{seed} {kind}")
    rate_per_s = 1.0 / MEAN_GAP_S_BY_KIND[kind]
    at_s = generator.expovariate(rate_per_s)
    while at_s < seconds:
        duration_s = generator.uniform(0.0, MAX_DURATION_S / 2)
        if kind == DEADLY:
            duration_s *= 2.0
        node = 0 if kind in FLEET_WIDE_KINDS else generator.randrange(nodes)
        yield Fault(at_s=at_s, kind=kind, node=node, duration_s=duration_s)
        at_s += generator.expovariate(rate_per_s)


def _draw_faults(seed: int, *, nodes: int, seconds: float) -> Iterator[Fault]:
    generator = random.Random(seed)
    at_s = 0.5
    while at_s < seconds:
        fault = Fault(
            at_s=at_s,
            kind=generator.choice(_COMMON_KINDS),
            node=generator.randrange(nodes),
            duration_s=generator.uniform(MIN_DURATION_S, MAX_DURATION_S),
        )
        yield fault
        if generator.random() < REPEAT_SHARE:
            at_s += generator.uniform(0.05, 0.3)
            yield Fault(
                at_s=at_s,
                kind=fault.kind,
                node=fault.node,
                duration_s=fault.duration_s / 2,
            )
        at_s += generator.expovariate(1.0 / MEAN_GAP_S)
