"""What a member of the fleet's view costs by the size of the view: virtual time, all packets encoded."""

from __future__ import annotations

import gc
import multiprocessing
import tracemalloc
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass

from benchmarks import fleet_view
from benchmarks.capacity import hosts
from benchmarks.capacity.records import Figure, Point, Series, point

SEEDS_BY_SIZE = {25: 8, 50: 6, 100: 4, 200: 3, 400: 2, 800: 1}  # seeds by size: larger ones cost more
QUICK_SEEDS_BY_SIZE = {10: 2, 20: 2, 40: 2, 80: 2}
MEMORY_SIZES, QUICK_MEMORY_SIZES = (25, 50, 100, 200, 400), (10, 20, 40, 80)
SMALL_FLEET_MEMBERS = 200  # members up to which a fleet is looked at for longer, as chance weighs more there
REST_SECONDS, SMALL_FLEET_REST_SECONDS = 10.0, 30.0  # virtual s that are looked at, at rest
EVENT_SECONDS = 8.0  # and from one restart or death on
WORKER_PROCESSES = 4  # processes at a time: others use the machine too
FOUNDED_MEMBERS = 100  # members of the fleet that is founded as real ones are, to compare


@dataclass(slots=True, frozen=True)
class Cost:
    """One fleet of one size with one seed; bytes are out and in together, with headers."""

    size: int
    rest_datagrams: float  # bytes a member and s
    rest_calls: float
    rest_packets: float  # datagrams out and in, a member and s
    rest_processor: float  # us a member and s
    longest_datagram: float  # bytes of a datagram, over all that was played
    restart_bytes: float  # a member, beyond rest
    restart_processor: float  # ms a member, beyond rest
    death_bytes: float
    death_processor: float


@dataclass(slots=True, frozen=True)
class Usage:
    """Of all members in one stretch of time."""

    datagrams: float  # bytes
    calls: float  # bytes
    packets: int
    processor: float  # s


def measure_usage(world: hosts.CountingWorld, seconds: float) -> Usage:
    """Let time pass; what all members spent in it."""
    before = sum(world.bytes.values()), world.datagram_bytes_in, world.call_bytes, world.datagrams_out
    processor = hosts.run_measured(world, seconds)
    out, received = sum(world.bytes.values()) - before[0], world.datagram_bytes_in - before[1]
    calls = 2 * (world.call_bytes - before[2])  # what one end sends the other receives
    return Usage(out + received, calls, 2 * (world.datagrams_out - before[3]), processor)


def measure_extra_usage(
    world: hosts.CountingWorld, size: int, rest: Usage, rest_fraction: float
) -> tuple[float, float]:
    """Bytes and ms of processor a member, beyond that part of the rest, of what has just been done."""
    spent = measure_usage(world, EVENT_SECONDS)
    volume = spent.datagrams + spent.calls - rest_fraction * (rest.datagrams + rest.calls)
    return max(0.0, volume) / size, max(0.0, spent.processor - rest_fraction * rest.processor) / size * 1e3


def measure_one(job: tuple[int, int]) -> Cost:
    """Rest, one death and one restart."""
    size, seed = job
    gc.disable()  # a collection would go through all members' objects, where a relay has its own only
    world = hosts.settled_fleet(size, seed)
    rest_seconds = SMALL_FLEET_REST_SECONDS if size <= SMALL_FLEET_MEMBERS else REST_SECONDS
    rest = measure_usage(world, rest_seconds)
    everybody = hosts.member_names(size)
    world.kill(everybody[size // 2])
    death = measure_extra_usage(world, size, rest, EVENT_SECONDS / rest_seconds)
    world.kill(everybody[size // 3])
    world.start(everybody[size // 3], everybody[:5], everybody[:3])
    restart = measure_extra_usage(world, size, rest, EVENT_SECONDS / rest_seconds)
    member_seconds = size * rest_seconds
    return Cost(
        size, rest.datagrams / member_seconds, rest.calls / member_seconds, rest.packets / member_seconds, rest.processor / member_seconds * 1e6,
        world.longest, *restart, *death,
    )  # fmt: skip


COST_SERIES: tuple[tuple[str, str, str, Callable[[Cost], float]], ...] = (
    ("view_rest_bytes", "a member at rest, datagrams and calls", "B/s", lambda c: c.rest_datagrams + c.rest_calls),
    ("view_rest_datagrams", "of these, datagrams", "B/s", lambda c: c.rest_datagrams),
    ("view_rest_calls", "of these, calls over TCP, which bring the whole view", "B/s", lambda c: c.rest_calls),
    ("view_rest_packets", "a member at rest, datagrams out and in", "1/s", lambda c: c.rest_packets),
    ("view_rest_processor", "a member at rest, in virtual time", "us/s", lambda c: c.rest_processor),
    ("view_longest", "the longest datagram with its seal", "B", lambda c: c.longest_datagram),
    ("view_restart_bytes", "one restart, each member beyond rest", "B", lambda c: c.restart_bytes),
    ("view_restart_processor", "one restart, each member beyond rest", "ms", lambda c: c.restart_processor),
    ("view_death_bytes", "one death, each member beyond rest", "B", lambda c: c.death_bytes),
    ("view_death_processor", "one death, each member beyond rest", "ms", lambda c: c.death_processor),
)  # fmt: skip


def measure_memory(size: int) -> float:
    """Bytes of Python's objects a member, the virtual world's few in it; each has its own copy of the view."""
    tracemalloc.start()
    world = hosts.settled_fleet(size)
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return held / len(world.hosts)


def measure(quick: bool) -> list[Series | Figure]:
    """All series by members."""
    runs = QUICK_SEEDS_BY_SIZE if quick else SEEDS_BY_SIZE
    jobs = [(size, seed) for size in sorted(runs, reverse=True) for seed in range(1, runs[size] + 1)]
    context = multiprocessing.get_context("spawn")  # memory of a fresh process
    with ProcessPoolExecutor(WORKER_PROCESSES, mp_context=context, max_tasks_per_child=1) as pool:
        founded = None if quick else pool.submit(fleet_view.traffic, FOUNDED_MEMBERS)
        sizes = QUICK_MEMORY_SIZES if quick else MEMORY_SIZES
        memory = pool.map(measure_memory, sizes)
        costs = list(pool.map(measure_one, jobs))
    found: list[Series | Figure] = []
    for name, title, unit, value in COST_SERIES:
        points: list[Point] = [point(n, [value(c) for c in costs if c.size == n]) for n in sorted(runs)]
        found.append(Series(name, title, "members", unit, points))
    held = [point(size, [value]) for size, value in zip(sizes, memory, strict=True)]
    found.append(Series("view_memory", "a member's state", "members", "B", held))
    if founded is not None:
        out = founded.result()[1]
        here = next(c for c in costs if c.size == FOUNDED_MEMBERS).rest_datagrams / 2
        ratio = out / here
        title = f"datagram bytes of {FOUNDED_MEMBERS} members that founded their fleet over those that took a view up"
        found.append(Figure("view_founded_ratio", title, "", ratio, ratio, ratio))
    return found
