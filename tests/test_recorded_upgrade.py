"""Compatibility of the messages between two processes of one relay in an upgrade with revision 300e9a1.

The predecessor's messages are recorded from real exchanges over the handover socket. A stand-in sends the
recorded bytes to a successor, which must hand over the same state.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import re
import socket
from collections.abc import AsyncIterator
from dataclasses import replace
from pathlib import Path
from typing import Any

import msgspec
import orjson
import pytest
from standins import run, wait_until

from violetdoor.balancing.events import LearnedServerState, LearnedState, ServerEntry, ServerState
from violetdoor.configuration.operator_config import OperatorConfigSource
from violetdoor.control.messages import RegionCount, Relay, RelayKey, Version, ZoneCount
from violetdoor.control.relay.roster_history import Tombstone
from violetdoor.control.relay.snapshot import AttachmentSnapshot
from violetdoor.control.service import ControlService
from violetdoor.core import Controller, RequestAttributes
from violetdoor.fleet.messages import HybridTimestamp, MapEntry, encode
from violetdoor.fleet.service import FleetService
from violetdoor.fleet.stored_state import (
    HandoverState,
    JoinedRound,
    LeaseState,
    Readmission,
    SenderWindow,
    handover_state_decoder,
)
from violetdoor.fleet.view import Peer
from violetdoor.fronts.line.service import LineService
from violetdoor.fronts.nats.service import NatsService
from violetdoor.maintenance.service import MaintenanceService
from violetdoor.net.log_filter import RepeatedLineFilter
from violetdoor.net.server_list_service import ServerListService
from violetdoor.program import Program
from violetdoor.upgrade.predecessor import InheritedState, request_handover
from violetdoor.upgrade.service import UpgradeService

RECORDED = Path(__file__).parent / "recorded" / "upgrade.json"
NOW = 1_754_000_000_000.25
FRONTS = ("line", "nats")


def fleet_state() -> HandoverState:
    """Return a fleet member's handover state without views, which are recorded with the fleet's messages."""
    return HandoverState(
        process=101, local_peer=Peer("n1", 102, "127.0.0.7", 7103, "za", 104, 105), state="member", started_at=106.5,
        durable_state=None, latest_view=None, last_epoch=107, last_seq=108,
        lease=LeaseState(
            expires_at=109.5, not_before=110.25, frozen=True, round_number=111, starter=112, joined=b"j\x71",
            joined_previous=b"b\x72", joined_rounds=(JoinedRound(number=113, joined_at=114.5),), round_observed_at=115.5,
        ),
        last_heartbeat_at=116.5, prior_views=(), has_lease=False, incarnation=117, packet_count=118,
        entries=(MapEntry("ban:s-1", HybridTimestamp(119, 120, "n2"), 121.5), MapEntry("ban:s-2", HybridTimestamp(122, 123, "n3"), None)),
        clock=HybridTimestamp(124, 125, "n4"), replay_windows=(SenderWindow(name="n5", instance=126, max_sequence=127),),
        readmissions=(Readmission(name="n6", process=128, readmitted_at=129.5),), departed_instances=(130, 131),
        reported_views=(), ended_members=("n7",), leaving_members=("n8", "n9"),
    )  # fmt: skip


def control_state() -> AttachmentSnapshot:
    """Return the state of a relay's session with its control machines."""
    return AttachmentSnapshot(
        instance=201, attempt=202, version=Version(203, 204, 205), complete_since=Version(206, 207, 208),
        settled=Version(209, 210, 211), members=(Relay("n1", 212, "127.0.0.8", 7213, "zb"),),
        tombstones=(Tombstone(RelayKey("n2", 214), Version(215, 216, 217)),), regions=("east", "west"),
        region_counts=(RegionCount("west", Version(218, 219, 220), (ZoneCount("zc", 221),), 222.5),),
        entries=(MapEntry("drain:s-3", HybridTimestamp(223, 224, "n3"), 225.5),),
    )  # fmt: skip


def operator_file(front: str) -> dict[str, Any]:
    """Return an operator's file: a fleet member for the line front, an attached relay for the NATS front."""
    fleet = {"listen": "127.0.0.1:0", "founders": ["n1"]}
    attached = {"region": "east", "control": ["127.0.0.1:9"]}
    return {
        "listen": "127.0.0.1:0", "name": "n1", "front": front, "zone": "za", "retry_after_ms": 321.5,
        "classes": [
            {"name": "checkin", "aim_ms": 300, "deadline_ms": 1200, "worth": 2.5},
            {"name": "booking", "aim_ms": 501.5, "deadline_ms": 3000, "message_aim_ms": 77},
        ],
        "tenants": [{"name": "acme", "class": "booking", "users": ["app"]}] if front == "nats" else [],
        "servers": [{"addr": "127.0.0.1:9", "id": "s-file"}],
        "fleet": {"key": "key", **(fleet if front == "line" else attached)},
    }  # fmt: skip


class Process:
    """One of the two processes, with a fixed clock, so that its state does not change by itself."""

    def __init__(self, folder: Path, front: str, inherited: InheritedState | None = None) -> None:
        path = folder / "relay.json"
        path.write_bytes(orjson.dumps(operator_file(front)))
        (folder / "key").write_bytes(b"k" * 32)
        source = OperatorConfigSource(path)
        config = source.load(inherited.snapshot.config.encode() if inherited else b"")
        self.handover_path = folder / "meet.sock"
        self.program = program = Program(config, source, RepeatedLineFilter(), self.handover_path, inherited)
        program.core = self.core = Controller(
            config.settings, 7, lambda: NOW, reports_message_delay=config.reports_message_delay
        )
        self.maintenance = MaintenanceService(program)
        self.listing = ServerListService(program)
        program.services += [self.maintenance, self.listing]
        self.fleet = FleetService(program) if front == "line" else None
        self.control = ControlService(program) if front == "nats" else None
        program.services += [one for one in (self.fleet, self.control) if one is not None]
        self.line = LineService(program) if front == "line" else None
        program.front = self.line or NatsService(program)
        self.upgrade = program.upgrade = UpgradeService(program, self.handover_path, inherited)
        program.services += [program.front, self.upgrade]

    def fill(self) -> None:
        """Set a state in which all values differ from each other."""
        core, directory = self.core, self.program.directory
        ready, draining = ServerState.READY, ServerState.DRAINING
        first = ServerEntry(
            name="s-1", zone="za", machine_type="k1", cell=11, state=ready, weight=1.25, started_at_ms=1012.5
        )
        second = ServerEntry(
            name="s-2",
            zone="zb",
            machine_type="k2",
            cell=21,
            state=draining,
            weight=2.25,
            started_at_ms=1022.5,
        )
        servers = (
            LearnedServerState(
                name="s-2",
                started_at_ms=1022.5,
                load=0.23,
                reported_at_ms=1024.5,
                health=0.25,
                smoothed_setup_ms=26.5,
                min_health_check_ms=27.5,
            ),
            LearnedServerState(
                name="s-1",
                started_at_ms=1012.5,
                load=None,
                reported_at_ms=None,
                health=0.15,
                smoothed_setup_ms=None,
                min_health_check_ms=None,
            ),
        )
        known = LearnedState(
            fleet_load=0.31,
            load_per_weight=32.5,
            min_setup_ms=33.5,
            timeout_fraction=0.34,
            servers=servers,
        )
        core.endpoints.known_names.update(("s-0", "s-3"))
        core.overrides.bans.update({"s-0": 41.5, "s-1": 42.5})
        core.overrides.reinstated.update({"s-3": (43.5, 44.5)})
        core.overrides.self_reported_draining.update({"s-2": 45.5})
        core.restore(known, {"s-2": second, "s-1": first})
        directory.addresses = {"s-2": ("127.0.0.2", 7002), "s-1": ("127.0.0.1", 7001)}
        directory.version = 51
        core.adopt_connection(RequestAttributes("checkin", "acme", 0x61, 62.5), "s-2")
        core.adopt_connection(RequestAttributes("booking", "acme", 0x63, 64.5), "s-2")
        core.adopt_connection(RequestAttributes("booking", "acme", 0x65, 66.5), "s-1")
        if self.line is not None:
            assert self.line.front.connection_ids.reserve(0x71)
            assert self.line.front.connection_ids.reserve(0x72)
            self.line.front.connection_ids.release(0x72)

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Run the upgrade service without accepting clients."""
        await self.upgrade.start()
        try:
            await wait_until(self.handover_path.exists)
            yield
        finally:
            await self.upgrade.stop()
            self.program.front.acceptor.sock.close()


def without_memory_use(line: bytes) -> str:
    """Return a message with this process's memory use replaced by 0."""
    return re.sub(r'"memory":[\d.]+', '"memory":0', line.decode())


class PeerStandIn:
    """Stand-in for the other process, which sends and receives single lines."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock, self.descriptors = sock, list[socket.socket]()
        self.data = b""
        sock.settimeout(10.0)

    async def send(self, line: str) -> None:
        await asyncio.to_thread(self.sock.sendall, line.encode())

    async def line(self) -> str:
        """Receive the next message and the descriptors that come with it."""
        while b"\n" not in self.data:
            data, descriptors, _, _ = await asyncio.to_thread(socket.recv_fds, self.sock, 65_536, 8)
            assert data, f"the other process ended after {self.data!r}"
            self.data += data
            self.descriptors += [socket.socket(fileno=number) for number in descriptors]
        line, _, self.data = self.data.partition(b"\n")
        return without_memory_use(line + b"\n")

    def close(self) -> None:
        for sock in (self.sock, *self.descriptors):
            sock.close()


async def successor_of(process: Process) -> PeerStandIn:
    sock = socket.socket(socket.AF_UNIX)
    sock.connect(str(process.handover_path))
    return PeerStandIn(sock)


def hand_over_samples(process: Process) -> list[socket.socket]:
    """Make the fleet or control service hand over sample state; return the fleet's shared sockets."""
    if process.fleet is not None:
        fleet = process.fleet.endpoint
        fleet.hand_over = fleet_state  # type: ignore[method-assign]
        fleet.udp, fleet.tcp = socket.socket(type=socket.SOCK_DGRAM), socket.socket()
        fleet.is_open = True
        return [fleet.udp, fleet.tcp]
    assert process.control is not None
    process.control.client.hand_over = control_state  # type: ignore[method-assign]
    return []


async def predecessor(folder: Path, front: str) -> dict[str, str]:
    """Return all messages of a predecessor to its successor, by the event that caused each."""
    process = Process(folder, front)
    process.fill()
    shared = hand_over_samples(process)
    messages: dict[str, str] = {}
    async with process.running():
        other = await successor_of(process)
        await other.send('{"hello":true}\n')
        messages["state"] = await other.line()
        assert len(other.descriptors) == 1 + len(shared)
        assert process.maintenance.ban("s-3", 81.5)
        messages["ban"] = await other.line()
        assert process.maintenance.lift_ban("s-1")
        messages["lift"] = await other.line()
        config = process.program.config
        changed = orjson.dumps(orjson.loads(config.serialized) | {"retry_after_ms": 432.5})
        source: Any = process.program.reloader.source
        source.reload = lambda: replace(config, serialized=changed)
        process.program.reloader.reload()
        messages["config"] = await other.line()
        await other.send('{"accepting":true}\n')
        messages["member"] = await other.line()
        messages["stopped"] = await other.line()
        if process.line is not None:
            assert process.line.front.connection_ids.reserve(0x73)
            assert await other.line() == '{"ids":["73"]}\n'  # at once, and again in the report
        messages["still_held"] = await other.line()
        other.close()
    for sock in shared:
        sock.close()
    return messages


async def sample(folder: Path) -> dict[str, str]:
    """Return the messages of both fronts; keys are `front_message`."""
    values: dict[str, str] = {}
    for front in FRONTS:
        (folder / front).mkdir()
        messages = await predecessor(folder / front, front)
        values |= {f"{front}_{name}": line for name, line in messages.items()}
    return values


def recorded() -> dict[str, str]:
    return dict(json.loads(RECORDED.read_text()))


@pytest.fixture(autouse=True)
def no_shared_folder(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.delenv("TMPDIR", raising=False)


def test_predecessor_sends_the_recorded_messages(tmp_path: Path) -> None:
    async def test() -> None:
        messages = await sample(tmp_path)
        assert list(messages) == list(recorded())
        for name, line in recorded().items():
            assert messages[name] == line, name

    run(test)


async def inherited_by(folder: Path, state: str, sockets: int) -> tuple[PeerStandIn, InheritedState, str]:
    """Send a recorded state to a requesting process; return the stand-in, the received state and the request."""
    handover_listener, listener = socket.socket(socket.AF_UNIX), socket.socket()
    path = folder / "before.sock"
    handover_listener.bind(str(path))
    handover_listener.listen()
    listener.bind(("127.0.0.1", 0))
    listener.listen()
    asking = asyncio.create_task(asyncio.to_thread(request_handover, path))
    sock, _ = await asyncio.to_thread(handover_listener.accept)
    other = PeerStandIn(sock)
    hello = await other.line()
    shared = [socket.socket() for _ in range(sockets)]
    frame = state.encode()
    descriptors = [one.fileno() for one in (listener, *shared)]
    await asyncio.to_thread(socket.send_fds, sock, [frame[:1]], descriptors)
    await other.send(state[1:])
    inherited = await asking
    assert inherited is not None
    for one in (handover_listener, listener, *shared):
        one.close()
    return other, inherited, hello


@pytest.mark.parametrize("front", FRONTS)
def test_successor_takes_the_recorded_state_over_and_hands_on_the_same(tmp_path: Path, front: str) -> None:
    async def test() -> None:
        state = recorded()[f"{front}_state"]
        other, inherited, hello = await inherited_by(tmp_path, state, 2 if front == "line" else 0)
        assert hello == '{"hello":true}\n'
        process = Process(tmp_path, front, inherited)
        for name, sock in inherited.sockets.items():
            assert name in ("fleet-udp", "fleet-tcp")
            sock.close()
        async with process.running():
            assert await other.line() == '{"accepting":true}\n'
            successor = await successor_of(process)
            await successor.send('{"hello":true}\n')
            sent = orjson.loads(await successor.line())
            # It is no fleet member until its predecessor has stopped, so it shares no sockets yet.
            assert orjson.dumps(sent | {"sockets": orjson.loads(state)["sockets"]}).decode() + "\n" == state
            successor.close()
            other.close()

    run(test)


@pytest.mark.parametrize("front", FRONTS)
def test_successor_follows_the_recorded_messages(tmp_path: Path, front: str) -> None:
    async def test() -> None:
        lines = {
            name: recorded()[f"{front}_{name}"] for name in ("ban", "lift", "config", "member", "still_held")
        }
        other, inherited, _ = await inherited_by(
            tmp_path, recorded()[f"{front}_state"], 2 if front == "line" else 0
        )
        process = Process(tmp_path, front, inherited)
        members: list[object] = []
        if process.fleet is not None:
            process.fleet._take_over = members.append  # type: ignore[assignment,method-assign]
        if process.control is not None:
            process.control._start_client = members.append  # type: ignore[assignment,method-assign]
        async with process.running():
            assert await other.line() == '{"accepting":true}\n'
            core, acceptor = process.core, process.program.front.acceptor
            assert core.overrides.bans == {"s-0": 41.5, "s-1": 42.5}
            await other.send(lines["ban"])
            await wait_until(lambda: core.overrides.bans == {"s-0": 41.5, "s-1": 42.5, "s-3": 81.5})
            await other.send(lines["lift"])
            await wait_until(lambda: core.overrides.bans == {"s-0": 41.5, "s-3": 81.5})
            assert core.overrides.reinstated["s-1"] == (42.5, NOW)
            await other.send(lines["member"])
            await wait_until(lambda: members)
            assert members == [fleet_state() if front == "line" else control_state()]
            held = orjson.loads(lines["still_held"])["beside"]
            message = {"beside": held | {"descriptors": 91, "memory": 92}}
            if process.line is not None:
                message["ids"] = orjson.loads(lines["still_held"])["ids"]
                assert process.line.front.connection_ids.reserve(0x74)
            await other.send(orjson.dumps(message).decode() + "\n")
            await wait_until(lambda: acceptor.sibling_descriptors == 91)
            assert acceptor.sibling_memory_bytes == 92
            server = core.balancer.servers["s-2"]
            assert (server.sibling_load, server.sibling_count) == (127.0, 2)
            server = core.balancer.servers["s-1"]
            assert (server.sibling_load, server.sibling_count) == (66.5, 1)
            if process.line is not None:
                assert not process.line.front.connection_ids.reserve(0x73)
            await other.send(lines["config"])
            await wait_until(lambda: core.settings.max_retry_after_ms == 432.5)
            assert list(core.endpoints.entries) == ["s-file"]  # the list of the new configuration
            await other.send('{"stopped":true}\n')
            await wait_until(lambda: process.upgrade.handover.is_takeover_complete)
            other.close()
            await wait_until(lambda: acceptor.sibling_descriptors == 0)
            server = core.balancer.servers["s-file"]
            assert (server.sibling_load, server.sibling_count) == (0.0, 0)

    run(test)


def test_state_of_a_member_and_of_a_session_is_decoded_from_the_recorded_bytes() -> None:
    fleet = base64.b85decode(orjson.loads(recorded()["line_member"])["fleet"])
    assert handover_state_decoder.decode(fleet) == fleet_state()
    assert encode(handover_state_decoder.decode(fleet)) == fleet
    control = base64.b85decode(orjson.loads(recorded()["nats_member"])["control"])
    state = msgspec.msgpack.decode(control, type=AttachmentSnapshot)
    assert state == control_state()
    assert msgspec.msgpack.encode(state) == control
