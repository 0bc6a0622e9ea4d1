"""Bans and drains in the shared map of a fleet: all relays learn the state of a server that one observed."""

from __future__ import annotations

import logging
import time
from collections.abc import Callable

from violetdoor.maintenance.service import MaintenanceService
from violetdoor.services import ServiceHost

log = logging.getLogger("violetdoor")

# Kinds of the shared map's keys.
BAN_KIND = "ban"
DRAIN_KIND = "drain"
DRAIN_TTL_MS = 30_000.0  # validity of a server's own announcement that it drains, as in the core


class SharedServerStates:
    """Writes bans and drains that this relay learns of to the shared map, and applies others' entries."""

    def __init__(self, host: ServiceHost, set_shared_value: Callable[[str, float | None], bool]) -> None:
        """`set_shared_value` sets a key of the shared map; it returns False where the map is full."""
        self.core = host.core
        self.set_shared_value = set_shared_value
        self.maintenance = next(
            service for service in host.services if isinstance(service, MaintenanceService)
        )
        self.maintenance.on_ban_change.append(self._publish_ban)
        self.core.on_server_draining = self._publish_drain

    def _publish_ban(self, server: str, since: float | None) -> None:
        if not self.set_shared_value(f"{BAN_KIND}:{server}", since):
            log.error("shared map is full; the ban state of server %s does not reach other relays", server)

    def _publish_drain(self, server: str) -> None:
        self.set_shared_value(f"{DRAIN_KIND}:{server}", time.time() * 1000)

    def apply(self, key: str, value: float | None) -> None:
        """Apply an entry that another relay has set."""
        kind, _, server = key.partition(":")
        if kind == BAN_KIND and value is None:
            self.maintenance.lift_ban(server)
        elif kind == BAN_KIND and server not in self.core.overrides.bans:
            self.maintenance.ban(server, value, require_listed=False)
        elif kind == DRAIN_KIND and value is not None and time.time() * 1000 < value + DRAIN_TTL_MS:
            self.core.mark_draining(server, reported_by_peer=True)
