"""Bytes of the control plane's messages, frames and hand-over, against those recorded at revision 300e9a1."""

from __future__ import annotations

import base64
import hashlib
import json
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import msgspec
import pytest
from msgspec import Struct
from recorded import control_samples, fleet_samples, wire_forms

from violetdoor.control import messages as c
from violetdoor.control.frames import FrameCodec, Side
from violetdoor.control.service import ControlService
from violetdoor.fleet.authentication import MessageAuthenticator
from violetdoor.upgrade.messages import ControlAttachment, Message, encode_line

RECORDED = json.loads((Path(__file__).parent / "recorded" / "control.json").read_text())
SAMPLES = wire_forms.with_decoders(wire_forms.control_groups())
NONCES = {Side.CLIENT: fleet_samples.CLIENT_NONCE, Side.SERVER: fleet_samples.SERVER_NONCE}


def test_every_recording_has_a_sample() -> None:
    assert list(SAMPLES) == list(RECORDED["messages"])


@pytest.mark.parametrize("key", SAMPLES)
def test_message_encodes_to_recorded_bytes(key: str) -> None:
    assert c.encode(SAMPLES[key][0]).hex() == RECORDED["messages"][key]["bytes"]


@pytest.mark.parametrize("key", RECORDED["messages"])
def test_recorded_bytes_decode_to_the_message(key: str) -> None:
    value, decoder = SAMPLES[key]
    decoded = decoder.decode(bytes.fromhex(RECORDED["messages"][key]["bytes"]))
    assert decoded == value
    assert type(decoded) is type(value)
    assert c.encode(decoded).hex() == RECORDED["messages"][key]["bytes"]


@pytest.mark.parametrize("key", SAMPLES)
def test_shorter_and_longer_arrays_are_read_as_recorded(key: str) -> None:
    assert wire_forms.encoded_forms(*SAMPLES[key]) == RECORDED["messages"][key]


@pytest.mark.parametrize("key", [key for key in SAMPLES if "," not in key])
def test_no_two_values_of_a_sample_are_equal(key: str) -> None:
    """Guards against fields that change places unseen."""
    for part in wire_forms.structs_in(SAMPLES[key][0]):
        own = msgspec.structs.astuple(part)
        direct = [one for one in own if one is not None and not isinstance(one, bool | tuple | Struct)]
        assert len(direct) == len(set(direct))
        parts = [one for one in own if isinstance(one, Struct)]
        assert all(one != other for n, one in enumerate(parts) for other in parts[:n])


def codecs() -> dict[Side, FrameCodec]:
    """Both sides of a connection, that have each other's recorded nonce."""
    both = {side: FrameCodec(MessageAuthenticator(fleet_samples.KEY), side) for side in Side}
    for side, codec in both.items():
        codec.nonce = NONCES[side]
    for side, codec in both.items():
        assert list(codec.feed(NONCES[side.other])) == []
    return both


def bodies() -> dict[Side, list[bytes]]:
    return {
        Side.CLIENT: [c.encode(one) for one in control_samples.session_requests().values()],
        Side.SERVER: [c.encode(one) for one in control_samples.session_responses().values()],
    }


RECORDED_FRAMES = {Side.CLIENT: RECORDED["frames"]["client"], Side.SERVER: RECORDED["frames"]["server"]}


@pytest.mark.parametrize("side", Side)
def test_frames_are_made_as_recorded(side: Side) -> None:
    codec = codecs()[side]
    made = [codec.nonce.hex(), *(codec.encode_frame(body).hex() for body in bodies()[side])]
    assert made == RECORDED_FRAMES[side]


@pytest.mark.parametrize("side", Side)
@pytest.mark.parametrize("step", [1, 7, 1 << 20])
def test_recorded_frames_are_read_however_they_are_cut(side: Side, step: int) -> None:
    reader = FrameCodec(MessageAuthenticator(fleet_samples.KEY), side.other)
    reader.nonce = NONCES[side.other]
    data = bytes.fromhex("".join(RECORDED_FRAMES[side]))
    found = [body for at in range(0, len(data), step) for body in reader.feed(data[at : at + step])]
    assert found == bodies()[side]


def test_recorded_seals_follow_their_definition() -> None:
    frame = bytes.fromhex(RECORDED["frames"]["server"][3])  # the nonce, then frames 0, 1 and 2
    context = b"control server" + NONCES[Side.CLIENT] + NONCES[Side.SERVER] + (2).to_bytes(8, "big")
    length, body, seal = frame[:4], frame[4:-16], frame[-16:]
    assert length == (len(body) + 16).to_bytes(4, "big")
    assert seal == hashlib.blake2b(context + body, digest_size=16, key=fleet_samples.KEY).digest()


# The hand-over of an upgrade.


def handed_over_text() -> str:
    return base64.b85encode(bytes.fromhex(RECORDED["messages"]["hand-over"]["bytes"])).decode()


def test_service_hands_over_the_recorded_text() -> None:
    said: list[Message] = []
    service: Any = ControlService.__new__(ControlService)
    service.client = SimpleNamespace(hand_over=control_samples.attachment_snapshot)
    service.host = SimpleNamespace(send_to_peer=said.append)
    service.on_successor_accepting()
    assert said == [ControlAttachment(handed_over_text())]
    assert encode_line(said[0]) == b'{"control":"%s"}\n' % handed_over_text().encode()


def test_service_continues_from_the_recorded_text() -> None:
    started: list[Any] = []
    service: Any = ControlService.__new__(ControlService)
    service.handover_timer = None
    service.client = SimpleNamespace(is_open=False, start=started.append)
    service.on_message(ControlAttachment(handed_over_text()))
    assert started == [control_samples.attachment_snapshot()]
