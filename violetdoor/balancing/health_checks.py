"""Active health checks: when they are started, and which placements wait for their results.

A check returns a load report, or only its duration (see `violetdoor.balancing.timed_health_checks`).
"""

from __future__ import annotations

from violetdoor.balancing.actions import CheckHealth
from violetdoor.balancing.context import Context
from violetdoor.balancing.model import Request, Server

MAX_HEALTH_CHECK_WAIT_MS = 60.0  # limit for placements; several times the usual duration of a check
CONNECTIONS_PER_CHECK = 20  # connections from which a server is checked in every interval; fewer: rarer


class HealthChecks:
    """Owns the pending checks (`Server.is_check_pending`) and the placements that wait for them."""

    def __init__(self, context: Context) -> None:
        """Start without a pending check."""
        self.context = context

    def start(self, server: Server) -> bool:
        """Check a server if a check can show its load; return whether a check is pending."""
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
        """Check a server with a probability that grows with its connections; called once per interval.

        Applies to timed checks only; checking at random limits their cost.
        """
        if not self.context.settings.health_checks_are_timed:
            return
        if len(server.connections) > CONNECTIONS_PER_CHECK * self.context.random.random():
            self.start(server)

    def pop_waiting_requests(self, server: Server) -> list[Request]:
        """Remove and return the requests that waited for this check, unless another one is pending."""
        if server.is_check_pending:
            return []
        waiting = server.waiting_requests
        server.waiting_requests = []
        return waiting
