"""Standing clients and the servers behind a relay, of both fronts, many in one process; loopback only."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Iterable
from typing import cast

Address = tuple[str, int]

HOST = "127.0.0.1"
ESTABLISH_TIMEOUT_SECONDS = 20.0  # s until a client's connection has to be up
MAX_ATTEMPTS, RETRY_DELAY_SECONDS = 20, 1.0  # of a client that is refused; s between two
SUBJECT = b"feed"
BODY = b"x" * 64  # of one delivery
INFO = b'INFO {"server_id":"capacity","headers":true,"max_payload":65536}\r\n'
CONNECT = b'CONNECT {"verbose":false,"user":"club"}\r\nPING\r\nSUB feed 1\r\n'


class CrlfProtocol(asyncio.Protocol):
    """One side of a connection that is read line by line."""

    transport: asyncio.Transport

    def __init__(self) -> None:
        self.partial_line = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's is one in all but its class

    def data_received(self, data: bytes) -> None:
        *lines, self.partial_line = (self.partial_line + data).split(b"\r\n")
        for line in lines:
            self.line_received(line)

    def line_received(self, line: bytes) -> None:
        """Take one line without its end."""
        raise NotImplementedError


class Server(CrlfProtocol):
    """One connection of the relay to a server; `up` once it stands for a client."""

    standing: set[Server]  # of all servers of one kind

    def __init__(self, standing: set[Server]) -> None:
        super().__init__()
        self.standing = standing

    def connection_lost(self, exc: Exception | None) -> None:
        self.standing.discard(self)

    def deliver(self) -> None:
        """Send the client one message."""
        raise NotImplementedError


class LineServer(Server):
    """A gate server of the line protocol."""

    def line_received(self, line: bytes) -> None:
        if line == b"PING":
            self.transport.write(b"PONG\r\n")
        elif line.startswith(b"OPEN "):
            self.transport.write(b"UP r\r\n")
            self.standing.add(self)

    def deliver(self) -> None:
        self.transport.write(BODY + b"\r\n")


class NatsServer(Server):
    """A NATS-speaking server with the subject that all clients subscribe to."""

    sid = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self.transport.write(INFO)

    def line_received(self, line: bytes) -> None:
        if line == b"PING":
            self.transport.write(b"PONG\r\n")
        elif line.startswith(b"SUB "):
            self.sid = line.split()[-1]
            self.standing.add(self)

    def deliver(self) -> None:
        self.transport.write(b"MSG %b %b %d\r\n%b\r\n" % (SUBJECT, self.sid, len(BODY), BODY))


class Client(CrlfProtocol):
    """A client that stands and counts what it gets."""

    numbers = itertools.count(1)

    def __init__(self) -> None:
        super().__init__()
        self.established: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.messages = 0

    def connection_lost(self, exc: Exception | None) -> None:
        if not self.established.done():
            self.established.set_exception(ConnectionError("ended before it was up"))


class LineClient(Client):
    """A turnstile: it opens and listens."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        number = next(self.numbers)
        self.transport.write(b"OPEN %016x %x c=checkin,t=club,d=5000\r\n" % (number, number))

    def line_received(self, line: bytes) -> None:
        if line.startswith(b"UP") and not self.established.done():
            self.established.set_result(None)
        elif line == BODY:
            self.messages += 1
        elif not self.established.done():
            self.established.set_exception(ConnectionError(line.decode("ascii", "replace")))


class NatsClient(Client):
    """A subscriber."""

    def line_received(self, line: bytes) -> None:
        if line.startswith(b"INFO"):
            self.transport.write(CONNECT)
        elif line == b"PING":
            self.transport.write(b"PONG\r\n")
        elif line == b"PONG" and not self.established.done():
            self.established.set_result(None)
        elif line == BODY:
            self.messages += 1
        elif line.startswith(b"-ERR") and not self.established.done():
            self.established.set_exception(ConnectionError(line.decode("ascii", "replace")))


class LineFront:
    """Line protocol."""

    name, server, client = "line", LineServer, LineClient


class NatsFront:
    """NATS client protocol."""

    name, server, client = "nats", NatsServer, NatsClient


async def serve(kind: type[Server], standing: set[Server]) -> tuple[asyncio.Server, Address]:
    """Listen as one server."""
    server = await asyncio.get_running_loop().create_server(lambda: kind(standing), HOST, 0, backlog=1024)
    host, port = server.sockets[0].getsockname()[:2]
    return server, (str(host), int(port))


async def connect_clients(kind: type[Client], address: Address, count: int, at_once: int) -> list[Client]:
    """Bring so many clients up, some at a time; who is refused comes again, as clients do.

    Raises ConnectionError where one is refused too often, or TimeoutError.
    """
    clients: list[Client] = []

    async def connect_share(share: Iterable[int]) -> None:
        for _ in share:
            clients.append(await _connect_client(kind, address))

    await asyncio.gather(*(connect_share(range(n, count, at_once)) for n in range(at_once)))
    return clients


async def _connect_client(kind: type[Client], address: Address) -> Client:
    for attempt in range(MAX_ATTEMPTS):
        _, client = await asyncio.get_running_loop().create_connection(kind, *address)
        try:
            async with asyncio.timeout(ESTABLISH_TIMEOUT_SECONDS):
                await client.established
            return client
        except ConnectionError:
            client.transport.abort()
            if attempt + 1 == MAX_ATTEMPTS:
                raise
            await asyncio.sleep(RETRY_DELAY_SECONDS)
    raise AssertionError("not reached")
