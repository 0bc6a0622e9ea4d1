"""The maintenance service: operators' calls that ban servers, and bans by the other process of an upgrade."""

from __future__ import annotations

import logging
import os
from collections.abc import Callable
from http import HTTPStatus
from pathlib import Path
from urllib.parse import unquote

from violetdoor.console.server import Answer
from violetdoor.maintenance.bans import BanStore
from violetdoor.services import Service, ServiceHost
from violetdoor.upgrade.messages import Message, RelaySnapshot, ServerBan, ServerBanned, ServerUnbanned

log = logging.getLogger("violetdoor.console")


class MaintenanceService(Service):
    """Bans servers and lifts bans, in this process and in the other process of an upgrade."""

    def __init__(self, host: ServiceHost) -> None:
        """Apply the stored bans and those of the predecessor."""
        self.host = host
        self.core = host.core
        self.bans = BanStore(self.core, _stored_bans_path(host.config.name))
        self.bans.restore()
        # Arguments: the server, and the start of its ban (Unix time in ms) or None for a lifted ban.
        self.on_ban_change: list[Callable[[str, float | None], None]] = []
        if host.predecessor_state is not None:
            self.core.overrides.bans.update(host.predecessor_state.bans)
            self.core.overrides.reinstated.update(host.predecessor_state.returned)

    def ban(self, server: str, since: float | None = None, *, require_listed: bool = True) -> bool:
        """Ban a server since a Unix time in ms; None means now.

        Returns False if no server list has contained the server, unless `require_listed` is False.
        """
        if not require_listed:
            self.core.endpoints.known_names.add(server)
        if not self.bans.ban(server, self.core.now() if since is None else since):
            return False
        self.host.send_to_peer(ServerBanned(ServerBan(server, self.core.overrides.bans[server])))
        return True

    def lift_ban(self, server: str) -> bool:
        """Lift a server's ban; return False if no server list has contained it."""
        if not self.bans.lift_ban(server):
            return False
        self.host.send_to_peer(ServerUnbanned(server))
        return True

    def handle_call(self, method: str, path: list[str]) -> Answer | None:
        """Handle `PUT /gate-servers/SERVER/maint` and `.../ready`."""
        match method, path:
            case "PUT", ["gate-servers", server, "maint"]:
                return self._handle_ban(unquote(server))
            case "PUT", ["gate-servers", server, "ready"]:
                return self._handle_lift_ban(unquote(server))
            case _, ["gate-servers", _, "maint" | "ready"]:
                return Answer(HTTPStatus.METHOD_NOT_ALLOWED, "another method is wanted\n")
        return None

    def _handle_ban(self, server: str) -> Answer:
        if not self.ban(server):
            return Answer(HTTPStatus.NOT_FOUND, "no list has named this server\n")
        self._notify(server, self.core.overrides.bans.get(server))
        log.info("server %s banned by an operator", server)
        return Answer(HTTPStatus.OK, "left out\n")

    def _handle_lift_ban(self, server: str) -> Answer:
        if not self.lift_ban(server):
            return Answer(HTTPStatus.NOT_FOUND, "no list has named this server\n")
        self._notify(server, None)
        log.info("ban of server %s lifted by an operator", server)
        return Answer(HTTPStatus.OK, "put back\n")

    def _notify(self, server: str, since: float | None) -> None:
        for callback in self.on_ban_change:
            callback(server, since)

    def fill_snapshot(self, snapshot: RelaySnapshot) -> None:
        """Fill in the current bans and the recently lifted ones."""
        snapshot.bans = self.core.overrides.bans
        snapshot.returned = self.core.overrides.reinstated

    def on_message(self, message: Message) -> None:
        """Apply a ban of the other process, or the lifting of one."""
        match message:
            case ServerBanned(ban=ServerBan(server=server, since=since)):
                self.core.endpoints.known_names.add(server)
                self.core.ban(server, since)
            case ServerUnbanned(server=server):
                self.core.lift_ban(server)


def _stored_bans_path(relay_name: str) -> Path | None:
    """Return the file for bans in `$TMPDIR`, which only an upgrade's processes share; None without it."""
    folder = os.environ.get("TMPDIR")
    return Path(folder, f"violetdoor-{relay_name}.bans") if folder else None
