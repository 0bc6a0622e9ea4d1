"""Reload of the configuration while the relay serves: a new one is applied completely, or not at all.

The steps: read it, check it, let the services prepare for it, apply it to all of them in one step, and send
it to the other process of an upgrade. Clients are not affected.
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
    """Applies new configurations; nothing else sets the host's `config`."""

    def __init__(self, host: ServiceHost, source: ConfigSource) -> None:
        """`source` is read again at each reload."""
        self.host = host
        self.source = source
        self._preparation: asyncio.Task[None] | None = None
        self._newest_number = 0  # of the newest preparation; they are numbered from 1

    def reload(self) -> None:
        """Read the configuration again and apply it, in any phase of the program.

        A file that is incomplete or invalid changes nothing.
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
        """Apply the configuration of the other process of an upgrade; raises ConfigError."""
        self._prepare_and_apply(self.source.parse_inherited(serialized), from_peer=True)

    async def close(self) -> None:
        """Cancel a preparation that has not finished."""
        if self._preparation is not None:
            self._preparation.cancel()
            await asyncio.gather(self._preparation, return_exceptions=True)

    def _check(self, new: Config) -> None:
        """Raise ConfigError if a configuration can't be applied without a restart."""
        current = self.host.config
        if new.front != current.front:
            raise RestartRequiredError(RestartRequiredChange.FRONT)
        if current.rules is None and new.rules is not None:
            raise RestartRequiredError(RestartRequiredChange.RULES_PRESENCE)
        for service in self.host.services:
            service.check_config(new)

    def _reject(self, err: Exception) -> None:
        """Count and log a rejected configuration; the current one stays in effect."""
        self.host.counters["reload_failed"] += 1
        self.host.metrics.counts["config_rejected"] += 1
        log.error("reload failed, the current configuration stays in effect: %s", err)

    def _prepare_and_apply(self, new: Config, *, from_peer: bool) -> None:
        if not any(service.needs_preparation(new, from_peer=from_peer) for service in self.host.services):
            self._apply(new, from_peer=from_peer)
            return
        self._newest_number += 1
        preparation = self._prepare(new, self._preparation, self._newest_number, from_peer=from_peer)
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
        """Apply a configuration once all services are prepared and the previous preparation has finished.

        If several configurations are waiting, only the newest is applied.
        """
        if previous is not None:
            await asyncio.wait((previous,))
        if number < self._newest_number:
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
        if err is not None:  # a bug of this program
            self.host.counters["faults"] += 1
            self._reject(ConfigError(f"{type(err).__name__} {err}"))

    def _apply(self, new: Config, *, from_peer: bool) -> None:
        """Apply a configuration that has passed every check, in one step."""
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
        awaiting_restart = ", ".join(host.config.changes_needing_restart(new)) or "nothing"
        host.config = new
        server_list = "discovery at {}:{}".format(*new.discovery) if new.discovery else "the listed servers"
        log.info("reloaded, servers from %s; changed, but takes a restart: %s", server_list, awaiting_restart)
