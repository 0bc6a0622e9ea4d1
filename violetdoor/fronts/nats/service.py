"""The service that runs the NATS front."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping

from violetdoor.configuration.relay_config import Config
from violetdoor.fronts.nats.front import NatsFront
from violetdoor.services import Front, ServiceHost
from violetdoor.upgrade.messages import Message, MessagesDelivered, UsageReport


class NatsService(Front):
    """Serves NATS clients."""

    def __init__(self, host: ServiceHost) -> None:
        """Listen at the address in the host's configuration."""
        options = host.config.nats
        assert options is not None
        self._host = host
        self.core = host.core
        self.front = NatsFront(host, options)
        self.acceptor = self.front.acceptor

    async def serve(self) -> None:
        """Accept clients until cancelled."""
        await self.front.run()

    def begin_shutdown(self) -> None:
        """Stop opening sessions for new clients; `drain` is called next."""
        self.front.is_shutting_down = True

    async def drain(self) -> None:
        """Give clients time to disconnect, end the other sessions, stop accepting."""
        await self.front.shut_down()

    def queued_bytes(self) -> float:
        """Return the total of bytes that are queued for clients."""
        return self.front.queued_bytes()

    def relieve_memory(self, *, under_pressure: bool, migrate: bool) -> None:
        """Under memory pressure limit the longest queues, and with `migrate` end low-priority sessions."""
        self.front.relieve_memory(under_pressure=under_pressure, migrate=migrate)

    def apply_config(self, new: Config) -> None:
        """Apply a validated configuration."""
        if new.nats is not None:
            self.front.reconfigure(new.deadlines, new.nats.tenants)

    def fill_usage_report(self, report: UsageReport) -> None:
        """Fill in the resources, and send the successor what was delivered since the last report."""
        super().fill_usage_report(report)
        delivered = self.front.first_deliveries.next_report()
        if delivered:
            self._host.send_to_peer(MessagesDelivered(delivered))

    def on_message(self, message: Message) -> None:
        """Apply a message of the other process of an upgrade."""
        super().on_message(message)
        if isinstance(message, MessagesDelivered):
            now = asyncio.get_running_loop().time()
            for delivered in message.delivered:
                self.front.first_deliveries.record(delivered, now)

    def on_successor_accepting(self) -> None:
        """Stop accepting clients, and report to the successor what was delivered."""
        super().on_successor_accepting()
        self.front.first_deliveries.start_reporting()

    def on_successor_lost(self) -> None:
        """Resume accepting clients."""
        super().on_successor_lost()
        self.front.first_deliveries.stop_reporting()

    def gauges(self) -> Mapping[str, Callable[[], int]]:
        """Return the metrics whose value is read on request."""
        return {"active": lambda: sum(bool(session.request_class) for session in self.front.sessions)}
