"""Draw a schedule that holds only planned work: stops, reloads, configurations."""

import heapq
import random
from collections.abc import Iterator

from attrs import evolve

from soak.faults import STOP_TWICE, Fault

FIRST_PLANNED_SEED = 10_000
MEAN_GAP_S_BY_KIND = {
    "node-stop": 2.5,
    STOP_TWICE: 6.0,
    "node-reload": 1.5,
    "configuration": 2.0,
    "upstream-replaced": 6.0,
}
"""Mean time between two pieces of planned work of a kind."""
PAIR_SHARE = 0.6
"""Share of stops during which another node is stopped too."""
PAIR_GAP_RANGE_S = (0.0, 5.5)
MAX_UP_S = 2.5
"""Longest time from a start to the second stop."""
LEAVING_SHARE = 0.3
"""Share of stops during which an instance leaves."""
LEAVING_GAP_RANGE_S = (0.0, 3.0)


def is_planned(seed: int) -> bool:
    """Return whether the run of a seed holds only planned work."""
    return seed >= FIRST_PLANNED_SEED


def draw_planned(seed: int, *, nodes: int, seconds: float) -> Iterator[Fault]:
    """Yield the planned work in order of time; a seed always yields the same."""
    drawn = [_draw(seed, kind, nodes, seconds) for kind in MEAN_GAP_S_BY_KIND]
    return heapq.merge(*drawn, key=lambda work: work.at_s)


def _draw(seed: int, kind: str, nodes: int, seconds: float) -> list[Fault]:
    generator = random.Random(f"{seed} planned {kind}")
    works = []
    at_s = 0.5 + generator.expovariate(1.0 / MEAN_GAP_S_BY_KIND[kind])
    while at_s < seconds:
        works.append(_work(at_s, kind, generator.randrange(nodes)))
        if kind == STOP_TWICE:
            up_s = generator.uniform(0.0, MAX_UP_S)
            works[-1] = evolve(works[-1], duration_s=up_s)
        if kind == "node-stop":
            works += _draw_beside(generator, works[-1], nodes)
        at_s += generator.expovariate(1.0 / MEAN_GAP_S_BY_KIND[kind])
    return sorted(works, key=lambda work: work.at_s)


def _draw_beside(generator: random.Random, stop: Fault, nodes: int) -> Iterator[Fault]:
    """Draw what happens during a stop: another's stop, an instance that leaves."""
    if generator.random() < PAIR_SHARE:
        gap_s = generator.uniform(*PAIR_GAP_RANGE_S)
        other = (stop.node + generator.randrange(1, nodes)) % nodes
        yield _work(stop.at_s + gap_s, "node-stop", other)
    if generator.random() < LEAVING_SHARE:
        gap_s = generator.uniform(*LEAVING_GAP_RANGE_S)
        node = generator.randrange(nodes)
        yield _work(stop.at_s + gap_s, "upstream-replaced", node)


def _work(at_s: float, kind: str, node: int) -> Fault:
    return Fault(at_s=at_s, kind=kind, node=node, duration_s=0.0)
