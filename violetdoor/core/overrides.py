"""Overrides of entries of the endpoint list: bans by operators and self-reported draining."""

from __future__ import annotations

import math
from dataclasses import replace

from violetdoor.balancing.events import ServerEntry, ServerState


class EndpointOverrides:
    """Bans, lifted bans and self-reported draining, which take precedence over the entries of the list.

    A list update can neither lift a ban nor revoke self-reported draining. A server whose ban was lifted
    counts as restarted even before the list shows the restart. Times are in ms on the relay's clock.
    """

    def __init__(self) -> None:
        """Start without overrides."""
        self.bans: dict[str, float] = {}  # time of the ban by server
        self.reinstated: dict[str, tuple[float, float]] = {}  # times of ban and its lifting by server
        self.self_reported_draining: dict[str, float] = {}  # start time of the reporting process by server

    def apply_to(self, entry: ServerEntry) -> ServerEntry:
        """Return the entry with overrides applied, as the decision module gets it."""
        banned_at, reinstated_at = self.reinstated.get(entry.name, (0.0, 0.0))
        if reinstated_at and entry.started_at_ms < banned_at:  # it needs slow start
            entry = replace(entry, started_at_ms=reinstated_at)
        if entry.state is ServerState.READY and (
            entry.name in self.bans or self.has_reported_draining(entry)
        ):
            return replace(entry, state=ServerState.DRAINING)
        return entry

    def has_reported_draining(self, entry: ServerEntry) -> bool:
        """Return whether the current process of the server recently reported that it drains."""
        return entry.started_at_ms <= self.self_reported_draining.get(entry.name, -math.inf)

    def lift_ban(self, server: str, now_ms: float) -> bool:
        """Lift a ban; return False if there is none."""
        banned_at = self.bans.pop(server, None)
        if not banned_at:
            return False
        self.reinstated[server] = (banned_at, now_ms)
        return True
