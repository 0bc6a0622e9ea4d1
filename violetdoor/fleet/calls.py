"""Calls between relays over TCP: one request and one response per connection.

A connection begins with a nonce from each side. Request and response are signed with both nonces, so that
neither can be replayed on another connection.
"""

from __future__ import annotations

import asyncio
import logging
import socket
from collections import Counter
from collections.abc import Callable, Coroutine, Mapping
from typing import Any, NamedTuple

from violetdoor.fleet.authentication import MessageAuthenticator
from violetdoor.fleet.frame_socket import READ_CHUNK_BYTES, FrameSocket
from violetdoor.fleet.frames import FrameReader, stream_context
from violetdoor.fleet.messages import (
    OpenStream,
    Request,
    Response,
    encode,
    request_decoder,
    response_decoder,
)
from violetdoor.fleet.view import MAX_MEMBERS
from violetdoor.net.sockets import close_socket

log = logging.getLogger("violetdoor.fleet")

MAX_INBOUND_CALLS = 64  # calls served concurrently
MAX_INBOUND_STREAMS = MAX_MEMBERS + 64  # one stream per member, and spare ones for instances that have ended
SERVE_TIMEOUT_SECONDS = 1.0  # for reading the request and writing the response of a call
ACCEPT_RETRY_DELAY_SECONDS = 0.05  # after a failed accept, mostly caused by a lack of file descriptors
REQUEST_CONTEXT = b"asked"  # precedes both nonces in the signing context of a request
RESPONSE_CONTEXT = b"answered"  # precedes both nonces in the signing context of a response

MessageHandler = Callable[[str, int, bytes], None]  # arguments: sender's name, sender's instance, message


class CallResponse(NamedTuple):
    """The response to a request, and the connection's nonces."""

    binding: bytes  # nonces of both sides, with which all further frames of the connection are signed
    response: Response


async def send_request(
    sock: socket.socket, request: Request, authenticator: MessageAuthenticator
) -> CallResponse:
    """Send a request on a new connection and read the response.

    Raises OSError or EOFError if the connection fails, and ValueError (FrameError or a msgspec error) if the
    bytes received are not a valid response.
    """
    frames = FrameSocket(sock, authenticator)
    binding = await frames.exchange_nonces_as_client()
    await frames.write_frame(encode(request), REQUEST_CONTEXT + binding)
    body = await frames.read_frame(RESPONSE_CONTEXT + binding)
    return CallResponse(binding, response_decoder.decode(body))


class CallServer:
    """Accepts connections, answers one request on each, and reads those that become streams."""

    def __init__(
        self,
        authenticator: MessageAuthenticator,
        channel_handlers: Mapping[str, MessageHandler],
        counts: Counter[str],
        spawn: Callable[[Coroutine[Any, Any, None]], None],
    ) -> None:
        """Run each connection as a task of `spawn`; `channel_handlers` get stream messages, by channel."""
        self.authenticator = authenticator
        self.channel_handlers = channel_handlers
        self.counts = counts
        self.spawn = spawn
        self.inbound_calls = 0
        self.inbound_streams = 0

    async def serve(self, listener: socket.socket, respond: Callable[[Request], Response | None]) -> None:
        """Accept connections until cancelled; `respond` returns None if the caller gets no response."""
        loop = asyncio.get_running_loop()
        while True:
            try:
                sock, _ = await loop.sock_accept(listener)
            except OSError as error:
                log.warning("accept failed on the fleet's TCP socket: %s", error)
                await asyncio.sleep(ACCEPT_RETRY_DELAY_SECONDS)
                continue
            if self.inbound_calls >= MAX_INBOUND_CALLS or self.inbound_streams >= MAX_INBOUND_STREAMS:
                self.counts["calls_turned_away"] += 1
                sock.close()
                continue
            self.inbound_calls += 1
            self.spawn(self._serve_connection(sock, respond))

    async def _serve_connection(
        self, sock: socket.socket, respond: Callable[[Request], Response | None]
    ) -> None:
        """Answer the request of a connection, and read its messages if it becomes a stream."""
        try:
            sock.setblocking(False)
            frames = FrameSocket(sock, self.authenticator)
            async with asyncio.timeout(SERVE_TIMEOUT_SECONDS):
                binding = await frames.exchange_nonces_as_server()
                request = request_decoder.decode(await frames.read_frame(REQUEST_CONTEXT + binding))
                handler = self._stream_handler(request)
                response = respond(request)
                if response is not None:
                    await frames.write_frame(encode(response), RESPONSE_CONTEXT + binding)
            if isinstance(request, OpenStream) and handler is not None:
                await self._read_stream(sock, request, binding, handler)
        except ValueError:  # base class of FrameError and of msgspec's errors
            self.counts["dropped_call"] += 1
        except (OSError, EOFError):
            self.counts["calls_broke"] += 1
        finally:
            self.inbound_calls -= 1
            close_socket(sock)

    def _stream_handler(self, request: Request) -> MessageHandler | None:
        """Return the handler of a stream's messages; None for another request or an unknown channel."""
        if isinstance(request, OpenStream):
            return self.channel_handlers.get(request.channel)
        return None

    async def _read_stream(
        self, sock: socket.socket, opening: OpenStream, binding: bytes, handler: MessageHandler
    ) -> None:
        """Pass a stream's messages to its handler until the stream ends."""
        self.inbound_calls -= 1  # a stream is long-lived: `MAX_INBOUND_STREAMS` limits streams
        self.inbound_streams += 1
        loop = asyncio.get_running_loop()
        reader = FrameReader(self.authenticator, stream_context(binding))
        try:
            while data := await loop.sock_recv(sock, READ_CHUNK_BYTES):
                for body in reader.feed(data):
                    handler(opening.name, opening.instance, body)
        finally:
            self.inbound_calls += 1
            self.inbound_streams -= 1
