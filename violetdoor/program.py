"""One relay from start to exit: its phases and its services."""

from __future__ import annotations

import asyncio
import logging
import signal
import time
from enum import Enum
from pathlib import Path
from typing import TYPE_CHECKING

from violetdoor.configuration.relay_config import Config
from violetdoor.configuration.sources import ConfigSource
from violetdoor.core import Controller
from violetdoor.maintenance.service import MaintenanceService
from violetdoor.net.counters import Counters
from violetdoor.net.log_filter import RepeatedLineFilter
from violetdoor.net.metrics import Metrics
from violetdoor.net.server_directory import ServerDirectory
from violetdoor.net.server_list_service import ServerListService
from violetdoor.reloading import ConfigReloader
from violetdoor.service_loading import front_factory, services_after_front, services_before_front
from violetdoor.services import Front, Service
from violetdoor.startup import BLOCKED_SIGNALS
from violetdoor.upgrade.messages import Message
from violetdoor.upgrade.predecessor import InheritedState
from violetdoor.upgrade.service import UpgradeService

if TYPE_CHECKING:  # not imported at run time, since the platform's relay uses none of them
    from violetdoor.overload.gate import AdmissionGate
    from violetdoor.rules.active_rules import ActiveRules
    from violetdoor.rules.source import CompiledRules

log = logging.getLogger("violetdoor")

_UNIX_MINUS_MONOTONIC_MS = (time.time() - time.monotonic()) * 1000


def unix_clock() -> float:
    """Return a Unix time in ms that never jumps; servers report their start time in Unix time."""
    return time.monotonic() * 1000 + _UNIX_MINUS_MONOTONIC_MS


class Phase(Enum):
    """Where the program is between start and exit."""

    STARTING = "starting"
    SERVING = "serving"
    DRAINING = "draining"
    STOPPED = "stopped"


class Program:
    """One relay, and the host of its services: `ServiceHost` declares what services may use."""

    def __init__(
        self,
        config: Config,
        source: ConfigSource,
        line_filter: RepeatedLineFilter,
        handover_socket_path: Path | None = None,
        predecessor: InheritedState | None = None,
    ) -> None:
        """Set up a relay without starting it.

        `handover_socket_path`: the socket over which the processes of an upgrade connect; None if upgrades
        are not possible. `predecessor`: the state that the previous process has handed over.
        """
        self.config = config
        self.line_filter = line_filter
        self.handover_socket_path = handover_socket_path
        self.predecessor = predecessor
        self.predecessor_state = predecessor.snapshot if predecessor else None
        self.inherited_listener = predecessor.listener if predecessor else None
        self.inherited_sockets = predecessor.sockets if predecessor else {}
        self.phase = Phase.STARTING
        self.counters = Counters()
        self.metrics = Metrics(config.deadlines)
        self.directory = ServerDirectory()
        self.core: Controller
        self.front: Front
        self.services: list[Service] = []
        self.upgrade: UpgradeService | None = None
        self.compiled_rules: CompiledRules | None = None
        self.rules: ActiveRules | None = None
        self.gate: AdmissionGate | None = None
        self.reloader = ConfigReloader(self, source)
        self._stop_requested = asyncio.Event()

    @property
    def is_serving(self) -> bool:
        """Whether clients are accepted."""
        return self.phase is Phase.SERVING

    @property
    def predecessor_may_accept(self) -> bool:
        """Whether another process of this relay may still accept clients, too."""
        return self.upgrade is not None and not self.upgrade.handover.is_takeover_complete

    def send_to_peer(self, message: Message) -> None:
        """Send a message to the other process of an upgrade, if there is one."""
        if self.upgrade is not None:
            self.upgrade.handover.broadcast(message)

    def apply_peer_config(self, serialized: bytes) -> None:
        """Apply the configuration of the other process of an upgrade; raises ConfigError."""
        self.reloader.apply_from_peer(serialized)

    async def run(self) -> None:
        """Start, serve until SIGTERM or SIGINT, drain, stop."""
        loop = asyncio.get_running_loop()
        for stop_signal in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(stop_signal, self._request_stop)
        loop.add_signal_handler(signal.SIGUSR1, self._log_counters)
        config = self.config
        self.core = Controller(
            config.settings, config.seed, unix_clock, reports_message_delay=config.reports_message_delay
        )
        self._create_services()
        loop.add_signal_handler(signal.SIGHUP, self.reloader.reload)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, BLOCKED_SIGNALS)
        await self._serve()
        await self._stop_services()
        self._enter_phase(Phase.STOPPED)
        self._log_counters()

    def _create_services(self) -> None:
        """Create the services that the configuration needs, in the order of their start."""
        self._add_service(MaintenanceService(self))
        self._add_service(ServerListService(self))
        for create in services_before_front(self.config):
            self._add_service(create(self))
        self.front = front_factory(self.config)(self)
        self._add_service(self.front)
        for create in services_after_front(self.config):
            self._add_service(create(self))
        if self.handover_socket_path is not None:
            self.upgrade = UpgradeService(self, self.handover_socket_path, self.predecessor)
            self._add_service(self.upgrade)

    def _add_service(self, service: Service) -> None:
        self.services.append(service)
        self.metrics.gauges.update(service.gauges())

    async def _serve(self) -> None:
        """Start all services, accept clients until a stop is requested, then drain."""
        loop = asyncio.get_running_loop()
        first_after_front = self.services.index(self.front) + 1
        for service in self.services[:first_after_front]:
            await service.start()
        serving = loop.create_task(self.front.serve())
        stopping = loop.create_task(self._stop_requested.wait())
        for service in self.services[first_after_front:]:
            await service.start()
        self._enter_phase(Phase.SERVING)
        log.info("listening on %s:%d", *self.front.acceptor.address)
        await asyncio.wait((serving, stopping), return_when=asyncio.FIRST_COMPLETED)
        if serving.done():
            serving.result()
        self._enter_phase(Phase.DRAINING)
        await self.front.drain()
        serving.cancel()
        await asyncio.gather(serving, return_exceptions=True)

    async def _stop_services(self) -> None:
        await self.reloader.close()
        for service in reversed(self.services):
            await service.stop()

    def _request_stop(self) -> None:
        """Stop; the front is notified at once, not some iterations of the event loop after the signal."""
        self._stop_requested.set()
        self.front.begin_shutdown()

    def _enter_phase(self, phase: Phase) -> None:
        log.info("%s -> %s", self.phase.value, phase.value)
        self.phase = phase

    def _log_counters(self) -> None:
        if self.line_filter.suppressed:
            self.counters["log_lines_left_out"] = self.line_filter.suppressed
        log.info("counters: %s", self.counters.format_line())
