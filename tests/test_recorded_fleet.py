"""Bytes of the fleet's messages, frames, state file and hand-over, against those recorded at revision 300e9a1."""

from __future__ import annotations

import asyncio
import base64
import hashlib
import importlib
import json
import pkgutil
import socket
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import msgspec
import pytest
from msgspec import Struct
from recorded import fleet_samples, wire_forms
from standins import unshared_loopback_host

import violetdoor.control
import violetdoor.fleet
from violetdoor.fleet import messages as m
from violetdoor.fleet.authentication import MessageAuthenticator
from violetdoor.fleet.context import NodeConfig
from violetdoor.fleet.endpoint import FleetEndpoint
from violetdoor.fleet.frames import FrameReader, parse_length, verify_frame
from violetdoor.fleet.service import FleetService
from violetdoor.fleet.state_file import StateFile
from violetdoor.upgrade.messages import FleetMembership, Message, encode_line

RECORDED = json.loads((Path(__file__).parent / "recorded" / "fleet.json").read_text())
SAMPLES = wire_forms.with_decoders(wire_forms.fleet_groups())
BOTH_NONCES = fleet_samples.CLIENT_NONCE + fleet_samples.SERVER_NONCE


def independent_seal(body: bytes, context: bytes) -> bytes:
    """The seal by its definition alone."""
    return hashlib.blake2b(context + body, digest_size=16, key=fleet_samples.KEY).digest()


def independent_frame(body: bytes, context: bytes) -> bytes:
    return (len(body) + 16).to_bytes(4, "big") + body + independent_seal(body, context)


def test_every_recording_has_a_sample() -> None:
    assert list(SAMPLES) == list(RECORDED["messages"])


@pytest.mark.parametrize("key", SAMPLES)
def test_message_encodes_to_recorded_bytes(key: str) -> None:
    assert m.encode(SAMPLES[key][0]).hex() == RECORDED["messages"][key]["bytes"]


@pytest.mark.parametrize("key", RECORDED["messages"])
def test_recorded_bytes_decode_to_the_message(key: str) -> None:
    value, decoder = SAMPLES[key]
    decoded = decoder.decode(bytes.fromhex(RECORDED["messages"][key]["bytes"]))
    assert decoded == value
    assert type(decoded) is type(value)
    assert m.encode(decoded).hex() == RECORDED["messages"][key]["bytes"]


@pytest.mark.parametrize("key", SAMPLES)
def test_shorter_and_longer_arrays_are_read_as_recorded(key: str) -> None:
    assert wire_forms.encoded_forms(*SAMPLES[key]) == RECORDED["messages"][key]


@pytest.mark.parametrize("key", [key for key in SAMPLES if "," not in key])
def test_no_two_values_of_a_sample_are_equal(key: str) -> None:
    """Guards against fields that change places unseen."""
    for part in wire_forms.structs_in(SAMPLES[key][0]):
        own = [one for one in msgspec.structs.astuple(part) if not isinstance(one, bool) and one is not None]
        scalars = [one for value in own for one in wire_forms.scalars_in(value)]
        direct = [one for one in own if not isinstance(one, tuple | Struct)]
        assert len(direct) == len(set(direct))
        assert all(scalars.count(one) == 1 for one in direct)


def wire_types(packages: tuple[Any, ...]) -> set[type[Struct]]:
    """All types of these packages that are encoded as arrays, without those that others only inherit from."""
    for package in packages:
        for module in pkgutil.walk_packages(package.__path__, f"{package.__name__}."):
            importlib.import_module(module.name)
    found, pending = set(), [Struct]
    while pending:
        kind = pending.pop()
        pending += kind.__subclasses__()
        name = f"{kind.__module__}."
        ours = any(name.startswith(f"{package.__name__}.") for package in packages)
        if ours and kind.__struct_config__.array_like and not kind.__subclasses__():
            found.add(kind)
    return found


def test_every_wire_type_is_recorded() -> None:
    """A new type of fleet or control needs a sample and its bytes."""
    both = [*wire_forms.fleet_groups(), *wire_forms.control_groups()]
    values = [value for samples, _ in both for value in samples.values()]
    sampled = {type(one) for value in values for one in wire_forms.structs_in(value)}
    assert wire_types((violetdoor.fleet, violetdoor.control)) - sampled == set()


def test_digest_of_a_view_is_as_recorded() -> None:
    assert fleet_samples.view().digest == RECORDED["view digest"]


# Frames.


def test_sealed_frames_are_as_recorded() -> None:
    assert wire_forms.fleet_frames() == RECORDED["frames"]


def test_recorded_seals_follow_their_definition() -> None:
    frames = RECORDED["frames"]
    packet = bytes.fromhex(RECORDED["messages"]["packet"]["bytes"])
    assert frames["datagram"] == (packet + independent_seal(packet, b"")).hex()
    call = bytes.fromhex(RECORDED["messages"]["request 3"]["bytes"])
    assert frames["call"] == independent_frame(call, b"asked" + BOTH_NONCES).hex()
    second = b"stream" + BOTH_NONCES + (1).to_bytes(8, "big")
    assert frames["stream"][1] == independent_frame(b"second", second).hex()


def test_recorded_frames_are_opened() -> None:
    seal, frames = MessageAuthenticator(fleet_samples.KEY), RECORDED["frames"]
    body = seal.verify(bytes.fromhex(frames["datagram"]))
    assert body is not None
    assert m.packet_decoder.decode(body) == fleet_samples.packet()
    call = bytes.fromhex(frames["call"])
    assert parse_length(call[:4]) == len(call) - 4
    assert m.request_decoder.decode(verify_frame(seal, call[4:], b"asked" + BOTH_NONCES)) == m.TcpPing(
        instance=902
    )
    answer = bytes.fromhex(frames["answer"])
    assert m.response_decoder.decode(verify_frame(seal, answer[4:], b"answered" + BOTH_NONCES)) == m.TcpAck(
        instance=904
    )
    stream = b"".join(bytes.fromhex(frame) for frame in frames["stream"])
    assert list(FrameReader(seal, b"stream" + BOTH_NONCES).feed(stream)) == [
        b"first",
        b"second",
        b"third" * 100,
    ]


async def read_exactly(sock: socket.socket, length: int) -> bytes:
    data = b""
    while len(data) < length:
        got = await asyncio.get_running_loop().sock_recv(sock, length - len(data))
        assert got
        data += got
    return data


def endpoint() -> FleetEndpoint:
    host = unshared_loopback_host()
    return FleetEndpoint(NodeConfig("n0", host, 0, "", (), frozenset()), (host, 0), fleet_samples.KEY)


def test_endpoint_answers_a_call_with_the_recorded_frames() -> None:
    """Both nonces, then a frame each way; the server's nonce is drawn, so its frame is made by definition."""

    async def play() -> None:
        fleet, loop = endpoint(), asyncio.get_running_loop()
        fleet.start()
        sock = socket.socket()
        sock.setblocking(False)
        try:
            await loop.sock_connect(sock, fleet.address)
            await loop.sock_sendall(sock, fleet_samples.CLIENT_NONCE)
            both = fleet_samples.CLIENT_NONCE + await read_exactly(sock, 16)
            question = bytes.fromhex(RECORDED["messages"]["request 3"]["bytes"])
            await loop.sock_sendall(sock, independent_frame(question, b"asked" + both))
            answer = msgspec.msgpack.encode([4, fleet.local_peer.instance])
            expected = independent_frame(answer, b"answered" + both)
            assert await read_exactly(sock, len(expected)) == expected
        finally:
            sock.close()
            fleet.stop()
            await asyncio.gather(*fleet.tasks, return_exceptions=True)

    asyncio.run(asyncio.wait_for(play(), 4.0))


def test_endpoint_calls_with_the_recorded_frames(monkeypatch: pytest.MonkeyPatch) -> None:
    async def play() -> None:
        fleet, loop = endpoint(), asyncio.get_running_loop()
        mine, other = socket.socketpair()
        mine.setblocking(False)
        other.setblocking(False)
        monkeypatch.setattr("os.urandom", lambda count: fleet_samples.CLIENT_NONCE[:count])
        call = asyncio.create_task(fleet.send_request(mine, m.TcpPing(instance=902)))
        assert await read_exactly(other, 16) == fleet_samples.CLIENT_NONCE
        await loop.sock_sendall(other, fleet_samples.SERVER_NONCE)
        expected = bytes.fromhex(RECORDED["frames"]["call"])
        assert await read_exactly(other, len(expected)) == expected
        await loop.sock_sendall(other, bytes.fromhex(RECORDED["frames"]["answer"]))
        opened = await call
        assert opened.answer == m.TcpAck(instance=904)
        assert opened.binding == BOTH_NONCES
        mine.close()
        other.close()

    asyncio.run(asyncio.wait_for(play(), 4.0))


# The state file.


def recorded_file() -> bytes:
    """The file as it was after three writes."""
    length, slots = RECORDED["state file"]["length"], RECORDED["state file"]["slots"]
    return b"".join(bytes.fromhex(slot).ljust(length // 2, b"\0") for slot in slots)


def test_state_file_is_written_as_recorded(tmp_path: Path) -> None:
    path = tmp_path / "relay.state"
    file = StateFile(path)
    for offset in range(3):
        file.write(fleet_samples.durable_state(offset))
    file.close()
    assert path.read_bytes() == recorded_file()


def test_recorded_state_file_is_read_and_continued(tmp_path: Path) -> None:
    path = tmp_path / "relay.state"
    path.write_bytes(recorded_file())
    file = StateFile(path)
    assert file.read() == fleet_samples.durable_state(2)
    file.write(fleet_samples.durable_state(1))
    file.close()
    half = RECORDED["state file"]["length"] // 2
    before, after = recorded_file(), path.read_bytes()
    assert after[half:] == before[half:]  # the newest slot is left alone
    assert after[4:12] == (4).to_bytes(8, "little")  # the count of the writes goes on


@pytest.mark.parametrize(("spoilt_slot", "found"), [(0, 2), (1, 1)])
def test_recorded_state_file_with_one_spoilt_slot_is_read(
    tmp_path: Path, spoilt_slot: int, found: int
) -> None:
    data = bytearray(recorded_file())
    data[spoilt_slot * len(data) // 2 + 40] ^= 1
    path = tmp_path / "relay.state"
    path.write_bytes(data)
    file = StateFile(path)
    assert file.read() == fleet_samples.durable_state(found)
    file.close()


# The hand-over of an upgrade.


def handed_over_text() -> str:
    return base64.b85encode(bytes.fromhex(RECORDED["messages"]["hand-over"]["bytes"])).decode()


def test_service_hands_over_the_recorded_text() -> None:
    said: list[Message] = []
    service: Any = FleetService.__new__(FleetService)
    service.endpoint = SimpleNamespace(hand_over=fleet_samples.handover_state)
    service.host = SimpleNamespace(send_to_peer=said.append)
    service.on_successor_accepting()
    assert said == [FleetMembership(handed_over_text())]
    assert encode_line(said[0]) == b'{"fleet":"%s"}\n' % handed_over_text().encode()


def test_service_continues_from_the_recorded_text() -> None:
    started: list[Any] = []
    service: Any = FleetService.__new__(FleetService)
    service.takeover_timer = None
    service.endpoint = SimpleNamespace(is_open=False, start=lambda *values: started.append(values))
    service.host = SimpleNamespace(inherited_sockets={})
    service.on_message(FleetMembership(handed_over_text()))
    assert started == [(fleet_samples.handover_state(), None, None)]
