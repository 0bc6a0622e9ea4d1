"""Socket helpers on asyncio's socket calls: listen, connect, gathered writes, buffered lines."""

from __future__ import annotations

import asyncio
import contextlib
import os
import select
import socket
import struct
from collections.abc import Iterator, Sequence

LINE_MOST = 4096  # bytes of one line, its CRLF included
BACKLOG = 1024
LEFT_LOOK = 0.05  # s between two looks for an end behind unread bytes; no attempt may begin 0.1 s behind it
ENDED = select.POLLRDHUP | select.POLLHUP | select.POLLERR
UNREAD, UNREAD_MOST = 16 * 1024, 64 * 1024  # bytes thrown away at a close: in one read, in all
Address = tuple[str, int]
Part = bytes | bytearray | memoryview


def parse_address(text: str) -> Address:
    """Split host:port."""
    host, colon, port = text.rpartition(":")
    if not colon or not port.isdigit() or not 0 <= int(port) < 65536:
        raise ValueError(f"{text!r} is not host:port")
    return host.strip("[]"), int(port)


def plain(text: str, most: int = 120) -> str:
    """A reason as it may stand in a line of a protocol: printable ASCII without quotes, bounded."""
    return "".join(c if " " <= c <= "~" and c not in "'\"" else "?" for c in text[:most])


def listen(address: Address, shared: bool = False) -> socket.socket:
    """Open a listening socket."""
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    if shared:  # a predecessor that can't hand its socket over may still hold the address
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    sock.setblocking(False)
    sock.bind(address)
    sock.listen(BACKLOG)
    return sock


async def readable(sock: socket.socket) -> None:
    """Wait until there is something to read or to accept."""
    loop = asyncio.get_running_loop()
    ready = asyncio.Event()
    loop.add_reader(sock, ready.set)
    try:
        await ready.wait()
    finally:
        loop.remove_reader(sock)


def ended(sock: socket.socket) -> bool:
    """Whether the other side has ended, in order or not, however many bytes stand unread before its end."""
    look = select.poll()
    look.register(sock, select.POLLRDHUP)  # POLLHUP and POLLERR are told in any case
    return any(told & ENDED for _, told in look.poll(0))


class SpareDescriptor:
    """One descriptor that is kept back for a connection which has to come up when all others are taken."""

    def __init__(self) -> None:
        self._held: int | None = None
        self._take()

    def _take(self) -> None:
        with contextlib.suppress(OSError):  # none is free: the next use tries again
            self._held = os.open(os.devnull, os.O_RDONLY | os.O_CLOEXEC)

    @contextlib.contextmanager
    def lent(self) -> Iterator[None]:
        """Free it; whoever opens a descriptor in the same step gets its place, and closes it in here."""
        self.close()
        try:
            yield
        finally:
            if self._held is None:
                self._take()

    def close(self) -> None:
        """Give it back to the system."""
        if self._held is not None:
            os.close(self._held)
            self._held = None


async def connect(address: Address, timeout: float) -> socket.socket:
    """Connect within the timeout or raise OSError (TimeoutError is one)."""
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    try:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        async with asyncio.timeout(timeout):
            await asyncio.get_running_loop().sock_connect(sock, address)
    except BaseException:
        sock.close()
        raise
    return sock


async def send_parts(sock: socket.socket, parts: Sequence[Part]) -> None:
    """Write all parts in one gathered write; what the kernel did not take follows when it can."""
    total = sum(len(p) for p in parts)
    try:
        sent = sock.sendmsg(parts)
    except (BlockingIOError, InterruptedError):
        sent = 0
    if sent < total:
        await asyncio.get_running_loop().sock_sendall(sock, b"".join(parts)[sent:])


def end(sock: socket.socket, reset: bool = False) -> None:
    """Close a connection: in order, or with a reset where the other side's was one.

    In order, what stands unread is thrown away first: a close over it would reset the connection, and what
    was just written could go with it.
    """
    with contextlib.suppress(OSError):
        if reset:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        else:
            sock.shutdown(socket.SHUT_WR)
            for _ in range(UNREAD_MOST // UNREAD):
                if len(sock.recv(UNREAD, socket.MSG_DONTWAIT)) < UNREAD:
                    break
    sock.close()


class LineTooLongError(Exception):
    """A line is longer than the protocol allows."""


class LineSocket:
    """A socket and the one buffer that its lines are read into and parsed in."""

    __slots__ = ("buffer", "reset", "sock", "used", "view")

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.buffer = bytearray(LINE_MOST)
        self.view = memoryview(self.buffer)
        self.used = 0
        self.reset = False  # it ended by a reset

    async def fill(self) -> bool:
        """Read more; False once the other side has ended, in order or not."""
        if self.used == LINE_MOST:
            raise LineTooLongError
        try:
            got = await asyncio.get_running_loop().sock_recv_into(self.sock, self.view[self.used :])
        except ConnectionError:
            self.reset = True
            return False
        except OSError:
            return False
        self.used += got
        return got > 0

    async def line(self) -> int:
        """Read until a whole line stands at the start; its length with its end, or 0 at the end."""
        while not (length := self.buffer.find(b"\n", 0, self.used) + 1):
            if not await self.fill():
                return 0
        return length

    def whole(self) -> int:
        """Length of all whole lines in the buffer."""
        return self.buffer.rfind(b"\n", 0, self.used) + 1

    def consume(self, length: int) -> None:
        """Drop so many bytes from the start, keep the rest."""
        rest = self.used - length
        if rest:
            self.buffer[:rest] = self.buffer[length : self.used]
        self.used = rest

    def close(self, reset: bool = False) -> None:
        """End it; no read or write may be pending."""
        end(self.sock, reset)
