"""The bytes of samples, cut short and lengthened too, as the recording and the tests both need them."""

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
LATER_FIELD = "of a later version"  # what a newer relay may add to the end of a message


def fleet_groups() -> list[tuple[Samples, Decoder | None]]:
    """All samples of the fleet, with the decoder that reads them in service; none: that of their own type."""
    return [
        (fleet_samples.parts(), None),
        (fleet_samples.datagram_messages(), msgspec.msgpack.Decoder(m.Message)),
        (fleet_samples.packets(), m.packet_decoder),
        (fleet_samples.requests(), m.request_decoder),
        (fleet_samples.answers(), m.response_decoder),
        (fleet_samples.states(), None),
    ]


def control_groups() -> list[tuple[Samples, Decoder | None]]:
    return [
        (control_samples.parts(), None),
        (control_samples.session_requests(), c.session_request_decoder),
        (control_samples.session_responses(), c.session_response_decoder),
        (control_samples.group_messages(), c.group_message_decoder),
        (control_samples.states(), None),
    ]


def with_decoders(groups: list[tuple[Samples, Decoder | None]]) -> dict[str, tuple[Any, Decoder]]:
    """Each sample by its key, with its decoder."""
    return {
        key: (value, decoder or msgspec.msgpack.Decoder(type(value)))
        for samples, decoder in groups
        for key, value in samples.items()
    }


def encoded_forms(value: Any, decoder: Decoder) -> dict[str, Any]:
    """What is recorded of a sample: its bytes, and what older and newer senders' arrays are read as."""
    data = m.encode(value)
    items = msgspec.msgpack.decode(data)
    cut = [reread(items[:length], decoder) for length in range(len(items))]
    return {"bytes": data.hex(), "cut": cut, "longer": reread([*items, LATER_FIELD], decoder)}


def reread(items: list[Any], decoder: Decoder) -> str | None:
    """The bytes of what such an array is read as; none where it is refused."""
    try:
        return m.encode(decoder.decode(msgspec.msgpack.encode(items))).hex()
    except msgspec.MsgspecError:
        return None


def structs_in(value: Any) -> list[Struct]:
    """A message and all that it is made of."""
    if isinstance(value, Struct):
        return [value, *(one for field in msgspec.structs.astuple(value) for one in structs_in(field))]
    if isinstance(value, tuple):
        return [one for item in value for one in structs_in(item)]
    return []


def scalars_in(value: Any) -> list[Any]:
    """All numbers, texts and bytes that a message carries; truth values left out."""
    if isinstance(value, Struct):
        return [one for field in msgspec.structs.astuple(value) for one in scalars_in(field)]
    if isinstance(value, tuple):
        return [one for item in value for one in scalars_in(item)]
    return [] if value is None or isinstance(value, bool) else [value]


def fleet_frames() -> dict[str, Any]:
    """Sealed datagrams and frames between relays."""
    seal = MessageAuthenticator(fleet_samples.KEY)
    body = m.encode(fleet_samples.packet())
    both = fleet_samples.CLIENT_NONCE + fleet_samples.SERVER_NONCE
    writer = FrameWriter(seal, b"stream" + both)
    return {
        "datagram": seal.sign(body).hex(),
        "call": encode_frame(seal, m.encode(m.TcpPing(instance=902)), b"asked" + both).hex(),
        "answer": encode_frame(seal, m.encode(m.TcpAck(instance=904)), b"answered" + both).hex(),
        "stream": [writer.frame(text).hex() for text in (b"first", b"second", b"third" * 100)],
    }
