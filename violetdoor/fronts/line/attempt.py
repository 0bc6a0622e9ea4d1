"""One attempt after another at servers: connect, send the OPEN line, read the first answer."""

from __future__ import annotations

import asyncio
import re
from collections.abc import Mapping
from typing import TYPE_CHECKING

from violetdoor.balancing.actions import StartAttempt
from violetdoor.balancing.events import AttemptResult
from violetdoor.fronts.line.load_report import parse_load_report
from violetdoor.net.line_socket import LineSocket, LineTooLongError
from violetdoor.net.sockets import connect, send_buffers

if TYPE_CHECKING:
    from violetdoor.fronts.line.client import ClientConnection
    from violetdoor.fronts.line.front_protocol import Front
    from violetdoor.fronts.line.opening import Opening

# The only answers of a server that are taken as such. Guards against a spoilt one: half an UP would be
# forwarded for an established connection, something like BUSY be taken as proof that nothing ever ran.
UP = re.compile(rb"UP [!-~][ -~]*\r\n")
BUSY = re.compile(rb"BUSY(?: [!-~]+)?\r\n")


class ServerAttempts:
    """The attempts of one request, never two at once."""

    __slots__ = ("client", "front", "is_request_sent", "load_report", "server")

    def __init__(self, front: Front, client: ClientConnection) -> None:
        """Start without an attempt."""
        self.front = front
        self.client = client
        self.server: LineSocket | None = None  # of the attempt that succeeded
        self.is_request_sent = False  # a server may have the complete first line: it may run
        self.load_report: Mapping[str, float] = {}  # that came with the latest answer

    async def run(
        self, opening: Opening, attempt: StartAttempt, *, is_adoption: bool = False
    ) -> AttemptResult:
        """Try one server; retain its connection if it is up, else close it. A disconnect cancels.

        `is_adoption`: the client has this connection already, so that the server is not asked for.
        """
        if self.client.is_disconnected:
            return AttemptResult.CANCELLED
        trying = asyncio.get_running_loop().create_task(
            self.try_server(opening, attempt, is_adoption=is_adoption)
        )
        disconnected = self.client.disconnected
        try:
            await asyncio.wait((trying, disconnected), return_when=asyncio.FIRST_COMPLETED)
            if trying.done():
                result = trying.result()
            else:
                trying.cancel()
                await asyncio.gather(trying, return_exceptions=True)
                result = AttemptResult.CANCELLED
        except BaseException:
            trying.cancel()
            raise
        self.front.counts[f"attempt_{result.value}"] += 1
        return result

    async def try_server(
        self, opening: Opening, attempt: StartAttempt, *, is_adoption: bool
    ) -> AttemptResult:
        """Connect, exchange the first lines, close unless the server is up."""
        self.load_report = {}
        time_left = (attempt.timeout_at_ms - self.front.core.now()) / 1000
        address = self.front.directory.addresses.get(attempt.server)
        if address is None or time_left <= 0:
            return AttemptResult.UNREACHABLE
        connect_timeout = min(self.front.options.connect_timeout_seconds, time_left)
        try:
            sock = await connect(address, connect_timeout)
        except OSError:
            return AttemptResult.UNREACHABLE
        server = LineSocket(sock)
        result: AttemptResult | None = None  # None: this attempt is cancelled
        try:
            result = await self.exchange(opening, server, attempt, is_adoption=is_adoption)
            if result is AttemptResult.OK:
                self.server = server
            return result
        finally:
            # One that is given up must be over before another begins: what the system still holds of its line
            # goes with a reset. An end in order would have it delivered when an unresponsive server is back.
            if result is not AttemptResult.OK:
                server.close(reset=result is None or result is AttemptResult.TIMEOUT)

    async def exchange(
        self, opening: Opening, server: LineSocket, attempt: StartAttempt, *, is_adoption: bool
    ) -> AttemptResult:
        """Send the line on a connection that is up, read the server's first answer."""
        obstacle = self._obstacle(attempt, is_adoption=is_adoption)
        if obstacle is not None:
            return obstacle
        time_left_ms = attempt.timeout_at_ms - self.front.core.now()
        if time_left_ms <= 0:  # not a byte is sent
            return AttemptResult.UNREACHABLE
        try:
            async with asyncio.timeout(time_left_ms / 1000):
                if not await self._send(opening, server, time_left_ms):
                    return AttemptResult.UNREACHABLE
                length = await server.read_line()
        except TimeoutError:
            return AttemptResult.TIMEOUT
        except LineTooLongError:
            return AttemptResult.ERROR
        return self._read_answer(bytes(server.buffer[:length]))

    def _obstacle(self, attempt: StartAttempt, *, is_adoption: bool) -> AttemptResult | None:
        """Return why not a byte may go to a server whose connection came up late, if anything."""
        if not is_adoption and not self.front.core.may_start(attempt):
            self.front.counts["begun_too_late"] += 1
            return AttemptResult.UNREACHABLE
        if self.client.is_disconnected:
            return AttemptResult.CANCELLED
        return None

    async def _send(self, opening: Opening, server: LineSocket, time_left_ms: float) -> bool:
        """Send the OPEN line; False if the server cannot have it complete."""
        was_sent_before = self.is_request_sent
        self.is_request_sent = True  # also if this task is cancelled
        try:
            await send_buffers(server.sock, opening.server_line_parts(time_left_ms))
        except OSError:  # the system takes nothing of a write that fails: the last byte is not out
            self.is_request_sent = was_sent_before
            return False
        self.front.figures.increment("tries", opening.request_class)
        return True

    def _read_answer(self, answer: bytes) -> AttemptResult:
        """Return what the server's first line means; retain its load report."""
        if not answer:
            return AttemptResult.RESET
        if UP.fullmatch(answer):
            return AttemptResult.OK
        self.load_report = parse_load_report(answer)
        return AttemptResult.OVERLOADED if BUSY.fullmatch(answer) else AttemptResult.ERROR
