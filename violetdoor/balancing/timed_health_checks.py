"""Timed health checks: without load reports, the duration of a check shows the load of a server."""

from __future__ import annotations

import math

from violetdoor.balancing.context import Context
from violetdoor.balancing.health_checks import HealthChecks
from violetdoor.balancing.load_estimation import TARGET_LOAD
from violetdoor.balancing.load_reports import MESSAGE_DELAY_LIFETIME_MS, LoadReports
from violetdoor.balancing.model import Server

# Longest check of an idle server, as a multiple of the shortest check of any server of its machine type.
MACHINE_TYPE_SPREAD = 1.25
CHECK_JITTER_MS = 0.2  # variation of a check's duration without any load
NETWORK_JITTER_FRACTION = 0.3  # variation of a check's duration per network time to another zone


class TimedHealthChecks:
    """Owns what is learned from the durations of health checks."""

    def __init__(self, context: Context, health_checks: HealthChecks, load_reports: LoadReports) -> None:
        """Start without results of checks."""
        self.context = context
        self.health_checks = health_checks
        self.load_reports = load_reports

    def finish(self, server: Server, latency_ms: float) -> None:
        """Derive a server's load from the duration of a check; confirm a slow one by a second check."""
        context = self.context
        server.min_health_check_ms = min(server.min_health_check_ms, latency_ms)
        load = self._load_from_latency(server, latency_ms)
        if load < TARGET_LOAD:
            server.was_last_check_slow = False
            # Recently late messages may still be queued behind the server's backlog, which checks bypass.
            if context.now_ms - server.message_delay_at_ms > MESSAGE_DELAY_LIFETIME_MS:
                self.load_reports.record_load(server, load)
            return
        if server.was_last_check_slow:
            self.load_reports.record_load(server, max(load, server.load or 0.0))
        server.was_last_check_slow = not server.was_last_check_slow
        if server.was_last_check_slow:
            self.health_checks.start(server)

    def _load_from_latency(self, server: Server, latency_ms: float) -> float:
        """Return the load over capacity at which a check waits this long, by a queue model of four cores."""
        entry = server.entry
        same_type = [s for s in self.context.servers.values() if s.entry.machine_type == entry.machine_type]
        min_in_zone_ms = min(s.min_health_check_ms for s in same_type if s.entry.zone == entry.zone)
        base_ms = min(server.min_health_check_ms, MACHINE_TYPE_SPREAD * min_in_zone_ms)
        # Duration of an idle check without the network time to another zone.
        idle_ms = min(base_ms, MACHINE_TYPE_SPREAD * min(s.min_health_check_ms for s in same_type))
        network_jitter_ms = NETWORK_JITTER_FRACTION * (base_ms - idle_ms)
        waiting = max(0.0, latency_ms - CHECK_JITTER_MS - base_ms - network_jitter_ms) / idle_ms
        return 2 * (math.sqrt(waiting * waiting + waiting) - waiting)
