"""Migration: some connections of an overloaded server are closed, and their clients reconnect elsewhere."""

from __future__ import annotations

from violetdoor.balancing.actions import Migrate
from violetdoor.balancing.context import Context
from violetdoor.balancing.group_affinity import GroupAffinity
from violetdoor.balancing.model import Request, Server

MIGRATION_INTERVAL_MS = 2_500.0  # minimum time between migrations from one server, until the effect shows


class Migration:
    """Owns the time of each server's last migration (`Server.migrated_at_ms`)."""

    def __init__(self, context: Context, groups: GroupAffinity) -> None:
        """Use the shared state and the groups' orders of servers."""
        self.context = context
        self.groups = groups

    def migrate(self, server: Server, fraction: float) -> None:
        """Migrate this fraction of a server's connections, unless some were migrated recently.

        A slow server would otherwise keep its existing connections. Each relay migrates its own share.
        """
        context = self.context
        if context.now_ms - server.migrated_at_ms < MIGRATION_INTERVAL_MS:
            return
        connections = server.connections
        count = int(len(connections) * fraction + context.random.random())
        if count == 0:
            return
        ordered = sorted(
            connections, key=lambda request: self._rank(connections[request], server), reverse=True
        )
        chosen = ordered[:count]
        for request_id in chosen:
            context.actions.append(Migrate(request_id))
        if chosen:
            server.migrated_at_ms = context.now_ms

    def _rank(self, request: Request, server: Server) -> tuple[int, int]:
        """Return the sort key, equal at all relays: whole groups, those that rank the server lowest first."""
        if request.group is None:
            return 0, 0
        order = self.groups.server_order(request.group)
        position = order.index(server) if server in order else len(order)
        return position, request.group
