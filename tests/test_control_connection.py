"""Signed frames and their connections: frames arrive as sent; invalid bytes or a stall end a connection."""

from __future__ import annotations

import asyncio
import contextlib
import functools
import socket
from collections import Counter
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any, ParamSpec

import pytest
import uvloop
from hypothesis import given
from hypothesis import strategies as st
from standins import TIMEOUT_SECONDS, wait_until

from violetdoor.control import connection as connection_module
from violetdoor.control.connection import Connection, attach_accepted_socket
from violetdoor.control.dialer import Dialer
from violetdoor.control.frames import CloseReason, FrameCodec, FrameError, Side
from violetdoor.control.messages import (
    MAX_FRAME_BYTES,
    Entries,
    GoAway,
    Heartbeat,
    Leave,
    encode,
    session_request_decoder,
    session_response_decoder,
)
from violetdoor.fleet.authentication import TAG_BYTES, MessageAuthenticator
from violetdoor.fleet.messages import HybridTimestamp, MapEntry
from violetdoor.net.addresses import Address
from violetdoor.net.sockets import listen

KEY = b"0123456789abcdef0123456789abcdef"
OTHER_KEY = b"another key of the same length.."
NONCE_BYTES = 16
BURST = 1000  # messages sent in one iteration of the event loop

Parameters = ParamSpec("Parameters")


def on_both_loops(test: Callable[Parameters, Awaitable[None]]) -> Callable[Parameters, None]:
    """Run a test's coroutine on asyncio's event loop, as tests and tools do, and on uvloop, as the program."""

    @functools.wraps(test)
    def run(*args: Parameters.args, **kwargs: Parameters.kwargs) -> None:
        async def bounded() -> None:
            async with asyncio.timeout(TIMEOUT_SECONDS):
                await test(*args, **kwargs)

        asyncio.run(bounded())
        uvloop.run(bounded())

    return run


def codec_pair(client_key: bytes = KEY) -> tuple[FrameCodec, FrameCodec]:
    """Return both sides of a connection, client first, after the exchange of nonces."""
    client = FrameCodec(MessageAuthenticator(client_key), Side.CLIENT)
    server = FrameCodec(MessageAuthenticator(KEY), Side.SERVER)
    assert not list(client.feed(server.nonce))
    assert not list(server.feed(client.nonce))
    return client, server


def rejection_of(codec: FrameCodec, data: bytes) -> CloseReason:
    """Feed bytes that must be rejected, and return the reason."""
    with pytest.raises(FrameError) as error:
        list(codec.feed(data))
    return error.value.reason


@given(st.lists(st.binary(min_size=1, max_size=300), max_size=12), st.data())
def test_frames_decode_to_their_bodies_however_the_stream_is_cut(
    bodies: list[bytes], data: st.DataObject
) -> None:
    client, server = codec_pair()
    stream = b"".join(client.encode_frame(body) for body in bodies)
    cuts = sorted(data.draw(st.lists(st.integers(0, len(stream)), max_size=8)))
    parts = [stream[start:end] for start, end in zip([0, *cuts], [*cuts, len(stream)], strict=True)]
    assert [body for part in parts for body in server.feed(part)] == bodies


@given(st.integers(0, 10_000), st.integers(1, 255))
def test_a_frame_with_one_changed_byte_is_rejected(position: int, change: int) -> None:
    client, server = codec_pair()
    stream = bytearray(client.encode_frame(b"a heartbeat") + client.encode_frame(b"and another"))
    changed = position % len(stream)
    stream[changed] ^= change
    received: list[bytes] = []
    with contextlib.suppress(FrameError):
        received.extend(server.feed(bytes(stream)))  # no error if the changed length is longer: incomplete
    assert received in ([], [b"a heartbeat"])
    assert received == [] or changed >= len(stream) // 2


def test_a_repeated_frame_is_rejected() -> None:
    client, server = codec_pair()
    frame = client.encode_frame(b"first")
    assert list(server.feed(frame)) == [b"first"]
    assert rejection_of(server, frame) is CloseReason.INVALID_TAG


def test_a_reordered_or_omitted_frame_and_one_of_another_connection_are_rejected() -> None:
    client, server = codec_pair()
    first = client.encode_frame(b"first")
    second = client.encode_frame(b"second")
    assert rejection_of(server, second + first) is CloseReason.INVALID_TAG
    _, other_server = codec_pair()
    assert rejection_of(other_server, first) is CloseReason.INVALID_TAG


def test_a_reflected_frame_is_rejected() -> None:
    client, _ = codec_pair()
    assert rejection_of(client, client.encode_frame(b"mine")) is CloseReason.INVALID_TAG


def test_a_frame_under_another_key_is_rejected() -> None:
    client, server = codec_pair(OTHER_KEY)
    assert rejection_of(server, client.encode_frame(b"foreign")) is CloseReason.INVALID_TAG


@pytest.mark.parametrize("length", [0, TAG_BYTES, MAX_FRAME_BYTES + 1, 0xFFFFFFFF])
def test_an_invalid_length_is_rejected_before_anything_is_buffered(length: int) -> None:
    _, server = codec_pair()
    assert rejection_of(server, length.to_bytes(4, "big")) is CloseReason.INVALID_LENGTH


def test_the_longest_frame_is_accepted_and_a_longer_one_is_not_made() -> None:
    client, server = codec_pair()
    body = bytes(MAX_FRAME_BYTES - TAG_BYTES)
    assert list(server.feed(client.encode_frame(body))) == [body]
    with pytest.raises(ValueError, match="expected"):
        client.encode_frame(body + b"x")


class InjectedFaultError(Exception):
    """A failure of the handler that a test has requested."""


@dataclass
class RecordingHandler:
    """A handler of connections and of a dialer that records its calls."""

    opened: list[Any] = field(default_factory=list)
    messages: list[Any] = field(default_factory=list)
    backlogs: list[int] = field(default_factory=list)
    close_reasons: list[CloseReason] = field(default_factory=list)
    failures: list[bool] = field(default_factory=list)
    raises_on_message: bool = False

    def connection_opened(self, connection: Any) -> None:
        self.opened.append(connection)

    def message_received(self, _connection: Any, message: Any) -> None:
        if self.raises_on_message:
            raise InjectedFaultError
        self.messages.append(message)

    def backlog_changed(self, _connection: Any, queued_bytes: int) -> None:
        self.backlogs.append(queued_bytes)

    def connection_closed(self, _connection: Any, reason: CloseReason) -> None:
        self.close_reasons.append(reason)

    def connection_failed(self, *, refused: bool) -> None:
        self.failures.append(refused)


class Server:
    """A listening socket whose connections are served with signed frames."""

    def __init__(self) -> None:
        self.sock = listen(("127.0.0.1", 0))
        self.address: Address = self.sock.getsockname()[:2]
        self.handler = RecordingHandler()
        self.counters: Counter[str] = Counter()
        self.connections: list[Connection[Any]] = []

    async def accept(self) -> None:
        while True:
            sock, _ = await asyncio.get_running_loop().sock_accept(self.sock)
            connection = Connection(
                MessageAuthenticator(KEY), Side.SERVER, session_request_decoder, self.handler, self.counters
            )
            self.connections.append(connection)
            await attach_accepted_socket(sock, connection)


@contextlib.asynccontextmanager
async def running_server() -> AsyncIterator[Server]:
    """Run a server until the block ends."""
    server = Server()
    task = asyncio.create_task(server.accept())
    try:
        yield server
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        server.sock.close()


def make_dialer(key: bytes = KEY) -> tuple[Dialer[Any], RecordingHandler]:
    handler = RecordingHandler()
    return Dialer(MessageAuthenticator(key), session_response_decoder, handler, Counter()), handler


async def connected_dialer(server: Server, key: bytes = KEY) -> tuple[Dialer[Any], RecordingHandler]:
    """Connect a dialer, and wait until its side of the handshake is complete."""
    dialer, handler = make_dialer(key)
    dialer.dial(server.address)
    await wait_until(lambda: handler.opened)
    return dialer, handler


async def send_raw(server: Server, data: bytes) -> None:
    """Send bytes without a handshake; the server sends nothing but its nonce and closes the connection."""
    reader, writer = await asyncio.open_connection(*server.address)
    writer.write(data)
    with contextlib.suppress(ConnectionError):
        assert len(await reader.read()) <= NONCE_BYTES
    writer.close()


@on_both_loops
async def test_messages_arrive_both_ways_and_the_last_one_before_a_close_is_read() -> None:
    async with running_server() as server:
        dialer, handler = await connected_dialer(server)
        for number in range(BURST):
            dialer.send(Heartbeat(number, None))
        await wait_until(lambda: len(server.handler.messages) == BURST)
        assert [message.number for message in server.handler.messages] == list(range(BURST))
        assert dialer.counters["writes"] == 1  # one iteration of the event loop
        (connection,) = server.handler.opened
        connection.send(GoAway(1.0))
        connection.close()
        assert server.handler.close_reasons == [CloseReason.CLOSED_LOCALLY]
        dialer.send(Leave())  # the server doesn't read it; its own last message must arrive nevertheless
        await wait_until(lambda: handler.close_reasons)
        assert handler.messages == [GoAway(1.0)]
        assert handler.close_reasons == [CloseReason.CLOSED_BY_PEER]
        connection.send(GoAway(2.0))  # ignored after the close


@on_both_loops
async def test_invalid_bytes_end_their_connection_alone_and_are_counted() -> None:
    async with running_server() as server:
        dialer, handler = await connected_dialer(server)
        other_key_dialer, _ = await connected_dialer(server, OTHER_KEY)
        other_key_dialer.send(Heartbeat(1, None))
        await wait_until(lambda: server.counters["dropped_seal"] == 1)

        def dropped_frames() -> int:
            return server.counters["dropped_length"] + server.counters["dropped_seal"]

        await send_raw(server, b"x" * NONCE_BYTES + b"\xff\xff\xff\xff")
        await wait_until(lambda: dropped_frames() == 1 + 1)
        await send_raw(server, b"x" * NONCE_BYTES + b"\0\0\0\x20" + b"y" * 32)
        await wait_until(lambda: dropped_frames() == 1 + 2)

        codec = FrameCodec(MessageAuthenticator(KEY), Side.CLIENT)
        reader, writer = await asyncio.open_connection(*server.address)
        assert not list(codec.feed(await reader.readexactly(NONCE_BYTES)))
        writer.write(codec.nonce + codec.encode_frame(b"\x93 no message"))
        await wait_until(lambda: server.counters["dropped_form"] == 1)
        writer.close()
        assert not server.handler.opened  # none of these connections became a session
        dialer.send(Heartbeat(2, None))
        await wait_until(lambda: server.handler.messages)
        assert not handler.close_reasons


@on_both_loops
async def test_a_silent_client_is_closed_at_the_handshake_timeout(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(connection_module, "HANDSHAKE_TIMEOUT_SECONDS", 0.05)
    async with running_server() as server:
        reader, writer = await asyncio.open_connection(*server.address)
        with contextlib.suppress(ConnectionError):
            assert len(await reader.read()) == NONCE_BYTES
        assert server.handler.close_reasons == [CloseReason.HANDSHAKE_TIMEOUT]
        assert not server.handler.opened
        writer.close()


@on_both_loops
async def test_a_peer_that_reads_nothing_has_a_backlog_and_is_closed(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(connection_module, "WRITE_STALL_TIMEOUT_SECONDS", 0.1)
    async with running_server() as server:
        codec = FrameCodec(MessageAuthenticator(KEY), Side.CLIENT)
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        await asyncio.to_thread(sock.connect, server.address)
        assert not list(codec.feed(await asyncio.to_thread(sock.recv, NONCE_BYTES)))
        sock.sendall(codec.nonce + codec.encode_frame(encode(Leave())))
        await wait_until(lambda: server.handler.opened)
        (connection,) = server.handler.opened
        entry = MapEntry("k" * 64, HybridTimestamp(1, 2, "r"), 1.0)
        chunk = Entries((entry,) * 400)
        while not server.handler.backlogs:  # until the kernel's send buffer is full
            connection.send(chunk)
            await asyncio.sleep(0)
        assert server.handler.backlogs[-1] > 0
        await wait_until(lambda: server.handler.close_reasons)
        assert server.handler.close_reasons == [CloseReason.WRITE_STALLED]
        sock.close()


@on_both_loops
async def test_a_backlog_over_the_limit_closes_the_connection(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(connection_module, "MAX_QUEUED_BYTES", 10_000)
    async with running_server() as server:
        dialer, handler = await connected_dialer(server)
        for number in range(BURST):
            dialer.send(Heartbeat(number, None))
        assert handler.close_reasons == [CloseReason.QUEUE_OVERFLOW]
        await wait_until(lambda: server.handler.close_reasons or server.counters)


@on_both_loops
async def test_a_fault_in_handling_a_message_ends_that_connection_alone() -> None:
    async with running_server() as server:
        dialer, handler = await connected_dialer(server)
        server.handler.raises_on_message = True
        dialer.send(Leave())
        await wait_until(lambda: handler.close_reasons)
        assert server.handler.close_reasons == [CloseReason.HANDLER_FAULT]
        assert server.counters["faults"] == 1


@on_both_loops
async def test_an_attempt_is_replaced_by_another_closed_or_refused() -> None:
    with listen(("127.0.0.1", 0)) as unserved:  # the kernel accepts its connections, but nothing serves them
        dialer, handler = make_dialer()
        dialer.dial(unserved.getsockname()[:2])
        async with running_server() as server:
            dialer.dial(server.address)
            await wait_until(lambda: handler.opened)
            dialer.close()
            await wait_until(lambda: server.connections and server.connections[0].is_closing)
        assert not handler.close_reasons
        assert not handler.failures
    dialer.dial(server.address)
    await wait_until(lambda: handler.failures)
    assert handler.failures == [True]
    assert dialer.counters["connects_failed"] == 1
