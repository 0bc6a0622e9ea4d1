"""Three relays of a fleet on this machine, two gate servers behind them: `make fleet`.

Says each view as it comes. Type `kill 2` to end a relay at once, `start 2` to bring it back, `members` to
see what the first one that runs holds. The end of the input ends all.
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

NAMES = {"1": "relay-1", "2": "relay-2", "3": "relay-3"}
FLEET, CLIENTS, CONSOLE = 7946, 8081, 8082  # ports, at 127.0.0.1 to 127.0.0.3


class Fleet:
    """The relays that run."""

    def __init__(self, folder: Path, servers: list[str]) -> None:
        self.folder, self.servers = folder, servers
        self.running: dict[str, asyncio.subprocess.Process] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        (folder / "fleet.key").write_text(os.urandom(32).hex())

    def config(self, number: str) -> Path:
        """One relay's file: as deploy/fleet.toml, in JSON."""
        at = f"127.0.0.{number}"
        path = self.folder / f"{NAMES[number]}.json"
        path.write_text(json.dumps({
            "name": NAMES[number], "front": "line", "log": "json", "line": {"tenants": ["qurum-fit"]},
            "listen": f"{at}:{CLIENTS}", "console": f"{at}:{CONSOLE}",
            "classes": [{"name": "checkin", "aim_ms": 300, "deadline_ms": 1200, "message_aim_ms": 250}],
            "servers": [{"addr": one} for one in self.servers],
            "fleet": {
                "listen": f"{at}:{FLEET}", "key": "fleet.key", "founders": list(NAMES.values()),
                "seeds": [f"127.0.0.{n}:{FLEET}" for n in NAMES if n != number],
                "state": f"{NAMES[number]}.state",
            },
        }))  # fmt: skip
        return path

    async def start(self, number: str) -> None:
        """Start a relay and say what it tells of its fleet."""
        shared = self.folder / number
        shared.mkdir(exist_ok=True)
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "violetdoor", "--config", str(self.config(number)),
            env=os.environ | {"TMPDIR": str(shared)}, stderr=asyncio.subprocess.PIPE,
        )  # fmt: skip
        self.running[number] = process
        task = asyncio.create_task(self.read(number, process))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def read(self, number: str, process: asyncio.subprocess.Process) -> None:
        """Print a relay's events."""
        assert process.stderr is not None
        while line := await process.stderr.readline():
            with contextlib.suppress(ValueError):
                told = json.loads(line)
                if str(told["event"]).startswith("fleet."):
                    shown = {k: told[k] for k in ("view", "members", "why") if k in told}
                    print(f"{NAMES[number]}: {told['event']} {shown or ''}", flush=True)

    async def end(self) -> None:
        """End all."""
        for process in self.running.values():
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(signal.SIGTERM)
        await asyncio.gather(*(process.wait() for process in self.running.values()))


async def main() -> None:
    """Serve until the input ends."""
    gates = [GateServer(f"gate-{n}", "127.0.0.1", lambda *_, **__: None) for n in (1, 2)]
    for gate in gates:
        await gate.start()
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(Path(folder), ["{}:{}".format(*gate.address) for gate in gates])
        for number in NAMES:
            await fleet.start(number)
        print("commands: kill N, start N, members; clients connect to 127.0.0.1:8081", flush=True)
        while line := await asyncio.to_thread(sys.stdin.readline):
            word, _, number = line.strip().partition(" ")
            if word == "members" and fleet.running:
                at = f"127.0.0.{min(fleet.running)}:{CONSOLE}"
                args = ("-m", "violetdoor", "fleet", "members", "--console", at)
                await (await asyncio.create_subprocess_exec(sys.executable, *args)).wait()
            elif word == "kill" and number in fleet.running:
                fleet.running.pop(number).kill()
            elif word == "start" and number in NAMES and number not in fleet.running:
                await fleet.start(number)
            else:
                print("commands: kill N, start N, members", flush=True)
        await fleet.end()
        await asyncio.gather(*fleet.tasks)
    for gate in gates:
        gate.kill()


asyncio.run(main())
