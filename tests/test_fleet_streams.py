"""Message streams between two relays on loopback, and their frames."""

from __future__ import annotations

import asyncio
import socket

import pytest
from hypothesis import given
from hypothesis import strategies as st
from standins import run, unshared_loopback_host

from violetdoor.fleet import messages as m
from violetdoor.fleet.authentication import MessageAuthenticator
from violetdoor.fleet.calls import CallResponse, MessageHandler
from violetdoor.fleet.context import NodeConfig
from violetdoor.fleet.endpoint import FleetEndpoint
from violetdoor.fleet.frames import FrameError, FrameReader, FrameWriter
from violetdoor.fleet.messages import MAX_FRAME_BYTES
from violetdoor.fleet.streams import StreamChannel
from violetdoor.fleet.view import Address, Peer, View

KEY = b"0123456789abcdef"
BINDING = b"b" * 32


@given(st.lists(st.binary(max_size=200), max_size=8), st.integers(1, 64))
def test_a_stream_decodes_to_its_messages_however_it_is_cut(bodies: list[bytes], chunk_size: int) -> None:
    writer = FrameWriter(MessageAuthenticator(KEY), BINDING)
    reader = FrameReader(MessageAuthenticator(KEY), BINDING)
    data = b"".join(writer.frame(body) for body in bodies)
    chunks = [data[n : n + chunk_size] for n in range(0, len(data), chunk_size)]
    # An empty body is invalid: a frame must contain more than a tag.
    if b"" in bodies:
        with pytest.raises(FrameError):
            [list(reader.feed(chunk)) for chunk in chunks]
    else:
        assert [body for chunk in chunks for body in reader.feed(chunk)] == bodies


@pytest.mark.parametrize(
    "alteration", ["left out", "repeated", "swapped", "changed", "too long", "another key"]
)
def test_a_stream_with_altered_or_misplaced_frames_is_rejected(alteration: str) -> None:
    writer = FrameWriter(MessageAuthenticator(KEY if alteration != "another key" else KEY[::-1]), BINDING)
    first, second, third = (writer.frame(body) for body in (b"one", b"two", b"three"))
    frames = {
        "left out": [first, third], "repeated": [first, first], "swapped": [second, first], "another key": [first],
        "changed": [first[:4] + bytes((first[4] ^ 1,)) + first[5:]], "too long": [(MAX_FRAME_BYTES + 1).to_bytes(4, "big")],
    }  # fmt: skip
    reader = FrameReader(MessageAuthenticator(KEY), BINDING)
    with pytest.raises(FrameError):
        list(reader.feed(b"".join(frames[alteration])))


class FakeMember:
    """A stream host with a view of two members, whose endpoint has not joined a fleet."""

    def __init__(self, endpoint: FleetEndpoint, other: Peer) -> None:
        self.endpoint = endpoint
        self.authenticator = endpoint.authenticator
        self.routes: dict[str, Address] = {}
        self.channel_handlers: dict[str, MessageHandler] = {}
        self.view = View(1, 1, (endpoint.local_peer, other))
        self.local_peer = endpoint.local_peer

    async def send_request(self, sock: socket.socket, request: m.Request) -> CallResponse:
        return await self.endpoint.send_request(sock, request)


def test_messages_arrive_in_order_and_a_refused_connection_is_reported() -> None:
    async def test() -> None:
        host = unshared_loopback_host()
        endpoints = [FleetEndpoint(NodeConfig(name, host, 0), (host, 0), KEY) for name in ("r0", "r1")]
        sender, receiver = endpoints
        receiver.start()
        received: list[tuple[str, int, bytes]] = []
        all_received = asyncio.Event()

        def record(name: str, instance: int, message: bytes) -> None:
            received.append((name, instance, message))
            if message == b"last":
                all_received.set()

        StreamChannel(receiver, "news", record)
        receiver_peer = Peer("r1", receiver.local_peer.instance, *receiver.address)
        channel = StreamChannel(FakeMember(sender, receiver_peer), "news", lambda *_: None)
        sent = [b"%d" % n * 1000 for n in range(500)] + [b"last"]
        assert all(channel.send("r1", message) for message in sent)
        assert not channel.send("r2", b"x")
        await asyncio.wait_for(all_received.wait(), 5.0)
        assert received == [("r0", sender.local_peer.instance, message) for message in sent]
        assert channel.counts["streams_opened"] == 1
        await channel.close()
        receiver.stop()

        refused = asyncio.Event()
        second_channel = StreamChannel(FakeMember(sender, receiver_peer), "news", lambda *_: None)
        second_channel.on_connection_refused = lambda name, instance: (
            refused.set() if (name, instance) == ("r1", receiver_peer.instance) else None
        )
        assert second_channel.send("r1", b"x")
        await asyncio.wait_for(refused.wait(), 5.0)
        await second_channel.close()

    run(test)
