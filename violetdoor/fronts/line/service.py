"""The line front as the program's service."""

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
        """Listen; the host's configuration says where."""
        self.core = host.core
        self.front = LineFront(host, host.config.line)
        self.acceptor = self.front.acceptor
        self._notified_ids: set[str] = set()  # that the other process of an upgrade knows of

    async def serve(self) -> None:
        """Accept clients until this is cancelled."""
        await self.front.run()

    def begin_shutdown(self) -> None:
        """Forward nothing that is read from now on: `drain` is called next."""
        self.front.is_shutting_down = True

    async def drain(self) -> None:
        """Let requests end, migrate clients, accept no more."""
        await self.front.shut_down()

    def queued_bytes(self) -> float:
        """Return the bytes that wait for clients in all."""
        return self.front.queued()

    def relieve_memory(self, *, under_pressure: bool, migrate: bool) -> None:
        """Under memory pressure migrate some of the lowest priority."""
        self.front.relieve_memory(under_pressure=under_pressure, migrate=migrate)

    def apply_config(self, new: Config) -> None:
        """Apply a configuration that has passed every check."""
        self.front.reconfigure(new.line)

    def gauges(self) -> Mapping[str, Callable[[], int]]:
        """Return the figures that are read when they are asked for."""
        return {"active": lambda: len(self.front.connection_ids.open)}

    def fill_snapshot(self, snapshot: RelaySnapshot) -> None:
        """Fill in what the process that takes over is to begin from."""
        self._notified_ids.clear()
        snapshot.ids = self._new_ids()

    def fill_usage_report(self, report: UsageReport) -> None:
        """Fill in what this process still holds."""
        super().fill_usage_report(report)
        report.ids = self._new_ids()

    def on_message(self, message: Message) -> None:
        """Take in what the other process says."""
        super().on_message(message)
        if isinstance(message, UsageReport) and message.ids is not UNSET:
            self.front.connection_ids.add_ended(message.ids)

    def _new_ids(self) -> list[str]:
        """Return the ids that the other process was not notified of yet."""
        new = [name for name in self.front.connection_ids.names() if name not in self._notified_ids]
        self._notified_ids.update(new)
        return new
