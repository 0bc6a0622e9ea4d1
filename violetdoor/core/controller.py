"""Runs the decision module on a real clock and passes its decisions to the tasks that own the requests.

Only the controller calls the `Balancer`. It enforces the rules that apply to all fronts: one final answer per
request, no concurrent attempts of a request, and no new work for a server that is unlisted or draining.
"""

from __future__ import annotations

import asyncio
import contextlib
import math
from collections.abc import Callable, Mapping, Sequence, Set
from dataclasses import replace
from typing import Protocol, TypeVar

from violetdoor.balancing.actions import (
    Action,
    CheckHealth,
    EventHandlingError,
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
    RequestAbandoned,
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

# How long self-reported draining overrides the server list; list updates arrive within 6 s.
SELF_REPORT_TTL_SECONDS = 30.0
# How long a class that was removed from the settings stays valid, for requests read before the change.
REMOVED_CLASS_TTL_SECONDS = 40.0


class Classified(Protocol):
    """An object that has a request class."""

    @property
    def request_class(self) -> str:
        """The name of the request class."""


ClassifiedT = TypeVar("ClassifiedT", bound=Classified)


def _shortest_message_objective(settings: BalancerSettings) -> float:
    """Return the shortest message latency objective of all classes in ms, or 0 without classes."""
    objectives = [request_class.message_latency_objective_ms for request_class in settings.classes.values()]
    return min(objectives, default=0.0)


class Controller:
    """Owns the balancer: passes events to it and executes its actions."""

    def __init__(
        self,
        settings: BalancerSettings,
        seed: int,
        clock: Callable[[], float],
        *,
        reports_message_delay: bool = False,
    ) -> None:
        """Start in the running event loop; `clock` returns the relay's time in ms."""
        self.settings = settings
        self.now = clock
        self.loop = asyncio.get_running_loop()
        self.balancer = Balancer(settings, seed, clock())
        self.requests: dict[int, RequestHandle] = {}  # by request id, until they end
        self.established: EstablishedByServer = {}
        self.overrides = EndpointOverrides()
        self.endpoints = ServerEndpoints(self.overrides)
        self.timers = BalancerTimers(clock, self.handle, self._fail_request_of_timer)
        self.health_checks = HealthChecks(self.accepts_new_work, self.handle)
        self.watch_server_list: Callable[[], None] = lambda: None
        self.on_server_draining: Callable[[str], None] = lambda _server: None
        # The classes with which open sessions may still open requests; set by a front that has such sessions.
        self.classes_in_use: Callable[[], Set[str]] = frozenset
        self.message_delays = MessageDelays(_shortest_message_objective(settings))
        self.unresponsive_servers = UnresponsiveServerDetector(self.established, clock)
        self._delay_reporter = DelayReporter(self.message_delays, self.established, clock, self.handle)
        self._delay_reporter.is_enabled = reports_message_delay and bool(settings.classes)
        self._ban_evacuation = BanEvacuation(self.overrides.bans, self.established, clock)
        self._configured_settings = settings
        self._drop_retry: asyncio.TimerHandle | None = None  # one at most, however many reloads there were
        self._live_relay_count: int | None = None  # None if unknown: the settings apply
        self._last_request_id = 0

    # The decision module.

    def handle(self, event: Event) -> None:
        """Pass an event to the decision module and execute the actions that it returns.

        Raises EventHandlingError if the module fails; what it decided before is executed all the same.
        """
        try:
            actions = self.balancer.handle(self.now(), event)
        except EventHandlingError as error:
            self._execute_actions(error.actions)
            raise
        self._execute_actions(actions)

    def _execute_actions(self, actions: Sequence[Action]) -> None:
        for action in actions:
            self.execute_action(action)

    def execute_action(self, action: Action) -> None:
        """Execute one action of the decision module."""
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

    def _fail_request_of_timer(self, token: str) -> None:
        """Give a request its final answer after its timer has failed: no further event would come for it."""
        request = self.requests.get(int(token)) if token.isdecimal() else None
        if request is None or request.is_finished or request.has_attempt_in_flight:
            return  # the end of an attempt is a further event
        with contextlib.suppress(EventHandlingError):
            self.handle(RequestAbandoned(request.request_id))
        request.deliver_decision(FailRequest(request.request_id))

    # Settings.

    def reconfigure(self, settings: BalancerSettings, *, reports_message_delay: bool) -> None:
        """Apply new settings at once; removed classes stay valid for a while, for open requests."""
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
            self.loop.call_later(REMOVED_CLASS_TTL_SECONDS, self._drop_removed_classes)

    def _drop_removed_classes(self) -> None:
        """Drop removed classes that no session uses: they would accumulate, and their objectives apply."""
        in_use = self.classes_in_use()
        retained = {name: found for name, found in self.settings.classes.items() if name in in_use}
        self.settings = replace(self.settings, classes=retained | dict(self._configured_settings.classes))
        self.handle(SettingsChanged(self.settings))
        has_removed = len(self.settings.classes) > len(self._configured_settings.classes)
        if has_removed and self._drop_retry is None:
            self._drop_retry = self.loop.call_later(REMOVED_CLASS_TTL_SECONDS, self._retry_drop)

    def _retry_drop(self) -> None:
        """Try again to drop removed classes that were in use."""
        self._drop_retry = None
        self._drop_removed_classes()

    def set_live_relay_count(self, count: int | None) -> None:
        """Set how many relays share the servers now; None to use the number in the settings."""
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
        """Apply a complete endpoint list, a change of it, or a failed poll."""
        self.handle(self.endpoints.update(update))

    def accepts_new_work(self, server: str) -> bool:
        """Return whether new work may be sent to this server now."""
        return self.endpoints.accepts_new_work(server)

    def has_ready_server(self) -> bool:
        """Return whether any listed server accepts new work."""
        return self.endpoints.has_ready_server()

    def avoided_server_count(self) -> int:
        """Count the listed servers that get no new work because of a ban or the decision module's choice."""
        avoided = self.balancer.avoided_servers() | self.overrides.bans.keys()
        return len(avoided & self.endpoints.entries.keys())

    def ban(self, server: str, since_ms: float) -> bool:
        """Stop sending new work to a server and migrate its clients; return False if it is unknown."""
        if server not in self.endpoints.known_names:
            return False
        if server not in self.overrides.bans:
            self.overrides.bans[server] = since_ms
            self._send_endpoint_update(server)
            self._ban_evacuation.start(server)
        return True

    def lift_ban(self, server: str) -> bool:
        """Use a banned server again, with slow start and no learned state; return False if it is unknown."""
        if server not in self.endpoints.known_names:
            return False
        if self.overrides.lift_ban(server, self.now()):
            self._send_endpoint_update(server)
        return True

    def mark_draining(self, server: str, *, reported_by_peer: bool = False) -> None:
        """Treat a server as draining because it reported so itself, until it restarts or the TTL ends.

        `reported_by_peer` is set if the server reported it to another relay.
        """
        entry = self.endpoints.entries.get(server)
        if entry is None or entry.state is not ServerState.READY:
            return
        effective = self.overrides.apply_to(entry)  # the start time differs after a lifted ban
        if self.overrides.has_reported_draining(effective):
            return
        self.record_self_reported_draining({server: effective.started_at_ms})
        self._send_endpoint_update(server)
        if not reported_by_peer:
            self.on_server_draining(server)

    def record_self_reported_draining(self, started_at_by_server: Mapping[str, float]) -> None:
        """Treat servers as draining for the TTL, each with the start time of the reporting process."""
        self.overrides.self_reported_draining.update(started_at_by_server)
        for server, started_at in started_at_by_server.items():
            self.loop.call_later(
                SELF_REPORT_TTL_SECONDS, self._expire_self_reported_draining, server, started_at
            )

    def _expire_self_reported_draining(self, server: str, started_at: float) -> None:
        """End the override: the server list applies again, whatever it contains now."""
        if self.overrides.self_reported_draining.get(server) == started_at:
            del self.overrides.self_reported_draining[server]
            self._send_endpoint_update(server)

    def _send_endpoint_update(self, server: str) -> None:
        """Pass a server's entry to the decision module after a change of its overrides."""
        update = self.endpoints.current_update(server)
        if update is not None:
            self.handle(update)

    # Requests.

    def open_request(self, attributes: RequestAttributes, time_left_ms: float) -> RequestHandle:
        """Register a request and return its handle, which receives the decisions."""
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
        """Register a connection that was established at this server before this process started."""
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
        """Return whether an attempt may still start; to be called just before its first byte is sent.

        The connection may have been set up late: the server may be draining by now, or a retry may be past
        the end of its class's deduplication window.
        """
        return self.accepts_new_work(attempt.server) and self.now() <= attempt.start_by_ms

    def add_established(self, request: RequestHandle) -> None:
        """Record that a request's connection to its server is established."""
        self.established.setdefault(request.server, {})[request.request_id] = request

    def record_answer(self, server: str, sent_at_ms: float) -> None:
        """Record that a server has now answered a message that was sent at `sent_at_ms`."""
        now = self.now()
        self.unresponsive_servers.last_answer_at[server] = now
        self.message_delays.add(server, now - sent_at_ms)

    def remove_request(self, request: RequestHandle) -> None:
        """Remove a request that has ended."""
        self.requests.pop(request.request_id, None)
        at_server = self.established.get(request.server)
        if not at_server:
            return
        at_server.pop(request.request_id, None)
        if not at_server:
            del self.established[request.server]
            self.unresponsive_servers.last_answer_at.pop(request.server, None)

    def select_lowest_priority(self, candidates: Sequence[ClassifiedT], fraction: float) -> list[ClassifiedT]:
        """Return the candidates of lowest priority weight, this fraction of all, rounded up."""
        weights = {name: found.priority_weight for name, found in self.settings.classes.items()}
        ordered = sorted(candidates, key=lambda candidate: weights.get(candidate.request_class, 0.0))
        return ordered[: math.ceil(len(ordered) * fraction)]

    # Two processes of one relay.

    def load_by_server(self) -> dict[str, tuple[float, int]]:
        """Return the total load and number of this process's established connections, by server."""
        requests = self.balancer.requests
        loads = {
            server: [requests[request_id].load for request_id in at_server if request_id in requests]
            for server, at_server in self.established.items()
        }
        return {server: (sum(found), len(found)) for server, found in loads.items()}

    def restore(self, learned: LearnedState, entries: dict[str, ServerEntry]) -> None:
        """Restore the learned state and server list of the previous process; its bans apply already."""
        self.handle(replace(learned, server_list=self.endpoints.restore(entries)))

    def set_health_checks_paused(self, *, paused: bool) -> None:
        """Pause health checks while another process of this relay runs them, or resume them."""
        if self.health_checks.are_paused and not paused:
            for server in self.balancer.servers.values():
                server.is_check_pending = False
        self.health_checks.are_paused = paused
