"""A change of configuration while the relay serves: each newer one comes into force complete, or not at all.

The steps: read it, check it, let the services prepare for it, apply it everywhere in one go, tell the other
process of an upgrade. Clients notice nothing.
"""

from __future__ import annotations

import asyncio
import logging

from violetdoor.configuration.completeness import check_complete
from violetdoor.configuration.errors import ConfigError, RestartRequiredChange, RestartRequiredError
from violetdoor.configuration.relay_config import Config
from violetdoor.configuration.sources import ConfigSource
from violetdoor.services import ServiceHost
from violetdoor.upgrade.messages import ConfigurationChanged

log = logging.getLogger("violetdoor")


class ConfigReloader:
    """Brings newer configurations into force; the only one to write the host's `config`."""

    def __init__(self, host: ServiceHost, source: ConfigSource) -> None:
        """`source` is read again for each reload."""
        self.host = host
        self.source = source
        self._preparation: asyncio.Task[None] | None = None
        self._last_number = 0  # of the preparations

    def reload(self) -> None:
        """Read the configuration again and bring it into force, whatever phase the program is in.

        Guards against a file that is half written or wrong: then all stays as it was.
        """
        try:
            new = self.source.reload()
            check_complete(self.host.config, new)
            self._check(new)
        except ConfigError as err:
            self._reject(err)
            return
        self._prepare_and_apply(new, from_peer=False)

    def apply_from_peer(self, serialized: bytes) -> None:
        """Bring the configuration into force that the other process of an upgrade has; raises ConfigError."""
        self._prepare_and_apply(self.source.parse_inherited(serialized), from_peer=True)

    async def close(self) -> None:
        """Give up a preparation that is not done yet."""
        if self._preparation is not None:
            self._preparation.cancel()
            await asyncio.gather(self._preparation, return_exceptions=True)

    def _check(self, new: Config) -> None:
        """Raise ConfigError where a configuration can't come into force without a restart."""
        current = self.host.config
        if new.front != current.front:
            raise RestartRequiredError(RestartRequiredChange.FRONT)
        if current.rules is None and new.rules is not None:
            raise RestartRequiredError(RestartRequiredChange.RULES_PRESENCE)
        for service in self.host.services:
            service.check_config(new)

    def _reject(self, err: Exception) -> None:
        """Keep to the configuration that is in force."""
        self.host.counters["reload_failed"] += 1
        self.host.metrics.counts["config_rejected"] += 1
        log.error("reload failed, the old values stay: %s", err)

    def _prepare_and_apply(self, new: Config, *, from_peer: bool) -> None:
        if not any(service.needs_preparation(new, from_peer=from_peer) for service in self.host.services):
            self._apply(new, from_peer=from_peer)
            return
        self._last_number += 1
        preparation = self._prepare(new, self._preparation, self._last_number, from_peer=from_peer)
        self._preparation = asyncio.get_running_loop().create_task(preparation)
        self._preparation.add_done_callback(self._on_prepared)

    async def _prepare(
        self,
        new: Config,
        previous: asyncio.Task[None] | None,
        number: int,
        *,
        from_peer: bool,
    ) -> None:
        """Apply a configuration once all services are ready for it, and the preparation before is done.

        Of several that wait only the newest counts.
        """
        if previous is not None:
            await asyncio.wait((previous,))
        if number < self._last_number:
            return
        try:
            for service in self.host.services:
                new = await service.prepare_config(new, from_peer=from_peer)
        except ConfigError as err:
            self._reject(err)
            return
        self._apply(new, from_peer=from_peer)

    def _on_prepared(self, task: asyncio.Task[None]) -> None:
        if task.cancelled():
            return
        err = task.exception()
        if err is not None:  # a fault of this program
            self.host.counters["faults"] += 1
            self._reject(ConfigError(f"{type(err).__name__} {err}"))

    def _apply(self, new: Config, *, from_peer: bool) -> None:
        """Bring a configuration that has passed every check into force, in one step."""
        host = self.host
        if not from_peer:
            host.counters["reloads"] += 1
            host.metrics.counts["config_applied"] += 1
            if new.serialized:
                host.send_to_peer(ConfigurationChanged(new.serialized.decode()))
        host.metrics.register_classes(new.deadlines)
        host.core.reconfigure(new.settings, reports_message_delay=new.reports_message_delay)
        for service in host.services:
            service.apply_config(new)
        unchanged = ", ".join(host.config.changes_needing_restart(new)) or "nothing"
        host.config = new
        server_list = "discovery at {}:{}".format(*new.discovery) if new.discovery else "the listed servers"
        log.info("reloaded: %s; changed, but takes a restart: %s", server_list, unchanged)
