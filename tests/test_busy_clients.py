"""One client that sends at full speed: other clients are answered in time, and memory is bounded."""

from __future__ import annotations

import asyncio
import re
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest
from nats_peers import Client, start_nats_relay
from standins import GateServer, NatsServer, Reader, Relay, Writer, run
from test_line import open_client, opening_line, read_line, relay_with_servers

FLOOD_SECONDS = 3.0
MAX_ANSWER_SECONDS = 1.0  # a line may be held back for a second at most
# The queues and buffers of one client hold 256 KiB each at most; small answers take ten times their length.
MAX_MEMORY_GROWTH_MB = 8
FLOODING_CLIENT = Path(__file__).with_name("flooding_client.py")


def peak_memory_mb(it: Relay) -> float:
    status = Path(f"/proc/{it.process.pid}/status").read_text()
    found = re.search(r"VmHWM:\s+(\d+) kB", status)
    assert found
    return int(found[1]) / 1024


async def flood_beside(
    it: Relay, first: bytes, repeated: bytes, ask: Callable[[], Awaitable[None]], *, is_greeted: bool
) -> None:
    """Let a client flood while another one asks all the time; check the answers' delays and the memory."""
    loop = asyncio.get_running_loop()
    await ask()
    before = peak_memory_mb(it)
    host, port = it.address
    arguments = (host, str(port), str(FLOOD_SECONDS), str(int(is_greeted)), first.hex(), repeated.hex())
    flooding = await asyncio.create_subprocess_exec(
        sys.executable, str(FLOODING_CLIENT), *arguments, stdout=asyncio.subprocess.PIPE
    )
    ending = loop.create_task(flooding.communicate())
    longest = 0.0
    while not ending.done():
        asked_at = loop.time()
        await ask()
        longest = max(longest, loop.time() - asked_at)
    sent, _ = (int(word) for word in (await ending)[0].split())
    assert sent > 100_000, "the flood was none"
    print(f"longest {longest:.3f} s")
    assert longest < MAX_ANSWER_SECONDS
    assert peak_memory_mb(it) - before < MAX_MEMORY_GROWTH_MB


@pytest.mark.parametrize("is_verbose", [b"false", b"true"])
@pytest.mark.parametrize(
    "repeated",
    [b"PUB a..b 0\r\n\r\n", b"SUB a..b 1\r\n", b"SUB feed 2\r\nUNSUB 2\r\n", b"PING\r\n", b"PUB nowhere 0\r\n\r\n"],
    ids=["invalid-publication", "invalid-subscription", "subscription", "ping", "publication"],
)  # fmt: skip
def test_nats_client_at_full_speed_takes_nothing_from_others(
    tmp_path: Path, repeated: bytes, is_verbose: bytes
) -> None:
    """Guards against answers that are queued without end for a client that sends faster than they go out."""

    async def test() -> None:
        async with NatsServer() as server, start_nats_relay(tmp_path, server) as it:
            client = await Client.connect(it)

            async def ask() -> None:
                assert await client.flush() == []

            first = b'CONNECT {"verbose":%b}\r\n' % is_verbose
            await flood_beside(it, first, repeated, ask, is_greeted=True)

    run(test)


async def publish_until_closed(client: Client) -> None:
    while True:
        client.send(*[b"PUB a..b 0", b""] * 1000)
        await client.writer.drain()


def test_nats_client_that_reads_no_answer_is_a_slow_consumer(tmp_path: Path) -> None:
    """Guards against a client that keeps the memory of its unread answers."""

    async def test() -> None:
        async with (
            NatsServer() as server,
            start_nats_relay(tmp_path, server, options="write_deadline = 0.5") as it,
        ):
            client = await Client.connect(it)
            await client.flush()
            client.writer.transport.pause_reading()  # type: ignore[attr-defined]
            before = peak_memory_mb(it)
            with pytest.raises(ConnectionError):
                await publish_until_closed(client)
            assert peak_memory_mb(it) - before < MAX_MEMORY_GROWTH_MB
            assert (await it.counters())["nats_errors"] == 1

    run(test)


class SinkGateServer(GateServer):
    """Echoes single lines only, so that the flood does not keep this process busy."""

    async def serve(self, reader: Reader, writer: Writer) -> None:
        await reader.readline()
        writer.write(self.first_answer)
        while lines := await reader.read(65_536):
            if lines == b"M 1\r\n":
                writer.write(b"re " + lines)


@pytest.mark.parametrize("is_established", [False, True])
def test_line_client_at_full_speed_takes_nothing_from_others(tmp_path: Path, is_established: bool) -> None:
    """Guards against a client whose lines are read for as long as there are any, before all others' lines."""

    async def test() -> None:
        async with relay_with_servers(tmp_path, SinkGateServer()) as (it, _):
            reader, writer = await open_client(it)
            assert await read_line(reader) == b"UP r1\r\n"

            async def ask() -> None:
                writer.write(b"M 1\r\n")
                assert await read_line(reader) == b"re M 1\r\n"

            first = opening_line(b"c=checkin,t=acme,d=1000,g=5c0f") if is_established else b"PING\r\n"
            await flood_beside(it, first, b"PING\r\n", ask, is_greeted=False)

    run(test)
