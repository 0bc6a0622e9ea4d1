"""Timed health checks: where nothing reports load, the time that a check takes tells how busy a server is."""

from __future__ import annotations

import math

from violetdoor.balancing.context import Context
from violetdoor.balancing.health_checks import HealthChecks
from violetdoor.balancing.load_estimation import TARGET_LOAD
from violetdoor.balancing.load_reports import MESSAGE_DELAY_LIFETIME_MS, LoadReports
from violetdoor.balancing.model import Server

MACHINE_TYPE_SPREAD = 1.25  # times the quickest check of its machine type that a server's idle check may take
CHECK_JITTER_MS = 0.2  # time that a check varies by without any load
NETWORK_JITTER_FRACTION = 0.3  # part of the network's time that a check varies by
LOCAL_PAUSE_MS = 100.0  # checks that end within it may all be late because of a pause of this relay itself
MIN_LATE_SERVERS_IN_LOCAL_PAUSE = 3  # so many late servers, and none in time, are taken for such a pause


class TimedHealthChecks:
    """Owns what is known of the times of health checks."""

    def __init__(self, context: Context, health_checks: HealthChecks, load_reports: LoadReports) -> None:
        """Start without any check."""
        self.context = context
        self.health_checks = health_checks
        self.load_reports = load_reports
        self.last_in_time_at_ms = -math.inf  # when a check of any server was last in time

    def finish(self, server: Server, latency_ms: float) -> None:
        """Derive a server's load from its check's time; a second check guards against short pauses."""
        context = self.context
        server.min_health_check_ms = min(server.min_health_check_ms, latency_ms)
        load = self._load_from_latency(server, latency_ms)
        if load < TARGET_LOAD:
            self.last_in_time_at_ms = context.now_ms
            server.was_last_check_slow = False
            # Messages that were late a moment ago still wait for the work in the server's backlog.
            if context.now_ms - server.message_delay_at_ms > MESSAGE_DELAY_LIFETIME_MS:
                self.load_reports.record_load(server, load)
            return
        server.slow_check_at_ms = context.now_ms
        if server.was_last_check_slow and not self._is_local_pause():
            self.load_reports.record_load(server, max(load, server.load or 0.0))
        server.was_last_check_slow = not server.was_last_check_slow
        if server.was_last_check_slow:
            self.health_checks.start(server)

    def _load_from_latency(self, server: Server, latency_ms: float) -> float:
        """Return the load over capacity at which a queue of four cores makes a check wait as long."""
        entry = server.entry
        alike = [s for s in self.context.servers.values() if s.entry.machine_type == entry.machine_type]
        quickest_in_zone_ms = min(s.min_health_check_ms for s in alike if s.entry.zone == entry.zone)
        base_ms = min(server.min_health_check_ms, MACHINE_TYPE_SPREAD * quickest_in_zone_ms)
        # Without the network's time to another zone.
        idle_ms = min(base_ms, MACHINE_TYPE_SPREAD * min(s.min_health_check_ms for s in alike))
        network_jitter_ms = NETWORK_JITTER_FRACTION * (base_ms - idle_ms)
        waiting = max(0.0, latency_ms - CHECK_JITTER_MS - base_ms - network_jitter_ms) / idle_ms
        return 2 * (math.sqrt(waiting * waiting + waiting) - waiting)

    def _is_local_pause(self) -> bool:
        """Return whether this relay itself paused: sound servers would be emptied otherwise."""
        since_ms = self.context.now_ms - LOCAL_PAUSE_MS
        late = sum(1 for server in self.context.servers.values() if server.slow_check_at_ms > since_ms)
        return self.last_in_time_at_ms <= since_ms and late >= MIN_LATE_SERVERS_IN_LOCAL_PAUSE
