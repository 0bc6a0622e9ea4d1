"""Takes in the clients of the line protocol, and sees that all are gone before the program is."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import random
import socket

from lynxdeck import interface as i
from violetdoor.core import Controller
from violetdoor.fronts.line.session import Session
from violetdoor.net.counters import Counters
from violetdoor.net.discovery import Directory
from violetdoor.net.sockets import Address, LineSocket, LineTooLongError, connect, listen, send_parts

log = logging.getLogger("violetdoor.line")

SILENT = 3_500.0  # ms without any answer to a client's line after which its server counts as silent
SWEEP = 0.25  # s between two looks for silent servers
ACCEPT_PAUSE = 0.05  # s until the next try when no descriptor was free
RESERVED = 48  # descriptors kept for discovery, probes, the log and answers to clients over the limit
PROBE_TIMEOUT = 0.5
LEAVE_RETRY = 300  # ms after which a client may come again that arrives while the program leaves


class LineFront:
    """The listening socket of the line protocol and the sessions of its clients."""

    def __init__(
        self, address: Address, core: Controller, directory: Directory, counts: Counters,
        connect_timeout: float, sockets: int,
    ) -> None:  # fmt: skip
        self.core, self.directory, self.counts = core, directory, counts
        self.connect_timeout, self.leave_retry, self.idle = connect_timeout, LEAVE_RETRY, 60.0
        self.most = max(1, (sockets - RESERVED) // 2)  # each client may need a second socket
        self.sock = listen(address)
        self.leaving = False
        self.sessions: set[asyncio.Task[None]] = set()
        self.standing: set[Session] = set()
        core.prober = self.probe

    async def accept(self) -> None:
        """Take in clients for ever."""
        loop = asyncio.get_running_loop()
        while True:
            try:
                sock, _ = await loop.sock_accept(self.sock)
            except OSError as err:  # EMFILE, ENFILE, ENOBUFS, or a client already gone
                self.counts["accept_failed"] += 1
                log.warning("accept failed: %s", err)
                await asyncio.sleep(ACCEPT_PAUSE)
                continue
            self.counts["accepted"] += 1
            task = loop.create_task(self.session(sock))
            self.sessions.add(task)
            task.add_done_callback(self.sessions.discard)

    async def session(self, sock: socket.socket) -> None:
        """One client, whatever happens to it: its fault stays its own."""
        client = LineSocket(sock)
        try:
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            if len(self.sessions) > self.most:
                self.counts["over_limit"] += 1
                await send_parts(sock, [b"BUSY %d\r\n" % self.leave_retry])
                return
            await Session(self, client).run()
        except (OSError, LineTooLongError) as err:
            self.counts["client_broke"] += 1
            log.info("a client's connection broke: %s %s", type(err).__name__, err)
        except Exception:
            self.counts["faults"] += 1
            log.exception("a session failed")
            with contextlib.suppress(OSError):
                await send_parts(sock, [b"ERR\r\n"])
        finally:
            client.close(client.reset)

    async def sweep(self) -> None:
        """Find the connections whose server answers nothing: their clients are moved."""
        while True:
            await asyncio.sleep(SWEEP)
            oldest = self.core.now() - SILENT
            for session in list(self.standing):
                if session.asked and session.asked[0] < oldest and not session.silent.done():
                    session.silent.set_result(None)

    async def probe(self, server: str) -> i.Probed:
        """Check that a server answers."""
        began, result = self.core.now(), i.Result.UNREACHABLE
        if address := self.directory.addresses.get(server):
            try:
                link = LineSocket(await connect(address, self.connect_timeout))
            except OSError:
                return i.Probed(server, result, self.core.now() - began)
            try:
                async with asyncio.timeout(PROBE_TIMEOUT):
                    await send_parts(link.sock, [b"PING\r\n"])
                    length = await link.line()
                result = i.Result.OK if link.buffer[:length].startswith(b"PONG") else i.Result.ERROR
            except TimeoutError:
                result = i.Result.TIMEOUT
            except (OSError, LineTooLongError):
                result = i.Result.RESET
            finally:
                link.close()
        return i.Probed(server, result, self.core.now() - began)

    async def leave(self, spread: float, until: float) -> None:
        """Answer what still arrives, let requests end, move all standing clients one after another."""
        self.leaving = True
        loop = asyncio.get_running_loop()
        began = loop.time()
        while loop.time() < began + until and (self.sessions or loop.time() < began + spread):
            left = max(1.0, (began + spread - loop.time()) / 0.05)
            waiting = [s for s in self.standing if s.ticket and not s.ticket.move.done()]
            for session in random.sample(waiting, min(len(waiting), int(len(waiting) / left) + 1)):
                if session.ticket:
                    session.ticket.move.set_result(None)
            await asyncio.sleep(0.05)
        self.sock.close()
        for task in list(self.sessions):
            task.cancel()
        await asyncio.gather(*self.sessions, return_exceptions=True)
