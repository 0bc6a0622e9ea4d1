"""Execution of the health checks that the decision module requests."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from violetdoor.balancing.events import AttemptResult, HealthCheckEnded

HEALTH_CHECK_DEFERRAL_SECONDS = 0.5  # delay of a check while the relay is overloaded

HealthChecker = Callable[[str], Awaitable[HealthCheckEnded]]


class HealthChecks:
    """Runs health checks with the front's checker, each in its own task."""

    def __init__(
        self, accepts_new_work: Callable[[str], bool], emit: Callable[[HealthCheckEnded], None]
    ) -> None:
        """Pass results to `emit`; a server that accepts no new work counts as unreachable without a check."""
        self.checker: HealthChecker | None = None  # set by the front; None: no server can be checked
        self.should_defer: Callable[[], bool] = lambda: False
        self.are_paused = False  # while another process of this relay runs the checks
        self._accepts_new_work = accepts_new_work
        self._emit = emit
        self._loop = asyncio.get_running_loop()
        self._tasks: set[asyncio.Task[None]] = set()

    def request(self, server: str) -> None:
        """Check a server now, or after a delay while the relay is overloaded."""
        if self.are_paused:
            return
        if self.should_defer():
            self._loop.call_later(HEALTH_CHECK_DEFERRAL_SECONDS, self._start, server)
        else:
            self._start(server)

    def _start(self, server: str) -> None:
        task = self._loop.create_task(self._check(server))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _check(self, server: str) -> None:
        if self.checker is None or not self._accepts_new_work(server):
            self._emit(HealthCheckEnded(server, AttemptResult.UNREACHABLE, 0.0))
        else:
            self._emit(await self.checker(server))
