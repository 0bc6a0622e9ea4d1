"""Service that maintains the server list, from discovery, the configuration or the previous process."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from violetdoor.balancing.events import ServerListKind
from violetdoor.configuration.errors import RestartRequiredChange, RestartRequiredError
from violetdoor.configuration.relay_config import Config
from violetdoor.net.server_list_watch import ServerListWatch
from violetdoor.services import Service, ServiceHost
from violetdoor.upgrade.balancer_state import (
    endpoint_snapshot,
    learned_snapshot,
    learned_state,
    server_entry,
)
from violetdoor.upgrade.messages import RelaySnapshot


class ServerListService(Service):
    """Keeps the core's server list up to date from discovery or from the configuration."""

    def __init__(self, host: ServiceHost) -> None:
        """Start from the predecessor's or the configured list, and watch discovery if it is configured."""
        self.host = host
        self.core = host.core
        self.directory = host.directory
        config = host.config
        self.watch: ServerListWatch | None = None
        if config.discovery is not None:
            self.watch = ServerListWatch(
                config.discovery, self.directory, self.core.update_server_list, host.counters
            )
            self.core.watch_server_list = self.watch.start
        if host.predecessor_state is not None:
            self._restore(host.predecessor_state)
        else:
            kind = ServerListKind.COMPLETE if self.watch is None else ServerListKind.CACHED
            self.core.update_server_list(self.directory.apply_list(config.initial_server_list, kind))
        if self.watch is not None:
            self.watch.set_pushed(is_pushed=not config.settings.polls_server_list)

    def _restore(self, snapshot: RelaySnapshot) -> None:
        """Restore the server list and the learned state of the previous process."""
        core = self.core
        core.endpoints.known_names.update(snapshot.named)
        core.record_self_reported_draining(snapshot.draining)
        entries = {endpoint.name: server_entry(endpoint) for endpoint in snapshot.entries}
        core.restore(learned_state(snapshot.knowledge), entries)
        self.directory.addresses = dict(snapshot.addresses)
        self.directory.restore(snapshot.version, entries.values())

    async def stop(self) -> None:
        """End the watch."""
        if self.watch is not None:
            await self.watch.stop()

    def check_config(self, new: Config) -> None:
        """Raise RestartRequiredError if the list would switch between discovery and the configuration."""
        if (new.discovery is None) != (self.watch is None):
            raise RestartRequiredError(RestartRequiredChange.SERVER_LIST_ORIGIN)

    def apply_config(self, new: Config) -> None:
        """Switch to a new discovery address, or apply the configured list."""
        if self.watch is not None and new.discovery is not None:
            if (
                new.discovery != self.watch.address
            ):  # reloading the same address must not make all relays of a site call at once
                self.watch.switch_address(new.discovery)
            self.watch.set_pushed(is_pushed=not new.settings.polls_server_list)
        else:
            self.core.update_server_list(
                self.directory.apply_list(new.initial_server_list, ServerListKind.COMPLETE)
            )

    def gauges(self) -> Mapping[str, Callable[[], int]]:
        """Return the numbers of listed servers and of those that get no new requests."""
        return {
            "pool_size": lambda: len(self.core.endpoints.entries),
            "pool_ejected": self.core.avoided_server_count,
        }

    def fill_snapshot(self, snapshot: RelaySnapshot) -> None:
        """Fill in the server list and the learned state of the decision module."""
        snapshot.named = sorted(self.core.endpoints.known_names)
        snapshot.entries = [endpoint_snapshot(entry) for entry in self.core.endpoints.entries.values()]
        snapshot.addresses = self.directory.addresses
        snapshot.version = self.directory.version
        snapshot.draining = self.core.overrides.self_reported_draining
        snapshot.knowledge = learned_snapshot(self.core.balancer.learned_state())
