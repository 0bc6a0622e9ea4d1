"""Socket helpers for asyncio: listen, connect, wait, gathered writes and close."""

from __future__ import annotations

import asyncio
import contextlib
import select
import socket
import struct
from collections.abc import Sequence

from violetdoor.net.addresses import Address

LISTEN_BACKLOG = 1024  # connections in the listen queue
# Between two checks whether a client with unread bytes has disconnected: no attempt may start later than
# 0.1 s after the disconnection.
DISCONNECT_POLL_INTERVAL_SECONDS = 0.05
PEER_CLOSED_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR
DISCARD_CHUNK_BYTES = 16 * 1024  # unread bytes that one read discards before a close
MAX_DISCARDED_BYTES = 64 * 1024  # total for one close
MAX_REASON_LENGTH = 120  # characters
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER on with a timeout of 0: see socket(7)

BytesLike = bytes | bytearray | memoryview


def printable_reason(text: str, max_length: int = MAX_REASON_LENGTH) -> str:
    """Return a reason that is safe in a protocol line: printable ASCII without quotes, limited length."""
    return "".join(
        character if " " <= character <= "~" and character not in "'\"" else "?"
        for character in text[:max_length]
    )


def _family(address: Address) -> socket.AddressFamily:
    return socket.AF_INET6 if ":" in address[0] else socket.AF_INET


def listen(address: Address, *, reuse_port: bool = False) -> socket.socket:
    """Open a non-blocking listening socket. Raises OSError.

    With `reuse_port`, the address may still be bound by a predecessor that cannot hand over its socket.
    """
    sock = socket.socket(_family(address), socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    if reuse_port:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    sock.setblocking(False)
    sock.bind(address)
    sock.listen(LISTEN_BACKLOG)
    return sock


async def wait_readable(sock: socket.socket) -> None:
    """Wait until the socket has data to read or a connection to accept."""
    loop = asyncio.get_running_loop()
    ready = asyncio.Event()
    loop.add_reader(sock, ready.set)
    try:
        await ready.wait()
    finally:
        loop.remove_reader(sock)


def is_peer_closed(sock: socket.socket) -> bool:
    """Return whether the peer has closed or reset the connection, even if unread bytes remain."""
    poll = select.poll()
    poll.register(sock, select.POLLRDHUP)  # POLLHUP and POLLERR are reported in any case
    return any(events & PEER_CLOSED_EVENTS for _, events in poll.poll(0))


async def connect(address: Address, timeout_seconds: float) -> socket.socket:
    """Connect within the timeout. Raises OSError, of which TimeoutError is a subclass."""
    sock = socket.socket(_family(address), socket.SOCK_STREAM)
    try:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        async with asyncio.timeout(timeout_seconds):
            await asyncio.get_running_loop().sock_connect(sock, address)
    except BaseException:
        sock.close()
        raise
    return sock


async def send_buffers(sock: socket.socket, buffers: Sequence[BytesLike]) -> None:
    """Send all buffers with one gathered write, and any unsent rest after it. Raises OSError."""
    total = sum(len(buffer) for buffer in buffers)
    try:
        sent = sock.sendmsg(buffers)
    except (BlockingIOError, InterruptedError):
        sent = 0
    if sent < total:
        await asyncio.get_running_loop().sock_sendall(sock, b"".join(buffers)[sent:])


def close_socket(sock: socket.socket, *, reset: bool = False) -> None:
    """Close a connection gracefully, or with a reset to pass on the peer's reset.

    A graceful close discards unread bytes first: closing with unread bytes would reset the connection, and
    bytes that were just written could be lost.
    """
    with contextlib.suppress(OSError):
        if reset:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        else:
            sock.shutdown(socket.SHUT_WR)
            for _ in range(MAX_DISCARDED_BYTES // DISCARD_CHUNK_BYTES):
                if len(sock.recv(DISCARD_CHUNK_BYTES, socket.MSG_DONTWAIT)) < DISCARD_CHUNK_BYTES:
                    break
    sock.close()
