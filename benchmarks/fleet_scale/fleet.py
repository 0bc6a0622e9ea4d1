"""The processes of a run: their start and end, and the injection of faults into them."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Callable, Iterable
from http import HTTPStatus
from pathlib import Path
from random import Random
from typing import Any

from benchmarks.fleet_scale import configs
from benchmarks.fleet_scale import protocol as p
from benchmarks.fleet_scale.keys import KeyPlan
from benchmarks.fleet_scale.layout import ControlMachine, Layout, Network, RealRelay, Zone
from benchmarks.fleet_scale.links import RegionLinks
from benchmarks.fleet_scale.processes import Process, Processes
from benchmarks.fleet_scale.records import History, HostHistory, UsageSample
from violetdoor.control.messages import RelayKey

CONTROL_PROGRAM = ("violetdoor", "control", "--config")
SAMPLE_INTERVAL_S = 1.0  # between two samples of the resource usage of processes
WAIT_POLL_INTERVAL_S = 0.1  # between two checks of a condition that is waited for
MAX_CONCURRENT_STARTS = 8  # processes that are started concurrently
PROCESS_START_TIMEOUT_S = 30.0  # until the console of a started process answers
HOST_REPLY_TIMEOUT_S = 10.0  # for a host to write its pending records or the answer to an audit
CONSOLE_TIMEOUT_S = 2.0  # for one request to a console


class FleetStartError(Exception):
    """The fleet of the run did not start, so the run has no figures."""


class Fleet:
    """The processes of a run, and the history of what they report."""

    def __init__(
        self, layout: Layout, network: Network, folder: Path, processes: Processes, keys: KeyPlan, seed: int,
        cut_region: str | None,
    ) -> None:  # fmt: skip
        self.layout, self.folder, self.processes, self.keys, self.seed = layout, folder, processes, keys, seed
        self.history = History()
        self.links = RegionLinks(network.host(253))
        self.cut_region = cut_region
        self.controls: dict[str, Process] = {}
        self.hosts: dict[str, Process] = {}
        self.real: dict[str, Process] = {}
        self.host_of: dict[str, str] = {}  # names of hosts by names of stub relays
        self.random = Random(seed)
        self._audits = 0
        self._sampling: asyncio.Task[None] | None = None

    # Starting.

    async def start_controls(self) -> None:
        """Start all control machines, and wait for their health checks: from then on they grant leases."""
        configs.write_key(self.folder)
        machines = self.layout.machines
        await self._await_limited(self._start_control(machine) for machine in machines)
        await asyncio.gather(*(self._wait_for_console(self.controls[m.name], m.console) for m in machines))
        self._sampling = asyncio.get_running_loop().create_task(self._sample())

    async def _start_control(self, machine: ControlMachine) -> None:
        path = configs.write_control(self.folder, machine, self.layout, self._regions_seen_by(machine))
        process = await self.processes.start(machine.name, [*CONTROL_PROGRAM, str(path)], self.folder)
        self.controls[machine.name] = process
        await self._wait_for_console(process, machine.console, any_answer=True)

    def _regions_seen_by(self, machine: ControlMachine) -> dict[str, tuple[p.Address, ...]]:
        """Return each region's session addresses for a machine, through links where the cut applies."""
        return {
            region: tuple(self._route(machine.region, other) for other in self.layout.group(region))
            for region in self.layout.regions
        }

    def _route(self, region: str, other: ControlMachine) -> p.Address:
        crosses = region != other.region and self.cut_region in (region, other.region)
        return self.links.proxied_address(other.sessions) if crosses else other.sessions

    async def start_hosts(self, over: float) -> None:
        """Start all hosts, and let them start their relays within `over` seconds."""
        await self._await_limited(
            self._start_host(zone, rack) for zone in self.layout.zones for rack in (False, True)
        )
        for host in self.hosts:
            self._command(host, p.Begin(over))

    async def _start_host(self, zone: Zone, rack: bool) -> None:
        name = rack_host(zone) if rack else zone_host(zone)
        relays = zone.rack if rack else zone.stubs
        controls = tuple(machine.sessions for machine in self.layout.group(zone.region))
        names = frozenset(relay.name for relay in relays)
        plan = p.HostPlan(
            name, zone.region, self.layout.regions, controls, str(configs.key_path(self.folder)), relays,
            self.keys.sampled_keys(zone.region, names), self.random.getrandbits(32),
        )  # fmt: skip
        path = self.folder / f"{name}.json"
        path.write_bytes(p.encode(plan))
        self.history.hosts[name] = HostHistory(zone.region, names)
        self.host_of |= dict.fromkeys(names, name)

        def add_line(line: bytes) -> None:
            self.history.add_line(name, line)

        self.hosts[name] = await self.processes.start(
            name, ["benchmarks.fleet_scale.host", str(path)], self.folder, add_line
        )

    async def start_real(self) -> None:
        """Start the real relays, and one without a control plane as a baseline of its resource usage."""
        await self._await_limited(self._start_real(relay) for relay in self.layout.real)
        await self._start_unattached()

    async def _start_real(self, relay: RealRelay) -> None:
        path = configs.write_real(self.folder, relay, self.layout)
        process = await self.processes.start(relay.name, ["violetdoor", "--config", str(path)], self.folder)
        self.real[relay.name] = process
        await self._wait_for_console(process, relay.console)

    async def _start_unattached(self) -> None:
        relay = self.layout.unattached
        path = configs.write_unattached(self.folder, relay)
        self.real[relay.name] = await self.processes.start(
            relay.name, ["violetdoor", "--config", str(path)], self.folder
        )
        await self._wait_for_console(self.real[relay.name], relay.console)

    @property
    def unattached(self) -> str:
        """The name of the relay without a control plane."""
        return self.layout.unattached.name

    @staticmethod
    async def _await_limited(starts: Iterable[Any]) -> None:
        slots = asyncio.Semaphore(MAX_CONCURRENT_STARTS)

        async def one(start: Any) -> None:
            async with slots:
                await start

        await asyncio.gather(*(one(start) for start in starts))

    async def _wait_for_console(self, process: Process, console: p.Address, any_answer: bool = False) -> None:
        """Wait until the console's health check passes, or with `any_answer` gives any answer."""
        loop = asyncio.get_running_loop()
        until = loop.time() + PROCESS_START_TIMEOUT_S
        while loop.time() < until and process.running:
            status = await call(console, "GET", "/healthcheck")
            if status == HTTPStatus.OK or (any_answer and status is not None):
                return
            await asyncio.sleep(WAIT_POLL_INTERVAL_S)
        stderr_tail = " | ".join(process.stderr_tail)
        raise FleetStartError(
            f"console {console} of {process.name} did not answer as expected within "
            f"{PROCESS_START_TIMEOUT_S:g} s: {stderr_tail}"
        )

    # Observation.

    async def _sample(self) -> None:
        while True:
            for process in (*self.controls.values(), *self.real.values()):
                usage = process.usage()
                if usage is not None:
                    self.history.usage[process.name].append(UsageSample(p.shared_clock(), usage))
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    async def wait_for(self, condition: Callable[[], bool], timeout_s: float) -> bool:
        """Wait for a condition. Return False on the timeout or the failure of a process."""
        loop = asyncio.get_running_loop()
        until = loop.time() + timeout_s
        while not condition():
            if loop.time() > until or self.processes.failures():
                return False
            await asyncio.sleep(WAIT_POLL_INTERVAL_S)
        return True

    def all_in_service(self) -> bool:
        """Return whether all running stub relays are listed in their roster and hold a lease."""
        for host in self.history.living_hosts(p.shared_clock()):
            if not host.census:
                return False
            last = host.census[-1]
            if not last.running == last.in_roster == last.acting:
                return False
        return True

    def all_started(self) -> bool:
        """Return whether all stub relays of all hosts have been started and are in service."""
        wanted = sum(len(host.names) for host in self.history.hosts.values())
        return len(self.history.running) == wanted and self.all_in_service()

    def running_stubs(self, region: str) -> list[str]:
        """Return the names of the running stub relays of a region."""
        names = (name for host in self.history.hosts.values() if host.region == region for name in host.names)
        return sorted(name for name in names if name in self.history.running)

    async def audit(self) -> int:
        """Make all hosts report what their relays know. Return the number of the audit."""
        self._audits += 1
        number = self._audits
        living = list(self.history.living_hosts(p.shared_clock()))
        for name, host in self.history.hosts.items():
            if host in living:
                self._command(name, p.TakeAudit(number))
        await self.wait_for(
            lambda: all(host.audits and host.audits[-1].number == number for host in living),
            HOST_REPLY_TIMEOUT_S,
        )
        return number

    # Faults.

    def _command(self, host: str, command: p.Command) -> None:
        self.hosts[host].send(p.encode(command))

    def end_relay(self, name: str, how: p.Ending) -> None:
        """End one stub relay."""
        self._command(self.host_of[name], p.EndRelays((name,), how))

    def restart_relay(self, name: str, down: float) -> None:
        """Make one stub relay leave, and start it again after `down` seconds."""
        self._command(self.host_of[name], p.RestartRelay(name, down))

    def stop_rack(self, zone: Zone) -> tuple[RelayKey, ...]:
        """Stop a rack's host as if its machines died: connections stay open. Return its relays."""
        name = rack_host(zone)
        at = p.shared_clock()
        self.hosts[name].end_expected = True
        self.hosts[name].signal(signal.SIGSTOP)
        return self.history.add_host_end(name, at, "silent")

    def kill_zone(self, zone: Zone) -> tuple[RelayKey, ...]:
        """Kill all real relays and hosts of a zone. Return the stub relays that ended."""
        at = p.shared_clock()
        lost: tuple[RelayKey, ...] = ()
        for relay in zone.real:
            self.real[relay.name].kill()
            self.history.real_ended[relay.name] = at
        for name in (zone_host(zone), rack_host(zone)):
            if self.history.hosts[name].ended_at > at:
                self.hosts[name].kill()
                lost += self.history.add_host_end(name, at, "closed")
        return lost

    def kill_control(self, machine: ControlMachine) -> None:
        """Kill the process of a control machine."""
        self.controls[machine.name].kill()

    # The end.

    async def close(self) -> None:
        """Stop the hosts once their pending records are written; `Processes` kills what runs after that."""
        if self._sampling is not None:
            self._sampling.cancel()
        stopping = []
        for name, process in self.hosts.items():
            if not process.end_expected:
                process.end_expected = True
                self._command(name, p.StopHost())
                stopping.append(process)
        waits = [asyncio.wait_for(one.process.wait(), HOST_REPLY_TIMEOUT_S) for one in stopping]
        for process, ended in zip(
            stopping, await asyncio.gather(*waits, return_exceptions=True), strict=True
        ):
            if isinstance(ended, BaseException):
                self.history.failures.append(
                    f"{process.name} did not exit on the command to stop within {HOST_REPLY_TIMEOUT_S:g} s"
                )
        await asyncio.gather(*(task for one in stopping for task in one.reader_tasks), return_exceptions=True)
        await self.links.close()


def zone_host(zone: Zone) -> str:
    """Return the name of the host of a zone's stub relays outside its rack."""
    return f"host-{zone.name}"


def rack_host(zone: Zone) -> str:
    """Return the name of the host of the stub relays in a zone's rack."""
    return f"host-{zone.name}-rack"


async def call(console: p.Address, method: str, path: str) -> int | None:
    """Send a request to a console. Return the HTTP status, or None without a valid answer."""
    try:
        async with asyncio.timeout(CONSOLE_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(console.host, console.port)
            writer.write(f"{method} {path} HTTP/1.1\r\nHost: fleet-scale\r\n\r\n".encode())
            answer = await reader.read(-1)
            writer.close()
            return int(answer.split()[1])
    except (OSError, ValueError, IndexError):
        return None
