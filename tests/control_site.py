"""Test helpers that run control machines and relays as processes, with their configuration files."""

from __future__ import annotations

import asyncio
import contextlib
import functools
import json
import os
import signal
import sys
from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from dataclasses import dataclass
from http import HTTPStatus
from pathlib import Path
from random import Random
from typing import Any, ParamSpec

import orjson
from standins import ROOT, Discovery, GateServer, Relay, relay, run, wait_until
from test_fleet_process import KEY, line_front

# Timeout of a state that depends on elections, on leases or on the removal of dead processes.
STATE_TIMEOUT_SECONDS = 30.0
# Interval between two polls of a console.
POLL_INTERVAL_SECONDS = 0.02
SESSION_PORT = 7950
GROUP_PORT = 7946
MACHINE_NAMES = ("c1", "c2", "c3")  # control machines of a site
RELAY_COUNT = 3  # relays of a site

Parameters = ParamSpec("Parameters")


def async_test(test: Callable[Parameters, Awaitable[None]]) -> Callable[Parameters, None]:
    """Run a test's coroutine with the timeout of `standins.run`."""

    @functools.wraps(test)
    def run_test(*args: Parameters.args, **kwargs: Parameters.kwargs) -> None:
        run(lambda: test(*args, **kwargs))

    return run_test


async def eventually(
    condition: Callable[[], Awaitable[object]], timeout_seconds: float = STATE_TIMEOUT_SECONDS
) -> None:
    """Poll until a condition holds. Raises TimeoutError if it doesn't hold in time."""
    async with asyncio.timeout(timeout_seconds):
        while True:
            if await condition():
                return
            await asyncio.sleep(POLL_INTERVAL_SECONDS)


class ControlMachine(Relay):
    """A control machine that runs as a process."""


class Region:
    """Addresses and configuration files of one region's control machines and relays, for one test."""

    def __init__(
        self,
        folder: Path,
        front: dict[str, Any],
        name: str = "r1",
        machines: Sequence[str] = MACHINE_NAMES,
    ) -> None:
        self.folder = folder
        self.front = front  # tables of the relays' files that configure their front
        self.name = name
        self.network = f"127.{150 + os.getpid() % 50}.{Random().randrange(256)}"
        self.machines = list(machines)
        self.regions = {name: [self.session_address(machine) for machine in machines]}
        (folder / "fleet.key").write_bytes(KEY)

    def session_address(self, machine: str) -> str:
        return f"{self.network}.{machine[1:]}:{SESSION_PORT}"

    def group_address(self, machine: str) -> str:
        return f"{self.network}.{machine[1:]}:{GROUP_PORT}"

    def write_machine_file(self, name: str, /, **control: Any) -> Path:
        """Write a control machine's file; `control` overrides entries of its table `[control]`."""
        data = {
            "log": "json",
            "control": {
                "name": name,
                "region": self.name,
                "listen": self.session_address(name),
                "console": "127.0.0.1:0",
                "key": "fleet.key",
                "group": {
                    "listen": self.group_address(name),
                    "founders": self.machines,
                    "state": f"{name}.state",
                    "seeds": [self.group_address(other) for other in self.machines if other != name],
                },
                "regions": self.regions,
                **control,
            },
        }
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(data))
        return path

    def write_relay_file(self, name: str, /, **fleet: Any) -> Path:
        """Write a relay's file; `fleet` overrides entries of its table `[fleet]`."""
        data = {
            "name": name,
            "listen": "127.0.0.1:0",
            "console": "127.0.0.1:0",
            "log": "json",
            "classes": [{"name": "checkin", "aim_ms": 300, "deadline_ms": 1200, "message_aim_ms": 250}],
            "fleet": {
                "region": self.name,
                "control": [self.session_address(machine) for machine in self.machines],
                "key": "fleet.key",
                "wait": 0.5,
                **fleet,
            },
            **self.front,
        }
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(data))
        (self.folder / name).mkdir(exist_ok=True)
        return path

    def running_relay(self, name: str) -> contextlib.AbstractAsyncContextManager[Relay]:
        return relay("--config", str(self.write_relay_file(name)), TMPDIR=str(self.folder / name))

    @contextlib.asynccontextmanager
    async def running_machine(self, name: str) -> AsyncIterator[ControlMachine]:
        """Run a control machine from when it listens, and check that it stops cleanly without a traceback."""
        path = self.write_machine_file(name)
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            *("-m", "violetdoor", "control", "--config", str(path)),
            cwd=ROOT,
            stderr=asyncio.subprocess.PIPE,
        )
        machine = ControlMachine(process)
        try:
            await wait_until(lambda: machine.logged("sessions of region") or process.returncode is not None)
            yield machine
        finally:
            status = await machine.stop()
        assert status == (-signal.SIGKILL if machine.killed else 0), machine.lines
        assert not machine.logged("Traceback"), "".join(machine.lines)


@dataclass
class ControlSite:
    """Three control machines, and three relays that are attached to them."""

    region: Region
    machines: dict[str, ControlMachine]
    relays: list[Relay]
    gate_servers: list[GateServer]

    def first_machine(self) -> tuple[str, ControlMachine]:
        return next(iter(self.machines.items()))

    async def attempts(self) -> list[int]:
        """Return the number of sessions that each relay has requested."""
        return [(await fleet_status(relay))["attempt"] for relay in self.relays]


@contextlib.asynccontextmanager
async def control_site(folder: Path) -> AsyncIterator[ControlSite]:
    """Run a site until the block ends."""
    async with contextlib.AsyncExitStack() as stack:
        gate_servers = [await stack.enter_async_context(GateServer()) for _ in range(2)]
        discovery = await stack.enter_async_context(Discovery(*gate_servers))
        region = Region(folder, line_front(discovery))
        starting = [stack.enter_async_context(region.running_machine(name)) for name in region.machines]
        attaching = [
            stack.enter_async_context(region.running_relay(f"r{number}")) for number in range(RELAY_COUNT)
        ]
        machines, relays = await asyncio.gather(asyncio.gather(*starting), asyncio.gather(*attaching))
        for relay_process in relays:
            await wait_for_lease(relay_process, relay_count=RELAY_COUNT)
        by_name = dict(zip(region.machines, machines, strict=True))
        yield ControlSite(region, by_name, list(relays), gate_servers)


async def fleet_status(relay: Relay) -> dict[str, Any]:
    """Return the status of a relay's attachment from its console."""
    status, text = await relay.call("GET /fleet")
    assert status == HTTPStatus.OK
    return dict(orjson.loads(text))


async def control_status(machine: ControlMachine) -> dict[str, Any]:
    """Return the status of a control machine from its console."""
    status, text = await machine.call("GET /control")
    assert status == HTTPStatus.OK
    return dict(orjson.loads(text))


async def wait_for_lease(relay: Relay, relay_count: int) -> dict[str, Any]:
    """Wait until a relay holds a lease and counts `relay_count` live relays; return its status then."""
    status: dict[str, Any] = {}

    async def has_lease() -> bool:
        status.update(await fleet_status(relay))
        return bool(status["may_act"] and status["living"]["total"] == relay_count)

    await eventually(has_lease)
    return status


async def wait_until_attached_elsewhere(relay: Relay, machine: str) -> None:
    """Wait until a relay is attached to another control machine than `machine`."""

    async def is_elsewhere() -> bool:
        status = await fleet_status(relay)
        return bool(status["state"] == "attached" and status["control"] != machine)

    await eventually(is_elsewhere)


async def wait_for_leader(site: ControlSite) -> str:
    """Wait until one of the control machines is the leader, and return its name."""
    leaders: list[str] = []

    async def has_leader() -> bool:
        for name, machine in site.machines.items():
            if (await control_status(machine))["leads"]:
                leaders.append(name)
                return True
        return False

    await eventually(has_leader)
    return leaders[0]


def kill(process: Relay) -> None:
    """Kill a process; at the end of the test it is expected to have died by SIGKILL."""
    process.killed = True
    process.process.kill()
