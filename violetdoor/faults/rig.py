"""Run a scenario with real processes of the program on loopback, and inject faults into them and their links.

Every process is started here and ended by its process id. Relays are named r0, r1, ...; gate servers are
named s0, s1, ...
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

# Ports on the loopback addresses that the rig reserves; upgraded relays use the second console port.
FLEET_PORT, CLIENT_PORT, CONSOLE_PORT, UPGRADED_PORT = 7946, 8081, 8500, 8501
OWNED_KEYS = ("one", "two", "three", "four")  # keys whose owners are queried
OWNER_QUERY_INTERVAL_SECONDS = 0.1  # mean time between two queries to one relay
START_TIMEOUT_SECONDS = 15.0  # until a started relay listens
CALL_TIMEOUT_SECONDS = 1.0  # of a call to a relay's console
LEAVE_TIMEOUT_SECONDS = 6.0  # until a relay exits after SIGTERM
FOUNDING_TIMEOUT_SECONDS = 12.0  # until the fleet has its first view
SETTLE_SECONDS = 7.0  # between the last fault and the end, in which everything should settle


class RigError(Exception):
    """The rig itself failed, so the run says nothing about the program."""


@dataclass(eq=False)
class RelayProcess:
    """A process of a relay; during an upgrade, a relay has two."""

    name: str
    process: asyncio.subprocess.Process
    console: Address
    log_reader: asyncio.Task[None] | None = None
    listening: asyncio.Event = field(default_factory=asyncio.Event)
    ending: bool = False  # the rig has terminated or killed it
    stopped: bool = False  # by SIGSTOP


def _reserve_network() -> tuple[socket.socket, str]:
    """Reserve a /24 of loopback addresses for this run, for as long as the returned socket is open."""
    for _ in range(1000):
        network = f"127.{Random().randrange(64, 192)}.{Random().randrange(256)}"
        reservation = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            reservation.bind((f"{network}.254", FLEET_PORT))
            return reservation, network
        except OSError:
            reservation.close()
    raise RigError("found no free loopback network in 1000 attempts")


class Rig:
    """One run of a scenario."""

    def __init__(self, scenario: Scenario, folder: Path, keep_logs: bool = False) -> None:
        self.scenario, self.folder, self.keep_logs = scenario, folder, keep_logs
        self.random = Random(scenario.seed)
        self.history = History()
        self.loop = asyncio.get_running_loop()
        self.started_at = time.clock_gettime(time.CLOCK_BOOTTIME)
        self.reservation, self.network = _reserve_network()
        self.host_numbers = {name: n + 1 for n, name in enumerate(scenario.all_relays)}
        self.fleet_addresses = {name: (self._host(name), FLEET_PORT) for name in scenario.all_relays}
        self.links = Links(f"{self.network}.250", scenario.all_relays, self.fleet_addresses, self.random)
        self.gates = [
            GateServer(f"s{n}", f"{self.network}.{200 + n}", self.record) for n in range(scenario.servers)
        ]
        self.discovery = Discovery(self.gates)
        self.running: dict[str, RelayProcess] = {}
        self.processes: list[RelayProcess] = []
        self.tasks: set[asyncio.Task[Any]] = set()
        self.killed_gates: set[str] = set()

    def _host(self, name: str) -> str:
        return f"{self.network}.{self.host_numbers[name]}"

    def now(self) -> float:
        """Return the seconds since the run began, on the clock that relays timestamp their events with."""
        return time.clock_gettime(time.CLOCK_BOOTTIME) - self.started_at

    def record(self, who: str, kind: str, **values: Any) -> None:
        """Add a row to the history."""
        self.history.add(self.now(), who, kind, **values)

    def _spawn(self, coroutine: Any) -> asyncio.Task[Any]:
        task: asyncio.Task[Any] = self.loop.create_task(coroutine)
        self.tasks.add(task)
        return task

    # Relays.

    def _write_config(self, name: str, console_port: int) -> Path:
        """Write a relay's configuration file; a process that takes over gets another console port."""
        s, host = self.scenario, self._host(name)
        founders = s.initial_relays()[: s.founders]
        endpoint = "{}:{}".format
        data: dict[str, Any] = {
            "name": name, "front": "line", "listen": endpoint(host, CLIENT_PORT),
            "console": endpoint(host, console_port), "log": "json",
            "discovery": endpoint(*self.discovery.address), "relays": s.relays,
            "line": {"tenants": ["club"]},
            "classes": [{"name": "checkin", "aim_ms": 300, "deadline_ms": 1200, "message_aim_ms": 250}],
            "fleet": {
                "listen": endpoint(host, FLEET_PORT), "key": "fleet.key", "founders": founders,
                "seeds": [self.links.routes(name)[n] for n in s.initial_relays()[:5] if n != name],
                "routes": self.links.routes(name), **({"state": f"{name}.state"} if s.state else {}),
            },
        }  # fmt: skip
        path = self.folder / f"{name}.{console_port}.json"
        path.write_bytes(orjson.dumps(data))
        return path

    async def start(self, name: str, console: int = CONSOLE_PORT) -> RelayProcess:
        """Start a process of a relay and wait until it accepts clients."""
        shared = self.folder / f"tmp-{name}"
        shared.mkdir(exist_ok=True)
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "violetdoor", "--config", str(self._write_config(name, console)),
            env=os.environ | {"TMPDIR": str(shared)},
            stderr=asyncio.subprocess.PIPE, stdout=asyncio.subprocess.DEVNULL,
        )  # fmt: skip
        relay = RelayProcess(name, process, (self._host(name), console))
        self.processes.append(relay)
        relay.log_reader = self._spawn(self._read_log(relay))
        self.links.set_refusing(name, False)
        self.record(name, "started", pid=process.pid)
        waiting = self._spawn(relay.listening.wait())
        exited = self._spawn(process.wait())
        async with asyncio.timeout(START_TIMEOUT_SECONDS):
            await asyncio.wait((waiting, exited), return_when=asyncio.FIRST_COMPLETED)
        waiting.cancel()
        return relay

    async def _read_log(self, relay: RelayProcess) -> None:
        """Add the events that a process logs to the history, and its end if the rig did not cause it."""
        assert relay.process.stderr is not None
        log_file = (self.folder / f"{relay.name}.log").open("ab") if self.keep_logs else None
        while line := await relay.process.stderr.readline():
            if log_file is not None:
                log_file.write(line)
            try:
                event = orjson.loads(line)
            except ValueError:
                self.record(relay.name, "said", text=line.decode("utf-8", "replace").strip()[:300])
                continue
            name = str(event.get("event", ""))
            if name.startswith("listening on"):
                relay.listening.set()
            if event.get("level") == "error" or "exception" in event:
                self.record(
                    relay.name, "error", text=name[:200], trace=str(event.get("exception", ""))[-600:]
                )
            if "at" in event:
                values = {
                    k: v for k, v in event.items() if k not in ("event", "at", "logger", "level", "time")
                }
                self.history.add(float(event["at"]) - self.started_at, relay.name, name, **values)
        status = await relay.process.wait()
        relay.listening.set()
        if all(p.process.returncode is not None for p in self.processes if p.name == relay.name):
            self.links.set_refusing(relay.name, True)
        if not relay.ending:
            self.record(relay.name, "died", status=status)

    def kill(self, name: str) -> None:
        """Kill a relay's process."""
        if (relay := self.running.pop(name, None)) is not None:
            relay.ending = True
            self.record(name, "down")
            with contextlib.suppress(ProcessLookupError):
                relay.process.kill()
            self.links.set_refusing(name, True)

    async def end(self, relay: RelayProcess) -> None:
        """Terminate a process; kill it, with an error in the history, if it doesn't exit in time."""
        relay.ending = True
        with contextlib.suppress(ProcessLookupError):
            relay.process.send_signal(signal.SIGCONT)
            relay.process.terminate()
        try:
            async with asyncio.timeout(LEAVE_TIMEOUT_SECONDS):
                await relay.process.wait()
        except TimeoutError:
            self.record(relay.name, "error", text="the relay did not exit after SIGTERM")
            relay.process.kill()

    async def upgrade(self, name: str) -> None:
        """Replace a relay's process by a new one that takes over from it."""
        if (old := self.running.get(name)) is None or old.stopped:
            return
        console = UPGRADED_PORT if old.console[1] == CONSOLE_PORT else CONSOLE_PORT
        new = await self.start(name, console)
        if new.process.returncode is not None:
            self.record(name, "error", text=f"the new process exited with status {new.process.returncode}")
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(5.0):
                while (await self.call(new.console, "GET", "/healthcheck"))[0] != 200:
                    await asyncio.sleep(0.05)
        self.running[name] = new
        await self.end(old)

    async def call(self, console: Address, method: str, path: str) -> tuple[int, str]:
        """Call a relay's console; return status and body, or status 0 if there is no answer."""
        try:
            async with asyncio.timeout(CALL_TIMEOUT_SECONDS):
                reader, writer = await asyncio.open_connection(*console)
                writer.write(f"{method} {path} HTTP/1.1\r\nHost: rig\r\n\r\n".encode())
                head, _, text = (await reader.read(-1)).decode().partition("\r\n\r\n")
                writer.close()
                return (int(head.split()[1]), text) if head else (0, "")
        except (OSError, ValueError, IndexError):
            return 0, ""

    async def _query_owners(self, name: str) -> None:
        """Query a relay repeatedly whether it owns one of the keys."""
        while True:
            await asyncio.sleep(self.random.uniform(0.5, 1.5) * OWNER_QUERY_INTERVAL_SECONDS)
            if (relay := self.running.get(name)) is None:
                continue
            key, queried_at = self.random.choice(OWNED_KEYS), self.now()
            status, text = await self.call(relay.console, "GET", f"/fleet/owns/{key}")
            if status == 200:
                self.record(name, "owns", key=key, view=text.strip(), asked=round(queried_at, 4))

    # Faults.

    def record_links(self, settled: bool = True) -> None:
        """Record the groups of relays that reach each other and no others.

        While a change is in progress, such as the start of a process, record none, so that no check applies.
        """
        if not settled:
            self.record("rig", "links", groups=[], worst=0.0)
            return
        names = [n for n, relay in self.running.items() if not relay.stopped]
        reachable = {a: {b for b in names if b != a and self.links.is_open(a, b)} for a in names}
        groups, remaining = [], set(names)
        while remaining:
            first = min(remaining)
            group = {first} | reachable[first]
            remaining -= group
            if all(reachable[n] | {n} == group for n in group):
                groups.append(sorted(group))
        worst_loss = max((link.conditions.loss for link in self.links.links.values()), default=0.0)
        self.record("rig", "links", groups=groups, worst=worst_loss)

    async def inject_fault(self, fault: FaultLine) -> None:
        """Apply one fault of the scenario and schedule its end."""
        self.record_links(settled=False)
        self.record("rig", "fault", fault=fault.kind, what=str(fault.who), value=fault.value)
        for who in fault.who:
            if isinstance(who, str) and fault.kind in (
                "kill",
                "restart",
                "stop",
                "continue",
                "join",
                "leave",
                "upgrade",
            ):
                await self._apply_to_process(fault.kind, who)
        self._apply_to_links(fault, False)
        self.record_links()
        if fault.for_s is not None:
            self._spawn(self._undo_after(fault, fault.for_s))

    async def _undo_after(self, fault: FaultLine, delay_seconds: float) -> None:
        await asyncio.sleep(delay_seconds)
        self.record_links(settled=False)
        self.record("rig", "undone", fault=fault.kind, what=str(fault.who))
        reverse_kind = {"kill": "restart", "stop": "continue", "leave": "restart", "join": "leave"}.get(
            fault.kind
        )
        for who in fault.who:
            if isinstance(who, str) and reverse_kind is not None:
                await self._apply_to_process(reverse_kind, who)
        self._apply_to_links(fault, True)
        self.record_links()

    async def _apply_to_process(self, kind: str, who: str) -> None:
        if who.startswith("s"):
            await self._apply_to_gate(kind, self.gates[int(who[1:])])
            return
        relay = self.running.get(who)
        match kind:
            case "kill":
                self.kill(who)
            case "restart" | "join":
                if relay is not None:
                    self.kill(who)
                self.running[who] = await self.start(who)
                self.record(who, "up")
            case "stop" if relay is not None:
                relay.stopped = True
                self.record(who, "down")
                relay.process.send_signal(signal.SIGSTOP)
            case "continue" if relay is not None and relay.stopped:
                relay.stopped = False
                relay.process.send_signal(signal.SIGCONT)
                self.record(who, "up")
            case "leave" if relay is not None:
                del self.running[who]
                await self.end(relay)
            case "upgrade":
                await self.upgrade(who)

    async def _apply_to_gate(self, kind: str, gate: GateServer) -> None:
        match kind:
            case "kill" if gate.name not in self.killed_gates:
                self.killed_gates.add(gate.name)
                gate.kill()
                self.discovery.set_running(gate, False, 0)
            case "restart" if gate.name in self.killed_gates:
                await gate.start()
                self.killed_gates.discard(gate.name)
                self.discovery.set_running(gate, True, int(time.time() * 1000))
            case "stop" | "continue":
                gate.stop(kind == "stop")

    def _apply_to_links(self, fault: FaultLine, undo: bool) -> None:
        lists: list[list[str]] = [w for w in fault.who if isinstance(w, list)]
        flat = [w for w in fault.who if isinstance(w, str)]
        names = list(self.fleet_addresses)
        match fault.kind:
            case "cut" | "one_way":
                self.links.set_conditions(lists[0], lists[1], fault.kind == "cut", cut=not undo)
            case "loss" | "delay":
                sources, targets = lists if lists else (flat, names)
                self.links.set_conditions(
                    sources, targets, True, **{fault.kind: 0.0 if undo else fault.value}
                )
            case "heal":
                sources, targets = lists if lists else (names, names)
                self.links.set_conditions(sources, targets, True, cut=False, loss=0.0, delay=0.0)

    # Run.

    async def run(self) -> History:
        """Start all processes, inject the faults, end all processes; return the history."""
        for stale in (*self.folder.glob("*.state"), *self.folder.glob("*.log")):
            stale.unlink()  # from an earlier run in the same folder
        (self.folder / "fleet.key").write_bytes(os.urandom(32).hex().encode())
        try:
            for gate in self.gates:
                await gate.start()
            await self.discovery.start(f"{self.network}.251")
            self.links.start()
            starting = [self._spawn(self.start(name)) for name in self.scenario.initial_relays()]
            for relay in await asyncio.gather(*starting):
                if relay.process.returncode is not None:
                    messages = [str(r) for r in self.history.of_kinds("said", "error")][-3:]
                    raise RigError(
                        f"{relay.name} exited with status {relay.process.returncode}: {'; '.join(messages)}"
                    )
                self.running[relay.name] = relay
            await self._wait_until_founded()
            self.record_links()
            for n in range(self.scenario.clients):
                client = Client(
                    f"c{n}", Random(self.random.getrandbits(64)), self._client_addresses, self.record
                )
                self._spawn(client.run())
            for name in self.scenario.all_relays:
                self._spawn(self._query_owners(name))
            await self._play_timeline()
            self.record_links()
        finally:
            await self._close()
        self.history.sort()
        return self.history

    async def _wait_until_founded(self) -> None:
        """Wait until all initial relays are in one view and hold a lease; the scenario's time starts then."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(FOUNDING_TIMEOUT_SECONDS):
                while True:
                    await asyncio.sleep(0.1)
                    views = {r.who: len(r.values["members"]) for r in self.history.of_kinds("fleet.view")}
                    live = {r.who for r in self.history.of_kinds("fleet.lease_acquired")}
                    if len(live) == len(self.running) and set(views.values()) == {len(self.running)}:
                        return
        self.record(
            "rig", "error", text=f"not all relays are in one view within {FOUNDING_TIMEOUT_SECONDS:g} s"
        )

    def _client_addresses(self) -> dict[str, Address]:
        return {n: (self._host(n), CLIENT_PORT) for n, relay in self.running.items() if not relay.stopped}

    async def _play_timeline(self) -> None:
        start = self.loop.time()
        for fault in sorted(self.scenario.fault, key=lambda f: f.at_s):
            await asyncio.sleep(max(0.0, start + fault.at_s - self.loop.time()))
            # In a task of its own, so that a slow fault, such as a start, doesn't delay later ones.
            self._spawn(self.inject_fault(fault))
        await asyncio.sleep(max(0.0, start + self.scenario.seconds - self.loop.time()))

    async def _close(self) -> None:
        for task in list(self.tasks):
            if task.get_coro().__name__ not in ("_read_log", "wait"):  # type: ignore[union-attr]
                task.cancel()
        for relay in self.processes:
            if relay.process.returncode is None:
                relay.ending = True
                with contextlib.suppress(ProcessLookupError):
                    relay.process.kill()
        await asyncio.gather(*(relay.process.wait() for relay in self.processes))
        await asyncio.gather(
            *(relay.log_reader for relay in self.processes if relay.log_reader), return_exceptions=True
        )
        for gate in self.gates:
            gate.kill()
        self.links.close()
        self.reservation.close()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


async def run_scenario(scenario: Scenario, folder: Path | None = None, keep_logs: bool = False) -> History:
    """Run a scenario, in a temporary folder unless one is given; return its history."""
    if folder is not None:
        folder.mkdir(parents=True, exist_ok=True)
        return await Rig(scenario, folder, keep_logs).run()
    with tempfile.TemporaryDirectory(prefix="violetdoor-rig-") as temporary:
        return await Rig(scenario, Path(temporary), keep_logs).run()
