"""A quarter of the gate servers begin to drain while relays of a large fleet are replaced.

Each played relay serves clients and is replaced as the operators' page says: `run` is started once more, says
yes, and the first process gets SIGTERM. The gate servers are put to draining right after the yes. From 2 s
after the yes the news counts as told, and 500 ms and 50 ms later nothing new may go there.
"""

from __future__ import annotations

import asyncio
import secrets
import signal
import time
from pathlib import Path

from peers_line import (
    HAS_TROUBLE,
    Discovery,
    Gate,
    Record,
    Relay,
    RelaySite,
    address,
    opening,
    play,
    temporary_folder,
    wait_until,
)

FLEET = 48  # relays, as the settings say; PLAYED of them run here, each with its own discovery address
PLAYED = 12
GATES = 12
DRAINED = 3
CLIENTS_PER_SECOND = 10.0  # at each played relay
CONNECTION_SECONDS = 0.3
TOLD_AFTER_YES_SECONDS = 2.0
GRACE_SECONDS = 0.5 + 0.05  # `drainGrace`, and what the protocol page adds to every limit
WARM_UP_SECONDS = 2.0
SIGTERM_AFTER_SECONDS = 0.3  # after the drain; the page allows 6 s from the yes
WATCHED_SECONDS = 7.0
TOLERATED = 2  # sends too late, as a process of the test may stand still by itself


class Place:
    """One relay of the fleet with its clients."""

    def __init__(self, number: int, folder: Path, gates: list[Gate], record: Record) -> None:
        """Prepare its discovery."""
        self.name = f"n{number}"
        self.folder = folder
        self.record = record
        self.discovery = Discovery(gates, record, f"discovery of {self.name}")
        self.sent: dict[str, float] = {}  # time of each OPEN, by its id
        self.processes: list[Relay] = []
        self.site: RelaySite
        self.yes_at = 0.0
        self.drained_at = 0.0
        self._clients: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Start discovery and the first process."""
        await self.discovery.start()
        self.site = RelaySite(self.name, self.folder, self.discovery, self.discovery.listed())
        self.site.write(FLEET)
        await self._start_process("first")

    async def replace(self) -> None:
        """Start the second process and wait for its yes."""
        await self._start_process("second")
        self.yes_at = await self.processes[-1].wait_until_healthy()

    async def _start_process(self, title: str) -> None:
        process = Relay(self.site, self.record, f"{self.name} {title}")
        self.processes.append(process)
        await process.start()

    async def send_clients(self) -> None:
        """Let clients come until cancelled."""
        while True:
            task = asyncio.create_task(self._run_client())
            self._clients.add(task)
            task.add_done_callback(self._clients.discard)
            await asyncio.sleep(1 / CLIENTS_PER_SECOND)

    async def _run_client(self) -> None:
        identity = secrets.token_hex(8)
        writer: asyncio.StreamWriter | None = None
        try:
            reader, writer = await asyncio.open_connection(*address(self.site.listen))
            self.sent[identity] = time.monotonic()
            self.record.write(f"{self.name}: client sends {identity}")
            writer.write(opening("checkin", 1200, identity))
            answer = await asyncio.wait_for(reader.readline(), 3)
            self.record.write(f"{self.name}: {identity} is answered {answer.decode().strip()}")
            if answer.startswith(b"UP"):
                await asyncio.sleep(CONNECTION_SECONDS)
        except (OSError, TimeoutError) as error:
            self.record.write(f"{self.name}: {identity}: {type(error).__name__}")
        finally:
            if writer is not None:
                writer.close()

    def late_sends(self, drained: list[Gate]) -> list[float]:
        """Return by how many s sends to draining servers, of an OPEN after the limit, came too late."""
        limit = max(self.drained_at, self.yes_at + TOLD_AFTER_YES_SECONDS) + GRACE_SECONDS
        return [
            arrived_at - limit
            for gate in drained
            for arrived_at, identity in gate.opened
            if self.sent.get(identity, 0.0) > limit and arrived_at > limit
        ]


async def replace_and_drain(places: list[Place], drained: list[Gate]) -> None:
    """Replace all relays, and put the gate servers to draining when the new processes have said yes."""
    if HAS_TROUBLE:
        await asyncio.gather(*(place.replace() for place in places))
    for place in places:
        for gate in drained:
            place.drained_at = place.discovery.drain(gate)
        if not HAS_TROUBLE:  # the same news at the same time, and no second process
            place.yes_at = place.drained_at
    await asyncio.sleep(SIGTERM_AFTER_SECONDS)
    if HAS_TROUBLE:
        for place in places:
            place.processes[0].send(signal.SIGTERM)


async def case(record: Record) -> bool:
    """Play the case; return whether the rule held."""
    async with temporary_folder() as folder:
        gates = [Gate(f"s-{number}", record) for number in range(GATES)]
        drained = gates[:DRAINED]
        for gate in gates:
            await gate.start()
        places = [Place(number, folder, gates, record) for number in range(PLAYED)]
        clients: list[asyncio.Task[None]] = []

        async def all_watch() -> bool:
            return all(place.discovery.watches for place in places)

        try:
            for place in places:
                await place.start()
            for place in places:
                await place.processes[0].wait_until_healthy()
            await wait_until(all_watch, "a relay does not watch its discovery", 20)
            clients = [asyncio.create_task(place.send_clients()) for place in places]
            await asyncio.sleep(WARM_UP_SECONDS)
            await replace_and_drain(places, drained)
            await asyncio.sleep(WATCHED_SECONDS)
        finally:
            for task in clients:
                task.cancel()
            await asyncio.gather(*(process.stop() for place in places for process in place.processes))
        late = {place.name: place.late_sends(drained) for place in places}
        for name, seconds in late.items():
            record.write(f"{name}: {len(seconds)} too late, by {max(seconds, default=0.0):.3f} s at most")
        return sum(map(len, late.values())) <= TOLERATED


def main() -> None:
    """Play the case; exit with 0, 1 or 2."""
    play(case, Path(__file__).resolve().parent)


if __name__ == "__main__":
    main()
