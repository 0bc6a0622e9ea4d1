"""The decision module on a real clock: events in, awaitable decisions out to the task that owns a request.

The controller owns the `Balancer` and is the only one that calls it. It keeps the rules that no front may
break: one final answer a request, no two attempts of it at once, and nothing new to a server that the list
has not named or that drains.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable, Mapping, Sequence
from dataclasses import replace
from typing import Protocol, TypeVar

from violetdoor.balancing.actions import (
    Action,
    CheckHealth,
    FailRequest,
    Migrate,
    Reject,
    SetTimer,
    StartAttempt,
    WatchServerList,
)
from violetdoor.balancing.balancer import Balancer
from violetdoor.balancing.events import (
    ConnectionAdopted,
    Event,
    LearnedState,
    RequestArrived,
    ServerEntry,
    ServerListUpdate,
    ServerState,
    SettingsChanged,
)
from violetdoor.balancing.settings import BalancerSettings
from violetdoor.core.delays import DelayReporter, MessageDelays
from violetdoor.core.endpoints import ServerEndpoints
from violetdoor.core.evacuation import BanEvacuation
from violetdoor.core.health_checks import HealthChecks
from violetdoor.core.overrides import EndpointOverrides
from violetdoor.core.request_handle import EstablishedByServer, RequestAttributes, RequestHandle
from violetdoor.core.timers import BalancerTimers
from violetdoor.core.unresponsive import UnresponsiveServerDetector

# After which a server that reported that it drains is as listed: lists come within 6 s.
SELF_REPORT_TTL_SECONDS = 30.0
# For which a class that settings name no more is known: a request of an earlier run has so long to come up.
REMOVED_CLASS_TTL_SECONDS = 40.0


class Classified(Protocol):
    """Anything that belongs to a class of requests."""

    @property
    def request_class(self) -> str:
        """The name of the class."""


ClassifiedT = TypeVar("ClassifiedT", bound=Classified)


def _shortest_message_objective(settings: BalancerSettings) -> float:
    """Return the shortest message latency objective of all classes in ms, 0 without classes."""
    objectives = [request_class.message_latency_objective_ms for request_class in settings.classes.values()]
    return min(objectives, default=0.0)


class Controller:
    """Owns the Balancer: gives it events, carries out its actions."""

    def __init__(
        self,
        settings: BalancerSettings,
        seed: int,
        clock: Callable[[], float],
        *,
        reports_message_delay: bool = False,
    ) -> None:
        """Start in the running loop; `clock` gives the relay's time in ms."""
        self.settings = settings
        self.now = clock
        self.loop = asyncio.get_running_loop()
        self.balancer = Balancer(settings, seed, clock())
        self.requests: dict[int, RequestHandle] = {}  # by id, until they are forgotten
        self.established: EstablishedByServer = {}
        self.overrides = EndpointOverrides()
        self.endpoints = ServerEndpoints(self.overrides)
        self.timers = BalancerTimers(clock, self.handle)
        self.health_checks = HealthChecks(self.accepts_new_work, self.handle)
        self.watch_server_list: Callable[[], None] = lambda: None
        self.on_server_draining: Callable[[str], None] = lambda _server: None
        self.message_delays = MessageDelays(_shortest_message_objective(settings))
        self.unresponsive_servers = UnresponsiveServerDetector(self.established, clock)
        self._delay_reporter = DelayReporter(self.message_delays, self.established, clock, self.handle)
        self._delay_reporter.is_enabled = reports_message_delay and bool(settings.classes)
        self._ban_evacuation = BanEvacuation(self.overrides.bans, self.established, clock)
        self._configured_settings = settings
        self._live_relay_count: int | None = None  # None: not known, the settings say how many there are
        self._last_request_id = 0

    # The decision module.

    def handle(self, event: Event) -> None:
        """Give the module an event, carry out what it returns."""
        for action in self.balancer.handle(self.now(), event):
            self.carry_out(action)

    def carry_out(self, action: Action) -> None:
        """Carry out one action of the module."""
        match action:
            case StartAttempt() | Reject() | FailRequest():
                if request := self.requests.get(action.request_id):
                    request.deliver_decision(action)
            case SetTimer():
                self.timers.set(action.token, action.at_ms)
            case Migrate():
                request = self.requests.get(action.request_id)
                if request and not request.migration_requested.done():
                    request.migration_requested.set_result(None)
            case WatchServerList():
                self.watch_server_list()
            case CheckHealth():
                self.health_checks.request(action.server)

    # Settings.

    def reconfigure(self, settings: BalancerSettings, *, reports_message_delay: bool) -> None:
        """Apply new settings at once; classes that they name no more stay a while for open requests."""
        self.message_delays.set_shortest_objective(_shortest_message_objective(settings))
        self._delay_reporter.is_enabled = reports_message_delay and bool(settings.classes)
        self._configured_settings = settings
        self.settings = replace(
            settings,
            relay_count=self._relay_count(),
            classes={**self.settings.classes, **settings.classes},
        )
        self.handle(SettingsChanged(self.settings))
        if len(self.settings.classes) > len(settings.classes):
            self.loop.call_later(REMOVED_CLASS_TTL_SECONDS, self._forget_removed_classes)

    def _forget_removed_classes(self) -> None:
        """Guard against classes of all settings that ever held: their objectives would count for ever."""
        self.settings = replace(self.settings, classes=self._configured_settings.classes)
        self.handle(SettingsChanged(self.settings))

    def set_live_relay_count(self, count: int | None) -> None:
        """Set how many relays share the servers now; None: nobody knows better than the settings."""
        self._live_relay_count = count
        relay_count = self._relay_count()
        if relay_count != self.settings.relay_count:
            self.settings = replace(self.settings, relay_count=relay_count)
            self.handle(SettingsChanged(self.settings))

    def _relay_count(self) -> int:
        if self._live_relay_count is None:
            return self._configured_settings.relay_count
        return self._live_relay_count

    # Servers.

    def update_server_list(self, update: ServerListUpdate) -> None:
        """Take in the endpoint list, a change of it, or a poll for it that failed."""
        self.handle(self.endpoints.update(update))

    def accepts_new_work(self, server: str) -> bool:
        """Tell whether new work may go to this server now."""
        return self.endpoints.accepts_new_work(server)

    def has_ready_server(self) -> bool:
        """Tell whether the list names any server that accepts new work."""
        return self.endpoints.has_ready_server()

    def avoided_server_count(self) -> int:
        """Count the servers of the list that get nothing new, by a ban or by the module's choice."""
        avoided = self.balancer.avoided_servers() | self.overrides.bans.keys()
        return len(avoided & self.endpoints.entries.keys())

    def ban(self, server: str, since_ms: float) -> bool:
        """Send nothing new to a server and migrate its clients; False for one never listed."""
        if server not in self.endpoints.known_names:
            return False
        if server not in self.overrides.bans:
            self.overrides.bans[server] = since_ms
            self._emit_endpoint(server)
            self._ban_evacuation.start(server)
        return True

    def lift_ban(self, server: str) -> bool:
        """Use a banned server again, warming up, with nothing remembered; False for one never listed."""
        if server not in self.endpoints.known_names:
            return False
        if self.overrides.lift_ban(server, self.now()):
            self._emit_endpoint(server)
        return True

    def mark_draining(self, server: str, *, reported_by_peer: bool = False) -> None:
        """Take a server as draining since it said so itself, until it starts anew or a TTL is over.

        `reported_by_peer`: it said so to another relay.
        """
        entry = self.endpoints.entries.get(server)
        if entry is None or entry.state is not ServerState.READY:
            return
        effective = self.overrides.apply_to(entry)  # one whose ban was lifted has started since
        if self.overrides.has_reported_draining(effective):
            return
        self.record_self_reported_draining({server: effective.started_at_ms})
        self._emit_endpoint(server)
        if not reported_by_peer:
            self.on_server_draining(server)

    def record_self_reported_draining(self, started_at_by_server: Mapping[str, float]) -> None:
        """Take servers as draining for the TTL, by the start of the process that said so."""
        self.overrides.self_reported_draining.update(started_at_by_server)
        for server, started_at in started_at_by_server.items():
            self.loop.call_later(
                SELF_REPORT_TTL_SECONDS, self._expire_self_reported_draining, server, started_at
            )

    def _expire_self_reported_draining(self, server: str, started_at: float) -> None:
        """Go by the list again, which may have said anything meanwhile."""
        if self.overrides.self_reported_draining.get(server) == started_at:
            del self.overrides.self_reported_draining[server]
            self._emit_endpoint(server)

    def _emit_endpoint(self, server: str) -> None:
        """Tell the module how a server's entry is now that its overrides have changed."""
        update = self.endpoints.current_update(server)
        if update is not None:
            self.handle(update)

    # Requests.

    def open_request(self, attributes: RequestAttributes, time_left_ms: float) -> RequestHandle:
        """Take a request; its handle brings the module's decisions."""
        request = self._new_request(attributes.request_class, self.now() + time_left_ms)
        self.handle(
            RequestArrived(
                request.request_id,
                attributes.request_class,
                time_left_ms,
                attributes.tenant,
                attributes.idempotency_key,
                attributes.load,
                attributes.group,
                is_retry=attributes.is_retry,
                is_reconnect=attributes.is_reconnect,
            )
        )
        return request

    def adopt_connection(self, attributes: RequestAttributes, server: str) -> RequestHandle:
        """Take a connection that was established at this server before this program started."""
        request = self._new_request(attributes.request_class, math.inf)
        request.mark_adopted(server)
        self.add_established(request)
        self.handle(
            ConnectionAdopted(
                request.request_id,
                attributes.request_class,
                server,
                attributes.tenant,
                attributes.idempotency_key,
                attributes.load,
                attributes.group,
            )
        )
        return request

    def _new_request(self, request_class: str, deadline_ms: float) -> RequestHandle:
        self._last_request_id += 1
        request = RequestHandle(self, self._last_request_id, request_class, deadline_ms)
        self.requests[request.request_id] = request
        return request

    def may_start(self, attempt: StartAttempt) -> bool:
        """Tell whether an attempt may still start; ask just before its first byte.

        A connection can come up late. Guards against a request to a server that drains by now, and against
        a retry after the end of its class's deduplication window.
        """
        return self.accepts_new_work(attempt.server) and self.now() <= attempt.start_by_ms

    def add_established(self, request: RequestHandle) -> None:
        """Count a request's connection as established at its server."""
        self.established.setdefault(request.server, {})[request.request_id] = request

    def record_answer(self, server: str, sent_at_ms: float) -> None:
        """Record that a server answered a message that was sent to it at this time."""
        now = self.now()
        self.unresponsive_servers.last_answer_at[server] = now
        self.message_delays.add(server, now - sent_at_ms)

    def forget(self, request: RequestHandle) -> None:
        """Drop a request that is over."""
        self.requests.pop(request.request_id, None)
        at_server = self.established.get(request.server)
        if not at_server:
            return
        at_server.pop(request.request_id, None)
        if not at_server:
            del self.established[request.server]
            self.unresponsive_servers.last_answer_at.pop(request.server, None)

    def select_lowest_priority(self, candidates: Sequence[ClassifiedT], fraction: float) -> list[ClassifiedT]:
        """Return this fraction, rounded up: those of the lowest priority weight, in the order given."""
        weights = {name: found.priority_weight for name, found in self.settings.classes.items()}
        ordered = sorted(candidates, key=lambda candidate: weights.get(candidate.request_class, 0.0))
        return ordered[: math.ceil(len(ordered) * fraction)]

    # Two processes of one relay.

    def load_by_server(self) -> dict[str, tuple[float, int]]:
        """Return load and number of the connections that are established here, by server."""
        requests = self.balancer.requests
        loads = {
            server: [requests[number].load for number in at_server if number in requests]
            for server, at_server in self.established.items()
        }
        return {server: (sum(found), len(found)) for server, found in loads.items()}

    def restore(self, learned: LearnedState, entries: dict[str, ServerEntry]) -> None:
        """Begin from what the process before this one knew; its bans are in force already."""
        self.handle(replace(learned, server_list=self.endpoints.restore(entries)))

    def set_health_checks_paused(self, *, paused: bool) -> None:
        """Check no more, since another process of this relay does; or check again."""
        if self.health_checks.are_paused and not paused:
            for server in self.balancer.servers.values():
                server.is_check_pending = False
        self.health_checks.are_paused = paused
