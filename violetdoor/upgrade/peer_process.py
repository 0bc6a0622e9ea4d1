"""Connection between two processes of one relay."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import AsyncIterator

from violetdoor.net.outbox import Outbox
from violetdoor.net.sockets import close_socket
from violetdoor.upgrade.messages import Message, decode_message, encode_line

MAX_MESSAGE_BYTES = 16 << 20  # a configuration may contain rules with large sets
STALL_TIMEOUT_SECONDS = 2.0  # maximum time for which the other process may read nothing
READ_CHUNK_BYTES = 64 * 1024


class PeerProcess:
    """The other process of the relay; messages in both directions are one JSON object per line."""

    def __init__(self, sock: socket.socket, unread: bytes = b"") -> None:
        """Use a non-blocking socket; `unread` are bytes that were already received from it."""
        self.sock = sock
        self.unread = unread
        self.outbox = Outbox(sock, MAX_MESSAGE_BYTES, STALL_TIMEOUT_SECONDS)

    def send(self, message: Message) -> None:
        """Send a message; it is dropped if the send queue is full because the other process stalls."""
        if not self.outbox.is_full:
            self.outbox.enqueue(encode_line(message))

    async def messages(self) -> AsyncIterator[Message]:
        """Receive messages until the other process closes the connection.

        Raises OSError, and ValueError for a line with invalid JSON.
        """
        loop = asyncio.get_running_loop()
        data = bytearray(self.unread)
        buffer = bytearray(READ_CHUNK_BYTES)
        while True:
            end = data.find(b"\n")
            while end >= 0:
                message = decode_message(data[:end])
                del data[: end + 1]
                if message is not None:
                    yield message
                end = data.find(b"\n")
            count = await loop.sock_recv_into(self.sock, buffer)
            if not count or len(data) > MAX_MESSAGE_BYTES:
                return
            data += buffer[:count]

    async def close(self) -> None:
        """Close the connection."""
        await self.outbox.close()
        close_socket(self.sock)
