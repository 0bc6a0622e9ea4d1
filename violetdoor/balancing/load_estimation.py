"""Load estimation: the load of each server and of the fleet, from reports and this relay's traffic."""

from __future__ import annotations

import math

from violetdoor.balancing.context import Context
from violetdoor.balancing.model import Server

TARGET_LOAD = 0.75  # load over capacity up to which servers are filled
CONTENDED_LOAD = 0.64  # fleet load over capacity from which budgets limit tenants
OVERLOADED_LOAD = 1.1  # load over capacity assumed for a server that shows overload
TYPICAL_FLEET_LOAD = 0.6  # fleet load over capacity assumed without any load report
MIN_FLEET_LOAD = 0.05  # least fleet load over capacity used to derive the fleet's capacity
MAX_REPORTED_LOAD = 1.5  # upper bound for a single report in the fleet's mean
FLEET_SMOOTHING_FACTOR = 0.1  # weight of one report in the fleet's mean, so about ten reports count
SENT_LOAD_DECAY_FACTOR = 0.3  # fraction of the sent load that still counts one interval later
MAX_LOCAL_LOAD = 0.3  # upper bound for load over capacity that is estimated in addition to reports
MAX_LOAD_PER_WEIGHT = 1e9  # stands for an unknown capacity, where infinity would result in NaN
# Where health checks report load: how long a server is skipped after a report without free capacity.
OVERLOAD_REPORT_LIFETIME_MS = 1_500.0
MIN_TOTAL_WEIGHT = 1e-9  # avoids a division by zero without listed servers


class LoadEstimator:
    """Owns the estimates of the fleet's load and capacity."""

    def __init__(self, context: Context) -> None:
        """Start without any load report."""
        self.context = context
        # Mean of reported load over capacity; None without any report.
        self.fleet_load: float | None = None
        # Load of all relays that fills one unit of listed weight; infinite if unknown.
        self.load_per_weight = math.inf
        self.sent_load = 0.0  # load that this relay sent to servers recently, decaying per interval

    def total_connection_load(self) -> float:
        """Return the total load of all connections of this process."""
        return sum(tenant.load for tenant in self.context.tenants.values())

    def update_capacity(self, total_weight: float) -> float:
        """Update the fleet's capacity once per interval; return this relay's share, inf if not contended."""
        servers = self.context.servers.values()
        fleet_load = self._assumed_fleet_load()
        load = self.total_connection_load() + sum(server.sibling_load for server in servers)
        if load > 0:
            weight = max(MIN_TOTAL_WEIGHT, total_weight)
            observed = load * self.context.settings.relay_count / (fleet_load * weight)
            is_first = self.fleet_load is None or self.load_per_weight == math.inf
            previous = observed if is_first else self.load_per_weight
            self.load_per_weight = previous + FLEET_SMOOTHING_FACTOR * (observed - previous)
        if fleet_load < CONTENDED_LOAD:
            return math.inf
        return load * TARGET_LOAD / fleet_load

    def _assumed_fleet_load(self) -> float:
        if self.fleet_load is not None:
            return max(MIN_FLEET_LOAD, self.fleet_load)
        servers = self.context.servers
        overloaded = sum(1 for server in servers.values() if server.load is not None)
        overloaded_fraction = overloaded / max(1, len(servers))
        return TYPICAL_FLEET_LOAD + (OVERLOADED_LOAD - TYPICAL_FLEET_LOAD) * overloaded_fraction

    def decay_sent_load(self) -> None:
        """Reduce the sent load once per interval, since newer reports already include it."""
        self.sent_load *= SENT_LOAD_DECAY_FACTOR

    def add_report(self, load: float) -> None:
        """Add one server's reported load over capacity to the fleet's mean."""
        load = min(MAX_REPORTED_LOAD, load)
        if self.fleet_load is None:
            self.fleet_load = load
        else:
            self.fleet_load += FLEET_SMOOTHING_FACTOR * (load - self.fleet_load)

    def projected_load(self, server: Server, load: float) -> float:
        """Return a server's load over capacity with an additional connection of this load.

        The server's current load is its reported load, else the fleet's mean, else an estimate from this
        relay's own connections.
        """
        capacity = min(self.load_per_weight, MAX_LOAD_PER_WEIGHT) * server.entry.weight
        current = self.fleet_load if server.load is None else server.load
        if current is None:
            current = self._local_load(server) * self.context.settings.relay_count / capacity
        return current + min(MAX_LOCAL_LOAD, load / capacity)

    def _local_load(self, server: Server) -> float:
        """Return the load of this relay's connections to a server, discounted while there are few of them."""
        load = sum(request.load for request in server.connections.values()) + server.sibling_load
        count = 1 + len(server.connections) + server.sibling_count
        certainty: float = 1 - count**-0.5
        return load * certainty

    def load_sent_since_reports(self) -> float:
        """Estimate the load over capacity that all relays together have sent since the last reports.

        Prevents all relays from overloading the servers at which each of them sees free capacity.
        """
        total = max(self.sent_load, 1e-9, self.total_connection_load())
        return min(MAX_LOCAL_LOAD, (self.fleet_load or 0.0) * self.sent_load / total)

    def lacks_capacity(self, server: Server) -> bool:
        """Return whether a server is known to have no capacity left.

        An outdated report does not count, or the server would never be checked again.
        """
        if server.load is None:
            return self.fleet_load is None and self.projected_load(server, 0.0) >= TARGET_LOAD
        if server.load < TARGET_LOAD:
            return False
        age_ms = self.context.now_ms - server.reported_at_ms
        return not (self.context.settings.health_checks_report_load and age_ms > OVERLOAD_REPORT_LIFETIME_MS)
