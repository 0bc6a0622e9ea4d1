"""Hundreds of clients with large, slow or incomplete requests: the process stays under its memory limit."""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest
from nats_peers import Client, start_nats_relay
from standins import NatsServer, Relay, run
from test_busy_clients import SinkGateServer, peak_memory_mb
from test_line import open_client, read_line, relay_with_servers

CLIENTS = 450  # what 1,024 descriptors are enough for, on either front
SECONDS = 4.0
MAX_MEMORY_MB = 192  # of a platform's relay
MAX_PAYLOAD = 65_536
ALL_AT_ONCE = 1 << 20
SLOW_CLIENTS = Path(__file__).with_name("slow_clients.py")

NATS_CONNECT = b'CONNECT {"verbose":false,"headers":true}\r\nPING\r\n'
SHORT_FIELDS = b"NATS/1.0\r\n" + b"a:\r\n" * 16_000 + b"\r\n"
OPENING = b"OPEN $ 7f3a9c21e0b4d655 c=checkin,t=acme,d=1000,g=5c0f"


async def endure(it: Relay, sent: bytes, size: int, ask: Callable[[], Awaitable[object]]) -> None:
    """Let the clients connect and send while another one asks; check its answers and the memory."""
    host, port = it.address
    arguments = (host, str(port), str(CLIENTS), str(SECONDS), str(size))
    pipe = asyncio.subprocess.PIPE
    slow = await asyncio.create_subprocess_exec(
        sys.executable, str(SLOW_CLIENTS), *arguments, stdin=pipe, stdout=pipe
    )
    ending = asyncio.get_running_loop().create_task(slow.communicate(sent))
    while not ending.done():
        await ask()
    print(f"{peak_memory_mb(it):.0f} MB, {(await ending)[0].decode().strip()} clients sent all")
    assert peak_memory_mb(it) < MAX_MEMORY_MB


@pytest.mark.parametrize(
    ("sent", "size"),
    [
        (b"PUB nowhere %d\r\n" % MAX_PAYLOAD + b"x" * (MAX_PAYLOAD - 1000), ALL_AT_ONCE),
        (b"HPUB nowhere %d %d\r\n%b\r\n" % (len(SHORT_FIELDS), len(SHORT_FIELDS), SHORT_FIELDS), ALL_AT_ONCE),
        (b"PUB nowhere %d\r\n" % MAX_PAYLOAD + b"x" * MAX_PAYLOAD, 100),
    ],
    ids=["half-a-request", "short-fields", "slow"],
)
def test_memory_of_nats_clients_stays_under_the_limit(tmp_path: Path, sent: bytes, size: int) -> None:
    """Guards against a relay that is killed for its memory, as each client may fill its buffers."""

    async def test() -> None:
        async with NatsServer() as server, start_nats_relay(tmp_path, server) as it:
            client = await Client.connect(it)
            await client.flush()
            await endure(it, NATS_CONNECT + sent, size, client.flush)

    run(test)


@pytest.mark.parametrize(
    ("sent", "size"),
    [
        (OPENING[:40], ALL_AT_ONCE),
        (OPENING + b"".join(b",a%d=1" % number for number in range(550)) + b"\r\n", ALL_AT_ONCE),
        (OPENING + b"\r\n" + (b"M " + b"x" * 3000 + b"\r\n") * 66, ALL_AT_ONCE),
        (OPENING + b"\r\n", 1),
    ],
    ids=["half-a-request", "short-fields", "lines-behind", "slow"],
)
def test_memory_of_line_clients_stays_under_the_limit(tmp_path: Path, sent: bytes, size: int) -> None:
    """Guards against a relay that is killed for its memory, as each client may fill its buffers."""

    async def test() -> None:
        async with relay_with_servers(tmp_path, SinkGateServer()) as (it, _):
            streams = [await open_client(it)]
            assert await read_line(streams[0][0]) == b"UP r1\r\n"

            async def ask() -> None:
                """Exchange a line; a client that is moved or rejected comes again."""
                reader, writer = streams[-1]
                writer.write(b"M 1\r\n")
                answer = await read_line(reader)
                if answer == b"MOVE\r\n" or answer.startswith(b"BUSY"):
                    writer.close()
                    streams.append(await open_client(it))
                else:
                    assert answer in (b"re M 1\r\n", b"UP r1\r\n")

            await endure(it, sent, size, ask)

    run(test)
