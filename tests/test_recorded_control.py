"""Bytes of the control plane's messages, frames and handover, compared with a recording of revision 300e9a1."""

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

from violetdoor.control import messages
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
    assert messages.encode(SAMPLES[key][0]).hex() == RECORDED["messages"][key]["bytes"]


@pytest.mark.parametrize("key", RECORDED["messages"])
def test_recorded_bytes_decode_to_the_message(key: str) -> None:
    value, decoder = SAMPLES[key]
    decoded = decoder.decode(bytes.fromhex(RECORDED["messages"][key]["bytes"]))
    assert decoded == value
    assert type(decoded) is type(value)
    assert messages.encode(decoded).hex() == RECORDED["messages"][key]["bytes"]


@pytest.mark.parametrize("key", SAMPLES)
def test_shorter_and_longer_arrays_are_read_as_recorded(key: str) -> None:
    assert wire_forms.encoded_forms(*SAMPLES[key]) == RECORDED["messages"][key]


@pytest.mark.parametrize("key", [key for key in SAMPLES if "," not in key])
def test_no_two_values_of_a_sample_are_equal(key: str) -> None:
    """With equal values in two fields, the recording would not show that the fields changed places."""
    for struct in wire_forms.structs_in(SAMPLES[key][0]):
        values = msgspec.structs.astuple(struct)
        scalars = [
            value for value in values if value is not None and not isinstance(value, bool | tuple | Struct)
        ]
        assert len(scalars) == len(set(scalars))
        structs = [value for value in values if isinstance(value, Struct)]
        assert all(value != other for n, value in enumerate(structs) for other in structs[:n])


def connected_codecs() -> dict[Side, FrameCodec]:
    """Return both sides of a connection, after they exchanged the recorded nonces."""
    codecs = {side: FrameCodec(MessageAuthenticator(fleet_samples.KEY), side) for side in Side}
    for side, codec in codecs.items():
        codec.nonce = NONCES[side]
    for side, codec in codecs.items():
        assert list(codec.feed(NONCES[side.other])) == []
    return codecs


def bodies() -> dict[Side, list[bytes]]:
    return {
        Side.CLIENT: [messages.encode(request) for request in control_samples.session_requests().values()],
        Side.SERVER: [messages.encode(response) for response in control_samples.session_responses().values()],
    }


RECORDED_FRAMES = {Side.CLIENT: RECORDED["frames"]["client"], Side.SERVER: RECORDED["frames"]["server"]}


@pytest.mark.parametrize("side", Side)
def test_frames_are_encoded_as_recorded(side: Side) -> None:
    codec = connected_codecs()[side]
    sent = [codec.nonce.hex(), *(codec.encode_frame(body).hex() for body in bodies()[side])]
    assert sent == RECORDED_FRAMES[side]


@pytest.mark.parametrize("side", Side)
@pytest.mark.parametrize("chunk_bytes", [1, 7, 1 << 20])
def test_recorded_frames_are_decoded_however_the_stream_is_cut(side: Side, chunk_bytes: int) -> None:
    codec = FrameCodec(MessageAuthenticator(fleet_samples.KEY), side.other)
    codec.nonce = NONCES[side.other]
    data = bytes.fromhex("".join(RECORDED_FRAMES[side]))
    decoded = [
        body
        for start in range(0, len(data), chunk_bytes)
        for body in codec.feed(data[start : start + chunk_bytes])
    ]
    assert decoded == bodies()[side]


def test_recorded_tags_follow_their_definition() -> None:
    frame = bytes.fromhex(RECORDED["frames"]["server"][3])  # after the nonce and frames 0 and 1
    context = b"control server" + NONCES[Side.CLIENT] + NONCES[Side.SERVER] + (2).to_bytes(8, "big")
    length, body, tag = frame[:4], frame[4:-16], frame[-16:]
    assert length == (len(body) + 16).to_bytes(4, "big")
    assert tag == hashlib.blake2b(context + body, digest_size=16, key=fleet_samples.KEY).digest()


# The handover of an upgrade.


def handover_text() -> str:
    return base64.b85encode(bytes.fromhex(RECORDED["messages"]["hand-over"]["bytes"])).decode()


def test_service_hands_over_the_recorded_text() -> None:
    sent: list[Message] = []
    service: Any = ControlService.__new__(ControlService)
    service.client = SimpleNamespace(hand_over=control_samples.attachment_snapshot)
    service.host = SimpleNamespace(send_to_peer=sent.append)
    service.on_successor_accepting()
    assert sent == [ControlAttachment(handover_text())]
    assert encode_line(sent[0]) == b'{"control":"%s"}\n' % handover_text().encode()


def test_service_continues_from_the_recorded_text() -> None:
    started: list[Any] = []
    service: Any = ControlService.__new__(ControlService)
    service.handover_timer = None
    service.client = SimpleNamespace(is_open=False, start=started.append)
    service.on_message(ControlAttachment(handover_text()))
    assert started == [control_samples.attachment_snapshot()]
