"""A control machine as a program: it has no front, accepts no clients, and runs without a relay."""

from __future__ import annotations

import asyncio
import logging
import signal
from collections.abc import Callable
from pathlib import Path

import uvloop

from violetdoor.configuration.errors import ConfigError
from violetdoor.console.server import ConsoleServer
from violetdoor.control.config import ControlConfig, read_config
from violetdoor.control.console import ControlConsole
from violetdoor.control.server import ControlServer
from violetdoor.fleet.endpoint import FleetEndpoint
from violetdoor.fleet.key_file import KeyFileError, read_key
from violetdoor.fleet.state_file import StateFileError
from violetdoor.net.counters import Counters
from violetdoor.net.log_filter import RepeatedLineFilter
from violetdoor.startup import BLOCKED_SIGNALS, LogOutput, run_program

log = logging.getLogger("violetdoor")


class RestartRequiredError(ConfigError):
    """A reloaded configuration changes settings that require a restart; `names` lists them."""

    def __init__(self, names: list[str]) -> None:
        """Name the changed settings as `ControlConfig.changes_needing_restart` does."""
        super().__init__(f"the changed settings require a restart: {', '.join(names)}")
        self.names = names


class ControlProgram:
    """A control machine process, from start to exit."""

    def __init__(
        self, config: ControlConfig, read_again: Callable[[], ControlConfig], log_filter: RepeatedLineFilter
    ) -> None:
        """Prepare to run; `read_again` reads the file again, and `log_filter` drops repeated log lines."""
        self.config = config
        self.read_again = read_again
        self.log_filter = log_filter
        self.counters = Counters()
        self.server: ControlServer
        self.console: ConsoleServer | None = None
        self._stop = asyncio.Event()

    async def run(self) -> None:
        """Start, serve until SIGTERM or SIGINT, and shut down gracefully. Raises ConfigError or OSError."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._stop.set)
        loop.add_signal_handler(signal.SIGUSR1, self.log_counters)
        self.server = self._make_server()
        if self.config.console is not None:
            calls = ControlConsole(self.server)
            self.console = ConsoleServer(self.config.console, calls.answer, self.counters)
        try:
            self.server.start()
        except StateFileError as error:
            raise ConfigError(str(error)) from error
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, BLOCKED_SIGNALS)
        console_task: asyncio.Task[None] | None = None
        if self.console is not None:
            console_task = loop.create_task(self.console.run())
            log.info("console on %s:%d", *self.console.address)
        log.info("group member on %s:%d, name %s", *self.server.fleet.address, self.config.machine.name)
        log.info("accepting sessions of region %s on %s:%d", self.config.machine.region, *self.server.address)
        await self._stop.wait()
        log.info("serving -> draining")
        await self.server.shut_down()
        if self.console is not None and console_task is not None:
            console_task.cancel()
            await self.console.close()
        log.info("draining -> stopped")
        self.log_counters()

    def _make_server(self) -> ControlServer:
        config = self.config
        try:
            key = read_key(config.key)
        except KeyFileError as error:
            raise ConfigError(str(error)) from error
        fleet = FleetEndpoint(config.group, config.group_listen, key, config.group_state)
        return ControlServer(config.machine, config.listen, key, fleet)

    def log_counters(self) -> None:
        """Log the counters."""
        if self.log_filter.suppressed:
            self.counters["log_lines_left_out"] = self.log_filter.suppressed
        counters = self.server.counters.items()
        self.counters.update({name.replace(" ", "_"): count for name, count in counters})
        log.info("counters: %s", self.counters.format_line())

    def reload(self) -> None:
        """Read the file again, and apply limits and region addresses; an invalid file changes nothing."""
        try:
            config = self._read_reloadable_config()
        except ConfigError as error:
            self._reload_failed(error)
            return
        self.counters["reloads"] += 1
        self.config = config
        self.server.reconfigure(config.machine)
        log.info("reloaded: limits and addresses of regions are in effect")

    def _reload_failed(self, error: ConfigError) -> None:
        self.counters["reload_failed"] += 1
        log.error("reload failed, the current configuration stays in effect: %s", error)

    def _read_reloadable_config(self) -> ControlConfig:
        config = self.read_again()
        changed = self.config.changes_needing_restart(config)
        if changed:
            raise RestartRequiredError(changed)
        return config


def run_control_machine(path: Path) -> int:
    """Run the control machine that a file configures until a signal stops it; return the exit status."""

    def start(output: LogOutput) -> None:
        config = read_config(path)
        output.use_format(config.log)
        program = ControlProgram(config, lambda: read_config(path), output.limit)
        uvloop.run(program.run())

    return run_program(start)
