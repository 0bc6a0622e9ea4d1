"""A toy NATS server for the demo and for manual tests, without wildcards and queue groups."""

from __future__ import annotations

import asyncio
import contextlib
from typing import NamedTuple

INFO_LINE = b'INFO {"server_id":"toy","headers":true,"max_payload":1048576}\r\n'
LINE_END = b"\r\n"
PUBLICATIONS = ("PUB", "HPUB")  # operations that are followed by a body


class _SubscriptionKey(NamedTuple):
    writer: asyncio.StreamWriter  # of the client that subscribed
    id: str


class ToyServer:
    """One toy NATS server; the servers of one list deliver messages to each other's subscribers."""

    def __init__(self, name: str, peers: list[ToyServer], *, log_connections: bool = False) -> None:
        """Add this server to `peers`; with `log_connections`, print when connections open and close."""
        self.name = name
        self.peers = peers
        self.hanging = False  # keeps connections open, but ignores what it reads and sends nothing
        self.log_connections = log_connections
        self.subjects: dict[_SubscriptionKey, str] = {}
        self._writers: set[asyncio.StreamWriter] = set()
        peers.append(self)

    async def start(self, port: int = 0) -> int:
        """Listen on loopback and return the port; `port` 0 lets the operating system choose one."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        return int(self._server.sockets[0].getsockname()[1])

    def disconnect_clients(self) -> None:
        """Abort all connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one client until its connection ends."""
        self._writers.add(writer)
        self._log_connection("opened")
        if not self.hanging:
            writer.write(INFO_LINE)
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while line := (await reader.readline()).decode():
                operation, *args = line.split()
                body = b""
                if operation in PUBLICATIONS:
                    body = await reader.readexactly(int(args[-1]) + len(LINE_END))
                if not self.hanging:
                    self._execute(operation, args, body, writer)
        self._writers.discard(writer)
        self._log_connection("closed")
        for key in [key for key in self.subjects if key.writer is writer]:
            del self.subjects[key]
        writer.close()

    def _log_connection(self, change: str) -> None:
        if self.log_connections:
            print(f"{self.name}: connection {change}", flush=True)

    def _execute(self, operation: str, args: list[str], body: bytes, writer: asyncio.StreamWriter) -> None:
        """Execute one operation of the protocol; ignore unknown operations."""
        match operation:
            case "PING":
                writer.write(b"PONG\r\n")
            case "SUB":
                self.subjects[_SubscriptionKey(writer, args[-1])] = args[0]
            case "UNSUB":
                self.subjects.pop(_SubscriptionKey(writer, args[0]), None)
            case "PUB":
                self._publish("MSG", args[0], args[-1:], body)
            case "HPUB":
                self._publish("HMSG", args[0], args[-2:], body)

    def _publish(self, operation: str, subject: str, sizes: list[str], body: bytes) -> None:
        """Send a message to all subscribers of a subject, at every server of the list that isn't hanging."""
        for peer in self.peers:
            for key, subscribed in list(peer.subjects.items()):
                if subscribed == subject and not peer.hanging:
                    head = f"{operation} {subject} {key.id} {' '.join(sizes)}\r\n"
                    key.writer.write(head.encode() + body)
