"""Load estimation: the load that each server and all of them carry, from reports and own traffic."""

from __future__ import annotations

import math

from violetdoor.balancing.context import Context
from violetdoor.balancing.model import Server

TARGET_LOAD = 0.75  # load over capacity to fill servers up to
CONTENDED_LOAD = 0.64  # load over capacity of the fleet from which on budgets bind
OVERLOADED_LOAD = 1.1  # load over capacity that is assumed of a server that is seen to be overloaded
TYPICAL_FLEET_LOAD = 0.6  # load over capacity that is assumed of the fleet where nothing reports load
MIN_FLEET_LOAD = 0.05  # least load over capacity of the fleet that capacity is derived from
MAX_REPORTED_LOAD = 1.5  # what one report counts in the fleet's mean at the most
FLEET_SMOOTHING_FACTOR = 0.1  # weight of one report in the fleet's mean: about ten are remembered
SENT_LOAD_DECAY_FACTOR = 0.3  # part of the load sent that is still counted an interval later
MAX_LOCAL_LOAD = 0.3  # most load over capacity that connections of this relay may count for beyond reports
MAX_LOAD_PER_WEIGHT = 1e9  # stands for a capacity that is not known yet, where infinity would make NaN
OVERLOAD_REPORT_LIFETIME_MS = (
    1_500.0  # how long a report of no capacity bars a server where health checks report load
)
MIN_TOTAL_WEIGHT = 1e-9  # guards divisions where no server is listed


class LoadEstimator:
    """Owns the estimates of the fleet's load and capacity."""

    def __init__(self, context: Context) -> None:
        """Start without any report."""
        self.context = context
        # Mean of reported load over capacity; none: nothing has reported any.
        self.fleet_load: float | None = None
        # Load of the fleet that fills a unit of listed weight; infinite: not known.
        self.load_per_weight = math.inf
        self.sent_load = 0.0  # load that this relay sent to servers lately

    def total_connection_load(self) -> float:
        """Return the load of all connections of this process."""
        return sum(tenant.load for tenant in self.context.tenants.values())

    def update_capacity(self, total_weight: float) -> float:
        """Learn the fleet's capacity once an interval; return this relay's part, inf if not contended."""
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
        """Let what was sent count less with each interval, since newer reports include it."""
        self.sent_load *= SENT_LOAD_DECAY_FACTOR

    def add_report(self, load: float) -> None:
        """Take one server's reported load over capacity into the fleet's mean."""
        load = min(MAX_REPORTED_LOAD, load)
        if self.fleet_load is None:
            self.fleet_load = load
        else:
            self.fleet_load += FLEET_SMOOTHING_FACTOR * (load - self.fleet_load)

    def projected_load(self, server: Server, load: float) -> float:
        """Return load over capacity with a further connection of this load.

        What the server carries is reported, else the fleet's mean, else guessed from this relay's own
        connections.
        """
        capacity = min(self.load_per_weight, MAX_LOAD_PER_WEIGHT) * server.entry.weight
        current = self.fleet_load if server.load is None else server.load
        if current is None:
            current = self._local_load(server) * self.context.settings.relay_count / capacity
        return current + min(MAX_LOCAL_LOAD, load / capacity)

    def _local_load(self, server: Server) -> float:
        """Return the load of this relay's connections to a server, as much as so few of them make sure."""
        load = sum(request.load for request in server.connections.values()) + server.sibling_load
        count = 1 + len(server.connections) + server.sibling_count
        certainty: float = 1 - count**-0.5
        return load * certainty

    def load_sent_since_reports(self) -> float:
        """Guess the load over capacity that all relays sent since reports were made.

        Guards against a rush to servers that all relays see capacity at.
        """
        total = max(self.sent_load, 1e-9, self.total_connection_load())
        return min(MAX_LOCAL_LOAD, (self.fleet_load or 0.0) * self.sent_load / total)

    def lacks_capacity(self, server: Server) -> bool:
        """Return whether a server is known to have no capacity left.

        An old report bars no server, or it would never be checked again.
        """
        if server.load is None:
            return self.fleet_load is None and self.projected_load(server, 0.0) >= TARGET_LOAD
        if server.load < TARGET_LOAD:
            return False
        age_ms = self.context.now_ms - server.reported_at_ms
        return not (self.context.settings.health_checks_report_load and age_ms > OVERLOAD_REPORT_LIFETIME_MS)
