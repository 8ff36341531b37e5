"""Draw a schedule of faults from a seed; nothing here touches a process."""

import random
from collections.abc import Iterator

from attrs import frozen

KINDS = (
    "node-kill",
    "node-stop",
    "node-pause",
    "node-reload",
    "store-away",
    "store-forgets",
    "store-cuts",
    "store-loses",
    "link-silent",
    "link-one-way",
    "link-slow",
    "link-reset",
    "upstream-slow",
    "upstream-fails",
    "upstream-loses",
    "upstream-forgets",
    "upstream-replaced",
    "configuration",
)
ONE_FOR_ALL = frozenset(
    {"store-away", "store-forgets", "store-cuts", "store-loses", "configuration"}
)
MIN_FOR_S = 0.3
MAX_FOR_S = 4.0
MEAN_GAP_S = 0.7
"""Faults come so close that they overlap."""
SERIES_SHARE = 0.3
"""How often a fault comes again at once."""


@frozen(kw_only=True)
class Fault:
    """Name one fault, when it comes and for how long."""

    at_s: float
    kind: str
    node: int
    for_s: float


def draw(seed: int, *, nodes: int, seconds: float) -> Iterator[Fault]:
    """Give the faults of a run in the order of their time; the same for a seed."""
    generator = random.Random(seed)
    at_s = 0.5
    while at_s < seconds:
        fault = Fault(
            at_s=at_s,
            kind=generator.choice(KINDS),
            node=generator.randrange(nodes),
            for_s=generator.uniform(MIN_FOR_S, MAX_FOR_S),
        )
        yield fault
        if generator.random() < SERIES_SHARE:
            at_s += generator.uniform(0.05, 0.3)
            yield Fault(
                at_s=at_s, kind=fault.kind, node=fault.node, for_s=fault.for_s / 2
            )
        at_s += generator.expovariate(1.0 / MEAN_GAP_S)
