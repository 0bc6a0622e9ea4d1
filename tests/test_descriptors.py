"""Descriptor shortage: idle clients use up all descriptors, and server list updates must still arrive."""

from __future__ import annotations

import asyncio
import resource
from pathlib import Path

from standins import Discovery, GateServer, run, wait_until
from test_line import open_client, read_counter, read_line, start_relay

from violetdoor.net.acceptor import RESERVED_DESCRIPTORS
from violetdoor.net.server_list_watch import NOTIFICATION_BUDGET_SECONDS


def test_server_list_is_updated_though_idle_clients_hold_all_descriptors(tmp_path: Path) -> None:
    """Discovery fails meanwhile; its recovery must be noticed within the notification budget."""

    async def test() -> None:
        async with (
            GateServer() as server,
            Discovery(server) as discovery,
            start_relay(tmp_path, discovery) as it,
        ):
            await wait_until(lambda: discovery.calls >= 2)  # the complete list, then the watch
            discovery.broken = True
            discovery.set_state(server, "up")  # ends the watch; the calls after it fail
            calls = discovery.calls
            await wait_until(lambda: discovery.calls > calls)
            pid, name = it.process.pid, resource.RLIMIT_NOFILE
            before = resource.prlimit(pid, name)
            open_count = len(list(Path(f"/proc/{pid}/fd").iterdir()))
            resource.prlimit(pid, name, (open_count + 5, before[1]))
            idle = [await it.open() for _ in range(30)]
            for _, writer in idle:
                writer.write(b"PING\r\n")
            await wait_until(lambda: it.logged("accept failed"))
            failed = discovery.calls
            await wait_until(lambda: discovery.calls > failed)  # called although no other descriptor is free
            changes = await read_counter(it, "discovery_changes")
            discovery.broken = False
            discovery.set_state(server, "draining")
            returned = asyncio.get_running_loop().time()
            while await read_counter(it, "discovery_changes") == changes:
                await asyncio.sleep(0.01)
            assert asyncio.get_running_loop().time() - returned < NOTIFICATION_BUDGET_SECONDS
            assert it.logged("accept failed")
            resource.prlimit(pid, name, before)
            for _, writer in idle:
                writer.close()

    run(test)


def test_system_limit_bounds_clients_where_the_settings_allow_more(tmp_path: Path) -> None:
    async def test() -> None:
        soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        client_descriptors = 12
        try:
            resource.setrlimit(
                resource.RLIMIT_NOFILE, (RESERVED_DESCRIPTORS + client_descriptors, hard)
            )  # inherited by the relay process
            async with (
                GateServer() as server, Discovery(server) as discovery,
                start_relay(tmp_path, discovery, sockets=4096) as it,
            ):  # fmt: skip
                resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
                idle = [await it.open() for _ in range(100)]
                reader, _ = await open_client(it)
                assert await read_line(reader) == b"UP r1\r\n"
                assert not await read_counter(it, "accept_failed")
                for _, writer in idle:
                    writer.close()
        finally:
            resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))

    run(test)
