"""Relays of a fleet as processes: shared bans and drains, operator commands, and invalid packets."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import socket
import subprocess
import sys
import tomllib
from collections.abc import AsyncIterator
from pathlib import Path
from random import Random
from typing import Any

import orjson
import pytest
from nats_peers import Client
from standins import ROOT, Discovery, GateServer, NatsServer, Relay, relay, run
from test_line import opening_line, read_line

from violetdoor import events
from violetdoor.fleet import messages as m
from violetdoor.fleet.authentication import MessageAuthenticator

FIRST_LINE_FIELDS = b"c=checkin,t=acme,d=1000"
KEY = b"0123456789abcdef0123456789abcdef"


class Site:
    """Addresses and configuration files of the relays in one test."""

    def __init__(self, folder: Path, count: int, **front: Any) -> None:
        self.folder, self.front = folder, front
        self.network = f"127.{200 + os.getpid() % 50}.{Random().randrange(256)}"  # used by this test only
        self.names = [f"r{n}" for n in range(count)]
        (folder / "fleet.key").write_bytes(KEY)

    def fleet_address(self, name: str) -> str:
        return f"{self.network}.{int(name[1:]) + 1}:7946"

    def config(self, name: str, **fleet: Any) -> Path:
        data = {
            "name": name, "listen": "127.0.0.1:0", "console": "127.0.0.1:0", "log": "json",
            "classes": [{"name": "checkin", "aim_ms": 300, "deadline_ms": 1200, "message_aim_ms": 250}],
            "fleet": {
                "listen": self.fleet_address(name), "key": "fleet.key", "founders": self.names[:3], "wait": 8.0,
                "seeds": [self.fleet_address(n) for n in self.names if n != name], "state": f"{name}.state", **fleet,
            },
            **self.front,
        }  # fmt: skip
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(data))
        (self.folder / name).mkdir(exist_ok=True)
        return path

    def relay(self, name: str, **fleet: Any) -> contextlib.AbstractAsyncContextManager[Relay]:
        return relay("--config", str(self.config(name, **fleet)), TMPDIR=str(self.folder / name))


def line_front(discovery: Discovery) -> dict[str, Any]:
    return {"front": "line", "discovery": discovery.address, "line": {"tenants": ["acme"]}}


def nats_front(*servers: NatsServer) -> dict[str, Any]:
    tenants = [{"name": "acme", "class": "checkin", "users": [""]}]
    return {"front": "nats", "tenants": tenants, "servers": [{"addr": s.address} for s in servers]}


@contextlib.asynccontextmanager
async def fleet_of_three(
    tmp_path: Path, **front: Any
) -> AsyncIterator[tuple[Site, list[Relay], list[GateServer]]]:
    """Run three relays in one view, with the line front and two gate servers unless `front` is given."""
    async with contextlib.AsyncExitStack() as stack:
        gates = [await stack.enter_async_context(GateServer()) for _ in range(2)]
        discovery = await stack.enter_async_context(Discovery(*gates))
        site = Site(tmp_path, 3, **(front or line_front(discovery)))
        starting = [stack.enter_async_context(site.relay(name)) for name in site.names]
        relays = list(await asyncio.gather(*starting))
        for relay_process in relays:
            await wait_for_lease(relay_process, 3)
        yield site, relays, gates


async def fleet_status(relay_process: Relay) -> dict[str, Any]:
    status, text = await relay_process.call("GET /fleet")
    assert status == 200
    return dict(orjson.loads(text))


async def wait_for_lease(relay_process: Relay, size: int) -> dict[str, Any]:
    """Wait until a relay holds a lease in a view of `size` members; return its status."""
    async with asyncio.timeout(15.0):
        status = await fleet_status(relay_process)
        while not (status["may_act"] and status["size"] == size):
            await asyncio.sleep(0.02)
            status = await fleet_status(relay_process)
    return status


def run_command_blocking(*args: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "violetdoor", *args], cwd=ROOT, capture_output=True, text=True, timeout=30
    )


async def run_command(*args: str) -> subprocess.CompletedProcess[str]:
    return await asyncio.to_thread(run_command_blocking, *args)


def test_a_ban_at_one_relay_holds_at_all_and_any_relay_lifts_it(tmp_path: Path) -> None:
    async def test() -> None:
        async with fleet_of_three(tmp_path) as (site, (first, second, _), gates):
            async with asyncio.timeout(15.0):
                while (await first.read_metrics())["pool_size"] != 2:
                    await asyncio.sleep(0.01)
            server = f"s-{gates[0].address}"
            assert (await first.call(f"PUT /gate-servers/{server}/maint"))[0] == 200
            async with asyncio.timeout(1.0):  # the ban reaches all relays within a second
                while (await second.read_metrics())["pool_ejected"] != 1:
                    await asyncio.sleep(0.01)
            # A relay that joins later knows the ban before it accepts its first client.
            site.names.append("r3")
            async with site.relay("r3") as joined_later:
                for _ in range(8):
                    reader, writer = await joined_later.open()
                    writer.write(opening_line(FIRST_LINE_FIELDS))
                    assert await read_line(reader) == b"UP r1\r\n"
                assert not gates[0].opened
                assert len(gates[1].opened) == 8
                assert (await joined_later.call(f"PUT /gate-servers/{server}/ready"))[0] == 200
                async with asyncio.timeout(1.0):
                    while (await first.read_metrics())["pool_ejected"] or (await second.read_metrics())[
                        "pool_ejected"
                    ]:
                        await asyncio.sleep(0.01)

    run(test)


def test_a_server_that_reports_draining_to_one_relay_is_draining_for_all(tmp_path: Path) -> None:
    async def test() -> None:
        peers: list[NatsServer] = []
        async with (
            NatsServer(peers) as draining_server, NatsServer(peers) as other_server,
            fleet_of_three(tmp_path, **nats_front(draining_server, other_server)) as (_, (first, second, _third), _gates),
        ):  # fmt: skip
            clients = []
            while not draining_server.connects:  # until the first relay places a client on this server
                clients.append(await Client.connect(first))
                clients[-1].send(b"PING")
                assert await clients[-1].line() == b"PONG"
            before = len(draining_server.connects)
            draining_server.send_to_all(b'INFO {"ldm":true}\r\n')
            async with asyncio.timeout(1.0):
                while not (await fleet_status(second))["shared"]:
                    await asyncio.sleep(0.01)
            for _ in range(6):
                clients.append(await Client.connect(second))
                clients[-1].send(b"PING")
                assert await clients[-1].line() == b"PONG"
            assert len(draining_server.connects) == before

    run(test)


def test_operators_see_and_leave_the_fleet_and_force_is_refused_with_a_majority(tmp_path: Path) -> None:
    async def test() -> None:
        async with fleet_of_three(tmp_path) as (_, (first, second, third), _gates):
            consoles = ["{}:{}".format(*r.console) for r in (first, second, third)]
            view = await run_command("fleet", "view", "--console", consoles[0])
            assert view.returncode == 0
            assert "3 members, lease holds" in view.stdout
            members = await run_command("fleet", "members", "--console", consoles[1])
            assert members.returncode == 0
            assert members.stdout.count("alive") == 2
            assert " self" in members.stdout
            force = await run_command("fleet", "force", "--yes", "--console", consoles[0])
            assert force.returncode == 1
            assert "a majority is reached: 3 of 3" in force.stdout
            left = await run_command("fleet", "leave", "--console", consoles[2])
            assert left.returncode == 0
            await wait_for_lease(first, 2)
            assert (await fleet_status(third))["standing"] == "left"
            reader, writer = await third.open()  # it still accepts clients outside the fleet
            writer.write(opening_line(FIRST_LINE_FIELDS))
            assert await read_line(reader) == b"UP r1\r\n"
            second.killed = True
            second.process.kill()
            async with asyncio.timeout(10.0):
                while (await fleet_status(first))["may_act"]:
                    await asyncio.sleep(0.02)
            view_without_lease = await run_command("fleet", "view", "--console", consoles[0])
            assert view_without_lease.returncode == 1
            assert "no lease" in view_without_lease.stdout
            force = await run_command("fleet", "force", "--yes", "--console", consoles[0])
            assert force.returncode == 0
            await wait_for_lease(first, 1)
            assert first.logged('"fleet.founded"')
            assert first.logged('"fleet.lease_expired"')

    run(test)


def test_invalid_packets_and_calls_are_dropped_and_counted(tmp_path: Path) -> None:
    """Random, truncated, replayed and wrongly signed packets, and invalid calls, must not affect the view."""

    async def test() -> None:
        async with fleet_of_three(tmp_path) as (site, (first, *_), _gates):
            before = await fleet_status(first)
            host, _, port = site.fleet_address("r0").partition(":")
            target, random = (host, int(port)), Random(1)
            packet = m.Packet(2, 2, "r9", 7, "r0", 0, 1, None, 0, False, 0, None, 0, messages=(m.Ping(1),))
            signed = MessageAuthenticator(KEY).sign(m.encode(packet))
            wrong_key = MessageAuthenticator(b"another key of the same length..").sign(m.encode(packet))
            future_version = MessageAuthenticator(KEY).sign(
                m.encode(m.Packet(99, 99, "r9", 7, "r0", 0, 2, None, 0, False, 0, None, 0))
            )
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
                for n in range(4000):
                    junk = random.randbytes(random.choice((0, 1, 15, 16, 17, 300, 5000)))
                    sock.sendto(
                        random.choice((junk, wrong_key, signed[:-1], signed + b"x", signed, future_version)),
                        target,
                    )
                    if n % 50 == 0:
                        await asyncio.sleep(0.005)
            for junk in (
                b"",
                b"x" * 16,
                b"x" * 16 + b"\xff\xff\xff\xff",
                b"x" * 16 + b"\0\0\0\x20" + b"y" * 32,
            ):
                reader, writer = await asyncio.open_connection(*target)
                writer.write(junk)
                writer.write_eof()
                assert len(await reader.read(-1)) <= 16
                writer.close()
            after = await fleet_status(first)
            counts = after["counts"]
            assert counts["dropped_seal"] > 500
            assert counts["dropped_version"] > 100
            assert counts["dropped repeated"] > 100
            assert counts["dropped_call"] + counts["calls_broke"] >= 3
            assert (after["view"], after["digest"]) == (before["view"], before["digest"])
            assert after["may_act"]

    run(test)


def test_a_restarted_relay_continues_its_epoch_and_a_state_file_has_one_process(tmp_path: Path) -> None:
    async def test() -> None:
        async with fleet_of_three(tmp_path) as (site, (first, _second, third), _gates):
            epoch_before = (await fleet_status(first))["view"].partition("/")[0]
            third.killed = True
            third.process.kill()
            await wait_for_lease(first, 2)
            async with site.relay("r2") as restarted:
                assert (await wait_for_lease(restarted, 3))["view"].partition("/")[0] == epoch_before
                assert restarted.logged('"fleet.view_restored"')
                other_process = await run_command(
                    "serve", "--config", str(site.config("r9", state="r2.state"))
                )
                assert other_process.returncode == 2
                assert "another process holds it" in other_process.stderr

    run(test)


@pytest.mark.parametrize(
    ("fleet_settings", "message"),
    [
        ({"key": "absent.key"}, "absent.key: No such file"),
        ({"key": "short.key"}, "found 5 bytes, expected a key of 16 to 64"),
        ({"seeds": ["nowhere"]}, "fleet.seeds[0]: found 'nowhere', expected host:port"),
        ({"seeds": [], "founders": []}, "it would stay alone"),
        ({"state": "broken.state"}, "neither of its two slots is intact"),
        ({"listen": "203.0.113.1:7946"}, "it cannot serve"),
    ],
)
def test_an_unusable_fleet_configuration_ends_with_one_line_and_status_2(
    tmp_path: Path, fleet_settings: dict[str, Any], message: str
) -> None:
    (tmp_path / "short.key").write_bytes(b"short\n")
    (tmp_path / "broken.state").write_bytes(os.urandom(1 << 20))

    async def test() -> None:
        async with GateServer() as gate, Discovery(gate) as discovery:
            site = Site(tmp_path, 3, **line_front(discovery))
            result = await run_command("serve", "--config", str(site.config("r0", **fleet_settings)))
            assert result.returncode == 2
            assert message in result.stderr
            assert "Traceback" not in result.stderr

    run(test)


def test_the_example_configuration_is_valid() -> None:
    path = ROOT / "deploy" / "fleet.toml"
    assert tomllib.loads(path.read_text())["fleet"]
    assert run_command_blocking("config", "check", str(path)).returncode == 0


def test_every_event_is_named_in_one_module_and_described_on_the_on_call_page() -> None:
    named = {value for name, value in vars(events).items() if name.isupper()}
    page = (ROOT / "docs" / "oncall.md").read_text()
    assert named
    assert all(f"`{name}" in page for name in named)
    for path in (ROOT / "violetdoor").rglob("*.py"):
        if path.name != "events.py" and path.parent.name != "faults":
            found = [name for name in named if f'"{name}"' in path.read_text()]
            assert not found, f"{path.name} has event names as literals: {found}"
