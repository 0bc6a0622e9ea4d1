"""Stand-ins for the relay's peers (gate servers of both protocols, discovery), and the relay process."""

from __future__ import annotations

import asyncio
import contextlib
import gc
import json
import os
import re
import secrets
import signal
import sys
from collections.abc import AsyncIterator, Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).parent.parent
Reader = asyncio.StreamReader
Writer = asyncio.StreamWriter
TIMEOUT_SECONDS = 15.0


def unshared_loopback_host() -> str:
    """Return a loopback address that no other test binds.

    A fleet endpoint on port 0 uses the number of its UDP port for TCP as well; on 127.0.0.1 another process
    may already have that TCP port.
    """
    return f"127.{100 + os.getpid() % 50}.{secrets.randbelow(256)}.{1 + secrets.randbelow(254)}"


async def wait_until(condition: Callable[[], object]) -> None:
    """Poll until a condition holds; TimeoutError after TIMEOUT_SECONDS."""
    async with asyncio.timeout(TIMEOUT_SECONDS):
        while not condition():
            await asyncio.sleep(0.002)


class Standin:
    """A stand-in that listens on its own port."""

    def __init__(self) -> None:
        self.writers: list[Writer] = []
        self.accepted = 0
        self.address = ""

    async def __aenter__(self) -> Any:
        self.server = await asyncio.start_server(self._take, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"
        return self

    async def __aexit__(self, *_: object) -> None:
        self.server.close()
        self.abort_connections()

    def abort_connections(self) -> None:
        """Abort all connections."""
        for writer in self.writers:
            writer.transport.abort()
        self.writers.clear()

    async def _take(self, reader: Reader, writer: Writer) -> None:
        self.accepted += 1
        self.writers.append(writer)
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            await self.serve(reader, writer)
        writer.close()

    async def serve(self, reader: Reader, writer: Writer) -> None:
        raise NotImplementedError


class GateServer(Standin):
    """A gate server of the line protocol; `first_answer` answers a connection's first line."""

    def __init__(self, first_answer: bytes = b"UP r1\r\n") -> None:
        super().__init__()
        self.first_answer, self.echo = first_answer, True
        self.opened: list[bytes] = []
        self.ended = 0
        self.health_checks, self.pong_delay_seconds = 0, 0.0
        self.load_report = b""  # appended to the answer to STATS, such as b" x0=0.5"

    async def serve(self, reader: Reader, writer: Writer) -> None:
        first = await reader.readline()
        if first in (b"PING\r\n", b"STATS\r\n"):
            self.health_checks += 1
            await asyncio.sleep(self.pong_delay_seconds)
            writer.write(b"PONG%b\r\n" % (self.load_report if first == b"STATS\r\n" else b""))
            return
        self.opened.append(first)
        writer.write(self.first_answer)
        try:
            while line := await reader.readline():
                if self.echo:
                    writer.write(b"re " + line)
        finally:  # closed in order, or reset, which is how an abandoned attempt ends
            self.ended += 1


class Discovery(Standin):
    """Answers polls of the server list; `set_state` changes the list and completes waiting polls."""

    def __init__(self, *servers: Standin) -> None:
        super().__init__()
        self.servers, self.version, self.calls, self.broken = servers, 1, 0, False
        self.behind = False  # answer at once "no changes" to a poll with a newer version than its own
        self.states = {s.address: "up" for s in servers}
        self.changed = asyncio.Event()
        self.requested_versions: list[int | None] = []  # the version in each poll, None for the whole list

    def entry(self, address: str) -> dict[str, Any]:
        return {"id": f"s-{address}", "addr": address, "zone": "a", "kind": "k", "cell": 0,
                "state": self.states[address], "weight": 1.0, "started_ms": 0}  # fmt: skip

    def listed(self) -> dict[str, Any]:
        return {"version": self.version, "full": True, "servers": [self.entry(a) for a in self.states]}

    def set_state(self, server: Standin, state: str) -> None:
        self.states[server.address] = state
        self.version += 1
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader: Reader, writer: Writer) -> None:
        while request := await reader.readline():
            while (await reader.readline()).strip():
                pass
            self.calls += 1
            asked = re.search(rb"from=(\d+)&hold_ms=(\d+)", request)
            self.requested_versions.append(int(asked[1]) if asked else None)
            if self.broken:
                writer.write(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
                continue
            answer: dict[str, Any] = {}
            if asked and self.behind and int(asked[1]) > self.version:
                answer = {"full": False, "servers": []}
            elif asked and int(asked[1]) >= self.version:
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self.changed.wait(), int(asked[2]) / 1000)
            body = json.dumps(self.listed() | answer).encode()
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))


class NatsServer(Standin):
    """A NATS server; servers with the same `peers` list deliver to each other's subscribers."""

    def __init__(self, peers: list[NatsServer] | None = None) -> None:
        super().__init__()
        self.peers = [] if peers is None else peers
        self.peers.append(self)
        self.subs: dict[Writer, dict[bytes, list[Any]]] = {}  # by sid: subject, queue, maximum, delivered
        self.published: list[bytes] = []
        self.connects: list[dict[str, Any]] = []
        # Unresponsive: reads everything and does nothing. Withholding PONGs: does all else, but confirms nothing.
        self.is_unresponsive = self.withholds_pongs = False
        self.refusal = b""

    async def serve(self, reader: Reader, writer: Writer) -> None:
        if not self.is_unresponsive:
            writer.write(b'INFO {"server_id":"S","headers":true,"max_payload":1048576}\r\n')
        subscriptions = self.subs.setdefault(writer, {})
        try:
            while line := await reader.readline():
                op, *args = line.split() or [b""]
                body = b""
                if op in (b"PUB", b"HPUB"):
                    body = (await reader.readexactly(int(args[-1]) + 2))[:-2]
                if not self.is_unresponsive:
                    self.operate(op, args, body, line, writer, subscriptions)
        finally:
            del self.subs[writer]

    def operate(self, op: bytes, args: list[bytes], body: bytes, line: bytes, writer: Writer,
                subscriptions: dict[bytes, list[Any]]) -> None:  # fmt: skip
        if op == b"CONNECT":
            self.connects.append(json.loads(line[8:]))
            writer.write(self.refusal)
        elif op == b"PING" and not self.withholds_pongs:
            writer.write(b"PONG\r\n")
        elif op == b"SUB":
            subscriptions[args[-1]] = [args[0], args[1] if len(args) == 3 else b"", 0, 0]
        elif op == b"UNSUB" and args[0] in subscriptions:
            if len(args) == 2 and int(args[1]) > subscriptions[args[0]][3]:
                subscriptions[args[0]][2] = int(args[1])
            else:
                del subscriptions[args[0]]
        elif op in (b"PUB", b"HPUB"):
            head = int(args[-2]) if op == b"HPUB" else 0
            reply = args[1] if len(args) == (4 if head else 3) else b""
            self.published.append(body)
            self.publish(args[0], body, head, reply)

    def publish(self, subject: bytes, body: bytes, head: int = 0, reply: bytes = b"") -> None:
        """Deliver to all subscribers at responsive peers, once to each queue group."""
        done: set[bytes] = set()
        for peer in self.peers:
            for writer, subs in peer.subs.items():
                for sid, sub in list(subs.items()):
                    if peer.is_unresponsive or not matches(sub[0], subject) or sub[1] in done:
                        continue
                    done |= {sub[1]} - {b""}
                    sub[3] += 1
                    if sub[3] == sub[2]:
                        del subs[sid]
                    words = [b"HMSG" if head else b"MSG", subject, sid, *([reply] if reply else [])]
                    words += [b"%d" % head] * bool(head) + [b"%d" % len(body)]
                    writer.write(b" ".join(words) + b"\r\n" + body + b"\r\n")

    def send_to_all(self, line: bytes) -> None:
        """Write a line on all connections."""
        for writer in self.writers:
            writer.write(line)


def matches(pattern: bytes, subject: bytes) -> bool:
    return bool(re.fullmatch(re.escape(pattern).replace(rb"\*", rb"[^.]+").replace(rb">", rb".+"), subject))


class Relay:
    """The relay as a process."""

    def __init__(self, process: asyncio.subprocess.Process) -> None:
        self.process, self.address, self.lines = process, ("127.0.0.1", 0), list[str]()
        self.console = ("127.0.0.1", 0)
        self.killed = False  # set by a test that killed the process
        self.reading = asyncio.create_task(self._read())

    async def _read(self) -> None:
        assert self.process.stderr is not None
        while line := (await self.process.stderr.readline()).decode():
            self.lines.append(line)
            if found := re.search(r"listening on ([\d.]+):(\d+)", line):
                self.address = (found[1], int(found[2]))
            if found := re.search(r"console on ([\d.]+):(\d+)", line):
                self.console = (found[1], int(found[2]))

    def logged(self, text: str) -> int:
        return sum(text in line for line in self.lines)

    async def counters(self) -> dict[str, int]:
        """Request the counters by SIGUSR1 and read them from the log."""
        before = self.logged("counters:")
        self.process.send_signal(signal.SIGUSR1)
        await wait_until(lambda: self.logged("counters:") > before)
        last = [line for line in self.lines if "counters:" in line][-1]
        return {k: int(v) for k, v in re.findall(r"(\w+)=(\d+)", last)}

    async def stop(self) -> int:
        """Stop the process with SIGTERM, as the platform does; return its exit status."""
        with contextlib.suppress(ProcessLookupError):
            self.process.terminate()
        async with asyncio.timeout(TIMEOUT_SECONDS):
            status = await self.process.wait()
            await self.reading
        return status

    async def call(self, call: str) -> tuple[int, str]:
        """Call the console; return the answer's status and text."""
        await wait_until(lambda: self.console[1])
        reader, writer = await asyncio.open_connection(*self.console)
        writer.write(f"{call} HTTP/1.1\r\nHost: relay\r\n\r\n".encode())
        async with asyncio.timeout(TIMEOUT_SECONDS):
            head, _, text = (await reader.read(-1)).decode().partition("\r\n\r\n")
        writer.close()
        assert "connection: close" in head.lower()
        return int(head.split()[1]), text

    async def wait_for_health(self, is_healthy: bool = True) -> None:
        """Wait until the console's health check reports that this process accepts clients, or that it does not.

        One call is not enough: during an upgrade the two processes agree by messages on which one accepts.
        """
        async with asyncio.timeout(TIMEOUT_SECONDS):
            while (await self.call("GET /healthcheck"))[0] != (200 if is_healthy else 503):
                await asyncio.sleep(0.01)

    async def read_metrics(self) -> dict[str, int]:
        """Return the console's metrics."""
        status, text = await self.call("GET /stats")
        assert status == 200
        return {name: int(value) for name, value in re.findall(r"^svc\.([\w.-]+):(\d+)\|[cg]$", text, re.M)}

    async def open(self) -> tuple[Reader, Writer]:
        return await asyncio.open_connection(*self.address)


@contextlib.asynccontextmanager
async def relay(*args: str, **env: str) -> AsyncIterator[Relay]:
    """Run the program from when it listens; check its exit status and that it logged no traceback."""
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "violetdoor", *args, cwd=ROOT, env=os.environ | env,
        stderr=asyncio.subprocess.PIPE,
    )  # fmt: skip
    it = Relay(process)
    try:
        await wait_until(lambda: it.address[1] or process.returncode is not None)
        yield it
    finally:
        status = await it.stop()
    assert status == (-signal.SIGKILL if it.killed else 0), it.lines
    assert not it.logged("Traceback"), "".join(it.lines)


def run(test: Callable[[], Awaitable[None]]) -> None:
    """Run one test's coroutine with a time limit.

    Garbage is collected before and after it: a collection while peers are played would stop all of them for up
    to 0.1 s, and connections that a test has left open would be finalized in the middle of another test.
    """

    async def bounded() -> None:
        async with asyncio.timeout(4 * TIMEOUT_SECONDS):
            await test()

    gc.collect()
    asyncio.run(bounded())
    gc.collect()
