"""Outlier detection: servers that fail use fewer of their turns until they recover."""

from __future__ import annotations

from violetdoor.balancing.context import Context
from violetdoor.balancing.events import AttemptResult
from violetdoor.balancing.load_estimation import OVERLOADED_LOAD, LoadEstimator
from violetdoor.balancing.model import Request, Server

HEALTH_FACTOR_AFTER_FAILURE = 0.4  # factor on a server's health after each failure
HEALTH_FACTOR_PER_INTERVAL = 1.25  # factor by which health recovers in each budget interval
MIN_HEALTH = 0.02  # fraction of turns that each server keeps, so that its recovery is noticed
EJECTED_HEALTH = 0.2  # below it a server counts as ejected, as after two consecutive failures
FAILURES = (
    AttemptResult.OVERLOADED,
    AttemptResult.RESET,
    AttemptResult.UNREACHABLE,
    AttemptResult.ERROR,
    AttemptResult.TIMEOUT,
)


class OutlierDetector:
    """Owns the servers' health (`Server.health`)."""

    def __init__(self, context: Context, load: LoadEstimator) -> None:
        """Use the shared state and the load estimates."""
        self.context = context
        self.load = load

    def record_failure(self, server: Server, result: AttemptResult) -> None:
        """Lower a server's health: fast failures look like free capacity, and the list is updated late."""
        if result is AttemptResult.UNREACHABLE:
            server.health = MIN_HEALTH
        elif result is AttemptResult.OVERLOADED:
            server.health = max(MIN_HEALTH, server.health)
        else:
            server.health = max(MIN_HEALTH, server.health * HEALTH_FACTOR_AFTER_FAILURE)
        has_no_capacity = result is AttemptResult.OVERLOADED or result is AttemptResult.ERROR
        if has_no_capacity and self.context.settings.health_checks_are_timed:  # fast rejections look idle
            server.load = OVERLOADED_LOAD
            server.reported_at_ms = self.context.now_ms

    def recover(self, server: Server) -> None:
        """Raise a server's health, once per budget interval."""
        server.health = min(1.0, server.health * HEALTH_FACTOR_PER_INTERVAL)

    def sample_eligibility(self, request: Request, server: Server) -> bool:
        """Decide at random, by its health, whether a server uses its turn; never a server already tried."""
        return server not in request.tried_servers and self.context.random.random() < server.health

    def is_ejected(self, server: Server) -> bool:
        """Return whether a server failed so often that it gets almost no connections."""
        return server.health < EJECTED_HEALTH

    def avoided_servers(self) -> set[str]:
        """Return the listed servers that this relay itself gives no, or almost no, new connections."""
        return {
            server.name
            for server in self.context.servers.values()
            if server.is_ready and (self.load.lacks_capacity(server) or self.is_ejected(server))
        }
