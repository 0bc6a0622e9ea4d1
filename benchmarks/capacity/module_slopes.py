"""What a decision of the module costs by the servers that a relay sees, and by the connections it holds."""

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
STANDING_SERVERS = 100  # that a relay sees while its connections are varied
ROUNDS, QUICK_ROUNDS = 5, 2  # a point is the median of so many rounds
CALLS_PER_ROUND = 40  # events of one round
GROUPS = 64
ZONES = 24
TICK_INTERVAL_MS = 1_000.0  # ms between two ticks


def entries(count: int) -> tuple[ServerEntry, ...]:
    """A list of so many ready servers, in all zones."""
    return tuple(ServerEntry(f"10.{n >> 8}.{n & 255}.1:9001", f"zone-{n % ZONES}") for n in range(count))


class BalancerDriver:
    """A module as an operator's file sets it, driven by hand; times are ms."""

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
        """One request arrives and its connection comes up, if it is sent."""
        request = next(self.numbers)
        arrival = RequestArrived(request, "checkin", 1_200.0, tenant="club", group=group)
        for action in self.balancer.handle(self.now, arrival):
            if isinstance(action, StartAttempt):
                self.balancer.handle(self.now, ConnectionEstablished(request, 0, action.server, 2.0))
        return request

    def end(self, request: int) -> None:
        """Its client leaves."""
        self.balancer.handle(self.now, RequestAbandoned(request))

    def tick(self) -> None:
        """The interval is over."""
        self.now += TICK_INTERVAL_MS
        self.balancer.handle(self.now, TimerFired("tick"))

    def update_server(self) -> None:
        """One server's line of the list comes anew."""
        self.balancer.handle(self.now, ServerListUpdate(ServerListKind.INCREMENTAL, (next(self.changes),)))

    def replace_list(self) -> None:
        """The whole list comes anew."""
        self.balancer.handle(self.now, ServerListUpdate(ServerListKind.COMPLETE, self.entries))

    def establish_connections(self, count: int) -> None:
        """Let connections stand."""
        for number in range(count):
            self.arrive(number % GROUPS)


def us_per_call(step: Callable[[], object], calls: int) -> float:
    """Us of processor a call."""
    began = time.process_time_ns()
    for _ in range(calls):
        step()
    return (time.process_time_ns() - began) / calls / 1e3


def _arrival_step(driver: BalancerDriver, groups: Iterator[int] | None) -> Callable[[], None]:
    def step() -> None:
        driver.end(driver.arrive(None if groups is None else next(groups)))

    return step


def _steps(driver: BalancerDriver) -> dict[str, Callable[[], object]]:
    known, new = itertools.cycle(range(GROUPS)), itertools.count(GROUPS)
    for group in range(GROUPS):
        driver.balancer.groups.server_order(group)
    return {
        "module_arrival": _arrival_step(driver, None),
        "module_arrival_group": _arrival_step(driver, known),
        "module_arrival_new_group": _arrival_step(driver, new),
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
    found: dict[str, list[Point]] = {name: [] for name in TITLES}
    for size in sizes:
        driver = BalancerDriver(size)
        for name, step in _steps(driver).items():
            step()
            found[name].append(point(size, [us_per_call(step, CALLS_PER_ROUND) for _ in range(rounds)]))
    return [Series(name, TITLES[name], "servers", "us", points) for name, points in found.items()]


def _by_standing(sizes: Iterable[int], rounds: int) -> list[Series]:
    found: dict[str, list[Point]] = {name: [] for name in STANDING_TITLES}
    for size in sizes:
        driver = BalancerDriver(STANDING_SERVERS)
        driver.establish_connections(size)
        steps = _steps(driver)
        for name, points in found.items():
            step = steps[name.replace("standing", "module")]
            step()
            points.append(point(size, [us_per_call(step, CALLS_PER_ROUND) for _ in range(rounds)]))
    return [Series(n, STANDING_TITLES[n], "standing connections", "us", p) for n, p in found.items()]


def _object_bytes(make: Callable[[], object]) -> float:
    """Bytes that Python's objects of something take."""
    tracemalloc.start()
    kept = make()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del kept
    return float(size)


def _with_standing(count: int) -> BalancerDriver:
    driver = BalancerDriver(STANDING_SERVERS)
    driver.establish_connections(count)
    return driver


def measure(quick: bool) -> list[Series | Figure]:
    """All series of the module."""
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
