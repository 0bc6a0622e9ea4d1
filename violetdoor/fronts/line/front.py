"""The front end of the line protocol: accepts clients and serves each in a session."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections import deque
from typing import TYPE_CHECKING

from violetdoor.balancing.events import HealthCheckEnded
from violetdoor.fronts.line.client import busy_line
from violetdoor.fronts.line.connection_ids import ConnectionIds
from violetdoor.fronts.line.errors import RejectedByRuleError, TimeLeftTooLongError
from violetdoor.fronts.line.health_check import check_server
from violetdoor.fronts.line.load_note_classifier import LoadNoteClassifier
from violetdoor.fronts.line.opening import MAX_TIME_LEFT_IN_DEADLINES, Opening, check_class_and_tenant
from violetdoor.fronts.line.options import LineOptions
from violetdoor.fronts.line.session import Session
from violetdoor.fronts.line.shutdown import MAX_SHUTDOWN_SECONDS, GracefulShutdown, shutdown_seconds
from violetdoor.net.acceptor import Acceptor
from violetdoor.net.line_socket import LineSocket, LineTooLongError
from violetdoor.net.sockets import listen, printable_reason
from violetdoor.upgrade.messages import UsageReport

if TYPE_CHECKING:
    from violetdoor.core import RequestHandle
    from violetdoor.services import ServiceHost

log = logging.getLogger("violetdoor.line")

ADOPTION_SECONDS = 60.0  # after the start, while connections of an earlier run are adopted
MAX_RECONNECT_TIMES = 1024  # arrival times of reconnecting clients that are stored
PRESSURE_MIGRATION_FRACTION = 0.01  # of the established clients, per relieve_memory call
# Retry-After of clients that arrive during shutdown, unless the settings' maximum is less.
SHUTDOWN_RETRY_AFTER_MS = 300


class LineFront:
    """Accepts clients of the line protocol and owns the state that their sessions share."""

    def __init__(self, host: ServiceHost, options: LineOptions) -> None:
        """Listen at the host's address, or on the socket that it inherited."""
        self.core = host.core
        self.directory = host.directory
        self.counts = host.counters
        self.metrics = host.metrics
        self.rules = host.rules
        self.gate = host.gate
        self.options = options
        self.load_notes = LoadNoteClassifier()
        # An id that comes to the other process of an upgrade must not run there again.
        self.connection_ids = ConnectionIds(lambda hex_id: host.send_to_peer(UsageReport(ids=[hex_id])))
        listener = host.inherited_listener or listen(host.config.listen, reuse_port=True)
        self.acceptor = Acceptor(listener, self._serve, host.counters, host.config.max_sockets, b"BUSY\r\n")
        if self.gate is not None:
            self.acceptor.rejection_for = self._shed_at_accept
        self.adopt_until_ms = self.core.now() + ADOPTION_SECONDS * 1000
        self.shutdown_retry_after_ms = SHUTDOWN_RETRY_AFTER_MS
        self.shutdown_seconds = MAX_SHUTDOWN_SECONDS
        self.reconfigure(options)
        self.is_shutting_down = False
        self.reconnected_at: deque[float] = deque(maxlen=MAX_RECONNECT_TIMES)  # loop time, s
        self.established: set[RequestHandle] = set()
        self.core.health_checks.checker = self._check_server

    def reconfigure(self, options: LineOptions) -> None:
        """Apply the classes, tenants and line semantics of new settings.

        The kill after SIGTERM follows the longest deadline, but of which settings is not specified: so the
        shortest shutdown time of all settings so far applies.
        """
        self.options = options
        max_retry_after_ms = self.core.settings.max_retry_after_ms
        self.shutdown_retry_after_ms = round(min(SHUTDOWN_RETRY_AFTER_MS, max_retry_after_ms))
        self.acceptor.overload_answer = busy_line(self.shutdown_retry_after_ms)
        self.shutdown_seconds = min(self.shutdown_seconds, shutdown_seconds(options.deadlines_ms))

    async def run(self) -> None:
        """Accept clients until cancelled."""
        await self.acceptor.run()

    async def shut_down(self) -> None:
        """Answer clients that still arrive, let requests end, migrate all established clients."""
        self.is_shutting_down = True
        await GracefulShutdown(self).run()

    @property
    def has_successor(self) -> bool:
        """Whether another process accepts this relay's clients."""
        return not self.acceptor.accepting_enabled.is_set()

    def queued_bytes(self) -> float:
        """Return 0: nothing is queued beyond the fixed buffer of each connection."""
        return 0.0

    def relieve_memory(self, *, under_pressure: bool, migrate: bool) -> None:
        """Migrate some clients of the lowest priority under memory pressure; buffers are bounded anyway."""
        if under_pressure and migrate:
            for handle in self.core.select_lowest_priority(self.migratable(), PRESSURE_MIGRATION_FRACTION):
                handle.migration_requested.set_result(None)

    def migratable(self) -> list[RequestHandle]:
        """Return the established requests whose migration was not requested yet."""
        return [request for request in self.established if not request.migration_requested.done()]

    def apply_rules(self, opening: Opening, sock: socket.socket) -> None:
        """Let the rules set a request's attributes; the line that is forwarded to its server stays unchanged.

        Raises RejectedByRuleError, or InvalidOpeningError where the rules' result cannot be served.
        """
        from violetdoor.fronts.line.fields import rule_request

        assert self.rules is not None
        deadlines = self.options.deadlines_ms
        verdict = self.rules.decide(rule_request(opening, sock.getpeername()), deadlines)
        opening.values = None
        if verdict.cls is not None:
            opening.request_class = verdict.cls
        if verdict.refusal is not None:
            raise RejectedByRuleError(printable_reason(verdict.refusal), opening.request_class)
        if verdict.tenant is not None:
            opening.tenant = verdict.tenant
        if verdict.group is not None:
            opening.group = verdict.group
        if verdict.key is not None:
            opening.idempotency_key = verdict.key
        check_class_and_tenant(opening.request_class, opening.tenant, deadlines, self.options.tenants)
        max_time_left = MAX_TIME_LEFT_IN_DEADLINES * deadlines[opening.request_class]
        if not opening.existing_server and opening.time_left_ms > max_time_left:
            raise TimeLeftTooLongError

    def _shed_at_accept(self, client: str) -> bytes | None:
        """Return the answer to a client that is shed before its first line is read, None to accept it."""
        assert self.gate is not None
        shed = self.gate.check_connection(client)
        return None if shed is None else busy_line(shed.retry_after_ms)

    async def _check_server(self, server: str) -> HealthCheckEnded:
        return await check_server(self, server)

    async def _serve(self, sock: socket.socket) -> bool:
        """Serve one client; return whether to reset its connection instead of closing it."""
        lines = LineSocket(sock)
        session = Session(self, lines)
        try:
            await session.run()
        except asyncio.CancelledError:
            if self.acceptor.is_closing:
                session.send_final_answer_at_exit()
            raise
        except LineTooLongError:
            self.counts["line_too_long"] += 1
            log.info("client sent a line over the length limit; ending its session")
            await session.answer_after_fault()
        except OSError:
            raise
        except Exception:
            await session.answer_after_fault()
            raise
        return lines.was_reset
