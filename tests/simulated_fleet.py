"""A fleet of decision modules and its servers in virtual time; counts the attempts at servers that warm up.

No sockets: actions come out of each module, and their results go back as events at a later time. All times are ms.
"""

from __future__ import annotations

import heapq
import itertools
import math
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Any

from violetdoor.balancing.actions import CheckHealth, FailRequest, Migrate, Reject, SetTimer, StartAttempt
from violetdoor.balancing.balancer import Balancer
from violetdoor.balancing.events import (
    AttemptEnded,
    AttemptResult,
    ConnectionEstablished,
    ConnectionMeasured,
    Event,
    HealthCheckEnded,
    MeasurementKind,
    RequestArrived,
    ServerEntry,
    ServerListKind,
    ServerListUpdate,
    TimerFired,
)
from violetdoor.balancing.settings import BalancerSettings, ExecutionSemantics, RequestClass

START_MS = 1_000_000.0  # on the clock by which servers report their start
SETUP_MS = 3.0  # time that setting up a connection takes
IDLE_HEALTH_CHECK_MS = 2.0  # time of a health check of an idle server
CLIENT_TIMEOUT_MS = 2_000.0  # time that a client waits for its answer
RECONNECT_DELAY_MS = (71.0, 1_900.0)  # range of the time until a client whose connection broke is back
MIGRATION_RECONNECT_DELAY_MS = 100.0  # time until a client whose connection was migrated is back
LATE_MESSAGE_LOAD = 0.95  # load over capacity from which messages are late, measured each second
MESSAGE_LATENCY_OBJECTIVE_MS = 50.0


@dataclass(frozen=True)
class Site:
    """Settings and machines of a deployment, as far as slow start depends on them."""

    capacity: float = 60.0  # connections that fill a warm server
    slow_start_ms: float = 8_900.0
    slow_start_initial_fraction: float = 0.38
    slow_start_overload_factor: float = 4.0  # times its capacity at that moment at which a server fails
    overload_window_ms: float = 3_000.0  # in which attempts are counted for that
    servers: int = 14
    relays: int = 30
    mean_load: float = 0.6  # over capacity
    connection_lifetime_ms: float = 35_000.0
    groups: int = 0  # 0: connections belong to none
    semantics: ExecutionSemantics = ExecutionSemantics.IDEMPOTENT

    def allowed_attempts(self, capacity_fraction: float) -> float:
        """Return how many attempts in one window a server of this capacity takes, with an allowance for chance."""
        budget = (
            self.slow_start_overload_factor
            * capacity_fraction
            * self.capacity
            / self.slow_start_ms
            * self.overload_window_ms
        )
        return budget + 2 * math.sqrt(budget) + 2


@dataclass(eq=False)
class Server:
    """A server and the attempts that reached it."""

    entry: ServerEntry
    clients: dict[int, Client] = field(default_factory=dict)
    attempted_at_ms: list[float] = field(default_factory=list)  # since its start
    is_up: bool = True
    is_hanging: bool = False


@dataclass(eq=False)
class Client:
    """A client and its connection or request."""

    id: int
    group: int | None
    relay: int = -1
    request_id: int = -1
    attempt: int = -1
    server: Server | None = None
    is_connected: bool = False


class Fleet:
    """Relays, servers and clients; all chance is drawn from one seed."""

    def __init__(self, site: Site, seed: int) -> None:
        self.site = site
        self.random = Random(seed)
        self.now_ms = START_MS
        self.queue: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self.sequence = itertools.count()
        self.ids = itertools.count(1)
        request_class = RequestClass(
            latency_objective_ms=800.0,
            semantics=site.semantics,
            deduplication_window_ms=60_000.0,
            message_latency_objective_ms=MESSAGE_LATENCY_OBJECTIVE_MS,
        )
        self.settings = BalancerSettings(
            classes={"c": request_class},
            zone="a",
            relay_count=site.relays,
            health_checks_report_load=False,
            health_checks_are_timed=True,
            max_attempts=3,
            max_retry_after_ms=1_500.0,
            slow_start_ms=site.slow_start_ms,
            slow_start_initial_fraction=site.slow_start_initial_fraction,
            slow_start_overload_factor=site.slow_start_overload_factor,
            polls_server_list=True,
        )
        self.servers = {f"s{n}": Server(ServerEntry(f"s{n}", "a")) for n in range(site.servers)}
        self.relays = [self.new_balancer() for _ in range(site.relays)]
        self.requests: list[dict[int, Client]] = [{} for _ in self.relays]
        self.incarnations = [0] * site.relays
        self.arrivals_per_ms = site.mean_load * site.servers * site.capacity / site.connection_lifetime_ms
        for n in range(site.relays):
            self.deliver(n, ServerListUpdate(ServerListKind.COMPLETE, self.entries()))
        for _ in range(int(self.arrivals_per_ms * site.connection_lifetime_ms)):  # connected at the start
            self.schedule(
                START_MS + self.random.uniform(0.0, 2_000.0), self.connect, self.new_client(), False
            )
        self.schedule(START_MS, self.client_arrives)
        self.schedule(START_MS + 500.0, self.measure_message_delays)

    def new_balancer(self) -> Balancer:
        return Balancer(self.settings, self.random.getrandbits(32), self.now_ms)

    def entries(self) -> tuple[ServerEntry, ...]:
        return tuple(s.entry for s in self.servers.values() if s.is_up)

    def schedule(self, when_ms: float, callback: Callable[..., None], *values: Any) -> None:
        heapq.heappush(self.queue, (max(self.now_ms, when_ms), next(self.sequence), callback, values))

    def advance(self, until_ms: float) -> Fleet:
        """Advance to so many ms after the start."""
        while self.queue[0][0] < START_MS + until_ms:
            self.now_ms, _, callback, values = heapq.heappop(self.queue)
            callback(*values)
        self.now_ms = START_MS + until_ms
        return self

    # Faults.

    def start_server(self, name: str) -> Server:
        """Start a server that has to warm up, and announce it to all relays at once."""
        server = self.servers[name] = Server(ServerEntry(name, "a", started_at_ms=self.now_ms))
        self.announce(server.entry)
        return server

    def announce(self, entry: ServerEntry) -> None:
        for n in range(len(self.relays)):
            self.deliver(n, ServerListUpdate(ServerListKind.INCREMENTAL, (entry,)))

    def crash_server(self, name: str) -> None:
        """Fail a server: its clients reconnect, its attempts in flight may have been executed."""
        server = self.servers[name]
        server.is_up = False
        for client in list(server.clients.values()):
            self.break_connection(client, AttemptResult.RESET)

    def restart_relay(self, relay: int) -> None:
        """Kill a relay and start it again from its cached list; its clients reconnect to any relay."""
        clients = list(self.requests[relay].values())
        self.requests[relay].clear()
        self.incarnations[relay] += 1
        for client in clients:
            if client.server is not None:
                client.server.clients.pop(client.id, None)
            client.server = None
            client.is_connected = False
            self.schedule(self.now_ms + self.random.uniform(*RECONNECT_DELAY_MS), self.connect, client, True)
        self.relays[relay] = self.new_balancer()
        self.deliver(relay, ServerListUpdate(ServerListKind.CACHED, self.entries()))

    # Clients.

    def new_client(self) -> Client:
        group = None
        if self.site.groups:  # a few groups are large
            group = min(int(self.random.paretovariate(0.7)), self.site.groups)
        return Client(next(self.ids), group)

    def client_arrives(self) -> None:
        self.schedule(self.now_ms + self.random.expovariate(self.arrivals_per_ms), self.client_arrives)
        self.connect(self.new_client(), False)

    def multiply_traffic(self, factor: float) -> None:
        """Let traffic grow by this factor."""
        self.arrivals_per_ms *= factor

    def connect(self, client: Client, is_reconnect: bool) -> None:
        client.relay = self.random.randrange(len(self.relays))
        client.request_id = next(self.ids)
        client.attempt = -1
        client.server = None
        client.is_connected = False
        self.requests[client.relay][client.request_id] = client
        arrival = RequestArrived(
            client.request_id, "c", CLIENT_TIMEOUT_MS, load=1.0, group=client.group, is_reconnect=is_reconnect
        )
        self.deliver(client.relay, arrival)

    def rejected(self, relay: int, request_id: int, retry_after_ms: float) -> None:
        client = self.requests[relay].pop(request_id)
        self.schedule(self.now_ms + max(retry_after_ms, 100.0), self.connect, client, False)

    # Actions of the decision modules.

    def deliver(self, relay: int, event: Event) -> None:
        incarnation = self.incarnations[relay]
        for action in self.relays[relay].handle(self.now_ms, event):
            match action:
                case StartAttempt():
                    self.start_attempt(relay, action)
                case Reject():
                    self.rejected(relay, action.request_id, action.retry_after_ms)
                case FailRequest():
                    self.rejected(relay, action.request_id, 500.0)
                case SetTimer() if action.token != "list":
                    self.schedule(action.at_ms, self.fire_timer, relay, incarnation, action.token)
                case Migrate():
                    self.migrate(relay, action.request_id)
                case CheckHealth():
                    self.start_health_check(relay, incarnation, self.servers[action.server])

    def fire_timer(self, relay: int, incarnation: int, token: str) -> None:
        if self.incarnations[relay] == incarnation:
            self.deliver(relay, TimerFired(token))

    def start_health_check(self, relay: int, incarnation: int, server: Server) -> None:
        if not server.is_up:
            self.schedule(
                self.now_ms + 1.0,
                self.finish_health_check,
                relay,
                incarnation,
                server,
                AttemptResult.UNREACHABLE,
                1.0,
            )
            return
        load = min(0.97, self.load(server))
        latency_ms = (
            500.0 if server.is_hanging else IDLE_HEALTH_CHECK_MS * (1 + load * load / (4 * (1 - load)))
        )
        result = AttemptResult.TIMEOUT if server.is_hanging else AttemptResult.OK
        self.schedule(
            self.now_ms + latency_ms, self.finish_health_check, relay, incarnation, server, result, latency_ms
        )

    def finish_health_check(
        self, relay: int, incarnation: int, server: Server, result: AttemptResult, latency_ms: float
    ) -> None:
        if self.incarnations[relay] == incarnation:
            self.deliver(relay, HealthCheckEnded(server.entry.name, result, latency_ms))

    def start_attempt(self, relay: int, action: StartAttempt) -> None:
        client, server = self.requests[relay][action.request_id], self.servers[action.server]
        client.server, client.attempt, client.is_connected = server, client.attempt + 1, False
        server.attempted_at_ms.append(self.now_ms)
        has_capacity = len(server.clients) < 2 * self.site.capacity
        if server.is_up and has_capacity:
            server.clients[client.id] = client
        if not server.is_up:
            self.schedule(
                self.now_ms + 1.0,
                self.end_attempt,
                client,
                client.request_id,
                client.attempt,
                AttemptResult.UNREACHABLE,
            )
        elif not has_capacity:
            self.schedule(
                self.now_ms + 1.0,
                self.end_attempt,
                client,
                client.request_id,
                client.attempt,
                AttemptResult.OVERLOADED,
            )
        elif server.is_hanging:
            at, result = action.timeout_at_ms, AttemptResult.TIMEOUT
            self.schedule(at, self.end_attempt, client, client.request_id, client.attempt, result)
        else:
            self.schedule(self.now_ms + SETUP_MS, self.establish, client, client.request_id, client.attempt)

    def establish(self, client: Client, request_id: int, attempt: int) -> None:
        if (client.request_id, client.attempt) != (request_id, attempt) or client.server is None:
            return
        client.is_connected = True
        self.deliver(
            client.relay, ConnectionEstablished(request_id, attempt, client.server.entry.name, SETUP_MS)
        )
        self.schedule(
            self.now_ms + self.random.expovariate(1 / self.site.connection_lifetime_ms),
            self.disconnect,
            client,
            request_id,
        )

    def disconnect(self, client: Client, request_id: int) -> None:
        if client.request_id == request_id and client.is_connected:
            self.end_connection(client, AttemptResult.OK)

    def migrate(self, relay: int, request_id: int) -> None:
        client = self.requests[relay].get(request_id)
        if client is not None and client.is_connected:
            self.end_connection(client, AttemptResult.CANCELLED)
            self.schedule(self.now_ms + MIGRATION_RECONNECT_DELAY_MS, self.connect, client, True)

    def break_connection(self, client: Client, result: AttemptResult) -> None:
        if client.is_connected:
            self.end_connection(client, result)
            self.schedule(self.now_ms + self.random.uniform(*RECONNECT_DELAY_MS), self.connect, client, True)
        else:
            self.end_attempt(client, client.request_id, client.attempt, result)

    def end_attempt(self, client: Client, request_id: int, attempt: int, result: AttemptResult) -> None:
        """End an attempt without a connection; its relay may retry."""
        if (client.request_id, client.attempt) != (request_id, attempt) or client.server is None:
            return
        server, client.server = client.server, None
        server.clients.pop(client.id, None)
        outcome = AttemptEnded(request_id, attempt, server.entry.name, result, 1.0, False)
        self.deliver(client.relay, outcome)

    def end_connection(self, client: Client, result: AttemptResult) -> None:
        server, request_id = client.server, client.request_id
        assert server is not None
        server.clients.pop(client.id, None)
        del self.requests[client.relay][request_id]
        client.server = None
        client.is_connected = False
        client.request_id = -1
        self.deliver(
            client.relay, AttemptEnded(request_id, client.attempt, server.entry.name, result, 1.0, True)
        )

    # Servers.

    def capacity_fraction(self, server: Server, at_ms: float) -> float:
        if not server.entry.started_at_ms:
            return 1.0
        fraction = (at_ms - server.entry.started_at_ms) / self.site.slow_start_ms
        return min(
            1.0,
            self.site.slow_start_initial_fraction + (1 - self.site.slow_start_initial_fraction) * fraction,
        )

    def load(self, server: Server) -> float:
        return len(server.clients) / (self.site.capacity * self.capacity_fraction(server, self.now_ms))

    def measure_message_delays(self) -> None:
        """Measure each second, on one connection of each relay, how late an overloaded server's messages are."""
        self.schedule(self.now_ms + 1_000.0, self.measure_message_delays)
        for server in self.servers.values():
            if not server.is_up or (excess_load := self.load(server) - LATE_MESSAGE_LOAD) <= 0:
                continue
            carriers = {c.relay: c for c in server.clients.values() if c.is_connected}
            for client in carriers.values():
                if client.is_connected:
                    kind = MeasurementKind.MESSAGE_DELAY
                    delay = MESSAGE_LATENCY_OBJECTIVE_MS * (1 + 10 * excess_load)
                    name = server.entry.name
                    self.deliver(
                        client.relay, ConnectionMeasured(client.request_id, client.attempt, name, kind, delay)
                    )

    def worst_window(self, server: Server) -> tuple[float, int, float]:
        """Return the window of slow start with the most attempts: fraction of the allowed, attempts, allowed."""
        found, first = (0.0, 0, 0.0), 0
        for last, at in enumerate(server.attempted_at_ms):
            while server.attempted_at_ms[first] <= at - self.site.overload_window_ms:
                first += 1
            if self.capacity_fraction(server, at) >= 1:
                break
            count = last - first + 1
            allowed = self.site.allowed_attempts(
                self.capacity_fraction(
                    server, max(server.entry.started_at_ms, at - self.site.overload_window_ms)
                )
            )
            found = max(found, (count / allowed, count, allowed))
        return found
