"""Compares the fleet's messages, frames, state file and handover with the bytes recorded at 300e9a1."""

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


def expected_tag(body: bytes, context: bytes) -> bytes:
    """Compute a tag independently of the code under test."""
    return hashlib.blake2b(context + body, digest_size=16, key=fleet_samples.KEY).digest()


def expected_frame(body: bytes, context: bytes) -> bytes:
    return (len(body) + 16).to_bytes(4, "big") + body + expected_tag(body, context)


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
    """With equal values in a sample, swapped fields would not change its bytes."""
    for part in wire_forms.structs_in(SAMPLES[key][0]):
        fields = [
            field_value
            for field_value in msgspec.structs.astuple(part)
            if not isinstance(field_value, bool) and field_value is not None
        ]
        scalars = [scalar for value in fields for scalar in wire_forms.scalars_in(value)]
        direct = [field_value for field_value in fields if not isinstance(field_value, tuple | Struct)]
        assert len(direct) == len(set(direct))
        assert all(scalars.count(field_value) == 1 for field_value in direct)


def wire_types(packages: tuple[Any, ...]) -> set[type[Struct]]:
    """Return all array-encoded types of these packages, except those with subclasses."""
    for package in packages:
        for module in pkgutil.walk_packages(package.__path__, f"{package.__name__}."):
            importlib.import_module(module.name)
    found, pending = set(), [Struct]
    while pending:
        struct_type = pending.pop()
        pending += struct_type.__subclasses__()
        module_prefix = f"{struct_type.__module__}."
        is_in_packages = any(module_prefix.startswith(f"{package.__name__}.") for package in packages)
        if is_in_packages and struct_type.__struct_config__.array_like and not struct_type.__subclasses__():
            found.add(struct_type)
    return found


def test_every_wire_type_is_recorded() -> None:
    """A new wire type of fleet or control needs a sample and recorded bytes."""
    groups = [*wire_forms.fleet_groups(), *wire_forms.control_groups()]
    values = [value for samples, _ in groups for value in samples.values()]
    sampled = {type(struct) for value in values for struct in wire_forms.structs_in(value)}
    assert wire_types((violetdoor.fleet, violetdoor.control)) - sampled == set()


def test_digest_of_a_view_is_as_recorded() -> None:
    assert fleet_samples.view().digest == RECORDED["view digest"]


# Frames.


def test_signed_frames_are_as_recorded() -> None:
    assert wire_forms.fleet_frames() == RECORDED["frames"]


def test_recorded_tags_follow_their_definition() -> None:
    frames = RECORDED["frames"]
    packet = bytes.fromhex(RECORDED["messages"]["packet"]["bytes"])
    assert frames["datagram"] == (packet + expected_tag(packet, b"")).hex()
    call = bytes.fromhex(RECORDED["messages"]["request 3"]["bytes"])
    assert frames["call"] == expected_frame(call, b"asked" + BOTH_NONCES).hex()
    second_context = b"stream" + BOTH_NONCES + (1).to_bytes(8, "big")
    assert frames["stream"][1] == expected_frame(b"second", second_context).hex()


def test_recorded_frames_are_opened() -> None:
    authenticator, frames = MessageAuthenticator(fleet_samples.KEY), RECORDED["frames"]
    body = authenticator.verify(bytes.fromhex(frames["datagram"]))
    assert body is not None
    assert m.packet_decoder.decode(body) == fleet_samples.packet()
    call = bytes.fromhex(frames["call"])
    assert parse_length(call[:4]) == len(call) - 4
    assert m.request_decoder.decode(
        verify_frame(authenticator, call[4:], b"asked" + BOTH_NONCES)
    ) == m.TcpPing(instance=902)
    answer = bytes.fromhex(frames["answer"])
    assert m.response_decoder.decode(
        verify_frame(authenticator, answer[4:], b"answered" + BOTH_NONCES)
    ) == m.TcpAck(instance=904)
    stream = b"".join(bytes.fromhex(frame) for frame in frames["stream"])
    assert list(FrameReader(authenticator, b"stream" + BOTH_NONCES).feed(stream)) == [
        b"first",
        b"second",
        b"third" * 100,
    ]


async def read_exactly(sock: socket.socket, length: int) -> bytes:
    data = b""
    while len(data) < length:
        chunk = await asyncio.get_running_loop().sock_recv(sock, length - len(data))
        assert chunk
        data += chunk
    return data


def endpoint() -> FleetEndpoint:
    host = unshared_loopback_host()
    return FleetEndpoint(NodeConfig("n0", host, 0, "", (), frozenset()), (host, 0), fleet_samples.KEY)


def test_endpoint_answers_a_call_with_the_recorded_frames() -> None:
    """Nonces, then one frame each way. The server's nonce is random, so its frame is computed, not recorded."""

    async def test() -> None:
        fleet, loop = endpoint(), asyncio.get_running_loop()
        fleet.start()
        sock = socket.socket()
        sock.setblocking(False)
        try:
            await loop.sock_connect(sock, fleet.address)
            await loop.sock_sendall(sock, fleet_samples.CLIENT_NONCE)
            both_nonces = fleet_samples.CLIENT_NONCE + await read_exactly(sock, 16)
            request = bytes.fromhex(RECORDED["messages"]["request 3"]["bytes"])
            await loop.sock_sendall(sock, expected_frame(request, b"asked" + both_nonces))
            response = msgspec.msgpack.encode([4, fleet.local_peer.instance])
            expected = expected_frame(response, b"answered" + both_nonces)
            assert await read_exactly(sock, len(expected)) == expected
        finally:
            sock.close()
            fleet.stop()
            await asyncio.gather(*fleet.tasks, return_exceptions=True)

    asyncio.run(asyncio.wait_for(test(), 4.0))


def test_endpoint_calls_with_the_recorded_frames(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        fleet, loop = endpoint(), asyncio.get_running_loop()
        local, remote = socket.socketpair()
        local.setblocking(False)
        remote.setblocking(False)
        monkeypatch.setattr("os.urandom", lambda count: fleet_samples.CLIENT_NONCE[:count])
        call = asyncio.create_task(fleet.send_request(local, m.TcpPing(instance=902)))
        assert await read_exactly(remote, 16) == fleet_samples.CLIENT_NONCE
        await loop.sock_sendall(remote, fleet_samples.SERVER_NONCE)
        expected = bytes.fromhex(RECORDED["frames"]["call"])
        assert await read_exactly(remote, len(expected)) == expected
        await loop.sock_sendall(remote, bytes.fromhex(RECORDED["frames"]["answer"]))
        call_response = await call
        assert call_response.response == m.TcpAck(instance=904)
        assert call_response.binding == BOTH_NONCES
        local.close()
        remote.close()

    asyncio.run(asyncio.wait_for(test(), 4.0))


# The state file.


def recorded_file() -> bytes:
    """Return the recorded state file, which has seen three writes."""
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
    assert after[half:] == before[half:]  # the newest slot is not overwritten
    assert after[4:12] == (4).to_bytes(8, "little")  # the write counter continues


@pytest.mark.parametrize(("corrupt_slot", "expected_offset"), [(0, 2), (1, 1)])
def test_recorded_state_file_with_one_corrupt_slot_is_read(
    tmp_path: Path, corrupt_slot: int, expected_offset: int
) -> None:
    data = bytearray(recorded_file())
    data[corrupt_slot * len(data) // 2 + 40] ^= 1
    path = tmp_path / "relay.state"
    path.write_bytes(data)
    file = StateFile(path)
    assert file.read() == fleet_samples.durable_state(expected_offset)
    file.close()


# The handover in an upgrade.


def recorded_handover_text() -> str:
    return base64.b85encode(bytes.fromhex(RECORDED["messages"]["hand-over"]["bytes"])).decode()


def test_service_hands_over_the_recorded_text() -> None:
    sent: list[Message] = []
    service: Any = FleetService.__new__(FleetService)
    service.endpoint = SimpleNamespace(hand_over=fleet_samples.handover_state)
    service.host = SimpleNamespace(send_to_peer=sent.append)
    service.on_successor_accepting()
    assert sent == [FleetMembership(recorded_handover_text())]
    assert encode_line(sent[0]) == b'{"fleet":"%s"}\n' % recorded_handover_text().encode()


def test_service_continues_from_the_recorded_text() -> None:
    start_arguments: list[Any] = []
    service: Any = FleetService.__new__(FleetService)
    service.takeover_timer = None
    service.endpoint = SimpleNamespace(is_open=False, start=lambda *values: start_arguments.append(values))
    service.host = SimpleNamespace(inherited_sockets={})
    service.on_message(FleetMembership(recorded_handover_text()))
    assert start_arguments == [(fleet_samples.handover_state(), None, None)]
