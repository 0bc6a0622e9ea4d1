"""Cost of the balancer's decisions by the servers that a relay sees and by its established connections."""

from __future__ import annotations

import itertools
import time
import tracemalloc
from collections.abc import Callable, Iterable, Iterator

from benchmarks.capacity.demand import RELAYS
from benchmarks.capacity.records import Figure, Point, Series, point
from violetdoor.balancing.actions import StartAttempt
from violetdoor.balancing.balancer import Balancer
from violetdoor.balancing.events import (
    ConnectionEstablished,
    RequestAbandoned,
    RequestArrived,
    ServerEntry,
    ServerListKind,
    ServerListUpdate,
    TimerFired,
)
from violetdoor.balancing.settings import BalancerSettings, RequestClass

SERVERS, QUICK_SERVERS = (100, 500, 1_500, 5_000, 15_000), (50, 100, 200, 400)
STANDING, QUICK_STANDING = (1_000, 2_000, 4_000, 8_000, 16_000), (100, 200, 400, 800)
STANDING_SERVERS = 100  # servers that the relay sees while the number of connections is varied
ROUNDS, QUICK_ROUNDS = 5, 2  # a point is the median of these rounds
CALLS_PER_ROUND = 40
GROUPS = 64
ZONES = 24
TICK_INTERVAL_MS = 1_000.0


def entries(count: int) -> tuple[ServerEntry, ...]:
    """Return a list of `count` ready servers, spread over all zones."""
    return tuple(ServerEntry(f"10.{n >> 8}.{n & 255}.1:9001", f"zone-{n % ZONES}") for n in range(count))


class BalancerDriver:
    """Drives a balancer with the settings of an operator's configuration; times are in ms."""

    def __init__(self, servers: int) -> None:
        settings = BalancerSettings(
            classes={"checkin": RequestClass(latency_objective_ms=300.0, message_latency_objective_ms=250.0)},
            zone="zone-0",
            relay_count=RELAYS,
            health_checks_report_load=False,
        )
        self.balancer = Balancer(settings, seed=1, now_ms=0.0)
        self.now = 0.0
        self.numbers = itertools.count(1)
        self.entries = entries(servers)
        self.changes = itertools.cycle(self.entries)
        self.balancer.handle(0.0, ServerListUpdate(ServerListKind.COMPLETE, self.entries))

    def arrive(self, group: int | None = None) -> int:
        """Let one request arrive and, if it is sent, its connection be established. Return its number."""
        request = next(self.numbers)
        arrival = RequestArrived(request, "checkin", 1_200.0, tenant="club", group=group)
        for action in self.balancer.handle(self.now, arrival):
            if isinstance(action, StartAttempt):
                self.balancer.handle(self.now, ConnectionEstablished(request, 0, action.server, 2.0))
        return request

    def end(self, request: int) -> None:
        """Let the client of a request leave."""
        self.balancer.handle(self.now, RequestAbandoned(request))

    def tick(self) -> None:
        """Fire the balancer's timer after one interval."""
        self.now += TICK_INTERVAL_MS
        self.balancer.handle(self.now, TimerFired("tick"))

    def update_server(self) -> None:
        """Deliver an incremental update with one server."""
        self.balancer.handle(self.now, ServerListUpdate(ServerListKind.INCREMENTAL, (next(self.changes),)))

    def replace_list(self) -> None:
        """Deliver the complete list."""
        self.balancer.handle(self.now, ServerListUpdate(ServerListKind.COMPLETE, self.entries))

    def establish_connections(self, count: int) -> None:
        """Establish `count` connections that stay open."""
        for number in range(count):
            self.arrive(number % GROUPS)


def us_per_call(step: Callable[[], object], calls: int) -> float:
    """Return us of processor time per call."""
    began = time.process_time_ns()
    for _ in range(calls):
        step()
    return (time.process_time_ns() - began) / calls / 1e3


def _arrival_step(driver: BalancerDriver, groups: Iterator[int] | None) -> Callable[[], None]:
    def step() -> None:
        driver.end(driver.arrive(None if groups is None else next(groups)))

    return step


def _steps(driver: BalancerDriver) -> dict[str, Callable[[], object]]:
    known_groups, new_groups = itertools.cycle(range(GROUPS)), itertools.count(GROUPS)
    for group in range(GROUPS):
        driver.balancer.groups.server_order(group)
    return {
        "module_arrival": _arrival_step(driver, None),
        "module_arrival_group": _arrival_step(driver, known_groups),
        "module_arrival_new_group": _arrival_step(driver, new_groups),
        "module_tick": driver.tick,
        "module_change": driver.update_server,
        "module_whole_list": driver.replace_list,
    }


TITLES = {
    "module_arrival": "an arrival without a group, and its end",
    "module_arrival_group": "an arrival with a group whose order of servers is known",
    "module_arrival_new_group": "an arrival with a group that comes first since the list changed",
    "module_tick": "a tick, once a second",
    "module_change": "a change of one server on the list",
    "module_whole_list": "the whole list anew",
}
STANDING_TITLES = {
    "standing_arrival": "an arrival without a group, and its end",
    "standing_arrival_group": "an arrival with a group whose order of servers is known",
    "standing_tick": "a tick, once a second",
    "standing_change": "a change of one server on the list",
}


def _by_servers(sizes: Iterable[int], rounds: int) -> list[Series]:
    points_by_name: dict[str, list[Point]] = {name: [] for name in TITLES}
    for size in sizes:
        driver = BalancerDriver(size)
        for name, step in _steps(driver).items():
            step()
            points_by_name[name].append(
                point(size, [us_per_call(step, CALLS_PER_ROUND) for _ in range(rounds)])
            )
    return [Series(name, TITLES[name], "servers", "us", points) for name, points in points_by_name.items()]


def _by_standing(sizes: Iterable[int], rounds: int) -> list[Series]:
    points_by_name: dict[str, list[Point]] = {name: [] for name in STANDING_TITLES}
    for size in sizes:
        driver = BalancerDriver(STANDING_SERVERS)
        driver.establish_connections(size)
        steps = _steps(driver)
        for name, points in points_by_name.items():
            step = steps[name.replace("standing", "module")]
            step()
            points.append(point(size, [us_per_call(step, CALLS_PER_ROUND) for _ in range(rounds)]))
    return [Series(n, STANDING_TITLES[n], "standing connections", "us", p) for n, p in points_by_name.items()]


def _object_bytes(make: Callable[[], object]) -> float:
    """Return the bytes of the Python objects that `make` creates."""
    tracemalloc.start()
    objects = make()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del objects
    return float(size)


def _with_standing(count: int) -> BalancerDriver:
    driver = BalancerDriver(STANDING_SERVERS)
    driver.establish_connections(count)
    return driver


def measure(quick: bool) -> list[Series | Figure]:
    """Return all series of the balancer."""
    rounds = QUICK_ROUNDS if quick else ROUNDS
    servers, standing = (QUICK_SERVERS, QUICK_STANDING) if quick else (SERVERS, STANDING)
    by_server = [point(n, [_object_bytes(lambda n=n: BalancerDriver(n))]) for n in servers]  # type: ignore[misc]
    by_connection = [point(n, [_object_bytes(lambda n=n: _with_standing(n))]) for n in standing]  # type: ignore[misc]
    return [
        *_by_servers(servers, rounds),
        *_by_standing(standing, rounds),
        Series("module_memory", "the module's state", "servers", "B", by_server),
        Series("standing_memory", "the module's state", "standing connections", "B", by_connection),
    ]
