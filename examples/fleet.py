"""A fleet of three relays on this machine, with two gate servers behind them: `make fleet`.

Prints the fleet events of the relays as they happen. Type `kill 2` to kill a relay, `start 2` to start it
again, `members` to see the members that the first running relay lists. All stop at the end of the input.
"""

import asyncio
import contextlib
import json
import os
import signal
import sys
import tempfile
from pathlib import Path

from violetdoor.faults.actors import GateServer

RELAY_NAMES = {"1": "relay-1", "2": "relay-2", "3": "relay-3"}
FLEET_PORT, CLIENT_PORT, CONSOLE_PORT = 7946, 8081, 8082  # at 127.0.0.1 to 127.0.0.3


class Fleet:
    """The running relays."""

    def __init__(self, directory: Path, server_addresses: list[str]) -> None:
        self.directory, self.server_addresses = directory, server_addresses
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        self.read_tasks: set[asyncio.Task[None]] = set()
        (directory / "fleet.key").write_text(os.urandom(32).hex())

    def write_config(self, number: str) -> Path:
        """Write a relay's configuration, like deploy/fleet.toml but in JSON; return its path."""
        host = f"127.0.0.{number}"
        path = self.directory / f"{RELAY_NAMES[number]}.json"
        path.write_text(json.dumps({
            "name": RELAY_NAMES[number], "front": "line", "log": "json", "line": {"tenants": ["qurum-fit"]},
            "listen": f"{host}:{CLIENT_PORT}", "console": f"{host}:{CONSOLE_PORT}",
            "classes": [{"name": "checkin", "aim_ms": 300, "deadline_ms": 1200, "message_aim_ms": 250}],
            "servers": [{"addr": address} for address in self.server_addresses],
            "fleet": {
                "listen": f"{host}:{FLEET_PORT}", "key": "fleet.key", "founders": list(RELAY_NAMES.values()),
                "seeds": [f"127.0.0.{n}:{FLEET_PORT}" for n in RELAY_NAMES if n != number],
                "state": f"{RELAY_NAMES[number]}.state",
            },
        }))  # fmt: skip
        return path

    async def start(self, number: str) -> None:
        """Start a relay, and print its fleet events."""
        temporary_directory = self.directory / number
        temporary_directory.mkdir(exist_ok=True)
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "violetdoor", "--config", str(self.write_config(number)),
            env=os.environ | {"TMPDIR": str(temporary_directory)}, stderr=asyncio.subprocess.PIPE,
        )  # fmt: skip
        self.processes[number] = process
        task = asyncio.create_task(self.print_events(number, process))
        self.read_tasks.add(task)
        task.add_done_callback(self.read_tasks.discard)

    async def print_events(self, number: str, process: asyncio.subprocess.Process) -> None:
        """Print the fleet events in a relay's log."""
        assert process.stderr is not None
        while line := await process.stderr.readline():
            with contextlib.suppress(ValueError):
                event = json.loads(line)
                if str(event["event"]).startswith("fleet."):
                    details = {k: event[k] for k in ("view", "members", "why") if k in event}
                    print(f"{RELAY_NAMES[number]}: {event['event']} {details or ''}", flush=True)

    async def stop(self) -> None:
        """Stop all relays."""
        for process in self.processes.values():
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(signal.SIGTERM)
        await asyncio.gather(*(process.wait() for process in self.processes.values()))


async def main() -> None:
    """Start the servers and the fleet; run commands until the input ends."""
    gate_servers = [GateServer(f"gate-{n}", "127.0.0.1", lambda *_, **__: None) for n in (1, 2)]
    for gate_server in gate_servers:
        await gate_server.start()
    with tempfile.TemporaryDirectory() as directory:
        fleet = Fleet(Path(directory), ["{}:{}".format(*gate_server.address) for gate_server in gate_servers])
        for number in RELAY_NAMES:
            await fleet.start(number)
        print("commands: kill N, start N, members; clients connect to 127.0.0.1:8081", flush=True)
        while line := await asyncio.to_thread(sys.stdin.readline):
            command, _, number = line.strip().partition(" ")
            if command == "members" and fleet.processes:
                console_address = f"127.0.0.{min(fleet.processes)}:{CONSOLE_PORT}"
                args = ("-m", "violetdoor", "fleet", "members", "--console", console_address)
                await (await asyncio.create_subprocess_exec(sys.executable, *args)).wait()
            elif command == "kill" and number in fleet.processes:
                fleet.processes.pop(number).kill()
            elif command == "start" and number in RELAY_NAMES and number not in fleet.processes:
                await fleet.start(number)
            else:
                print("commands: kill N, start N, members", flush=True)
        await fleet.stop()
        await asyncio.gather(*fleet.read_tasks)
    for gate_server in gate_servers:
        gate_server.kill()


asyncio.run(main())
