"""Active health checks: when one is started, and which placements wait for it.

A check brings a load report, or only the time that it took (`violetdoor.balancing.timed_health_checks`).
"""

from __future__ import annotations

from violetdoor.balancing.actions import CheckHealth
from violetdoor.balancing.context import Context
from violetdoor.balancing.model import Request, Server

MAX_HEALTH_CHECK_WAIT_MS = 60.0  # that a placement waits for health checks: several of their usual times
CONNECTIONS_PER_CHECK = 20  # connections to a server for one timed check of it each interval


class HealthChecks:
    """Owns which checks are pending (`Server.is_check_pending`) and what waits for them."""

    def __init__(self, context: Context) -> None:
        """Start without a pending check."""
        self.context = context

    def start(self, server: Server) -> bool:
        """Check a server, where that tells anything; return whether a check is pending."""
        if server.is_check_pending:
            return True
        settings = self.context.settings
        shows_load = settings.health_checks_report_load or settings.health_checks_are_timed
        if not server.is_ready or not shows_load:
            return False
        server.is_check_pending = True
        self.context.actions.append(CheckHealth(server.name))
        return True

    def start_periodic(self, server: Server) -> None:
        """Check a server by chance, once an interval; the more connections it has, the likelier.

        Only where checks are timed: they have their price.
        """
        if not self.context.settings.health_checks_are_timed:
            return
        if len(server.connections) > CONNECTIONS_PER_CHECK * self.context.random.random():
            self.start(server)

    def pop_waiting_requests(self, server: Server) -> list[Request]:
        """Return the requests that waited for this check, unless a second one is pending."""
        if server.is_check_pending:
            return []
        waiting = server.waiting_requests
        server.waiting_requests = []
        return waiting
