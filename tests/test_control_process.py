"""Control machines and relays as processes: attaching, killed processes, invalid bytes, reloads, upgrades."""

from __future__ import annotations

import asyncio
import contextlib
import os
import resource
import signal
from http import HTTPStatus
from pathlib import Path
from random import Random

import orjson
from control_site import (
    MACHINE_NAMES,
    RELAY_COUNT,
    STATE_TIMEOUT_SECONDS,
    ControlMachine,
    ControlSite,
    Region,
    async_test,
    control_site,
    control_status,
    eventually,
    fleet_status,
    kill,
    wait_for_leader,
    wait_for_lease,
    wait_until_attached_elsewhere,
)
from standins import TIMEOUT_SECONDS, Discovery, GateServer, Relay, wait_until
from test_fleet_process import KEY, line_front, run_command
from test_line import start_relay

from violetdoor.control.frames import FrameCodec, Side
from violetdoor.control.messages import Heartbeat, encode
from violetdoor.fleet.authentication import MessageAuthenticator

NONCE_BYTES = 16
OTHER_KEY = b"another key of the same length.."
BAN_SHARING_TIMEOUT_SECONDS = 2.0  # until all relays apply a ban, or its end
# Accepted connections among those that `check_invalid_bytes_do_no_harm` opens at one machine.
MIN_EXPECTED_ACCEPTS = 8
MIN_EXPECTED_DROPS = 2  # of those, dropped for an invalid tag; and as many for an invalid length


@async_test
async def test_relays_count_each_other_share_bans_and_own_keys_once(tmp_path: Path) -> None:
    async with control_site(tmp_path) as site:
        first, *others = site.relays
        last = others[-1]
        assert [(await relay.read_metrics())["fleet_size"] for relay in site.relays] == [
            RELAY_COUNT
        ] * RELAY_COUNT

        async def knows_all_servers() -> bool:
            return (await first.read_metrics())["pool_size"] == len(site.gate_servers)

        async def is_banned_everywhere() -> bool:
            return {(await relay.read_metrics())["pool_ejected"] for relay in others} == {1}

        async def is_unbanned_everywhere() -> bool:
            return not any([(await relay.read_metrics())["pool_ejected"] for relay in site.relays])

        await eventually(knows_all_servers, TIMEOUT_SECONDS)
        server = f"s-{site.gate_servers[0].address}"
        assert (await first.call(f"PUT /gate-servers/{server}/maint"))[0] == HTTPStatus.OK
        await eventually(is_banned_everywhere, BAN_SHARING_TIMEOUT_SECONDS)
        assert (await last.call(f"PUT /gate-servers/{server}/ready"))[0] == HTTPStatus.OK
        await eventually(is_unbanned_everywhere, BAN_SHARING_TIMEOUT_SECONDS)
        await check_keys_are_owned_once(site.relays)
        await check_invalid_bytes_do_no_harm(site)
        await check_lack_of_descriptors_does_no_harm(site)


async def check_keys_are_owned_once(relays: list[Relay]) -> None:
    for key in ("orders", "a key", "k3", "k4", "k5"):
        path = key.replace(" ", "%20")
        statuses: list[int] = []

        async def has_owner(path: str = path, statuses: list[int] = statuses) -> bool:
            statuses[:] = [(await relay.call(f"GET /fleet/owns/{path}"))[0] for relay in relays]
            assert statuses.count(HTTPStatus.OK) <= 1
            return HTTPStatus.OK in statuses

        await eventually(has_owner)
        owner = (await relays[0].call(f"GET /fleet/owner/{path}"))[1].strip()
        names = [(await fleet_status(relay))["name"] for relay in relays]
        assert names.index(owner) == statuses.index(HTTPStatus.OK)


async def check_invalid_bytes_do_no_harm(site: ControlSite) -> None:
    """Send random bytes, a frame under another key and a replayed handshake to one machine's session port."""
    name, machine = site.first_machine()
    host, _, port = site.region.session_address(name).partition(":")
    attempts_before = set(await site.attempts())

    async def send(data: bytes) -> None:
        reader, writer = await asyncio.open_connection(host, int(port))
        with contextlib.suppress(ConnectionError):
            writer.write(data)
            writer.write_eof()
            await reader.read()
        writer.close()

    async def send_heartbeat(key: bytes) -> bytes:
        """Send a heartbeat, which opens no session; return all bytes that were sent."""
        codec = FrameCodec(MessageAuthenticator(key), Side.CLIENT)
        reader, writer = await asyncio.open_connection(host, int(port))
        assert not list(codec.feed(await reader.readexactly(NONCE_BYTES)))
        data = codec.nonce + codec.encode_frame(encode(Heartbeat(1, None)))
        writer.write(data)
        with contextlib.suppress(ConnectionError):
            await reader.read()  # until the machine closes the connection
        writer.close()
        return data

    async def drops_are_counted() -> bool:
        counters = (await control_status(machine))["counts"]
        return bool(counters.get("dropped_seal", 0) >= MIN_EXPECTED_DROPS)

    replayed = await send_heartbeat(KEY)
    await send_heartbeat(OTHER_KEY)
    await send(replayed)
    random = Random(1)
    for length in (0, NONCE_BYTES, NONCE_BYTES + 1, 40, 5000):
        await send(random.randbytes(length))
    await eventually(drops_are_counted, TIMEOUT_SECONDS)
    counters = (await control_status(machine))["counts"]
    assert counters["accepted"] >= MIN_EXPECTED_ACCEPTS
    assert counters["dropped_length"] >= MIN_EXPECTED_DROPS
    assert not counters.get("faults")
    for relay in site.relays:
        await wait_for_lease(relay, relay_count=RELAY_COUNT)
    assert set(await site.attempts()) == attempts_before


async def check_lack_of_descriptors_does_no_harm(site: ControlSite) -> None:
    """Exhaust a machine's file descriptors: it keeps its sessions, and accepts again once some are free."""
    name, machine = site.first_machine()
    host, _, port = site.region.session_address(name).partition(":")
    pid = machine.process.pid
    limits = resource.prlimit(pid, resource.RLIMIT_NOFILE)
    attempts_before = await site.attempts()
    open_descriptors = len(os.listdir(f"/proc/{pid}/fd"))
    resource.prlimit(pid, resource.RLIMIT_NOFILE, (open_descriptors + 4, limits[1]))
    writers = [(await asyncio.open_connection(host, int(port)))[1] for _ in range(16)]
    await wait_until(lambda: machine.logged("accept failed"))
    for writer in writers:
        writer.close()
    resource.prlimit(pid, resource.RLIMIT_NOFILE, limits)
    assert (await control_status(machine))["counts"]["accept_failed"] >= 1
    for relay in site.relays:
        await wait_for_lease(relay, relay_count=RELAY_COUNT)
    assert await site.attempts() == attempts_before


@async_test
async def test_a_killed_or_stopped_control_machine_costs_no_relay_its_lease(tmp_path: Path) -> None:
    async with control_site(tmp_path) as site:
        leader = await wait_for_leader(site)
        kill(site.machines.pop(leader))
        for relay in site.relays:
            await wait_until_attached_elsewhere(relay, leader)
            await wait_for_lease(relay, relay_count=RELAY_COUNT)
        # The new leader writes the roster: it removes a relay that is killed now.
        await wait_for_leader(site)
        kill(site.relays.pop())
        for relay in site.relays:
            await wait_for_lease(relay, relay_count=RELAY_COUNT - 1)
        await check_keys_are_owned_once(site.relays)  # the killed relay's keys have other owners
        assert not any(relay.logged('"attach.lease_expired"') for relay in site.relays)
        # A control machine that is stopped sends its relays to the last remaining one.
        name, stopped = site.machines.popitem()
        stopped.process.terminate()
        assert await stopped.process.wait() == 0
        assert stopped.logged("draining -> stopped")
        for relay in site.relays:
            await wait_until_attached_elsewhere(relay, name)


@async_test
async def test_a_plain_run_imports_nothing_of_the_control_plane(tmp_path: Path) -> None:
    async with (
        GateServer() as server,
        Discovery(server) as discovery,
        start_relay(tmp_path, discovery, PYTHONPROFILEIMPORTTIME="1") as relay,
    ):
        assert relay.logged("violetdoor.fronts.line.front")  # imports are logged at all
        assert not relay.logged("violetdoor.control")
        assert not relay.logged("violetdoor.fleet")


@async_test
async def test_operators_read_and_reload_a_control_machine_and_upgrade_a_relay(tmp_path: Path) -> None:
    async with control_site(tmp_path) as site:
        name, machine = site.first_machine()
        await check_control_status(name, machine)
        await check_reload(site, name, machine)
        await check_fleet_commands(site.relays[0])
        await check_upgrade(site)


async def check_control_status(name: str, machine: ControlMachine) -> None:
    console = "{}:{}".format(*machine.console)
    result = await run_command("control", "status", "--console", console)
    assert result.returncode == 0
    assert f"{name}: region r1" in result.stdout
    assert "grants leases" in result.stdout
    assert "3 living" in result.stdout
    result = await run_command("control", "status", "--json", "--console", console)
    status = orjson.loads(result.stdout)
    assert status["living"] == RELAY_COUNT
    assert status["group"]["size"] == len(MACHINE_NAMES)
    assert (await machine.call("GET /healthcheck"))[0] == HTTPStatus.OK
    assert "svc.control_living:3|g" in (await machine.call("GET /stats"))[1]


async def check_reload(site: ControlSite, name: str, machine: ControlMachine) -> None:
    """Reload an invalid file and one that requires a restart, which are both rejected; then a valid one."""
    path = site.region.write_machine_file(name)
    valid_text = path.read_text()

    async def reload(expected_line: str) -> None:
        logged_before = machine.logged(expected_line)
        machine.process.send_signal(signal.SIGHUP)
        await wait_until(lambda: machine.logged(expected_line) > logged_before)

    for rejected_text in (valid_text[:-3], valid_text.replace('"region": "r1"', '"region": "r2"')):
        path.write_text(rejected_text)
        await reload("reload failed")
    site.region.write_machine_file(name, limits={"sessions": 1})
    await reload("limits and addresses of regions are in effect")


async def check_fleet_commands(relay: Relay) -> None:
    console = "{}:{}".format(*relay.console)
    view = await run_command("fleet", "view", "--console", console)
    assert view.returncode == 0
    assert "attached to c" in view.stdout
    members = await run_command("fleet", "members", "--console", console)
    assert members.stdout.split() == ["r0", "r1", "r2"]
    force = await run_command("fleet", "force", "--console", console)
    assert force.returncode == 1
    assert "a majority of its control machines" in force.stderr


async def check_upgrade(site: ControlSite) -> None:
    """Replace the process of one relay; the new process continues the same run."""
    old, *others = site.relays
    status_before = await fleet_status(old)
    async with site.region.running_relay("r0") as new:
        await new.wait_for_health()
        await old.wait_for_health(is_healthy=False)
        status_after = await wait_for_lease(new, relay_count=RELAY_COUNT)
        assert status_after["instance"] == status_before["instance"]
        assert status_after["attempt"] > status_before["attempt"]
        assert not (await fleet_status(old))["may_act"]
        await asyncio.gather(*(wait_for_lease(relay, relay_count=RELAY_COUNT) for relay in others))
        assert await old.stop() == 0
        await wait_for_lease(new, relay_count=RELAY_COUNT)


@async_test
async def test_two_regions_count_each_other_and_know_the_owners_of_each_others_keys(tmp_path: Path) -> None:
    async with contextlib.AsyncExitStack() as stack:
        discovery = await stack.enter_async_context(Discovery(GateServer()))
        regions = [
            Region(tmp_path, line_front(discovery), name, [machine])
            for name, machine in (("r1", "c1"), ("r2", "c2"))
        ]
        for region in regions:
            region.regions = regions[0].regions | regions[1].regions
        machines = await asyncio.gather(
            *[stack.enter_async_context(region.running_machine(region.machines[0])) for region in regions]
        )
        relays = await asyncio.gather(
            *[stack.enter_async_context(region.running_relay(f"{region.name}-relay")) for region in regions]
        )
        for relay in relays:
            status = await wait_for_lease(relay, relay_count=2)
            totals = {name: counts["total"] for name, counts in status["living"]["regions"].items()}
            assert totals == {"r1": 1, "r2": 1}
        owners = {key: await wait_for_common_owner(relays, key) for key in "abcde"}
        assert set(owners.values()) == {"r1-relay", "r2-relay"}  # depends on the names only: deterministic
        # A lost region keeps its last count, whose age grows, and no relay of the other loses its lease.
        kill(machines[1])

        async def lost_region_ages() -> bool:
            status = await wait_for_lease(relays[0], relay_count=2)
            return bool(status["living"]["regions"]["r2"]["age_s"] >= 1.0)

        await eventually(lost_region_ages, STATE_TIMEOUT_SECONDS)
        assert machines[0].logged('"control.region_lost"')


async def wait_for_common_owner(relays: list[Relay], key: str) -> str:
    """Wait until all relays know the owner of a key, some by a lookup at their control machine; return it."""
    owners: list[str] = []

    async def is_known_everywhere() -> bool:
        answers = [await relay.call(f"GET /fleet/owner/{key}") for relay in relays]
        if any(status != HTTPStatus.OK for status, _ in answers):
            return False
        owners[:] = {text.strip() for _, text in answers}
        return True

    await eventually(is_known_everywhere)
    (owner,) = owners
    return owner
