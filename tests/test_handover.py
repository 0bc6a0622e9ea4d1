"""Two processes of one relay: the second takes over from the first while clients stand and come."""

from __future__ import annotations

import contextlib
import socket
from collections.abc import AsyncIterator
from pathlib import Path

from standins import Discovery, GateServer, Relay, relay, run, wait_until
from test_line import open_client, opening_line, read_counter, read_line, start_relay

HELD = b"c=checkin,t=acme,d=1000"


@contextlib.asynccontextmanager
async def successor_process(tmp_path: Path) -> AsyncIterator[Relay]:
    """A further process of the relay, whose configuration is broken by now."""
    path = tmp_path / "config.json"
    whole = path.read_text()
    path.write_text(whole[: len(whole) // 2])
    own = {"BALANCER_NAME": "n1", "BALANCER_LISTEN": "127.0.0.1:0", "BALANCER_CONSOLE": "127.0.0.1:0"}
    async with relay(BALANCER_CONFIG=str(path), TMPDIR=str(tmp_path), **own) as it:
        yield it
    path.write_text(whole)


def test_successor_takes_over_state_and_clients_while_its_predecessor_drains(tmp_path: Path) -> None:
    async def test() -> None:
        async with (
            GateServer() as out, GateServer() as server, Discovery(out, server) as discovery,
            start_relay(tmp_path, discovery, TMPDIR=str(tmp_path)) as old,
        ):  # fmt: skip
            assert (await old.call(f"PUT /gate-servers/s-{out.address}/maint"))[0] == 200
            reader, writer = await old.open()
            taken = opening_line(HELD)
            writer.write(taken)
            assert await read_line(reader) == b"UP r1\r\n"
            half, half_writer = await old.open()
            half_writer.write(b"OPEN ")
            async with successor_process(tmp_path) as new:
                await new.wait_for_health()
                assert new.address == old.address
                await old.wait_for_health(False)
                later = [await open_client(new, HELD) for _ in range(5)]
                assert [await read_line(r) for r, _ in later] == [b"UP r1\r\n"] * 5
                assert (await new.read_metrics())["active"] == 5
                assert not out.opened
                thief, thief_writer = await new.open()
                thief_writer.write(taken)
                assert await read_line(thief) == b"ERR\r\n"
                # A ban lifted at either process is lifted at both, and so is one set.
                assert (await new.call(f"PUT /gate-servers/s-{out.address}/ready"))[0] == 200
                assert (await old.call(f"PUT /gate-servers/s-{server.address}/maint"))[0] == 200
                await wait_until(lambda: new.logged("console on"))
                while (await new.read_metrics())["pool_ejected"] != 1:
                    pass
                await wait_until(lambda: server.ended == 6)  # moved at both
                assert await read_line(reader) == b"MOVE\r\n"
                # One that the old process took in has no BUSY from it, though it leaves.
                old.process.terminate()
                await wait_until(lambda: old.logged("serving -> draining"))
                half_writer.write(opening_line(HELD)[5:])
                assert await read_line(half) in (b"UP r1\r\n", b"MOVE\r\n")
                assert await old.process.wait() == 0
                reader, _ = await open_client(new, HELD)
                assert await read_line(reader) == b"UP r1\r\n"

    run(test)


def test_predecessor_accepts_again_if_its_successor_dies(tmp_path: Path) -> None:
    """Also the next one finds it, though the name where they meet led to the dead one."""

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
                reader, _ = await open_client(old, HELD)
                assert await read_line(reader) == b"UP r1\r\n"
                await old.wait_for_health()
            assert await read_counter(old, "accepted") == 2

    run(test)


def test_stale_or_unresponsive_predecessor_does_not_prevent_a_start(tmp_path: Path) -> None:
    async def test() -> None:
        async with GateServer() as server, Discovery(server) as discovery:
            place = str(tmp_path / "violetdoor-127.0.0.1:0.sock")
            for hangs in (False, True):
                meeting = socket.socket(socket.AF_UNIX)
                meeting.bind(place)
                if hangs:
                    meeting.listen()
                else:
                    meeting.close()
                async with start_relay(tmp_path, discovery, TMPDIR=str(tmp_path)) as it:
                    assert it.logged("no predecessor answers")
                    reader, _ = await open_client(it, HELD)
                    assert await read_line(reader) == b"UP r1\r\n"
                meeting.close()
                Path(place).unlink()

    run(test)
