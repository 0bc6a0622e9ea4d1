"""The services that make up the program. Each is one concern, in a package with its own `service.py`.

The program calls the methods that a service overrides: to start and stop, to apply a new configuration, to
read metrics, to answer operators' calls, and to hand over to the other process of an upgrade.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING, Protocol

from msgspec import UNSET

from violetdoor.balancing.events import ConnectionTotal, SiblingProcessLoad
from violetdoor.console.server import Answer
from violetdoor.net.process import resident_memory_bytes
from violetdoor.upgrade.messages import Message, RelaySnapshot, ResourceUsage, UsageReport

if TYPE_CHECKING:
    import socket

    from violetdoor.configuration.relay_config import Config
    from violetdoor.core import Controller
    from violetdoor.net.acceptor import Acceptor
    from violetdoor.net.counters import Counters
    from violetdoor.net.metrics import Metrics
    from violetdoor.net.server_directory import ServerDirectory
    from violetdoor.overload.gate import AdmissionGate
    from violetdoor.rules.active_rules import ActiveRules
    from violetdoor.rules.source import CompiledRules


class Service:
    """One concern of the running program. The methods of this base class do nothing."""

    async def start(self) -> None:
        """Start, after the services before this one; no client is accepted before the front has started."""

    async def stop(self) -> None:
        """Stop, once no client is connected and the services after this one are stopped."""

    # Change of configuration; the methods are called in this order by `reloading`.

    def check_config(self, new: Config) -> None:
        """Raise ConfigError if this service can't apply a configuration without a restart."""

    def needs_preparation(self, new: Config, *, from_peer: bool) -> bool:
        """Return whether `prepare_config` has anything to do; it explains `from_peer`."""
        del new, from_peer
        return False

    async def prepare_config(self, new: Config, *, from_peer: bool) -> Config:
        """Do the slow steps before a configuration is applied; return it with the data that they read.

        `from_peer`: the other process of an upgrade sent the configuration. Raises ConfigError if preparing
        it fails.
        """
        del from_peer
        return new

    def apply_config(self, new: Config) -> None:
        """Apply a configuration that has passed every check; this must not fail."""

    # Calls and metrics of operators.

    def gauges(self) -> Mapping[str, Callable[[], int]]:
        """Return the functions that read this service's gauges, by the gauges' names in `/stats`."""
        return {}

    def handle_call(self, method: str, path: list[str]) -> Answer | None:
        """Answer an operator's HTTP call by the parts of its path; return None for another service's call."""

    # Upgrade: two processes of one relay.

    def fill_snapshot(self, snapshot: RelaySnapshot) -> None:
        """Fill in the state from which the successor starts."""

    def shared_sockets(self) -> dict[str, socket.socket]:
        """Return the sockets, by name, that the successor gets too, so that no peer is rejected meanwhile."""
        return {}

    def fill_usage_report(self, report: UsageReport) -> None:
        """Fill in the resources that this process still uses; its successor gets a report every 200 ms."""

    def on_message(self, message: Message) -> None:
        """Handle a message from the other process."""

    def on_successor_accepting(self) -> None:
        """Stop accepting new clients of this relay: the successor accepts them from now on."""

    def on_successor_lost(self) -> None:
        """Accept clients again: the successor has ended."""


class Front(Service):
    """The service that accepts clients. A program has exactly one."""

    core: Controller
    acceptor: Acceptor

    async def serve(self) -> None:
        """Accept clients until cancelled."""
        raise NotImplementedError

    def begin_shutdown(self) -> None:
        """Start no request that is read from now on: a stop was requested, and `drain` is called next."""
        raise NotImplementedError

    async def drain(self) -> None:
        """Stop accepting clients, let requests finish, and disconnect the clients."""
        raise NotImplementedError

    def queued_bytes(self) -> float:
        """Return the number of bytes queued for all clients together."""
        return 0.0

    def relieve_memory(self, *, under_pressure: bool, migrate: bool) -> None:
        """Under memory pressure, read less for the longest queues; otherwise read as usual again.

        `migrate`: also migrate some clients of the lowest priority, or end their sessions.
        """

    def fill_usage_report(self, report: UsageReport) -> None:
        """Fill in the open connections, their descriptors, and this process's memory."""
        descriptors = self.acceptor.descriptors_in_use()
        report.resources = ResourceUsage(self.core.load_by_server(), descriptors, resident_memory_bytes())

    def on_message(self, message: Message) -> None:
        """Count the connections, descriptors and memory of the other process."""
        if isinstance(message, UsageReport) and message.resources is not UNSET:
            connection_totals = {
                server: ConnectionTotal(load, count)
                for server, (load, count) in message.resources.held.items()
            }
            self.core.handle(SiblingProcessLoad(connection_totals))
            self.acceptor.sibling_descriptors = message.resources.descriptors
            self.acceptor.sibling_memory_bytes = message.resources.memory

    def on_successor_accepting(self) -> None:
        """Stop accepting clients, and leave health checks to the successor."""
        self.acceptor.set_accepting(enabled=False)
        self.core.set_health_checks_paused(paused=True)

    def on_successor_lost(self) -> None:
        """Resume accepting clients and checking servers' health."""
        self.acceptor.set_accepting(enabled=True)
        self.core.set_health_checks_paused(paused=False)


class ServiceHost(Protocol):
    """The interface of the program for its services; `violetdoor.program.Program` implements it."""

    config: Config  # the current one
    core: Controller
    counters: Counters  # printed on SIGUSR1
    metrics: Metrics  # shown by `/stats`
    directory: ServerDirectory
    predecessor_state: RelaySnapshot | None  # handed over by the previous process
    inherited_listener: socket.socket | None  # the predecessor's listening socket for clients
    inherited_sockets: dict[str, socket.socket]  # further sockets of the predecessor, by name
    compiled_rules: CompiledRules | None  # for the start; None without rules, and once RulesService has them
    rules: ActiveRules | None
    gate: AdmissionGate | None
    services: list[Service]  # in the order of their start

    @property
    def front(self) -> Front:
        """The service that accepts clients; not set yet when the services before it are created."""

    @property
    def is_serving(self) -> bool:
        """Whether clients are accepted."""

    @property
    def predecessor_may_accept(self) -> bool:
        """Whether another process of this relay may still accept clients, too."""

    def send_to_peer(self, message: Message) -> None:
        """Send a message to the other process of an upgrade, if there is one."""

    def apply_peer_config(self, serialized: bytes) -> None:
        """Apply the configuration of the other process; raises ConfigError."""
