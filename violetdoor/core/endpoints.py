"""The endpoint list of discovery, and its entries with overrides applied."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import replace

from violetdoor.balancing.events import ServerEntry, ServerListKind, ServerListUpdate, ServerState
from violetdoor.core.departed_servers import DepartedServers
from violetdoor.core.overrides import EndpointOverrides


class ServerEndpoints:
    """The listed entries, and the names of all servers that are or recently were listed."""

    def __init__(self, overrides: EndpointOverrides) -> None:
        """Start with an empty list."""
        self.entries: dict[str, ServerEntry] = {}  # as received from discovery, without overrides
        self.known_names: set[str] = set()  # listed or recently departed
        self.departed = DepartedServers()
        self._overrides = overrides

    def update(self, update: ServerListUpdate) -> ServerListUpdate:
        """Apply an update; return it with overrides applied, for the decision module."""
        names_before = set(self.entries)
        if update.kind.is_complete:
            self.entries.clear()
        for entry in update.entries:
            if entry.state is ServerState.REMOVED:
                self.entries.pop(entry.name, None)
            else:
                self.entries[entry.name] = entry
                self.known_names.add(entry.name)
                self.departed.mark_listed(entry.name)
        self._mark_departed(names_before - self.entries.keys())
        return replace(update, entries=tuple(map(self._overrides.apply_to, update.entries)))

    def restore(self, entries: Mapping[str, ServerEntry]) -> ServerListUpdate:
        """Restore the list of the previous process; return it as an update with overrides applied."""
        self.entries = dict(entries)
        self.known_names.update(entries)
        self._mark_departed(self.known_names - entries.keys())
        return ServerListUpdate(ServerListKind.CACHED, tuple(map(self._overrides.apply_to, entries.values())))

    def current_update(self, server: str) -> ServerListUpdate | None:
        """Return an update of one server with its overrides applied, or None if it is not listed."""
        entry = self.entries.get(server)
        if entry is None:
            return None
        return ServerListUpdate(ServerListKind.INCREMENTAL, (self._overrides.apply_to(entry),))

    def accepts_new_work(self, server: str) -> bool:
        """Return whether the server is listed and, with overrides applied, ready."""
        entry = self.entries.get(server)
        return entry is not None and self._overrides.apply_to(entry).state is ServerState.READY

    def has_ready_server(self) -> bool:
        """Return whether any server accepts new work."""
        return any(map(self.accepts_new_work, self.entries))

    def _mark_departed(self, names: Iterable[str]) -> None:
        """Record departed servers; forget those beyond the bound, unless they are banned."""
        for name in self.departed.mark_departed(sorted(names)):
            if name not in self._overrides.bans:
                self.known_names.discard(name)
                self._overrides.reinstated.pop(name, None)
