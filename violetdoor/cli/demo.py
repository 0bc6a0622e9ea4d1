"""The whole in one command: toy servers, a relay with match rules and a client that counts what it gets."""

from __future__ import annotations

import asyncio
import contextlib
import json
import sys
import tempfile
import time
from pathlib import Path

EVERY = 0.1  # s between two messages of the client
FAULT_AFTER = 3.0  # s
RULES = """
rule "the demo's client" when connect.name == "demo" { class = "booking"; tenant = "demo-club"; }
default { class = "checkin"; tenant = "others"; }
"""


class Toy:
    """One toy NATS server; all of one list pass messages on to each other's subscribers. No wildcards."""

    def __init__(self, name: str, peers: list[Toy]) -> None:
        self.name, self.peers, self.hanging = name, peers, False
        self.subscribers: dict[tuple[asyncio.StreamWriter, str], str] = {}
        self.writers: set[asyncio.StreamWriter] = set()
        self.telling = False  # of connections that come and end
        peers.append(self)

    async def start(self, port: int = 0) -> int:
        """Listen; the port."""
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port)
        return int(self.server.sockets[0].getsockname()[1])

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Speak to one client."""
        self.writers.add(writer)
        if self.telling:
            print(f"{self.name}: a connection comes", flush=True)
        if not self.hanging:
            writer.write(b'INFO {"server_id":"toy","headers":true,"max_payload":1048576}\r\n')
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while line := (await reader.readline()).decode():
                op, *args = line.split()
                body = await reader.readexactly(int(args[-1]) + 2) if op in ("PUB", "HPUB") else b""
                if not self.hanging:
                    self.operate(op, args, body, writer)
        self.writers.discard(writer)
        if self.telling:
            print(f"{self.name}: a connection ends", flush=True)
        for key in [k for k in self.subscribers if k[0] is writer]:
            del self.subscribers[key]
        writer.close()

    def operate(self, op: str, args: list[str], body: bytes, writer: asyncio.StreamWriter) -> None:
        """Carry out one operation."""
        if op == "PING":
            writer.write(b"PONG\r\n")
        elif op == "SUB":
            self.subscribers[writer, args[-1]] = args[0]
        elif op == "UNSUB":
            self.subscribers.pop((writer, args[0]), None)
        elif op in ("PUB", "HPUB"):
            sizes = args[-2:] if op == "HPUB" else args[-1:]
            for peer in self.peers:
                for (to, sid), subject in list(peer.subscribers.items()):
                    if subject == args[0] and not peer.hanging:
                        kind = "HMSG" if op == "HPUB" else "MSG"
                        to.write(f"{kind} {subject} {sid} {' '.join(sizes)}\r\n".encode() + body)

    def cut(self) -> None:
        """Break all connections."""
        for writer in list(self.writers):
            writer.transport.abort()


class Demo:
    """What runs, and what it has seen."""

    def __init__(self, fault: str, seconds: float) -> None:
        self.fault, self.seconds, self.began = fault, seconds, time.monotonic()
        self.toys: list[Toy] = []
        self.sent = self.got = self.repeated = 0
        self.longest = 0.0
        self.seen: set[int] = set()

    def say(self, text: str) -> None:
        """One line with the time since the start."""
        print(f"{time.monotonic() - self.began:6.2f} s  {text}", flush=True)

    def serving(self) -> Toy | None:
        """The toy that has the client's subscription."""
        return next((t for t in self.toys if t.subscribers), None)

    def do(self, fault: str) -> None:
        """Let something happen to the servers."""
        if fault == "heal":
            for one in self.toys:
                one.hanging = False
            self.say("fault: none any more, all servers speak")
        elif (serving := self.serving()) is not None:
            toy = serving
            if fault == "hang":
                toy.hanging = True
                self.say(f"fault: {toy.name} goes silent; it keeps its connections and answers nothing")
            else:
                toy.cut()
                self.say(f"fault: {toy.name} breaks its connections")

    async def keys(self) -> None:
        """Faults by key, where there is somebody to press one."""
        if not sys.stdin.isatty():
            return
        reader = asyncio.StreamReader()
        protocol = asyncio.StreamReaderProtocol(reader)
        await asyncio.get_running_loop().connect_read_pipe(lambda: protocol, sys.stdin)
        while line := await reader.readline():
            if known := {"h": "hang", "c": "cut", "b": "heal"}.get(line.decode("utf-8", "replace").strip()):
                self.do(known)

    async def relay_log(self, relay: asyncio.subprocess.Process, ready: asyncio.Future[int]) -> None:
        """What the relay says, the lines that matter here."""
        assert relay.stderr is not None
        while line := (await relay.stderr.readline()).decode():
            text = line.rstrip().partition(" violetdoor")[2].partition(" ")[2]
            if "listening on" in line and not ready.done():
                ready.set_result(int(line.rsplit(":", 1)[1]))
            if "counters:" in line:
                counts = dict(pair.split("=") for pair in text.split()[1:] if "=" in pair)
                names = ("nats_placed", "nats_silent", "nats_broken", "publications_resent")
                self.say("relay: " + ", ".join(f"{n} {counts.get(n, 0)}" for n in names))
            elif "silent" in line or "broke" in line:
                self.say(f"relay: {text}")

    async def client(self, port: int) -> None:
        """A booking app: publishes numbers, counts what comes back on its subscription."""
        import nats
        from nats.aio.msg import Msg

        last = time.monotonic()

        async def take(message: Msg) -> None:
            nonlocal last
            now, number = time.monotonic(), int(message.data)
            self.longest, last = max(self.longest, now - last), now
            self.repeated += number in self.seen
            self.seen.add(number)
            self.got = len(self.seen)

        client = await nats.connect(f"nats://127.0.0.1:{port}", name="demo")
        await client.subscribe("bookings", cb=take)
        await client.flush()
        toy = self.serving()
        self.say(f'client: placed on {toy.name if toy else "no server"} by rule "the demo\'s client"')
        last = time.monotonic()
        faulted, until = False, self.began + self.seconds
        while time.monotonic() < until:
            if not faulted and self.fault != "none" and time.monotonic() - self.began > FAULT_AFTER:
                faulted = True
                self.do(self.fault)
            self.sent += 1
            await client.publish("bookings", b"%d" % self.sent, headers={"Nats-Msg-Id": f"demo-{self.sent}"})
            if self.sent % 10 == 0:
                toy = self.serving()
                self.say(
                    f"client: {self.got} of {self.sent} came back, on {toy.name if toy else 'no server'}"
                )
            await asyncio.sleep(EVERY)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(3):
                while self.got < self.sent:
                    await asyncio.sleep(0.02)
        self.say(f"client: its library reconnected {client.stats['reconnects']} times")
        await client.close()

    async def run(self) -> int:
        """All of it; 0 if the client went on after the fault."""
        ports = [await Toy(f"toy-{n}", self.toys).start() for n in (1, 2)]
        servers = [
            {"id": toy.name, "addr": f"127.0.0.1:{port}"} for toy, port in zip(self.toys, ports, strict=True)
        ]
        config = {
            "listen": "127.0.0.1:0", "front": "nats", "servers": servers, "rules": {"text": RULES},
            "nats": {"ping_interval": 0.2, "silence": 1.0}, "retry_after_ms": 200,
            "classes": [{"name": "booking", "aim_ms": 800, "deadline_ms": 3200, "worth": 3.0},
                        {"name": "checkin", "aim_ms": 300, "deadline_ms": 1200}],
        }  # fmt: skip
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder, "demo.json")
            path.write_text(json.dumps(config))
            relay = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "violetdoor", "--config", str(path), stderr=asyncio.subprocess.PIPE
            )
            ready: asyncio.Future[int] = asyncio.get_running_loop().create_future()
            log = asyncio.create_task(self.relay_log(relay, ready))
            keys = asyncio.create_task(self.keys())
            try:
                async with asyncio.timeout(20):
                    port = await ready
                self.say(f"relay on port {port} before toy-1 and toy-2; keys: h hang, c cut, b heal")
                self.say("look at: which server the client is on; whether a message is lost or comes twice")
                await self.client(port)
            finally:
                keys.cancel()
                with contextlib.suppress(ProcessLookupError):
                    relay.terminate()
                await asyncio.gather(relay.wait(), log, keys, return_exceptions=True)
        lost = self.sent - self.got
        self.say(
            f"end: {self.sent} sent, {lost} lost, {self.repeated} twice, longest gap {self.longest:.2f} s"
        )
        return 0 if self.got else 1


def run(fault: str, seconds: float) -> int:
    """Run the demo."""
    return asyncio.run(Demo(fault, seconds).run())
