"""Stand-ins of a case on the NATS front: servers that share a bus, clients, and the relay's file.

They follow the public specification of the protocol: a server greets with INFO, answers PING with PONG,
and delivers what is published on any server of the bus to all matching subscriptions.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import re
import shlex
import socket
import struct
import time
from dataclasses import dataclass, field
from pathlib import Path

from peers_line import RELAY_HOST, CannotRunError, Record, Relay, free_port

SERVERS = 6
RESET = struct.pack("ii", 1, 0)
READ_BYTES = 65_536
PAYLOAD_OPERATIONS = (b"PUB", b"HPUB")

SITE = """
name = "n0"
listen = "{listen}"
console = "{console}"
relays = 1
sockets = 1024
attempts = 3
retry_after_ms = 1500

[nats]
ping_interval = 1.0
silence = 2.0

[[classes]]
name = "booking"
worth = 3.0
aim_ms = 800
deadline_ms = 3200
message_aim_ms = 50

[[tenants]]
name = "club-one"
class = "booking"
users = ["*"]
"""


def matches(pattern: bytes, subject: bytes) -> bool:
    """Return whether a subscription's subject matches a message's."""
    text = re.escape(pattern).replace(rb"\*", rb"[^.]+").replace(rb">", rb".+")
    return re.fullmatch(text, subject) is not None


@dataclass
class Subscription:
    """A subscription of one connection."""

    subject: bytes
    sid: bytes


@dataclass
class Link:
    """One connection of a server."""

    sock: socket.socket
    subscriptions: dict[bytes, Subscription] = field(default_factory=dict)


class Bus:
    """What the servers of one cluster share."""

    def __init__(self, record: Record) -> None:
        """Start without servers."""
        self.record = record
        self.servers: list[Server] = []
        # By subject: the time in s after which the service behind the bus answers a request, and the answer.
        self.services: dict[bytes, tuple[float, bytes]] = {}
        self.requests: list[bytes] = []  # reply subjects of the requests that the service got

    async def publish(self, subject: bytes, head: bytes, payload: bytes, reply: bytes) -> None:
        """Deliver a message to all subscriptions, and to the service of its subject."""
        service = self.services.get(subject)
        if service is not None and reply:
            self.record.write(f"the service runs the request of {reply.decode()}")
            self.requests.append(reply)
            asyncio.get_running_loop().call_later(service[0], self._answer, reply, service[1])
        for server in self.servers:
            await server.deliver(subject, head, payload, reply)

    def _answer(self, reply: bytes, payload: bytes) -> None:
        self.record.write(f"the service answers {reply.decode()}")
        task = asyncio.get_running_loop().create_task(self.publish(reply, b"", payload, b""))
        self._answering = task


class Server:
    """A NATS server."""

    def __init__(self, name: str, bus: Bus) -> None:
        """Stand on a bus; `start` listens."""
        self.name = name
        self.bus = bus
        self.record = bus.record
        self.links: list[Link] = []
        self.is_awake = asyncio.Event()
        self.is_awake.set()
        self.address = ""
        bus.servers.append(self)

    async def start(self) -> None:
        """Listen at a free port."""
        self.listener = socket.socket()
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(256)
        self.listener.setblocking(False)
        host, port = self.listener.getsockname()
        self.address = f"{host}:{port}"
        self.tasks = {asyncio.create_task(self._accept())}

    def hang(self) -> None:
        """Take connections and data, and do nothing with them until `go_on`."""
        self.record.write(f"{self.name} hangs")
        self.is_awake.clear()

    def go_on(self) -> None:
        """Go on with what has come meanwhile."""
        self.record.write(f"{self.name} goes on")
        self.is_awake.set()

    def die(self) -> None:
        """End as a killed process: all connections are reset, new ones refused."""
        self.record.write(f"{self.name} dies")
        for task in self.tasks:
            task.cancel()
        self.listener.close()
        for link in self.links:
            link.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            link.sock.close()
        self.links.clear()

    def holds(self, subject: bytes) -> bool:
        """Return whether a connection here has a subscription of exactly this subject."""
        return any(one.subject == subject for link in self.links for one in link.subscriptions.values())

    async def deliver(self, subject: bytes, head: bytes, payload: bytes, reply: bytes) -> None:
        """Send a message to the matching subscriptions here; a server that hangs sends nothing."""
        if not self.is_awake.is_set():
            return
        loop = asyncio.get_running_loop()
        for link in list(self.links):
            for one in list(link.subscriptions.values()):
                if matches(one.subject, subject):
                    words = [b"HMSG" if head else b"MSG", subject, one.sid, *([reply] if reply else [])]
                    words += [b"%d" % len(head)] if head else []
                    words.append(b"%d" % (len(head) + len(payload)))
                    with contextlib.suppress(OSError):
                        await loop.sock_sendall(
                            link.sock, b" ".join(words) + b"\r\n" + head + payload + b"\r\n"
                        )

    async def _accept(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await self.is_awake.wait()
            sock, _ = await loop.sock_accept(self.listener)
            sock.setblocking(False)
            link = Link(sock)
            self.links.append(link)
            self.tasks.add(asyncio.create_task(self._serve(link)))

    async def _serve(self, link: Link) -> None:
        loop = asyncio.get_running_loop()
        data = bytearray()
        try:
            await self.is_awake.wait()
            info = {"server_id": self.name, "version": "2.10.0", "headers": True, "max_payload": 1_048_576}
            await loop.sock_sendall(link.sock, b"INFO " + json.dumps(info).encode() + b"\r\n")
            while received := await self._receive(link.sock):
                data += received
                while (length := frame_length(data)) > 0:
                    frame = bytes(data[:length])
                    del data[:length]
                    await self._operate(frame, link)
        except OSError:
            pass  # the peer has reset the connection; what came before is done
        finally:
            if link in self.links:
                self.links.remove(link)
            link.sock.close()

    async def _receive(self, sock: socket.socket) -> bytes:
        """Read as a process that may be stopped: nothing is read while it hangs."""
        loop = asyncio.get_running_loop()
        while True:
            await self.is_awake.wait()
            readable = loop.create_future()
            loop.add_reader(sock, _resolve, readable)
            try:
                await readable
            finally:
                loop.remove_reader(sock)
            if self.is_awake.is_set():
                return sock.recv(READ_BYTES)

    async def _operate(self, frame: bytes, link: Link) -> None:
        line, _, rest = frame.partition(b"\r\n")
        operation, *arguments = line.split() or [b""]
        if operation == b"PING":
            await asyncio.get_running_loop().sock_sendall(link.sock, b"PONG\r\n")
        elif operation == b"SUB":
            link.subscriptions[arguments[-1]] = Subscription(arguments[0], arguments[-1])
        elif operation == b"UNSUB":
            link.subscriptions.pop(arguments[0], None)
        elif operation in PAYLOAD_OPERATIONS:
            await self._run(operation, arguments, rest.removesuffix(b"\r\n"))

    async def _run(self, operation: bytes, arguments: list[bytes], body: bytes) -> None:
        head_length = int(arguments[-2]) if operation == b"HPUB" else 0
        sizes = 2 if operation == b"HPUB" else 1
        reply = arguments[1] if len(arguments) > sizes + 1 else b""
        head, payload = body[:head_length], body[head_length:]
        self.record.write(f"{self.name} runs {operation.decode()} {arguments[0].decode()} {payload.decode()}")
        await self.bus.publish(arguments[0], head, payload, reply)


def _resolve(future: asyncio.Future[None]) -> None:
    if not future.done():
        future.set_result(None)


def frame_length(data: bytearray) -> int:
    """Return the length of the first operation of a client, or 0 if it is not complete."""
    end = data.find(b"\r\n") + 2
    if end < len(b"\r\n"):
        return 0
    words = bytes(data[:end]).split()
    if words and words[0] in PAYLOAD_OPERATIONS:
        end += int(words[-1]) + 2
    return end if end <= len(data) else 0


@dataclass
class Message:
    """A message that a client got."""

    at: float
    subject: bytes
    sid: bytes
    head: bytes
    payload: bytes


class Client:
    """A client that reads all that is sent to it."""

    def __init__(self, name: str, listen: str, record: Record) -> None:
        """Stand without a connection."""
        self.name = name
        self.listen = listen
        self.record = record
        self.messages: list[Message] = []
        self.errors: list[bytes] = []
        self.pongs = 0
        self.has_ended = False

    async def connect(self, **values: object) -> None:
        """Connect and send CONNECT."""
        host, _, port = self.listen.rpartition(":")
        self.reader, self.writer = await asyncio.open_connection(host, int(port))
        await self.reader.readline()
        connect = {"verbose": False, "headers": True, "name": self.name} | values
        self.send(b"CONNECT " + json.dumps(connect).encode())
        self.reading = asyncio.create_task(self._read())

    def send(self, *lines: bytes) -> None:
        """Send lines."""
        for line in lines:
            self.record.write(f"{self.name} sends {line!r}")
        self.writer.write(b"".join(line + b"\r\n" for line in lines))

    def publish(self, subject: bytes, identity: bytes, payload: bytes) -> None:
        """Publish a message with a Nats-Msg-Id."""
        head = b"NATS/1.0\r\nNats-Msg-Id: " + identity + b"\r\n\r\n"
        self.send(
            b"HPUB %b %d %d" % (subject, len(head), len(head) + len(payload)),
            head + payload,
        )

    async def flush(self, seconds: float = 10.0) -> None:
        """Send PING and wait for its PONG."""
        before = self.pongs
        self.send(b"PING")
        until = time.monotonic() + seconds
        while self.pongs == before:
            if self.has_ended or time.monotonic() > until:
                message = f"{self.name} gets no PONG"
                raise CannotRunError(message)
            await asyncio.sleep(0.01)

    def close(self) -> None:
        """End the connection."""
        self.reading.cancel()
        self.writer.close()

    async def _read(self) -> None:
        try:
            while line := await self.reader.readline():
                await self._handle(line)
        except (OSError, asyncio.IncompleteReadError) as error:
            self.record.write(f"{self.name}: {type(error).__name__}")
        finally:
            self.has_ended = True
            self.writer.close()
            self.record.write(f"{self.name}: the connection has ended")

    async def _handle(self, line: bytes) -> None:
        words = line.split()
        if words[0] in (b"MSG", b"HMSG"):
            body = (await self.reader.readexactly(int(words[-1]) + 2))[:-2]
            length = int(words[-2]) if words[0] == b"HMSG" else 0
            message = Message(time.monotonic(), words[1], words[2], body[:length], body[length:])
            self.messages.append(message)
            self.record.write(f"{self.name} gets {line.strip()!r} {body!r}")
        elif words[0] == b"PONG":
            self.pongs += 1
        elif words[0] == b"PING":
            self.writer.write(b"PONG\r\n")
        elif words[0] == b"-ERR":
            self.errors.append(line)
            self.record.write(f"{self.name} gets {line.strip()!r}")


async def start_servers(record: Record) -> Bus:
    """Start the servers of a small site."""
    bus = Bus(record)
    for number in range(SERVERS):
        await Server(f"gate-{number}", bus).start()
    return bus


class NatsRelay(Relay):
    """A relay with the NATS front, started with an operator's file."""

    def __init__(self, folder: Path, bus: Bus) -> None:
        """Write the file of a small site with all servers of the bus."""
        self.record = bus.record
        self.title = "n0"
        self.folder = folder
        self.listen = f"{RELAY_HOST}:{free_port()}"
        self.console = f"{RELAY_HOST}:{free_port()}"
        text = SITE.format(listen=self.listen, console=self.console)
        for server in bus.servers:
            text += f'\n[[servers]]\nid = "{server.name}"\naddr = "{server.address}"\n'
        file = folder / "nats.toml"
        file.write_text(text)
        self.arguments = f" --config {shlex.quote(str(file))}"
        self.environment = {"TMPDIR": str(folder)}
        self.process = None
