"""Ids of connections that come again: after their client has left, and at both processes of an upgrade."""

from __future__ import annotations

from pathlib import Path

from standins import Discovery, GateServer, run, wait_until
from test_handover import OPEN_VALUES, successor_process
from test_line import opening_line, read_counter, read_line, relay_with_servers, start_relay


def test_id_of_a_client_that_left_early_does_not_run_again(tmp_path: Path) -> None:
    """Guards against a second run of a request whose client left before its server answered."""

    async def test() -> None:
        server = GateServer(first_answer=b"")
        async with relay_with_servers(tmp_path, server) as (it, _):
            line = opening_line(OPEN_VALUES)
            _, writer = await it.open()
            writer.write(line)
            await wait_until(lambda: server.opened)
            writer.close()
            await wait_until(lambda: server.ended)
            server.first_answer = b"UP r1\r\n"
            again, again_writer = await it.open()
            again_writer.write(line)
            assert await read_line(again) == b"ERR\r\n"
            assert len(server.opened) == 1

    run(test)


def test_id_runs_once_at_both_processes_of_an_upgrade(tmp_path: Path) -> None:
    """Guards against a second run where the id comes to the process that did not run it first."""

    async def test() -> None:
        async with (
            GateServer() as server, Discovery(server) as discovery,
            start_relay(tmp_path, discovery, TMPDIR=str(tmp_path)) as old,
        ):  # fmt: skip
            waiting = [await old.open() for _ in range(2)]
            while await read_counter(old, "accepted") < 2:
                pass
            async with successor_process(tmp_path) as new:
                await new.wait_for_health()
                await old.wait_for_health(False)
                lines = [opening_line(OPEN_VALUES) for _ in range(2)]
                # First at the old process, then at the new one.
                waiting[0][1].write(lines[0])
                assert await read_line(waiting[0][0]) == b"UP r1\r\n"
                await new.read_metrics()  # the new process has read what the old one sent before
                again, again_writer = await new.open()
                again_writer.write(lines[0])
                assert await read_line(again) == b"ERR\r\n"
                # First at the new process, then at the old one.
                first, first_writer = await new.open()
                first_writer.write(lines[1])
                assert await read_line(first) == b"UP r1\r\n"
                await old.read_metrics()  # the old process has read what the new one sent before
                waiting[1][1].write(lines[1])
                assert await read_line(waiting[1][0]) == b"ERR\r\n"
                assert len(server.opened) == 2

    run(test)
