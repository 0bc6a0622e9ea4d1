"""Service for upgrades: exchanges the state of all services with the other process."""

from __future__ import annotations

import asyncio
import logging
import socket
from pathlib import Path

from violetdoor.services import Service, ServiceHost
from violetdoor.upgrade.handover import Handover
from violetdoor.upgrade.messages import ConfigurationChanged, Message, RelaySnapshot, UsageReport
from violetdoor.upgrade.predecessor import InheritedState

log = logging.getLogger("violetdoor")


class UpgradeService(Service):
    """Takes over from the relay's previous process and hands over to the next one."""

    def __init__(
        self, host: ServiceHost, handover_socket_path: Path, inherited: InheritedState | None
    ) -> None:
        """Hand over at this socket path; `inherited` is the state of a predecessor, if any."""
        self.host = host
        self.inherited = inherited
        self.handover = Handover(handover_socket_path, self, host.front.acceptor.sock)
        self.task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Notify the predecessor that this process accepts clients, and wait for a successor."""
        await asyncio.sleep(0)  # lets the front start to accept
        if self.inherited is not None:
            self.on_message(UsageReport(ids=self.inherited.snapshot.ids))
            self.handover.announce_takeover(self.inherited)
            server_count = len(self.host.core.endpoints.entries)
            log.info("took over from the predecessor with %d servers in the server list", server_count)
        self.task = asyncio.get_running_loop().create_task(self.handover.run())

    async def stop(self) -> None:
        """Close the connections to other processes."""
        if self.task is not None:
            self.task.cancel()
            await asyncio.gather(self.task, return_exceptions=True)

    def snapshot(self) -> RelaySnapshot:
        """Return the state with which a successor can continue this process's work."""
        snapshot = RelaySnapshot(config=self.host.config.serialized.decode())
        for service in self._others():
            service.fill_snapshot(snapshot)
        return snapshot

    def shared_sockets(self) -> dict[str, socket.socket]:
        """Return the sockets of all services that are handed to a successor, by name."""
        shared: dict[str, socket.socket] = {}
        for service in self._others():
            shared |= service.shared_sockets()
        return shared

    def usage_report(self) -> UsageReport:
        """Return the resources that this process still uses."""
        report = UsageReport()
        for service in self._others():
            service.fill_usage_report(report)
        return report

    def on_message(self, message: Message) -> None:
        """Pass a message to every service, and apply a changed configuration."""
        for service in self._others():
            service.on_message(message)
        if isinstance(message, ConfigurationChanged):
            self.host.apply_peer_config(message.config.encode())

    def on_successor_accepting(self) -> None:
        """Notify every service that the successor accepts clients."""
        for service in self._others():
            service.on_successor_accepting()

    def on_successor_lost(self) -> None:
        """Notify every service that the successor has ended."""
        for service in self._others():
            service.on_successor_lost()

    def _others(self) -> list[Service]:
        return [service for service in self.host.services if service is not self]
