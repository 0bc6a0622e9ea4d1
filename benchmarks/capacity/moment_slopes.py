"""What a rack, a zone and a region that go away cost each member of the fleet's view: virtual time."""

from __future__ import annotations

import gc
import multiprocessing
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass

from benchmarks.capacity import demand, hosts
from benchmarks.capacity.fleet_slopes import EVENT, WORKERS, extra_of, spent_in
from benchmarks.capacity.records import Figure, Series, point

RUNS = {50: 3, 100: 3, 200: 2, 400: 1}
QUICK_RUNS = {24: 1, 30: 1, 40: 1, 50: 1}
REST = 10.0  # virtual s
PARTS = {
    "rack": demand.RACK / demand.RELAYS,
    "zone": 1 / demand.ZONES,
    "region": 1 / demand.REGIONS,
}  # of the fleet that each takes along


@dataclass(slots=True, frozen=True)
class Cost:
    """Bytes a member that is left, beyond rest, in the `EVENT` s from the moment on."""

    size: int
    rack: float
    zone: float
    region_cut: float
    region_healed: float


def measure_one(job: tuple[int, int]) -> Cost:
    """A region is cut off and healed, then a rack dies, then a zone."""
    size, seed = job
    gc.disable()
    world = hosts.settled_fleet(size, seed)
    rest = spent_in(world, REST)
    members = hosts.names(size)

    def extra() -> float:
        return extra_of(world, size, rest, EVENT / REST)[0]

    away = members[-max(1, round(size * PARTS["region"])) :]
    world.set_links(away, members[: -len(away)], cut=True)
    region_cut = extra()
    world.heal()
    region_healed = extra()
    lost, found = size // 2, dict[str, float]()
    for moment in ("rack", "zone"):
        count = max(1, round(size * PARTS[moment]))
        for name in members[lost : lost + count]:
            world.kill(name)
        lost += count
        found[moment] = extra()
    return Cost(size, found["rack"], found["zone"], region_cut, region_healed)


KINDS = (
    ("rack", "a rack dies, at least one relay"),
    ("zone", "a zone dies"),
    ("region_cut", "a region is cut off"),
    ("region_healed", "that region is reached again"),
)


def measure(quick: bool) -> list[Series | Figure]:
    """All moments by members."""
    runs = QUICK_RUNS if quick else RUNS
    jobs = [(size, seed) for size in sorted(runs, reverse=True) for seed in range(1, runs[size] + 1)]
    context = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(WORKERS, mp_context=context, max_tasks_per_child=1) as pool:
        costs = list(pool.map(measure_one, jobs))
    found: list[Series | Figure] = []
    for name, title in KINDS:
        points = [point(n, [getattr(c, name) for c in costs if c.size == n]) for n in sorted(runs)]
        shown = f"{title}: each member beyond rest, in the {EVENT:g} s that follow"
        found.append(Series(f"moment_{name}", shown, "members", "B", points))
    return found
