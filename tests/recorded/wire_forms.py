"""The encoded forms of samples, complete, truncated and extended, for the recording and the tests."""

from __future__ import annotations

from typing import Any

import msgspec
from msgspec import Struct

from recorded import control_samples, fleet_samples
from violetdoor.control import messages as c
from violetdoor.fleet import messages as m
from violetdoor.fleet.authentication import MessageAuthenticator
from violetdoor.fleet.frames import FrameWriter, encode_frame

Samples = dict[str, Any]
Decoder = msgspec.msgpack.Decoder[Any]
LATER_FIELD = "of a later version"  # value of a field that a newer version appends to a message


def fleet_groups() -> list[tuple[Samples, Decoder | None]]:
    """Return all samples of the fleet with their production decoder; None: a decoder of the sample's type."""
    return [
        (fleet_samples.parts(), None),
        (fleet_samples.datagram_messages(), msgspec.msgpack.Decoder(m.Message)),
        (fleet_samples.packets(), m.packet_decoder),
        (fleet_samples.requests(), m.request_decoder),
        (fleet_samples.responses(), m.response_decoder),
        (fleet_samples.states(), None),
    ]


def control_groups() -> list[tuple[Samples, Decoder | None]]:
    """Return all samples of the control plane with their decoders, like `fleet_groups`."""
    return [
        (control_samples.parts(), None),
        (control_samples.session_requests(), c.session_request_decoder),
        (control_samples.session_responses(), c.session_response_decoder),
        (control_samples.group_messages(), c.group_message_decoder),
        (control_samples.states(), None),
    ]


def with_decoders(groups: list[tuple[Samples, Decoder | None]]) -> dict[str, tuple[Any, Decoder]]:
    """Return each sample with its decoder, by its key."""
    return {
        key: (value, decoder or msgspec.msgpack.Decoder(type(value)))
        for samples, decoder in groups
        for key, value in samples.items()
    }


def encoded_forms(value: Any, decoder: Decoder) -> dict[str, Any]:
    """Return the recorded forms of a sample.

    These are its bytes, and the results of decoding truncated arrays of older senders and extended arrays of
    newer ones.
    """
    data = m.encode(value)
    items = msgspec.msgpack.decode(data)
    truncated = [decode_and_encode(items[:length], decoder) for length in range(len(items))]
    return {
        "bytes": data.hex(),
        "cut": truncated,
        "longer": decode_and_encode([*items, LATER_FIELD], decoder),
    }


def decode_and_encode(items: list[Any], decoder: Decoder) -> str | None:
    """Return the encoded result of decoding an array, in hex; None if the decoder rejects the array."""
    try:
        return m.encode(decoder.decode(msgspec.msgpack.encode(items))).hex()
    except msgspec.MsgspecError:
        return None


def structs_in(value: Any) -> list[Struct]:
    """Return a message and all structs that it contains."""
    if isinstance(value, Struct):
        return [value, *(part for field in msgspec.structs.astuple(value) for part in structs_in(field))]
    if isinstance(value, tuple):
        return [part for item in value for part in structs_in(item)]
    return []


def scalars_in(value: Any) -> list[Any]:
    """Return all numbers, strings and bytes that a message contains, without booleans."""
    if isinstance(value, Struct):
        return [scalar for field in msgspec.structs.astuple(value) for scalar in scalars_in(field)]
    if isinstance(value, tuple):
        return [scalar for item in value for scalar in scalars_in(item)]
    return [] if value is None or isinstance(value, bool) else [value]


def fleet_frames() -> dict[str, Any]:
    """Return authenticated datagrams and frames between relays."""
    authenticator = MessageAuthenticator(fleet_samples.KEY)
    body = m.encode(fleet_samples.packet())
    nonces = fleet_samples.CLIENT_NONCE + fleet_samples.SERVER_NONCE
    writer = FrameWriter(authenticator, b"stream" + nonces)
    return {
        "datagram": authenticator.sign(body).hex(),
        "call": encode_frame(authenticator, m.encode(m.TcpPing(instance=902)), b"asked" + nonces).hex(),
        "answer": encode_frame(authenticator, m.encode(m.TcpAck(instance=904)), b"answered" + nonces).hex(),
        "stream": [writer.frame(text).hex() for text in (b"first", b"second", b"third" * 100)],
    }
