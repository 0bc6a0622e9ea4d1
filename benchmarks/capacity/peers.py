"""Simulated clients with established connections and the servers behind a relay, for both fronts, on loopback.

Many clients and servers run in one process.
"""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Iterable
from typing import cast

Address = tuple[str, int]

HOST = "127.0.0.1"
ESTABLISH_TIMEOUT_SECONDS = 20.0  # for each attempt of a client
MAX_ATTEMPTS, RETRY_DELAY_SECONDS = 20, 1.0  # for a client that is refused
SUBJECT = b"feed"
BODY = b"x" * 64  # payload of one delivery
INFO = b'INFO {"server_id":"capacity","headers":true,"max_payload":65536}\r\n'
CONNECT = b'CONNECT {"verbose":false,"user":"club"}\r\nPING\r\nSUB feed 1\r\n'


class CrlfProtocol(asyncio.Protocol):
    """Base of both ends of a connection: splits the received data into lines that end with CRLF."""

    transport: asyncio.Transport

    def __init__(self) -> None:
        self.partial_line = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # uvloop's transport has the interface but not the class.
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        *lines, self.partial_line = (self.partial_line + data).split(b"\r\n")
        for line in lines:
            self.line_received(line)

    def line_received(self, line: bytes) -> None:
        """Handle one line, without its CRLF."""
        raise NotImplementedError


class Server(CrlfProtocol):
    """The server's end of a connection from the relay; in `standing` while it serves an established client."""

    standing: set[Server]  # established connections, shared by all servers of one front

    def __init__(self, standing: set[Server]) -> None:
        super().__init__()
        self.standing = standing

    def connection_lost(self, exc: Exception | None) -> None:
        self.standing.discard(self)

    def deliver(self) -> None:
        """Send one message to the client."""
        raise NotImplementedError


class LineServer(Server):
    """The server's end of a connection in the line protocol."""

    def line_received(self, line: bytes) -> None:
        if line == b"PING":
            self.transport.write(b"PONG\r\n")
        elif line.startswith(b"OPEN "):
            self.transport.write(b"UP r\r\n")
            self.standing.add(self)

    def deliver(self) -> None:
        self.transport.write(BODY + b"\r\n")


class NatsServer(Server):
    """The server's end of a NATS connection; all clients subscribe to one subject."""

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
    """A client that keeps its connection open and counts the messages that it receives."""

    numbers = itertools.count(1)

    def __init__(self) -> None:
        super().__init__()
        self.established: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.messages = 0

    def connection_lost(self, exc: Exception | None) -> None:
        if not self.established.done():
            self.established.set_exception(ConnectionError("connection lost before it was established"))


class LineClient(Client):
    """A client of the line protocol that opens a request and receives messages."""

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
    """A client of the NATS protocol that subscribes to one subject."""

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
    """Name, server and client of the line protocol's front."""

    name, server, client = "line", LineServer, LineClient


class NatsFront:
    """Name, server and client of the NATS front."""

    name, server, client = "nats", NatsServer, NatsClient


async def serve(server_type: type[Server], standing: set[Server]) -> tuple[asyncio.Server, Address]:
    """Listen as one server; return it with its address."""
    server = await asyncio.get_running_loop().create_server(
        lambda: server_type(standing), HOST, 0, backlog=1024
    )
    host, port = server.sockets[0].getsockname()[:2]
    return server, (str(host), int(port))


async def connect_clients(
    client_type: type[Client], address: Address, count: int, at_once: int
) -> list[Client]:
    """Connect `count` clients, `at_once` at a time; a refused client retries, as real clients do.

    Raises ConnectionError if a client is refused too often, TimeoutError if an attempt gets no answer.
    """
    clients: list[Client] = []

    async def connect_share(client_numbers: Iterable[int]) -> None:
        for _ in client_numbers:
            clients.append(await _connect_client(client_type, address))

    await asyncio.gather(*(connect_share(range(n, count, at_once)) for n in range(at_once)))
    return clients


async def _connect_client(client_type: type[Client], address: Address) -> Client:
    for attempt in range(MAX_ATTEMPTS):
        _, client = await asyncio.get_running_loop().create_connection(client_type, *address)
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
