"""The server list as known to this relay: version, addresses and announced departures."""

from __future__ import annotations

import logging
from collections.abc import Collection
from typing import Any

from violetdoor.balancing.events import ServerEntry, ServerListKind, ServerListUpdate, ServerState
from violetdoor.core.departed_servers import DepartedServers
from violetdoor.net.addresses import Address, parse_address
from violetdoor.net.counters import Counters

log = logging.getLogger("violetdoor.discovery")

# Servers tracked as draining or removed; a site has some tens, and each restart adds a few.
MAX_DEPARTING_SERVERS = 4096
STATE_BY_WIRE_NAME = {
    "up": ServerState.READY,
    "draining": ServerState.DRAINING,
    "removed": ServerState.REMOVED,
}
# Raised while parsing a malformed entry.
INVALID_ENTRY_ERRORS = (ValueError, KeyError, TypeError, AttributeError)


class ServerDirectory:
    """Addresses of all listed servers and of the most recently departed ones."""

    def __init__(self) -> None:
        """Start without a list."""
        self.addresses: dict[str, Address] = {}
        self.listed_names: set[str] = set()
        self._departed_names = DepartedServers()
        self.version: int | None = None  # None before the first list; 0 is a valid version
        self.newest_version = 0  # highest version received; a restarted discovery agent can be behind it
        self.departing: dict[str, ServerEntry] = {}  # servers whose last entry was draining or removed

    def restore(self, version: int | None, entries: Collection[ServerEntry]) -> None:
        """Continue from the list of the relay's previous process."""
        self.version = version
        self.newest_version = version or 0
        self.listed_names = {entry.name for entry in entries}
        self._forget_addresses(self.addresses.keys() - self.listed_names)
        self.departing = {entry.name: entry for entry in entries if entry.state is not ServerState.READY}

    def apply_list(
        self, data: dict[str, Any], kind: ServerListKind | None = None, counters: Counters | None = None
    ) -> ServerListUpdate:
        """Parse a list in discovery's JSON format and store its addresses and version.

        Without `kind`, the list's own `full` key states whether it is complete. An invalid entry raises one
        of INVALID_ENTRY_ERRORS. With `counters` it is only counted, since otherwise every call would fail,
        and the other entries are used; if its server can be identified, that server drains until its entry
        is valid again.
        """
        if kind is None:
            kind = ServerListKind.COMPLETE if data.get("full") else ServerListKind.INCREMENTAL
        version = int(data["version"]) if "version" in data else None
        is_older_list = (version or 0) < self.newest_version
        self.newest_version = max(version or 0, self.newest_version)
        entries = []
        for row in data.get("servers") or ():
            entry = self._entry_or_none(row, counters)
            if entry is not None:
                entries.append(self._reconcile(entry, is_older_list=is_older_list))
        self.version = version
        self._update_listed_names(kind, entries)
        return ServerListUpdate(kind, tuple(entries), version or 0)

    def _entry_or_none(self, row: Any, counters: Counters | None) -> ServerEntry | None:
        try:
            return self._parse_entry(row)
        except INVALID_ENTRY_ERRORS as err:
            if counters is None:
                raise
            counters["discovery_wrong_entries"] += 1
            log.warning("invalid entry in the server list from discovery: %s: %s", type(err).__name__, err)
        if isinstance(row, dict) and isinstance(row.get("id"), str):
            return ServerEntry(row["id"], state=ServerState.DRAINING)
        return None

    def _parse_entry(self, row: dict[str, Any]) -> ServerEntry:
        entry = ServerEntry(
            name=str(row["id"]),
            zone=row.get("zone") or "",
            machine_type=row.get("kind") or "",
            cell=row.get("cell") or 0,
            state=STATE_BY_WIRE_NAME[row.get("state", "up")],
            weight=float(row.get("weight", 1.0)),
            started_at_ms=float(row.get("started_ms") or 0),
        )
        if row.get("addr"):
            self.addresses[entry.name] = parse_address(row["addr"])
        return entry

    def _reconcile(self, entry: ServerEntry, *, is_older_list: bool) -> ServerEntry:
        """Return the entry to use: this one, or the departure that a newer list announced.

        A discovery agent that restarts with an older list must not return requests to a server that has
        started draining since.
        """
        if entry.state is not ServerState.READY:
            self.departing[entry.name] = entry
            if len(self.departing) > MAX_DEPARTING_SERVERS:
                del self.departing[next(iter(self.departing))]
            return entry
        departing = self.departing.get(entry.name)
        if departing is not None and is_older_list and entry.started_at_ms <= departing.started_at_ms:
            return departing
        self.departing.pop(entry.name, None)
        return entry

    def _update_listed_names(self, kind: ServerListKind, entries: Collection[ServerEntry]) -> None:
        """Update the listed servers; the most recently departed ones keep their addresses."""
        removed = {entry.name for entry in entries if entry.state is ServerState.REMOVED}
        present = {entry.name for entry in entries} - removed
        before = self.listed_names
        retained = set() if kind.is_complete else before
        self.listed_names = (retained - removed) | present
        for name in present:
            self._departed_names.mark_listed(name)
        self._forget_addresses((before | removed) - self.listed_names)

    def _forget_addresses(self, departed: Collection[str]) -> None:
        """Mark servers as departed, and remove the addresses of the oldest ones beyond the limit."""
        for name in self._departed_names.mark_departed(sorted(departed)):
            self.addresses.pop(name, None)
