"""The program from start to exit: one object, its phases by name."""

from __future__ import annotations

import asyncio
import logging
import signal
import time
from enum import Enum

from lynxdeck import interface as i
from violetdoor.config import Config
from violetdoor.core import Controller
from violetdoor.fronts.line.front import LineFront
from violetdoor.net.counters import Counters
from violetdoor.net.discovery import Directory, Watch

log = logging.getLogger("violetdoor")

MOVE_PART = 0.75  # part of the time before the kill over which standing clients are told to move
KILL_AFTER = 0.7  # s past the longest deadline (3 s at the most) at which the platform kills
MOST_DEADLINE = 3.0
CALM_EXIT = 0.2  # s before the kill by which the program is gone


class Phase(Enum):
    """Where the program is between start and exit."""

    STARTING = "starting"
    SERVING = "serving"
    LEAVING = "leaving"
    STOPPED = "stopped"


def unix_clock() -> float:
    """Unix time in ms that never jumps: servers' starts are told in it."""
    return time.monotonic() * 1000 + _OFFSET


_OFFSET = (time.time() - time.monotonic()) * 1000


class Program:
    """One relay."""

    def __init__(self, config: Config) -> None:
        self.config, self.counts, self.phase = config, Counters(), Phase.STARTING

    def enter(self, phase: Phase) -> None:
        """Go on to the next phase."""
        log.info("%s -> %s", self.phase.value, phase.value)
        self.phase = phase

    def report(self) -> None:
        """Print the counters."""
        log.info("counters: %s", self.counts.line())

    async def run(self) -> None:
        """Start, serve until SIGTERM, leave, stop."""
        config, loop = self.config, asyncio.get_running_loop()
        stop = asyncio.Event()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, stop.set)
        loop.add_signal_handler(signal.SIGUSR1, self.report)
        directory = Directory()
        core = Controller(config.settings, config.seed, unix_clock, config.tells_delay)
        watch = Watch(config.discovery, directory, core.listed, self.counts)
        core.follow = watch.follow
        core.listed(directory.read(config.known, i.ListKind.REMEMBERED))
        front = LineFront(
            config.listen, core, directory, self.counts, config.connect_timeout, config.sockets
        )
        tasks = [loop.create_task(front.accept()), loop.create_task(front.sweep())]
        self.enter(Phase.SERVING)
        stopping = loop.create_task(stop.wait())
        await asyncio.wait((*tasks, stopping), return_when=asyncio.FIRST_COMPLETED)
        for task in tasks:
            if task.done():
                task.result()
        self.enter(Phase.LEAVING)
        time_left = min(config.longest_deadline, MOST_DEADLINE) + KILL_AFTER
        await front.leave(time_left * MOVE_PART, time_left - CALM_EXIT)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await watch.stop()
        self.enter(Phase.STOPPED)
        self.report()
