"""Peers that flood the relay: other connections are not affected, and all resources are released."""

from __future__ import annotations

import asyncio
import contextlib
import os
import re
from pathlib import Path

import pytest
from standins import GateServer, Reader, Writer, run, wait_until
from test_client_disconnect import SLOW_CONNECT_LIMITS, disconnect, relay_around
from test_endings import LONG_TIME_LEFT, read_to_end
from test_line import SETTINGS, open_client, opening_line, read_counter, read_line

# Servers report their load. Where they don't, a slow set-up counts as overload, and the flooded gate server, a part
# of this process, sets up slowly.
REPORTED_LOAD = {"how": "probe", "columns": ["x0"]}


@pytest.mark.parametrize("how", ["end", "reset"])
@pytest.mark.parametrize("flood", [b"x" * 200_000, b"PING\r\n" * 20_000, b"M 1\r\n" * 20_000])
def test_clients_that_flood_and_leave_release_everything(tmp_path: Path, how: str, flood: bytes) -> None:
    async def test() -> None:
        gate = GateServer()
        gate.load_report = b" x0=0.1"
        settings = {"policyLimits": SLOW_CONNECT_LIMITS | {"probes": True}, "report": REPORTED_LOAD}
        async with relay_around(tmp_path, gate, **settings) as (it, _):
            reader, writer = await open_client(it, LONG_TIME_LEFT)
            assert await read_line(reader) == b"UP r1\r\n"

            def held() -> int:
                return len(os.listdir(f"/proc/{it.process.pid}/fd"))

            before = held() + 2  # a poll of discovery and a console call may be open or not
            for _ in range(30):
                _, loud = await it.open()
                loud.write(opening_line(LONG_TIME_LEFT) * flood.startswith(b"M") + flood)
                await asyncio.sleep(0)
                disconnect(loud, how)
            writer.write(b"M 1\r\n")  # the established client is still served
            assert await read_line(reader) == b"re M 1\r\n"
            while await read_counter(it, "accepted") < 31 or held() > before:
                await asyncio.sleep(0.02)
            other, _ = await open_client(it, LONG_TIME_LEFT)
            assert await read_line(other) == b"UP r1\r\n"
            assert not await read_counter(it, "faults")

    run(test)


@pytest.mark.parametrize(("first", "result"), [(b"ERR\r\n", "error"), (b"BUSY\r\n", "full")])
def test_second_answer_of_a_server_is_ignored(tmp_path: Path, first: bytes, result: str) -> None:
    """Guards against taking a later UP for the answer; it is sent after the first answer was counted."""

    async def test() -> None:
        said = asyncio.Event()

        class Twice(GateServer):
            async def serve(self, reader: Reader, writer: Writer) -> None:
                self.opened.append(await reader.readline())
                writer.write(first)
                await said.wait()
                with contextlib.suppress(ConnectionError):
                    writer.write(b"UP r2\r\n")
                    await writer.drain()

        one = Twice()
        limits = SLOW_CONNECT_LIMITS | {"sendCap": 1}
        async with relay_around(tmp_path, one, policyLimits=limits) as (it, _):
            reader, _ = await open_client(it, LONG_TIME_LEFT)
            while not await read_counter(it, f"attempt_{result}"):
                await asyncio.sleep(0.01)
            said.set()
            assert re.fullmatch(rb"BUSY \d+\r\n", await read_to_end(reader))
            assert not await read_counter(it, "answered_up")

    run(test)


def test_server_flooding_a_stalled_client_does_not_delay_others(tmp_path: Path) -> None:
    async def test() -> None:
        class Loud(GateServer):
            async def serve(self, reader: Reader, writer: Writer) -> None:
                self.opened.append(await reader.readline())
                writer.write(b"UP r1\r\n")
                if len(self.opened) > 1:
                    while text := await reader.readline():
                        writer.write(b"re " + text)
                    return
                with contextlib.suppress(ConnectionError):
                    while True:
                        writer.write(b"M %s\r\n" % (b"x" * 1000) * 100)
                        await writer.drain()

        server = Loud()
        async with relay_around(tmp_path, server, policyLimits=SLOW_CONNECT_LIMITS) as (it, _):
            _, deaf = await open_client(it, LONG_TIME_LEFT)
            deaf.transport.pause_reading()  # type: ignore[attr-defined]
            await wait_until(lambda: server.opened)
            reader, writer = await open_client(it, LONG_TIME_LEFT)
            assert await read_line(reader) == b"UP r1\r\n"
            for n in range(20):
                writer.write(b"M %d\r\n" % n)
                assert await read_line(reader) == b"re M %d\r\n" % n
            it.process.terminate()  # the stalled client's write lock is held: no wait for its MOVE
            began = asyncio.get_running_loop().time()
            assert await read_to_end(reader) == b"MOVE\r\n"
            assert await it.process.wait() == 0
            kill = SETTINGS["classes"][0]["hardLimit"] / 1000 + 0.7
            assert asyncio.get_running_loop().time() - began < kill

    run(test)
