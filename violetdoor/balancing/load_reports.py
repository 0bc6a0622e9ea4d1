"""Load reports: what is learned of a server's load from reports, message delays and set-up times."""

from __future__ import annotations

import math
from collections.abc import Mapping

from violetdoor.balancing.budget import BUDGET_INTERVAL_MS
from violetdoor.balancing.context import Context
from violetdoor.balancing.events import ConnectionEstablished, ConnectionMeasured, MeasurementKind
from violetdoor.balancing.health_checks import HealthChecks
from violetdoor.balancing.load_estimation import OVERLOADED_LOAD, TARGET_LOAD, LoadEstimator
from violetdoor.balancing.migration import MIGRATION_INTERVAL_MS, Migration
from violetdoor.balancing.model import Request, Server

MIGRATION_LOAD = 0.95  # load over capacity from which on a server loses connections
MAX_MIGRATED_FRACTION = 0.5  # of a server's connections, for one late message
RECENT_REPORT_MS = 1_000.0  # a report younger than this is not asked for again because of a late message
MESSAGE_DELAY_LIFETIME_MS = 1_200.0  # how long a measured message delay tells of a server's load
SETUP_SMOOTHING_FACTOR = 0.3  # weight of the newest set-up time in a server's mean
SLOW_SETUP_FACTOR = 5.0  # times the quickest server's set-up time from which on a server is overloaded
MIN_SLOW_SETUP_MS = 25.0  # least set-up time that counts as slow: below it, it is noise
REPORT_LIFETIME_INTERVALS = 2  # budget intervals that an observed load is remembered for


class LoadReports:
    """Owns the servers' load (`Server.load`, `reported_at_ms`, message delay and set-up time)."""

    def __init__(
        self, context: Context, load: LoadEstimator, health_checks: HealthChecks, migration: Migration
    ) -> None:
        """Start without any report."""
        self.context = context
        self.load = load
        self.health_checks = health_checks
        self.migration = migration
        self.min_setup_ms = math.inf  # of all servers

    def record(self, server: Server, values: Mapping[str, float]) -> None:
        """Take in a load report; `load` or else `util` is the server's load over capacity."""
        load = values.get("load", values.get("util"))
        server.reported_at_ms = self.context.now_ms
        if load is not None:
            self.record_load(server, load)

    def record_load(self, server: Server, load: float) -> None:
        """Take in a server's load over capacity; an overloaded one loses connections down to the target."""
        server.reported_at_ms = self.context.now_ms
        server.load = load
        self.load.add_report(load)
        excess_fraction = 1 - TARGET_LOAD / load if load >= MIGRATION_LOAD else 0.0
        self.migration.migrate(server, excess_fraction)

    def connection_established(self, event: ConnectionEstablished) -> None:
        """Learn from the time that the set-up took, where no report tells of an overloaded server."""
        settings = self.context.settings
        request = self.context.requests.get(event.request_id)
        if request is None or request.server is None or settings.health_checks_report_load:
            return
        server = request.server
        previous_ms = event.latency_ms if server.smoothed_setup_ms is None else server.smoothed_setup_ms
        server.smoothed_setup_ms = previous_ms + SETUP_SMOOTHING_FACTOR * (event.latency_ms - previous_ms)
        self.min_setup_ms = min(self.min_setup_ms, server.smoothed_setup_ms)
        slow_ms = max(MIN_SLOW_SETUP_MS, SLOW_SETUP_FACTOR * self.min_setup_ms)
        if settings.health_checks_are_timed:
            if event.latency_ms > slow_ms:  # it may have been a pause: a reason to check, no more
                self.health_checks.start(server)
        elif server.smoothed_setup_ms > slow_ms:
            server.load = OVERLOADED_LOAD
            server.reported_at_ms = self.context.now_ms
            self.migration.migrate(server, 1 - TARGET_LOAD / OVERLOADED_LOAD)

    def connection_measured(self, event: ConnectionMeasured) -> None:
        """Take in the load of a connection, or the delay of a message at its server."""
        request = self.context.requests.get(event.request_id)
        if request is None or request.server is None:
            return
        if event.kind is MeasurementKind.LOAD:
            self._connection_load_measured(request, event.value)
        else:
            self._message_delay_measured(request.server, event.value)

    def _connection_load_measured(self, request: Request, load: float) -> None:
        if request.has_load_hint:
            request.tenant.load += load - request.load
            request.load = load

    def _message_delay_measured(self, server: Server, delay_ms: float) -> None:
        context = self.context
        # Whichever connection carries the measurement, messages of all classes pass through the server.
        classes = context.settings.classes.values()
        objective_ms = min(each.message_latency_objective_ms for each in classes)
        is_late = delay_ms > objective_ms / 2
        if context.settings.health_checks_report_load:
            if is_late and context.now_ms - server.reported_at_ms > RECENT_REPORT_MS:
                self.health_checks.start(server)
            return
        # The delay is all that tells of the server's load; its growth is load in excess of capacity.
        is_recent = context.now_ms - server.message_delay_at_ms <= MESSAGE_DELAY_LIFETIME_MS
        previous_ms = server.message_delay_ms if is_recent else 0.0
        overload_factor = 1 + max(0.0, delay_ms - previous_ms) / BUDGET_INTERVAL_MS
        server.load = OVERLOADED_LOAD if is_late else None
        server.reported_at_ms = context.now_ms
        server.message_delay_ms = delay_ms
        server.message_delay_at_ms = context.now_ms if is_late else -math.inf
        if delay_ms > objective_ms:  # the backlog is to be gone when the next migration is due
            retained_fraction = max(0.0, 1 - delay_ms / MIGRATION_INTERVAL_MS) / overload_factor
            self.migration.migrate(server, min(MAX_MIGRATED_FRACTION, 1 - retained_fraction))

    def expire(self, server: Server) -> None:
        """Forget an old observation where nothing reports load: no report would show a recovery."""
        if self.context.settings.health_checks_report_load:
            return
        lifetime_ms = REPORT_LIFETIME_INTERVALS * BUDGET_INTERVAL_MS
        if server.reported_at_ms < self.context.now_ms - lifetime_ms:
            server.load = None
