"""Detection of servers, and of single connections, that have stopped answering."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from violetdoor.core.request_handle import EstablishedByServer, RequestHandle

log = logging.getLogger("violetdoor.core")

CHECK_INTERVAL_MS = 200.0
SERVER_TIMEOUT_MS = 1_500.0  # time without any answer after which a server is unresponsive
CONNECTION_TIMEOUT_MS = 3_500.0  # time without an answer after which a single connection is unresponsive


class UnresponsiveServerDetector:
    """Ends connections without answers through the `server_unresponsive` future of their handles.

    TCP does not detect a server that accepts data but answers nothing. A client must not be left without an
    answer for 7 s.
    """

    def __init__(self, established: EstablishedByServer, clock: Callable[[], float]) -> None:
        """Start to monitor these connections; `clock` returns ms."""
        self.last_answer_at: dict[str, float] = {}  # time of the last answer in ms, by server
        self._established = established
        self._clock = clock
        self._loop = asyncio.get_running_loop()
        self._schedule()

    def _schedule(self) -> None:
        self._loop.call_later(CHECK_INTERVAL_MS / 1000, self._check)

    def _check(self) -> None:
        self._schedule()
        now = self._clock()
        for server, requests in list(self._established.items()):
            unresponsive = self._unresponsive(server, list(requests.values()), now)
            if unresponsive:
                log.warning(
                    "server %s is unresponsive on %d of %d connections; ending these connections",
                    server,
                    len(unresponsive),
                    len(requests),
                )
            for request in unresponsive:
                if not request.server_unresponsive.done():
                    request.server_unresponsive.set_result(None)

    def _unresponsive(self, server: str, requests: list[RequestHandle], now: float) -> list[RequestHandle]:
        """Return all connections if the server is unresponsive, else the unresponsive connections."""
        waiting = [request for request in requests if request.unanswered_sent_at]
        oldest = min((request.unanswered_sent_at[0] for request in waiting), default=now)
        has_timed_out = now - oldest > SERVER_TIMEOUT_MS
        if has_timed_out and self.last_answer_at.get(server, 0.0) < oldest:
            return requests
        return [r for r in waiting if now - r.unanswered_sent_at[0] > CONNECTION_TIMEOUT_MS]
