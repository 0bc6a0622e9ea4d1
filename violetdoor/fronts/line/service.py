"""The service that runs the line front."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from msgspec import UNSET

from violetdoor.configuration.relay_config import Config
from violetdoor.fronts.line.front import LineFront
from violetdoor.services import Front, ServiceHost
from violetdoor.upgrade.messages import Message, RelaySnapshot, UsageReport


class LineService(Front):
    """Serves the clients of the line protocol."""

    def __init__(self, host: ServiceHost) -> None:
        """Listen at the address in the host's configuration."""
        self.core = host.core
        self.front = LineFront(host, host.config.line)
        self.acceptor = self.front.acceptor
        self._notified_ids: set[str] = set()  # hex ids that the other process of an upgrade was sent

    async def serve(self) -> None:
        """Accept clients until cancelled."""
        await self.front.run()

    def begin_shutdown(self) -> None:
        """Stop forwarding new requests; `drain` is called next."""
        self.front.is_shutting_down = True

    async def drain(self) -> None:
        """Let requests end, migrate clients, then stop accepting."""
        await self.front.shut_down()

    def queued_bytes(self) -> float:
        """Return the total of bytes that are queued for clients."""
        return self.front.queued_bytes()

    def relieve_memory(self, *, under_pressure: bool, migrate: bool) -> None:
        """Migrate some clients of the lowest priority under memory pressure."""
        self.front.relieve_memory(under_pressure=under_pressure, migrate=migrate)

    def apply_config(self, new: Config) -> None:
        """Apply a validated configuration."""
        self.front.reconfigure(new.line)

    def gauges(self) -> Mapping[str, Callable[[], int]]:
        """Return the metrics whose value is read on request."""
        return {"active": lambda: len(self.front.connection_ids.open)}

    def fill_snapshot(self, snapshot: RelaySnapshot) -> None:
        """Fill in the state that the successor process starts from."""
        self._notified_ids.clear()
        snapshot.ids = self._new_ids()

    def fill_usage_report(self, report: UsageReport) -> None:
        """Fill in the state that this process still has."""
        super().fill_usage_report(report)
        report.ids = self._new_ids()

    def on_message(self, message: Message) -> None:
        """Apply a message of the other process of an upgrade."""
        super().on_message(message)
        if isinstance(message, UsageReport) and message.ids is not UNSET:
            self.front.connection_ids.add_ended(message.ids)

    def _new_ids(self) -> list[str]:
        """Return the ids, in hex, that the other process was not sent yet."""
        new = [name for name in self.front.connection_ids.hex_ids() if name not in self._notified_ids]
        self._notified_ids.update(new)
        return new
