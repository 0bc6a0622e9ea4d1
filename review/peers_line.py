"""Stand-ins of a case on the line protocol: gate servers, discovery, clients, and the relay as a process.

They follow the users' pages: a gate server answers `OPEN` with `UP RECEIPT` and each line with a line, `PING`
with `PONG`; discovery answers whole lists and watches, one call after another.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import re
import secrets
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import AsyncIterator, Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
READY_SECONDS = 30.0
PLAY_SECONDS = 110.0
CLOSING_SECONDS = 0.1  # for the stand-ins' sockets at the end


class CannotRunError(Exception):
    """The case could not be played; nothing is said of the rule."""


class Record:
    """What was sent, answered and run, in `record.txt` beside the case."""

    def __init__(self, folder: Path) -> None:
        """Start an empty record."""
        self.file = (folder / "record.txt").open("w")
        self.started_at = time.monotonic()

    def write(self, text: str) -> None:
        """Write one line with the time since the start in s."""
        self.file.write(f"{time.monotonic() - self.started_at:8.3f} {text}\n")
        self.file.flush()


HOST_DIGITS = 250
# A loopback host that this run has alone: no client's own port can be taken for a port that is free there.
RELAY_HOST = (
    f"127.{secrets.randbelow(100) + 100}.{secrets.randbelow(HOST_DIGITS)}.{os.getpid() % HOST_DIGITS + 1}"
)


given_ports: set[tuple[str, int]] = set()


def free_port(host: str = RELAY_HOST) -> int:
    """Return a port of a host that nobody uses now, each one once."""
    while True:
        with socket.socket() as sock:
            sock.bind((host, 0))
            port = int(sock.getsockname()[1])
        if (host, port) not in given_ports:
            given_ports.add((host, port))
            return port


class Gate:
    """A gate server."""

    def __init__(self, name: str, record: Record) -> None:
        """Stand with the name that discovery lists."""
        self.name = name
        self.record = record
        self.address = ""
        self.opened: list[tuple[float, str]] = []  # time of the first line's arrival, its id

    async def start(self) -> None:
        """Listen at a free port."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while line := await reader.readline():
                writer.write(self._answer(line))
        except OSError as error:
            self.record.write(f"{self.name}: a connection broke: {error}")
        finally:
            writer.close()

    def _answer(self, line: bytes) -> bytes:
        word, *rest = line.split() or [b""]
        if word in (b"PING", b"STATS"):
            return b"PONG\r\n"
        if word != b"OPEN":
            return b"re " + line
        identity = rest[0].decode()
        self.opened.append((time.monotonic(), identity))
        self.record.write(f"{self.name} runs {line.decode().strip()}")
        return f"UP {self.name}-{identity}\r\n".encode()


class Discovery:
    """Discovery of one relay; `servers` has the state of each gate server."""

    def __init__(self, gates: list[Gate], record: Record, name: str = "discovery") -> None:
        """List all gate servers as up."""
        self.gates = gates
        self.record = record
        self.name = name
        self.states = {gate.name: "up" for gate in gates}
        self.version = 1
        self.address = ""
        self.watches = 0  # calls that wait now
        self.answers = 0
        self.has_length = True  # False: the end of the connection ends the answer
        self._changed = asyncio.Event()

    async def start(self) -> None:
        """Listen at a free port."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    def rows(self, gates: list[Gate] | None = None) -> list[dict[str, Any]]:
        """Return the entries of these gate servers, by default of all."""
        return [
            {"id": gate.name, "addr": gate.address, "zone": "dc1", "kind": "std-4", "cell": 0,
             "state": self.states[gate.name], "weight": 1.0, "started_ms": 0}
            for gate in (self.gates if gates is None else gates)
        ]  # fmt: skip

    def listed(self, gates: list[Gate] | None = None) -> dict[str, Any]:
        """Return the whole list in discovery's form."""
        return {"version": self.version, "full": True, "servers": self.rows(gates)}

    def drain(self, gate: Gate) -> float:
        """Say that a gate server drains; return the time of it."""
        self.states[gate.name] = "draining"
        self.version += 1
        self.record.write(f"{self.name}: {gate.name} drains")
        self._changed.set()
        self._changed = asyncio.Event()
        return time.monotonic()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while request := await reader.readline():
                while (await reader.readline()).strip():
                    pass
                self.record.write(f"{self.name}: asked {request.decode().split()[1]}")
                writer.write(await self._answer(request))
                await writer.drain()
                self.answers += 1
                if not self.has_length:
                    break
        except OSError as error:
            self.record.write(f"{self.name}: a call broke: {error}")
        finally:
            writer.close()

    async def _answer(self, request: bytes) -> bytes:
        watch = re.search(rb"from=(\d+)&hold_ms=(\d+)", request)
        if watch and int(watch[1]) >= self.version:
            self.watches += 1
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), int(watch[2]) / 1000)
            self.watches -= 1
        answer = self.listed()
        if watch and int(watch[1]) >= self.version:
            answer |= {"full": False, "servers": []}
        body = json.dumps(answer).encode()
        head = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
        head += b"Content-Length: %d\r\n" % len(body) if self.has_length else b"Connection: close\r\n"
        self.record.write(f"{self.name}: answered version {self.version}")
        return head + b"\r\n" + body


def settings(relays: int = 1) -> dict[str, Any]:
    """Return the settings of a small site with two classes; discovery is asked."""
    return {
        "accounts": [{"name": "club-one", "quotaPerS": 200.0, "share": 1.0}],
        "azs": ["dc1"],
        "balancers": relays,
        "classes": [
            {"name": "checkin", "goalTime": 300.0, "hardLimit": 1200.0, "effect": "idempotent",
             "dedupScope": "all", "window": 5000.0, "stream": True, "worth": 1.0},
            {"name": "booking", "goalTime": 800.0, "hardLimit": 3200.0, "effect": "idempotent",
             "dedupScope": "all", "window": 5000.0, "stream": True, "worth": 3.0},
        ],
        "discovery": "on_request",
        "family": "conn",
        "familyInfo": {"groups": True, "messageAim": [250.0, 50.0], "mode": "proxy", "park": 0.0,
                       "tellsDelay": True, "tellsLoad": True},
        "kinds": ["std-4"],
        "locality": "dc1",
        "period": 4.0,
        "policyLimits": {"cancel": True, "connectTimeout": 200.0, "maxRetryAfter": 1500.0, "probes": True,
                         "retryAfter": True, "secondCopies": False, "sendCap": 3},
        "prices": {"crossZone": 0.0, "probe": 0.0017},
        "report": {"columns": [], "how": "none"},
        "rules": {"answerSlack": 16.0, "askWithin": 10000.0, "cold": 8900.0, "drainGrace": 500.0,
                  "fall": 3000.0, "overloadFactor": 4.0, "startCapacity": 0.38},
    }  # fmt: skip


class RelaySite:
    """One relay's place: its name, addresses, folder and configuration file."""

    def __init__(self, name: str, folder: Path, discovery: Discovery, known: dict[str, Any]) -> None:
        """Choose a free address; `write` writes the configuration."""
        self.name = name
        self.temporary = folder / name
        self.temporary.mkdir()
        self.file = folder / f"{name}.json"
        self.listen = f"{RELAY_HOST}:{free_port()}"
        self.discovery = discovery
        self.known = known

    def write(self, relays: int = 1) -> None:
        """Write the configuration file."""
        config = {
            "name": self.name,
            "listen": self.listen,
            "discovery": self.discovery.address,
            "seed": secrets.token_hex(8),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": self.known,
            "settings": settings(relays),
        }
        self.file.write_text(json.dumps(config))


class Relay:
    """A process of the relay, started by the `run` of the deploy file."""

    def __init__(self, site: RelaySite, record: Record, title: str) -> None:
        """Prepare a process of a platform's site with a console of its own."""
        self.record = record
        self.title = title
        self.folder = site.temporary.parent
        self.console = f"{RELAY_HOST}:{free_port()}"
        self.arguments = ""  # behind `run`
        self.environment = {
            "BALANCER_NAME": site.name,
            "BALANCER_LISTEN": site.listen,
            "BALANCER_DISCOVERY": site.discovery.address,
            "BALANCER_CONFIG": str(site.file),
            "BALANCER_CONSOLE": self.console,
            "TMPDIR": str(site.temporary),
        }
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start it as the platform does."""
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        with (self.folder / f"{self.title}.log").open("w") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh",
                "-c",
                run + self.arguments,
                cwd=ROOT,
                env=os.environ | self.environment,
                stdout=log,
                stderr=log,
            )
        self.record.write(f"{self.title}: started")

    async def is_healthy(self) -> bool:
        """Return whether the console says that this process takes clients."""
        try:
            reader, writer = await asyncio.open_connection(*address(self.console))
            writer.write(b"GET /healthcheck HTTP/1.1\r\nHost: relay\r\n\r\n")
            status = (await reader.readline()).split()
            writer.close()
        except OSError:
            return False
        return len(status) > 1 and status[1].startswith(b"2")

    async def wait_until_healthy(self) -> float:
        """Wait for the console's yes; return the time of it."""
        await wait_until(self.is_healthy, f"{self.title} does not get ready", READY_SECONDS)
        self.record.write(f"{self.title}: says yes")
        return time.monotonic()

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(number)
        self.record.write(f"{self.title}: {number.name}")

    async def stop(self) -> None:
        """End the process: SIGTERM, and SIGKILL where that does not suffice."""
        if self.process is None or self.process.returncode is not None:
            return
        with contextlib.suppress(ProcessLookupError):
            self.process.terminate()
        try:
            await asyncio.wait_for(self.process.wait(), 6.0)
        except TimeoutError:
            with contextlib.suppress(ProcessLookupError):
                self.process.kill()
            await self.process.wait()


def address(text: str) -> tuple[str, int]:
    """Split `host:port`."""
    host, _, port = text.rpartition(":")
    return host, int(port)


async def wait_until(condition: Callable[[], Awaitable[object]], problem: str, seconds: float) -> None:
    """Ask until the answer is true; raise CannotRunError after this many s."""
    until = time.monotonic() + seconds
    while not await condition():
        if time.monotonic() > until:
            raise CannotRunError(problem)
        await asyncio.sleep(0.02)


def opening(request_class: str, time_left_ms: int, identity: str, more: str = "") -> bytes:
    """Return an OPEN line."""
    values = f"c={request_class},t=club-one,d={time_left_ms},g={secrets.token_hex(8)}{more}"
    return f"OPEN {identity} {secrets.token_hex(6)} {values}\r\n".encode()


@contextlib.asynccontextmanager
async def temporary_folder() -> AsyncIterator[Path]:
    """Make a folder for the time of the case."""
    with tempfile.TemporaryDirectory() as name:
        yield Path(name)


def play(case: Callable[[Record], Awaitable[bool]], folder: Path) -> None:
    """Play a case, which returns whether the rule held; exit with 0, 1 or 2."""
    record = Record(folder)
    record.write(f"case {folder.name}, TROUBLE={int(HAS_TROUBLE)}")

    async def bounded() -> bool:
        try:
            async with asyncio.timeout(PLAY_SECONDS):
                return await case(record)
        finally:
            others = asyncio.all_tasks() - {asyncio.current_task()}
            for task in others:
                task.cancel()
            await asyncio.gather(*others, return_exceptions=True)
            await asyncio.sleep(CLOSING_SECONDS)

    try:
        status = HELD if asyncio.run(bounded()) else BROKEN
    except (CannotRunError, TimeoutError, OSError) as error:
        record.write(f"the case could not run: {type(error).__name__}: {error}")
        status = COULD_NOT_RUN
    record.write(f"exit {status}")
    sys.exit(status)
