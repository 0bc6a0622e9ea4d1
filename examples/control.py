"""A region of three control machines and three relays on this machine: `make control-demo`.

Says each event of the control plane as it comes. Type `kill c1` to end a control machine at once (`kill r1`
for a relay), `start c1` to bring it back, `status` to see what each control machine knows, `members` to see
the relays as one of them does. The end of the input ends all.
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

MACHINES = {"c1": "127.0.0.1", "c2": "127.0.0.2", "c3": "127.0.0.3"}
RELAYS = {"r1": "127.0.0.1", "r2": "127.0.0.2", "r3": "127.0.0.3"}
GROUP, SESSIONS, CONTROL_CONSOLE = 7946, 7950, 8092  # ports of control machines
CLIENTS, CONSOLE = 8081, 8082  # of relays
HELP = "commands: kill NAME, start NAME, status, members; names are c1 to c3 and r1 to r3"


class Region:
    """The processes that run."""

    def __init__(self, folder: Path, servers: list[str]) -> None:
        self.folder, self.servers = folder, servers
        self.running: dict[str, asyncio.subprocess.Process] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        (folder / "fleet.key").write_text(os.urandom(32).hex())

    def control_file(self, name: str) -> Path:
        """One control machine's file: as deploy/control.toml, in JSON."""
        at = MACHINES[name]
        return self.write(name, {
            "log": "json",
            "control": {
                "name": name, "region": "r1", "listen": f"{at}:{SESSIONS}", "key": "fleet.key",
                "console": f"{at}:{CONTROL_CONSOLE}",
                "group": {
                    "listen": f"{at}:{GROUP}", "founders": list(MACHINES), "state": f"{name}.state",
                    "seeds": [f"{host}:{GROUP}" for other, host in MACHINES.items() if other != name],
                },
                "regions": {"r1": [f"{host}:{SESSIONS}" for host in MACHINES.values()]},
            },
        })  # fmt: skip

    def relay_file(self, name: str) -> Path:
        """One relay's file: as deploy/fleet-attached.toml, in JSON."""
        at = RELAYS[name]
        return self.write(name, {
            "name": name, "front": "line", "log": "json", "line": {"tenants": ["qurum-fit"]},
            "listen": f"{at}:{CLIENTS}", "console": f"{at}:{CONSOLE}",
            "classes": [{"name": "checkin", "aim_ms": 300, "deadline_ms": 1200, "message_aim_ms": 250}],
            "servers": [{"addr": one} for one in self.servers],
            "fleet": {
                "region": "r1", "key": "fleet.key",
                "control": [f"{host}:{SESSIONS}" for host in MACHINES.values()],
            },
        })  # fmt: skip

    def write(self, name: str, data: dict[str, Any]) -> Path:
        """Write a file beside the others."""
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(data))
        return path

    async def start(self, name: str) -> None:
        """Start a process and say what it tells."""
        shared = self.folder / name
        shared.mkdir(exist_ok=True)
        if name in MACHINES:
            args = ["control", "--config", str(self.control_file(name))]
        else:
            args = ["--config", str(self.relay_file(name))]
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "violetdoor", *args,
            env=os.environ | {"TMPDIR": str(shared)}, stderr=asyncio.subprocess.PIPE,
        )  # fmt: skip
        self.running[name] = process
        task = asyncio.create_task(self.read(name, process))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def read(self, name: str, process: asyncio.subprocess.Process) -> None:
        """Print a process's events of the control plane."""
        assert process.stderr is not None
        while line := await process.stderr.readline():
            with contextlib.suppress(ValueError):
                told = json.loads(line)
                if str(told["event"]).startswith(("control.", "attach.")):
                    shown = {k: told[k] for k in ("control", "version", "why") if k in told}
                    print(f"{name}: {told['event']} {shown or ''}", flush=True)

    async def command(self, *args: str) -> None:
        """Run one of the program's commands."""
        await (await asyncio.create_subprocess_exec(sys.executable, "-m", "violetdoor", *args)).wait()

    async def carry_out(self, line: str) -> None:
        """Do what was typed."""
        word, _, name = line.strip().partition(" ")
        if word == "status":
            for machine in sorted(self.running.keys() & MACHINES.keys()):
                await self.command("control", "status", "--console", f"{MACHINES[machine]}:{CONTROL_CONSOLE}")
        elif word == "members" and (relays := sorted(self.running.keys() & RELAYS.keys())):
            await self.command("fleet", "members", "--console", f"{RELAYS[relays[0]]}:{CONSOLE}")
        elif word == "kill" and name in self.running:
            self.running.pop(name).kill()
        elif word == "start" and name in MACHINES | RELAYS and name not in self.running:
            await self.start(name)
        else:
            print(HELP, flush=True)

    async def end(self) -> None:
        """End all: relays first, that each has a control machine to say farewell to."""
        for names in (RELAYS, MACHINES):
            ending = [process for name, process in self.running.items() if name in names]
            for process in ending:
                with contextlib.suppress(ProcessLookupError):
                    process.send_signal(signal.SIGTERM)
            await asyncio.gather(*(process.wait() for process in ending))
        await asyncio.gather(*self.tasks)


async def main() -> None:
    """Serve until the input ends."""
    gates = [GateServer(f"gate-{n}", "127.0.0.1", lambda *_, **__: None) for n in (1, 2)]
    for gate in gates:
        await gate.start()
    with tempfile.TemporaryDirectory() as folder:
        region = Region(Path(folder), ["{}:{}".format(*gate.address) for gate in gates])
        for name in [*MACHINES, *RELAYS]:
            await region.start(name)
        print(f"{HELP}; the first lease comes after about 8 s", flush=True)
        while line := await asyncio.to_thread(sys.stdin.readline):
            await region.carry_out(line)
        await region.end()
    for gate in gates:
        gate.kill()


asyncio.run(main())
