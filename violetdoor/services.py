"""What the program is made of: services. Each is one concern, in a package with a `service.py` of its own.

A service takes part in what the program does by the methods that it overrides: it starts and stops, applies a
new configuration, has metrics, answers operators' calls, and hands over to the other process of an upgrade.
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
    """One concern of the running program. A method that a service does not override does nothing."""

    async def start(self) -> None:
        """Start: the services before this one are started, and those before the front see no client yet."""

    async def stop(self) -> None:
        """Stop: no client is left, and the services after this one are stopped."""

    # A change of configuration, in the order of the calls: see `reloading`.

    def check_config(self, new: Config) -> None:
        """Raise ConfigError where this service can't apply a configuration without a restart."""

    def needs_preparation(self, new: Config, *, from_peer: bool) -> bool:
        """Return whether `prepare_config` has anything to do; `from_peer` as there."""
        del new, from_peer
        return False

    async def prepare_config(self, new: Config, *, from_peer: bool) -> Config:
        """Do what takes time before a configuration is in force; return it with what was read for it.

        `from_peer`: the other process of an upgrade sent it. Raises ConfigError where it can't be prepared.
        """
        del from_peer
        return new

    def apply_config(self, new: Config) -> None:
        """Bring a configuration into force that has passed every check; nothing may fail here."""

    # Operators.

    def gauges(self) -> Mapping[str, Callable[[], int]]:
        """Return what reads this service's gauges, by their names in `/stats`."""
        return {}

    def handle_call(self, method: str, path: list[str]) -> Answer | None:
        """Answer an operator's HTTP call by the parts of its path; None for one of another service."""

    # Two processes of one relay, in an upgrade.

    def fill_snapshot(self, snapshot: RelaySnapshot) -> None:
        """Fill in the state that the process that takes over starts from."""

    def shared_sockets(self) -> dict[str, socket.socket]:
        """Return the sockets that it gets a descriptor of, too, by name: nobody is rejected meanwhile."""
        return {}

    def fill_usage_report(self, report: UsageReport) -> None:
        """Fill in what this process still holds; its successor gets a report every 200 ms."""

    def on_message(self, message: Message) -> None:
        """Handle a message of the other process."""

    def on_successor_accepting(self) -> None:
        """Leave this relay's new clients to the process that takes over, from now on."""

    def on_successor_lost(self) -> None:
        """Take the relay's clients again: the process that took over has ended."""


class Front(Service):
    """The service that accepts clients. A program has just one."""

    core: Controller
    acceptor: Acceptor

    async def serve(self) -> None:
        """Accept clients until this is cancelled."""
        raise NotImplementedError

    def begin_shutdown(self) -> None:
        """Start nothing that is read from now on: a signal has come to stop, and `drain` is called next."""
        raise NotImplementedError

    async def drain(self) -> None:
        """Let requests end, send clients away, accept no more."""
        raise NotImplementedError

    def queued_bytes(self) -> float:
        """Return the bytes that wait for all clients together."""
        return 0.0

    def relieve_memory(self, *, under_pressure: bool, migrate: bool) -> None:
        """Read less for the longest queues under memory pressure, and as before without.

        `migrate`: also send some clients of the lowest priority elsewhere.
        """

    def fill_usage_report(self, report: UsageReport) -> None:
        """Fill in the open connections, their descriptors, and this process's memory."""
        descriptors = self.acceptor.descriptors_in_use()
        report.resources = ResourceUsage(self.core.load_by_server(), descriptors, resident_memory_bytes())

    def on_message(self, message: Message) -> None:
        """Count what the other process holds."""
        if isinstance(message, UsageReport) and message.resources is not UNSET:
            held = {
                server: ConnectionTotal(load, count)
                for server, (load, count) in message.resources.held.items()
            }
            self.core.handle(SiblingProcessLoad(held))
            self.acceptor.sibling_descriptors = message.resources.descriptors
            self.acceptor.sibling_memory_bytes = message.resources.memory

    def on_successor_accepting(self) -> None:
        """Accept no more, and leave health checks to the successor."""
        self.acceptor.set_accepting(enabled=False)
        self.core.set_health_checks_paused(paused=True)

    def on_successor_lost(self) -> None:
        """Accept clients and check servers' health again."""
        self.acceptor.set_accepting(enabled=True)
        self.core.set_health_checks_paused(paused=False)


class ServiceHost(Protocol):
    """The program, as its services see it: `violetdoor.program.Program` is one."""

    config: Config  # in force
    core: Controller
    counters: Counters  # printed on SIGUSR1
    metrics: Metrics  # shown by `/stats`
    directory: ServerDirectory
    predecessor_state: RelaySnapshot | None  # of the process before this one
    inherited_listener: socket.socket | None  # the socket that it accepted clients from
    inherited_sockets: dict[str, socket.socket]  # and what else it had open, by name
    compiled_rules: CompiledRules | None  # to start with; None without rules, and once they are in service
    rules: ActiveRules | None
    gate: AdmissionGate | None
    services: list[Service]  # in the order of their start

    @property
    def front(self) -> Front:
        """The service that accepts clients; not there before those that start before it."""

    @property
    def is_serving(self) -> bool:
        """Whether clients are accepted."""

    @property
    def predecessor_may_accept(self) -> bool:
        """Whether another process of this relay may still accept clients, too."""

    def send_to_peer(self, message: Message) -> None:
        """Send a message to the other process of an upgrade, if there is one."""

    def apply_peer_config(self, serialized: bytes) -> None:
        """Bring the configuration into force that the other process has; raises ConfigError."""
