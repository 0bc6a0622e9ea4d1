"""The service that runs the NATS front."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from violetdoor.configuration.relay_config import Config
from violetdoor.fronts.nats.front import NatsFront
from violetdoor.services import Front, ServiceHost


class NatsService(Front):
    """Serves NATS clients."""

    def __init__(self, host: ServiceHost) -> None:
        """Listen at the address in the host's configuration."""
        options = host.config.nats
        assert options is not None
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

    def gauges(self) -> Mapping[str, Callable[[], int]]:
        """Return the metrics whose value is read on request."""
        return {"active": lambda: sum(bool(session.request_class) for session in self.front.sessions)}
