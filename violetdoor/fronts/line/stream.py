"""An established connection: forwards lines both ways until one side closes or the client migrates."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Mapping
from typing import TYPE_CHECKING

from violetdoor.balancing.events import AttemptResult, MeasurementKind
from violetdoor.fronts.line.load_report import parse_load_report
from violetdoor.net.line_socket import LineSocket, LineTooLongError
from violetdoor.net.sockets import send_buffers

if TYPE_CHECKING:
    from violetdoor.core import RequestHandle
    from violetdoor.fronts.line.client import ClientConnection
    from violetdoor.fronts.line.front_protocol import Front

log = logging.getLogger("violetdoor.line")

US_PER_MS = 1000
LOAD_PREFIX = b"LOAD "
UP_PREFIX = b"UP "
CLOSE_COMMANDS = (b"BYE", b"MOVE")  # sent by a server before it closes in order
# A server that sends neither before it closes counts as a reset.
RESULT_BY_CLOSE_COMMAND = {"BYE": AttemptResult.OK, "MOVE": AttemptResult.CANCELLED}


class EstablishedStream:
    """The connection of a client and its server, from UP to the end."""

    __slots__ = (
        "client",
        "close_command",
        "established_at_ms",
        "front",
        "last_load",
        "load_report",
        "request",
        "server",
    )

    def __init__(
        self, front: Front, client: ClientConnection, server: LineSocket, request: RequestHandle
    ) -> None:
        """Start with a server whose UP is still unread in its buffer."""
        self.front = front
        self.client = client
        self.server = server
        self.request = request
        self.close_command = ""  # BYE or MOVE; empty until the server sends one
        self.load_report: Mapping[str, float] = {}  # that came with the close command
        self.established_at_ms = 0.0
        self.last_load: float | None = None  # us/s, as last reported by the server; None before

    async def run(self) -> None:
        """Forward until one side closes, the core migrates the client, or the server is unresponsive."""
        request = self.request
        disconnected = self.client.disconnected
        receiving = asyncio.get_running_loop().create_task(self._forward_to_client())
        try:
            ends = (receiving, disconnected, request.migration_requested, request.server_unresponsive)
            await asyncio.wait(ends, return_when=asyncio.FIRST_COMPLETED)
            if receiving.done():
                await self._end_by_server(receiving)
            elif disconnected.done():
                self.front.counts["ended_by_client"] += 1
                request.attempt_ended(AttemptResult.CANCELLED, is_final=True)
            else:
                await self._end_by_migration()
        finally:
            self.front.established.discard(self.request)
            receiving.cancel()
            await asyncio.gather(receiving, return_exceptions=True)

    async def _end_by_server(self, receiving: asyncio.Task[None]) -> None:
        result = await self._server_result(receiving)
        self.front.counts[f"ended_{result.value}"] += 1
        self.request.attempt_ended(result, is_final=True, load_report=self.load_report)
        if self.front.gate is not None and result is not AttemptResult.OK:
            self.front.gate.record_migrated()

    async def _server_result(self, receiving: asyncio.Task[None]) -> AttemptResult:
        """Return how the server ended the connection; migrate or reset the client accordingly."""
        try:
            receiving.result()
        except LineTooLongError:  # the client got complete lines only, so it can migrate
            log.warning("server sent a line over the length limit; migrating its client")
            await self.client.migrate()
            return AttemptResult.ERROR
        self.client.lines.was_reset = self.server.was_reset
        return RESULT_BY_CLOSE_COMMAND.get(self.close_command, AttemptResult.RESET)

    async def _end_by_migration(self) -> None:
        """Migrate the client: by decision of the core, or because its server is unresponsive."""
        is_requested = self.request.migration_requested.done()
        self.front.counts["moved" if is_requested else "moved_silent"] += 1
        if self.front.gate is not None:
            self.front.gate.record_migrated()
        result = AttemptResult.CANCELLED if is_requested else AttemptResult.RESET
        self.request.attempt_ended(result, is_final=True)
        await self.client.migrate()

    # From the client to the server.

    async def forward_to_server(self) -> None:
        """Send the client's complete lines to the server; there is at least one."""
        lines, front = self.client.lines, self.front
        length = lines.complete_length()
        self.request.message_sent()
        count = lines.buffer.count(b"\n", 0, length)
        front.counts["lines_up"] += count
        if front.gate is not None:
            front.gate.record_forwarded(2 * count)  # each line and its answer
        await send_buffers(self.server.sock, [lines.view[:length]])
        lines.consume(length)

    # From the server to the client.

    async def _forward_to_client(self) -> None:
        """Forward the server's lines, starting with those that arrived together with UP."""
        server, client = self.server, self.client
        self.established_at_ms = self.front.core.now()
        while True:
            if length := server.complete_length():
                self._read_lines(length)
                await client.forward_from(server, length)
            if not await server.fill():
                if server.used:  # incomplete last line: forward it, and send no MOVE after it
                    await client.forward_from(server, server.used)
                    client.is_line_incomplete = True
                return

    def _read_lines(self, length: int) -> None:
        """Parse the server's lines in place: load notes, close commands, answers to the client's lines."""
        counts, request, buffer = self.front.counts, self.request, self.server.buffer
        start = 0
        while start < length:
            stop = buffer.find(b"\n", start, length) + 1
            if buffer.startswith(LOAD_PREFIX, start):
                counts["load_lines"] += 1
                try:
                    self._record_load_note(float(buffer[start + len(LOAD_PREFIX) : stop]))
                except ValueError:
                    log.warning("ignoring a server's LOAD line: its value is not a number")
            elif buffer.startswith(CLOSE_COMMANDS, start):
                self.close_command = buffer[start:stop].split()[0].decode()
                self.load_report = parse_load_report(bytes(buffer[start:stop]))
            elif not buffer.startswith(UP_PREFIX, start):
                counts["lines_down"] += 1
                request.message_answered()
            start = stop

    def _record_load_note(self, value: float) -> None:
        """Report the value of a LOAD line to the core, as a load or as a message delay."""
        counts = self.front.counts
        if self._load_note_kind(value) is MeasurementKind.MESSAGE_DELAY:
            counts["delay_lines"] += 1
            self.request.record_measurement(MeasurementKind.MESSAGE_DELAY, value)
        else:
            counts.setdefault("delay_lines", 0)  # printed together with load_lines from the first one on
            self.last_load = value
            self.request.record_measurement(MeasurementKind.LOAD, value / US_PER_MS)

    def _load_note_kind(self, value: float) -> MeasurementKind:
        options = self.front.options
        if not options.reports_message_delay:
            return MeasurementKind.LOAD
        if not options.reports_load:
            return MeasurementKind.MESSAGE_DELAY
        request = self.request
        now = self.front.core.now()
        return self.front.load_notes.classify(
            request.server,
            request.request_id,
            value,
            now,
            last_load=self.last_load,
            age_ms=now - self.established_at_ms,
        )
