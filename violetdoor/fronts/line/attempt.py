"""Attempts of a request, one at a time: connect to a server, send the OPEN line, read the first answer."""

from __future__ import annotations

import asyncio
import math
import re
from collections.abc import Mapping
from typing import TYPE_CHECKING

from violetdoor.balancing.actions import StartAttempt
from violetdoor.balancing.events import AttemptResult
from violetdoor.fronts.line.load_report import parse_load_report
from violetdoor.net.line_socket import LineSocket, LineTooLongError
from violetdoor.net.sockets import connect, send_buffers
from violetdoor.net.tcp_info import segment_ages

if TYPE_CHECKING:
    from violetdoor.fronts.line.client import ClientConnection
    from violetdoor.fronts.line.front_protocol import Front
    from violetdoor.fronts.line.opening import Opening

MIN_OWN_DELAY_MS = 10.0  # less is within the resolution of the kernel's times
# Any other first line of a server counts as an error. A truncated UP must not be forwarded as an established
# connection, and a line that merely resembles BUSY must not count as proof that the request was not executed.
UP = re.compile(rb"UP [!-~][ -~]*\r\n")
BUSY = re.compile(rb"BUSY(?: [!-~]+)?\r\n")


class ServerAttempts:
    """The attempts of one request; at most one runs at a time."""

    __slots__ = ("client", "front", "is_request_sent", "load_report", "server", "setup_ms")

    def __init__(self, front: Front, client: ClientConnection) -> None:
        """Start before the first attempt."""
        self.front = front
        self.client = client
        self.server: LineSocket | None = None  # connection of the attempt that succeeded; None until then
        self.is_request_sent = False  # a server may have the whole OPEN line, so it may execute the request
        # The time that the server took for the set-up; infinity if all until now may have been the server's.
        self.setup_ms = math.inf
        self.load_report: Mapping[str, float] = {}  # from the latest server's answer

    async def run(
        self, opening: Opening, attempt: StartAttempt, *, is_adoption: bool = False
    ) -> AttemptResult:
        """Attempt one server; keep the connection if the server answers UP, otherwise close it.

        A disconnect of the client cancels the attempt. `is_adoption`: the connection was open before this
        program ran, so the core is not asked whether the attempt may start.
        """
        if self.client.is_disconnected:
            return AttemptResult.CANCELLED
        attempting = asyncio.get_running_loop().create_task(
            self.attempt_server(opening, attempt, is_adoption=is_adoption)
        )
        disconnected = self.client.disconnected
        try:
            await asyncio.wait((attempting, disconnected), return_when=asyncio.FIRST_COMPLETED)
            if attempting.done():
                result = attempting.result()
            else:
                attempting.cancel()
                await asyncio.gather(attempting, return_exceptions=True)
                result = AttemptResult.CANCELLED
        except BaseException:
            attempting.cancel()
            raise
        self.front.counts[f"attempt_{result.value}"] += 1
        return result

    async def attempt_server(
        self, opening: Opening, attempt: StartAttempt, *, is_adoption: bool
    ) -> AttemptResult:
        """Connect and exchange the first lines; close the connection unless the server answers UP."""
        self.load_report = {}
        started_at_ms = self.front.core.now()
        time_left = (attempt.timeout_at_ms - started_at_ms) / 1000
        address = self.front.directory.addresses.get(attempt.server)
        if address is None or time_left <= 0:
            return AttemptResult.UNREACHABLE
        connect_timeout = min(self.front.options.connect_timeout_seconds, time_left)
        try:
            sock = await connect(address, connect_timeout)
        except OSError:
            return AttemptResult.UNREACHABLE
        server = LineSocket(sock)
        result: AttemptResult | None = None  # None if the attempt is cancelled
        try:
            result = await self.exchange(opening, server, attempt, is_adoption=is_adoption)
            if result is AttemptResult.OK:
                self.server = server
                self._measure_setup(server, started_at_ms)
            return result
        finally:
            # An abandoned attempt must end before the next one starts, so its connection is reset. That
            # discards what the kernel has not sent yet. After an orderly close the kernel would still deliver
            # the OPEN line once an unresponsive server recovers.
            if result is not AttemptResult.OK:
                server.close(reset=result is None or result is AttemptResult.TIMEOUT)

    def _measure_setup(self, server: LineSocket, started_at_ms: float) -> None:
        """Tell the server's part of the set-up time from this relay's, where that was late."""
        ages = segment_ages(server.sock)
        setup_ms = ages.rtt_ms + ages.answer_ms
        own_delay_ms = self.front.core.now() - started_at_ms - setup_ms
        self.setup_ms = setup_ms if own_delay_ms > MIN_OWN_DELAY_MS else math.inf

    async def exchange(
        self, opening: Opening, server: LineSocket, attempt: StartAttempt, *, is_adoption: bool
    ) -> AttemptResult:
        """Send the OPEN line on a connected socket and return the result of the server's first line."""
        obstacle = self._reason_not_to_send(attempt, is_adoption=is_adoption)
        if obstacle is not None:
            return obstacle
        time_left_ms = attempt.timeout_at_ms - self.front.core.now()
        if time_left_ms <= 0:  # nothing was sent
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

    def _reason_not_to_send(self, attempt: StartAttempt, *, is_adoption: bool) -> AttemptResult | None:
        """Return the result of an attempt that must not send anything, None if it may send."""
        if not is_adoption and not self.front.core.may_start(attempt):
            self.front.counts["begun_too_late"] += 1
            return AttemptResult.UNREACHABLE
        if self.client.is_disconnected:
            return AttemptResult.CANCELLED
        return None

    async def _send(self, opening: Opening, server: LineSocket, time_left_ms: float) -> bool:
        """Send the OPEN line; False if the server cannot have received all of it."""
        was_sent_before = self.is_request_sent
        self.is_request_sent = True  # set before the write, which may be cancelled half-way
        try:
            await send_buffers(server.sock, opening.server_line_parts(time_left_ms))
        except OSError:  # a failed write accepts no bytes: the last byte was not sent
            self.is_request_sent = was_sent_before
            return False
        self.front.metrics.increment("tries", opening.request_class)
        return True

    def _read_answer(self, answer: bytes) -> AttemptResult:
        """Return the result that the server's first line stands for; store its load report."""
        if not answer:
            return AttemptResult.RESET
        if UP.fullmatch(answer):
            return AttemptResult.OK
        self.load_report = parse_load_report(answer)
        return AttemptResult.OVERLOADED if BUSY.fullmatch(answer) else AttemptResult.ERROR
