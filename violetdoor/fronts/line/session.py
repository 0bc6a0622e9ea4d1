"""One client's connection on the line protocol, from its first line to its end.

`Session.request` is the whole course of a request; its parts are in other modules: the client's side in
`client` and `client_reader`, attempts in `attempt`, the established connection in `stream`.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
from typing import TYPE_CHECKING

from violetdoor.balancing.actions import FailRequest, Reject, StartAttempt
from violetdoor.balancing.events import AttemptResult
from violetdoor.core import ClientDisconnected, RequestAttributes, RequestHandle
from violetdoor.fronts.line.attempt import ServerAttempts
from violetdoor.fronts.line.client import ERROR_LINE, MOVE_LINE, ClientConnection, busy_line
from violetdoor.fronts.line.client_reader import forward_client_lines
from violetdoor.fronts.line.errors import (
    AdoptionPeriodOverError,
    DuplicateConnectionIdError,
    InvalidOpeningError,
    RejectedByRuleError,
)
from violetdoor.fronts.line.opening import Opening, parse_opening
from violetdoor.fronts.line.stream import EstablishedStream
from violetdoor.net.line_socket import LineSocket
from violetdoor.net.sockets import send_buffers

if TYPE_CHECKING:
    from violetdoor.fronts.line.front_protocol import Front

log = logging.getLogger("violetdoor.line")

FIRST_LINE_TIMEOUT_SECONDS = 2.0  # for a new connection's first line; it must be answered within 3 s
IDLE_TIMEOUT_SECONDS = 60.0  # for the next line after a PING of the front
ADOPTION_TIMEOUT_SECONDS = 35.0  # to re-establish a connection from before this run
ADOPTION_RETRY_DELAY_SECONDS = 0.3


def request_attributes(opening: Opening) -> RequestAttributes:
    """Return the attributes of a request for the decision module."""
    return RequestAttributes(
        opening.request_class,
        opening.tenant,
        opening.idempotency_key,
        opening.load,
        opening.group,
        is_retry=opening.is_retry,
        is_reconnect=opening.is_reconnect,
    )


class Session:
    """Serves one client's connection."""

    __slots__ = ("attempts", "client", "core", "established", "front", "handle")

    def __init__(self, front: Front, lines: LineSocket) -> None:
        """Start before the first line."""
        self.front = front
        self.core = front.core
        self.client = ClientConnection(front, lines)
        self.attempts = ServerAttempts(front, self.client)
        self.handle: RequestHandle | None = None
        loop = asyncio.get_running_loop()
        self.established: asyncio.Future[EstablishedStream] = loop.create_future()

    async def run(self) -> None:
        """Read the first line, answering PINGs before it, and serve the request."""
        client, front = self.client, self.front
        try:
            length = await self._read_first_line()
        except TimeoutError:
            front.counts["no_first_line"] += 1
            if client.lines.used:  # the line is incomplete
                await client.answer_failed()
            else:  # the line may be arriving now, so BUSY must be a valid answer to it
                await client.answer_busy(front.shutdown_retry_after_ms)
            return
        if not length:
            return
        arrived_at = self.core.now()  # `d` counts from the last byte of the line
        opening = await self._open(length)
        if opening is None:
            return
        client.lines.consume(length)
        client.request_class = opening.request_class
        front.counts["opens"] += 1
        if opening.is_reconnect:
            front.reconnected_at.append(asyncio.get_running_loop().time())
        try:
            await self._serve(opening, arrived_at)
        finally:
            front.connection_ids.release(opening.connection_id)

    async def _read_first_line(self) -> int:
        """Answer PINGs; return the length of the first other line, 0 at the end of the stream."""
        lines = self.client.lines
        timeout = FIRST_LINE_TIMEOUT_SECONDS
        while True:
            async with asyncio.timeout(timeout):
                length = await lines.read_line()
            if not length or lines.buffer[:length].rstrip(b"\r\n") != b"PING":
                return length
            self.front.counts["pings"] += 1
            lines.consume(length)
            await send_buffers(lines.sock, [b"PONG\r\n"])
            timeout = IDLE_TIMEOUT_SECONDS

    async def _open(self, length: int) -> Opening | None:
        """Parse the first line and reserve its id; if it cannot be served, answer it and return None."""
        client, front = self.client, self.front
        try:
            return self._parse_and_reserve(length)
        except RejectedByRuleError as err:
            front.counts["ruled_out"] += 1
            client.request_class = err.request_class
            await client.answer_failed(b"ERR %b\r\n" % str(err).encode())
        except InvalidOpeningError as err:
            front.counts["syntax"] += 1
            log.warning("invalid first line of a client: %s; answering ERR", err)
            client.request_class = err.request_class  # a removed class may still have metrics
            await client.answer_failed()
        return None

    def _parse_and_reserve(self, length: int) -> Opening:
        """Return the opening, with any match rules applied; raise LineProtocolError."""
        lines, front = self.client.lines, self.front
        options = front.options
        has_rules = front.rules is not None
        opening = parse_opening(
            lines.view[:length], options.deadlines_ms, options.tenants, is_classified_by_rules=has_rules
        )
        if not options.groups_share_work:  # `g` is the client itself, not a group
            opening.group = None
        if has_rules:
            front.apply_rules(opening, lines.sock)
        if opening.existing_server and self.core.now() >= front.adopt_until_ms:
            raise AdoptionPeriodOverError
        if not front.connection_ids.reserve(opening.connection_id):
            raise DuplicateConnectionIdError
        return opening

    async def _serve(self, opening: Opening, arrived_at: float) -> None:
        """Serve a client whose first line is valid."""
        client, front = self.client, self.front
        reader = asyncio.get_running_loop().create_task(self._read_client())
        try:
            if not front.acceptor.admit():
                await client.answer_busy(front.shutdown_retry_after_ms)
            elif opening.existing_server:
                await self._adopt(opening)
            elif front.is_shutting_down and not front.has_successor:
                await client.answer_busy(front.shutdown_retry_after_ms)
            else:
                await self.request(opening, arrived_at)
        finally:
            if self.handle is not None:
                self.handle.close()
            reader.cancel()
            await asyncio.gather(reader, return_exceptions=True)
            if self.attempts.server is not None:
                self.attempts.server.close(reset=client.lines.was_reset)

    async def request(self, opening: Opening, arrived_at: float) -> None:
        """Carry out the core's decisions until the request has its one final answer."""
        client, front = self.client, self.front
        waited_ms = self.core.now() - arrived_at
        time_left_ms = opening.time_left_ms - waited_ms
        if await self._shed(opening, waited_ms, time_left_ms):
            return
        handle = self.handle = self.core.open_request(request_attributes(opening), time_left_ms)
        while True:
            decision = await handle.next_decision()
            match decision:
                case ClientDisconnected():
                    front.counts["left_early"] += 1
                    return
                case Reject():
                    await client.answer_busy(round(decision.retry_after_ms))
                    return
                case FailRequest():
                    await client.answer_failed()
                    return
                case StartAttempt():
                    result = await self.attempts.run(opening, decision)
            if client.disconnected.done() or result is AttemptResult.CANCELLED:
                handle.client_disconnected()  # even if its server accepted it at the same time
                if result is AttemptResult.OK:
                    result = AttemptResult.CANCELLED
            if result is AttemptResult.OK:
                handle.connection_established(self.attempts.setup_ms)
                await self._serve_established(handle)
                return
            handle.attempt_ended(result, load_report=self.attempts.load_report)

    async def _shed(self, opening: Opening, waited_ms: float, time_left_ms: float) -> bool:
        """Reject a request if the relay itself has no capacity for it; return whether it was rejected."""
        gate = self.front.gate
        if gate is None:
            return False
        client_key = opening.idempotency_key if opening.group is None else opening.group
        client_name = f"{client_key:x}"
        shed = gate.check_request(
            opening.tenant, opening.request_class, client_name, is_reconnect=opening.is_reconnect
        )
        if shed is None:
            shed = gate.check_deadline(
                opening.request_class, opening.tenant, client_name, waited_ms, time_left_ms
            )
        if shed is None:
            return False
        self.front.counts["shed_by_load"] += 1
        await self.client.answer_busy(shed.retry_after_ms)
        return True

    async def _adopt(self, opening: Opening) -> None:
        """Re-establish a connection that was open at its server before this program started.

        The server may be missing from this relay's list, which was remembered or inherited and may be old.
        The attempts go on until discovery has told the server's address.
        """
        until = self.core.now() + ADOPTION_TIMEOUT_SECONDS * 1000
        attempt = StartAttempt(0, opening.existing_server, until)
        while not self.client.disconnected.done() and self.core.now() < until:
            result = await self.attempts.run(opening, attempt, is_adoption=True)
            if result is AttemptResult.OK:
                self.front.counts["adopted"] += 1
                self.handle = self.core.adopt_connection(request_attributes(opening), opening.existing_server)
                await self._serve_established(self.handle)
                return
            if not result.proves_not_executed:
                break
            await asyncio.sleep(ADOPTION_RETRY_DELAY_SECONDS)
        self.front.counts["adoption_failed"] += 1
        await self.client.answer_failed()

    async def _serve_established(self, handle: RequestHandle) -> None:
        """Forward lines in both directions until the established connection ends."""
        server = self.attempts.server
        assert server is not None
        stream = EstablishedStream(self.front, self.client, server, handle)
        self.client.mark_established()
        self.front.established.add(stream.request)
        self.established.set_result(stream)
        await stream.run()

    async def _read_client(self) -> None:
        """Forward the client's lines; report a disconnect to the core if no server is up yet."""
        if not await forward_client_lines(self.client, self.established):
            return
        self.client.mark_disconnected()
        if self.handle is not None and not self.established.done():
            self.handle.client_disconnected()

    # Ends that are not decisions of the core.

    async def answer_after_fault(self) -> None:
        """After an internal error, send the missing final answer, or migrate an established client."""
        if not self.client.has_final_answer:
            await self.client.answer_failed()
        elif self.established.done():
            await self.client.migrate()

    def send_final_answer_at_exit(self) -> None:
        """Send the missing final answer or MOVE without waiting: the program is about to exit."""
        client = self.client
        is_established = self.established.done()
        if client.is_line_incomplete or client.has_migrated:
            return
        if client.has_final_answer and not is_established:
            return
        if client.has_final_answer:
            client.has_migrated = True
            line = MOVE_LINE
        else:
            client.has_final_answer = True
            line = busy_line(self.front.shutdown_retry_after_ms)
            if self.attempts.is_request_sent:
                line = ERROR_LINE
        self.front.counts["last_words"] += 1
        with contextlib.suppress(OSError):
            client.lines.sock.send(line)
