"""The balancer: all decisions of one relay. It turns events into actions and does no input or output.

Each concern is a separate module that owns its state: admission control and budget, placement with weighted
round robin, group affinity, slow start, load estimation, outlier detection, retries, migration and the
server list. This module connects them and dispatches events. The design follows King, Song and Dias, "A
System for Resource Sharing and Control of a Cluster-Based Web Server Farm"; docs/design.md lists the
differences from that paper.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Any

from violetdoor.balancing.actions import Action, EventHandlingError, SetTimer, WatchServerList
from violetdoor.balancing.admission import Admission
from violetdoor.balancing.budget import BUDGET_INTERVAL_MS
from violetdoor.balancing.context import Context
from violetdoor.balancing.events import (
    AttemptEnded,
    AttemptResult,
    ConnectionAdopted,
    ConnectionEstablished,
    ConnectionMeasured,
    ConnectionTotal,
    Event,
    HealthCheckEnded,
    LearnedServerState,
    LearnedState,
    PeerMessage,
    RequestAbandoned,
    RequestArrived,
    ServerListUpdate,
    SettingsChanged,
    SiblingProcessLoad,
    TimerFired,
)
from violetdoor.balancing.group_affinity import GroupAffinity
from violetdoor.balancing.health_checks import HealthChecks
from violetdoor.balancing.load_estimation import LoadEstimator
from violetdoor.balancing.load_reports import LoadReports
from violetdoor.balancing.migration import Migration
from violetdoor.balancing.model import Request, Server
from violetdoor.balancing.outlier_detection import FAILURES, OutlierDetector
from violetdoor.balancing.placement import Placement
from violetdoor.balancing.retries import RetryPolicy
from violetdoor.balancing.server_list import SERVER_LIST_TIMER, ServerList
from violetdoor.balancing.settings import BalancerSettings
from violetdoor.balancing.slow_start import SlowStart
from violetdoor.balancing.timed_health_checks import TimedHealthChecks
from violetdoor.balancing.weighted_round_robin import WeightedRoundRobin

INTERVAL_TIMER = "tick"  # token of the timer that ends a budget interval
# The first interval is a random fraction of a full one, at least this, so that relays don't act in step.
MIN_FIRST_INTERVAL_FRACTION = 0.1
MIN_INTERVAL_JITTER = 0.9  # least random factor on the length of later intervals
MAX_INTERVAL_JITTER = 1.1  # greatest random factor on the length of later intervals
NO_CONNECTIONS = ConnectionTotal(load=0.0, count=0)


class Balancer:
    """Decides for one relay: the caller passes every event and executes the returned actions in order."""

    def __init__(self, settings: BalancerSettings, seed: int, now_ms: float) -> None:
        """Start at `now_ms` without servers; `seed` initializes the random source of all decisions."""
        self.context = context = Context(settings, seed, now_ms)
        self.requests = context.requests
        self.servers = context.servers
        self.load = LoadEstimator(context)
        self.slow_start = SlowStart(context, self.load)
        self.outliers = OutlierDetector(context, self.load)
        self.groups = GroupAffinity(context, self.load, self.outliers, self.slow_start)
        self.migration = Migration(context, self.groups)
        self.health_checks = HealthChecks(context)
        self.load_reports = LoadReports(context, self.load, self.health_checks, self.migration)
        self.timed_health_checks = TimedHealthChecks(context, self.health_checks, self.load_reports)
        self.rotation = WeightedRoundRobin(context, self.outliers, self.slow_start)
        self.retries = RetryPolicy(context, self.slow_start)
        self.placement = Placement(
            context, self.load, self.groups, self.rotation, self.health_checks, self.retries
        )
        self.admission = Admission(context, self.placement, self.retries)
        self.server_list = ServerList(context, self.slow_start, self.groups, self.rotation)
        first_fraction = context.random.uniform(MIN_FIRST_INTERVAL_FRACTION, 1.0)
        self._interval_ends_at_ms = now_ms + BUDGET_INTERVAL_MS * first_fraction
        self.handlers: dict[type, Callable[[Any], None]] = {
            ServerListUpdate: self.server_list.apply_update,
            RequestArrived: self.admission.request_arrived,
            ConnectionAdopted: self.admission.connection_adopted,
            ConnectionEstablished: self._connection_established,
            ConnectionMeasured: self.load_reports.connection_measured,
            AttemptEnded: self._attempt_ended,
            HealthCheckEnded: self._health_check_ended,
            RequestAbandoned: self._request_abandoned,
            TimerFired: self._timer_fired,
            PeerMessage: self._peer_message_received,
            LearnedState: self._restore,
            SiblingProcessLoad: self._sibling_load_changed,
            SettingsChanged: self._settings_changed,
        }

    def handle(self, now_ms: float, event: Event) -> list[Action]:
        """Handle one event at time `now_ms` and return the actions to execute, in order.

        Raises EventHandlingError for any exception on the way; it has the actions decided until then.
        """
        context = self.context
        context.now_ms = now_ms
        actions: list[Action] = []
        context.actions = actions
        try:
            self.handlers[type(event)](event)
        except Exception as error:
            raise EventHandlingError(event, actions) from error
        finally:
            if self._interval_ends_at_ms > now_ms:
                actions.append(SetTimer(INTERVAL_TIMER, self._interval_ends_at_ms))
                self._interval_ends_at_ms = now_ms
        return actions

    def avoided_servers(self) -> set[str]:
        """Return the listed servers that this relay itself gives no, or almost no, new connections."""
        return self.outliers.avoided_servers()

    def learned_state(self) -> LearnedState:
        """Return the learned state, for the process that takes over from this one."""
        server_states = tuple(
            LearnedServerState(
                name=server.name,
                started_at_ms=server.entry.started_at_ms,
                load=server.load,
                reported_at_ms=server.reported_at_ms,
                health=server.health,
                smoothed_setup_ms=server.smoothed_setup_ms,
                min_health_check_ms=server.min_health_check_ms,
            )
            for server in self.servers.values()
        )
        return LearnedState(
            fleet_load=self.load.fleet_load,
            load_per_weight=self.load.load_per_weight,
            min_setup_ms=self.load_reports.min_setup_ms,
            timeout_fraction=self.retries.timeout_fraction,
            servers=server_states,
        )

    def _restore(self, event: LearnedState) -> None:
        """Restore the learned state of the previous process.

        The fleet's capacity is set before the server list, since warming-up servers get no turn without it.
        """
        self.load.fleet_load = event.fleet_load
        self.load.load_per_weight = event.load_per_weight or math.inf
        self.load_reports.min_setup_ms = event.min_setup_ms or math.inf
        self.retries.timeout_fraction = event.timeout_fraction
        self.server_list.apply_update(event.server_list)
        for state in event.servers:
            server = self.servers.get(state.name)
            if server is None or server.entry.started_at_ms != state.started_at_ms:
                continue
            server.load = state.load
            server.health = state.health
            server.smoothed_setup_ms = state.smoothed_setup_ms
            server.min_health_check_ms = state.min_health_check_ms or math.inf
            server.reported_at_ms = state.reported_at_ms or -math.inf

    def _sibling_load_changed(self, event: SiblingProcessLoad) -> None:
        for server in self.servers.values():
            total = event.servers.get(server.name, NO_CONNECTIONS)
            server.sibling_load = total.load
            server.sibling_count = total.count

    def _settings_changed(self, event: SettingsChanged) -> None:
        self.context.change_settings(event.settings)

    def _peer_message_received(self, event: PeerMessage) -> None:
        """Ignore the message: decisions don't depend on messages of other relays."""

    def _timer_fired(self, event: TimerFired) -> None:
        if event.token == INTERVAL_TIMER:
            self._close_interval()
        elif event.token == SERVER_LIST_TIMER:
            self.context.actions.append(WatchServerList())
        else:
            request = self.requests.get(int(event.token))
            if request is not None:
                self.admission.stage_timer_fired(request)

    def _close_interval(self) -> None:
        """Divide capacity among tenants and age the estimates, once per budget interval."""
        context = self.context
        jitter = context.random.uniform(MIN_INTERVAL_JITTER, MAX_INTERVAL_JITTER)
        self._interval_ends_at_ms = context.now_ms + BUDGET_INTERVAL_MS * jitter
        capacity = self.load.update_capacity(self._ready_weight())
        active = self.admission.active_tenants()
        queued = [tenant.queue[0] for tenant in active if tenant.queue]
        self.admission.share_capacity(active, capacity)
        self._check_servers_for(queued)
        for server in self.servers.values():
            self.outliers.recover(server)
            self.slow_start.schedule_first_turn(server)  # for servers listed before capacity was known
            self.load_reports.expire_load(server)
            self.health_checks.start_periodic(server)
        self.load.decay_sent_load()

    def _check_servers_for(self, queued: list[Request]) -> None:
        """Check servers that the first open one of these requests could use.

        Without placements, only these health checks show that the contention has ended. Requests that have
        been rejected meanwhile have no candidates.
        """
        request = next((request for request in queued if request.id in self.requests), None)
        if request is None:
            return
        for server in self.placement.next_candidates(request):
            self.health_checks.start(server)

    def _ready_weight(self) -> float:
        """Return the total listed weight of ready servers, scaled by their slow-start capacity fractions."""
        return sum(
            server.entry.weight * self.slow_start.capacity_fraction(server)
            for server in self.servers.values()
            if server.is_ready
        )

    def _request_abandoned(self, event: RequestAbandoned) -> None:
        request = self.requests.get(event.request_id)
        if request is not None:
            self.admission.finish(request)

    def _connection_established(self, event: ConnectionEstablished) -> None:
        self.retries.attempt_succeeded()
        self.load_reports.connection_established(event)

    def _attempt_ended(self, event: AttemptEnded) -> None:
        """Learn from the result of an attempt, then finish, retry or reject its request."""
        request = self.requests.get(event.request_id)
        if request is None or request.server is None:
            return
        server = request.server
        request.server = None
        server.connections.pop(request.id, None)
        self._learn_from_attempt(server, event)
        self.retries.record_possible_execution(request, server, event)
        if event.is_final:
            self.admission.finish(request)
        elif self.retries.may_retry(request, event.result):
            self.admission.place(request)
        else:
            self.admission.reject(request)

    def _learn_from_attempt(self, server: Server, event: AttemptEnded) -> None:
        if event.result in FAILURES:
            self.outliers.record_failure(server, event.result)
        if event.is_final and event.result is AttemptResult.RESET and self.health_checks.start(server):
            server.has_reset_connection = True
        if event.result is AttemptResult.TIMEOUT:
            self.retries.attempt_timed_out()
        if event.load_report:
            self.load_reports.record(server, event.load_report)

    def _health_check_ended(self, event: HealthCheckEnded) -> None:
        """Learn from a health check, then continue the placements that waited for it."""
        server = self.servers.get(event.server)
        if server is None:
            return
        has_reset_connection = server.has_reset_connection
        server.has_reset_connection = False
        server.is_check_pending = False
        if event.result is not AttemptResult.OK:
            is_error = event.result is AttemptResult.ERROR
            self.outliers.record_failure(server, AttemptResult.OVERLOADED if is_error else event.result)
        else:
            if has_reset_connection:  # the server still runs, so it reset the connection because of overload
                self.retries.start_reconnect_backoff()
            if self.context.settings.health_checks_are_timed:
                self.timed_health_checks.finish(server, event.latency_ms)
            else:
                self.load_reports.record(server, event.load_report)
        for request in self.health_checks.pop_waiting_requests(server):
            if request.candidates and not any(candidate.is_check_pending for candidate in request.candidates):
                self.admission.choose_server(request)
