"""Relays of a fleet as processes: what they share, what operators see, and invalid packets."""

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
from standins import ROOT, Discovery, GateServer, NatsServer, Relay, relay, run
from test_line import opening_line, read_line
from test_nats import Client

from violetdoor import events
from violetdoor.fleet import messages as m
from violetdoor.fleet.authentication import MessageAuthenticator

FIRST_LINE_FIELDS = b"c=checkin,t=acme,d=1000"
KEY = b"0123456789abcdef0123456789abcdef"


class Site:
    """Addresses and files of one test's relays."""

    def __init__(self, folder: Path, count: int, **front: Any) -> None:
        self.folder, self.front = folder, front
        self.network = f"127.{200 + os.getpid() % 50}.{Random().randrange(256)}"  # of this test alone
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
    tmp_path: Path, **values: Any
) -> AsyncIterator[tuple[Site, list[Relay], list[GateServer]]]:
    """Three relays in one view, before two gate servers or what else is said."""
    async with contextlib.AsyncExitStack() as stack:
        gates = [await stack.enter_async_context(GateServer()) for _ in range(2)]
        discovery = await stack.enter_async_context(Discovery(*gates))
        site = Site(tmp_path, 3, **(values or line_front(discovery)))
        starting = [stack.enter_async_context(site.relay(name)) for name in site.names]
        relays = list(await asyncio.gather(*starting))
        for one in relays:
            await wait_for_lease(one, 3)
        yield site, relays, gates


async def fleet_status(relay_process: Relay) -> dict[str, Any]:
    status, text = await relay_process.call("GET /fleet")
    assert status == 200
    return dict(orjson.loads(text))


async def wait_for_lease(relay_process: Relay, size: int) -> dict[str, Any]:
    """Wait until a relay holds a lease in a view of so many."""
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
        async with fleet_of_three(tmp_path) as (site, (one, two, _), gates):
            async with asyncio.timeout(15.0):
                while (await one.read_metrics())["pool_size"] != 2:
                    await asyncio.sleep(0.01)
            server = f"s-{gates[0].address}"
            assert (await one.call(f"PUT /gate-servers/{server}/maint"))[0] == 200
            async with asyncio.timeout(1.0):  # all know within a second
                while (await two.read_metrics())["pool_ejected"] != 1:
                    await asyncio.sleep(0.01)
            # One that enters knows before it takes its first client.
            site.names.append("r3")
            async with site.relay("r3") as late:
                for _ in range(8):
                    reader, writer = await late.open()
                    writer.write(opening_line(FIRST_LINE_FIELDS))
                    assert await read_line(reader) == b"UP r1\r\n"
                assert not gates[0].opened
                assert len(gates[1].opened) == 8
                assert (await late.call(f"PUT /gate-servers/{server}/ready"))[0] == 200
                async with asyncio.timeout(1.0):
                    while (await one.read_metrics())["pool_ejected"] or (await two.read_metrics())[
                        "pool_ejected"
                    ]:
                        await asyncio.sleep(0.01)

    run(test)


def test_a_server_that_reports_draining_to_one_relay_is_draining_for_all(tmp_path: Path) -> None:
    async def test() -> None:
        peers: list[NatsServer] = []
        async with (
            NatsServer(peers) as first, NatsServer(peers) as second,
            fleet_of_three(tmp_path, **nats_front(first, second)) as (_, (one, two, _three), _gates),
        ):  # fmt: skip
            clients = []
            while not first.connects:  # a client that this server has through the first relay
                clients.append(await Client.connect(one))
                clients[-1].send(b"PING")
                assert await clients[-1].line() == b"PONG"
            before = len(first.connects)
            first.send_to_all(b'INFO {"ldm":true}\r\n')
            async with asyncio.timeout(1.0):
                while not (await fleet_status(two))["shared"]:
                    await asyncio.sleep(0.01)
            for _ in range(6):
                clients.append(await Client.connect(two))
                clients[-1].send(b"PING")
                assert await clients[-1].line() == b"PONG"
            assert len(first.connects) == before

    run(test)


def test_operators_see_and_leave_the_fleet_and_force_is_refused_with_a_majority(tmp_path: Path) -> None:
    async def test() -> None:
        async with fleet_of_three(tmp_path) as (_, (one, two, three_), _gates):
            consoles = ["{}:{}".format(*r.console) for r in (one, two, three_)]
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
            await wait_for_lease(one, 2)
            assert (await fleet_status(three_))["standing"] == "left"
            reader, writer = await three_.open()  # it serves on, alone
            writer.write(opening_line(FIRST_LINE_FIELDS))
            assert await read_line(reader) == b"UP r1\r\n"
            two.killed = True
            two.process.kill()
            async with asyncio.timeout(10.0):
                while (await fleet_status(one))["may_act"]:
                    await asyncio.sleep(0.02)
            stale = await run_command("fleet", "view", "--console", consoles[0])
            assert stale.returncode == 1
            assert "no lease" in stale.stdout
            force = await run_command("fleet", "force", "--yes", "--console", consoles[0])
            assert force.returncode == 0
            await wait_for_lease(one, 1)
            assert one.logged('"fleet.founded"')
            assert one.logged('"fleet.lease_expired"')

    run(test)


def test_invalid_packets_and_calls_are_dropped_and_counted(tmp_path: Path) -> None:
    """A flood of foreign, cut, repeated and wrongly sealed packets, and calls of all such kinds."""

    async def test() -> None:
        async with fleet_of_three(tmp_path) as (site, (one, *_), _gates):
            before = await fleet_status(one)
            host, _, port = site.fleet_address("r0").partition(":")
            target, random = (host, int(port)), Random(1)
            packet = m.Packet(2, 2, "r9", 7, "r0", 0, 1, None, 0, False, 0, None, 0, messages=(m.Ping(1),))
            sealed = MessageAuthenticator(KEY).sign(m.encode(packet))
            wrong = MessageAuthenticator(b"another key of the same length..").sign(m.encode(packet))
            future = MessageAuthenticator(KEY).sign(
                m.encode(m.Packet(99, 99, "r9", 7, "r0", 0, 2, None, 0, False, 0, None, 0))
            )
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
                for n in range(4000):
                    junk = random.randbytes(random.choice((0, 1, 15, 16, 17, 300, 5000)))
                    sock.sendto(
                        random.choice((junk, wrong, sealed[:-1], sealed + b"x", sealed, future)), target
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
            after = await fleet_status(one)
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
        async with fleet_of_three(tmp_path) as (site, (one, _two, three_), _gates):
            line_before = (await fleet_status(one))["view"].partition("/")[0]
            three_.killed = True
            three_.process.kill()
            await wait_for_lease(one, 2)
            async with site.relay("r2") as again:
                assert (await wait_for_lease(again, 3))["view"].partition("/")[0] == line_before
                assert again.logged('"fleet.view_restored"')
                second = await run_command("serve", "--config", str(site.config("r9", state="r2.state")))
                assert second.returncode == 2
                assert "another process holds it" in second.stderr

    run(test)


@pytest.mark.parametrize(
    ("values", "said"),
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
    tmp_path: Path, values: dict[str, Any], said: str
) -> None:
    (tmp_path / "short.key").write_bytes(b"short\n")
    (tmp_path / "broken.state").write_bytes(os.urandom(1 << 20))

    async def test() -> None:
        async with GateServer() as gate, Discovery(gate) as discovery:
            site = Site(tmp_path, 3, **line_front(discovery))
            found = await run_command("serve", "--config", str(site.config("r0", **values)))
            assert found.returncode == 2
            assert said in found.stderr
            assert "Traceback" not in found.stderr

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
            said = [name for name in named if f'"{name}"' in path.read_text()]
            assert not said, f"{path.name} names {said}"
