"""Measure the benefit of knowing the number of live relays: `python -m benchmarks.fleet_worth [--write]`.

Simulates, in virtual time, forty relays with the production balancer in front of servers that report their
load in health checks. Some relays die at once, and some servers restart cold. The balancer divides the capacity
of cold servers by the relay count: either the number from the settings, or the number in the fleet's view from
the time when the view changes.
"""

from __future__ import annotations

import argparse
import heapq
import itertools
import math
import os
import statistics
import sys
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import Any

from benchmarks.machine import describe_machine
from violetdoor.balancing.actions import CheckHealth, FailRequest, Migrate, Reject, SetTimer, StartAttempt
from violetdoor.balancing.balancer import Balancer
from violetdoor.balancing.events import (
    AttemptEnded,
    AttemptResult,
    ConnectionEstablished,
    Event,
    HealthCheckEnded,
    RequestAbandoned,
    RequestArrived,
    ServerEntry,
    ServerListKind,
    ServerListUpdate,
    SettingsChanged,
    TimerFired,
)
from violetdoor.balancing.settings import BalancerSettings, RequestClass

PAGE = Path(__file__).parent.parent / "docs" / "measurements" / "fleet_worth.md"
RELAY_COUNT, SERVER_COUNT = 40, 24
FAULT_AT_SECONDS, RELAYS_RETURN_AFTER_SECONDS, RUN_SECONDS = 30.0, 25.0, 75.0
# A restarted server starts at the cold fraction of its capacity and reaches all of it after the warm-up.
# Until then, it crashes when its load stays above the overload factor times its present capacity for too long.
WARM_UP_SECONDS, COLD_CAPACITY_FRACTION, CRASH_OVERLOAD_FACTOR, CRASH_AFTER_SECONDS = 20.0, 0.16, 3.0, 1.5
MEAN_CONNECTION_SECONDS, MEAN_CONNECTION_LOAD = 30.0, 0.01  # load as a fraction of a warm server's capacity
USED_CAPACITY_FRACTION = 0.6  # of all servers, before the faults
# A client gives up after MAX_REJECTIONS. When its relay or server dies, it sends a new request after a random
# delay within the range.
REQUEST_DEADLINE_SECONDS, MAX_REJECTIONS, RECONNECT_DELAY_SECONDS = 1.8, 4, (0.3, 2.0)
MEAN_LIST_DELAY_SECONDS, SAMPLE_INTERVAL_SECONDS, ONE_WAY_DELAY_SECONDS = 0.5, 0.1, 0.001
# From the death of relays until a view without a majority counts as stale, or until a new view without them;
# from their return until a view with them. See docs/measurements/fleet_view.md.
STALE_VIEW_AFTER_SECONDS, VIEW_CHANGE_AFTER_SECONDS, JOIN_AFTER_SECONDS = 3.0, 1.7, 1.5


@dataclass(eq=False)
class Server:
    """A server with its load, and its capacity, which grows from a cold start to 1."""

    name: str
    started_at: float = -1e6
    is_up: bool = True
    load: float = 0.0
    overloaded_seconds: float = 0.0

    def capacity(self, now: float) -> float:
        return min(
            1.0,
            COLD_CAPACITY_FRACTION + (1 - COLD_CAPACITY_FRACTION) * (now - self.started_at) / WARM_UP_SECONDS,
        )

    def load_ratio(self, now: float) -> float:
        return self.load / self.capacity(now)


@dataclass(eq=False)
class Client:
    """A client that wants a connection until `ends_at`."""

    number: int
    load: float
    ends_at: float
    relay_number: int = -1
    server: Server | None = None
    rejections: int = 0
    request_id: int = 0
    request_started_at: float = 0.0
    attempts: int = 0


@dataclass(eq=False)
class Relay:
    """A relay process with its balancer."""

    number: int
    balancer: Balancer
    clients: dict[int, Client] = field(default_factory=dict)  # by request id
    alive: bool = True
    instance: int = 0


class Simulation:
    """Discrete-event simulation of clients, relays and servers, from one seed."""

    def __init__(
        self, seed: int, dying_relay_count: int, restarting_server_count: int, uses_view: bool
    ) -> None:
        self.random, self.now, self.dying_relay_count, self.restarting_server_count, self.uses_view = (
            Random(seed),
            0.0,
            dying_relay_count,
            restarting_server_count,
            uses_view,
        )
        self.event_queue: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self.event_numbers, self.ids = itertools.count(), itertools.count(1)
        self.servers = {f"s{n}": Server(f"s{n}") for n in range(SERVER_COUNT)}
        self.settings = BalancerSettings(
            {"c": RequestClass(latency_objective_ms=800.0)},
            relay_count=RELAY_COUNT,
            max_attempts=4,
            slow_start_ms=WARM_UP_SECONDS * 1000,
            slow_start_initial_fraction=COLD_CAPACITY_FRACTION,
            slow_start_overload_factor=CRASH_OVERLOAD_FACTOR,
            max_retry_after_ms=900.0,
        )
        self.relays = [self.new_relay(n) for n in range(RELAY_COUNT)]
        self.requested_client_seconds: dict[int, float] = {}  # by second of the run
        self.served_client_seconds: dict[int, float] = {}
        self.crash_count = 0
        self.active_clients: dict[int, Client] = {}

    def new_relay(self, n: int) -> Relay:
        return Relay(n, Balancer(self.settings, self.random.getrandbits(32), self.now_ms))

    @property
    def now_ms(self) -> float:
        return 1e6 + self.now * 1000

    def schedule(self, due_at: float, callback: Callable[..., None], *arguments: Any) -> None:
        heapq.heappush(
            self.event_queue, (max(self.now, due_at), next(self.event_numbers), callback, arguments)
        )

    def run(self) -> Simulation:
        """Run the simulation to its end."""
        for relay in self.relays:
            self.send_server_list(relay, relay.instance)
        rate = USED_CAPACITY_FRACTION * SERVER_COUNT / MEAN_CONNECTION_LOAD / MEAN_CONNECTION_SECONDS
        self.schedule(0.0, self.add_client, rate)
        self.schedule(SAMPLE_INTERVAL_SECONDS, self.sample_load)
        self.schedule(FAULT_AT_SECONDS, self.start_faults)
        while self.event_queue and self.event_queue[0][0] < RUN_SECONDS:
            self.now, _, callback, arguments = heapq.heappop(self.event_queue)
            callback(*arguments)
        return self

    # Faults of relays and servers.

    def start_faults(self) -> None:
        dead_relays = self.relays[: self.dying_relay_count]
        for relay in dead_relays:
            relay.alive = False
            for client in list(relay.clients.values()):
                self.release_server(client)
                self.schedule(
                    self.now + self.random.uniform(*RECONNECT_DELAY_SECONDS), self.send_request, client
                )
            relay.clients.clear()
        for server in list(self.servers.values())[: self.restarting_server_count]:
            self.crash_server(server, 1.0)
        self.schedule(self.now + RELAYS_RETURN_AFTER_SECONDS, self.restart_relays, dead_relays)
        if self.uses_view:
            majority = 2 * (RELAY_COUNT - self.dying_relay_count) > RELAY_COUNT
            count = (
                RELAY_COUNT - self.dying_relay_count
                if majority
                else max(RELAY_COUNT - self.dying_relay_count, math.ceil(RELAY_COUNT / 2))
            )
            self.schedule(
                self.now + (VIEW_CHANGE_AFTER_SECONDS if majority else STALE_VIEW_AFTER_SECONDS),
                self.set_relay_count,
                count,
            )
            self.schedule(
                self.now + RELAYS_RETURN_AFTER_SECONDS + JOIN_AFTER_SECONDS, self.set_relay_count, RELAY_COUNT
            )

    def restart_relays(self, dead_relays: list[Relay]) -> None:
        for relay in dead_relays:
            new_relay = self.new_relay(relay.number)
            new_relay.instance = relay.instance + 1
            self.relays[relay.number] = new_relay
            self.send_server_list(new_relay, new_relay.instance)

    def set_relay_count(self, count: int) -> None:
        from dataclasses import replace

        for relay in self.relays:
            if relay.alive:
                self.handle_event(relay, SettingsChanged(replace(self.settings, relay_count=count)))

    def crash_server(self, server: Server, down_seconds: float) -> None:
        server.is_up, server.overloaded_seconds = False, 0.0
        for relay in self.relays:
            for request_id, client in list(relay.clients.items()):
                if client.server is server:
                    self.release_server(client)
                    del relay.clients[request_id]
                    self.handle_event(
                        relay,
                        AttemptEnded(
                            request_id, client.attempts - 1, server.name, AttemptResult.RESET, 0, True
                        ),
                    )
                    self.schedule(
                        self.now + self.random.uniform(*RECONNECT_DELAY_SECONDS), self.send_request, client
                    )
        self.schedule(self.now + down_seconds, self.restart_server, server)
        self.announce_server_list()

    def restart_server(self, server: Server) -> None:
        server.is_up, server.started_at = True, self.now
        self.announce_server_list()

    def announce_server_list(self) -> None:
        for relay in self.relays:
            delay_seconds = self.random.uniform(0.5, 1.5) * MEAN_LIST_DELAY_SECONDS
            self.schedule(
                self.now + delay_seconds, self.send_list_to_relay_number, relay.number, relay.instance
            )

    def send_list_to_relay_number(self, number: int, instance: int) -> None:
        self.send_server_list(self.relays[number], instance)

    def send_server_list(self, relay: Relay, instance: int) -> None:
        if relay.alive and relay.instance == instance:
            up_servers = [s for s in self.servers.values() if s.is_up]
            entries = tuple(ServerEntry(s.name, started_at_ms=1e6 + s.started_at * 1000) for s in up_servers)
            self.handle_event(relay, ServerListUpdate(ServerListKind.COMPLETE, entries))

    def sample_load(self) -> None:
        """Sum up requested and served client-seconds; crash cold servers that are overloaded too long."""
        for server in self.servers.values():
            load_ratio = server.load_ratio(self.now) if server.is_up else 0.0
            server.overloaded_seconds = (
                server.overloaded_seconds + SAMPLE_INTERVAL_SECONDS
                if load_ratio > CRASH_OVERLOAD_FACTOR and server.capacity(self.now) < 1
                else 0.0
            )
            if server.overloaded_seconds >= CRASH_AFTER_SECONDS:
                self.crash_count += 1
                self.crash_server(server, 8.0)
        second = int(self.now)
        for client in list(self.active_clients.values()):
            if self.now >= client.ends_at:
                self.end_client(client)
                continue
            self.requested_client_seconds[second] = (
                self.requested_client_seconds.get(second, 0.0) + SAMPLE_INTERVAL_SECONDS
            )
            if client.server is not None:
                served_fraction = min(1.0, 1.0 / max(1e-9, client.server.load_ratio(self.now)))
                self.served_client_seconds[second] = (
                    self.served_client_seconds.get(second, 0.0) + SAMPLE_INTERVAL_SECONDS * served_fraction
                )
        self.schedule(self.now + SAMPLE_INTERVAL_SECONDS, self.sample_load)

    # Clients.

    def add_client(self, rate: float) -> None:
        client = Client(next(self.ids), MEAN_CONNECTION_LOAD * self.random.lognormvariate(-0.125, 0.5), 0.0)
        client.ends_at = self.now + self.random.expovariate(1 / MEAN_CONNECTION_SECONDS)
        self.active_clients[client.number] = client
        self.send_request(client)
        self.schedule(self.now + self.random.expovariate(rate), self.add_client, rate)

    def send_request(self, client: Client) -> None:
        living_relays = [relay for relay in self.relays if relay.alive]
        if client.number not in self.active_clients or not living_relays:
            return
        relay = self.random.choice(living_relays)
        client.relay_number, client.request_id = relay.number, next(self.ids)
        client.request_started_at, client.attempts = self.now, 0
        relay.clients[client.request_id] = client
        self.handle_event(
            relay,
            RequestArrived(client.request_id, "c", REQUEST_DEADLINE_SECONDS * 1000, load=client.load * 1000),
        )

    def retry_or_give_up(self, client: Client, retry_after_ms: float) -> None:
        client.rejections += 1
        if client.rejections < MAX_REJECTIONS:
            self.schedule(self.now + max(0.2, retry_after_ms / 1000), self.send_request, client)
        else:
            self.schedule(client.ends_at, self.end_client, client)

    def release_server(self, client: Client) -> None:
        if client.server is not None:
            client.server.load -= client.load
            client.server = None

    def end_client(self, client: Client) -> None:
        if self.active_clients.pop(client.number, None) is None:
            return
        relay = self.relays[client.relay_number]
        if client.server is not None and client.request_id in relay.clients:
            name = client.server.name
            self.release_server(client)
            del relay.clients[client.request_id]
            self.handle_event(
                relay, AttemptEnded(client.request_id, client.attempts - 1, name, AttemptResult.OK, 0, True)
            )
        elif relay.clients.pop(client.request_id, None) is not None:
            self.handle_event(relay, RequestAbandoned(client.request_id))

    # Relays.

    def handle_event(self, relay: Relay, event: Event) -> None:
        if not relay.alive:
            return
        for action in relay.balancer.handle(self.now_ms, event):
            match action:
                case StartAttempt(request_id=request_id, server=server):
                    if (client := relay.clients.get(request_id)) is not None:
                        client.attempts += 1
                        self.schedule(
                            self.now + 2 * ONE_WAY_DELAY_SECONDS,
                            self.end_attempt,
                            relay,
                            relay.instance,
                            request_id,
                            client,
                            server,
                        )
                case Reject(request_id=request_id, retry_after_ms=retry_after_ms):
                    if (client := relay.clients.pop(request_id, None)) is not None:
                        self.retry_or_give_up(client, retry_after_ms)
                case FailRequest(request_id=request_id):
                    if (client := relay.clients.pop(request_id, None)) is not None:
                        self.retry_or_give_up(client, 500.0)
                case Migrate(request_id=request_id):
                    if (
                        client := relay.clients.pop(request_id, None)
                    ) is not None and client.server is not None:
                        name = client.server.name
                        self.release_server(client)
                        self.schedule(self.now, self.handle_event, relay,
                            AttemptEnded(request_id, client.attempts - 1, name, AttemptResult.CANCELLED, 0, True))  # fmt: skip
                        self.schedule(self.now + 0.1, self.send_request, client)
                case CheckHealth(server=server):
                    self.schedule(self.now + 2 * ONE_WAY_DELAY_SECONDS, self.end_health_check, relay, server)
                case SetTimer(token=token, at_ms=timer_at_ms):
                    self.schedule((timer_at_ms - 1e6) / 1000, self.handle_event, relay, TimerFired(token))

    def end_health_check(self, relay: Relay, name: str) -> None:
        server = self.servers[name]
        if server.is_up:
            report = {"load": server.load_ratio(self.now)}
            self.handle_event(relay, HealthCheckEnded(name, AttemptResult.OK, 2.0, report))
        else:
            self.handle_event(relay, HealthCheckEnded(name, AttemptResult.UNREACHABLE, 1.0))

    def end_attempt(self, relay: Relay, instance: int, request_id: int, client: Client, name: str) -> None:
        server = self.servers[name]
        if relay.instance != instance or not relay.alive or relay.clients.get(request_id) is not client:
            return
        number = client.attempts - 1
        if not server.is_up:
            self.handle_event(
                relay, AttemptEnded(request_id, number, name, AttemptResult.UNREACHABLE, 1.0, False)
            )
        else:
            client.server = server
            server.load += client.load
            self.handle_event(relay, ConnectionEstablished(request_id, number, name, 2.0))


CASES = {  # number of relays that die, number of servers that restart
    "30 of 40 die, 12 of 24 servers start anew": (30, 12),
    "19 of 40 die, 12 of 24 servers start anew": (19, 12),
    "30 of 40 die, no server starts anew": (30, 0),
}  # fmt: skip
SEED_COUNT = 8
WINDOWS = (
    ("before", 10.0, FAULT_AT_SECONDS),
    ("10 s after", FAULT_AT_SECONDS, FAULT_AT_SECONDS + 10.0),
    ("25 s after", FAULT_AT_SECONDS, FAULT_AT_SECONDS + 25.0),
)


def run_job(job: tuple[str, int, bool]) -> tuple[str, int, bool, list[float], int]:
    """Run one simulation; return its job, the fraction served in each window and the number of crashes."""
    case, seed, uses_view = job
    simulation = Simulation(seed, *CASES[case], uses_view).run()
    served_fractions = []
    for _, begin, end in WINDOWS:
        seconds = range(int(begin), int(end))
        served_fractions.append(
            sum(simulation.served_client_seconds.get(s, 0) for s in seconds)
            / sum(simulation.requested_client_seconds.get(s, 0) for s in seconds)
        )
    return case, seed, uses_view, served_fractions, simulation.crash_count


def main() -> int:
    """Measure and print the page; `--write` also stores it."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--write", action="store_true")
    args = parser.parse_args()
    jobs = [
        (case, seed, uses_view) for case in CASES for seed in range(SEED_COUNT) for uses_view in (False, True)
    ]
    with ProcessPoolExecutor(max(1, (os.cpu_count() or 2) - 1)) as pool:
        results = list(pool.map(run_job, jobs))
    lines = [
        "# What the living relays' number is worth", "",
        f"On {describe_machine()}, by `python -m benchmarks.fleet_worth --write`: virtual time, {SEED_COUNT} seeds, "
        "mean part of the worth asked for that is served well. Relays that died are back after 25 s.", "",
        "| case | number by | " + " | ".join(w for w, _, _ in WINDOWS) + " | cold servers pushed over |",
        "| --- | --- |" + " --- |" * (len(WINDOWS) + 1),
    ]  # fmt: skip
    for case in CASES:
        for uses_view in (False, True):
            matching = [r for r in results if r[0] == case and r[2] is uses_view]
            means = [statistics.mean(r[3][n] for r in matching) for n in range(len(WINDOWS))]
            lines.append(
                f"| {case} | {'the view' if uses_view else 'the settings'} | "
                + " | ".join(f"{value:.3f}" for value in means) + f" | {sum(r[4] for r in matching)} |"
            )  # fmt: skip
    text = "\n".join(lines) + "\n"
    print(text)
    if args.write:
        PAGE.write_text(text)
    return 0


if __name__ == "__main__":
    sys.exit(main())
