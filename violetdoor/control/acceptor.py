"""The listening socket of a control machine, and its connections in the handshake.

A connection becomes a session with its first signed frame, so bytes from peers without the key never reach
the control machine's logic.
"""

from __future__ import annotations

import asyncio
import logging
import socket
from collections import Counter
from collections.abc import Callable

from violetdoor.control.connection import Connection, ConnectionHandler, attach_accepted_socket
from violetdoor.control.frames import CloseReason, Side
from violetdoor.control.messages import SessionRequest, session_request_decoder
from violetdoor.fleet.authentication import MessageAuthenticator
from violetdoor.net.addresses import Address
from violetdoor.net.sockets import close_socket, listen

log = logging.getLogger("violetdoor.control")

# Delay after a failed accept, for instance for want of a file descriptor.
ACCEPT_RETRY_DELAY_SECONDS = 0.05
# Connections that have not sent a signed frame yet; one more evicts the oldest.
MAX_PENDING_HANDSHAKES = 256


class Acceptor:
    """Accepts connections of relays and of other regions' control machines."""

    def __init__(
        self,
        authenticator: MessageAuthenticator,
        counters: Counter[str],
        handler: ConnectionHandler[SessionRequest],
        is_full: Callable[[], bool],
    ) -> None:
        """Prepare connections for `handler`; while `is_full()` is true, new ones are closed at once."""
        self.handshakes: dict[Connection[SessionRequest], None] = {}  # oldest first
        self._authenticator = authenticator
        self._counters = counters
        self._handler = handler
        self._is_full = is_full
        self._listener: socket.socket | None = None
        self._task: asyncio.Task[None] | None = None

    def listen(self, bind: Address) -> Address:
        """Open the listening socket, and return its address. Raises OSError."""
        self._listener = listen(bind)
        address: Address = self._listener.getsockname()[:2]
        return address

    def start(self) -> None:
        """Accept connections until `stop`."""
        assert self._listener is not None
        self._task = asyncio.get_running_loop().create_task(self._accept_forever(self._listener))

    def stop(self) -> None:
        """Stop accepting; the listening socket stays open."""
        if self._task is not None:
            self._task.cancel()

    def close(self) -> None:
        """Close the listening socket."""
        if self._listener is not None:
            self._listener.close()

    def handshake_ended(self, connection: Connection[SessionRequest]) -> None:
        """Forget a connection that became a session or was closed."""
        self.handshakes.pop(connection, None)

    async def _accept_forever(self, listener: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        while True:
            try:
                sock, _ = await loop.sock_accept(listener)
            except OSError as error:  # no file descriptor was free, or the peer has closed already
                self._counters["accept_failed"] += 1
                log.warning("accept failed: %s", error)
                await asyncio.sleep(ACCEPT_RETRY_DELAY_SECONDS)
                continue
            self._counters["accepted"] += 1
            try:
                await self._admit(sock)
            except OSError:
                self._counters["accept_failed"] += 1
                close_socket(sock)

    async def _admit(self, sock: socket.socket) -> None:
        if self._is_full():
            self._counters["accept_refused"] += 1
            close_socket(sock)
            return
        connection: Connection[SessionRequest] = Connection(
            self._authenticator, Side.SERVER, session_request_decoder, self._handler, self._counters
        )
        self.handshakes[connection] = None
        if len(self.handshakes) > MAX_PENDING_HANDSHAKES:
            oldest = next(iter(self.handshakes))
            oldest.abort(CloseReason.HANDSHAKE_EVICTED)
        await attach_accepted_socket(sock, connection)
