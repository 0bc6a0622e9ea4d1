"""Graceful close of client connections: each client has a bounded time to read its last line.

Closing a socket with unread bytes, or just before the client sends more, resets the connection, and the
client may lose the last line that was sent to it.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import time
from collections import deque

from violetdoor.net.sockets import close_socket

LINGER_TIMEOUT_SECONDS = 0.3  # for a client to read its last line
MAX_LINGER_BYTES = 1 << 17  # read and discarded while lingering; at this bound the connection closes
READ_CHUNK_BYTES = 16 * 1024
MAX_CLOSING_SOCKETS = 32


async def linger(sock: socket.socket) -> None:
    """Shut down the sending side and wait for the client to close, discarding what it still sends."""
    loop = asyncio.get_running_loop()
    remaining_bytes = MAX_LINGER_BYTES
    with contextlib.suppress(OSError):
        sock.shutdown(socket.SHUT_WR)
        async with asyncio.timeout(LINGER_TIMEOUT_SECONDS):
            while remaining_bytes > 0:
                received = await loop.sock_recv(sock, READ_CHUNK_BYTES)
                if not received:
                    return
                remaining_bytes -= len(received)


class ClosingSockets:
    """Sockets whose last line is sent and that no task serves; each is closed after a delay."""

    def __init__(self) -> None:
        """Start with no sockets."""
        # Time of the last line (monotonic clock, s) and socket, oldest first.
        self._sockets: deque[tuple[float, socket.socket]] = deque()

    def __len__(self) -> int:
        """Return how many sockets are still open."""
        return len(self._sockets)

    def add(self, sock: socket.socket, last_line: bytes) -> None:
        """Send the last line and shut down the sending side; close the socket after the linger timeout."""
        try:
            sock.setblocking(False)
            sock.send(last_line)
            sock.shutdown(socket.SHUT_WR)
        except OSError:
            sock.close()
            return
        self._sockets.append((time.monotonic(), sock))
        asyncio.get_running_loop().call_later(LINGER_TIMEOUT_SECONDS, self._close_due)
        self._close_due()

    def _close_due(self) -> None:
        """Close sockets whose linger time is over, and the oldest ones beyond MAX_CLOSING_SOCKETS."""
        now = time.monotonic()
        while self._sockets:
            closing_since, sock = self._sockets[0]
            is_due = now - closing_since >= LINGER_TIMEOUT_SECONDS
            if not is_due and len(self._sockets) <= MAX_CLOSING_SOCKETS:
                return
            self._sockets.popleft()
            close_socket(sock)

    def close_all(self) -> None:
        """Close all remaining sockets immediately."""
        while self._sockets:
            _, sock = self._sockets.popleft()
            close_socket(sock)
