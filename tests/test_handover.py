"""The handover between two processes of one relay, with established and arriving clients."""

from __future__ import annotations

import contextlib
import socket
from collections.abc import AsyncIterator
from pathlib import Path

from standins import Discovery, GateServer, Relay, relay, run, wait_until
from test_line import open_client, opening_line, read_counter, read_line, start_relay

OPEN_VALUES = b"c=checkin,t=acme,d=1000"


@contextlib.asynccontextmanager
async def successor_process(tmp_path: Path) -> AsyncIterator[Relay]:
    """Run another process of the relay, with a truncated configuration file."""
    path = tmp_path / "config.json"
    text = path.read_text()
    path.write_text(text[: len(text) // 2])
    own = {"BALANCER_NAME": "n1", "BALANCER_LISTEN": "127.0.0.1:0", "BALANCER_CONSOLE": "127.0.0.1:0"}
    async with relay(BALANCER_CONFIG=str(path), TMPDIR=str(tmp_path), **own) as it:
        yield it
    path.write_text(text)


def test_successor_takes_over_state_and_clients_while_its_predecessor_drains(tmp_path: Path) -> None:
    async def test() -> None:
        async with (
            GateServer() as out, GateServer() as server, Discovery(out, server) as discovery,
            start_relay(tmp_path, discovery, TMPDIR=str(tmp_path)) as old,
        ):  # fmt: skip
            assert (await old.call(f"PUT /gate-servers/s-{out.address}/maint"))[0] == 200
            reader, writer = await old.open()
            used_line = opening_line(OPEN_VALUES)
            writer.write(used_line)
            assert await read_line(reader) == b"UP r1\r\n"
            incomplete, incomplete_writer = await old.open()
            incomplete_writer.write(b"OPEN ")
            async with successor_process(tmp_path) as new:
                await new.wait_for_health()
                assert new.address == old.address
                await old.wait_for_health(False)
                later = [await open_client(new, OPEN_VALUES) for _ in range(5)]
                assert [await read_line(r) for r, _ in later] == [b"UP r1\r\n"] * 5
                assert (await new.read_metrics())["active"] == 5
                assert not out.opened
                second, second_writer = await new.open()
                second_writer.write(used_line)
                assert await read_line(second) == b"ERR\r\n"
                # A ban set or lifted at either process applies to both.
                assert (await new.call(f"PUT /gate-servers/s-{out.address}/ready"))[0] == 200
                assert (await old.call(f"PUT /gate-servers/s-{server.address}/maint"))[0] == 200
                await wait_until(lambda: new.logged("console on"))
                while (await new.read_metrics())["pool_ejected"] != 1:
                    pass
                await wait_until(lambda: server.ended == 6)  # clients of both processes were migrated
                assert await read_line(reader) == b"MOVE\r\n"
                # A client that the old process accepted gets no BUSY from it during its shutdown.
                old.process.terminate()
                await wait_until(lambda: old.logged("serving -> draining"))
                incomplete_writer.write(opening_line(OPEN_VALUES)[5:])
                assert await read_line(incomplete) in (b"UP r1\r\n", b"MOVE\r\n")
                assert await old.process.wait() == 0
                reader, _ = await open_client(new, OPEN_VALUES)
                assert await read_line(reader) == b"UP r1\r\n"

    run(test)


def test_predecessor_accepts_again_if_its_successor_dies(tmp_path: Path) -> None:
    """Guards against a relay without an accepting process, and a socket path that leads to the dead one."""

    async def test() -> None:
        async with (
            GateServer() as server, Discovery(server) as discovery,
            start_relay(tmp_path, discovery, TMPDIR=str(tmp_path)) as old,
        ):  # fmt: skip
            for times in (1, 2):
                async with successor_process(tmp_path) as new:
                    await new.wait_for_health()
                    new.killed = True
                    new.process.kill()
                    await new.process.wait()
                await wait_until(lambda: old.logged("this process accepts again") == times)  # noqa: B023
                reader, _ = await open_client(old, OPEN_VALUES)
                assert await read_line(reader) == b"UP r1\r\n"
                await old.wait_for_health()
            assert await read_counter(old, "accepted") == 2

    run(test)


def test_stale_or_unresponsive_predecessor_does_not_prevent_a_start(tmp_path: Path) -> None:
    async def test() -> None:
        async with GateServer() as server, Discovery(server) as discovery:
            socket_path = str(tmp_path / "violetdoor-127.0.0.1:0.sock")
            for is_hanging in (False, True):
                listener = socket.socket(socket.AF_UNIX)
                listener.bind(socket_path)
                if is_hanging:
                    listener.listen()
                else:
                    listener.close()
                async with start_relay(tmp_path, discovery, TMPDIR=str(tmp_path)) as it:
                    assert it.logged("no predecessor answers")
                    reader, _ = await open_client(it, OPEN_VALUES)
                    assert await read_line(reader) == b"UP r1\r\n"
                listener.close()
                Path(socket_path).unlink()

    run(test)
