"""The NATS front as a process, raw clients of it, and stand-in servers with a fault each."""

from __future__ import annotations

import asyncio
import contextlib
import json
import socket
from collections.abc import AsyncIterator, Callable
from functools import partial
from pathlib import Path
from typing import Any

from standins import NatsServer, Reader, Relay, Writer, relay

CONFIG = """
listen = "127.0.0.1:0"
{discovery}
retry_after_ms = 50
[nats]
ping_interval = 0.1
silence = 1
connect_deadline = 2
leave = 2
{options}
[[classes]]
name = "booking"
aim_ms = 500
deadline_ms = {deadline}
[[tenants]]
name = "qurum-fit"
class = "booking"
users = ["app", ""]
"""


def write(
    tmp_path: Path, *servers: NatsServer, options: str = "", deadline: int = 3000, discovery: str = "",
    ping_interval: float = 0.1, silence: float = 1,
) -> Path:  # fmt: skip
    text = CONFIG.format(options=options, deadline=deadline, discovery=discovery)
    text = text.replace("ping_interval = 0.1", f"ping_interval = {ping_interval}")
    text = text.replace("silence = 1", f"silence = {silence}")
    text += "".join(f'[[servers]]\naddr = "{s.address}"\n' for s in servers)
    path = tmp_path / "nats.toml"
    path.write_text(text)
    return path


@contextlib.asynccontextmanager
async def start_nats_relay(tmp_path: Path, *servers: NatsServer, **settings: Any) -> AsyncIterator[Relay]:
    path = write(tmp_path, *servers, **settings)
    async with relay("--config", str(path)) as it:
        yield it


class Client:
    """A client that sends raw protocol lines."""

    def __init__(self, reader: Reader, writer: Writer) -> None:
        self.reader, self.writer = reader, writer
        self.info: dict[str, object] = {}

    @classmethod
    async def connect(cls, it: Relay, **values: object) -> Client:
        self = cls(*await it.open())
        self.info = json.loads((await self.line())[5:])
        self.send(b"CONNECT " + json.dumps({"verbose": False, "headers": True} | values).encode())
        return self

    def send(self, *lines: bytes) -> None:
        self.writer.write(b"".join(line + b"\r\n" for line in lines))

    async def line(self) -> bytes:
        """Return the next line; b"" at the end of the stream, b" " for an empty line."""
        async with asyncio.timeout(10):
            line = await self.reader.readline()
        return line and (line.rstrip() or b" ")

    async def flush(self) -> list[bytes]:
        """Send PING; return all lines before its PONG."""
        self.send(b"PING")
        lines: list[bytes] = []
        while (line := await self.line()) != b"PONG":
            assert line, f"the relay closed after {lines}"
            lines.append(line)
        return lines

    def publish(self, text: str, identity: str = "", reply: str = "") -> None:
        head = f"NATS/1.0\r\nNats-Msg-Id: {identity}\r\n\r\n" if identity else ""
        sizes = f"{len(head)} {len(head) + len(text)}" if head else f"{len(text)}"
        self.send(f"{'HPUB' if head else 'PUB'} feed {reply} {sizes}".encode(), (head + text).encode())


class StoppableNatsServer(NatsServer):
    """While it is stopped it does nothing; what reached its sockets by then is executed when it continues."""

    def __init__(self, peers: list[NatsServer]) -> None:
        super().__init__(peers)
        self.is_stopped = False
        self.backlog: list[Callable[[], None]] = []

    def operate(self, op: bytes, args: list[bytes], body: bytes, line: bytes, writer: Writer,
                subscriptions: dict[bytes, list[Any]]) -> None:  # fmt: skip
        execute = partial(super().operate, op, args, body, line, writer, subscriptions)
        if self.is_stopped:
            self.backlog.append(execute)
        else:
            execute()

    def resume(self) -> None:
        self.is_stopped = False
        for execute in self.backlog:
            execute()


class UnreadNatsServer:
    """A server with small buffers that completes handshakes and then reads nothing until it continues."""

    def __init__(self) -> None:
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen()
        self.listener.setblocking(False)
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"

    async def shake_hands(self) -> socket.socket:
        loop = asyncio.get_running_loop()
        sock, _ = await loop.sock_accept(self.listener)
        await loop.sock_sendall(sock, b'INFO {"server_id":"S","headers":true,"max_payload":1048576}\r\n')
        received = b""
        while b"PING\r\n" not in received:
            received += await loop.sock_recv(sock, 4096)
        await loop.sock_sendall(sock, b"PONG\r\n")
        return sock


async def read_until_closed(sock: socket.socket) -> int:
    """Return the number of bytes that the peer's kernel still delivers."""
    count = 0
    with contextlib.suppress(ConnectionError):
        while received := await asyncio.get_running_loop().sock_recv(sock, 65_536):
            count += len(received)
    sock.close()
    return count


class PingCounter(NatsServer):
    """Answers PINGs until it is unresponsive; counts those that come after."""

    def __init__(self) -> None:
        super().__init__()
        self.unanswered_pings = 0

    def operate(self, op: bytes, args: list[bytes], body: bytes, line: bytes, writer: Writer,
                subscriptions: dict[bytes, list[Any]]) -> None:  # fmt: skip
        if op == b"PING" and self.withholds_pongs:
            self.unanswered_pings += 1
        super().operate(op, args, body, line, writer, subscriptions)


class LateGreeting(NatsServer):
    """Sends INFO once `greeting` is set, or `rejection` instead if that is given."""

    def __init__(self, rejection: bytes = b"") -> None:
        super().__init__()
        self.rejection, self.greeting = rejection, asyncio.Event()

    async def serve(self, reader: Reader, writer: Writer) -> None:
        await self.greeting.wait()
        if self.rejection:
            writer.write(self.rejection)
            return
        await super().serve(reader, writer)
