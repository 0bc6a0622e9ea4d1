"""The graceful shutdown of the line front: answers or migrates every client before SIGKILL."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from typing import TYPE_CHECKING, Protocol

from violetdoor.core.even_selection import select_evenly
from violetdoor.net.linger import LINGER_TIMEOUT_SECONDS

if TYPE_CHECKING:
    from collections import deque
    from collections.abc import Collection

    from violetdoor.core import Controller, RequestHandle
    from violetdoor.net.acceptor import Acceptor

# SIGKILL comes no sooner after SIGTERM than the longest deadline (MAX_DEADLINE_SECONDS at most) plus
# KILL_AFTER_DEADLINE_SECONDS.
MAX_DEADLINE_SECONDS = 3.0
KILL_AFTER_DEADLINE_SECONDS = 0.7
EXIT_MARGIN_SECONDS = 0.2  # the program exits this long before SIGKILL
MAX_SHUTDOWN_SECONDS = MAX_DEADLINE_SECONDS + KILL_AFTER_DEADLINE_SECONDS - EXIT_MARGIN_SECONDS
STILL_ARRIVING_SECONDS = 0.45  # after SIGTERM, while the platform still sends new clients here

# Established clients are migrated between these fractions of the shutdown time. Guards against migrating them
# while no other relay can take them: in a rolling restart the previous relay may still be starting, and a
# client is served here until its MOVE.
MIGRATION_START_FRACTION = 0.6
# The later start if another relay's clients just reconnected here: that relay is down, this one may be alone.
MIGRATION_START_FRACTION_ALONE = 0.75
MIGRATION_END_FRACTION = 0.92
STEP_SECONDS = 0.05  # between two steps of the migration
# Another relay counts as down if more than this fraction of the clients here reconnected in the window before
# SIGTERM.
RECONNECT_WINDOW_SECONDS = 2.0
RECONNECT_FRACTION = 0.3


def shutdown_seconds(deadlines_ms: Mapping[str, float]) -> float:
    """Return how long a shutdown may take with these deadlines, in s."""
    longest = max(deadlines_ms.values(), default=0.0) / 1000
    return min(longest, MAX_DEADLINE_SECONDS) + KILL_AFTER_DEADLINE_SECONDS - EXIT_MARGIN_SECONDS


class DrainingFront(Protocol):
    """The interface of the front that a shutdown uses; `LineFront` implements it."""

    core: Controller
    acceptor: Acceptor
    reconnected_at: deque[float]  # loop time, s: arrivals of clients with again=1
    shutdown_seconds: float

    @property
    def established(self) -> Collection[object]:
        """The established requests."""

    @property
    def has_successor(self) -> bool:
        """Whether another process accepts this relay's clients."""

    def migratable(self) -> list[RequestHandle]:
        """Return the requests whose clients can be migrated."""


class GracefulShutdown:
    """One shutdown, which starts when it is constructed."""

    def __init__(self, front: DrainingFront) -> None:
        """Set the times; later settings don't change them, because the SIGKILL is already scheduled."""
        self._front = front
        self._loop = asyncio.get_running_loop()
        self._started_at = self._loop.time()
        self._duration = front.shutdown_seconds
        # From then on, open sessions only get their final answer or MOVE.
        self._drain_end = self._started_at + self._duration - LINGER_TIMEOUT_SECONDS

    async def run(self) -> None:
        """Answer clients that still arrive, let requests end, migrate clients evenly, then close."""
        front = self._front
        if front.has_successor:
            await self._migrate_to_successor()
        established_count = len(front.established)
        migration_end = self._started_at + self._duration * MIGRATION_END_FRACTION
        migration_end = min(migration_end, self._drain_end - STEP_SECONDS)
        arrivals_end = self._started_at
        if not front.has_successor:
            arrivals_end += STILL_ARRIVING_SECONDS
        while self._loop.time() < self._closing_time(arrivals_end):
            if self._loop.time() >= self._migration_start(established_count):
                self._migrate_step(migration_end)
            await asyncio.sleep(STEP_SECONDS)
        await front.acceptor.close()

    def _closing_time(self, arrivals_end: float) -> float:
        """Return when to close; without clients, as soon as no more are expected to arrive."""
        if self._front.acceptor.tasks:
            return self._drain_end
        return min(self._drain_end, arrivals_end)

    def _migration_start(self, established_count: int) -> float:
        """Return when the migration starts; later if no other relay may be up to take the clients."""
        window_start = self._started_at - RECONNECT_WINDOW_SECONDS
        reconnects = sum(at > window_start for at in self._front.reconnected_at)
        is_only_relay = self._front.core.settings.relay_count == 1
        fraction = MIGRATION_START_FRACTION
        if is_only_relay or reconnects > established_count * RECONNECT_FRACTION:
            fraction = MIGRATION_START_FRACTION_ALONE
        return self._started_at + self._duration * fraction

    async def _migrate_to_successor(self) -> None:
        """Migrate all clients evenly from now on: the successor process accepts them at once."""
        front = self._front
        migration_end = self._drain_end - self._duration * (1 - MIGRATION_END_FRACTION)
        while front.has_successor and front.acceptor.tasks and self._loop.time() < self._drain_end:
            self._migrate_step(migration_end)
            await asyncio.sleep(STEP_SECONDS)

    def _migrate_step(self, migration_end: float) -> None:
        """Migrate this step's share of the clients that remain until the end of the migration."""
        time_left = migration_end - self._loop.time()
        for handle in select_evenly(self._front.migratable(), time_left, STEP_SECONDS):
            handle.migration_requested.set_result(None)
