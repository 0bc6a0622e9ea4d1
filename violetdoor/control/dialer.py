"""Outgoing connections of the control plane, one at a time."""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import Generic, Protocol

import msgspec

from violetdoor.control.connection import Connection, ConnectionHandler, MessageT
from violetdoor.control.frames import CloseReason, Side
from violetdoor.fleet.authentication import MessageAuthenticator
from violetdoor.net.addresses import Address
from violetdoor.net.sockets import connect

# Timeout of the TCP connect: shorter than the 2 s without a message after which a relay tries the next
# control machine.
CONNECT_TIMEOUT_SECONDS = 1.0


class DialerHandler(ConnectionHandler[MessageT], Protocol[MessageT]):
    """A connection handler that is also notified of failed attempts to connect."""

    def connection_failed(self, *, refused: bool) -> None:
        """Handle a failed attempt; `refused`: nothing listens at the address."""


class Dialer(Generic[MessageT]):
    """One outgoing connection or attempt at a time.

    It is the handler of its connections, and forwards the calls of the current one only.
    """

    def __init__(
        self,
        authenticator: MessageAuthenticator,
        decoder: msgspec.msgpack.Decoder[MessageT],
        handler: DialerHandler[MessageT],
        counters: Counter[str],
    ) -> None:
        """Prepare connections; `counters` as in `Connection`."""
        self.authenticator = authenticator
        self.decoder = decoder
        self.handler = handler
        self.counters = counters
        self.connection: Connection[MessageT] | None = None
        self._attempt: asyncio.Task[None] | None = None

    def dial(self, address: Address) -> None:
        """Connect to `address`, in place of the current connection or attempt."""
        self.close()
        self._attempt = asyncio.get_running_loop().create_task(self._connect(address))

    def send(self, message: msgspec.Struct) -> None:
        """Send a message on the connection; without one, drop the message."""
        if self.connection is not None:
            self.connection.send(message)

    def close(self) -> None:
        """Close the connection gracefully, or cancel the attempt; the handler is notified of neither."""
        if self._attempt is not None:
            self._attempt.cancel()
            self._attempt = None
        connection = self.connection
        self.connection = None
        if connection is not None:
            connection.close()

    def connection_opened(self, connection: Connection[MessageT]) -> None:
        """Forward the call for the current connection."""
        if connection is self.connection:
            self.handler.connection_opened(connection)

    def message_received(self, connection: Connection[MessageT], message: MessageT) -> None:
        """Forward the call for the current connection."""
        if connection is self.connection:
            self.handler.message_received(connection, message)

    def backlog_changed(self, connection: Connection[MessageT], queued_bytes: int) -> None:
        """Forward the call for the current connection."""
        if connection is self.connection:
            self.handler.backlog_changed(connection, queued_bytes)

    def connection_closed(self, connection: Connection[MessageT], reason: CloseReason) -> None:
        """Forward the call for the current connection, and forget the connection."""
        if connection is self.connection:
            self.connection = None
            self.handler.connection_closed(connection, reason)

    def _make_connection(self) -> Connection[MessageT]:
        self.connection = Connection(self.authenticator, Side.CLIENT, self.decoder, self, self.counters)
        return self.connection

    async def _connect(self, address: Address) -> None:
        failure: OSError | None = None
        try:
            await self._open(address)
        except OSError as error:
            failure = error
        if self._attempt is asyncio.current_task():
            self._attempt = None
        if failure is not None:
            self.connection = None
            self.counters["connects_failed"] += 1
            self.handler.connection_failed(refused=isinstance(failure, ConnectionRefusedError))

    async def _open(self, address: Address) -> None:
        sock = await connect(address, CONNECT_TIMEOUT_SECONDS)
        try:
            await asyncio.get_running_loop().create_connection(self._make_connection, sock=sock)
        except BaseException:  # cancellation included: nothing else would close the socket
            sock.close()
            raise
