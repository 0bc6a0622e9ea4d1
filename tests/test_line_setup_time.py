"""The set-up time of servers on the line front: the server's part of it, not the relay's."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path

import pytest
from standins import GateServer, Reader, Writer, run, wait_until
from test_line import open_client, read_counter, read_line, relay_with_servers

SLOW_SETUP_SECONDS = 0.15  # above what counts as slow, and under what counts as unresponsive
SLOW_SETUPS = 4


class HeldGateServer(GateServer):
    """Answers each first line once it is released."""

    def __init__(self) -> None:
        super().__init__()
        self.released = asyncio.Semaphore(0)
        self.waiting = 0

    async def serve(self, reader: Reader, writer: Writer) -> None:
        first = await reader.readline()
        self.waiting += 1
        await self.released.acquire()
        self.opened.append(first)
        writer.write(self.first_answer)
        while line := await reader.readline():
            writer.write(b"re " + line)


@pytest.mark.parametrize("slow", ["relay", "server"])
def test_time_that_an_answer_waits_for_the_relay_is_not_the_servers(tmp_path: Path, slow: str) -> None:
    """Guards against clients that are moved off a sound server, since the relay itself was slow to read it."""

    async def test() -> None:
        server = HeldGateServer()
        async with relay_with_servers(tmp_path, server) as (it, _):
            server.released.release()
            reader, _writer = await open_client(it)
            assert await read_line(reader) == b"UP r1\r\n"
            others = []
            for number in range(SLOW_SETUPS):
                others.append(await open_client(it))
                await wait_until(lambda: server.waiting == number + 2)  # noqa: B023
                if slow == "relay":
                    it.process.send_signal(signal.SIGSTOP)
                    server.released.release()
                await asyncio.sleep(SLOW_SETUP_SECONDS)
                if slow == "relay":
                    it.process.send_signal(signal.SIGCONT)
                else:
                    server.released.release()
                assert await read_line(others[-1][0]) in (b"UP r1\r\n", b"MOVE\r\n")
                if await read_counter(it, "moved"):
                    break
            assert bool(await read_counter(it, "moved")) == (slow == "server")

    run(test)
