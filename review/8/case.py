"""Standing connections come to relays whose remembered list is older than their gate server.

Three relays start with a list in `known` that lacks one of six gate servers; discovery has it. Right after a
relay's PONG, clients with `at=ID` come: connections that were open before the run. Each has to be up within
40 s.
"""

from __future__ import annotations

import asyncio
import contextlib
import secrets
import time
from pathlib import Path

from peers_line import (
    HAS_TROUBLE,
    CannotRunError,
    Discovery,
    Gate,
    Record,
    Relay,
    RelaySite,
    address,
    opening,
    play,
    temporary_folder,
)

RELAYS = 3
GATES = 6
WATCHED_SECONDS = 3.0  # to see when discovery is asked
LOST_AFTER_SECONDS = 40.0
TIME_LEFT_MS = 40_000


async def connect_when_ready(site: RelaySite) -> None:
    """Do as the front: ask for PONG until it comes."""
    until = time.monotonic() + 30
    while time.monotonic() < until:
        with contextlib.suppress(OSError):
            reader, writer = await asyncio.open_connection(*address(site.listen))
            writer.write(b"PING\r\n")
            answer = await reader.readline()
            writer.close()
            if answer == b"PONG\r\n":
                return
        await asyncio.sleep(0.02)
    message = "the relay answers no PING"
    raise CannotRunError(message)


async def is_up(site: RelaySite, gate: Gate, record: Record) -> bool:
    """Send the line of a standing connection; return whether UP comes in time."""
    reader, writer = await asyncio.open_connection(*address(site.listen))
    identity = secrets.token_hex(8)
    line = opening("booking", TIME_LEFT_MS, identity, f",at={gate.name}")
    record.write(f"client sends {line.decode().strip()}")
    writer.write(line)
    try:
        answer = await asyncio.wait_for(reader.readline(), LOST_AFTER_SECONDS)
    except (OSError, TimeoutError) as error:
        answer = type(error).__name__.encode()
    record.write(f"{identity} at {gate.name} is answered {answer!r}")
    if answer != f"UP {gate.name}-{identity}\r\n".encode():
        writer.close()
        return False
    writer.write(b"hello\r\n")
    line = await asyncio.wait_for(reader.readline(), 7)
    record.write(f"{identity} is echoed {line!r}")
    writer.close()
    return line == b"re hello\r\n"


async def play_relay(number: int, folder: Path, gates: list[Gate], record: Record) -> bool:
    """Start one relay; return whether all of its standing connections were up."""
    discovery = Discovery(gates, record, f"discovery of n{number}")
    await discovery.start()
    known = discovery.listed(gates[:-1] if HAS_TROUBLE else gates)
    discovery.version += 1  # the remembered list is one version old
    site = RelaySite(f"n{number}", folder, discovery, known)
    site.write(RELAYS)
    relay = Relay(site, record, f"n{number}")
    await relay.start()
    try:
        await connect_when_ready(site)
        results = await asyncio.gather(*(is_up(site, gate, record) for gate in gates))
        await asyncio.sleep(WATCHED_SECONDS)
        record.write(f"discovery of n{number} answered {discovery.answers} calls by now")
    finally:
        await relay.stop()
    return all(results)


async def case(record: Record) -> bool:
    """Play the case; return whether the rule held."""
    async with temporary_folder() as folder:
        gates = [Gate(f"s-{number}", record) for number in range(GATES)]
        for gate in gates:
            await gate.start()
        relays = (play_relay(number, folder, gates, record) for number in range(RELAYS))
        return all(await asyncio.gather(*relays))


def main() -> None:
    """Play the case; exit with 0, 1 or 2."""
    play(case, Path(__file__).resolve().parent)


if __name__ == "__main__":
    main()
