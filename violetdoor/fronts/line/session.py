"""One client's connection on the line protocol, from its first line to its end."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Mapping
from typing import TYPE_CHECKING

from lynxdeck import interface as i
from violetdoor.core import Left, Ticket
from violetdoor.fronts.line.opening import Opening, RuledOutError, SyntaxFaultError, parse
from violetdoor.fronts.line.reports import load_report
from violetdoor.net.sockets import LineSocket, LineTooLongError, connect, send_parts

if TYPE_CHECKING:
    from violetdoor.fronts.line.front import LineFront

log = logging.getLogger("violetdoor.line")

FIRST_LINE = 2.0  # s that a new connection has for its first line; an end is owed within 3
ADOPT_TIME, ADOPT_PAUSE = 35.0, 0.3  # s to bring up a connection from before the run; between two tries
MOVE_WRITE = 0.5  # s that a client has to take its MOVE
CLIENT_WRITE = 5.0  # s that a client may leave its lines unread


class Session:
    """The life of one client's connection."""

    def __init__(self, front: LineFront, client: LineSocket) -> None:
        self.front, self.core, self.client = front, front.core, client
        self.server: LineSocket | None = None
        self.ticket: Ticket | None = None
        self.loop = asyncio.get_running_loop()
        self.gone: asyncio.Future[None] = self.loop.create_future()  # the client ended
        self.up: asyncio.Future[None] = self.loop.create_future()  # its server is there
        self.writing = asyncio.Lock()  # held while lines go to the client: MOVE comes between them
        self.answered = False  # the one final answer is given
        self.cls = ""  # once the first line has told it
        self.farewell = ""  # BYE or MOVE, once the server said it
        self.report: Mapping[str, float] = {}  # that came with a server's last word

    async def run(self) -> None:
        """Answer a first line: a check of the front, or a request."""
        client, front = self.client, self.front
        try:
            async with asyncio.timeout(FIRST_LINE):
                length = await client.line()
        except TimeoutError:
            front.counts["no_first_line"] += 1
            await self.answer("failed", b"ERR\r\n")
            return
        while length and client.buffer[:length].rstrip(b"\r\n") == b"PING":
            front.counts["pings"] += 1
            client.consume(length)
            await send_parts(client.sock, [b"PONG\r\n"])
            async with asyncio.timeout(front.idle):
                length = await client.line()
        if not length:
            return
        arrived = self.core.now()  # its time runs from the last byte, however many pieces the line came in
        try:
            opening = parse(client.view[:length], front.deadlines, front.tenants, front.rules is not None)
            if not front.options.groups:  # guards against a client that is taken for a group of its own
                opening.group = None
            if front.rules is not None:
                front.rule(opening, client.sock)
            known = opening.at in front.directory.addresses and self.core.now() < front.adopt_until
            if opening.at and not known:
                raise SyntaxFaultError("no connection of an earlier run is brought back there")
            if not front.take_id(opening.id):
                raise SyntaxFaultError("an id that another connection has")
        except RuledOutError as err:
            front.counts["ruled_out"] += 1
            self.cls = err.cls
            await self.answer("failed", b"ERR %b\r\n" % str(err).encode())
            return
        except SyntaxFaultError as err:
            front.counts["syntax"] += 1
            log.warning("bad first line: %s", err)
            self.cls = err.cls  # the figures may know it: a class that has vanished
            await self.answer("failed", b"ERR\r\n")
            return
        client.consume(length)
        self.cls = opening.cls
        front.counts["opens"] += 1
        if opening.again:
            front.returns.append(self.loop.time())
        try:
            await self.opened(opening, arrived)
        finally:
            front.end_id(opening.id)

    async def opened(self, opening: Opening, arrived: float) -> None:
        """Serve a client that sent a sound line."""
        front = self.front
        reader = self.loop.create_task(self.from_client())
        try:
            if not front.acceptor.admit():
                await self.answer("busy", b"BUSY %d\r\n" % front.leave_retry)
            elif opening.at:
                await self.bring_back(opening)
            elif front.leaving and not front.succeeded:
                await self.answer("busy", b"BUSY %d\r\n" % front.leave_retry)
            else:
                await self.request(opening, arrived)
        finally:
            if self.ticket is not None:
                self.ticket.close()
            reader.cancel()
            await asyncio.gather(reader, return_exceptions=True)
            if self.server is not None:
                self.server.close()

    async def request(self, opening: Opening, arrived: float) -> None:
        """Ask the core what to do until the request has its one final answer."""
        waited = self.core.now() - arrived
        left = opening.time_left - waited
        if (gate := self.front.gate) is not None:
            client = f"{opening.group if opening.group is not None else opening.key:x}"
            shed = gate.ask(opening.tenant, opening.cls, client, opening.again)
            shed = shed or gate.late(opening.cls, opening.tenant, client, waited, left)
            if shed is not None:
                self.front.counts["shed_by_load"] += 1
                await self.answer("busy", b"BUSY %d\r\n" % shed.retry_after)
                return
        ticket = self.ticket = self.core.arrive(
            opening.cls, left, opening.tenant, opening.key, opening.load, opening.group,
            opening.repeat, opening.again,
        )  # fmt: skip
        while True:
            choice = await ticket.decision()
            match choice:
                case Left():
                    self.front.counts["left_early"] += 1
                    return
                case i.Refuse():
                    await self.answer("busy", b"BUSY %d\r\n" % round(choice.retry_after))
                    return
                case i.Fail():
                    await self.answer("failed", b"ERR\r\n")
                    return
                case i.Send():
                    result = await self.attempt(opening, choice.server, choice.give_up)
                    if result is i.Result.OK:
                        ticket.established()
                        await self.standing(ticket)
                        return
                    if self.gone.done():
                        ticket.left()
                    ticket.ended(result, report=self.report)

    async def bring_back(self, opening: Opening) -> None:
        """Bring up a connection that was open at a known server before this program ran."""
        until = self.core.now() + ADOPT_TIME * 1000
        while not self.gone.done() and self.core.now() < until:
            result = await self.attempt(opening, opening.at, until, named=True)
            if result is i.Result.OK:
                self.front.counts["adopted"] += 1
                ticket = self.ticket = self.core.adopt(
                    opening.cls, opening.at, opening.tenant, opening.key, opening.load, opening.group
                )
                await self.standing(ticket)
                return
            if not result.never_ran:
                break
            await asyncio.sleep(ADOPT_PAUSE)
        await self.answer("failed", b"ERR\r\n")

    async def answer(self, name: str, line: bytes) -> None:
        """Give the one final answer."""
        self.answered = True
        self.front.counts[f"answered_{name}"] += 1
        self.front.figures.count("shed" if name == "busy" else "errors", self.cls)
        await send_parts(self.client.sock, [line])

    async def answer_fault(self) -> None:
        """After a fault of this program: an answer where one is still owed, else a MOVE."""
        if self.answered:
            await self.move()
        else:
            await self.answer("failed", b"ERR\r\n")

    async def attempt(self, opening: Opening, server: str, give_up: float, named: bool = False) -> i.Result:
        """Try one server; its connection is kept when it is up, else closed. A client that leaves ends it."""
        trying = self.loop.create_task(self.try_server(opening, server, give_up, named))
        try:
            await asyncio.wait((trying, self.gone), return_when=asyncio.FIRST_COMPLETED)
            if not trying.done():
                trying.cancel()
                await asyncio.gather(trying, return_exceptions=True)
                result = i.Result.CANCELLED
            else:
                result = trying.result()
        except BaseException:
            trying.cancel()
            raise
        self.front.counts[f"attempt_{result.value}"] += 1
        return result

    async def try_server(self, opening: Opening, server: str, give_up: float, named: bool) -> i.Result:
        """Connect, send the line, wait for its answer."""
        self.report = {}
        left = (give_up - self.core.now()) / 1000
        address = self.front.directory.addresses.get(server)
        if address is None or left <= 0:
            return i.Result.UNREACHABLE
        try:
            sock = await connect(address, min(self.front.connect_timeout, left))
        except OSError:
            return i.Result.UNREACHABLE
        link = LineSocket(sock)
        kept = False
        try:
            # The list may have changed while the connection came up: a draining server gets no byte.
            if not named and not self.core.may_send(server):
                self.front.counts["drain_kept"] += 1
                return i.Result.UNREACHABLE
            left = give_up - self.core.now()
            try:
                async with asyncio.timeout(left / 1000):
                    try:
                        await send_parts(sock, opening.parts(left))
                    except OSError:
                        return i.Result.UNREACHABLE
                    self.front.figures.count("tries", opening.cls)
                    length = await link.line()
            except TimeoutError:
                return i.Result.TIMEOUT
            word = bytes(link.buffer[:length]).split(b" ")[0].rstrip(b"\r\n")
            if word == b"UP":
                self.server, kept = link, True
                return i.Result.OK
            if not length:
                return i.Result.RESET
            self.report = load_report(bytes(link.buffer[:length]))
            return i.Result.FULL if word == b"BUSY" else i.Result.ERROR
        except LineTooLongError:
            return i.Result.ERROR
        finally:
            if not kept:
                link.close()

    async def standing(self, ticket: Ticket) -> None:
        """Pass lines both ways until one side ends, the core moves the client, or the server is silent."""
        counts, front = self.front.counts, self.front
        counts["answered_up"] += 1
        front.figures.count("ok", self.cls)
        self.answered = True
        front.standing.add(self)
        self.up.set_result(None)
        down = self.loop.create_task(self.from_server(ticket))
        try:
            ends = (down, self.gone, ticket.move, ticket.silent)
            await asyncio.wait(ends, return_when=asyncio.FIRST_COMPLETED)
            if down.done():
                down.result()
                server = self.server
                ended = {"BYE": i.Result.OK, "MOVE": i.Result.CANCELLED}.get(self.farewell, i.Result.RESET)
                counts[f"ended_{ended.value}"] += 1
                ticket.ended(ended, final=True, report=self.report)
                self.client.reset = server is not None and server.reset
                if front.gate is not None and ended is not i.Result.OK:
                    front.gate.sent_away()
            elif self.gone.done():
                counts["ended_by_client"] += 1
                ticket.ended(i.Result.CANCELLED, final=True)
            else:
                counts["moved" if ticket.move.done() else "moved_silent"] += 1
                if front.gate is not None:
                    front.gate.sent_away()
                ticket.ended(i.Result.CANCELLED if ticket.move.done() else i.Result.RESET, final=True)
                await self.move()
        finally:
            front.standing.discard(self)
            down.cancel()
            await asyncio.gather(down, return_exceptions=True)

    async def move(self) -> None:
        """Tell the client to come again; nothing follows the word."""
        try:
            async with asyncio.timeout(MOVE_WRITE), self.writing:
                await send_parts(self.client.sock, [b"MOVE\r\n"])
        except OSError:
            self.front.counts["move_unwritten"] += 1

    async def from_client(self) -> None:
        """Pass the client's lines on once its server is there; sees the client leave at any time."""
        client = self.client
        try:
            # Lines that came together with the first one go on as soon as there is a server: a loop that read
            # before it looked would hold them back until the client says more.
            while client.whole() or await client.fill():
                if client.whole():
                    await self.up
                    try:
                        await self.pass_up()
                    except OSError as err:
                        log.info("writing to a server failed: %s", err)
                        return  # the reading side sees the server's end, too
        except LineTooLongError:
            log.warning("a client's line is too long: its connection ends")
        if not self.gone.done():
            self.gone.set_result(None)
        if self.ticket is not None and not self.up.done():
            self.ticket.left()

    async def pass_up(self) -> None:
        """Send the client's whole lines to its server."""
        client, server = self.client, self.server
        length = client.whole()
        if not length or server is None:
            return
        if self.ticket is not None:
            self.ticket.asked()
        lines = client.buffer.count(b"\n", 0, length)
        self.front.counts["lines_up"] += lines
        if self.front.gate is not None:
            self.front.gate.passed(2 * lines)  # each has an answer
        await send_parts(server.sock, [client.view[:length]])
        client.consume(length)

    async def from_server(self, ticket: Ticket) -> None:
        """Pass the server's lines on, those that came with UP first."""
        server, client = self.server, self.client
        assert server is not None
        while True:
            if length := server.whole():
                self.read_lines(ticket, server, length)
                async with self.writing, asyncio.timeout(CLIENT_WRITE):
                    await send_parts(client.sock, [server.view[:length]])
                server.consume(length)
            if not await server.fill():
                return

    def note(self, ticket: Ticket, value: float) -> None:
        """A LOAD line came: tell the core which of the two notes it is."""
        options = self.front.options
        if options.tells_load and options.tells_delay:
            kind = self.front.notes.kind(ticket.server, ticket.id, value, self.core.now())
        else:
            kind = i.NoteKind.DELAY if options.tells_delay else i.NoteKind.LOAD
        late = kind is i.NoteKind.DELAY
        self.front.counts["delay_lines"] += late
        ticket.note(kind, value if late else value / 1000)

    def read_lines(self, ticket: Ticket, server: LineSocket, length: int) -> None:
        """Look at lines from the server: load, farewell, or the echo of a client's line."""
        start, buffer = 0, server.buffer
        while start < length:
            stop = buffer.find(b"\n", start, length) + 1
            if buffer.startswith(b"LOAD ", start):
                self.front.counts["load_lines"] += 1
                try:
                    self.note(ticket, float(buffer[start + 5 : stop]))
                except ValueError:
                    log.warning("a LOAD line has no number")
            elif buffer.startswith((b"BYE", b"MOVE"), start):
                self.farewell = buffer[start:stop].split()[0].decode()
                self.report = load_report(bytes(buffer[start:stop]))
            elif buffer.startswith(b"UP ", start):
                pass
            else:
                self.front.counts["lines_down"] += 1
                ticket.answered()
            start = stop
