"""Frames on a non-blocking TCP socket."""

from __future__ import annotations

import asyncio
import os
import socket

from violetdoor.fleet.authentication import MessageAuthenticator
from violetdoor.fleet.frames import LENGTH_BYTES, NONCE_BYTES, encode_frame, parse_length, verify_frame

READ_CHUNK_BYTES = 64 * 1024  # maximum size of one read


class FrameSocket:
    """Reads and writes frames on a socket, which the caller closes."""

    def __init__(self, sock: socket.socket, authenticator: MessageAuthenticator) -> None:
        """Use a connected, non-blocking socket."""
        self.sock = sock
        self.authenticator = authenticator
        self.loop = asyncio.get_running_loop()

    async def exchange_nonces_as_client(self) -> bytes:
        """Send this side's nonce and read the server's; return both, client first.

        Raises OSError or EOFError.
        """
        nonce = os.urandom(NONCE_BYTES)
        await self.loop.sock_sendall(self.sock, nonce)
        return nonce + await self.read_exactly(NONCE_BYTES)

    async def exchange_nonces_as_server(self) -> bytes:
        """Read the client's nonce and send this side's; return both, client first.

        Raises OSError or EOFError.
        """
        nonce = os.urandom(NONCE_BYTES)
        peer_nonce = await self.read_exactly(NONCE_BYTES)
        await self.loop.sock_sendall(self.sock, nonce)
        return peer_nonce + nonce

    async def write_frame(self, body: bytes, context: bytes) -> None:
        """Write one frame. Raises OSError."""
        await self.loop.sock_sendall(self.sock, encode_frame(self.authenticator, body, context))

    async def read_frame(self, context: bytes) -> bytes:
        """Read one frame and return its body. Raises OSError, EOFError, or FrameError (a ValueError)."""
        length = parse_length(await self.read_exactly(LENGTH_BYTES))
        return verify_frame(self.authenticator, await self.read_exactly(length), context)

    async def read_exactly(self, count: int) -> bytes:
        """Read `count` bytes. Raises OSError, or EOFError if the connection ends before that."""
        data = bytearray()
        while len(data) < count:
            chunk = await self.loop.sock_recv(self.sock, min(READ_CHUNK_BYTES, count - len(data)))
            if not chunk:
                raise EOFError
            data += chunk
        return bytes(data)
