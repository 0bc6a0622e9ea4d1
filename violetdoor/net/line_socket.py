"""Line-based reads from a socket."""

from __future__ import annotations

import asyncio
import socket

from violetdoor.net.sockets import close_socket

MAX_LINE_BYTES = 4096  # including CRLF


class LineTooLongError(Exception):
    """A line is longer than MAX_LINE_BYTES."""


class LineSocket:
    """A socket and a fixed buffer in which its lines are received and parsed."""

    __slots__ = ("buffer", "sock", "used", "view", "was_reset")

    def __init__(self, sock: socket.socket) -> None:
        """Read from a non-blocking socket."""
        self.sock = sock
        self.buffer = bytearray(MAX_LINE_BYTES)
        self.view = memoryview(self.buffer)
        self.used = 0  # bytes at the start of the buffer that are received but not consumed
        self.was_reset = False  # the peer reset the connection

    async def fill(self) -> bool:
        """Receive more bytes; return False once the peer has closed or reset the connection.

        Raises LineTooLongError if the buffer is full.
        """
        if self.used == MAX_LINE_BYTES:
            raise LineTooLongError
        try:
            count = await asyncio.get_running_loop().sock_recv_into(self.sock, self.view[self.used :])
        except ConnectionError:
            self.was_reset = True
            return False
        except OSError:
            return False
        self.used += count
        return count > 0

    async def read_line(self) -> int:
        """Read until the buffer starts with a complete line; return its length, or 0 at end of stream.

        Raises LineTooLongError.
        """
        while True:
            length = self.buffer.find(b"\n", 0, self.used) + 1
            if length:
                return length
            if not await self.fill():
                return 0

    def complete_length(self) -> int:
        """Return the total length in bytes of the complete lines in the buffer."""
        return self.buffer.rfind(b"\n", 0, self.used) + 1

    def consume(self, length: int) -> None:
        """Remove `length` bytes from the start of the buffer."""
        rest = self.used - length
        if rest:
            self.buffer[:rest] = self.buffer[length : self.used]
        self.used = rest

    def close(self, *, reset: bool = False) -> None:
        """Close the connection, during which no read or write may be pending."""
        close_socket(self.sock, reset=reset)
