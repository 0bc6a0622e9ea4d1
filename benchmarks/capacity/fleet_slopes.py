"""Cost of a member of the fleet's view by the view's size, in virtual time with all packets encoded."""

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

SEEDS_BY_SIZE = {
    25: 8,
    50: 6,
    100: 4,
    200: 3,
    400: 2,
    800: 1,
}  # number of seeds; fewer for large fleets, which take longer
QUICK_SEEDS_BY_SIZE = {10: 2, 20: 2, 40: 2, 80: 2}
MEMORY_SIZES, QUICK_MEMORY_SIZES = (25, 50, 100, 200, 400), (10, 20, 40, 80)
SMALL_FLEET_MEMBERS = 200  # up to this size a fleet is measured for longer, as its results vary more
REST_SECONDS, SMALL_FLEET_REST_SECONDS = 10.0, 30.0  # duration of the measurement at rest, in virtual time
EVENT_SECONDS = 8.0  # duration of the measurement after a restart or death, in virtual time
WORKER_PROCESSES = 4  # leaves cores for the other users of the machine
FOUNDED_MEMBERS = 100  # size of the fleet that goes through founding, for comparison


@dataclass(slots=True, frozen=True)
class Cost:
    """Costs in one fleet with one seed; bytes are sent and received together, with headers."""

    size: int
    rest_datagrams: float  # bytes per member and second
    rest_calls: float  # bytes per member and second
    rest_packets: float  # datagrams sent and received, per member and second
    rest_processor: float  # us of processor time per member and second
    longest_datagram: float  # bytes of the longest datagram in the whole run
    restart_bytes: float  # per member, in excess of rest
    restart_processor: float  # ms per member, in excess of rest
    death_bytes: float  # per member, in excess of rest
    death_processor: float  # ms per member, in excess of rest


@dataclass(slots=True, frozen=True)
class Usage:
    """Resources that all members together used in a period."""

    datagrams: float  # bytes
    calls: float  # bytes
    packets: int
    processor: float  # s of processor time


def measure_usage(world: hosts.CountingWorld, seconds: float) -> Usage:
    """Advance virtual time and return what all members used meanwhile."""
    before = sum(world.sent_bytes.values()), world.datagram_bytes_in, world.call_bytes, world.datagrams_out
    processor = hosts.run_measured(world, seconds)
    out, received = sum(world.sent_bytes.values()) - before[0], world.datagram_bytes_in - before[1]
    calls = 2 * (world.call_bytes - before[2])  # every byte is sent by one member and received by another
    return Usage(out + received, calls, 2 * (world.datagrams_out - before[3]), processor)


def measure_extra_usage(
    world: hosts.CountingWorld, size: int, rest: Usage, rest_fraction: float
) -> tuple[float, float]:
    """Return bytes and ms of processor time per member in the `EVENT_SECONDS` from now, in excess of rest.

    `rest_fraction` is `EVENT_SECONDS` relative to the duration of the measurement at rest.
    """
    used = measure_usage(world, EVENT_SECONDS)
    volume = used.datagrams + used.calls - rest_fraction * (rest.datagrams + rest.calls)
    return max(0.0, volume) / size, max(0.0, used.processor - rest_fraction * rest.processor) / size * 1e3


def measure_one(job: tuple[int, int]) -> Cost:
    """Measure a fleet of (size, seed) at rest, after one death and after one restart."""
    size, seed = job
    gc.disable()  # a collection would visit all members' objects, but a relay has only its own
    world = hosts.settled_fleet(size, seed)
    rest_seconds = SMALL_FLEET_REST_SECONDS if size <= SMALL_FLEET_MEMBERS else REST_SECONDS
    rest = measure_usage(world, rest_seconds)
    members = hosts.member_names(size)
    world.kill(members[size // 2])
    death = measure_extra_usage(world, size, rest, EVENT_SECONDS / rest_seconds)
    world.kill(members[size // 3])
    world.start(members[size // 3], members[:5], members[:3])
    restart = measure_extra_usage(world, size, rest, EVENT_SECONDS / rest_seconds)
    member_seconds = size * rest_seconds
    return Cost(
        size, rest.datagrams / member_seconds, rest.calls / member_seconds, rest.packets / member_seconds, rest.processor / member_seconds * 1e6,
        world.longest_datagram, *restart, *death,
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
    """Return bytes of Python objects per member, with the small share of the virtual world.

    Every member has its own copy of the view.
    """
    tracemalloc.start()
    world = hosts.settled_fleet(size)
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return held / len(world.hosts)


def measure(quick: bool) -> list[Series | Figure]:
    """Return all series by number of members."""
    seeds = QUICK_SEEDS_BY_SIZE if quick else SEEDS_BY_SIZE
    jobs = [(size, seed) for size in sorted(seeds, reverse=True) for seed in range(1, seeds[size] + 1)]
    context = multiprocessing.get_context("spawn")  # so that memory is measured in a fresh process
    with ProcessPoolExecutor(WORKER_PROCESSES, mp_context=context, max_tasks_per_child=1) as pool:
        founded = None if quick else pool.submit(fleet_view.measure_traffic, FOUNDED_MEMBERS)
        sizes = QUICK_MEMORY_SIZES if quick else MEMORY_SIZES
        memory = pool.map(measure_memory, sizes)
        costs = list(pool.map(measure_one, jobs))
    results: list[Series | Figure] = []
    for name, title, unit, value in COST_SERIES:
        points: list[Point] = [point(n, [value(c) for c in costs if c.size == n]) for n in sorted(seeds)]
        results.append(Series(name, title, "members", unit, points))
    memory_points = [point(size, [value]) for size, value in zip(sizes, memory, strict=True)]
    results.append(Series("view_memory", "a member's state", "members", "B", memory_points))
    if founded is not None:
        out = founded.result()[1]
        taken_up = next(c for c in costs if c.size == FOUNDED_MEMBERS).rest_datagrams / 2
        ratio = out / taken_up
        title = f"datagram bytes of {FOUNDED_MEMBERS} members that founded their fleet over those that took a view up"
        results.append(Figure("view_founded_ratio", title, "", ratio, ratio, ratio))
    return results
