"""Clients that come while the list of servers is old: what it lacks is waited for, on both fronts."""

from __future__ import annotations

import signal
from pathlib import Path

from nats_peers import Client, start_nats_relay
from standins import Discovery, GateServer, NatsServer, Reader, Relay, Writer, run, wait_until
from test_handover import successor_process
from test_line import open_client, read_line, rewrite_discovery, start_relay


async def count_first_lines(it: Relay) -> int:
    """Return how many first lines the relay has read, valid or not."""
    counters = await it.counters()
    return counters.get("opens", 0) + counters.get("syntax", 0)


async def open_standing_client(it: Relay, server: GateServer) -> tuple[Reader, Writer]:
    """Send the line of a connection that was open at this server before the relay started."""
    before = await count_first_lines(it)
    client = await open_client(it, f"c=checkin,t=acme,at=s-{server.address},d=1000".encode())
    while await count_first_lines(it) == before:
        pass
    return client


def test_standing_connection_waits_until_its_server_is_listed(tmp_path: Path) -> None:
    """Guards against ERR for a connection of an earlier run whose server the remembered list lacks."""

    async def test() -> None:
        async with (
            GateServer() as listed, GateServer() as missing, Discovery(listed) as discovery,
            start_relay(tmp_path, discovery) as it,
        ):  # fmt: skip
            reader, _writer = await open_standing_client(it, missing)
            discovery.set_state(missing, "up")
            assert await read_line(reader) == b"UP r1\r\n"
            assert not listed.opened
            assert (await it.counters())["adopted"] == 1

    run(test)


def test_standing_connection_waits_for_the_list_of_a_reload(tmp_path: Path) -> None:
    """Guards against ERR for a connection whose server only the discovery of the new settings lists."""

    async def test() -> None:
        async with (
            GateServer() as listed, GateServer() as missing, Discovery(listed) as discovery,
            Discovery(listed, missing) as later, start_relay(tmp_path, discovery) as it,
        ):  # fmt: skip
            reader, _writer = await open_standing_client(it, missing)
            rewrite_discovery(tmp_path, later.address)
            it.process.send_signal(signal.SIGHUP)
            assert await read_line(reader) == b"UP r1\r\n"

    run(test)


def test_standing_connections_wait_at_both_processes_of_an_upgrade(tmp_path: Path) -> None:
    """Guards against ERR for a connection whose server the list inherited from a predecessor lacks."""

    async def test() -> None:
        async with (
            GateServer() as listed, GateServer() as missing, Discovery(listed) as discovery,
            start_relay(tmp_path, discovery, TMPDIR=str(tmp_path)) as old,
        ):  # fmt: skip
            discovery.broken = True
            first, _first_writer = await open_standing_client(old, missing)
            async with successor_process(tmp_path) as new:
                await new.wait_for_health()
                await old.wait_for_health(False)
                second, _second_writer = await open_standing_client(new, missing)
                discovery.broken = False
                discovery.set_state(missing, "up")
                assert await read_line(first) == b"UP r1\r\n"
                assert await read_line(second) == b"UP r1\r\n"

    run(test)


def test_nats_client_waits_until_a_sound_server_is_listed(tmp_path: Path) -> None:
    """Guards against an -ERR for a client that comes before discovery has told of a server."""

    async def test() -> None:
        async with NatsServer() as server, Discovery() as discovery:
            setting = f'discovery = "{discovery.address}"'
            async with start_nats_relay(tmp_path, discovery=setting) as it:
                await wait_until(lambda: discovery.calls)
                client = await Client.connect(it)
                client.send(b"SUB feed 1", b"PING")
                discovery.set_state(server, "up")
                assert await client.line() == b"PONG"

    run(test)
