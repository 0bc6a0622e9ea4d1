"""The client's side of a session: its answers, and whether it is still connected."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from violetdoor.net.line_socket import LineSocket
from violetdoor.net.sockets import is_peer_closed, send_buffers

if TYPE_CHECKING:
    from violetdoor.fronts.line.front_protocol import Front

MOVE_WRITE_TIMEOUT_SECONDS = 0.5  # limit for writing MOVE to a client
LINE_WRITE_TIMEOUT_SECONDS = 5.0  # limit for writing a server's lines to a client
ERROR_LINE = b"ERR\r\n"
MOVE_LINE = b"MOVE\r\n"


def busy_line(retry_after_ms: int) -> bytes:
    """Return the BUSY line, which lets a client retry after this time."""
    return b"BUSY %d\r\n" % retry_after_ms


class ClientConnection:
    """A client's socket and answers: exactly one final answer, and nothing after MOVE."""

    __slots__ = (
        "disconnected",
        "front",
        "has_final_answer",
        "has_migrated",
        "is_line_incomplete",
        "lines",
        "request_class",
        "write_lock",
    )

    def __init__(self, front: Front, lines: LineSocket) -> None:
        """Start before any answer was sent."""
        self.front = front
        self.lines = lines
        self.request_class = ""  # empty until the first line is parsed
        self.disconnected: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.write_lock = asyncio.Lock()  # MOVE is written between complete lines
        self.has_final_answer = False
        self.has_migrated = False  # MOVE was sent; nothing may be written after it
        self.is_line_incomplete = False  # the last write ended inside a line

    @property
    def is_disconnected(self) -> bool:
        """Whether the client has closed its connection, even if lines before its close are still unread."""
        return self.disconnected.done() or is_peer_closed(self.lines.sock)

    def mark_disconnected(self) -> None:
        """Record that the end of the client's stream was read."""
        if not self.disconnected.done():
            self.disconnected.set_result(None)

    async def answer_busy(self, retry_after_ms: int) -> None:
        """Reject the request; the client may retry after this time."""
        self.has_final_answer = True
        self.front.counts["answered_busy"] += 1
        self.front.metrics.increment("shed", self.request_class)
        await send_buffers(self.lines.sock, [busy_line(retry_after_ms)])

    async def answer_failed(self, line: bytes = ERROR_LINE) -> None:
        """Fail the request without a promise that it was not executed."""
        self.has_final_answer = True
        self.front.counts["answered_failed"] += 1
        self.front.metrics.increment("errors", self.request_class)
        await send_buffers(self.lines.sock, [line])

    def mark_established(self) -> None:
        """Record UP as the final answer; it is forwarded with the server's other lines."""
        self.front.counts["answered_up"] += 1
        self.front.metrics.increment("ok", self.request_class)
        self.has_final_answer = True

    async def forward_from(self, server: LineSocket, length: int) -> None:
        """Write the first `length` bytes of the server's buffer to the client."""
        async with self.write_lock, asyncio.timeout(LINE_WRITE_TIMEOUT_SECONDS):
            self.is_line_incomplete = True
            await send_buffers(self.lines.sock, [server.view[:length]])
            self.is_line_incomplete = False
        server.consume(length)

    async def migrate(self) -> None:
        """Send MOVE, which makes the client reconnect; nothing may follow it."""
        try:
            async with asyncio.timeout(MOVE_WRITE_TIMEOUT_SECONDS), self.write_lock:
                if not self.has_migrated and not self.is_line_incomplete:
                    self.has_migrated = True
                    await send_buffers(self.lines.sock, [MOVE_LINE])
        except OSError:
            self.front.counts["move_unwritten"] += 1
