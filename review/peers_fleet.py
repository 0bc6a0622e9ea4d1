"""Relays of a small fleet with a view, started with operators' files, and what their consoles say of keys."""

from __future__ import annotations

import asyncio
import os
import secrets
import signal
import time
from dataclasses import dataclass
from pathlib import Path

from peers_line import HOST_DIGITS, RELAY_HOST, Gate, Record, Relay, address, free_port

KEY_BYTES = 32
ASK_SECONDS = 5.0
YES = b"200"

SITE = """
front = "line"
name = "{name}"
zone = "a"
listen = "{listen}"
console = "{console}"

[fleet]
listen = "{fleet}"
key = "fleet.key"
seeds = {seeds}
founders = {founders}
state = "{name}.state"
wait = 2.0

[line]
tenants = ["club-one"]

[[classes]]
name = "checkin"
worth = 1.0
aim_ms = 300
deadline_ms = 1200
message_aim_ms = 250
"""

SERVER = """
[[servers]]
id = "{name}"
addr = "{address}"
"""


class FleetProcess(Relay):
    """One process of a relay of the fleet."""

    def __init__(self, place: FleetPlace, title: str) -> None:
        """Write the process's file: that of the relay, with a console of its own."""
        self.place = place
        self.record = place.record
        self.title = title
        self.folder = place.folder
        self.console = f"{place.host}:{free_port(place.host)}"
        file = place.folder / f"{title}.toml"
        file.write_text(place.text(self.console))
        self.arguments = f" --config {file}"
        self.environment = {"TMPDIR": str(place.temporary)}
        self.process = None

    @property
    def is_running(self) -> bool:
        """Whether the process runs."""
        return self.process is not None and self.process.returncode is None

    async def owns(self, key: str) -> Answer | None:
        """Ask whether the key is this relay's alone; return the answer if it is yes."""
        asked_at = time.monotonic()
        try:
            async with asyncio.timeout(ASK_SECONDS):
                reader, writer = await asyncio.open_connection(*address(self.console))
                try:
                    writer.write(f"GET /fleet/owns/{key} HTTP/1.1\r\nHost: relay\r\n\r\n".encode())
                    words = (await reader.readline()).split()
                finally:
                    writer.close()
        except (OSError, TimeoutError):
            return None
        if len(words) < 2 or words[1] != YES:  # noqa: PLR2004 - the status is the second word
            return None
        return Answer(key, self.place.name, self.title, asked_at, time.monotonic())


@dataclass(frozen=True)
class Answer:
    """A yes: at some moment between the two times the process held the key as its alone."""

    key: str
    relay: str
    process: str
    asked_at: float
    answered_at: float


class FleetPlace:
    """One relay's place in the fleet."""

    def __init__(self, number: int, folder: Path, record: Record, gates: list[Gate]) -> None:
        """Choose its addresses; `hosts` of all places have to be known before a start."""
        self.number = number
        self.name = f"relay-{number:02}"
        self.folder = folder
        self.record = record
        self.gates = gates
        network = RELAY_HOST.rpartition(".")[0]
        self.host = f"{network}.{(os.getpid() + number) % HOST_DIGITS + 1}"
        self.listen = f"{self.host}:{free_port(self.host)}"
        self.fleet = f"{self.host}:{free_port(self.host)}"
        self.temporary = folder / self.name
        self.temporary.mkdir()
        self.others: list[FleetPlace] = []
        self.founders: list[str] = []
        self.processes: list[FleetProcess] = []

    def text(self, console: str) -> str:
        """Return the operator's file."""
        text = SITE.format(
            name=self.name,
            listen=self.listen,
            console=console,
            fleet=self.fleet,
            seeds=[place.fleet for place in self.others],
            founders=self.founders,
        )
        return text + "".join(SERVER.format(name=gate.name, address=gate.address) for gate in self.gates)

    async def start_process(self) -> FleetProcess:
        """Start one more process of this relay."""
        process = FleetProcess(self, f"{self.name}-{len(self.processes)}")
        self.processes.append(process)
        await process.start()
        return process


def write_key(folder: Path) -> None:
    """Make a fleet's folder with the key file that all its relays share."""
    folder.mkdir()
    (folder / "fleet.key").write_text(secrets.token_hex(KEY_BYTES) + "\n")


async def end(process: FleetProcess, seconds: float) -> None:
    """Wait for a process that got SIGTERM; SIGKILL after this time, as the platform does."""
    assert process.process is not None
    try:
        await asyncio.wait_for(process.process.wait(), seconds)
    except TimeoutError:
        process.send(signal.SIGKILL)
        await process.process.wait()


def contradictions(answers: list[Answer], gap_seconds: float) -> list[tuple[Answer, Answer, Answer]]:
    """Return where a process said yes, then another relay's process, then the first one again within the gap.

    The three yes follow each other without overlap, so the key was two relays' at once.
    """
    found = []
    for middle in answers:
        same_key = [one for one in answers if one.key == middle.key and one.relay != middle.relay]
        for after in same_key:
            if not middle.answered_at <= after.asked_at <= middle.answered_at + gap_seconds:
                continue
            before = [
                one
                for one in same_key
                if one.process == after.process
                and middle.asked_at - gap_seconds <= one.answered_at <= middle.asked_at
            ]
            if before:
                found.append((before[-1], middle, after))
    return found
