"""Cost of losing a rack, a zone or a region for each member of the fleet's view, in virtual time."""

from __future__ import annotations

import gc
import multiprocessing
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass

from benchmarks.capacity import demand, hosts
from benchmarks.capacity.fleet_slopes import (
    EVENT_SECONDS,
    WORKER_PROCESSES,
    measure_extra_usage,
    measure_usage,
)
from benchmarks.capacity.records import Figure, Series, point

# Number of seeds for each size.
SEEDS_BY_SIZE = {50: 3, 100: 3, 200: 2, 400: 1}
QUICK_SEEDS_BY_SIZE = {24: 1, 30: 1, 40: 1, 50: 1}
REST_SECONDS = 10.0  # duration of the measurement at rest, in virtual time
# Fraction of the fleet that is lost with each.
LOST_FLEET_SHARE = {
    "rack": demand.MACHINES_PER_RACK / demand.RELAYS,
    "zone": 1 / demand.ZONES,
    "region": 1 / demand.REGIONS,
}


@dataclass(slots=True, frozen=True)
class Cost:
    """Bytes per remaining member, in excess of rest, in the `EVENT_SECONDS` after each event."""

    size: int
    rack: float
    zone: float
    region_cut: float
    region_healed: float


def measure_one(job: tuple[int, int]) -> Cost:
    """Measure a fleet of (size, seed): a region is cut off and healed, then a rack dies, then a zone."""
    size, seed = job
    gc.disable()  # a collection would visit all members' objects, but a relay has only its own
    world = hosts.settled_fleet(size, seed)
    rest = measure_usage(world, REST_SECONDS)
    members = hosts.member_names(size)

    def measure_extra_bytes() -> float:
        return measure_extra_usage(world, size, rest, EVENT_SECONDS / REST_SECONDS)[0]

    cut_off_members = members[-max(1, round(size * LOST_FLEET_SHARE["region"])) :]
    world.set_links(cut_off_members, members[: -len(cut_off_members)], cut=True)
    region_cut = measure_extra_bytes()
    world.heal()
    region_healed = measure_extra_bytes()
    next_lost, extra_bytes = size // 2, dict[str, float]()
    for event in ("rack", "zone"):
        count = max(1, round(size * LOST_FLEET_SHARE[event]))
        for name in members[next_lost : next_lost + count]:
            world.kill(name)
        next_lost += count
        extra_bytes[event] = measure_extra_bytes()
    return Cost(size, extra_bytes["rack"], extra_bytes["zone"], region_cut, region_healed)


COST_SERIES = (
    ("rack", "a rack dies, at least one relay"),
    ("zone", "a zone dies"),
    ("region_cut", "a region is cut off"),
    ("region_healed", "that region is reached again"),
)


def measure(quick: bool) -> list[Series | Figure]:
    """Return the cost of each event by number of members."""
    seeds = QUICK_SEEDS_BY_SIZE if quick else SEEDS_BY_SIZE
    jobs = [(size, seed) for size in sorted(seeds, reverse=True) for seed in range(1, seeds[size] + 1)]
    context = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(WORKER_PROCESSES, mp_context=context, max_tasks_per_child=1) as pool:
        costs = list(pool.map(measure_one, jobs))
    results: list[Series | Figure] = []
    for name, title in COST_SERIES:
        points = [point(n, [getattr(c, name) for c in costs if c.size == n]) for n in sorted(seeds)]
        full_title = f"{title}: each member beyond rest, in the {EVENT_SECONDS:g} s that follow"
        results.append(Series(f"moment_{name}", full_title, "members", "B", points))
    return results
