"""The operators' bans: applied in the core, and stored in a file for this relay's next process."""

from __future__ import annotations

import logging
from pathlib import Path

import orjson

from violetdoor.core import Controller

log = logging.getLogger("violetdoor.maintenance")


class BanStore:
    """Applies bans, and stores them in a file that only this relay's processes share."""

    def __init__(self, core: Controller, path: Path | None) -> None:
        """`path` is the file for the bans; if it is None, they end with the process."""
        self.core = core
        self.path = path

    def restore(self) -> None:
        """Apply the stored bans; log an error if their file can't be read, and leave it unchanged."""
        if self.path is None or not self.path.exists():
            return
        try:
            stored = orjson.loads(self.path.read_bytes())
            bans = {str(server): float(since) for server, since in stored.items()}
            self.core.overrides.bans.update(bans)
        except (OSError, ValueError, TypeError, AttributeError) as err:
            log.error("cannot read the stored bans; starting without them: %s", err)
        self.core.endpoints.known_names.update(self.core.overrides.bans)

    def ban(self, server: str, since: float) -> bool:
        """Ban a server since a Unix time in ms; return False if no server list has contained it."""
        if not self.core.ban(server, since):
            return False
        self._save()
        return True

    def lift_ban(self, server: str) -> bool:
        """Lift a server's ban; return False if no server list has contained it."""
        if not self.core.lift_ban(server):
            return False
        self._save()
        return True

    def _save(self) -> None:
        """Replace the file atomically: a reader sees either all old bans or all new ones."""
        if self.path is None:
            return
        try:
            new_path = self.path.with_suffix(".new")
            new_path.write_bytes(orjson.dumps(self.core.overrides.bans))
            new_path.replace(self.path)
        except OSError as err:  # the bans still apply in this process
            log.error("cannot store the bans; the next process starts with the earlier ones: %s", err)
