"""What the living relays' number is worth: `python -m benchmarks.fleet_worth [--write]`.

Forty relays, each with the decision module of service, before servers that report their load when probed. In
virtual time some relays die at once, and servers start anew, cold. The module divides the room of cold servers
by the relays that share it: by the settings' number, or by what the fleet's view says and when it says so.
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

TARGET = Path(__file__).parent.parent / "docs" / "measurements" / "fleet_worth.md"
RELAYS, SERVERS = 40, 24
DIE_AT, BACK_AFTER, END = 30.0, 25.0, 75.0  # s: relays die; as many are back; the run ends
COLD_TIME, COLD_START, FALL_AT, FALL_FOR = 20.0, 0.16, 3.0, 1.5  # s, part, times its capacity, s
LIFE, LOAD = 30.0, 0.01  # s of a connection; its load over a server's capacity
USED = 0.6  # part of the fleet's capacity that is in use
DEADLINE, TRIES, AGAIN = 1.8, 4, (0.3, 2.0)  # s; times a client comes; s until it does when its relay died
LIST_LATE, STEP, WAY = 0.5, 0.1, 0.001  # s: lists, between two looks at loads, one way on the network
STALE_AFTER, VIEW_AFTER, JOIN_AFTER = 3.0, 1.7, 1.5  # s: as measured (docs/measurements/fleet_view.md)


@dataclass(eq=False)
class Server:
    """One server: what it could do now, and what it has to."""

    name: str
    started: float = -1e6
    up: bool = True
    load: float = 0.0
    over: float = 0.0  # s for which it has had too much

    def capacity(self, now: float) -> float:
        return min(1.0, COLD_START + (1 - COLD_START) * (now - self.started) / COLD_TIME)

    def used(self, now: float) -> float:
        return self.load / self.capacity(now)


@dataclass(eq=False)
class Client:
    """One that wants a connection until `until`."""

    number: int
    load: float
    until: float
    relay: int = -1
    server: Server | None = None
    tries: int = 0
    request: int = 0
    begun: float = 0.0
    attempts: int = 0


@dataclass(eq=False)
class Relay:
    """A process with the module in it."""

    number: int
    balancer: Balancer
    clients: dict[int, Client] = field(default_factory=dict)  # by request
    alive: bool = True
    life: int = 0


class Site:
    """All of it, from one seed."""

    def __init__(self, seed: int, die: int, cold: int, told: bool) -> None:
        self.random, self.now, self.die, self.cold, self.told = Random(seed), 0.0, die, cold, told
        self.queue: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self.order, self.ids = itertools.count(), itertools.count(1)
        self.servers = {f"s{n}": Server(f"s{n}") for n in range(SERVERS)}
        self.settings = BalancerSettings(
            {"c": RequestClass(latency_objective_ms=800.0)},
            relay_count=RELAYS,
            max_attempts=4,
            slow_start_ms=COLD_TIME * 1000,
            slow_start_initial_fraction=COLD_START,
            slow_start_overload_factor=FALL_AT,
            max_retry_after_ms=900.0,
        )
        self.relays = [self.relay(n) for n in range(RELAYS)]
        self.asked: dict[int, float] = {}  # worth by second
        self.served: dict[int, float] = {}
        self.fallen = 0
        self.wanting: dict[int, Client] = {}

    def relay(self, n: int) -> Relay:
        return Relay(n, Balancer(self.settings, self.random.getrandbits(32), self.ms))

    @property
    def ms(self) -> float:
        return 1e6 + self.now * 1000

    def at(self, when: float, what: Callable[..., None], *values: Any) -> None:
        heapq.heappush(self.queue, (max(self.now, when), next(self.order), what, values))

    def run(self) -> Site:
        """Play it all."""
        for relay in self.relays:
            self.listed(relay, relay.life)
        rate = USED * SERVERS / LOAD / LIFE
        self.at(0.0, self.arrive, rate)
        self.at(STEP, self.look)
        self.at(DIE_AT, self.harm)
        while self.queue and self.queue[0][0] < END:
            self.now, _, what, values = heapq.heappop(self.queue)
            what(*values)
        return self

    # What happens to the site.

    def harm(self) -> None:
        dead = self.relays[: self.die]
        for relay in dead:
            relay.alive = False
            for client in list(relay.clients.values()):
                self.left(client)
                self.at(self.now + self.random.uniform(*AGAIN), self.come, client)
            relay.clients.clear()
        for server in list(self.servers.values())[: self.cold]:
            self.fall(server, 1.0)
        self.at(self.now + BACK_AFTER, self.back, dead)
        if self.told:
            majority = 2 * (RELAYS - self.die) > RELAYS
            count = RELAYS - self.die if majority else max(RELAYS - self.die, math.ceil(RELAYS / 2))
            self.at(self.now + (VIEW_AFTER if majority else STALE_AFTER), self.tell, count)
            self.at(self.now + BACK_AFTER + JOIN_AFTER, self.tell, RELAYS)

    def back(self, dead: list[Relay]) -> None:
        for relay in dead:
            fresh = self.relay(relay.number)
            fresh.life = relay.life + 1
            self.relays[relay.number] = fresh
            self.listed(fresh, fresh.life)

    def tell(self, count: int) -> None:
        from dataclasses import replace

        for relay in self.relays:
            if relay.alive:
                self.give(relay, SettingsChanged(replace(self.settings, relay_count=count)))

    def fall(self, server: Server, down: float) -> None:
        server.up, server.over = False, 0.0
        for relay in self.relays:
            for request, client in list(relay.clients.items()):
                if client.server is server:
                    self.left(client)
                    del relay.clients[request]
                    self.give(
                        relay,
                        AttemptEnded(request, client.attempts - 1, server.name, AttemptResult.RESET, 0, True),
                    )
                    self.at(self.now + self.random.uniform(*AGAIN), self.come, client)
        self.at(self.now + down, self.rise, server)
        self.change()

    def rise(self, server: Server) -> None:
        server.up, server.started = True, self.now
        self.change()

    def change(self) -> None:
        for relay in self.relays:
            late = self.random.uniform(0.5, 1.5) * LIST_LATE
            self.at(self.now + late, self.listed_now, relay.number, relay.life)

    def listed_now(self, number: int, life: int) -> None:
        self.listed(self.relays[number], life)

    def listed(self, relay: Relay, life: int) -> None:
        if relay.alive and relay.life == life:
            up = [s for s in self.servers.values() if s.up]
            entries = tuple(ServerEntry(s.name, started_at_ms=1e6 + s.started * 1000) for s in up)
            self.give(relay, ServerListUpdate(ServerListKind.COMPLETE, entries))

    def look(self) -> None:
        """Count what is served well, and see whether a cold server has had too much for too long."""
        for server in self.servers.values():
            used = server.used(self.now) if server.up else 0.0
            server.over = server.over + STEP if used > FALL_AT and server.capacity(self.now) < 1 else 0.0
            if server.over >= FALL_FOR:
                self.fallen += 1
                self.fall(server, 8.0)
        second = int(self.now)
        for client in list(self.wanting.values()):
            if self.now >= client.until:
                self.end(client)
                continue
            self.asked[second] = self.asked.get(second, 0.0) + STEP
            if client.server is not None:
                good = min(1.0, 1.0 / max(1e-9, client.server.used(self.now)))
                self.served[second] = self.served.get(second, 0.0) + STEP * good
        self.at(self.now + STEP, self.look)

    # Clients.

    def arrive(self, rate: float) -> None:
        client = Client(next(self.ids), LOAD * self.random.lognormvariate(-0.125, 0.5), 0.0)
        client.until = self.now + self.random.expovariate(1 / LIFE)
        self.wanting[client.number] = client
        self.come(client)
        self.at(self.now + self.random.expovariate(rate), self.arrive, rate)

    def come(self, client: Client) -> None:
        living = [relay for relay in self.relays if relay.alive]
        if client.number not in self.wanting or not living:
            return
        relay = self.random.choice(living)
        client.relay, client.request = relay.number, next(self.ids)
        client.begun, client.attempts = self.now, 0
        relay.clients[client.request] = client
        self.give(relay, RequestArrived(client.request, "c", DEADLINE * 1000, load=client.load * 1000))

    def refused(self, client: Client, after: float) -> None:
        client.tries += 1
        if client.tries < TRIES:
            self.at(self.now + max(0.2, after / 1000), self.come, client)
        else:
            self.at(client.until, self.end, client)

    def left(self, client: Client) -> None:
        if client.server is not None:
            client.server.load -= client.load
            client.server = None

    def end(self, client: Client) -> None:
        if self.wanting.pop(client.number, None) is None:
            return
        relay = self.relays[client.relay]
        if client.server is not None and client.request in relay.clients:
            name = client.server.name
            self.left(client)
            del relay.clients[client.request]
            self.give(
                relay, AttemptEnded(client.request, client.attempts - 1, name, AttemptResult.OK, 0, True)
            )
        elif relay.clients.pop(client.request, None) is not None:
            self.give(relay, RequestAbandoned(client.request))

    # Relays.

    def give(self, relay: Relay, event: Event) -> None:
        if not relay.alive:
            return
        for action in relay.balancer.handle(self.ms, event):
            match action:
                case StartAttempt(request_id=request, server=server):
                    if (client := relay.clients.get(request)) is not None:
                        client.attempts += 1
                        self.at(self.now + 2 * WAY, self.attempt, relay, relay.life, request, client, server)
                case Reject(request_id=request, retry_after_ms=after):
                    if (client := relay.clients.pop(request, None)) is not None:
                        self.refused(client, after)
                case FailRequest(request_id=request):
                    if (client := relay.clients.pop(request, None)) is not None:
                        self.refused(client, 500.0)
                case Migrate(request_id=request):
                    if (client := relay.clients.pop(request, None)) is not None and client.server is not None:
                        name = client.server.name
                        self.left(client)
                        self.at(self.now, self.give, relay,
                                AttemptEnded(request, client.attempts - 1, name, AttemptResult.CANCELLED, 0, True))  # fmt: skip
                        self.at(self.now + 0.1, self.come, client)
                case CheckHealth(server=server):
                    self.at(self.now + 2 * WAY, self.probed, relay, server)
                case SetTimer(token=token, at_ms=at):
                    self.at((at - 1e6) / 1000, self.give, relay, TimerFired(token))

    def probed(self, relay: Relay, name: str) -> None:
        server = self.servers[name]
        if server.up:
            report = {"load": server.used(self.now)}
            self.give(relay, HealthCheckEnded(name, AttemptResult.OK, 2.0, report))
        else:
            self.give(relay, HealthCheckEnded(name, AttemptResult.UNREACHABLE, 1.0))

    def attempt(self, relay: Relay, life: int, request: int, client: Client, name: str) -> None:
        server = self.servers[name]
        if relay.life != life or not relay.alive or relay.clients.get(request) is not client:
            return
        number = client.attempts - 1
        if not server.up:
            self.give(relay, AttemptEnded(request, number, name, AttemptResult.UNREACHABLE, 1.0, False))
        else:
            client.server = server
            server.load += client.load
            self.give(relay, ConnectionEstablished(request, number, name, 2.0))


CASES = {  # relays that die, servers that start anew
    "30 of 40 die, 12 of 24 servers start anew": (30, 12),
    "19 of 40 die, 12 of 24 servers start anew": (19, 12),
    "30 of 40 die, no server starts anew": (30, 0),
}  # fmt: skip
SEEDS = 8
WINDOWS = (
    ("before", 10.0, DIE_AT),
    ("10 s after", DIE_AT, DIE_AT + 10.0),
    ("25 s after", DIE_AT, DIE_AT + 25.0),
)


def played(job: tuple[str, int, bool]) -> tuple[str, int, bool, list[float], int]:
    """One run: the part of the worth that is served in each window, and servers that were pushed over."""
    case, seed, told = job
    site = Site(seed, *CASES[case], told).run()
    parts = []
    for _, begin, end in WINDOWS:
        seconds = range(int(begin), int(end))
        parts.append(sum(site.served.get(s, 0) for s in seconds) / sum(site.asked.get(s, 0) for s in seconds))
    return case, seed, told, parts, site.fallen


def main() -> int:
    """Measure and print; `--write` keeps the result."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--write", action="store_true")
    args = parser.parse_args()
    jobs = [(case, seed, told) for case in CASES for seed in range(SEEDS) for told in (False, True)]
    with ProcessPoolExecutor(max(1, (os.cpu_count() or 2) - 1)) as pool:
        results = list(pool.map(played, jobs))
    lines = [
        "# What the living relays' number is worth", "",
        f"On {describe_machine()}, by `python -m benchmarks.fleet_worth --write`: virtual time, {SEEDS} seeds, mean part of the "
        "worth asked for that is served well. Relays that died are back after 25 s.", "",
        "| case | number by | " + " | ".join(w for w, _, _ in WINDOWS) + " | cold servers pushed over |",
        "| --- | --- |" + " --- |" * (len(WINDOWS) + 1),
    ]  # fmt: skip
    for case in CASES:
        for told in (False, True):
            mine = [r for r in results if r[0] == case and r[2] is told]
            means = [statistics.mean(r[3][n] for r in mine) for n in range(len(WINDOWS))]
            lines.append(
                f"| {case} | {'the view' if told else 'the settings'} | "
                + " | ".join(f"{value:.3f}" for value in means) + f" | {sum(r[4] for r in mine)} |"
            )  # fmt: skip
    text = "\n".join(lines) + "\n"
    print(text)
    if args.write:
        TARGET.write_text(text)
    return 0


if __name__ == "__main__":
    sys.exit(main())
