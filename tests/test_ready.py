"""A restarted relay answers PING with PONG soon, whatever the state of discovery and of its predecessor."""

from __future__ import annotations

import contextlib
import socket
import time
from collections.abc import Iterator
from pathlib import Path

import pytest
from standins import Discovery, GateServer, Reader, Writer, run
from test_line import read_line, start_relay

READY_TIMEOUT_SECONDS = 5.0  # half of the time that 9 in 10 restarted relays may take


class UnresponsiveDiscovery(Discovery):
    """Accepts calls and responds to none."""

    async def serve(self, reader: Reader, writer: Writer) -> None:
        await reader.read(-1)


class RefusingDiscovery(Discovery):
    """Has an address but no longer listens, so that calls are refused."""

    async def __aenter__(self) -> RefusingDiscovery:
        await super().__aenter__()
        self.server.close()
        await self.server.wait_closed()
        return self


@contextlib.contextmanager
def hung_predecessor(directory: Path) -> Iterator[None]:
    """Simulate a predecessor that accepts its successor's connection and sends nothing."""
    with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as handover_socket:
        handover_socket.bind(str(directory / "violetdoor-127.0.0.1:0.sock"))
        handover_socket.listen(2)
        yield


@pytest.mark.parametrize("predecessor", ["none", "hung"])
@pytest.mark.parametrize("discovery", [Discovery, UnresponsiveDiscovery, RefusingDiscovery])
def test_relay_is_ready_whatever_discovery_and_its_predecessor_do(
    tmp_path: Path, discovery: type[Discovery], predecessor: str
) -> None:
    async def test() -> None:
        async with GateServer() as server, discovery(server) as faulty_discovery:
            hung = hung_predecessor(tmp_path) if predecessor == "hung" else contextlib.nullcontext()
            with hung:
                started_at = time.monotonic()
                async with start_relay(tmp_path, faulty_discovery, TMPDIR=str(tmp_path)) as it:
                    reader, writer = await it.open()
                    writer.write(b"PING\r\n")
                    assert await read_line(reader) == b"PONG\r\n"
                    assert time.monotonic() - started_at < READY_TIMEOUT_SECONDS
                    writer.close()

    run(test)
