"""A region of three control machines and three relays on this machine: `make control-demo`.

Prints control plane events as they happen. Type `kill c1` to kill a control machine (`kill r1` for
a relay), `start c1` to start it again, `status` to see the state of each control machine, `members` to see
the members of the fleet that the first running relay lists. All processes stop at the end of the input.
"""

import asyncio
import contextlib
import json
import os
import signal
import sys
import tempfile
from pathlib import Path
from typing import Any

from violetdoor.faults.actors import GateServer

CONTROL_HOSTS = {"c1": "127.0.0.1", "c2": "127.0.0.2", "c3": "127.0.0.3"}
RELAY_HOSTS = {"r1": "127.0.0.1", "r2": "127.0.0.2", "r3": "127.0.0.3"}
GROUP_PORT, SESSION_PORT, CONTROL_CONSOLE_PORT = 7946, 7950, 8092  # of control machines
CLIENT_PORT, CONSOLE_PORT = 8081, 8082  # of relays
HELP = "commands: kill NAME, start NAME, status, members; names are c1 to c3 and r1 to r3"


class Region:
    """The running processes of a region."""

    def __init__(self, directory: Path, server_addresses: list[str]) -> None:
        self.directory, self.server_addresses = directory, server_addresses
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        self.read_tasks: set[asyncio.Task[None]] = set()
        (directory / "fleet.key").write_text(os.urandom(32).hex())

    def write_control_config(self, name: str) -> Path:
        """Write a control machine's configuration, like deploy/control.toml but in JSON; return its path."""
        own_host = CONTROL_HOSTS[name]
        return self.write_config(name, {
            "log": "json",
            "control": {
                "name": name, "region": "r1", "listen": f"{own_host}:{SESSION_PORT}", "key": "fleet.key",
                "console": f"{own_host}:{CONTROL_CONSOLE_PORT}",
                "group": {
                    "listen": f"{own_host}:{GROUP_PORT}", "founders": list(CONTROL_HOSTS),
                    "state": f"{name}.state",
                    "seeds": [
                        f"{host}:{GROUP_PORT}" for other, host in CONTROL_HOSTS.items() if other != name
                    ],
                },
                "regions": {"r1": [f"{host}:{SESSION_PORT}" for host in CONTROL_HOSTS.values()]},
            },
        })  # fmt: skip

    def write_relay_config(self, name: str) -> Path:
        """Write a relay's configuration, like deploy/fleet-attached.toml but in JSON; return its path."""
        own_host = RELAY_HOSTS[name]
        return self.write_config(name, {
            "name": name, "front": "line", "log": "json", "line": {"tenants": ["qurum-fit"]},
            "listen": f"{own_host}:{CLIENT_PORT}", "console": f"{own_host}:{CONSOLE_PORT}",
            "classes": [{"name": "checkin", "aim_ms": 300, "deadline_ms": 1200, "message_aim_ms": 250}],
            "servers": [{"addr": address} for address in self.server_addresses],
            "fleet": {
                "region": "r1", "key": "fleet.key",
                "control": [f"{host}:{SESSION_PORT}" for host in CONTROL_HOSTS.values()],
            },
        })  # fmt: skip

    def write_config(self, name: str, data: dict[str, Any]) -> Path:
        """Write a configuration file as JSON; return its path."""
        path = self.directory / f"{name}.json"
        path.write_text(json.dumps(data))
        return path

    async def start(self, name: str) -> None:
        """Start a control machine or relay, and print its events."""
        temporary_directory = self.directory / name
        temporary_directory.mkdir(exist_ok=True)
        if name in CONTROL_HOSTS:
            args = ["control", "--config", str(self.write_control_config(name))]
        else:
            args = ["--config", str(self.write_relay_config(name))]
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "violetdoor", *args,
            env=os.environ | {"TMPDIR": str(temporary_directory)}, stderr=asyncio.subprocess.PIPE,
        )  # fmt: skip
        self.processes[name] = process
        task = asyncio.create_task(self.print_events(name, process))
        self.read_tasks.add(task)
        task.add_done_callback(self.read_tasks.discard)

    async def print_events(self, name: str, process: asyncio.subprocess.Process) -> None:
        """Print the control plane events in a process's log."""
        assert process.stderr is not None
        while line := await process.stderr.readline():
            with contextlib.suppress(ValueError):
                event = json.loads(line)
                if str(event["event"]).startswith(("control.", "attach.")):
                    details = {k: event[k] for k in ("control", "version", "why") if k in event}
                    print(f"{name}: {event['event']} {details or ''}", flush=True)

    async def run_violetdoor(self, *args: str) -> None:
        """Run a `violetdoor` command to its end."""
        await (await asyncio.create_subprocess_exec(sys.executable, "-m", "violetdoor", *args)).wait()

    async def run_command(self, line: str) -> None:
        """Run a command typed by the user."""
        word, _, name = line.strip().partition(" ")
        if word == "status":
            for machine in sorted(self.processes.keys() & CONTROL_HOSTS.keys()):
                await self.run_violetdoor(
                    "control", "status", "--console", f"{CONTROL_HOSTS[machine]}:{CONTROL_CONSOLE_PORT}"
                )
        elif word == "members" and (relays := sorted(self.processes.keys() & RELAY_HOSTS.keys())):
            await self.run_violetdoor(
                "fleet", "members", "--console", f"{RELAY_HOSTS[relays[0]]}:{CONSOLE_PORT}"
            )
        elif word == "kill" and name in self.processes:
            self.processes.pop(name).kill()
        elif word == "start" and name in CONTROL_HOSTS | RELAY_HOSTS and name not in self.processes:
            await self.start(name)
        else:
            print(HELP, flush=True)

    async def stop(self) -> None:
        """Stop all processes: relays first, so that each can still detach from a control machine."""
        for names in (RELAY_HOSTS, CONTROL_HOSTS):
            stopping = [process for name, process in self.processes.items() if name in names]
            for process in stopping:
                with contextlib.suppress(ProcessLookupError):
                    process.send_signal(signal.SIGTERM)
            await asyncio.gather(*(process.wait() for process in stopping))
        await asyncio.gather(*self.read_tasks)


async def main() -> None:
    """Start the servers and the region; run commands until the input ends."""
    gate_servers = [GateServer(f"gate-{n}", "127.0.0.1", lambda *_, **__: None) for n in (1, 2)]
    for gate_server in gate_servers:
        await gate_server.start()
    with tempfile.TemporaryDirectory() as directory:
        region = Region(
            Path(directory), ["{}:{}".format(*gate_server.address) for gate_server in gate_servers]
        )
        for name in [*CONTROL_HOSTS, *RELAY_HOSTS]:
            await region.start(name)
        print(f"{HELP}; the first lease comes after about 8 s", flush=True)
        while line := await asyncio.to_thread(sys.stdin.readline):
            await region.run_command(line)
        await region.stop()
    for gate_server in gate_servers:
        gate_server.kill()


asyncio.run(main())
