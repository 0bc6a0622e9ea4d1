"""Plays a scenario with processes of the program, on loopback, with links between them that can be harmed.

Every process is started here and ended by its id. Relays are known by their names r0.., gate servers by s0...
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import os
import signal
import socket
import sys
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import Any

import orjson

from violetdoor.faults.actors import Client, Discovery, GateServer
from violetdoor.faults.history import History
from violetdoor.faults.links import Address, Links
from violetdoor.faults.scenario import FaultLine, Scenario

log = logging.getLogger("violetdoor.faults")

FLEET_PORT, CLIENT_PORT, CONSOLE_PORT, UPGRADED_PORT = 7946, 8081, 8500, 8501  # on addresses of the rig's own
KEYS = ("one", "two", "three", "four")  # whose owners are asked for
ASK_EVERY = 0.1  # s between two questions to one relay
START_WITHIN = 15.0  # s until a started relay listens
CALL_WITHIN = 1.0
LEAVE_WITHIN = 6.0  # s that a relay has to end after SIGTERM
FOUND_WITHIN = 12.0  # s until the fleet has its first view
SETTLE = 7.0  # s after the last fault, and before the end, in which everything is to settle


class RigError(Exception):
    """The rig itself failed: nothing can be said of the program."""


@dataclass(eq=False)
class Process:
    """One process of a relay."""

    name: str
    process: asyncio.subprocess.Process
    console: Address
    reading: asyncio.Task[None] | None = None
    listening: asyncio.Event = field(default_factory=asyncio.Event)
    ending: bool = False  # the rig has told it to end, or killed it
    stopped: bool = False


def _own_net() -> tuple[socket.socket, str]:
    """Addresses that only this run uses as long as its socket is open: other runs draw others."""
    for _ in range(1000):
        net = f"127.{Random().randrange(64, 192)}.{Random().randrange(256)}"
        guard = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            guard.bind((f"{net}.254", FLEET_PORT))
            return guard, net
        except OSError:
            guard.close()
    raise RigError("no loopback addresses are free")


class Rig:
    """One run."""

    def __init__(self, scenario: Scenario, folder: Path, keep_logs: bool = False) -> None:
        self.scenario, self.folder, self.keep_logs = scenario, folder, keep_logs
        self.random = Random(scenario.seed)
        self.history = History()
        self.loop = asyncio.get_running_loop()
        self.began = time.clock_gettime(time.CLOCK_BOOTTIME)
        self.guard, self.net = _own_net()
        self.places = {name: n + 1 for n, name in enumerate(scenario.all_relays)}
        self.fleet = {name: (self._host(name), FLEET_PORT) for name in scenario.all_relays}
        self.links = Links(f"{self.net}.250", scenario.all_relays, self.fleet, self.random)
        self.gates = [
            GateServer(f"s{n}", f"{self.net}.{200 + n}", self.note) for n in range(scenario.servers)
        ]
        self.discovery = Discovery(self.gates)
        self.running: dict[str, Process] = {}
        self.processes: list[Process] = []
        self.tasks: set[asyncio.Task[Any]] = set()
        self.down_gates: set[str] = set()

    def _host(self, name: str) -> str:
        return f"{self.net}.{self.places[name]}"

    def now(self) -> float:
        """Seconds since the run began, by the clock that relays tell their events in."""
        return time.clock_gettime(time.CLOCK_BOOTTIME) - self.began

    def note(self, who: str, kind: str, **values: Any) -> None:
        """Write into the history."""
        self.history.add(self.now(), who, kind, **values)

    def _spawn(self, what: Any) -> asyncio.Task[Any]:
        task: asyncio.Task[Any] = self.loop.create_task(what)
        self.tasks.add(task)
        return task

    # Relays.

    def _config(self, name: str, console: int) -> Path:
        """A relay's file; a process that takes over has another console."""
        s, host = self.scenario, self._host(name)
        founders = s.initial_relays()[: s.founders]
        at = "{}:{}".format
        data: dict[str, Any] = {
            "name": name, "front": "line", "listen": at(host, CLIENT_PORT), "console": at(host, console),
            "log": "json", "discovery": at(*self.discovery.address), "relays": s.relays,
            "line": {"tenants": ["club"]},
            "classes": [{"name": "checkin", "aim_ms": 300, "deadline_ms": 1200, "message_aim_ms": 250}],
            "fleet": {
                "listen": at(host, FLEET_PORT), "key": "fleet.key", "founders": founders,
                "seeds": [self.links.routes(name)[n] for n in s.initial_relays()[:5] if n != name],
                "routes": self.links.routes(name), **({"state": f"{name}.state"} if s.state else {}),
            },
        }  # fmt: skip
        path = self.folder / f"{name}.{console}.json"
        path.write_bytes(orjson.dumps(data))
        return path

    async def start(self, name: str, console: int = CONSOLE_PORT) -> Process:
        """Start a process of a relay and wait until it takes clients."""
        shared = self.folder / f"tmp-{name}"
        shared.mkdir(exist_ok=True)
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "violetdoor", "--config", str(self._config(name, console)),
            env=os.environ | {"TMPDIR": str(shared)},
            stderr=asyncio.subprocess.PIPE, stdout=asyncio.subprocess.DEVNULL,
        )  # fmt: skip
        one = Process(name, process, (self._host(name), console))
        self.processes.append(one)
        one.reading = self._spawn(self._read(one))
        self.links.set_refusing(name, False)
        self.note(name, "started", pid=process.pid)
        waiting = self._spawn(one.listening.wait())
        gone = self._spawn(process.wait())
        async with asyncio.timeout(START_WITHIN):
            await asyncio.wait((waiting, gone), return_when=asyncio.FIRST_COMPLETED)
        waiting.cancel()
        return one

    async def _read(self, one: Process) -> None:
        """Take in what a process tells."""
        assert one.process.stderr is not None
        kept = (self.folder / f"{one.name}.log").open("ab") if self.keep_logs else None
        while line := await one.process.stderr.readline():
            if kept is not None:
                kept.write(line)
            try:
                told = orjson.loads(line)
            except ValueError:
                self.note(one.name, "said", text=line.decode("utf-8", "replace").strip()[:300])
                continue
            name = str(told.get("event", ""))
            if name.startswith("listening on"):
                one.listening.set()
            if told.get("level") == "error" or "exception" in told:
                self.note(one.name, "error", text=name[:200], trace=str(told.get("exception", ""))[-600:])
            if "at" in told:
                values = {
                    k: v for k, v in told.items() if k not in ("event", "at", "logger", "level", "time")
                }
                self.history.add(float(told["at"]) - self.began, one.name, name, **values)
        status = await one.process.wait()
        one.listening.set()
        if all(p.process.returncode is not None for p in self.processes if p.name == one.name):
            self.links.set_refusing(one.name, True)
        if not one.ending:
            self.note(one.name, "died", status=status)

    def kill(self, name: str) -> None:
        """End a relay's process at once."""
        if (one := self.running.pop(name, None)) is not None:
            one.ending = True
            self.note(name, "down")
            with contextlib.suppress(ProcessLookupError):
                one.process.kill()
            self.links.set_refusing(name, True)

    async def end(self, one: Process) -> None:
        """Let a process leave, and see that it does."""
        one.ending = True
        with contextlib.suppress(ProcessLookupError):
            one.process.send_signal(signal.SIGCONT)
            one.process.terminate()
        try:
            async with asyncio.timeout(LEAVE_WITHIN):
                await one.process.wait()
        except TimeoutError:
            self.note(one.name, "error", text="it did not end after SIGTERM")
            one.process.kill()

    async def upgrade(self, name: str) -> None:
        """Put a new process in the place of a relay's."""
        if (old := self.running.get(name)) is None or old.stopped:
            return
        console = UPGRADED_PORT if old.console[1] == CONSOLE_PORT else CONSOLE_PORT
        new = await self.start(name, console)
        if new.process.returncode is not None:
            self.note(name, "error", text=f"the new process ended with {new.process.returncode}")
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(5.0):
                while (await self.call(new.console, "GET", "/healthcheck"))[0] != 200:
                    await asyncio.sleep(0.05)
        self.running[name] = new
        await self.end(old)

    async def call(self, console: Address, method: str, path: str) -> tuple[int, str]:
        """Call a relay's console; 0 where nobody answers."""
        try:
            async with asyncio.timeout(CALL_WITHIN):
                reader, writer = await asyncio.open_connection(*console)
                writer.write(f"{method} {path} HTTP/1.1\r\nHost: rig\r\n\r\n".encode())
                head, _, text = (await reader.read(-1)).decode().partition("\r\n\r\n")
                writer.close()
                return (int(head.split()[1]), text) if head else (0, "")
        except (OSError, ValueError, IndexError):
            return 0, ""

    async def _ask(self, name: str) -> None:
        """Ask a relay, again and again, what it owns."""
        while True:
            await asyncio.sleep(self.random.uniform(0.5, 1.5) * ASK_EVERY)
            if (one := self.running.get(name)) is None:
                continue
            key, asked = self.random.choice(KEYS), self.now()
            status, text = await self.call(one.console, "GET", f"/fleet/owns/{key}")
            if status == 200:
                self.note(name, "owns", key=key, view=text.strip(), asked=round(asked, 4))

    # Faults.

    def tell_links(self, settled: bool = True) -> None:
        """Note who reaches whom now, as groups that reach each other and nobody else.

        While something changes, as a start that takes time, nothing is promised of anybody.
        """
        if not settled:
            self.note("rig", "links", groups=[], worst=0.0)
            return
        up = [n for n, one in self.running.items() if not one.stopped]
        reach = {a: {b for b in up if b != a and self.links.is_open(a, b)} for a in up}
        groups, left = [], set(up)
        while left:
            first = min(left)
            group = {first} | reach[first]
            left -= group
            if all(reach[n] | {n} == group for n in group):
                groups.append(sorted(group))
        worst = max((link.conditions.loss for link in self.links.links.values()), default=0.0)
        self.note("rig", "links", groups=groups, worst=worst)

    async def fault(self, line: FaultLine) -> None:
        """Do one thing of the time line."""
        self.tell_links(settled=False)
        self.note("rig", "fault", fault=line.kind, what=str(line.who), value=line.value)
        for who in line.who:
            if isinstance(who, str) and line.kind in (
                "kill",
                "restart",
                "stop",
                "continue",
                "join",
                "leave",
                "upgrade",
            ):
                await self._on_one(line.kind, who)
        self._on_links(line, False)
        self.tell_links()
        if line.for_s is not None:
            self._spawn(self._undo_later(line, line.for_s))

    async def _undo_later(self, line: FaultLine, after: float) -> None:
        await asyncio.sleep(after)
        self.tell_links(settled=False)
        self.note("rig", "undone", fault=line.kind, what=str(line.who))
        back = {"kill": "restart", "stop": "continue", "leave": "restart", "join": "leave"}.get(line.kind)
        for who in line.who:
            if isinstance(who, str) and back is not None:
                await self._on_one(back, who)
        self._on_links(line, True)
        self.tell_links()

    async def _on_one(self, kind: str, who: str) -> None:
        if who.startswith("s"):
            await self._on_gate(kind, self.gates[int(who[1:])])
            return
        one = self.running.get(who)
        match kind:
            case "kill":
                self.kill(who)
            case "restart" | "join":
                if one is not None:
                    self.kill(who)
                self.running[who] = await self.start(who)
                self.note(who, "up")
            case "stop" if one is not None:
                one.stopped = True
                self.note(who, "down")
                one.process.send_signal(signal.SIGSTOP)
            case "continue" if one is not None and one.stopped:
                one.stopped = False
                one.process.send_signal(signal.SIGCONT)
                self.note(who, "up")
            case "leave" if one is not None:
                del self.running[who]
                await self.end(one)
            case "upgrade":
                await self.upgrade(who)

    async def _on_gate(self, kind: str, gate: GateServer) -> None:
        match kind:
            case "kill" if gate.name not in self.down_gates:
                self.down_gates.add(gate.name)
                gate.kill()
                self.discovery.tell(gate, False, 0)
            case "restart" if gate.name in self.down_gates:
                await gate.start()
                self.down_gates.discard(gate.name)
                self.discovery.tell(gate, True, int(time.time() * 1000))
            case "stop" | "continue":
                gate.stop(kind == "stop")

    def _on_links(self, line: FaultLine, undo: bool) -> None:
        lists: list[list[str]] = [w for w in line.who if isinstance(w, list)]
        flat = [w for w in line.who if isinstance(w, str)]
        names = list(self.fleet)
        match line.kind:
            case "cut" | "one_way":
                self.links.set_conditions(lists[0], lists[1], line.kind == "cut", cut=not undo)
            case "loss" | "delay":
                one, other = lists if lists else (flat, names)
                self.links.set_conditions(one, other, True, **{line.kind: 0.0 if undo else line.value})
            case "heal":
                one, other = lists if lists else (names, names)
                self.links.set_conditions(one, other, True, cut=False, loss=0.0, delay=0.0)

    # The run.

    async def run(self) -> History:
        """Start everything, play the time line, end everything."""
        for left in (*self.folder.glob("*.state"), *self.folder.glob("*.log")):
            left.unlink()  # of an earlier run kept in the same folder
        (self.folder / "fleet.key").write_bytes(os.urandom(32).hex().encode())
        try:
            for gate in self.gates:
                await gate.start()
            await self.discovery.start(f"{self.net}.251")
            self.links.start()
            starting = [self._spawn(self.start(name)) for name in self.scenario.initial_relays()]
            for one in await asyncio.gather(*starting):
                if one.process.returncode is not None:
                    said = [str(r) for r in self.history.of_kinds("said", "error")][-3:]
                    raise RigError(f"{one.name} ended with {one.process.returncode}: {'; '.join(said)}")
                self.running[one.name] = one
            await self._founded()
            self.tell_links()
            for n in range(self.scenario.clients):
                client = Client(f"c{n}", Random(self.random.getrandbits(64)), self._places, self.note)
                self._spawn(client.run())
            for name in self.scenario.all_relays:
                self._spawn(self._ask(name))
            await self._play_timeline()
            self.tell_links()
        finally:
            await self._close()
        self.history.sort()
        return self.history

    async def _founded(self) -> None:
        """Wait until all relays of the start stand in one view: the time line begins there."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(FOUND_WITHIN):
                while True:
                    await asyncio.sleep(0.1)
                    views = {r.who: len(r.values["members"]) for r in self.history.of_kinds("fleet.view")}
                    live = {r.who for r in self.history.of_kinds("fleet.lease_acquired")}
                    if len(live) == len(self.running) and set(views.values()) == {len(self.running)}:
                        return
        self.note("rig", "error", text=f"no first view of all within {FOUND_WITHIN:g} s")

    def _places(self) -> dict[str, Address]:
        return {n: (self._host(n), CLIENT_PORT) for n, one in self.running.items() if not one.stopped}

    async def _play_timeline(self) -> None:
        start = self.loop.time()
        for line in sorted(self.scenario.fault, key=lambda f: f.at_s):
            await asyncio.sleep(max(0.0, start + line.at_s - self.loop.time()))
            # One that takes time, as a start does, holds up none that comes after it.
            self._spawn(self.fault(line))
        await asyncio.sleep(max(0.0, start + self.scenario.seconds - self.loop.time()))

    async def _close(self) -> None:
        for task in list(self.tasks):
            if task.get_coro().__name__ not in ("_read", "wait"):  # type: ignore[union-attr]
                task.cancel()
        for one in self.processes:
            if one.process.returncode is None:
                one.ending = True
                with contextlib.suppress(ProcessLookupError):
                    one.process.kill()
        await asyncio.gather(*(one.process.wait() for one in self.processes))
        await asyncio.gather(*(one.reading for one in self.processes if one.reading), return_exceptions=True)
        for gate in self.gates:
            gate.kill()
        self.links.close()
        self.guard.close()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


async def run_scenario(scenario: Scenario, folder: Path | None = None, keep_logs: bool = False) -> History:
    """Play a scenario; its history."""
    if folder is not None:
        folder.mkdir(parents=True, exist_ok=True)
        return await Rig(scenario, folder, keep_logs).run()
    with tempfile.TemporaryDirectory(prefix="violetdoor-rig-") as temporary:
        return await Rig(scenario, Path(temporary), keep_logs).run()
