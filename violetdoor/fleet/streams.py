"""Message streams between relays for other components: one TCP connection per direction, opened on first use.

A stream begins like a call, with a nonce from each side. Each message is signed with both nonces and its
sequence number, so that an omitted, repeated or moved message is detected. Messages queued for a relay that
cannot be reached are dropped, and `on_connection_refused` is called if its port is closed: the user of a
channel has to send them again.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections import Counter, deque
from collections.abc import Callable
from typing import NamedTuple, Protocol

from violetdoor.fleet.authentication import MessageAuthenticator
from violetdoor.fleet.calls import CallResponse, MessageHandler
from violetdoor.fleet.frames import FrameWriter, stream_context
from violetdoor.fleet.messages import OpenStream, Request, TcpAck
from violetdoor.fleet.view import Address, Peer, View
from violetdoor.net.sockets import close_socket, connect

MAX_QUEUED_BYTES = 4 << 20  # queued for one relay; messages beyond this limit are rejected
MAX_BATCH_BYTES = 256 * 1024  # no frame is added to a write that has reached this size
CONNECT_TIMEOUT_SECONDS = 0.5  # for connecting, and again for the call that opens the stream
WRITE_TIMEOUT_SECONDS = 2.0  # for writing one batch; it is exceeded if the other relay does not read
IDLE_TIMEOUT_SECONDS = 30.0  # a stream is closed after this time without a message
RETRY_DELAY_SECONDS = 0.1  # minimum time between two attempts to reach a relay


class StreamKey(NamedTuple):
    """The relay instance that a stream is opened to."""

    name: str
    instance: int


class StreamHost(Protocol):
    """Interface of the relay that owns the streams."""

    authenticator: MessageAuthenticator
    routes: dict[str, Address]
    channel_handlers: dict[str, MessageHandler]

    @property
    def view(self) -> View | None:
        """The view that the relay is a member of, if any."""

    @property
    def local_peer(self) -> Peer:
        """The relay's own identity as a member."""

    async def send_request(self, sock: socket.socket, request: Request) -> CallResponse:
        """Send a request on a new connection."""


class OutgoingStream:
    """The stream to one relay instance."""

    def __init__(self, channel: StreamChannel, key: StreamKey, address: Address) -> None:
        """Create a stream of a channel; `run` opens it."""
        self.channel = channel
        self.key = key
        self.address = address
        self.queue: deque[bytes] = deque()
        self.queued_bytes = 0
        self.message_queued = asyncio.Event()

    def enqueue(self, message: bytes) -> bool:
        """Queue a message; return False if the queue is full."""
        if self.queued_bytes + len(message) > MAX_QUEUED_BYTES:
            return False
        self.queue.append(message)
        self.queued_bytes += len(message)
        self.message_queued.set()
        return True

    async def run(self) -> None:
        """Open the stream and write messages until it is idle for too long or the connection fails."""
        counts = self.channel.counts
        try:
            sock = await connect(self.address, CONNECT_TIMEOUT_SECONDS)
        except ConnectionRefusedError:
            counts["streams_refused"] += 1
            self.channel.on_connection_refused(self.key.name, self.key.instance)
            return
        except OSError:
            counts["streams_failed"] += 1
            return
        try:
            binding = await self._open(sock)
            if binding is not None:
                counts["streams_opened"] += 1
                await self._write_messages(sock, binding)
        except (OSError, EOFError, ValueError):
            counts["streams_broke"] += 1
        finally:
            close_socket(sock)

    async def _open(self, sock: socket.socket) -> bytes | None:
        """Open the stream; return its binding, or None if an instance other than the expected one answers."""
        host = self.channel.host
        request = OpenStream(host.local_peer.name, host.local_peer.instance, self.channel.name)
        async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
            call_response = await host.send_request(sock, request)
        response = call_response.response
        if not isinstance(response, TcpAck) or response.instance != self.key.instance:
            return None
        return call_response.binding

    async def _write_messages(self, sock: socket.socket, binding: bytes) -> None:
        loop = asyncio.get_running_loop()
        writer = FrameWriter(self.channel.host.authenticator, stream_context(binding))
        while await self._wait_for_message():
            batch = self._dequeue_batch(writer)
            self.channel.counts["bytes_out"] += len(batch)
            async with asyncio.timeout(WRITE_TIMEOUT_SECONDS):
                await loop.sock_sendall(sock, batch)

    async def _wait_for_message(self) -> bool:
        """Wait until a message is queued; return False after `IDLE_TIMEOUT_SECONDS` without one."""
        if self.queue:
            return True
        self.message_queued.clear()
        try:
            async with asyncio.timeout(IDLE_TIMEOUT_SECONDS):
                await self.message_queued.wait()
        except TimeoutError:
            return False
        return True

    def _dequeue_batch(self, writer: FrameWriter) -> bytearray:
        """Remove messages from the queue and return their frames, to be sent in one write."""
        batch = bytearray()
        while self.queue and len(batch) < MAX_BATCH_BYTES:
            message = self.queue.popleft()
            self.queued_bytes -= len(message)
            batch += writer.frame(message)
        return batch


class StreamChannel:
    """The streams of one channel that this relay opens, and the messages received from other relays."""

    def __init__(self, host: StreamHost, name: str, on_message: MessageHandler) -> None:
        """Register the channel with `host`; `on_message` gets the messages that other relays send on it."""
        self.host = host
        self.name = name
        self.on_message = on_message
        self.on_connection_refused: Callable[[str, int], None] = _ignore_connection_refused
        self.counts: Counter[str] = Counter()
        self.streams: dict[StreamKey, OutgoingStream] = {}
        self.tasks: dict[StreamKey, asyncio.Task[None]] = {}
        self.is_closed = False
        host.channel_handlers[name] = self._receive

    def send(self, name: str, message: bytes) -> bool:
        """Queue a message for a member; return False if `name` is not in the view or its queue is full."""
        view = self.host.view
        peer = None if view is None else view.member(name)
        if peer is None or self.is_closed:
            return False
        key = StreamKey(name, peer.instance)
        stream = self.streams.get(key)
        if stream is None:
            stream = OutgoingStream(self, key, self.host.routes.get(name, peer.address))
            self.streams[key] = stream
            self.tasks[key] = asyncio.get_running_loop().create_task(self._run(stream))
        return stream.enqueue(message)

    async def close(self) -> None:
        """Close all streams that this relay has opened."""
        self.is_closed = True
        tasks = list(self.tasks.values())
        for task in tasks:
            task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.gather(*tasks, return_exceptions=True)

    async def _run(self, stream: OutgoingStream) -> None:
        try:
            await stream.run()
            if stream.queue:  # the relay cannot be reached: delay the next attempt
                await asyncio.sleep(RETRY_DELAY_SECONDS)
        finally:
            if self.streams.get(stream.key) is stream:
                del self.streams[stream.key]
                del self.tasks[stream.key]

    def _receive(self, name: str, instance: int, message: bytes) -> None:
        self.counts["bytes_in"] += len(message)
        self.on_message(name, instance, message)


def _ignore_connection_refused(_name: str, _instance: int) -> None:
    """Do nothing; the default of `on_connection_refused`."""
