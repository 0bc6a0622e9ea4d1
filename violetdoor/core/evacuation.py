"""Migration of the clients of banned servers."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Container

from violetdoor.core.even_selection import select_evenly
from violetdoor.core.request_handle import EstablishedByServer

EVACUATION_MS = 1_200.0  # time over which the clients of a banned server are migrated
EVACUATION_STEP_MS = 50.0  # time between two steps of an evacuation


class BanEvacuation:
    """Migrates the clients of banned servers evenly over a period, and any later clients at the next step."""

    def __init__(
        self, banned: Container[str], established: EstablishedByServer, clock: Callable[[], float]
    ) -> None:
        """Use the banned servers and established connections, both read only; `clock` returns ms."""
        self._banned = banned
        self._established = established
        self._clock = clock
        self._loop = asyncio.get_running_loop()

    def start(self, server: str) -> None:
        """Start to evacuate a server that was just banned; the evacuation ends when the ban is lifted."""
        self._step(server, self._clock() + EVACUATION_MS)

    def _step(self, server: str, until_ms: float) -> None:
        if server not in self._banned:
            return
        requests = self._established.get(server, {}).values()
        waiting = [request for request in requests if not request.migration_requested.done()]
        for request in select_evenly(waiting, until_ms - self._clock(), EVACUATION_STEP_MS):
            request.migration_requested.set_result(None)
        self._loop.call_later(EVACUATION_STEP_MS / 1000, self._step, server, until_ms)
